"""Manages the processes of a node on its host: starts, signals and polls them, and writes their files.

All decisions are made by `firwalk.agent.supervisor`.
"""

from __future__ import annotations

import asyncio
import os
import signal
import time
from pathlib import Path
from typing import Any

import orjson
import psutil

from firwalk.agent import state_file
from firwalk.agent.agent_config import AgentConfig
from firwalk.agent.supervisor import Supervisor
from firwalk.agent.supervisor_state import ChildProcess, RolloutOrder, SupervisorState
from firwalk.cluster.rollout import GOING, HELD
from firwalk.config.rollout_file import NAME_PATTERN
from firwalk.limits.text_size import decode_text, truncate
from firwalk.observability import log
from firwalk.observability.log import log_external

CALL_TIMEOUT_S = 1.0
REPORT_TIMEOUT_S = 4.0  # Longer than other calls: the node forwards a failure to the coordinator.
CHECK_INTERVAL_S = 1.0
CHECK_TIMEOUT_S = 5.0
MAX_REASON_LENGTH = 90
MAX_REPORT_BYTES = 200
EMPTY_FIELD = "-"  # Stands for an empty field in a node's reply.
ORDER_FIELD_COUNT = 4

NodeConfig = dict[str, Any]  # A node's configuration as parsed JSON.


class SettingsError(Exception):
    """The settings file of a tag cannot be used."""


