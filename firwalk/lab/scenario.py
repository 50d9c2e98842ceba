"""Scenarios: validated TOML files of a fleet, its load and scheduled faults; keys are in `docs/lab.md`."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Any, Literal, get_args

from msgspec import Meta, Struct, field

from firwalk.cluster.messages import Message
from firwalk.config import validation
from firwalk.lab.deployment import common_settings

SHIPPED = Path(__file__).parents[2] / "lab" / "scenarios"
Fraction = Annotated[float, Meta(ge=0, le=1)]
Seconds = Annotated[float, Meta(ge=0, le=600)]
Positive = Annotated[float, Meta(gt=0, le=600)]
LINK_FAULTS = ("cut", "loss", "delay", "jitter", "double", "reorder", "slow", "flicker")
NODE_FAULTS = (
    "kill",
    "kill-on",
    "stop",
    "term",
    "upgrade",
    "burn",
    "clock",
    "drift",
    "flood",
    "contracts",
    "roll",
    "agent-kill",
)
ROLLOUT_COMMANDS = ("start", "hold", "resume", "back")
# Agents do these themselves or prevent them, so they need nodes without agents.
FAULTS_WITHOUT_AGENTS = ("term", "upgrade", "burn", "clock", "drift")
EXECUTOR_FAULTS = (
    "executor-slow",
    "executor-errors",
    "executor-silent",
    "executor-restart",
    "executor-drain",
)
FAULTS_WITH_VALUE = (
    "kill-on",
    "loss",
    "delay",
    "jitter",
    "double",
    "reorder",
    "slow",
    "clock",
    "drift",
    "executor-slow",
    "executor-errors",
    "flood",
    "contracts",
)
REPEAT_SETTINGS = {"idempotent": "safe", "fingerprinted": "keyed", "side-effecting": "unsafe"}
# The value of these faults is a fraction from 0 to 1.
FRACTION_FAULTS = ("loss", "double", "reorder", "executor-errors")


class Run(Struct, frozen=True):
    seconds: Annotated[float, Meta(ge=1, le=3600)] = 10.0
    seed: Annotated[int, Meta(ge=0)] = 1
    network: Annotated[str, Meta(pattern=r"^127\.\d{1,3}$")] = ""
    description: str = ""


class Fleet(Struct, frozen=True):
    nodes: Annotated[int, Meta(ge=1, le=24)] = 3
    zones: Annotated[int, Meta(ge=1, le=6)] = 1
    executors: Annotated[int, Meta(ge=1, le=60)] = 6
    slots: Annotated[int, Meta(ge=1, le=64)] = 4
    speed: Annotated[float, Meta(gt=0, le=100)] = 1.0
    cold_for: Seconds = 2.0
    cold_from: Fraction = 0.2
    memory_mb: Annotated[float, Meta(ge=32)] = 128


class Cluster(Struct, frozen=True):
    voters: list[Annotated[int, Meta(ge=0, le=23)]]
    length: Positive = 2.0
    drift: Fraction = 0.01
    period: Positive = 0.5
    answer: Positive = 0.15
    report: Positive = 0.5
    hold: Positive = 3.0
    regions: list[list[str]] = []
    head_room: Annotated[float, Meta(ge=0.1, le=1)] = 0.8
    part_length: Annotated[float, Meta(ge=0.2, le=60)] = 6.0


class Offering(Struct, frozen=True):
    name: Annotated[str, Meta(pattern=r"^[a-z][a-z0-9-]*$")]
    effect: Literal["idempotent", "fingerprinted", "side-effecting"] = "idempotent"
    group: Literal["all", "zone", "cell"] = "all"
    rate: Annotated[float, Meta(gt=0, le=5000)] = 20.0
    cost: Positive = 0.02
    due: Positive = 1.0
    expiry: Positive = 2.0
    importance: Annotated[float, Meta(gt=0)] = 1.0
    hint: Annotated[float, Meta(gt=0, le=100)] = 1.0
    team: str = ""
    begins: Seconds = 0.0
    ends: Seconds = 600.0


class Team(Struct, frozen=True):
    """A team's contract, for the contracts file."""

    name: Annotated[str, Meta(pattern=r"^[a-z][a-z0-9-]*$")]
    budget: Positive
    period: Positive = 1.0
    burst: Positive = 1.0
    beyond: Literal["bounce", "lower"] = "bounce"
    guaranteed: Annotated[float, Meta(ge=0, le=600)] = 0.0


