"""Configuration and random number source of a policy."""

from __future__ import annotations

from zlib import crc32

from firwalk.policy.request import RequestClass, Tenant

# Up to this number of nodes each node polls endpoint lists and opens connections without regard to the
# others, and learns of failing executors without gossip.
SMALL_FLEET = 10
CRC32_RANGE = 4294967296.0
MIN_CLOCK_RESOLUTION_S = 0.0005  # timers run no more often; with 0 one could be due again at once, for ever


class PolicyConfig:
    """Settings that are fixed for the lifetime of a policy."""

    def __init__(
        self,
        *,
        node_index: int,
        node_count: int,
        zone: int,
        clock_resolution_s: float,
        allows_hedging: bool,
        may_cancel: bool,
        may_poll_load: bool,
        load_reports: str,
        reports_starts: bool,
        must_watch_endpoints: bool,
        has_sizes: bool,
        marks_retries: bool,
        slow_start_initial: float,
        slow_start_s: float,
        slow_start_multiple: float,
        slow_start_window_s: float,
        list_deadline_s: float,
        may_gossip: bool,
    ) -> None:
        self.node_index = node_index
        self.node_count = node_count
        self.zone = zone
        self.clock_resolution_s = max(clock_resolution_s, MIN_CLOCK_RESOLUTION_S)
        self.allows_hedging = allows_hedging
        self.may_cancel = may_cancel
        self.may_poll_load = may_poll_load
        self.load_reports = load_reports  # "on_probe": in answers to health checks
        self.reports_starts = reports_starts
        self.must_watch_endpoints = must_watch_endpoints
        self.has_sizes = has_sizes  # whether the endpoint list gives sizes of executors
        self.marks_retries = marks_retries
        self.slow_start_initial = slow_start_initial  # share of its capacity at an executor's start
        self.slow_start_s = slow_start_s
        self.slow_start_multiple = slow_start_multiple  # work allowed in a window, as a multiple of capacity
        self.slow_start_window_s = slow_start_window_s
        self.list_deadline_s = list_deadline_s  # a node must poll the endpoint list within this time
        self.may_gossip = may_gossip
        self.polls_load = load_reports == "on_probe" and may_poll_load
        self.uses_reports = self.polls_load or not reports_starts  # start delays are newer than other reports
        self.gossips_failures = may_gossip and node_count > SMALL_FLEET


class PolicyLimits:
    """Settings that can change while a policy runs."""

    def __init__(
        self,
        *,
        request_classes: list[RequestClass],
        tenants: list[Tenant],
        max_attempts: int,
        max_retry_after_s: float,
        over_quota_weight: float,
        is_value_by_work: bool,
        crossing_price: float,
        connection_price: float,
    ) -> None:
        self.request_classes = request_classes
        self.tenants = tenants
        self.max_attempts = max_attempts
        self.max_retry_after_s = max_retry_after_s
        self.over_quota_weight = over_quota_weight  # factor of the value of requests over quota
        self.is_value_by_work = is_value_by_work
        self.crossing_price = crossing_price
        self.connection_price = connection_price


class RandomSource:
    """A reproducible sequence of random numbers in [0, 1)."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.counter = 0

    def draw(self) -> float:
        """Return the next number."""
        self.counter += 1
        return crc32(b"%d:%d" % (self.seed, self.counter)) / CRC32_RANGE
