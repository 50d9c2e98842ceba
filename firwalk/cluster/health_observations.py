"""What one node met in each zone since it told last, for the coordinator (`firwalk.cluster.zones`).

No I/O; a method for each thing that can happen. Times are seconds; work is in seconds at speed 1.
"""

from __future__ import annotations

import math
from bisect import insort
from collections.abc import Callable

from firwalk.cluster.messages import MOST_ZONES, HealthObservations
from firwalk.cluster.zones import LEAST_TRIES, View

ASKS_REPORTS = 6.0  # reports over which what the clients ask is averaged
MILLI = 1e3
MOST_STARTS = 65  # of a zone that are kept for the median
CARRY = 6  # reports over which too few tries for a voice add up, before they are forgotten


class HealthObserver:
    """`zone`: the node's own, by its number; `report`: seconds between two reports."""

    def __init__(self, zone: int, zones: int, now: float, report: float = 0.5):
        self.zone, self.zones, self.since, self.asks = zone, zones, now, 0.0
        self.horizon = ASKS_REPORTS * report
        self.work = self.span = 0.0  # that arrived, and the time for it: both fade over the horizon
        self.heard_at = [-math.inf] * zones  # when somebody in the zone answered last
        self.views = [View() for _ in range(zones)]
        self.starts, self.carried = [[] for _ in range(zones)], [0] * zones
        self.last = list(self.views)  # of each zone, as it was told last
        self.spoke_against = [False] * zones  # by what was told last, whatever came since
        self.alarm: Callable[[], None] = lambda: None  # a zone turned bad since then

    def arrived(self, work: float) -> None:
        self.work += work

    def ended(self, zone: int, missed: bool, erred: bool, now: float = 0.0, sent: float = math.inf) -> None:
        """An attempt or a probe, sent at `sent`, ended there. One that found nobody speaks against the whole
        zone only while nobody else in it has answered since: else it is a fault of one executor, and counts
        as an error. (With two of three executors cut, the probes of these passed for a lost zone.)"""
        if 0 <= zone < self.zones:
            view = self.views[zone]
            if not missed:
                self._heard(zone, now)
            elif self.heard_at[zone] > sent:
                missed, erred = False, True
            view.tried, view.missed, view.erred = view.tried + 1, view.missed + missed, view.erred + erred
            if missed and view.bad() and not self.spoke_against[zone]:
                self.alarm()

    def _heard(self, zone: int, now: float) -> None:
        """Somebody there answered: whoever did not before was alone in that."""
        view, self.heard_at[zone] = self.views[zone], now
        view.missed, view.erred = 0, view.erred + view.missed

    def started(self, zone: int, after: float, now: float = 0.0) -> None:
        """What is told is the median: some wait in a queue in every loaded zone, and by the mean these passed
        for a zone that had become slow."""
        if not 0 <= zone < self.zones:
            return
        self._heard(zone, now)
        if len(self.starts[zone]) < MOST_STARTS:
            insort(self.starts[zone], after)
            self.views[zone].start = self.starts[zone][(len(self.starts[zone]) - 1) // 2]

    def so_far(self, bears: list[float]) -> HealthObservations:
        """What it met until now, out of turn: nothing is counted as told."""
        rows = [self._row(number, view, bears) for number, view in enumerate(self.views[:MOST_ZONES])]
        return HealthObservations(self.zone, int(self.asks * MILLI), rows, True)

    def _row(self, number: int, view: View, bears: list[float]) -> tuple[int, ...]:
        return (
            number,
            view.tried,
            view.missed,
            view.erred,
            int(view.start * MILLI),
            int(bears[number] * MILLI),
        )

    def told(self, now: float, bears: list[float]) -> HealthObservations:
        """What the next report says. Tries in a zone add up until there are enough for a voice. `bears`: what
        each zone's executors bear, warm."""
        self._measure_asks(now)
        rows = []
        for number, view in enumerate(self.views[:MOST_ZONES]):
            rows.append(self._row(number, view, bears))
            self.carried[number] += 1
            self.last[number], self.spoke_against[number] = view, view.bad()
            if view.tried >= LEAST_TRIES or self.carried[number] > CARRY:
                self.views[number], self.starts[number], self.carried[number] = View(), [], 0
        return HealthObservations(self.zone, int(self.asks * MILLI), rows)

    def _measure_asks(self, now: float) -> None:
        """Work over time, both of them fading: a report that comes late, or right behind another, weighs what
        its time weighs. (With a fixed weight for each report, what a machine that had stood still let
        through at once passed for the clients' lasting demand, and a drain that fits was refused.)"""
        span, self.since = max(now - self.since, 0.0), now
        self.span += span
        if self.span <= 0.0:
            return
        self.asks = self.work / self.span
        fade = math.exp(-span / self.horizon)
        self.work, self.span = self.work * fade, self.span * fade


def views(message: HealthObservations) -> tuple[float, dict[int, View]]:
    """What it asks, and its view of each zone."""
    return message.asks / MILLI, {
        number: View(tried, missed, erred, start / MILLI, bears / MILLI)
        for number, tried, missed, erred, start, bears in message.views
    }
