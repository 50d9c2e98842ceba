"""Messages between the two processes of one node during a hot restart.

Each message is one JSON object. The two processes may run different versions, so the keys are fixed; they are
used only in this module and in `firwalk.dispatcher.request_handover`. A message of an unknown kind decodes to
None, and the receiver ignores it.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from firwalk.dispatcher.request_handover import MALFORMED, HandedOverRequest, HandoverError, WireObject
from firwalk.net.client_connection import ClientRequest
from firwalk.policy.interface import EndpointState

PROTOCOL_VERSION = 1
# In a hello, this value states that the sender continues requests in progress.
REQUEST_HANDOVER_CAPABILITY = "task"
# In a hello, this value states that the sender keeps the request ids of its predecessor.
REQUEST_IDS_CAPABILITY = "ids"
# Maps each byte of a request to one character of a JSON string.
TEXT_ENCODING = "latin-1"


class MalformedMessage(Exception):
    """A message of a known kind lacks a field or has one of a wrong type."""


class EndpointListState:
    """The endpoint list of the predecessor and the discovery service that it came from."""

    __slots__ = ("version", "discovery", "entries")

    def __init__(self, version: int, discovery: object, entries: list[tuple[Any, ...]]) -> None:
        self.version = version
        self.discovery = discovery
        self.entries = entries


class Hello:
    """First message of a new process, which asks to take over."""

    __slots__ = ("version", "continues_requests", "keeps_request_ids")

    def __init__(
        self,
        version: object = PROTOCOL_VERSION,
        continues_requests: bool = True,
        keeps_request_ids: bool = True,
    ) -> None:
        self.version = version
        self.continues_requests = continues_requests
        self.keeps_request_ids = keeps_request_ids

    def to_wire(self) -> WireObject:
        """Return the message as a JSON object."""
        capabilities = []
        if self.continues_requests:
            capabilities.append(REQUEST_HANDOVER_CAPABILITY)
        if self.keeps_request_ids:
            capabilities.append(REQUEST_IDS_CAPABILITY)
        return {"hello": self.version, "takes": capabilities}

    @classmethod
    def from_wire(cls, wire: Mapping[str, Any]) -> Hello:
        """Decode the JSON object."""
        capabilities = wire.get("takes")
        if not isinstance(capabilities, list):
            capabilities = []
        return cls(
            wire["hello"],
            REQUEST_HANDOVER_CAPABILITY in capabilities,
            REQUEST_IDS_CAPABILITY in capabilities,
        )


class Refusal:
    """Answer to a hello: not now (busy), or not at all (with a reason)."""

    __slots__ = ("is_busy", "reason")

    def __init__(self, is_busy: bool, reason: str | None = None) -> None:
        self.is_busy = is_busy
        self.reason = reason

    def to_wire(self) -> WireObject:
        """Return the message as a JSON object."""
        reason = {} if self.reason is None else {"why": self.reason}
        return {"busy": self.is_busy} | reason

    @classmethod
    def from_wire(cls, wire: Mapping[str, Any]) -> Refusal:
        """Decode the JSON object."""
        return cls(bool(wire["busy"]), wire.get("why"))


class NodeState:
    """Answer to a hello: the state of the predecessor. The receiver decodes each part separately."""

    __slots__ = ("state",)

    def __init__(self, state: WireObject) -> None:
        self.state = state

    @classmethod
    def from_parts(cls, endpoint_list: EndpointListState, maintenance: WireObject) -> NodeState:
        """Build the state of a node from its endpoint list and its executors in maintenance."""
        return cls(
            {
                "version": endpoint_list.version,
                "discovery": endpoint_list.discovery,
                "entries": endpoint_list.entries,
                "out": maintenance,
            }
        )

    def to_wire(self) -> WireObject:
        """Return the message as a JSON object."""
        return {"state": self.state}

    @classmethod
    def from_wire(cls, wire: Mapping[str, Any]) -> NodeState:
        """Decode the JSON object."""
        return cls(wire["state"])


def decode_endpoint_list(state: WireObject) -> EndpointListState:
    """Return the endpoint list in a node's state. Raises MalformedMessage."""
    try:
        return EndpointListState(
            int(state["version"]),
            state["discovery"],
            [
                (
                    str(entry[0]),
                    (str(entry[1][0]), int(entry[1][1])),
                    *entry[2:5],
                    EndpointState(entry[5]),
                    *entry[6:],
                )
                for entry in state["entries"]
            ],
        )
    except MALFORMED as problem:
        raise MalformedMessage(repr(problem)) from problem


def decode_maintenance(state: WireObject) -> Any:
    """Return the executors in maintenance in a node's state, as `Maintenance.restore` validates them."""
    return state.get("out")


