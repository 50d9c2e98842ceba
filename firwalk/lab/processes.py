"""Starts, signals and kills real processes of the program, and reads their output.

Each process is killed when the rig ends, also when the rig itself is killed (PR_SET_PDEATHSIG, prctl(2)).
"""

from __future__ import annotations

import asyncio
import ctypes
import os
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import orjson
import psutil

from firwalk.agent import host_processes
from firwalk.lab import seam

PR_SET_PDEATHSIG = 1
CLUSTER_EVENT_PREFIX = b"firwalk: cluster {"
# An operator's call must be answered within this time.
CALL_TIMEOUT_S = 5.0
# An agent and its node must stop within this time.
AGENT_STOP_TIMEOUT_S = 12.0
# An agent may detect the end of a process this late.
AGENT_DETECTION_DELAY_S = 1.0
# A process must listen within this time after its start.
READY_TIMEOUT_S = 15.0
_libc = ctypes.CDLL(None, use_errno=True)


def die_with_parent() -> None:
    """Let the kernel kill this process when its parent ends."""
    _libc.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


async def start_worker(
    module: str, told: msgspec.Struct, told_file: Path, output: Path, **streams: object
) -> asyncio.subprocess.Process:
    """Start a worker of the rig, which reads its task from one file and writes its results to another."""
    told_file.write_bytes(msgspec.json.encode(told))
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        module,
        str(told_file),
        str(output),
        stdin=asyncio.subprocess.DEVNULL,
        preexec_fn=die_with_parent,
        **streams,
    )


class Program:
    """One process of one node, from its start to its end."""

    def __init__(self, node: Node, number: int):
        self.node, self.number = node, number
        self.process: asyncio.subprocess.Process | None = None
        self.listens = asyncio.get_running_loop().create_future()
        self.reading: asyncio.Task | None = None
        self.killed_at, self.agent_killed = 0.0, False

    async def start(self, command: list[str], env: dict[str, str]) -> None:
        self.process = await asyncio.create_subprocess_exec(
            *command,
            stdin=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.PIPE,
            env=env,
            preexec_fn=die_with_parent,
            limit=1 << 20,
        )
        self.reading = asyncio.ensure_future(self._read())

    async def _read(self) -> None:
        while line := await self.process.stderr.readline():
            if line.startswith(CLUSTER_EVENT_PREFIX):
                try:
                    event = orjson.loads(line[len(CLUSTER_EVENT_PREFIX) - 1 :])
                except orjson.JSONDecodeError:
                    continue
                self.node.events.append(event)
                if event["event"].startswith("agent_"):
                    self.node.on_agent_event(event)
                self.node.on_event(event)
                continue
            self.node.lines.append((time.monotonic(), self.number, line.decode(errors="replace").rstrip()))
            if b" listens at " in line and not self.listens.done():
                self.listens.set_result(True)
        if not self.listens.done():
            self.listens.set_result(False)
        await self.process.wait()

    def alive(self) -> bool:
        """Return whether the process was started and has not exited."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: int) -> None:
        """Send a signal, unless the process has exited."""
        if self.alive():
            try:
                self.process.send_signal(number)
            except ProcessLookupError:
                pass

    async def end(self, seconds: float) -> None:
        """Terminate the process, and kill it if it has not exited in time."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(seconds):
                await asyncio.shield(self.reading)
        except TimeoutError:
            await self.kill()

    async def kill(self, agent: bool = False) -> None:
        """Kill the process; with `agent`, the node it started lives on and keeps writing to the same pipe."""
        if agent:
            self.agent_killed = True
            self.signal(signal.SIGKILL)
            await self.process.wait()
            return
        killed = self.alive() or self.process is not None and self.process.returncode == -signal.SIGKILL
        self.signal(signal.SIGKILL)
        if self.node.agent is not None:
            self.node.signal_all(signal.SIGKILL)
        if self.reading is not None:
            await self.reading
        if killed and not self.killed_at:  # its remaining output came before
            self.killed_at = time.monotonic()