class HostProcesses:
    """Carries out the actions of one supervisor, and reports events to it."""

    def __init__(self, config: AgentConfig) -> None:
        self.config = config
        self.folder = Path(config.folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.processes: dict[int, psutil.Popen | psutil.Process] = {}  # by pid
        self.is_save_pending = False
        self.state = self._load_state()
        self.supervisor = Supervisor(self, self.state, config.timeouts())
        self.stopping = asyncio.Event()
        self._report_tasks: dict[int, asyncio.Task[None]] = {}  # by rollout number
        self._check_task: asyncio.Task[None] | None = None
        self._checked_at = 0.0

    # -- stored state --------------------------------------------------------------------------------------

    def _load_state(self) -> SupervisorState:
        """Return the state that an earlier agent stored, and attach to its processes that still run."""
        stored = state_file.read(self.folder)
        if stored is None:
            return SupervisorState(self.config.release, self._read_node_config().get("tag", ""))
        for child in stored.state.children():
            process = state_file.find_process(child.pid, stored)
            if process is not None:
                self.processes[child.pid] = process
        return stored.state

    def save(self, state: SupervisorState) -> None:
        """Store the state. A failure is logged and retried at each poll, since the node needs its agent."""
        try:
            state_file.write(self.folder, state, self.processes)
            self.is_save_pending = False
        except OSError as error:
            self.is_save_pending = True
            log_external(f"agent: {state_file.STATE_FILE_NAME} cannot be written: {error}")

    def retry_save(self) -> None:
        """Store the state if the last attempt has failed."""
        if self.is_save_pending:
            self.save(self.state)

    # -- configuration of the node -------------------------------------------------------------------------

    def _read_node_config(self) -> NodeConfig:
        config: NodeConfig = orjson.loads(Path(self.config.config).read_bytes())
        return config

    def _write_node_config(self, slot: int, tag: str) -> Path:
        """Write the configuration with the settings of the tag and the management address of the slot.

        Raises OSError, ValueError (malformed JSON) or SettingsError.
        """
        config = self._read_node_config()
        if tag and tag != config.get("tag", ""):
            config["settings"] = config["settings"] | self._read_settings(tag)
            config["tag"] = tag
        config["management"] = self.config.management[slot]
        path = self.folder / f"config-{slot}.json"
        new_file = self.folder / f"config-{slot}.part"
        new_file.write_bytes(orjson.dumps(config, option=orjson.OPT_INDENT_2))
        new_file.replace(path)
        return path

    def _read_settings(self, tag: str) -> dict[str, Any]:
        path = Path(self.config.releases) / tag / "settings.json"
        settings = orjson.loads(path.read_bytes())
        if not isinstance(settings, dict):
            raise SettingsError(f"{path}: a JSON object is expected")
        return settings

    # -- the supervisor's host -----------------------------------------------------------------------------

    def start(self, release: str, slot: int) -> int:
        """Start a process of the release; return its pid, 0 if it cannot be started."""
        run = Path(self.config.releases) / release / "run"
        try:
            config_path = self._write_node_config(slot, self.state.tag)
            process = psutil.Popen([str(run)], cwd=run.parent, env=self._environment(release, config_path))
        except (OSError, ValueError, SettingsError) as error:
            log_external(f"agent: release {release} cannot be started: {_single_line(error)}")
            return 0
        self.processes[process.pid] = process
        pid: int = process.pid
        return pid

    def _environment(self, release: str, config_path: Path) -> dict[str, str]:
        return os.environ | {
            "BALANCER_CONFIG": str(config_path),
            "FIRWALK_RELEASE": release,
            "BALANCER_OPERATIONS": self.config.operations,
            "TMPDIR": str(self.folder),
        }

    def _send_signal(self, child: ChildProcess, signal_number: int) -> None:
        process = self.processes.get(child.pid)
        try:
            if process is not None:
                process.send_signal(signal_number)
        except psutil.Error:
            pass  # the process has exited; the next poll detects it

    def terminate(self, child: ChildProcess) -> None:
        """Tell the process to shut down gracefully."""
        self._send_signal(child, signal.SIGTERM)

    def kill(self, child: ChildProcess) -> None:
        """Kill the process."""
        self._send_signal(child, signal.SIGKILL)

    def apply_settings(self, tag: str) -> str:
        """Make the serving process load the settings of the tag; return why it cannot, or ""."""
        serving = self.state.serving
        if serving is None:
            return "no process is running"
        try:
            self._write_node_config(serving.slot, tag)
        except (OSError, ValueError, SettingsError) as error:
            return f"the settings cannot be had: {_single_line(error)}"[:MAX_REASON_LENGTH]
        self._send_signal(serving, signal.SIGHUP)
        return ""

    def report_failure(self, rollout_number: int, reason: str) -> None:
        """Report a failed rollout through the serving process, unless a report of it is in progress."""
        report = self._report_tasks.get(rollout_number)
        if report is None or report.done():
            coroutine = self._report(rollout_number, reason)
            self._report_tasks[rollout_number] = asyncio.get_running_loop().create_task(coroutine)

    async def _report(self, rollout_number: int, reason: str) -> None:
        serving = self.state.serving
        if serving is None:
            return
        line = truncate(f"ROLL FAILED {rollout_number} {reason}", MAX_REPORT_BYTES)
        answer = await self._call(serving, line, REPORT_TIMEOUT_S)
        if answer is not None and answer.startswith("+OK"):
            self.supervisor.failure_acknowledged(rollout_number)

    def event(self, name: str, **details: object) -> None:
        """Log an event for operators, as JSON if so configured."""
        if self.config.events:
            at = time.clock_gettime(time.CLOCK_MONOTONIC)
            line = orjson.dumps({"event": f"agent_{name}", "at": at, "seat": -1, "life": 0, **details})
            log.log_unlimited(f"cluster {line.decode()}")
        else:
            text = " ".join(f"{key} {value}" for key, value in details.items())
            log_external(f"agent: {name} {text}")

    # -- polling -------------------------------------------------------------------------------------------

    async def run(self) -> int:
        """Poll the processes until the agent is told to stop and all have exited; return the exit code."""
        self.supervisor.agent_started(time.monotonic())
        while True:
            await self._poll()
            self.retry_save()
            now = time.monotonic()
            if self.stopping.is_set() and self.supervisor.stop(now):
                return 0
            self.supervisor.tick(now)
            await self._wait_for_next_poll()

    async def _wait_for_next_poll(self) -> None:
        """Wait for the poll interval; a stop request ends the current wait early, but none after it."""
        try:
            async with asyncio.timeout(self.config.every):
                await self.stopping.wait()
                await asyncio.sleep(self.config.every)
        except TimeoutError:
            pass

    async def _poll(self) -> None:
        for child in self.supervisor.children():
            process = self.processes.get(child.pid)
            if process is None or not _is_alive(process):
                exit_code = getattr(process, "returncode", None)
                self.processes.pop(child.pid, None)
                self.supervisor.process_ended(time.monotonic(), child, exit_code)
        await asyncio.gather(*(self._poll_process(child) for child in self.supervisor.children()))
        self._start_check()

    async def _poll_process(self, child: ChildProcess) -> None:
        answer = await self._call(child, "PING")
        if answer is not None:
            self.supervisor.process_answered(time.monotonic(), child, answer == "+OK")
        answer = await self._call(child, "ROLL WANTED") if child.ready_at else None
        if answer is not None and answer.startswith("+OK "):
            order_text, _, versions = answer.removeprefix("+OK ").partition(" runs ")
            tag = versions.rpartition(" ")[2]
            order = decode_order(order_text)
            self.supervisor.plan_reported(time.monotonic(), child, order, "" if tag == EMPTY_FIELD else tag)

    async def _call(self, child: ChildProcess, line: str, timeout_s: float = CALL_TIMEOUT_S) -> str | None:
        return await call(self.config.management[child.slot], line, timeout_s)

    # -- the operators' health check -----------------------------------------------------------------------

    def _start_check(self) -> None:
        """Start the operators' check if it is due and the previous one has ended."""
        now = time.monotonic()
        serving = self.state.serving
        if not self.config.check or now < self._checked_at + CHECK_INTERVAL_S:
            return
        if serving is None or not serving.ready_at:
            return
        if self._check_task is None or self._check_task.done():
            self._checked_at = now
            self._check_task = asyncio.get_running_loop().create_task(self._run_check())

    async def _run_check(self) -> None:
        try:
            succeeded = await self._check_command_succeeds()
        except OSError as error:
            log_external(f"agent: the check cannot be run: {_single_line(error)}")
            succeeded = True  # not a failure of the node
        self.supervisor.check_completed(succeeded)

    async def _check_command_succeeds(self) -> bool:
        """Run the check; raises OSError if it cannot be started."""
        process = await asyncio.create_subprocess_exec(
            *self.config.check,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=asyncio.subprocess.DEVNULL,
            env=os.environ | {"FIRWALK_LISTEN": str(self._read_node_config().get("listen", ""))},
        )
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                return await process.wait() == 0
        except TimeoutError:
            process.kill()
            await process.wait()
            return False


async def call(address: str, line: str, timeout_s: float) -> str | None:
    """Call a management address; return its answer, None if there is none in time."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(line.encode() + b"\n")
                return decode_text(await reader.read()).strip()
            finally:
                writer.close()
    except (OSError, TimeoutError, ValueError):
        return None


def decode_order(text: str) -> RolloutOrder | None:
    """Return the order in a node's answer.

    None if there is nothing to do: no plan in force, no rollout yet, or a target that is no valid name.
    """
    fields = text.split(" ")
    if len(fields) != ORDER_FIELD_COUNT:
        return None
    number, kind, target, rollout_state = fields
    if not number.isdecimal() or not NAME_PATTERN.fullmatch(target):
        return None
    return RolloutOrder(int(number), kind, target, rollout_state in (GOING, HELD))


def _is_alive(process: psutil.Popen | psutil.Process) -> bool:
    if isinstance(process, psutil.Popen):
        return process.poll() is None
    return bool(process.is_running() and process.status() != psutil.STATUS_ZOMBIE)


def _single_line(error: Exception) -> str:
    return " ".join(str(error).split())
