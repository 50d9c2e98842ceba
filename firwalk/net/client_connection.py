"""A client's connection: queues pipelined messages, serves them one at a time and writes the responses."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable, Coroutine, Iterable
from time import monotonic
from typing import TYPE_CHECKING, Any, NamedTuple, Protocol

from firwalk.limits.fair_share import TURN_S
from firwalk.limits.memory import MemoryCharge, MemoryUse
from firwalk.net import http
from firwalk.net.client_input import ClientInput
from firwalk.net.lingering import LINGER_S, wait_for_hang_up, write_and_discard
from firwalk.net.socket_io import has_hung_up, wait_readable
from firwalk.observability.events import CloseReason
from firwalk.observability.log import check_invariant, log_exception, log_external

if TYPE_CHECKING:
    from firwalk.dispatcher.dispatcher import Dispatcher, PendingRequest
    from firwalk.net.budget import Budget
    from firwalk.net.buffers import Buffers
    from firwalk.net.stalls import StallDetector
    from firwalk.net.turns import Turns

WRITE_TIMEOUT_S = 20.0  # a response must be written within this time
TIMEOUT_LINGER_S = 0.25  # a client whose message timed out has this long to read the response
EVICTABLE_AFTER_S = 0.1  # a connection without a request may be evicted after this time without a message
IDLE_EVICTABLE_AFTER_S = 1.0  # one that has had a response may be evicted after this time without a message
MAX_IMMEDIATE_RETRIES = 2  # after this many in a row, each is delayed to keep CPU time for other clients
IMMEDIATE_RETRY_S = 0.01  # a message this soon after an error response shows that the client did not wait
MAX_QUEUED_MESSAGES = 32  # this many are read ahead, so that their deadlines count from their arrival
DISCONNECT_CHECK_INTERVAL_S = 0.03  # a client whose bytes are not read is checked for a disconnect this often
WRITE_CHECK_INTERVAL_S = 0.02  # the end of a response in progress is checked this often
MESSAGE_WORK_S = 0.0004  # processor time charged for serving a message
MAX_REJECTIONS_PER_WRITE = 256


class ClientMessage:
    """A complete HTTP message of a client."""

    __slots__ = ("is_delayed", "is_in_turn", "received_at", "request")

    def __init__(self, request: http.ParsedRequest, received_at: float, is_delayed: bool) -> None:
        self.request = request
        self.received_at = received_at  # by the kernel; this process may have read it later
        self.is_delayed = is_delayed  # its client repeats rejected messages without a pause
        self.is_in_turn = False  # it is served in the turn in which it was read


class ClientRequest(NamedTuple):
    """A client's request that the dispatcher has accepted."""

    request_id: bytes
    target: bytes
    headers: http.Headers
    body: bytes
    keep_alive: bool


