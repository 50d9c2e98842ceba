"""Connections to executors: a pool for each, the carrying of assignments, and probes.

One connection carries one thing at a time and is used again once its answer is whole. Nothing whose last
byte was written is ever sent a second time from here: what became of an assignment is reported, and the
decisions go on from there. The last byte is held back for a moment, in which a dead connection shows: until
then nothing can have run, and another connection is taken.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from time import monotonic

import orjson

from firwalk.dispatcher.dispatcher import Dispatcher, Endpoint, PendingRequest
from firwalk.net import http
from firwalk.net.address import host_header, new_socket
from firwalk.net.budget import Budget
from firwalk.net.buffers import Buffers
from firwalk.net.waiting import connect, receive_into
from firwalk.observability.events import CloseReason, Event, EventLog
from firwalk.observability.log import check_invariant, log_exception, log_external
from firwalk.policy.interface import Outcome

WAIT = 0.01  # seconds between looks for a free descriptor
HOLD_TRIPS = 2.0  # times the shortest way to an executor and back that a last byte is held back
HOLD_LEAST = 0.004  # seconds of it at least
HOLD_MOST = 0.02  # and at most
MOST_HELD = 0.1  # seconds from an assignment's first byte to its last: the time told in it is as old
NEW_LINKS = 2  # new connections that may break under one assignment before it counts as out of reach
DEAD_MEMORY = 30.0  # seconds for which dead connections tell how long one can be relied on
DEAD_MOST = 16  # of them that are looked at
SHORT_LIFE = 1.0  # seconds: an executor that closes kept connections sooner is asked for its load on
SHORT_MEMORY = 10.0  # those that are there only, for so long: each one opened for that would be wasted
END_TIME = 2.0  # seconds from an answer's last line to its end
MAY_PASS = (408, 425, 429)  # answers that blame the task, or the moment: another try may fare better
MOST_SEEN = 8192  # bytes of an answer that has come, beyond which its task stays in this process
IDLE_PART = 0.8  # of the time after which an executor closes an idle connection: ours ends before


class NoDescriptor(Exception):
    """None became free in the time that a connection may take."""


class Link:
    """One connection to an executor, and the exchange that it carries, if any."""

    def __init__(self, pool: Executors, place: Endpoint, sock: socket.socket):
        self.pool, self.place, self.sock, self.address = pool, place, sock, place.address
        self.exchange: Exchange | Probe | None = None
        self.writer: asyncio.Task | None = None  # while bytes are still to be written
        self.idle_since, self.open, self.wrote_at = monotonic(), True, 0.0
        self.idled = 0.0  # how long it stood idle before its exchange
        self.at_last, self.broken = True, False  # the last byte is under way; it broke before that
        self.seen = b""  # of the answer in hand
        self.heir: Callable[[socket.socket], None] | None = None  # who gets it when its reader has let go
        self.close_reason = CloseReason.PEER_LEFT  # until it is ended here
        self.parser = http.ResponseParser(self._began, self._line, self._ended)
        self.reading = asyncio.get_running_loop().create_task(self._read())
        self.reading.add_done_callback(self._closed)

    def _began(self, status: int, headers: dict) -> None:
        if self.exchange is None:
            raise http.Malformed(400, "an answer to nothing")
        self.pool.came(self.place, monotonic() - self.wrote_at)
        self.exchange.began(status, headers)

    def _line(self, line: bytes) -> None:
        if self.exchange is not None:
            self.exchange.line(line)

    async def write(self, data: bytes, hold: float = 0.0, last: Callable[[], bool] | None = None) -> bool:
        """Writes it, the last byte only if `last()` still wants it. OSError: it broke before that byte."""
        loop, self.writer, self.at_last = asyncio.get_running_loop(), asyncio.current_task(), last is None
        try:
            if last is not None:
                await loop.sock_sendall(self.sock, data[:-1])
                await asyncio.sleep(hold)
                if not last():
                    return False
                self.at_last, data = True, data[-1:]
            self.wrote_at = monotonic()
            await loop.sock_sendall(self.sock, data)
        except asyncio.CancelledError:
            if not self.broken:
                raise
            asyncio.current_task().uncancel()  # it was this connection's end, no call from outside
            raise ConnectionResetError("it broke before the last byte") from None
        except OSError:
            self.pool.died(self)
            self.exchange = None  # not even the last byte went out: whoever writes goes on from there
            raise
        finally:
            self.writer = None
        return True

    def _ended(self, keep: bool) -> None:
        exchange, self.exchange, self.seen = self.exchange, None, b""
        # Answered before its last byte was written, the rest would run into the next message.
        if keep and self.open and self.writer is None:
            self.pool.give(self)
        else:
            self.close(CloseReason.LAST_ANSWER)
        if exchange is not None:
            exchange.whole()

    async def _read(self) -> None:
        buffer = self.pool.buffers.take()
        view = memoryview(buffer)
        try:
            while count := await receive_into(self.sock, buffer):
                self.came(view[:count])
        except OSError:
            pass
        except http.Malformed as problem:
            log_external(f"executor {self.place.name}: {problem}")
        except Exception as problem:
            log_exception("reading from an executor", problem)
        finally:
            view.release()
            self.pool.buffers.give(buffer)

    def came(self, data: bytes | memoryview) -> None:
        """What has come is kept: another process that goes on with it has to stand where this one stands."""
        if len(self.seen) <= MOST_SEEN:
            self.seen += data
        self.parser.feed(data)

    def _closed(self, _: asyncio.Task) -> None:
        """Also where the reader was cancelled before it began: its own `finally` would not run then."""
        by_itself, self.open = self.open, False
        self.pool.events.record(Event.EXECUTOR_CLOSED, self.close_reason)
        exchange, self.exchange = self.exchange, None
        if self.heir is None:
            self.sock.close()
        else:
            self.heir(self.sock)
        self.pool.closed(self, by_itself and exchange is None)
        # Once the last byte is under way, nobody can tell whether it went out.
        self.broken = not self.at_last and bool(self.writer and exchange) and not exchange.done()
        if self.writer is not None:
            self.writer.cancel()
        if exchange is not None and not exchange.done() and not exchange.status:
            self.pool.died(self)
        if exchange is not None and not self.broken:
            exchange.broke()

    def close(self, reason: CloseReason) -> None:
        """The socket itself is closed by the reader, which the event loop must let go of it first."""
        if self.open:
            self.open, self.close_reason = False, reason
        self.reading.cancel()

    def fresh(self) -> bool:
        """Whether the executor has not closed it: a task written to a closed one may pass for run."""
        try:
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False


class Exchange:
    """What an executor answers to one assignment, as lines of a stream; reports its one outcome."""

    def __init__(self, pool: Executors, pending: PendingRequest, number: int, name: bytes):
        self.pool, self.dispatcher, self.pending, self.number, self.name = (
            pool,
            pool.dispatcher,
            pending,
            number,
            name,
        )
        self.status, self.headers, self.over, self.over_at = 0, {}, False, 0.0
        self.link: Link | None = None

    def done(self) -> bool:
        return self.over

    def end(self, how: Outcome, load: dict | None = None, result: bytes = b"") -> None:
        if not self.over:
            self.over, self.over_at = True, monotonic()
            self.pool.carried.pop((self.pending, self.number), None)
            self.dispatcher.report_outcome(self.pending, self.number, how, load, result)

    def began(self, status: int, headers: dict) -> None:
        self.status, self.headers = status, headers

    def line(self, line: bytes) -> None:
        if self.status != 200 or self.over:
            return
        try:
            news = orjson.loads(line)
            state, own = news["state"], news["id"].encode() == self.name
        except (orjson.JSONDecodeError, KeyError, TypeError, AttributeError):
            own = False
        if not own:
            raise http.Malformed(400, "a line that tells nothing of its task")
        if state == "started":
            self.dispatcher.report_started(self.pending, self.number)
        elif state == "running":
            share = news.get("share")
            if isinstance(share, int | float):
                self.dispatcher.report_progress(self.pending, self.number, float(share))
        elif state == "done":
            self.end(Outcome.COMPLETED, news.get("load"), _result(news))
        elif state == "failed":
            self.end(Outcome.ERROR, news.get("load"))
        elif state == "returned":
            self.end(Outcome.AT_CAPACITY, news.get("load"))
        elif state == "lost":
            self.end(Outcome.CONNECTION_LOST, news.get("load"))

    def whole(self) -> None:
        """The answer's end: without a last line it says nothing of whether the task has run."""
        load = _load(self.headers.get(b"x-load"))
        if self.status in (503, 504) and self.headers.get(b"x-not-run") == b"1":
            self.end(Outcome.AT_CAPACITY, load)
        elif self.status == 200:
            self.end(Outcome.CONNECTION_LOST, load)
        elif 400 <= self.status < 500 and self.status not in MAY_PASS:
            self.end(Outcome.INVALID, load)
        else:
            self.end(Outcome.ERROR, load)

    def broke(self) -> None:
        self.end(Outcome.CONNECTION_LOST)


