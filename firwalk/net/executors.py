"""What executors are asked: attempts of requests and health checks, and what their responses mean.

Nothing whose last byte was written is sent a second time from here: the outcome of the attempt is reported,
and the dispatcher decides on a retry. Where a connection breaks before that byte, another one is taken.
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
from firwalk.observability.events import CloseReason, EventLog
from firwalk.observability.log import check_invariant, log_external
from firwalk.policy.interface import Outcome

HOLD_ROUND_TRIPS = 2.0  # shortest round trips for which the last byte is held back
MIN_HOLD_S = 0.004
MAX_HOLD_S = MAX_ROUND_TRIP_S
MAX_WRITE_S = 0.1  # from the first byte to the last: the message states the time left at the first
MAX_NEW_CONNECTIONS = 2  # that may break under one attempt before its executor counts as unreachable
RESPONSE_END_TIMEOUT_S = 2.0  # from the outcome of an attempt to the end of its response
INCONCLUSIVE_STATUSES = (408, 425, 429)  # blame the request, or the moment: a retry may succeed

Json = Any  # what JSON text was read to, not checked yet


class AttemptCall(Call):
    """One attempt of a request at an executor: reads the lines of the response, reports one outcome."""

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
        self.sending: asyncio.Task[None] | None = None  # none for one that another process has sent

    def is_done(self) -> bool:
        """Whether its outcome is known, or nobody waits for it any more."""
        return self.has_ended

    def end(self, outcome: Outcome, load: Json = None, result: bytes = b"") -> None:
        """Reports the outcome; the first one counts."""
        if not self.has_ended:
            self.has_ended = True
            self.ended_at = monotonic()
            self.owner.attempts.pop((self.pending, self.number), None)
            self.dispatcher.report_outcome(self.pending, self.number, outcome, load, result)

    def begin_response(self, status: int, headers: dict[bytes, bytes]) -> None:
        """The head of the response has come."""
        self.status = status
        self.headers = headers

    def receive_line(self, line: bytes) -> None:
        """Reports what a line of the response states; raises http.Malformed if it states nothing."""
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
        raise http.Malformed(400, "a line that tells nothing of its task")

    def complete_response(self) -> None:
        """Without a last line, the end of a response says nothing of whether the request has run."""
        load = _read_load(self.headers.get(b"x-load"))
        if self.status in (503, 504) and self.headers.get(b"x-not-run") == b"1":
            self.end(Outcome.AT_CAPACITY, load)
        elif self.status == 200:
            self.end(Outcome.CONNECTION_LOST, load)
        elif 400 <= self.status < 500 and self.status not in INCONCLUSIVE_STATUSES:
            self.end(Outcome.INVALID, load)
        else:
            self.end(Outcome.ERROR, load)

    def lose_connection(self) -> None:
        """The request may have run."""
        self.end(Outcome.CONNECTION_LOST)


class HealthCheckCall(Call):
    """Asks an executor for its load report; reports one outcome."""

    def __init__(self, dispatcher: Dispatcher, endpoint: Endpoint, is_on_kept_connection: bool) -> None:
        self.dispatcher = dispatcher
        self.endpoint = endpoint
        self.is_on_kept_connection = is_on_kept_connection
        self.began_at = monotonic()
        self.status = 0
        self.load_report = b""
        self.done: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def is_done(self) -> bool:
        """Whether its outcome is known."""
        return self.done.done()

    def end(self, outcome: Outcome, load: Json = None) -> None:
        """Reports the outcome; the first one counts."""
        if not self.done.done():
            self.done.set_result(None)
            self.dispatcher.report_probe(self.endpoint, outcome, monotonic() - self.began_at, load)

    def begin_response(self, status: int, headers: dict[bytes, bytes]) -> None:
        """The head of the response has come."""
        self.status = status

    def receive_line(self, line: bytes) -> None:
        """A line of the load report has come."""
        self.load_report += line

    def complete_response(self) -> None:
        """Reports the load."""
        outcome = Outcome.COMPLETED if self.status == 200 else Outcome.AT_CAPACITY
        self.end(outcome, _read_load(self.load_report))

    def lose_connection(self) -> None:
        """Reports nothing for a kept connection that ends unanswered, which shows its own age only.

        Taken for signs of silence, two of these would eject a good executor.
        """
        if not self.is_on_kept_connection or self.status:
            self.end(Outcome.CONNECTION_LOST)
        elif not self.done.done():
            self.done.set_result(None)


def _read_result(last_line: Json) -> bytes:
    """The result for the client; raises http.Malformed: one made up here would be no executor's."""
    result = last_line.get("result")
    if result is None:
        raise http.Malformed(400, "a last line without a result")
    try:
        return result.encode() if isinstance(result, str) else orjson.dumps(result)
    except (TypeError, UnicodeEncodeError) as problem:
        raise http.Malformed(400, f"a result that cannot be written: {problem}") from problem


