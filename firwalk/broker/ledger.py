"""One node's share of each team's budget: token bucket, reservations and settlements. No I/O.

Source of the bucket: Turner, "New directions in communications (or which way to the information age?)", IEEE
Communications Magazine 24 (1986). Work is in seconds at speed 1 times slots; times are seconds on the node's
own clock. At every moment `granted = free + reserved + settled + returned`.
"""

from __future__ import annotations

from typing import NamedTuple

from firwalk.broker.contracts import MICRO, Contracts, Team

DEMAND_SMOOTHING_S = 2.0
MIN_DEMAND = 1e-3  # Lower demand, in work per second, counts as none.
ESTIMATE_MEMORY = 20.0  # The estimates' error is averaged over about this many measured requests.
# Bounds of the correction factor on estimates.
MIN_CORRECTION = 0.05
MAX_CORRECTION = 20.0
INITIAL_CONCURRENCY = 8  # A team may have this many requests in flight before any was measured.
CONCURRENCY_PER_MEASURED = 4
NO_QUOTA_RETRY_AFTER_S = 5.0
RELATIVE_TOLERANCE = 1e-6  # Sums may differ by this fraction, for rounding errors.
FULL_TOLERANCE = 1e-9  # A bucket counts as full within this much work, for rounding errors.


class Account:
    """The quota account of one team at this node."""

    def __init__(self, now: float, team: Team, number: int, floor: int) -> None:
        self.team = team
        self.number = number
        # Rates are in millionths of work per second.
        self.floor = floor  # needs no lease
        self.total_rate = team.rate()  # of all nodes
        self.lease_rate = 0  # leased until `lease_expires_at`
        self.lease_expires_at = 0.0
        self.refilled_at = now  # time of the last refill
        self.created_at = now
        self.granted = 0.0
        self.free = 0.0
        self.reserved = 0.0
        self.settled = 0.0
        self.returned = 0.0
        self.work_beyond_quota = 0.0  # work of requests beyond the budget
        self.guaranteed_free = 0.0  # second bucket: the guaranteed part of `free`
        self.demand = 0.0  # work per second, smoothed
        self.requested_work = 0.0  # since the last demand update
        self.demand_updated_at = now
        self.estimated_work = 0.0  # of measured requests, exponentially decayed
        self.measured_work = 0.0  # of the same requests, likewise decayed
        self.measured = 0  # number of measured requests
        self.open_reservations = 0

    # -- the bucket ----------------------------------------------------------------------------------------

    def current_lease_rate(self, now: float) -> int:
        """Return the leased rate in millionths of work per second, 0 after the lease's expiry."""
        return self.lease_rate if now < self.lease_expires_at else 0

    def rate(self, now: float) -> float:
        """Return the refill rate in work per second: the floor plus the lease."""
        return (self.floor + self.current_lease_rate(now)) / MICRO

    def depth(self, now: float) -> float:
        """Return the bucket's depth: the team's depth times this node's fraction of the total rate."""
        return self.team.burst_depth() * (self.floor + self.current_lease_rate(now)) / self.total_rate

    def refill(self, now: float) -> None:
        """Refill the bucket by the floor and the lease since the last refill.

        Work above the bucket's depth is returned. A negative balance is kept.
        """
        leased_s = max(min(now, self.lease_expires_at) - self.refilled_at, 0.0)
        granted = (self.floor * max(now - self.refilled_at, 0.0) + self.lease_rate * leased_s) / MICRO
        self.refilled_at = max(now, self.refilled_at)
        self.granted += granted
        self.free += granted
        excess = max(self.free - self.depth(now), 0.0)
        self.free -= excess
        self.returned += excess
        self.guaranteed_free = min(
            self.guaranteed_free + granted * self.team.guaranteed_ratio(),
            self.depth(now) * self.team.guaranteed_ratio(),
        )

    def set_lease(self, now: float, rate: int, expires_at: float) -> None:
        """Put a lease in force: `rate` millionths of work per second until `expires_at`."""
        self.refill(now)
        self.lease_rate = rate
        self.lease_expires_at = expires_at
        self.refill(now)

    def close(self, now: float) -> None:
        """Remove the lease and the floor."""
        self.set_lease(now, 0, now)
        self.floor = 0
        self.refill(now)

    def take_over_balance(self, now: float, balance: float) -> None:
        """Take over the balance of the team's previous account, capped at the bucket's depth.

        Without this, a change of contracts would reject requests until the bucket has refilled, and forgive
        debts.
        """
        if balance >= 0.0:
            self.granted += balance
            self.guaranteed_free += balance * self.team.guaranteed_ratio()
        else:
            self.settled -= balance
        self.free += balance
        self.refill(now)

    # -- spending ------------------------------------------------------------------------------------------

    def reserve(self, now: float, work: float) -> bool:
        """Reserve a request's work before its first attempt; return whether the balance suffices.

        A full bucket suffices for any request and may go negative. Otherwise a request with more work than
        the bucket's depth would never be sent.
        """
        self.add_demand(now, work)
        self.refill(now)
        required = min(work, self.depth(now))
        if required <= 0.0 or self.free < required:
            return False
        self.free -= work
        self.reserved += work
        return True

    def corrected_estimate(self, work: float) -> float:
        """Return an estimate corrected by the error of earlier ones.

        Without the correction, clients that state a tenth of the real work would have ten times their share
        in flight before the first outcome.
        """
        if not self.estimated_work:
            return work
        return work * min(max(self.measured_work / self.estimated_work, MIN_CORRECTION), MAX_CORRECTION)

    def may_start(self) -> bool:
        """Return whether the concurrency limit allows one more request.

        The limit grows with the number of measured requests (slow start: RFC 5681).
        """
        return self.open_reservations < INITIAL_CONCURRENCY + CONCURRENCY_PER_MEASURED * self.measured

    def learn(self, estimate: float, measured: float) -> None:
        """Update the correction with the estimate and the measured work of a completed request."""
        retained = 1.0 - 1.0 / ESTIMATE_MEMORY
        self.estimated_work = self.estimated_work * retained + estimate
        self.measured_work = self.measured_work * retained + measured
        self.measured += 1

    def charge_guaranteed(self, now: float, work: float) -> bool:
        """Charge an admitted request to the guaranteed share; return whether that suffices.

        As with the budget, a full bucket suffices for any request.
        """
        if self.team.guaranteed is None:
            return True
        if self.guaranteed_free <= 0.0 or self.guaranteed_free < min(
            work, self.depth(now) * self.team.guaranteed_ratio()
        ):
            return False
        self.guaranteed_free -= work
        return True

    def settle(self, now: float, reserved: float, spent: float, is_guaranteed: bool = False) -> None:
        """Settle one reservation.

        `spent` is 0 if no part of the request can have run. `is_guaranteed`: the request was charged to the
        guaranteed share, whose balance is corrected too.
        """
        self.reserved -= reserved
        self.settled += spent
        self.free += reserved - spent
        if is_guaranteed:
            self.guaranteed_free += reserved - spent
        self.refill(now)

    def wait_s(self, now: float, work: float) -> float:
        """Return the seconds until the work could be reserved at the current rate."""
        rate = self.rate(now)
        required = min(work, self.depth(now))
        return max(required - self.free, 0.0) / rate if rate else NO_QUOTA_RETRY_AFTER_S

    # -- demand --------------------------------------------------------------------------------------------

    def add_demand(self, now: float, work: float) -> None:
        """Add the work of an arrived request to the demand."""
        self.requested_work += work

    def update_demand(self, now: float) -> float:
        """Update and return the team's smoothed demand at this node, in work per second.

        The smoothing assumes calls at about regular intervals.
        """
        elapsed_s = now - self.demand_updated_at
        if elapsed_s > 0.0:
            weight = min(elapsed_s / DEMAND_SMOOTHING_S, 1.0)
            self.demand += weight * (self.requested_work / elapsed_s - self.demand)
            self.requested_work = 0.0
            self.demand_updated_at = now
        if self.demand < MIN_DEMAND:
            self.demand = 0.0
        return self.demand

    def is_balanced(self) -> bool:
        """Return whether `granted = free + reserved + settled + returned` holds within rounding."""
        accounted = self.free + self.reserved + self.settled + self.returned
        return abs(self.granted - accounted) <= RELATIVE_TOLERANCE * max(self.granted, 1.0)

    def is_full(self, now: float) -> bool:
        """Refill the bucket and return whether it is full within rounding."""
        self.refill(now)
        return self.free >= self.depth(now) - FULL_TOLERANCE


