"""What one node has of each team's budget: a bucket that fills while a part holds, reservations, settlements.

Source of the bucket: Turner, "New directions in communications (or which way to the information age?)", IEEE
Communications Magazine 24 (1986). Work is in seconds at speed 1 times slots; times are seconds on the node's
own clock. At every moment `granted = free + reserved + settled + returned`.
"""

from __future__ import annotations

from firwalk.broker.contracts import MICRO, Contracts, Team

DEMAND_FOR = 2.0  # seconds over which the demand is smoothed
FORGET = 1e-3  # work a second, below which a team has no demand here
FADES = 20.0  # measured tasks over which what estimates miss by is remembered
LEAST_MISS, MOST_MISS = 0.05, 20.0  # times an estimate that is reserved
FIRST_OUT, MORE_OUT = 8, 4  # tasks under way at once before any was measured; more for each that was
NO_PART = 5.0  # seconds that a task of a team without any part here is told to stay away


class Account:
    """One team here. `floor`: millionths of work a second that are always there; `part`: those leased until
    `until`; `whole`: of all nodes."""

    def __init__(self, now: float, team: Team, number: int, floor: int):
        self.team, self.number, self.floor, self.whole = team, number, floor, team.rate()
        self.part, self.until, self.at, self.began = 0, 0.0, now, now
        self.granted = self.free = self.reserved = self.settled = self.returned = self.beyond = 0.0
        self.demand, self.came, self.demand_at = 0.0, 0.0, now
        self.told, self.took = 0.0, 0.0  # estimates of tasks that were measured, and what they took; fading
        self.open, self.measured = 0, 0  # tasks under way, and those that were measured
        self.sure = 0.0  # of what is free, how much is guaranteed: a bucket beside the other

    # -- what there is -----------------------------------------------------------------------------------

    def holds(self, now: float) -> int:
        """Millionths of work a second, by the lease alone."""
        return self.part if now < self.until else 0

    def rate(self, now: float) -> float:
        """Work a second that may be spent here, by the floor and the lease."""
        return (self.floor + self.holds(now)) / MICRO

    def depth(self, now: float) -> float:
        return self.team.depth() * (self.floor + self.holds(now)) / self.whole

    def fill(self, now: float) -> None:
        """What came since it was filled last: by the floor all the time, by the part while it held. What
        stands above the depth then is given back, a debt is not."""
        leased = max(min(now, self.until) - self.at, 0.0)
        got = (self.floor * max(now - self.at, 0.0) + self.part * leased) / MICRO
        self.at = max(now, self.at)
        self.granted += got
        self.free += got
        over = max(self.free - self.depth(now), 0.0)
        self.free -= over
        self.returned += over
        self.sure = min(self.sure + got * self.team.sure(), self.depth(now) * self.team.sure())

    def leased(self, now: float, part: int, until: float) -> None:
        """The coordinator's answer, in force until then."""
        self.fill(now)
        self.part, self.until = part, until
        self.fill(now)

    def drop(self, now: float) -> None:
        """It has nothing from now on: not even a floor."""
        self.leased(now, 0, now)
        self.floor = 0
        self.fill(now)

    def carry(self, now: float, left: float) -> None:
        """What the account before had free, as far as this one's bucket holds it, or what it owed. Without
        the one every change of contracts turned a node's tasks away until the bucket had filled; without the
        other it forgave debts."""
        if left >= 0.0:
            self.granted, self.free = self.granted + left, self.free + left
            self.sure += left * self.team.sure()
        else:
            self.settled, self.free = self.settled - left, self.free + left
        self.fill(now)

    # -- spending ----------------------------------------------------------------------------------------

    def reserve(self, now: float, work: float) -> bool:
        """Before anything of it is sent. As much as the bucket holds at all is enough: a heavier task would
        never go out; it leaves a debt."""
        self.wanted(now, work)
        self.fill(now)
        least = min(work, self.depth(now))
        if least <= 0.0 or self.free < least:
            return False
        self.free -= work
        self.reserved += work
        return True

    def weighed(self, work: float) -> float:
        """An estimate, corrected by what those before missed by: clients that say a tenth had ten times their
        tasks out before the first outcome told."""
        return work * min(max(self.took / self.told, LEAST_MISS), MOST_MISS) if self.told else work

    def may_begin(self) -> bool:
        """Few at once while nobody knows what they take, and soon as many as come (slow start: RFC 5681)."""
        return self.open < FIRST_OUT + MORE_OUT * self.measured

    def learn(self, told: float, took: float) -> None:
        keep = 1.0 - 1.0 / FADES
        self.told, self.took = self.told * keep + told, self.took * keep + took
        self.measured += 1

    def within(self, now: float, work: float) -> bool:
        """Of a task that was let out: whether it is inside the team's guaranteed share, and takes of it. As
        much as the share's bucket holds at all is enough, as with the budget."""
        if self.team.guaranteed is None:
            return True
        if self.sure <= 0.0 or self.sure < min(work, self.depth(now) * self.team.sure()):
            return False
        self.sure -= work
        return True

    def settle(self, now: float, reserved: float, spent: float, sure: bool = False) -> None:
        """Once for each reservation: `spent` is 0 if nothing of it can have run; `sure`: it was let out
        within the guaranteed share, which is corrected likewise."""
        self.reserved -= reserved
        self.settled += spent
        self.free += reserved - spent
        if sure:
            self.sure += reserved - spent
        self.fill(now)

    def wait(self, now: float, work: float) -> float:
        """Seconds until so much is free, at what comes in now."""
        rate = self.rate(now)
        least = min(work, self.depth(now))
        return max(least - self.free, 0.0) / rate if rate else NO_PART

    # -- demand ------------------------------------------------------------------------------------------

    def wanted(self, now: float, work: float) -> None:
        self.came += work

    def wants(self, now: float) -> float:
        """Work a second that its clients bring here, smoothed; asked for at even times."""
        span = now - self.demand_at
        if span > 0.0:
            part = min(span / DEMAND_FOR, 1.0)
            self.demand += part * (self.came / span - self.demand)
            self.came, self.demand_at = 0.0, now
        if self.demand < FORGET:
            self.demand = 0.0
        return self.demand

    def adds_up(self) -> bool:
        """Within rounding."""
        told = self.free + self.reserved + self.settled + self.returned
        return abs(self.granted - told) <= 1e-6 * max(self.granted, 1.0)


