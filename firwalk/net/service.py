"""One process of a node: builds its components, runs the dispatcher's timers, and starts and stops it."""

from __future__ import annotations

import asyncio
import os
import resource
import socket
from collections.abc import Callable
from math import inf
from time import monotonic, time
from typing import TYPE_CHECKING, Any

from firwalk.config.node_config import (
    JsonObject,
    longest_deadline,
    needs_restart,
    section,
    validate_reload,
)
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
from firwalk.net.address import new_socket, parse_address
from firwalk.net.budget import Budget
from firwalk.net.buffers import Buffers
from firwalk.net.clients import Clients
from firwalk.net.errors import ADDRESS_ERRNOS, RESOURCE_ERRNOS, StopRequested, retry_while_transient
from firwalk.net.executors import Executors
from firwalk.net.filters import SO_ATTACH_REUSEPORT_CBPF, always_return
from firwalk.net.graceful_shutdown import GracefulShutdown
from firwalk.net.management import Management, max_callers
from firwalk.net.peers import Peers
from firwalk.net.single_process import SingleProcess
from firwalk.net.timer_scheduler import TimerScheduler
from firwalk.net.turns import Turns
from firwalk.observability.events import Event, ProcessState
from firwalk.observability.log import log_exception, log_external, log_internal
from firwalk.stop_plan import Deadlines

if TYPE_CHECKING:
    from firwalk.config.operations import OperationsConfig
    from firwalk.net.cluster import Cluster
    from firwalk.net.hot_restart import HotRestart

MICRO = 1e-6
BYTES_PER_MB = 1e6
DEFAULT_SOCKETS = 1024
DEFAULT_MEMORY_MB = 192
DEFAULT_CONNECT_TIMEOUT_US = 1_000_000
DEFAULT_IDLE_CLOSE_US = 60_000_000
LISTEN_BACKLOG = 1024
# An accepted connection has a receive buffer of this size; the kernel may charge its unread bytes here.
RECEIVE_BUFFER_BYTES = 1 << 16
# The second listener in the reuseport group of a port has this index.
SECOND_LISTENER = 1
# A starting process waits this long for a fresh endpoint list.
LIST_TIMEOUT_S = 2.0
LIST_POLL_INTERVAL_S = 0.01
MIN_TIMER_DELAY_S = 0.0005
SWEEP_INTERVAL_S = 1.0
EMPTY_LIST = {"generation": 0, "instances": []}

Address = tuple[str, int]


class Clock:
    """Seconds since 1970 on the monotonic clock, so that a step of the system's clock moves no timer."""

    def __init__(self) -> None:
        self.offset_s = time() - monotonic()

    def __call__(self) -> float:
        """Return the current time."""
        return self.offset_s + monotonic()


