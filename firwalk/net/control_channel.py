"""Control channel between the two processes of one node during a hot restart.

A Unix socket in `$TMPDIR` carries one JSON object per line (`firwalk.net.restart_messages`). File descriptors
are sent as ancillary data of the line that states their count. `docs/in-service.md` gives the order of the
messages. This module transports messages only: `firwalk.net.restart_predecessor` and
`firwalk.net.restart_successor` act on them, and `firwalk.dispatcher.maintenance` keeps the executors in
maintenance.
"""

from __future__ import annotations

import asyncio
import errno
import os
import socket
import struct
from array import array
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any
from zlib import crc32

import orjson

from firwalk.dispatcher.request_handover import WireObject
from firwalk.net.errors import RESOURCE_ERRNOS, Backoff
from firwalk.net.restart_messages import PROTOCOL_VERSION
from firwalk.net.socket_io import wait_readable
from firwalk.observability.log import log_external

RETRY_INTERVAL_S = 0.1
REPLY_TIMEOUT_S = 0.5
READ_SIZE_BYTES = 65536
# The endpoint list of a large fleet fits in one line.
MAX_LINE_BYTES = 1 << 24
MAX_STATE_FILE_BYTES = 1 << 20
MAX_DESCRIPTORS_PER_LINE = 8
MAX_READS_IN_A_ROW = 32
LISTEN_BACKLOG = 8
INT_SIZE_BYTES = 4
# struct ucred consists of the pid, uid and gid.
CREDENTIALS_FORMAT = "3i"


class ChannelClosed(Exception):
    """The channel is closed, or the other process sent a line that cannot be decoded."""


class StateFileError(Exception):
    """The node's state file cannot be used."""


class OutgoingLine:
    """Bytes still to be sent, and the descriptors to send with the first of them."""

    __slots__ = ("data", "descriptors")

    def __init__(self, data: bytes, descriptors: list[socket.socket]) -> None:
        self.data = data
        self.descriptors = descriptors


