"""Whether the nodes on a new version do worse than those on the old one, of the same zones in the same time.

Sources: Wald, "Sequential Tests of Statistical Hypotheses" (Annals of Mathematical Statistics 16, 1945), for
the bounds; McCullagh and Nelder, "Generalized Linear Models" (1989), 4.5, for the dispersion that divides the
evidence, since nodes differ by more than chance. What was weighed: `docs/stages.md`.

No I/O. Parts are parts of 1; times are compared by their natural logarithms.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from math import log

LATE, ABANDONED, BOUNCED, ERRORS, ASSIGNMENTS, BAD, TIME = (
    "late",
    "abandoned",
    "bounced",
    "errors",
    "assignments",
    "bad",
    "time",
)
ALL = 0  # in place of an offering: over all of them
FURTHER = (1.0, 4.0)  # times the stated difference (first) that are tried: plain harm shows with few tasks
LEAST = 5  # tasks of a node, with fewer its spread says nothing
PRIOR = 4.0  # degrees of freedom by which the dispersion is held towards 1
PAST = 50  # of what a node counted before, for its own past to tell anything
OWN = 3.0  # times the spread by chance that its past must stand off its zone's to be its own
NEARLY = 0.999  # the largest part that is looked for

Key = tuple[str, int]  # a figure, and the checksum of an offering's name


class Verdict(IntEnum):
    UNSURE = 0
    FINE = 1
    WORSE = 2


@dataclass
class Sums:
    """`count` of what was looked at, the sum of what was seen of it and of its squares."""

    count: float = 0.0
    seen: float = 0.0
    squares: float = 0.0

    def add(self, count: float, seen: float, squares: float = 0.0) -> None:
        self.count, self.seen, self.squares = self.count + count, self.seen + seen, self.squares + squares

    def mean(self) -> float:
        return self.seen / self.count if self.count else 0.0


@dataclass
class Row:
    """What one node counted of one offering since its life began. `times`, `squares`: sums of the logarithm
    of the milliseconds until a task was finished, and of its square."""

    offering: int
    tasks: int = 0
    late: int = 0
    abandoned: int = 0
    bounced: int = 0
    errors: int = 0
    assignments: int = 0
    finished: int = 0
    times: float = 0.0
    squares: float = 0.0

    def minus(self, other: Row) -> Row | None:
        """What came since; None if these are not of one life."""
        made = Row(self.offering, *(getattr(self, name) - getattr(other, name) for name in COUNTS))
        return made if all(getattr(made, name) >= 0 for name in COUNTS[:7]) else None

    def figures(self) -> dict[Key, tuple[float, float, float]]:
        bad = self.late + self.abandoned + self.bounced
        return {
            (LATE, ALL): (self.tasks, self.late, 0.0),
            (ABANDONED, ALL): (self.tasks, self.abandoned, 0.0),
            (BOUNCED, ALL): (self.tasks, self.bounced, 0.0),
            (ERRORS, ALL): (self.assignments, self.errors, 0.0),
            (ASSIGNMENTS, ALL): (self.tasks, max(self.assignments - self.tasks, 0), 0.0),
            (BAD, self.offering): (self.tasks, bad, 0.0),
            (TIME, self.offering): (self.finished, self.times, self.squares),
        }


COUNTS = ("tasks", "late", "abandoned", "bounced", "errors", "assignments", "finished", "times", "squares")


@dataclass(frozen=True)
class HarmThresholds:
    """How much more counts as worse: parts of the tasks (`errors`: of the assignments), more assignments a
    task, times as long. `false_stop`, `miss`: chances, over all stages and for each."""

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
        return log(self.time) if name == TIME else getattr(self, name)


Found = tuple[float, float, float]  # the evidence by the exact law, by the normal one, and as cautiously


def _normal(new: Sums, old: Sums, step: float, variance: float) -> float:
    """The evidence by the normal law of both means."""
    return step * (new.mean() - old.mean() - step / 2) / (variance * (1.0 / new.count + 1.0 / old.count))


def _parts(new: Sums, old: Sums, step: float) -> Found:
    """The evidence for "a part that is larger by `step`" over "the same part": the binomial likelihood with
    the old part as if known, and the normal one of both samples. The latter cautiously with the variance of
    what lies between the two at least: of a zone without any, chance alone would seem to allow none, and its
    word for "the same" outweighed whatever went wrong in another one."""
    known = min((old.seen + 1.0) / (old.count + 2.0), NEARLY - 1e-3)
    more = min(known + step, NEARLY)
    exact = new.seen * log(more / known) + (new.count - new.seen) * log((1.0 - more) / (1.0 - known))
    pooled = (old.seen + new.seen + 1.0) / (old.count + new.count + 2.0)
    between = min(max(pooled, known + step / 2), max(pooled, 0.5))
    return (exact, *(_normal(new, old, step, part * (1.0 - part)) for part in (pooled, between)))


def _rates(new: Sums, old: Sums, step: float) -> Found:
    """The same of a number for each task, by Poisson's law."""
    known = (old.seen + 1.0) / (old.count + 1.0)
    exact = new.seen * log((known + step) / known) - new.count * step
    pooled = (old.seen + new.seen + 1.0) / (old.count + new.count + 1.0)
    return (exact, *(_normal(new, old, step, rate) for rate in (pooled, max(pooled, known + step / 2))))


