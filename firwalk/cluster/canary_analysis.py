"""Whether nodes on a new version (canaries) do worse than those on the old one (the baseline), of the same
zones in the same time.

Sources: Wald, "Sequential Tests of Statistical Hypotheses" (Annals of Mathematical Statistics 16, 1945), for
the bounds; McCullagh and Nelder, "Generalized Linear Models" (1989), 4.5, for the dispersion that divides the
evidence, since nodes differ by more than chance. Alternatives: `docs/stages.md`.

No I/O. Ratios are parts of 1; times are compared by their natural logarithms.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from math import log
from typing import NamedTuple

from firwalk.cluster.canary_counters import (
    ABANDONED,
    ALL,
    ASSIGNMENTS,
    BAD,
    BOUNCED,
    ERRORS,
    LATE,
    TIME,
    Key,
    Row,
    Sums,
    pooled,
)
from firwalk.cluster.canary_evidence import evidence_for, possible, variance

__all__ = [
    "ABANDONED",
    "ALL",
    "ASSIGNMENTS",
    "BAD",
    "BOUNCED",
    "ERRORS",
    "LATE",
    "TIME",
    "CanaryAnalysis",
    "HarmThresholds",
    "Key",
    "Pasts",
    "Row",
    "Verdict",
]

TESTED_FACTORS = (1.0, 4.0)  # times the threshold (first): plain harm shows with few requests
MIN_NODE_COUNT = 5  # observations of a node, with fewer its spread says nothing
PRIOR_FREEDOM = 4.0  # degrees of freedom by which the dispersion is held towards 1
MIN_PAST_COUNT = 50  # observations of a node's past
PAST_DEVIATIONS = 3.0  # standard deviations off its zone, from which a node's past is its own
MIN_WITHIN = 1e-6


class Verdict(IntEnum):
    """As numbered in the plan."""

    UNSURE = 0
    FINE = 1
    WORSE = 2


@dataclass(frozen=True)
class HarmThresholds:
    """From which difference a figure is worse: in parts of the requests (`errors`: of the attempts), further
    attempts per request, times as long. `false_stop`, `miss`: chances, over all stages and for each."""

    late: float = 0.05
    abandoned: float = 0.03
    bounced: float = 0.05
    bad: float = 0.1
    errors: float = 0.05
    assignments: float = 0.2
    time: float = 1.2
    false_stop: float = 0.01
    miss: float = 0.01

    def step(self, name: str) -> float:
        """The difference of the means that is tested, of the figure of this name."""
        if name == TIME:
            return log(self.time)
        threshold: float = getattr(self, name)
        return threshold


@dataclass(slots=True)
class Side:
    """One figure of one zone: by node, on the new version and on the old one."""

    new: dict[int, Sums] = field(default_factory=dict)
    old: dict[int, Sums] = field(default_factory=dict)


class NodeFigure(NamedTuple):
    """A figure of one node."""

    key: Key
    zone: int
    node_id: int


class Pasts:
    """What each node counted before the rollout.

    What stands off its zone by more than chance is the node's own, for example slower executors, and is
    taken off what the node counts since. Without that, good versions were stopped on such nodes.
    """

    def __init__(self) -> None:
        self.zones: dict[Key, dict[int, dict[int, Sums]]] = {}
        self.offsets: dict[NodeFigure, float] = {}

    def add(self, zone: int, node_id: int, row: Row) -> None:
        """Adds what a node counted before the rollout."""
        for key, sample in row.figures().items():
            if sample.size:
                nodes = self.zones.setdefault(key, {}).setdefault(zone, {})
                nodes.setdefault(node_id, Sums()).add(*sample)

    def own(self, key: Key, zone: int, node_id: int) -> float:
        """By how much the node's mean stands off; the same at each call."""
        figure = NodeFigure(key, zone, node_id)
        if figure not in self.offsets:
            self.offsets[figure] = _offset(key[0], self.zones.get(key, {}).get(zone, {}), node_id)
        return self.offsets[figure]


def _offset(name: str, nodes: dict[int, Sums], node_id: int) -> float:
    known = {other: sums for other, sums in nodes.items() if sums.count >= MIN_PAST_COUNT}
    own = known.get(node_id)
    others = pooled({other: sums for other, sums in known.items() if other != node_id})
    if own is None or not others.count:
        return 0.0
    difference = own.mean() - others.mean()
    spread = variance(name, others) * (1.0 / own.count + 1.0 / others.count)
    if difference * difference <= PAST_DEVIATIONS * PAST_DEVIATIONS * spread:
        return 0.0
    # Off the mean of all: off that of the others, each would be moved past the middle.
    return own.mean() - pooled(known).mean()


class FigureSummary(NamedTuple):
    """The means of both versions, weighted by what the new nodes of each zone did, and the observations
    behind each."""

    new: float
    old: float
    new_count: float
    old_count: float


