"""Cluster membership and failure detection, at a cost per node that does not grow with the cluster.

Source: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (DSN 2002); Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
Detection" (DSN 2018 workshop, arXiv:1707.00788). Departures are listed in `docs/cluster.md`.

No I/O: each kind of event is a method with the current time as its first parameter, and effects go through
`firwalk.cluster.host.Host`.
"""

from __future__ import annotations

from collections.abc import Callable
from math import ceil, log, log10
from typing import Generic, NamedTuple, TypeVar

from firwalk.cluster.host import Host, State
from firwalk.cluster.member import Member, Probe, Requester, Suspicion
from firwalk.cluster.messages import (
    MAX_UPDATES,
    NO_BALLOT,
    Ack,
    Ballot,
    MembershipUpdate,
    Nack,
    Ping,
    PingRequest,
)
from firwalk.cluster.random_source import RandomSource

INDIRECT_PROBE_HELPERS = 3  # This many members ping a target that did not answer directly; k in SWIM.
# The shortest suspicion lasts this many periods times log10 of the cluster size; alpha in Lifeguard.
SUSPICION_MIN_PERIODS = 4.0
# A suspicion that no other node confirms lasts this many times the shortest one; beta in Lifeguard.
SUSPICION_MAX_FACTOR = 6.0
SUSPICION_CONFIRMATIONS = 3  # Confirmations that shorten a suspicion to the minimum; K in Lifeguard.
RETRANSMIT_FACTOR = 3  # An update is sent this many times the rounded-up log10 of the cluster size.
MAX_HEALTH_SCORE = 8  # A node with score s, up to this, waits s + 1 times as long.
ROUNDS_PER_DOWN_PROBE = 4  # One in this many rounds probes a member that is down or has left.
LATE_WAKE_GRACE_PERIODS = 2
RECHECKS_PER_PERIOD = 10  # A postponed suspicion is checked again at most this often per period.

Context = TypeVar("Context")


class DueTimer(NamedTuple, Generic[Context]):
    """A timer of this module, with the time at which it should fire."""

    when: float
    callback: Callable[[float, Context], None]
    context: Context


