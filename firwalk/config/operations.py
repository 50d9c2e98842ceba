"""The operators' file (TOML): the settings of a cluster. Without it each node decides on its own.

Its keys are described in `docs/configuration.md`; `deploy/cluster.toml` is an example. Times are seconds.
"""

from __future__ import annotations

import os
from typing import Annotated, Any, Literal

from msgspec import Meta, Struct, structs

from firwalk.cluster.messages import MAX_ZONES
from firwalk.cluster.zones import ZonePolicy
from firwalk.config import validation
from firwalk.config.errors import raise_conflicts
from firwalk.config.node_config import section

DurationSeconds = Annotated[float, Meta(gt=0, le=600)]
NodeIds = list[Annotated[int, Meta(ge=0, le=65535)]]
QUORUM_SIZES = (1, 3, 5, 7)  # Odd, so that a partition leaves a majority on one side.
LIVE = ("members", "plan", "log", "zones")  # Tables that a running node reloads at SIGHUP.


class Fleet(Struct, frozen=True):
    """The cluster.

    name: nodes with the same name form a cluster; datagrams of other clusters are dropped.
    """

    name: Annotated[str, Meta(min_length=1, max_length=100)]


class Members(Struct, frozen=True):
    """Failure detection (SWIM).

    period: seconds between two pings of a node.
    answer: seconds after which other nodes are asked to ping one that has not answered.
    """

    period: DurationSeconds = 0.5
    answer: DurationSeconds = 0.15

    def __post_init__(self) -> None:
        if self.answer > self.period / 2:
            raise_conflicts(["answer: must be half of period at most"])


class Lease(Struct, frozen=True):
    """The lease of the coordinator.

    voters: ids of the nodes whose majority grants it.
    length: seconds for which it is granted.
    drift: the maximum difference between the clock rates of two nodes, as a fraction (0.01: 1 in 100).
    """

    voters: NodeIds
    length: Annotated[float, Meta(ge=0.2, le=60)] = 2.0
    drift: Annotated[float, Meta(ge=0, le=0.2)] = 0.01

    def __post_init__(self) -> None:
        conflicts = []
        if len(self.voters) not in QUORUM_SIZES:
            conflicts.append(f"voters: 3, 5 or 7 seats are wanted (1: no failover), not {len(self.voters)}")
        if len(set(self.voters)) < len(self.voters):
            conflicts.append("voters: each seat may stand there once")
        raise_conflicts(conflicts)


class Plan(Struct, frozen=True):
    """How nodes follow the coordinator's plan.

    report: seconds between two reports of a follower, each of which the coordinator answers.
    hold: seconds after an answer for which the plan stays in force.
    """

    report: DurationSeconds = 0.5
    hold: DurationSeconds = 3.0

    def __post_init__(self) -> None:
        if self.hold < 3 * self.report:
            raise_conflicts(
                ["hold: must be three times report at least: one lost answer must not end a plan"]
            )


class Zones(Struct, frozen=True):
    """Failover between zones.

    regions: zones by region; zones of one region are near each other. Without regions all zones are near.
    head_room: the largest fraction of a zone's capacity in use while it takes traffic of other zones.
    stays: zones whose traffic must not leave their region.
    order: for a region, the regions to fail over to first.
    drained: zones that get no traffic.
    """

    regions: dict[str, list[str]] = {}
    head_room: Annotated[float, Meta(ge=0.1, le=1)] = 0.8
    stays: list[str] = []
    order: dict[str, list[str]] = {}
    drained: list[str] = []

    def __post_init__(self) -> None:
        zones = [zone for names in self.regions.values() for zone in names]
        conflicts = [
            f"regions: {zone} stands there twice" for zone in dict.fromkeys(zones) if zones.count(zone) > 1
        ]
        conflicts += [f"stays: {zone} is in no region" for zone in self.stays if zone not in zones]
        if self.regions:
            conflicts += [f"drained: {zone} is in no region" for zone in self.drained if zone not in zones]
        conflicts += [f"order: there is no region {name}" for name in self._unknown_regions()]
        if self.regions and not 1 <= len(zones) <= MAX_ZONES:
            conflicts.append(f"regions: 1 to {MAX_ZONES} zones in all are wanted, not {len(zones)}")
        raise_conflicts(conflicts)

    def _unknown_regions(self) -> list[str]:
        named = [name for region, others in self.order.items() for name in (region, *others)]
        return [name for name in named if name not in self.regions]

    def terms(self, names: list[str]) -> ZonePolicy:
        """Return the policy with zones and regions by number; `names`: zones in the order of the settings."""
        region_names = list(self.regions)
        region_of_zone = {
            zone: number for number, zones in enumerate(self.regions.values()) for zone in zones
        }
        failover_order = {
            region_names.index(region): tuple(map(region_names.index, others))
            for region, others in self.order.items()
        }
        return ZonePolicy(
            tuple(region_of_zone.get(name, 0) for name in names),
            self.head_room,
            tuple(names.index(zone) for zone in self.stays),
            failover_order,
            tuple(names.index(zone) for zone in self.drained if zone in names),
        )


