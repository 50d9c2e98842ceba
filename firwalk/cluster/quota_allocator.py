"""The coordinator's side of quota leases: divides each tenant's quota among the nodes by their demand.

The sum of all leases never exceeds the quota. Rates are integers in millionths of work per second; times are
seconds on the coordinator's own clock. No I/O: each event is a method whose first argument is the time.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from firwalk.cluster.messages import QuotaGrant, QuotaGrantRow, QuotaRequest
from firwalk.cluster.quota_book import HolderLeases, LeaseHolder, QuotaBook
from firwalk.cluster.quota_contracts import ContractSet, QuotaPolicy

MIN_DEMAND_RATIO = 0.02  # Any demand counts as at least this fraction of the quota.
MAX_LEASE_TO_DEMAND = 4.0  # A node is leased at most this multiple of its demand; requests come in bursts.


@dataclass(slots=True)
class RequestBatch:
    """The messages received so far of one batch into which a node's request was split."""

    generation: int
    first: int
    numbers: dict[int, None] = field(default_factory=dict)


@dataclass(slots=True)
class TenantRequest:
    """One row of a request.

    `quota`: the tenant's leased quota by the contracts that the node follows; `used_number`: the number of
    the request whose grant the node uses.
    """

    holder: LeaseHolder
    number: int
    name: str
    quota: int
    demand: int
    used_number: int
    held: int

    def min_demand(self) -> int:
        """Return the least demand that is counted; without it, a starting node would never get a lease."""
        return max(int(self.quota * MIN_DEMAND_RATIO), 1)


