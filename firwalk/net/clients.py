"""Clients' connections: tasks in, one final answer each out."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from itertools import islice
from time import monotonic

from firwalk.dispatcher.actions import (
    CancelAttempt,
    CompleteRequest,
    FailRequest,
    RejectInvalidRequest,
    RejectRequest,
    SendAttempt,
)
from firwalk.dispatcher.dispatcher import Dispatcher, PendingRequest
from firwalk.net import fields, http
from firwalk.net.budget import Budget
from firwalk.net.buffers import Buffers
from firwalk.net.errors import Pause, concerns_connection
from firwalk.net.executors import Executors
from firwalk.net.stalls import StallDetector
from firwalk.net.waiting import has_hung_up, receive_into, wait_readable
from firwalk.observability.events import CloseReason, Event, EventLog, FailureReason
from firwalk.observability.log import check_invariant, log_exception, log_external
from firwalk.observability.monitor import Monitor, Rule

HEALTH = b"/_health"
READ_TIME = 2.0  # seconds in which a message must be whole, the first one counted from the connect
WRITE_TIME = 20.0  # seconds in which a client must take its answer
LINGER = 1.0  # seconds in which one that is sent away may read why
SLOW_LINGER = 0.25  # seconds of it for one whose message does not end
LINGER_STEP = 0.02  # seconds between reads of what it still sends: at full speed it would take the core
SETTLED = 0.1  # seconds after which a connection without a whole message gives way when short
NEW = 0.5  # and at the end
NEW_AT_LAST = 0.1  # and when all is answered
ACCEPTS = 16  # connections that are let in at a time, before others have their turn
LOOKS = 64  # at those still longest, for one that may give way: at all of them takes too long
IDLE_TIME = 120.0  # seconds that a connection which has brought a task may stand idle
SWEEP_TIME = 0.25  # seconds between looks for what has lasted too long
AT_ONCE = 0.01  # seconds: sooner after it was turned away, a message shows that nobody waited
TOO_SLOW = 408  # of a message that does not end in its time
NO_ROOM = 503  # of a message whose body finds no memory
PUSHES = 2  # such messages in a row that are met without a pause
PAUSE = 0.25  # seconds that each one beyond waits
READ_AHEAD = 32  # messages of a connection that are read while one is in work: their time runs by then
HANG_UP_TIME = 0.03  # seconds between looks whether a client has gone whose further bytes are not read


class Client:
    """One connection; it carries one task at a time. On a spare one each task is told 503."""

    def __init__(self, clients: Clients, sock: socket.socket, spare: bool, accepted_at: float):
        self.clients, self.sock, self.spare = clients, sock, spare
        self.parser = http.RequestParser(
            self._came, clients.budget.reserve_memory, clients.budget.release_memory
        )
        self.waiting: deque[tuple] = deque()
        self.room = asyncio.get_running_loop().create_future()
        self.busy = False
        self.used = False
        self.known = False
        self.pending: PendingRequest | None = None
        self.writing: asyncio.Task | None = None
        self.message: tuple = ()  # of its task: id, target, headers, body, keep
        self.heard_at, self.closing, self.gone = monotonic(), False, False
        # What is there already when it is let in may have waited since then; None once that is read.
        self.accepted_at: float | None = None if self._read_up() else accepted_at
        self.leaving = 0  # what it is told for a message that ends it all
        self.turned_away_at, self.pushes = 0.0, 0
        self.heir: Callable[[socket.socket], None] | None = None  # who gets it when its reader has let go
        self.close_reason = CloseReason.PEER_LEFT  # until it is ended here
        self.reading = asyncio.get_running_loop().create_task(self._read())
        self.reading.add_done_callback(self._closed)

    async def _read(self) -> None:
        buffer = self.clients.buffers.take()
        view = memoryview(buffer)
        try:
            while count := await receive_into(self.sock, buffer):
                if not self.parser.is_partial and self.used:
                    self.heard_at = monotonic()
                self.parser.feed(view[:count])
                self.accepted_at = None
                self._next()
                if (
                    self.parser.expects_continue and not self.busy
                ):  # else the word would stand before another answer
                    self.parser.expects_continue = False
                    await asyncio.get_running_loop().sock_sendall(self.sock, http.CONTINUE_RESPONSE)
                while len(self.waiting) >= READ_AHEAD:  # the rest stays with the machine, not in our memory
                    if not await self._room():
                        return
        except OSError:
            pass
        except asyncio.CancelledError:
            if self.closing or not self.leaving:
                raise
            asyncio.current_task().uncancel()  # by `leave`, to tell the client why
            await self._turn_away(self.leaving, buffer)
        except http.Malformed as problem:
            await self._spoilt(problem, buffer)
        except Exception as problem:
            log_exception("reading from a client", problem)
        finally:
            view.release()
            self.clients.buffers.give(buffer)

    async def _room(self) -> bool:
        """Waits until fewer messages wait; False: the client has gone meanwhile, which no read shows."""
        self.room = asyncio.get_running_loop().create_future()
        while not self.room.done():
            await asyncio.wait([self.room], timeout=HANG_UP_TIME)
            if has_hung_up(self.sock):
                return False
        return True

    async def _spoilt(self, problem: http.Malformed, buffer: bytearray) -> None:
        """Where one message ends and the next begins is not sure any more: with a wrong length, also the task
        in hand is not what its client meant. It is called off, and told so. Where only memory is short, what
        came before has its own answers first: a 503 in place of them would promise a harmless retry of what
        may have run."""
        self.clients.malformed += 1
        log_external(f"a client's bytes: {problem}")
        if problem.status == NO_ROOM:
            self.parser.discard_body()
            while self.busy or self.waiting:
                await asyncio.sleep(HANG_UP_TIME)
                if has_hung_up(self.sock):
                    return
        self.leaving, self.close_reason = problem.status, CloseReason.MALFORMED
        self.clients.departs(self)
        self._forget()
        while self.busy:  # an answer is on its way
            await asyncio.sleep(0.02)
        await self._turn_away(problem.status, buffer)

    def _forget(self) -> None:
        """Drops what waits and calls off what is in work."""
        while self.waiting:
            self.clients.budget.release_memory(len(self.waiting.popleft()[3]))
        self.parser.discard_body()
        pending, self.pending = self.pending, None
        if pending is not None:
            self.busy = False
            self.clients.dispatcher.report_client_left(pending)

    def _closed(self, _: asyncio.Task) -> None:
        """Also where the reader was cancelled before it began: its own `finally` would not run then."""
        self.gone = True
        self.clients.check_closed(self)
        self._forget()
        if self.writing is not None:
            self.writing.cancel()
        if self.heir is None:
            self.sock.close()
        else:
            self.heir(self.sock)
        self.clients.closed(self)

    async def _turn_away(self, status: int, buffer: bytearray) -> None:
        """The rest is read for a moment, or the close would take the answer with it."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(SLOW_LINGER if status == TOO_SLOW else LINGER):
                await loop.sock_sendall(self.sock, http.encode_response(status, keep_alive=False))
                self.sock.shutdown(socket.SHUT_WR)
                while await loop.sock_recv_into(self.sock, buffer):
                    await asyncio.sleep(LINGER_STEP)
        except (OSError, TimeoutError):
            pass

    def _came(self, method: bytes, target: bytes, headers: dict, body: bytes, keep: bool) -> None:
        """Nothing begins before all bytes of a read are taken apart: what follows may show that the length
        was wrong."""
        now = monotonic()
        self.pushes = self.pushes + 1 if now - self.turned_away_at < AT_ONCE else 0
        came_at = now - self.clients.stalls.time_unread(now, self.sock)
        if self.accepted_at is not None:
            came_at = min(came_at, self.accepted_at)
        self.waiting.append((method, target, headers, body, keep, came_at))

    def _next(self) -> None:
        if self.waiting and not self.busy:
            self.busy = self.used = True
            work = self.clients.serve(self, *self.waiting.popleft())
            self.clients.keep(asyncio.get_running_loop().create_task(work))
            if not self.room.done():
                self.room.set_result(None)

    async def answer(self, status: int, body: bytes, keep: bool, advice: float = 0.0) -> None:
        """Writes an answer and goes on to what waits; the connection's reader notices its end."""
        check_invariant(self.busy, "an answer belongs to a message")
        more = keep  # whether its client may send more, by its own word or ours
        keep = keep and not self.clients.stopping or bool(self.waiting)  # those have been taken too
        if 400 <= status < 500 and self.waiting and not self.gone and self.clients.all_bad(self.waiting):
            self.busy = False
            self._forget()
            self.leave(status, "turned away, with more of the kind behind it")
            return
        if not self.gone:
            try:
                async with asyncio.timeout(WRITE_TIME):
                    self.writing = asyncio.current_task()
                    await asyncio.get_running_loop().sock_sendall(
                        self.sock, http.encode_response(status, body, keep, advice)
                    )
            except (OSError, TimeoutError):
                keep = False
            finally:
                self.writing = None
        self.busy, self.heard_at = False, monotonic()
        self.clients.rests(self)
        if status >= 400:
            self.turned_away_at = self.heard_at
        if self.gone:
            return
        if self.waiting:
            self._next()
        elif not keep and not self.leaving:  # one that is sent away is told so by its reader
            if self._read_up():
                self.close(CloseReason.STOPPING if more else CloseReason.LAST_ANSWER)
            elif not more:
                await self._linger()
            # Else more came while the last answer was written: it is read, and answered like the rest.
        else:  # at once: a client that goes on without a pause is never found still by a look now and then
            self.clients.move(self)

    async def _linger(self) -> None:
        """A close over unread bytes resets the connection, and takes an answer along that its client has not
        read yet. Nothing is read any more."""
        self.closing, self.close_reason = True, CloseReason.LAST_ANSWER
        try:
            self.sock.shutdown(socket.SHUT_WR)
            end = monotonic() + LINGER
            while monotonic() < end and not has_hung_up(self.sock):
                await asyncio.sleep(LINGER_STEP)
        except OSError:
            pass
        self.reading.cancel()

    def leave(self, status: int, why: str) -> None:
        """Nothing more is read from it; it is told the status, and the connection ends with that."""
        self.clients.malformed += 1
        log_external(f"a client's bytes: {why}")
        self.refuse(status, CloseReason.MALFORMED)

    def refuse(self, status: int, reason: CloseReason) -> None:
        """Tells a status in place of what it is about to send, and ends the connection with that."""
        self.leaving, self.close_reason = status, reason
        self.clients.departs(self)
        self.reading.cancel()

    def owes(self) -> bool:
        """Whether a message that was read whole has no answer yet."""
        return (self.busy or bool(self.waiting)) and self.heir is None

    def request_id(self) -> str:
        """Of the request that it sent last; empty where there was none."""
        return self.message[0].decode("latin-1") if self.message else ""

    def still(self) -> bool:
        """Nothing of a message is read and nothing in work; what may be unread stays in the socket."""
        return not (self.busy or self.closing or self.parser.is_partial or self.leaving or self.waiting)

    def hand_over(self, heir: Callable[[socket.socket], None]) -> None:
        """Another process goes on with it, as soon as the event loop has let go of it."""
        self.heir = heir
        self.close(CloseReason.HANDED_OVER)

    def idle(self) -> bool:
        """Nothing is in work, nor about to be."""
        return not (self.busy or self.closing or self.parser.is_partial or self.leaving) and self._read_up()

    def _read_up(self) -> bool:
        """Nothing has come that is not read yet: closed now, it would be lost."""
        try:
            return not self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False

    def dispensable(self, now: float) -> bool:
        """What may be closed when descriptors are short: one that is sent away, one that never brought a
        task, one whose tasks are done."""
        if self.busy:
            return False
        if self.leaving:
            return True
        return self.idle() if self.known else now - self.heard_at > SETTLED and self._read_up()

    def close(self, reason: CloseReason) -> None:
        """The one way to end a connection from here, with its reason."""
        if not self.closing:
            self.closing, self.close_reason = True, reason
            self.clients.departs(self)
            self.reading.cancel()


