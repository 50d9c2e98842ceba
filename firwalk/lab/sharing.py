"""Utilization of quotas when they are divided by leases, in static equal shares, or not at all (each node
grants the whole quota on its own).

Scenarios run in virtual time, with the same arrivals for each division. Work is in seconds at speed 1,
durations are in seconds of virtual time. Lease durations are those of the operators' settings.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from firwalk.broker.contracts import Contracts, Team
from firwalk.broker.ledger import Reservation
from firwalk.cluster.quotas import QuotaPolicy
from firwalk.lab import purses
from firwalk.lab.virtual import Fault, Process, Schedule

QUOTA_LEASE, COORDINATOR_LEASE = 4.0, 2.0  # Seconds of a quota share's lease and of the coordinator's lease.
REQUEST_COST = 0.05  # Cost of a request.
REQUEST_DURATION = 0.2  # Seconds that a request runs.
SETTLE_SECONDS = 12.0  # Seconds until all shares are allocated.
DIVISIONS = ("leased", "static", "alone")


def terms(way: str, nodes: int) -> QuotaPolicy:
    """Return the quota policy of a division.

    `static` grants each node an equal share permanently, as a floor; `alone` grants each the whole quota.
    """
    return QuotaPolicy(QUOTA_LEASE, 0.01, {"leased": 0.05, "static": 1.0, "alone": float(nodes)}[way])


@dataclass
class Demand:
    """A tenant's demand at one node: `rate` seconds of work per second from `since` until `until`."""

    team: str
    node: int
    rate: float
    since: float = 0.0
    until: float = 1e9


@dataclass
class Tally:
    """Work that a tenant requested and that was admitted."""

    asked: float = 0.0
    spent: float = 0.0

    def part(self) -> float:
        return self.spent / self.asked if self.asked else 1.0


@dataclass
class Result:
    """Results of a run.

    `tallies` holds the requested and admitted work of each tenant once all shares are allocated; `parts`
    holds (time, tenant's number, node, share) of each allocation that a node applied.
    """

    seconds: float
    tallies: dict[str, Tally] = field(default_factory=dict)
    parts: list[tuple[float, int, int, int]] = field(default_factory=list)
    breaks: list[str] = field(default_factory=list)
    datagrams: float = 0.0  # Mean number per second that a node other than the coordinator sends.
    bytes_out: float = 0.0
    coordinator: tuple[float, float] = (
        0.0,
        0.0,
    )  # Datagrams and bytes per second that the coordinator sends.

    def spent_of(self, team: Team) -> float:
        return self.tallies[team.name].spent / (team.rate() / 1e6 * self.seconds)