class EvidenceBounds(NamedTuple):
    """Logarithms of likelihood ratios: the smaller one for a stop, the larger one for a pass."""

    for_stop: float
    for_pass: float


class CanaryAnalysis:
    """The sequential tests of one stage. `stages`: the number of analyses of the rollout, among which the
    chance of a false stop is divided; `past`: what the nodes counted before it."""

    def __init__(self, worse: HarmThresholds, stages: int, past: Pasts | None = None) -> None:
        self.worse = worse
        self.stages = max(stages, 1)
        self.past = past or Pasts()
        self.zones: dict[Key, dict[int, Side]] = {}
        self.fine: dict[Key, None] = {}  # passed in some round: a sequential test ends at its bound

    def add(self, zone: int, node_id: int, new: bool, row: Row) -> None:
        """Adds what a node counted in a time in which the other side of its zone counted as well."""
        for key, (count, total, squares) in row.figures().items():
            if not count:
                continue
            side = self.zones.setdefault(key, {}).setdefault(zone, Side())
            if own := self.past.own(key, zone, node_id):
                squares += count * own * own - 2.0 * own * total
                total -= count * own
            (side.new if new else side.old).setdefault(node_id, Sums()).add(count, total, squares)

    def _dispersion(self, key: Key) -> float:
        """How much more the old nodes of a zone differ than by chance; 1: as by chance."""
        square = 0.0
        freedom = 0
        for side in self.zones[key].values():
            nodes = [sums for sums in side.old.values() if sums.count >= MIN_NODE_COUNT]
            if len(nodes) < 2:
                continue
            baseline = pooled(side.old)
            mean = baseline.mean()
            within = variance(key[0], baseline)
            deviations = sum(node.count * (node.mean() - mean) ** 2 for node in nodes)
            square += deviations / max(within, MIN_WITHIN)
            freedom += len(nodes) - 1
        return max((square + PRIOR_FREEDOM) / (freedom + PRIOR_FREEDOM), 1.0)

    def evidence(self, key: Key, times: float = 1.0) -> EvidenceBounds:
        """The evidence for worse by `times` the threshold over the same."""
        name = key[0]
        step = self.worse.step(name) * times
        exact = 0.0
        normal = 0.0
        cautious = 0.0
        for side in self.zones.get(key, {}).values():
            new = possible(name, pooled(side.new))
            old = possible(name, pooled(side.old))
            if not _is_comparable(name, new, old):
                continue
            found = evidence_for(name, new, old, step)
            exact = exact + found.exact
            normal = normal + found.normal
            cautious = cautious + found.cautious
        dispersion = self._dispersion(key) if key in self.zones else 1.0
        return EvidenceBounds(min(exact, cautious) / dispersion, max(exact, normal) / dispersion)

    def _bounds(self) -> tuple[float, float]:
        """Of Wald's test, above which a figure is worse and below which it is fine."""
        stop = self.worse.false_stop / (self.stages * max(len(self.zones), 1) * len(TESTED_FACTORS))
        return log((1.0 - self.worse.miss) / stop), log(self.worse.miss / (1.0 - stop))

    def verdict(self, key: Key) -> Verdict:
        """Of one figure."""
        upper, lower = self._bounds()
        found = [self.evidence(key, times) for times in TESTED_FACTORS]
        if any(for_stop >= upper for for_stop, _ in found):
            return Verdict.WORSE
        if key in self.fine or found[0][1] <= lower:
            self.fine[key] = None
            return Verdict.FINE
        return Verdict.UNSURE

    def judged(self) -> tuple[Verdict, Key | None]:
        """Of all figures together: worse if one is, fine if all are; and the figure that decided. With
        nothing to compare it is unsure."""
        found = {key: self.verdict(key) for key in sorted(self.zones)}
        for verdict in (Verdict.WORSE, Verdict.UNSURE):
            for key, one in found.items():
                if one is verdict:
                    return verdict, key
        return (Verdict.FINE if found else Verdict.UNSURE), None

    def shown(self, key: Key) -> FigureSummary:
        """The figure for operators."""
        new = 0.0
        old = 0.0
        new_count = 0.0
        old_count = 0.0
        for side in self.zones.get(key, {}).values():
            canaries = pooled(side.new)
            baseline = pooled(side.old)
            if canaries.count and baseline.count:
                new = new + canaries.total
                old = old + baseline.mean() * canaries.count
                new_count = new_count + canaries.count
                old_count = old_count + baseline.count
        weight = max(new_count, 1.0)
        return FigureSummary(new / weight, old / weight, new_count, old_count)


def _is_comparable(name: str, new: Sums, old: Sums) -> bool:
    if not new.count or not old.count:
        return False
    return name != TIME or min(new.count, old.count) >= MIN_NODE_COUNT
