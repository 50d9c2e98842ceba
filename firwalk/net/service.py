"""One node on its sockets: puts the parts together, keeps time for the decisions, and ends in good order."""
from __future__ import annotations

import asyncio
import resource
import socket
from collections.abc import Callable
from time import monotonic, time

from firwalk.facade import Chore, Desk
from firwalk.log import say, trouble
from firwalk.net import discovery
from firwalk.net.address import new_socket, parse
from firwalk.net.budget import Budget
from firwalk.net.buffers import Buffers
from firwalk.net.clients import Clients
from firwalk.net.executors import Executors
from firwalk.net.handover import steer
from firwalk.net.management import Management, places
from firwalk.net.peers import Peers
from firwalk.net.succession import Succession
from firwalk.settings import check_news, needs_restart

BACKLOG = 1024
MOST_UNREAD = 1 << 16  # bytes of a client that wait unread with the machine, which may charge them to us
STILL_COMING = 0.6     # seconds after the signal to end in which clients still come
KEPT = 2.0             # seconds after it in which clients' connections stay open, and tasks are taken on them
QUIET = 0.1            # seconds without a new connection after which none is expected any more
LONGEST_END = 3.4      # seconds after the signal in which all is answered, whatever the expiries
LIST_TIME = 2.0        # seconds that the first yes waits for a fresh list
LAST = 0.1             # seconds for the last answers to be written


class Clock:
    """Seconds since 1970, going on evenly from the start: a jump of the system's clock moves no timer."""

    def __init__(self) -> None:
        self.base = time() - monotonic()

    def __call__(self) -> float:
        return self.base + monotonic()