class Roll(Struct, frozen=True):
    """A prepared change, with agents that start the nodes.

    The change is a `new` version, of a kind of `firwalk.lab.versions` (`harms` lists the only nodes that it
    harms; empty: all), or `settings` that replace the nodes' own, or `contracts`, a factor for the budgets of
    the scenario's teams. `old` is the folder of an older program, which nodes with an odd number run from the
    start. `compare` goes into the change's file, `settle` and `at_once` into the operations file, `ready`,
    `confirm` and `hang` into the agents' configuration. With `check`, the agents check results.
    """

    new: Literal[
        "good",
        "errors",
        "slow",
        "wrong",
        "spoilt",
        "crash",
        "no-start",
        "dies",
        "hangs",
        "leak",
        "mute",
        "drops-what-is-handed-over",
    ] = "good"
    harms: list[Annotated[int, Meta(ge=0)]] = []
    settings: dict[str, Any] = {}
    contracts: Annotated[float, Meta(ge=0)] = 0.0
    old: str = ""
    stages: list[str | int | float | list[int]] = field(default_factory=lambda: ["one", "zone", "all"])
    compare: dict[str, float] = {}
    settle: Seconds = 1.0
    at_once: Fraction = 0.5
    ready: Positive = 10.0
    confirm: Positive = 6.0
    hang: Positive = 2.0
    check: bool = False


class Load(Struct, frozen=True):
    retries: Annotated[int, Meta(ge=0, le=10)] = 2
    zones: list[Annotated[float, Meta(ge=0)]] = []


class Fault(Struct, frozen=True):
    at: Seconds
    kind: Literal[
        "cut",
        "loss",
        "delay",
        "jitter",
        "double",
        "reorder",
        "slow",
        "flicker",
        "kill",
        "stop",
        "kill-on",
        "term",
        "upgrade",
        "burn",
        "clock",
        "drift",
        "flood",
        "executor-slow",
        "executor-errors",
        "executor-silent",
        "executor-restart",
        "executor-drain",
        "contracts",
        "roll",
        "agent-kill",
    ]
    lasts: Seconds = 0.0
    on: list[str] = []
    to: list[str] = []
    value: float = 0.0
    one_way: bool = False
    message: str = ""


class Scenario(Struct, frozen=True):
    fleet: Fleet
    offerings: list[Offering]
    run: Run = Run()
    load: Load = Load()
    cluster: Cluster | None = None
    teams: list[Team] = []
    roll: Roll | None = None
    faults: list[Fault] = []


def zone_name(number: int) -> str:
    """Return the letter of a zone."""
    return "abcdef"[number]


def settings(scenario: Scenario, node: int) -> dict:
    """Return the `settings` of a node's configuration."""
    fleet = scenario.fleet
    return common_settings(node, fleet.nodes, fleet.cold_from, fleet.cold_for, peers=True) | {
        "az": node % fleet.zones,
        "azs": [zone_name(n) for n in range(fleet.zones)],
        "clients": {"marks-retry": True},
        "prices": {"cross-zone": 0.05 if fleet.zones > 1 else 0.0, "handshake": 0.001},
        "tenants": [{"name": team.name} for team in scenario.teams],
        "offerings": [
            {
                "name": o.name,
                "due-time-us": int(o.due * 1e6),
                "expiry-us": int(o.expiry * 1e6),
                "repeat": REPEAT_SETTINGS[o.effect],
                "group": o.group,
                "key-ttl-us": 30000000,
                "importance": o.importance,
            }
            for o in scenario.offerings
        ],
    }


def load(path: str) -> tuple[Scenario | None, list[str]]:
    """Load a scenario from a file or, by name, from those shipped; return it with a list of errors."""
    known = SHIPPED / f"{path}.toml"
    if not Path(path).exists() and known.exists():
        path = str(known)
    scenario, faults = validation.load_toml(Scenario, path)
    if scenario is not None:
        faults = [f"{path}: {fault}" for fault in _validate(scenario)]
    return (None if faults else scenario), faults


def _validate(scenario: Scenario) -> list[str]:
    errors, fleet = [], scenario.fleet
    if not scenario.offerings:
        errors.append("offerings: at least one is required")
    names = [offering.name for offering in scenario.offerings]
    errors += [
        f"offerings: {name} is defined twice" for name in dict.fromkeys(names) if names.count(name) > 1
    ]
    errors += [
        f"offerings.{offering.name}: due must not be later than expiry"
        for offering in scenario.offerings
        if offering.due > offering.expiry
    ]
    if fleet.zones > fleet.nodes or fleet.zones > fleet.executors:
        errors.append(f"fleet.zones: {fleet.zones} zones need as many nodes and executors")
    if scenario.load.zones and len(scenario.load.zones) != fleet.zones:
        errors.append(f"load.zones: a share for each of {fleet.zones} zones is required")
    teams = [team.name for team in scenario.teams]
    errors += [
        f"offerings.{offering.name}.team: there is no team {offering.team}"
        for offering in scenario.offerings
        if offering.team and offering.team not in teams
    ]
    errors += [f"teams: {name} is defined twice" for name in dict.fromkeys(teams) if teams.count(name) > 1]
    if teams and scenario.cluster is None:
        errors.append("teams: [cluster] is required to divide their budgets")
    if scenario.roll is not None and scenario.cluster is None:
        errors.append("roll: [cluster] is required to agree on the change")
    for seat in scenario.cluster.voters if scenario.cluster else ():
        if seat >= fleet.nodes:
            errors.append(f"cluster.voters: there is no node {seat}")
    for number, fault in enumerate(scenario.faults):
        errors += [f"faults[{number}].{line}" for line in _validate_fault(scenario, fault)]
    return errors


