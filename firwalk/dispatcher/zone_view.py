"""What the cluster's zone decisions ask of one node's policy, by the numbers of zones."""

from __future__ import annotations

from math import inf

from firwalk.policy.policy import Executor, Policy

UNKNOWN_ZONE = -1
UNTIL_REVOKED = inf


def zone_number(policy: Policy, executor: Executor) -> int:
    """The number of the executor's zone."""
    return next((number for number, zone in policy.zones.items() if zone is executor.zone), UNKNOWN_ZONE)


def exclude_zones(policy: Policy, excluded: list[int]) -> None:
    """Sends nothing to these zones until a later call leaves them out."""
    for number, zone in policy.zones.items():
        if number in excluded:
            zone.unavailable_until = UNTIL_REVOKED
        elif zone.unavailable_until == UNTIL_REVOKED:
            zone.unavailable_until = 0.0


def zone_capacities(policy: Policy, zone_count: int) -> list[float]:
    """Work per second that the ready executors of each zone can do once warmed up."""
    capacities = [0.0] * zone_count
    for executor in policy.near + policy.far:
        number = zone_number(policy, executor)
        if 0 <= number < zone_count:
            capacities[number] += executor.slots * executor.speed
    return capacities