class QuotaSimulation(purses.Fleet):
    """Simulates demand on quotas; requests of each `wanted` are evenly spaced, with a random phase."""

    def __init__(
        self,
        teams: list[Team],
        wanted: list[Demand],
        nodes: int,
        until: float,
        way: str = "leased",
        faults: tuple[Fault, ...] = (),
        seed: int = 1,
        prepare: Callable[[Any], None] = lambda _: None,
    ):
        schedule = Schedule(
            seed,
            nodes,
            [0, nodes // 2, nodes - 1],
            until,
            list(faults),
            settings={"length": COORDINATOR_LEASE},
        )
        self.wanted, self.result = wanted, Result(until - SETTLE_SECONDS)
        super().__init__(schedule, [Contracts(1, teams)], prepare=prepare, terms=terms(way, nodes))
        self.world.by_bytes = True

    def happened(self, now: float, process: Process, what: str, about: dict) -> None:
        if what == "part":
            self.result.parts.append((now, about["team"], process.number, about["part"]))

    def run(self) -> Result:
        world, result = self.world, self.result
        for one in self.wanted:
            result.tallies.setdefault(one.team, Tally())
            world.later(
                one.since + self.chance.random() * REQUEST_COST / one.rate, self._send_request_of, one
            )
        world.run(SETTLE_SECONDS)
        out, size = list(world.out), list(world.bytes_out)
        world.run()
        counts = [(b - a) / result.seconds for a, b in zip(out, world.out, strict=True)]
        sizes = [(b - a) / result.seconds for a, b in zip(size, world.bytes_out, strict=True)]
        first = world.coordinator()
        others = [n for n in range(len(counts)) if n != first]
        result.datagrams = sum(counts[n] for n in others) / len(others)
        result.bytes_out = sum(sizes[n] for n in others) / len(others)
        result.coordinator = (counts[first], sizes[first]) if first is not None else (0.0, 0.0)
        result.breaks = [str(one) for one in self.judge.breaks]
        return result

    def _send_request_of(self, one: Demand) -> None:
        world, process = self.world, self.world.processes[one.node]
        if world.now >= min(one.until, self.schedule.until):
            return
        tally = self.result.tallies[one.team] if world.now >= SETTLE_SECONDS else Tally()
        tally.asked += REQUEST_COST
        if process.alive and world.now >= process.paused_until:
            now = process.clock()
            account = self.spending[one.node].ledger.account(now, one.team)
            if account is not None and account.reserve(now, REQUEST_COST):
                tally.spent += REQUEST_COST
                world.later(
                    world.now + REQUEST_DURATION,
                    self._settle,
                    process,
                    Reservation(account, REQUEST_COST),
                    REQUEST_COST,
                )
        world.later(world.now + REQUEST_COST / one.rate, self._send_request_of, one)


def skewed(
    way: str,
    nodes: int = 12,
    times: float = 20.0,
    seed: int = 1,
    prepare: Callable[[Any], None] = lambda _: None,
) -> float:
    """Return the fraction of a quota that is used when one node has `times` the demand of each other node and
    the total demand is 1.5 times the quota.
    """
    team = Team("north", 12.0, period=1.0, burst=6.0)
    unit = 1.5 * 12.0 / (times + nodes - 1)
    wanted = [Demand("north", n, unit * (times if n == 1 else 1.0)) for n in range(nodes)]
    return (
        QuotaSimulation([team], wanted, nodes, SETTLE_SECONDS + 30.0, way, seed=seed, prepare=prepare)
        .run()
        .spent_of(team)
    )


def _lease_lengths_until(result: Result, node: int, since: float, part: float) -> float:
    """Return the lease lengths from `since` until the node's share reaches `part`."""
    last = [at for at, _, number, got in result.parts if number == node and at >= since and got >= part]
    return (last[0] - since) / QUOTA_LEASE if last else float("inf")


def shifted(
    nodes: int = 12, seed: int = 1, killed: bool = False, prepare: Callable[[Any], None] = lambda _: None
) -> float:
    """Return the lease lengths until demand that moved has nine tenths of its share at the new node.

    With `killed`, the first node is killed while it holds its share.
    """
    team, at = Team("north", 12.0, period=1.0, burst=6.0), SETTLE_SECONDS + 8.0
    wanted = [Demand("north", 1, 11.0, until=at), Demand("north", 2, 11.0, since=at)]
    faults = (Fault(at, 100.0, "kill", (1,)),) if killed else ()
    result = QuotaSimulation(
        [team], wanted, nodes, at + 6 * QUOTA_LEASE, "leased", faults, seed, prepare
    ).run()
    return _lease_lengths_until(result, 2, at, int(0.9 * 0.95 * team.rate()))


def flooded(way: str, nodes: int = 12, seed: int = 1, flood: bool = True) -> dict[str, float]:
    """Return the served fractions of two tenants' demand, and the fraction of its quota that a third uses.

    The first two stay within their quotas, the third one requests ten times its quota. Two coordinator
    candidates are killed, and a third of the nodes is partitioned in between.
    """
    teams = [Team("north", 4.0, 1.0, 2.0), Team("south", 4.0, 1.0, 2.0), Team("west", 2.0, 1.0, 1.0)]
    wanted = [Demand(name, n, 2.0 / nodes) for name in ("north", "south") for n in range(nodes)]
    wanted += [Demand("west", n, 20.0 / nodes, since=SETTLE_SECONDS) for n in range(nodes)] if flood else []
    cut = tuple(n for n in range(nodes) if n % 3 == 2)
    rest = tuple(n for n in range(nodes) if n % 3 != 2)
    faults = (
        Fault(16.0, 0.5, "kill", (0,)),
        Fault(22.0, 4.0, "cut", cut, rest),
        Fault(22.0, 4.0, "cut", rest, cut),
        Fault(30.0, 0.5, "kill", (nodes // 2,)),
    )
    result = QuotaSimulation(teams, wanted, nodes, SETTLE_SECONDS + 30.0, way, faults, seed).run()
    found = {name: result.tallies[name].part() for name in ("north", "south")}
    return (
        found | ({"west": result.spent_of(teams[2])} if flood else {}) | {"breaks": float(len(result.breaks))}
    )


def many_teams(teams: int, nodes: int, at_each: int, seconds: float = 10.0) -> Result:
    """Simulate `teams` contracts of which `at_each` have demand at each node."""
    made = [Team(f"t{n}", 10.0, 1.0, 5.0) for n in range(teams)]
    wanted = [
        Demand(f"t{(n * at_each + k) * 7919 % teams}", n, 0.1) for n in range(nodes) for k in range(at_each)
    ]
    return QuotaSimulation(made, wanted, nodes, SETTLE_SECONDS + seconds).run()


def lines(nodes: int, seeds: range) -> list[str]:
    """Run all scenarios over the seeds and return the worst results as lines of text."""
    found = []
    for way in DIVISIONS:
        parts = [skewed(way, nodes, seed=seed) for seed in seeds]
        found.append(f"{way}: demand 20 to 1, {min(parts):.3f} to {max(parts):.3f} of the budget spent")
        days = [(flooded(way, nodes, seed), flooded(way, nodes, seed, flood=False)) for seed in seeds]
        others = [(name, with_, without) for with_, without in days for name in ("north", "south")]
        broken = sum(with_["breaks"] + without["breaks"] for with_, without in days)
        less = max(without[name] - with_[name] for name, with_, without in others)
        found.append(
            f"{way}: beside a flood of ten times its budget the others are served "
            f"{min(with_[name] for name, with_, _ in others):.3f} at least, without it "
            f"{min(one[name] for name, _, one in others):.3f}; {less:.3f} less at most; "
            f"the flood spends {max(with_['west'] for with_, _ in days):.3f} of its budget; "
            f"breaks of I2 {broken:.0f}"
        )
    found.append(
        "leased: demand that moved has its part after "
        f"{max(shifted(nodes, seed) for seed in seeds):.2f} lengths, that of a node that died after "
        f"{max(shifted(nodes, seed, killed=True) for seed in seeds):.2f}"
    )
    return found