class Probe:
    """A question for the load report; reports what came once."""

    def __init__(self, dispatcher: Dispatcher, place: Endpoint, kept: bool):
        self.dispatcher, self.place, self.began_at, self.kept = dispatcher, place, monotonic(), kept
        self.status, self.text = 0, b""
        self.over = asyncio.get_running_loop().create_future()

    def done(self) -> bool:
        return self.over.done()

    def end(self, how: Outcome, load: dict | None = None) -> None:
        if not self.over.done():
            self.over.set_result(None)
            self.dispatcher.report_probe(self.place, how, monotonic() - self.began_at, load)

    def began(self, status: int, headers: dict) -> None:
        self.status = status

    def line(self, line: bytes) -> None:
        self.text += line

    def whole(self) -> None:
        self.end(Outcome.COMPLETED if self.status == 200 else Outcome.AT_CAPACITY, _load(self.text))

    def broke(self) -> None:
        """A kept connection that ends unanswered shows its own age only: taken for signs of silence, two of
        these would set a good executor aside."""
        if not self.kept or self.status:
            self.end(Outcome.CONNECTION_LOST)
        elif not self.over.done():
            self.over.set_result(None)


def _result(last_line: dict) -> bytes:
    """For the client. Malformed: there is none, and one of our own making would be no executor's."""
    result = last_line.get("result")
    if result is None:
        raise http.Malformed(400, "a last line without a result")
    try:
        return result.encode() if isinstance(result, str) else orjson.dumps(result)
    except (TypeError, UnicodeEncodeError) as problem:
        raise http.Malformed(400, f"a result that cannot be written: {problem}") from problem


