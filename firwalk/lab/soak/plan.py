"""What one soak does, drawn from a seed: the deployment, the load, and every fault with its time.

The same seed draws the same plan. Times are seconds from the moment at which the load begins.
"""

from __future__ import annotations

import random
from enum import StrEnum

from msgspec import Struct, field

DURATION_S = 8.0  # of the load
RESTART_S = (0.2, 0.6)  # from the end of a process to the next start
HOLD_S = 0.15  # for which a process may be held up without an excuse
LONG_PAUSE_S = (0.4, 1.2)  # for which it may be stopped, with an excuse for what is late
EFFECTS = ("safe", "keyed", "unsafe")
KILL_MARGIN_S = 0.7  # from the longest deadline to the earliest kill
LONGEST_DEADLINE_S = 3.0


class FaultKind(StrEnum):
    """What can go wrong."""

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
# Weights: stops, which the incident was about, come in most soaks.
WEIGHTS = {FaultKind.STOP: 5.0, FaultKind.STOP_CROWDED: 1.5, FaultKind.UPGRADE: 2.0}


class RequestClass(Struct):
    """One class of requests of the deployment."""

    name: str
    effect: str
    deadline_s: float
    remembered_s: float
    work_s: float
    rate: float


class SignalAt(Struct):
    """One more signal within a stop, so long after SIGTERM (before it, if less than 0)."""

    name: str
    after_s: float


class Fault(Struct):
    """One fault; `target`: the number of a node or executor, or -1."""

    kind: FaultKind
    at: float
    lasts: float = 0.0
    target: int = -1
    value: float = 0.0
    signals: list[SignalAt] = field(default_factory=list)
    deadlines: dict[str, float] = field(default_factory=dict)  # of classes, that a reload brings


class SystemFaults(Struct):
    """Rates at which the calls of one node to the system fail or do less than asked."""

    short_read: float = 0.0
    short_write: float = 0.0
    accept: float = 0.0
    connect: float = 0.0
    late_connect: float = 0.0
    late_connect_s: float = 0.0


class ClientHabits(Struct):
    """Parts of the requests whose client does something special."""

    leaves: float
    writes_slowly: float
    stays_half: float


class SoakPlan(Struct):
    """All that one soak does."""

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
        """Of the deployment as it starts."""
        return max(one.deadline_s for one in self.classes)


def draw(seed: int) -> SoakPlan:
    """The plan of a seed."""
    chance = random.Random(f"soak {seed}")
    nodes, client_processes = chance.randint(2, 5), chance.randint(2, 6)
    executors = chance.randint(6, 24)
    longest = chance.choice([0.3, 0.5, 0.7, 1.0, 1.2, 2.0, 3.0])
    classes = _classes(chance, longest, nodes)
    return SoakPlan(
        seed=seed,
        nodes=nodes,
        executors=executors,
        client_processes=client_processes,
        slots=chance.randint(2, 6),
        classes=classes,
        habits=ClientHabits(
            chance.choice([0.0, 0.03]), chance.choice([0.0, 0.03]), chance.choice([0.0, 0.005])
        ),
        system=[_system(chance) for _ in range(nodes)],
        faults=_faults(chance, nodes, executors, classes),
        descriptors=chance.choice([256, 512]),
    )


def quiet(
    seed: int,
    faults: list[Fault],
    longest_s: float = 0.7,
    work_s: float = 0.02,
    slots: int = 4,
    leaves: float = 0.03,
    rate: float = 20.0,
) -> SoakPlan:
    """A small plan in which only the named faults come: to show what a check finds."""
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


def _classes(chance: random.Random, longest: float, nodes: int) -> list[RequestClass]:
    """Two to four classes, of which one has the longest deadline."""
    effects = [*EFFECTS, chance.choice(EFFECTS)][: chance.randint(2, 4)]
    chance.shuffle(effects)
    rate = nodes * chance.uniform(20.0, 50.0)
    deadlines = [longest] + [max(chance.uniform(0.3, 1.0) * longest, 0.25) for _ in effects[1:]]
    return [
        RequestClass(
            name=f"class-{number}",
            effect=effect,
            deadline_s=round(min(deadline, longest), 3),
            remembered_s=round(chance.choice([0.4, 1.0, 5.0]), 3),
            work_s=round(chance.uniform(0.01, 0.05), 3),
            rate=rate / len(effects),
        )
        for number, (effect, deadline) in enumerate(zip(effects, deadlines, strict=True))
    ]


