"""The operators' file: what several nodes decide in common, and how. Without it nothing of that is there.

Keys are told one by one in `docs/configuration.md`; `deploy/cluster.toml` is an example.
"""

from __future__ import annotations

import os
from typing import Annotated, Literal

from msgspec import Meta, Struct, structs

from firwalk.cluster.messages import MOST_ZONES
from firwalk.cluster.zones import ZonePolicy
from firwalk.config import validation

Span = Annotated[float, Meta(gt=0, le=600)]  # seconds
Seats = list[Annotated[int, Meta(ge=0, le=65535)]]
LIVE = ("members", "plan", "log", "zones")  # what a running node takes over at SIGHUP


class Fleet(Struct, frozen=True):
    """`name`: nodes of one name act together; datagrams of another are dropped."""

    name: Annotated[str, Meta(min_length=1, max_length=100)]


class Members(Struct, frozen=True):
    """`period`: seconds between questions; `answer`: seconds in which one is answered directly."""

    period: Span = 0.5
    answer: Span = 0.15

    def __post_init__(self) -> None:
        if self.answer > self.period / 2:
            raise ValueError("answer: must be half of period at most")


class Lease(Struct, frozen=True):
    """`voters`: seats that grant the lease; `length`: its seconds; `drift`: how far clocks may run off, as a
    part (0.01: 1 in 100)."""

    voters: Seats
    length: Annotated[float, Meta(ge=0.2, le=60)] = 2.0
    drift: Annotated[float, Meta(ge=0, le=0.2)] = 0.01

    def __post_init__(self) -> None:
        wrong = []
        if len(self.voters) not in (1, 3, 5, 7):
            wrong.append(f"voters: 3, 5 or 7 seats are wanted (1: no failover), not {len(self.voters)}")
        if len(set(self.voters)) < len(self.voters):
            wrong.append("voters: each seat may stand there once")
        if wrong:
            raise ValueError("\n".join(wrong))


class Plan(Struct, frozen=True):
    """`report`: seconds between a follower's questions; `hold`: seconds for which an answer is good."""

    report: Span = 0.5
    hold: Span = 3.0

    def __post_init__(self) -> None:
        if self.hold < 3 * self.report:
            raise ValueError("hold: must be three times report at least: one lost answer must not end a plan")


class Zones(Struct, frozen=True):
    """`regions`: zones by region; those of one region are near each other (none: all zones are). `head_room`:
    the most of a zone that may be used when it takes traffic of others. `stays`: zones whose traffic must not
    leave their region. `order`: for a region, those to go to first. `drained`: zones that are to be out."""

    regions: dict[str, list[str]] = {}
    head_room: Annotated[float, Meta(ge=0.1, le=1)] = 0.8
    stays: list[str] = []
    order: dict[str, list[str]] = {}
    drained: list[str] = []

    def __post_init__(self) -> None:
        zones = [zone for names in self.regions.values() for zone in names]
        wrong = [
            f"regions: {zone} stands there twice" for zone in dict.fromkeys(zones) if zones.count(zone) > 1
        ]
        wrong += [f"stays: {zone} is in no region" for zone in self.stays if zone not in zones]
        wrong += [
            f"drained: {zone} is in no region" for zone in self.drained if self.regions and zone not in zones
        ]
        wrong += [
            f"order: there is no region {name}"
            for first, rest in self.order.items()
            for name in (first, *rest)
            if name not in self.regions
        ]
        if self.regions and not 1 <= len(zones) <= MOST_ZONES:
            wrong.append(f"regions: 1 to {MOST_ZONES} zones in all are wanted, not {len(zones)}")
        if wrong:
            raise ValueError("\n".join(wrong))

    def terms(self, names: list[str]) -> ZonePolicy:
        """By the zones' numbers, which are their places in the settings."""
        regions = list(self.regions)
        of = {zone: number for number, zones in enumerate(self.regions.values()) for zone in zones}
        return ZonePolicy(
            tuple(of.get(name, 0) for name in names),
            self.head_room,
            tuple(names.index(zone) for zone in self.stays),
            {regions.index(a): tuple(map(regions.index, rest)) for a, rest in self.order.items()},
            tuple(names.index(zone) for zone in self.drained if zone in names),
        )


