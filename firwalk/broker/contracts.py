"""The contracts' file: what each team's tasks may cost over the whole fleet. Its keys: `docs/broker.md`.

Work is in seconds at speed 1 times slots, as in a task's estimate; spans are seconds.
"""

from __future__ import annotations

from datetime import datetime
from typing import Annotated, Literal
from zlib import crc32

import msgspec
from msgspec import Meta, Struct

from firwalk.config import validation

MICRO = 1_000_000
MOST_TEAMS = 60_000
Amount = Annotated[float, Meta(gt=0, le=1e9)]


class Team(Struct, frozen=True):
    """`budget`: work a `period`; `burst`: the most that may be saved up (a tenth of the budget, if it is not
    said); `offerings`: those it may use (none: all); `beyond`: what becomes of a task beyond the budget;
    `importance`: times which it counts then, if it is served. `guaranteed`: the share of the budget (work a
    period; none said: all) within which its tasks count in full; beyond it, within the budget, `spare` times:
    budgets may sum to more than the executors bear, what is guaranteed should not."""

    name: Annotated[str, Meta(min_length=1, max_length=100)]
    budget: Amount
    period: Annotated[float, Meta(gt=0, le=31_622_400)] = 60.0
    burst: Amount | None = None
    offerings: list[str] = []
    beyond: Literal["bounce", "lower"] = "bounce"
    importance: Annotated[float, Meta(gt=0, le=1)] = 0.25
    guaranteed: Amount | None = None
    spare: Annotated[float, Meta(gt=0, le=1)] = 0.5

    def sure(self) -> float:
        """The part of its budget that is guaranteed."""
        return 1.0 if self.guaranteed is None else self.guaranteed / self.budget

    def rate(self) -> int:
        """Millionths of work a second."""
        return int(self.budget / self.period * MICRO)

    def depth(self) -> float:
        return self.budget / 10 if self.burst is None else self.burst


class Contracts(Struct, frozen=True):
    """`version` grows with each change; `begins`: not in force before, by the coordinator's wall clock;
    `others`: what becomes of tasks of teams that have no contract."""

    version: Annotated[int, Meta(ge=1, le=2**32)]
    teams: list[Team]
    begins: datetime | None = None
    others: Literal["serve", "bounce"] = "serve"

    def __post_init__(self) -> None:
        names = [team.name for team in self.teams]
        seen: dict[str, int] = {}
        for name in names:
            seen[name] = seen.get(name, 0) + 1
        wrong = [f"teams: {name} stands there {count} times" for name, count in seen.items() if count > 1]
        wrong += [
            f"teams.{team.name}.guaranteed: more than the budget" for team in self.teams if team.sure() > 1.0
        ]
        wrong += [
            f"teams.{team.name}.budget: less than a millionth of work a second"
            for team in self.teams
            if team.rate() < 1
        ]
        if len(names) > MOST_TEAMS:
            wrong.append(f"teams: {len(names)} teams; the most is {MOST_TEAMS}")
        if self.begins is not None and self.begins.tzinfo is None:
            wrong.append("begins: the offset from UTC is missing, as in 2026-12-01T00:00:00Z")
        if wrong:
            raise ValueError("\n".join(wrong))

    def check(self) -> int:
        """The same for the same contracts, whatever the file's layout."""
        return crc32(msgspec.json.encode(self, order="deterministic"))

    def begun(self, unix: float) -> bool:
        return self.begins is None or unix >= self.begins.timestamp()


def load(path: str) -> tuple[Contracts | None, list[str]]:
    """The contracts in the file, and what is wrong with it, a line each."""
    return validation.load_toml(Contracts, path)


def find_conflicts(contracts: Contracts, settings: dict) -> list[str]:
    """What contracts name and the node's settings do not know, a line each."""
    tenants = {tenant.get("name"): None for tenant in settings.get("tenants", [])}
    offerings = {offering.get("name"): None for offering in settings.get("offerings", [])}
    wrong = [
        f"teams: {team.name} is no tenant of the settings"
        for team in contracts.teams
        if tenants and team.name not in tenants
    ]
    return wrong + [
        f"teams.{team.name}.offerings: there is no offering {name}"
        for team in contracts.teams
        for name in team.offerings
        if name not in offerings
    ]


def differences(old: Contracts, new: Contracts) -> list[str]:
    """Who gains and who loses, a line each."""
    before, after = ({team.name: team for team in one.teams} for one in (old, new))
    found = []
    for name in dict.fromkeys((*before, *after)):
        a, b = before.get(name), after.get(name)
        if a is None:
            found.append(f"{name}: new, {_told(b)}")
        elif b is None:
            rest = "served without one" if new.others == "serve" else "turned away"
            found.append(f"{name}: has no contract any more ({_told(a)} before), and is {rest}")
        elif a != b:
            word = "gains" if b.rate() > a.rate() else "loses" if b.rate() < a.rate() else "changes"
            found.append(f"{name}: {word}, {_told(a)} before, {_told(b)} now")
    return found


def _told(team: Team) -> str:
    to = f" for {', '.join(team.offerings)}" if team.offerings else ""
    sure = f", {team.guaranteed:g} guaranteed" if team.guaranteed is not None else ""
    return (
        f"{team.budget:g} work in {team.period:g} s{sure}, burst {team.depth():g}, "
        f"beyond it {team.beyond}{to}"
    )
