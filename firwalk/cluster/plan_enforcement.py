"""What a node does by the plan: which zone a task calls its own, which tasks are turned away at once, and
what of budgets they cost.

No I/O, and little is decided here that the plan does not say. Acts on a desk
(`firwalk.dispatcher.dispatcher.Desk`), which
is handed in. Work is in seconds at speed 1.
"""

from __future__ import annotations

from typing import Any, Protocol

from firwalk.cluster.cluster_member import ClusterMember
from firwalk.cluster.health_observations import HealthObserver
from firwalk.cluster.messages import HealthObservations
from firwalk.cluster.zones import Mode, followed

MIX = 200.0  # tasks over which the mix is remembered
HOMES, TURNS = 1009, 7919  # make further draws of a task's one: for its home, for being turned away
COME_BACK = 2.0  # reports after which one that was turned away may come again, on the mean


class EnforcedDispatcher(Protocol):
    """What is asked of the desk."""

    health_observer: Any
    cluster_admission: Any
    policy: Any

    def zone_capacities(self, count: int) -> list[float]: ...

    def exclude_zones(self, zones: list[int]) -> None: ...


class PriorityMix:
    """Which part of the work that comes has which importance; old work fades."""

    def __init__(self) -> None:
        self.work: dict[float, float] = {}
        self.whole = 0.0

    def add(self, importance: float, work: float) -> None:
        keep = 1.0 - 1.0 / MIX
        for level in self.work:
            self.work[level] *= keep
        self.work[importance] = self.work.get(importance, 0.0) + work
        self.whole = self.whole * keep + work

    def turned_away(self, part: float, importance: float) -> float:
        """Of the tasks of that importance, which part goes if such a part of all work goes, the least
        important first."""
        below = sum(work for level, work in self.work.items() if level < importance)
        mine = self.work.get(importance, 0.0)
        if not mine:
            return 1.0 if part >= 1.0 else 0.0
        return min(max((part * self.whole - below) / mine, 0.0), 1.0)


class PlanEnforcer:
    """One life of a seat and its node's decisions. `zone`: the node's own, of so many `zones`, 0: that part
    is off; `spending`: the part for budgets, if it is on (`firwalk.cluster.quota_accounting`)."""

    def __init__(
        self,
        seat: ClusterMember,
        dispatcher: EnforcedDispatcher,
        zone: int,
        zones: int,
        now: float,
        spending: Any = None,
    ):
        self.seat, self.dispatcher, self.zone, self.zones, self.spending = (
            seat,
            dispatcher,
            zone,
            zones,
            spending,
        )
        self.parts, self.away, self.out, self.mix = [(1.0, zone)], 0.0, [], PriorityMix()
        self.reached = [True] * zones  # by what this node met itself
        dispatcher.cluster_admission, seat.follower.changed = self.admission_weight, self.follow
        if zones:
            dispatcher.health_observer, seat.evidence = (
                HealthObserver(zone, zones, now, seat.follower.report),
                self._tells,
            )
            seat.early, dispatcher.health_observer.on_zone_unavailable = self._tells_early, seat.tell_early

    def stop(self) -> None:
        """Zones: as without a plan. Budgets: nothing more is there, floors neither; a node that ends goes on
        taking tasks for a while, and served a team's flood without any bound then."""
        self.zones, self.dispatcher.health_observer = 0, None
        self.dispatcher.exclude_zones([])
        if self.spending is None:
            self.dispatcher.cluster_admission = None
        else:
            self.spending.end()

    def _tells(self, now: float) -> HealthObservations:
        told = self.dispatcher.health_observer.report(now, self.dispatcher.zone_capacities(self.zones))
        for number, view in enumerate(self.dispatcher.health_observer.last_reported):
            if view.attempts:
                self.reached[number] = not view.is_unavailable()
        self._shun()
        return told

    def _tells_early(self) -> HealthObservations:
        return self.dispatcher.health_observer.early_report(self.dispatcher.zone_capacities(self.zones))

    def follow(self, now: float) -> None:
        """The plan's part for zones; without one in force all is near, and nothing is turned away."""
        if self.spending is not None:
            self.spending.follow(now)
        if not self.zones:
            return
        section = (self.seat.follower.now_in_force(now) or {}).get("zones")
        self.parts, self.away = followed(section, self.zone, self.zones)
        try:
            self.out = (
                []
                if section["panic"]
                else [
                    (number, bool(drained))
                    for number, (mode, _, drained, _) in enumerate(section["modes"])
                    if number < self.zones and (drained or mode == Mode.AWAY)
                ]
            )
        except (KeyError, TypeError, ValueError):
            self.out = []
        self._shun()

    def _shun(self) -> None:
        """Zones that get nothing at all: each node that finds out for itself loses tasks there. One that is
        away and that this node reaches all the same (it is on its side of a cut, or it is just back) stays
        in its choice; nobody's own view overrides an operator's word."""
        self.dispatcher.exclude_zones(
            [number for number, drained in self.out if drained or not self.reached[number]]
        )

    def admission_weight(self, request: Any) -> float:
        """Times its value; 0: it is turned away, and told when to come again."""
        if self.zones and not self._placed(request):
            return 0.0
        return 1.0 if self.spending is None else self.spending.admission_weight(request, *request.ref.labels)

    def _placed(self, request: Any) -> bool:
        """Its home is the zone that it calls its own; False: the fleet has no room for it."""
        importance, draw = request.request_class.priority_weight, request.draw * HOMES % 1.0
        self.mix.add(importance, request.work)
        home = next((zone for upto, zone in self.parts if draw < upto), self.zone)
        draw = request.draw * TURNS % 1.0
        if not self.away or draw >= self.mix.turned_away(self.away, importance):
            request.preferred_zone = self.dispatcher.policy.zones.get(home)
            return True
        if self.reached[self.zone] and not any(zone == self.zone and drained for zone, drained in self.out):
            return True  # what fits nowhere stays near, where the zone can be reached
        request.ref.retry_after = COME_BACK * self.seat.follower.report * (0.5 + draw)
        return False
