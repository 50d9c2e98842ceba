"""What the two processes of one node do for each other, on both sides: see `firwalk.net.control_channel`."""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable
from time import monotonic
from typing import TYPE_CHECKING, Protocol

from firwalk.dispatcher.request_handover import (
    HandedOverRequest,
    HandoverError,
    export_request,
    resume_request,
)
from firwalk.net.control_channel import (
    VERSION,
    ChannelClosed,
    ControlChannel,
    RendezvousSocket,
    connect_to_predecessor,
)
from firwalk.observability.events import CloseReason
from firwalk.observability.log import log_exception, log_external
from firwalk.policy.interface import EndpointState

if TYPE_CHECKING:
    from firwalk.dispatcher.dispatcher import Dispatcher
    from firwalk.net.budget import Budget
    from firwalk.net.clients import Client, Clients
    from firwalk.net.executors import Executors

HAND_OVER_EVERY = 0.01  # seconds between looks for connections that can be handed over
NEW_PART = 4  # of the descriptors, one in so many is the new process's until it takes over
NEW_LEAST = 36  # or so many, where that is less
MARGIN = 4  # descriptors that the old process may still open beside what its clients' tasks need


class RestartableService(Protocol):
    """What one process of a node gives the other one a part of."""

    config: dict
    dispatcher: Dispatcher
    clients: Clients
    executors: Executors
    budget: Budget
    reread: Callable[[], None]
    files: int
    managed: bool
    opened_at: float

    def shared(self) -> list[socket.socket]:
        """What both processes hold."""

    def limit(self, descriptors: int, part: float) -> None:
        """So many descriptors, and that part of the memory, from now on."""

    def stop_accepting(self) -> list[socket.socket]:
        """The other process accepts; what was accepted here and not let in yet."""

    def accept_again(self) -> None:
        """The other process is gone."""

    def told_to_stop(self) -> bool:
        """Whether this process is on its way to its end."""