class Reservation:
    """One request's reservation, on the account that its team had at the request's arrival."""

    def __init__(
        self, account: Account, work: float, is_guaranteed: bool = False, estimate: float = 0.0
    ) -> None:
        self.account = account
        self.work = work
        self.is_guaranteed = is_guaranteed  # charged to the guaranteed share
        self.estimate = estimate  # uncorrected; 0: not used for the correction
        self.is_open = True
        account.open_reservations += 1

    def settle(self, now: float, spent: float, measured: bool = False) -> None:
        """Settle the reservation; later calls do nothing.

        `measured`: the request was completed, so `spent` is its measured work.
        """
        if not self.is_open:
            return
        self.is_open = False
        self.account.open_reservations -= 1
        if measured and self.estimate:
            self.account.learn(self.estimate, spent)
        self.account.settle(now, self.work, spent, self.is_guaranteed)


class NumberedTeam(NamedTuple):
    """A team and its index in the contracts."""

    number: int
    team: Team


class Ledger:
    """The accounts of all teams with recent requests at this node."""

    def __init__(self, cluster_size: int, floor_share: float) -> None:
        self.cluster_size = cluster_size
        self.floor_share = floor_share  # fraction of each budget divided among all nodes without leases
        self.contracts: Contracts | None = None
        self.teams: dict[str, NumberedTeam] = {}
        self.accounts: dict[str, Account] = {}
        self.floors_fill_from = 0.0

    def use_contracts(self, now: float, contracts: Contracts | None) -> None:
        """Replace the contracts in force; None: no contracts.

        Each account is replaced by a new one that takes over the lease and the balance of the team of the
        same name. Open reservations are settled on the account on which they were made.
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
        lease_rate = previous.lease_rate
        lease_expires_at = previous.lease_expires_at
        previous.refill(now)
        balance = previous.free
        previous.close(now)
        account = self.account(now, name)
        if account is None:
            return
        account.set_lease(now, lease_rate, lease_expires_at)
        account.take_over_balance(now, balance)
        account.estimated_work = previous.estimated_work
        account.measured_work = previous.measured_work
        account.measured = previous.measured

    def close(self, now: float) -> None:
        """Remove all leases and floors; open reservations can still be settled."""
        self.floor_share = 0.0
        for account in self.accounts.values():
            account.close(now)

    def account(self, now: float, name: str) -> Account | None:
        """Return a team's account, creating it if needed; None for a team without a contract."""
        account = self.accounts.get(name)
        if account is None and name in self.teams:
            number, team = self.teams[name]
            floor = int(team.rate() * self.floor_share) // self.cluster_size
            account = Account(now, team, number, floor)
            # An account that was removed was full: refill it from the start of the contracts.
            account.refilled_at = self.floors_fill_from
            self.accounts[name] = account
        return account

    def remove_idle(self, now: float) -> None:
        """Remove full accounts without demand, so that only active teams cost time."""
        for name, account in list(self.accounts.items()):
            is_active = account.update_demand(now) or account.current_lease_rate(now) or account.reserved
            if not is_active and account.is_full(now):
                del self.accounts[name]
