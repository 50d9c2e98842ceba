"""The follower's side of the plan: every node adopts newer plans atomically, for a limited time.

A plan is in force for `hold_s` from when the follower sent the report that the leader answered (Gray and
Cheriton, "Leases", SOSP 1989). Times are seconds on the node's own clock.

No I/O: each kind of event is a method with the current time as its first parameter, and effects go through
`firwalk.cluster.host.Host`.
"""

from __future__ import annotations

from collections.abc import Callable
from zlib import crc32

import msgspec

from firwalk.cluster.host import Host
from firwalk.cluster.lease import MAX_BALLOT_SKIP
from firwalk.cluster.messages import NO_BALLOT, Answer, Ballot, Fetch, Piece, Report
from firwalk.cluster.plan import NO_PLAN, PlanAssembly, PlanSections, PlanStamp, encode_plan, split_plan
from firwalk.cluster.random_source import RandomSource

MAX_PENDING_REPORTS = 32  # The sending times of this many unanswered reports are kept.
MAX_CONFIRMED_PLANS = 32  # The newest ones are kept.
# Reports are spaced by the report interval times a random factor from the minimum up to minimum plus range.
REPORT_JITTER_MIN = 0.9
REPORT_JITTER_RANGE = 0.2


class PlanFollower:
    """Follows the leader's plan.

    `report_interval_s`: between reports to the leader; `hold_s`: how long an answer keeps the plan in force;
    `leader_term`: the newest leader's term known; `on_plan_changed`: called when another plan is followed or
    the plan has expired or come back into force.
    """

    def __init__(
        self,
        host: Host,
        node_id: int,
        random_source: RandomSource,
        *,
        report_interval_s: float,
        hold_s: float,
    ) -> None:
        self.host = host
        self.node_id = node_id
        self.random_source = random_source
        self.report_interval_s = report_interval_s
        self.hold_s = hold_s
        self.stamp = NO_PLAN
        self.encoded = b"{}"
        self.sections: PlanSections = {}
        self.in_force_until = 0.0
        self.taken_at = 0.0
        self.has_expired = True
        self.leader_term: Ballot = NO_BALLOT
        self.assembly: PlanAssembly | None = None
        self.last_report_number = random_source.uint32()
        self.report_sent_at: dict[int, float] = {}  # Sending times of pending reports, by number.
        self.confirmed_at: dict[PlanStamp, float] = {}  # When newer plans were last known to be in force.
        self.early_report_stamp: PlanStamp = NO_PLAN  # Plan for which an early report was sent.
        self.on_plan_changed: Callable[[float], None] = lambda now: None

    def start(self, now: float) -> None:
        """Start reporting at a random point of the interval."""
        self.host.set_timer(
            now + self.random_source.fraction() * self.report_interval_s, self._send_regular_report, None
        )

    # -- the plan in force -------------------------------------------------------------------------------

    def sections_in_force(self, now: float) -> PlanSections | None:
        """Return the sections; None makes each component fall back to its behaviour without a plan."""
        return self.sections if self.stamp != NO_PLAN and now < self.in_force_until else None

    def take(self, now: float, stamp: PlanStamp, encoded: bytes, since: float) -> bool:
        """Adopt a newer plan that was in force at `since`.

        Return False, without any change, if it is not newer or cannot be decoded.
        """
        if stamp <= self.stamp:
            return False
        sections = _decode_sections(encoded)
        if sections is None:
            self.host.event("plan_unreadable", term=stamp.term, version=stamp.version)
            return False
        self.stamp = stamp
        self.encoded = encoded
        self.sections = sections
        self.taken_at = now
        self.leader_term = max(self.leader_term, stamp.term)
        self.in_force_until = since + self.hold_s
        self.has_expired = False
        self.assembly = None
        self.confirmed_at = {newer: at for newer, at in self.confirmed_at.items() if newer > stamp}
        self._announce_plan(now)
        return True

    def _announce_plan(self, now: float) -> None:
        """Record the plan, and notify the components that follow it.

        The checksum is of the sections followed, not of the bytes received: the invariant checker compares it
        with what the leader published.
        """
        self.host.event(
            "plan",
            term=self.stamp.term,
            version=self.stamp.version,
            check=crc32(encode_plan(self.sections)),
            left=self.in_force_until - now,
        )
        self._schedule_expiry(now)
        self.on_plan_changed(now)

    def _schedule_expiry(self, now: float) -> None:
        self.host.set_timer(max(self.in_force_until, now), self._expire, self.in_force_until)

    def _expire(self, now: float, until: float) -> None:
        if not self.has_expired and until == self.in_force_until:
            self.has_expired = True
            self.host.event("plan_over", term=self.stamp.term, version=self.stamp.version)
            self.on_plan_changed(now)

    def confirm(self, now: float, since: float) -> None:
        """Extend the time of the plan followed, which was in force at `since`."""
        if since + self.hold_s <= self.in_force_until:
            return
        self.in_force_until = since + self.hold_s
        if self.has_expired and now < self.in_force_until:
            self.has_expired = False
            self._announce_plan(now)
        else:
            self._schedule_expiry(now)

    # -- reports and answers -----------------------------------------------------------------------------

    def on_leader_term(self, now: float, term: Ballot) -> None:
        """Record a leader's term; report to a new leader at once."""
        if self.leader_term < term and term[0] <= self.leader_term[0] + MAX_BALLOT_SKIP:
            self.leader_term = term
            if term[1] != self.node_id:
                self.send_report(now)

    def _send_regular_report(self, now: float, _: None) -> None:
        if self.leader_term != NO_BALLOT and self.leader_term[1] != self.node_id:
            self.send_report(now)
        jitter = REPORT_JITTER_MIN + REPORT_JITTER_RANGE * self.random_source.fraction()
        self.host.set_timer(now + self.report_interval_s * jitter, self._send_regular_report, None)

    def send_report(self, now: float) -> None:
        """Tell the leader which plan this node follows, and ask which one is in force."""
        self.last_report_number += 1
        self.report_sent_at[self.last_report_number] = now
        self.report_sent_at.pop(self.last_report_number - MAX_PENDING_REPORTS, None)
        assembly = self.assembly
        next_stamp = assembly.stamp if assembly else NO_PLAN
        received = assembly.mask() if assembly else 0
        self.host.send(
            self.leader_term[1], Report(self.last_report_number, *self.stamp, *next_stamp, received)
        )

    def on_answer(self, now: float, sender: int, message: Answer) -> None:
        """Handle the leader's answer to a report: it tells which plan was in force."""
        if message.term[1] != sender:
            return
        self.on_leader_term(now, message.term)
        since = self.report_sent_at.pop(message.number, None)
        if since is None:
            return
        stamp = PlanStamp(message.term, message.version)
        if stamp == self.stamp:
            self.confirm(now, since)
        elif stamp > self.stamp:
            self.confirmed_at[stamp] = max(since, self.confirmed_at.get(stamp, 0.0))
            if len(self.confirmed_at) > MAX_CONFIRMED_PLANS:
                del self.confirmed_at[min(self.confirmed_at)]
            self._take_if_complete(now)

    def on_piece(self, now: float, piece: Piece) -> None:
        """Keep a piece of the newest plan, and adopt the plan once it is complete."""
        stamp = PlanStamp(piece.term, piece.version)
        if stamp <= self.stamp:
            return
        if self.assembly is None or stamp > self.assembly.stamp:
            self.assembly = PlanAssembly(piece)
        if stamp == self.assembly.stamp:
            self.assembly.add(piece)
            self._take_if_complete(now)

    def _take_if_complete(self, now: float) -> None:
        """Adopt the assembled plan once the answer to a report tells how long it stays in force."""
        assembly = self.assembly
        if assembly is None:
            return
        encoded = assembly.assemble()
        since = self.confirmed_at.get(assembly.stamp)
        if encoded is None:
            if assembly.has_all_pieces():
                self.assembly = None  # A piece was damaged, so all are requested again.
        elif since is not None:
            self.take(now, assembly.stamp, encoded, since)
        elif self.early_report_stamp < assembly.stamp and self.leader_term == assembly.stamp.term:
            # Waiting for the next regular report would take half an interval on average.
            self.early_report_stamp = assembly.stamp
            self.send_report(now)

    def on_fetch(self, now: float, sender: int, message: Fetch) -> None:
        """Send a new leader the plan that it asks for, if this node follows it."""
        if (message.term, message.version) == self.stamp:
            for piece in split_plan(self.stamp, self.encoded):
                self.host.send(sender, piece)


def _decode_sections(encoded: bytes) -> PlanSections | None:
    try:
        sections = msgspec.json.decode(encoded)
    except msgspec.DecodeError:
        return None
    return sections if isinstance(sections, dict) else None
