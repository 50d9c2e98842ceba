"""Pool of connections to executors: opens, reuses, closes and hands over connections."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable, Mapping
from time import monotonic

from firwalk.dispatcher.dispatcher import Dispatcher
from firwalk.dispatcher.endpoint import Endpoint
from firwalk.limits.fair_share import WorkAccount
from firwalk.net.address import new_socket
from firwalk.net.budget import Budget
from firwalk.net.buffers import Buffers
from firwalk.net.executor_connection import ConnectionOwner, ExecutorConnection
from firwalk.net.socket_io import connect
from firwalk.net.turns import Turns
from firwalk.observability.events import CloseReason, EventLog

DESCRIPTOR_POLL_INTERVAL_S = 0.01
MAX_ROUND_TRIP_S = 0.02  # longer and unknown round trips count as this
# Connections close here after this fraction of the executor's idle timeout, before it closes them.
IDLE_TIMEOUT_FRACTION = 0.8

# Dead connections of this period limit how long an idle one counts as reliable.
DEAD_CONNECTION_WINDOW_S = 30.0
MAX_DEAD_CONNECTIONS = 16
MIN_DEAD_CONNECTIONS = 2  # a single one may have been caused by the end of its executor

EARLY_CLOSE_S = 1.0  # an executor that closes an idle connection sooner counts as closing early
# Health checks open no connection to an executor for this time after an early close.
EARLY_CLOSE_WINDOW_S = 10.0


class DescriptorShortage(Exception):
    """Raised if no descriptor becomes free within the connect timeout."""


class DeadConnection:
    """The end of a reused connection that brought no response to its call."""

    __slots__ = ("ended_at", "idle_s")

    def __init__(self, ended_at: float, idle_s: float) -> None:
        self.ended_at = ended_at
        self.idle_s = idle_s


class ConnectionPool(ConnectionOwner):
    """All connections to executors, with the idle ones by executor."""

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
        self.budget = budget
        self.buffers = buffers
        self.events = events or EventLog()
        self.memory = budget.memory
        self.turns = turns or Turns()
        self.accounts: dict[Endpoint, WorkAccount] = {}  # shared by the connections to an executor
        self.connect_timeout_s = connect_timeout_s
        self.idle_timeout_s = idle_timeout_s * IDLE_TIMEOUT_FRACTION
        self.connections: dict[ExecutorConnection, None] = {}
        self.idle: dict[Endpoint, list[ExecutorConnection]] = {}  # the most recently used one last
        self.round_trips_s: dict[Endpoint, float] = {}  # the shortest measured ones
        self.closed_early_at: dict[Endpoint, float] = {}  # when an executor last closed an idle one early
        self.dead_connections: deque[DeadConnection] = deque(maxlen=MAX_DEAD_CONNECTIONS)
        budget.evict_executor = self.evict_idle

    # -- taking and putting back -------------------------------------------------------------------------

    def take_idle(self, endpoint: Endpoint, is_non_idempotent: bool = False) -> ExecutorConnection | None:
        """Return the most recently used idle connection; None if there is none.

        Also return None for a non-idempotent request if that connection may be dead; it stays in the pool for
        requests that can be retried.
        """
        idle = self.idle.get(endpoint, [])
        now = monotonic()
        if is_non_idempotent and idle and now - idle[-1].idle_since >= self._max_reliable_idle_s():
            return None
        while idle:
            connection = idle.pop()
            connection.idle_s = now - connection.idle_since
            if connection.is_open and connection.is_alive() and connection.idle_s < self.idle_timeout_s:
                self.dispatcher.report_idle_connections(endpoint, len(idle))
                return connection
            connection.close(CloseReason.UNRELIABLE)
        self.dispatcher.report_idle_connections(endpoint, 0)
        return None

    def _max_reliable_idle_s(self) -> float:
        """Return how long an idle connection counts as reliable, from those recently found dead."""
        since = monotonic() - DEAD_CONNECTION_WINDOW_S
        idle_times = [dead.idle_s for dead in self.dead_connections if dead.ended_at > since]
        return min(idle_times) if len(idle_times) >= MIN_DEAD_CONNECTIONS else self.idle_timeout_s

    def put_back(self, connection: ExecutorConnection) -> None:
        """Keep a connection for the next call, unless its executor has moved or is detached."""
        endpoint = connection.endpoint
        if (
            not connection.is_open
            or connection.address != endpoint.address
            or not self.dispatcher.should_keep_connections(endpoint)
        ):
            connection.close(CloseReason.EXECUTOR_GONE)  # another executor may be at its old address
            return
        connection.idle_since = monotonic()
        self.idle.setdefault(endpoint, []).append(connection)
        self.dispatcher.report_idle_connections(endpoint, len(self.idle[endpoint]))

    # -- opening -----------------------------------------------------------------------------------------

    async def connect(self, endpoint: Endpoint) -> ExecutorConnection:
        """Open a connection, or take one that becomes idle while no descriptor is free.

        Raise OSError, TimeoutError or DescriptorShortage.
        """
        return await self._wait_for_descriptor(endpoint) or await self.open(endpoint)

    async def _wait_for_descriptor(self, endpoint: Endpoint) -> ExecutorConnection | None:
        """Reserve a descriptor, or return a connection that has become idle meanwhile.

        Without the wait, a request would use up all its attempts at once during a shortage.
        """
        end = monotonic() + self.connect_timeout_s
        while not self.budget.open_executor():
            if monotonic() > end:
                raise DescriptorShortage
            await asyncio.sleep(DESCRIPTOR_POLL_INTERVAL_S)
            connection = self.take_idle(endpoint)
            if connection is not None:
                return connection
        return None

    def reserve_for_health_check(self, endpoint: Endpoint) -> bool:
        """Reserve a descriptor, if a connection may be opened just for a health check."""
        closed_early_at = self.closed_early_at.get(endpoint, 0.0)
        if closed_early_at > monotonic() - EARLY_CLOSE_WINDOW_S:
            return False
        return self.budget.open_executor(is_health_check=True)

    async def open(self, endpoint: Endpoint) -> ExecutorConnection:
        """Open a connection on a reserved descriptor. Raise OSError or TimeoutError."""
        sock = None
        began_at = monotonic()
        try:
            sock = new_socket(endpoint.address)
            async with asyncio.timeout(self.connect_timeout_s):
                await connect(sock, endpoint.address)
        except BaseException:
            if sock is not None:
                sock.close()
            self.budget.close_executor()
            raise
        self.record_round_trip(endpoint, monotonic() - began_at)
        return self._add(endpoint, sock)

    def account_of(self, endpoint: Endpoint) -> WorkAccount:
        """Return the account of the processor time that an executor's responses have caused."""
        account = self.accounts.get(endpoint)
        if account is None:
            account = self.accounts[endpoint] = self.turns.new_account()
        return account

    def _add(self, endpoint: Endpoint, sock: socket.socket) -> ExecutorConnection:
        connection = ExecutorConnection(self, endpoint, sock)
        self.connections[connection] = None
        return connection

    # -- reports of connections -------------------------------------------------------------------------

    def record_round_trip(self, endpoint: Endpoint, round_trip_s: float) -> None:
        """Update the shortest round trip to an executor."""
        self.round_trips_s[endpoint] = min(round_trip_s, self.round_trips_s.get(endpoint, MAX_ROUND_TRIP_S))

    def record_unanswered(self, connection: ExecutorConnection) -> None:
        """Record how long the connection had been idle, if it was a reused one."""
        if connection.idle_s:
            self.dead_connections.append(DeadConnection(monotonic(), connection.idle_s))

    def remove(self, connection: ExecutorConnection, was_closed_by_peer: bool) -> None:
        """Remove a connection that has ended."""
        self.budget.close_executor()
        del self.connections[connection]
        endpoint = connection.endpoint
        idle = self.idle.get(endpoint, [])
        if connection in idle:
            idle.remove(connection)
            self.dispatcher.report_idle_connections(endpoint, len(idle))
            if was_closed_by_peer and monotonic() - connection.idle_since < EARLY_CLOSE_S:
                self.closed_early_at[endpoint] = monotonic()

    # -- closing idle connections ------------------------------------------------------------------------

    def close_idle(self, endpoint: Endpoint) -> None:
        """Close the idle connections to an executor."""
        for connection in self.idle.pop(endpoint, []):
            connection.close(CloseReason.EXECUTOR_GONE)
        self.dispatcher.report_idle_connections(endpoint, 0)

    def evict_idle(self) -> bool:
        """Close the connection that has been idle longest; return False if none is idle."""
        longest_idle = [idle[0] for idle in self.idle.values() if idle]
        if not longest_idle:
            return False
        oldest = min(longest_idle, key=lambda connection: connection.idle_since)
        self.idle[oldest.endpoint].remove(oldest)
        oldest.close(CloseReason.EVICTED)
        return True

    def close_expired(self) -> None:
        """Close connections that their executors would soon close, which could interrupt a request."""
        expired = monotonic() - self.idle_timeout_s
        for idle in self.idle.values():
            while idle and idle[0].idle_since < expired:
                idle.pop(0).close(CloseReason.IDLE)

    def forget_removed(self) -> None:
        """Drop what is kept of executors that the dispatcher has forgotten."""
        known = self.dispatcher.executors
        sizes = (len(self.idle), len(self.round_trips_s), len(self.closed_early_at), len(self.accounts))
        if max(sizes) <= len(known):
            return
        self.accounts = {
            endpoint: account for endpoint, account in self.accounts.items() if endpoint.name in known
        }
        self.idle = {endpoint: idle for endpoint, idle in self.idle.items() if idle}
        self.round_trips_s = _select_known(self.round_trips_s, known)
        self.closed_early_at = _select_known(self.closed_early_at, known)

    # -- hot restart -------------------------------------------------------------------------------------

    def hand_over_idle(self, send: Callable[[str, float, float | None, socket.socket], None]) -> None:
        """Hand all idle connections over to another process of this node.

        Calls `send(executor, idle_since, round_trip_s, sock)` for each, once its reader has ended. If an
        executor closes one meanwhile, the other process detects that as this one would.
        """
        for endpoint, idle in self.idle.items():
            for connection in idle:
                connection.on_socket_released = _bind_idle_handover(
                    send, endpoint.name, connection.idle_since, self.round_trips_s.get(endpoint)
                )
                connection.close(CloseReason.HANDED_OVER)
            self.dispatcher.report_idle_connections(endpoint, 0)
        self.idle.clear()

    def adopt(self, endpoint: Endpoint, sock: socket.socket) -> ExecutorConnection:
        """Add a connection handed over by another process of this node, which counted it until now."""
        sock.setblocking(False)
        self.budget.adopt_executor()
        return self._add(endpoint, sock)

    def adopt_idle(
        self, endpoint: Endpoint, sock: socket.socket, idle_since: float, round_trip_s: float | None
    ) -> None:
        """Add an idle connection handed over by another process. Raise OSError if it has ended."""
        connection = self.adopt(endpoint, sock)
        connection.address = sock.getpeername()[:2]  # the executor may have moved since
        if round_trip_s is not None:
            self.record_round_trip(endpoint, round_trip_s)
        self.put_back(connection)
        connection.idle_since = min(idle_since, connection.idle_since)


def _select_known(times: dict[Endpoint, float], known: Mapping[str, object]) -> dict[Endpoint, float]:
    return {endpoint: time_s for endpoint, time_s in times.items() if endpoint.name in known}


def _bind_idle_handover(
    send: Callable[[str, float, float | None, socket.socket], None],
    executor: str,
    idle_since: float,
    round_trip_s: float | None,
) -> Callable[[socket.socket], None]:
    return lambda sock: send(executor, idle_since, round_trip_s, sock)
