"""The predecessor's side of a hot restart: hands the node over to its successor."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable
from time import monotonic
from typing import TYPE_CHECKING, Any

from firwalk.dispatcher.request_handover import export_request
from firwalk.limits.request_ids import fingerprint
from firwalk.net.control_channel import ChannelClosed, ControlChannel, RendezvousSocket
from firwalk.net.restart_context import RestartContext
from firwalk.net.restart_messages import (
    PROTOCOL_VERSION,
    ClientHandover,
    DescriptorsHeld,
    EndpointListState,
    EndpointListUpdate,
    Hello,
    IdleConnectionHandover,
    ListenerReleased,
    NodeState,
    Refusal,
    RequestHandover,
    RequestIdClaim,
    RequestIdReply,
    TakeOver,
    UsedRequestIds,
    decode,
)
from firwalk.observability.events import CloseReason
from firwalk.observability.log import log_exception, log_external

if TYPE_CHECKING:
    from firwalk.net.client_connection import ClientConnection
    from firwalk.net.listing import Update

HAND_OVER_INTERVAL_S = 0.01
# The predecessor keeps this many descriptors besides one for each client's request.
SPARE_DESCRIPTORS = 4
PROCESS_DESCRIPTORS = "/proc/self/fd"
REQUEST_IDS_PER_MESSAGE = 4096


class PredecessorRole:
    """The role of a process that is replaced by its successor."""

    def __init__(self, context: RestartContext, is_joining: Callable[[], bool]) -> None:
        self.context = context
        self.is_joining = is_joining  # whether this process is still replacing its own predecessor
        self.rendezvous: RendezvousSocket | None = None
        self.channel: ControlChannel | None = None  # to the successor; None without one
        self.has_handed_over = False  # the successor accepts connections
        self.handed_over_request_count = 0
        self.is_closed = False
        self._continues_requests = False  # whether the successor does
        self._keeps_request_ids = False  # whether the successor does
        self._reported_descriptors = -1  # the count last sent to the successor

    async def attend(self, channel: ControlChannel) -> None:
        """Serve a channel on which a process of this node asks to replace this one."""
        try:
            wire, _ = await channel.receive()
            hello = decode(wire)
            if not isinstance(hello, Hello) or hello.version != PROTOCOL_VERSION:
                channel.send(Refusal(is_busy=False, reason="it is of another version").to_wire())
            elif self.channel is not None or self.is_joining():
                channel.send(Refusal(is_busy=True).to_wire())
            else:
                await self._serve_successor(channel, hello)
        except ChannelClosed:
            pass
        except Exception as problem:
            log_exception("handing over to the successor", problem)
        finally:
            channel.close()
            if self.channel is channel and not self.is_closed:
                self._resume_serving()

    async def _serve_successor(self, channel: ControlChannel, hello: Hello) -> None:
        """Send the node's state, and handle the successor's messages. Raises ChannelClosed at its end."""
        self.channel = channel
        self._continues_requests = hello.continues_requests
        self._keeps_request_ids = hello.keeps_request_ids
        log_external("another process of this node has come")
        channel.send(self._node_state().to_wire(), *self.context.service.shared())
        self.context.service.discovery.on_update = self._forward_update
        self.context.update_limits()
        while True:
            wire, _ = await channel.receive()
            message = decode(wire)
            if isinstance(message, TakeOver):
                self._release_listener(channel)
            elif isinstance(message, RequestIdReply):
                channel.resolve(message.number, message.is_granted)
            else:
                self.context.handle_operator_message(channel, message)

    def _node_state(self) -> NodeState:
        dispatcher = self.context.dispatcher
        endpoint_list = self._endpoint_list_state(dispatcher.version, list(dispatcher.endpoints.values()))
        return NodeState.from_parts(endpoint_list, dispatcher.maintenance.state())

    def _endpoint_list_state(self, version: int, entries: list[tuple[Any, ...]]) -> EndpointListState:
        return EndpointListState(version, self.context.service.config["discovery"], entries)

    def _forward_update(self, update: Update) -> None:
        """Send an update to the successor, whose own calls of the discovery service may have to wait."""
        if self.channel is not None and self.channel.is_open:
            endpoint_list = self._endpoint_list_state(
                update.version, [tuple(entry) for entry in update.entries]
            )
            self.channel.send(EndpointListUpdate(endpoint_list, update.is_complete).to_wire())

    def _release_listener(self, channel: ControlChannel) -> None:
        """Stop accepting, and start to hand connections over."""
        if self.rendezvous is not None:
            self.rendezvous.close()  # the successor binds the path itself
        self.has_handed_over = True

        def hand_over_client(has_sent_request: bool, sock: socket.socket) -> None:
            channel.send(ClientHandover(has_sent_request).to_wire(), sock, give=True)

        service = self.context.service
        service.clients.hand_over_client = hand_over_client
        unadmitted = service.stop_accepting()
        if self._keeps_request_ids:
            self._hand_over_request_ids(channel)
        channel.send(ListenerReleased().to_wire())
        for sock in unadmitted:
            hand_over_client(False, sock)
        log_external("another process of this node serves from now on; this one finishes what it has taken")
        self.context.spawn(self._hand_over(channel))

    def _hand_over_request_ids(self, channel: ControlChannel) -> None:
        """Send the ids used so far; from here on the successor decides who may use an id."""
        fingerprints = self.context.service.clients.requests.request_ids.fingerprints()
        for start in range(0, len(fingerprints), REQUEST_IDS_PER_MESSAGE):
            part = fingerprints[start : start + REQUEST_IDS_PER_MESSAGE]
            channel.send(UsedRequestIds(part).to_wire())

        async def claim(request_id: bytes) -> bool:
            return await channel.request(RequestIdClaim(fingerprint(request_id)).to_wire())

        self.context.service.clients.claim_request_id = claim

    async def _hand_over(self, channel: ControlChannel) -> None:
        """Hand over connections of clients and executors, with unread bytes and requests in progress."""
        self._reported_descriptors = -1
        while channel.is_open:
            try:
                self._hand_over_now(channel)
            except OSError as problem:  # no descriptors for duplicates until connections are closed
                log_external(f"handover to the successor is delayed: {problem}")
            await asyncio.sleep(HAND_OVER_INTERVAL_S)

    def _hand_over_now(self, channel: ControlChannel) -> None:
        clients = self.context.service.clients
        if self._continues_requests:
            # Requests precede idle connections, as their deadlines keep running.
            for client in list(clients.open):
                if client.can_hand_over_request():
                    self._hand_over_request(channel, client)
        for client in list(clients.open):
            clients.hand_over_if_idle(client)

        def hand_over_idle_connection(
            executor: str, idle_since: float, round_trip_s: float | None, sock: socket.socket
        ) -> None:
            message = IdleConnectionHandover(executor, idle_since, round_trip_s)
            channel.send(message.to_wire(), sock, give=True)

        self.context.service.executors.hand_over_idle(hand_over_idle_connection)
        self._report_descriptors(channel)

    def _hand_over_request(self, channel: ControlChannel, client: ClientConnection) -> None:
        """Send a request with duplicates of its descriptors, so that closing ours ends neither connection."""
        executors = self.context.service.executors
        pending = client.pending
        client_request = client.last_request
        if pending is None or client_request is None:
            return
        request = export_request(self.context.dispatcher, pending)
        if request is None or not channel.is_open:
            return
        connection = executors.transferable_connection(pending, request.attempt_in_flight)
        if connection is None:
            return
        message = RequestHandover(request, monotonic(), client_request, connection.response_bytes)
        channel.send(message.to_wire(), client.sock, connection.sock)
        self.handed_over_request_count += 1
        executors.release_attempt(pending, request.attempt_in_flight)
        client.pending = None
        client.is_busy = False
        self.context.dispatcher.report_handed_over(pending)
        client.close(CloseReason.HANDED_OVER)

    def _report_descriptors(self, channel: ControlChannel) -> None:
        """Limit this process to the descriptors that it needs, and report changes to the successor.

        No new clients arrive, but each remaining client may send a request, which then needs a new connection
        to an executor, as the idle ones have been handed over.
        """
        service = self.context.service
        in_use = len(os.listdir(PROCESS_DESCRIPTORS))
        available = service.files - self.context.successor_descriptors() - in_use
        needed = max(min(SPARE_DESCRIPTORS + len(service.clients.open), available), 0)
        if self._reported_descriptors != in_use + needed:
            self._reported_descriptors = in_use + needed
            service.budget.limit_to_current(needed)
            channel.send(DescriptorsHeld(self._reported_descriptors).to_wire())

    def is_sending(self) -> bool:
        """Return whether messages to the successor are still unsent."""
        return self.channel is not None and self.channel.is_open and bool(self.channel.outgoing)

    def _resume_serving(self) -> None:
        """Serve alone again after the successor has exited before this process."""
        service = self.context.service
        self.channel = None
        service.discovery.on_update = None
        service.clients.hand_over_client = None
        service.clients.claim_request_id = None
        service.clients.is_shutting_down = service.is_stopping()
        self.context.update_limits()
        if self.has_handed_over:
            log_external("the process that was to replace this one has ended; this one serves again")
            self.has_handed_over = False
            service.accept_again()
            if self.rendezvous is not None:
                self.rendezvous.listen()

    def close(self) -> None:
        """End this role; when the channel closes, this process does not resume serving."""
        self.is_closed = True
        if self.has_handed_over:
            log_external(
                f"requests in progress handed over to the successor: {self.handed_over_request_count}"
            )