def _times(new: Sums, old: Sums, step: float) -> Found:
    """The same of means, by the normal law; the spread is that within both."""
    within = sum(max(one.squares - one.seen * one.mean(), 0.0) for one in (new, old))
    found = _normal(new, old, step, max(within / max(new.count + old.count - 2.0, 1.0), 1e-4))
    return found, found, found


LAWS = {TIME: _times, ASSIGNMENTS: _rates}


@dataclass
class Side:
    """One figure of one zone: by seat, on the new version and on the old one."""

    new: dict[int, Sums] = field(default_factory=dict)
    old: dict[int, Sums] = field(default_factory=dict)


def _together(seats: dict[int, Sums]) -> Sums:
    whole = Sums()
    for one in seats.values():
        whole.add(one.count, one.seen, one.squares)
    return whole


def _within(name: str, whole: Sums) -> float:
    """The variance of one of what was looked at, by the law of that figure."""
    if name == TIME:
        return max(whole.squares - whole.seen * whole.mean(), 0.0) / max(whole.count - 1.0, 1.0)
    mean = max(whole.mean(), 1.0 / whole.count)
    return mean if name == ASSIGNMENTS else mean * (1.0 - min(mean, NEARLY))


def _counted(name: str, whole: Sums) -> Sums:
    """No fewer than none and no more than all, whatever was taken off for a node's past."""
    most = float("inf") if name in (TIME, ASSIGNMENTS) else whole.count
    return whole if name == TIME else Sums(whole.count, min(max(whole.seen, 0.0), most), whole.squares)


class Pasts:
    """What each node counted before the change: where it stood off its zone by more than chance has it, that
    is its own, and is taken off what it counts since. A node on slower executors, compared alone, was stopped
    for them (5 of 100 good ones, where nodes differ much)."""

    def __init__(self) -> None:
        self.zones: dict[Key, dict[int, dict[int, Sums]]] = {}
        self.found: dict[tuple[Key, int, int], float] = {}

    def add(self, zone: int, seat: int, row: Row) -> None:
        for key, figures in row.figures().items():
            if figures[0]:
                self.zones.setdefault(key, {}).setdefault(zone, {}).setdefault(seat, Sums()).add(*figures)

    def own(self, key: Key, zone: int, seat: int) -> float:
        """By how much the seat's mean stands off; the same at each asking."""
        at = key, zone, seat
        if at not in self.found:
            self.found[at] = self._own(key, self.zones.get(key, {}).get(zone, {}), seat)
        return self.found[at]

    def _own(self, key: Key, seats: dict[int, Sums], seat: int) -> float:
        seats = {other: sums for other, sums in seats.items() if sums.count >= PAST}
        mine, others = seats.get(seat), _together({other: s for other, s in seats.items() if other != seat})
        if mine is None or not others.count:
            return 0.0
        off = mine.mean() - others.mean()
        spread = _within(key[0], others) * (1.0 / mine.count + 1.0 / others.count)
        # Off the mean of all: off that of the others each would be moved past the middle.
        return mine.mean() - _together(seats).mean() if off * off > OWN * OWN * spread else 0.0


