"""Actions that the dispatcher returns to its caller: actions of one request, and background actions.

The network side dispatches on the type of an action. Actions are never sent over the wire. They are plain
classes because generated ones (dataclasses, for example) would slow down every start of the process.
"""

from __future__ import annotations

from firwalk.dispatcher.endpoint import Endpoint


class _Action:
    """Base class that compares actions by type and fields."""

    __slots__: tuple[str, ...] = ()
    is_final_answer = False
    __hash__ = None  # type: ignore[assignment]  # mutable

    def _field_values(self) -> tuple[object, ...]:
        return tuple(getattr(self, name) for name in self.__slots__)

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, _Action) or type(other) is not type(self):
            return NotImplemented
        return self._field_values() == other._field_values()

    def __repr__(self) -> str:
        fields = ", ".join(f"{name}={getattr(self, name)!r}" for name in self.__slots__)
        return f"{type(self).__name__}({fields})"


class SendAttempt(_Action):
    """Send one attempt of the request to an executor.

    `deadline` is the time by which the attempt must have ended, in seconds on the dispatcher's clock.
    `is_non_idempotent` marks a request that must not be executed twice.
    """

    __slots__ = ("number", "endpoint", "deadline", "is_non_idempotent")

    def __init__(self, number: int, endpoint: Endpoint, deadline: float, is_non_idempotent: bool) -> None:
        self.number = number
        self.endpoint = endpoint
        self.deadline = deadline
        self.is_non_idempotent = is_non_idempotent


class CancelAttempt(_Action):
    """Cancel an attempt that is in flight."""

    __slots__ = ("number",)

    def __init__(self, number: int) -> None:
        self.number = number


class CompleteRequest(_Action):
    """Answer the client with the result."""

    __slots__ = ("result",)
    is_final_answer = True

    def __init__(self, result: bytes) -> None:
        self.result = result


class RejectRequest(_Action):
    """Answer that the client may retry safely; a `retry_after_s` of 0 gives no Retry-After."""

    __slots__ = ("retry_after_s",)
    is_final_answer = True

    def __init__(self, retry_after_s: float) -> None:
        self.retry_after_s = retry_after_s


class FailRequest(_Action):
    """Answer that the outcome of the request is unknown."""

    __slots__ = ()
    is_final_answer = True


class RejectInvalidRequest(_Action):
    """Answer that an executor found the request itself invalid."""

    __slots__ = ()
    is_final_answer = True


FinalAnswer = CompleteRequest | RejectRequest | FailRequest | RejectInvalidRequest
Action = SendAttempt | CancelAttempt | FinalAnswer


class CheckHealth(_Action):
    """Request the load report of an executor, with a timeout of `timeout_s`."""

    __slots__ = ("endpoint", "timeout_s")

    def __init__(self, endpoint: Endpoint, timeout_s: float) -> None:
        self.endpoint = endpoint
        self.timeout_s = timeout_s


class CloseIdleConnections(_Action):
    """Close all idle connections to an executor."""

    __slots__ = ("endpoint",)

    def __init__(self, endpoint: Endpoint) -> None:
        self.endpoint = endpoint


class WatchEndpoints(_Action):
    """Start or stop watching the endpoint list."""

    __slots__ = ("is_on",)

    def __init__(self, is_on: bool) -> None:
        self.is_on = is_on


class FetchEndpoints(_Action):
    """Fetch the complete endpoint list once."""

    __slots__ = ()


class GossipFailure(_Action):
    """Send the content to all peers: an executor returned an error."""

    __slots__ = ("content",)

    def __init__(self, content: bytes) -> None:
        self.content = content


class WriteLogLine(_Action):
    """Write a log line."""

    __slots__ = ("text",)

    def __init__(self, text: str) -> None:
        self.text = text


BackgroundAction = (
    CheckHealth | CloseIdleConnections | WatchEndpoints | FetchEndpoints | GossipFailure | WriteLogLine
)
