"""What the decision module needs from whoever runs it, and the plain words both sides share.

A host turns its own protocol into calls of `firwalk.policy.policy.Node` and carries out what the node
asks of it
through this interface. Nothing here decides anything. Times are seconds as floats, on the host's clock.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import IntEnum
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from firwalk.policy.policy import Attempt, Executor, Request


class Idempotency(IntEnum):
    """What running a task twice would do."""

    IDEMPOTENT = 0
    KEYED = 1
    NON_IDEMPOTENT = 2


class DeduplicationScope(IntEnum):
    """Which executors drop the repeats of a fingerprinted task."""

    ALL = 0
    ZONE = 1
    CELL = 2


class EndpointState(IntEnum):
    """What the list of executors says of one of them."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class Outcome(IntEnum):
    """How an assignment ended. Only FULL, NO_CONNECTION and NOT_SENT prove that it never ran. UNFIT is the
    executor's word that the task itself is bad: it ends the task and says nothing of the executor."""

    COMPLETED = 0
    ERROR = 1
    AT_CAPACITY = 2
    TIMED_OUT = 3
    CONNECT_FAILED = 4
    CONNECTION_LOST = 5
    CANCELLED = 6
    NOT_SENT = 7
    INVALID = 8


class Host(Protocol):
    """The acts a node can ask for; each takes effect at the time of the call that is being answered."""

    def send(self, request: Request, executor: Executor, limit: float) -> None:
        """Give the task to the executor, with a time-out in seconds (0: until its expiry)."""

    def admission_weight(self, request: Request) -> float:
        """What nodes decided in common says of a task that came just now: times its value; 0: it is turned
        away before anything of it is sent. It may give it another home than the node's zone. 1.0, and
        nothing done, where nothing is decided in common."""

    def reject(self, request: Request, wait: float) -> None:
        """Final answer: trying again is harmless; `wait` is retry-after advice (0: none)."""

    def fail(self, request: Request) -> None:
        """Final answer that promises nothing."""

    def cancel(self, attempt: Attempt) -> None:
        """Call off an assignment that is out; it still gets its one outcome."""

    def may_have_reached(self, attempt: Attempt) -> bool:
        """Whether it may have reached its executor; True where the host cannot tell."""

    def check_health(self, executor: Executor) -> None:
        """Ask an executor for its load report."""

    def close_idle_connections(self, executor: Executor) -> None:
        """Close this node's idle connections to an executor."""

    def set_timer(self, when: float, act: Callable[[float, Any], None], about: Any) -> None:
        """Call `act(now, about)` once, at `when` or soon after; it cannot be unset."""

    def gossip_failure(self, executor: Executor) -> None:
        """Tell all other nodes that this executor erred."""

    def watch_endpoints(self, on: bool) -> None:
        """Open or close the standing subscription to the list of executors."""

    def fetch_endpoints(self) -> None:
        """Ask once for the whole list of executors."""

    def note(self, line: str) -> None:
        """Leave a line for the operators."""
