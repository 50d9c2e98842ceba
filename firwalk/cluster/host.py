"""What the cluster's parts need from whoever runs them: sockets in `firwalk.net.cluster`, virtual time in
`firwalk.lab.virtual`. Times are seconds on the node's own monotonic clock."""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from typing import Any, Protocol

from firwalk.cluster.messages import Message


class State(IntEnum):
    """How a seat is, as one node sees it. Of one incarnation the later word overrides the earlier one."""

    UP = 0
    SUSPECTED = 1
    DOWN = 2
    LEFT = 3


class Host(Protocol):
    def tell(self, seat: int, message: Message) -> None:
        """Send a datagram to the seat; it may be lost, late or doubled."""

    def set_timer(self, when: float, act: Callable[[float, Any], None], about: Any) -> None:
        """Call `act(now, about)` once, at `when` or later; it cannot be unset."""

    def event(self, what: str, **about: Any) -> None:
        """A line for the operators and for whoever checks the invariants."""
