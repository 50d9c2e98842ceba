"""Requests, their classes and tenants, and their attempts."""

from __future__ import annotations

from math import exp, log
from typing import Any

from firwalk.policy.enums import DeduplicationScope, Idempotency
from firwalk.policy.executor import Executor, Zone

HINT_PRIOR_WEIGHT = 4.0  # The prior that cost hints are accurate has the weight of this number of requests.
MIN_HINT_WEIGHT = 0.01  # A new hint enters the running mean with at least this weight.
QUOTA_BURST_S = 3.0  # The token bucket of a tenant holds its quota for this time.
MIN_QUOTA_BURST = 5.0  # The token bucket of a tenant holds at least this number of requests.


class RequestClass:
    """Settings of a request class, and the regression of its requests' work on their cost hints.

    Times are in seconds.
    """

    def __init__(
        self,
        latency_objective: float,
        deadline: float,
        *,
        priority_weight: float = 1.0,
        idempotency: Idempotency = Idempotency.NON_IDEMPOTENT,
        deduplication_scope: DeduplicationScope = DeduplicationScope.CELL,
        key_ttl: float = 0.0,
        objective_stretch: float = 0.0,
        work_kind: int = -1,
    ) -> None:
        self.latency_objective = latency_objective
        self.deadline = deadline
        self.priority_weight = priority_weight
        self.idempotency = idempotency
        self.deduplication_scope = deduplication_scope
        self.key_ttl = key_ttl
        self.objective_stretch = objective_stretch  # seconds added to the objective per unit of cost
        self.work_kind = work_kind
        self.max_budget = 0.0  # longest time budget of a request so far
        self.hint_count = 0
        self.log_mean = 0.0  # mean of the logarithms of all hints
        self.log_spread = 0.0  # variance of the same
        self.finished = 0  # completed requests
        self.log_hint = 0.0  # mean logarithm of the hint over completed requests
        self.log_work = 0.0  # mean logarithm of the work over completed requests
        self.hint_spread = HINT_PRIOR_WEIGHT  # sum of squared deviations of log_hint
        self.together = HINT_PRIOR_WEIGHT  # sum of products of deviations of log_hint and log_work

    def cost(self, hint: float) -> float:
        """Return the expected cost: the hint, shrunk towards the class mean the more unreliable hints are."""
        self.hint_count += 1
        weight = max(1.0 / self.hint_count, MIN_HINT_WEIGHT)
        log_hint = log(hint)
        deviation = log_hint - self.log_mean
        self.log_mean += weight * deviation
        self.log_spread += weight * (deviation * deviation * (1.0 - weight) - self.log_spread)
        slope = min(max(self.together / self.hint_spread, 0.0), 1.0)
        return exp(
            self.log_mean + slope * (log_hint - self.log_mean) + (1.0 - slope * slope) * self.log_spread / 2
        )

    def learn(self, hint: float, work: float) -> None:
        """Update the regression of log work on log hint with a completed request."""
        log_hint = log(hint)
        log_work = log(work)
        self.finished += 1
        deviation = log_hint - self.log_hint
        self.log_hint += deviation / self.finished
        self.log_work += (log_work - self.log_work) / self.finished
        self.hint_spread += deviation * (log_hint - self.log_hint)
        self.together += deviation * (log_work - self.log_work)


class Tenant:
    """A tenant with its quota in requests per second over all nodes, enforced by a token bucket."""

    def __init__(self, quota: float) -> None:
        self.quota = quota
        self.tokens = MIN_QUOTA_BURST
        self.refilled_at = 0.0

    def try_acquire(self, now: float, quota_share: float) -> bool:
        """Take a token if there is one; `quota_share` is the share of the quota that this node may use."""
        rate = self.quota * quota_share
        self.tokens = min(
            self.tokens + rate * (now - self.refilled_at), max(rate * QUOTA_BURST_S, MIN_QUOTA_BURST)
        )
        self.refilled_at = now
        has_token = self.tokens >= 1.0
        self.tokens -= has_token
        return has_token


class Attempt:
    """One attempt to execute a request on an executor."""

    def __init__(
        self, request: Request, executor: Executor, sent_at: float, estimate: float, wait: float
    ) -> None:
        self.request = request
        self.executor = executor
        self.zone = executor.zone  # where it may take effect: an update of the list may move the executor
        self.cell = executor.cell
        self.sent_at = sent_at
        self.estimate = estimate  # seconds of work added to the executor's outstanding work
        self.wait = wait  # expected queueing delay in seconds
        self.number = len(request.attempts)  # index among the request's attempts
        self.started_at = 0.0
        self.is_in_flight = True
        self.may_have_run = True


class Request:
    """A client's request, from its arrival to the end of its last attempt."""

    def __init__(
        self,
        handle: Any,
        request_class: RequestClass,
        hint: float,
        cost: float,
        slots: float,
        random_draw: float,
        objective_at: float,
        deadline: float,
    ) -> None:
        self.handle = handle  # the host's object for this request
        self.request_class = request_class
        self.hint = hint
        self.cost = cost
        self.slots = slots
        self.random_draw = random_draw  # decides on slow-start executors, the zone and rejections
        self.objective_at = objective_at
        self.deadline = deadline
        self.work = cost * slots
        self.attempts: list[Attempt] = []
        self.sticky_executors: tuple[Executor, ...] = ()
        self.in_flight = 0
        self.is_open = True
        self.is_committed = False  # the answer has begun: no further attempts
        self.value = 0.0
        self.max_attempts = 1
        self.preferred_zone: Zone | None = None
