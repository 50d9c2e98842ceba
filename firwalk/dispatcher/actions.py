"""What the dispatcher asks its caller to do: actions for one request, and background actions.

The network side matches on the type of each action. No action is ever sent over the wire.
"""

from __future__ import annotations

from dataclasses import dataclass

from firwalk.dispatcher.endpoint import Endpoint


@dataclass(slots=True)
class SendAttempt:
    """Send one attempt of the request to an executor.

    `deadline` is when the attempt must have ended, in seconds on the dispatcher's clock.
    `is_non_idempotent` tells that the request must never run twice.
    """

    number: int
    endpoint: Endpoint
    deadline: float
    is_non_idempotent: bool


@dataclass(slots=True)
class CancelAttempt:
    """Cancel an attempt that is in flight."""

    number: int


@dataclass(slots=True)
class CompleteRequest:
    """Answer the client with the result."""

    result: bytes


@dataclass(slots=True)
class RejectRequest:
    """Answer that a retry is harmless; a `retry_after_s` of 0 gives no advice on when."""

    retry_after_s: float


@dataclass(slots=True)
class FailRequest:
    """Answer that the outcome is unknown."""


@dataclass(slots=True)
class RejectInvalidRequest:
    """Answer that the request itself is invalid, as an executor found."""


FinalAnswer = CompleteRequest | RejectRequest | FailRequest | RejectInvalidRequest
Action = SendAttempt | CancelAttempt | FinalAnswer


@dataclass(slots=True)
class CheckHealth:
    """Ask an executor for its load report; the answer is awaited for `timeout_s`."""

    endpoint: Endpoint
    timeout_s: float


@dataclass(slots=True)
class CloseIdleConnections:
    """Close the connections to an executor that carry no request."""

    endpoint: Endpoint


@dataclass(slots=True)
class WatchEndpoints:
    """Open the watch of the endpoint list, or close it."""

    is_on: bool


@dataclass(slots=True)
class FetchEndpoints:
    """Fetch the whole endpoint list once."""


@dataclass(slots=True)
class GossipFailure:
    """Send the content to all peers: an executor erred."""

    content: bytes


@dataclass(slots=True)
class WriteLogLine:
    """Write a line for the operators."""

    text: str


BackgroundAction = (
    CheckHealth | CloseIdleConnections | WatchEndpoints | FetchEndpoints | GossipFailure | WriteLogLine
)
