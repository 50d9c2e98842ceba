"""Soak plans generated from a seed: the deployment, the load and the schedule of faults.

The same seed gives the same plan. Times are in seconds from the start of the load.
"""

from __future__ import annotations

import random
from enum import StrEnum

from msgspec import Struct, field

DURATION_S = 8.0
RESTART_S = (0.2, 0.6)  # A node is restarted this long after its process ended.
SHORT_PAUSE_S = 0.15  # A pause of this length excuses no late answer.
LONG_PAUSE_S = (0.4, 1.2)  # A pause of this length excuses late answers.
EFFECTS = ("safe", "keyed", "unsafe")
KILL_MARGIN_S = 0.7  # SIGKILL comes at the earliest this long after the longest deadline has passed.
LONGEST_DEADLINE_S = 3.0


class FaultKind(StrEnum):
    """Kinds of injected faults."""

    STOP = "stop"
    STOP_CROWDED = "stop_crowded"
    UPGRADE = "upgrade"
    CRASH = "crash"
    HOLD = "hold"
    PAUSE = "pause"
    RELOAD = "reload"
    CLOCK_STEP = "clock_step"
    EXECUTOR_HANG = "executor_hang"
    EXECUTOR_MUTE = "executor_mute"
    EXECUTOR_RESET = "executor_reset"
    EXECUTOR_CLOSE = "executor_close"
    EXECUTOR_ERROR = "executor_error"
    EXECUTOR_SLOW = "executor_slow"
    EXECUTOR_DRAIN = "executor_drain"
    EXECUTOR_RESTART = "executor_restart"
    WATCH_END = "watch_end"
    WATCH_SILENT = "watch_silent"
    WATCH_DRIP = "watch_drip"
    DISCOVERY_DOWN = "discovery_down"
    CROWD = "crowd"


NODE_FAULTS = (
    FaultKind.STOP,
    FaultKind.STOP_CROWDED,
    FaultKind.UPGRADE,
    FaultKind.CRASH,
    FaultKind.HOLD,
    FaultKind.PAUSE,
    FaultKind.RELOAD,
    FaultKind.CLOCK_STEP,
)
EXECUTOR_MODES = (
    FaultKind.EXECUTOR_HANG,
    FaultKind.EXECUTOR_MUTE,
    FaultKind.EXECUTOR_RESET,
    FaultKind.EXECUTOR_CLOSE,
    FaultKind.EXECUTOR_ERROR,
    FaultKind.EXECUTOR_SLOW,
)
DISCOVERY_FAULTS = (
    FaultKind.WATCH_END,
    FaultKind.WATCH_SILENT,
    FaultKind.WATCH_DRIP,
    FaultKind.DISCOVERY_DOWN,
)
# Stops are weighted to occur in most soaks, since the production incident was about them.
FAULT_WEIGHTS = {FaultKind.STOP: 5.0, FaultKind.STOP_CROWDED: 1.5, FaultKind.UPGRADE: 2.0}


class RequestClass(Struct):
    """Request class of the deployment, with its load."""

    name: str
    effect: str
    deadline_s: float
    remembered_s: float
    work_s: float
    rate: float


class SignalAt(Struct):
    """Additional signal during a stop, relative to SIGTERM; negative times precede it."""

    name: str
    after_s: float


class Fault(Struct):
    """Scheduled fault; `target` is the number of a node or executor, or -1."""

    kind: FaultKind
    at: float
    lasts: float = 0.0
    target: int = -1
    value: float = 0.0
    signals: list[SignalAt] = field(default_factory=list)
    deadlines: dict[str, float] = field(default_factory=dict)  # New deadline of each class after a reload.


class SystemFaults(Struct):
    """Rates at which system calls of one node fail or transfer less than requested."""

    short_read: float = 0.0
    short_write: float = 0.0
    accept: float = 0.0
    connect: float = 0.0
    late_connect: float = 0.0
    late_connect_s: float = 0.0


class ClientHabits(Struct):
    """Fractions of requests whose client disconnects, writes slowly or sends part of a request."""

    leaves: float
    writes_slowly: float
    stays_half: float


