"""The outstanding leases of one tenant's quota, as the coordinator knows them."""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import NamedTuple


class LeaseHolder(NamedTuple):
    """One incarnation of a node."""

    node: int
    generation: int


class Lease(NamedTuple):
    """A lease; `rate`: in millionths of work per second."""

    expires_at: float
    rate: int


class Expiry(NamedTuple):
    """The time at which a lease of the holder may expire."""

    at: float
    holder: LeaseHolder


@dataclass(slots=True)
class HolderLeases:
    """One holder's demand and leases. `counted_rate`, `counted_demand`: its parts of the book's sums."""

    last_number: int = 0  # of its last request
    demand: int = 0
    grants: dict[int, Lease] = field(default_factory=dict)  # by the number of the request
    counted_rate: int = 0
    counted_demand: int = 0

    def max_lease_rate(self, now: float) -> int:
        """Return the rate of the largest unexpired lease.

        The holder uses one grant at a time, and the coordinator cannot know which one.
        """
        return max((rate for expires_at, rate in self.grants.values() if expires_at > now), default=0)


class QuotaBook:
    """All holders of one quota.

    The sums are maintained incrementally, so that the cost of a request is independent of the cluster size.
    """

    def __init__(self) -> None:
        self.holders: dict[LeaseHolder, HolderLeases] = {}
        self.leased_rate = 0
        self.total_demand = 0
        self.expiries: list[Expiry] = []  # a heap

    def holder(self, now: float, key: LeaseHolder) -> HolderLeases:
        """Return the record of one holder, after removing expired leases of all holders from the sums."""
        while self.expiries and self.expiries[0].at <= now:
            self.update_sums(now, heappop(self.expiries).holder, 0)
        return self.holders.setdefault(key, HolderLeases())

    def grant(
        self, now: float, key: LeaseHolder, number: int, expires_at: float, rate: int, min_demand: int
    ) -> None:
        """Record a lease."""
        self.holders[key].grants[number] = Lease(expires_at, rate)
        heappush(self.expiries, Expiry(expires_at, key))
        self.update_sums(now, key, min_demand)

    def renew(self, key: LeaseHolder, number: int, expires_at: float, rate: int) -> None:
        """Record a lease that an earlier coordinator granted; the caller updates the sums."""
        self.holders[key].grants[number] = Lease(expires_at, rate)
        heappush(self.expiries, Expiry(expires_at, key))

    def update_sums(self, now: float, key: LeaseHolder, min_demand: int) -> None:
        """Update the holder's parts of the sums.

        `min_demand`: the least demand that is counted; 0: the demand counts as before.
        """
        holder = self.holders.get(key)
        if holder is None:
            return
        holder.grants = {number: lease for number, lease in holder.grants.items() if lease.expires_at > now}
        rate = holder.max_lease_rate(now)
        demand = _counted_demand(holder, min_demand)
        self.leased_rate += rate - holder.counted_rate
        self.total_demand += demand - holder.counted_demand
        holder.counted_rate = rate
        holder.counted_demand = demand


def _counted_demand(holder: HolderLeases, min_demand: int) -> int:
    if not holder.grants or not holder.demand:
        return 0
    return max(holder.demand, min_demand) if min_demand else holder.counted_demand
