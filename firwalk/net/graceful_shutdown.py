"""The end of a process: it serves while it can, answers all it has taken, and is gone before it is killed.

The times are those of `firwalk.stop_plan`. Clients' connections are ended only between requests, and the
listener stays open as long as the process owes answers: what the machine accepts for it is its to answer.
"""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from time import monotonic
from typing import TYPE_CHECKING, Protocol

from firwalk.net.errors import concerns_connection
from firwalk.net.filters import SO_ATTACH_FILTER, always_return
from firwalk.observability.events import Event, ProcessState
from firwalk.observability.log import log_internal
from firwalk.stop_plan import NEW_CONNECTIONS_S, Deadlines, StopPlan

if TYPE_CHECKING:
    from collections.abc import Callable

    from firwalk.dispatcher.dispatcher import Dispatcher
    from firwalk.net.clients import Clients
    from firwalk.net.hot_restart import HotRestart

LOOK_S = 0.01  # between looks whether anything is still owed
QUIET_S = 0.1  # without a new connection after which none is expected any more


class Stoppable(Protocol):
    """What of a process its stop has to do with."""

    clock: Callable[[], float]
    dispatcher: Dispatcher
    clients: Clients
    succession: HotRestart
    listener: socket.socket
    accepting: asyncio.Task | None


class GracefulShutdown:
    """What one process does from the signal to its end."""

    def __init__(self, service: Stoppable, deadlines: Deadlines):
        self.service, self.deadlines = service, deadlines
        self.told_at: float | None = None
        self.told = asyncio.Event()
        self.plan = StopPlan.of(deadlines.current)
        self.state = ProcessState.SERVING

    # -- being told -----------------------------------------------------------------------------------------

    def request(self) -> None:
        """SIGTERM; a second one changes nothing. What counts is when it was sent: a process that stood still
        learns of it late."""
        if self.told_at is not None:
            return
        service, now = self.service, monotonic()
        self.told_at = service.clients.stalls.running_until(now)
        self.plan = StopPlan.of(self.deadlines.shortest(now))
        service.clients.ending = service.succession.after is None
        self.told.set()

    def deadline_changed(self, longest_s: float) -> None:
        """A new configuration has come: one with shorter deadlines may bring the kill forward, none puts it
        off."""
        now = monotonic()
        self.deadlines.change(longest_s, now)
        if self.told_at is not None:
            plan = StopPlan.of(self.deadlines.shortest(now))
            if plan.kill < self.plan.kill:
                self.plan = plan
                self._bound_requests()

    def _bound_requests(self) -> None:
        """Nothing lasts beyond the time by which all is answered."""
        service = self.service
        service.dispatcher.set_shutdown_deadline(
            service.clock() + self.told_at + self.plan.answered_by - monotonic()
        )

    # -- the way to the end ---------------------------------------------------------------------------------

    async def run(self) -> None:
        """Serves on, then ends what there is; returns when nothing is owed or no time is left."""
        self._enter(ProcessState.STOPPING)
        self._bound_requests()
        while monotonic() < self.told_at + self.plan.gone_by and not self._finished():
            await asyncio.sleep(LOOK_S)
        if not self.service.succession.handed:
            self.accept_last()

    def _enter(self, state: ProcessState) -> None:
        if state is not self.state:
            self.state = state
            self.service.dispatcher.events.record(Event.STATE, state)

    def _finished(self) -> bool:
        """Whether nothing is owed to anybody any more. Another node may be stopping too: a client whose
        connections all close at once would have nowhere to go. With another process of this node they are
        there, and the two need not share its limits any longer."""
        service, clients, now = self.service, self.service.clients, monotonic()
        final = now >= self.told_at + self.plan.answered_by
        quiet = now >= max(self.told_at + NEW_CONNECTIONS_S, clients.accepted_at + QUIET_S)
        closing = now >= self.told_at + self.plan.closing_from or quiet and not clients.open
        clients.stopping |= closing and not service.succession.handed or final
        if clients.stopping:
            self._enter(ProcessState.FINAL if final else ProcessState.DRAINING)
            if final or quiet and not clients.open or now >= self.told_at + self.plan.resting_until:
                clients.wind_down(final)
        if final and not service.succession.handed:
            self.accept_last()
        owed = clients.open or clients.works or service.succession.sending()
        if owed or service.succession.handed:
            return not owed
        return clients.stopping and (quiet or final) and self.accept_last() and not clients.open

    def accept_last(self) -> bool:
        """Lets in what the machine has accepted meanwhile, and closes the listener in the same step as it
        finds none there any more. False: no descriptor is free for one that waits."""
        service, clients = self.service, self.service.clients
        if service.listener.fileno() < 0:
            return True
        service.accepting.cancel()
        held, clients.held = clients.held, None
        if held is not None:
            clients.admit(held, spare=True)
        if not service.succession.shares_listener():
            refuse_new(service.listener)
        while True:
            try:
                sock, _ = service.listener.accept()
            except BlockingIOError:
                service.listener.close()
                return True
            except OSError as problem:
                if concerns_connection(problem):
                    continue
                log_internal(f"no connection accepted at the end: {problem}")
                return False
            clients.admit(sock, spare=True)


def refuse_new(listener: socket.socket) -> None:
    """The machine accepts nothing more for it. Without this, a connection whose handshake ends between the
    last accept and the close would be reset, with the request on it. Where the filter cannot be set, that
    moment stays."""
    with suppress(OSError):
        always_return(listener, SO_ATTACH_FILTER, 0)
