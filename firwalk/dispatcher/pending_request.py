"""A client's request as held by the network side, with its queued actions."""

from __future__ import annotations

from asyncio import Future
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from firwalk.dispatcher.actions import Action
from firwalk.dispatcher.timers import Timer
from firwalk.observability.events import FailureReason
from firwalk.observability.monitor import RequestRecord
from firwalk.policy.enums import Idempotency

if TYPE_CHECKING:
    from firwalk.cluster.quota_accounting import Charge
    from firwalk.policy.policy import Request


class RequestLabels(NamedTuple):
    """The labels by which requests are counted."""

    request_class: str
    tenant: str


class PendingRequest:
    """A request and its queued actions, from its arrival to the end of its last attempt."""

    request: Request  # set by the dispatcher before the object is handed out

    def __init__(self) -> None:
        self.actions: deque[Action] = deque()
        self.waiter: Future[None] | None = None
        self.has_begun_attempt = False  # the first byte of an attempt may have been written
        self.committed: set[int] = set()  # attempts whose last byte may have been written
        self.deadline = 0.0  # the client's deadline, even if the node must shut down earlier
        self.arrived_at = 0.0
        self.retry_after = 0.0  # lower bound of the Retry-After of a rejection, in seconds
        self.labels: tuple[str, str] = RequestLabels("", "")
        self.charge: Charge | None = None  # the quota reserved for the request
        self.measured_work = 0.0  # work of the completed attempt
        self.record: RequestRecord | None = None
        self.failure_reason = FailureReason.NO_EXECUTOR
        self.has_client_left: Callable[[], bool] = lambda: False
        # Whether the client has sent more than is read, so that it is not known whether it has left.
        self.is_client_overrun: Callable[[], bool] = lambda: False
        self.is_withdrawn = False  # the client has left, or another process continues the request
        self.has_final_answer = False  # it is queued, or has been taken from the queue
        self.timers: list[Timer] = []

    def wake(self) -> None:
        """Resume the task that waits for the next action."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def add(self, action: Action) -> None:
        """Queue an action."""
        self.has_final_answer |= action.is_final_answer
        self.actions.append(action)
        self.wake()

    def attempt_reason(self, number: int) -> str:
        """Return why an attempt was made, as named in events."""
        if number == 0:
            return "first"
        earlier = self.request.attempts[:number]
        return "hedge" if any(attempt.is_in_flight for attempt in earlier) else "retry"

    def may_repeat_effect(self) -> bool:
        """Return whether another request with the same id could repeat an effect of this one.

        An idempotent request that has its answer may be repeated; without an answer it may still be running.
        """
        request = self.request
        if not any(attempt.may_have_run and attempt.number in self.committed for attempt in request.attempts):
            return False
        return self.is_withdrawn or request.request_class.idempotency is not Idempotency.IDEMPOTENT

    def is_finished(self) -> bool:
        """Return whether the request has its final answer and no attempt in flight."""
        return not self.request.is_open and not self.request.in_flight


def limit_budget(budget: float | None, class_deadline: float) -> float:
    """Return the lesser of the client's budget and the request class's deadline (0: none), in seconds."""
    if budget is None:
        return class_deadline
    return min(budget, class_deadline or budget)
