"""Clients' connections: tasks in, one final answer each out."""
from __future__ import annotations

import asyncio
import socket
from collections import deque
from collections.abc import Callable
from functools import partial
from time import monotonic

from firwalk.facade import Desk, Errand, Step
from firwalk.log import must, say, trouble
from firwalk.net import fields, http
from firwalk.net.budget import Budget
from firwalk.net.buffers import Buffers
from firwalk.net.executors import Executors
from firwalk.net.stalls import Stalls
from firwalk.net.waiting import readable, received

HEALTH = b"/_health"
READ_TIME = 2.0        # seconds in which a message must be whole, the first one counted from the connect
WRITE_TIME = 20.0      # seconds in which a client must take its answer
LINGER = 1.0           # seconds in which one that is sent away may read why
LINGER_STEP = 0.02     # seconds between reads of what it still sends: at full speed it would take the core
SETTLED = 0.1          # seconds after which a connection without a whole message gives way when short
NEW = 0.5              # and at the end
IDLE_TIME = 120.0      # seconds that a connection which has brought a task may stand idle
SWEEP_TIME = 0.25      # seconds between looks for what has lasted too long
AT_ONCE = 0.01         # seconds: sooner after it was turned away, a message shows that nobody waited
PUSHES = 2             # such messages in a row that are met without a pause
PAUSE = 0.25           # seconds that each one beyond waits


class Client:
    """One connection; it carries one task at a time. On a spare one each task is told 503."""

    def __init__(self, clients: Clients, sock: socket.socket, spare: bool):
        self.clients, self.sock, self.spare = clients, sock, spare
        self.parser = http.Incoming(self._came, clients.budget.hold, clients.budget.let_go)
        self.waiting: deque[tuple] = deque()
        self.room = asyncio.get_running_loop().create_future()
        self.busy, self.used, self.known, self.errand, self.writing = False, False, False, None, None
        self.message: tuple = ()                         # of its task: id, target, headers, body, keep
        self.heard_at, self.closing, self.gone = monotonic(), False, False
        self.leaving = 0                                 # what it is told for a message that ends it all
        self.turned_away_at, self.pushes = 0.0, 0
        self.heir: Callable[[socket.socket], None] | None = None    # who gets it when its reader has let go
        self.reading = asyncio.get_running_loop().create_task(self._read())
        self.reading.add_done_callback(self._closed)

    async def _read(self) -> None:
        buffer, loop = self.clients.buffers.take(), asyncio.get_running_loop()
        view = memoryview(buffer)
        try:
            while count := await received(self.sock, buffer):
                if not self.parser.partial and self.used:
                    self.heard_at = monotonic()
                self.parser.feed(view[:count])
                self._next()
                if self.parser.expects and not self.busy:  # else the word would stand before another answer
                    self.parser.expects = False
                    self.sock.send(http.GO_ON)
                while self.waiting:  # what it sends beyond that stays with the machine, not in our memory
                    self.room = loop.create_future()
                    await self.room
                if self.leaving:
                    raise http.Malformed(self.leaving, "turned away, with more behind it")
        except OSError:
            pass
        except http.Malformed as problem:
            await self._spoilt(problem, buffer)
        except Exception as problem:
            trouble("reading from a client", problem)
        finally:
            view.release()
            self.clients.buffers.give(buffer)

    async def _spoilt(self, problem: http.Malformed, buffer: bytearray) -> None:
        """Where one message ends and the next begins is not sure any more: with a wrong length, also the task
        in hand is not what its client meant. It is called off, and told so."""
        self.clients.malformed += 1
        say(f"a client's bytes: {problem}")
        self.leaving = problem.status
        self._forget()
        while self.busy:  # an answer is on its way
            await asyncio.sleep(0.02)
        await self._turn_away(problem.status, buffer)

    def _forget(self) -> None:
        """Drops what waits and calls off what is in work."""
        while self.waiting:
            self.clients.budget.let_go(len(self.waiting.popleft()[3]))
        self.parser.drop()
        errand, self.errand = self.errand, None
        if errand is not None:
            self.busy = False
            self.clients.desk.report_gone(errand)

    def _closed(self, _: asyncio.Task) -> None:
        """Also where the reader was cancelled before it began: its own `finally` would not run then."""
        self.gone = True
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
            async with asyncio.timeout(LINGER):
                await loop.sock_sendall(self.sock, http.answer(status, keep=False))
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
        came_at = now - self.clients.stalls.behind(now, self.sock)
        self.waiting.append((method, target, headers, body, keep, came_at))

    def _next(self) -> None:
        if self.waiting and not self.busy:
            self.busy = self.used = True
            work = self.clients.serve(self, *self.waiting.popleft())
            self.clients.keep(asyncio.get_running_loop().create_task(work))
            if not self.waiting and not self.room.done():
                self.room.set_result(None)

    async def answer(self, status: int, body: bytes, keep: bool, advice: float = 0.0) -> None:
        """Writes an answer and goes on to what waits; the connection's reader notices its end."""
        must(self.busy, "an answer belongs to a message")
        keep = keep and not self.clients.stopping or bool(self.waiting)  # those have been taken too
        if 400 <= status < 500 and self.waiting and not self.gone:
            self._send_away(status)
            return
        if not self.gone:
            try:
                async with asyncio.timeout(WRITE_TIME):
                    self.writing = asyncio.current_task()
                    await asyncio.get_running_loop().sock_sendall(
                        self.sock, http.answer(status, body, keep, advice))
            except (OSError, TimeoutError):
                keep = False
            finally:
                self.writing = None
        self.busy, self.heard_at = False, monotonic()
        if status >= 400:
            self.turned_away_at = self.heard_at
        if self.gone:
            return
        if self.waiting:
            self._next()
        elif not keep and not self.leaving:  # one that is sent away is told so by its reader
            self.close()
        else:  # at once: a client that goes on without a pause is never found still by a look now and then
            self.clients.move(self)

    def _send_away(self, status: int) -> None:
        """Hundreds of bad messages at once: the first is answered, and the connection ends with it."""
        self.busy, self.leaving = False, status
        self._forget()
        if not self.room.done():
            self.room.set_result(None)

    def still(self) -> bool:
        """Nothing of a message is read and nothing in work; what may be unread stays in the socket."""
        return not (self.busy or self.closing or self.parser.partial or self.leaving or self.waiting)

    def hand_over(self, heir: Callable[[socket.socket], None]) -> None:
        """Another process goes on with it, as soon as the event loop has let go of it."""
        self.heir = heir
        self.close()

    def idle(self) -> bool:
        """Nothing is in work, nor about to be."""
        return not (self.busy or self.closing or self.parser.partial or self.leaving) and self._read_up()

    def _read_up(self) -> bool:
        """Nothing has come that is not read yet: closed now, it would be lost."""
        try:
            return not self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False

    def dispensable(self, now: float) -> int:
        """What is closed first when descriptors are short: those sent away, those that never brought a task,
        those whose tasks are done; 3: none of these."""
        if self.leaving:
            return 0
        if not self.known and now - self.heard_at > SETTLED and self._read_up():
            return 1
        return 2 if self.known and self.idle() else 3

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            self.reading.cancel()


