"""Waiting until a socket can be read, taking nothing from it: a wait that is cancelled loses nothing."""
from __future__ import annotations

import asyncio
import socket


async def readable(sock: socket.socket) -> None:
    """`sock_recv` and `sock_accept` take what came before the task that waits is run again; cancelled in
    between, a task's bytes or a whole connection would be gone."""
    loop = asyncio.get_running_loop()
    ready = loop.create_future()
    loop.add_reader(sock, _now, ready)
    try:
        await ready
    finally:
        loop.remove_reader(sock)


async def received(sock: socket.socket, buffer: bytearray) -> int:
    """Waits for bytes and takes them in one step."""
    while True:
        await readable(sock)
        try:
            return sock.recv_into(buffer)
        except BlockingIOError:
            pass


def _now(ready: asyncio.Future) -> None:
    if not ready.done():
        ready.set_result(None)
