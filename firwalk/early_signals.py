"""Handles signals that arrive while the program is still loading.

Without a handler, SIGHUP and SIGUSR1 end a process. Loading takes some tenths of a second, and a reload may
be signalled to all nodes while some of them restart. Signals that arrive during loading are therefore
recorded, and handled once the node is set up. Before Python starts, both must be ignored by inheritance: the
command in `deploy/` and the agent see to that.
"""

from __future__ import annotations

import signal
from types import FrameType

RECORDED_SIGNALS = (signal.SIGHUP, signal.SIGUSR1)
_received: set[int] = set()


def _on_signal(signal_number: int, _: FrameType | None) -> None:
    _received.add(signal_number)


def record_signals() -> None:
    """Record the signals from now on, so that they do not end the process."""
    for signal_number in RECORDED_SIGNALS:
        signal.signal(signal_number, _on_signal)


def ignore_signals() -> None:
    """Ignore the signals in this process, and in its child processes until these install handlers."""
    for signal_number in RECORDED_SIGNALS:
        signal.signal(signal_number, signal.SIG_IGN)


def pop_received(signal_number: signal.Signals) -> bool:
    """Return whether the signal has arrived since `record_signals`, and forget it."""
    was_received = signal_number in _received
    _received.discard(signal_number)
    return was_received
