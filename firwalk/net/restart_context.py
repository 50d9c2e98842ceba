"""State that both roles of a hot restart share: the service and the background tasks."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable, Coroutine
from typing import TYPE_CHECKING, Any, Protocol

from firwalk.net.control_channel import ControlChannel
from firwalk.net.restart_messages import MaintenanceCall, MaintenanceReply, Message, Reload

if TYPE_CHECKING:
    from firwalk.dispatcher.dispatcher import Dispatcher
    from firwalk.net.budget import Budget
    from firwalk.net.clients import Clients
    from firwalk.net.discovery import Discovery
    from firwalk.net.executors import Executors

# The successor gets one in this many of the node's descriptors until it takes over.
SUCCESSOR_DESCRIPTOR_DIVISOR = 4
MIN_SUCCESSOR_DESCRIPTORS = 36


class RestartableService(Protocol):
    """The attributes and methods of a service that a hot restart uses."""

    config: dict[str, Any]
    dispatcher: Dispatcher
    discovery: Discovery
    clients: Clients
    executors: Executors
    budget: Budget
    reload_config: Callable[[], None]
    files: int
    opened_at: float

    def shared(self) -> list[socket.socket]:
        """Return the sockets that both processes hold."""

    def limit(self, descriptors: int, memory_fraction: float) -> None:
        """Set the descriptor limit and the fraction of the node's memory of this process."""

    def stop_accepting(self) -> list[socket.socket]:
        """Stop accepting; return the connections that are accepted but not yet admitted."""

    def accept_again(self) -> None:
        """Accept connections again after the successor has exited."""

    def is_stopping(self) -> bool:
        """Return whether this process is shutting down."""


class RestartContext:
    """A service and the background tasks of its hot restart."""

    def __init__(self, service: RestartableService, update_limits: Callable[[], None]) -> None:
        self.service = service
        self.dispatcher = service.dispatcher
        self.update_limits = update_limits
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run the coroutine until it ends or the context is closed."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def successor_descriptors(self) -> int:
        """Return how many descriptors the successor may use from its start."""
        files = self.service.files
        return min(max(files // SUCCESSOR_DESCRIPTOR_DIVISOR, MIN_SUCCESSOR_DESCRIPTORS), files // 2)

    def set_maintenance(self, executor: str, detaches: bool, is_known: bool) -> bool:
        """Detach or attach an executor; return whether either process knows it."""
        apply = self.dispatcher.detach_executor if detaches else self.dispatcher.attach_executor
        return apply(executor, is_known)

    def handle_operator_message(self, channel: ControlChannel, message: Message | None) -> None:
        """Apply an operator's command that the other process passes on; ignore messages of other kinds."""
        match message:
            case Reload():
                self.service.reload_config()
            case MaintenanceCall():
                is_known = self.set_maintenance(message.executor, message.detaches, message.is_known)
                channel.send(MaintenanceReply(message.number, is_known).to_wire())
            case MaintenanceReply():
                channel.resolve(message.number, message.is_known)

    def close(self) -> None:
        """Cancel the background tasks."""
        for task in list(self._tasks):
            task.cancel()
