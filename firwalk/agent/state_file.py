"""The state file of an agent, and recovery of its processes after a restart of the agent."""

from __future__ import annotations

import os
from collections.abc import Iterable
from contextlib import suppress
from pathlib import Path

import msgspec
import psutil
from msgspec import Struct

from firwalk.agent.supervisor_state import SupervisorState
from firwalk.observability.log import log_external

STATE_FILE_NAME = "agent.json"
BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")
START_TIME_FIELD_INDEX = 19  # Field 22 of proc_pid_stat(5), counted from after the command name.
START_TIME_TOLERANCE_S = 0.1  # Two readings of the same start time may differ by this much.


class StoredState(Struct, rename={"state": "kept", "start_times": "created", "boot_id": "boot"}):
    """The content of the state file.

    `start_times`, by pid, detect that a pid was reused. They are seconds since the boot `boot_id`; without a
    boot id they are wall-clock times, as earlier agents wrote them.
    """

    state: SupervisorState
    start_times: dict[int, float]
    boot_id: str = ""


def boot_id() -> str:
    """Return the id of the host's current boot."""
    return BOOT_ID_PATH.read_text().strip()


def start_time_s(pid: int) -> float:
    """Return the start time of a process in seconds since boot, which clock steps do not affect.

    Raises OSError if the process has exited.
    """
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return int(fields[START_TIME_FIELD_INDEX]) / os.sysconf("SC_CLK_TCK")


def read(folder: Path) -> StoredState | None:
    """Return the stored state; None if there is no file, or, with a log line, if it cannot be used."""
    try:
        return msgspec.json.decode((folder / STATE_FILE_NAME).read_bytes(), type=StoredState)
    except FileNotFoundError:
        return None
    except (OSError, msgspec.DecodeError) as error:
        log_external(
            f"agent: starting without state, cannot use {STATE_FILE_NAME}: {' '.join(str(error).split())}"
        )
        return None


def write(folder: Path, state: SupervisorState, pids: Iterable[int]) -> None:
    """Replace the state file atomically; raises OSError."""
    start_times: dict[int, float] = {}
    for pid in pids:
        with suppress(OSError):
            start_times[pid] = start_time_s(pid)
    new_file = folder / f"{STATE_FILE_NAME}.part"
    new_file.write_bytes(msgspec.json.encode(StoredState(state, start_times, boot_id())))
    new_file.replace(folder / STATE_FILE_NAME)


def find_process(pid: int, stored: StoredState) -> psutil.Process | None:
    """Return the process that an earlier agent started, None if it no longer runs."""
    try:
        if pid not in stored.start_times or stored.boot_id not in ("", boot_id()):
            return None
        process = psutil.Process(pid)
        started_at = start_time_s(pid) if stored.boot_id else process.create_time()
    except (OSError, psutil.Error, ValueError):
        return None
    return process if abs(started_at - stored.start_times[pid]) < START_TIME_TOLERANCE_S else None
