"""The agent's machine: processes, their second addresses, files.

Decides nothing: that is `firwalk.agent.supervisor`.
"""

from __future__ import annotations

import asyncio
import os
import signal
import time
from contextlib import suppress
from pathlib import Path
from typing import Annotated, Any

import msgspec
import orjson
import psutil
from msgspec import Meta, Struct

from firwalk.agent.supervisor import (
    CONFIRM,
    HANG,
    READY,
    ChildProcess,
    RolloutOrder,
    Supervisor,
    SupervisorState,
    Times,
)
from firwalk.cluster.rollout import GOING, HELD
from firwalk.config import validation
from firwalk.config.rollout_file import NAME, Word
from firwalk.observability import log
from firwalk.observability.log import log_external

ANSWER = 1.0  # seconds in which a call must be answered
CHECK_EVERY = 1.0  # seconds between two runs of the operators' check
CHECK_TIME = 5.0  # seconds in which one must end
NONE = "-"  # in place of an empty word
STATE = "agent.json"
START_TICKS = 19  # of proc_pid_stat(5), counted from behind the name: field 22
SAME_S = 0.1  # by which two times of one start may differ


Seconds = Annotated[float, Meta(gt=0, le=3600)]


class AgentConfig(Struct, frozen=True):
    """The agent's file; paths are from its folder. `config`: the node's configuration, whose `management` is
    replaced by one of the two `management`; `releases`: each has its own `run`; `release`: the first one;
    `folder`: for sockets and what is kept; `check`: a command of the operators', which says by its exit code
    whether the node answers rightly; `every`: seconds between looks; `events`: all of them as JSON; `ready`,
    `confirm`, `hang`: seconds, as `firwalk.agent.supervisor.Times`."""

    config: Annotated[str, Meta(min_length=1)]
    releases: Annotated[str, Meta(min_length=1)]
    release: Word
    folder: Annotated[str, Meta(min_length=1)]
    management: Annotated[list[str], Meta(min_length=2, max_length=2)]
    operations: str = ""
    check: list[str] = []
    every: Annotated[float, Meta(ge=0.05, le=10)] = 0.25
    events: bool = False
    ready: Seconds = READY
    confirm: Seconds = CONFIRM
    hang: Seconds = HANG


def load(path: str) -> tuple[AgentConfig | None, list[str]]:
    """The agent's file, checked, and what is wrong, a line each."""
    told, faults = validation.load_toml(AgentConfig, path)
    if told is None:
        return None, faults
    folder = Path(path).resolve().parent
    told = msgspec.structs.replace(
        told,
        **{word: str(folder / getattr(told, word)) for word in ("config", "releases", "folder")},
        operations=str(folder / told.operations) if told.operations else "",
    )
    if not os.path.isfile(told.config):
        faults.append(f"{path}: config: there is no file {told.config}")
    if not os.access(os.path.join(told.releases, told.release, "run"), os.X_OK):
        faults.append(f"{path}: release: {told.releases}/{told.release}/run is nothing that can be started")
    return (None if faults else told), faults


class StoredState(Struct):
    """What is kept; `created`: when each process began, in seconds since the machine did, by its pid, which
    may be another's by now; `boot`: of the machine. Without it the times are by the wall clock, as agents
    wrote them before."""

    kept: SupervisorState
    created: dict[int, float]
    boot: str = ""


def boot_id() -> str:
    """Which start of the machine this is."""
    return Path("/proc/sys/kernel/random/boot_id").read_text().strip()


def began_s(pid: int) -> float:
    """When a process began, in seconds since the machine did: no step of the wall clock moves it. OSError."""
    words = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return int(words[START_TICKS]) / os.sysconf("SC_CLK_TCK")


