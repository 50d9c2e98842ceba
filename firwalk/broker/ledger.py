"""One node's share of each team's budget: token bucket, reservations and settlements. No I/O.

Source of the bucket: Turner, "New directions in communications (or which way to the information age?)", IEEE
Communications Magazine 24 (1986). Work is in seconds at speed 1 times slots; times are seconds on the node's
own clock. At every moment `granted = free + reserved + settled + returned`.
"""

from __future__ import annotations

from typing import NamedTuple

from firwalk.broker.contracts import MICRO, Contracts, Team

DEMAND_SMOOTHING_S = 2.0
MIN_DEMAND = 1e-3  # work a second, below which a team has no demand here
ESTIMATE_MEMORY = 20.0  # measured requests over which an estimate's error is remembered
MIN_CORRECTION = 0.05  # factor on an estimate
MAX_CORRECTION = 20.0
INITIAL_CONCURRENCY = 8  # requests at once before any was measured
CONCURRENCY_PER_MEASURED = 4
NO_QUOTA_RETRY_AFTER_S = 5.0
RELATIVE_TOLERANCE = 1e-6  # of sums, for rounding
FULL_TOLERANCE = 1e-9  # work, for rounding


class Account:
    """The quota account of one team at this node."""

    def __init__(self, now: float, team: Team, number: int, floor: int) -> None:
        self.team = team
        self.number = number
        self.floor = floor  # millionths of work a second that need no lease
        self.total_rate = team.rate()  # millionths of work a second, of all nodes
        self.part = 0  # millionths of work a second, leased until `until`
        self.until = 0.0
        self.at = now  # filled up to then
        self.began = now
        self.granted = 0.0
        self.free = 0.0
        self.reserved = 0.0
        self.settled = 0.0
        self.returned = 0.0
        self.beyond = 0.0  # work of requests beyond the budget
        self.sure = 0.0  # the guaranteed part of what is free: a second bucket
        self.demand = 0.0  # work a second, smoothed
        self.requested_work = 0.0  # since the demand was updated
        self.demand_updated_at = now
        self.estimated_work = 0.0  # of measured requests, fading
        self.measured_work = 0.0  # of the same requests, fading
        self.measured = 0  # requests that were measured
        self.open_reservations = 0

    # -- the bucket ----------------------------------------------------------------------------------------

    def holds(self, now: float) -> int:
        """Millionths of work a second that the lease grants."""
        return self.part if now < self.until else 0

    def rate(self, now: float) -> float:
        """Work a second that may be spent here, by the floor and the lease."""
        return (self.floor + self.holds(now)) / MICRO

    def depth(self, now: float) -> float:
        """The most work that may be saved up here."""
        return self.team.depth() * (self.floor + self.holds(now)) / self.total_rate

    def fill(self, now: float) -> None:
        """Adds what the floor and the lease have granted since the last time.

        What exceeds the depth then is returned; a debt is not.
        """
        leased_s = max(min(now, self.until) - self.at, 0.0)
        granted = (self.floor * max(now - self.at, 0.0) + self.part * leased_s) / MICRO
        self.at = max(now, self.at)
        self.granted += granted
        self.free += granted
        excess = max(self.free - self.depth(now), 0.0)
        self.free -= excess
        self.returned += excess
        self.sure = min(self.sure + granted * self.team.sure(), self.depth(now) * self.team.sure())

    def leased(self, now: float, part: int, until: float) -> None:
        """The leader has leased a rate, in millionths of work a second, until then."""
        self.fill(now)
        self.part = part
        self.until = until
        self.fill(now)

    def drop(self, now: float) -> None:
        """Ends the lease and the floor."""
        self.leased(now, 0, now)
        self.floor = 0
        self.fill(now)

    def carry(self, now: float, left: float) -> None:
        """Takes over what the team's previous account had free, as far as the bucket holds it, or owed.

        A change of contracts would otherwise reject requests until the bucket has filled, and forgive debts.
        """
        if left >= 0.0:
            self.granted += left
            self.sure += left * self.team.sure()
        else:
            self.settled -= left
        self.free += left
        self.fill(now)

    # -- spending ------------------------------------------------------------------------------------------

    def reserve(self, now: float, work: float) -> bool:
        """Reserves the work of a request before anything of it is sent, if the account has it free.

        A full bucket is enough for any request, and is left with a debt: a heavier one would never be sent.
        """
        self.wanted(now, work)
        self.fill(now)
        required = min(work, self.depth(now))
        if required <= 0.0 or self.free < required:
            return False
        self.free -= work
        self.reserved += work
        return True

    def weighed(self, work: float) -> float:
        """An estimate, corrected by the error of earlier ones.

        Uncorrected, clients that state a tenth have ten times their share in flight before the first outcome.
        """
        if not self.estimated_work:
            return work
        return work * min(max(self.measured_work / self.estimated_work, MIN_CORRECTION), MAX_CORRECTION)

    def may_begin(self) -> bool:
        """Whether one more request may start: few at once until some were measured (slow start: RFC 5681)."""
        return self.open_reservations < INITIAL_CONCURRENCY + CONCURRENCY_PER_MEASURED * self.measured

    def learn(self, estimate: float, measured: float) -> None:
        """Remembers the estimate and the measured work of a completed request."""
        retained = 1.0 - 1.0 / ESTIMATE_MEMORY
        self.estimated_work = self.estimated_work * retained + estimate
        self.measured_work = self.measured_work * retained + measured
        self.measured += 1

    def within(self, now: float, work: float) -> bool:
        """Takes the work of an admitted request from the guaranteed share; whether that has it.

        As with the budget, a full bucket is enough for any request.
        """
        if self.team.guaranteed is None:
            return True
        if self.sure <= 0.0 or self.sure < min(work, self.depth(now) * self.team.sure()):
            return False
        self.sure -= work
        return True

    def settle(self, now: float, reserved: float, spent: float, sure: bool = False) -> None:
        """Settles one reservation.

        `spent` is 0 if nothing of the request can have run; `sure`: it was within the guaranteed share, which
        is corrected likewise.
        """
        self.reserved -= reserved
        self.settled += spent
        self.free += reserved - spent
        if sure:
            self.sure += reserved - spent
        self.fill(now)

    def wait(self, now: float, work: float) -> float:
        """Seconds until the work could be reserved, at the present rate."""
        rate = self.rate(now)
        required = min(work, self.depth(now))
        return max(required - self.free, 0.0) / rate if rate else NO_QUOTA_RETRY_AFTER_S

    # -- demand --------------------------------------------------------------------------------------------

    def wanted(self, now: float, work: float) -> None:
        """Counts the work of a request that has arrived."""
        self.requested_work += work

    def wants(self, now: float) -> float:
        """The team's demand here in work a second, smoothed; to be asked for at even times."""
        elapsed_s = now - self.demand_updated_at
        if elapsed_s > 0.0:
            weight = min(elapsed_s / DEMAND_SMOOTHING_S, 1.0)
            self.demand += weight * (self.requested_work / elapsed_s - self.demand)
            self.requested_work = 0.0
            self.demand_updated_at = now
        if self.demand < MIN_DEMAND:
            self.demand = 0.0
        return self.demand

    def adds_up(self) -> bool:
        """Whether the sums agree within rounding."""
        accounted = self.free + self.reserved + self.settled + self.returned
        return abs(self.granted - accounted) <= RELATIVE_TOLERANCE * max(self.granted, 1.0)

    def is_full(self, now: float) -> bool:
        """Whether the bucket is full, within rounding."""
        self.fill(now)
        return self.free >= self.depth(now) - FULL_TOLERANCE


