"""Configuration file of an agent (TOML). The field names are the keys of the file."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from firwalk.agent.supervisor_state import (
    CONFIRM_TIMEOUT_S,
    HANG_TIMEOUT_S,
    READY_TIMEOUT_S,
    Timeouts,
)
from firwalk.config import validation
from firwalk.config.rollout_file import ResourceName

PATH_KEYS = ("config", "releases", "folder")

Seconds = Annotated[float, Meta(gt=0, le=3600)]


class AgentConfig(Struct, frozen=True):
    """The agent's configuration. Paths are relative to the file's directory; times are in seconds."""

    config: Annotated[str, Meta(min_length=1)]  # the node's configuration file
    releases: Annotated[str, Meta(min_length=1)]  # one directory per release, each with an executable `run`
    release: ResourceName  # started if there is no stored state
    folder: Annotated[str, Meta(min_length=1)]  # directory of the sockets and the stored state
    management: Annotated[list[str], Meta(min_length=2, max_length=2)]  # one address per slot
    operations: str = ""  # the node's operations file
    check: list[str] = []  # health check command; exit code 0 means that answers are correct
    every: Annotated[float, Meta(ge=0.05, le=10)] = 0.25  # poll interval
    events: bool = False  # log events as JSON
    ready: Seconds = READY_TIMEOUT_S
    confirm: Seconds = CONFIRM_TIMEOUT_S
    hang: Seconds = HANG_TIMEOUT_S

    def timeouts(self) -> Timeouts:
        """Return the supervisor's timeouts."""
        return Timeouts(self.ready, self.confirm, self.hang)


def load(path: str) -> tuple[AgentConfig | None, list[str]]:
    """Return the validated configuration with absolute paths (None if it has faults), and its faults."""
    config, faults = validation.load_toml(AgentConfig, path)
    if config is None:
        return None, faults
    folder = Path(path).resolve().parent
    config = msgspec.structs.replace(
        config,
        **{key: str(folder / getattr(config, key)) for key in PATH_KEYS},
        operations=str(folder / config.operations) if config.operations else "",
    )
    if not os.path.isfile(config.config):
        faults.append(f"{path}: config: there is no file {config.config}")
    if not os.access(os.path.join(config.releases, config.release, "run"), os.X_OK):
        missing = f"{config.releases}/{config.release}/run"
        faults.append(f"{path}: release: {missing} is not an executable file")
    return (None if faults else config), faults
