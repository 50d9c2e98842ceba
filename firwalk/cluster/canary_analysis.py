"""Compares nodes on a new version (canaries) with those on the old one (the baseline).

Only nodes of the same zone and counts from the same time are compared.

The test is Wald's sequential probability ratio test: "Sequential Tests of Statistical Hypotheses" (Annals of
Mathematical Statistics 16, 1945). The evidence is divided by an overdispersion factor, since nodes differ by
more than chance: McCullagh and Nelder, "Generalized Linear Models" (1989), 4.5. Alternatives:
`docs/stages.md`.

No I/O. Ratios are fractions of 1; times are compared by their natural logarithms.
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
    FigureKey,
    RequestCounts,
    Sums,
    pooled,
)
from firwalk.cluster.canary_evidence import clamp_total, evidence_for, variance

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
    "FigureKey",
    "NodeHistories",
    "RequestCounts",
    "Verdict",
]

# Each figure is tested for a difference of the threshold and of a multiple of it: a large regression shows
# with few requests.
TESTED_FACTORS = (1.0, 4.0)
MIN_NODE_COUNT = 5  # Nodes with fewer observations are left out of the dispersion.
PRIOR_DEGREES_OF_FREEDOM = 4.0  # The weight of a prior that shrinks the dispersion towards 1.
MIN_HISTORY_COUNT = 50  # A node with fewer observations before the rollout has no offset.
MIN_OFFSET_DEVIATIONS = 3.0  # A node's offset counts if it differs from its zone by more standard deviations.
MIN_VARIANCE = 1e-6


class Verdict(IntEnum):
    """The result of a comparison; the values are those in the plan."""

    UNSURE = 0
    FINE = 1
    WORSE = 2


@dataclass(frozen=True)
class HarmThresholds:
    """The difference from which a figure is worse.

    `late`, `abandoned`, `bounced` and `bad` are fractions of the requests, `errors` of the attempts;
    `assignments`: additional attempts per request; `time`: ratio of the times. `false_stop`: probability of a
    false stop over all stages; `miss`: probability of a missed regression at each stage.
    """

    late: float = 0.05
    abandoned: float = 0.03
    bounced: float = 0.05
    bad: float = 0.1
    errors: float = 0.05
    assignments: float = 0.2
    time: float = 1.2
    false_stop: float = 0.01
    miss: float = 0.01

    def tested_difference(self, name: str) -> float:
        """Return the tested difference of the means for the figure of this name."""
        if name == TIME:
            return log(self.time)
        threshold: float = getattr(self, name)
        return threshold


@dataclass(slots=True)
class VersionSums:
    """One figure of one zone: the sums by node, on the new version and on the old one."""

    new: dict[int, Sums] = field(default_factory=dict)
    old: dict[int, Sums] = field(default_factory=dict)


class NodeFigure(NamedTuple):
    """A figure of one node."""

    key: FigureKey
    zone: int
    node_id: int


class NodeHistories:
    """The nodes' figures from before the rollout.

    A significant difference between a node and its zone has causes other than the version, for example
    slower executors, and is subtracted from what the node counts during the rollout. Without that, good
    versions were stopped on such nodes.
    """

    def __init__(self) -> None:
        self.zones: dict[FigureKey, dict[int, dict[int, Sums]]] = {}
        self.offsets: dict[NodeFigure, float] = {}

    def add(self, zone: int, node_id: int, row: RequestCounts) -> None:
        """Add what a node counted before the rollout."""
        for key, sample in row.figures().items():
            if sample.size:
                nodes = self.zones.setdefault(key, {}).setdefault(zone, {})
                nodes.setdefault(node_id, Sums()).add(*sample)

    def offset(self, key: FigureKey, zone: int, node_id: int) -> float:
        """Return the difference of the node's mean from its zone's, 0 if not significant; cached."""
        figure = NodeFigure(key, zone, node_id)
        if figure not in self.offsets:
            self.offsets[figure] = _offset(key[0], self.zones.get(key, {}).get(zone, {}), node_id)
        return self.offsets[figure]


def _offset(name: str, nodes: dict[int, Sums], node_id: int) -> float:
    known = {other: sums for other, sums in nodes.items() if sums.count >= MIN_HISTORY_COUNT}
    own = known.get(node_id)
    others = pooled({other: sums for other, sums in known.items() if other != node_id})
    if own is None or not others.count:
        return 0.0
    difference = own.mean() - others.mean()
    spread = variance(name, others) * (1.0 / own.count + 1.0 / others.count)
    if difference * difference <= MIN_OFFSET_DEVIATIONS * MIN_OFFSET_DEVIATIONS * spread:
        return 0.0
    # Relative to the mean of all nodes: relative to the others' mean, the correction would overshoot.
    return own.mean() - pooled(known).mean()


class FigureSummary(NamedTuple):
    """The means of both versions and the number of observations behind each.

    The means are weighted by the new nodes' observations in each zone.
    """

    new: float
    old: float
    new_count: float
    old_count: float


class EvidenceBounds(NamedTuple):
    """Bounds of the log-likelihood ratio: the lower one decides on a stop, the upper one on a pass."""

    for_stop: float
    for_pass: float


class CanaryAnalysis:
    """The sequential tests of one stage.

    `stages`: the number of analyses in the rollout, among which the probability of a false stop is divided;
    `histories`: what the nodes counted before the rollout.
    """

    def __init__(self, worse: HarmThresholds, stages: int, histories: NodeHistories | None = None) -> None:
        self.worse = worse
        self.stages = max(stages, 1)
        self.histories = histories or NodeHistories()
        self.zones: dict[FigureKey, dict[int, VersionSums]] = {}
        self.passed: dict[FigureKey, None] = {}  # figures that passed: a sequential test ends at its bound

    def add(self, zone: int, node_id: int, new: bool, row: RequestCounts) -> None:
        """Add what a node counted in a period in which both versions were at work in its zone."""
        for key, (count, total, squares) in row.figures().items():
            if not count:
                continue
            side = self.zones.setdefault(key, {}).setdefault(zone, VersionSums())
            if offset := self.histories.offset(key, zone, node_id):
                squares += count * offset * offset - 2.0 * offset * total
                total -= count * offset
            (side.new if new else side.old).setdefault(node_id, Sums()).add(count, total, squares)

    def _dispersion(self, key: FigureKey) -> float:
        """Return the overdispersion of the old nodes within their zones; 1: they differ as by chance."""
        chi_square = 0.0
        degrees_of_freedom = 0
        for side in self.zones[key].values():
            nodes = [sums for sums in side.old.values() if sums.count >= MIN_NODE_COUNT]
            if len(nodes) < 2:
                continue
            baseline = pooled(side.old)
            mean = baseline.mean()
            within = variance(key[0], baseline)
            deviations = sum(node.count * (node.mean() - mean) ** 2 for node in nodes)
            chi_square += deviations / max(within, MIN_VARIANCE)
            degrees_of_freedom += len(nodes) - 1
        return max(
            (chi_square + PRIOR_DEGREES_OF_FREEDOM) / (degrees_of_freedom + PRIOR_DEGREES_OF_FREEDOM), 1.0
        )

    def evidence(self, key: FigureKey, factor: float = 1.0) -> EvidenceBounds:
        """Return the evidence for "worse by `factor` times the threshold" against "the same"."""
        name = key[0]
        difference = self.worse.tested_difference(name) * factor
        exact = 0.0
        normal = 0.0
        conservative = 0.0
        for side in self.zones.get(key, {}).values():
            new = clamp_total(name, pooled(side.new))
            old = clamp_total(name, pooled(side.old))
            if not _is_comparable(name, new, old):
                continue
            evidence = evidence_for(name, new, old, difference)
            exact = exact + evidence.exact
            normal = normal + evidence.normal
            conservative = conservative + evidence.conservative
        dispersion = self._dispersion(key) if key in self.zones else 1.0
        return EvidenceBounds(min(exact, conservative) / dispersion, max(exact, normal) / dispersion)

    def _bounds(self) -> tuple[float, float]:
        """Return the bounds of Wald's test: a figure is worse above the first and fine below the second."""
        false_stop = self.worse.false_stop / (self.stages * max(len(self.zones), 1) * len(TESTED_FACTORS))
        return log((1.0 - self.worse.miss) / false_stop), log(self.worse.miss / (1.0 - false_stop))

    def verdict(self, key: FigureKey) -> Verdict:
        """Return the verdict on one figure."""
        upper, lower = self._bounds()
        bounds = [self.evidence(key, factor) for factor in TESTED_FACTORS]
        if any(for_stop >= upper for for_stop, _ in bounds):
            return Verdict.WORSE
        if key in self.passed or bounds[0][1] <= lower:
            self.passed[key] = None
            return Verdict.FINE
        return Verdict.UNSURE

    def judged(self) -> tuple[Verdict, FigureKey | None]:
        """Return the verdict on all figures and the figure that decided it.

        It is worse if one figure is, fine if all are, and unsure if there is nothing to compare.
        """
        verdicts = {key: self.verdict(key) for key in sorted(self.zones)}
        for verdict in (Verdict.WORSE, Verdict.UNSURE):
            for key, figure_verdict in verdicts.items():
                if figure_verdict is verdict:
                    return verdict, key
        return (Verdict.FINE if verdicts else Verdict.UNSURE), None

    def summary(self, key: FigureKey) -> FigureSummary:
        """Return the summary of a figure for operators."""
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
