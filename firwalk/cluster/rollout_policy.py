"""What a rollout is given: the operators' policy, and the file that describes it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from firwalk.cluster.canary_analysis import HarmThresholds


class Limits(Protocol):
    """A rollout file's limits (`firwalk.config.rollout_file.CanaryLimits`)."""

    seconds: float
    most: float
    memory: float

    def worse(self) -> HarmThresholds:
        """When a figure counts as worse."""


class RolloutFile(Protocol):
    """An operator's file (`firwalk.config.rollout_file.RolloutSpec`)."""

    @property
    def before(self) -> str:
        """The name of the version before."""

    @property
    def stages(self) -> list[Any]:
        """Which nodes have it after each stage."""

    @property
    def compare(self) -> Any:
        """The limits that new nodes are compared for."""

    def what(self) -> str:
        """The name of the new version."""

    def kind(self) -> str:
        """What the rollout changes."""


FileLookup = Callable[[str], tuple[RolloutFile | None, int, list[str]]]  # the file, its checksum, its faults


@dataclass(frozen=True)
class RolloutPolicy:
    """`at_once`: part of a zone's nodes that go over at a time; `settle`: seconds that an acceptor of the
    lease must have reported from the new version before the next nodes go; `report`: seconds between two
    reports; `names`: of the zones."""

    at_once: float = 0.25
    settle: float = 3.0
    report: float = 0.5
    names: tuple[str, ...] = ()