class Members:
    """The members of the cluster, and the probing that detects their failures.

    `period_s`: seconds between two probes (SWIM's protocol period); `ping_timeout_s`: seconds after which a
    direct ping counts as unanswered; `leader_term` returns the newest leader's term that this node knows.
    """

    def __init__(
        self,
        host: Host,
        node_id: int,
        cluster_size: int,
        generation: int,
        random_source: RandomSource,
        *,
        period_s: float,
        ping_timeout_s: float,
    ) -> None:
        self.host = host
        self.random_source = random_source
        self.period_s = period_s
        self.ping_timeout_s = ping_timeout_s
        self.all = [Member(number) for number in range(cluster_size)]
        self.me = self.all[node_id]
        self.me.state = State.UP
        self.me.generation = generation
        self.me.is_known = True
        self.health_score = 0  # Lifeguard's local health: 0 while this node itself responds in time.
        self.last_probe_number = 0
        self.rounds = 0
        self.probe_order: list[Member] = []
        self.probe_index = 0
        self.table_index = node_id  # Index of the member last taken from the whole table.
        self.probes: dict[int, Probe] = {}
        self.pending_updates: dict[Member, int] = {}  # Remaining transmissions of each member's update.
        self.grace_until = 0.0  # This node woke late: silence is ignored until then.
        self.is_leaving = False
        self.leader_term: Callable[[], Ballot] = lambda: NO_BALLOT

    def start(self, now: float) -> None:
        """Start probing at a random point of the period."""
        self._disseminate(self.me)
        self._set_timer(now + self.random_source.fraction() * self.period_s, self._run_round, None)

    # -- queries -----------------------------------------------------------------------------------------

    def up(self) -> list[int]:
        """Return the ids of nodes that are up or only suspected, including this node."""
        return [member.node_id for member in self.all if member.state <= State.SUSPECTED]

    def counts(self) -> dict[str, int]:
        """Return the number of members in each state, by the state's name in lower case."""
        states = [member.state for member in self.all]
        return {state.name.lower(): states.count(state) for state in State}

    # -- timers and local health -------------------------------------------------------------------------

    def _set_timer(self, when: float, callback: Callable[[float, Context], None], context: Context) -> None:
        self.host.set_timer(when, self._fire, DueTimer(when, callback, context))

    def _fire(self, now: float, timer: DueTimer[Context]) -> None:
        """Run a timer's callback, and start a grace time if the timer is late.

        A process that was suspended past its timers cannot tell its own silence from that of others.
        """
        if now > timer.when + self.period_s and now >= self.grace_until:
            self.grace_until = now + LATE_WAKE_GRACE_PERIODS * self._scaled(self.period_s)
            self._degrade_health()
        timer.callback(now, timer.context)

    def _degrade_health(self) -> None:
        self.health_score = min(self.health_score + 1, MAX_HEALTH_SCORE)

    def _scaled(self, duration: float) -> float:
        """Return the duration times Lifeguard's local health multiplier."""
        return duration * (1 + self.health_score)

    # -- probing -----------------------------------------------------------------------------------------

    def _next_target(self) -> Member | None:
        """Return the member to probe, or None if there is none.

        Live members take turns in a shuffled order, so that each is probed within a bounded time. Some
        rounds go to a member that is down or has left, so that the sides of a healed partition rejoin.
        """
        self.rounds += 1
        if self.rounds % ROUNDS_PER_DOWN_PROBE == 0:
            inactive = [member for member in self.all if member.state >= State.DOWN]
            if inactive:
                return inactive[self.random_source.uint32() % len(inactive)]
        for _ in range(len(self.all) + 1):
            if self.probe_index >= len(self.probe_order):
                self.probe_order = self.random_source.shuffled(self.all)
                self.probe_index = 0
            member = self.probe_order[self.probe_index]
            self.probe_index += 1
            if member is not self.me and (member.state <= State.SUSPECTED or not member.is_known):
                return member
        return None

    def _run_round(self, now: float, _: None) -> None:
        if self.is_leaving:
            return
        member = self._next_target()
        duration = self._scaled(self.period_s)
        if member is not None:
            probe = self._ping(member)
            timeout = min(self._scaled(self.ping_timeout_s), duration / 2)
            self._set_timer(now + timeout, self._probe_indirectly, probe)
            self._set_timer(now + duration, self._end_probe, probe)
        self._set_timer(now + duration, self._run_round, None)

    def _ping(self, member: Member, requester: Requester | None = None) -> Probe:
        self.last_probe_number += 1
        probe = Probe(self.last_probe_number, member, requester)
        self.probes[probe.number] = probe
        self.host.send(member.node_id, Ping(probe.number, self.leader_term(), self._updates_for(member)))
        return probe

    def _probe_indirectly(self, now: float, probe: Probe) -> None:
        """Ask other members to ping a member that this node may merely be unable to reach itself."""
        if probe.is_answered or probe.member.state >= State.DOWN:
            return
        candidates = [
            member
            for member in self.all
            if member.state is State.UP and member is not self.me and member is not probe.member
        ]
        helpers = self.random_source.sample(candidates, INDIRECT_PROBE_HELPERS)
        probe.helper_count = len(helpers)
        for helper in helpers:
            request = PingRequest(probe.number, probe.member.node_id, self._updates_for(helper))
            self.host.send(helper.node_id, request)

    def _end_probe(self, now: float, probe: Probe) -> None:
        self.probes.pop(probe.number, None)
        if probe.is_answered:
            self.health_score = max(self.health_score - 1, 0)
            return
        if now < self.grace_until:
            return
        if probe.helper_count and not probe.nack_count:
            # No helper answered either, so the fault may be on this node's side.
            self._degrade_health()
        if probe.member.state is State.UP:
            self._suspect(now, probe.member, self.me.node_id)

    # -- suspicion ---------------------------------------------------------------------------------------

    def _suspect(self, now: float, member: Member, suspecter: int) -> None:
        member.state = State.SUSPECTED
        member.suspected_at = now
        member.suspecters = {suspecter: None}
        self._disseminate(member)
        self.host.event("suspected", seat=member.node_id, incarnation=member.incarnation, by=suspecter)
        timeout = self._suspicion_timeout(member)
        self._set_timer(now + timeout, self._check_suspicion, Suspicion(member, member.incarnation))

    def _suspicion_timeout(self, member: Member) -> float:
        """Return Lifeguard's timeout, shorter with each further node that suspects the member."""
        minimum = SUSPICION_MIN_PERIODS * max(1.0, log10(len(self.all))) * self._scaled(self.period_s)
        confirmed = min(log(len(member.suspecters)) / log(SUSPICION_CONFIRMATIONS + 1), 1.0)
        return minimum * (SUSPICION_MAX_FACTOR - (SUSPICION_MAX_FACTOR - 1.0) * confirmed)

    def _check_suspicion(self, now: float, suspicion: Suspicion) -> None:
        member = suspicion.member
        if member.state is not State.SUSPECTED or member.incarnation != suspicion.incarnation:
            return
        ends_at = max(member.suspected_at + self._suspicion_timeout(member), self.grace_until)
        if now < ends_at:
            recheck_at = max(ends_at, now + self.period_s / RECHECKS_PER_PERIOD)
            self._set_timer(recheck_at, self._check_suspicion, suspicion)
            return
        member.state = State.DOWN
        self._disseminate(member)
        self.host.event("down", seat=member.node_id, incarnation=member.incarnation)

    # -- messages ----------------------------------------------------------------------------------------

    def on_header(self, now: float, node_id: int, generation: int, incarnation: int) -> bool:
        """Apply a datagram's header; return False if it is older than what is known of the sender."""
        member = self.all[node_id]
        if member.is_known and incarnation < member.incarnation:
            return False
        if member.is_known and incarnation == member.incarnation:
            if generation == member.generation:
                # A sender that counts as down learns this from the reply and raises its incarnation. A
                # suspected one refutes the suspicion itself.
                return member.state < State.DOWN
            if member.generation:
                # A restarted sender raises its incarnation once it learns that of its former generation.
                return False
        self._mark_up(now, member, incarnation, generation)
        return True

    def _mark_up(self, now: float, member: Member, incarnation: int, generation: int) -> None:
        is_new = member.generation != generation
        previous = member.state
        member.state = State.UP
        member.incarnation = incarnation
        member.generation = generation
        member.is_known = True
        member.suspecters = {}
        self._disseminate(member)
        if is_new or previous is not State.UP:
            self.host.event("up", seat=member.node_id, incarnation=incarnation, life=generation, new=is_new)

    def on_ping(self, now: float, sender: int, message: Ping) -> None:
        """Apply a ping's updates, and acknowledge it."""
        self.on_updates(now, message.updates, sender)
        self.host.send(sender, Ack(message.number, self.leader_term(), self._updates_for(self.all[sender])))

    def on_ping_request(self, now: float, sender: int, message: PingRequest) -> None:
        """Apply the updates, and ping a member on the sender's behalf."""
        self.on_updates(now, message.updates, sender)
        if message.node_id >= len(self.all) or self.all[message.node_id] is self.me:
            return
        probe = self._ping(self.all[message.node_id], Requester(sender, message.number))
        self._set_timer(now + self.ping_timeout_s, self._end_requested_probe, probe)

    def _end_requested_probe(self, now: float, probe: Probe) -> None:
        self.probes.pop(probe.number, None)
        if not probe.is_answered and probe.requester is not None:
            self.host.send(probe.requester.node_id, Nack(probe.requester.probe_number))

    def on_ack(self, now: float, sender: int, message: Ack) -> None:
        """Mark a probe as answered, directly or through a helper, and notify the node that requested it."""
        self.on_updates(now, message.updates, sender)
        probe = self.probes.get(message.number)
        if probe is None or probe.is_answered:
            return
        # An ack through a helper has the probe's number and the helper's node id.
        if sender != probe.member.node_id and not probe.helper_count:
            return
        probe.is_answered = True
        requester = probe.requester
        if requester is not None:
            updates = self._updates_for(self.all[requester.node_id])
            self.host.send(requester.node_id, Ack(requester.probe_number, self.leader_term(), updates))

    def on_nack(self, now: float, message: Nack) -> None:
        """Count a helper that is up, although the target does not answer it either."""
        probe = self.probes.get(message.number)
        if probe is not None:
            probe.nack_count += 1

    def on_updates(self, now: float, updates: list[MembershipUpdate], sender: int) -> None:
        """Apply what the sender knows of the members."""
        for node_id, incarnation, generation, state in updates:
            if node_id < len(self.all):
                self._apply_update(now, self.all[node_id], incarnation, generation, State(state), sender)

    def _apply_update(
        self, now: float, member: Member, incarnation: int, generation: int, state: State, sender: int
    ) -> None:
        """Apply an update that has a higher incarnation, or the same one and a higher state, than known."""
        if member is self.me:
            self._refute(now, incarnation, generation, state)
            return
        known = (member.incarnation, member.state) if member.is_known else (-1, State.UP)
        if (incarnation, state) <= known:
            if state is State.SUSPECTED and (incarnation, member.state) == (known[0], State.SUSPECTED):
                member.suspecters.setdefault(sender, None)
                self._set_timer(now, self._check_suspicion, Suspicion(member, incarnation))
            return
        if state is State.UP:
            self._mark_up(now, member, incarnation, generation)
            return
        member.incarnation = incarnation
        member.generation = generation
        member.is_known = True
        if state is State.SUSPECTED:
            self._suspect(now, member, sender)
            return
        previous = member.state
        member.state = state
        self._disseminate(member)
        if previous < State.DOWN:
            self.host.event(state.name.lower(), seat=member.node_id, incarnation=incarnation)

    def _refute(self, now: float, incarnation: int, generation: int, state: State) -> None:
        """Refute a state of this node, or one of its former generation, with a higher incarnation."""
        if self.is_leaving or incarnation < self.me.incarnation:
            return
        is_own_generation = generation == self.me.generation
        if is_own_generation and (state is State.UP or incarnation > self.me.incarnation):
            return
        self.me.incarnation = incarnation + 1
        self._disseminate(self.me)
        if is_own_generation:
            self._degrade_health()  # Others missed this node's acks, so it may be slow itself.
        self.host.event("answered", incarnation=self.me.incarnation, mine=is_own_generation)

    # -- dissemination -----------------------------------------------------------------------------------

    def _disseminate(self, member: Member) -> None:
        self.pending_updates[member] = RETRANSMIT_FACTOR * ceil(log10(len(self.all) + 1))

    def _updates_for(self, receiver: Member) -> list[MembershipUpdate]:
        """Return the updates to piggyback on a message.

        What is known of the receiver comes first, then the updates that were sent least often. Entries of
        the whole table, in turn, fill up to half of the limit.
        """
        chosen: dict[Member, None] = {}
        if receiver.is_known and receiver is not self.me:
            chosen[receiver] = None
        for member in sorted(self.pending_updates, key=self.pending_updates.__getitem__, reverse=True):
            if len(chosen) >= MAX_UPDATES:
                break
            if member is not receiver:
                chosen[member] = None
                self.pending_updates[member] -= 1
                if self.pending_updates[member] <= 0:
                    del self.pending_updates[member]
        for _ in range(min(len(self.all), MAX_UPDATES)):
            if len(chosen) >= MAX_UPDATES // 2:
                break
            self.table_index = (self.table_index + 1) % len(self.all)
            if self.all[self.table_index].is_known:
                chosen[self.all[self.table_index]] = None
        return [member.to_update() for member in chosen]

    def leave(self, now: float) -> None:
        """Announce the departure to some members, which pass it on."""
        self.is_leaving = True
        self.me.state = State.LEFT
        others = [member for member in self.all if member.state is State.UP]
        for member in self.random_source.sample(others, 2 * INDIRECT_PROBE_HELPERS):
            self.host.send(member.node_id, Ping(0, self.leader_term(), [self.me.to_update()]))
