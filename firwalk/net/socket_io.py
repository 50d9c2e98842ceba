"""Awaitable socket operations that lose no data when they are cancelled, on the event loop's thread."""

from __future__ import annotations

import asyncio
import errno
import os
import select
import socket


async def wait_readable(sock: socket.socket) -> None:
    """Wait until the socket is readable, without reading from it.

    The loop's `sock_recv` and `sock_accept` read or accept before the waiting task runs again: a task that is
    cancelled in between would lose bytes or a whole connection.
    """
    loop = asyncio.get_running_loop()
    ready = loop.create_future()
    loop.add_reader(sock, _set_ready, ready)
    try:
        await ready
    finally:
        loop.remove_reader(sock)


async def connect(sock: socket.socket, address: tuple[str, int]) -> None:
    """Connect to a numeric address. Raises OSError.

    The loop's `sock_connect` resolves even numeric addresses on its own threads: a resolution that is still
    running when the loop is closed fails there, after its waiter is gone.
    """
    error_number = sock.connect_ex(address)
    if error_number == errno.EINPROGRESS:
        loop = asyncio.get_running_loop()
        ready = loop.create_future()
        loop.add_writer(sock, _set_ready, ready)
        try:
            await ready
        finally:
            loop.remove_writer(sock)
        error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if error_number:
        raise OSError(error_number, os.strerror(error_number))


def has_hung_up(sock: socket.socket) -> bool:
    """Return whether the peer has closed or reset the connection, even if earlier bytes are still unread."""
    try:
        poll = select.poll()
        poll.register(sock, select.POLLRDHUP)
        return bool(poll.poll(0))
    except (OSError, ValueError):  # the local socket is already closed
        return True


def _set_ready(ready: asyncio.Future[None]) -> None:
    if not ready.done():
        ready.set_result(None)
