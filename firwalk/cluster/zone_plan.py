"""What a node reads from the plan's section on zones: where requests of its zone go, which zones get nothing.

A section that cannot be read counts as none: all traffic stays in its own zone.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from firwalk.cluster.zone_state import ZoneState

ALL_REJECTED_RATIO = 0.999  # shares are rounded in the plan

ZonesSection = dict[str, Any] | None  # JSON of the plan, from a coordinator of any version


class ZoneRouting(NamedTuple):
    """`ranges`: the upper bound of a request's draw, and the zone that it then prefers, in ascending order;
    `rejected`: the part of the zone's requests that fits nowhere."""

    ranges: list[tuple[float, int]]
    rejected: float


class ExcludedZone(NamedTuple):
    """A zone that gets no requests; `is_drained`: by an operator, not because it is unavailable."""

    number: int
    is_drained: bool


def decode_routing(section: ZonesSection, zone: int, zones: int) -> ZoneRouting:
    """The routing of requests of `zone`, of so many `zones`."""
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
    """The own zone first, the others by number."""
    ranges = []
    upper_bound = 0.0
    for other in sorted(shares, key=lambda other: (other != zone, other)):
        upper_bound += shares[other] / total
        ranges.append((upper_bound, other))
    ranges[-1] = (1.0, ranges[-1][1])
    return ranges


def decode_excluded(section: ZonesSection, zones: int) -> list[ExcludedZone]:
    """Zones that are drained or unavailable; none while all traffic is to stay local."""
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
