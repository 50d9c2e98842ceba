"""Shares of the processor between connections: those that cause more work than others wait for turns.

A connection without a backlog that stays within its token bucket of processor time is served at once, as if
it were alone. The others wait in a queue and get turns in their order of arrival, some in each iteration of
the event loop. This is round robin (J. Nagle, "On Packet Switches with Infinite Storage", RFC 970) with
priority for sparse flows (T. Hoeiland-Joergensen et al., "The Flow Queue CoDel Packet Scheduler", RFC 8290).
The work of a turn is bounded by its callers, so that an iteration of the loop stays short however many peers
send at full speed. Times are seconds on the caller's clock.
"""

from __future__ import annotations

from collections import deque
from typing import Generic, TypeVar

REFILL_SHARE = 0.01  # a connection may use this fraction of a processor without waiting for turns
BURST_S = 0.004
MAX_DEBT_S = 0.1  # a connection that has caused more work than that is forgiven the rest
TURNS_PER_ITERATION = 8  # of the event loop, but one after an iteration of `LONG_ITERATION_S`
LONG_ITERATION_S = 0.01
TURN_S = 0.0005  # a turn ends after the first piece of work that exceeds this time

Waiter = TypeVar("Waiter")


class WorkAccount:
    """The token bucket of one connection."""

    __slots__ = ("_refilled_at", "_tokens_s")

    def __init__(self, now: float) -> None:
        self._tokens_s = BURST_S
        self._refilled_at = now

    def charge(self, now: float, work_s: float) -> None:
        """Record processor time that the connection has caused."""
        self._refill(now)
        self._tokens_s = max(self._tokens_s - work_s, -MAX_DEBT_S)

    def has_tokens(self, now: float) -> bool:
        """Return whether the connection is within its share."""
        self._refill(now)
        return self._tokens_s > 0.0

    def _refill(self, now: float) -> None:
        self._tokens_s = min(self._tokens_s + (now - self._refilled_at) * REFILL_SHARE, BURST_S)
        self._refilled_at = now


class TurnQueue(Generic[Waiter]):
    """The connections that wait for a turn, first come, first served."""

    def __init__(self) -> None:
        self._waiters: deque[Waiter] = deque()

    def __len__(self) -> int:
        return len(self._waiters)

    def append(self, waiter: Waiter) -> None:
        """Add a connection at the end."""
        self._waiters.append(waiter)

    def next(self) -> Waiter | None:
        """Remove and return the connection whose turn it is; None if none waits."""
        return self._waiters.popleft() if self._waiters else None
