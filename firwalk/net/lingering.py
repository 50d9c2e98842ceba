"""The end of a client's connection, so that the client can read the last response.

Closing a socket with unread bytes resets the connection, and a response that is still on its way is lost.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from time import monotonic

from firwalk.net.socket_io import has_hung_up

LINGER_S = 1.0  # a client has this long to read the last response before its connection closes
INTERVAL_S = 0.02  # a pause between two looks at the socket; doubled after each read that discards bytes
DISCARDED_BYTES_PER_READ = 65536


async def write_and_discard(
    sock: socket.socket, response: bytes, linger_s: float, on_written: Callable[[], None]
) -> None:
    """Write the last response, then discard what the client sends until it hangs up or the time is over."""
    try:
        async with asyncio.timeout(linger_s):
            await asyncio.get_running_loop().sock_sendall(sock, response)
            sock.shutdown(socket.SHUT_WR)
            on_written()
            await _discard_received(sock)
    except (OSError, TimeoutError):
        pass


async def _discard_received(sock: socket.socket) -> None:
    """Discard received bytes until the client closes the connection. Raises OSError if it is reset."""
    interval_s = INTERVAL_S
    while True:
        await asyncio.sleep(interval_s)
        interval_s *= 2
        try:
            # The kernel copies nothing (tcp(7), MSG_TRUNC).
            if not sock.recv(DISCARDED_BYTES_PER_READ, socket.MSG_TRUNC | socket.MSG_DONTWAIT):
                return
        except BlockingIOError:
            pass


async def wait_for_hang_up(sock: socket.socket) -> None:
    """Shut the sending side down and give the client time to read its response, without reading from it."""
    try:
        sock.shutdown(socket.SHUT_WR)
        end = monotonic() + LINGER_S
        while monotonic() < end and not has_hung_up(sock):
            await asyncio.sleep(INTERVAL_S)
    except OSError:
        pass
