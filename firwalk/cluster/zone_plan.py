"""Decodes the plan's section on zones at a node: the routing of its zone's requests, and the excluded zones.

An unreadable section counts as none: all traffic stays in its own zone.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from firwalk.cluster.zone_state import ZoneState

ALL_REJECTED_RATIO = 0.999  # Larger ratios reject all requests: the plan's shares are rounded.

ZonesSection = dict[str, Any] | None  # A JSON object of the plan, from a coordinator of any version.


class ZoneRouting(NamedTuple):
    """The routing of a zone's requests.

    `ranges`: upper bounds of a request's random draw and the zone that it then prefers, in ascending order;
    `rejected`: the fraction of the zone's requests for which no zone has capacity.
    """

    ranges: list[tuple[float, int]]
    rejected: float


class ExcludedZone(NamedTuple):
    """A zone that gets no requests; `is_drained`: excluded by an operator, not because it is unavailable."""

    number: int
    is_drained: bool


def decode_routing(section: ZonesSection, zone: int, zones: int) -> ZoneRouting:
    """Return the routing of requests of `zone`; `zones`: the number of zones."""
    local = ZoneRouting([(1.0, zone)], 0.0)
    if section is None:
        return local
    try:
        shares = {int(other): float(share) for other, share in section["shares"].get(str(zone), {}).items()}
        rejected = float(section["away"].get(str(zone), 0.0))
    except (KeyError, TypeError, ValueError, AttributeError):
        return local
    is_valid = all(0 <= other < zones and share >= 0.0 for other, share in shares.items())
    if not is_valid or not 0.0 <= rejected <= 1.0:
        return local
    total = sum(shares.values())
    if total <= 0.0:
        return local if rejected < ALL_REJECTED_RATIO else ZoneRouting([(1.0, zone)], 1.0)
    return ZoneRouting(_share_ranges(shares, total, zone), rejected)


def _share_ranges(shares: dict[int, float], total: float, zone: int) -> list[tuple[float, int]]:
    """Return the ranges of a draw: the zone itself first, the others by number."""
    ranges = []
    upper_bound = 0.0
    for other in sorted(shares, key=lambda other: (other != zone, other)):
        upper_bound += shares[other] / total
        ranges.append((upper_bound, other))
    ranges[-1] = (1.0, ranges[-1][1])
    return ranges


def decode_excluded(section: ZonesSection, zones: int) -> list[ExcludedZone]:
    """Return the zones that are drained or unavailable; none while all traffic has to stay local."""
    if section is None:
        return []
    try:
        if section["panic"]:
            return []
        return [
            ExcludedZone(number, bool(drained))
            for number, (state, _, drained, _) in enumerate(section["modes"])
            if number < zones and (drained or state == ZoneState.UNAVAILABLE)
        ]
    except (KeyError, TypeError, ValueError):
        return []
