"""Quotas in virtual time: random fault schedules while tenants send requests and contracts change.

Cluster members, quota allocators and ledgers are those of the program; requests are reservations that are
settled after a while.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from multiprocessing import Pool
from typing import Any

from firwalk.broker.contracts import Contracts, Team
from firwalk.broker.ledger import Reservation
from firwalk.cluster.cluster_member import ClusterMember
from firwalk.cluster.node_id_ranges import encode_ranges
from firwalk.cluster.quota_accounting import QuotaAccounting
from firwalk.cluster.quotas import QuotaPolicy
from firwalk.cluster.rollout import BACK, CONTRACTS, DONE, GOING, STOPPED
from firwalk.lab.invariants import Judge
from firwalk.lab.schedules import Watch, drawn
from firwalk.lab.virtual import Process, Schedule, World

SHORT_LEASE = 0.8  # Duration of a share's lease in seconds.
LONG_LEASE = 2.4  # Lease duration in half of the schedules; such leases outlive a coordinator's term.
MEAN_INTERARRIVAL = 0.05  # Mean seconds between requests of the whole fleet.
MAX_REQUEST_DURATION = 1.5  # Maximum duration of a request in seconds.


@dataclass
class Played:
    """Results of one run."""

    breaks: list[str]
    parts: int  # Allocations that nodes applied.
    most_out: float  # Largest sum of live shares, as a fraction of the quota.
    spent: float
    granted: float


class Fleet:
    """Simulates quotas under a schedule of faults.

    `contracts` are versions in the order of their arrival, the first one in force from the start. With
    `staged`, the second one is rolled out in stages instead.
    """

    def __init__(
        self,
        schedule: Schedule,
        contracts: list[Contracts],
        drift: float = 0.01,
        make: Callable[..., ClusterMember] = ClusterMember,
        prepare: Callable[[QuotaAccounting], None] = lambda spending: None,
        terms: QuotaPolicy | None = None,
        staged: bool = False,
    ):
        self.schedule, self.contracts, self.make, self.prepare = schedule, contracts, make, prepare
        self.staged, self.without = (
            staged,
            schedule.seed % 3 and -1,
        )  # In some schedules one node lacks the new contracts' file.
        self.names = list(dict.fromkeys(team.name for one in contracts for team in one.teams))
        self.terms = terms or QuotaPolicy(SHORT_LEASE, drift)
        self.chance = random.Random(schedule.seed ^ 0xB0D9E7)
        self.judge, self.newest = Judge(), 0
        self.spending: dict[int, QuotaAccounting] = {}
        self.parts = 0
        self.world = World(schedule, self._begin)
        self.world.watchers += [Watch(self.judge), self]

    def _begin(
        self, host: Process, number: int, seats: int, generation: int, now: float, **named: Any
    ) -> ClusterMember:
        seat = self.make(host, number, seats, generation, now, quota_policy=self.terms, **named)
        made = self.spending[number] = QuotaAccounting(
            seat,
            host.clock,
            lambda: host.world.now,
            lambda version: (
                self.contracts[1] if self.staged and (version, number) != (2, self.without) else None
            ),
        )
        if self.staged:
            seat.rollout_controller = ScheduledRollout(self)
        seat.follower.on_plan_changed = made.follow_plan
        self.prepare(made)
        made.add_contracts(self.contracts[getattr(self, "newest", 0)])
        return seat

    def happened(self, now: float, process: Process, what: str, about: dict) -> None:
        self.parts += what == "part"

    def sent(self, *about: Any) -> None:
        pass

    def run(self) -> Played:
        world = self.world
        world.later(0.0, self._send_request)
        for number in range(1, 1 if self.staged else len(self.contracts)):
            world.later(
                number * self.schedule.until / len(self.contracts), self._distribute_contracts, number
            )
        world.run()
        accounts = [one for made in self.spending.values() for one in made.ledger.accounts.values()]
        return Played(
            [str(one) for one in self.judge.breaks],
            self.parts,
            max(self.judge.most_out.values(), default=0.0),
            sum(one.settled for one in accounts),
            sum(one.granted for one in accounts),
        )

    def _distribute_contracts(self, number: int) -> None:
        """Distribute the next contracts file to all nodes, one after the other."""
        self.newest = number
        for seat in range(self.schedule.seats):
            self.world.later(self.world.now + 0.05 * seat, self._install_contracts, seat, number)

    def _install_contracts(self, seat: int, number: int) -> None:
        if self.world.processes[seat].alive and number == self.newest:
            self.spending[seat].add_contracts(self.contracts[number])

    def _send_request(self) -> None:
        """Send a request to a node; most go to a busy node, which changes every two seconds."""
        chance, seats = self.chance, self.schedule.seats
        busy = int(self.world.now / 2.0) % seats
        number = busy if chance.random() < 0.7 else chance.randrange(seats)
        process, spending = self.world.processes[number], self.spending[number]
        if process.alive and self.world.now >= process.paused_until:
            now, name = process.clock(), chance.choice(self.names)
            account, work = spending.ledger.account(now, name), chance.choice((0.02, 0.1, 0.5))
            if account is not None and account.reserve(now, work):
                self.world.later(
                    self.world.now + chance.uniform(0.0, MAX_REQUEST_DURATION),
                    self._settle,
                    process,
                    Reservation(account, work),
                    chance.choice((0.0, work, 3.0 * work)),
                )
        self.world.later(self.world.now + chance.expovariate(1.0 / MEAN_INTERARRIVAL), self._send_request)

    def _settle(self, process: Process, reservation: Reservation, spent: float) -> None:
        """Settle a reservation twice, as when a client disconnects before its attempt ends."""
        for _ in range(2):
            if process.alive:
                reservation.settle(process.clock(), spent)


class ScheduledRollout:
    """Stub of the rollout controller that derives a staged change of contracts from the time alone.

    Nodes get the new contracts one by one; after a pause the change completes or is rolled back. All
    coordinators see the same state.
    """

    def __init__(self, fleet: Fleet):
        self.fleet, self.ends_well = fleet, fleet.schedule.seed % 2 == 0

    def _state(self) -> tuple[str, int]:
        """Return the state of the change and the number of nodes on the new contracts."""
        seats, part = self.fleet.schedule.seats, self.fleet.world.now / self.fleet.schedule.until
        if part < 0.25:
            return "", 0
        if part < 0.6:
            return GOING, min(int((part - 0.25) / 0.25 * seats) + 1, seats)
        if self.ends_well:
            return DONE, seats
        return (BACK, max(int((0.75 - part) / 0.15 * seats), 0)) if part < 0.8 else (STOPPED, 0)

    def staged_contracts(self) -> tuple[int, int, str] | None:
        state, _ = self._state()
        return (1, 2, state if state in (DONE, STOPPED) else "") if state else None

    def evaluate(self, now: float, up: list[int]) -> dict[str, Any]:
        state, named = self._state()
        return (
            {"stages": {"kind": CONTRACTS, "state": state, "new": encode_ranges(list(range(named)))}}
            if state
            else {}
        )

    def open(self, now: float, section: Any) -> None:
        pass


def contracts(seed: int) -> list[Contracts]:
    """Return one, three or four versions with varying quotas; version 2 lacks one of the tenants."""
    chance = random.Random(seed ^ 0xC047)
    found = []
    for version in range(1, chance.choice((1, 3, 4)) + 1):
        names = ["north", "south", "west"] if version != 2 else ["west", "north"]
        found.append(
            Contracts(
                version, [Team(name, chance.uniform(0.3, 3.0), period=1.0, burst=2.0) for name in names]
            )
        )
    return found


def staged_versions(seed: int) -> list[Contracts]:
    """Return the contracts in force and the new ones, which change quotas, drop a tenant and add one."""
    chance = random.Random(seed ^ 0x57A6ED)
    return [
        Contracts(version, [Team(name, chance.uniform(0.3, 3.0), period=1.0, burst=2.0) for name in names])
        for version, names in ((1, ("north", "south", "west")), (2, ("west", "east", "north")))
    ]


def played(
    seed: int,
    drift: float = 0.01,
    make: Callable[..., ClusterMember] = ClusterMember,
    prepare: Callable[[QuotaAccounting], None] = lambda spending: None,
    staged: bool = False,
) -> Played:
    schedule = drawn(seed, drift)
    schedule.changes = 0.0
    length = random.Random(seed ^ 0x1E45E).choice((SHORT_LEASE, LONG_LEASE))
    told = staged_versions(seed) if staged else contracts(seed)
    return Fleet(schedule, told, make=make, prepare=prepare, terms=QuotaPolicy(length), staged=staged).run()


def _run_one(about: tuple[int, float]) -> tuple[int, Played]:
    """Run the schedule of a (seed, drift) pair.

    `drift` is the actual drift of clocks; leases assume 0.01. A third of the schedules roll contracts out in
    stages.
    """
    return about[0], played(*about, staged=about[0] % 3 == 2)


def many(count: int, start: int, drift: float, workers: int) -> Iterator[tuple[int, Played]]:
    with Pool(workers) as pool:
        yield from pool.imap_unordered(_run_one, ((seed, drift) for seed in range(start, start + count)), 32)
