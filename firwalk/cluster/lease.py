"""One coordinator at a time: a lease that a majority of voters grants, without a disk.

Source: Trencseni, Gazso, Reinhardt, "PaxosLease: Diskless Paxos for Leases" (arXiv:1209.4187). Departures,
all on the safe side: `docs/cluster.md`. Lengths are seconds on each node's own clock; clocks run at most
`drift` off.

No I/O; a method for each thing that can happen, with the time first; acts through `cluster.host.Host`.
"""

from __future__ import annotations

from collections.abc import Callable

from firwalk.cluster.host import Host
from firwalk.cluster.messages import NOBODY, Accept, Ballot, Prepare, Promise, Propose, Refuse, Release
from firwalk.cluster.random_source import RandomSource

RENEWALS = 3  # in one length
TURN = 0.1  # of a length: how far the first tries after a lease's end are spread
BACK_OFF = 0.15  # of a length: after a try that came to nothing, twice as much each time
MOST_BACK_OFF = 1.0  # of a length
ROUND = 0.25  # of a length: in which a try must have come to its end
MOST_AHEAD = 2**32  # counts that a stranger's ballot may be ahead: a wild one must not use them all up


class Acceptor:
    """`length`: the longest lease that this voter grants. It has no memory of a life before, so it grants
    nothing until all that it may have granted then is over by any clock."""

    def __init__(self, host: Host, generation: int, now: float, *, length: float, drift: float):
        self.host, self.generation, self.length = host, generation, length
        self.quiet_until = now + length * (1 + drift) / (1 - drift)
        self.promised, self.accepted, self.last = NOBODY, NOBODY, NOBODY
        self.accepted_until = 0.0

    def holder(self, now: float) -> Ballot | None:
        """The ballot that holds here now, if one does."""
        return self.accepted if self.accepted != NOBODY and now < self.accepted_until else None

    def prepare_came(self, now: float, sender: int, ballot: Ballot) -> None:
        if now < self.quiet_until or ballot <= self.promised:
            self.host.tell(sender, Refuse(ballot, self.promised))
            return
        self.promised = ballot
        self.host.tell(sender, Promise(ballot, self.holder(now)))

    def propose_came(self, now: float, sender: int, message: Propose) -> None:
        """A promise is this life's only; a ballot accepted once is not accepted again, however often it
        arrives; a length beyond the own one would outlive the silence after a restart."""
        ballot = message.ballot
        if (
            now < self.quiet_until
            or message.generation != self.generation
            or ballot < self.promised
            or ballot <= self.last
            or message.length > self.length * 1e3
        ):
            self.host.tell(sender, Refuse(ballot, max(self.promised, self.last)))
            return
        self.promised = self.accepted = self.last = ballot
        self.accepted_until = now + message.length / 1e3
        self.host.tell(sender, Accept(ballot))

    def release_came(self, now: float, ballot: Ballot) -> None:
        if ballot == self.accepted:
            self.accepted = NOBODY


