"""Operators' commands over TCP: each connection carries one command line and one reply line.

Descriptors are reserved for these connections. A caller that has not sent a complete line is disconnected
after a timeout, or earlier if another caller needs its place; a complete command is executed at once.
"""

from __future__ import annotations

import asyncio
import re
import socket
from collections.abc import Awaitable, Callable
from functools import partial

from firwalk.limits.text_size import decode_text
from firwalk.net.address import new_socket
from firwalk.net.errors import Backoff, is_connection_error
from firwalk.observability.log import log_exception, log_external

# A command must be complete within this time of the accept.
COMMAND_TIMEOUT_S = 5.0
MAX_COMMAND_BYTES = 256
READ_SIZE_BYTES = 4096
LISTEN_BACKLOG = 128
MAX_CALLERS = 24
MIN_CALLERS = 4
# One caller is allowed for this many descriptors of the node's limit.
DESCRIPTORS_PER_CALLER = 16
WORD_PATTERN = re.compile(rb"[!-~]+")
COMMANDS = ("PING", "DETACH", "ATTACH")

# The text of a command's reply and its error; one of the two is empty.
Reply = tuple[str, str]


class InvalidCommand(Exception):
    """A caller sent an invalid command; the text is the error of the reply."""


def max_callers(descriptors: int) -> int:
    """Return how many descriptors of the node's limit are reserved for callers."""
    return min(max(descriptors // DESCRIPTORS_PER_CALLER, MIN_CALLERS), MAX_CALLERS)


class Management:
    """The listener at the management address and its connections.

    `run_command(command, executor)` executes a well-formed command and returns an error, or "".
    """

    def __init__(self, max_open: int, run_command: Callable[..., Awaitable[str]]) -> None:
        self.max_open = max_open
        self.run_command = run_command
        # Additional commands without an argument, by their line.
        self.commands: dict[str, Callable[[], Awaitable[Reply]]] = {}
        # Additional commands with an argument, by the prefix of the line before it.
        self.commands_with_argument: dict[str, Callable[[str], Awaitable[Reply]]] = {}
        self.open: dict[asyncio.Task[None], None] = {}  # callers, oldest first
        self.listener: socket.socket | None = None
        self.accepting: asyncio.Task[None] | None = None

    async def listen(self, address: tuple[str, int]) -> None:
        """Listen at the address. Raises OSError, with no descriptor left open."""
        listener = new_socket(address)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(address)
            listener.listen(LISTEN_BACKLOG)
        except OSError:
            listener.close()
            raise
        self.listener = listener
        self.accepting = asyncio.get_running_loop().create_task(self._accept(listener))

    async def _accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        backoff = Backoff()
        while True:
            try:
                sock, _ = await loop.sock_accept(listener)
            except OSError as problem:
                log_external(f"no operator's call accepted: {problem}")
                await asyncio.sleep(0.0 if is_connection_error(problem) else backoff.next_delay_s())
                continue
            backoff.reset()
            sock.setblocking(False)
            await self._evict_oldest_callers()
            caller = loop.create_task(self._serve(sock))
            self.open[caller] = None
            caller.add_done_callback(partial(self._on_caller_done, sock))

    async def _evict_oldest_callers(self) -> None:
        """Disconnect the oldest callers until one more is within the limit."""
        while len(self.open) >= self.max_open:
            oldest = next(iter(self.open))
            oldest.cancel()
            self.open.pop(oldest)
            await asyncio.sleep(0)  # closes the descriptor of the cancelled task

    def _on_caller_done(self, sock: socket.socket, caller: asyncio.Task[None]) -> None:
        self.open.pop(caller, None)
        sock.close()

    async def _serve(self, sock: socket.socket) -> None:
        """Read one command, execute it and reply."""
        loop = asyncio.get_running_loop()
        try:
            reply = await self._reply(loop, sock)
            if reply is None:
                return
            await loop.sock_sendall(sock, reply)
            sock.shutdown(socket.SHUT_WR)
            while len(sock.recv(READ_SIZE_BYTES)) == READ_SIZE_BYTES:
                pass  # closing with unread bytes would reset the connection, and lose the reply
        except OSError:
            pass  # the caller disconnected, or no bytes are left to read
        except Exception as problem:
            log_exception("serving a management connection", problem)

    async def _reply(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> bytes | None:
        """Return the reply line to a caller's command; None if it disconnected without one."""
        try:
            line = await _read_command(loop, sock)
            if line is None:
                return None
            text, error = await self._run(line)
        except InvalidCommand as problem:
            text, error = "", str(problem)
        if error:
            return f"-ERR {error}\n".encode()
        return f"+OK {text}".rstrip().encode() + b"\n"

    async def _run(self, line: bytes) -> Reply:
        """Execute a command and return its reply. Raises InvalidCommand."""
        text = decode_text(line)
        command = self.commands.get(text)
        if command is not None:
            return await command()
        for prefix, command_with_argument in self.commands_with_argument.items():
            if text.startswith(prefix) and len(text) > len(prefix) and text.isprintable():
                return await command_with_argument(text[len(prefix) :])
        return "", await self.run_command(*_parse_command(line))

    def close(self) -> None:
        """Stop listening, and disconnect all callers."""
        if self.accepting is not None:
            self.accepting.cancel()
        for caller in list(self.open):
            caller.cancel()
        if self.listener is not None:
            self.listener.close()


async def _read_command(loop: asyncio.AbstractEventLoop, sock: socket.socket) -> bytes | None:
    """Return the line that a caller sends; None if it disconnects without a byte. Raises InvalidCommand."""
    data = b""
    try:
        async with asyncio.timeout(COMMAND_TIMEOUT_S):
            while b"\n" not in data and len(data) <= MAX_COMMAND_BYTES:
                chunk = await loop.sock_recv(sock, MAX_COMMAND_BYTES + 1)
                if not chunk and not data:
                    return None
                if not chunk:
                    raise InvalidCommand("a line without end")
                data += chunk
    except TimeoutError:
        raise InvalidCommand("a line without end" if data else "no call came") from None
    return _extract_line(data)


def _extract_line(data: bytes) -> bytes:
    line, _, rest = data.partition(b"\n")
    if len(line) > MAX_COMMAND_BYTES:
        raise InvalidCommand("a line over the limit")
    if rest:
        raise InvalidCommand("one call to a connection")
    return line.removesuffix(b"\r")


def _parse_command(line: bytes) -> list[str]:
    """Split a line into the command and, except for PING, an executor. Raises InvalidCommand."""
    words = line.split(b" ")
    if not line.strip():
        raise InvalidCommand("an empty line; calls are PING, DETACH ID, ATTACH ID")
    if not all(WORD_PATTERN.fullmatch(word) for word in words):
        raise InvalidCommand("words of plain text, one space between them")
    name, *arguments = (word.decode() for word in words)
    if name not in COMMANDS:
        raise InvalidCommand("no such call; calls are PING, DETACH ID, ATTACH ID")
    if len(arguments) != (name != "PING"):
        raise InvalidCommand("PING stands alone" if name == "PING" else f"{name} takes one id")
    return [name, *arguments]
