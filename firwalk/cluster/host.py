"""The interface through which the cluster code sends datagrams, sets timers and records events.

`firwalk.net.cluster` implements it on sockets, `firwalk.lab.virtual` in virtual time. Times are seconds on
the node's own monotonic clock.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from typing import Protocol, TypeVar

from firwalk.cluster.messages import Message

Context = TypeVar("Context")


class State(IntEnum):
    """A member's state as one node sees it; within one incarnation a higher state overrides a lower one."""

    UP = 0
    SUSPECTED = 1
    DOWN = 2
    LEFT = 3


class Host(Protocol):
    """What the cluster code needs from the process that runs it."""

    def send(self, node_id: int, message: Message) -> None:
        """Send a datagram to the node; it may be lost, delayed or duplicated."""

    def set_timer(self, when: float, callback: Callable[[float, Context], None], context: Context) -> None:
        """Call `callback(now, context)` once, at `when` or later; it cannot be cancelled."""

    def event(self, what: str, **fields: object) -> None:
        """Record an event for operators and for the invariant checker."""
