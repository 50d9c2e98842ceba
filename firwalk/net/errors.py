"""What failures of calls to the system mean: of the one connection, of the moment, or of the process."""

from __future__ import annotations

import errno

# accept(2): of the connection that was to be accepted; the next one in the queue has nothing to do with it.
OF_THE_CONNECTION = frozenset(
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
FIRST_PAUSE_S, LONGEST_PAUSE_S = 0.002, 0.05  # behind failures that last: of descriptors or memory


def concerns_connection(problem: OSError) -> bool:
    """Whether a failed accept says nothing of the next one: it can be tried at once."""
    return problem.errno in OF_THE_CONNECTION


class Pause:
    """How long to wait behind failures in a row: short at first, so that one alone delays nobody."""

    def __init__(self) -> None:
        self.seconds = FIRST_PAUSE_S

    def next(self) -> float:
        """Seconds to wait now; twice as long the next time, up to a bound."""
        seconds, self.seconds = self.seconds, min(2 * self.seconds, LONGEST_PAUSE_S)
        return seconds

    def over(self) -> None:
        """It succeeded."""
        self.seconds = FIRST_PAUSE_S