class EndpointListUpdate:
    """An update of the endpoint list that the predecessor has received since it sent its state."""

    __slots__ = ("endpoint_list", "is_complete")

    def __init__(self, endpoint_list: EndpointListState, is_complete: bool) -> None:
        self.endpoint_list = endpoint_list
        self.is_complete = is_complete

    def to_wire(self) -> WireObject:
        """Return the message as a JSON object."""
        return {
            "list": {
                "version": self.endpoint_list.version,
                "discovery": self.endpoint_list.discovery,
                "complete": self.is_complete,
                "entries": self.endpoint_list.entries,
            }
        }

    @classmethod
    def from_wire(cls, wire: Mapping[str, Any]) -> EndpointListUpdate:
        """Decode the JSON object. Raises MalformedMessage."""
        update = wire["list"]
        return cls(decode_endpoint_list(update), bool(update["complete"]))


class TakeOver:
    """The successor asks the predecessor to stop accepting."""

    def to_wire(self) -> WireObject:
        """Return the message as a JSON object."""
        return {"take": True}

    @classmethod
    def from_wire(cls, wire: Mapping[str, Any]) -> TakeOver:
        """Decode the JSON object."""
        return cls()


class ListenerReleased:
    """The predecessor has stopped accepting connections."""

    def to_wire(self) -> WireObject:
        """Return the message as a JSON object."""
        return {"yours": True}

    @classmethod
    def from_wire(cls, wire: Mapping[str, Any]) -> ListenerReleased:
        """Decode the JSON object."""
        return cls()


class ClientHandover:
    """A client connection between two requests; its descriptor accompanies the message."""

    __slots__ = ("has_sent_request",)

    def __init__(self, has_sent_request: bool) -> None:
        self.has_sent_request = has_sent_request

    def to_wire(self) -> WireObject:
        """Return the message as a JSON object."""
        return {"client": self.has_sent_request}

    @classmethod
    def from_wire(cls, wire: Mapping[str, Any]) -> ClientHandover:
        """Decode the JSON object."""
        return cls(bool(wire["client"]))


class IdleConnectionHandover:
    """An idle connection to an executor; its descriptor accompanies the message."""

    __slots__ = ("executor", "idle_since", "round_trip_s")

    def __init__(self, executor: str, idle_since: float, round_trip_s: float | None) -> None:
        self.executor = executor
        self.idle_since = idle_since  # on the monotonic clock, which the two processes share
        self.round_trip_s = round_trip_s

    def to_wire(self) -> WireObject:
        """Return the message as a JSON object."""
        return {"link": self.executor, "idle_since": self.idle_since, "trip": self.round_trip_s}

    @classmethod
    def from_wire(cls, wire: Mapping[str, Any]) -> IdleConnectionHandover:
        """Decode the JSON object."""
        return cls(wire["link"], float(wire["idle_since"]), wire["trip"])


class RequestHandover:
    """A request in progress; the descriptors of its client and its executor accompany the message."""

    __slots__ = ("request", "sent_at", "client_request", "response_bytes")

    def __init__(
        self, request: HandedOverRequest, sent_at: float, client_request: ClientRequest, response_bytes: bytes
    ) -> None:
        self.request = request
        self.sent_at = sent_at  # on the monotonic clock, which the two processes share
        self.client_request = client_request
        self.response_bytes = response_bytes  # read from the executor so far

    def to_wire(self) -> WireObject:
        """Return the message as a JSON object."""
        request_id, target, headers, body, keep_alive = self.client_request
        parts = [request_id, target, body, self.response_bytes]
        parts.extend(part for header in headers.items() for part in header)
        return {
            "task": self.request.to_wire(),
            "at": self.sent_at,
            "keep": keep_alive,
            "bytes": [part.decode(TEXT_ENCODING) for part in parts],
        }

    @classmethod
    def from_wire(cls, wire: Mapping[str, Any]) -> RequestHandover:
        """Decode the JSON object. Raises HandoverError if it is malformed."""
        try:
            parts = [text.encode(TEXT_ENCODING) for text in wire["bytes"]]
            request_id, target, body, response_bytes, *headers = parts
            header_fields = dict(zip(headers[::2], headers[1::2], strict=True))
            client_request = ClientRequest(request_id, target, header_fields, body, bool(wire["keep"]))
            sent_at = float(wire["at"])
            request = HandedOverRequest.from_wire(wire["task"])
        except MALFORMED as problem:
            raise HandoverError(f"malformed request: {problem!r}") from problem
        return cls(request, sent_at, client_request, response_bytes)


class DescriptorsHeld:
    """How many descriptors of the node's limit the predecessor still needs."""

    __slots__ = ("count",)

    def __init__(self, count: int) -> None:
        self.count = count

    def to_wire(self) -> WireObject:
        """Return the message as a JSON object."""
        return {"holds": self.count}

    @classmethod
    def from_wire(cls, wire: Mapping[str, Any]) -> DescriptorsHeld:
        """Decode the JSON object."""
        return cls(int(wire["holds"]))