class Clients:
    """All clients' connections, and the attending of their tasks."""

    def __init__(self, desk: Desk, executors: Executors, budget: Budget, buffers: Buffers):
        self.desk, self.executors, self.budget, self.buffers = desk, executors, budget, buffers
        self.open: dict[Client, None] = {}
        self.works: dict[asyncio.Task, None] = {}
        self.names: dict[bytes, None] = {}       # ids of the tasks in work
        self.ending, self.stopping, self.malformed = False, False, 0
        # Another process of this node gets each as soon as it is still: whom to give it to.
        self.moving: Callable[[bool, socket.socket], None] | None = None
        self.accepted_at, self.stalls = monotonic(), Stalls()
        self.held: socket.socket | None = None   # accepted, while no descriptor is free for it
        budget.shed_client = self.shed

    def keep(self, work: asyncio.Task) -> None:
        """The event loop itself holds tasks only weakly."""
        self.works[work] = None
        work.add_done_callback(lambda _: self.works.pop(work, None))

    # -- connections -------------------------------------------------------------------------------------

    async def accept(self, listener: socket.socket) -> None:
        while True:
            try:
                await readable(listener)
                sock, _ = listener.accept()
            except BlockingIOError:  # another process of this node was quicker
                continue
            except OSError as problem:
                say(f"no connection accepted: {problem}")
                await asyncio.sleep(0.05)
                continue
            self.held = sock
            while not self.admit(sock):  # it waits with what the machine has accepted: closed, it were lost
                await asyncio.sleep(0.01)
            self.held = None

    def admit(self, sock: socket.socket) -> bool:
        spare = not self.budget.open_client()
        if spare and not self.budget.open_spare():
            return False
        self.accepted_at = monotonic()
        sock.setblocking(False)
        self.open[Client(self, sock, spare)] = None
        return True

    def adopt(self, sock: socket.socket, known: bool) -> Client:
        """A connection that another process of this node had: counted there until now, it fits."""
        self.budget.adopt_client()
        sock.setblocking(False)
        client = Client(self, sock, False)
        client.known = client.used = known
        self.open[client] = None
        return client

    def resume(self, sock: socket.socket, errand: Errand, message: tuple) -> None:
        """A client whose task another process of this node had; no answer to it has been begun there."""
        client = self.adopt(sock, True)
        client.busy, client.errand, client.message = True, errand, message
        self.keep(asyncio.get_running_loop().create_task(self._resumed(client, errand, message)))

    async def _resumed(self, client: Client, errand: Errand, message: tuple) -> None:
        name, size = message[0], len(message[3])
        self.names[name], held = None, self.budget.hold(size)
        try:
            await self._attend(client, errand, *message)
        except Exception as problem:
            trouble("attending to a client of the process before", problem)
            client.close()
        finally:
            del self.names[name]
            self.budget.let_go(size if held else 0)

    def closed(self, client: Client) -> None:
        self.open.pop(client, None)
        self.budget.close_client(client.spare)

    def movable(self, client: Client) -> bool:
        """Its task may go over: nothing else is read from it, and no answer begun."""
        return client.errand is not None and not (
            client.gone or client.closing or client.leaving or client.parser.partial or client.waiting)

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
        now, best = monotonic(), None
        for client in self.open:
            if client.spare == spare and not client.busy and not client.closing:
                rank = client.dispensable(now), client.heard_at
                if rank[0] < 3 and (best is None or rank < best[0]):
                    best = rank, client
        if best is not None:
            best[1].close()
        return best is not None

    async def sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_TIME)
            now = monotonic()
            for client in list(self.open):
                still = now - client.heard_at
                if client.busy or client.closing or client.leaving or still < READ_TIME:
                    continue
                if client.parser.partial:
                    self._too_slow(client)
                elif (not client.known or still > IDLE_TIME) and client.idle():
                    client.close()

    def _too_slow(self, client: Client) -> None:
        self.malformed += 1
        try:
            client.sock.send(http.answer(408, keep=False))
        except OSError:
            pass
        client.close()

    def close_idle(self) -> None:
        """At the end; one that has just come is about to send."""
        new = monotonic() - NEW
        for client in list(self.open):
            if (client.used or client.heard_at < new) and client.idle():
                client.close()

    # -- a task's life -----------------------------------------------------------------------------------

    async def serve(self, client: Client, method: bytes, target: bytes, headers: dict, body: bytes,
                    keep: bool, came_at: float) -> None:
        try:
            if client.pushes > PUSHES:  # the same again as soon as it was turned away: others need the core
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
            trouble("attending to a client", problem)
            client.close()
        finally:
            self.budget.let_go(len(body))

    async def _task(self, client: Client, target: bytes, headers: dict, body: bytes, keep: bool,
                    came_at: float) -> None:
        try:
            name, told = fields.read(target, headers)
        except fields.Unreadable:
            await client.answer(400, b"", keep)
            return
        # Told before its bytes were read, the answer would be lost with the connection, and the task with it.
        if client.spare and not await self._settled(client):
            say("no descriptor is left for a client: its task is told 503")
            await client.answer(503, b"", False)
            return
        if name in self.names:  # executors know tasks by their ids: two of one id would end as one
            await client.answer(409, b"", keep)
            return
        errand = self.desk.report_task(waited=monotonic() - came_at, **told)
        if errand is None and told["offering"] in self.desk.vanished:
            await client.answer(503, b"", keep, self.desk.node.longest_advice)  # nothing of it has run
            return
        if errand is None:
            await client.answer(400 if told["offering"] in self.desk.offerings else 404, b"", keep)
            return
        client.errand, client.known, self.names[name] = errand, True, None
        client.message = name, target, headers, body, keep
        if client.gone:
            self.desk.report_gone(errand)
        try:
            await self._attend(client, errand, name, target, headers, body, keep)
        finally:
            del self.names[name]

    async def _settled(self, client: Client) -> bool:
        """Moves it to a common descriptor; those that say nothing may give way a moment later."""
        end = monotonic() + 2 * SETTLED
        while not client.gone and not self.budget.settle():
            if monotonic() > end:
                return False
            await asyncio.sleep(0.01)
        if client.gone:
            return False
        client.spare = False
        return True

    async def _attend(self, client: Client, errand: Errand, name: bytes, target: bytes, headers: dict,
                      body: bytes, keep: bool) -> None:
        """Does what each step says, until nothing more can come."""
        while (step := await self.desk.pick(errand)) is not None:
            kind = step[0]
            if kind is Step.SEND:
                _, number, place, seconds, once = step
                self.executors.carry(errand, number, place, name,
                                     _message(target, headers, body, monotonic() + seconds), once)
            elif kind is Step.CALL_OFF:
                self.executors.call_off(errand, step[1])
            elif client.errand is not errand:
                pass  # the client has been sent away meanwhile
            elif kind is Step.FINISHED:
                self._answer(client, 200, step[1], keep)
            elif kind is Step.BOUNCED:
                self._answer(client, 503, b"", keep, step[1])
            else:
                self._answer(client, 400 if kind is Step.UNFIT else 500, b"", keep)

    def _answer(self, client: Client, status: int, body: bytes, keep: bool, advice: float = 0.0) -> None:
        """Beside the steps: a client that is slow to read must not keep assignments from being called off."""
        client.errand = None
        self.keep(asyncio.get_running_loop().create_task(client.answer(status, body, keep, advice)))


def _message(target: bytes, headers: dict, body: bytes, end: float):
    """The bytes of an assignment, made when they are written: the time left is told in them."""
    def message() -> bytes:
        lines = [(b"Host", headers.get(b"host", b"backend.local")),
                 (b"X-Request-Id", headers[b"x-request-id"]),
                 (b"X-Deadline", b"%dm" % max(int((end - monotonic()) * 1e3), 1))]
        if b"idempotency-key" in headers:
            lines.append((b"Idempotency-Key", headers[b"idempotency-key"]))
        return http.ask(b"POST", target, lines, body)
    return message