class Proposer:
    """The side that wants the lease, holds it and renews it. `until` is on the own clock and on the safe
    side; whoever acts as holder asks `holds` at that very moment, since a process may have slept."""

    def __init__(
        self,
        host: Host,
        seat: int,
        generation: int,
        voters: list[int],
        voter: Acceptor,
        chance: RandomSource,
        *,
        length: float,
        drift: float,
    ):
        self.host, self.seat, self.generation, self.voters, self.voter = host, seat, generation, voters, voter
        self.chance, self.length = chance, length
        self.own = length * (1 - drift) / (1 + drift)
        self.count = 0
        self.ballot: Ballot = NOBODY  # of the try under way, or the last one
        self.open: dict[int, None] = {}  # voters that have nothing against it
        self.granted: dict[int, None] = {}
        self.proposing, self.began, self.until = False, 0.0, 0.0
        self.held: Ballot = NOBODY  # the last one that a majority accepted
        self.term: Ballot = NOBODY  # the one that this holding, or its office, began with
        self.tries, self.active = 0, True
        self.won: Callable[[float], None] = lambda now: None
        self.lost: Callable[[float], None] = lambda now: None
        self.busy_with: Callable[[Ballot], None] = lambda ballot: None

    def start(self, now: float) -> None:
        self.host.set_timer(now + self.length * (1 + TURN * self.chance.part()), self._look, None)

    def holds(self, now: float) -> bool:
        return now < self.until

    def met(self, ballot: Ballot) -> None:
        """Somebody's ballot: the next own one is above it."""
        if ballot[0] <= self.count + MOST_AHEAD:
            self.count = max(self.count, ballot[0])

    # -- tries -------------------------------------------------------------------------------------------

    def _look(self, now: float, _: object) -> None:
        """Comes again and again: tries when nobody seems to hold the lease, or to renew the own one."""
        if not self.active:
            return
        if self.term != NOBODY and not self.holds(now):
            self._lose(now)
        again = now + self.length / RENEWALS
        if self.holds(now):
            self._try(now)
        else:
            held = self.voter.holder(now)
            if held is not None and held[1:] != (self.seat, self.generation):
                self.busy_with(held)
                again = self.voter.accepted_until + TURN * self.length * self.chance.part()
                self.tries = 0
            else:
                self._try(now)
                self.tries += 1
                again = now + self.length * (
                    ROUND + min(BACK_OFF * 2 ** min(self.tries, 8), MOST_BACK_OFF) * self.chance.part()
                )
        self.host.set_timer(max(again, now + self.length / 100), self._look, None)
        if self.holds(now):
            self.host.set_timer(self.until, self._end, self.until)

    def _try(self, now: float) -> None:
        self.count = max(self.count, self.voter.promised[0]) + 1
        self.ballot = (self.count, self.seat, self.generation)
        self.open, self.granted, self.proposing = {}, {}, False
        for seat in self.voters:
            self.host.tell(seat, Prepare(self.ballot))

    def _majority(self, of: dict[int, None]) -> bool:
        return len(of) > len(self.voters) // 2

    def promise_came(self, now: float, sender: int, generation: int, message: Promise) -> None:
        if message.accepted is not None:
            self.met(message.accepted)
        if message.ballot != self.ballot or sender not in self.voters or not self.active:
            return
        if message.accepted is not None and message.accepted[1:] != (self.seat, self.generation):
            self.busy_with(message.accepted)
            return
        self.open[sender] = generation
        if self.proposing:
            self._propose(sender, generation)
        elif self._majority(self.open):
            # Counted from before the first proposal is sent: each voter's own time begins later.
            self.proposing, self.began = True, now
            for seat, its_life in self.open.items():
                self._propose(seat, its_life)

    def _propose(self, seat: int, generation: int) -> None:
        self.host.tell(seat, Propose(self.ballot, int(self.length * 1e3), generation))

    def refuse_came(self, now: float, message: Refuse) -> None:
        self.met(message.highest)

    def accept_came(self, now: float, sender: int, message: Accept) -> None:
        if not self.active or message.ballot != self.ballot or not self.proposing or sender not in self.open:
            return
        self.granted[sender] = None
        until = self.began + self.own
        if not self._majority(self.granted) or until <= max(self.until, now):
            return
        new = not self.holds(now)
        if new and self.term != NOBODY:
            self._lose(now)
        self.until, self.tries, self.held = until, 0, self.ballot
        if new:
            self.term = self.ballot
        self.host.event("lease", ballot=self.ballot, term=self.term, left=until - now, until=until)
        self.host.set_timer(until, self._end, until)
        if new:
            self.won(now)

    # -- ends --------------------------------------------------------------------------------------------

    def _end(self, now: float, until: float) -> None:
        if self.until <= now and self.term != NOBODY:
            self._lose(now)

    def _lose(self, now: float) -> None:
        term, self.term = self.term, NOBODY
        self.host.event("lease_lost", term=term)
        self.lost(now)

    def renew_above(self, now: float, ballot: Ballot) -> None:
        """Somebody follows a plan of a higher term than this one's: the office begins anew above it."""
        self.met(ballot)
        if self.holds(now):
            self._try(now)

    def begin_term(self, now: float) -> None:
        """The lease goes on, and the office begins anew with the last ballot that was granted."""
        self.term = self.held

    def release(self, now: float) -> None:
        """Gives the lease back; only after the own view of it is over does anybody hear of it."""
        held, self.until, self.active = self.holds(now), 0.0, False
        if held:
            self._lose(now)
            for seat in self.voters:
                self.host.tell(seat, Release(self.held))
