"""Who is up, at a cost for each node that does not grow with the fleet.

Source: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
Protocol" (DSN 2002); Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
Detection" (DSN 2018 workshop, arXiv:1707.00788). Departures: `docs/cluster.md`.

No I/O; a method for each thing that can happen, with the time first; acts through `cluster.host.Host`.
"""

from __future__ import annotations

from collections.abc import Callable
from math import ceil, log, log10

from firwalk.cluster.host import Host, State
from firwalk.cluster.messages import (
    MAX_UPDATES,
    NOBODY,
    Ack,
    Ballot,
    MembershipUpdate,
    Nack,
    Ping,
    PingRequest,
)
from firwalk.cluster.random_source import RandomSource

HELPERS = 3  # others that are asked to ask one that does not answer
SUSPECT_TIMES = 4.0  # periods, times the logarithm of the fleet, that a suspected one has at least
SUSPECT_MOST = 6.0  # times that, while no other node suspects it too
CONFIRM = 3  # further nodes whose suspicion brings it down to the least
SPREAD = 3  # times the logarithm of the fleet that each piece of news is sent on
WORST_HEALTH = 8  # steps by which a node that is itself slow waits longer
AGAIN_EVERY = 4  # one in so many rounds asks somebody who is down or has left


class Member:
    """One seat as this node sees it."""

    def __init__(self, seat: int):
        self.seat, self.state, self.incarnation, self.generation = seat, State.DOWN, 0, 0
        self.met = False  # anything was heard of it at all
        self.suspected_at, self.suspecters = 0.0, {}

    def word(self) -> MembershipUpdate:
        return self.seat, self.incarnation, self.generation, int(self.state)


class Probe:
    """One question to one seat, until its period is over; `asker`: for whom, if it is another's question."""

    def __init__(self, number: int, member: Member, asker: int | None = None, asked_as: int = 0):
        self.number, self.member, self.asker, self.asked_as = number, member, asker, asked_as
        self.answered, self.helpers, self.nacks = False, 0, 0


