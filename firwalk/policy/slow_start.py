"""Slow start: how much of the traffic an executor gets while it warms up."""

from __future__ import annotations

from collections.abc import Iterable
from math import exp

from firwalk.policy.executor import Executor
from firwalk.policy.policy_config import PolicyConfig
from firwalk.policy.request import Request

SHARE_OF_ALL = 0.4  # of what the rule allows, for the traffic by draw
HEAVY_SHARE = 0.15  # of what a window allows, for one request
FIRST_REQUESTS = 2.0  # of HEAVY_SHARE, for the first requests of all nodes
OVERLOAD = 1.25  # times the capacity that the offered work may come to before shares are reduced
MIN_RATE_WINDOW_S = 0.5
MIN_SEEN_SHARE = 0.01
MIN_RAMP_S = 0.001


class SlowStart:
    """Capacity while warming up; no node sees what the others send there."""

    def __init__(self, config: PolicyConfig, now: float) -> None:
        self.config = config
        self.capacity = 1.0  # of all ready executors, in work a second
        self.offered = 0.0  # smoothed work a second that arrives at this node
        self.offered_at = now
        self.began = now

    def warmth(self, now: float, executor: Executor) -> float:
        """Share of its speed that an executor has reached."""
        config = self.config
        ramp = max(now - executor.started_at, 0.0) / max(config.slow_start_s, MIN_RAMP_S)
        return min(config.slow_start_initial + (1.0 - config.slow_start_initial) * ramp, 1.0)

    def measure_capacity(self, now: float, executors: Iterable[Executor]) -> None:
        """Sum the present capacity of the ready executors."""
        self.capacity = sum(e.slots * e.speed * self.warmth(now, e) for e in executors) or 1.0

    def record_arrival(self, now: float, work: float) -> float:
        """Add arriving work; return the smoothed work a second that arrives at this node."""
        window = max(self.config.slow_start_window_s / 2, MIN_RATE_WINDOW_S)
        self.offered = self.offered * exp((self.offered_at - now) / window) + work / window
        self.offered_at = now
        return self.offered / max(1.0 - exp((self.began - now) / window), MIN_SEEN_SHARE)

    def has_capacity(self, now: float, executor: Executor, request: Request, own_slots: float = 0.0) -> bool:
        """Whether the request may go to an executor in slow start; `own_slots` of it are held already.

        Each request has one draw: the executor's part, by present capacity, of all requests may go there, and
        so many fewer of a node with more than its part of the requests. In a window a node sends its part of
        what the rule allows, rounded up. Its first request there, if light, needs no draw.
        """
        config = self.config
        bears = executor.slots * executor.speed * self.warmth(now, executor)
        allowed = bears * config.slow_start_multiple * config.slow_start_window_s  # by all nodes together
        if (
            request.work > HEAVY_SHARE * allowed
            or executor.in_flight_slots - own_slots + executor.slots_of_others >= executor.slots
        ):
            return False  # nor a queue: it may be slower than it looks
        sent = sum(work for at, work in executor.sent_cold if at > now - config.slow_start_window_s)
        if sent and sent >= allowed / config.node_count:
            return False
        if executor.unused and request.work * config.node_count <= FIRST_REQUESTS * HEAVY_SHARE * allowed:
            return True
        part = min(SHARE_OF_ALL * config.slow_start_multiple, 1.0) * bears
        all_offered = self.record_arrival(now, 0.0) * config.node_count / OVERLOAD
        return (request.draw + executor.draw) % 1.0 < part / max(self.capacity, all_offered)
