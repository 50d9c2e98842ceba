"""A change that goes through the fleet by stages: an operator's file, checked whole.

Keys are told in `docs/stages.md`. The file lies in the folder that the operators' file names, on all nodes.
"""

from __future__ import annotations

import os
import re
from typing import Annotated, Any
from zlib import crc32

from msgspec import Meta, Struct, field

from firwalk.cluster.canary_analysis import HarmThresholds
from firwalk.config import validation

NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,39}$")
VERSION = r"^[1-9][0-9]{0,8}$"
Part = Annotated[float, Meta(gt=0, le=1)]
Word = Annotated[str, Meta(pattern=NAME.pattern)]
Stage = str | int | float | list[int]


class CanaryLimits(Struct, frozen=True):
    """`seconds`: that a stage takes at least; `most`: after which it is held if it cannot be told. The rest:
    `firwalk.cluster.canary_analysis.Worse`; `memory`: times that of the old nodes."""

    seconds: Annotated[float, Meta(ge=0, le=86400)] = 10.0
    most: Annotated[float, Meta(gt=0, le=604800)] = 300.0
    false_stop: Annotated[float, Meta(gt=0, le=0.2)] = 0.01
    miss: Annotated[float, Meta(gt=0, le=0.2)] = 0.01
    late: Part = 0.05
    abandoned: Part = 0.03
    bounced: Part = 0.05
    bad: Part = 0.1
    errors: Part = 0.05
    assignments: Annotated[float, Meta(gt=0, le=10)] = 0.2
    time: Annotated[float, Meta(gt=1, le=100)] = 1.2
    memory: Annotated[float, Meta(gt=1, le=100)] = 1.5

    def __post_init__(self) -> None:
        if self.most < self.seconds:
            raise ValueError("most: must not be less than seconds")

    def worse(self) -> HarmThresholds:
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
    """`release`, `settings` or `contracts` (a version; the file `contracts-VERSION.toml` beside this one):
    what all nodes come to have; `before`: what all have now."""

    before: Word
    release: Word = ""
    settings: Word = ""
    contracts: Annotated[str, Meta(pattern=VERSION)] = ""
    stages: list[Stage] = field(default_factory=lambda: ["one", 0.1, "zone", 0.5, "all"])
    compare: CanaryLimits = CanaryLimits()

    def __post_init__(self) -> None:
        wrong = []
        if len([name for name in (self.release, self.settings, self.contracts) if name]) != 1:
            wrong.append("release, settings, contracts: one of the three is wanted")
        if self.contracts and not re.fullmatch(VERSION, self.before):
            wrong.append("before: the version of the contracts in force is wanted, a number")
        if self.what() == self.before:
            wrong.append(f"before: {self.before} is what the change brings, not what all nodes have now")
        if not self.stages or self.stages[-1] != "all":
            wrong.append('stages: the last one must be "all"')
        wrong += [
            f"stages[{number}]: {fault}"
            for number, stage in enumerate(self.stages)
            if (fault := _misfit(stage))
        ]
        if wrong:
            raise ValueError("\n".join(wrong))

    def what(self) -> str:
        return self.release or self.settings or self.contracts

    def kind(self) -> str:
        return "release" if self.release else "settings" if self.settings else "contracts"


def _misfit(stage: Stage) -> str:
    if isinstance(stage, str):
        fits = stage in ("one", "zone", "all") or stage.startswith("zone:") and len(stage) > 5
        return "" if fits else f'"one", "zone", "zone:NAME" or "all" is wanted, not {stage!r}'
    if isinstance(stage, list):
        return "" if stage and min(stage) >= 0 else "a list of seats is wanted, from 0 on"
    if isinstance(stage, float):
        return "" if 0.0 < stage <= 1.0 else f"a part of the fleet from 0 to 1 is wanted, not {stage:g}"
    return "" if stage >= 1 else f"a number of nodes is wanted, not {stage}"


def load(path: str) -> tuple[RolloutSpec | None, int, list[str]]:
    """The change, the checksum of its bytes, and what is wrong, a line each; with a fault there is none."""
    try:
        with open(path, "rb") as file:
            text = file.read()
    except OSError as problem:
        return None, 0, [f"{path}: {problem.strerror or problem}"]
    change, faults = validation.parse_toml(RolloutSpec, text, path)
    if change is not None and change.contracts:
        beside = contracts_file(os.path.dirname(path), int(change.contracts))
        told, faults = load_contracts(beside)
        if told is not None and told.version != int(change.contracts):
            faults = [f"{beside}: version: {told.version} is not {change.contracts}, as the file's name says"]
        change = None if faults else change
    return change, crc32(text), faults


def contracts_file(folder: str, version: int) -> str:
    return os.path.join(folder, f"contracts-{version}.toml")


def load_contracts(path: str) -> tuple[Any, list[str]]:
    """The contracts that a change brings, and what is wrong with them."""
    from firwalk.broker import contracts

    return contracts.load(path)


def load_by_name(folder: str, name: str) -> tuple[RolloutSpec | None, int, list[str]]:
    """The change of that name in the folder."""
    if not NAME.fullmatch(name):
        return None, 0, [f"{name!r:.50}: no name of a change; letters, digits and ._- are wanted, 40 at most"]
    return load(os.path.join(folder, f"{name}.toml"))
