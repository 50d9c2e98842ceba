"""Contracts file: the work budget of each team over the whole cluster (TOML; keys: `docs/broker.md`).

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
DEFAULT_BURST_DIVISOR = 10  # The default burst is the budget divided by this number.

Amount = Annotated[float, Meta(gt=0, le=1e9)]
NodeSettings = dict[str, Any]  # the JSON object of a node's settings


class ContractsError(ValueError):
    """Raised for inconsistent contracts; the message has one line per fault.

    It is a ValueError so that msgspec reports it with the path within the file.
    """


class Team(Struct, frozen=True):
    """The contract of one team.

    The sum of the budgets may exceed the executors' capacity; the sum of the guarantees should not.
    """

    name: Annotated[str, Meta(min_length=1, max_length=100)]
    budget: Amount  # work per period
    period: Annotated[float, Meta(gt=0, le=31_622_400)] = 60.0
    burst: Amount | None = None  # bucket depth in work; None: a tenth of the budget
    offerings: list[str] = []  # request classes that the team may use; empty: all
    beyond: Literal["bounce", "lower"] = "bounce"  # requests beyond the budget: rejected or at lower priority
    importance: Annotated[float, Meta(gt=0, le=1)] = 0.25  # priority weight factor under `lower`
    guaranteed: Amount | None = None  # work per period at full priority weight; None: the whole budget
    spare: Annotated[float, Meta(gt=0, le=1)] = 0.5  # priority weight factor between guarantee and budget

    def guaranteed_ratio(self) -> float:
        """Return the guaranteed fraction of the budget, from 0 to 1."""
        return 1.0 if self.guaranteed is None else self.guaranteed / self.budget

    def rate(self) -> int:
        """Return the budget in millionths of work per second."""
        return int(self.budget / self.period * MICRO)

    def burst_depth(self) -> float:
        """Return the depth of the token bucket, in work."""
        return self.budget / DEFAULT_BURST_DIVISOR if self.burst is None else self.burst


class Contracts(Struct, frozen=True):
    """The contracts of all teams. Raises ContractsError if they are inconsistent."""

    version: Annotated[int, Meta(ge=1, le=2**32)]  # must increase with each change
    teams: list[Team]
    begins: datetime | None = None  # earliest time in force, by the leader's wall clock
    others: Literal["serve", "bounce"] = "serve"  # how to treat requests of teams without a contract

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
        """Return a checksum of the contracts that is independent of the file's layout."""
        return crc32(msgspec.json.encode(self, order="deterministic"))

    def has_begun(self, wall_time: float) -> bool:
        """Return whether the contracts may be in force at this wall-clock time."""
        return self.begins is None or wall_time >= self.begins.timestamp()


def _team_faults(teams: list[Team]) -> list[str]:
    counts = Counter(team.name for team in teams)
    faults = [f"teams: {name} stands there {count} times" for name, count in counts.items() if count > 1]
    faults += [
        f"teams.{team.name}.guaranteed: more than the budget"
        for team in teams
        if team.guaranteed_ratio() > 1.0
    ]
    faults += [
        f"teams.{team.name}.budget: less than a millionth of work a second"
        for team in teams
        if team.rate() < 1
    ]
    return faults


def load(path: str) -> tuple[Contracts | None, list[str]]:
    """Return the contracts in the file, None if it is invalid, and its faults, one per line."""
    return validation.load_toml(Contracts, path)


def find_conflicts(contracts: Contracts, settings: NodeSettings) -> list[str]:
    """Return the team and class names that the node's settings do not define, one per line."""
    tenants = {tenant.get("name") for tenant in settings.get("tenants", [])}
    request_classes = {offering.get("name") for offering in settings.get("offerings", [])}
    unknown_teams = [
        f"teams: {team.name} is not among the tenants of the settings"
        for team in contracts.teams
        if tenants and team.name not in tenants
    ]
    unknown_classes = [
        f"teams.{team.name}.offerings: unknown offering {name}"
        for team in contracts.teams
        for name in team.offerings
        if name not in request_classes
    ]
    return unknown_teams + unknown_classes


def differences(old: Contracts, new: Contracts) -> list[str]:
    """Return one line for each team whose contract differs."""
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
        f"{team.budget:g} work in {team.period:g} s{guaranteed}, burst {team.burst_depth():g}, "
        f"beyond it {team.beyond}{classes}"
    )