class SoakPlan(Struct):
    """Deployment, load and faults of one soak."""

    seed: int
    nodes: int
    executors: int
    client_processes: int
    slots: int
    classes: list[RequestClass]
    habits: ClientHabits
    system: list[SystemFaults]
    faults: list[Fault]
    descriptors: int
    duration_s: float = DURATION_S

    def longest_deadline_s(self) -> float:
        """Return the longest deadline of any class at startup."""
        return max(one.deadline_s for one in self.classes)


def generate_plan(seed: int) -> SoakPlan:
    """Return the plan of a seed."""
    rng = random.Random(f"soak {seed}")
    nodes, client_processes = rng.randint(2, 5), rng.randint(2, 6)
    executors = rng.randint(6, 24)
    longest = rng.choice([0.3, 0.5, 0.7, 1.0, 1.2, 2.0, 3.0])
    classes = _request_classes(rng, longest, nodes)
    return SoakPlan(
        seed=seed,
        nodes=nodes,
        executors=executors,
        client_processes=client_processes,
        slots=rng.randint(2, 6),
        classes=classes,
        habits=ClientHabits(rng.choice([0.0, 0.03]), rng.choice([0.0, 0.03]), rng.choice([0.0, 0.005])),
        system=[_system_faults(rng) for _ in range(nodes)],
        faults=_fault_schedule(rng, nodes, executors, classes),
        descriptors=rng.choice([256, 512]),
    )


def minimal_plan(
    seed: int,
    faults: list[Fault],
    longest_s: float = 0.7,
    work_s: float = 0.02,
    slots: int = 4,
    leaves: float = 0.03,
    rate: float = 20.0,
) -> SoakPlan:
    """Return a small plan with only the given faults, to test single rules of the checker."""
    classes = [
        RequestClass(f"class-{number}", effect, longest_s, 5.0, work_s, rate)
        for number, effect in enumerate(EFFECTS)
    ]
    return SoakPlan(
        seed=seed,
        nodes=2,
        executors=6,
        client_processes=2,
        slots=slots,
        classes=classes,
        habits=ClientHabits(leaves, 0.0, 0.0),
        system=[SystemFaults(), SystemFaults()],
        faults=faults,
        descriptors=512,
        duration_s=3.0,
    )


def _request_classes(rng: random.Random, longest: float, nodes: int) -> list[RequestClass]:
    """Return two to four classes, one of which has the longest deadline."""
    effects = [*EFFECTS, rng.choice(EFFECTS)][: rng.randint(2, 4)]
    rng.shuffle(effects)
    rate = nodes * rng.uniform(20.0, 50.0)
    deadlines = [longest] + [max(rng.uniform(0.3, 1.0) * longest, 0.25) for _ in effects[1:]]
    return [
        RequestClass(
            name=f"class-{number}",
            effect=effect,
            deadline_s=round(min(deadline, longest), 3),
            remembered_s=round(rng.choice([0.4, 1.0, 5.0]), 3),
            work_s=round(rng.uniform(0.01, 0.05), 3),
            rate=rate / len(effects),
        )
        for number, (effect, deadline) in enumerate(zip(effects, deadlines, strict=True))
    ]


def _system_faults(rng: random.Random) -> SystemFaults:
    """Return fault rates for one node; each is nonzero with a probability of 0.3."""

    def rate(max_rate: float) -> float:
        return round(rng.uniform(0.1, 1.0) * max_rate, 4) if rng.random() < 0.3 else 0.0

    return SystemFaults(
        short_read=rate(0.3),
        short_write=rate(0.3),
        accept=rate(0.1),
        connect=rate(0.1),
        late_connect=rate(0.3),
        late_connect_s=round(rng.uniform(0.05, 1.0), 3),
    )