def _load(text: bytes | None) -> dict | None:
    try:
        return orjson.loads(text) if text else None
    except orjson.JSONDecodeError:
        return None


class Executors:
    """All connections to executors."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        budget: Budget,
        buffers: Buffers,
        connect_time: float,
        idle_time: float,
        events: EventLog | None = None,
    ):
        self.events = events or EventLog()
        self.dispatcher, self.budget, self.buffers = dispatcher, budget, buffers
        self.connect_time, self.idle_time = connect_time, idle_time * IDLE_PART
        self.links: dict[Link, None] = {}
        self.idle: dict[Endpoint, list[Link]] = {}
        self.probes: dict[Endpoint, asyncio.Task] = {}
        self.carried: dict[tuple[PendingRequest, int], tuple] = {}
        self.trips: dict[Endpoint, float] = {}  # the shortest times to it and back
        self.short_at: dict[Endpoint, float] = {}  # when a kept connection ended early last
        self.dead: deque[tuple[float, float]] = deque(maxlen=DEAD_MOST)  # when, and how long idle
        budget.evict_executor = self.shed

    # -- the pool ----------------------------------------------------------------------------------------

    def give(self, link: Link) -> None:
        if (
            not link.open
            or link.address != link.place.address
            or not self.dispatcher.keeps_connections_to(link.place)
        ):
            link.close(CloseReason.EXECUTOR_GONE)  # moved: at its old address may be another one
            return
        link.idle_since = monotonic()
        self.idle.setdefault(link.place, []).append(link)
        self.dispatcher.report_idle(link.place, len(self.idle[link.place]))

    def closed(self, link: Link, by_itself: bool) -> None:
        self.budget.close_executor()
        del self.links[link]
        idle = self.idle.get(link.place, [])
        if link in idle:
            idle.remove(link)
            self.dispatcher.report_idle(link.place, len(idle))
            if by_itself and monotonic() - link.idle_since < SHORT_LIFE:
                self.short_at[link.place] = monotonic()

    def hand_over(self, heir: Callable[[dict, socket.socket], None]) -> None:
        """Another process of this node goes on with what is idle; should an executor close one meanwhile, it
        sees that end as this one would."""
        for place, links in self.idle.items():
            for link in links:
                about = {"link": place.name, "idle_since": link.idle_since, "trip": self.trips.get(place)}
                link.heir = lambda sock, about=about: heir(about, sock)
                link.close(CloseReason.HANDED_OVER)
            self.dispatcher.report_idle(place, 0)
        self.idle.clear()

    def adopt(self, place: Endpoint, sock: socket.socket, idle_since: float, trip: float | None) -> None:
        """A connection that another process of this node had: counted there until now, it fits."""
        sock.setblocking(False)
        self.budget.adopt_executor()
        link = Link(self, place, sock)
        self.links[link] = None
        link.address = sock.getpeername()[:2]  # it may be of an executor that has moved
        if trip is not None:
            self.came(place, trip)
        self.give(link)
        link.idle_since = min(idle_since, link.idle_since)

    def came(self, place: Endpoint, took: float) -> None:
        self.trips[place] = min(took, self.trips.get(place, HOLD_MOST))

    def close_idle(self, place: Endpoint) -> None:
        for link in self.idle.pop(place, []):
            link.close(CloseReason.EXECUTOR_GONE)
        self.dispatcher.report_idle(place, 0)

    def shed(self) -> bool:
        """Closes the connection that has been idle longest."""
        links = [idle[0] for idle in self.idle.values() if idle]
        if not links:
            return False
        oldest = min(links, key=lambda link: link.idle_since)
        self.idle[oldest.place].remove(oldest)
        oldest.close(CloseReason.EVICTED)
        return True

    def sweep(self) -> None:
        """An executor closes what stands idle: a task written just then would break off."""
        old = monotonic() - self.idle_time
        for links in self.idle.values():
            while links and links[0].idle_since < old:
                links.pop(0).close(CloseReason.IDLE)
        for link in list(self.links):  # an answer that has said its last line and does not end
            if isinstance(link.exchange, Exchange) and link.exchange.over:
                if link.exchange.over_at < monotonic() - END_TIME:
                    link.close(CloseReason.NO_ANSWER)

    def died(self, link: Link) -> None:
        """A kept connection ended unanswered."""
        if link.idled:
            self.dead.append((monotonic(), link.idled))

    def _life(self) -> float:
        """Seconds for which a kept connection can be relied on, by those that were dead when used lately. One
        alone may have been an executor's end."""
        ages = [idled for when, idled in self.dead if when > monotonic() - DEAD_MEMORY]
        return min(ages) if len(ages) > 1 else self.idle_time

    def _taken(self, place: Endpoint, once: bool = False) -> Link | None:
        """The kept connection used last, if there is one. What can be sent `once` only is not risked on one
        that may be dead; the others stay for what can be repeated."""
        links, now = self.idle.get(place, []), monotonic()
        if once and links and now - links[-1].idle_since >= self._life():
            return None
        while links:
            link = links.pop()
            link.idled = now - link.idle_since
            if link.open and link.fresh() and link.idled < self.idle_time:
                self.dispatcher.report_idle(place, len(links))
                return link
            link.close(CloseReason.UNRELIABLE)
        self.dispatcher.report_idle(place, 0)
        return None

    async def _opened(self, place: Endpoint) -> Link:
        sock, began = None, monotonic()
        try:
            sock = new_socket(place.address)
            async with asyncio.timeout(self.connect_time):
                await connect(sock, place.address)
        except BaseException:
            if sock is not None:
                sock.close()
            self.budget.close_executor()
            raise
        self.came(place, monotonic() - began)
        link = Link(self, place, sock)
        self.links[link] = None
        return link

    # -- assignments ---------------------------------------------------------------------------------------

    def carry(
        self,
        pending: PendingRequest,
        number: int,
        place: Endpoint,
        name: bytes,
        message: Callable,
        once: bool = False,
    ) -> None:
        """Starts an assignment; `message()` gives its bytes when they are to be written."""
        exchange = Exchange(self, pending, number, name)
        work = asyncio.get_running_loop().create_task(self._carry(exchange, place, message, once))
        self.carried[pending, number] = exchange, work

    async def _carry(self, exchange: Exchange, place: Endpoint, message: Callable, once: bool) -> None:
        link, new = self._taken(place, once), 0
        while not exchange.over:
            try:
                if link is None:
                    new += 1
                    link = await self._free(place) or await self._opened(place)
                await self._write(exchange, link, message)
                return
            except NoDescriptor:
                log_external("no descriptor is left for an executor: an assignment is not sent")
                exchange.end(Outcome.NOT_SENT)
            except OSError as problem:  # a time-out is one too
                # The next kept connection may be as dead as this one: a new one proves more, and a second one
                # that it was not by chance.
                if new >= NEW_LINKS or isinstance(problem, TimeoutError):
                    exchange.end(Outcome.CONNECT_FAILED)
                if link is not None:
                    link.close(CloseReason.PEER_LEFT)
                link = None

    async def _write(self, exchange: Exchange, link: Link, message: Callable) -> None:
        if not self.dispatcher.report_sending(exchange.pending, exchange.number):
            self.give(link)
            exchange.end(Outcome.NOT_SENT)
            return
        check_invariant(link.exchange is None, "a connection carries one thing at a time")
        link.exchange, exchange.link = exchange, link
        hold = max(HOLD_TRIPS * self.trips.get(link.place, HOLD_MOST), HOLD_LEAST)
        began = monotonic()

        def last() -> bool:
            """Not if the rest was long in writing: the message tells what was left before that."""
            held = monotonic() - began
            return held < MOST_HELD and self.dispatcher.report_committing(exchange.pending, exchange.number)

        if not await link.write(message(), min(hold, HOLD_MOST), last):
            exchange.end(Outcome.NOT_SENT)
            link.close(CloseReason.NOT_SENT)

    async def _free(self, place: Endpoint) -> Link | None:
        """Waits for a descriptor, or a connection that becomes free meanwhile. Ended at once for lack of one,
        a task would spend all its assignments in a moment."""
        end = monotonic() + self.connect_time
        while not self.budget.open_executor():
            if monotonic() > end:
                raise NoDescriptor
            await asyncio.sleep(WAIT)
            link = self._taken(place)
            if link is not None:
                return link
        return None

    def call_off(self, pending: PendingRequest, number: int) -> None:
        """Its outcome is known to the decisions already; the executor learns by the connection's end."""
        exchange, work = self.carried.pop((pending, number), (None, None))
        if exchange is not None:
            exchange.over = True
            work.cancel()
            if exchange.link is not None and exchange.link.exchange is exchange:
                exchange.link.close(CloseReason.CANCELLED)

    # -- assignments that go over to another process of this node ----------------------------------------

    def carrying(self, pending: PendingRequest, number: int) -> Link | None:
        """The connection of an assignment that can go over: all of it is written."""
        exchange, _ = self.carried.get((pending, number), (None, None))
        link = exchange.link if exchange is not None else None
        if link is None or link.exchange is not exchange or not link.open:
            return None
        return link if link.writer is None and len(link.seen) <= MOST_SEEN else None

    def let_go(self, pending: PendingRequest, number: int) -> None:
        """Another process has it, with a descriptor of its own: ours is closed, and nothing is reported."""
        exchange, _ = self.carried.pop((pending, number))
        exchange.over, exchange.link.exchange = True, None
        exchange.link.close(CloseReason.HANDED_OVER)

    def resume(
        self, pending: PendingRequest, number: int, sock: socket.socket, name: bytes, seen: bytes
    ) -> None:
        """An assignment that another process sent goes on here, behind what has come of its answer."""
        place, exchange = pending.request.attempts[number].executor.ref, Exchange(self, pending, number, name)
        sock.setblocking(False)
        self.budget.adopt_executor()
        link = Link(self, place, sock)
        link.exchange, exchange.link, self.links[link] = exchange, link, None
        self.carried[pending, number] = exchange, asyncio.get_running_loop().create_future()
        try:
            link.address = sock.getpeername()[:2]
        except OSError:
            pass  # it has broken on the way: its reader sees that
        if seen:
            link.came(seen)

    # -- probes ------------------------------------------------------------------------------------------

    def probe(self, place: Endpoint, limit: float) -> None:
        """One at a time to each executor: it may wait there like a task."""
        if place not in self.probes:
            work = asyncio.get_running_loop().create_task(self._probe(place, limit))
            self.probes[place] = work
            work.add_done_callback(lambda _: self.probes.pop(place, None))

    async def _probe(self, place: Endpoint, limit: float) -> None:
        link = self._taken(place)
        probe = Probe(self.dispatcher, place, link is not None)
        if link is None:
            short = self.short_at.get(place, 0.0) > monotonic() - SHORT_MEMORY
            if short or not self.budget.open_executor(is_health_check=True):
                return
            try:
                link = await self._opened(place)
            except (OSError, TimeoutError):
                probe.end(Outcome.CONNECT_FAILED)
                return
        link.exchange = probe
        try:
            async with asyncio.timeout(limit):
                await link.write(http.encode_request(b"GET", b"/_load", [host_header(place.address)]))
                await probe.over
        except TimeoutError:
            probe.end(Outcome.TIMED_OUT)
            link.close(CloseReason.NO_ANSWER)
            # A machine that is cut off leaves all its connections silent. What is written to one of them may
            # pass for run, while a new one that does not come up proves that nothing ran.
            self.close_idle(place)
        except OSError:
            probe.broke()
            link.close(CloseReason.PEER_LEFT)
