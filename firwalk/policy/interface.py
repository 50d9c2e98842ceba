"""The interface through which the policy acts on its host.

A host translates its protocol into calls of `firwalk.policy.policy.Policy` and performs the actions that the
policy requests through this interface. It makes no decisions. Times are seconds on the host's clock.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from firwalk.policy.enums import DeduplicationScope, EndpointState, Idempotency, Outcome
from firwalk.policy.executor import Executor
from firwalk.policy.request import Attempt, Request

__all__ = ["DeduplicationScope", "EndpointState", "Host", "Idempotency", "Outcome"]


class Host(Protocol):
    """Actions that a policy requests. Each takes effect at the time of the event being handled."""

    def send(self, request: Request, executor: Executor, limit: float) -> None:
        """Send the request to the executor, with a time-out in seconds (0: until its deadline)."""

    def admission_weight(self, request: Request) -> float:
        """Return the factor that the cluster's plan applies to the value of a new request.

        0 rejects the request before any attempt; 1.0 means that no plan applies. May set the preferred zone.
        """

    def reject(self, request: Request, wait: float) -> None:
        """Answer that the client may retry safely; `wait` is the Retry-After value in seconds (0: none)."""

    def fail(self, request: Request) -> None:
        """Answer that the outcome of the request is unknown."""

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt in flight; its outcome is still reported once."""

    def may_have_reached(self, attempt: Attempt) -> bool:
        """Return whether the attempt may have reached its executor; True if the host cannot tell."""

    def check_health(self, executor: Executor) -> None:
        """Request a load report from an executor."""

    def close_idle_connections(self, executor: Executor) -> None:
        """Close all idle connections of this node to an executor."""

    def set_timer(self, when: float, act: Callable[[float, Any], None], about: Any) -> None:
        """Call `act(now, about)` once, at `when` or shortly after; a timer cannot be cancelled."""

    def gossip_failure(self, executor: Executor) -> None:
        """Tell all other nodes that an executor returned an error."""

    def watch_endpoints(self, on: bool) -> None:
        """Start or stop watching the endpoint list."""

    def fetch_endpoints(self) -> None:
        """Fetch the complete endpoint list once."""

    def log_line(self, line: str) -> None:
        """Write a log line."""