class UsedRequestIds:
    """Fingerprints of request ids that the predecessor has used; sent before it releases the listener."""

    __slots__ = ("fingerprints",)

    def __init__(self, fingerprints: list[int]) -> None:
        self.fingerprints = fingerprints

    def to_wire(self) -> WireObject:
        """Return the message as a JSON object."""
        return {"ids": self.fingerprints}

    @classmethod
    def from_wire(cls, wire: Mapping[str, Any]) -> UsedRequestIds:
        """Decode the JSON object."""
        return cls([int(fingerprint) for fingerprint in wire["ids"]])


class RequestIdClaim:
    """The predecessor asks for an id that a client has sent to it after the successor has taken over."""

    __slots__ = ("fingerprint", "number")

    def __init__(self, fingerprint: int, number: object = None) -> None:
        self.fingerprint = fingerprint
        self.number = number  # of the request; the channel sets it

    def to_wire(self) -> WireObject:
        """Return the message as a JSON object, to which the channel adds the number."""
        return {"claim": self.fingerprint}

    @classmethod
    def from_wire(cls, wire: Mapping[str, Any]) -> RequestIdClaim:
        """Decode the JSON object."""
        return cls(int(wire["claim"]), wire["number"])


class RequestIdReply:
    """Answer to a RequestIdClaim: whether the id was unused, and is the predecessor's now."""

    __slots__ = ("number", "is_granted")

    def __init__(self, number: object, is_granted: bool) -> None:
        self.number = number
        self.is_granted = is_granted

    def to_wire(self) -> WireObject:
        """Return the message as a JSON object."""
        return {"claimed": self.number, "granted": self.is_granted}

    @classmethod
    def from_wire(cls, wire: Mapping[str, Any]) -> RequestIdReply:
        """Decode the JSON object."""
        return cls(wire["claimed"], bool(wire["granted"]))


class Reload:
    """Request to read the configuration again."""

    def to_wire(self) -> WireObject:
        """Return the message as a JSON object."""
        return {"reload": True}

    @classmethod
    def from_wire(cls, wire: Mapping[str, Any]) -> Reload:
        """Decode the JSON object."""
        return cls()


class MaintenanceCall:
    """An operator detaches or attaches an executor."""

    __slots__ = ("executor", "detaches", "is_known", "number")

    def __init__(self, executor: str, detaches: bool, is_known: bool, number: object = None) -> None:
        self.executor = executor
        self.detaches = detaches
        self.is_known = is_known  # the executor is on the sender's list
        self.number = number  # of the request; the channel sets it

    def to_wire(self) -> WireObject:
        """Return the message as a JSON object, to which the channel adds the number."""
        return {"out": self.executor, "on": self.detaches, "sure": self.is_known}

    @classmethod
    def from_wire(cls, wire: Mapping[str, Any]) -> MaintenanceCall:
        """Decode the JSON object."""
        return cls(wire["out"], bool(wire["on"]), bool(wire["sure"]), wire["number"])


class MaintenanceReply:
    """Answer to a MaintenanceCall: whether the executor is known to the sender."""

    __slots__ = ("number", "is_known")

    def __init__(self, number: object, is_known: bool) -> None:
        self.number = number
        self.is_known = is_known

    def to_wire(self) -> WireObject:
        """Return the message as a JSON object."""
        return {"done": self.number, "known": self.is_known}

    @classmethod
    def from_wire(cls, wire: Mapping[str, Any]) -> MaintenanceReply:
        """Decode the JSON object."""
        return cls(wire["done"], bool(wire.get("known")))


Message = (
    Hello
    | Refusal
    | NodeState
    | EndpointListUpdate
    | TakeOver
    | ListenerReleased
    | ClientHandover
    | IdleConnectionHandover
    | RequestHandover
    | DescriptorsHeld
    | UsedRequestIds
    | RequestIdClaim
    | RequestIdReply
    | Reload
    | MaintenanceCall
    | MaintenanceReply
)

DECODERS: dict[str, Callable[[Mapping[str, Any]], Message]] = {
    "state": NodeState.from_wire,
    "hello": Hello.from_wire,
    "list": EndpointListUpdate.from_wire,
    "busy": Refusal.from_wire,
    "take": TakeOver.from_wire,
    "link": IdleConnectionHandover.from_wire,
    "client": ClientHandover.from_wire,
    "task": RequestHandover.from_wire,
    "yours": ListenerReleased.from_wire,
    "holds": DescriptorsHeld.from_wire,
    "ids": UsedRequestIds.from_wire,
    "claim": RequestIdClaim.from_wire,
    "claimed": RequestIdReply.from_wire,
    "reload": Reload.from_wire,
    "out": MaintenanceCall.from_wire,
    "done": MaintenanceReply.from_wire,
}


def decode(wire: Mapping[str, Any]) -> Message | None:
    """Decode a JSON object; return None for a kind of message that this version does not know.

    Raises HandoverError for a malformed request, MalformedMessage for any other malformed message.
    """
    for key, decoder in DECODERS.items():
        if key in wire:
            try:
                return decoder(wire)
            except MALFORMED as problem:
                raise MalformedMessage(f"malformed {key!r} message: {problem!r}") from problem
    return None
