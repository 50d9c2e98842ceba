"""Signals that come while the program is still being loaded.

Until a handler stands, SIGHUP and SIGUSR1 end a process. Loading takes some tenths of a second, and a new
configuration may be announced to a whole fleet while parts of it restart: what comes is noted, and acted upon
once the process can. (Whatever starts the program ignores both until then: the command in `deploy/`, and the
agent.)
"""

from __future__ import annotations

import signal

HELD = (signal.SIGHUP, signal.SIGUSR1)
_came: set[int] = set()


def hold() -> None:
    """From now on the process lives through them."""
    for number in HELD:
        signal.signal(number, lambda came, _: _came.add(came))


def ignore() -> None:
    """They mean nothing to this process, nor to one that it starts, until that sets handlers of its own."""
    for number in HELD:
        signal.signal(number, signal.SIG_IGN)


def take(number: signal.Signals) -> bool:
    """Whether that one came meanwhile; tells of it once."""
    came = number in _came
    _came.discard(number)
    return came