class Reservation:
    """A task's, on the account that there was when it came. `told`: its estimate, of which `work` was
    reserved."""

    def __init__(self, account: Account, work: float, sure: bool = False, told: float = 0.0):
        self.account, self.work, self.sure, self.told, self.open = account, work, sure, told, True
        account.open += 1

    def settle(self, now: float, spent: float, measured: bool = False) -> None:
        """Only the first counts, whatever comes afterwards. `measured`: what it took was seen to its end."""
        if self.open:
            self.open = False
            self.account.open -= 1
            if measured and self.told:
                self.account.learn(self.told, spent)
            self.account.settle(now, self.work, spent, self.sure)


class Ledger:
    """All teams that had a task here. `seats`: how many nodes there are; `floor`: the part of each whole
    that is divided among them for good."""

    def __init__(self, seats: int, floor: float):
        self.seats, self.part_of_floor = seats, floor
        self.contracts: Contracts | None = None
        self.teams: dict[str, tuple[int, Team]] = {}
        self.accounts: dict[str, Account] = {}
        self.since = 0.0  # from when floors fill

    def change(self, now: float, contracts: Contracts | None) -> None:
        """Other contracts are in force, or none that this node has. Accounts begin anew, with the parts that
        teams of the same name have and what they have free or owe; tasks under way are settled on those on
        which they were reserved."""
        before = self.accounts
        self.contracts, self.accounts, self.since = contracts, {}, now
        self.teams = (
            {team.name: (number, team) for number, team in enumerate(contracts.teams)} if contracts else {}
        )
        for name, account in before.items():
            part, until = account.part, account.until
            account.fill(now)
            left, known = account.free, (account.told, account.took, account.measured)
            account.drop(now)
            if name in self.teams:
                fresh = self.account(now, name)
                fresh.leased(now, part, until)
                fresh.carry(now, left)
                fresh.told, fresh.took, fresh.measured = known

    def end(self, now: float) -> None:
        """Nothing more comes in, for any team; what is reserved is settled as ever."""
        self.part_of_floor = 0.0
        for account in self.accounts.values():
            account.drop(now)

    def account(self, now: float, name: str) -> Account | None:
        found = self.accounts.get(name)
        if found is None and name in self.teams:
            number, team = self.teams[name]
            floor = int(team.rate() * self.part_of_floor) // self.seats
            found = self.accounts[name] = Account(now, team, number, floor)
            found.at = self.since  # one that was forgotten was full then
        return found

    def idle(self, now: float) -> None:
        """Teams with nothing here any more are forgotten: only those with demand cost anything."""
        for name, account in list(self.accounts.items()):
            if not account.wants(now) and not account.holds(now) and not account.reserved:
                account.fill(now)
                if account.free >= account.depth(now) - 1e-9:
                    del self.accounts[name]
