"""Injects the faults of a scenario into the processes, links and stand-ins of a run."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, Protocol

from msgspec.structs import replace

from firwalk.cluster import messages
from firwalk.lab import seam
from firwalk.lab.addresses import Addresses
from firwalk.lab.files import CHANGE_NAME, FLEET_NAME, Files
from firwalk.lab.links import DatagramRelay, End, Links, Listener
from firwalk.lab.processes import Node
from firwalk.lab.scenario import LINK_FAULTS, Fault, Fleet, Scenario, endpoints
from firwalk.lab.standins import Executor, Lists

# An operator's command is repeated up to this often while there is no coordinator.
MAX_COMMAND_ATTEMPTS = 12
COMMAND_RETRY_DELAY_S = 0.3
# After its start, a fleet has this long to run the contracts that a change replaces.
CONTRACTS_TIMEOUT_S = 8.0
# After this many report intervals, the coordinator knows what all nodes run.
REPORT_INTERVALS_TO_SETTLE = 3
MAX_FLOOD_DATAGRAM_BYTES = 256
FLOOD_PAUSE_S = 0.002
CPU_BURNER = "import os, sys\nwhile os.getppid() == int(sys.argv[1]): sum(range(10000))"


@dataclass
class KillOnMessage:
    """A pending kill of a node right after `remaining` more of its messages of a kind."""

    node: int
    kind: str
    remaining: int
    done: asyncio.Future[None]


@dataclass(frozen=True)
class CoordinatorAnswer:
    """A coordinator's answer to a member, as the relay observed it."""

    at: float
    node: int
    generation: int
    term: Any


@dataclass(frozen=True)
class OperatorAnswer:
    """The answer to an operator's command."""

    at: float
    node: int
    word: str
    said: str


class Run(Protocol):
    """The parts of a run that faults act on."""

    scenario: Scenario
    fleet: Fleet
    began: float
    nodes: list[Node]
    executors: list[Executor]
    ways: list[list[Listener]]
    lists: Lists
    links: Links
    relay: DatagramRelay
    addresses: Addresses
    files: Files

    def earliest_kill_s(self) -> float:
        """Return the seconds from SIGTERM to the earliest SIGKILL."""


