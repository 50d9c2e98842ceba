"""The evidence that a figure is worse on the new version: logarithms of likelihood ratios.

Sources: McCullagh and Nelder, "Generalized Linear Models" (1989), for the laws of the figures.
"""

from __future__ import annotations

from collections.abc import Callable
from math import log
from typing import NamedTuple

from firwalk.cluster.canary_counters import ASSIGNMENTS, TIME, Sums

MAX_RATIO = 0.999  # the largest ratio that is tested
RATIO_MARGIN = 1e-3
MIN_TIME_VARIANCE = 1e-4


class Evidence(NamedTuple):
    """By the figure's exact law, by the normal law, and by the normal law with a cautious variance."""

    exact: float
    normal: float
    cautious: float


def evidence_for(name: str, new: Sums, old: Sums, step: float) -> Evidence:
    """The evidence for "worse by `step`" over "the same", of the figure of this name."""
    return _LAWS.get(name, _ratio_evidence)(new, old, step)


def variance(name: str, sums: Sums) -> float:
    """Of one observation, by the law of the figure."""
    if name == TIME:
        return max(sums.squares - sums.total * sums.mean(), 0.0) / max(sums.count - 1.0, 1.0)
    mean = max(sums.mean(), 1.0 / sums.count)
    return mean if name == ASSIGNMENTS else mean * (1.0 - min(mean, MAX_RATIO))


def possible(name: str, sums: Sums) -> Sums:
    """The sums with no fewer than none and no more than all, whatever was taken off for a node's past."""
    if name == TIME:
        return sums
    largest = float("inf") if name == ASSIGNMENTS else sums.count
    return Sums(sums.count, min(max(sums.total, 0.0), largest), sums.squares)


def _normal(new: Sums, old: Sums, step: float, variance: float) -> float:
    """By the normal law of both means."""
    return step * (new.mean() - old.mean() - step / 2) / (variance * (1.0 / new.count + 1.0 / old.count))


def _ratio_evidence(new: Sums, old: Sums, step: float) -> Evidence:
    """The binomial likelihood with the old ratio as if known, and the normal one of both samples.

    The cautious variance is at least that of a ratio between the two hypotheses. In a zone without any fault,
    the plain variance would seem to allow none, and its evidence for "the same" would outweigh all faults of
    another zone.
    """
    known = min((old.total + 1.0) / (old.count + 2.0), MAX_RATIO - RATIO_MARGIN)
    worse = min(known + step, MAX_RATIO)
    exact = new.total * log(worse / known) + (new.count - new.total) * log((1.0 - worse) / (1.0 - known))
    ratio = (old.total + new.total + 1.0) / (old.count + new.count + 2.0)
    between = min(max(ratio, known + step / 2), max(ratio, 0.5))
    normal = _normal(new, old, step, ratio * (1.0 - ratio))
    cautious = _normal(new, old, step, between * (1.0 - between))
    return Evidence(exact, normal, cautious)


def _rate_evidence(new: Sums, old: Sums, step: float) -> Evidence:
    """The same of a number per request, by Poisson's law."""
    known = (old.total + 1.0) / (old.count + 1.0)
    exact = new.total * log((known + step) / known) - new.count * step
    rate = (old.total + new.total + 1.0) / (old.count + new.count + 1.0)
    normal = _normal(new, old, step, rate)
    cautious = _normal(new, old, step, max(rate, known + step / 2))
    return Evidence(exact, normal, cautious)


def _time_evidence(new: Sums, old: Sums, step: float) -> Evidence:
    """The same of means, by the normal law, with the variance within both samples."""
    within = sum(max(sums.squares - sums.total * sums.mean(), 0.0) for sums in (new, old))
    spread = max(within / max(new.count + old.count - 2.0, 1.0), MIN_TIME_VARIANCE)
    normal = _normal(new, old, step, spread)
    return Evidence(normal, normal, normal)


_LAWS: dict[str, Callable[[Sums, Sums, float], Evidence]] = {
    TIME: _time_evidence,
    ASSIGNMENTS: _rate_evidence,
}
