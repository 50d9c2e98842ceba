"""One connection to an executor and the call in flight on it.

A connection carries one call at a time and is kept for the next one once the response is complete. The last
byte of an attempt is held back briefly, to detect a dead connection: until that byte is written, the executor
cannot have run the request.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from time import monotonic

from firwalk.dispatcher.endpoint import Endpoint
from firwalk.limits.fair_share import WorkAccount
from firwalk.limits.memory import MemoryCharge, MemoryPool, MemoryUse
from firwalk.net import http
from firwalk.net.buffers import Buffers
from firwalk.net.socket_io import wait_readable
from firwalk.net.turns import Turns
from firwalk.observability.events import CloseReason, Event, EventLog
from firwalk.observability.log import log_exception, log_external

MAX_TRANSFERABLE_BYTES = 8192  # a request with a longer partial response is not handed over
# A result of the longest body, each byte of it escaped in JSON, fits in a line.
MAX_RESPONSE_LINE_BYTES = 6 * http.MAX_BODY_BYTES + 4096


class Call:
    """A call to an executor, which receives the response and reports one outcome."""

    status = 0  # of the response; 0 until it begins

    def is_done(self) -> bool:
        """Return whether the outcome is known."""
        raise NotImplementedError

    def begin_response(self, status: int, headers: dict[bytes, bytes]) -> None:
        """Handle the status and headers of the response."""
        raise NotImplementedError

    def receive_line(self, line: bytes) -> None:
        """Handle a line of the response. Raise http.Malformed if it is invalid."""
        raise NotImplementedError

    def complete_response(self) -> None:
        """Handle the regular end of the response."""
        raise NotImplementedError

    def handle_connection_lost(self) -> None:
        """Handle the end of the connection before the end of the response."""
        raise NotImplementedError


class ConnectionOwner:
    """Interface of the pool that a connection belongs to."""

    buffers: Buffers
    events: EventLog
    memory: MemoryPool
    turns: Turns

    def account_of(self, endpoint: Endpoint) -> WorkAccount:
        """Return the account of the processor time that an executor's responses have caused."""
        raise NotImplementedError

    def put_back(self, connection: ExecutorConnection) -> None:
        """Take back a connection whose response is complete, for another call."""
        raise NotImplementedError

    def record_round_trip(self, endpoint: Endpoint, round_trip_s: float) -> None:
        """Record the time that a connect or the start of a response took."""
        raise NotImplementedError

    def record_unanswered(self, connection: ExecutorConnection) -> None:
        """Record that the connection has ended without a response to its call."""
        raise NotImplementedError

    def remove(self, connection: ExecutorConnection, was_closed_by_peer: bool) -> None:
        """Remove a closed connection; `was_closed_by_peer` if its executor closed it while it was idle."""
        raise NotImplementedError


