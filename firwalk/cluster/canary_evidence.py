"""The evidence that a figure is worse on the new version, as log-likelihood ratios.

The distributions of the figures follow McCullagh and Nelder, "Generalized Linear Models" (1989).
"""

from __future__ import annotations

from collections.abc import Callable
from math import log
from typing import NamedTuple

from firwalk.cluster.canary_counters import ASSIGNMENTS, TIME, Sums

MAX_RATIO = 0.999  # Larger ratios are tested as this one.
RATIO_MARGIN = 1e-3
MIN_TIME_VARIANCE = 1e-4


class Evidence(NamedTuple):
    """The evidence by three distributions.

    `exact`: by that of the figure; `normal`: by the normal one; `conservative`: by the normal one with a
    conservative variance.
    """

    exact: float
    normal: float
    conservative: float


def evidence_for(name: str, new: Sums, old: Sums, difference: float) -> Evidence:
    """Return the evidence for "worse by `difference`" against "the same", for the figure of this name."""
    return _EVIDENCE_BY_FIGURE.get(name, _ratio_evidence)(new, old, difference)


def variance(name: str, sums: Sums) -> float:
    """Return the variance of one observation, by the distribution of the figure."""
    if name == TIME:
        return max(sums.squares - sums.total * sums.mean(), 0.0) / max(sums.count - 1.0, 1.0)
    mean = max(sums.mean(), 1.0 / sums.count)
    return mean if name == ASSIGNMENTS else mean * (1.0 - min(mean, MAX_RATIO))


def clamp_total(name: str, sums: Sums) -> Sums:
    """Return the sums with the total clamped to the possible range, which subtracted offsets may leave."""
    if name == TIME:
        return sums
    largest = float("inf") if name == ASSIGNMENTS else sums.count
    return Sums(sums.count, min(max(sums.total, 0.0), largest), sums.squares)


def _normal_evidence(new: Sums, old: Sums, difference: float, variance: float) -> float:
    """Return the evidence by the normal distribution of both means."""
    return (
        difference
        * (new.mean() - old.mean() - difference / 2)
        / (variance * (1.0 / new.count + 1.0 / old.count))
    )


def _ratio_evidence(new: Sums, old: Sums, difference: float) -> Evidence:
    """Return the evidence on a ratio: binomial with the old ratio taken as known, and normal.

    The conservative variance is at least that of a ratio between the two hypotheses. In a zone without any
    failures, the plain variance is near zero, and its evidence for "the same" would outweigh all failures of
    another zone.
    """
    known = min((old.total + 1.0) / (old.count + 2.0), MAX_RATIO - RATIO_MARGIN)
    worse = min(known + difference, MAX_RATIO)
    exact = new.total * log(worse / known) + (new.count - new.total) * log((1.0 - worse) / (1.0 - known))
    ratio = (old.total + new.total + 1.0) / (old.count + new.count + 2.0)
    between = min(max(ratio, known + difference / 2), max(ratio, 0.5))
    normal = _normal_evidence(new, old, difference, ratio * (1.0 - ratio))
    conservative = _normal_evidence(new, old, difference, between * (1.0 - between))
    return Evidence(exact, normal, conservative)


def _rate_evidence(new: Sums, old: Sums, difference: float) -> Evidence:
    """Return the evidence on a number per request, by the Poisson and the normal distribution."""
    known = (old.total + 1.0) / (old.count + 1.0)
    exact = new.total * log((known + difference) / known) - new.count * difference
    rate = (old.total + new.total + 1.0) / (old.count + new.count + 1.0)
    normal = _normal_evidence(new, old, difference, rate)
    conservative = _normal_evidence(new, old, difference, max(rate, known + difference / 2))
    return Evidence(exact, normal, conservative)


def _time_evidence(new: Sums, old: Sums, difference: float) -> Evidence:
    """Return the evidence on a mean, by the normal distribution with the pooled variance of both samples."""
    within = sum(max(sums.squares - sums.total * sums.mean(), 0.0) for sums in (new, old))
    spread = max(within / max(new.count + old.count - 2.0, 1.0), MIN_TIME_VARIANCE)
    normal = _normal_evidence(new, old, difference, spread)
    return Evidence(normal, normal, normal)


_EVIDENCE_BY_FIGURE: dict[str, Callable[[Sums, Sums, float], Evidence]] = {
    TIME: _time_evidence,
    ASSIGNMENTS: _rate_evidence,
}
