"""State of an agent's supervisor, and the interface through which it acts.

The state is stored as JSON. Its keys differ from the attributes, because agents of earlier versions must be
able to read the file.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from msgspec import Struct, field

READY_TIMEOUT_S = 20.0
CONFIRM_TIMEOUT_S = 15.0
HANG_TIMEOUT_S = 5.0

RELEASE_ROLLOUT = "release"  # The kind of a release rollout; every other kind is a settings rollout.


class ChildProcess(
    Struct,
    rename={
        "rollout_number": "number",
        "started_at": "started",
        "answered_at": "heard_at",
        "terminated_at": "told_end",
        "is_killed": "killed",
    },
):
    """One process of the node."""

    release: str
    slot: int  # index of its management address
    pid: int = 0
    rollout_number: int = 0  # the rollout on trial that it was started for; 0: none
    started_at: float = 0.0
    ready_at: float = 0.0  # 0: not ready yet
    answered_at: float = 0.0  # when it last answered on its management address
    terminated_at: float = 0.0  # 0: not told to terminate
    is_killed: bool = False


@dataclass(frozen=True)
class RolloutOrder:
    """The rollout step that the plan orders for this node, as the node's process reports it."""

    rollout_number: int
    kind: str
    target: str  # a release, or the tag of settings
    is_on_trial: bool = True  # the rollout is in progress: a version that fails is reported and not retried

    def is_release(self) -> bool:
        """Whether a release is rolled out rather than settings."""
        return self.kind == RELEASE_ROLLOUT


class SupervisorState(
    Struct,
    rename={
        "previous": "before",
        "failures": "failed",
        "acknowledged_failures": "told",
        "candidate": "coming",
        "draining": "leaving",
    },
):
    """The state that is stored before each step, so that a restarted agent can continue."""

    release: str
    tag: str = ""
    previous: str = ""  # the release or tag that a rollback returns to
    failures: dict[int, str] = field(default_factory=dict)  # reasons, by rollout number
    acknowledged_failures: list[int] = field(default_factory=list)  # known to the coordinator
    serving: ChildProcess | None = None
    candidate: ChildProcess | None = None
    draining: ChildProcess | None = None

    def children(self) -> list[ChildProcess]:
        """Return all processes of the node."""
        return [child for child in (self.serving, self.candidate, self.draining) if child is not None]


class Host(Protocol):
    """Actions of the supervisor on its host."""

    def start(self, release: str, slot: int) -> int:
        """Start a process of the release; return its pid, 0 if it cannot be started."""

    def terminate(self, child: ChildProcess) -> None:
        """Tell the process to shut down gracefully."""

    def kill(self, child: ChildProcess) -> None:
        """Kill the process."""

    def apply_settings(self, tag: str) -> str:
        """Make the serving process load the settings of the tag; return why it cannot, or ""."""

    def report_failure(self, rollout_number: int, reason: str) -> None:
        """Report a failed rollout through the serving process, which leads to `failure_acknowledged`."""

    def save(self, state: SupervisorState) -> None:
        """Store the state atomically."""

    def event(self, name: str, **details: object) -> None:
        """Log an event for operators."""


@dataclass(frozen=True)
class Timeouts:
    """Timeouts in seconds, each counted from the previous step."""

    ready_s: float = READY_TIMEOUT_S  # from the start of a process until it is ready
    confirm_s: float = CONFIRM_TIMEOUT_S  # from then until it follows a plan that orders its release
    hang_s: float = HANG_TIMEOUT_S  # from its last answer
