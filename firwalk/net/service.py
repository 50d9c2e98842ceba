"""One node on its sockets: puts the parts together, keeps time for the decisions, and ends in good order."""

from __future__ import annotations

import asyncio
import resource
import socket
from collections.abc import Callable
from math import inf
from time import monotonic, time

from firwalk.config.node_config import longest_deadline, needs_restart, validate_reload
from firwalk.dispatcher.actions import (
    BackgroundAction,
    CheckHealth,
    CloseIdleConnections,
    FetchEndpoints,
    GossipFailure,
    WatchEndpoints,
    WriteLogLine,
)
from firwalk.dispatcher.dispatcher import Dispatcher
from firwalk.net import discovery, listing
from firwalk.net.address import new_socket, parse
from firwalk.net.budget import Budget
from firwalk.net.buffers import Buffers
from firwalk.net.clients import Clients
from firwalk.net.control_channel import steer
from firwalk.net.executors import Executors
from firwalk.net.graceful_shutdown import GracefulShutdown
from firwalk.net.hot_restart import HotRestart
from firwalk.net.management import Management, places
from firwalk.net.opening import ADDRESS_TAKEN, SHORT_OF_RESOURCES, ToldToStop, patiently
from firwalk.net.peers import Peers
from firwalk.net.turns import Turns
from firwalk.observability.events import Event, ProcessState
from firwalk.observability.log import log_exception, log_external, log_internal
from firwalk.stop_plan import Deadlines