class Budgets(Struct, frozen=True):
    """Quotas of teams of tenants.

    contracts: path of the file with the quota of each team, relative to this file.
    length: seconds for which the coordinator leases a node its share of a quota.
    floor: the fraction of each quota that the nodes have without a lease, in equal shares.
    """

    contracts: Annotated[str, Meta(min_length=1)]
    length: Annotated[float, Meta(ge=0.2, le=60)] = 6.0
    floor: Annotated[float, Meta(ge=0, le=1)] = 0.05


class Stages(Struct, frozen=True):
    """Rollouts.

    changes: path of the directory of the rollout files, relative to this file.
    at_once: the fraction of a zone's nodes that are replaced at the same time.
    settle: seconds for which a replaced node must report before the next ones are replaced.
    """

    changes: Annotated[str, Meta(min_length=1)]
    at_once: Annotated[float, Meta(gt=0, le=1)] = 0.25
    settle: Annotated[float, Meta(ge=0, le=600)] = 1.0


class Log(Struct, frozen=True):
    """Logging of cluster events.

    events: "changes" for readable lines; "all" for every event as JSON, including renewals of the lease.
    """

    events: Literal["changes", "all"] = "changes"


class OperationsConfig(Struct, frozen=True):
    """The operators' file; a feature whose table is missing is off."""

    fleet: Fleet
    lease: Lease
    members: Members = Members()
    plan: Plan = Plan()
    log: Log = Log()
    zones: Zones | None = None
    budgets: Budgets | None = None
    stages: Stages | None = None


def load(path: str) -> tuple[OperationsConfig | None, list[str]]:
    """Return the validated file (None if it has faults), and its faults, one line each.

    Paths, which are relative to the file, are made absolute.
    """
    config, faults = validation.load_toml(OperationsConfig, path)
    folder = os.path.dirname(os.path.abspath(path))
    if config is not None and config.budgets is not None:
        contracts = os.path.join(folder, config.budgets.contracts)
        config = structs.replace(config, budgets=structs.replace(config.budgets, contracts=contracts))
    if config is not None and config.stages is not None:
        changes = os.path.join(folder, config.stages.changes)
        config = structs.replace(config, stages=structs.replace(config.stages, changes=changes))
    return config, faults


def find_conflicts(operations: OperationsConfig, config: dict[str, Any]) -> list[str]:
    """Return what the file requires and the node's configuration lacks, one line each."""
    conflicts = _network_conflicts(operations, config)
    if operations.budgets:
        conflicts += _quota_conflicts(operations.budgets, operations.lease, config.get("settings", {}))
    if operations.stages and not config.get("management"):
        conflicts.append("management: is missing: the agent and operators call this address")
    return conflicts + _zone_conflicts(operations.zones, config.get("settings", {}).get("azs") or [])


def _network_conflicts(operations: OperationsConfig, config: dict[str, Any]) -> list[str]:
    settings = config.get("settings", {})
    cluster_size = len(config.get("peers") or [])
    node_id = settings.get("self-index", 0)
    conflicts = []
    if not section(settings, "limits").get("peers"):
        conflicts.append(
            "settings.limits.peers: must be true: nodes of a cluster send messages to each other"
        )
    if not config.get("peer_listen"):
        conflicts.append("peer_listen: is missing: it receives the datagrams of other nodes")
    if not cluster_size:
        conflicts.append("peers: is missing: an address for each seat, including this node's own")
    elif not 0 <= node_id < cluster_size:
        conflicts.append(f"settings.self-index: {node_id} is no seat of the {cluster_size} peers")
    conflicts += [
        f"lease.voters: there is no seat {voter} among the {cluster_size} peers"
        for voter in operations.lease.voters
        if cluster_size and voter >= cluster_size
    ]
    return conflicts


def _quota_conflicts(budgets: Budgets, lease: Lease, settings: dict[str, Any]) -> list[str]:
    from firwalk.broker import contracts  # imported only if there are quotas

    conflicts = []
    if budgets.length < 2 * lease.length:
        conflicts.append(
            "budgets.length: must be at least twice lease.length: otherwise all leased shares expire "
            "before there is a new coordinator"
        )
    found, faults = contracts.load(budgets.contracts)
    if found is None:
        return conflicts + faults
    return conflicts + [f"{budgets.contracts}: {line}" for line in contracts.find_conflicts(found, settings)]


def _zone_conflicts(zones: Zones | None, names: list[str]) -> list[str]:
    """Return conflicts between the file's zones and `names`, the zones of the node's settings."""
    regions = (zones.regions if zones else {}).values() or [names]
    in_regions = [zone for region in regions for zone in region]
    drained = zones.drained if zones else []
    conflicts = [
        f"zones.regions: there is no zone {zone} in settings.azs" for zone in in_regions if zone not in names
    ]
    if zones and len(names) > MAX_ZONES:
        conflicts.append(f"zones: settings.azs has {len(names)} zones; the most is {MAX_ZONES}")
    conflicts += [
        f"zones.drained: there is no zone {zone} in settings.azs" for zone in drained if zone not in names
    ]
    conflicts += [
        f"zones.regions: zone {name} of settings.azs is in no region"
        for name in names
        if name not in in_regions
    ]
    return conflicts
