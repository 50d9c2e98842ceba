"""Signals that arrive while the program is still being loaded.

Until a handler is installed, SIGHUP and SIGUSR1 end a process. Loading takes some tenths of a second, and a
new configuration may be announced to all nodes while some of them restart: a signal that arrives is recorded,
and handled once the process can. (Whatever starts the program ignores both until then: the command in
`deploy/`, and the agent.)
"""

from __future__ import annotations

import signal
from types import FrameType

HELD_SIGNALS = (signal.SIGHUP, signal.SIGUSR1)
_received: set[int] = set()


def _record(number: int, _: FrameType | None) -> None:
    _received.add(number)


def hold() -> None:
    """From now on the held signals are recorded and do not end the process."""
    for number in HELD_SIGNALS:
        signal.signal(number, _record)


def ignore() -> None:
    """Ignores the held signals in this process, and in those it starts until they install handlers."""
    for number in HELD_SIGNALS:
        signal.signal(number, signal.SIG_IGN)


def pop_received(number: signal.Signals) -> bool:
    """Whether the signal has arrived since `hold`, and forgets it."""
    was_received = number in _received
    _received.discard(number)
    return was_received
