"""Serves clients' messages: passes requests to the dispatcher and carries out the actions it returns."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Coroutine, Iterable
from time import monotonic
from typing import TYPE_CHECKING, Any, Protocol

from firwalk.dispatcher.actions import (
    Action,
    CancelAttempt,
    CompleteRequest,
    FailRequest,
    RejectInvalidRequest,
    RejectRequest,
    SendAttempt,
)
from firwalk.limits.memory import MemoryCharge, MemoryUse
from firwalk.limits.request_ids import RequestIds, generation_size
from firwalk.net import fields, http
from firwalk.net.client_connection import EVICTABLE_AFTER_S, ClientRequest
from firwalk.observability.events import CloseReason, Event, FailureReason
from firwalk.observability.log import log_exception, log_external

if TYPE_CHECKING:
    from firwalk.dispatcher.dispatcher import Dispatcher, PendingRequest
    from firwalk.net.budget import Budget
    from firwalk.net.client_connection import ClientConnection, ClientMessage
    from firwalk.net.executors import Executors
    from firwalk.observability.monitor import Monitor

HEALTH_TARGET = b"/_health"
DEFAULT_HOST = b"backend.local"
IMMEDIATE_RETRY_DELAY_S = 0.25
DESCRIPTOR_TIMEOUT_S = 2 * EVICTABLE_AFTER_S  # by then, connections without a request can be evicted
DESCRIPTOR_INTERVAL_S = 0.01
MIN_DEADLINE_MS = 1


class RequestHandler:
    """Serves the messages of all connections, with exactly one response to each."""

    def __init__(
        self, clients: ConnectionState, dispatcher: Dispatcher, executors: Executors, monitor: Monitor
    ) -> None:
        self.clients = clients
        self.dispatcher = dispatcher
        self.executors = executors
        self.monitor = monitor
        self.request_ids = RequestIds(generation_size(clients.budget.memory_bytes))

    async def serve(self, connection: ClientConnection, message: ClientMessage) -> None:
        """Serve a message in the connection's turn, and release its memory."""
        try:
            if message.is_delayed and not self.clients.is_draining:
                await asyncio.sleep(IMMEDIATE_RETRY_DELAY_S)
            if not message.is_in_turn:
                await connection.take_turn(is_backlogged=bool(connection.queue))
            if connection.rejection_status:  # the connection was rejected during the delay
                connection.is_busy = False
                return
            await self._serve_message(connection, message)
        except Exception as error:
            log_exception("serving a client", error)
            await self._answer_after_error(connection, message)
        finally:
            message.request.charge.release()

    async def _answer_after_error(self, connection: ClientConnection, message: ClientMessage) -> None:
        """Answer a message of which nothing was sent, after an unexpected error.

        Errors after the dispatcher has accepted a request are handled there. If an answer has begun, a second
        one would be taken for the answer to the next message: the connection ends.
        """
        if connection.has_begun_answer:
            connection.close(CloseReason.FAILURE)
            return
        request_id = message.request.headers.get(b"x-request-id", b"")
        self._record_rejection(request_id, http.SERVICE_UNAVAILABLE, FailureReason.INTERNAL_ERROR)
        await connection.answer(http.SERVICE_UNAVAILABLE, b"", message.request.keep_alive)

    async def _serve_message(self, connection: ClientConnection, message: ClientMessage) -> None:
        request = message.request
        if request.method == b"POST":
            await self._serve_request(connection, message)
        elif request.method != b"GET":
            await connection.answer(http.METHOD_NOT_ALLOWED, b"", request.keep_alive)
        elif request.target != HEALTH_TARGET:
            await connection.answer(http.NOT_FOUND, b"", request.keep_alive)
        else:
            status = http.SERVICE_UNAVAILABLE if self.clients.is_shutting_down else http.OK
            await connection.answer(status, b"", request.keep_alive)

    async def resume(
        self, connection: ClientConnection, pending: PendingRequest, request: ClientRequest
    ) -> None:
        """Continue a request that another process of this node handed over."""
        charge = MemoryCharge(self.clients.budget.memory, MemoryUse.RESPONSE)
        charge.grow(http.BODY_COPIES * len(request.body) + http.MESSAGE_OBJECT_BYTES)
        self.request_ids.resume(request.request_id)
        try:
            await self._serve_pending(connection, pending, request)
        finally:
            charge.release()

    def are_all_invalid(self, messages: Iterable[ClientMessage]) -> bool:
        """Return whether each message can only be answered with a client error."""
        return not any(self._is_valid(message) for message in messages)

    def _is_valid(self, message: ClientMessage) -> bool:
        request = message.request
        if request.method == b"GET" and request.target == HEALTH_TARGET:
            return True
        try:
            return request.method == b"POST" and self.dispatcher.has_request_class(
                fields.read(request.target, request.headers)[1].request_class
            )
        except fields.Unreadable:
            return False

    # -- requests ------------------------------------------------------------------------------------------

    async def _serve_request(self, connection: ClientConnection, message: ClientMessage) -> None:
        keep_alive = message.request.keep_alive
        try:
            request_id, head = fields.read(message.request.target, message.request.headers)
        except fields.Unreadable:
            self._record_rejection(b"", http.BAD_REQUEST, FailureReason.BAD_REQUEST)
            await connection.answer(http.BAD_REQUEST, b"", keep_alive)
            return
        # Rejected only after the message is read: closing over unread bytes could lose the response.
        if connection.is_spare and not await self._wait_for_descriptor(connection):
            log_external("no descriptor is left for a client: its task is told 503")
            self._record_rejection(request_id, http.SERVICE_UNAVAILABLE, FailureReason.NO_DESCRIPTOR)
            await connection.answer(http.SERVICE_UNAVAILABLE, b"", False)
            return
        if self.request_ids.is_used(request_id):  # executors identify a request by its id
            self._record_rejection(request_id, http.CONFLICT, FailureReason.DUPLICATE_ID)
            await connection.answer(http.CONFLICT, b"", keep_alive)
            return
        claim = self.clients.claim_request_id
        if claim is not None and not await claim(request_id):
            self._record_rejection(request_id, http.SERVICE_UNAVAILABLE, FailureReason.DUPLICATE_ID)
            await connection.answer(http.SERVICE_UNAVAILABLE, b"", keep_alive)
            return
        is_just_read = message.is_in_turn and not connection.input.is_overrun
        if not is_just_read and connection.has_client_left():
            connection.is_busy = False
            connection.close(CloseReason.PEER_LEFT)
            return
        if connection.input.is_overrun:
            self._record_rejection(request_id, http.SERVICE_UNAVAILABLE, FailureReason.OVERRUN)
            await connection.answer(http.SERVICE_UNAVAILABLE, b"", keep_alive)
            return
        await self._dispatch(connection, message, request_id, head)

    async def _dispatch(
        self,
        connection: ClientConnection,
        message: ClientMessage,
        request_id: bytes,
        head: fields.RequestHead,
    ) -> None:
        """Pass a request to the dispatcher, and carry out its actions."""
        pending = self.dispatcher.report_request(
            head.request_class,
            head.tenant,
            head.budget_s,
            head.cost_s,
            head.slots,
            head.memory,
            head.is_retry,
            marked=head.has_idempotency_key,
            waited=monotonic() - message.received_at,
            key=head.routing_key,
            request_id=request_id.decode("latin-1"),
        )
        keep_alive = message.request.keep_alive
        if pending is None:
            await self._reject_class(connection, request_id, head.request_class, keep_alive)
            return
        parsed = message.request
        request = ClientRequest(request_id, parsed.target, parsed.headers, parsed.body, keep_alive)
        connection.pending = pending
        connection.last_request = request
        connection.last_request_id = request_id
        connection.has_sent_request = True
        self.request_ids.begin(request_id)
        try:
            await self._serve_pending(connection, pending, request)
        finally:
            if connection.last_request is request:
                connection.last_request = None  # idle connections keep no request

    async def _serve_pending(
        self, connection: ClientConnection, pending: PendingRequest, request: ClientRequest
    ) -> None:
        """Serve a request that the dispatcher has accepted, up to the end of its last attempt."""
        try:
            self._watch_client(connection, pending)
            await self._execute_actions(connection, pending, request)
        except Exception as error:
            self.dispatcher.report_request_error(pending, error)
            await self._execute_actions(connection, pending, request)
        finally:
            self._end_request(pending, request.request_id)

    @staticmethod
    def _watch_client(connection: ClientConnection, pending: PendingRequest) -> None:
        """Let the dispatcher see whether the client has left before each attempt."""
        pending.has_client_left = connection.has_client_left
        pending.is_client_overrun = lambda: connection.input.is_overrun

    def _end_request(self, pending: PendingRequest, request_id: bytes) -> None:
        """Record the end of a request; its id stays used if it could repeat an effect."""
        self.request_ids.end(request_id, monotonic(), is_reusable=not pending.may_repeat_effect())

    def record_overrun(self, count: int) -> None:
        """Record messages that are rejected since the client has sent too many at once."""
        status = http.SERVICE_UNAVAILABLE
        self.monitor.events.record(
            Event.REQUEST_ANSWERED, FailureReason.OVERRUN, status=status, messages=count
        )

    async def _wait_for_descriptor(self, connection: ClientConnection) -> bool:
        """Wait for an ordinary descriptor; return False on a timeout or if the client has disconnected."""
        end = monotonic() + DESCRIPTOR_TIMEOUT_S
        while not connection.has_ended and not self.clients.budget.promote_spare():
            if monotonic() > end:
                return False
            await asyncio.sleep(DESCRIPTOR_INTERVAL_S)
        if connection.has_ended:
            return False
        connection.is_spare = False
        return True

    async def _reject_class(
        self, connection: ClientConnection, request_id: bytes, request_class: str, keep_alive: bool
    ) -> None:
        """Answer a request whose class does not exist, or whose idempotency key is missing."""
        if request_class in self.dispatcher.removed_classes:  # not run: safe to retry at another node
            self._record_rejection(request_id, http.SERVICE_UNAVAILABLE, FailureReason.CLASS_GONE)
            retry_after_s = self.dispatcher.policy.max_retry_after
            await connection.answer(http.SERVICE_UNAVAILABLE, b"", keep_alive, retry_after_s)
            return
        is_known = request_class in self.dispatcher.request_classes
        self._record_rejection(request_id, http.BAD_REQUEST, FailureReason.BAD_REQUEST)
        await connection.answer(http.BAD_REQUEST if is_known else http.NOT_FOUND, b"", keep_alive)

    def _record_rejection(self, request_id: bytes, status: int, reason: FailureReason) -> None:
        """Record a request that is rejected before the dispatcher has accepted it."""
        self.monitor.events.record(
            Event.REQUEST_ANSWERED, reason, request_id.decode("latin-1"), status=status
        )

    async def _execute_actions(
        self, connection: ClientConnection, pending: PendingRequest, request: ClientRequest
    ) -> None:
        """Carry out the dispatcher's actions until there are no more."""
        while (action := await self.dispatcher.next_action(pending)) is not None:
            try:
                self._execute_action(connection, pending, request, action)
            except Exception as error:
                self.dispatcher.report_failed_action(pending, action, error)

    def _execute_action(
        self, connection: ClientConnection, pending: PendingRequest, request: ClientRequest, action: Action
    ) -> None:
        keep_alive = request.keep_alive
        match action:
            case SendAttempt():
                encode = attempt_encoder(
                    request.target, request.headers, request.body, action.deadline, self.dispatcher.clock
                )
                self.executors.send_attempt(
                    pending,
                    action.number,
                    action.endpoint,
                    request.request_id,
                    encode,
                    action.is_non_idempotent,
                )
            case CancelAttempt():
                self.executors.cancel_attempt(pending, action.number)
            case _ if connection.pending is not pending:
                pass  # the connection has been rejected or has ended
            case CompleteRequest():
                self._answer(connection, http.OK, action.result, keep_alive)
            case RejectRequest():
                self._answer(
                    connection,
                    http.SERVICE_UNAVAILABLE,
                    b"",
                    keep_alive,
                    action.retry_after_s,
                    pending.failure_reason,
                )
            case RejectInvalidRequest():
                reason = FailureReason.BAD_REQUEST
                self._answer(connection, http.BAD_REQUEST, b"", keep_alive, reason=reason)
            case FailRequest():
                reason = pending.failure_reason
                self._answer(connection, http.INTERNAL_SERVER_ERROR, b"", keep_alive, reason=reason)

    def _answer(
        self,
        connection: ClientConnection,
        status: int,
        body: bytes,
        keep_alive: bool,
        retry_after_s: float = 0.0,
        reason: str = "served",
    ) -> None:
        """Answer in a separate task, so that a slow client does not delay the cancellation of attempts."""
        pending = connection.pending
        connection.pending = None
        self.clients.spawn(connection.answer(status, body, keep_alive, retry_after_s))
        if pending is not None and pending.record is not None:  # the answer is written once this has returned
            self.monitor.answered(pending.record, status, reason)


def attempt_encoder(
    target: bytes, headers: http.Headers, body: bytes, deadline: float, clock: Callable[[], float]
) -> Callable[[], bytes]:
    """Return a function that encodes the attempt with the time then left until `deadline` on `clock`."""

    def encode() -> bytes:
        time_left_ms = max(int((deadline - clock()) * 1e3), MIN_DEADLINE_MS)
        lines = [
            (b"Host", headers.get(b"host", DEFAULT_HOST)),
            (b"X-Request-Id", headers[b"x-request-id"]),
            (b"X-Deadline", b"%dm" % time_left_ms),
        ]
        if b"idempotency-key" in headers:
            lines.append((b"Idempotency-Key", headers[b"idempotency-key"]))
        return http.encode_request(b"POST", target, lines, body)

    return encode


if TYPE_CHECKING:  # defining the class would slow the start of a node

    class ConnectionState(Protocol):
        """Interface of the set of all client connections that is used to serve a message."""

        budget: Budget
        claim_request_id: Callable[[bytes], Awaitable[bool]] | None
        is_shutting_down: bool
        is_draining: bool

        def spawn(self, work: Coroutine[Any, Any, None]) -> None:
            """Run the coroutine in a task."""