class ControlChannel:
    """A connection between the two processes of a node."""

    def __init__(self, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.sock = sock
        self.is_open = True
        self.outgoing: deque[OutgoingLine] = deque()
        self._received = b""
        self._received_descriptors: deque[socket.socket] = deque()
        self._is_writer_registered = False
        self._last_request_number = 0
        self._replies: dict[object, asyncio.Future[bool]] = {}
        self._reads_in_a_row = 0

    def is_same_user(self) -> bool:
        """Return whether the other process runs as the same user."""
        size = struct.calcsize(CREDENTIALS_FORMAT)
        credentials = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, size)
        _, user_id, _ = struct.unpack(CREDENTIALS_FORMAT, credentials)
        return bool(user_id == os.getuid())

    # -- sending -------------------------------------------------------------------------------------------

    def send(self, wire: WireObject, *descriptors: socket.socket, give: bool = False) -> None:
        """Send a line with file descriptors.

        With `give`, this process's descriptors are closed once they are sent; otherwise duplicates are sent.
        Raises OSError, with nothing sent, if the descriptors cannot be duplicated.
        """
        wire["files"] = len(descriptors)
        data = orjson.dumps(wire) + b"\n"
        self.outgoing.append(OutgoingLine(data, list(descriptors) if give else _duplicate(descriptors)))
        self._write()

    def _write(self) -> None:
        loop = asyncio.get_running_loop()
        while self.is_open and self.outgoing:
            line = self.outgoing[0]
            try:
                count = self._send_now(line)
            except BlockingIOError:
                break
            except OSError as problem:
                if problem.errno == errno.ETOOMANYREFS:  # too many descriptors in flight
                    loop.call_later(RETRY_INTERVAL_S, self._write)
                    return
                self.is_open = False
                break
            self.outgoing.popleft()
            for descriptor in line.descriptors:
                descriptor.close()
            if count < len(line.data):
                self.outgoing.appendleft(OutgoingLine(line.data[count:], []))
        self._register_writer(loop)

    def _send_now(self, line: OutgoingLine) -> int:
        if not line.descriptors:
            return self.sock.sendmsg([line.data], [])
        numbers = array("i", [descriptor.fileno() for descriptor in line.descriptors])
        return self.sock.sendmsg([line.data], [(socket.SOL_SOCKET, socket.SCM_RIGHTS, numbers)])

    def _register_writer(self, loop: asyncio.AbstractEventLoop) -> None:
        is_needed = bool(self.is_open and self.outgoing)
        if is_needed == self._is_writer_registered:
            return
        self._is_writer_registered = is_needed
        if is_needed:
            loop.add_writer(self.sock, self._write)
        else:
            loop.remove_writer(self.sock)

    async def request(self, wire: WireObject) -> bool:
        """Send a numbered line and return the reply to it; False without a reply in time."""
        self._last_request_number += 1
        number = self._last_request_number
        reply: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._replies[number] = reply
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                self.send(wire | {"number": number})
                return await reply
        except TimeoutError:
            log_external("the other process of this node does not answer")
            return False
        finally:
            self._replies.pop(number, None)

    def resolve(self, number: object, reply: bool) -> None:
        """Pass a reply to the request that waits for it; a reply without a waiting request is dropped."""
        if number in self._replies:
            self._replies[number].set_result(reply)

    # -- receiving -----------------------------------------------------------------------------------------

    async def receive(self) -> tuple[WireObject, list[socket.socket]]:
        """Return the next line and its descriptors. Raises ChannelClosed.

        The kernel ends a read after a line with descriptors. Several reads are therefore made without waiting
        for the event loop: at one read per iteration, a busy process would receive requests after their
        deadlines.
        """
        if b"\n" not in self._received and self._reads_in_a_row >= MAX_READS_IN_A_ROW:
            await asyncio.sleep(0)
            self._reads_in_a_row = 0
        while b"\n" not in self._received:
            if not self._read():
                self._reads_in_a_row = 0
                await wait_readable(self.sock)
        line, _, self._received = self._received.partition(b"\n")
        return self._decode_line(line)

    def _read(self) -> bool:
        """Read once; return False if nothing is available. Raises ChannelClosed at the end of the stream."""
        try:
            data, ancillary, _, _ = self.sock.recvmsg(
                READ_SIZE_BYTES, socket.CMSG_SPACE(INT_SIZE_BYTES * MAX_DESCRIPTORS_PER_LINE)
            )
        except BlockingIOError:
            return False
        except OSError as problem:
            raise ChannelClosed(str(problem)) from problem
        self._reads_in_a_row += 1
        for _, kind, content in ancillary:
            if kind == socket.SCM_RIGHTS:
                numbers = array("i", content[: len(content) // INT_SIZE_BYTES * INT_SIZE_BYTES])
                self._received_descriptors.extend(_socket_from_descriptor(number) for number in numbers)
        if not data or len(self._received) > MAX_LINE_BYTES:
            raise ChannelClosed("end of stream, or a line over the limit")
        self._received += data
        return True

    def _decode_line(self, line: bytes) -> tuple[WireObject, list[socket.socket]]:
        try:
            wire = orjson.loads(line)
            count = int(wire.get("files", 0))
        except (orjson.JSONDecodeError, TypeError, ValueError, AttributeError) as problem:
            raise ChannelClosed(f"malformed line: {problem}") from problem
        if count > len(self._received_descriptors):
            raise ChannelClosed("fewer descriptors received than the line states")
        return wire, [self._received_descriptors.popleft() for _ in range(count)]

    def close(self) -> None:
        """Close the connection; requests that wait for a reply get a negative one."""
        self.is_open = False
        if self._is_writer_registered:
            asyncio.get_running_loop().remove_writer(self.sock)
        unsent = [descriptor for line in self.outgoing for descriptor in line.descriptors]
        for descriptor in [*self._received_descriptors, *unsent]:
            descriptor.close()
        self._received_descriptors.clear()
        self.outgoing.clear()
        for reply in self._replies.values():
            if not reply.done():
                reply.set_result(False)
        self.sock.close()


def _socket_from_descriptor(number: int) -> socket.socket:
    """Return a non-blocking socket object for a received descriptor.

    O_NONBLOCK is shared by all processes that hold the socket, but a new socket object defaults to blocking:
    duplicating it at the next restart would clear the flag, and block the event loops of all its holders.
    """
    sock = socket.socket(fileno=number)
    sock.setblocking(False)
    return sock


def _duplicate(descriptors: tuple[socket.socket, ...]) -> list[socket.socket]:
    duplicates: list[socket.socket] = []
    try:
        for descriptor in descriptors:
            duplicates.append(descriptor.dup())
    except OSError:
        for duplicate in duplicates:
            duplicate.close()
        raise
    return duplicates


class RendezvousSocket:
    """The socket in `$TMPDIR` on which a process of the node accepts its successor.

    A state file next to it stores the executors in maintenance for a process that has no predecessor.
    """

    def __init__(
        self, folder: str, node_name: str, listen_address: str, on_connect: Callable[[ControlChannel], None]
    ) -> None:
        self.folder = Path(folder)
        file_stem = f"firwalk-{crc32(f'{node_name} {listen_address}'.encode()):08x}"
        self.path = self.folder / f"{file_stem}.sock"
        self.state_file = self.folder / f"{file_stem}.json"
        self._on_connect = on_connect
        self._listener: socket.socket | None = None
        self._accepting: asyncio.Task[None] | None = None

    def _call_with_path(self, operation: Callable[[str], None]) -> None:
        """Call `operation` with a path through a descriptor; the full path may exceed a socket address."""
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            operation(f"/proc/self/fd/{folder}/{self.path.name}")
        finally:
            os.close(folder)

    def connect(self) -> ControlChannel | None:
        """Return a channel to the process that is listening, None without one."""
        try:
            sock = socket.socket(socket.AF_UNIX)
        except OSError:
            return None
        try:
            self._call_with_path(sock.connect)
            channel = ControlChannel(sock)
            if channel.is_same_user():
                return channel
        except OSError:
            pass
        sock.close()
        return None

    def listen(self) -> None:
        """Listen for a successor; retry while the system is short of resources."""
        problem = self._bind()
        if problem is None or problem.errno in RESOURCE_ERRNOS:
            self._accepting = asyncio.get_running_loop().create_task(self._bind_and_accept())
        else:
            _log_unreachable(problem)

    def _bind(self) -> OSError | None:
        """Bind the listener; return the error if that fails."""
        sock = None
        try:
            sock = socket.socket(socket.AF_UNIX)
            sock.setblocking(False)
            self.path.unlink(missing_ok=True)
            self._call_with_path(sock.bind)
            sock.listen(LISTEN_BACKLOG)
        except OSError as problem:
            if sock is not None:
                sock.close()
            return problem
        self._listener = sock
        return None

    async def _bind_and_accept(self) -> None:
        backoff = Backoff()
        while self._listener is None:
            await asyncio.sleep(backoff.next_delay_s())
            problem = self._bind()
            if problem is not None and problem.errno not in RESOURCE_ERRNOS:
                _log_unreachable(problem)
                return
        await self._accept_channels(self._listener)

    async def _accept_channels(self, listener: socket.socket) -> None:
        while True:
            try:
                await wait_readable(listener)
                sock, _ = listener.accept()
            except OSError:
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            channel = ControlChannel(sock)
            if channel.is_same_user():
                self._on_connect(channel)
            else:
                channel.close()

    def close(self, unlink: bool = False) -> None:
        """Stop listening; `unlink` also removes the socket's path."""
        if self._accepting is not None:
            self._accepting.cancel()
            self._accepting = None
        if self._listener is not None:
            if unlink:
                with suppress(OSError):  # nothing listens on a path that is left behind
                    self.path.unlink(missing_ok=True)
            self._listener.close()
            self._listener = None

    # -- the state file ------------------------------------------------------------------------------------

    def save_state(self, state: WireObject) -> None:
        """Replace the state file atomically; a failure is only logged."""
        try:
            new_file = self.state_file.with_suffix(f".{os.getpid()}")
            new_file.write_bytes(orjson.dumps(state | {"version": PROTOCOL_VERSION}))
            new_file.replace(self.state_file)
        except OSError as problem:
            log_external(f"who is out cannot be kept: {problem}")

    def load_state(self) -> WireObject:
        """Return the content of the state file; empty, with a log line, if it cannot be used."""
        try:
            return self._read_state_file()
        except FileNotFoundError:
            return {}
        except (OSError, StateFileError) as problem:
            reason = " ".join(str(problem).split())
            log_external(f"begun without what {self.state_file.name} keeps: {reason}")
            return {}

    def _read_state_file(self) -> WireObject:
        if self.state_file.stat().st_size > MAX_STATE_FILE_BYTES:
            raise StateFileError("too large")
        try:
            state: Any = orjson.loads(self.state_file.read_bytes())
        except orjson.JSONDecodeError as problem:
            raise StateFileError(str(problem)) from problem
        if not isinstance(state, dict) or state.get("version") != PROTOCOL_VERSION:
            raise StateFileError("of another version")
        return state


def _log_unreachable(problem: OSError) -> None:
    log_external(f"no process can take over from this one: {problem}")
