"""What happened to each request and connection, and why: counts, the last events, and all where wanted.

Counting is always on; the stream of all events (JSON, a line each) only where a file is named. No I/O here:
whoever opens the file hands in a function that writes a line. Times are seconds of the monotonic clock.
"""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from enum import StrEnum
from time import monotonic

import orjson

KEPT_EVENTS = 256  # the last ones, which are told when a rule is seen broken


class EventWord(StrEnum):
    """A name in the log. Hashed as the string that it is, since events are counted by it."""

    __hash__ = str.__hash__


class Event(EventWord):
    """What can happen."""

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


class CloseReason(EventWord):
    """Why a connection ends."""

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


class FailureReason(EventWord):
    """Why a request is given up."""

    NO_EXECUTOR = "no_executor_in_time"
    DEADLINE = "deadline"
    STOPPING = "stopping"
    ATTEMPTS_FAILED = "attempts_failed"
    CLASS_GONE = "class_gone"
    NO_DESCRIPTOR = "no_descriptor"
    BAD_REQUEST = "bad_request"
    DUPLICATE_ID = "duplicate_id"


class ProcessState(EventWord):
    """Phases of the process."""

    SERVING = "serving"
    RELOADED = "reloaded"
    STOPPING = "stopping"
    DRAINING = "draining"
    FINAL = "final"
    STOPPED = "stopped"


class EventLog:
    """Counts of events by reason, and the last ones."""

    def __init__(self) -> None:
        self.counts: Counter[tuple[str, str]] = Counter()
        self.recent: deque[tuple] = deque(maxlen=KEPT_EVENTS)
        self.write: Callable[[bytes], None] | None = None

    def record(self, event: Event, reason: str = "", request: str = "", **details: object) -> None:
        """Counts one event, keeps it for a while, and streams it where that is wanted."""
        self.counts[event, reason] += 1
        entry = (monotonic(), event, reason, request, details)
        self.recent.append(entry)
        if self.write is not None:
            self.write(_line(entry))

    def history(self, request: str) -> list[str]:
        """What is kept of one request, a line an event."""
        return [_line(entry).decode() for entry in self.recent if entry[3] == request]

    def summary(self) -> str:
        """All counts in one line."""
        parts = [
            f"{event}{f'({reason})' if reason else ''} {count}"
            for (event, reason), count in sorted(self.counts.items())
        ]
        return ", ".join(parts) or "nothing happened"


def _line(entry: tuple) -> bytes:
    at, event, reason, request, details = entry
    told: dict[str, object] = {"at": round(at, 6), "event": event}
    if request:
        told["request"] = request
    if reason:
        told["reason"] = reason
    return orjson.dumps(told | details, default=str)
