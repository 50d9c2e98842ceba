"""Replacement for `firwalk.net.hot_restart` in a node that does not support hot restarts."""

from __future__ import annotations

import asyncio
import socket


class SingleProcess:
    """Null implementation of `firwalk.net.hot_restart.HotRestart`, without predecessor or successor.

    It has the methods that a service and its shutdown use.
    """

    predecessor = None
    successor = None
    has_handed_over = False
    is_predecessor_hung = False

    def shares_listener(self) -> bool:
        """Return False: no other process holds the listener."""
        return False

    def is_sending(self) -> bool:
        """Return False: there is no successor to send to."""
        return False

    async def join(self) -> list[socket.socket]:
        """Return no sockets: there is no predecessor to share them."""
        return []

    async def take_over(self) -> None:
        """Do nothing: there is no predecessor to take over from."""

    async def wait_for_endpoint_list(self, timeout_s: float, stop_requested: asyncio.Event) -> None:
        """Do nothing: only a successor waits, while its predecessor still serves."""

    def listen(self) -> None:
        """Do nothing: no successor can connect to this process."""

    def pass_on_reload(self) -> None:
        """Do nothing: there is no other process to tell."""

    async def propagate_maintenance(self, executor: str, detaches: bool, is_known: bool) -> bool:
        """Return whether this process knows the executor."""
        return is_known

    def close(self) -> None:
        """Do nothing: there is nothing to close."""
