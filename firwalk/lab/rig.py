"""Runs a scenario with real processes, stand-ins and injected faults, and checks the result."""

from __future__ import annotations

import asyncio
import random
import shutil
import signal
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

from firwalk.lab import report
from firwalk.lab.addresses import Addresses, PortsInUse
from firwalk.lab.faults import Faults
from firwalk.lab.files import Files
from firwalk.lab.invariants import Judge
from firwalk.lab.links import DatagramRelay, Links, Listener
from firwalk.lab.load import Front, Load
from firwalk.lab.pace import ProcessorTime
from firwalk.lab.processes import Node
from firwalk.lab.referee import Referee
from firwalk.lab.scenario import Scenario
from firwalk.lab.soak.plan import earliest_kill_s
from firwalk.lab.standins import Executor, Lists

__all__ = ["PortsInUse", "Rig"]

# The checkers allow the rig itself this much delay.
SLACK_S = 0.3
ERRORS_IN_LOG = ("error while", "does not hold", "rule broken")
# Log lines with these words are no errors: a process that stalled answers late.
STALL_IN_LOG = "half a second"


class Rig:
    """A run of a scenario.

    `program` is started instead of `-m firwalk`; the tests use it for deliberately faulty variants.
    """

    def __init__(
        self,
        scenario: Scenario,
        seed: int | None = None,
        out: str | None = None,
        program: list[str] | None = None,
        tell: Callable[[str], None] = lambda line: None,
    ):
        self.scenario, self.seed = scenario, scenario.run.seed if seed is None else seed
        self.tell, self.program = tell, program or ["-m", "firwalk"]
        self.folder = Path(out) if out else Path(tempfile.mkdtemp(prefix="firwalk-lab-"))
        self.keep = out is not None
        self.fleet = scenario.fleet
        self.rng = random.Random(self.seed ^ 0x5EED)
        self.nodes: list[Node] = []
        self.tasks: list[asyncio.Task] = []
        self.memory: list[float] = []
        self.dropped_datagrams, self.stolen_share, self.began = 0, 0.0, 0.0
        self.addresses: Addresses | None = None
        self.faults = Faults(self, self.rng)

    # -- run -----------------------------------------------------------------------------------------------

    async def run(self) -> dict:
        """Run the scenario and return the report; raise PortsInUse if no addresses are free.

        All processes of the run are killed in any case.
        """
        self.loop = asyncio.get_running_loop()
        try:
            await self._open()
            await self._play()
            await self._end()
            return self._report()
        finally:
            await self._clean_up()

    async def _open(self) -> None:
        scenario, fleet = self.scenario, self.fleet
        self.addresses = Addresses.claim(scenario.run.network, self.seed, fleet.nodes)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.files = Files(scenario, self.folder, self.addresses)
        self.links, self.ran = Links(self.seed), []
        self.pace = self.links.pace
        self.pace.start()
        self.referee = Referee(SLACK_S + self._worst_delay(), self._was_down)
        self.links.sends = self.referee.on_request_bytes
        self.links.watch = self.faults.on_datagram
        await self._open_stand_ins()
        await self._start_nodes()
        self.front = Front([self.addresses.node(n) for n in range(fleet.nodes)], fleet.zones)
        self.load = Load(scenario, self.seed, self.front)
        self.tasks = [self.loop.create_task(self.front.watch()), self.loop.create_task(self._measure())]
        while not all(self.front.up):
            await asyncio.sleep(0.02)

    async def _open_stand_ins(self) -> None:
        """Start the executors, the discovery service and the relays."""
        fleet, addresses = self.fleet, self.addresses
        nodes, executors = range(fleet.nodes), range(fleet.executors)
        self.lists = Lists(fleet, addresses.executor_relay)
        keyed = {o.name: o.group for o in self.scenario.offerings if o.effect == "fingerprinted"}
        groups: dict = {}
        self.executors = [Executor(e, fleet, keyed, groups, self.rng, self.ran) for e in executors]
        self.ways = [
            [
                Listener(self.links, n, e, addresses.executor_relay(n, e), addresses.executor(e))
                for e in executors
            ]
            for n in nodes
        ]
        for number, executor in enumerate(self.executors):
            await executor.open(addresses.executor(number))
        await self.lists.open([addresses.discovery(n) for n in nodes])
        self.relay = DatagramRelay(self.links, [addresses.peer(n) for n in nodes], addresses.relay)
        await self.relay.open()

    async def _start_nodes(self) -> None:
        """Start all nodes; raise RuntimeError if one does not become ready."""
        operators = self.files.operators()
        skewed_ends = [
            end
            for fault in self.scenario.faults
            if fault.kind in ("clock", "drift")
            for end in self.faults.ends(fault.on)
        ]
        skewed = {number for _, number in skewed_ends}
        for number in range(self.fleet.nodes):
            config = self.files.node(number, self.lists.whole(number))
            node = Node(number, self.folder / f"n{number}", config, operators, self.program)
            node.skewed, node.agent = number in skewed, self.files.agent(number)
            self.nodes.append(node)
        await asyncio.gather(*(node.start() for node in self.nodes))
        ready = await asyncio.gather(*(node.ready() for node in self.nodes))
        if not all(ready):
            first = self.nodes[ready.index(False)]
            last_line = first.lines[-1][2] if first.lines else "nothing"
            raise RuntimeError(f"node {first.number} did not become ready; its last line: {last_line}")

    def _worst_delay(self) -> float:
        return sum(f.value for f in self.scenario.faults if f.kind in ("delay", "jitter"))

    async def _measure(self) -> None:
        """Sample the nodes' memory once per second."""
        while True:
            await asyncio.sleep(1.0)
            self.memory.append(max(node.memory() for node in self.nodes))

    @property
    def lag(self) -> float:
        """The maximum lag of the rig's own loop in seconds."""
        return self.pace.lag_s

    @property
    def steady_since(self) -> float:
        """The end of the last stall of the rig's own loop."""
        return self.pace.steady_since

    async def _play(self) -> None:
        self.pace.reset_lag()
        self.processors = ProcessorTime.now()
        self.began = time.monotonic()
        for fault in sorted(self.scenario.faults, key=lambda f: f.at):
            self.tasks.append(self.loop.create_task(self.faults.play(fault)))
        seconds = self.scenario.run.seconds
        playing = self.loop.create_task(self.load.run(self.began, seconds))
        while not playing.done():
            await asyncio.wait([playing], timeout=1.0)
            self.tell(
                f"{min(time.monotonic() - self.began, seconds):.0f} of {seconds:.0f} s, "
                f"{len(self.load.jobs)} tasks"
            )
        playing.result()
        last = max([f.at + f.lasts for f in self.scenario.faults] or [0.0])
        await asyncio.sleep(max(self.began + max(seconds, last + 0.2) - time.monotonic(), 0.0))

    async def _end(self) -> None:
        self.ended = time.monotonic()
        self.stolen_share = ProcessorTime.now().stolen_share_since(self.processors)
        self.dropped_datagrams = self.relay.dropped_datagrams()
        for node in self.nodes:
            node.mark_up()
        await asyncio.gather(*(node.end(self.earliest_kill_s()) for node in self.nodes))
        self._collect_crashes()

    def earliest_kill_s(self) -> float:
        """Return the seconds from SIGTERM to the earliest SIGKILL that the scenario's deadlines allow."""
        return earliest_kill_s(max(offering.expiry for offering in self.scenario.offerings))

    def _collect_crashes(self) -> None:
        for node in self.nodes:
            for program in node.programs:
                code = program.process.returncode
                killed = code == -signal.SIGKILL and (program.killed_at or program.agent_killed)
                if code not in (0, None) and not killed:
                    last_lines = [line for _, number, line in node.lines if number == program.number][-1:]
                    node.crashes.append(f"node {node.number} ended with {code}: {' '.join(last_lines)}")
            node.crashes += [f"node {node.number}: {line}" for _, _, line in node.lines if _is_error(line)]

    async def _clean_up(self) -> None:
        for task in self.tasks:
            task.cancel()
        if hasattr(self, "links"):
            self.pace.stop()
        for node in self.nodes:
            node.kill_all()
        self.faults.close()
        for program in [program for node in self.nodes for program in node.programs]:
            if program.reading is not None:
                await program.reading
        self._close_stand_ins()
        if self.addresses is not None:
            self.addresses.release()
        if not self.keep:
            shutil.rmtree(self.folder, ignore_errors=True)

    def _close_stand_ins(self) -> None:
        """Close the stand-ins that were opened; setup may have failed midway."""
        for executor in getattr(self, "executors", []):
            executor.stop()
        for name in ("relay", "lists"):
            if hasattr(self, name):
                getattr(self, name).close()
        for ways in getattr(self, "ways", []):
            for way in ways:
                way.close()

    def coordinator(self) -> int | None:
        """Return the node that was the last to report that it holds the lease."""
        return self.faults.coordinator()

    def _was_down(self, node: int, since: float, until: float) -> bool:
        return self.nodes[node].was_down(since, until, margin=0.05)

    # -- checks --------------------------------------------------------------------------------------------

    def judged(self) -> Judge:
        """Return the invariant checker after all events of nodes and relays, in order of the rig's clock."""
        judge = Judge(SLACK_S + self.lag)
        observed: list[tuple] = []
        for node in self.nodes:
            for event in node.events:
                fields = {
                    word: value
                    for word, value in event.items()
                    if word not in ("event", "at", "seat", "life")
                }
                if event["event"].startswith("agent_"):
                    continue
                if event["event"] == "lease" and not node.skewed:
                    fields["left"] = event["until"] - event["at"]  # same clock as the rig
                observed.append(
                    (event["at"], 0, node.number, event["life"], event["event"], fields, node.rate)
                )
            for program in node.programs:
                if program.killed_at:
                    observed.append((program.killed_at, 1, node.number, 0, "killed", {}, 1.0))
        for answer in self.faults.answers:
            observed.append((answer.at, 2, answer.node, answer.generation, "", {"term": answer.term}, 1.0))
        for at, _, seat, generation, name, fields, rate in sorted(observed, key=lambda one: one[:2]):
            if name:
                judge.seen(at, seat, generation, name, fields, rate)
            else:
                judge.answered(at, seat, generation, fields["term"])
        judge.over(self.ended)
        return judge

    def _report(self) -> dict:
        self.referee.slack += self.lag  # the rig's own lag is no fault of the nodes
        self.referee.judge(self.load.jobs, self.ran, self.lists.told, self.executors)
        return report.build_report(self)


def _is_error(line: str) -> bool:
    return STALL_IN_LOG not in line and any(words in line for words in ERRORS_IN_LOG)
