"""Run a soak: start the processes, inject the planned faults and check the evidence."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import sys
import tempfile
import time
from collections import Counter
from contextlib import suppress
from dataclasses import asdict, dataclass
from pathlib import Path

import msgspec
import orjson

from firwalk.lab import seam
from firwalk.lab.deployment import common_settings
from firwalk.lab.processes import die_with_parent, start_worker
from firwalk.lab.soak import plan as plans
from firwalk.lab.soak import records
from firwalk.lab.soak.checker import Checker, Evidence, NodeRun, Violation
from firwalk.lab.soak.clients import ClientSpec
from firwalk.lab.soak.discovery import Discovery
from firwalk.lab.soak.executors import ExecutorSpec
from firwalk.lab.soak.plan import EXECUTOR_MODES, Fault, FaultKind, SoakPlan
from firwalk.lab.soak.shim import INJECTED, ShimSettings

READY_S = 10.0
COLD_FROM, COLD_FOR_S = 0.2, 2.0
EXECUTOR_BACK_S = 0.3
CROWD_CONNECTIONS = 100  # Idle connections opened before a crowded stop.
FIRST_NETWORK, NETWORKS = 16, 230
SETTLE_S = 1.5  # Lets all workers finish starting before the load begins, also on a busy machine.
WORKER_START_S = 0.08  # Additional time before the load for each worker to start.
END_TIMEOUT_S = 60.0  # All clients and faults must end within this time.
PRE_SIGTERM_S = 0.15  # SIGTERM is delayed by this much to leave room for the signals that precede it.


@dataclass
class Report:
    """Violations and counts of one soak."""

    seed: int
    violations: list[Violation]
    counts: dict[str, int]
    fault_counts: dict[str, int]
    processes: int
    history: dict[str, list[str]]
    folder: str

    def lines(self) -> list[str]:
        """Return the report as lines of text."""
        served = self.counts.get("status 200", 0) / max(self.counts.get("requests", 0), 1)
        counts = ", ".join(f"{name} {count}" for name, count in sorted(self.counts.items()))
        head = f"seed {self.seed}: {len(self.violations)} violations; {self.processes} processes"
        lines = [f"{head}; served {served:.3f}; {counts}"]
        for violation in self.violations[:20]:
            lines.append(f"  {violation.at:7.3f} {violation.rule} [{violation.request_id}] {violation.text}")
            lines += [f"          {line}" for line in self.history.get(violation.request_id, [])[:40]]
        if self.violations:
            lines.append(
                f"  run this seed alone: firwalk lab soak --first {self.seed} --count 1 --keep FOLDER"
            )
        return lines


class NodeProcess:
    """Configuration of a node and its current process."""

    def __init__(self, soak: Soak, number: int):
        self.soak, self.number = soak, number
        self.folder = soak.folder / f"n{number}"
        self.folder.mkdir(parents=True)
        self.clock_file = str(self.folder / "clock")
        seam.make(self.clock_file)
        self.deadlines = {one.name: one.deadline_s for one in soak.plan.classes}
        self.process: asyncio.subprocess.Process | None = None
        self.run: NodeRun | None = None
        self.reading: asyncio.Task | None = None
        self.starts = 0

    def write_config(self) -> None:
        """Write the current configuration atomically; a running process applies it on SIGHUP."""
        path = self.folder / "config.json"
        temporary_path = path.with_suffix(".new")
        temporary_path.write_bytes(orjson.dumps(self.soak.config(self)))
        temporary_path.replace(path)

    async def start(self) -> NodeRun:
        """Start a process and return its run."""
        self.starts += 1
        self.write_config()
        environment = {k: v for k, v in os.environ.items() if not k.startswith(("BALANCER_", "FIRWALK_"))}
        faults = self.soak.plan.system[self.number]
        environment |= {
            "BALANCER_CONFIG": str(self.folder / "config.json"),
            "TMPDIR": str(self.folder),
            "FIRWALK_EVENTS": str(self.folder / "events.jsonl"),
            "FIRWALK_CLOCK": self.clock_file,
            "FIRWALK_SHIM": msgspec.json.encode(
                ShimSettings(self.soak.plan.seed * 100 + self.starts, faults)
            ).decode(),
        }
        if self.soak.patch:
            environment["FIRWALK_PATCH"] = self.soak.patch
        run = NodeRun(self.number, time.monotonic())
        self.soak.runs.append(run)
        self.process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-O", "-m", "firwalk.lab.soak.shim"),
            stdin=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            env=environment,
            preexec_fn=die_with_parent,
            limit=1 << 20,
        )
        self.run, self.reading = run, asyncio.ensure_future(self._read(self.process, run))
        return run

    async def _read(self, process: asyncio.subprocess.Process, run: NodeRun) -> None:
        while line := await process.stderr.readline():
            text = line.decode(errors="replace").rstrip()
            if " listens at " in text:
                run.ready_at = time.monotonic()
            run.log.append(text)
        run.code = await process.wait()
        with open(self.folder / "log", "a") as log:
            log.write("".join(f"{line}\n" for line in run.log))
        self._count_injected(run)
        run.ended_at = time.monotonic()

    def _count_injected(self, run: NodeRun) -> None:
        """Add the counts of faults that the shim reports at exit; a killed process reports none."""
        for line in run.log[-3:]:
            if line.startswith(INJECTED):
                self.soak.fault_counts.update(orjson.loads(line[len(INJECTED) :]))

    async def ready(self) -> None:
        """Wait until the process listens, exits or exceeds the startup timeout."""
        end = time.monotonic() + READY_S
        while not self.run.ready_at and not self.run.ended_at and time.monotonic() < end:
            await asyncio.sleep(0.01)

    def longest_deadline_s(self) -> float:
        """Return the longest deadline of the current configuration."""
        return max(self.deadlines.values())


def send_signal(process: asyncio.subprocess.Process, number: int) -> None:
    """Send a signal unless the process has exited."""
    if process.returncode is None:
        with suppress(ProcessLookupError):
            os.kill(process.pid, number)


class Soak:
    """Run of one soak plan; `patch` names a faulty implementation in the format of FIRWALK_PATCH."""

    def __init__(self, plan: SoakPlan, folder: Path, patch: str = ""):
        self.plan, self.folder, self.patch = plan, folder, patch
        self.runs: list[NodeRun] = []
        self.nodes: list[NodeProcess] = []
        self.executors: dict[int, asyncio.subprocess.Process] = {}
        self.workers: list[asyncio.subprocess.Process] = []
        self.pauses: list[tuple[int, float, float]] = []
        self.cold_starts: list[tuple[int, float]] = []
        self.fault_tasks: list[asyncio.Task] = []
        self.fault_counts: Counter[str] = Counter()
        self.began = 0.0
        self.processes = 0
        self.reserved_socket: socket.socket | None = None

    # -- addresses and configurations -----------------------------------------------------------------------

    def _reserve_network(self) -> None:
        """Reserve a loopback network that no other run on this machine uses."""
        for offset in range(NETWORKS):
            number = FIRST_NETWORK + (self.plan.seed * 7 + os.getpid() + offset) % NETWORKS
            reserved_socket = socket.socket()
            try:
                reserved_socket.bind((f"127.{number}.9.9", 2998))
                reserved_socket.listen(1)
            except OSError:
                reserved_socket.close()
                continue
            self.network, self.reserved_socket = f"127.{number}", reserved_socket
            return
        raise OSError("all loopback networks for soaks are in use")

    def _node_address(self, node: int) -> tuple[str, int]:
        return f"{self.network}.1.{node + 1}", 3000

    def _executor_address(self, executor: int) -> tuple[str, int]:
        return f"{self.network}.3.{executor + 1}", 3000

    def config(self, node: NodeProcess) -> dict:
        """Return the configuration of a node."""
        host = self._node_address(node.number)[0]
        return {
            "name": f"n{node.number}",
            "listen": f"{host}:3000",
            "management": f"{host}:{3100 + node.starts % 2}",
            "discovery": f"{self.network}.2.{node.number + 1}:8500",
            "seed": f"{self.plan.seed * 1000 + node.number * 10 + node.starts:x}",
            "limits": {"memory_mb": 128, "sockets": self.plan.descriptors},
            "known": self.discovery.full_list(),
            "settings": self._settings(node),
        }

    def _settings(self, node: NodeProcess) -> dict:
        offerings = [
            {
                "name": one.name,
                "due-time-us": int(node.deadlines[one.name] * 0.6e6),
                "expiry-us": int(node.deadlines[one.name] * 1e6),
                "repeat": one.effect,
                "group": "all",
                "key-ttl-us": int(one.remembered_s * 1e6),
                "importance": 1.0,
            }
            for one in self.plan.classes
        ]
        common = common_settings(node.number, self.plan.nodes, COLD_FROM, COLD_FOR_S, peers=False)
        return common | {
            "az": 0,
            "azs": ["a"],
            "weights": "nominal",
            "clients": {"marks-retry": True},
            "offerings": offerings,
        }

    # -- running --------------------------------------------------------------------------------------------

    async def run(self) -> Report:
        """Run the soak and return its report; all processes are ended in any case."""
        try:
            await self._start_processes()
            await self._run_load()
            return self._build_report()
        finally:
            await self._clean_up()

    async def _start_processes(self) -> None:
        self._reserve_network()
        plan = self.plan
        addresses = {n: "{}:{}".format(*self._executor_address(n)) for n in range(plan.executors)}
        self.discovery = Discovery(addresses, plan.slots, plan.faults)
        await self.discovery.listen([(f"{self.network}.2.{n + 1}", 8500) for n in range(plan.nodes)])
        self.nodes = [NodeProcess(self, number) for number in range(plan.nodes)]
        await asyncio.gather(*(node.start() for node in self.nodes))
        await asyncio.gather(*(node.ready() for node in self.nodes))
        workers = plan.executors + plan.client_processes
        self.began = time.monotonic() + SETTLE_S + workers * WORKER_START_S
        for number in range(plan.executors):
            await self._start_executor(number, 0.0)
        self.processes = plan.nodes + plan.executors + plan.client_processes

    async def _start_executor(self, number: int, started_at: float) -> None:
        spec = ExecutorSpec(
            number=number,
            address=self._executor_address(number),
            slots=self.plan.slots,
            seed=self.plan.seed * 1000 + number,
            began=self.began,
            faults=[f for f in self.plan.faults if f.kind in EXECUTOR_MODES and f.target == number],
            classes={one.name: one.effect for one in self.plan.classes},
            cold_from=COLD_FROM,
            cold_for_s=COLD_FOR_S,
            started_at=started_at,
        )
        self.executors[number] = await self._start_worker("executors", f"e{number}", spec)

    async def _start_worker(self, kind: str, name: str, spec: msgspec.Struct) -> asyncio.subprocess.Process:
        spec_path, records_path = self.folder / f"{name}.json", self.folder / f"{name}.jsonl"
        with open(self.folder / f"{name}.log", "ab") as log:
            process = await start_worker(
                f"firwalk.lab.soak.{kind}", spec, spec_path, records_path, stderr=log
            )
        self.workers.append(process)
        return process

    async def _run_load(self) -> None:
        plan, clients = self.plan, []
        crowds = [fault for fault in plan.faults if fault.kind is FaultKind.CROWD]
        for number in range(plan.client_processes):
            spec = ClientSpec(
                number=number,
                seed=plan.seed * 1000 + 500 + number,
                nodes=[self._node_address(n) for n in range(plan.nodes)],
                began=self.began,
                duration_s=plan.duration_s,
                classes=[
                    msgspec.structs.replace(one, rate=one.rate / plan.client_processes)
                    for one in plan.classes
                ],
                habits=plan.habits,
                crowds=crowds if number == 0 else [],
            )
            clients.append(await self._start_worker("clients", f"c{number}", spec))
        self.discovery.start_faults(self.began)
        self.fault_tasks = [asyncio.ensure_future(self._inject_fault(fault)) for fault in plan.faults]
        async with asyncio.timeout(END_TIMEOUT_S):
            await asyncio.gather(*(client.wait() for client in clients))
            await asyncio.gather(*self.fault_tasks)
        await self._stop_all()

    async def _stop_all(self) -> None:
        """Stop every node gracefully."""
        await asyncio.gather(*(self._stop(node, Fault(FaultKind.STOP, 0.0)) for node in self.nodes))

    # -- faults ---------------------------------------------------------------------------------------------

    async def _inject_fault(self, fault: Fault) -> None:
        await asyncio.sleep(max(self.began + fault.at - time.monotonic(), 0.0))
        self.fault_counts[fault.kind] += 1
        inject = getattr(self, f"_{fault.kind.value}", None)
        if inject is None:
            return  # Injected by a worker or by the discovery service.
        target = self.nodes[fault.target] if fault.kind in plans.NODE_FAULTS else fault.target
        await inject(target, fault)

    async def _stop(self, node: NodeProcess, fault: Fault) -> None:
        """Stop a node with SIGTERM, send SIGKILL if it outlives the stop period, and restart it."""
        await self._terminate(node.process, node.run, node.longest_deadline_s(), fault)
        if fault.value:
            await asyncio.sleep(fault.value)
            await node.start()
            await node.ready()

    async def _terminate(
        self, process: asyncio.subprocess.Process, run: NodeRun, longest_deadline_s: float, fault: Fault
    ) -> None:
        sigterm_at = time.monotonic() + PRE_SIGTERM_S
        signals = [(0.0, signal.SIGTERM), (plans.earliest_kill_s(longest_deadline_s), signal.SIGKILL)]
        signals += [(one.after_s, signal.Signals[one.name]) for one in fault.signals]
        paused_at = 0.0
        for after, number in sorted(signals):
            wait = sigterm_at + after - time.monotonic()
            with suppress(TimeoutError):
                await asyncio.wait_for(process.wait(), max(wait, 0.001))
            if process.returncode is not None:
                break
            now = time.monotonic()
            if number == signal.SIGSTOP:
                paused_at = now
            elif number == signal.SIGCONT and now - paused_at > 2 * plans.SHORT_PAUSE_S:
                self.pauses.append((run.node, paused_at, now))  # The soak itself was delayed.
            elif number == signal.SIGTERM:
                run.sigterm_at = run.sigterm_at or now
            elif number == signal.SIGKILL:
                run.sigkill_at = now
            self.fault_counts[number.name] += 1
            send_signal(process, number)
        await process.wait()

    async def _stop_crowded(self, node: NodeProcess, fault: Fault) -> None:
        """Stop a node that has many idle connections."""
        opened = []
        for _ in range(CROWD_CONNECTIONS):
            with suppress(OSError, TimeoutError):
                async with asyncio.timeout(0.2):
                    opened.append(await asyncio.open_connection(*self._node_address(node.number)))
        await self._stop(node, fault)
        for _, writer in opened:
            writer.close()

    async def _upgrade(self, node: NodeProcess, fault: Fault) -> None:
        """Start a second process that takes over, then stop the first."""
        before, before_run = node.process, node.run
        await node.start()
        await node.ready()
        await self._terminate(before, before_run, node.longest_deadline_s(), fault)

    async def _crash(self, node: NodeProcess, fault: Fault) -> None:
        node.run.sigkill_at, node.run.crash = time.monotonic(), True
        send_signal(node.process, signal.SIGKILL)
        await node.process.wait()
        await asyncio.sleep(fault.value)
        await node.start()
        await node.ready()

    async def _hold(self, node: NodeProcess, fault: Fault) -> None:
        began = time.monotonic()
        send_signal(node.process, signal.SIGSTOP)
        await asyncio.sleep(fault.lasts)
        send_signal(node.process, signal.SIGCONT)
        if time.monotonic() - began > 2 * plans.SHORT_PAUSE_S:
            self.pauses.append((node.number, began, time.monotonic()))

    async def _pause(self, node: NodeProcess, fault: Fault) -> None:
        began = time.monotonic()
        send_signal(node.process, signal.SIGSTOP)
        await asyncio.sleep(fault.lasts)
        send_signal(node.process, signal.SIGCONT)
        self.pauses.append((node.number, began, time.monotonic()))

    async def _reload(self, node: NodeProcess, fault: Fault) -> None:
        node.deadlines = dict(fault.deadlines)
        node.write_config()
        send_signal(node.process, signal.SIGHUP)

    async def _clock_step(self, node: NodeProcess, fault: Fault) -> None:
        seam.write(node.clock_file, fault.value, 1.0)

    async def _executor_drain(self, executor: int, fault: Fault) -> None:
        self.discovery.change(executor, "leaving")
        await asyncio.sleep(fault.lasts)
        self.discovery.change(executor, "active")

    async def _executor_restart(self, executor: int, fault: Fault) -> None:
        """Kill an executor and restart it cold."""
        process = self.executors[executor]
        send_signal(process, signal.SIGKILL)
        await process.wait()
        self.discovery.change(executor, "left")
        await asyncio.sleep(EXECUTOR_BACK_S)
        started = time.monotonic()
        await self._start_executor(executor, started)
        self.cold_starts.append((executor, started))
        self.discovery.change(executor, "active", int(time.time() * 1e3))

    # -- reporting ------------------------------------------------------------------------------------------

    def _build_report(self) -> Report:
        clients, attempts = [], []
        for number in range(self.plan.client_processes):
            clients += records.read(self.folder / f"c{number}.jsonl", records.ClientRecord)
        for number in range(self.plan.executors):
            attempts += records.read(self.folder / f"e{number}.jsonl", records.AttemptRecord)
        outages = [
            (self.began + fault.at, self.began + fault.at + fault.lasts)
            for fault in self.plan.faults
            if fault.kind in plans.DISCOVERY_FAULTS
        ]
        evidence = Evidence(
            plan=self.plan,
            began=self.began,
            clients=clients,
            attempts=attempts,
            updates=self.discovery.updates_sent,
            changes=self.discovery.changes,
            runs=self.runs,
            pauses=self.pauses,
            cold_starts=self.cold_starts,
            outages=outages,
            cold_from=COLD_FROM,
            cold_for_s=COLD_FOR_S,
        )
        checker = Checker(evidence)
        violations = checker.check()
        history = {one.request_id: self._history(one.request_id, evidence) for one in violations[:20]}
        fault_counts = {str(kind): count for kind, count in self.fault_counts.items()}
        return Report(
            self.plan.seed,
            violations,
            dict(checker.counts),
            fault_counts,
            self.processes,
            history,
            str(self.folder),
        )

    def _history(self, request_id: str, evidence: Evidence) -> list[str]:
        """Return the events of one request from clients, executors and nodes in order of time."""
        if not request_id:
            return []
        lines: list[tuple[float, str]] = []
        node_numbers = {one.node for one in evidence.clients if one.request_id == request_id}
        for one in evidence.clients:
            if one.request_id == request_id:
                lines.append((one.sent_at, f"client {orjson.dumps(msgspec.structs.asdict(one)).decode()}"))
        for one in evidence.attempts:
            if one.request_id == request_id:
                text = orjson.dumps(msgspec.structs.asdict(one)).decode()
                lines.append((one.first_byte_at, f"executor {text}"))
        for node in self.nodes:
            path = node.folder / "events.jsonl"
            for line in path.read_bytes().splitlines() if path.exists() else ():
                state = node.number in node_numbers and b'"state"' in line
                if state or request_id.encode() in line:
                    with suppress(orjson.JSONDecodeError):
                        event = orjson.loads(line)
                        lines.append((event["at"], f"node {node.number} {line.decode()}"))
        for run in [run for run in evidence.runs if run.node in node_numbers]:
            text = f"node {run.node} process: SIGTERM {run.sigterm_at - self.began:.3f}"
            text += f", SIGKILL {run.sigkill_at - self.began:.3f}, ended {run.ended_at - self.began:.3f}"
            lines.append((run.started_at, text))
        return [f"{at - self.began:8.3f} {line}" for at, line in sorted(lines)]

    async def _clean_up(self) -> None:
        for work in self.fault_tasks:
            work.cancel()
        for process in [node.process for node in self.nodes if node.process] + self.workers:
            send_signal(process, signal.SIGKILL)
        await asyncio.gather(*(node.reading for node in self.nodes if node.reading), return_exceptions=True)
        for process in self.workers:
            await process.wait()
        if hasattr(self, "discovery"):
            self.discovery.close()
        if self.reserved_socket is not None:
            self.reserved_socket.close()


async def run_seed(seed: int, folder: Path | None = None, patch: str = "") -> Report:
    """Run the soak of a seed."""
    with tempfile.TemporaryDirectory(prefix="firwalk-soak-") as temporary:
        directory = Path(folder) / f"seed-{seed}" if folder else Path(temporary)
        directory.mkdir(parents=True, exist_ok=True)
        return await Soak(plans.generate_plan(seed), directory, patch).run()


async def run_seeds(seeds: list[int], at_once: int, print_line, folder: Path | None = None) -> list[Report]:
    """Run several soaks with limited concurrency and report each as it ends."""
    limit = asyncio.Semaphore(at_once)

    async def run_limited(seed: int) -> Report:
        async with limit:
            report = await run_seed(seed, folder)
            for line in report.lines():
                print_line(line)
            return report

    return await asyncio.gather(*(run_limited(seed) for seed in seeds))


def totals(reports: list[Report]) -> dict:
    """Return counts over all reports."""
    fault_counts, counts, rules = Counter(), Counter(), Counter()
    for report in reports:
        fault_counts.update(report.fault_counts)
        counts.update(report.counts)
        rules.update(str(one.rule) for one in report.violations)
    return {
        "seeds": [report.seed for report in reports],
        "failing": [report.seed for report in reports if report.violations],
        "broken": dict(rules),
        "faults": dict(sorted(fault_counts.items())),
        "counts": dict(sorted(counts.items())),
        "breaks": [asdict(one) | {"seed": report.seed} for report in reports for one in report.violations],
    }
