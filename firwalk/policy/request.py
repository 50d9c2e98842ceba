"""Requests, their classes and tenants, and the attempts to have them executed."""

from __future__ import annotations

from dataclasses import KW_ONLY, dataclass, field
from math import exp, log
from typing import Any

from firwalk.policy.enums import DeduplicationScope, Idempotency
from firwalk.policy.executor import Executor, Zone

INITIAL_HINT_TRUST = 4.0  # weight, in requests, of the initial assumption that hints are right
MIN_HINT_WEIGHT = 0.01  # least weight of a new hint in the running mean
QUOTA_BURST_S = 3.0
MIN_QUOTA_BURST = 5.0  # requests


@dataclass(eq=False)
class RequestClass:
    """Settings of a kind of request, and what its cost hints have proved to be worth. Times are seconds."""

    latency_objective: float
    deadline: float
    _: KW_ONLY
    priority_weight: float = 1.0
    idempotency: Idempotency = Idempotency.NON_IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.CELL
    key_ttl: float = 0.0
    objective_stretch: float = 0.0  # of the latency objective, for each unit of cost
    work_kind: int = -1
    most: float = field(default=0.0, init=False)  # longest time budget that arrived
    met: int = field(default=0, init=False)  # hints that arrived
    log_mean: float = field(default=0.0, init=False)  # of those
    log_spread: float = field(default=0.0, init=False)  # their variance
    finished: int = field(default=0, init=False)  # completed requests
    log_hint: float = field(default=0.0, init=False)  # mean over the completed ones
    log_work: float = field(default=0.0, init=False)  # mean over the completed ones
    hint_spread: float = field(default=INITIAL_HINT_TRUST, init=False)
    together: float = field(default=INITIAL_HINT_TRUST, init=False)  # covariance sum of hint and work

    def cost(self, hint: float) -> float:
        """Expected cost: the hint, shrunk towards the class mean as far as hints have proved unreliable."""
        self.met += 1
        weight = max(1.0 / self.met, MIN_HINT_WEIGHT)
        log_hint = log(hint)
        deviation = log_hint - self.log_mean
        self.log_mean += weight * deviation
        self.log_spread += weight * (deviation * deviation * (1.0 - weight) - self.log_spread)
        slope = min(max(self.together / self.hint_spread, 0.0), 1.0)
        return exp(
            self.log_mean + slope * (log_hint - self.log_mean) + (1.0 - slope * slope) * self.log_spread / 2
        )

    def learn(self, hint: float, work: float) -> None:
        """Update the regression of completed work on its hint, both in logarithms."""
        log_hint = log(hint)
        log_work = log(work)
        self.finished += 1
        deviation = log_hint - self.log_hint
        self.log_hint += deviation / self.finished
        self.log_work += (log_work - self.log_work) / self.finished
        self.hint_spread += deviation * (log_hint - self.log_hint)
        self.together += deviation * (log_work - self.log_work)


@dataclass(eq=False)
class Tenant:
    """A tenant and its quota, in requests a second over all nodes, as a token bucket."""

    quota: float
    tokens: float = MIN_QUOTA_BURST
    at: float = 0.0

    def within(self, now: float, part: float) -> bool:
        """Take a token; return whether there was one, where this node may use `part` of the quota."""
        rate = self.quota * part
        self.tokens = min(self.tokens + rate * (now - self.at), max(rate * QUOTA_BURST_S, MIN_QUOTA_BURST))
        self.at = now
        has_token = self.tokens >= 1.0
        self.tokens -= has_token
        return has_token


@dataclass(eq=False)
class Attempt:
    """One sending of a request to one executor."""

    request: Request
    executor: Executor
    sent_at: float
    estimate: float  # seconds of work that it adds to the executor's sum
    wait: float  # expected seconds in the executor's queue
    number: int = field(init=False)
    started_at: float = 0.0
    is_in_flight: bool = True
    may_have_run: bool = True

    def __post_init__(self) -> None:
        """Number it among the attempts of its request."""
        self.number = len(self.request.attempts)


@dataclass(eq=False)
class Request:
    """A client's request, until its one final answer and the end of its last attempt."""

    ref: Any  # the host's own object
    request_class: RequestClass
    hint: float
    cost: float
    slots: float
    draw: float  # decides which executors in slow start it may go to
    objective_at: float
    deadline: float
    work: float = field(init=False)  # cost times slots
    attempts: list[Attempt] = field(default_factory=list)
    sticky_executors: tuple[Executor, ...] = ()
    in_flight: int = 0
    is_open: bool = True
    bound: bool = False  # no further attempt: its answer has begun
    value: float = 0.0
    max_attempts: int = 1
    preferred_zone: Zone | None = None

    def __post_init__(self) -> None:
        """Compute the work."""
        self.work = self.cost * self.slots
