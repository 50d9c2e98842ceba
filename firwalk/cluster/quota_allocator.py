"""The coordinator's side of quota leases: divides each tenant's quota among the nodes by their demand.

The sum of all leases never exceeds the quota. Rates are whole millionths of work per second; times are
seconds on the own clock. No I/O; a method for each thing that can happen, with the time first.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from firwalk.cluster.messages import QuotaGrant, QuotaGrantRow, QuotaRequest
from firwalk.cluster.quota_book import HolderLeases, LeaseHolder, QuotaBook
from firwalk.cluster.quota_contracts import ContractSet, QuotaPolicy

LEAST_WANT_RATIO = 0.02  # of the quota: the least demand that counts, for a node that just began
MAX_WANT_FACTOR = 4.0  # times its demand that a node gets at most, since requests come in bursts


@dataclass(slots=True)
class RequestTurn:
    """The messages of one turn that a node's requests are split into, as far as they came."""

    generation: int
    first: int
    numbers: dict[int, None] = field(default_factory=dict)


@dataclass(slots=True)
class TenantRequest:
    """One row of a request. `whole`: the leased quota by the contracts that the node follows; `used_number`:
    the request whose answer the node uses."""

    holder: LeaseHolder
    number: int
    name: str
    whole: int
    wanted: int
    used_number: int
    held: int

    def least_want(self) -> int:
        """Without a least want, a node that just began would never get a lease."""
        return max(int(self.whole * LEAST_WANT_RATIO), 1)


