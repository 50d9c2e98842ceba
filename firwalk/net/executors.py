"""Sends attempts and health checks to executors and interprets the responses.

An attempt whose last byte was written is never resent here: its outcome is reported, and the dispatcher
decides on a retry. If the connection breaks before that byte, the attempt continues on another one.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from time import monotonic
from typing import Any, cast

import orjson

from firwalk.dispatcher.dispatcher import Dispatcher, PendingRequest
from firwalk.dispatcher.endpoint import Endpoint
from firwalk.net import http
from firwalk.net.address import host_header
from firwalk.net.budget import Budget
from firwalk.net.buffers import Buffers
from firwalk.net.executor_connection import Call, ExecutorConnection
from firwalk.net.executor_pool import MAX_ROUND_TRIP_S, ConnectionPool, DescriptorShortage
from firwalk.net.turns import Turns
from firwalk.observability.events import CloseReason, EventLog
from firwalk.observability.log import check_invariant, log_exception, log_external
from firwalk.policy.interface import Outcome

HOLD_ROUND_TRIPS = 2.0  # the last byte is held back for this many shortest round trips
MIN_HOLD_S = 0.004
MAX_HOLD_S = MAX_ROUND_TRIP_S
MAX_WRITE_S = 0.1  # writing may take this long, since the message states the time left at its first byte
MAX_NEW_CONNECTIONS = 2  # when this many break during an attempt, its executor counts as unreachable
RESPONSE_END_TIMEOUT_S = 2.0  # a response must end within this time after the outcome of its attempt
MAX_LOAD_REPORT_BYTES = 16384
RETRYABLE_STATUSES = (408, 425, 429)  # a retry may succeed, since the cause may have been temporary

Json = Any  # values are decoded JSON that is not validated yet


class AttemptCall(Call):
    """An attempt of a request at an executor: interprets the lines of the response, reports one outcome."""

    def __init__(self, owner: Executors, pending: PendingRequest, number: int, request_id: bytes) -> None:
        self.owner = owner
        self.dispatcher = owner.dispatcher
        self.pending = pending
        self.number = number
        self.request_id = request_id
        self.status = 0
        self.headers: dict[bytes, bytes] = {}
        self.has_ended = False
        self.ended_at = 0.0
        self.connection: ExecutorConnection | None = None
        self.sending: asyncio.Task[None] | None = None  # None if another process has sent the attempt

    def is_done(self) -> bool:
        """Return whether the outcome is known or no longer needed."""
        return self.has_ended

    def end(self, outcome: Outcome, load: Json = None, result: bytes = b"") -> None:
        """Report the outcome, unless one was reported before."""
        if not self.has_ended:
            self.has_ended = True
            self.ended_at = monotonic()
            self.owner.attempts.pop((self.pending, self.number), None)
            self.dispatcher.report_outcome(self.pending, self.number, outcome, load, result)

    def begin_response(self, status: int, headers: dict[bytes, bytes]) -> None:
        """Store the status and headers of the response."""
        self.status = status
        self.headers = headers

    def receive_line(self, line: bytes) -> None:
        """Report the state in a line of the response. Raise http.Malformed if there is none."""
        if self.status != 200 or self.has_ended:
            return
        update = self._read_update(line)
        state = update["state"]
        if state == "started":
            self.dispatcher.report_started(self.pending, self.number)
        elif state == "running":
            share = update.get("share")
            if isinstance(share, int | float):
                self.dispatcher.report_progress(self.pending, self.number, float(share))
        elif state == "done":
            self.end(Outcome.COMPLETED, update.get("load"), _read_result(update))
        elif state == "failed":
            self.end(Outcome.ERROR, update.get("load"))
        elif state == "returned":
            self.end(Outcome.AT_CAPACITY, update.get("load"))
        elif state == "lost":
            self.end(Outcome.CONNECTION_LOST, update.get("load"))

    def _read_update(self, line: bytes) -> Json:
        try:
            update = orjson.loads(line)
            if update["id"].encode() == self.request_id and "state" in update:
                return update
        except (orjson.JSONDecodeError, KeyError, TypeError, AttributeError):
            pass
        raise http.Malformed(400, "response line without a state or with another request's id")

    def complete_response(self) -> None:
        """Report the outcome by the status; without a final line, the request may have run."""
        load = _read_load(self.headers.get(b"x-load"))
        if self.status in (503, 504) and self.headers.get(b"x-not-run") == b"1":
            self.end(Outcome.AT_CAPACITY, load)
        elif self.status == 200:
            self.end(Outcome.CONNECTION_LOST, load)
        elif 400 <= self.status < 500 and self.status not in RETRYABLE_STATUSES:
            self.end(Outcome.INVALID, load)
        else:
            self.end(Outcome.ERROR, load)

    def handle_connection_lost(self) -> None:
        """Report the loss of the connection, after which the request may have run."""
        self.end(Outcome.CONNECTION_LOST)


class HealthCheckCall(Call):
    """A health check of an executor: fetches its load report, reports one outcome."""

    def __init__(self, dispatcher: Dispatcher, endpoint: Endpoint, is_on_reused_connection: bool) -> None:
        self.dispatcher = dispatcher
        self.endpoint = endpoint
        self.is_on_reused_connection = is_on_reused_connection
        self.began_at = monotonic()
        self.status = 0
        self.load_report = b""
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def is_done(self) -> bool:
        """Return whether the outcome is known."""
        return self.done.done()

    def end(self, outcome: Outcome, load: Json = None) -> None:
        """Report the outcome, unless one was reported before."""
        if not self.done.done():
            self.done.set_result(None)
            self.dispatcher.report_health_check(self.endpoint, outcome, monotonic() - self.began_at, load)

    def begin_response(self, status: int, headers: dict[bytes, bytes]) -> None:
        """Store the status of the response."""
        self.status = status

    def receive_line(self, line: bytes) -> None:
        """Append a line of the load report. Raise http.Malformed if it is too long."""
        if len(self.load_report) + len(line) > MAX_LOAD_REPORT_BYTES:
            raise http.Malformed(http.BAD_REQUEST, "load report exceeds the size limit")
        self.load_report += line

    def complete_response(self) -> None:
        """Report the outcome and the load."""
        outcome = Outcome.COMPLETED if self.status == 200 else Outcome.AT_CAPACITY
        self.end(outcome, _read_load(self.load_report))

    def handle_connection_lost(self) -> None:
        """Report the loss of the connection, unless it was a reused one that ended without a response.

        Such an end shows only that the connection was old. Counted as failures, two of these would eject a
        healthy executor.
        """
        if not self.is_on_reused_connection or self.status:
            self.end(Outcome.CONNECTION_LOST)
        elif not self.done.done():
            self.done.set_result(None)


def _read_result(last_line: Json) -> bytes:
    """Return the result for the client. Raise http.Malformed rather than make up a result."""
    result = last_line.get("result")
    if result is None:
        raise http.Malformed(400, "final response line without a result")
    try:
        body: bytes = result.encode() if isinstance(result, str) else orjson.dumps(result)
    except (TypeError, UnicodeEncodeError) as error:
        raise http.Malformed(400, f"result cannot be encoded: {error}") from error
    if len(body) > http.MAX_BODY_BYTES:
        raise http.Malformed(400, "result exceeds the size limit")
    return body


def _read_load(text: bytes | None) -> Json:
    """Decode a load report without validating it; return None if there is none."""
    try:
        return orjson.loads(text) if text else None
    except orjson.JSONDecodeError:
        return None


class Executors:
    """Sends attempts and health checks to executors."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        budget: Budget,
        buffers: Buffers,
        connect_timeout_s: float,
        idle_timeout_s: float,
        events: EventLog | None = None,
        turns: Turns | None = None,
    ) -> None:
        self.dispatcher = dispatcher
        self.pool = ConnectionPool(
            dispatcher, budget, buffers, connect_timeout_s, idle_timeout_s, events, turns
        )
        self.attempts: dict[tuple[PendingRequest, int], AttemptCall] = {}  # without an outcome
        self.health_checks: dict[Endpoint, asyncio.Task[None]] = {}

    def close_idle(self, endpoint: Endpoint) -> None:
        """Close the idle connections to an executor."""
        self.pool.close_idle(endpoint)

    def sweep(self) -> None:
        """Close connections that have been idle for too long or whose responses do not end."""
        self.pool.close_expired()
        self.pool.forget_removed()
        for connection in list(self.pool.connections):
            call = connection.call
            if isinstance(call, AttemptCall) and call.has_ended:
                if call.ended_at < monotonic() - RESPONSE_END_TIMEOUT_S:
                    connection.close(CloseReason.NO_ANSWER)

    # -- attempts ----------------------------------------------------------------------------------------

    def send_attempt(
        self,
        pending: PendingRequest,
        number: int,
        endpoint: Endpoint,
        request_id: bytes,
        encode: Callable[[], bytes],
        is_non_idempotent: bool = False,
    ) -> None:
        """Start an attempt; `encode()` gives its bytes just before they are written."""
        call = AttemptCall(self, pending, number, request_id)
        call.sending = asyncio.get_running_loop().create_task(
            self._send(call, endpoint, encode, is_non_idempotent)
        )
        self.attempts[pending, number] = call

    async def _send(
        self,
        call: AttemptCall,
        endpoint: Endpoint,
        encode: Callable[[], bytes],
        is_non_idempotent: bool,
    ) -> None:
        connection = self.pool.take_idle(endpoint, is_non_idempotent)
        new_connections = 0
        while not call.has_ended:
            try:
                if connection is None:
                    new_connections += 1
                    connection = await self.pool.connect(endpoint)
                await self._write(call, connection, encode)
                return
            except DescriptorShortage:
                log_external("no descriptor is left for an executor: an assignment is not sent")
                call.end(Outcome.NOT_SENT)
            except OSError as error:
                # Another idle connection may be dead too, so that a new one is opened. A second new one shows
                # that the first did not break by chance.
                if new_connections >= MAX_NEW_CONNECTIONS or isinstance(error, TimeoutError):
                    call.end(Outcome.CONNECT_FAILED)
                if connection is not None:
                    connection.close(CloseReason.PEER_LEFT)
                connection = None
            except Exception as error:
                log_exception("sending an attempt", error)
                is_committed = call.number in call.pending.committed
                call.end(Outcome.CONNECTION_LOST if is_committed else Outcome.NOT_SENT)
                if connection is not None:
                    connection.close(CloseReason.FAILURE)

    async def _write(
        self, call: AttemptCall, connection: ExecutorConnection, encode: Callable[[], bytes]
    ) -> None:
        if not self.dispatcher.report_sending(call.pending, call.number):
            self.pool.put_back(connection)
            call.end(Outcome.NOT_SENT)
            return
        check_invariant(connection.call is None, "a connection carries one call at a time")
        connection.call = call
        call.connection = connection
        round_trip_s = self.pool.round_trips_s.get(connection.endpoint, MAX_ROUND_TRIP_S)
        hold_s = min(max(HOLD_ROUND_TRIPS * round_trip_s, MIN_HOLD_S), MAX_HOLD_S)
        began_at = monotonic()

        def commit() -> bool:
            write_s = monotonic() - began_at
            return write_s < MAX_WRITE_S and self.dispatcher.report_committing(call.pending, call.number)

        if not await connection.write(encode(), hold_s, commit):
            call.end(Outcome.NOT_SENT)
            connection.close(CloseReason.NOT_SENT)

    def cancel_attempt(self, pending: PendingRequest, number: int) -> None:
        """Cancel an attempt without reporting an outcome; its executor sees the connection close."""
        call = self.attempts.pop((pending, number), None)
        if call is None:
            return
        call.has_ended = True
        if call.sending is not None:
            call.sending.cancel()
        if call.connection is not None and call.connection.call is call:
            call.connection.close(CloseReason.CANCELLED)

    # -- health checks -----------------------------------------------------------------------------------

    def check_health(self, endpoint: Endpoint, timeout_s: float) -> None:
        """Start a health check, unless one is in flight: it may be queued at the executor like a request."""
        if endpoint not in self.health_checks:
            task = asyncio.get_running_loop().create_task(self._check_health(endpoint, timeout_s))
            self.health_checks[endpoint] = task
            task.add_done_callback(lambda _: self.health_checks.pop(endpoint, None))

    async def _check_health(self, endpoint: Endpoint, timeout_s: float) -> None:
        connection = self.pool.take_idle(endpoint)
        call = HealthCheckCall(self.dispatcher, endpoint, connection is not None)
        if connection is None:
            if not self.pool.reserve_for_health_check(endpoint):
                return
            try:
                connection = await self.pool.open(endpoint)
            except OSError:
                call.end(Outcome.CONNECT_FAILED)
                return
        connection.call = call
        try:
            async with asyncio.timeout(timeout_s):
                await connection.write(
                    http.encode_request(b"GET", b"/_load", [host_header(endpoint.address)])
                )
                await call.done
        except TimeoutError:
            call.end(Outcome.TIMED_OUT)
            connection.close(CloseReason.NO_ANSWER)
            # A partitioned machine leaves all its connections silent. A request written to one of them may
            # count as run, while a new connection that cannot be opened proves that it did not run.
            self.pool.close_idle(endpoint)
        except OSError:
            call.handle_connection_lost()
            connection.close(CloseReason.PEER_LEFT)

    # -- hot restart -------------------------------------------------------------------------------------

    def hand_over_idle(self, send: Callable[[str, float, float | None, socket.socket], None]) -> None:
        """Hand all idle connections over by `send(executor, idle_since, round_trip_s, sock)`."""
        self.pool.hand_over_idle(send)

    def adopt_idle(
        self, endpoint: Endpoint, sock: socket.socket, idle_since: float, round_trip_s: float | None
    ) -> None:
        """Add an idle connection handed over by another process. Raise OSError if it has ended."""
        self.pool.adopt_idle(endpoint, sock, idle_since, round_trip_s)

    def transferable_connection(self, pending: PendingRequest, number: int) -> ExecutorConnection | None:
        """Return the connection of an attempt that another process can continue; None if it cannot."""
        call = self.attempts.get((pending, number))
        connection = call.connection if call is not None else None
        if connection is None or connection.call is not call or not connection.is_open:
            return None
        return connection if connection.can_be_transferred() else None

    def release_attempt(self, pending: PendingRequest, number: int) -> None:
        """Close this process's descriptor of a handed-over attempt, without reporting an outcome."""
        call = self.attempts.pop((pending, number))
        call.has_ended = True
        connection = cast(ExecutorConnection, call.connection)
        connection.call = None
        connection.close(CloseReason.HANDED_OVER)

    def resume_attempt(
        self,
        pending: PendingRequest,
        number: int,
        sock: socket.socket,
        request_id: bytes,
        response_bytes: bytes,
    ) -> None:
        """Continue an attempt of another process, from the response bytes it has received so far."""
        endpoint = cast(Endpoint, pending.request.attempts[number].executor.handle)
        call = AttemptCall(self, pending, number, request_id)
        connection = self.pool.adopt(endpoint, sock)
        connection.call = call
        call.connection = connection
        self.attempts[pending, number] = call
        try:
            connection.address = sock.getpeername()[:2]
        except OSError:
            pass  # broken during the hand-over, which its reader detects
        if response_bytes:
            connection.receive(memoryview(response_bytes))