def _system(chance: random.Random) -> SystemFaults:
    """For about half of the nodes something of it is on."""

    def rate(most: float) -> float:
        return round(chance.uniform(0.1, 1.0) * most, 4) if chance.random() < 0.3 else 0.0

    return SystemFaults(
        short_read=rate(0.3),
        short_write=rate(0.3),
        accept=rate(0.1),
        connect=rate(0.1),
        late_connect=rate(0.3),
        late_connect_s=round(chance.uniform(0.05, 1.0), 3),
    )


def _faults(chance: random.Random, nodes: int, executors: int, classes: list[RequestClass]) -> list[Fault]:
    """Between eight and sixteen, at any time; those on nodes come one after the other on each node."""
    kinds = list(FaultKind)
    weights = [WEIGHTS.get(kind, 1.0) for kind in kinds]
    faults: list[Fault] = []
    free_from = [0.5] * nodes  # when the last fault on each node is over
    for kind in chance.choices(kinds, weights, k=chance.randint(8, 16)):
        if kind in NODE_FAULTS:
            node = min(range(nodes), key=lambda n: free_from[n] + chance.random())
            if free_from[node] > DURATION_S - 1.0:
                continue
            fault = _node_fault(chance, kind, node, free_from[node], classes)
            free_from[node] = fault.at + fault.lasts + chance.uniform(0.1, 1.0)
            faults.append(fault)
        else:
            faults.append(_other_fault(chance, kind, executors))
    return sorted(faults, key=lambda fault: fault.at)


def _node_fault(
    chance: random.Random, kind: FaultKind, node: int, free_from: float, classes: list[RequestClass]
) -> Fault:
    at = round(free_from + chance.uniform(0.0, 1.5), 3)
    fault = Fault(kind, at, target=node)
    longest = max(one.deadline_s for one in classes)
    if kind in (FaultKind.STOP, FaultKind.STOP_CROWDED, FaultKind.UPGRADE):
        fault.lasts = min(longest, LONGEST_DEADLINE_S) + KILL_MARGIN_S + 1.5
        fault.value = round(chance.uniform(*RESTART_S), 3)
        fault.signals = _signals_within(chance, longest + KILL_MARGIN_S)
    elif kind is FaultKind.CRASH:
        fault.lasts, fault.value = 1.5, round(chance.uniform(*RESTART_S), 3)
    elif kind is FaultKind.HOLD:
        fault.lasts = HOLD_S
    elif kind is FaultKind.PAUSE:
        fault.lasts = round(chance.uniform(*LONG_PAUSE_S), 3)
    elif kind is FaultKind.RELOAD:
        # Never shorter than a request of the class may still wait: what is under way keeps its own.
        fault.deadlines = {one.name: round(chance.uniform(0.6, 1.2) * one.deadline_s, 3) for one in classes}
    elif kind is FaultKind.CLOCK_STEP:
        fault.value = chance.choice([-3600.0, -5.0, -0.5, 0.5, 5.0, 3600.0])
    return fault


def _signals_within(chance: random.Random, until: float) -> list[SignalAt]:
    """Further signals of a stop: SIGTERM and SIGHUP again, and a moment in which it stands still."""
    signals = []
    if chance.random() < 0.4:
        signals.append(SignalAt("SIGTERM", round(chance.uniform(0.0, until), 3)))
    if chance.random() < 0.4:
        signals.append(SignalAt("SIGHUP", round(chance.uniform(-0.1, until), 3)))
    if chance.random() < 0.4:
        held = round(chance.uniform(-HOLD_S, until), 3)
        signals += [SignalAt("SIGSTOP", held), SignalAt("SIGCONT", round(held + HOLD_S, 3))]
    return signals


def _other_fault(chance: random.Random, kind: FaultKind, executors: int) -> Fault:
    at = round(chance.uniform(0.0, DURATION_S - 1.0), 3)
    fault = Fault(kind, at, lasts=round(chance.uniform(0.5, 4.0), 3))
    if kind.value.startswith("executor_"):
        fault.target = chance.randrange(executors)
        fault.value = round(chance.uniform(0.2, 1.0), 2)  # part of the requests that it meets
    elif kind is FaultKind.CROWD:
        fault.value = chance.randint(30, 150)
    elif kind in DISCOVERY_FAULTS:
        fault.target = chance.choice([-1, 0, 1])  # -1: for all nodes
    return fault


def earliest_kill_s(longest_deadline_s: float) -> float:
    """From SIGTERM to the earliest SIGKILL that the deployment allows."""
    return min(longest_deadline_s, LONGEST_DEADLINE_S) + KILL_MARGIN_S