def _fault_schedule(
    rng: random.Random, nodes: int, executors: int, classes: list[RequestClass]
) -> list[Fault]:
    """Draw eight to sixteen faults in order of time.

    Faults on the same node do not overlap; those that no longer fit into the load are dropped.
    """
    kinds = list(FaultKind)
    weights = [FAULT_WEIGHTS.get(kind, 1.0) for kind in kinds]
    faults: list[Fault] = []
    free_from = [0.5] * nodes  # End of the last fault on each node.
    for kind in rng.choices(kinds, weights, k=rng.randint(8, 16)):
        if kind in NODE_FAULTS:
            node = min(range(nodes), key=lambda n: free_from[n] + rng.random())
            if free_from[node] > DURATION_S - 1.0:
                continue
            fault = _node_fault(rng, kind, node, free_from[node], classes)
            free_from[node] = fault.at + fault.lasts + rng.uniform(0.1, 1.0)
            faults.append(fault)
        else:
            faults.append(_other_fault(rng, kind, executors))
    return sorted(faults, key=lambda fault: fault.at)


def _node_fault(
    rng: random.Random, kind: FaultKind, node: int, free_from: float, classes: list[RequestClass]
) -> Fault:
    at = round(free_from + rng.uniform(0.0, 1.5), 3)
    fault = Fault(kind, at, target=node)
    longest = max(one.deadline_s for one in classes)
    if kind in (FaultKind.STOP, FaultKind.STOP_CROWDED, FaultKind.UPGRADE):
        fault.lasts = min(longest, LONGEST_DEADLINE_S) + KILL_MARGIN_S + 1.5
        fault.value = round(rng.uniform(*RESTART_S), 3)
        fault.signals = _stop_signals(rng, longest + KILL_MARGIN_S)
    elif kind is FaultKind.CRASH:
        fault.lasts, fault.value = 1.5, round(rng.uniform(*RESTART_S), 3)
    elif kind is FaultKind.HOLD:
        fault.lasts = SHORT_PAUSE_S
    elif kind is FaultKind.PAUSE:
        fault.lasts = round(rng.uniform(*LONG_PAUSE_S), 3)
    elif kind is FaultKind.RELOAD:
        # Shortening a deadline is safe: requests in flight keep the deadline that they started with.
        fault.deadlines = {one.name: round(rng.uniform(0.6, 1.2) * one.deadline_s, 3) for one in classes}
    elif kind is FaultKind.CLOCK_STEP:
        fault.value = rng.choice([-3600.0, -5.0, -0.5, 0.5, 5.0, 3600.0])
    return fault


def _stop_signals(rng: random.Random, until: float) -> list[SignalAt]:
    """Return additional signals for a stop: SIGTERM, SIGHUP and a short SIGSTOP."""
    signals = []
    if rng.random() < 0.4:
        signals.append(SignalAt("SIGTERM", round(rng.uniform(0.0, until), 3)))
    if rng.random() < 0.4:
        signals.append(SignalAt("SIGHUP", round(rng.uniform(-0.1, until), 3)))
    if rng.random() < 0.4:
        pause_at = round(rng.uniform(-SHORT_PAUSE_S, until), 3)
        signals += [SignalAt("SIGSTOP", pause_at), SignalAt("SIGCONT", round(pause_at + SHORT_PAUSE_S, 3))]
    return signals


def _other_fault(rng: random.Random, kind: FaultKind, executors: int) -> Fault:
    at = round(rng.uniform(0.0, DURATION_S - 1.0), 3)
    fault = Fault(kind, at, lasts=round(rng.uniform(0.5, 4.0), 3))
    if kind.value.startswith("executor_"):
        fault.target = rng.randrange(executors)
        fault.value = round(rng.uniform(0.2, 1.0), 2)  # Fraction of requests affected.
    elif kind is FaultKind.CROWD:
        fault.value = rng.randint(30, 150)
    elif kind in DISCOVERY_FAULTS:
        fault.target = rng.choice([-1, 0, 1])  # -1 affects all nodes.
    return fault


def earliest_kill_s(longest_deadline_s: float) -> float:
    """Return the time from SIGTERM to the earliest SIGKILL that the deployment allows."""
    return min(longest_deadline_s, LONGEST_DEADLINE_S) + KILL_MARGIN_S
