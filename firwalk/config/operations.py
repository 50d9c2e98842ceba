"""The operators' file (TOML): what the nodes of a cluster decide together; without it each decides alone.

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

DurationSeconds = Annotated[float, Meta(gt=0, le=600)]
NodeIds = list[Annotated[int, Meta(ge=0, le=65535)]]
QUORUM_SIZES = (1, 3, 5, 7)  # odd, so that a partition leaves a majority on one side
LIVE = ("members", "plan", "log", "zones")  # tables that a running node takes over at SIGHUP


class Fleet(Struct, frozen=True):
    """The cluster.

    name: nodes with the same name form a cluster; datagrams of another one are dropped.
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
    drift: by how much clocks of two nodes may run at different rates, as a fraction (0.01: 1 in 100).
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

    regions: zones by region; those of one region are near each other. Without regions all zones are near.
    head_room: the largest part of a zone's capacity that may be used while it takes traffic of others.
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
        """The same with zones and regions by number; `names`: the zones of the node's settings, in order."""
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
    """Quotas of tenants' teams.

    contracts: path of the file that says what each team may spend, relative to this file.
    length: seconds for which the coordinator leases a node its part of a budget.
    floor: the fraction of each budget that all nodes have without a lease, in equal parts.
    """

    contracts: Annotated[str, Meta(min_length=1)]
    length: Annotated[float, Meta(ge=0.2, le=60)] = 6.0
    floor: Annotated[float, Meta(ge=0, le=1)] = 0.05


class Stages(Struct, frozen=True):
    """Rollouts.

    changes: path of the folder with the rollouts' files, relative to this file.
    at_once: the fraction of a zone's nodes that are replaced at the same time.
    settle: seconds for which a replaced node must have reported before the next ones are replaced.
    """

    changes: Annotated[str, Meta(min_length=1)]
    at_once: Annotated[float, Meta(gt=0, le=1)] = 0.25
    settle: Annotated[float, Meta(ge=0, le=600)] = 1.0


class Log(Struct, frozen=True):
    """Log lines of the cluster's part.

    events: "changes" for readable lines; "all" for every event as JSON, renewals of the lease among them.
    """

    events: Literal["changes", "all"] = "changes"


class OperationsConfig(Struct, frozen=True):
    """The whole file; a part whose table is missing is off."""

    fleet: Fleet
    lease: Lease
    members: Members = Members()
    plan: Plan = Plan()
    log: Log = Log()
    zones: Zones | None = None
    budgets: Budgets | None = None
    stages: Stages | None = None


def load(path: str) -> tuple[OperationsConfig | None, list[str]]:
    """The file, validated, and its faults, one line each; with a fault there is no value.

    Paths that it names are made absolute; they are relative to the file.
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
    """What the file needs and the node's own configuration does not provide, one line each."""
    conflicts = _network_conflicts(operations, config)
    if operations.budgets:
        conflicts += _quota_conflicts(operations.budgets, operations.lease, config.get("settings", {}))
    if operations.stages and not config.get("management"):
        conflicts.append("management: is missing: the agent and operators call a node there")
    return conflicts + _zone_conflicts(operations.zones, config.get("settings", {}).get("azs") or [])


def _network_conflicts(operations: OperationsConfig, config: dict[str, Any]) -> list[str]:
    settings = config.get("settings", {})
    cluster_size = len(config.get("peers") or [])
    node_id = settings.get("self-index", 0)
    conflicts = []
    if not settings.get("limits", {}).get("peers"):
        conflicts.append("settings.limits.peers: must be true: the file wants nodes to talk to each other")
    if not config.get("peer_listen"):
        conflicts.append("peer_listen: is missing: the other nodes' datagrams come there")
    if not cluster_size:
        conflicts.append("peers: is missing: an address for each seat, the own one among them")
    elif not 0 <= node_id < cluster_size:
        conflicts.append(f"settings.self-index: {node_id} is no seat of the {cluster_size} peers")
    conflicts += [
        f"lease.voters: there is no seat {voter} among the {cluster_size} peers"
        for voter in operations.lease.voters
        if cluster_size and voter >= cluster_size
    ]
    return conflicts


def _quota_conflicts(budgets: Budgets, lease: Lease, settings: dict[str, Any]) -> list[str]:
    from firwalk.broker import contracts  # loaded only where there are quotas

    conflicts = []
    if budgets.length < 2 * lease.length:
        conflicts.append(
            "budgets.length: must be twice lease.length at least: all parts would be over before "
            "there is another coordinator"
        )
    found, faults = contracts.load(budgets.contracts)
    if found is None:
        return conflicts + faults
    return conflicts + [f"{budgets.contracts}: {line}" for line in contracts.find_conflicts(found, settings)]


def _zone_conflicts(zones: Zones | None, names: list[str]) -> list[str]:
    """`names`: the zones of the node's settings."""
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
