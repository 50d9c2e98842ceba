"""One connection to an executor, and the call that it carries.

A connection carries one call at a time and is kept for the next one once the response is complete. The last
byte of a message is held back for a moment, in which a dead connection shows: until then nothing can have
run.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from time import monotonic

from firwalk.dispatcher.endpoint import Endpoint
from firwalk.net import http
from firwalk.net.buffers import Buffers
from firwalk.net.waiting import receive_into
from firwalk.observability.events import CloseReason, Event, EventLog
from firwalk.observability.log import log_exception, log_external

MAX_TRANSFERABLE_BYTES = 8192  # of a response so far, beyond which its request stays in this process


class Call:
    """What waits for a response of an executor; its outcome is reported once."""

    status = 0  # of the response, once its head has come

    def is_done(self) -> bool:
        """Whether the outcome is known."""
        raise NotImplementedError

    def begin_response(self, status: int, headers: dict[bytes, bytes]) -> None:
        """The head of the response has come."""
        raise NotImplementedError

    def receive_line(self, line: bytes) -> None:
        """A line of the response has come; raises http.Malformed if it cannot be used."""
        raise NotImplementedError

    def complete_response(self) -> None:
        """The response has ended as it should."""
        raise NotImplementedError

    def lose_connection(self) -> None:
        """The connection has ended before the response had."""
        raise NotImplementedError


class ConnectionOwner:
    """What a connection reports to: the pool it belongs to."""

    buffers: Buffers
    events: EventLog

    def put_back(self, connection: ExecutorConnection) -> None:
        """The response is complete: the connection can carry another call."""
        raise NotImplementedError

    def record_round_trip(self, endpoint: Endpoint, round_trip_s: float) -> None:
        """A response, or a connection, took so long to come."""
        raise NotImplementedError

    def record_unanswered(self, connection: ExecutorConnection) -> None:
        """The connection has ended without a response to its call."""
        raise NotImplementedError

    def remove(self, connection: ExecutorConnection, was_closed_by_peer: bool) -> None:
        """The connection has ended; `was_closed_by_peer`: by its executor, while it was idle."""
        raise NotImplementedError


class ExecutorConnection:
    """One connection to an executor, and the call that is in flight on it, if any."""

    def __init__(self, owner: ConnectionOwner, endpoint: Endpoint, sock: socket.socket) -> None:
        self.owner = owner
        self.endpoint = endpoint
        self.sock = sock
        self.address = endpoint.address
        self.call: Call | None = None
        self.writer: asyncio.Task[None] | None = None  # while bytes are still to be written
        self.is_open = True
        self.idle_since = monotonic()
        self.idle_s = 0.0  # how long it was idle before its call
        self.written_at = 0.0
        self.is_committed = True  # the last byte of the message may have been written
        self.broke_uncommitted = False  # it broke before that
        self.response_bytes = b""  # of the response in flight
        self.release: Callable[[socket.socket], None] | None = None  # takes the socket instead of closing it
        self.close_reason = CloseReason.PEER_LEFT  # until it is closed here
        self.parser = http.ResponseParser(self._begin_response, self._receive_line, self._end_response)
        self.reader = asyncio.get_running_loop().create_task(self._read())
        self.reader.add_done_callback(self._handle_reader_end)

    # -- writing -----------------------------------------------------------------------------------------

    async def write(
        self, message: bytes, hold_s: float = 0.0, commit: Callable[[], bool] | None = None
    ) -> bool:
        """Writes a message; with `commit`, its last byte after `hold_s` and only if `commit()` agrees.

        False if it did not agree. Raises OSError if the connection broke before the last byte.
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
                writer.uncancel()  # `_handle_reader_end` has cancelled it, nobody outside
            raise ConnectionResetError("the connection broke before the last byte") from None
        except OSError:
            self.owner.record_unanswered(self)
            self.call = None  # not even the last byte went out: whoever writes goes on from there
            raise
        finally:
            self.writer = None
        return True

    # -- reading -----------------------------------------------------------------------------------------

    async def _read(self) -> None:
        buffer = self.owner.buffers.take()
        view = memoryview(buffer)
        try:
            while count := await receive_into(self.sock, buffer):
                self.receive(view[:count])
        except OSError:
            pass
        except http.Malformed as problem:
            log_external(f"executor {self.endpoint.name}: {problem}")
        except Exception as problem:
            log_exception("reading from an executor", problem)
        finally:
            view.release()
            self.owner.buffers.give(buffer)

    def receive(self, data: memoryview) -> None:
        """Takes bytes of a response, and keeps them for a process that may continue the call."""
        if len(self.response_bytes) <= MAX_TRANSFERABLE_BYTES:
            self.response_bytes += data
        self.parser.feed(data)

    def _begin_response(self, status: int, headers: dict[bytes, bytes]) -> None:
        if self.call is None:
            raise http.Malformed(400, "an answer to nothing")
        self.owner.record_round_trip(self.endpoint, monotonic() - self.written_at)
        self.call.begin_response(status, headers)

    def _receive_line(self, line: bytes) -> None:
        if self.call is not None:
            self.call.receive_line(line)

    def _end_response(self, keep_alive: bool) -> None:
        call, self.call = self.call, None
        self.response_bytes = b""
        # Answered before its last byte was written, the rest would run into the next message.
        if keep_alive and self.is_open and self.writer is None:
            self.owner.put_back(self)
        else:
            self.close(CloseReason.LAST_ANSWER)
        if call is not None:
            call.complete_response()

    def can_be_transferred(self) -> bool:
        """Whether another process can continue the call: all of its message is written."""
        return self.writer is None and len(self.response_bytes) <= MAX_TRANSFERABLE_BYTES

    # -- the end -----------------------------------------------------------------------------------------

    def close(self, reason: CloseReason) -> None:
        """Ends the connection. The socket is closed once the event loop has let go of it, with the reader."""
        if self.is_open:
            self.is_open = False
            self.close_reason = reason
        self.reader.cancel()

    def _handle_reader_end(self, _: asyncio.Task[None]) -> None:
        """Also for a reader that was cancelled before it began: its own `finally` would not run then."""
        was_closed_by_peer, self.is_open = self.is_open, False
        self.owner.events.record(Event.EXECUTOR_CLOSED, self.close_reason)
        call, self.call = self.call, None
        if self.release is None:
            self.sock.close()
        else:
            self.release(self.sock)
        self.owner.remove(self, was_closed_by_peer and call is None)
        # Once the last byte may have been written, nobody can tell whether it went out.
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
            call.lose_connection()

    def is_alive(self) -> bool:
        """Whether the executor has not closed it: what is written to a closed one may count as having run."""
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False
