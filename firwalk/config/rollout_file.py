"""A rollout's file (TOML): what is rolled out in stages, and the limits of its canary analysis.

Its keys are described in `docs/stages.md`. The file is in the directory that the operators' file names, with
the same content on all nodes.
"""

from __future__ import annotations

import os
import re
from typing import TYPE_CHECKING, Annotated
from zlib import crc32

from msgspec import Meta, Struct, field

from firwalk.cluster.canary_analysis import HarmThresholds
from firwalk.config import validation
from firwalk.config.errors import raise_conflicts

if TYPE_CHECKING:
    from firwalk.broker.contracts import Contracts

NAME_PATTERN = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,39}$")
VERSION_PATTERN = r"^[1-9][0-9]{0,8}$"
Fraction = Annotated[float, Meta(gt=0, le=1)]
ResourceName = Annotated[str, Meta(pattern=NAME_PATTERN.pattern)]
Stage = str | int | float | list[int]
ZONE_PREFIX = "zone:"
MAX_SHOWN_NAME_LENGTH = 50  # Longer invalid names are truncated in messages.


class CanaryLimits(Struct, frozen=True):
    """Limits of the comparison of nodes on the new version with nodes on the old one over the same time.

    seconds: minimum duration of a stage.
    most: seconds after which a stage without a verdict is held.
    memory: limit on the memory of a new node, as a multiple of that of the old ones.
    The other fields are those of `firwalk.cluster.canary_analysis.HarmThresholds`.
    """

    seconds: Annotated[float, Meta(ge=0, le=86400)] = 10.0
    most: Annotated[float, Meta(gt=0, le=604800)] = 300.0
    false_stop: Annotated[float, Meta(gt=0, le=0.2)] = 0.01
    miss: Annotated[float, Meta(gt=0, le=0.2)] = 0.01
    late: Fraction = 0.05
    abandoned: Fraction = 0.03
    bounced: Fraction = 0.05
    bad: Fraction = 0.1
    errors: Fraction = 0.05
    assignments: Annotated[float, Meta(gt=0, le=10)] = 0.2
    time: Annotated[float, Meta(gt=1, le=100)] = 1.2
    memory: Annotated[float, Meta(gt=1, le=100)] = 1.5

    def __post_init__(self) -> None:
        if self.most < self.seconds:
            raise_conflicts(["most: must not be less than seconds"])

    def worse(self) -> HarmThresholds:
        """Return the thresholds of the sequential test."""
        return HarmThresholds(
            self.late,
            self.abandoned,
            self.bounced,
            self.bad,
            self.errors,
            self.assignments,
            self.time,
            self.false_stop,
            self.miss,
        )


class RolloutSpec(Struct, frozen=True):
    """One rollout, of one of three kinds.

    before: the release, tag or version that all nodes have now.
    release: the release directory that all nodes are to run.
    settings: the tag of the settings that all nodes are to use.
    contracts: the version of the contracts, in the file `contracts-VERSION.toml` beside this one.
    stages: the nodes that have it after each stage.
    """

    before: ResourceName
    release: ResourceName = ""
    settings: ResourceName = ""
    contracts: Annotated[str, Meta(pattern=VERSION_PATTERN)] = ""
    stages: list[Stage] = field(default_factory=lambda: ["one", 0.1, "zone", 0.5, "all"])
    compare: CanaryLimits = CanaryLimits()

    def __post_init__(self) -> None:
        conflicts = []
        if len([name for name in (self.release, self.settings, self.contracts) if name]) != 1:
            conflicts.append("release, settings, contracts: one of the three is wanted")
        if self.contracts and not re.fullmatch(VERSION_PATTERN, self.before):
            conflicts.append("before: the version of the contracts in force is wanted, a number")
        if self.what() == self.before:
            conflicts.append(
                f"before: {self.before} is what the change rolls out; it must be what all nodes have now"
            )
        if not self.stages or self.stages[-1] != "all":
            conflicts.append('stages: the last one must be "all"')
        for index, stage in enumerate(self.stages):
            fault = _stage_fault(stage)
            if fault:
                conflicts.append(f"stages[{index}]: {fault}")
        raise_conflicts(conflicts)

    def what(self) -> str:
        """Return the release, tag or version that is rolled out."""
        return self.release or self.settings or self.contracts

    def kind(self) -> str:
        """Return the kind of the rollout: "release", "settings" or "contracts"."""
        if self.release:
            return "release"
        return "settings" if self.settings else "contracts"


def _stage_fault(stage: Stage) -> str:
    """Return the fault of an invalid stage, or ""."""
    if isinstance(stage, str):
        names_a_zone = stage.startswith(ZONE_PREFIX) and len(stage) > len(ZONE_PREFIX)
        fits = stage in ("one", "zone", "all") or names_a_zone
        return "" if fits else f'"one", "zone", "zone:NAME" or "all" is wanted, not {stage!r}'
    if isinstance(stage, list):
        return "" if stage and min(stage) >= 0 else "a non-empty list of seats, from 0 on, is wanted"
    if isinstance(stage, float):
        return "" if 0.0 < stage <= 1.0 else f"a part of the fleet from 0 to 1 is wanted, not {stage:g}"
    return "" if stage >= 1 else f"a number of nodes is wanted, not {stage}"


def load(path: str) -> tuple[RolloutSpec | None, int, list[str]]:
    """Return the rollout (None if it has faults), its file's checksum, and its faults, one line each."""
    try:
        with open(path, "rb") as file:
            text = file.read()
    except OSError as error:
        return None, 0, [f"{path}: {error.strerror or error}"]
    spec, faults = validation.parse_toml(RolloutSpec, text, path)
    if spec is not None and spec.contracts:
        faults = _contracts_faults(os.path.dirname(path), spec.contracts)
        if faults:
            spec = None
    return spec, crc32(text), faults


def _contracts_faults(folder: str, version: str) -> list[str]:
    path = contracts_file(folder, int(version))
    contracts, faults = load_contracts(path)
    if contracts is not None and contracts.version != int(version):
        return [f"{path}: version: {contracts.version} is not {version}, as the file's name says"]
    return faults


def contracts_file(folder: str, version: int) -> str:
    """Return the path of the contracts that a rollout of that version refers to."""
    return os.path.join(folder, f"contracts-{version}.toml")


def load_contracts(path: str) -> tuple[Contracts | None, list[str]]:
    """Load the contracts of a rollout; return them and their faults, one line each."""
    from firwalk.broker import contracts  # imported only if a rollout has them

    return contracts.load(path)


def load_by_name(folder: str, name: str) -> tuple[RolloutSpec | None, int, list[str]]:
    """Load a rollout by its name in the directory of rollouts; return values as of `load`."""
    if not NAME_PATTERN.fullmatch(name):
        shown = repr(name)[:MAX_SHOWN_NAME_LENGTH]
        return None, 0, [f"{shown}: not a valid name of a change: letters, digits and ._- only, 40 at most"]
    return load(os.path.join(folder, f"{name}.toml"))