class HostProcesses:
    """The host of one keeper."""

    def __init__(self, told: AgentConfig):
        self.told, self.folder = told, Path(told.folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.processes: dict[int, psutil.Popen | psutil.Process] = {}  # by pid
        self.unwritten = False  # whether the file is behind
        self.kept = self._read()
        self.keeper = Supervisor(self, self.kept, Times(told.ready, told.confirm, told.hang))
        self.stopping = asyncio.Event()
        self.telling: dict[int, asyncio.Task] = {}
        self.checked_at, self.checking = 0.0, None

    # -- what is kept --------------------------------------------------------------------------------------

    def _read(self) -> SupervisorState:
        """What an agent before wrote; processes of it that are still there are found again."""
        try:
            told = msgspec.json.decode((self.folder / STATE).read_bytes(), type=StoredState)
        except (OSError, msgspec.DecodeError) as problem:
            if not isinstance(problem, FileNotFoundError):
                log_external(f"agent: begun without what {STATE} keeps: {' '.join(str(problem).split())}")
            return SupervisorState(self.told.release, self._base().get("tag", ""))
        for child in (told.kept.serving, told.kept.coming, told.kept.leaving):
            if child is not None and (found := self._found(child.pid, told)) is not None:
                self.processes[child.pid] = found
        return told.kept

    def _found(self, pid: int, told: StoredState) -> psutil.Process | None:
        """The process that an agent before started, if it is there yet."""
        try:
            if pid not in told.created or told.boot not in ("", boot_id()):
                return None
            process = psutil.Process(pid)
            began = began_s(pid) if told.boot else process.create_time()
        except (OSError, psutil.Error, ValueError):
            return None
        return process if abs(began - told.created[pid]) < SAME_S else None

    def keep(self, kept: SupervisorState) -> None:
        """Written beside and put in its place whole; what cannot be written is tried again with each look,
        and the agent goes on: its node needs it more than the file."""
        try:
            self._write(kept)
            self.unwritten = False
        except OSError as problem:
            self.unwritten = True
            log_external(f"agent: {STATE} cannot be written: {problem}")

    def keep_again(self) -> None:
        """What could not be written."""
        if self.unwritten:
            self.keep(self.kept)

    def _write(self, kept: SupervisorState) -> None:
        created: dict[int, float] = {}
        for pid in self.processes:
            with suppress(OSError):
                created[pid] = began_s(pid)
        part = self.folder / f"{STATE}.part"
        part.write_bytes(msgspec.json.encode(StoredState(kept, created, boot_id())))
        part.replace(self.folder / STATE)

    # -- the keeper's host -----------------------------------------------------------------------------------

    def _base(self) -> dict:
        return orjson.loads(Path(self.told.config).read_bytes())

    def _config(self, slot: int, tag: str) -> Path:
        """The node's configuration with these settings and that second address. OSError or ValueError."""
        config = self._base()
        if tag and tag != config.get("tag", ""):
            path = Path(self.told.releases) / tag / "settings.json"
            overlay = orjson.loads(path.read_bytes())
            if not isinstance(overlay, dict):
                raise ValueError(f"{path}: an object is wanted")
            config["settings"] = config["settings"] | overlay
            config["tag"] = tag
        config["management"] = self.told.management[slot]
        path, part = self.folder / f"config-{slot}.json", self.folder / f"config-{slot}.part"
        part.write_bytes(orjson.dumps(config, option=orjson.OPT_INDENT_2))
        part.replace(path)
        return path

    def start(self, release: str, slot: int) -> int:
        run = Path(self.told.releases) / release / "run"
        try:
            config = self._config(slot, self.kept.tag)
            env = os.environ | {
                "BALANCER_CONFIG": str(config),
                "FIRWALK_RELEASE": release,
                "BALANCER_OPERATIONS": self.told.operations,
                "TMPDIR": str(self.folder),
            }
            process = psutil.Popen([str(run)], cwd=run.parent, env=env)
        except (OSError, ValueError) as problem:
            log_external(f"agent: release {release} cannot be started: {' '.join(str(problem).split())}")
            return 0
        self.processes[process.pid] = process
        return process.pid

    def _signal(self, child: ChildProcess, number: int) -> None:
        process = self.processes.get(child.pid)
        try:
            if process is not None:
                process.send_signal(number)
        except psutil.Error:
            pass  # it has ended; that is told by the next look

    def end(self, child: ChildProcess) -> None:
        self._signal(child, signal.SIGTERM)

    def kill(self, child: ChildProcess) -> None:
        self._signal(child, signal.SIGKILL)

    def apply(self, tag: str) -> str:
        serving = self.kept.serving
        if serving is None:
            return "no process is there"
        try:
            self._config(serving.slot, tag)
        except (OSError, ValueError) as problem:
            return f"the settings cannot be had: {' '.join(str(problem).split())}"[:90]
        self._signal(serving, signal.SIGHUP)
        return ""

    def tell_failed(self, number: int, why: str) -> None:
        if number not in self.telling or self.telling[number].done():
            self.telling[number] = asyncio.get_running_loop().create_task(self._tell(number, why))

    async def _tell(self, number: int, why: str) -> None:
        serving = self.kept.serving
        if serving is None:
            return
        answer = await self._call(serving, f"ROLL FAILED {number} {why}"[:200], 4 * ANSWER)
        if answer is not None and answer.startswith("+OK"):
            self.keeper.told(time.monotonic(), number)

    def event(self, what: str, **about: Any) -> None:
        words = " ".join(f"{word} {value}" for word, value in about.items())
        if self.told.events:
            at = time.clock_gettime(time.CLOCK_MONOTONIC)
            text = orjson.dumps({"event": f"agent_{what}", "at": at, "seat": -1, "life": 0, **about})
            log.log_unlimited(f"cluster {text.decode()}")
        else:
            log_external(f"agent: {what} {words}")

    # -- looking -------------------------------------------------------------------------------------------

    async def run(self) -> int:
        self.keeper.begun(time.monotonic())
        while True:
            await self._look()
            self.keep_again()
            now = time.monotonic()
            if self.stopping.is_set():
                self.keeper.stop(now)
                if not self.keeper.children():
                    return 0
            self.keeper.tick(now)
            try:
                async with asyncio.timeout(self.told.every):
                    await self.stopping.wait()
                    await asyncio.sleep(self.told.every)
            except TimeoutError:
                pass

    async def _look(self) -> None:
        for child in self.keeper.children():
            process = self.processes.get(child.pid)
            if process is None or not self._alive(process):
                code = getattr(process, "returncode", None) if process is not None else None
                self.processes.pop(child.pid, None)
                self.keeper.ended(time.monotonic(), child, code)
        await asyncio.gather(*(self._ask(child) for child in self.keeper.children()))
        await self._check()

    def _alive(self, process: psutil.Popen | psutil.Process) -> bool:
        if isinstance(process, psutil.Popen):
            return process.poll() is None
        return process.is_running() and process.status() != psutil.STATUS_ZOMBIE

    async def _ask(self, child: ChildProcess) -> None:
        answer = await self._call(child, "PING")
        if answer is not None:
            self.keeper.answered(time.monotonic(), child, answer == "+OK")
        answer = await self._call(child, "ROLL WANTED") if child.ready_at else None
        if answer is not None and answer.startswith("+OK "):
            wanted, _, runs = answer[4:].partition(" runs ")
            tag = runs.rpartition(" ")[2]
            self.keeper.wanted(time.monotonic(), child, _order(wanted), "" if tag == NONE else tag)

    async def _call(self, child: ChildProcess, line: str, seconds: float = ANSWER) -> str | None:
        return await call(self.told.management[child.slot], line, seconds)

    async def _check(self) -> None:
        """The operators' own check runs beside the looks, one at a time."""
        now = time.monotonic()
        serving = self.kept.serving
        due = self.told.check and now >= self.checked_at + CHECK_EVERY
        if (
            due
            and serving is not None
            and serving.ready_at
            and (self.checking is None or self.checking.done())
        ):
            self.checked_at = now
            self.checking = asyncio.get_running_loop().create_task(self._run_check())

    async def _run_check(self) -> None:
        good = False
        try:
            process = await asyncio.create_subprocess_exec(
                *self.told.check,
                stdout=asyncio.subprocess.DEVNULL,
                stderr=asyncio.subprocess.DEVNULL,
                env=os.environ | {"FIRWALK_LISTEN": str(self._base().get("listen", ""))},
            )
            try:
                async with asyncio.timeout(CHECK_TIME):
                    good = await process.wait() == 0
            except TimeoutError:
                process.kill()
                await process.wait()
        except OSError as problem:
            log_external(f"agent: the check cannot be run: {' '.join(str(problem).split())}")
            good = True  # that says nothing of the node
        self.keeper.checked(time.monotonic(), good)


async def call(at: str, line: str, seconds: float) -> str | None:
    """One call to a second address; None: no answer in that time."""
    host, _, port = at.rpartition(":")
    try:
        async with asyncio.timeout(seconds):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(line.encode() + b"\n")
                return (await reader.read()).decode("latin-1").strip()
            finally:
                writer.close()
    except (OSError, TimeoutError, ValueError):
        return None


def _order(text: str) -> RolloutOrder | None:
    """None where nothing is to be done: no plan in force, no change that was ever asked for, or one to what
    is no name of a folder."""
    words = text.split(" ")
    if len(words) != 4 or not words[0].isdecimal() or not NAME.fullmatch(words[2]):
        return None
    return RolloutOrder(int(words[0]), words[1], words[2], words[3] in (GOING, HELD))
