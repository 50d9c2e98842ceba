"""Awaitable operations on sockets that lose nothing when they are cancelled, on the event loop's thread."""

from __future__ import annotations

import asyncio
import errno
import os
import select
import socket


async def wait_readable(sock: socket.socket) -> None:
    """Waits until the socket can be read, and takes nothing from it.

    The loop's `sock_recv` and `sock_accept` take what has come before the waiting task runs again: cancelled
    in between, it would lose bytes or a whole connection.
    """
    loop = asyncio.get_running_loop()
    ready = loop.create_future()
    loop.add_reader(sock, _set_ready, ready)
    try:
        await ready
    finally:
        loop.remove_reader(sock)


async def receive_into(sock: socket.socket, buffer: bytearray) -> int:
    """Waits for bytes, and takes them in one step; 0 at the end of the stream. Raises OSError."""
    while True:
        await wait_readable(sock)
        try:
            return sock.recv_into(buffer)
        except BlockingIOError:
            pass


async def connect(sock: socket.socket, address: tuple[str, int]) -> None:
    """Connects to a numeric address. Raises OSError.

    The loop's `sock_connect` resolves even numeric addresses, on threads of its own: one that is not done
    when the loop is closed fails there, after whoever waited is gone.
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
    """Whether the peer has closed or reset the connection, also where earlier bytes are still unread."""
    try:
        poll = select.poll()
        poll.register(sock, select.POLLRDHUP)
        return bool(poll.poll(0))
    except (OSError, ValueError):  # ours is closed already
        return True


def _set_ready(ready: asyncio.Future[None]) -> None:
    if not ready.done():
        ready.set_result(None)
