"""Contracts file: what each team's requests may cost over the whole cluster (TOML; keys: `docs/broker.md`).

The field names are the keys of the file. Work is in seconds at speed 1 times slots, as in a request's
estimate; times are in seconds.
"""

from __future__ import annotations

from collections import Counter
from datetime import datetime
from typing import Annotated, Any, Literal
from zlib import crc32

import msgspec
from msgspec import Meta, Struct

from firwalk.config import validation

MICRO = 1_000_000
MAX_TEAMS = 60_000
DEFAULT_BURST_DIVISOR = 10  # of the budget

Amount = Annotated[float, Meta(gt=0, le=1e9)]
NodeSettings = dict[str, Any]  # the JSON object of a node's settings


class ContractsError(ValueError):
    """Contracts contradict themselves; the message has a line for each fault.

    A ValueError, so that msgspec reports it with the place in the file.
    """


class Team(Struct, frozen=True):
    """The contract of one team.

    Budgets may sum to more than the executors' capacity; what is guaranteed should not.
    """

    name: Annotated[str, Meta(min_length=1, max_length=100)]
    budget: Amount  # work a period
    period: Annotated[float, Meta(gt=0, le=31_622_400)] = 60.0
    burst: Amount | None = None  # the most work that may be saved up; None: a tenth of the budget
    offerings: list[str] = []  # the request classes that it may use; none: all
    beyond: Literal["bounce", "lower"] = "bounce"  # what becomes of a request beyond the budget
    importance: Annotated[float, Meta(gt=0, le=1)] = 0.25  # factor on the weight of one that is served then
    guaranteed: Amount | None = None  # work a period whose requests count in full; None: all
    spare: Annotated[float, Meta(gt=0, le=1)] = 0.5  # factor on the weight of those beyond the guarantee

    def sure(self) -> float:
        """The guaranteed part of the budget, from 0 to 1."""
        return 1.0 if self.guaranteed is None else self.guaranteed / self.budget

    def rate(self) -> int:
        """The budget in millionths of work a second."""
        return int(self.budget / self.period * MICRO)

    def depth(self) -> float:
        """The most work that may be saved up."""
        return self.budget / DEFAULT_BURST_DIVISOR if self.burst is None else self.burst


class Contracts(Struct, frozen=True):
    """The contracts of all teams. Raises ContractsError if they contradict themselves."""

    version: Annotated[int, Meta(ge=1, le=2**32)]  # grows with each change
    teams: list[Team]
    begins: datetime | None = None  # not in force before, by the leader's wall clock
    others: Literal["serve", "bounce"] = "serve"  # what becomes of requests of teams without a contract

    def __post_init__(self) -> None:
        faults = [*_team_faults(self.teams), *self._general_faults()]
        if faults:
            raise ContractsError("\n".join(faults))

    def _general_faults(self) -> list[str]:
        faults = []
        if len(self.teams) > MAX_TEAMS:
            faults.append(f"teams: {len(self.teams)} teams; the most is {MAX_TEAMS}")
        if self.begins is not None and self.begins.tzinfo is None:
            faults.append("begins: the offset from UTC is missing, as in 2026-12-01T00:00:00Z")
        return faults

    def check(self) -> int:
        """A checksum of the contracts, whatever the file's layout."""
        return crc32(msgspec.json.encode(self, order="deterministic"))

    def begun(self, unix: float) -> bool:
        """Whether the contracts may be in force at that wall-clock time."""
        return self.begins is None or unix >= self.begins.timestamp()


def _team_faults(teams: list[Team]) -> list[str]:
    counts = Counter(team.name for team in teams)
    faults = [f"teams: {name} stands there {count} times" for name, count in counts.items() if count > 1]
    faults += [f"teams.{team.name}.guaranteed: more than the budget" for team in teams if team.sure() > 1.0]
    faults += [
        f"teams.{team.name}.budget: less than a millionth of work a second"
        for team in teams
        if team.rate() < 1
    ]
    return faults


def load(path: str) -> tuple[Contracts | None, list[str]]:
    """The contracts in the file, None if it has faults; and its faults, a line each."""
    return validation.load_toml(Contracts, path)


def find_conflicts(contracts: Contracts, settings: NodeSettings) -> list[str]:
    """The names in contracts that the node's settings do not know, a line each."""
    tenants = {tenant.get("name") for tenant in settings.get("tenants", [])}
    request_classes = {offering.get("name") for offering in settings.get("offerings", [])}
    unknown_teams = [
        f"teams: {team.name} is no tenant of the settings"
        for team in contracts.teams
        if tenants and team.name not in tenants
    ]
    unknown_classes = [
        f"teams.{team.name}.offerings: there is no offering {name}"
        for team in contracts.teams
        for name in team.offerings
        if name not in request_classes
    ]
    return unknown_teams + unknown_classes


def differences(old: Contracts, new: Contracts) -> list[str]:
    """The teams whose contract differs, a line each."""
    old_teams = {team.name: team for team in old.teams}
    new_teams = {team.name: team for team in new.teams}
    lines = []
    for name in dict.fromkeys((*old_teams, *new_teams)):
        before = old_teams.get(name)
        after = new_teams.get(name)
        if before is None and after is not None:
            lines.append(f"{name}: new, {_describe(after)}")
        elif before is not None and after is None:
            fate = "served without one" if new.others == "serve" else "turned away"
            lines.append(f"{name}: has no contract any more ({_describe(before)} before), and is {fate}")
        elif before is not None and after is not None and before != after:
            lines.append(
                f"{name}: {_change(before, after)}, {_describe(before)} before, {_describe(after)} now"
            )
    return lines


def _change(before: Team, after: Team) -> str:
    if after.rate() > before.rate():
        return "gains"
    return "loses" if after.rate() < before.rate() else "changes"


def _describe(team: Team) -> str:
    classes = f" for {', '.join(team.offerings)}" if team.offerings else ""
    guaranteed = f", {team.guaranteed:g} guaranteed" if team.guaranteed is not None else ""
    return (
        f"{team.budget:g} work in {team.period:g} s{guaranteed}, burst {team.depth():g}, "
        f"beyond it {team.beyond}{classes}"
    )
