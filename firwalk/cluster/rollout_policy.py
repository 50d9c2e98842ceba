"""The inputs of a rollout: the operators' policy, and the interface of a rollout file."""

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
        """Return the thresholds from which a figure is worse."""


class RolloutFile(Protocol):
    """A rollout file (`firwalk.config.rollout_file.RolloutSpec`)."""

    @property
    def before(self) -> str:
        """The name of the old version."""

    @property
    def stages(self) -> list[Any]:
        """The nodes on the new version after each stage."""

    @property
    def compare(self) -> Any:
        """The limits for the comparison of new nodes with old ones."""

    def what(self) -> str:
        """Return the name of the new version."""

    def kind(self) -> str:
        """Return what the rollout changes."""


# Returns the rollout file of a name, its checksum and its faults.
FileLookup = Callable[[str], tuple[RolloutFile | None, int, list[str]]]


@dataclass(frozen=True)
class RolloutPolicy:
    """The operators' policy for rollouts.

    `at_once`: fraction of a zone's nodes that change their version at the same time; `settle`: seconds for
    which an acceptor of the lease must have reported from the new version before the next nodes follow;
    `report`: report interval in seconds; `names`: names of the zones.
    """

    at_once: float = 0.25
    settle: float = 3.0
    report: float = 0.5
    names: tuple[str, ...] = ()
