"""Budgets of the whole fleet, divided among the nodes: parts that are leased, and never sum to more than it.

Sources: Gray and Cheriton, "Leases" (SOSP 1989); Google's Doorman (README: capacity is leased to clients by
their wants). What was weighed, and why it is safe: `docs/broker.md`. Rates are whole millionths of work a
second; times are seconds on the own clock; `drift` is how far clocks may run off, as a part.

No I/O; a method for each thing that can happen, with the time first.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from typing import Any, Protocol

from firwalk.cluster.host import Host
from firwalk.cluster.messages import MOST_ROWS, NOBODY, Ballot, QuotaGrant, QuotaRequest

ASKS, MOST_WAIT = 4, 0.5  # questions in one length, and the seconds between them at most
LEAST = 0.02  # of the whole: the least want that counts, for a node that just began
SPARE = 4.0  # times its want that a node gets at most: tasks come in bursts
MICRO = 1_000_000


class Purse(Protocol):
    """A team's account at this node (`firwalk.broker.ledger.Account`)."""

    number: int

    def holds(self, now: float) -> int: ...

    def wants(self, now: float) -> float: ...

    def leased(self, now: float, part: int, until: float) -> None: ...


@dataclass(frozen=True)
class QuotaPolicy:
    """`length`: seconds of a part's lease; `floor`: part of each whole that is the nodes' for good."""

    length: float = 6.0
    drift: float = 0.01
    floor: float = 0.05


@dataclass(frozen=True)
class ContractSet:
    """Contracts as a coordinator needs them. `wholes`: by team, what of its budget is leased."""

    version: int
    check: int
    names: tuple[str, ...]
    wholes: tuple[int, ...]
    begun: Callable[[], bool] = lambda: True


