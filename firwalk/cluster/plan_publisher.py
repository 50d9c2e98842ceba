"""The leader's side of the plan: resumes the newest plan known, publishes changes, answers followers.

Times are seconds on the node's own clock.

No I/O: each kind of event is a method with the current time as its first parameter, and effects go through
`firwalk.cluster.host.Host`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple
from zlib import crc32

import msgspec

from firwalk.cluster.host import Host
from firwalk.cluster.lease import Proposer
from firwalk.cluster.messages import NO_BALLOT, Answer, Ballot, Fetch, Piece, Report
from firwalk.cluster.plan import (
    NO_PLAN,
    EncodedPlan,
    PlanAssembly,
    PlanSections,
    PlanStamp,
    encode_plan,
    split_plan,
)
from firwalk.cluster.plan_follower import PlanFollower
from firwalk.cluster.random_source import RandomSource

# A new leader waits for this many report intervals to learn which plans others follow.
MIN_GATHER_INTERVALS = 2.0
# After this many report intervals it resumes an older plan if the newest one could not be fetched.
MAX_GATHER_INTERVALS = 6.0
BATCH_SIZE = 16  # A plan is sent to this many followers at once; more would overflow the socket buffers.
BATCH_PAUSE_S = 0.005


class Distribution(NamedTuple):
    """The followers that a plan has not been sent to yet."""

    stamp: PlanStamp
    node_ids: list[int]


class PlanPublisher:
    """Publishes plans while this node is the leader; idle otherwise.

    `node_ids_up` returns the nodes that a plan is sent to; `on_first_plan` is called after the first plan of
    a term has been published; `version` is 0 while nothing was published in the current term.
    """

    def __init__(
        self,
        host: Host,
        proposer: Proposer,
        follower: PlanFollower,
        random_source: RandomSource,
        node_ids_up: Callable[[], list[int]],
    ) -> None:
        self.host = host
        self.proposer = proposer
        self.follower = follower
        self.random_source = random_source
        self.node_ids_up = node_ids_up
        self.version = 0
        self.sections: PlanSections = {}
        self.encoded = b"{}"
        self.newest_followed: PlanStamp = NO_PLAN  # Newest plan that others follow.
        self.fetched: EncodedPlan | None = None
        self.assembly: PlanAssembly | None = None
        self.gathering_since = 0.0
        self.pending_changes: PlanSections = {}  # Changes made before the first plan of a term.
        self.reported_stamps: dict[int, PlanStamp] = {}  # Plan that each node reported last, by node id.
        self.on_first_plan: Callable[[float], None] = lambda now: None

    def is_leader(self, now: float) -> bool:
        """Return whether this node is the leader at this moment."""
        return self.proposer.is_holder(now) and self.proposer.term != NO_BALLOT

    def stamp(self) -> PlanStamp:
        """Return the stamp of the plan that was published last."""
        return PlanStamp(self.proposer.term, self.version)

    # -- the beginning of a term -------------------------------------------------------------------------

    def on_lease_acquired(self, now: float) -> None:
        """Announce the new leader, and learn from the reports of others which plans they follow."""
        self.version = 0
        self.assembly = None
        self.fetched = None
        self.reported_stamps = {}
        self.newest_followed = self.follower.stamp
        self.gathering_since = now
        self._announce_term(now)
        # Nodes that get this answer report to the new leader at once.
        for node_id in self.node_ids_up():
            if node_id != self.follower.node_id:
                self.host.send(node_id, Answer(0, self.proposer.term, 0))
        self.host.set_timer(
            now + MIN_GATHER_INTERVALS * self.follower.report_interval_s,
            self._publish_first_plan,
            self.proposer.term,
        )

    def on_lease_lost(self, now: float) -> None:
        """Stop publishing."""
        self.version = 0

    def _announce_term(self, now: float) -> None:
        self.follower.on_leader_term(now, self.proposer.term)
        self.host.event("coordinator", term=self.proposer.term)

    def _publish_first_plan(self, now: float, term: Ballot) -> None:
        """Publish the first plan of the term, from the sections of the newest plan known."""
        if not self.is_leader(now) or self.proposer.term != term or self.version:
            return
        newest_known = max(self.newest_followed, self.follower.stamp)
        is_late = now > self.gathering_since + MAX_GATHER_INTERVALS * self.follower.report_interval_s
        if max(newest_known.term, self.follower.leader_term) > term or newest_known.term == term:
            self._raise_term(now, max(newest_known.term, self.follower.leader_term))
            return
        is_missing = newest_known > self.follower.stamp and not (
            self.fetched and self.fetched.stamp == newest_known
        )
        if is_missing and not is_late:
            self.host.set_timer(now + self.follower.report_interval_s / 2, self._publish_first_plan, term)
            return
        base_plan = EncodedPlan(self.follower.stamp, self.follower.encoded)
        if self.fetched:
            base_plan = max(base_plan, self.fetched)
        self.sections = msgspec.json.decode(base_plan.data)
        self.sections |= self.pending_changes
        self.pending_changes = {}
        self._publish(now)
        self.on_first_plan(now)

    def _raise_term(self, now: float, above: Ballot) -> None:
        """Begin a term above one that others know but that restarted acceptors have forgotten."""
        if self.proposer.held_ballot > above:
            self.proposer.begin_term(now)
            self._announce_term(now)
        else:
            self.proposer.renew_above(now, above)
        self.host.set_timer(
            now + self.follower.report_interval_s / 2, self._publish_first_plan, self.proposer.term
        )

    def on_leader_term(self, now: float, term: Ballot) -> None:
        """Raise the term above a higher one that others know.

        While this node holds the lease no other node can have become the leader, so the higher term is stale.
        """
        if self.version and self.is_leader(now) and term > self.proposer.term:
            self.version = 0
            self.gathering_since = now
            self._raise_term(now, term)

    # -- followers' reports ------------------------------------------------------------------------------

    def on_report(self, now: float, sender: int, message: Report) -> None:
        """Answer a follower's report, and send it the pieces that it lacks."""
        if not self.is_leader(now):
            return
        stamp = PlanStamp(message.term, message.version)
        self.reported_stamps[sender] = stamp
        if not self.version:
            self._note_followed_plan(sender, stamp)
            return
        published = self.stamp()
        if stamp > published:
            self._restart_term_above(now, sender, stamp)
            return
        self.host.send(sender, Answer(message.number, *published))
        if stamp < published:
            is_assembling = (message.next_term, message.next_version) == published
            self._send_pieces(sender, message.pieces if is_assembling else 0)

    def _note_followed_plan(self, sender: int, stamp: PlanStamp) -> None:
        """Record the newest plan that others follow, and fetch it if it is newer than this node's."""
        if stamp > max(self.newest_followed, self.follower.stamp):
            self.newest_followed = stamp
            self.assembly = None
        if stamp == self.newest_followed and stamp > self.follower.stamp and self.fetched is None:
            self.host.send(sender, Fetch(*stamp))

    def _restart_term_above(self, now: float, sender: int, stamp: PlanStamp) -> None:
        """Begin a new term above a follower's plan that is newer than what this leader published."""
        if stamp > self.newest_followed:
            self.newest_followed = stamp
            self.fetched = None
            self.assembly = None
        self.version = 0
        self.gathering_since = now
        self.host.send(sender, Fetch(*stamp))
        self._raise_term(now, stamp.term)

    def on_piece(self, now: float, piece: Piece) -> None:
        """Keep a fetched piece of the newest plan that others follow."""
        stamp = PlanStamp(piece.term, piece.version)
        if self.version or stamp != self.newest_followed or not self.is_leader(now):
            return
        self.assembly = self.assembly or PlanAssembly(piece)
        self.assembly.add(piece)
        encoded = self.assembly.assemble()
        if encoded is not None:
            self.fetched = EncodedPlan(stamp, encoded)

    # -- publishing --------------------------------------------------------------------------------------

    def set_section(self, now: float, name: str, section: Any) -> bool:
        """Change one section; see `change_sections`."""
        return self.change_sections(now, {name: section})

    def change_sections(self, now: float, changes: PlanSections) -> bool:
        """Change sections, all in one version; return False if this node is not the leader.

        Raise `PlanTooLarge`, without any change, if the plan would exceed its limit.
        """
        if not self.is_leader(now):
            return False
        sections = self.sections | changes
        if not self.version:
            self.pending_changes |= changes
        elif sections != self.sections:
            encode_plan(sections)
            self.sections = sections
            self._publish(now)
        return True

    def _publish(self, now: float) -> None:
        encoded = encode_plan(self.sections)
        self.version += 1
        self.encoded = encoded
        self.follower.take(now, self.stamp(), encoded, now)
        self.host.event("wrote", term=self.proposer.term, version=self.version, check=crc32(encoded))
        others = [node_id for node_id in self.node_ids_up() if node_id != self.follower.node_id]
        self._distribute(now, Distribution(self.stamp(), self.random_source.shuffled(others)))

    def _distribute(self, now: float, distribution: Distribution) -> None:
        """Send the plan to one batch of followers, and schedule the next batch."""
        stamp, node_ids = distribution
        if not self.is_leader(now) or stamp != self.stamp():
            return
        for node_id in node_ids[:BATCH_SIZE]:
            if self.reported_stamps.get(node_id, NO_PLAN) < stamp:
                self._send_pieces(node_id, 0)
        remaining = node_ids[BATCH_SIZE:]
        if remaining:
            self.host.set_timer(now + BATCH_PAUSE_S, self._distribute, Distribution(stamp, remaining))

    def _send_pieces(self, node_id: int, received: int) -> None:
        """Send the pieces of the plan that are not in the mask `received`."""
        for piece in split_plan(self.stamp(), self.encoded):
            if not received >> piece.number & 1:
                self.host.send(node_id, piece)

    def confirm_own_plan(self, now: float) -> None:
        """Keep the plan in force at this node for as long as it is the leader."""
        if self.version and self.is_leader(now):
            self.follower.confirm(now, now)
