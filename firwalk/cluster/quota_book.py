"""The leases of one tenant's quota that are out, as the coordinator knows them."""

from __future__ import annotations

from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import NamedTuple


class LeaseHolder(NamedTuple):
    """One incarnation of a node."""

    node: int
    generation: int


class Lease(NamedTuple):
    """`part`: millionths of work per second."""

    until: float
    part: int


class Expiry(NamedTuple):
    """Some lease of the holder may be over by then."""

    at: float
    holder: LeaseHolder


@dataclass(slots=True)
class HolderLeases:
    """What one holder may have of the quota. `counted`, `counted_want`: its parts of the book's sums."""

    last_number: int = 0  # of its last request
    want: int = 0
    grants: dict[int, Lease] = field(default_factory=dict)  # by the number of the request
    counted: int = 0
    counted_want: int = 0

    def live(self, now: float) -> int:
        """The largest lease that it may use: it uses one answer at a time, and the coordinator cannot know
        which one."""
        return max((part for until, part in self.grants.values() if until > now), default=0)


class QuotaBook:
    """All holders of one quota; the sums are kept, so that a request costs the same at any cluster size."""

    def __init__(self) -> None:
        self.holders: dict[LeaseHolder, HolderLeases] = {}
        self.live = 0
        self.wants = 0
        self.expiries: list[Expiry] = []  # a heap

    def holder(self, now: float, key: LeaseHolder) -> HolderLeases:
        """The record of one holder; expired leases of all holders leave the sums first."""
        while self.expiries and self.expiries[0].at <= now:
            self.count(now, heappop(self.expiries).holder, 0)
        return self.holders.setdefault(key, HolderLeases())

    def grant(
        self, now: float, key: LeaseHolder, number: int, until: float, part: int, least_want: int
    ) -> None:
        """Records a lease."""
        self.holders[key].grants[number] = Lease(until, part)
        heappush(self.expiries, Expiry(until, key))
        self.count(now, key, least_want)

    def renew(self, key: LeaseHolder, number: int, until: float, part: int) -> None:
        """Records a lease of a coordinator before; the caller counts it."""
        self.holders[key].grants[number] = Lease(until, part)
        heappush(self.expiries, Expiry(until, key))

    def count(self, now: float, key: LeaseHolder, least_want: int) -> None:
        """Brings the holder's parts of the sums up to date; `least_want`: what its want counts at least, 0:
        as it was counted before."""
        holder = self.holders.get(key)
        if holder is None:
            return
        holder.grants = {number: lease for number, lease in holder.grants.items() if lease.until > now}
        live = holder.live(now)
        want = _counted_want(holder, least_want)
        self.live += live - holder.counted
        self.wants += want - holder.counted_want
        holder.counted = live
        holder.counted_want = want


def _counted_want(holder: HolderLeases, least_want: int) -> int:
    if not holder.grants or not holder.want:
        return 0
    return max(holder.want, least_want) if least_want else holder.counted_want
