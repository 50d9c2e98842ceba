"""One plan that all nodes follow: taken over whole or not at all, never an older one, for a stated time.

A plan is known by (term, version): the ballot with which its writer came into office, and the count of its
changes (Lamport, "Paxos Made Simple", 2001, for ballots). Its sections are JSON by name; each part of the
cluster reads its own. Times are seconds on the own clock, counted from the follower's own question (Gray and
Cheriton, "Leases", SOSP 1989).

No I/O; a method for each thing that can happen, with the time first; acts through `cluster.host.Host`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from zlib import crc32

import msgspec

from firwalk.cluster.host import Host
from firwalk.cluster.lease import MAX_AHEAD, Proposer
from firwalk.cluster.messages import MAX_PIECES, NOBODY, PIECE_BYTES, Answer, Ballot, Fetch, Piece, Report
from firwalk.cluster.random_source import RandomSource

Stamp = tuple[Ballot, int]
NONE: Stamp = (NOBODY, 0)
MARKS = 32  # questions whose time is kept
GATHER = 2.0  # reports that a new coordinator waits for what others follow, at least
GATHER_MOST = 6.0  # and at most
AT_A_TIME = 16  # followers that a change is sent to, then a pause
PAUSE = 0.005  # seconds


class PlanTooLarge(Exception):
    """A plan that does not fit its pieces; nothing of it was taken."""


def encoded(sections: dict[str, Any]) -> bytes:
    """TooLong; the same bytes for the same sections, whatever their order."""
    text = msgspec.json.encode(sections, order="deterministic")
    if len(text) > MAX_PIECES * PIECE_BYTES:
        raise PlanTooLarge(f"a plan of {len(text)} bytes; the most is {MAX_PIECES * PIECE_BYTES}")
    return text


def pieces(stamp: Stamp, text: bytes) -> list[Piece]:
    parts = [text[at : at + PIECE_BYTES] for at in range(0, len(text), PIECE_BYTES)] or [b""]
    return [Piece(*stamp, number, len(parts), crc32(text), part) for number, part in enumerate(parts)]


class PlanAssembly:
    """A plan that is put together, beside the one that is followed."""

    def __init__(self, first: Piece):
        self.stamp: Stamp = (first.term, first.version)
        self.count, self.check, self.got = first.count, first.check, {}

    def add(self, piece: Piece) -> None:
        if piece.count == self.count and piece.check == self.check and piece.number < self.count:
            self.got[piece.number] = piece.data

    def mask(self) -> int:
        return sum(1 << number for number in self.got)

    def whole(self) -> bytes | None:
        if len(self.got) < self.count:
            return None
        text = b"".join(self.got[number] for number in range(self.count))
        return text if crc32(text) == self.check else None


class PlanFollower:
    """`report`: seconds between questions to the coordinator; `hold`: seconds for which an answer is good."""

    def __init__(self, host: Host, seat: int, chance: RandomSource, *, report: float, hold: float):
        self.host, self.seat, self.chance, self.report, self.hold = host, seat, chance, report, hold
        self.stamp: Stamp = NONE
        self.text, self.sections = b"{}", {}
        self.until, self.taken_at, self.over = 0.0, 0.0, True
        self.office: Ballot = NOBODY  # the newest coordinator's term that was heard of
        self.parts: PlanAssembly | None = None
        self.mark, self.marks = chance.uint32(), {}
        self.good_from: dict[Stamp, float] = {}  # plans that were in force then, by the coordinator's answer
        self.hurried: Stamp = NONE  # the plan for which it asked out of turn
        self.changed: Callable[[float], None] = lambda now: None

    def start(self, now: float) -> None:
        self.host.set_timer(now + self.chance.fraction() * self.report, self._report, None)

    # -- what holds --------------------------------------------------------------------------------------

    def now_in_force(self, now: float) -> dict[str, Any] | None:
        """The sections, or None: then the stated local behaviour of each."""
        return self.sections if self.stamp != NONE and now < self.until else None

    def take(self, now: float, stamp: Stamp, text: bytes, since: float) -> bool:
        """Changes over to a newer plan whole; False, and nothing is changed: it is older, or no plan."""
        if stamp <= self.stamp:
            return False
        try:
            sections = msgspec.json.decode(text)
        except msgspec.DecodeError:
            sections = None
        if not isinstance(sections, dict):
            self.host.event("plan_unreadable", term=stamp[0], version=stamp[1])
            return False
        self.stamp, self.text, self.sections, self.taken_at = stamp, text, sections, now
        self.office = max(self.office, stamp[0])
        self.until, self.over, self.parts = since + self.hold, False, None
        self.good_from = {at: good for at, good in self.good_from.items() if at > stamp}
        self._tell(now)
        return True

    def _tell(self, now: float) -> None:
        """The sum is of what is followed, not of the bytes that came: checked against what was written."""
        self.host.event(
            "plan",
            term=self.stamp[0],
            version=self.stamp[1],
            check=crc32(encoded(self.sections)),
            left=self.until - now,
        )
        self._watch(now)
        self.changed(now)

    def _watch(self, now: float) -> None:
        self.host.set_timer(max(self.until, now), self._end, self.until)

    def _end(self, now: float, until: float) -> None:
        if not self.over and until == self.until:
            self.over = True
            self.host.event("plan_over", term=self.stamp[0], version=self.stamp[1])
            self.changed(now)

    def confirmed(self, now: float, since: float) -> None:
        """What is followed was in force at that time."""
        if since + self.hold <= self.until:
            return
        self.until = since + self.hold
        if self.over and now < self.until:
            self.over = False
            self._tell(now)
        else:
            self._watch(now)

    # -- what comes --------------------------------------------------------------------------------------

    def office_heard(self, now: float, term: Ballot) -> None:
        if self.office < term and term[0] <= self.office[0] + MAX_AHEAD:
            self.office = term
            if term[1] != self.seat:
                self.ask(now)

    def _report(self, now: float, _: None) -> None:
        if self.office != NOBODY and self.office[1] != self.seat:
            self.ask(now)
        self.host.set_timer(now + self.report * (0.9 + 0.2 * self.chance.fraction()), self._report, None)

    def ask(self, now: float) -> None:
        self.mark += 1
        self.marks[self.mark] = now
        self.marks.pop(self.mark - MARKS, None)
        parts = self.parts
        self.host.tell(
            self.office[1],
            Report(self.mark, *self.stamp, *(parts.stamp if parts else NONE), parts.mask() if parts else 0),
        )

    def answer_came(self, now: float, sender: int, message: Answer) -> None:
        if message.term[1] != sender:
            return
        self.office_heard(now, message.term)
        since, stamp = self.marks.pop(message.mark, None), (message.term, message.version)
        if since is None:
            return
        if stamp == self.stamp:
            self.confirmed(now, since)
        elif stamp > self.stamp:
            self.good_from[stamp] = max(since, self.good_from.get(stamp, 0.0))
            self._complete(now)

    def piece_came(self, now: float, piece: Piece) -> None:
        stamp = (piece.term, piece.version)
        if stamp <= self.stamp:
            return
        if self.parts is None or stamp > self.parts.stamp:
            self.parts = PlanAssembly(piece)
        if stamp == self.parts.stamp:
            self.parts.add(piece)
            self._complete(now)

    def _complete(self, now: float) -> None:
        """Only with an answer to an own question is it known for how long it holds."""
        if self.parts is None:
            return
        text, since = self.parts.whole(), self.good_from.get(self.parts.stamp)
        if text is None and len(self.parts.got) == self.parts.count:
            self.parts = None  # spoilt on the way: asked for anew
        elif text is not None and since is not None:
            self.take(now, self.parts.stamp, text, since)
        elif text is not None and self.hurried < self.parts.stamp and self.office == self.parts.stamp[0]:
            self.hurried = self.parts.stamp  # whole, and half a report's wait on the mean until the next turn
            self.ask(now)

    def fetch_came(self, now: float, sender: int, message: Fetch) -> None:
        if (message.term, message.version) == self.stamp:
            for piece in pieces(self.stamp, self.text):
                self.host.tell(sender, piece)


class PlanPublisher:
    """The coordinator's side; idle at all nodes but the one that holds the lease."""

    def __init__(
        self,
        host: Host,
        candidate: Proposer,
        follower: PlanFollower,
        chance: RandomSource,
        up: Callable[[], list[int]],
    ):
        self.host, self.candidate, self.follower, self.chance, self.up = host, candidate, follower, chance, up
        self.version = 0  # 0: not written anything yet
        self.sections: dict[str, Any] = {}
        self.text = b"{}"
        self.newest: Stamp = NONE  # of what others follow
        self.fetched: tuple[Stamp, bytes] | None = None
        self.parts: PlanAssembly | None = None
        self.began_at = 0.0
        self.asked: dict[str, Any] = {}  # changes that wait for the first plan
        self.follows: dict[int, Stamp] = {}  # by seat, as last reported
        self.opened: Callable[[float], None] = lambda now: None

    def in_office(self, now: float) -> bool:
        return self.candidate.is_holder(now) and self.candidate.term != NOBODY

    def stamp(self) -> Stamp:
        return self.candidate.term, self.version

    # -- coming into office ------------------------------------------------------------------------------

    def won(self, now: float) -> None:
        self.version, self.parts, self.fetched, self.follows = 0, None, None, {}
        self.newest, self.began_at = self.follower.stamp, now
        self.follower.office_heard(now, self.candidate.term)
        self.host.event("coordinator", term=self.candidate.term)
        for seat in self.up():  # they report at once
            if seat != self.follower.seat:
                self.host.tell(seat, Answer(0, self.candidate.term, 0))
        self.host.set_timer(now + GATHER * self.follower.report, self._open, self.candidate.term)

    def lost(self, now: float) -> None:
        self.version = 0

    def _open(self, now: float, term: Ballot) -> None:
        """The first plan of the office, with all that the newest one known of says."""
        if not self.in_office(now) or self.candidate.term != term or self.version:
            return
        known = max(self.newest, self.follower.stamp)
        late = now > self.began_at + GATHER_MOST * self.follower.report
        if max(known[0], self.follower.office) > term or known[0] == term:
            self._raise(now, max(known[0], self.follower.office))
            return
        if known > self.follower.stamp and not (self.fetched and self.fetched[0] == known) and not late:
            self.host.set_timer(now + self.follower.report / 2, self._open, term)
            return
        best = max([(self.follower.stamp, self.follower.text)] + ([self.fetched] if self.fetched else []))
        self.sections = msgspec.json.decode(best[1])
        self.sections |= self.asked
        self.asked = {}
        self._write(now)
        self.opened(now)

    def _raise(self, now: float, above: Ballot) -> None:
        """The voters forgot, and others did not: the office begins anew, above what these know of."""
        if self.candidate.held_ballot > above:
            self.candidate.begin_term(now)
            self.follower.office_heard(now, self.candidate.term)
            self.host.event("coordinator", term=self.candidate.term)
        else:
            self.candidate.renew_above(now, above)
        self.host.set_timer(now + self.follower.report / 2, self._open, self.candidate.term)

    def office_heard(self, now: float, term: Ballot) -> None:
        """While this one holds the lease, nobody came into office after it: a higher term is a ghost's."""
        if self.version and self.in_office(now) and term > self.candidate.term:
            self.version, self.began_at = 0, now
            self._raise(now, term)

    def report_came(self, now: float, sender: int, message: Report) -> None:
        if not self.in_office(now):
            return
        stamp = (message.term, message.version)
        self.follows[sender] = stamp
        if not self.version:
            self._learn(sender, stamp)
        elif stamp > self.stamp():
            self._below(now, sender, stamp)
        else:
            self.host.tell(sender, Answer(message.mark, *self.stamp()))
            if stamp < self.stamp():
                has = message.pieces if (message.next_term, message.next_version) == self.stamp() else 0
                self._send(sender, has)

    def _learn(self, sender: int, stamp: Stamp) -> None:
        if stamp > max(self.newest, self.follower.stamp):
            self.newest, self.parts = stamp, None
        if stamp == self.newest and stamp > self.follower.stamp and self.fetched is None:
            self.host.tell(sender, Fetch(*stamp))

    def _below(self, now: float, sender: int, stamp: Stamp) -> None:
        """Somebody follows a newer plan than this coordinator wrote: the office begins anew, above it."""
        if stamp > self.newest:
            self.newest, self.fetched, self.parts = stamp, None, None
        self.version, self.began_at = 0, now
        self.host.tell(sender, Fetch(*stamp))
        self._raise(now, stamp[0])

    def piece_came(self, now: float, piece: Piece) -> None:
        """A piece of what others follow, fetched."""
        stamp = (piece.term, piece.version)
        if self.version or stamp != self.newest or not self.in_office(now):
            return
        self.parts = self.parts or PlanAssembly(piece)
        self.parts.add(piece)
        text = self.parts.whole()
        if text is not None:
            self.fetched = (stamp, text)

    # -- writing -----------------------------------------------------------------------------------------

    def set(self, now: float, name: str, section: Any) -> bool:
        return self.put(now, {name: section})

    def put(self, now: float, changes: dict[str, Any]) -> bool:
        """Changes sections, all in one version; False: not in office. TooLong, and nothing is changed."""
        if not self.in_office(now):
            return False
        sections = self.sections | changes
        if not self.version:
            self.asked |= changes
        elif sections != self.sections:
            encoded(sections)
            self.sections = sections
            self._write(now)
        return True

    def _write(self, now: float) -> None:
        text = encoded(self.sections)
        self.version, self.text = self.version + 1, text
        self.follower.take(now, self.stamp(), text, now)
        self.host.event("wrote", term=self.candidate.term, version=self.version, check=crc32(text))
        others = [seat for seat in self.up() if seat != self.follower.seat]
        self._spread(now, (self.stamp(), self.chance.shuffled(others)))

    def _spread(self, now: float, about: tuple[Stamp, list[int]]) -> None:
        """A few at a time: all at once would overflow what the machine holds of datagrams."""
        stamp, others = about
        if not self.in_office(now) or stamp != self.stamp():
            return
        for seat in others[:AT_A_TIME]:
            if self.follows.get(seat, NONE) < stamp:
                self._send(seat, 0)
        if others[AT_A_TIME:]:
            self.host.set_timer(now + PAUSE, self._spread, (stamp, others[AT_A_TIME:]))

    def _send(self, seat: int, has: int) -> None:
        for piece in pieces(self.stamp(), self.text):
            if not has >> piece.number & 1:
                self.host.tell(seat, piece)

    def keep(self, now: float) -> None:
        """The writer follows its own plan for as long as it is in office."""
        if self.version and self.in_office(now):
            self.follower.confirmed(now, now)