class Budgets(Struct, frozen=True):
    """`contracts`: the file that says what each team may spend, beside this one; `length`: seconds for which
    a part of a budget is leased; `floor`: the part of each whole that is the nodes' for good, by equal parts.
    """

    contracts: Annotated[str, Meta(min_length=1)]
    length: Annotated[float, Meta(ge=0.2, le=60)] = 6.0
    floor: Annotated[float, Meta(ge=0, le=1)] = 0.05


class Stages(Struct, frozen=True):
    """`changes`: the folder of changes, beside this file; `at_once`: part of a zone's nodes that go over at a
    time; `settle`: seconds that a node must have told from the new version before the next ones go."""

    changes: Annotated[str, Meta(min_length=1)]
    at_once: Annotated[float, Meta(gt=0, le=1)] = 0.25
    settle: Annotated[float, Meta(ge=0, le=600)] = 1.0


class Log(Struct, frozen=True):
    """`events`: "changes" for lines to be read; "all" for every event as JSON, renewals too."""

    events: Literal["changes", "all"] = "changes"


class OperationsConfig(Struct, frozen=True):
    fleet: Fleet
    lease: Lease
    members: Members = Members()
    plan: Plan = Plan()
    log: Log = Log()
    zones: Zones | None = None
    budgets: Budgets | None = None
    stages: Stages | None = None


def load(path: str) -> tuple[OperationsConfig | None, list[str]]:
    """The file, checked, and what is wrong with it, a line each. Files that it names lie beside it."""
    told, faults = validation.load_toml(OperationsConfig, path)
    folder = os.path.dirname(os.path.abspath(path))
    if told is not None and told.budgets is not None:
        contracts = os.path.join(folder, told.budgets.contracts)
        told = structs.replace(told, budgets=structs.replace(told.budgets, contracts=contracts))
    if told is not None and told.stages is not None:
        changes = os.path.join(folder, told.stages.changes)
        told = structs.replace(told, stages=structs.replace(told.stages, changes=changes))
    return told, faults


def _contracts(path: str, settings: dict) -> list[str]:
    from firwalk.broker import contracts

    told, faults = contracts.load(path)
    return (
        faults if told is None else [f"{path}: {line}" for line in contracts.find_conflicts(told, settings)]
    )


def find_conflicts(operations: OperationsConfig, config: dict) -> list[str]:
    """What the file wants and the node's own configuration does not give, a line each."""
    settings, seats = config.get("settings", {}), len(config.get("peers") or [])
    wrong = []
    if not settings.get("limits", {}).get("peers"):
        wrong.append("settings.limits.peers: must be true: the file wants nodes to talk to each other")
    if not config.get("peer_listen"):
        wrong.append("peer_listen: is missing: the other nodes' datagrams come there")
    if not seats:
        wrong.append("peers: is missing: an address for each seat, the own one among them")
    elif not 0 <= settings.get("self-index", 0) < seats:
        wrong.append(f"settings.self-index: {settings.get('self-index', 0)} is no seat of the {seats} peers")
    for seat in operations.lease.voters:
        if seats and seat >= seats:
            wrong.append(f"lease.voters: there is no seat {seat} among the {seats} peers")
    if operations.budgets and operations.budgets.length < 2 * operations.lease.length:
        wrong.append(
            "budgets.length: must be twice lease.length at least: all parts would be over before "
            "there is another coordinator"
        )
    if operations.budgets:
        wrong += _contracts(operations.budgets.contracts, settings)
    if operations.stages and not config.get("management"):
        wrong.append("management: is missing: the agent and operators call a node there")
    names = settings.get("azs") or []
    regions = (operations.zones.regions if operations.zones else {}).values() or [names]
    told = [zone for zones in regions for zone in zones]
    wrong += [f"zones.regions: there is no zone {zone} in settings.azs" for zone in told if zone not in names]
    if operations.zones and len(names) > MOST_ZONES:
        wrong.append(f"zones: settings.azs has {len(names)} zones; the most is {MOST_ZONES}")
    drained = operations.zones.drained if operations.zones else []
    wrong += [
        f"zones.drained: there is no zone {zone} in settings.azs" for zone in drained if zone not in names
    ]
    wrong += [
        f"zones.regions: zone {name} of settings.azs is in no region" for name in names if name not in told
    ]
    return wrong