class ExecutorConnection:
    """A connection to an executor and the call in flight on it, if any."""

    def __init__(self, owner: ConnectionOwner, endpoint: Endpoint, sock: socket.socket) -> None:
        self.owner = owner
        self.endpoint = endpoint
        self.sock = sock
        self.address = endpoint.address
        self.call: Call | None = None
        self.writer: asyncio.Task[None] | None = None  # the task that is writing, if any
        self.is_open = True
        self.idle_since = monotonic()
        self.idle_s = 0.0  # how long it was idle before the current call
        self.written_at = 0.0
        self.is_committed = True  # the last byte of the message may have been sent
        self.broke_uncommitted = False  # the connection broke before `is_committed`
        self.response_bytes = b""  # received of the current response
        self.on_socket_released: Callable[[socket.socket], None] | None = None  # called at the reader's end
        self.close_reason = CloseReason.PEER_LEFT  # unless this process closes it
        self.charge = MemoryCharge(owner.memory, MemoryUse.RESPONSE)
        self.account = owner.account_of(endpoint)
        self.parser = http.ResponseParser(
            self._begin_response,
            self._receive_line,
            self._end_response,
            max_line_bytes=MAX_RESPONSE_LINE_BYTES,
            charge=self.charge,
        )
        self.reader = asyncio.get_running_loop().create_task(self._read())
        self.reader.add_done_callback(self._on_reader_done)

    # -- writing -----------------------------------------------------------------------------------------

    async def write(
        self, message: bytes, hold_s: float = 0.0, commit: Callable[[], bool] | None = None
    ) -> bool:
        """Write a message; with `commit`, hold the last byte back for `hold_s` and write it if `commit()`.

        Return False if `commit()` is false. Raise OSError if the connection broke before the last byte.
        """
        loop = asyncio.get_running_loop()
        writer = self.writer = asyncio.current_task()
        self.is_committed = commit is None
        try:
            if commit is not None:
                await loop.sock_sendall(self.sock, message[:-1])
                await asyncio.sleep(hold_s)
                if not commit():
                    return False
                self.is_committed = True
                message = message[-1:]
            self.written_at = monotonic()
            await loop.sock_sendall(self.sock, message)
        except asyncio.CancelledError:
            if not self.broke_uncommitted:
                raise
            if writer is not None:
                writer.uncancel()  # cancelled by `_on_reader_done`, not from outside
            raise ConnectionResetError("the connection broke before the last byte") from None
        except OSError:
            self.owner.record_unanswered(self)
            self.call = None  # the last byte was not written: the caller handles the failure
            raise
        finally:
            self.writer = None
        return True

    # -- reading -----------------------------------------------------------------------------------------

    async def _read(self) -> None:
        try:
            await wait_readable(self.sock)
            while self._read_once():
                if self.owner.turns.must_wait(self.account):
                    await self.owner.turns.take(self.account)
                await wait_readable(self.sock)
        except OSError:
            pass
        except http.Malformed as error:
            log_external(f"executor {self.endpoint.name}: {error}")
        except Exception as error:
            log_exception("reading from an executor", error)

    def _read_once(self) -> bool:
        """Read and parse what has arrived; return False at the end. Raises OSError and http.Malformed."""
        buffer = self.owner.buffers.scratch
        began_at = monotonic()
        try:
            count = self.sock.recv_into(buffer)
            if count:
                self.receive(buffer[:count])
            return bool(count)
        except BlockingIOError:
            return True
        finally:
            now = monotonic()
            self.account.charge(now, now - began_at)

    def receive(self, data: memoryview) -> None:
        """Parse bytes of a response, and keep them for a hand-over of the call to another process."""
        if len(self.response_bytes) <= MAX_TRANSFERABLE_BYTES:
            self.response_bytes += data
        self.parser.feed(data)

    def _begin_response(self, status: int, headers: dict[bytes, bytes]) -> None:
        if self.call is None:
            raise http.Malformed(400, "response without a request")
        self.owner.record_round_trip(self.endpoint, monotonic() - self.written_at)
        self.call.begin_response(status, headers)

    def _receive_line(self, line: bytes) -> None:
        if self.call is not None:
            self.call.receive_line(line)

    def _end_response(self, keep_alive: bool) -> None:
        call, self.call = self.call, None
        self.response_bytes = b""
        # If the response precedes the message's last byte, that byte would become part of the next message.
        if keep_alive and self.is_open and self.writer is None:
            self.owner.put_back(self)
        else:
            self.close(CloseReason.LAST_ANSWER)
        if call is not None:
            call.complete_response()

    def can_be_transferred(self) -> bool:
        """Return whether another process can continue the call: its message is written completely."""
        return self.writer is None and len(self.response_bytes) <= MAX_TRANSFERABLE_BYTES

    # -- closing -----------------------------------------------------------------------------------------

    def close(self, reason: CloseReason) -> None:
        """Close the connection; the socket closes with the reader, when the loop no longer uses it."""
        if self.is_open:
            self.is_open = False
            self.close_reason = reason
        self.reader.cancel()

    def _on_reader_done(self, _: asyncio.Task[None]) -> None:
        """Close the socket and report the end.

        A callback, since the `finally` of a reader that is cancelled before it starts would not run.
        """
        was_closed_by_peer, self.is_open = self.is_open, False
        self.owner.events.record(Event.EXECUTOR_CLOSED, self.close_reason)
        call, self.call = self.call, None
        if self.on_socket_released is None:
            self.sock.close()
        else:
            self.on_socket_released(self.sock)
        # Not left to the garbage collector: the connection and its parser refer to each other.
        self.parser.discard()
        self.response_bytes = b""
        self.owner.remove(self, was_closed_by_peer and call is None)
        # Once the last byte may have been sent, the request may have run.
        self.broke_uncommitted = (
            not self.is_committed and self.writer is not None and call is not None and not call.is_done()
        )
        if self.writer is not None:
            self.writer.cancel()
        if call is None:
            return
        if not call.is_done() and not call.status:
            self.owner.record_unanswered(self)
        if not self.broke_uncommitted:
            call.handle_connection_lost()

    def is_alive(self) -> bool:
        """Return whether the peer has not closed it: a request written to a closed one may count as run."""
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False
