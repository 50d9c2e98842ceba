"""The second address, for operators alone: one line to a connection, one line back, and the close.

It has descriptors of its own. Callers that say nothing, or half a call, go after a while, or as soon as
their place is wanted; a whole call never waits, since it is answered when it is read.
"""

from __future__ import annotations

import asyncio
import re
import socket
from collections.abc import Awaitable, Callable

from firwalk.net.address import new_socket
from firwalk.net.errors import Backoff, concerns_connection
from firwalk.observability.log import log_exception, log_external

SILENT_TIME = 5.0  # seconds in which a call must be whole
LONGEST = 256  # bytes of a call
BACKLOG = 128
MOST = 24  # callers at a time
LEAST = 4  # of these where descriptors are few
PART = 16  # of the descriptors, one in so many
WORD = re.compile(rb"[!-~]+")


def places(descriptors: int) -> int:
    """How many descriptors are kept for callers."""
    return min(max(descriptors // PART, LEAST), MOST)


class Management:
    """`act(word, id)` carries out a call that is well formed and gives a reason if it cannot."""

    def __init__(self, most: int, act: Callable[[str, str], Awaitable[str]]):
        self.most, self.act = most, act
        # Further calls, word for word, and what each comes to: what is told, or what is wrong.
        self.more: dict[str, Callable[[], Awaitable[tuple[str, str]]]] = {}
        # The same with something behind the words, which is handed over.
        self.more_with: dict[str, Callable[[str], Awaitable[tuple[str, str]]]] = {}
        self.open: dict[asyncio.Task, None] = {}  # the one that has been there longest first
        self.listener: socket.socket | None = None
        self.accepting: asyncio.Task | None = None

    async def listen(self, address: tuple[str, int]) -> None:
        """OSError, and nothing is left open."""
        listener = new_socket(address)
        try:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind(address)
            listener.listen(BACKLOG)
        except OSError:
            listener.close()
            raise
        self.listener = listener
        self.accepting = asyncio.get_running_loop().create_task(self._accept())

    async def _accept(self) -> None:
        loop, backoff = asyncio.get_running_loop(), Backoff()
        while True:
            try:
                sock, _ = await loop.sock_accept(self.listener)
            except OSError as problem:
                log_external(f"no operator's call accepted: {problem}")
                await asyncio.sleep(0.0 if concerns_connection(problem) else backoff.next_delay_s())
                continue
            backoff.reset()
            sock.setblocking(False)
            while len(self.open) >= self.most:
                oldest = next(iter(self.open))
                oldest.cancel()
                self.open.pop(oldest)
                await asyncio.sleep(0)  # its descriptor is given back before this one is counted
            caller = loop.create_task(self._attend(sock))
            self.open[caller] = None
            caller.add_done_callback(lambda _, sock=sock, caller=caller: self._over(caller, sock))

    def _over(self, caller: asyncio.Task, sock: socket.socket) -> None:
        self.open.pop(caller, None)
        sock.close()

    async def _attend(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        try:
            line, complaint = await self._call(loop, sock)
            if line is not None or complaint:
                told, complaint = ("", complaint) if complaint else await self._answer(line)
                await loop.sock_sendall(
                    sock,
                    f"-ERR {complaint}\n".encode() if complaint else f"+OK {told}".rstrip().encode() + b"\n",
                )
                sock.shutdown(socket.SHUT_WR)
                while len(sock.recv(4096)) == 4096:  # unread bytes at the close would take the answer along
                    pass
        except OSError:
            pass  # it left, or what it sent is read up
        except Exception as problem:
            log_exception("attending to an operator's call", problem)

    async def _call(self, loop: asyncio.AbstractEventLoop, sock: socket.socket) -> tuple[bytes | None, str]:
        """The line, or what is wrong with what came instead; neither: it left without a word."""
        text = b""
        try:
            async with asyncio.timeout(SILENT_TIME):
                while b"\n" not in text and len(text) <= LONGEST:
                    part = await loop.sock_recv(sock, LONGEST + 1)
                    if not part:
                        return None, "a line without end" if text else ""
                    text += part
        except TimeoutError:
            return None, "a line without end" if text else "no call came"
        line, _, more = text.partition(b"\n")
        if len(line) > LONGEST:
            return None, "a line over the limit"
        return (None, "one call to a connection") if more else (line.removesuffix(b"\r"), "")

    async def _answer(self, line: bytes) -> tuple[str, str]:
        """What is told, or what is wrong."""
        words = line.split(b" ")
        text = line.decode("latin-1")
        told = self.more.get(text)
        if told is not None:
            return await told()
        for start, act in self.more_with.items():
            if text.startswith(start) and len(text) > len(start) and text.isprintable():
                return await act(text[len(start) :])
        return "", await self._carried_out(line, words)

    async def _carried_out(self, line: bytes, words: list[bytes]) -> str:
        if not line.strip():
            return "an empty line; calls are PING, DETACH ID, ATTACH ID"
        if not all(WORD.fullmatch(word) for word in words):
            return "words of plain text, one space between them"
        word, *rest = (part.decode() for part in words)
        if word not in ("PING", "DETACH", "ATTACH"):
            return "no such call; calls are PING, DETACH ID, ATTACH ID"
        if len(rest) != (word != "PING"):
            return "PING stands alone" if word == "PING" else f"{word} takes one id"
        return await self.act(word, *rest)

    def close(self) -> None:
        if self.accepting is not None:
            self.accepting.cancel()
        for caller in list(self.open):
            caller.cancel()
        if self.listener is not None:
            self.listener.close()
