"""Counts what one node observes in each zone between two reports to the leader.

The leader evaluates the reports in `firwalk.cluster.zones`.

No I/O. Times are seconds; work is in seconds of an executor at speed 1.
"""

from __future__ import annotations

import math
from bisect import insort
from collections.abc import Callable

from firwalk.cluster import messages
from firwalk.cluster.messages import MAX_ZONES, HealthObservations
from firwalk.cluster.zone_observation import MIN_ATTEMPTS, ZoneObservation

DEMAND_WINDOW_REPORTS = 6.0  # The demand of clients is averaged over this many report intervals.
THOUSANDTHS = 1e3
MAX_START_DELAYS = 65  # The median start delay of a zone uses at most this many delays per report.
MAX_CARRIED_REPORTS = 6  # Attempts that are too few for a vote are carried over at most this many reports.


class HealthObserver:
    """Counts the outcomes of attempts and health checks by zone, and the demand of the node's own clients.

    `zone`: number of the node's own zone; `report_interval_s`: between two reports.
    """

    def __init__(self, zone: int, zone_count: int, now: float, report_interval_s: float = 0.5) -> None:
        self.zone = zone
        self.zone_count = zone_count
        self.demand_measured_at = now
        self.demand = 0.0  # Work per second.
        self.demand_window_s = DEMAND_WINDOW_REPORTS * report_interval_s
        self.decayed_work = 0.0  # Decays over the window, as `decayed_time_s` does.
        self.decayed_time_s = 0.0
        self.answered_at = [-math.inf] * zone_count  # When any executor of the zone answered last.
        self.observations = [ZoneObservation() for _ in range(zone_count)]
        self.start_delays: list[list[float]] = [[] for _ in range(zone_count)]  # Sorted.
        self.carried_reports = [0] * zone_count
        self.last_reported = list(self.observations)
        self.reported_unavailable = [False] * zone_count  # By zone, as of the last report.
        self.on_zone_unavailable: Callable[[], None] = _no_op  # Called between reports.

    def count_request(self, work: float) -> None:
        """Count a client's request that arrived with this much work."""
        self.decayed_work += work

    def count_outcome(
        self, zone: int, unreachable: bool, failed: bool, now: float = 0.0, sent_at: float = math.inf
    ) -> None:
        """Count an attempt or a health check in the zone that ended.

        One that got no answer counts against the whole zone only while no executor of the zone has answered
        since it was sent. Otherwise a single executor is at fault, and it counts as an error: two executors
        of three behind a network partition must not make the whole zone unavailable.
        """
        if not 0 <= zone < self.zone_count:
            return
        observation = self.observations[zone]
        if not unreachable:
            self._zone_answered(zone, now)
        elif self.answered_at[zone] > sent_at:
            unreachable = False
            failed = True
        observation.attempts += 1
        observation.unreachable += unreachable
        observation.errors += failed
        if unreachable and observation.is_unavailable() and not self.reported_unavailable[zone]:
            self.on_zone_unavailable()

    def count_start(self, zone: int, delay_s: float, now: float = 0.0) -> None:
        """Count an attempt that an executor of the zone began `delay_s` after it was sent.

        The report has the median: in every loaded zone some attempts wait in a queue, and their delays would
        make the mean look like that of a slow zone.
        """
        if not 0 <= zone < self.zone_count:
            return
        self._zone_answered(zone, now)
        delays = self.start_delays[zone]
        if len(delays) < MAX_START_DELAYS:
            insort(delays, delay_s)
            self.observations[zone].start_delay_s = delays[(len(delays) - 1) // 2]

    def build_early_report(self, capacities: list[float]) -> HealthObservations:
        """Return the observations so far, ahead of the next report, which repeats them."""
        rows = [self._row(zone, capacities) for zone in range(min(self.zone_count, MAX_ZONES))]
        return HealthObservations(self.zone, _thousandths(self.demand), rows, True)

    def build_report(self, now: float, capacities: list[float]) -> HealthObservations:
        """Return the next report; attempts in a zone add up over reports until they suffice for a vote.

        `capacities`: of each zone's executors, warm, in work per second.
        """
        self._measure_demand(now)
        rows = []
        for zone in range(min(self.zone_count, MAX_ZONES)):
            rows.append(self._row(zone, capacities))
            self._close_report(zone)
        return HealthObservations(self.zone, _thousandths(self.demand), rows)

    def _close_report(self, zone: int) -> None:
        observation = self.observations[zone]
        self.carried_reports[zone] += 1
        self.last_reported[zone] = observation
        self.reported_unavailable[zone] = observation.is_unavailable()
        if observation.attempts >= MIN_ATTEMPTS or self.carried_reports[zone] > MAX_CARRIED_REPORTS:
            self.observations[zone] = ZoneObservation()
            self.start_delays[zone] = []
            self.carried_reports[zone] = 0

    def _zone_answered(self, zone: int, now: float) -> None:
        """Record an answer from the zone: attempts without one were then the fault of single executors."""
        observation = self.observations[zone]
        self.answered_at[zone] = now
        observation.errors += observation.unreachable
        observation.unreachable = 0

    def _row(self, zone: int, capacities: list[float]) -> messages.ZoneObservation:
        observation = self.observations[zone]
        return messages.ZoneObservation(
            zone,
            observation.attempts,
            observation.unreachable,
            observation.errors,
            _thousandths(observation.start_delay_s),
            _thousandths(capacities[zone]),
        )

    def _measure_demand(self, now: float) -> None:
        """Average the arrived work over time, with both sums decaying by the time that has passed.

        A late or early report thus counts by the time that it covers. With a fixed weight per report, a burst
        after a paused machine resumes would look like lasting demand, and a drain that fits would be refused.
        """
        elapsed_s = max(now - self.demand_measured_at, 0.0)
        self.demand_measured_at = now
        self.decayed_time_s += elapsed_s
        if self.decayed_time_s <= 0.0:
            return
        self.demand = self.decayed_work / self.decayed_time_s
        decay = math.exp(-elapsed_s / self.demand_window_s)
        self.decayed_work *= decay
        self.decayed_time_s *= decay


def _thousandths(value: float) -> int:
    """Return a value in thousandths, limited to what a message holds: others would drop it as malformed."""
    return int(min(value * THOUSANDTHS, messages.MAX_UINT32))


def decode_observations(message: HealthObservations) -> tuple[float, dict[int, ZoneObservation]]:
    """Return the demand of the sender's clients, and its observations by zone."""
    observations = {
        zone: ZoneObservation(attempts, unreachable, errors, start_ms / THOUSANDTHS, capacity / THOUSANDTHS)
        for zone, attempts, unreachable, errors, start_ms, capacity in message.observations
    }
    return message.demand / THOUSANDTHS, observations


def _no_op() -> None:
    """Do nothing: the default while no callback is set."""
