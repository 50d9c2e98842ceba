"""The successor's side of a hot restart: takes the node over from its predecessor."""

from __future__ import annotations

import asyncio
import socket
from time import monotonic
from typing import TYPE_CHECKING, NamedTuple, cast

from firwalk.dispatcher.request_handover import HandoverError, WireObject, resume_request
from firwalk.net.control_channel import (
    RETRY_INTERVAL_S,
    ChannelClosed,
    ControlChannel,
    RendezvousSocket,
)
from firwalk.net.restart_context import RestartContext
from firwalk.net.restart_messages import (
    TEXT_ENCODING,
    ClientHandover,
    DescriptorsHeld,
    EndpointListUpdate,
    Hello,
    IdleConnectionHandover,
    ListenerReleased,
    MalformedMessage,
    Message,
    NodeState,
    Refusal,
    RequestHandover,
    RequestIdClaim,
    RequestIdReply,
    TakeOver,
    UsedRequestIds,
    decode,
    decode_endpoint_list,
    decode_maintenance,
)
from firwalk.observability.log import log_exception, log_external

if TYPE_CHECKING:
    from firwalk.dispatcher.dispatcher import Endpoint


# A predecessor that does not answer a hello within this time counts as hung.
HELLO_TIMEOUT_S = 2.0
# A hello is repeated for this long while the predecessor is in a hot restart with another process.
BUSY_TIMEOUT_S = 5.0


class PredecessorConnection(NamedTuple):
    """The result of asking a predecessor for the node."""

    channel: ControlChannel | None  # None without a predecessor that hands over
    state: WireObject
    descriptors: list[socket.socket]
    is_hung: bool  # there is a predecessor that does not hand over


NO_PREDECESSOR = PredecessorConnection(None, {}, [], False)
HUNG_PREDECESSOR = PredecessorConnection(None, {}, [], True)


async def connect_to_predecessor(rendezvous: RendezvousSocket) -> PredecessorConnection:
    """Ask the predecessor for the node; retry while it is in a hot restart with another process."""
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + BUSY_TIMEOUT_S
    while (channel := rendezvous.connect()) is not None:
        channel.send(Hello().to_wire())
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                answer, descriptors = await _receive_answer(channel)
        except TimeoutError:
            channel.close()
            return HUNG_PREDECESSOR
        if isinstance(answer, NodeState):
            return PredecessorConnection(channel, answer.state, descriptors, False)
        channel.close()
        if loop.time() > give_up_at or not answer.is_busy:
            reason = "it is busy" if answer.reason is None else answer.reason
            log_external(f"the process before does not hand over: {reason}")
            return HUNG_PREDECESSOR
        await asyncio.sleep(RETRY_INTERVAL_S)
    return NO_PREDECESSOR


async def _receive_answer(channel: ControlChannel) -> tuple[NodeState | Refusal, list[socket.socket]]:
    """Return the answer to a hello; a closed channel counts as busy, an unknown answer as a refusal."""
    try:
        wire, descriptors = await channel.receive()
    except ChannelClosed:
        return Refusal(is_busy=True), []
    try:
        message = decode(wire)
    except (HandoverError, MalformedMessage):
        message = None
    if isinstance(message, NodeState | Refusal):
        return message, descriptors
    return Refusal(is_busy=False), descriptors


