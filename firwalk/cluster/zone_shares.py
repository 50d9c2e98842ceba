"""Divides each zone's traffic over the zones by their capacity and headroom.

No zone gets more than its headroom by the plan's own figures (invariant I4). Work is in seconds of work (at
speed 1) per second. The design and its alternatives: `docs/zones.md`.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from firwalk.cluster.zone_state import Zone

# If less of the demand could be served, a failover would overload the remaining zones.
MIN_SERVABLE_RATIO = 0.5
EPSILON = 1e-9  # Less work per second counts as none.

# By source zone, then by target zone: the fraction of the source's traffic.
ZoneShares = dict[int, dict[int, float]]


@dataclass(frozen=True)
class ZonePolicy:
    """The operators' configuration.

    `regions`: each zone's region; `head_room`: the fraction of a zone's capacity that may be used when it
    takes other zones' traffic; `stays`: zones whose traffic must not leave their region; `order`: by region,
    the regions to prefer; `drained`: zones to drain.
    """

    regions: tuple[int, ...]
    head_room: float = 0.8
    stays: tuple[int, ...] = ()
    order: dict[int, tuple[int, ...]] = field(default_factory=dict)
    drained: tuple[int, ...] = ()


@dataclass
class Division:
    """A division of the traffic.

    `shares[a][b]`: the fraction of zone a's requests that prefers zone b; `rejected[a]`: the fraction for
    which no zone has headroom. They add up to 1 for each zone. `all_local`: too little capacity is left for
    any failover.
    """

    shares: ZoneShares
    rejected: dict[int, float]
    all_local: bool = False

    def received_work(self, demands: dict[int, float]) -> dict[int, float]:
        """Return the work per second that each zone takes from others."""
        received = dict.fromkeys(self.shares, 0.0)
        for source, shares in self.shares.items():
            for target, share in shares.items():
                if target != source:
                    received[target] += demands[source] * share
        return received


class ShareCalculator:
    """The calculation of one division, by the zones' current figures and states."""

    def __init__(self, zones: list[Zone], policy: ZonePolicy) -> None:
        self.zones = zones
        self.policy = policy
        self.kept = {zone.number: zone.traffic_ratio() for zone in zones}
        # Demand so small that fractions of it are rounded to zero counts as none.
        self.has_demand = {zone.number: zone.demand > EPSILON for zone in zones}

    def divide(self) -> Division:
        """Return the division; the zones are not modified."""
        if self._must_stay_local():
            return Division(
                {zone.number: {zone.number: 1.0} for zone in self.zones},
                {zone.number: 0.0 for zone in self.zones},
                True,
            )
        headroom = {zone.number: self._headroom(zone) for zone in self.zones}
        shares: ZoneShares = {zone.number: {zone.number: self._own_share(zone)} for zone in self.zones}
        leaving = {zone.number: zone.demand * (1.0 - self.kept[zone.number]) for zone in self.zones}
        for tier in range(1 + len({zone.region for zone in self.zones})):
            self.place(tier, leaving, headroom, shares)
        rejected: dict[int, float] = {}
        for zone in self.zones:
            rejected[zone.number] = self._settle_rest(zone, leaving[zone.number], headroom, shares)
        return Division(shares, rejected)

    def _must_stay_local(self) -> bool:
        demand = sum(zone.demand for zone in self.zones)
        usable = sum(zone.capacity * self.kept[zone.number] for zone in self.zones)
        if demand and usable < MIN_SERVABLE_RATIO * demand:
            return True
        return all(not kept for kept in self.kept.values())

    def _headroom(self, zone: Zone) -> float:
        """Return the work that the zone may take from others, 0 while it may not serve all of its own."""
        if self.kept[zone.number] != 1.0:
            return 0.0
        return max(zone.capacity * self.policy.head_room - zone.demand, 0.0)

    def _own_share(self, zone: Zone) -> float:
        kept = self.kept[zone.number]
        return kept if self.has_demand[zone.number] else float(kept > 0.0)

    def _settle_rest(
        self, zone: Zone, leaving: float, headroom: dict[int, float], shares: ZoneShares
    ) -> float:
        """Return the fraction of the zone's traffic to reject.

        Traffic for which there is no headroom stays in its own zone if that is reachable.
        """
        rejected = leaving / zone.demand if self.has_demand[zone.number] else 0.0
        if self.kept[zone.number] and rejected:
            shares[zone.number][zone.number] += rejected
            rejected = 0.0
        if self.has_demand[zone.number] or self.kept[zone.number]:
            return rejected
        return self._place_without_demand(zone, headroom, shares)

    def _place_without_demand(self, zone: Zone, headroom: dict[int, float], shares: ZoneShares) -> float:
        """Route possible requests of an unavailable zone without demand to the zone with most headroom.

        Return the fraction to reject.
        """
        best = max(
            (n for n in headroom if headroom[n] > 0.0 and self.may_serve(zone, self.zones[n])),
            key=lambda n: headroom[n],
            default=None,
        )
        if best is None:
            shares[zone.number] = {zone.number: 0.0}
            return 1.0
        shares[zone.number] = {zone.number: 0.0, best: 1.0}
        return 0.0

    def may_serve(self, zone: Zone, other: Zone) -> bool:
        """Return whether requests of `zone` may go to `other`."""
        return other.region == zone.region or zone.number not in self.policy.stays

    def _tier(self, zone: Zone, other: Zone) -> int:
        """Return the other zone's tier: 0 in the same region, then the regions in the operators' order.

        Regions without a place in that order follow in the order of their zones.
        """
        if other.region == zone.region:
            return 0
        preferred = self.policy.order.get(zone.region, ())
        regions = dict.fromkeys(each.region for each in self.zones)
        rest = [region for region in regions if region != zone.region and region not in preferred]
        return 1 + [*preferred, *rest].index(other.region)

    def place(
        self, tier: int, leaving: dict[int, float], headroom: dict[int, float], shares: ZoneShares
    ) -> None:
        """Place leaving traffic on the zones of a tier, in proportion to their headroom.

        Where several zones compete for the same headroom, each gets a part in proportion to its request.
        """
        for target, wants in self._wants(tier, leaving, headroom).items():
            fit = min(1.0, headroom[target] / sum(wants.values()))
            for source, want in wants.items():
                placed = want * fit
                share = placed / self.zones[source].demand
                shares[source][target] = shares[source].get(target, 0.0) + share
                leaving[source] -= placed
                headroom[target] -= placed
            headroom[target] = max(headroom[target], 0.0)

    def _wants(
        self, tier: int, leaving: dict[int, float], headroom: dict[int, float]
    ) -> dict[int, dict[int, float]]:
        """Return by target zone, then by source zone, the work to place if there were headroom for all."""
        wants: dict[int, dict[int, float]] = {}
        for zone in self.zones:
            if leaving[zone.number] <= EPSILON:
                continue
            targets = [
                other.number
                for other in self.zones
                if other is not zone
                and headroom[other.number] > EPSILON
                and self.may_serve(zone, other)
                and self._tier(zone, other) == tier
            ]
            available = sum(headroom[target] for target in targets)
            for target in targets:
                part = leaving[zone.number] * headroom[target] / available
                wants.setdefault(target, {})[zone.number] = part
        return wants
