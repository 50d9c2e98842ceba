"""Client of the discovery service: a long-lived watch, and polls of the full endpoint list."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from time import monotonic

from firwalk.dispatcher.dispatcher import Dispatcher
from firwalk.limits.fair_share import WorkAccount
from firwalk.net import http, listing
from firwalk.net.address import host_header, new_socket
from firwalk.net.buffers import Buffers
from firwalk.net.object_stream import ObjectStream
from firwalk.net.socket_io import connect
from firwalk.net.turns import Turns
from firwalk.observability.log import log_exception, log_external

# An update counts as known to this node after six seconds, even if a call failed before. Two sequences must
# fit in that time: the silence timeout of a watch, the delay before the next call, its connect and its first
# list; and a call that hangs, the delay and the next call. The delay's bounds are in `firwalk.policy.policy`.
CONNECT_TIMEOUT_S = 0.4
WATCH_SILENCE_TIMEOUT_S = 2.4  # the service sends an update or blank line every two seconds
# The time starts with the request; the service answers a queued call 503 after two seconds.
FIRST_LIST_TIMEOUT_S = 2.2
SLICE_BYTES = 1024  # parsed at a time, so that the process does other work between slices


class Discovery:
    """Watches and polls the endpoint list and reports its updates to the dispatcher."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        buffers: Buffers,
        address: tuple[str, int],
        turns: Turns | None = None,
    ) -> None:
        self.dispatcher = dispatcher
        self.turns = turns or Turns()
        self.buffers = buffers
        self.address = address
        self.watch_task: asyncio.Task[None] | None = None
        self.poll_task: asyncio.Task[None] | None = None
        # Of the previous service, until the current one has sent a list.
        self.previous_watch_task: asyncio.Task[None] | None = None
        self.has_received_list = True  # from the service at the current address
        # Called with the updates of the service at the current address.
        self.on_update: Callable[[listing.Update], None] | None = None

    def watch(self, is_on: bool) -> None:
        """Open the watch unless it is open already, or close it."""
        if self.watch_task is not None and not self.watch_task.done():
            if is_on:
                return
            self.watch_task.cancel()
        self.watch_task = self._start_call(is_watch=True) if is_on else None

    def poll(self) -> None:
        """Fetch the full list once, unless a poll is in flight."""
        if self.poll_task is None or self.poll_task.done():
            self.poll_task = self._start_call(is_watch=False)

    def move(self, address: tuple[str, int]) -> None:
        """Change to another service and open a watch there.

        Until it sends a list, the previous service's list stays in use and its watch stays open.
        """
        if address == self.address:
            return
        if self.watch_task is not None and self.has_received_list:
            self.previous_watch_task, self.watch_task = self.watch_task, None
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
            if self.previous_watch_task is not None:
                self.previous_watch_task.cancel()
        self.dispatcher.report_endpoint_list(*update)
        if address == self.address and self.on_update is not None:
            self.on_update(update)

    async def _call(self, is_watch: bool) -> None:
        """Make one call, and report the end of a watch, or of a poll without a list, to the dispatcher."""
        address = self.address
        # Versions of different services are not comparable: a new service is asked for the full list first.
        version = self.dispatcher.version if self.has_received_list else 0
        target = b"/catalog/members" + (b"?follow=1&since=%d" % version if is_watch else b"")
        response = _Response(lambda update: self._receive_update(address, update), is_watch)
        is_silent = False
        try:
            await self._read(address, target, response)
            call = "the watch" if is_watch else "a call"
            log_external(f"the list's service ended {call} with {response.status}")
        except OSError as error:
            log_external(f"the list's service: {str(error) or 'silent'}")
            is_silent = isinstance(error, TimeoutError)
        except http.Malformed as error:
            log_external(f"the list's service: {error}")
        except Exception as error:
            log_exception("reading the list", error)
        if address == self.address and (is_watch or not response.update_count):
            self.dispatcher.report_endpoint_list_failure(is_silent)

    async def _read(self, address: tuple[str, int], target: bytes, response: _Response) -> None:
        loop = asyncio.get_running_loop()
        sock = new_socket(address)
        buffer = self.buffers.acquire()
        view = memoryview(buffer)
        parser = http.StreamResponseParser(response.begin, response.updates.feed, response.end)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await connect(sock, address)
            response.start_deadline()
            account = self.turns.new_account()
            async with asyncio.timeout(response.remaining_s()):
                await loop.sock_sendall(sock, http.encode_request(b"GET", target, [host_header(address)]))
            while not response.has_ended:
                async with asyncio.timeout(response.remaining_s()):
                    count = await loop.sock_recv_into(sock, buffer)
                if not count:
                    return
                await self._parse(parser, view[:count], account)
                if count < len(view):
                    self._pause(response, account)
        finally:
            parser.discard()  # not left to the garbage collector
            response.updates.discard()
            view.release()
            self.buffers.release(buffer)
            sock.close()

    async def _parse(self, parser: http.StreamResponseParser, data: memoryview, account: WorkAccount) -> None:
        """Parse received bytes, in turns with others if they cause much work. Raise http.Malformed."""
        for start in range(0, len(data), SLICE_BYTES):
            await self.turns.take(account)
            began_at = monotonic()
            parser.feed(data[start : start + SLICE_BYTES])
            now = monotonic()
            account.charge(now, now - began_at)

    @staticmethod
    def _pause(response: _Response, account: WorkAccount) -> None:
        """Let the response look at what it has, since all that had arrived is parsed."""
        began_at = monotonic()
        response.pause()
        now = monotonic()
        account.charge(now, now - began_at)


class _Response:
    """The response to one call: reports its updates and keeps its deadline.

    An update is a JSON object. Only a complete update, or one of the blank lines that a watch sends between
    updates while nothing changes, extends the deadline; other bytes do not.
    """

    def __init__(self, receive_update: Callable[[listing.Update], None], is_watch: bool) -> None:
        self.receive_update = receive_update
        self.is_watch = is_watch
        self.status = 0
        self.update_count = 0
        self.has_ended = False
        self.deadline = 0.0
        self.updates = ObjectStream(self._receive_object, self._extend_deadline)

    def start_deadline(self) -> None:
        """Start the deadline of the first list, before the request is written."""
        self.deadline = monotonic() + FIRST_LIST_TIMEOUT_S

    def remaining_s(self) -> float:
        """Return the seconds until the call times out."""
        return max(self.deadline - monotonic(), 0.0)

    def _extend_deadline(self) -> None:
        if self.is_watch and self.update_count:
            self.deadline = monotonic() + WATCH_SILENCE_TIMEOUT_S

    def begin(self, status: int, headers: dict[bytes, bytes]) -> None:
        """Store the response's status; the body of an error is no list."""
        self.status = status
        self.updates.is_ignored = status != http.OK

    def pause(self) -> None:
        """Report an update that is whole, since nothing more has arrived. Raise http.Malformed."""
        self.updates.pause()

    def end(self, keep_alive: bool) -> None:
        """Handle the end of the response. Raise http.Malformed inside an update."""
        self.has_ended = True
        self.updates.finish()

    def _receive_object(self, update: listing.Json) -> None:
        self.receive_update(listing.read(update))
        self.update_count += 1
        self._extend_deadline()
