"""Configuration of a policy, and its source of random numbers."""

from __future__ import annotations

from zlib import crc32

from firwalk.policy.request import RequestClass, Tenant

SMALL_FLEET = 10  # nodes up to which each polls lists, opens connections and judges errors by itself
CRC32_RANGE = 4294967296.0


class PolicyConfig:
    """What a policy is told once, at its start."""

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
        self.clock_resolution_s = clock_resolution_s
        self.allows_hedging = allows_hedging
        self.may_cancel = may_cancel
        self.may_poll_load = may_poll_load
        self.load_reports = load_reports  # "on_probe": with answers to polls
        self.reports_starts = reports_starts
        self.must_watch_endpoints = must_watch_endpoints
        self.has_sizes = has_sizes  # the endpoint list tells sizes
        self.marks_retries = marks_retries
        self.slow_start_initial = slow_start_initial  # share of its capacity with which an executor starts
        self.slow_start_s = slow_start_s
        self.slow_start_multiple = slow_start_multiple  # of its capacity, that it may get in a window
        self.slow_start_window_s = slow_start_window_s
        self.list_deadline_s = list_deadline_s  # within which a node must have asked for the endpoint list
        self.may_gossip = may_gossip
        self.polls_load = load_reports == "on_probe" and may_poll_load
        self.uses_reports = self.polls_load or not reports_starts  # else older than starts
        self.gossips_failures = may_gossip and node_count > SMALL_FLEET


class PolicyLimits:
    """What can change while a policy runs."""

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
        self.over_quota_weight = over_quota_weight  # of the value of a request beyond its tenant's quota
        self.is_value_by_work = is_value_by_work
        self.crossing_price = crossing_price
        self.connection_price = connection_price


class RandomSource:
    """Reproducible random numbers in [0, 1)."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.counter = 0

    def draw(self) -> float:
        """The next number."""
        self.counter += 1
        return crc32(b"%d:%d" % (self.seed, self.counter)) / CRC32_RANGE
