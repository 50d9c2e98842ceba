"""Configuration of a policy, and its source of random numbers."""

from __future__ import annotations

from dataclasses import dataclass, field
from zlib import crc32

from firwalk.policy.request import RequestClass, Tenant

SMALL_FLEET = 10  # nodes up to which each polls lists, opens connections and judges errors by itself
CRC32_RANGE = 4294967296.0


@dataclass
class PolicyConfig:
    """What a policy is told once, at its start."""

    node_index: int
    node_count: int
    zone: int
    clock_resolution_s: float
    allows_hedging: bool
    may_cancel: bool
    may_poll_load: bool
    load_reports: str  # "on_probe": with answers to polls
    reports_starts: bool
    must_watch_endpoints: bool
    has_sizes: bool  # the endpoint list tells sizes
    marks_retries: bool
    slow_start_initial: float  # share of its capacity with which an executor starts
    slow_start_s: float
    slow_start_multiple: float  # of its capacity, that it may get in a window
    slow_start_window_s: float
    list_deadline_s: float  # within which a node must have asked for the endpoint list
    may_gossip: bool
    polls_load: bool = field(init=False)
    uses_reports: bool = field(init=False)
    gossips_failures: bool = field(init=False)

    def __post_init__(self) -> None:
        """Derive the switches."""
        self.polls_load = self.load_reports == "on_probe" and self.may_poll_load
        self.uses_reports = self.polls_load or not self.reports_starts  # else older than starts
        self.gossips_failures = self.may_gossip and self.node_count > SMALL_FLEET


@dataclass
class PolicyLimits:
    """What can change while a policy runs."""

    request_classes: list[RequestClass]
    tenants: list[Tenant]
    max_attempts: int
    max_retry_after_s: float
    over_quota_weight: float  # of the value of a request beyond its tenant's quota
    is_value_by_work: bool
    crossing_price: float
    connection_price: float


class RandomSource:
    """Reproducible random numbers in [0, 1)."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.counter = 0

    def draw(self) -> float:
        """The next number."""
        self.counter += 1
        return crc32(b"%d:%d" % (self.seed, self.counter)) / CRC32_RANGE