class SuccessorRole:
    """The role of a process that replaces its predecessor."""

    def __init__(self, context: RestartContext) -> None:
        self.context = context
        self.channel: ControlChannel | None = None  # to the predecessor; None without one
        self.is_predecessor_hung = False
        self.predecessor_descriptors: int | None = None  # None until the predecessor reports its count
        self._listener_released = asyncio.Event()

    async def join(self, rendezvous: RendezvousSocket) -> list[socket.socket]:
        """Join the predecessor; return the sockets that it shares, none without a predecessor."""
        channel, state, descriptors, self.is_predecessor_hung = await connect_to_predecessor(rendezvous)
        self._restore_maintenance(rendezvous, None if channel is None else state)
        if channel is None:
            return []
        self._restore_endpoint_list(state)
        self.channel = channel
        self._listener_released.clear()
        self.context.update_limits()
        self.context.spawn(self._receive_messages(channel))
        return descriptors

    def _restore_maintenance(self, rendezvous: RendezvousSocket, state: WireObject | None) -> None:
        """Restore the executors in maintenance from the predecessor's state, or else from the state file."""
        dispatcher = self.context.dispatcher
        maintenance = rendezvous.load_state() if state is None else decode_maintenance(state)
        try:
            dispatcher.restore_maintenance(maintenance)
        except (TypeError, ValueError, AttributeError) as problem:
            log_external(f"begun without who was taken out: {problem!r}")
        if dispatcher.maintenance.detached:
            log_external(f"taken out by operators: {', '.join(dispatcher.maintenance.detached)}")

    def _restore_endpoint_list(self, state: WireObject) -> None:
        dispatcher = self.context.dispatcher
        try:
            endpoint_list = decode_endpoint_list(state)
            dispatcher.restore_endpoint_list(endpoint_list.version, endpoint_list.entries)
            if endpoint_list.discovery != self.context.service.config["discovery"]:
                dispatcher.reset_list_version()
        except (MalformedMessage, KeyError, TypeError, ValueError, IndexError) as problem:
            log_external(f"begun without the list of the process before: {problem!r}")

    def _update_endpoint_list(self, update: EndpointListUpdate) -> None:
        """Apply an update that the predecessor has received; versions of another service don't compare."""
        endpoint_list = update.endpoint_list
        dispatcher = self.context.dispatcher
        is_same_service = endpoint_list.discovery == self.context.service.config["discovery"]
        if not is_same_service or endpoint_list.version <= dispatcher.version:
            return
        try:
            dispatcher.restore_endpoint_list(endpoint_list.version, endpoint_list.entries, update.is_complete)
        except (KeyError, TypeError, ValueError, IndexError) as problem:
            log_external(f"an update of the list by the process before is not used: {problem!r}")

    async def take_over(self) -> None:
        """Tell the predecessor to stop accepting, and wait until it has.

        The predecessor finishes or hands over the connections that it has accepted.
        """
        if self.channel is not None:
            self.channel.send(TakeOver().to_wire())
            await self._listener_released.wait()

    async def _receive_messages(self, channel: ControlChannel) -> None:
        """Handle the predecessor's messages until it exits."""
        try:
            while True:
                wire, descriptors = await channel.receive()
                try:
                    message = decode(wire)
                except HandoverError as problem:
                    log_exception("going on with a task", problem)
                    for descriptor in descriptors:
                        descriptor.close()
                    continue
                try:
                    self._handle(channel, message, descriptors)
                except Exception as error:  # later messages hand other requests over
                    log_exception("handling a message of the predecessor", error)
        except ChannelClosed:
            log_external("the process before has ended; this one has the whole of the limits")
        except Exception as problem:
            log_exception("handling messages from the predecessor", problem)
        finally:
            self.channel = None
            self.predecessor_descriptors = None
            channel.close()
            self._listener_released.set()
            self.context.update_limits()

    def _handle(
        self, channel: ControlChannel, message: Message | None, descriptors: list[socket.socket]
    ) -> None:
        match message:
            case IdleConnectionHandover():
                self._adopt_idle_connection(message, descriptors[0])
            case ClientHandover():
                self.context.service.clients.adopt(descriptors[0], message.has_sent_request)
            case RequestHandover():
                self._resume_request(message, *descriptors)
            case UsedRequestIds():
                request_ids = self.context.service.clients.requests.request_ids
                request_ids.remember_all(message.fingerprints, monotonic())
            case RequestIdClaim():
                self._answer_claim(channel, message)
            case ListenerReleased():
                self._listener_released.set()
            case EndpointListUpdate():
                self._update_endpoint_list(message)
            case DescriptorsHeld():
                self.predecessor_descriptors = message.count
                self.context.update_limits()
            case _:
                self.context.handle_operator_message(channel, message)

    def _answer_claim(self, channel: ControlChannel, claim: RequestIdClaim) -> None:
        """Grant an id to the predecessor unless a request has used it in either process."""
        request_ids = self.context.service.clients.requests.request_ids
        is_granted = not request_ids.is_fingerprint_used(claim.fingerprint)
        if is_granted:
            request_ids.remember(claim.fingerprint, monotonic())
        channel.send(RequestIdReply(claim.number, is_granted).to_wire())

    def _adopt_idle_connection(self, message: IdleConnectionHandover, sock: socket.socket) -> None:
        executor = self.context.dispatcher.executors.get(message.executor)
        if executor is None:
            sock.close()
            return
        try:
            self.context.service.executors.adopt_idle(
                cast("Endpoint", executor.handle), sock, message.idle_since, message.round_trip_s
            )
        except OSError:  # the executor has closed it meanwhile
            sock.close()

    def _resume_request(
        self, message: RequestHandover, client_socket: socket.socket, executor_socket: socket.socket
    ) -> None:
        """Continue a request in progress on the connections of its client and its executor.

        After an unexpected error it is answered as failed, since it has been sent.
        """
        service = self.context.service
        request_id = message.client_request.request_id
        elapsed_s = monotonic() - message.sent_at
        try:
            pending = resume_request(
                self.context.dispatcher, message.request, elapsed_s, request_id.decode(TEXT_ENCODING)
            )
        except Exception as error:
            log_exception("continuing a request of the predecessor", error)
            executor_socket.close()
            service.clients.fail_handed_over(client_socket, request_id)
            return
        service.clients.resume(client_socket, pending, message.client_request)
        service.executors.resume_attempt(
            pending, message.request.attempt_in_flight, executor_socket, request_id, message.response_bytes
        )