def _read_load(text: bytes | None) -> Json:
    """A load report, not checked yet; None if there is none."""
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
    ) -> None:
        self.dispatcher = dispatcher
        self.pool = ConnectionPool(dispatcher, budget, buffers, connect_timeout_s, idle_timeout_s, events)
        self.attempts: dict[tuple[PendingRequest, int], AttemptCall] = {}  # without an outcome, by number
        self.health_checks: dict[Endpoint, asyncio.Task[None]] = {}

    def close_idle(self, endpoint: Endpoint) -> None:
        """Closes the connections to an executor that carry no call."""
        self.pool.close_idle(endpoint)

    def sweep(self) -> None:
        """Closes connections that have been idle for too long, or whose responses do not end."""
        self.pool.close_expired()
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
        make_message: Callable[[], bytes],
        is_non_idempotent: bool = False,
    ) -> None:
        """Starts an attempt; `make_message()` gives its bytes when they are to be written."""
        call = AttemptCall(self, pending, number, request_id)
        call.sending = asyncio.get_running_loop().create_task(
            self._send(call, endpoint, make_message, is_non_idempotent)
        )
        self.attempts[pending, number] = call

    async def _send(
        self,
        call: AttemptCall,
        endpoint: Endpoint,
        make_message: Callable[[], bytes],
        is_non_idempotent: bool,
    ) -> None:
        connection = self.pool.take(endpoint, is_non_idempotent)
        new_connections = 0
        while not call.has_ended:
            try:
                if connection is None:
                    new_connections += 1
                    connection = await self.pool.connect(endpoint)
                await self._write(call, connection, make_message)
                return
            except DescriptorShortage:
                log_external("no descriptor is left for an executor: an assignment is not sent")
                call.end(Outcome.NOT_SENT)
            except OSError as problem:
                # The next kept connection may be as dead as this one: a new one proves more, and a second
                # new one that the first did not break by chance.
                if new_connections >= MAX_NEW_CONNECTIONS or isinstance(problem, TimeoutError):
                    call.end(Outcome.CONNECT_FAILED)
                if connection is not None:
                    connection.close(CloseReason.PEER_LEFT)
                connection = None

    async def _write(
        self, call: AttemptCall, connection: ExecutorConnection, make_message: Callable[[], bytes]
    ) -> None:
        if not self.dispatcher.report_sending(call.pending, call.number):
            self.pool.put_back(connection)
            call.end(Outcome.NOT_SENT)
            return
        check_invariant(connection.call is None, "a connection carries one thing at a time")
        connection.call = call
        call.connection = connection
        round_trip_s = self.pool.round_trips_s.get(connection.endpoint, MAX_ROUND_TRIP_S)
        hold_s = min(max(HOLD_ROUND_TRIPS * round_trip_s, MIN_HOLD_S), MAX_HOLD_S)
        began_at = monotonic()

        def commit() -> bool:
            write_s = monotonic() - began_at
            return write_s < MAX_WRITE_S and self.dispatcher.report_committing(call.pending, call.number)

        if not await connection.write(make_message(), hold_s, commit):
            call.end(Outcome.NOT_SENT)
            connection.close(CloseReason.NOT_SENT)

    def cancel_attempt(self, pending: PendingRequest, number: int) -> None:
        """Cancels an attempt, whose outcome is known; its executor learns of it by the connection's end."""
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
        """Starts a health check, unless one is in flight: it may wait at the executor like a request."""
        if endpoint not in self.health_checks:
            task = asyncio.get_running_loop().create_task(self._check_health(endpoint, timeout_s))
            self.health_checks[endpoint] = task
            task.add_done_callback(lambda _: self.health_checks.pop(endpoint, None))

    async def _check_health(self, endpoint: Endpoint, timeout_s: float) -> None:
        connection = self.pool.take(endpoint)
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
            # A machine that is cut off leaves all its connections silent. What is written to one of them may
            # count as having run, while a new one that does not come up proves that nothing ran.
            self.pool.close_idle(endpoint)
        except OSError:
            call.lose_connection()
            connection.close(CloseReason.PEER_LEFT)

    # -- hot restart -------------------------------------------------------------------------------------

    def hand_over_idle(self, send: Callable[[str, float, float | None, socket.socket], None]) -> None:
        """Gives all idle connections to another process: `send(executor, idle_since, round_trip_s, sock)`."""
        self.pool.hand_over_idle(send)

    def adopt_idle(
        self, endpoint: Endpoint, sock: socket.socket, idle_since: float, round_trip_s: float | None
    ) -> None:
        """Takes an idle connection of another process; raises OSError if it has ended."""
        self.pool.adopt_idle(endpoint, sock, idle_since, round_trip_s)

    def transferable_connection(self, pending: PendingRequest, number: int) -> ExecutorConnection | None:
        """The connection of an attempt that another process can continue: its message is written."""
        call = self.attempts.get((pending, number))
        connection = call.connection if call is not None else None
        if connection is None or connection.call is not call or not connection.is_open:
            return None
        return connection if connection.can_be_transferred() else None

    def release_attempt(self, pending: PendingRequest, number: int) -> None:
        """Another process has the attempt, with a descriptor of its own: ours is closed, nothing reported."""
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
        """Continues an attempt that another process sent, after what has come of its response."""
        endpoint = cast(Endpoint, pending.request.attempts[number].executor.ref)
        call = AttemptCall(self, pending, number, request_id)
        connection = self.pool.adopt(endpoint, sock)
        connection.call = call
        call.connection = connection
        self.attempts[pending, number] = call
        try:
            connection.address = sock.getpeername()[:2]
        except OSError:
            pass  # it has broken on the way: its reader sees that
        if response_bytes:
            connection.receive(memoryview(response_bytes))
