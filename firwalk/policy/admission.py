"""Admission control by tenant quota, and the final answers to requests that cannot be executed."""

from __future__ import annotations

from firwalk.policy.enums import DeduplicationScope, Idempotency
from firwalk.policy.executor_set import ExecutorSet
from firwalk.policy.interface import Host
from firwalk.policy.outlier_ejection import MIN_EJECTION_S
from firwalk.policy.policy_config import PolicyConfig, PolicyLimits
from firwalk.policy.request import Request
from firwalk.policy.retries import RetryLimits
from firwalk.policy.selection import Selection

# A node may receive up to this multiple of its mean share of all traffic before load reports show it.
MAX_TRAFFIC_RATIO = 3.0


class Admission:
    """Applies tenant quotas to new requests; rejects or fails requests that cannot be executed."""

    def __init__(
        self,
        host: Host,
        config: PolicyConfig,
        limits: PolicyLimits,
        executor_set: ExecutorSet,
        selection: Selection,
        retries: RetryLimits,
    ) -> None:
        self.host = host
        self.config = config
        self.limits = limits
        self.executor_set = executor_set
        self.selection = selection
        self.retries = retries

    def is_over_quota(self, now: float, tenant: int, own_share: float) -> bool:
        """Charge a request to its tenant's quota and return whether it exceeds the quota.

        `own_share` is this node's share of the work of all nodes.
        """
        limits = self.limits
        return (
            limits.over_quota_weight < 1.0
            and 0 <= tenant < len(limits.tenants)
            and not limits.tenants[tenant].try_acquire(
                now, max(own_share, MAX_TRAFFIC_RATIO / self.config.node_count)
            )
        )

    def withdraw(self, request: Request) -> None:
        """Close a request that needs no answer any more, and cancel its attempts in flight."""
        may_cancel = request.is_open and self.config.may_cancel
        cancelled = [a for a in request.attempts if a.is_in_flight] if may_cancel else []
        request.is_open = False
        for attempt in cancelled:
            self.host.cancel(attempt)

    def give_up(self, now: float, request: Request) -> None:
        """Reject the request if a client's retry is certainly safe, else fail it.

        All rejections and failures go through this method.
        """
        if not request.is_open:
            return
        self.withdraw(request)
        # A rejection shows that there is no spare capacity for hedged or reassigned attempts.
        self.retries.extra_attempts = 0.0
        may_have_run = any(a.may_have_run and self.host.may_have_reached(a) for a in request.attempts)
        if may_have_run and not _is_retry_harmless(request):
            self.host.fail(request)
            return
        waits = (self.selection.wait(now, e, request.slots) for e in self.executor_set.considered())
        wait = min(waits, default=MIN_EJECTION_S)
        retry_after_s = min(max(wait, self.config.clock_resolution_s), self.limits.max_retry_after_s)
        self.host.reject(request, retry_after_s)


def _is_retry_harmless(request: Request) -> bool:
    request_class = request.request_class
    if request_class.idempotency is Idempotency.IDEMPOTENT:
        return True
    is_keyed = request_class.idempotency is Idempotency.KEYED
    return is_keyed and request_class.deduplication_scope is DeduplicationScope.ALL
