"""What the dispatcher asks its caller to do: actions for one request, and background actions.

The network side matches on the type of each action. No action is ever sent over the wire.
"""

from __future__ import annotations

from msgspec import Struct

from firwalk.dispatcher.endpoint import Endpoint


class SendAttempt(Struct, frozen=True):
    """Send one attempt of the request to an executor.

    `deadline` is when the attempt must have ended, in seconds on the dispatcher's clock.
    `is_non_idempotent` tells that the request must never run twice.
    """

    number: int
    endpoint: Endpoint
    deadline: float
    is_non_idempotent: bool


class CancelAttempt(Struct, frozen=True):
    """Cancel an attempt that is in flight."""

    number: int


class CompleteRequest(Struct, frozen=True):
    """Answer the client with the result."""

    result: bytes


class RejectRequest(Struct, frozen=True):
    """Answer that a retry is harmless; a `retry_after_s` of 0 gives no advice on when."""

    retry_after_s: float


class FailRequest(Struct, frozen=True):
    """Answer that the outcome is unknown."""


class RejectInvalidRequest(Struct, frozen=True):
    """Answer that the request itself is invalid, as an executor found."""


FinalAnswer = CompleteRequest | RejectRequest | FailRequest | RejectInvalidRequest
Action = SendAttempt | CancelAttempt | FinalAnswer


class CheckHealth(Struct, frozen=True):
    """Ask an executor for its load report; the answer is awaited for `timeout_s`."""

    endpoint: Endpoint
    timeout_s: float


class CloseIdleConnections(Struct, frozen=True):
    """Close the connections to an executor that carry no request."""

    endpoint: Endpoint


class WatchEndpoints(Struct, frozen=True):
    """Open the watch of the endpoint list, or close it."""

    is_on: bool


class FetchEndpoints(Struct, frozen=True):
    """Fetch the whole endpoint list once."""


class GossipFailure(Struct, frozen=True):
    """Send the content to all peers: an executor erred."""

    content: bytes


class WriteLogLine(Struct, frozen=True):
    """Write a line for the operators."""

    text: str


BackgroundAction = (
    CheckHealth | CloseIdleConnections | WatchEndpoints | FetchEndpoints | GossipFailure | WriteLogLine
)
