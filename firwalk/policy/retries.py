"""Retry safety, and the retry budget for hedged and reassigned attempts."""

from __future__ import annotations

from firwalk.policy.enums import DeduplicationScope, Idempotency
from firwalk.policy.executor import UNKNOWN_NUMBER, Executor
from firwalk.policy.policy_config import PolicyConfig, PolicyLimits
from firwalk.policy.request import Attempt, Request

EXTRA_ATTEMPTS_PER_REQUEST = 0.2  # Each new request adds this to the budget of extra attempts.
MAX_EXTRA_ATTEMPTS = 3.0


class RetryLimits:
    """Decides whether a request may be retried at an executor, and keeps the budget of extra attempts.

    Extra attempts are hedged requests and reassignments of overdue attempts to another executor.
    """

    def __init__(self, config: PolicyConfig, limits: PolicyLimits) -> None:
        self.config = config
        self.limits = limits
        self.extra_attempts = MAX_EXTRA_ATTEMPTS

    def earn_extra_attempt(self) -> None:
        """Add the share of a new request to the budget of extra attempts."""
        self.extra_attempts = min(self.extra_attempts + EXTRA_ATTEMPTS_PER_REQUEST, MAX_EXTRA_ATTEMPTS)

    def may_retry(
        self, now: float, request: Request, executor: Executor, is_reassignment: bool = False
    ) -> bool:
        """Return whether a request may be retried at the executor.

        `is_reassignment`: the attempt in flight will be cancelled first.
        """
        if len(request.attempts) >= min(self.limits.max_attempts, request.max_attempts):
            return False
        if request.in_flight and not self.config.allows_hedging and not is_reassignment:
            return False
        return self.is_safe(now, request, executor, request.attempts)

    def is_safe(self, now: float, request: Request, executor: Executor, earlier: list[Attempt]) -> bool:
        """Return whether an attempt at the executor cannot cause a duplicate effect of an earlier one."""
        request_class = request.request_class
        idempotency = request_class.idempotency
        scope = request_class.deduplication_scope
        for attempt in earlier:
            if attempt.executor is executor:
                return False
            if not attempt.may_have_run or idempotency is Idempotency.IDEMPOTENT:
                continue
            if (
                idempotency is Idempotency.NON_IDEMPOTENT
                or now > attempt.sent_at + request_class.key_ttl - 2 * self.config.clock_resolution_s
                or not _deduplicates(scope, attempt, executor)
            ):
                return False
        return True


def _deduplicates(scope: DeduplicationScope, attempt: Attempt, executor: Executor) -> bool:
    """Return whether the executor recognizes the key of an attempt that another executor may have run.

    Two executors whose zones or cells are unknown may be in different ones.
    """
    if scope is DeduplicationScope.ZONE:
        return executor.zone.is_known and attempt.zone is executor.zone
    if scope is DeduplicationScope.CELL:
        return executor.cell != UNKNOWN_NUMBER and attempt.cell == executor.cell
    return True