class Service:
    """One process of a node."""

    listener: socket.socket  # set by `open`

    def __init__(self, config: JsonObject) -> None:
        settings = config["settings"]
        limits = section(config, "limits")
        self.config = config
        self.clock: Callable[[], float] = Clock()
        self.loop = asyncio.get_running_loop()
        self.loop.set_exception_handler(_log_loop_exception)
        self.timer_scheduler = TimerScheduler(self.loop, self._turn)
        self.dispatcher = Dispatcher(
            settings, int(str(config.get("seed", "0")), 16), self.clock, self.timer_scheduler.schedule_now
        )
        self.files = min(
            int(limits.get("sockets", DEFAULT_SOCKETS)), resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        )
        self.memory = int(limits.get("memory_mb", DEFAULT_MEMORY_MB) * BYTES_PER_MB)
        self.has_management = bool(config.get("management"))
        caller_count = max_callers(self.files) if self.has_management else 0
        self.management = Management(caller_count, self._run_command)
        self.budget = Budget(self.files, self.memory, caller_count + self.has_management)
        self.buffers = Buffers()
        self.turns = Turns()
        self.executors = self._new_executors(section(settings, "limits"))
        self.clients = Clients(
            self.dispatcher, self.executors, self.budget, self.buffers, self.dispatcher.monitor, self.turns
        )
        self.discovery = discovery.Discovery(
            self.dispatcher, self.buffers, parse_address(config["discovery"]), self.turns
        )
        self.peers = self._new_peers()
        self._apply_known_list()
        self.opened_at = self.clock()  # Endpoint lists received after this time are fresh.
        self.shutdown = GracefulShutdown(self, Deadlines(longest_deadline(settings)))
        self.reload_config: Callable[[], None] = lambda: None  # Reads the configuration file again.
        self.started_at = monotonic()
        self.accepting: asyncio.Task[None] | None = None
        self.hot_restart: HotRestart | SingleProcess = SingleProcess()  # Replaced in `open`.
        self.cluster: Cluster | None = None  # Set in `join`.

    # -- construction --------------------------------------------------------------------------------------

    def _new_executors(self, limits: JsonObject) -> Executors:
        return Executors(
            self.dispatcher,
            self.budget,
            self.buffers,
            limits.get("connect-timeout-us", DEFAULT_CONNECT_TIMEOUT_US) * MICRO,
            limits.get("idle-close-us", DEFAULT_IDLE_CLOSE_US) * MICRO,
            self.dispatcher.events,
            self.turns,
        )

    def _new_peers(self) -> Peers:
        addresses = [parse_address(text) for text in self.config.get("peers", [])]
        broadcast_address = self.config.get("peers_all")
        return Peers(
            self.dispatcher, addresses, parse_address(broadcast_address) if broadcast_address else None
        )

    def _apply_known_list(self) -> None:
        """Apply the endpoint list in the configuration, if there is one."""
        known_list = self.config.get("known")
        if known_list:
            update = listing.read(known_list)
            self.dispatcher.report_endpoint_list(update.version, True, update.entries)

    def _new_hot_restart(self) -> HotRestart | SingleProcess:
        """Return the hot restart of this node, which needs a management address and an existing `$TMPDIR`.

        Its modules are imported only where it is used, since they slow the start. They are all imported here,
        as an upgrade may have replaced the installed files by the time a successor connects.
        """
        folder = os.environ.get("TMPDIR")
        if not self.has_management or not folder or not os.path.isdir(folder):
            return SingleProcess()
        from firwalk.net.hot_restart import HotRestart

        return HotRestart(self, folder)

    def join(self, operations: OperationsConfig) -> None:
        """Make the node a member of the cluster once it serves; called only with an operators' file."""
        from firwalk.net.cluster import Cluster

        self.cluster = self.peers.cluster = Cluster(
            operations, self.config, self.peers.send, list(self.peers.numbers), self.dispatcher
        )
        self.cluster.unknown_sender_count = lambda: self.peers.dropped
        self.cluster.tag = lambda: str(self.config.get("tag", ""))
        self.management.commands |= self.cluster.commands()
        self.management.commands_with_argument |= self.cluster.commands_with_argument()

    # -- timers and background actions ---------------------------------------------------------------------

    def _turn(self) -> None:
        """Run the dispatcher's due timers and the background actions that they return."""
        background_actions: list[BackgroundAction] = []
        try:
            next_at, background_actions = self.dispatcher.run_due_timers()
        except Exception as problem:
            log_exception("running timers", problem)
            next_at = self.clock()
        if next_at != inf:
            self.timer_scheduler.schedule_after(max(next_at - self.clock(), MIN_TIMER_DELAY_S))
        for action in background_actions:
            try:
                self._run_background_action(action)
            except Exception as error:  # later actions, a call for the endpoint list among them, must run
                log_exception("running a background action", error)

    def _run_background_action(self, action: BackgroundAction) -> None:
        match action:
            case CheckHealth():
                # After the handover, the successor runs the health checks.
                if not self.hot_restart.has_handed_over:
                    self.executors.check_health(action.endpoint, action.timeout_s)
            case CloseIdleConnections():
                self.executors.close_idle(action.endpoint)
            case WatchEndpoints():
                self.discovery.watch(action.is_on)
            case FetchEndpoints():
                self.discovery.poll()
            case GossipFailure():
                self.peers.broadcast(action.content)
            case WriteLogLine():
                log_external(action.text)

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self.executors.sweep()

    # -- opening sockets -----------------------------------------------------------------------------------

    async def open(self) -> None:
        """Bind the node's addresses, or get the sockets from the predecessor.

        Raises OSError if an address cannot be bound, StopRequested if the process is told to stop meanwhile.
        """
        self.hot_restart = self._new_hot_restart()
        address = parse_address(self.config["listen"])
        management = parse_address(self.config["management"]) if self.has_management else None
        await retry_while_transient(
            lambda: self._take_over_or_bind(address), ADDRESS_ERRNOS, self.is_stopping
        )
        if management is not None:
            await retry_while_transient(
                lambda: self.management.listen(management), RESOURCE_ERRNOS, self.is_stopping
            )

    async def _take_over_or_bind(self, address: Address) -> None:
        """Join a predecessor or bind; a process may have bound the address since the last attempt."""
        shared = await self.hot_restart.join()
        if shared:
            self.listener, *peers = shared
            self.listener.setblocking(False)
            self.peers.sock = peers[0] if peers else None
        else:
            self._bind(address)
            self._bind_peers()

    def _bind(self, address: Address) -> None:
        self.listener = new_socket(address)
        try:
            self._bind_listener(address)
        except OSError:
            self.listener.close()
            raise

    def _bind_listener(self, address: Address) -> None:
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if self.hot_restart.is_predecessor_hung:  # its listener shares the port
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.listener.bind(address)
        if self.has_management:  # after the bind, so that two nodes never share an address by mistake
            self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        if self.hot_restart.is_predecessor_hung:
            self._listen()
            _route_to_second_listener(self.listener)

    def _listen(self) -> None:
        self.listener.listen(LISTEN_BACKLOG)

    def _bind_peers(self) -> None:
        allows_gossip = section(self.config["settings"], "limits").get("peers")
        if not self.config.get("peer_listen") or not allows_gossip:
            return
        try:
            self.peers.bind(parse_address(self.config["peer_listen"]))
        except OSError as problem:  # no guarantee depends on gossip
            log_internal(f"other nodes cannot be heard: {problem}")

    # -- used by the hot restart ---------------------------------------------------------------------------

    def shared(self) -> list[socket.socket]:
        """Return the sockets that both processes hold."""
        return [self.listener] + ([self.peers.sock] if self.peers.sock is not None else [])

    def limit(self, descriptors: int, memory_fraction: float) -> None:
        """Set the descriptor limit and the fraction of the node's memory of this process."""
        self.budget.set_limits(descriptors, int(self.memory * memory_fraction))

    def stop_accepting(self) -> list[socket.socket]:
        """Stop accepting; return the connections that are accepted but not yet admitted."""
        assert self.accepting is not None, "a process is replaced only while it serves"
        self.accepting.cancel()
        if self.cluster is not None:
            self.cluster.stop()
        self.peers.close()
        sock = self.clients.unadmitted
        self.clients.unadmitted = None
        return [sock] if sock is not None else []

    def accept_again(self) -> None:
        """Accept connections again after the successor has exited."""
        if not self.clients.is_draining:
            self._accept()

    def is_stopping(self) -> bool:
        """Return whether this process is shutting down."""
        return self.shutdown.requested.is_set()

    # -- serving -------------------------------------------------------------------------------------------

    def _accept(self) -> None:
        self.accepting = self.loop.create_task(self.clients.accept(self.listener))
        if self.peers.sock is not None:
            self.clients.spawn(self._open_peers())

    async def _open_peers(self) -> None:
        """Start to exchange datagrams with other nodes."""
        try:
            await retry_while_transient(self.peers.open, RESOURCE_ERRNOS, self.is_stopping, inf)
        except StopRequested:
            return
        if self.cluster is not None:
            self.cluster.start()

    async def run(self) -> None:
        """Serve until the process is told to stop, then shut down."""
        tasks = [
            self.loop.create_task(self.clients.sweep()),
            self.loop.create_task(self._sweep()),
            self.loop.create_task(self.clients.stalls.run()),
        ]
        self.timer_scheduler.schedule_now()
        try:
            is_started = await self._begin()
        except StopRequested:
            is_started = False
        if not is_started:
            log_internal("told to end before it served: nothing was taken")
            self._close(tasks)
            return
        self._accept()
        self.hot_restart.listen()
        self.dispatcher.events.record(Event.STATE, ProcessState.SERVING)
        log_internal(f"{self.config.get('name', 'node')} listens at {self.config['listen']}")
        await self.shutdown.requested.wait()
        await self._shut_down(tasks)

    async def _begin(self) -> bool:
        """Wait for a fresh endpoint list, then take over from the predecessor or listen.

        Returns False if the process is told to stop meanwhile; a predecessor is then left serving.
        """
        if self.hot_restart.predecessor is not None:
            await self.hot_restart.wait_for_endpoint_list(LIST_TIMEOUT_S, self.shutdown.requested)
            if self.is_stopping():
                return False
            await self.hot_restart.take_over()
            return True
        await self._wait_for_endpoint_list()
        if self.hot_restart.is_predecessor_hung:  # this process already listens on the shared port
            return True
        if self.is_stopping():
            return False
        await retry_while_transient(self._listen_for_clients, ADDRESS_ERRNOS, self.is_stopping)
        return True

    async def _wait_for_endpoint_list(self) -> None:
        """Wait for a fresh endpoint list; after the timeout, the list in the configuration is used.

        That list may be long out of date: without the wait, a node that restarted together with its zone
        forwarded requests to executors that no longer existed.
        """
        give_up_at = monotonic() + LIST_TIMEOUT_S
        while (
            monotonic() < give_up_at
            and self.dispatcher.is_awaiting_endpoint_list(self.opened_at)
            and not self.is_stopping()
        ):
            await asyncio.sleep(LIST_POLL_INTERVAL_S)

    async def _listen_for_clients(self) -> None:
        self._listen()

    # -- operators -----------------------------------------------------------------------------------------

    async def _run_command(self, command: str, executor: str = "") -> str:
        """Execute an operator's command; return the error, "" on success."""
        if command == "PING":
            return "" if self._is_ready() else "not yet: the list of executors has not come"
        detaches = command == "DETACH"
        change = self.dispatcher.detach_executor if detaches else self.dispatcher.attach_executor
        is_known = await self.hot_restart.propagate_maintenance(executor, detaches, change(executor))
        if not is_known:
            return "no such executor"
        log_internal(f"operators: {executor} is {'taken out' if detaches else 'in use again'}")
        return ""

    def _is_ready(self) -> bool:
        """Return whether clients are accepted, with a fresh endpoint list or after the wait for one."""
        if self.accepting is None:
            return False
        has_fresh_list = self.dispatcher.list_received_at > self.opened_at
        return has_fresh_list or monotonic() > self.started_at + LIST_TIMEOUT_S

    def reload(self, config: Any) -> None:
        """Apply the settings that can change at run time. Raises, with nothing applied, on an invalid one."""
        validate_reload(self.config, config)
        discovery_address = parse_address(config["discovery"])
        listing.read(config.get("known") or EMPTY_LIST)
        not_applied = needs_restart(self.config, config)
        self.shutdown.update_deadline(longest_deadline(config["settings"]))
        if self.is_stopping():
            log_internal("a new configuration comes too late: the node ends")
            return
        if config["settings"] != self.dispatcher.settings:
            self.dispatcher.apply_settings(config["settings"])
        self.discovery.move(discovery_address)
        self.config = self.config | {key: config[key] for key in ("discovery", "tag") if key in config}
        self.dispatcher.events.record(Event.STATE, ProcessState.RELOADED)
        request_classes = ", ".join(map(str, self.dispatcher.request_classes))
        log_internal(f"reloaded; the list's service is {config['discovery']}; offerings: {request_classes}")
        if not_applied:
            log_internal(f"changes that need a restart: {', '.join(not_applied)}")

    def log_counts(self) -> None:
        """Log the counts of events by reason and the number of violated invariants."""
        log_internal(f"counts: {self.dispatcher.events.summary()}")
        log_internal(f"memory of messages: {self.budget.memory.summary()}")
        log_internal(f"turns waited for: {self.turns.waited_count}")
        log_internal(f"rules seen broken: {sum(self.dispatcher.monitor.violations.values())}")

    # -- shutdown ------------------------------------------------------------------------------------------

    async def _shut_down(self, tasks: list[asyncio.Task[None]]) -> None:
        """Answer all accepted requests within the shutdown plan, then close everything."""
        log_internal("told to end")
        if self.cluster is not None:
            self.cluster.leave()
        await self.shutdown.run()
        self._close(tasks)
        self.clients.check_stopped()
        self.dispatcher.events.record(Event.STATE, ProcessState.STOPPED)
        log_internal(f"ended, {len(self.clients.open)} clients left; {self.clients.malformed} were sent away")
        self.log_counts()

    def _close(self, tasks: list[asyncio.Task[None]]) -> None:
        """Cancel the periodic tasks, and close the hot restart and the management address."""
        for task in tasks:
            task.cancel()
        self.hot_restart.close()
        self.management.close()


def _log_loop_exception(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
    log_exception(context.get("message", "running"), context.get("exception") or RuntimeError("unknown"))


def _route_to_second_listener(listener: socket.socket) -> None:
    """Route new connections to the second listener of the port, as the process of the first one is hung."""
    try:
        always_return(listener, SO_ATTACH_REUSEPORT_CBPF, SECOND_LISTENER)
    except OSError as problem:
        log_exception("routing new connections to the second listener", problem)