class Members:
    """`period`: seconds between questions; `answer`: seconds in which one is answered directly."""

    def __init__(
        self,
        host: Host,
        seat: int,
        seats: int,
        generation: int,
        chance: RandomSource,
        *,
        period: float,
        answer: float,
    ):
        self.host, self.chance, self.period, self.answer = host, chance, period, answer
        self.all = [Member(number) for number in range(seats)]
        self.me = self.all[seat]
        self.me.state, self.me.generation, self.me.met = State.UP, generation, True
        self.health, self.number, self.rounds, self.turn = 0, 0, 0, 0
        self.order: list[Member] = []
        self.entry = seat  # where the next entries of the table are taken from
        self.probes: dict[int, Probe] = {}
        self.fresh: dict[Member, int] = {}  # news, and how often each is still to be sent on
        self.grace_until = 0.0  # a node that woke late believes no silence before that
        self.leaving = False
        self.office: Callable[[], Ballot] = lambda: NOBODY

    def start(self, now: float) -> None:
        self._note(self.me)
        self._timer(now + self.chance.fraction() * self.period, self._round, None)

    # -- who is there ------------------------------------------------------------------------------------

    def up(self) -> list[int]:
        """Seats that are up or only suspected, the own one among them."""
        return [member.seat for member in self.all if member.state <= State.SUSPECTED]

    def counts(self) -> dict[str, int]:
        states = [member.state for member in self.all]
        return {state.name.lower(): states.count(state) for state in State}

    # -- rounds ------------------------------------------------------------------------------------------

    def _timer(self, when: float, act: Callable, about: object) -> None:
        self.host.set_timer(when, self._due, (when, act, about))

    def _due(self, now: float, about: tuple) -> None:
        """A process that slept past its timers cannot tell its own silence from the others'."""
        when, act, rest = about
        if now > when + self.period and now >= self.grace_until:
            self.grace_until = now + 2 * self._stretched(self.period)
            self._worse()
        act(now, rest)

    def _worse(self, by: int = 1) -> None:
        self.health = min(self.health + by, WORST_HEALTH)

    def _stretched(self, span: float) -> float:
        return span * (1 + self.health)

    def _next(self) -> Member | None:
        """In a shuffled round, so that each is asked within a bounded time; those down now and then."""
        self.rounds += 1
        if self.rounds % AGAIN_EVERY == 0:
            gone = [member for member in self.all if member.state >= State.DOWN]
            if gone:
                return gone[self.chance.uint32() % len(gone)]
        for _ in range(len(self.all) + 1):
            if self.turn >= len(self.order):
                self.order, self.turn = self.chance.shuffled(self.all), 0
            member, self.turn = self.order[self.turn], self.turn + 1
            if member is not self.me and (member.state <= State.SUSPECTED or not member.met):
                return member
        return None

    def _round(self, now: float, _: None) -> None:
        if self.leaving:
            return
        member, span = self._next(), self._stretched(self.period)
        if member is not None:
            probe = self._ask(member)
            self._timer(now + min(self._stretched(self.answer), span / 2), self._unanswered, probe)
            self._timer(now + span, self._over, probe)
        self._timer(now + span, self._round, None)

    def _ask(self, member: Member, asker: int | None = None, asked_as: int = 0) -> Probe:
        self.number += 1
        probe = self.probes[self.number] = Probe(self.number, member, asker, asked_as)
        self.host.tell(member.seat, Ping(probe.number, self.office(), self._news(member)))
        return probe

    def _unanswered(self, now: float, probe: Probe) -> None:
        """Others may reach it where this node cannot."""
        if probe.answered or probe.member.state >= State.DOWN:
            return
        helpers = self.chance.sample(
            [m for m in self.all if m.state is State.UP and m is not self.me and m is not probe.member],
            HELPERS,
        )
        probe.helpers = len(helpers)
        for helper in helpers:
            self.host.tell(helper.seat, PingRequest(probe.number, probe.member.seat, self._news(helper)))

    def _over(self, now: float, probe: Probe) -> None:
        self.probes.pop(probe.number, None)
        if probe.answered:
            self.health = max(self.health - 1, 0)
            return
        if now < self.grace_until:
            return
        if probe.helpers and not probe.nacks:
            self._worse()  # not even those that this one asked for help: its own link, or itself
        member = probe.member
        if member.state is State.UP:
            self._suspect(now, member, self.me.seat)

    # -- suspicion ---------------------------------------------------------------------------------------

    def _suspect(self, now: float, member: Member, by: int) -> None:
        member.state, member.suspected_at, member.suspecters = State.SUSPECTED, now, {by: None}
        self._note(member)
        self.host.event("suspected", seat=member.seat, incarnation=member.incarnation, by=by)
        self._timer(now + self._patience(member), self._look, (member, member.incarnation))

    def _patience(self, member: Member) -> float:
        """Lifeguard's: shorter with each further node that suspects it too."""
        least = SUSPECT_TIMES * max(1.0, log10(len(self.all))) * self._stretched(self.period)
        heard = min(log(len(member.suspecters)) / log(CONFIRM + 1), 1.0)
        return least * (SUSPECT_MOST - (SUSPECT_MOST - 1.0) * heard)

    def _look(self, now: float, about: tuple) -> None:
        member, incarnation = about
        if member.state is not State.SUSPECTED or member.incarnation != incarnation:
            return
        due = max(member.suspected_at + self._patience(member), self.grace_until)
        if now < due:
            self._timer(max(due, now + self.period / 10), self._look, about)
            return
        member.state = State.DOWN
        self._note(member)
        self.host.event("down", seat=member.seat, incarnation=member.incarnation)

    # -- what comes --------------------------------------------------------------------------------------

    def heard(self, now: float, seat: int, generation: int, incarnation: int) -> bool:
        """Any datagram's head. False: it comes from before what is known of the seat."""
        member = self.all[seat]
        known = member.met and member.incarnation
        if member.met and (
            incarnation < known
            or incarnation == known
            and member.state >= State.DOWN
            and generation == member.generation
        ):
            return False  # it is told so by the answer, and goes above that
        if member.met and incarnation == known and generation == member.generation:
            return True  # a suspicion is its own to answer
        if member.met and incarnation == known and generation != member.generation and member.generation:
            return False  # two lives of one seat: the new one goes above the old one when it is told
        self._alive(now, member, incarnation, generation)
        return True

    def _alive(self, now: float, member: Member, incarnation: int, generation: int) -> None:
        new = member.generation != generation
        before = member.state
        member.state, member.incarnation, member.generation, member.met = (
            State.UP,
            incarnation,
            generation,
            True,
        )
        member.suspecters = {}
        self._note(member)
        if new or before is not State.UP:
            self.host.event("up", seat=member.seat, incarnation=incarnation, life=generation, new=new)

    def ping_came(self, now: float, sender: int, message: Ping) -> None:
        self.news_came(now, message.news, sender)
        self.host.tell(sender, Ack(message.number, self.office(), self._news(self.all[sender])))

    def ask_came(self, now: float, sender: int, message: PingRequest) -> None:
        self.news_came(now, message.news, sender)
        if message.seat >= len(self.all) or self.all[message.seat] is self.me:
            return
        probe = self._ask(self.all[message.seat], sender, message.number)
        self._timer(now + self.answer, self._no_answer_for, probe)

    def _no_answer_for(self, now: float, probe: Probe) -> None:
        self.probes.pop(probe.number, None)
        if not probe.answered:
            self.host.tell(probe.asker, Nack(probe.asked_as))

    def ack_came(self, now: float, sender: int, message: Ack) -> None:
        self.news_came(now, message.news, sender)
        probe = self.probes.get(message.number)
        # Through a helper the answer has the question's number, and the helper's seat.
        if probe is None or probe.answered or sender != probe.member.seat and not probe.helpers:
            return
        probe.answered = True
        if probe.asker is not None:
            self.host.tell(probe.asker, Ack(probe.asked_as, self.office(), self._news(self.all[probe.asker])))

    def nack_came(self, now: float, message: Nack) -> None:
        probe = self.probes.get(message.number)
        if probe is not None:
            probe.nacks += 1

    def news_came(self, now: float, news: list[MembershipUpdate], sender: int) -> None:
        for seat, incarnation, generation, state in news:
            if seat < len(self.all):
                self._news_of(now, self.all[seat], incarnation, generation, State(state), sender)

    def _news_of(
        self, now: float, member: Member, incarnation: int, generation: int, state: State, sender: int
    ) -> None:
        if member is self.me:
            self._news_of_me(now, incarnation, generation, state)
            return
        known = (member.incarnation, member.state) if member.met else (-1, State.UP)
        if (incarnation, state) <= known:
            if state is State.SUSPECTED and member.state is State.SUSPECTED and incarnation == known[0]:
                member.suspecters.setdefault(sender, None)
                self._timer(now, self._look, (member, incarnation))
            return
        if state is State.UP:
            self._alive(now, member, incarnation, generation)
            return
        member.incarnation, member.generation, member.met = incarnation, generation, True
        if state is State.SUSPECTED:
            self._suspect(now, member, sender)
            return
        before, member.state = member.state, state
        self._note(member)
        if before < State.DOWN:
            self.host.event(state.name.lower(), seat=member.seat, incarnation=incarnation)

    def _news_of_me(self, now: float, incarnation: int, generation: int, state: State) -> None:
        """What others think of this node; a former life's word counts as well, and is gone above."""
        mine = generation == self.me.generation
        if (
            self.leaving
            or incarnation < self.me.incarnation
            or mine
            and (state is State.UP or incarnation > self.me.incarnation)
        ):
            return
        self.me.incarnation = incarnation + 1
        self._note(self.me)
        if mine:
            self._worse()  # somebody missed its answers: perhaps it is slow itself
        self.host.event("answered", incarnation=self.me.incarnation, mine=mine)

    # -- news --------------------------------------------------------------------------------------------

    def _note(self, member: Member) -> None:
        self.fresh[member] = SPREAD * ceil(log10(len(self.all) + 1))

    def _news(self, to: Member) -> list[MembershipUpdate]:
        """What it is thought of the other one itself first, then the freshest, then the table in turn."""
        chosen = {to: None} if to.met and to is not self.me else {}
        for member in sorted(self.fresh, key=self.fresh.__getitem__, reverse=True):
            if len(chosen) >= MAX_UPDATES:
                break
            if member is not to:
                chosen[member] = None
                self.fresh[member] -= 1
                if self.fresh[member] <= 0:
                    del self.fresh[member]
        for _ in range(min(len(self.all), MAX_UPDATES)):
            if len(chosen) >= MAX_UPDATES // 2:
                break
            self.entry = (self.entry + 1) % len(self.all)
            if self.all[self.entry].met:
                chosen[self.all[self.entry]] = None
        return [member.word() for member in chosen]

    def leave(self, now: float) -> None:
        """This node ends in good order: some others are told, and pass it on."""
        self.leaving, self.me.state = True, State.LEFT
        others = [m for m in self.all if m.state is State.UP]
        for member in self.chance.sample(others, 2 * HELPERS):
            self.host.tell(member.seat, Ping(0, self.office(), [self.me.word()]))