class ClientConnection:
    """A connection that serves one message at a time; on a spare descriptor, each request is answered 503.

    The socket is closed only after the reader has ended, when the event loop no longer uses it.
    """

    def __init__(
        self, clients: ConnectionOwner, sock: socket.socket, is_spare: bool, accepted_at: float
    ) -> None:
        self.clients = clients
        self.sock = sock
        self.is_spare = is_spare
        self.parser = http.RequestParser(self._enqueue, clients.budget.memory)
        self.input = ClientInput(sock, clients.buffers, clients.budget.memory)
        self.account = clients.turns.new_account()
        self.queue: deque[ClientMessage] = deque()
        self.rejected_count = 0  # messages behind the queue that are answered 503 after it
        self.is_rejecting = False  # all further messages are answered 503
        self.is_lingering = False  # its error response is written; the client may still be reading it
        self.queue_shrunk: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.is_backlogged = False  # the client has sent more than the slice that was parsed last
        self.is_busy = False  # a message is being served
        self.has_begun_answer = False  # to the message that is being served
        self.has_sent_message = False
        self.has_sent_request = False  # one that the dispatcher has accepted
        self.pending: PendingRequest | None = None
        self.last_request: ClientRequest | None = None  # the one in work that the dispatcher has accepted
        self.last_request_id = b""
        self.writer: asyncio.Task[None] | None = None  # the task that is writing a response, if any
        self.active_at = monotonic()
        self.is_closing = False
        self.has_ended = False  # the reader has ended
        self.read_at = self.active_at  # when the bytes that are being parsed were read
        # Bytes that arrived before admission may have waited since then; None once they are read.
        self.accepted_at: float | None = None if self._is_fully_read() else accepted_at
        self.rejection_status = 0  # written by the reader before it ends the connection; 0: none
        self.rejected_at = 0.0
        self.immediate_retries = 0  # consecutive ones; a batch of messages is one
        self.retried_rejection_at = 0.0  # the rejection that the last of them followed
        self.on_socket_released: Callable[[socket.socket], None] | None = None  # called at the reader's end
        self.close_reason = CloseReason.PEER_LEFT  # unless this process ends the connection
        self.reader = asyncio.get_running_loop().create_task(self._read())
        self.reader.add_done_callback(self._on_reader_done)

    # -- reading -------------------------------------------------------------------------------------------

    async def _read(self) -> None:
        try:
            while await self._receive():
                await self._parse_turn()
        except OSError:
            pass
        except asyncio.CancelledError:
            if self.is_closing or not self.rejection_status:
                raise
            self.reader.uncancel()  # `reject` has cancelled it
            await self._write_rejection(self.rejection_status)
        except http.Malformed as error:
            await self._handle_malformed(error)
        except Exception as error:
            log_exception("reading from a client", error)
            await self._end_after_error()

    async def _receive(self) -> bool:
        """Wait until there are bytes to parse and room in the queue; return False at the client's end."""
        while True:
            if not self.input.has_unparsed():
                await wait_readable(self.sock)
                if not self.parser.is_partial and self.has_sent_message:
                    self.active_at = monotonic()
            self.input.receive()
            if self.input.has_ended:
                return False
            if self._may_parse():
                return True
            if self.input.has_unparsed() and not await self._wait_for_queue():
                return False

    async def _parse_turn(self) -> None:
        """Parse bytes for a turn of the connection, and serve what they complete."""
        if self.clients.turns.must_wait(self.account, self.is_backlogged):
            await self.clients.turns.take(self.account, self.is_backlogged)
        began_at = monotonic()
        try:
            self._parse_slice()
            while self._may_parse() and monotonic() - began_at < TURN_S:
                self._parse_slice()
        finally:
            now = monotonic()
            self.account.charge(now, now - began_at)
        self.is_backlogged = self.input.has_unparsed()
        self.accepted_at = None
        if not self.input.has_unparsed() or len(self.queue) >= MAX_QUEUED_MESSAGES:
            self._serve_next(is_in_turn=True)
        if self.parser.expects_continue and not self.is_busy:  # not before an earlier response
            self.parser.expects_continue = False
            await asyncio.get_running_loop().sock_sendall(self.sock, http.CONTINUE_RESPONSE)

    def _may_parse(self) -> bool:
        """Return whether there are bytes to parse, and room for messages.

        Behind a full queue, messages wait unparsed, or are rejected if there are too many of them. At the end
        of the process, a client that does not stop sending is not parsed any further.
        """
        if self.is_rejecting and self.input.is_overrun:
            return False
        has_room = len(self.queue) < MAX_QUEUED_MESSAGES or self.input.is_overrun
        return self.input.has_unparsed() and has_room

    def _parse_slice(self) -> None:
        part = self.input.next_slice()
        self.read_at = part.read_at
        self.parser.feed(part.data)

    async def _wait_for_queue(self) -> bool:
        """Wait until the queue shrinks; return False if the client has left."""
        self.queue_shrunk = asyncio.get_running_loop().create_future()
        while not self.queue_shrunk.done() and not self._may_parse():
            await asyncio.wait([self.queue_shrunk], timeout=DISCONNECT_CHECK_INTERVAL_S)
            self.input.refresh()
            if self.input.has_ended:
                return False
        return True

    def _enqueue(self, request: http.ParsedRequest) -> None:
        """Queue a message; it is served only once the remaining bytes of the read have parsed as valid."""
        is_overrun = len(self.queue) >= MAX_QUEUED_MESSAGES and self.input.is_overrun
        if is_overrun or self.rejected_count or self.is_rejecting:
            request.charge.release()
            self.rejected_count += 1
            return
        now = monotonic()
        received_at = min(self.read_at, now - self.clients.stalls.unread_time_s(now, self.sock))
        if self.accepted_at is not None:
            received_at = min(received_at, self.accepted_at)
        self.queue.append(ClientMessage(request, received_at, self._is_delayed()))

    def _is_delayed(self) -> bool:
        """Count an immediate retry of the client; return whether the message read now is delayed for it.

        Of a batch only the first message is: the delay is for the client, and each message has a deadline.
        """
        if not 0.0 <= self.read_at - self.rejected_at < IMMEDIATE_RETRY_S:
            self.immediate_retries = 0
            return False
        if self.retried_rejection_at == self.rejected_at:
            return False
        self.retried_rejection_at = self.rejected_at
        self.immediate_retries += 1
        return self.immediate_retries > MAX_IMMEDIATE_RETRIES

    def _serve_next(self, is_in_turn: bool = False) -> None:
        """Serve the next message, if none is being served: at once in the turn in which it was read."""
        if self.is_busy or not (self.queue or self.rejected_count):
            return
        self.is_busy = self.has_sent_message = True
        self.has_begun_answer = False
        self.account.charge(monotonic(), MESSAGE_WORK_S)
        if self.queue:
            message = self.queue.popleft()
            message.is_in_turn = is_in_turn
            self.clients.spawn(self.clients.requests.serve(self, message))
        else:
            self.clients.spawn(self._answer_rejected())
        if not self.queue_shrunk.done():
            self.queue_shrunk.set_result(None)

    async def take_turn(self, is_backlogged: bool) -> None:
        """Wait for the connection's turn to be served, unless the process is about to end."""
        if not self.is_rejecting:
            await self.clients.turns.take(self.account, is_backlogged)

    async def _answer_rejected(self) -> None:
        """Answer messages that were read behind a full queue; none of them was begun."""
        await self.take_turn(is_backlogged=True)
        count = min(self.rejected_count, MAX_REJECTIONS_PER_WRITE)
        self.rejected_count -= count
        self.clients.requests.record_overrun(count)
        if not self.has_ended:
            await self._write(count * http.encode_response(http.SERVICE_UNAVAILABLE))
        self.is_busy = False
        self.active_at = self.rejected_at = monotonic()
        self.clients.mark_idle(self)
        if not self.has_ended:
            self._continue_serving()

    async def _handle_malformed(self, error: http.Malformed) -> None:
        """End the connection, since the boundary between messages is no longer known.

        The request in work is cancelled too, since its length may have been wrong. If only memory is short,
        earlier messages are answered first: a 503 in place of their responses would tell the client that a
        retry is safe, although a request may have run.
        """
        self.clients.malformed += 1
        log_external(f"a client's bytes: {error}")
        self.parser.discard()
        self.input.discard()
        if error.status == http.SERVICE_UNAVAILABLE and not await self._finish_messages():
            return
        await self._end_with_rejection(error.status, CloseReason.MALFORMED)

    async def _end_after_error(self) -> None:
        """End the connection after an error of this process, once earlier messages are answered."""
        self.parser.discard()
        self.input.discard()
        if await self._finish_messages():
            await self._end_with_rejection(http.SERVICE_UNAVAILABLE, CloseReason.FAILURE)

    async def _finish_messages(self) -> bool:
        """Serve the messages that are read; return False if the client hangs up meanwhile."""
        self._serve_next()
        while self.is_busy or self.queue:
            await asyncio.sleep(DISCONNECT_CHECK_INTERVAL_S)
            if has_hung_up(self.sock):
                return False
        return True

    async def _end_with_rejection(self, status: int, reason: CloseReason) -> None:
        self.rejection_status = status
        self.close_reason = reason
        self.clients.mark_closing(self)
        self._drop_requests()
        while self.is_busy:  # a response is being written
            await asyncio.sleep(WRITE_CHECK_INTERVAL_S)
        await self._write_rejection(status)

    def _drop_requests(self) -> None:
        """Drop the queue and cancel the request in work."""
        while self.queue:
            self.queue.popleft().request.charge.release()
        self.rejected_count = 0
        self.parser.discard()
        self.input.discard()
        pending = self.pending
        self.pending = None
        if pending is not None:
            self.is_busy = False
            self.clients.dispatcher.report_client_left(pending)

    async def _write_rejection(self, status: int) -> None:
        """Write an error response, and discard further bytes briefly."""
        linger_s = TIMEOUT_LINGER_S if status == http.REQUEST_TIMEOUT else LINGER_S
        response = http.encode_response(status, keep_alive=False)
        await write_and_discard(self.sock, response, linger_s, self._begin_lingering)

    def _begin_lingering(self) -> None:
        self.is_lingering = True

    def _on_reader_done(self, _: asyncio.Task[None]) -> None:
        """Close or hand over the socket.

        A callback, since the `finally` of a reader that is cancelled before it starts would not run.
        """
        self.has_ended = True
        self.clients.check_closed(self)
        self._drop_requests()
        if self.writer is not None:
            self.writer.cancel()
        if self.on_socket_released is None:
            self.sock.close()
        else:
            self.on_socket_released(self.sock)
        self.clients.remove(self)

    # -- responses -----------------------------------------------------------------------------------------

    async def answer(self, status: int, body: bytes, keep_alive: bool, retry_after_s: float = 0.0) -> None:
        """Write the response to the message in work, and start on the next message.

        After an unexpected error the connection ends: a part of the response may have been written.
        """
        check_invariant(self.is_busy, "a response belongs to a message")
        self.has_begun_answer = True
        try:
            await self._answer(status, body, keep_alive, retry_after_s)
        except Exception as error:
            log_exception("answering a client", error)
            self.close(CloseReason.FAILURE)

    async def _answer(self, status: int, body: bytes, keep_alive: bool, retry_after_s: float) -> None:
        client_keeps_alive = keep_alive  # what the client asked for, whether or not this process closes
        # Queued messages have been read and must be answered too.
        has_unanswered = bool(self.queue or self.rejected_count or self.input.has_unparsed())
        keep_alive = keep_alive and not self.clients.is_draining or has_unanswered
        if 400 <= status < 500 and self.queue and not self.has_ended:
            if self.clients.requests.are_all_invalid(self.queue):
                self.is_busy = False
                self._drop_requests()
                self.reject_malformed(status, "request rejected, and all queued messages are invalid")
                return
        if not self.has_ended:
            response = http.encode_response(status, body, keep_alive, retry_after_s)
            del body  # a client that does not read keeps one copy only
            keep_alive = await self._write_counted(response, keep_alive) and keep_alive
        self.is_busy = False
        self.active_at = monotonic()
        self.clients.mark_idle(self)
        if status >= 400:
            self.rejected_at = self.active_at
        if self.has_ended:
            return
        if keep_alive or self.rejection_status or self.queue or self.rejected_count:
            self._continue_serving()
        elif self.input.has_unparsed():
            pass  # read during the write: the reader parses it, and its messages are answered
        elif self._is_fully_read():
            self.close(CloseReason.STOPPING if client_keeps_alive else CloseReason.LAST_ANSWER)
        elif not client_keeps_alive:
            self.is_closing = True
            self.close_reason = CloseReason.LAST_ANSWER
            await wait_for_hang_up(self.sock)
            self.reader.cancel()
        # Otherwise more bytes arrived during the write: they are read, and their messages answered.

    def _continue_serving(self) -> None:
        """Serve the next message, or hand the connection over if there is none."""
        if self.queue or self.rejected_count:
            self._serve_next()
        else:
            # Not left to a later sweep, which would never find a client idle that sends without a pause.
            self.clients.hand_over_if_idle(self)

    async def _write_counted(self, response: bytes, keep_alive: bool) -> bool:
        """Write a response and count its memory; without room for it, write that the request failed."""
        charge = MemoryCharge(self.clients.budget.memory, MemoryUse.RESPONSE)
        if not charge.grow(len(response)):
            log_external("a response does not fit into the memory")
            response = http.encode_response(http.INTERNAL_SERVER_ERROR, keep_alive=keep_alive)
        try:
            return await self._write(response)
        finally:
            charge.release()

    async def _write(self, response: bytes) -> bool:
        """Write a response; return whether it was written completely and in time."""
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                self.writer = asyncio.current_task()
                await asyncio.get_running_loop().sock_sendall(self.sock, response)
        except (OSError, TimeoutError):
            return False
        finally:
            self.writer = None
        return True

    # -- closing --------------------------------------------------------------------------------------------

    def reject_malformed(self, status: int, reason: str) -> None:
        """Count and log invalid input, and end the connection with an error response."""
        self.clients.malformed += 1
        log_external(f"a client's bytes: {reason}")
        self.reject(status, CloseReason.MALFORMED)

    def reject(self, status: int, reason: CloseReason) -> None:
        """End the connection with an error response to the message being sent; parse nothing more."""
        self.rejection_status = status
        self.close_reason = reason
        self.clients.mark_closing(self)
        self.reader.cancel()

    def reject_unserved(self) -> None:
        """Answer all messages that are not begun with 503, also those that are not parsed yet."""
        self.is_rejecting = True
        self.rejected_count += len(self.queue)
        while self.queue:
            self.queue.popleft().request.charge.release()
        self._serve_next()

    def hand_over(self, on_socket_released: Callable[[socket.socket], None]) -> None:
        """End the connection and pass the socket on once the event loop no longer uses it."""
        self.on_socket_released = on_socket_released
        self.close(CloseReason.HANDED_OVER)

    def close(self, reason: CloseReason) -> None:
        """Close the connection without a further response."""
        if not self.is_closing:
            self.is_closing = True
            self.close_reason = reason
            self.clients.mark_closing(self)
            self.reader.cancel()

    # -- state ---------------------------------------------------------------------------------------------

    def has_unanswered_message(self) -> bool:
        """Return whether a complete message has no response yet and is not handed over to another process."""
        has_message = self.is_busy or bool(self.queue) or bool(self.rejected_count)
        return has_message and self.on_socket_released is None

    def has_unserved_input(self) -> bool:
        """Return whether messages wait to be served, or bytes to be parsed."""
        return bool(self.queue) or self.input.has_unparsed()

    def has_client_left(self) -> bool:
        """Read what the client has sent; return whether it has left."""
        self.input.refresh()
        return self.input.has_ended

    def request_id(self) -> str:
        """Return the id of the last request; an empty string if there was none."""
        return self.last_request_id.decode("latin-1")

    def is_between_messages(self) -> bool:
        """Return whether no message is in work, queued or partly read; the socket may have unread bytes."""
        return not (self._is_in_use() or self.queue or self.rejected_count)

    def is_idle(self) -> bool:
        """Return whether no message is in work or partly read, and the socket has no unread bytes."""
        return not self._is_in_use() and self._is_fully_read()

    def _is_in_use(self) -> bool:
        return bool(
            self.is_busy
            or self.is_closing
            or self.parser.is_partial
            or self.rejection_status
            or self.input.has_unparsed()
        )

    def _is_fully_read(self) -> bool:
        """Return whether no bytes are unread, which a close would lose."""
        if self.input.has_unparsed():
            return False
        try:
            return not self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False

    def is_evictable(self, now: float, is_for_attempt: bool = False) -> bool:
        """Return whether the connection may be closed to free a descriptor.

        It may if it is being rejected, has been idle for some time after a request, or has sent no request
        for some time. For an attempt, any idle one may be closed: its request has been taken.
        """
        if self.is_busy:
            return False
        if self.rejection_status:
            return True
        if self.has_sent_request:
            is_long_idle = now - self.active_at > IDLE_EVICTABLE_AFTER_S
            return (is_for_attempt or is_long_idle) and self.is_idle()
        return now - self.active_at > EVICTABLE_AFTER_S and self._is_fully_read()

    def can_hand_over_request(self) -> bool:
        """Return whether its request may be handed over: nothing further is read and no response begun."""
        return self.pending is not None and not (
            self.has_ended
            or self.is_closing
            or self.rejection_status
            or self.parser.is_partial
            or self.queue
            or self.rejected_count
            or self.input.has_unparsed()
        )


