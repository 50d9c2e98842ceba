"""Lines for the operators on standard error, so many a second at most, and the counts of what must hold."""

from __future__ import annotations

import io
import os
import select
import stat
import sys
import traceback
from time import monotonic

MOST = 20  # different lines a second, of each kind

violations: dict[str, int] = {}


class _Quota:
    """Passes on so many different lines a second; how many more there were is told afterwards."""

    def __init__(self) -> None:
        self.began_at, self.beyond = 0.0, 0
        self.times: dict[str, int] = {}  # lines of this second, and how often each came

    def say(self, line: str) -> None:
        now = monotonic()
        if now - self.began_at >= 1.0:
            self._begin(now)
        if line in self.times:
            self.times[line] += 1
        elif len(self.times) < MOST:
            self.times[line] = 1
            _print(line)
        else:
            self.beyond += 1

    def _begin(self, now: float) -> None:
        for text, times in self.times.items():
            if times > 1:
                _print(f"{times - 1} times more: {text}")
        if self.beyond:
            _print(f"{self.beyond} lines left out")
        self.began_at, self.beyond = now, 0
        self.times.clear()


_of_peers, _own = _Quota(), _Quota()


def log_external(line: str) -> None:
    """What clients, executors and other nodes bring about."""
    _of_peers.say(line)


def log_internal(line: str) -> None:
    """What the process itself does, and what is wrong with it: no bytes of others crowd it out."""
    _own.say(line)


def log_unlimited(line: str) -> None:
    """A line whatever the rate: for events that somebody outside counts."""
    _print(line)


class _Output:
    """Standard error, written to without ever waiting: a collector of logs that stops reading must not hold
    up the process. What it has no room for is lost, and counted."""

    def __init__(self) -> None:
        self.lost, self.cut = 0, False
        self.piped: bool | None = None

    def write(self, line: str) -> None:
        stream = sys.stderr
        if stream is None:  # closed before the start: its number may be another file's by now
            return
        text = f"firwalk: {line}\n"
        try:
            self._write(stream.fileno(), text.encode(errors="replace"))
        except io.UnsupportedOperation:  # a stand-in for it, in a test
            stream.write(text)
        except (OSError, ValueError):
            pass  # nobody reads the log any more: the process goes on

    def _write(self, file: int, data: bytes) -> None:
        if self.cut:
            data = b"\n" + data
        if self.lost and self._has_room(file):
            data = b"firwalk: %d lines were lost: nobody read the log\n" % self.lost + data
            self.lost = 0
        for start in range(0, len(data), select.PIPE_BUF):
            if not self._has_room(file):
                self.lost += 1
                self.cut |= start > 0
                return
            os.write(file, data[start : start + select.PIPE_BUF])
        self.cut = False

    def _has_room(self, file: int) -> bool:
        """A pipe or socket that polls as writable takes `PIPE_BUF` bytes at once; any other file all."""
        if self.piped is None:
            kind = os.fstat(file).st_mode
            self.piped = stat.S_ISFIFO(kind) or stat.S_ISSOCK(kind)
        if not self.piped:
            return True
        poll = select.poll()
        poll.register(file, select.POLLOUT)
        return bool(poll.poll(0))


_output = _Output()


def _print(line: str) -> None:
    _output.write(line)


def check_invariant(holds: bool, what: str) -> None:
    """What must hold: asserted in debug builds; counted and told in release builds (-O)."""
    if __debug__:
        assert holds, what
    elif not holds:
        violations[what] = violations.get(what, 0) + 1
        log_internal(f"does not hold ({violations[what]}): {what}")


def log_exception(where: str, problem: BaseException) -> None:
    """An error of our own: told with its place in the code, and the node goes on."""
    violations[where] = violations.get(where, 0) + 1
    text = " | ".join(line.strip() for line in traceback.format_exception(problem)[-8:])
    log_internal(f"error while {where} ({violations[where]}): {' '.join(text.split())}")
