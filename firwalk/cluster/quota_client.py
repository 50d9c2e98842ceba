"""A node's side of quota leases: requests leases by demand, and uses them until they expire by its own clock.

Rates are integers in millionths of work per second; times are seconds on the node's own clock. No I/O.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

from firwalk.cluster.host import Host
from firwalk.cluster.messages import (
    MAX_MICRO_RATE,
    MAX_QUOTA_ROWS,
    NO_BALLOT,
    Ballot,
    QuotaGrant,
    QuotaRequest,
    QuotaRequestRow,
)
from firwalk.cluster.quota_contracts import QuotaPolicy

REQUESTS_PER_LEASE = 4
MAX_REQUEST_INTERVAL_S = 0.5
MICRO = 1_000_000


class Account(Protocol):
    """A tenant's account at this node (`firwalk.broker.ledger.Account`)."""

    number: int

    def current_lease_rate(self, now: float) -> int:
        """Return the leased rate."""

    def update_demand(self, now: float) -> float:
        """Update and return the demand, in work per second."""

    def set_lease(self, now: float, rate: int, expires_at: float) -> None:
        """Put a lease of `rate` in force until `expires_at`."""


class Demand(NamedTuple):
    """One tenant's demand and leased rate at this node."""

    team: int
    demand: int
    held: int


class QuotaClient:
    """Requests leases for all tenants with demand.

    `policy`: the quota policy; `leader_term` returns the term of the coordinator known to this node.
    """

    def __init__(self, host: Host, policy: QuotaPolicy, leader_term: Callable[[], Ballot]) -> None:
        self.host = host
        self.policy = policy
        self.leader_term = leader_term
        self.list_accounts: Callable[[], list[Account]] = list  # all accounts
        self.on_requested: Callable[[float], None] = _ignore  # called after each request
        self.last_number = 0  # of the last request
        self.checksum = 0  # of the contracts that this node follows; 0: none
        self.ready = 0  # checksum of the newest contracts that this node has
        self.pending: dict[int, float] = {}  # by number: when the request was made
        self.used_numbers: dict[int, int] = {}  # by tenant: the request whose answer is in use
        self.requested: dict[int, None] = {}  # tenants with demand or a lease at the last request
        self.requested_term: Ballot = NO_BALLOT
        # A lease is used for less time than it is granted for, since clocks drift apart.
        self.safe_length_s = policy.lease_s * (1 - policy.drift) / (1 + policy.drift)

    def start(self, now: float) -> None:
        """Begin to request leases at regular intervals."""
        self.host.set_timer(now, self._on_timer, None)

    def _on_timer(self, now: float, _: None) -> None:
        self.request_leases(now)
        self.on_requested(now)
        interval_s = min(self.policy.lease_s / REQUESTS_PER_LEASE, MAX_REQUEST_INTERVAL_S)
        self.host.set_timer(now + interval_s, self._on_timer, None)

    def follow_contracts(self, checksum: int, renumbered: dict[int, int]) -> None:
        """Follow other contracts.

        Tenants of the same name keep their leases; grants for requests under the previous contracts are
        ignored. `renumbered`: the tenants' new numbers by their old ones.
        """
        self.checksum = checksum
        self.pending = {}
        self.requested = {}
        self.used_numbers = {
            renumbered[team]: number for team, number in self.used_numbers.items() if team in renumbered
        }

    def request_leases(self, now: float) -> None:
        """Request leases for tenants with demand or a lease, and close those that just lost both."""
        self.pending = {number: at for number, at in self.pending.items() if at + self.safe_length_s > now}
        demands = [self._demand(now, account) for account in self.list_accounts()] if self.checksum else []
        self._request(now, [row for row in demands if row.demand or row.held or row.team in self.requested])

    def _demand(self, now: float, account: Account) -> Demand:
        # Limited to what a message holds: clients may state any work.
        demand = int(min(account.update_demand(now) * MICRO, MAX_MICRO_RATE))
        return Demand(account.number, demand, account.current_lease_rate(now))

    def _request(self, now: float, demands: list[Demand]) -> None:
        """Send the demands; an empty request reports which contracts the node has."""
        leader_term = self.leader_term()
        if leader_term == NO_BALLOT:
            return
        if leader_term != self.requested_term:
            # All leases are reported to a new coordinator: no grant of the previous one may add to them.
            self.requested_term = leader_term
            self.pending = {}
        first = self.last_number + 1
        last = self.last_number + max(-(-len(demands) // MAX_QUOTA_ROWS), 1)
        for start in range(0, len(demands) or 1, MAX_QUOTA_ROWS):
            self.last_number += 1
            self.pending[self.last_number] = now
            rows = [self._row(demand) for demand in demands[start : start + MAX_QUOTA_ROWS]]
            request = QuotaRequest(self.last_number, self.checksum, self.ready, rows, first, last)
            self.host.send(leader_term[1], request)

    def _row(self, demand: Demand) -> QuotaRequestRow:
        """Return the row of one tenant in a request.

        Without demand and lease, all earlier requests are closed. A grant still in transit would otherwise
        become a lease that the coordinator no longer counts.
        """
        team, rate, held = demand
        self.requested[team] = None
        if not rate and not held:
            del self.requested[team]
            self.used_numbers[team] = self.last_number
        return QuotaRequestRow(team, rate, self.last_number - self.used_numbers.get(team, 0), held)

    def on_grant(self, now: float, sender: int, grant: QuotaGrant) -> None:
        """Use the granted leases.

        Their time counts from the request, and they never replace those of a later request.
        """
        requested_at = self.pending.get(grant.number)
        if requested_at is None or grant.checksum != self.checksum:
            return
        if sender != self.requested_term[1] or self.leader_term() != self.requested_term:
            return
        length_s = min(grant.lease_ms / 1e3, self.policy.lease_s)
        expires_at = requested_at + length_s / self.policy.lease_s * self.safe_length_s
        accounts = {account.number: account for account in self.list_accounts()}
        for team, rate in grant.rows:
            account = accounts.get(team)
            if account is not None and self.used_numbers.get(team, 0) < grant.number and expires_at > now:
                self.used_numbers[team] = grant.number
                account.set_lease(now, rate, expires_at)
                self.host.event("part", team=team, check=self.checksum, part=rate, left=expires_at - now)

    def end(self, now: float) -> None:
        """Return all leases, so that other nodes can have them at once."""
        held = [account for account in self.list_accounts() if account.current_lease_rate(now)]
        for account in held:
            account.set_lease(now, 0, now)
            self.host.event("part", team=account.number, check=self.checksum, part=0, left=0.0)
        if held:
            self._request(now, [Demand(account.number, 0, 0) for account in held])
        self.pending = {}


def _ignore(now: float) -> None:
    """Do nothing."""