class Clients:
    """All clients' connections, and the attending of their tasks."""

    def __init__(
        self,
        dispatcher: Dispatcher,
        executors: Executors,
        budget: Budget,
        buffers: Buffers,
        monitor: Monitor | None = None,
    ):
        self.monitor = monitor or Monitor(EventLog(), monotonic)
        self.dispatcher, self.executors, self.budget, self.buffers = dispatcher, executors, budget, buffers
        self.open: dict[Client, None] = {}
        # Of these, the one that has been still longest first: sent away; without a task yet; with one before.
        self.departing: dict[Client, None] = {}
        self.untried: dict[Client, None] = {}
        self.rested: dict[Client, None] = {}
        self.works: dict[asyncio.Task, None] = {}
        self.names: dict[bytes, None] = {}  # ids of the tasks in work
        self.ending, self.stopping, self.malformed = False, False, 0
        # Another process of this node gets each as soon as it is still: whom to give it to.
        self.moving: Callable[[bool, socket.socket], None] | None = None
        self.accepted_at, self.stalls = monotonic(), StallDetector()
        self.held: socket.socket | None = None  # accepted, while no descriptor is free for it
        budget.evict_client = self.shed

    def keep(self, work: asyncio.Task) -> None:
        """The event loop itself holds tasks only weakly."""
        self.works[work] = None
        work.add_done_callback(lambda _: self.works.pop(work, None))

    # -- connections -------------------------------------------------------------------------------------

    async def accept(self, listener: socket.socket) -> None:
        pause = Pause()
        while True:
            await wait_readable(listener)
            for _ in range(ACCEPTS):
                try:
                    sock, _ = listener.accept()
                except BlockingIOError:  # that was all, or another process of this node was quicker
                    break
                except OSError as problem:
                    log_external(f"no connection accepted: {problem}")
                    if concerns_connection(problem):
                        continue
                    await asyncio.sleep(pause.next())
                    break
                pause.over()
                self.held, accepted_at = sock, monotonic()
                while not self.admit(sock, accepted_at):  # closed, what its client has sent were lost
                    await asyncio.sleep(0.01)
                self.held = None
            else:
                await asyncio.sleep(0)  # what was let in has its turn

    def admit(self, sock: socket.socket, accepted_at: float | None = None, spare: bool = False) -> bool:
        """Lets a connection in, on a spare descriptor if it must; False if none is left. `spare`: on one in
        any case, since it has its descriptor already and there is no more time to wait for another."""
        if spare:
            self.budget.force_spare()
        elif not self.budget.open_client():
            spare = True
            if not self.budget.open_spare():
                return False
        self.accepted_at = monotonic()
        sock.setblocking(False)
        with suppress(OSError):  # it may be reset already
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.monitor.events.record(Event.CLIENT_CONNECTED, "spare" if spare else "")
        client = Client(self, sock, spare, self.accepted_at if accepted_at is None else accepted_at)
        self.open[client] = self.untried[client] = None
        return True

    def adopt(self, sock: socket.socket, known: bool) -> Client:
        """A connection that another process of this node had: counted there until now, it fits."""
        self.budget.adopt_client()
        sock.setblocking(False)
        client = Client(self, sock, False, monotonic())
        client.known = client.used = known
        self.open[client] = None
        (self.rested if known else self.untried)[client] = None
        return client

    def resume(self, sock: socket.socket, pending: PendingRequest, message: tuple) -> None:
        """A client whose task another process of this node had; no answer to it has been begun there."""
        client = self.adopt(sock, True)
        client.busy, client.pending, client.message = True, pending, message
        self.keep(asyncio.get_running_loop().create_task(self._resumed(client, pending, message)))

    async def _resumed(self, client: Client, pending: PendingRequest, message: tuple) -> None:
        name, size = message[0], len(message[3])
        self.names[name], held = None, self.budget.reserve_memory(size)
        try:
            await self._attend(client, pending, *message)
        except Exception as problem:
            log_exception("attending to a client of the process before", problem)
            client.close(CloseReason.FAILURE)
        finally:
            del self.names[name]
            self.budget.release_memory(size if held else 0)

    def departs(self, client: Client) -> None:
        """It is sent away, or closed: the first to give way."""
        self.untried.pop(client, None)
        self.rested.pop(client, None)
        self.departing[client] = None

    def rests(self, client: Client) -> None:
        """It has its answer: the last to give way of those with a task before."""
        if client.known and client not in self.departing:
            self.untried.pop(client, None)
            self.rested.pop(client, None)
            self.rested[client] = None

    def closed(self, client: Client) -> None:
        for group in (self.open, self.departing, self.untried, self.rested):
            group.pop(client, None)
        self.budget.close_client(client.spare)

    def movable(self, client: Client) -> bool:
        """Its task may go over: nothing else is read from it, and no answer begun."""
        return client.pending is not None and not (
            client.gone or client.closing or client.leaving or client.parser.is_partial or client.waiting
        )

    def move(self, client: Client) -> None:
        """The other process goes on with it, if there is one that does and nothing is in work."""
        if self.moving is not None and client.still():
            client.hand_over(partial(self.moving, client.known))

    def shed(self, spare: bool) -> bool:
        """Closes the most dispensable connection, of several the one that has been still longest. What has
        just come is about to send: a task written to it would be lost. One that is about to go over to
        another process would meet an end there that nothing makes necessary."""
        if self.moving is not None:
            return False
        now = monotonic()
        for group in (self.departing, self.untried, self.rested):
            for client in islice(group, LOOKS):
                if client.spare == spare and not client.closing and client.dispensable(now):
                    client.close(CloseReason.EVICTED)
                    return True
        return False

    async def sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_TIME)
            now = monotonic()
            for client in list(self.open):
                still = now - client.heard_at
                if client.busy or client.closing or client.leaving or still < READ_TIME:
                    continue
                if client.parser.is_partial:
                    client.leave(TOO_SLOW, "a message that does not end")
                elif (not client.known or still > IDLE_TIME) and client.idle():
                    client.close(CloseReason.IDLE if client.known else CloseReason.SILENT)

    def wind_down(self, final: bool) -> None:
        """At the end: what rests is closed; one that has just come is about to send. `final`: no time is left
        for that either, and a message that is not whole is turned away, which promises a harmless retry."""
        new = monotonic() - (NEW_AT_LAST if final else NEW)
        for client in list(self.open):
            if (client.used or client.heard_at < new) and client.idle():
                client.close(CloseReason.STOPPING)
            elif (
                final and client.parser.is_partial and not (client.owes() or client.leaving or client.closing)
            ):
                client.refuse(NO_ROOM, CloseReason.STOPPING)

    def check_closed(self, client: Client) -> None:
        """Counts the end of a connection, and what is still owed on one that is ended from here."""
        reason = client.close_reason
        self.monitor.events.record(Event.CLIENT_CLOSED, reason)
        if reason is not CloseReason.PEER_LEFT and client.owes():
            self.monitor.violation(Rule.ANSWERED, client.request_id(), closed=reason)

    def check_stopped(self) -> None:
        """At the end of the process: whether anything is still owed."""
        for client in self.open:
            if client.owes():
                self.monitor.violation(Rule.ANSWERED, client.request_id(), closed="process ends")

    def all_bad(self, messages: deque[tuple]) -> bool:
        """Whether each of them can only be turned away as well."""
        return not any(self._readable(*message[:3]) for message in messages)

    def _readable(self, method: bytes, target: bytes, headers: dict) -> bool:
        if method == b"GET" and target == HEALTH:
            return True
        try:
            return method == b"POST" and self.dispatcher.has_request_class(
                fields.read(target, headers)[1].request_class
            )
        except fields.Unreadable:
            return False

    # -- a task's life -----------------------------------------------------------------------------------

    async def serve(
        self,
        client: Client,
        method: bytes,
        target: bytes,
        headers: dict,
        body: bytes,
        keep: bool,
        came_at: float,
    ) -> None:
        try:
            # The same again as soon as it was turned away: others need the core.
            if client.pushes > PUSHES and not self.stopping:
                await asyncio.sleep(PAUSE)
            if client.leaving:  # sent away meanwhile
                client.busy = False
                return
            if method == b"POST":
                await self._task(client, target, headers, body, keep, came_at)
            elif method != b"GET":
                await client.answer(405, b"", keep)
            elif target != HEALTH:
                await client.answer(404, b"", keep)
            else:
                await client.answer(503 if self.ending else 200, b"", keep)
        except Exception as problem:
            log_exception("attending to a client", problem)
            client.close(CloseReason.FAILURE)
        finally:
            self.budget.release_memory(len(body))

    async def _task(
        self, client: Client, target: bytes, headers: dict, body: bytes, keep: bool, came_at: float
    ) -> None:
        try:
            name, head = fields.read(target, headers)
        except fields.Unreadable:
            self._refused(b"", 400, FailureReason.BAD_REQUEST)
            await client.answer(400, b"", keep)
            return
        # Told before its bytes were read, the answer would be lost with the connection, and the task with it.
        if client.spare and not await self._settled(client):
            log_external("no descriptor is left for a client: its task is told 503")
            self._refused(name, 503, FailureReason.NO_DESCRIPTOR)
            await client.answer(503, b"", False)
            return
        if name in self.names:  # executors know tasks by their ids: two of one id would end as one
            self._refused(name, 409, FailureReason.DUPLICATE_ID)
            await client.answer(409, b"", keep)
            return
        pending = self.dispatcher.report_request(
            head.request_class,
            head.tenant,
            head.budget_s,
            head.cost_s,
            head.slots,
            head.memory,
            head.is_retry,
            marked=head.has_idempotency_key,
            waited=monotonic() - came_at,
            key=head.routing_key,
            request_id=name.decode("latin-1"),
        )
        if pending is None and head.request_class in self.dispatcher.removed_classes:
            self._refused(name, 503, FailureReason.CLASS_GONE)
            await client.answer(
                503, b"", keep, self.dispatcher.policy.max_retry_after
            )  # nothing of it has run
            return
        if pending is None:
            self._refused(name, 400, FailureReason.BAD_REQUEST)
            await client.answer(
                400 if head.request_class in self.dispatcher.request_classes else 404, b"", keep
            )
            return
        client.pending, client.known, self.names[name] = pending, True, None
        pending.has_client_left = partial(has_hung_up, client.sock)
        client.message = name, target, headers, body, keep
        if client.gone:
            self.dispatcher.report_client_left(pending)
        try:
            await self._attend(client, pending, name, target, headers, body, keep)
        finally:
            del self.names[name]

    async def _settled(self, client: Client) -> bool:
        """Moves it to a common descriptor; those that say nothing may give way a moment later."""
        end = monotonic() + 2 * SETTLED
        while not client.gone and not self.budget.move_off_spare():
            if monotonic() > end:
                return False
            await asyncio.sleep(0.01)
        if client.gone:
            return False
        client.spare = False
        return True

    async def _attend(
        self,
        client: Client,
        pending: PendingRequest,
        name: bytes,
        target: bytes,
        headers: dict,
        body: bytes,
        keep: bool,
    ) -> None:
        """Does what each step says, until nothing more can come."""
        while (action := await self.dispatcher.next_action(pending)) is not None:
            match action:
                case SendAttempt():
                    message = _message(target, headers, body, action.deadline, self.dispatcher.clock)
                    self.executors.carry(
                        pending,
                        action.number,
                        action.endpoint,
                        name,
                        message,
                        action.is_non_idempotent,
                    )
                case CancelAttempt():
                    self.executors.call_off(pending, action.number)
                case _ if client.pending is not pending:
                    pass  # the client has been sent away meanwhile
                case CompleteRequest():
                    self._answer(client, 200, action.result, keep)
                case RejectRequest():
                    self._answer(client, 503, b"", keep, action.retry_after_s, pending.failure_reason)
                case RejectInvalidRequest():
                    self._answer(client, 400, b"", keep, reason=FailureReason.BAD_REQUEST)
                case FailRequest():
                    self._answer(client, 500, b"", keep, reason=pending.failure_reason)

    def _refused(self, request_id: bytes, status: int, reason: FailureReason) -> None:
        """Counts a request that is turned away before it is anybody's."""
        self.monitor.events.record(
            Event.REQUEST_ANSWERED, reason, request_id.decode("latin-1"), status=status
        )

    def _answer(
        self,
        client: Client,
        status: int,
        body: bytes,
        keep: bool,
        advice: float = 0.0,
        reason: str = "served",
    ) -> None:
        """Beside the steps: a client that is slow to read must not keep assignments from being called off."""
        if client.pending.record is not None:
            self.monitor.answered(client.pending.record, status, reason)
        client.pending = None
        self.keep(asyncio.get_running_loop().create_task(client.answer(status, body, keep, advice)))


def _message(target: bytes, headers: dict, body: bytes, end: float, clock: Callable[[], float]):
    """The bytes of an assignment, made when they are written: the time left until `end`, on the clock of the
    decisions, is told in them."""

    def message() -> bytes:
        lines = [
            (b"Host", headers.get(b"host", b"backend.local")),
            (b"X-Request-Id", headers[b"x-request-id"]),
            (b"X-Deadline", b"%dm" % max(int((end - clock()) * 1e3), 1)),
        ]
        if b"idempotency-key" in headers:
            lines.append((b"Idempotency-Key", headers[b"idempotency-key"]))
        return http.encode_request(b"POST", target, lines, body)

    return message
