"""Checks at run time that the guarantees on requests hold, independently of the code that implements them.

The monitor keeps its own record of each request in flight, based on what is written to sockets. It prevents
nothing: violations are counted, and logged with the request's history. Times are seconds on the dispatcher's
clock.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import StrEnum
from typing import TYPE_CHECKING

from firwalk.observability.events import Event, EventLog
from firwalk.observability.log import log_internal
from firwalk.policy.executor import UNKNOWN_NUMBER
from firwalk.policy.interface import DeduplicationScope, Idempotency, Outcome

if TYPE_CHECKING:
    from firwalk.policy.executor import Zone
    from firwalk.policy.policy import Attempt, Request

MAX_LATENESS_S = 0.5  # Clients accept no answer later than this after the deadline.
NEVER_RAN_OUTCOMES = (Outcome.AT_CAPACITY, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
REJECTED_STATUSES = (429, 503)
# Event collectors match these words, which differ from the names in the code.
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
MAX_HISTORY_EVENTS = 12  # The log line of a violation has at most this many events of the request.


class Rule(StrEnum):
    """The guarantees, with their text in the log. The names are reasons in the event log."""

    ANSWERED = "each request taken is answered before its connection or process ends"
    ANSWERED_ONCE = "a request has one final answer"
    ANSWERED_IN_TIME = "a final answer is not later than half a second past the deadline"
    NOTHING_AFTER = "nothing is sent for a request that is over"
    HARMLESS = "a rejection promises that a retry is harmless"
    ONE_EFFECT = "no effect twice"
    IN_TIME = "an attempt is begun before its request's deadline"
    NOT_WHILE_STOPPED = "a process that was told to stop does not begin to listen"


class AttemptRecord:
    """One attempt. It is `committed` from when its last byte may have been written."""

    __slots__ = ("executor", "zone", "cell", "sent_at", "committed", "never_ran")

    def __init__(
        self,
        executor: str,
        zone: Zone,
        cell: int,
        sent_at: float,
        committed: bool = False,
        never_ran: bool = False,
    ) -> None:
        self.executor = executor
        self.zone = zone
        self.cell = cell
        self.sent_at = sent_at
        self.committed = committed
        self.never_ran = never_ran


class RequestRecord:
    """One request, from its arrival to the end of its last attempt.

    Executors recognize a repeated idempotency key for `key_ttl_s` seconds.
    """

    __slots__ = (
        "request_id",
        "idempotency",
        "deduplication_scope",
        "key_ttl_s",
        "deadline",
        "attempts",
        "status",
        "released",
    )

    def __init__(
        self,
        request_id: str,
        idempotency: Idempotency,
        deduplication_scope: DeduplicationScope,
        key_ttl_s: float,
        deadline: float,
    ) -> None:
        self.request_id = request_id
        self.idempotency = idempotency
        self.deduplication_scope = deduplication_scope
        self.key_ttl_s = key_ttl_s
        self.deadline = deadline
        self.attempts: dict[int, AttemptRecord] = {}
        self.status = 0
        self.released = False

    def is_over(self) -> bool:
        """Whether the request needs no answer any more."""
        return bool(self.status) or self.released


class Monitor:
    """Records requests and counts violations."""

    def __init__(self, events: EventLog, clock: Callable[[], float]) -> None:
        self.events = events
        self.clock = clock
        self.violations: dict[Rule, int] = {}

    def violation(self, rule: Rule, request_id: str = "", **details: object) -> None:
        """Count a violation and log it with the recent events of the request."""
        count = self.violations.get(rule, 0) + 1
        self.violations[rule] = count
        history = self.events.history(request_id)[-MAX_HISTORY_EVENTS:] if request_id else []
        self.events.record(Event.VIOLATION, rule.name.lower(), request_id, **details)
        detail_text = " ".join(f"{name} {value}" for name, value in details.items())
        text = f"request {request_id or 'none'} {detail_text} {' '.join(history)}"
        log_internal(f"rule broken ({count}): {rule}: {text.rstrip()}")

    # -- requests -------------------------------------------------------------------------------------------

    def taken(self, request_id: str, request: Request, deadline: float) -> RequestRecord:
        """Record the arrival of a complete request."""
        request_class = request.request_class
        self.events.record(Event.REQUEST_TAKEN, "", request_id, left_s=round(deadline - self.clock(), 4))
        return RequestRecord(
            request_id,
            request_class.idempotency,
            request_class.deduplication_scope,
            request_class.key_ttl,
            deadline,
        )

    def answered(self, record: RequestRecord, status: int, reason: str) -> None:
        """Record the final answer, just before it is written."""
        if record.status:
            self.violation(Rule.ANSWERED_ONCE, record.request_id, status=status, before=record.status)
        record.status = status
        if status in REJECTED_STATUSES and not self._is_retry_harmless(record):
            self.violation(Rule.HARMLESS, record.request_id, status=status)
        late_s = self.clock() - record.deadline
        if late_s > MAX_LATENESS_S:
            self.violation(Rule.ANSWERED_IN_TIME, record.request_id, late_s=round(late_s, 3))
        self.events.record(Event.REQUEST_ANSWERED, reason, record.request_id, status=status)

    def released(self, record: RequestRecord, reason: str) -> None:
        """Record that the request ends here without an answer: its client left, or it was handed over."""
        if not record.is_over():
            record.released = True
            self.events.record(Event.REQUEST_RELEASED, reason, record.request_id)

    @staticmethod
    def _is_retry_harmless(record: RequestRecord) -> bool:
        """Whether no attempt can have run, or running the request again has no further effect."""
        if record.idempotency is Idempotency.IDEMPOTENT:
            return True
        if record.idempotency is Idempotency.KEYED and record.deduplication_scope is DeduplicationScope.ALL:
            return True
        return not any(attempt.committed and not attempt.never_ran for attempt in record.attempts.values())

    # -- attempts -------------------------------------------------------------------------------------------

    def attempt_begun(self, record: RequestRecord, attempt: Attempt, reason: str) -> None:
        """Record the start of an attempt, just before its first byte is written."""
        now = self.clock()
        number = attempt.number
        attempt_record = AttemptRecord(attempt.executor.handle.name, attempt.zone, attempt.cell, now)
        if record.is_over():
            self.violation(Rule.NOTHING_AFTER, record.request_id, attempt=number)
        if now >= record.deadline:
            self.violation(Rule.IN_TIME, record.request_id, attempt=number)
        for earlier_number, earlier in record.attempts.items():
            if earlier_number != number and self._may_repeat_effect(record, earlier, attempt_record):
                self.violation(Rule.ONE_EFFECT, record.request_id, attempt=number)
                break
        record.attempts[number] = attempt_record
        self.events.record(
            Event.ATTEMPT_BEGUN,
            reason,
            record.request_id,
            attempt=number,
            executor=attempt_record.executor,
            zone=attempt.zone.number,
            cell=attempt.cell,
        )

    @staticmethod
    def _may_repeat_effect(record: RequestRecord, earlier: AttemptRecord, attempt: AttemptRecord) -> bool:
        """Whether the new attempt may repeat an effect of the earlier one."""
        if record.idempotency is Idempotency.IDEMPOTENT or not earlier.committed or earlier.never_ran:
            return False
        if record.idempotency is Idempotency.NON_IDEMPOTENT:
            return True
        if attempt.sent_at > earlier.sent_at + record.key_ttl_s:
            return True
        if record.deduplication_scope is DeduplicationScope.ZONE:
            return earlier.zone is not attempt.zone or not attempt.zone.is_known
        if record.deduplication_scope is DeduplicationScope.CELL:
            return earlier.cell != attempt.cell or attempt.cell == UNKNOWN_NUMBER
        return False

    def attempt_committed(self, record: RequestRecord, number: int) -> None:
        """Record that the last byte of an attempt is about to be written: from here on it may run."""
        if record.is_over():
            self.violation(Rule.NOTHING_AFTER, record.request_id, attempt=number)
        if number in record.attempts:
            record.attempts[number].committed = True
        self.events.record(Event.ATTEMPT_COMMITTED, "", record.request_id, attempt=number)

    def attempt_ended(self, record: RequestRecord, number: int, outcome: Outcome) -> None:
        """Record the end of an attempt."""
        if number in record.attempts:
            record.attempts[number].never_ran = outcome in NEVER_RAN_OUTCOMES
        self.events.record(Event.ATTEMPT_ENDED, OUTCOME_REASONS[outcome], record.request_id, attempt=number)

    def resumed(
        self, request_id: str, request: Request, deadline: float, committed_attempts: set[int]
    ) -> RequestRecord:
        """Record a request that another process of this node handed over.

        `committed_attempts` has the numbers of the attempts that were committed there.
        """
        record = self.taken(request_id, request, deadline)
        for attempt in request.attempts:
            record.attempts[attempt.number] = AttemptRecord(
                attempt.executor.handle.name,
                attempt.zone,
                attempt.cell,
                attempt.sent_at,
                committed=attempt.number in committed_attempts,
                never_ran=not attempt.may_have_run,
            )
        return record
