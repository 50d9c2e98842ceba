"""Waiting until a socket can be read, taking nothing from it: a wait that is cancelled loses nothing. Waiting
until it is connected, on this thread alone."""

from __future__ import annotations

import asyncio
import errno
import os
import select
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


async def connected(sock: socket.socket, address: tuple[str, int]) -> None:
    """Connects to an address in numbers. OSError. The loop's `sock_connect` looks even numbers up, on threads
    of its own: one that is not done when the loop is closed ends in an error there, whoever waited."""
    problem = sock.connect_ex(address)
    if problem == errno.EINPROGRESS:
        loop = asyncio.get_running_loop()
        ready = loop.create_future()
        loop.add_writer(sock, _now, ready)
        try:
            await ready
        finally:
            loop.remove_writer(sock)
        problem = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    if problem:
        raise OSError(problem, os.strerror(problem))


def hung_up(sock: socket.socket) -> bool:
    """Whether the other side has closed or reset it, also where bytes that came before that are unread."""
    try:
        poll = select.poll()
        poll.register(sock, select.POLLRDHUP)
        return bool(poll.poll(0))
    except (OSError, ValueError):  # ours is closed already
        return True


def _now(ready: asyncio.Future) -> None:
    if not ready.done():
        ready.set_result(None)