class Service:
    def __init__(self, config: dict):
        settings, limits = config["settings"], config.get("limits", {})
        self.config, self.clock = config, Clock()
        self.turning: asyncio.Handle | None = None
        self.loop = asyncio.get_running_loop()
        self.loop.set_exception_handler(lambda _, about: trouble(
            about.get("message", "running"), about.get("exception") or RuntimeError("unknown")))
        self.desk = Desk(settings, int(str(config.get("seed", "0")), 16), self.clock, self._wake)
        files = min(int(limits.get("sockets", 1024)), resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        self.managed = bool(config.get("management"))
        callers = places(files) if self.managed else 0
        self.management = Management(callers, self._call)
        self.files, self.memory = files, int(limits.get("memory_mb", 192) * 1e6)
        self.budget = Budget(files, self.memory, callers + self.managed)
        self.buffers = Buffers()
        allowed = settings.get("limits", {})
        self.executors = Executors(
            self.desk, self.budget, self.buffers, allowed.get("connect-timeout-us", 1000000) * 1e-6,
            allowed.get("idle-close-us", 60000000) * 1e-6)
        self.clients = Clients(self.desk, self.executors, self.budget, self.buffers)
        self.discovery = discovery.Discovery(self.desk, self.buffers, parse(config["discovery"]))
        to_all = config.get("peers_all")
        self.peers = Peers(self.desk, [parse(text) for text in config.get("peers", [])],
                           parse(to_all) if to_all else None)
        known = config.get("known")
        if known:
            version, _, entries = discovery.entries(known)
            self.desk.report_list(version, True, entries)
        self.opened_at = self.clock()
        self.ending = asyncio.Event()
        self.reread: Callable[[], None] = lambda: None   # reads the file of the configuration again
        self.begun_at = monotonic()
        self.accepting: asyncio.Task | None = None
        self.listener: socket.socket | None = None
        self.succession = Succession(self)
        self.cluster = None    # `join` gives it one

    def join(self, operations) -> None:
        """Acts together with other nodes from the time on at which it serves; by the operators' file only."""
        from firwalk.net.cluster import Cluster
        self.cluster = self.peers.cluster = Cluster(
            operations, self.config, self.peers.send, list(self.peers.numbers), self.desk)
        self.cluster.strangers = lambda: self.peers.dropped
        self.cluster.tag = lambda: str(self.config.get("tag", ""))
        self.management.more |= self.cluster.calls()
        self.management.more_with |= self.cluster.calls_with()

    # -- time --------------------------------------------------------------------------------------------

    def _wake(self) -> None:
        self._again(self.loop.call_soon(self._turn))

    def _again(self, handle: asyncio.Handle) -> None:
        """One turn is due at a time: each would go on scheduling the next for ever."""
        if self.turning is not None:
            self.turning.cancel()
        self.turning = handle

    def _turn(self) -> None:
        try:
            when, chores = self.desk.tick()
        except Exception as problem:
            trouble("running timers", problem)
            when, chores = self.clock(), []
        if when != float("inf"):
            self._again(self.loop.call_later(max(when - self.clock(), 0.0005), self._turn))
        for chore in chores:
            self._do(*chore)

    def _do(self, kind: Chore, *about) -> None:
        if kind is Chore.PROBE:
            if not self.succession.handed:  # the process that takes the tasks probes for them
                self.executors.probe(*about)
        elif kind is Chore.CLOSE_IDLE:
            self.executors.close_idle(*about)
        elif kind is Chore.WATCH:
            self.discovery.watch(*about)
        elif kind is Chore.ASK_LIST:
            self.discovery.ask()
        elif kind is Chore.TELL:
            self.peers.tell(*about)
        else:
            say(about[0])

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            self.executors.sweep()

    # -- from start to end ---------------------------------------------------------------------------------

    async def open(self) -> None:
        address = parse(self.config["listen"])
        management = parse(self.config["management"]) if self.managed else None
        shared = await self.succession.join()
        if shared:
            self.listener, *peers = shared
            self.listener.setblocking(False)
            self.peers.sock = peers[0] if peers else None
        else:
            self._listen(address)
            self._hear_peers()
        if management is not None:
            self.management.listen(management)

    def _listen(self, address: tuple[str, int]) -> None:
        self.listener = new_socket(address)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.succession.hung:  # beside the one that hangs; its listener allows that
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.listener.bind(address)
        if self.managed:  # only now: two nodes that know nothing of each other must not share an address
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, MOST_UNREAD)  # for what it accepts
        if self.succession.hung:
            self._let_in()
            steer(self.listener)

    async def _first_list(self) -> None:
        """What the configuration says of executors may be long out of date: a node that came back with its
        zone sent on to executors that were gone since. With the service down, or busy, it has to do."""
        end = monotonic() + LIST_TIME
        while monotonic() < end and self.desk.list_awaited(self.opened_at) and not self.ending.is_set():
            await asyncio.sleep(0.01)

    def _let_in(self) -> None:
        self.listener.listen(BACKLOG)

    def _hear_peers(self) -> None:
        if self.config.get("peer_listen") and self.config["settings"].get("limits", {}).get("peers"):
            try:
                self.peers.bind(parse(self.config["peer_listen"]))
            except OSError as problem:  # their warnings help, but no rule rests on them
                say(f"other nodes cannot be heard: {problem}")

    # -- two processes as one node -------------------------------------------------------------------------

    def shared(self) -> list[socket.socket]:
        """What both processes hold."""
        return [self.listener] + ([self.peers.sock] if self.peers.sock is not None else [])

    def limit(self, descriptors: int, part: float) -> None:
        self.budget.limit(descriptors, int(self.memory * part))

    def stop_accepting(self) -> list[socket.socket]:
        """The other process accepts; what was accepted and not let in yet goes to it."""
        self.accepting.cancel()
        if self.cluster is not None:
            self.cluster.stop()
        self.peers.close()
        held, self.clients.held = self.clients.held, None
        return [held] if held is not None else []

    def accept_again(self) -> None:
        if not self.clients.stopping:
            self._accept()

    def _accept(self) -> None:
        self.accepting = self.loop.create_task(self.clients.accept(self.listener))
        if self.peers.sock is not None:
            self.clients.keep(self.loop.create_task(self._speak()))

    async def _speak(self) -> None:
        await self.peers.open()
        if self.cluster is not None:
            self.cluster.start()

    async def _call(self, word: str, name: str = "") -> str:
        """Carries out an operator's call; the reason, if it cannot be."""
        if word == "PING":
            return "" if self._serves() else "not yet: the list of executors has not come"
        out = word == "DETACH"
        known = self.desk.report_out(name) if out else self.desk.report_back(name)
        known = await self.succession.tell(name, out, known)
        if known:
            say(f"operators: {name} is {'taken out' if word == 'DETACH' else 'in use again'}")
        return "" if known else "no such executor"

    def _serves(self) -> bool:
        """It takes clients and knows its executors: by a fresh list, or, if none comes, by the one kept."""
        if self.accepting is None:
            return False
        return self.desk.list_at > self.opened_at or monotonic() > self.begun_at + LIST_TIME

    def reload(self, config: object) -> None:
        """Takes over what can change live. All is read before anything is changed: half a configuration is
        worse than the old one."""
        check_news(self.config, config)
        address = parse(config["discovery"])
        discovery.entries(config.get("known") or {"generation": 0, "instances": []})
        fixed = needs_restart(self.config, config)
        if self.ending.is_set():
            say("a new configuration comes too late: the node ends")
            return
        if config["settings"] != self.desk.settings:
            self.desk.report_settings(config["settings"])
        self.discovery.move(address)
        self.config = self.config | {word: config[word] for word in ("discovery", "tag") if word in config}
        say(f"reloaded; the list's service is {config['discovery']}; offerings:"
            f" {', '.join(map(str, self.desk.offerings))}")
        if fixed:
            say(f"changes that need a restart: {', '.join(fixed)}")

    async def run(self) -> None:
        standing = [self.loop.create_task(self.clients.sweep()), self.loop.create_task(self._sweep()),
                    self.loop.create_task(self.clients.stalls.run())]
        self._wake()
        if self.succession.before is not None:
            await self.succession.fresh(LIST_TIME, self.ending)
            await self.succession.take()
        else:
            await self._first_list()
            self._let_in()
        self._accept()
        self.succession.listen()
        say(f"{self.config.get('name', 'node')} listens at {self.config['listen']}")
        await self.ending.wait()
        await self._end(standing)

    async def _end(self, standing: list[asyncio.Task]) -> None:
        """Answers while clients come, closes what is idle, finishes what was taken, and ends in time."""
        began = monotonic()
        say("told to end")
        if self.cluster is not None:
            self.cluster.leave()
        self.desk.close_by(self.clock() + LONGEST_END)
        self.clients.ending = self.succession.after is None
        end = began + LONGEST_END + LAST
        while monotonic() < end and not await self._ended(began):
            await asyncio.sleep(0.02)
        if not self.succession.handed:
            await self._last_clients()
        for work in standing:
            work.cancel()
        self.succession.close()
        self.management.close()
        say(f"ended, {len(self.clients.open)} clients left; {self.clients.malformed} were sent away")

    async def _ended(self, began: float) -> bool:
        """Whether nothing is owed to anybody any more. The listener stays open as long as this process owes
        answers: what the machine accepts for it is its to answer. Another node may be ending too: a client
        whose connections all close at once would have nowhere to go. With another process of this node they
        are there, and the two need not share its limits any longer."""
        now, clients = monotonic(), self.clients
        owed = clients.open or clients.works or self.succession.sending()
        if self.succession.handed:
            return not owed
        quiet = now >= max(began + STILL_COMING, clients.accepted_at + QUIET)
        clients.stopping |= now >= began + KEPT or quiet and not clients.open
        if clients.stopping:
            clients.close_idle()
        return clients.stopping and quiet and not owed and await self._last_clients() and not clients.open

    async def _last_clients(self) -> bool:
        """Lets in what the machine has accepted meanwhile, and closes the listener in the same step as it
        finds none there any more. False: no descriptor is free for one that waits."""
        if self.listener.fileno() < 0:
            return True
        self.accepting.cancel()
        await asyncio.sleep(0)
        held, self.clients.held = self.clients.held, None
        if held is not None:
            self.clients.admit(held, spare=True)
        while True:
            try:
                sock, _ = self.listener.accept()
            except BlockingIOError:
                self.listener.close()
                return True
            except ConnectionAbortedError:
                continue
            except OSError as problem:
                say(f"no connection accepted at the end: {problem}")
                return False
            self.clients.admit(sock, spare=True)
