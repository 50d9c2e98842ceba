"""A client's request as the network side holds it, with the actions that wait to be carried out."""

from __future__ import annotations

from asyncio import Future
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

from firwalk.dispatcher.actions import Action
from firwalk.observability.events import FailureReason
from firwalk.observability.monitor import RequestRecord

if TYPE_CHECKING:
    from firwalk.cluster.quota_accounting import Charge
    from firwalk.policy.policy import Request


class RequestLabels(NamedTuple):
    """The names by which requests are counted."""

    request_class: str
    tenant: str


class PendingRequest:
    """A request and its queued actions, until its last attempt has ended."""

    request: Request  # set by the dispatcher before the object is handed out

    def __init__(self) -> None:
        self.actions: deque[Action] = deque()
        self.waiter: Future[None] | None = None
        self.committed: set[int] = set()  # attempts whose last byte may have been written
        self.deadline = 0.0  # the client's, even where the node must be gone earlier
        self.arrived_at = 0.0
        self.retry_after = 0.0  # seconds: the least Retry-After of a rejection
        self.labels: tuple[str, str] = RequestLabels("", "")
        self.charge: Charge | None = None  # the quota reserved for it
        self.measured_work = 0.0  # work of the completed attempt
        self.record: RequestRecord | None = None
        self.failure_reason = FailureReason.NO_EXECUTOR
        self.has_client_left: Callable[[], bool] = lambda: False

    def wake(self) -> None:
        """Resumes whoever waits for the next action."""
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def add(self, action: Action) -> None:
        """Queues an action."""
        self.actions.append(action)
        self.wake()

    def attempt_reason(self, number: int) -> str:
        """Why an attempt is made, in the events' words."""
        if number == 0:
            return "first"
        earlier = self.request.attempts[:number]
        return "hedge" if any(attempt.is_in_flight for attempt in earlier) else "retry"

    def is_finished(self) -> bool:
        """Whether it has its final answer and no attempt is in flight."""
        return not self.request.is_open and not self.request.in_flight


def limit_budget(budget: float | None, class_deadline: float) -> float:
    """The client's deadline or that of the request class (0: none), whichever is sooner, in seconds."""
    if budget is None:
        return class_deadline
    return min(budget, class_deadline or budget)
