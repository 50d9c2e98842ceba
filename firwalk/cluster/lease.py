"""Leader election by a lease that a majority of acceptors grants, without stable storage.

Source: Trencseni, Gazso, Reinhardt, "PaxosLease: Diskless Paxos for Leases" (arXiv:1209.4187). Departures,
all on the safe side, are listed in `docs/cluster.md`. Durations are seconds on each node's own clock; the
rates of two clocks differ by at most `drift`.

No I/O: each kind of event is a method with the current time as its first parameter, and effects go through
`firwalk.cluster.host.Host`.
"""

from __future__ import annotations

from collections.abc import Callable, Sized

from firwalk.cluster.host import Host
from firwalk.cluster.messages import NO_BALLOT, Accept, Ballot, Prepare, Promise, Propose, Refuse, Release
from firwalk.cluster.random_source import RandomSource

MS_PER_S = 1e3
RENEWALS_PER_LEASE = 3
MAX_CHECKS_PER_LEASE = 100
# Proposers that start when a lease has expired are spread over this fraction of a lease.
FIRST_ROUND_JITTER = 0.1
ROUND_TIMEOUT = 0.25  # A round that has not succeeded after this fraction of a lease has failed.
# The random backoff is at most this fraction of a lease, doubled with each failed round.
BACKOFF_BASE = 0.15
MAX_BACKOFF = 1.0  # The random backoff never exceeds this fraction of a lease.
MAX_BACKOFF_DOUBLINGS = 8
# One message may raise the ballot number by at most this much, so that a corrupt one cannot exhaust it.
MAX_BALLOT_SKIP = 2**32


class Acceptor:
    """Grants leases of at most `lease_s` seconds.

    It stores nothing across restarts. After a start it therefore refuses every ballot until each lease
    that it may have granted before has expired on any clock.
    """

    def __init__(self, host: Host, generation: int, now: float, *, lease_s: float, drift: float) -> None:
        self.host = host
        self.generation = generation
        self.lease_s = lease_s
        self.silent_until = now + lease_s * (1 + drift) / (1 - drift)
        self.promised = NO_BALLOT
        self.accepted = NO_BALLOT
        self.last_accepted = NO_BALLOT
        self.accepted_until = 0.0

    def lease_holder(self, now: float) -> Ballot | None:
        """Return the ballot whose lease is in force here, if there is one."""
        return self.accepted if self.accepted != NO_BALLOT and now < self.accepted_until else None

    def on_prepare(self, now: float, sender: int, ballot: Ballot) -> None:
        """Promise to accept no lower ballot, or refuse."""
        if now < self.silent_until or ballot <= self.promised:
            self.host.send(sender, Refuse(ballot, self.promised))
            return
        self.promised = ballot
        self.host.send(sender, Promise(ballot, self.lease_holder(now)))

    def on_propose(self, now: float, sender: int, message: Propose) -> None:
        """Grant the lease, or refuse."""
        ballot = message.ballot
        if not self._can_accept(now, message):
            self.host.send(sender, Refuse(ballot, max(self.promised, self.last_accepted)))
            return
        self.promised = ballot
        self.accepted = ballot
        self.last_accepted = ballot
        self.accepted_until = now + message.lease_ms / MS_PER_S
        self.host.send(sender, Accept(ballot))

    def _can_accept(self, now: float, message: Propose) -> bool:
        """Return whether a proposal may be accepted.

        A promise binds only the generation of the acceptor that gave it. A duplicate must not prolong the
        lease. A lease longer than `lease_s` could outlast the refusals that follow a restart.
        """
        return (
            now >= self.silent_until
            and message.generation == self.generation
            and message.ballot >= self.promised
            and message.ballot > self.last_accepted
            and message.lease_ms <= self.lease_s * MS_PER_S
        )

    def on_release(self, now: float, ballot: Ballot) -> None:
        """Free a lease that its holder returned early."""
        if ballot == self.accepted:
            self.accepted = NO_BALLOT


