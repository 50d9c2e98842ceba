"""Events of requests and connections with their reasons: counts, the most recent ones, and a stream.

Events are always counted; they are streamed as lines of JSON if the event log has a `write` function.
Times are seconds of the monotonic clock.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from enum import StrEnum
from time import monotonic

import orjson

MAX_RECENT_EVENTS = 256  # Recent events are kept for the history in the log line of a violation.


class EventName(StrEnum):
    """A name in the event log."""

    __hash__ = str.__hash__  # equal to the hash of the plain string: names are looked up by strings


class Event(EventName):
    """Kinds of events."""

    REQUEST_TAKEN = "request_taken"
    REQUEST_ANSWERED = "request_answered"
    REQUEST_RELEASED = "request_released"
    ATTEMPT_BEGUN = "attempt_begun"
    ATTEMPT_COMMITTED = "attempt_committed"
    ATTEMPT_ENDED = "attempt_ended"
    CLIENT_CONNECTED = "client_connected"
    CLIENT_CLOSED = "client_closed"
    EXECUTOR_CLOSED = "executor_closed"
    STATE = "state"
    VIOLATION = "violation"


class CloseReason(EventName):
    """Why a connection was closed."""

    PEER_LEFT = "peer_left"
    IDLE = "idle"
    SILENT = "silent"
    STOPPING = "stopping"
    LAST_ANSWER = "last_answer"
    EVICTED = "evicted"
    MALFORMED = "malformed"
    HANDED_OVER = "handed_over"
    CANCELLED = "cancelled"
    EXECUTOR_GONE = "executor_gone"
    NOT_SENT = "not_sent"
    UNRELIABLE = "unreliable"
    NO_ANSWER = "no_answer"
    FAILURE = "failure"


class FailureReason(EventName):
    """Why a request was rejected or failed."""

    NO_EXECUTOR = "no_executor_in_time"
    DEADLINE = "deadline"
    STOPPING = "stopping"
    ATTEMPTS_FAILED = "attempts_failed"
    CLASS_GONE = "class_gone"
    NO_DESCRIPTOR = "no_descriptor"
    BAD_REQUEST = "bad_request"
    DUPLICATE_ID = "duplicate_id"
    OVERRUN = "overrun"
    INTERNAL_ERROR = "internal_error"


class ProcessState(EventName):
    """Phases of the process."""

    SERVING = "serving"
    RELOADED = "reloaded"
    STOPPING = "stopping"
    DRAINING = "draining"
    FINAL = "final"
    STOPPED = "stopped"


class EventRecord:
    """One event. `request` is the id of its request, empty if there is none."""

    __slots__ = ("at", "event", "reason", "request", "details")

    def __init__(
        self, at: float, event: Event, reason: str, request: str, details: dict[str, object]
    ) -> None:
        self.at = at
        self.event = event
        self.reason = reason
        self.request = request
        self.details = details


class EventLog:
    """Counts events by kind and reason, and keeps the most recent ones."""

    def __init__(self) -> None:
        self.counts: Counter[tuple[str, str]] = Counter()
        self.recent: deque[EventRecord] = deque(maxlen=MAX_RECENT_EVENTS)
        self.write: Callable[[bytes], None] | None = None

    def record(self, event: Event, reason: str = "", request: str = "", **details: object) -> None:
        """Count an event, add it to the recent ones, and stream it if there is a stream."""
        self.counts[event, reason] += 1
        record = EventRecord(monotonic(), event, reason, request, details)
        self.recent.append(record)
        if self.write is not None:
            self.write(_encode(record))

    def history(self, request: str) -> list[str]:
        """Return the recent events of a request as lines of JSON, oldest first."""
        return [_encode(record).decode() for record in self.recent if record.request == request]

    def summary(self) -> str:
        """Return all counts as one line of text."""
        parts = [
            f"{event}{f'({reason})' if reason else ''} {count}"
            for (event, reason), count in sorted(self.counts.items())
        ]
        return ", ".join(parts) or "no events"


def _encode(record: EventRecord) -> bytes:
    fields: dict[str, object] = {"at": round(record.at, 6), "event": record.event}
    if record.request:
        fields["request"] = record.request
    if record.reason:
        fields["reason"] = record.reason
    return orjson.dumps(fields | record.details, default=str)
