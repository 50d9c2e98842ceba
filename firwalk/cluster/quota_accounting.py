"""A node's tasks on its ledger: charged before the first send, settled when they are over.

No I/O. The contracts in force are those that the plan names; times are seconds on the own clock.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from firwalk.broker.contracts import Contracts
from firwalk.broker.ledger import Ledger, Reservation
from firwalk.cluster.cluster_member import ClusterMember
from firwalk.cluster.node_id_ranges import decode_ranges
from firwalk.cluster.quotas import ContractSet, beside, in_force

KEPT = 4  # contracts that a node keeps: those in force, and what may come after
DAY = 86400.0
LOG_EVERY = 60.0  # seconds between two lines of a team's spending in the log
MOST_LOGGED = 10  # teams of which there are such lines


def offered(contracts: Contracts, seats: int, floor: float, unix: Callable[[], float]) -> ContractSet:
    """What a coordinator leases: each whole but for the floors that all nodes have for good."""
    wholes = [team.rate() - int(team.rate() * floor) // seats * seats for team in contracts.teams]
    return ContractSet(
        contracts.version,
        contracts.check(),
        tuple(team.name for team in contracts.teams),
        tuple(wholes),
        lambda: contracts.begun(unix()),
    )


class Charge:
    """What a task reserved, for whoever learns that it is over."""

    def __init__(self, reservation: Reservation, clock: Callable[[], float]):
        self.reservation, self.clock = reservation, clock

    def settle(self, measured: float, ran: bool) -> None:
        """`measured`: work of the assignment that finished, 0: none did; `ran`: some of it may have run."""
        spent = measured or (self.reservation.work if ran else 0.0)
        self.reservation.settle(self.clock(), spent, bool(measured))


class QuotaAccounting:
    """`clock`: the seat's; `unix`: the wall clock, by which alone a coordinator tells whether contracts have
    begun; `find`: contracts of a version that a change brings, by their file, if it is there."""

    def __init__(
        self,
        seat: ClusterMember,
        clock: Callable[[], float],
        unix: Callable[[], float],
        find: Callable[[int], Contracts | None] = lambda version: None,
    ):
        self.seat, self.clock, self.unix, self.find = seat, clock, unix, find
        seat.find_offer = self._found
        self.floor = seat.holder.terms.floor
        self.ledger = Ledger(seat.seats, self.floor)
        self.known: dict[int, Contracts] = {}
        self.check, self.logged_at = 0, clock()
        seat.holder.purses = lambda: list(self.ledger.accounts.values())
        seat.holder.turned = self._turned

    def has(self, contracts: Contracts) -> None:
        """A file that was read, checked."""
        self.known[contracts.check()] = contracts
        for check in [check for check in self.known if check not in (self.check, contracts.check())][:-KEPT]:
            del self.known[check]
        if not self.check and contracts.begun(self.unix()):
            # No plan yet: the floors of the own file, or each restart would serve what a team floods with.
            self.ledger.change(self.clock(), contracts)
        self.seat.has_contracts(offered(contracts, self.seat.seats, self.floor, self.unix))

    def _found(self, version: int) -> ContractSet | None:
        """Those of a change: kept, and never put in force for being newer."""
        contracts = self.find(version)
        if contracts is None or contracts.version != version:
            return None
        self.known[contracts.check()] = contracts
        return offered(contracts, self.seat.seats, self.floor, self.unix)

    def version(self) -> int:
        """Of the contracts that this node goes by; 0: none."""
        return self.ledger.contracts.version if self.ledger.contracts is not None and self.check else 0

    def _wanted(self, sections: dict[str, Any]) -> int:
        """The checksum of those that this node is to go by: it goes over to a change's when the plan names
        its seat, and when it has them."""
        told, change = sections.get("budgets"), sections.get("stages") or {}
        version, check = in_force(told)
        other, named = beside(told)
        try:
            goes = named and change["kind"] == "contracts" and self.seat.seat in decode_ranges(change["new"])
        except (KeyError, TypeError, ValueError):
            goes = False
        if goes and (named in self.known or self._found(other) is not None and named in self.known):
            return named
        if check and check not in self.known:
            self._found(version)
        return check

    def end(self) -> None:
        """The seat has ended: its parts and its floors are another life's."""
        self.ledger.end(self.clock())

    def follow(self, now: float) -> None:
        """All at once what the plan says; without a plan in force what it said last, and parts end by
        themselves."""
        sections = self.seat.follower.now_in_force(now)
        check = self._wanted(sections) if sections is not None else self.check
        if check == self.check:
            return
        before = {name: number for name, (number, _) in self.ledger.teams.items()}
        contracts = self.known.get(check)
        kept = {team.name for team in contracts.teams} if contracts else ()
        for name, account in self.ledger.accounts.items():
            if name not in kept and account.holds(now):  # told: whoever counts parts would count it on
                self.seat.host.event("part", team=account.number, check=self.check, part=0, left=0.0)
        self.check = check
        self.ledger.change(now, contracts)
        after = {name: number for name, (number, _) in self.ledger.teams.items()}
        self.seat.holder.changed(
            check if contracts else 0,
            {number: after[name] for name, number in before.items() if name in after},
        )
        self.seat.host.event(
            "follows_contracts",
            version=contracts.version if contracts else 0,
            check=check,
            known=contracts is not None,
        )

    def admission_weight(self, task: Any, offering: str, team: str) -> float:
        """Times its value; 0: it is beyond its budget and is told when to come again. Reserves its estimate
        otherwise."""
        now, contracts, pending = self.clock(), self.ledger.contracts, task.ref
        if contracts is None:
            return 1.0
        account = self.ledger.account(now, team)
        if account is None:
            pending.retry_after = DAY
            return 1.0 if contracts.others == "serve" else 0.0
        if account.team.offerings and offering not in account.team.offerings:
            pending.retry_after = DAY
            return 0.0
        work = account.weighed(task.work)
        if account.may_begin() and account.reserve(now, work):
            sure = account.within(now, work)
            pending.charge = Charge(Reservation(account, work, sure, task.work), self.clock)
            return 1.0 if sure else account.team.spare
        account.beyond += work
        if account.team.beyond == "lower":
            return account.team.importance
        pending.retry_after = account.wait(now, work)
        return 0.0

    def _turned(self, now: float) -> None:
        """For whoever checks from outside, and nothing here that nobody asks for."""
        for name, account in self.ledger.accounts.items():
            account.fill(now)
            self.seat.host.event(
                "account",
                team=name,
                check=self.check,
                began=account.began,
                sums=[account.granted, account.free, account.reserved, account.settled, account.returned],
            )
        if now >= self.logged_at + LOG_EVERY:
            self.logged_at = now
            self._log(now)
        self.ledger.idle(now)

    def _log(self, now: float) -> None:
        """Spending by team, those that spent or were turned away most."""
        accounts = sorted(self.ledger.accounts.items(), key=lambda one: -one[1].settled - one[1].beyond)
        for name, account in accounts[:MOST_LOGGED]:
            self.seat.host.event(
                "spent",
                team=name,
                settled=round(account.settled, 3),
                reserved=round(account.reserved, 3),
                beyond=round(account.beyond, 3),
                part=account.rate(now),
            )

    def shown(self, now: float) -> list[str]:
        """For operators, a team each."""
        found = []
        for name, account in sorted(self.ledger.accounts.items()):
            account.fill(now)
            found.append(
                f"{name} part={account.rate(now):.3f} free={account.free:.2f} "
                f"reserved={account.reserved:.2f} settled={account.settled:.2f} "
                f"beyond={account.beyond:.2f}"
            )
        return found