class CanaryAnalysis:
    """Of one stage. `stages`: how many there are, among which the chance of a false stop is divided; `past`:
    what the nodes counted before the change."""

    def __init__(self, worse: HarmThresholds, stages: int, past: Pasts | None = None):
        self.worse, self.stages, self.past = worse, max(stages, 1), past or Pasts()
        self.zones: dict[Key, dict[int, Side]] = {}
        self.fine: dict[Key, None] = {}  # found so at some look: a sequential test ends at its bound

    def add(self, zone: int, seat: int, new: bool, row: Row) -> None:
        """What a node counted in a time in which the other side of its zone counted as well."""
        for key, figures in row.figures().items():
            if figures[0]:
                side = self.zones.setdefault(key, {}).setdefault(zone, Side())
                count, seen, squares = figures
                if own := self.past.own(key, zone, seat):
                    squares += count * own * own - 2.0 * own * seen
                    seen -= count * own
                (side.new if new else side.old).setdefault(seat, Sums()).add(count, seen, squares)

    def _dispersion(self, key: Key) -> float:
        """How much more the old nodes of a zone differ than chance has it; 1: as it has."""
        square, freedom = 0.0, 0
        for side in self.zones[key].values():
            whole, nodes = _together(side.old), [one for one in side.old.values() if one.count >= LEAST]
            if len(nodes) < 2:
                continue
            mean = whole.mean()
            within = _within(key[0], whole)
            square += sum(one.count * (one.mean() - mean) ** 2 for one in nodes) / max(within, 1e-6)
            freedom += len(nodes) - 1
        return max((square + PRIOR) / (freedom + PRIOR), 1.0)

    def evidence(self, key: Key, times: float = 1.0) -> tuple[float, float]:
        """Logarithms of the likelihood of worse (by so many times the stated difference) over the same: the
        smaller of the two ways, for a stop, and the larger one, for a pass."""
        exact, normal, cautious = 0.0, 0.0, 0.0
        for side in self.zones.get(key, {}).values():
            new, old = (_counted(key[0], _together(seats)) for seats in (side.new, side.old))
            if new.count and old.count and (key[0] != TIME or min(new.count, old.count) >= LEAST):
                found = LAWS.get(key[0], _parts)(new, old, self.worse.step(key[0]) * times)
                exact, normal, cautious = exact + found[0], normal + found[1], cautious + found[2]
        dispersion = self._dispersion(key) if key in self.zones else 1.0
        return min(exact, cautious) / dispersion, max(exact, normal) / dispersion

    def _bounds(self) -> tuple[float, float]:
        stop = self.worse.false_stop / (self.stages * max(len(self.zones), 1) * len(FURTHER))
        return log((1.0 - self.worse.miss) / stop), log(self.worse.miss / (1.0 - stop))

    def verdict(self, key: Key) -> Verdict:
        upper, lower = self._bounds()
        found = [self.evidence(key, times) for times in FURTHER]
        if any(low >= upper for low, _ in found):
            return Verdict.WORSE
        if key in self.fine or found[0][1] <= lower:
            self.fine[key] = None
            return Verdict.FINE
        return Verdict.UNSURE

    def judged(self) -> tuple[Verdict, Key | None]:
        """Of all figures together: worse if one is, fine if all are; and the figure that says so. With
        nothing to compare it is unsure."""
        found = {key: self.verdict(key) for key in sorted(self.zones)}
        for verdict in (Verdict.WORSE, Verdict.UNSURE):
            for key, one in found.items():
                if one is verdict:
                    return verdict, key
        return (Verdict.FINE if found else Verdict.UNSURE), None

    def shown(self, key: Key) -> tuple[float, float, float, float]:
        """For people: the mean with the new version and with the old one, weighted by what the new nodes of
        each zone did, and on how many each rests."""
        new, old, counts = 0.0, 0.0, [0.0, 0.0]
        for side in self.zones.get(key, {}).values():
            mine, others = _together(side.new), _together(side.old)
            if mine.count and others.count:
                new, old = new + mine.seen, old + others.mean() * mine.count
                counts = [counts[0] + mine.count, counts[1] + others.count]
        return new / max(counts[0], 1.0), old / max(counts[0], 1.0), counts[0], counts[1]