class Faults:
    """Injects faults; `played` describes each one, with its start and end."""

    def __init__(self, rig: Run, rng: random.Random):
        self.rig, self.rng = rig, rng
        self.played: list[dict[str, Any]] = []
        self.answers: list[CoordinatorAnswer] = []
        self.operators: list[OperatorAnswer] = []
        self._pending_kills: list[KillOnMessage] = []
        self._burners: list[asyncio.subprocess.Process] = []
        self._handlers: dict[str, Callable[[int, Fault], Awaitable[None]]] = {
            "kill": self.kill,
            "kill-on": self._kill_on_message,
            "stop": self._stop,
            "term": self._term,
            "upgrade": self.upgrade,
            "agent-kill": self._kill_agent,
            "roll": self._send_rollout_command,
            "burn": self._contend_for_core,
            "clock": self._step_clock,
            "drift": self._drift_clock,
            "contracts": self._reload_contracts,
            "flood": self._flood,
            "executor-slow": self._slow_executor,
            "executor-errors": self._failing_executor,
            "executor-silent": self._silent_executor,
            "executor-restart": self._restart_executor,
            "executor-drain": self._drain_executor,
        }

    def close(self) -> None:
        """Kill the processes that faults started."""
        for burner in self._burners:
            if burner.returncode is None:
                burner.kill()

    # -- targets of a fault --------------------------------------------------------------------------------

    def ends(self, names: list[str] | tuple[str, ...]) -> list[End]:
        """Return the ends that the scenario's names currently stand for."""
        scenario, coordinator = self.rig.scenario, self.coordinator()
        found = [end for name in names for end in endpoints(scenario, name, coordinator)]
        return list(dict.fromkeys(found))

    def coordinator(self) -> int | None:
        """Return the node that was the last to report that it holds the lease."""
        events = (event for node in self.rig.nodes for event in node.events if event["event"] == "lease")
        last = max(events, key=lambda event: event["at"], default=None)
        return last["seat"] if last else None

    def _pairs(self, fault: Fault) -> list[tuple[End, End]]:
        a, b = self.ends(fault.on), self.ends(fault.to)
        pairs = [(x, y) for x in a for y in b if x != y and not (x in b and y in a and fault.one_way)]
        reverse = [] if fault.one_way else [(y, x) for x, y in pairs]
        return list(dict.fromkeys(pairs + reverse))

    # -- injection -----------------------------------------------------------------------------------------

    async def play(self, fault: Fault) -> None:
        """Inject the fault at its time, and return when it is over."""
        rig = self.rig
        await asyncio.sleep(max(rig.began + fault.at - time.monotonic(), 0.0))
        record = self._describe(fault)
        self.played.append(record)
        if fault.kind in LINK_FAULTS:
            await self._on_links(fault)
        else:
            if fault.kind == "contracts":
                rig.files.new_contracts(fault.value)
            handler = self._handlers[fault.kind]
            await asyncio.gather(*(handler(end[1], fault) for end in self.ends(fault.on)))
        record["until"] = round(time.monotonic() - rig.began, 3)

    def _describe(self, fault: Fault) -> dict[str, Any]:
        record: dict[str, Any] = {
            "at": round(time.monotonic() - self.rig.began, 3),
            "kind": fault.kind,
            "on": fault.on,
        }
        record |= {"to": fault.to} if fault.to else {}
        record |= {"value": fault.value} if fault.value else {}
        record |= {"one_way": True} if fault.one_way else {}
        record |= {"message": fault.message} if fault.message else {}
        return record

    async def _on_links(self, fault: Fault) -> None:
        pairs, links = self._pairs(fault), self.rig.links
        links.change(fault.kind, fault.value, pairs, True)
        await asyncio.sleep(fault.lasts)
        links.change(fault.kind, fault.value, pairs, False)

    # -- processes -----------------------------------------------------------------------------------------

    async def kill(self, number: int, fault: Fault) -> None:
        """Kill a node and start it anew after `lasts`; with `value` above 0 it stays down."""
        node = self.rig.nodes[number]
        if node.agent is not None:
            await node.kill_service()
            return
        await node.kill()
        if not fault.value:
            await asyncio.sleep(fault.lasts)
            await self._restart_node(node)

    async def _kill_on_message(self, number: int, fault: Fault) -> None:
        """Kill a node right after its `value`th message of a kind; start it anew after `lasts`."""
        done = asyncio.get_running_loop().create_future()
        self._pending_kills.append(KillOnMessage(number, fault.message, round(fault.value), done))
        await done
        await self.kill(number, replace(fault, value=0.0))

    def on_datagram(self, at: float, sender: int, to: int, data: bytes) -> None:
        """Inspect a relayed datagram: count it for pending kills, and record coordinators' answers."""
        if len(data) <= messages.HEADER.size:
            return
        try:
            seat, generation, _, message = messages.decode(messages.cluster_checksum(FLEET_NAME), data)
        except messages.MalformedMessage:
            return
        self._count_message(seat, type(message).__name__.lower())
        if isinstance(message, messages.Answer):
            self.answers.append(CoordinatorAnswer(at, seat, generation, message.term))

    def _count_message(self, node: int, kind: str) -> None:
        for pending in [one for one in self._pending_kills if (one.node, one.kind) == (node, kind)]:
            pending.remaining -= 1
            if pending.remaining <= 0:
                self._pending_kills.remove(pending)
                self.rig.nodes[node].signal_all(signal.SIGKILL)  # synchronously, before it can send more
                pending.done.set_result(None)

    async def _restart_node(self, node: Node) -> None:
        """Start the node, unless another fault has done so: two processes would compete for one address."""
        if node.programs[-1].alive():
            return
        await node.start()
        if await node.ready():
            node.mark_up()

    async def _stop(self, number: int, fault: Fault) -> None:
        node = self.rig.nodes[number]
        node.mark_down()
        node.signal_all(signal.SIGSTOP)
        await asyncio.sleep(fault.lasts)
        node.signal_all(signal.SIGCONT)
        node.mark_up()

    async def _term(self, number: int, fault: Fault) -> None:
        node = self.rig.nodes[number]
        await node.programs[-1].end(self.rig.earliest_kill_s())
        node.mark_stopped()
        await asyncio.sleep(fault.lasts)
        await self._restart_node(node)

    async def upgrade(self, number: int, fault: Fault) -> None:
        """Start a second process beside the first, and stop the first once the second listens."""
        node = self.rig.nodes[number]
        before = node.programs[-1]
        await node.start()
        await node.ready()
        await asyncio.sleep(fault.lasts)
        await before.end(self.rig.earliest_kill_s())

    async def _kill_agent(self, number: int, fault: Fault) -> None:
        """Kill the agent only, while its node keeps running, and start it again after `lasts`."""
        node = self.rig.nodes[number]
        await node.programs[-1].kill(agent=True)
        await asyncio.sleep(fault.lasts)
        await node.start()

    async def _contend_for_core(self, number: int, fault: Fault) -> None:
        """Pin the node's process and busy loops to one core."""
        program = self.rig.nodes[number].programs[-1]
        core = sorted(os.sched_getaffinity(0))[-1]
        pid = program.process.pid
        before = os.sched_getaffinity(pid)
        os.sched_setaffinity(pid, {core})
        burners = [await _start_cpu_burner(core) for _ in range(max(int(fault.value), 1))]
        self._burners += burners
        await asyncio.sleep(fault.lasts)
        for burner in burners:
            burner.kill()
            await burner.wait()
        if self.rig.nodes[number].programs[-1].alive():
            os.sched_setaffinity(pid, before)

    async def _step_clock(self, number: int, fault: Fault) -> None:
        node = self.rig.nodes[number]
        seam.write(str(node.clock_file), fault.value, node.rate)

    async def _drift_clock(self, number: int, fault: Fault) -> None:
        node = self.rig.nodes[number]
        node.rate = 1.0 + fault.value
        seam.write(str(node.clock_file), 0.0, node.rate)

    # -- operator actions ----------------------------------------------------------------------------------

    async def _reload_contracts(self, number: int, fault: Fault) -> None:
        """Signal the node to reload its contracts file."""
        for program in self.rig.nodes[number].programs:
            if program.alive():
                program.signal(signal.SIGHUP)
        await asyncio.sleep(fault.lasts)

    async def _send_rollout_command(self, number: int, fault: Fault) -> None:
        """Send a rollout command to the node's management address, and repeat it while told to."""
        command = f"ROLL {fault.message.upper()}" + (f" {CHANGE_NAME}" if fault.message == "start" else "")
        if fault.message == "start":
            await self._wait_for_contracts()
        for _ in range(MAX_COMMAND_ATTEMPTS):
            answer = await self.rig.nodes[number].call(command)
            if not any(word in answer for word in ("ask again", "no coordinator", "no answer")):
                break
            await asyncio.sleep(COMMAND_RETRY_DELAY_S)
        at = round(time.monotonic() - self.rig.began, 3)
        self.operators.append(OperatorAnswer(at, number, fault.message, answer))

    async def _wait_for_contracts(self) -> None:
        """Wait until all nodes run the contracts that the change replaces, and have reported so.

        Contracts come with the first plan, which can be late on a busy machine. As documented, an operator
        checks this before starting a change.
        """
        rig = self.rig
        if rig.scenario.roll is None or not rig.scenario.roll.contracts:
            return
        until = time.monotonic() + CONTRACTS_TIMEOUT_S
        while time.monotonic() < until and not all(map(_runs_contracts, rig.nodes)):
            await asyncio.sleep(0.05)
        reported = [event["at"] for node in rig.nodes for event in node.events if event["event"] == "runs"]
        settled = max(reported, default=0.0) + REPORT_INTERVALS_TO_SETTLE * rig.scenario.cluster.report
        await asyncio.sleep(max(settled - time.monotonic(), 0.0))

    # -- datagrams -----------------------------------------------------------------------------------------

    async def _flood(self, number: int, fault: Fault) -> None:
        """Send `value` datagrams per second to the node, from other members and from an unknown address."""
        rig, peer = self.rig, self.rig.addresses.peer(number)
        others = [rig.relay.ends[number, j].transport for j in range(rig.fleet.nodes) if j != number]
        stranger, sent = socket.socket(type=socket.SOCK_DGRAM), 0
        began = time.monotonic()
        while (now := time.monotonic()) < began + fault.lasts:
            while sent < fault.value * (now - began):
                data = self._flood_datagram(sent)
                if sent % 4 or not others:
                    stranger.sendto(data, peer)
                else:
                    others[sent // 4 % len(others)].sendto(data, peer)
                sent += 1
            await asyncio.sleep(FLOOD_PAUSE_S)
        stranger.close()

    def _flood_datagram(self, number: int) -> bytes:
        size = self.rng.randrange(5, MAX_FLOOD_DATAGRAM_BYTES)
        ping = messages.encode(messages.cluster_checksum("other"), 1, 2, 3, messages.Nack(number))
        nack = messages.encode(messages.cluster_checksum(FLEET_NAME), 1, 2, 3, messages.Nack(1))
        cut_short = nack[: 15 + number % 2] + self.rng.randbytes(size % 100)
        kinds = (self.rng.randbytes(size), ping, b"\x07" + ping[1:], cut_short)
        return kinds[number % len(kinds)]

    # -- executors -----------------------------------------------------------------------------------------

    async def _slow_executor(self, number: int, fault: Fault) -> None:
        await self._set_executor_temporarily(number, fault, "slow", fault.value, 1.0)

    async def _failing_executor(self, number: int, fault: Fault) -> None:
        await self._set_executor_temporarily(number, fault, "errors", fault.value, 0.0)

    async def _silent_executor(self, number: int, fault: Fault) -> None:
        await self._set_executor_temporarily(number, fault, "silent", True, False)

    async def _set_executor_temporarily(
        self, number: int, fault: Fault, attribute: str, value: object, after: object
    ) -> None:
        executor = self.rig.executors[number]
        setattr(executor, attribute, value)
        await asyncio.sleep(fault.lasts)
        setattr(executor, attribute, after)

    async def _restart_executor(self, number: int, fault: Fault) -> None:
        rig = self.rig
        for way in rig.ways:
            way[number].close()
        rig.lists.change(number, "left")
        await rig.executors[number].restart(fault.lasts)
        for way in rig.ways:
            way[number].open()
        rig.lists.change(number, "active", time.time())

    async def _drain_executor(self, number: int, fault: Fault) -> None:
        self.rig.lists.change(number, "leaving")
        await asyncio.sleep(fault.lasts)
        self.rig.lists.change(number, "active")


def _runs_contracts(node: Node) -> bool:
    versions = [event["contracts"] for event in node.events if event["event"] == "runs"]
    return bool(versions) and versions[-1] > 0


async def _start_cpu_burner(core: int) -> asyncio.subprocess.Process:
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        CPU_BURNER,
        str(os.getpid()),
        preexec_fn=lambda: os.sched_setaffinity(0, {core}),
    )
