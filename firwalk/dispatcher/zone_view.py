"""Operations on a node's policy for the cluster's zone decisions. Zones are identified by number."""

from __future__ import annotations

from math import inf

from firwalk.policy.policy import Policy

UNTIL_REVOKED = inf


def exclude_zones(policy: Policy, excluded: list[int]) -> None:
    """Stop sending to these zones; a later call without a zone includes it again."""
    for number, zone in policy.zones.items():
        if number in excluded:
            zone.unavailable_until = UNTIL_REVOKED
        elif zone.unavailable_until == UNTIL_REVOKED:
            zone.unavailable_until = 0.0


def zone_capacities(policy: Policy, zone_count: int) -> list[float]:
    """Return the work per second of the ready executors of each zone, not reduced by slow start."""
    capacities = [0.0] * zone_count
    for executor in policy.near + policy.far:
        number = executor.zone.number
        if 0 <= number < zone_count:
            capacities[number] += executor.slots * executor.speed
    return capacities