class HotRestart:
    def __init__(self, service: RestartableService):
        self.service, self.dispatcher = service, service.dispatcher
        config, folder = service.config, os.environ.get("TMPDIR")
        self.meeting = None
        if service.managed and folder and os.path.isdir(folder):
            self.meeting = RendezvousSocket(folder, str(config.get("name", "")), config["listen"], self._come)
        self.before: ControlChannel | None = None  # to the process that this one replaces
        self.after: ControlChannel | None = None  # to the one that replaces this one
        self.handed = False  # the one after accepts now
        self.gives_tasks = False  # and goes on with tasks in work
        self.given = 0  # of these so far
        self.holds = -1  # descriptors of this process that the one after was told of last
        self.hung = False  # the one before does not answer
        self.yours: asyncio.Future | None = None
        self.closed = False
        self.works: dict[asyncio.Task, None] = {}

    def _keep(self, work) -> asyncio.Task:
        task = asyncio.get_running_loop().create_task(work)
        self.works[task] = None
        task.add_done_callback(lambda _: self.works.pop(task, None))
        return task

    # -- the new process -----------------------------------------------------------------------------------

    async def join(self) -> list[socket.socket]:
        """Asks the process before for the node: the listener and the peers' socket, or nothing."""
        if self.meeting is None:
            return []
        line, state, files, self.hung = await connect_to_predecessor(self.meeting)
        kept = state.get("out") if line is not None else self.meeting.kept()
        try:
            self.dispatcher.restore_maintenance(kept)
        except (TypeError, ValueError, AttributeError) as problem:
            log_external(f"begun without who was taken out: {problem!r}")
        if self.dispatcher.maintenance.detached:
            log_external(f"taken out by operators: {', '.join(self.dispatcher.maintenance.detached)}")
        if line is None:
            return []
        self._learn(state)
        self.before = line
        self.yours = asyncio.get_running_loop().create_future()
        self._shares()
        self._keep(self._follow(line))
        return files

    def _learn(self, state: dict) -> None:
        try:
            version, entries = (
                int(state["version"]),
                [
                    (str(e[0]), (str(e[1][0]), int(e[1][1])), *e[2:5], EndpointState(e[5]), *e[6:])
                    for e in state["entries"]
                ],
            )
            self.dispatcher.restore_endpoint_list(version, entries)
            if state["discovery"] != self.service.config["discovery"]:
                self.dispatcher.reset_list_version()
        except (KeyError, TypeError, ValueError, IndexError) as problem:
            log_external(f"begun without the list of the process before: {problem!r}")

    async def take(self) -> None:
        """Tells the one before to stop accepting; what it has accepted already it finishes or hands over."""
        if self.before is not None:
            self.before.say({"take": True})
            await self.yours

    async def _follow(self, line: ControlChannel) -> None:
        try:
            while True:
                about, files = await line.next()
                if "link" in about:
                    self._adopt(about, files[0])
                elif "client" in about:
                    self.service.clients.adopt(files[0], bool(about["client"]))
                elif "task" in about:
                    self._resume(about, *files)
                elif "yours" in about:
                    self._free()
                elif "holds" in about:
                    self._shares(int(about["holds"]))
                else:
                    self._called(line, about)
        except ChannelClosed:
            log_external("the process before has ended; this one has the whole of the limits")
        except Exception as problem:
            log_exception("following the process before", problem)
        finally:
            self.before = None
            line.close()
            self._free()
            self._shares()

    def _adopt(self, about: dict, sock: socket.socket) -> None:
        executor = self.dispatcher.executors.get(about["link"])
        try:
            if executor is None:
                raise OSError("nobody knows its executor")
            self.service.executors.adopt(executor.ref, sock, float(about["idle_since"]), about["trip"])
        except OSError:  # it has ended on the way
            sock.close()

    def _resume(self, about: dict, client: socket.socket, link: socket.socket) -> None:
        """A task in work, with its client's connection and its executor's."""
        try:
            name, target, body, seen, *rest = (text.encode("latin-1") for text in about["bytes"])
            headers = dict(zip(rest[::2], rest[1::2], strict=True))
            handed_over = HandedOverRequest.from_wire(about["task"])
            elapsed_s = monotonic() - about["at"]
        except (HandoverError, KeyError, TypeError, ValueError, AttributeError) as problem:
            log_exception("going on with a task", problem)
            client.close()
            link.close()
            return
        pending = resume_request(self.dispatcher, handed_over, elapsed_s, name.decode("latin-1"))
        self.service.clients.resume(client, pending, (name, target, headers, body, bool(about["keep"])))
        self.service.executors.resume(pending, handed_over.attempt_in_flight, link, name, seen)

    def _free(self) -> None:
        if not self.yours.done():
            self.yours.set_result(None)

    # -- the old process -----------------------------------------------------------------------------------

    def _come(self, line: ControlChannel) -> None:
        self._keep(self._attend(line))

    async def _attend(self, line: ControlChannel) -> None:
        """Another process of this node has come, to replace this one."""
        try:
            about, _ = await line.next()
            if about.get("hello") != VERSION:
                line.say({"busy": False, "why": "it is of another version"})
            elif self.after is not None or self.before is not None:
                line.say({"busy": True})
            else:
                self.after, self.gives_tasks = line, "task" in about.get("takes", ())
                log_external("another process of this node has come")
                line.say({"state": self._state()}, *self.service.shared())
                self._shares()
                while True:
                    about, _ = await line.next()
                    if "take" in about:
                        self._hand(line)
                    else:
                        self._called(line, about)
        except ChannelClosed:
            pass
        except Exception as problem:
            log_exception("handing the node over", problem)
        finally:
            line.close()
            if self.after is line and not self.closed:
                self._alone()

    def _state(self) -> dict:
        dispatcher = self.dispatcher
        return {
            "version": dispatcher.version,
            "discovery": self.service.config["discovery"],
            "entries": list(dispatcher.endpoints.values()),
            "out": dispatcher.maintenance.state(),
        }

    def _hand(self, line: ControlChannel) -> None:
        self.meeting.close()  # the path belongs to the new process from here on
        self.handed = True
        self.service.clients.moving = lambda known, sock: line.say({"client": known}, sock, give=True)
        held = self.service.stop_accepting()
        line.say({"yours": True})
        for sock in held:
            line.say({"client": False}, sock, give=True)
        log_external("another process of this node serves from now on; this one finishes what it has taken")
        self._keep(self._hand_over(line))

    async def _hand_over(self, line: ControlChannel) -> None:
        """Connections go over, clients' and executors', with what is unread and with tasks in work."""
        self.holds = -1
        while line.open:
            try:
                self._hand_over_now(line)
            except OSError as problem:  # short of descriptors, also for copies: those that go make room
                log_external(f"not all goes over yet: {problem}")
            await asyncio.sleep(HAND_OVER_EVERY)

    def _hand_over_now(self, line: ControlChannel) -> None:
        for client in list(self.service.clients.open) if self.gives_tasks else ():
            if self.service.clients.movable(client):
                self._give_task(line, client)  # first: their time runs on
        for client in list(self.service.clients.open):
            self.service.clients.move(client)
        self.service.executors.hand_over(lambda about, sock: line.say(about, sock, give=True))
        now, more = self._holds()
        if self.holds != now + more:
            self.holds = now + more
            self.service.budget.keep_to(more)
            line.say({"holds": self.holds})

    def _give_task(self, line: ControlChannel, client: Client) -> None:
        """Sent with copies of both descriptors, so that closing ours ends neither connection."""
        pending, executors = client.pending, self.service.executors
        handed_over = export_request(self.dispatcher, pending)
        link = (
            executors.carrying(pending, handed_over.attempt_in_flight) if handed_over and line.open else None
        )
        if link is None:
            return
        name, target, headers, body, keep = client.message
        data = [name, target, body, link.seen, *(part for pair in headers.items() for part in pair)]
        line.say(
            {
                "task": handed_over.to_wire(),
                "at": monotonic(),
                "keep": keep,
                "bytes": [part.decode("latin-1") for part in data],
            },
            client.sock,
            link.sock,
        )
        self.given += 1
        executors.let_go(pending, handed_over.attempt_in_flight)
        client.pending, client.busy = None, False
        self.dispatcher.report_handed_over(pending)
        client.close(CloseReason.HANDED_OVER)

    def shares_listener(self) -> bool:
        """Another process of this node holds the listener, and may accept from it when this one is gone."""
        return self.after is not None or self.before is not None

    def sending(self) -> bool:
        """Something is still on its way to the other process."""
        return self.after is not None and self.after.open and bool(self.after.out)

    def _holds(self) -> tuple[int, int]:
        """Descriptors that this process has, and that it may still open: no more clients come here, but each
        that is not over yet may be about to bring a task, and its executors' connections are gone."""
        now = len(os.listdir("/proc/self/fd"))
        room = self.service.files - self._new() - now
        return now, max(min(MARGIN + len(self.service.clients.open), room), 0)

    def _alone(self) -> None:
        """The new process is gone, and this one still there: it goes on as before."""
        self.after, self.service.clients.moving = None, None
        self.service.clients.ending = self.service.told_to_stop()
        self._shares()
        if self.handed:
            log_external("the process that was to replace this one has ended; this one serves again")
            self.handed = False
            self.service.accept_again()
            self.meeting.listen()

    # -- both ----------------------------------------------------------------------------------------------

    def listen(self) -> None:
        if self.meeting is not None:
            self.meeting.listen()

    def _new(self) -> int:
        """The descriptors that are the new process's from the first."""
        return min(max(self.service.files // NEW_PART, NEW_LEAST), self.service.files // 2)

    def _shares(self, holds: int | None = None) -> None:
        """Limits are the node's, whichever process uses them."""
        files, new = self.service.files, self._new()
        if self.before is not None:
            self.service.limit(new if holds is None else max(files - holds, new), 0.5)
        elif self.after is not None:
            self.service.limit(files - new, 0.5)
        else:
            self.service.limit(files, 1.0)

    def _called(self, line: ControlChannel, about: dict) -> None:
        """What operators told the other process."""
        if "reload" in about:
            self.service.reread()
        elif "out" in about:
            report = self.dispatcher.detach_executor if about["on"] else self.dispatcher.attach_executor
            known = report(about["out"], bool(about["sure"]))
            line.say({"done": about["number"], "known": known})
        elif about.get("done") in line.asked:
            line.asked[about["done"]].set_result(bool(about.get("known")))

    def pass_on_reload(self) -> None:
        line = self.before or self.after
        if line is not None:
            line.say({"reload": True})

    async def tell(self, name: str, on: bool, known: bool) -> bool:
        """An operator's call, kept for a process to come and told to the other one, if there is one. Whether
        either knows the executor: a list may have reached one of them only."""
        if self.meeting is not None:
            self.meeting.keep(self.dispatcher.maintenance.state())
        line = self.before or self.after
        theirs = line is not None and await line.ask({"out": name, "on": on, "sure": known})
        if theirs and not known:
            (self.dispatcher.detach_executor if on else self.dispatcher.attach_executor)(name, True)
        return known or theirs

    async def fresh(self, seconds: float, ending: asyncio.Event) -> None:
        """Waits for a list that came since the start, for so long at most."""
        end = monotonic() + seconds
        while (
            monotonic() < end
            and self.dispatcher.list_received_at <= self.service.opened_at
            and not ending.is_set()
        ):
            await asyncio.sleep(0.01)

    def close(self) -> None:
        self.closed = True
        if self.handed:
            log_external(f"tasks in work that the process after goes on with: {self.given}")
        if self.meeting is not None:
            self.meeting.close(unlink=not self.handed)
        for work in list(self.works):
            work.cancel()
