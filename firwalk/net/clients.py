"""The set of all client connections: admission, eviction, timeouts, hand-over and shutdown."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress
from functools import partial
from itertools import islice
from time import monotonic
from typing import TYPE_CHECKING, Any

from firwalk.net import http
from firwalk.net.client_connection import ClientConnection, ClientRequest
from firwalk.net.client_requests import RequestHandler
from firwalk.net.errors import Backoff, is_connection_error
from firwalk.net.lingering import LINGER_S, write_and_discard
from firwalk.net.socket_io import wait_readable
from firwalk.net.stalls import StallDetector
from firwalk.net.turns import Turns
from firwalk.observability.events import CloseReason, Event, EventLog, FailureReason
from firwalk.observability.log import log_external
from firwalk.observability.monitor import Monitor, Rule

if TYPE_CHECKING:
    from firwalk.dispatcher.dispatcher import Dispatcher, PendingRequest
    from firwalk.net.budget import Budget
    from firwalk.net.buffers import Buffers
    from firwalk.net.executors import Executors

READ_TIMEOUT_S = 2.0  # a message must be complete within this time; for the first, it starts with the connect
IDLE_TIMEOUT_S = 120.0  # a connection that has sent a request may be idle for this long
SWEEP_INTERVAL_S = 0.25
DRAINING_SILENCE_S = 0.5  # a draining node closes a new connection after this time without bytes
FINAL_SILENCE_S = 0.1  # the final phase of a shutdown, when all responses are due, uses this instead
ACCEPT_BATCH = 16  # the event loop runs other tasks after this many admissions
DESCRIPTOR_INTERVAL_S = 0.01  # admission without a free descriptor is tried again after this time
# An eviction checks this many connections per group, since checking all takes too long.
MAX_EVICTION_CANDIDATES = 64


class Clients:
    """All connections of clients, grouped and ordered for eviction."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        executors: Executors,
        budget: Budget,
        buffers: Buffers,
        monitor: Monitor | None = None,
        turns: Turns | None = None,
    ) -> None:
        self.monitor = monitor or Monitor(EventLog(), monotonic)
        self.dispatcher = dispatcher
        self.budget = budget
        self.buffers = buffers
        self.requests = RequestHandler(self, dispatcher, executors, self.monitor)
        self.open: dict[ClientConnection, None] = {}
        # Groups in the order of eviction; within each, the most recently active connection is last.
        self.closing: dict[ClientConnection, None] = {}  # rejected or closing
        self.without_request: dict[ClientConnection, None] = {}
        self.idle: dict[ClientConnection, None] = {}
        self.tasks: dict[asyncio.Task[None], None] = {}
        self.is_shutting_down = False  # health checks are answered 503
        self.is_draining = False  # connections are closed after their responses
        self.malformed = 0
        # Hands a connection over to another process of this node, if there is one. Arguments: whether the
        # client has sent a request, and the socket.
        self.hand_over_client: Callable[[bool, socket.socket], None] | None = None
        # Asks the successor in a hot restart whether an id may be used; None without a successor.
        self.claim_request_id: Callable[[bytes], Awaitable[bool]] | None = None
        self.accepted_at = monotonic()
        self.stalls = StallDetector()
        self.turns = turns or Turns()
        self.unadmitted: socket.socket | None = None  # accepted, but waiting for a free descriptor
        budget.evict_client = self.evict

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run the coroutine in a task, and keep a reference: the event loop holds tasks only weakly."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks[task] = None
        task.add_done_callback(self._discard_task)

    def _discard_task(self, task: asyncio.Task[None]) -> None:
        self.tasks.pop(task, None)

    # -- admission -----------------------------------------------------------------------------------------

    async def accept(self, listener: socket.socket) -> None:
        """Accept and admit connections until cancelled."""
        backoff = Backoff()
        while True:
            await wait_readable(listener)
            for _ in range(ACCEPT_BATCH):
                try:
                    sock, _ = listener.accept()
                except BlockingIOError:  # none left, or accepted by another process of this node
                    break
                except OSError as error:
                    log_external(f"no connection accepted: {error}")
                    if is_connection_error(error):
                        continue
                    await asyncio.sleep(backoff.next_delay_s())
                    break
                backoff.reset()
                await self._admit_when_possible(sock)
            else:
                await asyncio.sleep(0)  # let the event loop run the admitted connections

    async def _admit_when_possible(self, sock: socket.socket) -> None:
        """Admit a connection, waiting for a descriptor: a close would lose what the client has sent."""
        self.unadmitted = sock
        accepted_at = monotonic()
        while not self.admit(sock, accepted_at):
            await asyncio.sleep(DESCRIPTOR_INTERVAL_S)
        self.unadmitted = None

    def admit(self, sock: socket.socket, accepted_at: float | None = None, spare: bool = False) -> bool:
        """Admit a connection, on a spare descriptor if needed; return False if none is available.

        `spare` admits it on a spare descriptor regardless of the limit, for a socket that is open already
        when there is no time left to wait for one.
        """
        if spare:
            self.budget.open_spare_unchecked()
        elif not self.budget.open_client():
            spare = True
            if not self.budget.open_spare():
                return False
        self.accepted_at = monotonic()
        sock.setblocking(False)
        with suppress(OSError):  # the client may have reset the connection
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.monitor.events.record(Event.CLIENT_CONNECTED, "spare" if spare else "")
        if accepted_at is None:
            accepted_at = self.accepted_at
        connection = ClientConnection(self, sock, spare, accepted_at)
        self.open[connection] = self.without_request[connection] = None
        return True

    def adopt(self, sock: socket.socket, has_sent_request: bool) -> ClientConnection:
        """Admit a connection that another process of this node handed over with its descriptor."""
        self.budget.adopt_client()
        sock.setblocking(False)
        connection = ClientConnection(self, sock, False, monotonic())
        connection.has_sent_request = connection.has_sent_message = has_sent_request
        self.open[connection] = None
        (self.idle if has_sent_request else self.without_request)[connection] = None
        return connection

    def resume(self, sock: socket.socket, pending: PendingRequest, request: ClientRequest) -> None:
        """Admit a connection that was handed over with a request in work, and continue the request."""
        connection = self.adopt(sock, True)
        connection.is_busy = True
        connection.pending = pending
        connection.last_request = request
        connection.last_request_id = request.request_id
        self.spawn(self.requests.resume(connection, pending, request))

    def fail_handed_over(self, sock: socket.socket, request_id: bytes) -> None:
        """Answer a request that was handed over and cannot be continued as failed, and end its connection."""
        status = http.INTERNAL_SERVER_ERROR
        self.monitor.events.record(
            Event.REQUEST_ANSWERED,
            FailureReason.INTERNAL_ERROR,
            request_id.decode("latin-1"),
            status=status,
        )
        self.spawn(self._write_last_response(sock, http.encode_response(status, keep_alive=False)))

    async def _write_last_response(self, sock: socket.socket, response: bytes) -> None:
        sock.setblocking(False)
        try:
            await write_and_discard(sock, response, LINGER_S, lambda: None)
        finally:
            sock.close()

    # -- eviction ---------------------------------------------------------------------------------

    def mark_closing(self, connection: ClientConnection) -> None:
        """Move a connection that is rejected or closing to the first group for eviction."""
        self.without_request.pop(connection, None)
        self.idle.pop(connection, None)
        self.closing[connection] = None

    def mark_idle(self, connection: ClientConnection) -> None:
        """Move a connection that has its response to the end of the idle group."""
        if connection.has_sent_request and connection not in self.closing:
            self.without_request.pop(connection, None)
            self.idle.pop(connection, None)
            self.idle[connection] = None

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection that has ended."""
        for group in (self.open, self.closing, self.without_request, self.idle):
            group.pop(connection, None)
        self.budget.close_client(connection.is_spare)

    def evict(self, spare: bool, is_for_attempt: bool = False) -> bool:
        """Close the first evictable connection in the order of the groups; return whether there was one.

        New connections are not evicted at first: their clients are about to send, and the request would be
        lost. A client's next request is as likely right after a response, so that only an attempt, not a new
        client, takes the place of a connection that has just become idle. While connections are handed over
        to another process, none is closed: the client would lose it needlessly.
        """
        if self.hand_over_client is not None:
            return False
        now = monotonic()
        for group in (self.closing, self.without_request, self.idle):
            for connection in islice(group, MAX_EVICTION_CANDIDATES):
                is_candidate = connection.is_spare == spare and not connection.is_closing
                if is_candidate and connection.is_evictable(now, is_for_attempt):
                    connection.close(CloseReason.EVICTED)
                    return True
        return False

    # -- hand-over, timeouts and shutdown ------------------------------------------------------------------

    def hand_over_if_idle(self, connection: ClientConnection) -> None:
        """Hand the connection over to the other process, if there is one, unless a message is in work."""
        if self.hand_over_client is not None and connection.is_between_messages():
            connection.hand_over(partial(self.hand_over_client, connection.has_sent_request))

    async def sweep(self) -> None:
        """End connections that are idle, silent or slow for too long, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            now = monotonic()
            for connection in list(self.open):
                self._check_timeouts(connection, now - connection.active_at)

    def _check_timeouts(self, connection: ClientConnection, inactive_s: float) -> None:
        is_ending = connection.is_closing or connection.rejection_status
        if connection.is_busy or is_ending or inactive_s < READ_TIMEOUT_S:
            return
        if connection.input.has_unparsed():  # the message waits for its turn, not for its client
            return
        if connection.parser.is_partial:
            connection.reject_malformed(http.REQUEST_TIMEOUT, "incomplete message timed out")
        elif (not connection.has_sent_request or inactive_s > IDLE_TIMEOUT_S) and connection.is_idle():
            connection.close(CloseReason.IDLE if connection.has_sent_request else CloseReason.SILENT)

    def wind_down(self, final: bool) -> None:
        """Close idle connections during a shutdown; new ones after a delay, since they are about to send.

        With `final`, the delay is short, and incomplete messages and those that are not begun are rejected
        with 503, which allows a retry.
        """
        silent_since = monotonic() - (FINAL_SILENCE_S if final else DRAINING_SILENCE_S)
        for connection in list(self.open):
            is_due = connection.has_sent_message or connection.active_at < silent_since
            if final and connection.is_lingering or is_due and connection.is_idle():
                connection.close(CloseReason.STOPPING)
            elif final and connection.has_unserved_input():
                connection.reject_unserved()
            elif final and connection.parser.is_partial:
                is_ending = connection.rejection_status or connection.is_closing
                if not connection.has_unanswered_message() and not is_ending:
                    connection.reject(http.SERVICE_UNAVAILABLE, CloseReason.STOPPING)

    def end_overruns(self) -> None:
        """Reject what is not begun of clients that do not stop sending, then end their connections.

        Called repeatedly during a shutdown, as there would be no time for all of them at its end.
        """
        for connection in list(self.open):
            is_ending = connection.rejection_status or connection.is_closing
            if is_ending or not connection.input.is_overrun:
                continue
            if connection.has_unanswered_message():
                connection.reject_unserved()
            elif connection.is_rejecting:
                connection.reject(http.SERVICE_UNAVAILABLE, CloseReason.STOPPING)

    # -- checks --------------------------------------------------------------------------------------------

    def check_closed(self, connection: ClientConnection) -> None:
        """Record the end of a connection, and a violation if this process ended it with a response due."""
        reason = connection.close_reason
        self.monitor.events.record(Event.CLIENT_CLOSED, reason)
        if reason is not CloseReason.PEER_LEFT and connection.has_unanswered_message():
            self.monitor.violation(Rule.ANSWERED, connection.request_id(), closed=reason)

    def check_stopped(self) -> None:
        """Record a violation for each response still due at the end of the process."""
        for connection in self.open:
            if connection.has_unanswered_message():
                self.monitor.violation(Rule.ANSWERED, connection.request_id(), closed="process ends")
