"""The list of executors: a watch that stays open, and single calls."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from time import monotonic

import orjson

from firwalk.dispatcher.dispatcher import Dispatcher
from firwalk.net import http, listing
from firwalk.net.address import host_header, new_socket
from firwalk.net.buffers import Buffers
from firwalk.net.waiting import connect
from firwalk.observability.log import log_exception, log_external

# What discovery has to tell counts as known six seconds later, whatever failed before. A watch that falls
# silent, the pause before the next call, its connect and its answer must fit in that time together, and so
# must a call that hangs, the pause and the call after it: the longest pauses are in `firwalk.policy.policy`.
CONNECT_TIME = 0.4  # seconds
SILENCE = 2.4  # seconds without a whole line (one comes every two) after which a watch has ended
CALL_TIME = 2.2  # seconds from the request to a whole first list, of a watch and of a single call: one
# that waits its turn gets a 503 after two, so that one without an answer fell silent
MOST_LIST = 1 << 22  # bytes of one update, over all its lines


class Discovery:
    def __init__(self, dispatcher: Dispatcher, buffers: Buffers, address: tuple[str, int]):
        self.dispatcher, self.buffers, self.address = dispatcher, buffers, address
        self.watching: asyncio.Task | None = None
        self.asking: asyncio.Task | None = None
        self.left: asyncio.Task | None = None  # the watch of the service before, until the new one tells
        self.heard = True  # whether the service of this address has told a list

    def watch(self, on: bool) -> None:
        if self.watching is not None and not self.watching.done():
            if on:
                return
            self.watching.cancel()
        self.watching = asyncio.get_running_loop().create_task(self._call(True)) if on else None

    def ask(self) -> None:
        if self.asking is None or self.asking.done():
            self.asking = asyncio.get_running_loop().create_task(self._call(False))

    def move(self, address: tuple[str, int]) -> None:
        """Another service keeps the list from now on. It is asked at once; until it tells, what the one
        before told stays, and what its watch still tells counts."""
        if address == self.address:
            return
        watching = self.watching
        if watching is not None and self.heard:
            self.left, self.watching = watching, None
        self.watch(False)
        self.address, self.heard = address, False
        self.watch(True)

    def told(self, address: tuple[str, int], news: listing.Update) -> None:
        if address == self.address and not self.heard:
            self.heard = True
            self.dispatcher.reset_list_version()
            if self.left is not None:
                self.left.cancel()
        self.dispatcher.report_list(*news)

    async def _call(self, watch: bool) -> None:
        """One call; its end, the watch's or one without a list, is told so that another may follow."""
        # Another service may count its versions otherwise: the first time it is asked for all.
        since, address = self.dispatcher.version if self.heard else 0, self.address
        target = b"/catalog/members" + (b"?follow=1&since=%d" % since if watch else b"")
        told, silent = _Told(lambda news: self.told(address, news), watch), False
        try:
            await self._read(address, target, told)
            log_external(f"the list's service ended {'the watch' if watch else 'a call'} with {told.status}")
        except (OSError, TimeoutError) as problem:
            log_external(f"the list's service: {str(problem) or 'silent'}")
            silent = isinstance(problem, TimeoutError)
        except http.Malformed as problem:
            log_external(f"the list's service: {problem}")
        except Exception as problem:
            log_exception("reading the list", problem)
        if address == self.address and (watch or not told.lists):
            self.dispatcher.report_list_broken(silent)

    async def _read(self, address: tuple[str, int], target: bytes, told: _Told) -> None:
        loop = asyncio.get_running_loop()
        sock = new_socket(address)
        buffer = self.buffers.take()
        view = memoryview(buffer)
        try:
            async with asyncio.timeout(CONNECT_TIME):
                await connect(sock, address)
            parser = http.ResponseParser(told.began, told.line, told.ended, told.blank)
            told.begin()
            async with asyncio.timeout(told.left()):
                await loop.sock_sendall(sock, http.encode_request(b"GET", target, [host_header(address)]))
            while not told.over:
                async with asyncio.timeout(told.left()):
                    count = await loop.sock_recv_into(sock, buffer)
                if not count:
                    return
                parser.feed(view[:count])
        finally:
            view.release()
            self.buffers.give(buffer)
            sock.close()


class _Told:
    """What one call has told so far, and how long it may still take.

    An update is a JSON object, on one line or, indented, on several. Bytes alone are no sign of life: whole
    updates are, and the empty lines that a watch sends while nothing changes.
    """

    def __init__(self, list_came: Callable[[listing.Update], None], watch: bool):
        self.list_came, self.watch, self.until = list_came, watch, 0.0
        self.status, self.lists, self.over = 0, 0, False
        self.text = b""  # of an update that is not whole yet

    def begin(self) -> None:
        """The request is about to be written: a first list has to be whole in the time of a call."""
        self.until = monotonic() + CALL_TIME

    def left(self) -> float:
        """Seconds until the call has failed."""
        return max(self.until - monotonic(), 0.0)

    def _alive(self) -> None:
        if self.watch and self.lists:
            self.until = monotonic() + SILENCE

    def began(self, status: int, headers: dict) -> None:
        self.status = status

    def line(self, line: bytes) -> None:
        if self.status != 200:
            return
        first, self.text = not self.text, self.text + line + b"\n"
        if len(self.text) > MOST_LIST:
            raise http.Malformed(400, "an update over the limit")
        if not first and not line.rstrip().endswith(b"}"):
            return  # an object ends with its bracket: only there is it worth a look
        try:
            update = orjson.loads(self.text)
        except orjson.JSONDecodeError as problem:
            if problem.pos >= len(self.text.rstrip()):
                return  # indented: it goes on
            raise http.Malformed(400, f"not a list of executors: {problem}") from problem
        self.text = b""
        self.list_came(listing.read(update))
        self.lists += 1
        self._alive()

    def blank(self) -> None:
        if self.text:
            raise http.Malformed(400, "half an update, then a sign of life")
        self._alive()

    def ended(self, keep: bool) -> None:
        self.over = True
        if self.text:
            raise http.Malformed(400, "the answer ended in an update")