class QuotaClient:
    """Every node's side: asks for parts, and has them until their time is over by its own clock."""

    def __init__(self, host: Host, terms: QuotaPolicy, office: Callable[[], Ballot]):
        self.host, self.terms, self.office = host, terms, office
        self.purses: Callable[[], list[Purse]] = list
        self.turned: Callable[[float], None] = lambda now: None
        self.mark, self.check, self.ready = 0, 0, 0
        self.marks: dict[int, float] = {}  # questions that may still be answered, and when they were
        self.acts_on: dict[int, int] = {}  # by team: the question whose answer it acts on
        self.asking: dict[int, None] = {}  # teams that were wanted, or had, at the last question
        self.asked: Ballot = NOBODY  # the office that was asked last
        self.good = terms.length * (1 - terms.drift) / (1 + terms.drift)

    def start(self, now: float) -> None:
        self.host.set_timer(now, self._turn, None)

    def _turn(self, now: float, _: None) -> None:
        self.ask(now)
        self.turned(now)
        self.host.set_timer(now + min(self.terms.length / ASKS, MOST_WAIT), self._turn, None)

    def changed(self, check: int, renumbered: dict[int, int]) -> None:
        """Other contracts are in force here. Teams of the same name keep what they have; what was asked under
        those before counts no more."""
        self.check, self.marks, self.asking = check, {}, {}
        self.acts_on = {renumbered[team]: mark for team, mark in self.acts_on.items() if team in renumbered}

    def ask(self, now: float) -> None:
        self.marks = {mark: at for mark, at in self.marks.items() if at + self.good > now}
        rows = (
            [(purse.number, int(purse.wants(now) * MICRO), purse.holds(now)) for purse in self.purses()]
            if self.check
            else []
        )
        self._tell(now, [(team, want, has) for team, want, has in rows if want or has or team in self.asking])

    def _tell(self, now: float, rows: list[tuple[int, int, int]]) -> None:
        """One without rows tells which contracts it has. Who wants nothing and has nothing closes all earlier
        questions: an answer on its way would else count that nobody knows of any more."""
        office = self.office()
        if office == NOBODY:
            return
        if office != self.asked:  # what it says to have is all: no answer of the one before adds to it
            self.asked, self.marks = office, {}
        first, last = self.mark + 1, self.mark + max(-(-len(rows) // MOST_ROWS), 1)
        for at in range(0, len(rows) or 1, MOST_ROWS):
            self.mark += 1
            self.marks[self.mark], told = now, []
            for team, want, has in rows[at : at + MOST_ROWS]:
                self.asking[team] = None
                if not want and not has:
                    del self.asking[team]
                    self.acts_on[team] = self.mark
                told.append((team, want, self.mark - self.acts_on.get(team, 0), has))
            self.host.tell(office[1], QuotaRequest(self.mark, self.check, self.ready, told, first, last))

    def grant_came(self, now: float, sender: int, got: QuotaGrant) -> None:
        """Counted from the question, and never instead of the answer to a later one."""
        since = self.marks.get(got.mark)
        if since is None or got.check != self.check or sender != self.asked[1] or self.office() != self.asked:
            return
        until = since + min(got.length / 1e3, self.terms.length) / self.terms.length * self.good
        purses = {purse.number: purse for purse in self.purses()}
        for team, part in got.rows:
            purse = purses.get(team)
            if purse is not None and self.acts_on.get(team, 0) < got.mark and until > now:
                self.acts_on[team] = got.mark
                purse.leased(now, part, until)
                self.host.event("part", team=team, check=self.check, part=part, left=until - now)

    def end(self, now: float) -> None:
        """It spends nothing from now on, and says so: what it had is free for others at once."""
        given = [purse for purse in self.purses() if purse.holds(now)]
        for purse in given:
            purse.leased(now, 0, now)
            self.host.event("part", team=purse.number, check=self.check, part=0, left=0.0)
        if given:
            self._tell(now, [(purse.number, 0, 0) for purse in given])
        self.marks = {}


@dataclass
class Held:
    """What one life of one node may have of one team: answers by their questions' marks, until when, how
    much. `counted` and `wanted` are its parts in the book's sums."""

    mark: int = 0
    want: int = 0
    grants: dict[int, tuple[float, int]] = field(default_factory=dict)
    counted: int = 0
    wanted: int = 0

    def live(self, now: float) -> int:
        """The most of what it may act on: it acts on one answer at a time, and nobody here knows which."""
        return max((part for until, part in self.grants.values() if until > now), default=0)


Key = tuple[int, int]  # seat and life


class Book:
    """One team's parts that are out; sums are kept, so that an answer costs the same at any size."""

    def __init__(self) -> None:
        self.held: dict[Key, Held] = {}
        self.live, self.wants = 0, 0
        self.ends: list[tuple[float, Key]] = []

    def of(self, now: float, key: Key) -> Held:
        """What is over by now is out of the sums."""
        while self.ends and self.ends[0][0] <= now:
            self.counted(now, heappop(self.ends)[1], 0)
        return self.held.setdefault(key, Held())

    def granted(self, now: float, key: Key, mark: int, until: float, part: int, least: int) -> None:
        self.held[key].grants[mark] = until, part
        heappush(self.ends, (until, key))
        self.counted(now, key, least)

    def counted(self, now: float, key: Key, least: int) -> None:
        """Its parts in the sums, as they are now; `least`: what a want counts at least, 0: as before."""
        held = self.held.get(key)
        if held is None:
            return
        held.grants = {mark: one for mark, one in held.grants.items() if one[0] > now}
        live = held.live(now)
        wanted = (
            0
            if not held.grants
            else max(held.want, least)
            if least and held.want
            else (held.wanted if held.want else 0)
        )
        self.live += live - held.counted
        self.wants += wanted - held.wanted
        held.counted, held.wanted = live, wanted


class QuotaAllocator:
    """The coordinator's side, for one office. `seats`: all that may have anything; `beside`: contracts that
    go through the fleet by stages, so that some nodes go by these and others by `offer`. Then each node gets
    its part of the whole of its own contracts, and all together never more than the larger whole: a budget
    that is far too small shows at the nodes on it alone, and is compared there."""

    def __init__(
        self,
        now: float,
        terms: QuotaPolicy,
        offer: ContractSet,
        seats: Callable[[], list[int]],
        beside: ContractSet | None = None,
    ):
        self.terms, self.seats = terms, seats
        self._take(offer, beside)
        self.books: dict[int, Book] = {}
        self.renews_until = 0.0
        self.renews: dict[str, None] | None = None  # the teams that are only renewed; None: all
        self.turns: dict[int, tuple[int, int, dict[int, None]]] = {}  # by seat: life, first mark, marks
        self.told: dict[int, None] = {}  # seats that told all that they have
        self._begin(now)

    def _take(self, offer: ContractSet, beside: ContractSet | None) -> None:
        self.sides = {one.check: one for one in (offer, beside) if one is not None}
        names = dict.fromkeys(name for one in self.sides.values() for name in one.names)
        self.numbers = {name: number for number, name in enumerate(names)}  # of the books
        self.wholes = dict.fromkeys(names, 0)
        for one in self.sides.values():
            for name, whole in zip(one.names, one.wholes, strict=True):
                self.wholes[name] = max(self.wholes[name], whole)

    def _begin(self, now: float) -> None:
        """Whatever was granted before is over by then, by any clock."""
        self.renews_until = now + self.terms.length * (1 + self.terms.drift) / (1 - self.terms.drift)
        self.turns, self.told = {}, {}

    def changed(self, now: float, offer: ContractSet, beside: ContractSet | None = None) -> None:
        """Other contracts. What is out of a team goes on counting under its number in the new ones, and
        waits out a whole that got smaller; what is out of teams that are gone ends by itself. A team that is
        gone and comes again may have parts out that no book knows: nothing new until those are over."""
        before, books = self.numbers, self.books
        self._take(offer, beside)
        self.books = {
            self.numbers[name]: books[number]
            for name, number in before.items()
            if name in self.numbers and number in books
        }
        if now >= self.renews_until or self.renews is not None:
            # By name: those that still wait from a change just before have other numbers by now.
            waiting = self.renews if now < self.renews_until else {}
            self.renews = waiting | {name: None for name in self.numbers if name not in before}
        self._begin(now)

    def _heard(self, seat: int, generation: int, got: QuotaRequest) -> None:
        """Once all seats have told all that they have, nothing is out that no book knows."""
        if seat in self.told or not got.first <= got.mark <= got.last:
            return
        before = self.turns.get(seat)
        marks = before[2] if before is not None and before[:2] == (generation, got.first) else {}
        marks[got.mark] = None
        self.turns[seat] = generation, got.first, marks
        if len(marks) == got.last - got.first + 1:
            self.told[seat] = None
            if all(other in self.told for other in self.seats()):
                self.renews_until = 0.0

    def want_came(self, now: float, seat: int, generation: int, got: QuotaRequest) -> QuotaGrant | None:
        side = self.sides.get(got.check)
        if side is None:
            return None
        rows = []
        for team, want, ago, has in got.rows:
            if team < len(side.wholes):
                part = self._deal(
                    now,
                    (seat, generation),
                    got.mark,
                    side.names[team],
                    side.wholes[team],
                    want,
                    got.mark - ago,
                    has,
                )
                if part is not None:
                    rows.append((team, part))
        if now < self.renews_until:
            self._heard(seat, generation, got)
        return QuotaGrant(got.mark, got.check, int(self.terms.length * 1e3), rows) if rows else None

    def _deal(
        self, now: float, key: Key, mark: int, name: str, whole: int, want: int, acts_on: int, has: int
    ) -> int | None:
        """`whole`: by the contracts that this node goes by."""
        team = self.numbers[name]
        book = self.books.setdefault(team, Book())
        held = book.of(now, key)
        if mark <= held.mark:
            return None  # a question that was doubled, or overtaken: its answer would be an older one
        held.mark, held.want = mark, want
        held.grants = {at: one for at, one in held.grants.items() if at >= acts_on}
        renews = now < self.renews_until and (self.renews is None or name in self.renews)
        if renews and has and acts_on not in held.grants:
            held.grants[acts_on] = now + self.terms.length, has  # granted by one before; over by then
            heappush(book.ends, (now + self.terms.length, key))
        least = max(int(whole * LEAST), 1)
        book.counted(now, key, least)
        if not want and not has:
            if not held.grants:
                del book.held[key]
            if not book.held:
                del self.books[team]
            return None
        # What others still have is theirs until it is over, whatever the division says by now.
        room = self.wholes[name] - (book.live - held.counted)
        # Of what was granted before nobody here knows the rest: no more is given than each has, and no less,
        # or with every swing of its want a node would lose what it cannot get back.
        due = (has if want else 0) if renews else self._due(book, held, whole, least)
        part = max(min(due, room), 0)
        book.granted(now, key, mark, now + self.terms.length, part, least)
        return part

    def _due(self, book: Book, mine: Held, whole: int, least: int) -> int:
        """In proportion to wants, whatever they sum to, and not far above one's own: the rest stays for those
        who begin. A node that wants anything counts with a least want, or it would never begin."""
        if not mine.want:
            return 0
        my = max(mine.want, least)
        return min(int(my * SPARE), whole * my // (book.wants - mine.wanted + my))


def section(offer: ContractSet, beside: ContractSet | None = None) -> dict[str, Any]:
    """Of the plan: which contracts are in force, and which go through the fleet beside them."""
    told: dict[str, Any] = {"version": offer.version, "check": offer.check}
    return told | {"beside": [beside.version, beside.check]} if beside is not None else told


def in_force(told: Any) -> tuple[int, int]:
    """Version and checksum of the contracts in force by the plan; 0: none."""
    try:
        return int(told["version"]), int(told["check"])
    except (KeyError, TypeError, ValueError):
        return 0, 0


def beside(told: Any) -> tuple[int, int]:
    """The same of those that nodes go over to which a change names; 0: none."""
    try:
        version, check = told["beside"]
        return int(version), int(check)
    except (KeyError, TypeError, ValueError):
        return 0, 0
