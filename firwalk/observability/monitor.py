"""Checks at run time that the rules on requests hold, beside the code that keeps them, and counts violations.

It keeps its own record of each request in work, from what is really done on sockets; it decides nothing and
prevents nothing. A violation is counted, told to the operators with the request's history, and kept for the
line of counts at the end. No I/O. Times are seconds on the clock of the decisions.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

from firwalk.observability.events import Event, EventLog
from firwalk.observability.log import log_internal
from firwalk.policy.interface import DeduplicationScope, Idempotency, Outcome

if TYPE_CHECKING:
    from firwalk.policy.policy import Attempt, Request

LATE_S = 0.5  # past its deadline at which an answer counts as none
NEVER_RAN = (Outcome.AT_CAPACITY, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
REJECTED = (429, 503)
# Events keep the words that they have always had: collectors of events know them.
OUTCOME_REASONS = {
    Outcome.COMPLETED: "finished",
    Outcome.ERROR: "error",
    Outcome.AT_CAPACITY: "full",
    Outcome.TIMED_OUT: "timed_out",
    Outcome.CONNECT_FAILED: "no_connection",
    Outcome.CONNECTION_LOST: "broken",
    Outcome.CANCELLED: "cancelled",
    Outcome.NOT_SENT: "not_sent",
    Outcome.INVALID: "unfit",
}
MAX_HISTORY = 12  # events of a request that are told with a violation


class Rule(StrEnum):
    """What must hold."""

    ANSWERED = "each request taken is answered before its connection or process ends"
    ANSWERED_ONCE = "a request has one final answer"
    ANSWERED_IN_TIME = "a final answer is not later than half a second past the deadline"
    NOTHING_AFTER = "nothing is sent for a request that is over"
    HARMLESS = "a rejection promises that a retry is harmless"
    ONE_EFFECT = "no effect twice"
    IN_TIME = "an attempt is begun before its request's deadline"
    NOT_WHILE_STOPPED = "a process that was told to stop does not begin to listen"


@dataclass(slots=True)
class AttemptRecord:
    """One attempt; committed: its last byte may have been written."""

    executor: str
    zone: object
    cell: int
    sent_at: float
    committed: bool = False
    never_ran: bool = False


@dataclass(slots=True)
class RequestRecord:
    """One request, from its last byte to the end of its last attempt."""

    request_id: str
    idempotency: Idempotency
    deduplication_scope: DeduplicationScope
    remembered_s: float
    deadline: float
    attempts: dict[int, AttemptRecord] = field(default_factory=dict)
    status: int = 0
    released: bool = False

    def over(self) -> bool:
        """Nothing is owed to its client any more."""
        return bool(self.status) or self.released


class Monitor:
    """Records of requests in work, and the counts of violations."""

    def __init__(self, events: EventLog, clock: Callable[[], float]):
        self.events, self.clock = events, clock
        self.violations: dict[Rule, int] = {}

    def violation(self, rule: Rule, request_id: str = "", **details: object) -> None:
        """Counts a rule that does not hold, and tells it with what is known of the request."""
        self.violations[rule] = count = self.violations.get(rule, 0) + 1
        history = self.events.history(request_id)[-MAX_HISTORY:] if request_id else []
        self.events.record(Event.VIOLATION, rule.name.lower(), request_id, **details)
        told = " ".join(f"{name} {value}" for name, value in details.items())
        about = f"request {request_id or 'none'} {told} {' '.join(history)}"
        log_internal(f"rule broken ({count}): {rule}: {about.rstrip()}")

    # -- requests -------------------------------------------------------------------------------------------

    def taken(self, request_id: str, task: Request, deadline: float) -> RequestRecord:
        """A request has come, whole."""
        offering = task.request_class
        self.events.record(Event.REQUEST_TAKEN, "", request_id, left_s=round(deadline - self.clock(), 4))
        return RequestRecord(
            request_id, offering.idempotency, offering.deduplication_scope, offering.key_ttl, deadline
        )

    def answered(self, record: RequestRecord, status: int, reason: str) -> None:
        """Its final answer is written."""
        if record.status:
            self.violation(Rule.ANSWERED_ONCE, record.request_id, status=status, before=record.status)
        record.status = status
        if status in REJECTED and not self._harmless(record):
            self.violation(Rule.HARMLESS, record.request_id, status=status)
        late = self.clock() - record.deadline
        if late > LATE_S:
            self.violation(Rule.ANSWERED_IN_TIME, record.request_id, late_s=round(late, 3))
        self.events.record(Event.REQUEST_ANSWERED, reason, record.request_id, status=status)

    def released(self, record: RequestRecord, reason: str) -> None:
        """Nothing is owed for it any more, without an answer: its client left, or another process has it."""
        if not record.over():
            record.released = True
            self.events.record(Event.REQUEST_RELEASED, reason, record.request_id)

    @staticmethod
    def _harmless(record: RequestRecord) -> bool:
        """Whether a retry can do no harm: none of it can have run, or running it again changes nothing."""
        if record.idempotency is Idempotency.IDEMPOTENT:
            return True
        if record.idempotency is Idempotency.KEYED and record.deduplication_scope is DeduplicationScope.ALL:
            return True
        return not any(attempt.committed and not attempt.never_ran for attempt in record.attempts.values())

    # -- attempts -------------------------------------------------------------------------------------------

    def attempt_begun(self, record: RequestRecord, assignment: Attempt, reason: str) -> None:
        """The first byte of an attempt is about to be written."""
        executor, now = assignment.executor, self.clock()
        attempt = AttemptRecord(executor.ref.name, executor.zone, executor.cell, now)
        if record.over():
            self.violation(Rule.NOTHING_AFTER, record.request_id, attempt=assignment.number)
        if now >= record.deadline:
            self.violation(Rule.IN_TIME, record.request_id, attempt=assignment.number)
        for number, earlier in record.attempts.items():
            if number != assignment.number and self._repeats(record, earlier, attempt):
                self.violation(Rule.ONE_EFFECT, record.request_id, attempt=assignment.number)
                break
        record.attempts[assignment.number] = attempt
        self.events.record(
            Event.ATTEMPT_BEGUN,
            reason,
            record.request_id,
            attempt=assignment.number,
            executor=attempt.executor,
        )

    @staticmethod
    def _repeats(record: RequestRecord, earlier: AttemptRecord, attempt: AttemptRecord) -> bool:
        """Whether the new attempt may have an effect for the second time."""
        if record.idempotency is Idempotency.IDEMPOTENT or not earlier.committed or earlier.never_ran:
            return False
        if record.idempotency is Idempotency.NON_IDEMPOTENT:
            return True
        if attempt.sent_at > earlier.sent_at + record.remembered_s:
            return True
        if record.deduplication_scope is DeduplicationScope.ZONE:
            return earlier.zone is not attempt.zone
        return record.deduplication_scope is DeduplicationScope.CELL and earlier.cell != attempt.cell

    def attempt_committed(self, record: RequestRecord, number: int) -> None:
        """Its last byte is about to be written: from here on it may run."""
        if record.over():
            self.violation(Rule.NOTHING_AFTER, record.request_id, attempt=number)
        if number in record.attempts:
            record.attempts[number].committed = True
        self.events.record(Event.ATTEMPT_COMMITTED, "", record.request_id, attempt=number)

    def attempt_ended(self, record: RequestRecord, number: int, outcome: Outcome) -> None:
        """How it ended."""
        if number in record.attempts:
            record.attempts[number].never_ran = outcome in NEVER_RAN
        self.events.record(Event.ATTEMPT_ENDED, OUTCOME_REASONS[outcome], record.request_id, attempt=number)

    def resumed(self, request_id: str, task: Request, deadline: float, begun: set[int]) -> RequestRecord:
        """A request that another process of this node had goes on here, with its history."""
        record = self.taken(request_id, task, deadline)
        for one in task.attempts:
            record.attempts[one.number] = AttemptRecord(
                one.executor.ref.name,
                one.executor.zone,
                one.executor.cell,
                one.sent_at,
                committed=one.number in begun,
                never_ran=not one.may_have_run,
            )
        return record