if TYPE_CHECKING:  # defining the classes would slow the start of a node

    class MessageHandler(Protocol):
        """Serves the messages of connections."""

        async def serve(self, connection: ClientConnection, message: ClientMessage) -> None:
            """Serve a message up to its response."""

        def are_all_invalid(self, messages: Iterable[ClientMessage]) -> bool:
            """Return whether each message can only be answered with a client error."""

        def record_overrun(self, count: int) -> None:
            """Record messages that are rejected since the client has sent too many at once."""

    class ConnectionOwner(Protocol):
        """Interface of the set of connections that a connection belongs to."""

        dispatcher: Dispatcher
        budget: Budget
        buffers: Buffers
        stalls: StallDetector
        turns: Turns
        is_draining: bool
        malformed: int

        @property
        def requests(self) -> MessageHandler:
            """Return the handler of the messages."""

        def spawn(self, work: Coroutine[Any, Any, None]) -> None:
            """Run the coroutine in a task."""

        def mark_closing(self, connection: ClientConnection) -> None:
            """Mark the connection as rejected or closing."""

        def mark_idle(self, connection: ClientConnection) -> None:
            """Mark the connection as answered, and idle if it has sent a request."""

        def hand_over_if_idle(self, connection: ClientConnection) -> None:
            """Hand the connection over to another process, if there is one and no message is in work."""

        def check_closed(self, connection: ClientConnection) -> None:
            """Check that a connection that has ended owes no response."""

        def remove(self, connection: ClientConnection) -> None:
            """Remove a connection that has ended."""
