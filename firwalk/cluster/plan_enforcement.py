"""What a node does by the plan: which zone a task calls its own, which tasks are turned away at once, and
what of budgets they cost.

No I/O, and little is decided here that the plan does not say. Acts on a desk
(`firwalk.dispatcher.dispatcher.Desk`), which
is handed in. Work is in seconds at speed 1.
"""

from __future__ import annotations

from typing import Any, Protocol

from firwalk.cluster.cluster_member import Seat
from firwalk.cluster.health_observations import Watch
from firwalk.cluster.messages import Evidence
from firwalk.cluster.zones import Mode, followed

MIX = 200.0  # tasks over which the mix is remembered
HOMES, TURNS = 1009, 7919  # make further draws of a task's one: for its home, for being turned away
COME_BACK = 2.0  # reports after which one that was turned away may come again, on the mean


class Steered(Protocol):
    """What is asked of the desk."""

    seen: Any
    terms_of: Any
    node: Any

    def zones_bear(self, count: int) -> list[float]: ...

    def shun(self, zones: list[int]) -> None: ...


class Mix:
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


class Steering:
    """One life of a seat and its node's decisions. `zone`: the node's own, of so many `zones`, 0: that part
    is off; `spending`: the part for budgets, if it is on (`firwalk.cluster.quota_accounting`)."""

    def __init__(self, seat: Seat, desk: Steered, zone: int, zones: int, now: float, spending: Any = None):
        self.seat, self.desk, self.zone, self.zones, self.spending = seat, desk, zone, zones, spending
        self.parts, self.away, self.out, self.mix = [(1.0, zone)], 0.0, [], Mix()
        self.reached = [True] * zones  # by what this node met itself
        desk.terms_of, seat.follower.changed = self.terms, self.follow
        if zones:
            desk.seen, seat.evidence = Watch(zone, zones, now, seat.follower.report), self._tells
            seat.early, desk.seen.alarm = self._tells_early, seat.tell_early

    def stop(self) -> None:
        """Zones: as without a plan. Budgets: nothing more is there, floors neither; a node that ends goes on
        taking tasks for a while, and served a team's flood without any bound then."""
        self.zones, self.desk.seen = 0, None
        self.desk.shun([])
        if self.spending is None:
            self.desk.terms_of = None
        else:
            self.spending.end()

    def _tells(self, now: float) -> Evidence:
        told = self.desk.seen.told(now, self.desk.zones_bear(self.zones))
        for number, view in enumerate(self.desk.seen.last):
            if view.tried:
                self.reached[number] = not view.bad()
        self._shun()
        return told

    def _tells_early(self) -> Evidence:
        return self.desk.seen.so_far(self.desk.zones_bear(self.zones))

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
        self.desk.shun([number for number, drained in self.out if drained or not self.reached[number]])

    def terms(self, task: Any) -> float:
        """Times its value; 0: it is turned away, and told when to come again."""
        if self.zones and not self._placed(task):
            return 0.0
        return 1.0 if self.spending is None else self.spending.terms(task, *task.ref.about)

    def _placed(self, task: Any) -> bool:
        """Its home is the zone that it calls its own; False: the fleet has no room for it."""
        importance, draw = task.offering.importance, task.draw * HOMES % 1.0
        self.mix.add(importance, task.work)
        home = next((zone for upto, zone in self.parts if draw < upto), self.zone)
        draw = task.draw * TURNS % 1.0
        if not self.away or draw >= self.mix.turned_away(self.away, importance):
            task.home = self.desk.node.zones.get(home)
            return True
        if self.reached[self.zone] and not any(zone == self.zone and drained for zone, drained in self.out):
            return True  # what fits nowhere stays near, where the zone can be reached
        task.ref.advice = COME_BACK * self.seat.follower.report * (0.5 + draw)
        return False