class Proposer:
    """Acquires, renews and releases the lease.

    `held_until`: end of the lease by this node's clock, allowing for drift. Callers that act as the leader
    check `is_holder` immediately before they act, since the process may have been suspended.
    """

    def __init__(
        self,
        host: Host,
        node_id: int,
        generation: int,
        voters: list[int],
        acceptor: Acceptor,
        random_source: RandomSource,
        *,
        lease_s: float,
        drift: float,
    ) -> None:
        self.host = host
        self.node_id = node_id
        self.generation = generation
        self.voters = voters
        self.acceptor = acceptor
        self.random_source = random_source
        self.lease_s = lease_s
        self.safe_lease_s = lease_s * (1 - drift) / (1 + drift)
        self.ballot_number = 0
        self.ballot: Ballot = NO_BALLOT  # Ballot of the current or last round.
        self.promises: dict[int, int] = {}  # Generation of each acceptor that promised, by node id.
        self.accepts: dict[int, None] = {}
        self.is_proposing = False
        self.proposing_since = 0.0
        self.held_until = 0.0
        self.held_ballot: Ballot = NO_BALLOT  # Ballot that a majority accepted last.
        self.term: Ballot = NO_BALLOT  # Ballot with which the current term began.
        self.failed_rounds = 0
        self.is_active = True
        self.on_acquired: Callable[[float], None] = lambda now: None
        self.on_lost: Callable[[float], None] = lambda now: None

    def start(self, now: float) -> None:
        """Start competing for the lease once any lease granted before has expired."""
        first_check_at = now + self.lease_s * (1 + FIRST_ROUND_JITTER * self.random_source.fraction())
        self.host.set_timer(first_check_at, self._check, None)

    def is_holder(self, now: float) -> bool:
        """Return whether this node holds the lease at this moment."""
        return now < self.held_until

    def observe_ballot(self, ballot: Ballot) -> None:
        """Record another node's ballot; this node's next ballot is above it."""
        if ballot[0] <= self.ballot_number + MAX_BALLOT_SKIP:
            self.ballot_number = max(self.ballot_number, ballot[0])

    # -- rounds ------------------------------------------------------------------------------------------

    def _check(self, now: float, _: object) -> None:
        """Renew the lease periodically, or compete for it when no other node seems to hold it."""
        if not self.is_active:
            return
        if self.term != NO_BALLOT and not self.is_holder(now):
            self._step_down(now)
        next_check = self._renew_or_compete(now)
        self.host.set_timer(max(next_check, now + self.lease_s / MAX_CHECKS_PER_LEASE), self._check, None)
        if self.is_holder(now):
            self.host.set_timer(self.held_until, self._expire, self.held_until)

    def _renew_or_compete(self, now: float) -> float:
        """Start a round if one is due; return the time of the next check."""
        if self.is_holder(now):
            self._start_round(now)
            return now + self.lease_s / RENEWALS_PER_LEASE
        holder = self.acceptor.lease_holder(now)
        if holder is not None and not self._is_own(holder):
            self.failed_rounds = 0
            jitter_s = FIRST_ROUND_JITTER * self.lease_s * self.random_source.fraction()
            return self.acceptor.accepted_until + jitter_s
        self._start_round(now)
        self.failed_rounds += 1
        backoff: float = min(BACKOFF_BASE * 2 ** min(self.failed_rounds, MAX_BACKOFF_DOUBLINGS), MAX_BACKOFF)
        return now + self.lease_s * (ROUND_TIMEOUT + backoff * self.random_source.fraction())

    def _start_round(self, now: float) -> None:
        self.ballot_number = max(self.ballot_number, self.acceptor.promised[0]) + 1
        self.ballot = (self.ballot_number, self.node_id, self.generation)
        self.promises = {}
        self.accepts = {}
        self.is_proposing = False
        for node_id in self.voters:
            self.host.send(node_id, Prepare(self.ballot))

    def _is_own(self, ballot: Ballot) -> bool:
        return ballot[1:] == (self.node_id, self.generation)

    def _is_quorum(self, supporters: Sized) -> bool:
        return len(supporters) > len(self.voters) // 2

    def on_promise(self, now: float, sender: int, generation: int, message: Promise) -> None:
        """Send the proposals once a quorum has promised; a later promise gets its proposal at once."""
        if message.accepted is not None:
            self.observe_ballot(message.accepted)
        if message.ballot != self.ballot or sender not in self.voters or not self.is_active:
            return
        if message.accepted is not None and not self._is_own(message.accepted):
            return
        self.promises[sender] = generation
        if self.is_proposing:
            self._propose(sender, generation)
        elif self._is_quorum(self.promises):
            # The lease counts from before the first proposal is sent: each acceptor's grant begins later.
            self.is_proposing = True
            self.proposing_since = now
            for node_id, acceptor_generation in self.promises.items():
                self._propose(node_id, acceptor_generation)

    def _propose(self, node_id: int, generation: int) -> None:
        self.host.send(node_id, Propose(self.ballot, int(self.lease_s * MS_PER_S), generation))

    def on_refuse(self, now: float, message: Refuse) -> None:
        """Record the higher ballot that the acceptor has seen."""
        self.observe_ballot(message.highest)

    def on_accept(self, now: float, sender: int, message: Accept) -> None:
        """Count an accept; with a quorum of them this node holds the lease."""
        if not self.is_active or message.ballot != self.ballot:
            return
        if not self.is_proposing or sender not in self.promises:
            return
        self.accepts[sender] = None
        until = self.proposing_since + self.safe_lease_s
        if self._is_quorum(self.accepts) and until > max(self.held_until, now):
            self._hold_lease(now, until)

    def _hold_lease(self, now: float, until: float) -> None:
        """Record a lease acquired or renewed, and begin a term if it is new."""
        is_new = not self.is_holder(now)
        if is_new and self.term != NO_BALLOT:
            self._step_down(now)
        self.held_until = until
        self.failed_rounds = 0
        self.held_ballot = self.ballot
        if is_new:
            self.term = self.ballot
        self.host.event("lease", ballot=self.ballot, term=self.term, left=until - now, until=until)
        self.host.set_timer(until, self._expire, until)
        if is_new:
            self.on_acquired(now)

    # -- the end of a lease ------------------------------------------------------------------------------

    def _expire(self, now: float, until: float) -> None:
        if self.held_until <= now and self.term != NO_BALLOT:
            self._step_down(now)

    def _step_down(self, now: float) -> None:
        term = self.term
        self.term = NO_BALLOT
        self.host.event("lease_lost", term=term)
        self.on_lost(now)

    def renew_above(self, now: float, ballot: Ballot) -> None:
        """Renew the lease at once, if held, with a ballot above the given one."""
        self.observe_ballot(ballot)
        if self.is_holder(now):
            self._start_round(now)

    def begin_term(self, now: float) -> None:
        """Begin a new term under the same lease, with the ballot that was accepted last."""
        self.term = self.held_ballot

    def release(self, now: float) -> None:
        """End the lease here, and then return it to the acceptors."""
        was_holder = self.is_holder(now)
        self.held_until = 0.0
        self.is_active = False
        if was_holder:
            self._step_down(now)
            for node_id in self.voters:
                self.host.send(node_id, Release(self.held_ballot))
