"""What one node met in each zone since it told last, for the coordinator (`firwalk.cluster.zones`).

No I/O; a method for each thing that can happen. Times are seconds; work is in seconds at speed 1.
"""
from __future__ import annotations

from bisect import insort
from collections.abc import Callable

from firwalk.cluster.messages import MOST_ZONES, Evidence
from firwalk.cluster.zones import LEAST_TRIES, View

SMOOTH = 0.3           # weight of a report's span in what the clients are said to ask
MILLI = 1e3
MOST_STARTS = 65       # of a zone that are kept for the median
CARRY = 6              # reports over which too few tries for a voice add up, before they are forgotten


class Watch:
    """`zone`: the node's own, by its number."""

    def __init__(self, zone: int, zones: int, now: float):
        self.zone, self.zones, self.since, self.asks = zone, zones, now, 0.0
        self.work = 0.0
        self.views = [View() for _ in range(zones)]
        self.starts, self.carried = [[] for _ in range(zones)], [0] * zones
        self.last = list(self.views)     # of each zone, as it was told last
        self.spoke_against = [False] * zones     # by what was told last, whatever came since
        self.alarm: Callable[[], None] = lambda: None    # a zone turned bad since then

    def arrived(self, work: float) -> None:
        self.work += work

    def ended(self, zone: int, missed: bool, erred: bool) -> None:
        """An assignment or a probe ended there."""
        if 0 <= zone < self.zones:
            view = self.views[zone]
            view.tried, view.missed, view.erred = view.tried + 1, view.missed + missed, view.erred + erred
            if missed and view.bad() and not self.spoke_against[zone]:
                self.alarm()

    def started(self, zone: int, after: float) -> None:
        """What is told is the median: some wait in a queue in every loaded zone, and by the mean these passed
        for a zone that had become slow."""
        if 0 <= zone < self.zones and len(self.starts[zone]) < MOST_STARTS:
            insort(self.starts[zone], after)
            self.views[zone].start = self.starts[zone][(len(self.starts[zone]) - 1) // 2]

    def so_far(self, bears: list[float]) -> Evidence:
        """What it met until now, out of turn: nothing is counted as told."""
        rows = [self._row(number, view, bears) for number, view in enumerate(self.views[:MOST_ZONES])]
        return Evidence(self.zone, int(self.asks * MILLI), rows, True)

    def _row(self, number: int, view: View, bears: list[float]) -> tuple[int, ...]:
        return (number, view.tried, view.missed, view.erred, int(view.start * MILLI),
                int(bears[number] * MILLI))

    def told(self, now: float, bears: list[float]) -> Evidence:
        """What the next report says. Tries in a zone add up until there are enough for a voice. `bears`: what
        each zone's executors bear, warm."""
        span = max(now - self.since, 1e-3)
        self.asks += (SMOOTH if self.asks else 1.0) * (self.work / span - self.asks)
        rows = []
        for number, view in enumerate(self.views[:MOST_ZONES]):
            rows.append(self._row(number, view, bears))
            self.carried[number] += 1
            self.last[number], self.spoke_against[number] = view, view.bad()
            if view.tried >= LEAST_TRIES or self.carried[number] > CARRY:
                self.views[number], self.starts[number], self.carried[number] = View(), [], 0
        self.since, self.work = now, 0.0
        return Evidence(self.zone, int(self.asks * MILLI), rows)


def views(message: Evidence) -> tuple[float, dict[int, View]]:
    """What it asks, and its view of each zone."""
    return message.asks / MILLI, {
        number: View(tried, missed, erred, start / MILLI, bears / MILLI)
        for number, tried, missed, erred, start, bears in message.views}
