"""The client of the discovery service: a watch that stays open, and polls of the whole endpoint list."""

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

# An update counts as known to this node six seconds after it, whatever failed before. In that time must fit,
# together: a watch that falls silent, the delay before the next call, its connect and its first list; and a
# call that hangs, the delay and the call after it. The bounds of the delay are in `firwalk.policy.policy`.
CONNECT_TIMEOUT_S = 0.4
WATCH_SILENCE_TIMEOUT_S = 2.4  # a sign of life comes every two seconds
FIRST_LIST_TIMEOUT_S = 2.2  # from the request on; a call that waits its turn gets a 503 after two seconds
MAX_UPDATE_BYTES = 1 << 22  # over all its lines


class Discovery:
    """Watches and polls the endpoint list, and reports its updates to the dispatcher."""

    def __init__(self, dispatcher: Dispatcher, buffers: Buffers, address: tuple[str, int]) -> None:
        self.dispatcher = dispatcher
        self.buffers = buffers
        self.address = address
        self.watch_task: asyncio.Task[None] | None = None
        self.poll_task: asyncio.Task[None] | None = None
        self.previous_watch: asyncio.Task[None] | None = (
            None  # of the service before, until this one is heard
        )
        self.has_received_list = True  # from the service at this address

    def watch(self, on: bool) -> None:
        """Opens the watch, if it is not open, or closes it."""
        if self.watch_task is not None and not self.watch_task.done():
            if on:
                return
            self.watch_task.cancel()
        self.watch_task = self._start_call(is_watch=True) if on else None

    def poll(self) -> None:
        """Fetches the whole list once, unless a poll is in flight."""
        if self.poll_task is None or self.poll_task.done():
            self.poll_task = self._start_call(is_watch=False)

    def move(self, address: tuple[str, int]) -> None:
        """Changes to another service, which is asked at once.

        Until it sends a list, the list of the service before stays, and updates of its watch still count.
        """
        if address == self.address:
            return
        if self.watch_task is not None and self.has_received_list:
            self.previous_watch, self.watch_task = self.watch_task, None
        self.watch(False)
        self.address = address
        self.has_received_list = False
        self.watch(True)

    def _start_call(self, is_watch: bool) -> asyncio.Task[None]:
        return asyncio.get_running_loop().create_task(self._call(is_watch))

    def _receive_update(self, address: tuple[str, int], update: listing.Update) -> None:
        if address == self.address and not self.has_received_list:
            self.has_received_list = True
            self.dispatcher.reset_list_version()
            if self.previous_watch is not None:
                self.previous_watch.cancel()
        self.dispatcher.report_list(*update)

    async def _call(self, is_watch: bool) -> None:
        """One call. The end of a watch, or of a poll without a list, is reported: another may follow."""
        address = self.address
        # Another service may count its versions otherwise: it is asked for everything first.
        version = self.dispatcher.version if self.has_received_list else 0
        target = b"/catalog/members" + (b"?follow=1&since=%d" % version if is_watch else b"")
        response = _Response(lambda update: self._receive_update(address, update), is_watch)
        is_silent = False
        try:
            await self._read(address, target, response)
            call = "the watch" if is_watch else "a call"
            log_external(f"the list's service ended {call} with {response.status}")
        except OSError as problem:
            log_external(f"the list's service: {str(problem) or 'silent'}")
            is_silent = isinstance(problem, TimeoutError)
        except http.Malformed as problem:
            log_external(f"the list's service: {problem}")
        except Exception as problem:
            log_exception("reading the list", problem)
        if address == self.address and (is_watch or not response.update_count):
            self.dispatcher.report_list_broken(is_silent)

    async def _read(self, address: tuple[str, int], target: bytes, response: _Response) -> None:
        loop = asyncio.get_running_loop()
        sock = new_socket(address)
        buffer = self.buffers.take()
        view = memoryview(buffer)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await connect(sock, address)
            parser = http.ResponseParser(
                response.begin, response.receive_line, response.end, response.receive_blank_line
            )
            response.begin_request()
            async with asyncio.timeout(response.remaining_s()):
                await loop.sock_sendall(sock, http.encode_request(b"GET", target, [host_header(address)]))
            while not response.has_ended:
                async with asyncio.timeout(response.remaining_s()):
                    count = await loop.sock_recv_into(sock, buffer)
                if not count:
                    return
                parser.feed(view[:count])
        finally:
            view.release()
            self.buffers.give(buffer)
            sock.close()


class _Response:
    """The updates that one call has brought so far, and how long it may still take.

    An update is a JSON object, on one line or, indented, on several. Bytes alone are no sign of life:
    complete updates are, and the empty lines that a watch sends while nothing changes.
    """

    def __init__(self, receive_update: Callable[[listing.Update], None], is_watch: bool) -> None:
        self.receive_update = receive_update
        self.is_watch = is_watch
        self.status = 0
        self.update_count = 0
        self.has_ended = False
        self.deadline = 0.0
        self.partial_update = b""

    def begin_request(self) -> None:
        """The request is about to be written."""
        self.deadline = monotonic() + FIRST_LIST_TIMEOUT_S

    def remaining_s(self) -> float:
        """Until the call has failed."""
        return max(self.deadline - monotonic(), 0.0)

    def _extend_deadline(self) -> None:
        if self.is_watch and self.update_count:
            self.deadline = monotonic() + WATCH_SILENCE_TIMEOUT_S

    def begin(self, status: int, headers: dict[bytes, bytes]) -> None:
        """The head has come."""
        self.status = status

    def receive_line(self, line: bytes) -> None:
        """Passes on the update that ends with this line, if one does; raises http.Malformed."""
        if self.status != 200:
            return
        is_first = not self.partial_update
        self.partial_update += line + b"\n"
        if len(self.partial_update) > MAX_UPDATE_BYTES:
            raise http.Malformed(400, "an update over the limit")
        # Parsed only where it may be complete: after one line, or a closing bracket.
        if not is_first and not line.rstrip().endswith(b"}"):
            return
        try:
            update = orjson.loads(self.partial_update)
        except orjson.JSONDecodeError as problem:
            if problem.pos >= len(self.partial_update.rstrip()):
                return  # indented: it goes on
            raise http.Malformed(400, f"not a list of executors: {problem}") from problem
        self.partial_update = b""
        self.receive_update(listing.read(update))
        self.update_count += 1
        self._extend_deadline()

    def receive_blank_line(self) -> None:
        """A sign of life; raises http.Malformed inside an update."""
        if self.partial_update:
            raise http.Malformed(400, "half an update, then a sign of life")
        self._extend_deadline()

    def end(self, keep_alive: bool) -> None:
        """The response has ended; raises http.Malformed inside an update."""
        self.has_ended = True
        if self.partial_update:
            raise http.Malformed(400, "the answer ended in an update")
