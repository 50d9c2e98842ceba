"""Classification of system call errors, and retries of calls that fail with a transient one."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable
from time import monotonic
from typing import TypeVar

# accept(2) reports these for the connection being accepted; the next one in the queue may be valid.
CONNECTION_ERRNOS = frozenset(
    (
        errno.ECONNABORTED,
        errno.EINTR,
        errno.EPROTO,
        errno.EPERM,
        errno.ENETDOWN,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
        errno.ETIMEDOUT,
        errno.ECONNRESET,
    )
)
RESOURCE_ERRNOS = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN, errno.EINTR)
)
ADDRESS_ERRNOS = RESOURCE_ERRNOS | {errno.EADDRINUSE, errno.EADDRNOTAVAIL}

INITIAL_DELAY_S = 0.002
MAX_DELAY_S = 0.05
# A process start fails with the reason once a resource has been missing for this long.
RETRY_TIMEOUT_S = 1.5

Result = TypeVar("Result")


class StopRequested(Exception):
    """The process was told to stop before it had acquired its resources."""


def is_connection_error(problem: OSError) -> bool:
    """Return whether a failed accept concerns only that connection, so that the next can be tried at once."""
    return problem.errno in CONNECTION_ERRNOS


class Backoff:
    """Exponential delays between failed attempts; short at first, so that a single failure costs little."""

    def __init__(self) -> None:
        self.delay_s = INITIAL_DELAY_S

    def next_delay_s(self) -> float:
        """Return the current delay and double the next one, up to `MAX_DELAY_S`."""
        delay_s = self.delay_s
        self.delay_s = min(2 * delay_s, MAX_DELAY_S)
        return delay_s

    def reset(self) -> None:
        """Start again at the initial delay, after an attempt has succeeded."""
        self.delay_s = INITIAL_DELAY_S


async def retry_while_transient(
    operation: Callable[[], Awaitable[Result]],
    transient_errnos: frozenset[int],
    is_stopping: Callable[[], bool],
    timeout_s: float = RETRY_TIMEOUT_S,
) -> Result:
    """Call `operation` until it succeeds or fails with an error that is not transient.

    Raises OSError for such an error or after the timeout, and StopRequested once the process is stopping.
    """
    backoff = Backoff()
    give_up_at = monotonic() + timeout_s
    while True:
        try:
            return await operation()
        except OSError as problem:
            if problem.errno not in transient_errnos or monotonic() > give_up_at:
                raise
        await asyncio.sleep(backoff.next_delay_s())
        if is_stopping():
            raise StopRequested