class Reservation:
    """What one request has reserved, on the account that its team had when it arrived."""

    def __init__(self, account: Account, work: float, sure: bool = False, told: float = 0.0) -> None:
        self.account = account
        self.work = work
        self.sure = sure  # within the guaranteed share
        self.estimate = told  # uncorrected; 0: nothing can be learnt from it
        self.is_open = True
        account.open_reservations += 1

    def settle(self, now: float, spent: float, measured: bool = False) -> None:
        """Settles the reservation; only the first call counts. `measured`: the request was completed."""
        if not self.is_open:
            return
        self.is_open = False
        self.account.open_reservations -= 1
        if measured and self.estimate:
            self.account.learn(self.estimate, spent)
        self.account.settle(now, self.work, spent, self.sure)


class NumberedTeam(NamedTuple):
    """A team with its number in the contracts."""

    number: int
    team: Team


class Ledger:
    """The accounts of all teams that have had a request at this node."""

    def __init__(self, seats: int, floor: float) -> None:
        self.cluster_size = seats
        self.floor_share = floor  # of each budget, divided among all nodes without a lease
        self.contracts: Contracts | None = None
        self.teams: dict[str, NumberedTeam] = {}
        self.accounts: dict[str, Account] = {}
        self.floors_fill_from = 0.0

    def change(self, now: float, contracts: Contracts | None) -> None:
        """Puts other contracts in force, or none.

        Accounts start anew, with the leases that teams of the same name have and what they have free or owe.
        Reservations are settled on the account on which they were made.
        """
        previous_accounts = self.accounts
        self.contracts = contracts
        self.accounts = {}
        self.floors_fill_from = now
        teams = contracts.teams if contracts else []
        self.teams = {team.name: NumberedTeam(number, team) for number, team in enumerate(teams)}
        for name, previous in previous_accounts.items():
            self._replace_account(now, name, previous)

    def _replace_account(self, now: float, name: str, previous: Account) -> None:
        part = previous.part
        until = previous.until
        previous.fill(now)
        left = previous.free
        previous.drop(now)
        account = self.account(now, name)
        if account is None:
            return
        account.leased(now, part, until)
        account.carry(now, left)
        account.estimated_work = previous.estimated_work
        account.measured_work = previous.measured_work
        account.measured = previous.measured

    def end(self, now: float) -> None:
        """Ends all leases and floors; reservations are settled as before."""
        self.floor_share = 0.0
        for account in self.accounts.values():
            account.drop(now)

    def account(self, now: float, name: str) -> Account | None:
        """The account of a team, a new one at its first request; None for a team without a contract."""
        account = self.accounts.get(name)
        if account is None and name in self.teams:
            number, team = self.teams[name]
            floor = int(team.rate() * self.floor_share) // self.cluster_size
            account = Account(now, team, number, floor)
            account.at = self.floors_fill_from  # one that was forgotten was full then
            self.accounts[name] = account
        return account

    def idle(self, now: float) -> None:
        """Forgets the accounts that are full and without demand, so that only active teams cost time."""
        for name, account in list(self.accounts.items()):
            is_active = account.wants(now) or account.holds(now) or account.reserved
            if not is_active and account.is_full(now):
                del self.accounts[name]