class Node:
    """A node: its configuration, and all processes that have run it."""

    def __init__(self, number: int, folder: Path, config: dict, operations: Path | None, program: list[str]):
        self.number, self.folder, self.config, self.operations = number, folder, config, operations
        self.program = program
        self.programs: list[Program] = []
        self.events: list[dict] = []
        self.lines: list[tuple[float, int, str]] = []
        self.down: list[list[float]] = []  # [from, to]: killed, stopped or not running
        self.stopped: list[list[float]] = []  # [from, to]: down after a graceful stop
        self.on_event: Callable[[dict], None] = lambda event: None
        self.rate, self.skewed = 1.0, False
        self.crashes: list[str] = []
        self.agent: dict[str, Any] | None = None  # configuration of its agent, if it has one
        folder.mkdir(parents=True, exist_ok=True)
        self.clock_file = folder / "clock"

    def command(self) -> list[str]:
        """Return the command that starts the node or its agent."""
        if self.agent is not None:
            (self.folder / "agent.toml").write_text(
                "".join(f"{word} = {orjson.dumps(value).decode()}\n" for word, value in self.agent.items())
            )
            return [sys.executable, "-m", "firwalk.agent", str(self.folder / "agent.toml")]
        words = self.program
        if self.skewed and words == ["-m", "firwalk"]:
            words = ["-m", "firwalk.lab.seam", str(self.clock_file)]
        told = ["--operations", str(self.operations)] if self.operations else []
        return [sys.executable, "-O", *words, "--config", str(self.folder / "config.json"), *told]

    async def start(self) -> Program:
        """Start another process of the node, with a seed of its own."""
        starts = len(self.programs)
        config = self.config | {"seed": f"{(self.number + 1) * 1000003 + starts:x}"}
        if self.agent is None and starts and self.programs[-1].alive():
            # Two processes run side by side, so the new one gets another management port.
            host = config["management"].rpartition(":")[0]
            config["management"] = f"{host}:{3100 + starts % 2}"
        (self.folder / "config.json").write_bytes(orjson.dumps(config))
        if self.skewed and not self.clock_file.exists():
            seam.make(str(self.clock_file))
        program = Program(self, starts)
        self.programs.append(program)
        env = {name: value for name, value in os.environ.items() if not name.startswith("BALANCER_")}
        root = str(Path(__file__).parents[2])
        paths = [root, env.get("PYTHONPATH", "")]
        env |= {"TMPDIR": str(self.folder), "PYTHONPATH": os.pathsep.join(path for path in paths if path)}
        await program.start(self.command(), env)
        return program

    async def ready(self) -> bool:
        """Return whether the newest process listens within READY_TIMEOUT_S."""
        try:
            async with asyncio.timeout(READY_TIMEOUT_S):
                return await asyncio.shield(self.programs[-1].listens)
        except TimeoutError:
            return False

    def mark_down(self) -> None:
        """Record that the node is down; its unanswered requests are excused."""
        self.down.append([time.monotonic(), float("inf")])

    def mark_stopped(self) -> None:
        """Record a graceful stop; requests accepted before it are not excused."""
        self.stopped.append([time.monotonic(), float("inf")])

    def mark_up(self) -> None:
        """Record that the node serves again."""
        for span in self.down + self.stopped:
            if span[1] == float("inf"):
                span[1] = time.monotonic()

    def was_down(self, since: float, until: float, margin: float = 0.0) -> bool:
        """Return whether it was down in the interval, or gracefully stopped at its start."""
        down = any(a - margin < until and since < b + margin for a, b in self.down)
        return down or any(a - margin < since < b + margin for a, b in self.stopped)

    async def kill(self) -> None:
        """Kill all processes of the node."""
        self.mark_down()
        for program in self.programs:
            await program.kill()

    async def end(self, seconds: float) -> None:
        """Terminate all processes, and kill them after `seconds`; an agent gets more, to stop its node."""
        for program in self.programs:
            if program.alive():
                await program.end(AGENT_STOP_TIMEOUT_S if self.agent else seconds)

    def signal_all(self, number: int) -> None:
        """Signal all processes of the node, but not its agent."""
        if self.agent is None:
            for program in self.programs:
                program.signal(number)
            return
        for pid in self.pids():
            try:
                os.kill(pid, number)
            except ProcessLookupError:
                pass

    def pids(self) -> list[int]:
        """Return the process ids of the node that its agent recorded."""
        if self.agent is None:
            return []
        try:
            kept = orjson.loads((self.folder / "run" / "agent.json").read_bytes())["kept"]
        except (OSError, ValueError, KeyError):
            return []
        children = [kept[word] for word in ("serving", "coming", "leaving")]
        return [child["pid"] for child in children if child and child["pid"]]

    async def kill_service(self) -> None:
        """Kill the node's processes; its agent restarts it."""
        self.mark_down()
        self.signal_all(signal.SIGKILL)

    def on_agent_event(self, event: dict) -> None:
        """Record downtime from the agent's events.

        Requests in progress are lost when a process crashes or hangs. The downtime starts when that may have
        happened and ends when the node accepts clients again.
        """
        if event["event"] == "agent_process_ended" and event["code"] not in (0, "unknown"):
            self.down.append(
                [
                    event["at"] - AGENT_DETECTION_DELAY_S,
                    float("inf") if event["which"] == "serving" else event["at"] + AGENT_DETECTION_DELAY_S,
                ]
            )
        elif event["event"] == "agent_hangs":
            self.down.append([event["at"] - self.agent["hang"] - 2 * AGENT_DETECTION_DELAY_S, float("inf")])
        elif event["event"] == "agent_ready":
            self.mark_up()

    async def call(self, line: str) -> str:
        """Send a command to its management addresses; return the first answer of a responsible process."""
        said = "no answer"
        for at in self.agent["management"] if self.agent else [self.config["management"]]:
            answer = await host_processes.call(at, line, CALL_TIMEOUT_S)
            if answer is None:
                continue
            if "another process speaks" not in answer:
                return answer
            said = answer
        return said

    def kill_all(self) -> None:
        """Kill the node and its agent without waiting."""
        for program in self.programs:
            program.signal(signal.SIGKILL)
        self.signal_all(signal.SIGKILL)

    def memory(self) -> float:
        """Return the unique set size of its largest process in megabytes, or 0."""
        pids = self.pids() or ([self.programs[-1].process.pid] if self.programs[-1].process else [])
        try:
            return max((psutil.Process(pid).memory_full_info().uss for pid in pids), default=0) / 1e6
        except psutil.Error:
            return 0.0
