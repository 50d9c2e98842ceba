"""Which part of each zone's traffic is served where: failover decided in common.

The coordinator looks at what nodes tell of zones, moves each zone's state, and divides so that no zone is
given more than its head room by the plan's own figures (I4). Design and ways not taken: `docs/zones.md`.
Work is in seconds of work (at speed 1) a second; times are seconds on the own clock.

No I/O; a method for each thing that can happen, with the time first.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from statistics import median_low
from typing import Any

from firwalk.cluster.zone_observation import MIN_ATTEMPTS, ZoneObservation

OLD = 4.0  # looks after which what a node told counts no more
LEAN_PART = 0.2  # that found nobody or erred, over all nodes: the zone leans
LEAST_VOICES = 2  # nodes that must say that a zone is bad
MANY_VOICES = 12  # nodes that speak of a zone, with which one try each will do
LOOKS_BAD = 2  # looks in a row after which a bad zone is away
PLAIN_VOICES, PLAIN_PART = 6, 0.75  # so many nodes, nearly all against it: plain, one look will do
POOLED = 6  # looks over which what leans a zone is gathered, since its last move
LEAN_TRIES = 12  # over all nodes in these looks: with fewer, chance alone made a zone lean
LOOKS_SOUND = 3  # and a sound one goes a step on
SLOW_TIMES = 4.0  # times the median zone's starts: slow
SLOW_LEAST = 0.05  # seconds that a start takes at least to be slow
STEPS = (0.1, 0.25, 0.5, 0.75, 1.0)  # of its own traffic that a returning zone gets
LEAN = 0.5  # of its own traffic that a leaning zone keeps
CALM = 60.0  # seconds without a loss after which one is forgotten; the longest wait
MOST_FLAPS = 8  # losses that are counted
REGION = 1000  # added to a region's number where one of a zone might stand
FIRST_WAIT = 2.0  # seconds for which a lost zone must be sound before its first step
PANIC = 0.5  # of what is asked: if what can be borne elsewhere is less, all goes near
EVEN = 1e-9


class Mode(IntEnum):
    OPEN = 0
    LEANING = 1
    AWAY = 2
    RETURNING = 3


@dataclass
class Told:
    at: float
    zone: int  # the node's own
    asks: float  # work a second that its clients bring
    views: dict[int, ZoneObservation]


@dataclass
class Zone:
    """One zone as the fleet sees it."""

    number: int
    region: int = 0
    mode: Mode = Mode.OPEN
    step: int = 0
    bad: int = 0  # looks in a row
    sound: int = 0
    since: float = -CALM
    sound_since: float = 0.0
    flaps: int = 0  # losses; one less for each long while without any
    drained: bool = False  # by operators' calls
    filed: bool = False  # by the operators' file
    moves: int = 0  # changes of its mode or step
    bears: float = 0.0
    asks: float = 0.0


@dataclass(frozen=True)
class ZonePolicy:
    """The operators' part: `regions` gives each zone's region; `head_room` is the most of a zone that may
    be used; zones in `stays` send nothing out of their region; `order` names, for a region, those to go to
    first; `drained`: zones that are to be out."""

    regions: tuple[int, ...]
    head_room: float = 0.8
    stays: tuple[int, ...] = ()
    order: dict[int, tuple[int, ...]] = field(default_factory=dict)
    drained: tuple[int, ...] = ()


@dataclass
class Division:
    """`shares[a][b]`: the part of zone a's tasks that counts zone b as its own; `turned_away[a]`: the part
    that fits nowhere. They add up to 1 for each zone."""

    shares: dict[int, dict[int, float]]
    turned_away: dict[int, float]
    panic: bool = False

    def given(self, asks: dict[int, float]) -> dict[int, float]:
        """Work a second that each zone gets of others."""
        got = dict.fromkeys(self.shares, 0.0)
        for a, parts in self.shares.items():
            for b, part in parts.items():
                if b != a:
                    got[b] += asks[a] * part
        return got


class Zones:
    """The coordinator's side."""

    def __init__(self, terms: ZonePolicy):
        self.terms = terms
        self.all = [Zone(number, region) for number, region in enumerate(terms.regions)]
        self.told: dict[int, Told] = {}
        self.early: dict[int, Told] = {}  # told out of turn; a look takes no part in it
        self.recent: list[dict[int, Told]] = []  # what was new in the looks before this one
        self.looked_at = 0.0
        self.division = self.divide()

    # -- what comes --------------------------------------------------------------------------------------

    def told_by(
        self,
        now: float,
        seat: int,
        zone: int,
        asks: float,
        views: dict[int, ZoneObservation],
        early: bool = False,
    ) -> None:
        """One node's evidence; figures that cannot be are passed over with all that came beside them.
        `early`: out of turn, and told once more in turn."""
        fits = (
            0 <= zone < len(self.all)
            and 0.0 <= asks < 1e9
            and all(
                0 <= number < len(self.all)
                and 0 <= view.unreachable + view.errors <= view.attempts
                and view.start_delay_s >= 0.0
                and 0.0 <= view.capacity < 1e9
                for number, view in views.items()
            )
        )
        if fits:
            (self.early if early else self.told)[seat] = Told(now, zone, asks, views)
            if not early:
                self.early.pop(seat, None)

    def named(self, number: int) -> list[int]:
        """A zone by its number, or all of a region by `REGION` more than that one's."""
        if number >= REGION:
            return [zone.number for zone in self.all if zone.region == number - REGION]
        return [number] if number < len(self.all) else []

    def _drained(self, numbers: list[int]) -> Division:
        """The division with these out; nothing is changed."""
        before = [zone.drained for zone in self.all]
        for number in numbers:
            self.all[number].drained = True
        tried = self.divide()
        for zone, was in zip(self.all, before, strict=True):
            zone.drained = was
        return tried

    def drain(self, numbers: list[int]) -> str:
        """An operator wants these zones out; the reason, if that would not fit. Nothing is changed then."""
        reason = self._misfit(numbers)
        if not reason:
            for number in numbers:
                self.all[number].moves += not self.all[number].drained
                self.all[number].drained = True
            self.division = self.divide()
        return reason

    def _misfit(self, numbers: list[int]) -> str:
        """Why these cannot be taken out now."""
        if all(self.all[number].drained or self.all[number].filed for number in numbers):
            return ""
        tried = self._drained(numbers)
        lost = sum(part * self.all[a].asks for a, part in tried.turned_away.items())
        if tried.panic:
            return "too little would be left: what these zones serve would fit nowhere"
        if lost > EVEN:
            return f"{lost:.1f} of {sum(z.asks for z in self.all):.1f} work a second would fit nowhere"
        return ""

    def filed(self, now: float, numbers: tuple[int, ...]) -> dict[int, str]:
        """What the operators' file says is to be out: taken out one by one, and called back when it says so
        no more. By zone, why one cannot be taken out now; it is tried again at the next look."""
        misfits = {}
        for zone in self.all:
            if zone.number in numbers and not zone.filed:
                reason = self._misfit([zone.number])
                zone.filed = not reason
                misfits |= {zone.number: reason} if reason else {}
            elif zone.filed and zone.number not in numbers:
                zone.filed = False
                if not zone.drained:
                    self._to(now, zone, Mode.RETURNING, 0)
            self.division = self.divide()
        return misfits

    def dry(self, numbers: list[int]) -> str:
        """Where their traffic would go, and what would not fit; nothing is changed."""
        tried = self._drained(numbers)
        if tried.panic:
            return "too little would be left: all would stay near"
        told = []
        for number in numbers:
            to = [f"{part:.0%} to {other}" for other, part in tried.shares[number].items() if part > EVEN]
            away = tried.turned_away[number]
            told.append(", ".join([*to, f"{away if away > EVEN else 0.0:.0%} would fit nowhere"]))
        return "; ".join(told)

    def restore(self, numbers: list[int], now: float) -> str:
        """Called back by an operator: they return by steps. The reason, if the file keeps them out."""
        if any(self.all[number].filed for number in numbers):
            return "the operators' file says that it is to be out"
        for zone in [self.all[number] for number in numbers]:
            if zone.drained:
                zone.drained = False
                self._to(now, zone, Mode.RETURNING, 0)
        self.division = self.divide()
        return ""

    # -- a look ------------------------------------------------------------------------------------------

    def look(self, now: float, up: list[int], zone_of: dict[int, int]) -> Division:
        """Once in a while: every zone's state by what was told since, and the division that follows.
        `up`: seats that are up by the members; `zone_of`: the zone of each seat."""
        span = max(now - self.looked_at, 1e-3)
        fresh = {seat: told for seat, told in self.told.items() if now - told.at <= OLD * span}
        new = {seat: told for seat, told in fresh.items() if told.at > self.looked_at}
        self.looked_at, self.told = now, fresh
        self.recent = [*self.recent, new][-POOLED:]
        # What was told before moves nothing by itself.
        pooled = [self._pooled(zone) if new else [] for zone in self.all]
        starts = self._starts(pooled)
        found = [self._bad(zone, new, up, zone_of) for zone in self.all]
        losing = [
            zone for zone, (bad, _) in zip(self.all, found, strict=True) if bad and zone.mode is not Mode.AWAY
        ]
        for zone, (bad, plain) in zip(self.all, found, strict=True):
            self._weigh(zone, fresh)
            heard = len(self._voices(zone, new)) >= LEAST_VOICES
            slow = not self._filling(zone, losing) and self._slow(zone, starts)
            leaning = not bad and (self._missed(pooled[zone.number]) > LEAN_PART or slow)
            zone.bad += plain * LOOKS_BAD
            self._move(now, zone, bad, leaning, heard)
        self.division = self.divide()
        return self.division

    def alarmed(self, seat: int) -> bool:
        """Whether what that node told last speaks against a zone that is in use."""
        told = self.early.get(seat) or self.told.get(seat)
        return told is not None and any(
            view.is_unavailable() and self.all[number].mode is not Mode.AWAY
            for number, view in told.views.items()
        )

    def glance(self, now: float, span: float, up: list[int], zone_of: dict[int, int]) -> bool:
        """Between two looks, once a node spoke against a zone: only what is plain by what came in the last
        `span` is acted on, and only to put a zone away. Nothing is counted: no step is held for less."""
        if not self.looked_at:
            return False  # new in office: what zones ask and bear is not known, and all would go to one
        fresh = {seat: told for seat, told in (self.told | self.early).items() if now - told.at <= span}
        lost = [
            zone
            for zone in self.all
            if zone.mode is not Mode.AWAY and self._bad(zone, fresh, up, zone_of, 1)[1]
        ]
        for zone in lost:
            self._lost(now, zone)
        if lost:
            self.division = self.divide()
        return bool(lost)

    def _weigh(self, zone: Zone, fresh: dict[int, Told]) -> None:
        """What it bears is the median of what nodes say: one that lies moves it little."""
        says = [told.views[zone.number].capacity for told in fresh.values() if zone.number in told.views]
        if says:
            zone.bears = median_low(says)
        mine = [told.asks for told in fresh.values() if told.zone == zone.number]
        zone.asks = sum(mine) if fresh else zone.asks

    def _voices(self, zone: Zone, fresh: dict[int, Told], tries: int = MIN_ATTEMPTS) -> dict[int, bool]:
        """By seat: whether the zone is bad for it. One voice a node, whatever it says to have tried; where
        many speak, a single try will do: with a task a second, each had its three tries too late. The same
        where nothing but what is plain counts, which many nodes have to say."""
        views = {
            seat: told.views[zone.number]
            for seat, told in fresh.items()
            if zone.number in told.views and told.views[zone.number].attempts
        }
        least = 1 if len(views) >= MANY_VOICES else tries
        return {seat: view.is_unavailable() for seat, view in views.items() if view.attempts >= least}

    def _bad(
        self,
        zone: Zone,
        fresh: dict[int, Told],
        up: list[int],
        zone_of: dict[int, int],
        tries: int = MIN_ATTEMPTS,
    ) -> tuple[bool, bool]:
        """Whether it is bad by this look, and whether so plainly that no further one is needed."""
        voices = self._voices(zone, fresh, tries)
        against = [seat for seat, bad in voices.items() if bad]
        if len(against) < LEAST_VOICES or 2 * len(against) <= len(voices):
            return False, False
        speaking = {fresh[seat].zone for seat in voices}
        against_zones = {fresh[seat].zone for seat in against}
        mine = [seat for seat, number in zone_of.items() if number == zone.number]
        if mine and not any(seat in up for seat in mine):  # all its own nodes are down, by the members
            against_zones.add(zone.number)
            speaking.add(zone.number)
        elsewhere = against_zones - {zone.number}
        bad = len(against_zones) >= 2 or bool(elsewhere) and speaking == elsewhere and len(self.all) <= 2
        return bad, bad and len(against) >= max(PLAIN_VOICES, PLAIN_PART * len(voices))

    def _pooled(self, zone: Zone) -> list[ZoneObservation]:
        """What each node met there in the last looks, since the zone moved: a voice for each that tried
        often enough; none at all where all together tried too seldom to tell trouble from chance."""
        sums: dict[int, ZoneObservation] = {}
        starts: dict[int, list[float]] = {}
        for new in self.recent:
            for seat, told in new.items():
                view = told.views.get(zone.number)
                if view is None or not view.attempts or told.at <= zone.since:
                    continue
                seen = sums.setdefault(seat, ZoneObservation())
                seen.attempts, seen.unreachable = (
                    seen.attempts + view.attempts,
                    seen.unreachable + view.unreachable,
                )
                seen.errors = seen.errors + view.errors
                starts.setdefault(seat, []).append(view.start_delay_s)
        for seat, view in sums.items():  # not the mean: one look in which a machine stood still leaned a zone
            view.start_delay_s = median_low(starts[seat])
        speak = [view for view in sums.values() if view.attempts >= MIN_ATTEMPTS]
        enough = len(speak) >= LEAST_VOICES and sum(view.attempts for view in speak) >= LEAN_TRIES
        return speak if enough else []

    def _missed(self, speak: list[ZoneObservation]) -> float:
        """The lower median: what half of the nodes see, as the nodes of one zone of two do, is not enough."""
        return (
            median_low((view.unreachable + view.errors) / view.attempts for view in speak) if speak else 0.0
        )

    def _starts(self, pooled: list[list[ZoneObservation]]) -> dict[int, float]:
        """The median start of each zone, over the nodes that speak of it."""
        return {
            number: median_low(view.start_delay_s for view in speak)
            for number, speak in enumerate(pooled)
            if speak
        }

    def _filling(self, zone: Zone, losing: list[Zone]) -> bool:
        """It takes traffic of others, by the plan or because another zone is `losing`, and is slower for
        that: sending its own away in turn made the others lean as well, and what was lost fit nowhere. What
        slowness there is shows in what it bears."""
        return any(other is not zone for other in losing) or any(
            parts.get(zone.number, 0.0) > EVEN and self.all[number].asks > 0.0
            for number, parts in self.division.shares.items()
            if number != zone.number
        )

    def _slow(self, zone: Zone, starts: dict[int, float]) -> bool:
        """Against the others, so that what all share moves nothing."""
        others = sorted(start for number, start in starts.items() if number != zone.number)
        mine = starts.get(zone.number)
        if mine is None or not others:
            return False
        return mine > max(SLOW_TIMES * others[len(others) // 2], SLOW_LEAST)

    # -- states ------------------------------------------------------------------------------------------

    def _to(self, now: float, zone: Zone, mode: Mode, step: int = 0) -> None:
        if (zone.mode, zone.step) != (mode, step):
            zone.mode, zone.step, zone.since, zone.moves = mode, step, now, zone.moves + 1
            zone.sound = zone.bad = 0

    def _lost(self, now: float, zone: Zone) -> None:
        zone.flaps = min(zone.flaps + 1, MOST_FLAPS)
        self._to(now, zone, Mode.AWAY)

    def _wait(self, zone: Zone) -> float:
        """Seconds for which a lost zone must be sound: doubled with each loss that is not long ago."""
        return min(FIRST_WAIT * 2 ** max(zone.flaps - 1, 0), CALM)

    def _move(self, now: float, zone: Zone, bad: bool, leaning: bool, heard: bool) -> None:
        """What was told counts in one look only. With nobody to tell, all stays as it is: but one that is
        away gets a tenth as a trial, and one that nobody uses goes on after a while."""
        if heard or zone.mode is Mode.AWAY or now >= zone.since + CALM:
            zone.sound = 0 if bad or leaning else zone.sound + 1
        if not zone.sound:
            zone.sound_since = now
        if heard:
            zone.bad = zone.bad + 1 if bad else 0
        if zone.mode is Mode.OPEN and zone.flaps and now >= zone.since + CALM:
            zone.flaps, zone.since = zone.flaps - 1, now
        if zone.mode is Mode.AWAY:
            if zone.sound >= LOOKS_SOUND and now >= zone.sound_since + self._wait(zone):
                self._to(now, zone, Mode.RETURNING, 0)
        elif zone.bad >= LOOKS_BAD:
            self._lost(now, zone)
        elif zone.mode is Mode.RETURNING:
            if leaning and zone.step:
                self._to(now, zone, Mode.RETURNING, zone.step - 1)
            elif zone.sound >= LOOKS_SOUND:
                last = zone.step == len(STEPS) - 1
                self._to(now, zone, *((Mode.OPEN, 0) if last else (Mode.RETURNING, zone.step + 1)))
        elif zone.mode is Mode.OPEN and leaning:
            zone.flaps = min(zone.flaps + 1, MOST_FLAPS)
            self._to(now, zone, Mode.LEANING)
        elif (
            zone.mode is Mode.LEANING
            and zone.sound >= LOOKS_SOUND
            and now >= zone.sound_since + self._wait(zone)
        ):
            self._to(now, zone, Mode.OPEN)

    def keeps(self, zone: Zone) -> float:
        """The part of its own traffic that a zone may have."""
        if zone.drained or zone.filed or zone.mode is Mode.AWAY:
            return 0.0
        if zone.mode is Mode.RETURNING:
            return STEPS[zone.step]
        return LEAN if zone.mode is Mode.LEANING else 1.0

    # -- dividing ----------------------------------------------------------------------------------------

    def divide(self) -> Division:
        keeps = {zone.number: self.keeps(zone) for zone in self.all}
        asked = sum(zone.asks for zone in self.all)
        usable = sum(zone.bears * keeps[zone.number] for zone in self.all)
        if asked and usable < PANIC * asked or all(not keep for keep in keeps.values()):
            return Division(
                {zone.number: {zone.number: 1.0} for zone in self.all},
                {zone.number: 0.0 for zone in self.all},
                True,
            )
        room = {
            zone.number: max(zone.bears * self.terms.head_room - zone.asks, 0.0)
            if keeps[zone.number] == 1.0
            else 0.0
            for zone in self.all
        }
        # So little that its parts cannot be told: as nothing (a share of 5e-324 is none, or all).
        asking = {zone.number: zone.asks > EVEN for zone in self.all}
        shares = {
            zone.number: {
                zone.number: keeps[zone.number] if asking[zone.number] else float(keeps[zone.number] > 0.0)
            }
            for zone in self.all
        }
        leaving = {zone.number: zone.asks * (1.0 - keeps[zone.number]) for zone in self.all}
        for tier in range(1 + len({zone.region for zone in self.all})):
            self._place(tier, leaving, room, shares)
        turned_away = {}
        for zone in self.all:
            part = leaving[zone.number] / zone.asks if asking[zone.number] else 0.0
            if keeps[zone.number] and part:  # it can be reached: what fits nowhere stays near
                shares[zone.number][zone.number] += part
                part = 0.0
            turned_away[zone.number] = part
            if not asking[zone.number] and not keeps[zone.number]:
                self._nominal(zone, room, shares, turned_away)
        return Division(shares, turned_away)

    def _nominal(self, zone: Zone, room: dict[int, float], shares: dict, turned_away: dict) -> None:
        """A zone that asks for nothing now: should a task come, it goes where there is most room."""
        best = max(
            (n for n in room if room[n] > 0.0 and self._may(zone, self.all[n])),
            key=lambda n: room[n],
            default=None,
        )
        shares[zone.number] = {zone.number: 0.0} | ({best: 1.0} if best is not None else {})
        turned_away[zone.number] = 0.0 if best is not None else 1.0

    def _may(self, zone: Zone, other: Zone) -> bool:
        return other.region == zone.region or zone.number not in self.terms.stays

    def _tier(self, zone: Zone, other: Zone) -> int:
        """0: its own region; then regions in the operators' order, and after these by number."""
        if other.region == zone.region:
            return 0
        order = self.terms.order.get(zone.region, ())
        rest = [r for r in dict.fromkeys(z.region for z in self.all) if r != zone.region and r not in order]
        return 1 + [*order, *rest].index(other.region)

    def _place(
        self,
        tier: int,
        leaving: dict[int, float],
        room: dict[int, float],
        shares: dict[int, dict[int, float]],
    ) -> None:
        """What leaves goes to the zones of this tier in proportion to their room; where several zones want
        the same room, each gets its part by what it has to place."""
        wants: dict[int, dict[int, float]] = {}
        for zone in self.all:
            if leaving[zone.number] <= EVEN:
                continue
            targets = [
                o.number
                for o in self.all
                if o is not zone
                and room[o.number] > EVEN
                and self._may(zone, o)
                and self._tier(zone, o) == tier
            ]
            there = sum(room[n] for n in targets)
            for n in targets:
                wants.setdefault(n, {})[zone.number] = leaving[zone.number] * room[n] / there
        for n, by in wants.items():
            fit = min(1.0, room[n] / sum(by.values()))
            for number, want in by.items():
                given = want * fit
                asks = self.all[number].asks
                shares[number][n] = shares[number].get(n, 0.0) + given / asks
                leaving[number] -= given
                room[n] -= given
            room[n] = max(room[n], 0.0)

    # -- the plan's section --------------------------------------------------------------------------------

    def section(self) -> dict[str, Any]:
        """What nodes need to follow it, and a new coordinator to go on."""
        return {
            "shares": {
                str(a): {str(b): round(part, 4) for b, part in parts.items() if part > 1e-4}
                for a, parts in self.division.shares.items()
            },
            "away": {str(a): round(part, 4) for a, part in self.division.turned_away.items() if part > 1e-4},
            "modes": [[int(z.mode), z.step, z.drained + 2 * z.filed, z.flaps] for z in self.all],
            "panic": self.division.panic,
        }

    def figures(self) -> dict[str, Any]:
        """What a division was made by, for whoever checks it from outside."""
        division = self.division
        return {
            "asks": [zone.asks for zone in self.all],
            "bears": [zone.bears for zone in self.all],
            "keeps": [self.keeps(zone) for zone in self.all],
            "head_room": self.terms.head_room,
            "shares": [[division.shares[a.number].get(b.number, 0.0) for b in self.all] for a in self.all],
            "away": [division.turned_away[zone.number] for zone in self.all],
            "panic": division.panic,
        }

    def resume(self, now: float, section: Any) -> None:
        """Goes on from what the coordinator before wrote; what cannot be read begins open."""
        try:
            modes = [(Mode(m), int(step), int(out), int(lost)) for m, step, out, lost in section["modes"]]
        except (KeyError, TypeError, ValueError):
            return
        if len(modes) != len(self.all):
            return
        for zone, (mode, step, drained, lost) in zip(self.all, modes, strict=True):
            zone.mode, zone.drained, zone.filed, zone.since = mode, bool(drained & 1), drained > 1, now
            zone.step = min(max(step, 0), len(STEPS) - 1)
            zone.flaps, zone.sound_since = min(max(lost, 0), MOST_FLAPS), now
        self.division = self.divide()


def followed(section: Any, zone: int, zones: int) -> tuple[list[tuple[float, int]], float]:
    """For a node of a zone: up to which draw a task counts which zone as its own, and the part to be turned
    away. What cannot be read is as without a plan: all near, nothing turned away."""
    near = [(1.0, zone)], 0.0
    try:
        parts = {int(b): float(part) for b, part in section["shares"].get(str(zone), {}).items()}
        away = float(section["away"].get(str(zone), 0.0))
    except (KeyError, TypeError, ValueError, AttributeError):
        return near
    fits = all(0 <= b < zones and part >= 0.0 for b, part in parts.items()) and 0.0 <= away <= 1.0
    total = sum(parts.values())
    if not fits or total <= 0.0:
        return near if not fits or away < 0.999 else ([(1.0, zone)], 1.0)
    found, upto = [], 0.0
    for b in sorted(parts, key=lambda b: (b != zone, b)):
        upto += parts[b] / total
        found.append((upto, b))
    found[-1] = (1.0, found[-1][1])
    return found, away
