"""Hot restart: a new process of a node replaces the running one while both serve.

A process may have both roles in turn: `firwalk.net.restart_successor` when it starts, and
`firwalk.net.restart_predecessor` when its own successor connects.
"""

from __future__ import annotations

import asyncio
import socket
from time import monotonic

from firwalk.net.control_channel import ControlChannel, RendezvousSocket
from firwalk.net.restart_context import RestartableService, RestartContext
from firwalk.net.restart_messages import MaintenanceCall, Reload
from firwalk.net.restart_predecessor import PredecessorRole
from firwalk.net.restart_successor import SuccessorRole

LIST_POLL_INTERVAL_S = 0.01
# Each process may use this fraction of the node's memory while there are two.
SHARED_MEMORY_FRACTION = 0.5


class HotRestart:
    """Both roles of one process in hot restarts.

    The processes of a node find each other through a socket in `folder`; without a folder, this process has
    neither a predecessor nor a successor.
    """

    def __init__(self, service: RestartableService, folder: str | None = None) -> None:
        self.service = service
        self.dispatcher = service.dispatcher
        self.context = RestartContext(service, self._update_limits)
        self.as_successor = SuccessorRole(self.context)
        self.as_predecessor = PredecessorRole(self.context, lambda: self.predecessor is not None)
        self.rendezvous = self._new_rendezvous(folder) if folder is not None else None
        self.as_predecessor.rendezvous = self.rendezvous

    def _new_rendezvous(self, folder: str) -> RendezvousSocket:
        config = self.service.config
        return RendezvousSocket(folder, str(config.get("name", "")), config["listen"], self._accept_channel)

    def _accept_channel(self, channel: ControlChannel) -> None:
        self.context.spawn(self.as_predecessor.attend(channel))

    # -- state ---------------------------------------------------------------------------------------------

    @property
    def predecessor(self) -> ControlChannel | None:
        """Return the channel to the predecessor, None without one."""
        return self.as_successor.channel

    @property
    def successor(self) -> ControlChannel | None:
        """Return the channel to the successor, None without one."""
        return self.as_predecessor.channel

    @property
    def has_handed_over(self) -> bool:
        """Return whether the successor accepts connections in place of this process."""
        return self.as_predecessor.has_handed_over

    @property
    def is_predecessor_hung(self) -> bool:
        """Return whether there is a predecessor that does not hand over."""
        return self.as_successor.is_predecessor_hung

    def shares_listener(self) -> bool:
        """Return whether another process holds the listener, and may accept after this one exits."""
        return self.successor is not None or self.predecessor is not None

    def is_sending(self) -> bool:
        """Return whether messages to the successor are still unsent."""
        return self.as_predecessor.is_sending()

    # -- steps ---------------------------------------------------------------------------------------------

    async def join(self) -> list[socket.socket]:
        """Return the listener and the peers' socket of the predecessor; nothing without a predecessor."""
        if self.rendezvous is None:
            return []
        return await self.as_successor.join(self.rendezvous)

    async def take_over(self) -> None:
        """Take over; the predecessor has stopped accepting when this returns."""
        await self.as_successor.take_over()

    def listen(self) -> None:
        """Listen for a successor."""
        if self.rendezvous is not None:
            self.rendezvous.listen()

    async def wait_for_endpoint_list(self, timeout_s: float, stop_requested: asyncio.Event) -> None:
        """Wait for an endpoint list that is received after the start, until the timeout or a stop."""
        give_up_at = monotonic() + timeout_s
        while (
            monotonic() < give_up_at
            and self.dispatcher.list_received_at <= self.service.opened_at
            and not stop_requested.is_set()
        ):
            await asyncio.sleep(LIST_POLL_INTERVAL_S)

    def close(self) -> None:
        """End both roles; after a handover, the path of the rendezvous socket is the successor's."""
        self.as_predecessor.close()
        if self.rendezvous is not None:
            self.rendezvous.close(unlink=not self.has_handed_over)
        self.context.close()

    # -- coordination of both processes --------------------------------------------------------------------

    def _update_limits(self) -> None:
        """Split the node's limits between its processes."""
        files = self.service.files
        successor_descriptors = self.context.successor_descriptors()
        if self.predecessor is not None:
            predecessor_descriptors = self.as_successor.predecessor_descriptors
            own_descriptors = (
                successor_descriptors
                if predecessor_descriptors is None
                else max(files - predecessor_descriptors, successor_descriptors)
            )
            self.service.limit(own_descriptors, SHARED_MEMORY_FRACTION)
        elif self.successor is not None:
            self.service.limit(files - successor_descriptors, SHARED_MEMORY_FRACTION)
        else:
            self.service.limit(files, 1.0)

    def pass_on_reload(self) -> None:
        """Tell the other process to read the configuration again."""
        channel = self.predecessor or self.successor
        if channel is not None:
            channel.send(Reload().to_wire())

    async def propagate_maintenance(self, executor: str, detaches: bool, is_known: bool) -> bool:
        """Store an operator's detach or attach, and pass it to the other process.

        Returns whether either process knows the executor, as a list may have reached only one of them.
        """
        if self.rendezvous is not None:
            self.rendezvous.save_state(self.dispatcher.maintenance.state())
        channel = self.predecessor or self.successor
        if channel is None:
            return is_known
        is_known_there = await channel.request(MaintenanceCall(executor, detaches, is_known).to_wire())
        if is_known_there and not is_known:
            self.context.set_maintenance(executor, detaches, True)
        return is_known or is_known_there
