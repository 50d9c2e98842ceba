"""State of executors and zones as seen by this node."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import Any

from firwalk.policy.enums import EndpointState

MIN_FREE_SHARE = 0.1  # Work estimates are divided by at least this value of (1 - utilisation).
REPORT_TIME_CONSTANT_S = 10.0  # The moving averages of used slots have this time constant.
LAG_DECAY_S = 3.0  # Without new samples the lag decays to zero, or to the zone's, within this time.
LAG_SMOOTHING = 0.5  # A start delay enters the lag of its executor with this weight.
ZONE_LAG_SMOOTHING = 0.1  # A start delay enters the lag of its zone with this weight.
GOSSIP_TTL_S = 6.0  # An error reported by any node counts for this long.
MAX_SLOW_START_SENDS = 64

UNKNOWN_NUMBER = -1  # The number of a zone, cell or machine type that this node does not know.

LoadReport = Mapping[str, float]


class Zone:
    """A zone: its lag, its mean load by other nodes, and its unreachable executors."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.is_known = number != UNKNOWN_NUMBER  # executors of the unknown zone may be in different ones
        self.lag = 0.0  # mean excess start delay in seconds
        self.lag_at = 0.0
        self.mean_slot_load = 0.0  # mean load of a slot by other nodes
        self.unreachable: list[Executor] = []  # connects failed since the last answer from the zone
        self.unavailable_until = 0.0

    def lag_now(self, now: float) -> float:
        """Return the lag in seconds, which decays to zero without new samples."""
        return self.lag * max(1.0 - (now - self.lag_at) / LAG_DECAY_S, 0.0)


class SpeedEstimate:
    """A speed estimate: smoothed cost divided by smoothed time, so that light requests do not dominate."""

    def __init__(self, speed: float) -> None:
        self.speed = speed
        self.cost_mean = 0.0
        self.time_mean = 0.0
        self.slots = 1.0
        self.sample_count = 0

    def learn(self, cost: float, duration_s: float, weight: float) -> None:
        """Add a sample: a cost and the seconds that its execution took."""
        if not self.sample_count:
            self.cost_mean = cost
            self.time_mean = cost / self.speed
        self.sample_count += 1
        self.cost_mean += weight * (cost - self.cost_mean)
        self.time_mean += weight * (duration_s - self.time_mean)
        self.speed = self.cost_mean / self.time_mean


class Executor(SpeedEstimate):
    """An executor: its listed state, this node's outstanding work there, and the load by other nodes."""

    def __init__(
        self, handle: Any, machine_type: int, zone: Zone, cell: int, speed: float, slow_start_offset: float
    ) -> None:
        super().__init__(speed)
        self.handle = handle  # the host's object for this executor
        self.machine_type = machine_type
        self.zone = zone
        self.cell = cell
        self.slow_start_offset = slow_start_offset  # shifts the random admission of requests in slow start
        self.name_hash = 0  # hash of its name, for sticky routing
        self.size = 1.0
        self.state = EndpointState.REMOVED
        self.started_at = 0.0
        self.slow_start_until = 0.0
        self.is_unused = False  # nothing was sent since its last start
        self.slow_start_sends: deque[tuple[float, float]] = deque(maxlen=MAX_SLOW_START_SENDS)  # time, work
        self.outstanding_work = 0.0  # sum of this node's outstanding estimates, in seconds
        self.attempts_in_flight = 0  # of this node
        self.in_flight_slots = 0.0  # slots of these attempts
        self.slots_used_by_others = 0.0  # slots used by requests of other nodes
        self.idle_connections = 0
        self.used_slots_mean = 0.0  # moving average of the slots in use, from load reports
        self.own_slots_mean = 0.0  # moving average of this node's slots in use
        self.reported_at = 0.0
        self.last_error_at = -GOSSIP_TTL_S  # last error seen by any node
        self.lag = 0.0  # seconds by which attempts start later than this node's work explains
        self.lag_at = 0.0
        self.error_rate = 0.0  # moving average
        self.strikes = 0  # consecutive overdue attempts and failed health checks
        self.ejected_until = 0.0
        self.at_capacity_until = 0.0
        self.is_half_open = False  # after an ejection, until one attempt has succeeded

    def effective_speed(self) -> float:
        """Return the speed multiplied by (1 - utilisation by other nodes)."""
        free_share = 1.0 - self.slots_used_by_others / self.slots
        return self.speed * (free_share if free_share > MIN_FREE_SHARE else MIN_FREE_SHARE)

    def apply_report(self, now: float, values: LoadReport, own_share: float) -> None:
        """Update the load by other nodes from a load report.

        This node's work is subtracted, since `outstanding_work` already includes it. `own_share` is this
        node's share of the work of all nodes: the larger it is, the slower the averages follow a report.
        """
        held = values.get("held")
        free = values.get("free_slots")
        busy = values.get("busy")
        if free is not None:
            self.slots = max(self.slots, round(free), round(held + free) if held and held <= free else 1.0)
        elif held is None and busy is None:
            return
        if held is not None:
            used_slots = held
        elif busy is not None:
            used_slots = busy * self.slots
        else:
            assert free is not None
            used_slots = self.slots - free
        age = now - self.reported_at
        weight = age / (age + REPORT_TIME_CONSTANT_S * own_share)
        self.used_slots_mean += weight * (used_slots - self.used_slots_mean)
        self.own_slots_mean += weight * (self.in_flight_slots - self.own_slots_mean)
        self.reported_at = now
        self.slots_used_by_others = max(self.used_slots_mean - self.own_slots_mean, 0.0)

    def lag_now(self, now: float, zone_lag: float) -> float:
        """Return the lag in seconds, which decays to the lag of the zone.

        If all executors of a zone are late, reassigning requests within it only adds churn.
        """
        remaining = 1.0 - (now - self.lag_at) / LAG_DECAY_S
        return zone_lag + (self.lag - zone_lag) * remaining if remaining > 0.0 else zone_lag

    def record_start_delay(self, now: float, delay: float) -> None:
        """Update the lags with a start `delay` seconds later than this node's work explains."""
        zone = self.zone
        zone_lag = zone.lag_now(now)
        self.lag = max(self.lag_now(now, zone_lag) + LAG_SMOOTHING * delay, 0.0)
        self.lag_at = now
        zone.lag = max(zone_lag + ZONE_LAG_SMOOTHING * delay, 0.0)
        zone.lag_at = now
