"""One node's part in the cluster: members, lease and plan put together, and what comes for each.

No I/O: datagrams are handed in as bytes or messages, and go out through a host that gets them whole.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from firwalk.cluster import messages as m
from firwalk.cluster import quotas
from firwalk.cluster.health_observations import views
from firwalk.cluster.host import Host, State
from firwalk.cluster.lease import Acceptor, Proposer
from firwalk.cluster.members import Members
from firwalk.cluster.node_id_ranges import encode_ranges
from firwalk.cluster.plan_follower import PlanFollower
from firwalk.cluster.plan_publisher import PlanPublisher
from firwalk.cluster.random_source import RandomSource
from firwalk.cluster.zones import ZonePolicy, Zones

FEW = 400  # seats; with more the reports are spread, so that a coordinator gets so many a second
GLANCE = 0.1  # seconds from a node's word against a zone to the coordinator's glance at it
ASKS, ASK_AGAIN = 6, 0.25  # times that a wish is told to the coordinator, and the seconds between


class ClusterMember:
    """`life`: a number by chance, another one with each start. `zones`, `budgets_by`: the operators' terms
    for them, where there are any."""

    def __init__(
        self,
        host: Host,
        seat: int,
        seats: int,
        generation: int,
        now: float,
        *,
        voters: list[int],
        length: float = 2.0,
        drift: float = 0.01,
        period: float = 0.5,
        answer: float = 0.15,
        report: float = 0.5,
        hold: float = 3.0,
        zones: ZonePolicy | None = None,
        budgets_by: quotas.QuotaPolicy | None = None,
    ):
        self.host, self.seat, self.seats, self.generation = host, seat, seats, generation
        chance = RandomSource(generation ^ seat)
        report, hold = self._spread(report, hold)
        self.members = Members(host, seat, seats, generation, chance, period=period, answer=answer)
        self.voter = Acceptor(host, generation, now, lease_s=length, drift=drift) if seat in voters else None
        self.follower = PlanFollower(host, seat, chance, report=report, hold_s=hold)
        self.candidate, self.writer = None, None
        self.members.office = lambda: self.follower.office
        if self.voter is not None:
            self.candidate = Proposer(
                host, seat, generation, voters, self.voter, chance, lease_s=length, drift=drift
            )
            self.writer = PlanPublisher(host, self.candidate, self.follower, chance, self.members.up)
            self.candidate.on_won = self.writer.on_lease_won
            self.candidate.on_lost = self.writer.on_lease_lost
            self.writer.on_opened = self._opened
        self.terms, self.zones, self.zone_of = zones, None, {}
        self.refused: dict[int, str] = {}
        self.evidence: Callable[[float], m.HealthObservations] | None = None  # what this node tells of zones
        self.early: Callable[[], m.HealthObservations] | None = None  # the same, out of turn
        self.early_at, self.glancing = float("-inf"), False
        self.wished, self.wishes = 0, {}  # operators' wishes that wait for the coordinator
        self.changing: Any = None  # its part in changes by stages (`firwalk.cluster.rollout_controller`)
        self.holder = (
            quotas.QuotaClient(host, budgets_by, lambda: self.follower.office) if budgets_by else None
        )
        self.dealer: quotas.QuotaAllocator | None = None
        self.offer: quotas.ContractSet | None = None  # the newest contracts that this node has
        self.offers: dict[int, quotas.ContractSet] = {}  # all that it has, by their checksums
        self.find_offer: Callable[[int], quotas.ContractSet | None] = lambda version: (
            None
        )  # by a version's file
        self.ready: dict[int, int] = {}  # by seat: the newest contracts that it has, as it told
        self.waits_for = ""
        self._acts: dict[type, Callable[[float, int, int, Any], None]] = self._by_kind()

    def start(self, now: float) -> None:
        self.members.start(now)
        self.follower.start(now)
        if self.candidate is not None:
            self.candidate.start(now)
            self.host.set_timer(now, self._keep, None)
        if self.terms is not None:
            self.host.set_timer(now + self.follower.report, self._tell, None)
        if self.holder is not None:
            self.holder.start(now)

    def _keep(self, now: float, _: None) -> None:
        """While in office: the plan holds here too, and tells who is up, by which later parts divide."""
        self.writer.confirm_own_plan(now)
        if self.writer.in_office(now):
            up = self.members.up()
            changes = {
                "seats": {"up": encode_ranges(up), "count": len(up)},
                "voters": {"up": [seat for seat in self.candidate.voters if seat in up]},
            }
            if self.zones is not None and self.writer.version:
                self._told(now)
                before = [(zone.mode, zone.step) for zone in self.zones.all]
                self._filed(now)
                self.zones.look(now, up, self.zone_of)
                self._moved(before)
                changes |= self._divided(now)
            if self.changing is not None and self.writer.version:
                changes |= self.changing.look(now, up)
            if self.holder is not None and self.writer.version:
                changes |= self._contracts(now, up)
            self.writer.put(now, changes)
        self.host.set_timer(now + self.follower.report, self._keep, None)

    def _moved(self, before: list[tuple]) -> None:
        for zone, was in zip(self.zones.all, before, strict=True):
            if (zone.mode, zone.step) != was:
                self.host.event(
                    "zone", number=zone.number, mode=zone.mode.name.lower(), keeps=self.zones.keeps(zone)
                )

    def _filed(self, now: float) -> None:
        """What the file wants out; a reason why not is told once."""
        misfits = self.zones.filed(now, self.terms.drained)
        for number, reason in misfits.items():
            if number not in self.refused:
                self.host.event("zone_refused", number=number, reason=reason)
        self.refused = misfits

    def _opened(self, now: float) -> None:
        """In office: goes on from what the plan says."""
        if self.changing is not None:
            self.changing.opened(now, self.writer.sections.get("stages"))
        if self.terms is not None:
            self.zones = Zones(self.terms)
            self.zones.resume(now, self.writer.sections.get("zones"))
        if self.holder is not None:
            self.ready, self.dealer = {}, None
            self._resume_dealing(now)

    # -- budgets -------------------------------------------------------------------------------------------

    def has_contracts(self, offer: quotas.ContractSet) -> None:
        """This node has them, and follows them when the plan names them."""
        self.offer = offer
        self.offers[offer.check] = offer
        if self.holder is not None:
            self.holder.ready = offer.check

    def _may_hold(self) -> list[int]:
        """All but those that left: they handed back what they had."""
        return [member.node_id for member in self.members.all if member.state is not State.LEFT]

    def _resume_dealing(self, now: float) -> None:
        """By what the plan says is in force, as soon as this node has all of it."""
        told = self.writer.sections.get("budgets")
        both = [quotas.in_force(told), quotas.beside(told)]
        offers = [self._offered(*one) for one in both if one[1]]
        if offers and all(offer is not None for offer in offers):
            self._deal_by(now, *offers)

    def _offered(self, version: int, check: int) -> quotas.ContractSet | None:
        """Those contracts, if this node has them, or finds them among the files of changes."""
        found = self.offers.get(check) or self.find_offer(version)
        if found is not None and found.check == check:
            self.offers[check] = found
            return found
        return None

    def _deal_by(
        self, now: float, offer: quotas.ContractSet, beside: quotas.ContractSet | None = None
    ) -> None:
        """These are in force: what was dealt by others in this office goes on counting."""
        if self.dealer is None:
            self.dealer = quotas.QuotaAllocator(now, self.holder.terms, offer, self._may_hold, beside)
        else:
            self.dealer.changed(now, offer, beside)
        for one in self.dealer.sides.values():
            self.host.event(
                "contracts",
                version=one.version,
                check=one.check,
                names=list(one.names),
                wholes=list(one.wholes),
                length=self.holder.terms.length,
                together=list(self.dealer.sides),
            )

    def _contracts(self, now: float, up: list[int]) -> dict[str, Any]:
        """Newer ones are named when their day has begun and all that are up have them; a dealer for those
        in force, as soon as this node has them itself."""
        staged = self._staged(now)
        if staged is not None:
            return staged
        version, check = quotas.in_force(self.writer.sections.get("budgets"))
        offer = self.offer
        if offer is not None and offer.check != check and offer.version > version and offer.begun():
            without = [seat for seat in up if self.ready.get(seat) != offer.check]
            if not without:
                return self._change(now, offer)
            if (waits := encode_ranges(without)) != self.waits_for:
                self.waits_for = waits
                self.host.event("contracts_wait", version=offer.version, seats=waits)
        if self.dealer is None:
            self._resume_dealing(now)
        return {}

    def _staged(self, now: float) -> dict[str, Any] | None:
        """Contracts that a change brings: beside those in force while it goes, or comes back; in their place
        once it is done. None: no change has to do with them, and newer ones come as ever."""
        change = self.changing.contracts() if self.changing is not None else None
        if change is None:
            return None
        told = self.writer.sections.get("budgets")
        (before, brings, over), (other, named) = change, quotas.beside(told)
        if over and not named:
            return None
        wanted = [brings] if over == "done" else [before] if over else [before, brings]
        if [quotas.in_force(told)[0], *([other] if named else [])] == wanted:
            if self.dealer is None:
                self._resume_dealing(now)
            return {}
        offers = [self._of_version(version) for version in wanted]
        return self._change(now, *offers) if all(offers) else {}

    def _of_version(self, version: int) -> quotas.ContractSet | None:
        known = [offer for offer in self.offers.values() if offer.version == version]
        return known[-1] if known else self.find_offer(version)

    def _change(
        self, now: float, offer: quotas.ContractSet, beside: quotas.ContractSet | None = None
    ) -> dict[str, Any]:
        self.waits_for = ""
        for one in (offer, beside):
            if one is not None:
                self.offers[one.check] = one
        self._deal_by(now, offer, beside)
        return {"budgets": quotas.section(offer, beside)}

    def _want_came(self, now: float, seat: int, generation: int, got: m.QuotaRequest) -> None:
        if self.holder is None or not self.writer.in_office(now):
            return
        self.ready[seat] = got.ready
        if self.dealer is not None and self.writer.version:
            granted = self.dealer.want_came(now, seat, generation, got)
            if granted is not None:
                self.host.tell(seat, granted)

    def _grant_came(self, now: float, seat: int, got: m.QuotaGrant) -> None:
        if self.holder is not None:
            self.holder.grant_came(now, seat, got)

    def _told(self, now: float) -> None:
        if self.evidence is not None:
            self._evidence_came(now, self.seat, self.evidence(now))

    def _evidence_came(self, now: float, seat: int, got: m.HealthObservations) -> None:
        if self.zones is not None and self.writer.in_office(now):
            self.zone_of[seat] = got.zone
            self.zones.told_by(now, seat, got.zone, *views(got), got.early)
            if not self.glancing and self.zones.alarmed(seat):
                self.glancing = True
                self.host.set_timer(now + GLANCE, self._glance, None)

    def _tell(self, now: float, _: None) -> None:
        """Evidence goes beside the reports, to the coordinator alone."""
        office = self.follower.office
        if self.evidence is not None and office != m.NOBODY and office[1] != self.seat:
            self.host.tell(office[1], self.evidence(now))
        self.host.set_timer(now + self.follower.report, self._tell, None)

    def tell_early(self) -> None:
        """A zone turned bad at this node: told at once, once in the time between two reports at the most."""
        self.host.set_timer(0.0, self._tell_now, None)

    def _tell_now(self, now: float, _: None) -> None:
        office = self.follower.office
        if now < self.early_at + self.follower.report or self.early is None or office == m.NOBODY:
            return
        self.early_at = now
        self.host.tell(office[1], self.early())

    def _glance(self, now: float, _: None) -> None:
        self.glancing = False
        if self.zones is None or not self.writer.in_office(now) or not self.writer.version:
            return
        before = [(zone.mode, zone.step) for zone in self.zones.all]
        if self.zones.glance(now, self.follower.report, self.members.up(), self.zone_of):
            self._moved(before)
            self.writer.put(now, self._divided(now))

    # -- operators' wishes ---------------------------------------------------------------------------------

    def wish(self, now: float, word: str, zone: int, done: Callable[[bool, str], None]) -> None:
        """Carried out by the coordinator, whoever that is; `done` gets whether it was, and what is said."""
        if self.coordinates(now):
            done(*self._grant(now, word, zone))
        else:
            self._wish_it(now, done, lambda number: m.OperatorCommand(number, word, zone))

    def word(
        self, now: float, word: str, name: str, check: int, text: str, done: Callable[[bool, str], None]
    ) -> None:
        """The same on a change."""
        if self.coordinates(now):
            done(*self.changing.word_came(now, self.seat, m.RolloutCommand(0, word, name, check, text)))
        else:
            self._wish_it(now, done, lambda number: m.RolloutCommand(number, word, name, check, text))

    def _wish_it(
        self,
        now: float,
        done: Callable[[bool, str], None],
        made: Callable[[int], m.OperatorCommand | m.RolloutCommand],
    ) -> None:
        self.wished += 1
        self.wishes[self.wished] = done
        self._ask_wish(now, (made(self.wished), ASKS))

    def _ask_wish(self, now: float, about: tuple[m.OperatorCommand | m.RolloutCommand, int]) -> None:
        """A datagram may be lost, and to carry it out twice is as once."""
        wish, left = about
        if wish.number not in self.wishes:
            return
        if not left or self.follower.office == m.NOBODY:
            self.wishes.pop(wish.number)(False, "no coordinator answers; nothing may have been done")
            return
        self.host.tell(self.follower.office[1], wish)
        self.host.set_timer(now + ASK_AGAIN, self._ask_wish, (wish, left - 1))

    def _wish_came(self, now: float, seat: int, got: m.OperatorCommand) -> None:
        if self.coordinates(now):
            granted, text = self._grant(now, got.word, got.zone)
            self.host.tell(seat, m.CommandResult(got.number, granted, text[: m.MAX_RESULT_CHARS]))

    def _word_came(self, now: float, seat: int, got: m.RolloutCommand) -> None:
        if self.coordinates(now) and self.changing is not None:
            done, text = self.changing.word_came(now, seat, got)
            self.host.tell(seat, m.CommandResult(got.number, done, text[: m.MAX_RESULT_CHARS]))

    def _figures_came(self, now: float, seat: int, generation: int, got: m.RolloutMetrics) -> None:
        if self.changing is not None:
            self.changing.came(now, seat, generation, got)

    def _said(self, got: m.CommandResult) -> None:
        done = self.wishes.pop(got.number, None)
        if done is not None:
            done(got.done, got.text)

    def _grant(self, now: float, word: str, number: int) -> tuple[bool, str]:
        numbers = self.zones.named(number) if self.zones is not None else []
        if not numbers:
            return False, "the coordinator does not decide on such a zone, or not yet"
        if word == "dry":
            return True, self.zones.dry(numbers)
        if word == "drain":
            reason = self.zones.drain(numbers)
            if reason:
                return False, reason
        else:
            reason = self.zones.restore(numbers, now)
            if reason:
                return False, reason
        self.host.event("zone_wish", number=number, word=word)
        self.writer.put(now, self._divided(now))
        return True, ""

    def _divided(self, now: float) -> dict[str, Any]:
        section = self.zones.section()
        if section != self.writer.sections.get("zones"):
            self.host.event("divided", **self.zones.figures())
        return {"zones": section}

    def _by_kind(self) -> dict:
        members, follower, voter, candidate, writer = (
            self.members,
            self.follower,
            self.voter,
            self.candidate,
            self.writer,
        )
        acts = {
            m.Ping: lambda now, seat, generation, got: members.on_ping(now, seat, got),
            m.Ack: lambda now, seat, generation, got: members.on_ack(now, seat, got),
            m.PingRequest: lambda now, seat, generation, got: members.on_ping_request(now, seat, got),
            m.Nack: lambda now, seat, generation, got: members.on_nack(now, got),
            m.Answer: lambda now, seat, generation, got: follower.on_answer(now, seat, got),
            m.Piece: lambda now, seat, generation, got: follower.on_piece(now, got),
            m.CommandResult: lambda now, seat, generation, got: self._said(got),
            m.QuotaGrant: lambda now, seat, generation, got: self._grant_came(now, seat, got),
            m.Fetch: lambda now, seat, generation, got: follower.on_fetch(now, seat, got),
        }
        if voter is not None:
            acts |= {
                m.Prepare: lambda now, seat, generation, got: voter.on_prepare(now, seat, got.ballot),
                m.Propose: lambda now, seat, generation, got: voter.on_propose(now, seat, got),
                m.Release: lambda now, seat, generation, got: voter.on_release(now, got.ballot),
                m.Promise: lambda now, seat, generation, got: candidate.on_promise(
                    now, seat, generation, got
                ),
                m.Refuse: lambda now, seat, generation, got: candidate.on_refuse(now, got),
                m.Accept: lambda now, seat, generation, got: candidate.on_accept(now, seat, got),
                m.Report: lambda now, seat, generation, got: writer.on_report(now, seat, got),
                m.HealthObservations: lambda now, seat, generation, got: self._evidence_came(now, seat, got),
                m.OperatorCommand: lambda now, seat, generation, got: self._wish_came(now, seat, got),
                m.QuotaRequest: self._want_came,
                m.RolloutMetrics: self._figures_came,
                m.RolloutCommand: lambda now, seat, generation, got: self._word_came(now, seat, got),
                m.Piece: self._piece,
            }
        return acts

    def _piece(self, now: float, seat: int, generation: int, got: m.Piece) -> None:
        self.writer.on_piece(now, got)
        self.follower.on_piece(now, got)

    def received(
        self, now: float, sender: int, generation: int, incarnation: int, message: m.Message
    ) -> None:
        """A datagram's message, from a listed seat."""
        if sender >= self.seats:
            return
        if sender != self.seat:  # a candidate asks its own voter the same way as the others
            self.members.on_header(now, sender, generation, incarnation)
        if isinstance(message, m.Ping | m.Ack):
            self.follower.on_leader_term(now, message.office)
            if self.writer is not None:
                self.writer.on_leader_term(now, self.follower.office)
        act = self._acts.get(type(message))
        if act is not None:
            act(now, sender, generation, message)

    def coordinates(self, now: float) -> bool:
        return self.writer is not None and self.writer.in_office(now)

    def set_section(self, now: float, name: str, section: Any) -> bool:
        return self.writer is not None and self.writer.set_section(now, name, section)

    def retuned(
        self, *, period: float, answer: float, report: float, hold: float, zones: ZonePolicy | None = None
    ) -> None:
        """Other lengths from now on; the lease's own stay for as long as the seat lives. Other terms for the
        same zones, where there are any."""
        if zones is not None and self.terms is not None:
            self.terms = zones
            if self.zones is not None:
                self.zones.terms = zones
        self.members.period, self.members.answer = period, answer
        self.follower.report, self.follower.hold_s = self._spread(report, hold)

    def _spread(self, report: float, hold: float) -> tuple[float, float]:
        report = max(report, report * self.seats / FEW)
        return report, max(hold, 3 * report)

    def leave(self, now: float) -> None:
        """Ends in good order: the lease and parts go back, and the others are told."""
        if self.holder is not None:
            self.holder.end(now)
        if self.candidate is not None:
            self.candidate.release(now)
        self.members.leave(now)