BACKLOG = 1024
MOST_UNREAD = 1 << 16  # bytes of a client that wait unread with the machine, which may charge them to us
LIST_TIME = 2.0  # seconds that the first yes waits for a fresh list


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
        self.loop = asyncio.get_running_loop()
        self.turns = Turns(self.loop, self._turn)
        self.loop.set_exception_handler(
            lambda _, about: log_exception(
                about.get("message", "running"), about.get("exception") or RuntimeError("unknown")
            )
        )
        self.dispatcher = Dispatcher(
            settings, int(str(config.get("seed", "0")), 16), self.clock, self.turns.soon
        )
        files = min(int(limits.get("sockets", 1024)), resource.getrlimit(resource.RLIMIT_NOFILE)[0])
        self.managed = bool(config.get("management"))
        callers = places(files) if self.managed else 0
        self.management = Management(callers, self._call)
        self.files, self.memory = files, int(limits.get("memory_mb", 192) * 1e6)
        self.budget = Budget(files, self.memory, callers + self.managed)
        self.buffers = Buffers()
        allowed = settings.get("limits", {})
        self.executors = Executors(
            self.dispatcher,
            self.budget,
            self.buffers,
            allowed.get("connect-timeout-us", 1000000) * 1e-6,
            allowed.get("idle-close-us", 60000000) * 1e-6,
            self.dispatcher.events,
        )
        self.clients = Clients(
            self.dispatcher, self.executors, self.budget, self.buffers, self.dispatcher.monitor
        )
        self.discovery = discovery.Discovery(self.dispatcher, self.buffers, parse(config["discovery"]))
        to_all = config.get("peers_all")
        self.peers = Peers(
            self.dispatcher,
            [parse(text) for text in config.get("peers", [])],
            parse(to_all) if to_all else None,
        )
        known = config.get("known")
        if known:
            update = listing.read(known)
            self.dispatcher.report_list(update.version, True, update.entries)
        self.opened_at = self.clock()
        self.stop = GracefulShutdown(self, Deadlines(longest_deadline(settings)))
        self.reread: Callable[[], None] = lambda: None  # reads the file of the configuration again
        self.begun_at = monotonic()
        self.accepting: asyncio.Task | None = None
        self.listener: socket.socket | None = None
        self.hot_restart = HotRestart(self)
        self.cluster = None  # `join` gives it one

    def join(self, operations) -> None:
        """Acts together with other nodes from the time on at which it serves; by the operators' file only."""
        from firwalk.net.cluster import Cluster

        self.cluster = self.peers.cluster = Cluster(
            operations, self.config, self.peers.send, list(self.peers.numbers), self.dispatcher
        )
        self.cluster.strangers = lambda: self.peers.dropped
        self.cluster.tag = lambda: str(self.config.get("tag", ""))
        self.management.more |= self.cluster.calls()
        self.management.more_with |= self.cluster.calls_with()

    # -- time --------------------------------------------------------------------------------------------

    def _turn(self) -> None:
        try:
            when, background_actions = self.dispatcher.run_due_timers()
        except Exception as problem:
            log_exception("running timers", problem)
            when = self.clock()
            background_actions = []
        if when != float("inf"):
            self.turns.after(max(when - self.clock(), 0.0005))
        for action in background_actions:
            self._run_background_action(action)

    def _run_background_action(self, action: BackgroundAction) -> None:
        match action:
            case CheckHealth():
                if (
                    not self.hot_restart.has_handed_over
                ):  # the process that takes the requests checks for them
                    self.executors.probe(action.endpoint, action.timeout_s)
            case CloseIdleConnections():
                self.executors.close_idle(action.endpoint)
            case WatchEndpoints():
                self.discovery.watch(action.is_on)
            case FetchEndpoints():
                self.discovery.ask()
            case GossipFailure():
                self.peers.tell(action.content)
            case WriteLogLine():
                log_external(action.text)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(1.0)
            self.executors.sweep()

    # -- from start to end ---------------------------------------------------------------------------------

    async def open(self) -> None:
        address = parse(self.config["listen"])
        management = parse(self.config["management"]) if self.managed else None
        await patiently(lambda: self._take_over_or_bind(address), ADDRESS_TAKEN, self.told_to_stop)
        if management is not None:
            await patiently(lambda: self.management.listen(management), SHORT_OF_RESOURCES, self.told_to_stop)

    async def _take_over_or_bind(self, address: tuple[str, int]) -> None:
        """From the process before, if there is one: one that has just bound the address may answer by now."""
        shared = await self.hot_restart.join()
        if shared:
            self.listener, *peers = shared
            self.listener.setblocking(False)
            self.peers.sock = peers[0] if peers else None
        else:
            self._bind(address)
            self._hear_peers()

    def _bind(self, address: tuple[str, int]) -> None:
        self.listener = new_socket(address)
        try:
            self._bind_listener(address)
        except OSError:
            self.listener.close()
            raise

    def _bind_listener(self, address: tuple[str, int]) -> None:
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.hot_restart.is_predecessor_hung:  # beside the one that hangs; its listener allows that
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.listener.bind(address)
        if self.managed:  # only now: two nodes that know nothing of each other must not share an address
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, MOST_UNREAD)  # for what it accepts
        if self.hot_restart.is_predecessor_hung:
            self._let_in()
            steer(self.listener)

    async def _first_list(self) -> None:
        """What the configuration says of executors may be long out of date: a node that came back with its
        zone sent on to executors that were gone since. With the service down, or busy, it has to do."""
        end = monotonic() + LIST_TIME
        while (
            monotonic() < end
            and self.dispatcher.is_awaiting_endpoint_list(self.opened_at)
            and not self.told_to_stop()
        ):
            await asyncio.sleep(0.01)

    def _let_in(self) -> None:
        self.listener.listen(BACKLOG)

    def _hear_peers(self) -> None:
        if self.config.get("peer_listen") and self.config["settings"].get("limits", {}).get("peers"):
            try:
                self.peers.bind(parse(self.config["peer_listen"]))
            except OSError as problem:  # their warnings help, but no rule rests on them
                log_internal(f"other nodes cannot be heard: {problem}")

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

    def told_to_stop(self) -> bool:
        return self.stop.told.is_set()

    def _accept(self) -> None:
        self.accepting = self.loop.create_task(self.clients.accept(self.listener))
        if self.peers.sock is not None:
            self.clients.keep(self.loop.create_task(self._speak()))

    async def _speak(self) -> None:
        try:
            await patiently(self.peers.open, SHORT_OF_RESOURCES, self.told_to_stop, inf)
        except ToldToStop:
            return
        if self.cluster is not None:
            self.cluster.start()

    async def _call(self, word: str, name: str = "") -> str:
        """Carries out an operator's call; the reason, if it cannot be."""
        if word == "PING":
            return "" if self._serves() else "not yet: the list of executors has not come"
        out = word == "DETACH"
        known = self.dispatcher.detach_executor(name) if out else self.dispatcher.attach_executor(name)
        known = await self.hot_restart.tell(name, out, known)
        if known:
            log_internal(f"operators: {name} is {'taken out' if word == 'DETACH' else 'in use again'}")
        return "" if known else "no such executor"

    def _serves(self) -> bool:
        """It takes clients and knows its executors: by a fresh list, or, if none comes, by the one kept."""
        if self.accepting is None:
            return False
        return self.dispatcher.list_received_at > self.opened_at or monotonic() > self.begun_at + LIST_TIME

    def reload(self, config: object) -> None:
        """Takes over what can change live. All is read before anything is changed: half a configuration is
        worse than the old one."""
        validate_reload(self.config, config)
        address = parse(config["discovery"])
        listing.read(config.get("known") or {"generation": 0, "instances": []})
        fixed = needs_restart(self.config, config)
        self.stop.deadline_changed(longest_deadline(config["settings"]))
        if self.told_to_stop():
            log_internal("a new configuration comes too late: the node ends")
            return
        if config["settings"] != self.dispatcher.settings:
            self.dispatcher.report_settings(config["settings"])
        self.discovery.move(address)
        self.config = self.config | {word: config[word] for word in ("discovery", "tag") if word in config}
        self.dispatcher.events.record(Event.STATE, ProcessState.RELOADED)
        log_internal(
            f"reloaded; the list's service is {config['discovery']}; offerings:"
            f" {', '.join(map(str, self.dispatcher.request_classes))}"
        )
        if fixed:
            log_internal(f"changes that need a restart: {', '.join(fixed)}")

    async def run(self) -> None:
        standing = [
            self.loop.create_task(self.clients.sweep()),
            self.loop.create_task(self._sweep()),
            self.loop.create_task(self.clients.stalls.run()),
        ]
        self.turns.soon()
        try:
            begun = await self._begin()
        except ToldToStop:
            begun = False
        if not begun:
            log_internal("told to end before it served: nothing was taken")
            self.let_go(standing)
            return
        self._accept()
        self.hot_restart.listen()
        self.dispatcher.events.record(Event.STATE, ProcessState.SERVING)
        log_internal(f"{self.config.get('name', 'node')} listens at {self.config['listen']}")
        await self.stop.told.wait()
        await self._end(standing)

    async def _begin(self) -> bool:
        """Waits for a fresh list and gets the node, or listens; False, and nothing done, where the process is
        told to stop meanwhile: another one of this node goes on as it was."""
        if self.hot_restart.predecessor is not None:
            await self.hot_restart.wait_for_endpoint_list(LIST_TIME, self.stop.told)
            if self.told_to_stop():
                return False
            await self.hot_restart.take_over()
            return True
        await self._first_list()
        if self.told_to_stop() and not self.hot_restart.is_predecessor_hung:
            return False
        if not self.hot_restart.is_predecessor_hung:  # beside one that hangs it listens already
            await patiently(self._open_to_clients, ADDRESS_TAKEN, self.told_to_stop)
        return True

    async def _open_to_clients(self) -> None:
        self._let_in()

    def let_go(self, standing: list[asyncio.Task]) -> None:
        """Ends what stands by and what both processes of a node share."""
        for work in standing:
            work.cancel()
        self.hot_restart.close()
        self.management.close()

    async def _end(self, standing: list[asyncio.Task]) -> None:
        """Answers all that was taken, in the time that is left, and lets go of everything."""
        log_internal("told to end")
        if self.cluster is not None:
            self.cluster.leave()
        await self.stop.run()
        self.let_go(standing)
        self.clients.check_stopped()
        self.dispatcher.events.record(Event.STATE, ProcessState.STOPPED)
        log_internal(f"ended, {len(self.clients.open)} clients left; {self.clients.malformed} were sent away")
        self.tell_counts()

    def tell_counts(self) -> None:
        """What happened so far, by reason, and how often a rule was seen broken."""
        log_internal(f"counts: {self.dispatcher.events.summary()}")
        log_internal(f"rules seen broken: {sum(self.dispatcher.monitor.violations.values())}")