def _validate_fault(scenario: Scenario, fault: Fault) -> list[str]:
    errors = []
    if fault.at > scenario.run.seconds:
        errors.append(f"at: {fault.at:g} is after the end of the run")
    for word in ("on", "to"):
        for name in getattr(fault, word):
            if not endpoints(scenario, name):
                errors.append(f"{word}: there is no {name}; known are {_known_endpoints(scenario)}")
    if not fault.on:
        errors.append("on: is missing")
    if fault.kind in LINK_FAULTS and not fault.to:
        errors.append(f"to: is missing: {fault.kind} applies between two sides")
    if fault.kind in FAULTS_WITH_VALUE and not fault.value:
        errors.append(f"value: is missing: the amount of {fault.kind}")
    if fault.kind in ("roll", "agent-kill") and scenario.roll is None:
        errors.append(f"kind: {fault.kind} needs [roll], which says what the new version is")
    if fault.kind == "roll" and fault.message not in ROLLOUT_COMMANDS:
        errors.append(f"message: must be one of {', '.join(ROLLOUT_COMMANDS)}, not {fault.message!r}")
    if fault.kind in FAULTS_WITHOUT_AGENTS and scenario.roll is not None:
        errors.append(f"kind: {fault.kind} is not available where agents start the nodes")
    if fault.kind == "kill-on" and not _message_type(fault.message):
        errors.append(
            f"message: there is no {fault.message or 'message named'} between nodes; known are "
            f"{', '.join(sorted(kind.__name__.lower() for kind in get_args(Message)))}"
        )
    if fault.kind in FRACTION_FAULTS and not 0 <= fault.value <= 1:
        errors.append(f"value: must be a fraction from 0 to 1, not {fault.value:g}")
    return errors


def _message_type(name: str) -> type | None:
    """Return the type of a message between nodes by its lower-case name."""
    return next((kind for kind in get_args(Message) if kind.__name__.lower() == name), None)


def _known_endpoints(scenario: Scenario) -> str:
    fleet = scenario.fleet
    return (
        f"node:0 to node:{fleet.nodes - 1}, nodes, executor:0 to executor:{fleet.executors - 1}, "
        f"executors, zone:a to zone:{zone_name(fleet.zones - 1)}, nodes:a, executors:a and so on"
        + (", voters, coordinator, other-voters, other-nodes" if scenario.cluster else "")
    )


def endpoints(scenario: Scenario, name: str, coordinator: int | None = None) -> list[tuple[str, int]]:
    """Return the ends that a name stands for, as ("node", number) and ("executor", number).

    The list is empty for unknown names. Until there is a coordinator, the first voter is used in its place.
    """
    fleet = scenario.fleet
    nodes = [("node", n) for n in range(fleet.nodes)]
    executors = [("executor", n) for n in range(fleet.executors)]
    kind, _, which = name.partition(":")
    if name == "nodes":
        return nodes
    if name == "executors":
        return executors
    if scenario.cluster and name in ("voters", "coordinator", "other-voters", "other-nodes"):
        voters = [("node", seat) for seat in scenario.cluster.voters]
        first = voters[0] if coordinator is None else ("node", coordinator)
        return {
            "voters": voters,
            "coordinator": [first],
            "other-nodes": [n for n in nodes if n != first],
            "other-voters": [n for n in voters if n != first],
        }[name]
    if kind in ("node", "executor") and which.isdecimal():
        return [end for end in (nodes if kind == "node" else executors) if end[1] == int(which)]
    zones = [zone_name(n) for n in range(fleet.zones)]
    if kind in ("zone", "nodes", "executors") and which in zones:
        zone = zones.index(which)
        members = [end for end in nodes + executors if end[1] % fleet.zones == zone]
        return [end for end in members if kind == "zone" or end[0] == kind[:-1]]
    return []
