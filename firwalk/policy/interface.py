"""What the policy needs from its host.

A host turns its own protocol into calls of `firwalk.policy.policy.Policy` and carries out, through this
interface, what the policy asks for. Nothing here decides anything. Times are seconds on the host's clock.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from firwalk.policy.enums import DeduplicationScope, EndpointState, Idempotency, Outcome
from firwalk.policy.executor import Executor
from firwalk.policy.request import Attempt, Request

__all__ = ["DeduplicationScope", "EndpointState", "Host", "Idempotency", "Outcome"]


class Host(Protocol):
    """Actions that a policy asks for; each takes effect at the time of the event being handled."""

    def send(self, request: Request, executor: Executor, limit: float) -> None:
        """Send the request to the executor, with a time-out in seconds (0: until its deadline)."""

    def admission_weight(self, request: Request) -> float:
        """Factor of the value of a request that has just arrived, by the cluster's plan.

        0 rejects it before anything is sent; 1.0 where no plan applies. May set the preferred zone.
        """

    def reject(self, request: Request, wait: float) -> None:
        """Final answer: a retry is harmless; `wait` is the Retry-After advice in seconds (0: none)."""

    def fail(self, request: Request) -> None:
        """Final answer: the outcome is unknown."""

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt in flight; its one outcome is still reported."""

    def may_have_reached(self, attempt: Attempt) -> bool:
        """Whether the attempt may have reached its executor; True where the host cannot tell."""

    def check_health(self, executor: Executor) -> None:
        """Request a load report from an executor."""

    def close_idle_connections(self, executor: Executor) -> None:
        """Close this node's idle connections to an executor."""

    def set_timer(self, when: float, act: Callable[[float, Any], None], about: Any) -> None:
        """Call `act(now, about)` once, at `when` or soon after; it cannot be cancelled."""

    def gossip_failure(self, executor: Executor) -> None:
        """Tell all other nodes that this executor returned an error."""

    def watch_endpoints(self, on: bool) -> None:
        """Open or close the watch on the endpoint list."""

    def fetch_endpoints(self) -> None:
        """Fetch the complete endpoint list once."""

    def note(self, line: str) -> None:
        """Write a line for the operators."""
