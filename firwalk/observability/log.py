"""Rate-limited log lines on standard error, and counts of violated invariants."""

from __future__ import annotations

import io
import os
import select
import stat
import sys
import traceback
from time import monotonic

MAX_LINES_PER_SECOND = 20  # Counts distinct lines, separately for external and internal ones.
MAX_TRACEBACK_LINES = 8

violations: dict[str, int] = {}  # Counts of violated invariants and internal errors, by message.


class _RateLimiter:
    """Writes a limited number of distinct lines per second, and then how many were suppressed."""

    def __init__(self) -> None:
        self.window_started_at = 0.0
        self.suppressed_count = 0
        self.line_counts: dict[str, int] = {}  # in the current second

    def write(self, line: str) -> None:
        now = monotonic()
        if now - self.window_started_at >= 1.0:
            self._start_window(now)
        if line in self.line_counts:
            self.line_counts[line] += 1
        elif len(self.line_counts) < MAX_LINES_PER_SECOND:
            self.line_counts[line] = 1
            _write_line(line)
        else:
            self.suppressed_count += 1

    def _start_window(self, now: float) -> None:
        for line, count in self.line_counts.items():
            if count > 1:
                _write_line(f"{count - 1} times more: {line}")
        if self.suppressed_count:
            _write_line(f"{self.suppressed_count} lines left out")
        self.window_started_at = now
        self.suppressed_count = 0
        self.line_counts.clear()


_external_limiter = _RateLimiter()
_internal_limiter = _RateLimiter()


def log_external(line: str) -> None:
    """Log an event caused by clients, executors or other nodes."""
    _external_limiter.write(line)


def log_internal(line: str) -> None:
    """Log an event of the process itself; its own rate limit keeps peers from crowding it out."""
    _internal_limiter.write(line)


def log_unlimited(line: str) -> None:
    """Log a line without a rate limit, for events that an external tool counts."""
    _write_line(line)


class _StderrWriter:
    """Writes to standard error without blocking.

    A log collector that stops reading must not block the process. Lines that do not fit into its pipe are
    dropped and counted.
    """

    def __init__(self) -> None:
        self.lost_line_count = 0
        self.is_line_truncated = False
        self.is_pipe: bool | None = None  # None until the first line

    def write(self, line: str) -> None:
        """Write a line, or drop it."""
        stream = sys.stderr
        if stream is None:  # closed at startup: its descriptor may now be another file
            return
        text = f"firwalk: {line}\n"
        try:
            self._write_bytes(stream.fileno(), text.encode(errors="replace"))
        except io.UnsupportedOperation:  # a test's substitute without a descriptor
            stream.write(text)
        except (OSError, ValueError):
            pass  # the log has no reader any more; the process continues

    def _write_bytes(self, descriptor: int, data: bytes) -> None:
        if self.is_line_truncated:
            data = b"\n" + data
        if self.lost_line_count and self._is_writable(descriptor):
            notice = b"firwalk: %d lines were lost: nobody read the log\n" % self.lost_line_count
            data = notice + data
            self.lost_line_count = 0
        for start in range(0, len(data), select.PIPE_BUF):
            if not self._is_writable(descriptor):
                self.lost_line_count += 1
                self.is_line_truncated |= start > 0
                return
            os.write(descriptor, data[start : start + select.PIPE_BUF])
        self.is_line_truncated = False

    def _is_writable(self, descriptor: int) -> bool:
        """Whether PIPE_BUF bytes can be written without blocking; only pipes and sockets can block."""
        if self.is_pipe is None:
            mode = os.fstat(descriptor).st_mode
            self.is_pipe = stat.S_ISFIFO(mode) or stat.S_ISSOCK(mode)
        if not self.is_pipe:
            return True
        poll = select.poll()
        poll.register(descriptor, select.POLLOUT)
        return bool(poll.poll(0))


_stderr_writer = _StderrWriter()


def _write_line(line: str) -> None:
    _stderr_writer.write(line)


def check_invariant(condition: bool, message: str) -> None:
    """Assert an invariant; release builds (-O) count and log the violation instead.

    Raises AssertionError in debug builds.
    """
    if __debug__:
        assert condition, message
    elif not condition:
        violations[message] = violations.get(message, 0) + 1
        log_internal(f"does not hold ({violations[message]}): {message}")


def log_exception(activity: str, error: BaseException) -> None:
    """Count and log an unexpected exception, with the end of its traceback in one line."""
    violations[activity] = violations.get(activity, 0) + 1
    last_lines = traceback.format_exception(error)[-MAX_TRACEBACK_LINES:]
    text = " | ".join(line.strip() for line in last_lines)
    log_internal(f"error while {activity} ({violations[activity]}): {' '.join(text.split())}")
