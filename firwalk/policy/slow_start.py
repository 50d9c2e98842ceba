"""Slow start: limits the traffic to an executor that has just started."""

from __future__ import annotations

from collections.abc import Iterable
from math import exp

from firwalk.policy.executor import Executor
from firwalk.policy.policy_config import PolicyConfig
from firwalk.policy.request import Request

RANDOM_ADMISSION_SHARE = 0.4  # Random admission may use this share of the allowed multiple of capacity.
MAX_REQUEST_SHARE = 0.15  # One request may use at most this share of the work allowed in a window.
# The first requests of all nodes together may use this multiple of `MAX_REQUEST_SHARE`.
FIRST_REQUEST_SHARES = 2.0
OVERLOAD_RATIO = 1.25  # Shares are reduced once the offered load exceeds this multiple of the capacity.
MIN_RATE_WINDOW_S = 0.5
MIN_OBSERVED_SHARE = 0.01
MIN_RAMP_S = 0.001


class SlowStart:
    """Limits the requests of this node to executors in slow start.

    No node knows how many requests the others send there, so each node limits its own share.
    """

    def __init__(self, config: PolicyConfig, now: float) -> None:
        self.config = config
        self.capacity = 1.0  # of all ready executors, in work per second
        self.offered_load = 0.0  # moving average of the work per second arriving here
        self.offered_load_at = now
        self.started_at = now

    def warmup_factor(self, now: float, executor: Executor) -> float:
        """Return the share of its full speed that an executor has reached."""
        config = self.config
        ramp = max(now - executor.started_at, 0.0) / max(config.slow_start_s, MIN_RAMP_S)
        return min(config.slow_start_initial + (1.0 - config.slow_start_initial) * ramp, 1.0)

    def measure_capacity(self, now: float, executors: Iterable[Executor]) -> None:
        """Update the total present capacity of the ready executors."""
        self.capacity = sum(e.slots * e.speed * self.warmup_factor(now, e) for e in executors) or 1.0

    def record_arrival(self, now: float, work: float) -> float:
        """Add arriving work; return the moving average of work per second, corrected for a short history."""
        window = max(self.config.slow_start_window_s / 2, MIN_RATE_WINDOW_S)
        self.offered_load = self.offered_load * exp((self.offered_load_at - now) / window) + work / window
        self.offered_load_at = now
        return self.offered_load / max(1.0 - exp((self.started_at - now) / window), MIN_OBSERVED_SHARE)

    def has_capacity(self, now: float, executor: Executor, request: Request, own_slots: float = 0.0) -> bool:
        """Return whether the request may be sent to an executor in slow start.

        `own_slots` is the number of slots that the request itself already holds there.

        Each request has one random number, which admits it with the executor's share of the total present
        capacity, or less if the load offered to this node exceeds its share of the capacity. In a window a
        node sends its share of the allowed work, rounded up to a whole request. A light first request needs
        no random admission.
        """
        config = self.config
        capacity = executor.slots * executor.speed * self.warmup_factor(now, executor)
        allowed_work = capacity * config.slow_start_multiple * config.slow_start_window_s  # of all nodes
        if (
            request.work > MAX_REQUEST_SHARE * allowed_work
            or executor.in_flight_slots - own_slots + executor.slots_used_by_others >= executor.slots
        ):
            return False  # no queueing either: the executor may be slower than estimated
        sent_work = sum(
            work for at, work in executor.slow_start_sends if at > now - config.slow_start_window_s
        )
        if sent_work and sent_work >= allowed_work / config.node_count:
            return False
        if (
            executor.is_unused
            and request.work * config.node_count <= FIRST_REQUEST_SHARES * MAX_REQUEST_SHARE * allowed_work
        ):
            return True
        share = min(RANDOM_ADMISSION_SHARE * config.slow_start_multiple, 1.0) * capacity
        total_offered_load = self.record_arrival(now, 0.0) * config.node_count / OVERLOAD_RATIO
        return (request.random_draw + executor.slow_start_offset) % 1.0 < share / max(
            self.capacity, total_offered_load
        )