class QuotaAllocator:
    """The allocator of one coordinator's term.

    `node_ids`: all nodes that may have a lease. `rollout_contracts`: contracts that a rollout introduces;
    some nodes follow these and others `contracts`. Each node gets its part of the quota of the contracts that
    it follows, and all leases together never exceed the larger quota. A quota that is far too small thus
    affects only the nodes that follow it, where canary analysis detects it.
    """

    def __init__(
        self,
        now: float,
        policy: QuotaPolicy,
        contracts: ContractSet,
        node_ids: Callable[[], list[int]],
        rollout_contracts: ContractSet | None = None,
    ) -> None:
        self.policy = policy
        self.node_ids = node_ids
        self.contract_sets: dict[int, ContractSet] = {}  # by checksum
        self.numbers: dict[str, int] = {}  # keys of `books`, by tenant
        self.quotas: dict[str, int] = {}  # the larger quota, by tenant
        self._use_contracts(contracts, rollout_contracts)
        self.books: dict[int, QuotaBook] = {}
        self.renews_until = 0.0
        self.renewed_names: dict[str, None] | None = None  # tenants that are only renewed; None: all
        self.batches: dict[int, RequestBatch] = {}  # by node
        self.fully_reported: dict[int, None] = {}  # nodes that have reported all their leases
        self._begin_renewal(now)

    def _use_contracts(self, contracts: ContractSet, rollout_contracts: ContractSet | None) -> None:
        self.contract_sets = {
            contract_set.checksum: contract_set
            for contract_set in (contracts, rollout_contracts)
            if contract_set is not None
        }
        names = dict.fromkeys(
            name for contract_set in self.contract_sets.values() for name in contract_set.names
        )
        self.numbers = {name: number for number, name in enumerate(names)}
        self.quotas = dict.fromkeys(names, 0)
        for contract_set in self.contract_sets.values():
            for name, quota in zip(contract_set.names, contract_set.leased_quotas, strict=True):
                self.quotas[name] = max(self.quotas[name], quota)

    def _begin_renewal(self, now: float) -> None:
        """Only renew leases until all earlier ones have expired by any clock within the drift."""
        drift = self.policy.drift
        self.renews_until = now + self.policy.lease_s * (1 + drift) / (1 - drift)
        self.batches = {}
        self.fully_reported = {}

    def change_contracts(
        self, now: float, contracts: ContractSet, rollout_contracts: ContractSet | None = None
    ) -> None:
        """Put other contracts in force.

        A tenant's leases keep counting under its new number, even beyond a smaller quota; those of removed
        tenants expire. A tenant that was removed and added again may have leases that are in no book: it gets
        no new ones until those have expired.
        """
        numbers_before = self.numbers
        books_before = self.books
        self._use_contracts(contracts, rollout_contracts)
        self.books = {
            self.numbers[name]: books_before[number]
            for name, number in numbers_before.items()
            if name in self.numbers and number in books_before
        }
        if now >= self.renews_until or self.renewed_names is not None:
            # By name: the numbers of tenants still waiting after the previous change may have changed.
            waiting = (self.renewed_names or {}) if now < self.renews_until else {}
            added = {name: None for name in self.numbers if name not in numbers_before}
            self.renewed_names = waiting | added
        self._begin_renewal(now)

    def on_request(self, now: float, node: int, generation: int, request: QuotaRequest) -> QuotaGrant | None:
        """Answer a node's request; None: it follows other contracts, or there is nothing to grant."""
        contract_set = self.contract_sets.get(request.checksum)
        if contract_set is None:
            return None
        rows = []
        holder = LeaseHolder(node, generation)
        for team, demand, requests_ago, held in request.rows:
            if team >= len(contract_set.leased_quotas):
                continue
            used_number = request.number - requests_ago
            name = contract_set.names[team]
            quota = contract_set.leased_quotas[team]
            rate = self._grant(
                now, TenantRequest(holder, request.number, name, quota, demand, used_number, held)
            )
            if rate is not None:
                rows.append(QuotaGrantRow(team, rate))
        if now < self.renews_until:
            self._count_batch(node, generation, request)
        return (
            QuotaGrant(request.number, request.checksum, int(self.policy.lease_s * 1e3), rows)
            if rows
            else None
        )

    def _count_batch(self, node: int, generation: int, request: QuotaRequest) -> None:
        """End the renewal once all nodes have reported all their leases: then each lease is in a book."""
        if node in self.fully_reported or not request.first <= request.number <= request.last:
            return
        batch = self.batches.get(node)
        if batch is None or (batch.generation, batch.first) != (generation, request.first):
            batch = self.batches[node] = RequestBatch(generation, request.first)
        batch.numbers[request.number] = None
        if len(batch.numbers) < request.last - request.first + 1:
            return
        self.fully_reported[node] = None
        if all(other in self.fully_reported for other in self.node_ids()):
            self.renews_until = 0.0

    def _grant(self, now: float, request: TenantRequest) -> int | None:
        """Return the leased rate; None: no answer."""
        team = self.numbers[request.name]
        book = self.books.setdefault(team, QuotaBook())
        holder = book.holder(now, request.holder)
        if request.number <= holder.last_number:
            return None  # Duplicated or reordered: the node would use an older grant.
        holder.last_number = request.number
        holder.demand = request.demand
        holder.grants = {
            number: lease for number, lease in holder.grants.items() if number >= request.used_number
        }
        is_renewal = now < self.renews_until and (
            self.renewed_names is None or request.name in self.renewed_names
        )
        expires_at = now + self.policy.lease_s
        if is_renewal and request.held and request.used_number not in holder.grants:
            book.renew(request.holder, request.used_number, expires_at, request.held)
        min_demand = request.min_demand()
        book.update_sums(now, request.holder, min_demand)
        if not request.demand and not request.held:
            self._remove_if_empty(team, book, request.holder)
            return None
        # Leases of other nodes count until they expire, even if the division has changed since.
        available = self.quotas[request.name] - (book.leased_rate - holder.counted_rate)
        if is_renewal:
            # Not more, since other leases are unknown; not less, since the node could not get it back.
            target = request.held if request.demand else 0
        else:
            target = self._demand_share(book, holder, request.quota, min_demand)
        rate = max(min(target, available), 0)
        book.grant(now, request.holder, request.number, expires_at, rate, min_demand)
        return rate

    def _remove_if_empty(self, team: int, book: QuotaBook, key: LeaseHolder) -> None:
        """Remove a holder without leases, and a book without holders."""
        if not book.holders[key].grants:
            del book.holders[key]
        if not book.holders:
            del self.books[team]

    def _demand_share(self, book: QuotaBook, own: HolderLeases, quota: int, min_demand: int) -> int:
        """Return the node's part of the quota, in proportion to its demand.

        It is limited to a multiple of the demand, so that some quota is left for starting nodes.
        """
        if not own.demand:
            return 0
        demand = max(own.demand, min_demand)
        return min(
            int(demand * MAX_LEASE_TO_DEMAND),
            quota * demand // (book.total_demand - own.counted_demand + demand),
        )