class QuotaAllocator:
    """The allocator of one coordinator's term.

    `node_ids`: all nodes that may have a lease. `beside`: contracts that a rollout brings, so that some
    nodes follow these and others `offer`. Each node then gets its part of the quota of its own contracts, and
    all together never more than the larger quota: one that is far too small shows at the nodes that follow it
    alone, where canary analysis finds it.
    """

    def __init__(
        self,
        now: float,
        terms: QuotaPolicy,
        offer: ContractSet,
        node_ids: Callable[[], list[int]],
        beside: ContractSet | None = None,
    ) -> None:
        self.terms = terms
        self.node_ids = node_ids
        self.sides: dict[int, ContractSet] = {}  # by checksum
        self.numbers: dict[str, int] = {}  # of the books, by tenant
        self.wholes: dict[str, int] = {}  # the larger quota, by tenant
        self._use_contracts(offer, beside)
        self.books: dict[int, QuotaBook] = {}
        self.renews_until = 0.0
        self.renewed_names: dict[str, None] | None = None  # tenants that are only renewed; None: all
        self.turns: dict[int, RequestTurn] = {}  # by node
        self.complete: dict[int, None] = {}  # nodes that told all their leases
        self._begin_renewal(now)

    def _use_contracts(self, offer: ContractSet, beside: ContractSet | None) -> None:
        self.sides = {side.checksum: side for side in (offer, beside) if side is not None}
        names = dict.fromkeys(name for side in self.sides.values() for name in side.names)
        self.numbers = {name: number for number, name in enumerate(names)}
        self.wholes = dict.fromkeys(names, 0)
        for side in self.sides.values():
            for name, whole in zip(side.names, side.wholes, strict=True):
                self.wholes[name] = max(self.wholes[name], whole)

    def _begin_renewal(self, now: float) -> None:
        """Until all earlier leases are over, by any clock, leases are only renewed."""
        drift = self.terms.drift
        self.renews_until = now + self.terms.length * (1 + drift) / (1 - drift)
        self.turns = {}
        self.complete = {}

    def change_contracts(self, now: float, offer: ContractSet, beside: ContractSet | None = None) -> None:
        """Other contracts are in force. A tenant's leases count on under its number in the new ones, also
        beyond a quota that got smaller; those of removed tenants expire. A tenant that was removed and comes
        again may have leases that no book knows: it gets no new ones until those are over."""
        numbers_before = self.numbers
        books_before = self.books
        self._use_contracts(offer, beside)
        self.books = {
            self.numbers[name]: books_before[number]
            for name, number in numbers_before.items()
            if name in self.numbers and number in books_before
        }
        if now >= self.renews_until or self.renewed_names is not None:
            # By name: tenants that still wait from a change just before may have other numbers by now.
            waiting = (self.renewed_names or {}) if now < self.renews_until else {}
            added = {name: None for name in self.numbers if name not in numbers_before}
            self.renewed_names = waiting | added
        self._begin_renewal(now)

    def on_request(self, now: float, node: int, generation: int, got: QuotaRequest) -> QuotaGrant | None:
        """Answers a node's request; None: it follows other contracts, or there is nothing to grant."""
        side = self.sides.get(got.checksum)
        if side is None:
            return None
        rows = []
        holder = LeaseHolder(node, generation)
        for team, wanted, requests_ago, held in got.rows:
            if team >= len(side.wholes):
                continue
            used_number = got.number - requests_ago
            name = side.names[team]
            whole = side.wholes[team]
            part = self._grant(now, TenantRequest(holder, got.number, name, whole, wanted, used_number, held))
            if part is not None:
                rows.append(QuotaGrantRow(team, part))
        if now < self.renews_until:
            self._count_turn(node, generation, got)
        return QuotaGrant(got.number, got.checksum, int(self.terms.length * 1e3), rows) if rows else None

    def _count_turn(self, node: int, generation: int, got: QuotaRequest) -> None:
        """Ends the renewal once all nodes have told all their leases: then each lease is in a book."""
        if node in self.complete or not got.first <= got.number <= got.last:
            return
        turn = self.turns.get(node)
        if turn is None or (turn.generation, turn.first) != (generation, got.first):
            turn = self.turns[node] = RequestTurn(generation, got.first)
        turn.numbers[got.number] = None
        if len(turn.numbers) < got.last - got.first + 1:
            return
        self.complete[node] = None
        if all(other in self.complete for other in self.node_ids()):
            self.renews_until = 0.0

    def _grant(self, now: float, request: TenantRequest) -> int | None:
        """The part that is leased; None: no answer."""
        team = self.numbers[request.name]
        book = self.books.setdefault(team, QuotaBook())
        holder = book.holder(now, request.holder)
        if request.number <= holder.last_number:
            return None  # Duplicated or overtaken: the node would use an older answer.
        holder.last_number = request.number
        holder.want = request.wanted
        holder.grants = {
            number: lease for number, lease in holder.grants.items() if number >= request.used_number
        }
        is_renewal = now < self.renews_until and (
            self.renewed_names is None or request.name in self.renewed_names
        )
        until = now + self.terms.length
        if is_renewal and request.held and request.used_number not in holder.grants:
            book.renew(request.holder, request.used_number, until, request.held)
        least_want = request.least_want()
        book.count(now, request.holder, least_want)
        if not request.wanted and not request.held:
            self._close(team, book, request.holder)
            return None
        # Leases of others count until they are over, whatever the division says by now.
        available = self.wholes[request.name] - (book.live - holder.counted)
        if is_renewal:
            # Not more, since other leases are unknown; not less, since a node could not get it back.
            due = request.held if request.wanted else 0
        else:
            due = self._due(book, holder, request.whole, least_want)
        part = max(min(due, available), 0)
        book.grant(now, request.holder, request.number, until, part, least_want)
        return part

    def _close(self, team: int, book: QuotaBook, key: LeaseHolder) -> None:
        """Removes a holder without leases, and a book without holders."""
        if not book.holders[key].grants:
            del book.holders[key]
        if not book.holders:
            del self.books[team]

    def _due(self, book: QuotaBook, own: HolderLeases, whole: int, least_want: int) -> int:
        """In proportion to all wants, and not far above the own one, so that some is left for nodes that
        begin."""
        if not own.want:
            return 0
        want = max(own.want, least_want)
        return min(int(want * MAX_WANT_FACTOR), whole * want // (book.wants - own.counted_want + want))
