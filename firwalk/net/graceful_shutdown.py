"""Graceful shutdown: serve, drain, answer every accepted request, and exit before the earliest SIGKILL.

The times are those of `firwalk.stop_plan`. Client connections are closed only between requests. The listener
stays open while requests are unanswered, as the process must answer the connections that the kernel accepts.
"""

from __future__ import annotations

import asyncio
import math
import socket
from contextlib import suppress
from time import monotonic
from typing import TYPE_CHECKING, Protocol

from firwalk.net.errors import is_connection_error
from firwalk.net.filters import SO_ATTACH_FILTER, always_return
from firwalk.observability.events import Event, ProcessState
from firwalk.observability.log import log_internal
from firwalk.stop_plan import NEW_CONNECTION_PERIOD_S, Deadlines, StopPlan

if TYPE_CHECKING:
    from collections.abc import Callable

    from firwalk.dispatcher.dispatcher import Dispatcher
    from firwalk.net.clients import Clients
    from firwalk.net.hot_restart import HotRestart
    from firwalk.net.single_process import SingleProcess

POLL_INTERVAL_S = 0.01
# No further connection is expected once none has arrived for this long.
QUIET_PERIOD_S = 0.1


class StoppableService(Protocol):
    """The attributes of a service that its shutdown uses."""

    clock: Callable[[], float]
    dispatcher: Dispatcher
    clients: Clients
    hot_restart: HotRestart | SingleProcess
    listener: socket.socket
    accepting: asyncio.Task[None] | None


class GracefulShutdown:
    """The shutdown of one process, from SIGTERM to its exit."""

    def __init__(self, service: StoppableService, deadlines: Deadlines) -> None:
        self.service = service
        self.deadlines = deadlines
        self.requested = asyncio.Event()
        self.requested_at = math.inf  # when SIGTERM was sent
        self.plan = StopPlan.of(deadlines.current)
        self.state = ProcessState.SERVING

    # -- request ------------------------------------------------------------------------------------------

    def request(self) -> None:
        """Begin the shutdown on SIGTERM; further calls have no effect.

        The plan counts from when the signal was sent: a suspended process handles it late.
        """
        if self.is_requested():
            return
        service = self.service
        now = monotonic()
        self.requested_at = service.clients.stalls.running_until(now)
        self.plan = StopPlan.of(self.deadlines.shortest_recent(now))
        service.clients.is_shutting_down = service.hot_restart.successor is None
        self.requested.set()

    def is_requested(self) -> bool:
        """Return whether the shutdown has been requested."""
        return self.requested_at < math.inf

    def update_deadline(self, longest_s: float) -> None:
        """Apply the longest deadline of a new configuration.

        A shorter one may bring the kill forward; a longer one does not postpone it.
        """
        now = monotonic()
        self.deadlines.replace(longest_s, now)
        if self.is_requested():
            plan = StopPlan.of(self.deadlines.shortest_recent(now))
            if plan.kill_at < self.plan.kill_at:
                self.plan = plan
                self._limit_requests()

    def _limit_requests(self) -> None:
        """Limit the deadlines of all requests to the time by which they must be answered."""
        service = self.service
        service.dispatcher.set_shutdown_deadline(
            service.clock() + self.requested_at + self.plan.answer_by - monotonic()
        )

    # -- phases ---------------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Keep serving, then close connections; return when all requests are answered or no time is left."""
        self._set_state(ProcessState.STOPPING)
        self._limit_requests()
        while monotonic() < self.requested_at + self.plan.exit_by and not self._drain_step():
            await asyncio.sleep(POLL_INTERVAL_S)
        if not self.service.hot_restart.has_handed_over:
            self.accept_last()

    def _set_state(self, state: ProcessState) -> None:
        if state is not self.state:
            self.state = state
            self.service.dispatcher.events.record(Event.STATE, state)

    def _drain_step(self) -> bool:
        """Close the connections that are due; return whether the shutdown is complete.

        Connections are not closed all at once: another node may be stopping too, and a client could be left
        without any connection. After a handover, the successor has the clients, and the process exits as soon
        as it has no open work so that the successor no longer shares the node's limits.
        """
        service = self.service
        clients = service.clients
        now = monotonic()
        is_final = now >= self.requested_at + self.plan.answer_by
        is_quiet = now >= max(
            self.requested_at + NEW_CONNECTION_PERIOD_S, clients.accepted_at + QUIET_PERIOD_S
        )
        is_drain_due = now >= self.requested_at + self.plan.drain_from or is_quiet and not clients.open
        clients.is_draining |= is_drain_due and not service.hot_restart.has_handed_over or is_final
        if clients.is_draining:
            clients.end_overruns()
            self._set_state(ProcessState.FINAL if is_final else ProcessState.DRAINING)
            if (
                is_final
                or is_quiet
                and not clients.open
                or now >= self.requested_at + self.plan.close_idle_from
            ):
                clients.wind_down(is_final)
        if is_final and not service.hot_restart.has_handed_over:
            self.accept_last()
        has_open_work = clients.open or clients.tasks or service.hot_restart.is_sending()
        if has_open_work or service.hot_restart.has_handed_over:
            return not has_open_work
        return clients.is_draining and (is_quiet or is_final) and self.accept_last() and not clients.open

    def accept_last(self) -> bool:
        """Admit the connections in the listener's queue, and close the listener once the queue is empty.

        Returns False if no descriptor is free for a queued connection.
        """
        service = self.service
        clients = service.clients
        if service.listener.fileno() < 0:
            return True
        if service.accepting is not None:
            service.accepting.cancel()
        self._admit_waiting_connection()
        if not service.hot_restart.shares_listener():
            drop_incoming_packets(service.listener)
        while True:
            try:
                sock, _ = service.listener.accept()
            except BlockingIOError:
                service.listener.close()
                return True
            except OSError as problem:
                if is_connection_error(problem):
                    continue
                log_internal(f"no connection accepted during shutdown: {problem}")
                return False
            clients.admit(sock, spare=True)

    def _admit_waiting_connection(self) -> None:
        """Admit the connection that was accepted while no descriptor was free."""
        clients = self.service.clients
        sock = clients.unadmitted
        clients.unadmitted = None
        if sock is not None:
            clients.admit(sock, spare=True)


def drop_incoming_packets(listener: socket.socket) -> None:
    """Drop all packets for the listener, if the system allows a socket filter.

    Without the filter, a connection whose handshake completes between the last accept and the close is reset
    together with its request.
    """
    with suppress(OSError):
        always_return(listener, SO_ATTACH_FILTER, 0)
