"""A change goes through the fleet by stages, is compared, and comes back when it does worse: the
coordinator's side.

Design, states and ways not taken: `docs/stages.md`. No I/O; a method for each thing that can happen, with the
time first. Times are seconds on the own clock; what the plan says has none.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import ceil
from statistics import median
from typing import Any, Protocol
from zlib import crc32

from firwalk.cluster.canary_analysis import ALL, CanaryAnalysis, HarmThresholds, Key, Pasts, Row, Verdict
from firwalk.cluster.messages import RolloutMetrics
from firwalk.cluster.node_id_ranges import decode_ranges, encode_ranges

KEYS = (
    "number",
    "name",
    "check",
    "kind",
    "what",
    "before",
    "state",
    "stage",
    "of",
    "new",
    "why",
    "by",
    "zones",
)  # of the plan's section
GOING, HELD, BACK, STOPPED, DONE = "going", "held", "back", "stopped", "done"
RELEASE, SETTINGS, CONTRACTS = "release", "settings", "contracts"  # kinds of changes
OPERATOR, ITSELF, LITTLE = "operator", "itself", "little"  # by whom, or for what, a change is held
OLD = 4.0  # reports after which what a node told counts no more
PATIENCE = 20.0  # seconds in which a node goes over, before the stage is held for it
BACK_PATIENCE = 10.0  # in which it goes back, before the next batch is not held up by it
TOLD, MOST_TOLD = 2, 24  # figures of a stage that the plan keeps, the worst ones; of all stages
PAST_SPAN = 300.0  # seconds: so long at least, and twice at most, a node's own past goes back
LEAK_LOOKS = 12  # in a row in which the new nodes' memory is too large
LEAK_LEAST = 80  # tenths of a megabyte that it must be more
LONE = 0.5  # part of a zone's nodes that are down: nothing is changed anywhere then
MILLI = 1e3
FIRST = ord("A")  # the letter of the first zone


class Wanted(Protocol):
    """An operator's file (`firwalk.config.rollout_file.Change`)."""

    before: str
    stages: list[Any]
    compare: Any

    def what(self) -> str: ...

    def kind(self) -> str: ...


@dataclass(frozen=True)
class RolloutPolicy:
    """`at_once`: part of a zone's nodes that go over at a time; `settle`: seconds that a node must have told
    from the new version before the next ones go; `names`: the zones'."""

    at_once: float = 0.25
    settle: float = 3.0
    report: float = 0.5
    names: tuple[str, ...] = ()


@dataclass
class Told:
    """What a node told last."""

    at: float
    generation: int
    release: int
    tag: int
    contracts: int
    zone: int
    memory: int
    rows: dict[int, Row] = field(default_factory=dict)
    since: float = 0.0  # from when it has told from this life and version
    seen: dict[int, Row] = field(default_factory=dict)  # of its rows, what was compared already
    marks: list[tuple[float, dict[int, Row]]] = field(default_factory=list)  # when, and its rows then

    def mark(self, now: float) -> None:
        """Once in a while; of the last two the first is where its past begins."""
        if not self.marks or now >= self.marks[-1][0] + PAST_SPAN:
            self.marks = [*self.marks, (now, dict(self.rows))][-2:]

    def past(self) -> list[Row]:
        """What it counted lately: an hour ago its executors may have been others."""
        then = self.marks[0][1] if self.marks else self.rows
        found = [row.minus(then.get(offering, Row(offering))) for offering, row in self.rows.items()]
        return [row for row in found if row is not None]


def in_turn(zone_of: dict[int, int], voters: list[int]) -> tuple[list[int], list[int]]:
    """Seats in the order in which they go over, zones by turns and voters last; and the controls, one of each
    zone, which go last of all."""
    zones: dict[int, list[int]] = {}
    for seat in sorted(zone_of, key=lambda seat: (seat in voters, seat)):
        zones.setdefault(zone_of[seat], []).append(seat)
    # The largest zones begin: there the first node has most to be compared with.
    queues = sorted(zones.values(), key=lambda seats: (-len(seats), seats[0]))
    controls = [seats.pop() for seats in queues]
    order: list[int] = []
    for place in range(max(map(len, queues), default=0)):
        order += [seats[place] for seats in queues if place < len(seats)]
    return order, controls


def sets(
    stages: list[Any], zone_of: dict[int, int], voters: list[int], names: tuple[str, ...]
) -> list[list[int]]:
    """The seats of each stage, those before included; one that adds nobody is left out. ValueError."""
    order, controls = in_turn(zone_of, voters)
    found: list[list[int]] = []
    taken: list[int] = []
    for stage in stages:
        more = _named(stage, order, zone_of, names)
        fresh = [seat for seat in more if seat not in taken]
        if fresh:
            taken = taken + fresh
            found.append(list(taken))
    last = [seat for seat in controls if seat not in taken]
    return [*found, taken + last] if last else found


def _named(stage: Any, order: list[int], zone_of: dict[int, int], names: tuple[str, ...]) -> list[int]:
    if stage == "all":
        return order
    if stage == "one":
        return order[:1]
    if stage == "zone":
        return [seat for seat in order if zone_of[seat] == zone_of[order[0]]] if order else []
    if isinstance(stage, str):
        name = stage.removeprefix("zone:")
        if name not in names:
            raise ValueError(f"there is no zone {name}")
        return [seat for seat in order if zone_of[seat] == names.index(name)]
    if isinstance(stage, list):
        strange = [seat for seat in stage if seat not in zone_of]
        if strange:
            raise ValueError(f"there is no seat {encode_ranges(strange)}")
        return stage
    count = ceil(stage * len(zone_of)) if isinstance(stage, float) else stage
    return order[:count]


class Rollout:
    """The coordinator's side. `section`: what the plan says of the change, {} before the first one."""

    def __init__(
        self,
        terms: RolloutPolicy,
        voters: list[int],
        seats: int,
        named: Callable[[str], tuple[Wanted | None, int, list[str]]],
        event: Callable[..., None] = lambda what, **about: None,
    ):
        self.terms, self.voters, self.seats, self.named, self.event = terms, voters, seats, named, event
        self.section: dict[str, Any] = {}
        self.told: dict[int, Told] = {}
        self.change: Wanted | None = None
        self.comparison, self.whole, self.past = (
            CanaryAnalysis(HarmThresholds(), 1),
            CanaryAnalysis(HarmThresholds(), 1),
            Pasts(),
        )
        self.stages: list[list[int]] = []
        self.ordered_at: dict[int, float] = {}  # by seat, when the plan named it, or named it no more
        self.stage_at: float | None = None  # when all of the stage were on the new version
        self.leaks: dict[int, int] = {}  # by seat, looks in a row in which it has too much
        self.passed = -1  # the stage that an operator let pass

    # -- what comes ----------------------------------------------------------------------------------------

    def figures_came(self, now: float, seat: int, generation: int, got: RolloutMetrics) -> None:
        before = self.told.get(seat)
        same = before is not None and (before.generation, before.release, before.tag, before.contracts) == (
            generation,
            got.release,
            got.tag,
            got.contracts,
        )
        told = (
            before
            if same
            else Told(now, generation, got.release, got.tag, got.contracts, got.zone, got.memory, since=now)
        )
        told.at, told.zone, told.memory = now, got.zone, got.memory
        for offering, *counts, times, squares in got.rows:
            told.rows[offering] = Row(offering, *counts, times / MILLI, squares / MILLI)
        told.mark(now)
        self.told[seat] = told

    # -- operators, and agents -----------------------------------------------------------------------------

    def start(self, now: float, name: str, check: int, up: list[int]) -> str:
        """An operator's; the reason why not."""
        if self._on():
            return f"change {self.section['name']} is {self.section['state']}; it has to end first"
        if self.section.get("state") == STOPPED and (name, check) == (
            self.section["name"],
            self.section["check"],
        ):
            return f"{name} was stopped: {self.section['why']}; resume it, or change the file"
        change, mine, faults = self.named(name)
        if change is None or mine != check:
            return faults[0] if faults else "the coordinator has another file of that name"
        reason = self._misfit(now, change, up)
        if not reason:
            self._begin(now, change, name, check)
        return reason

    def _misfit(self, now: float, change: Wanted, up: list[int]) -> str:
        if len(up) < 2:
            return "only one node is up: with its process the change itself would be forgotten"
        silent = [seat for seat in up if not self._fresh(now, seat)]
        if silent:
            return f"seats {encode_ranges(silent)} tell nothing yet of what they run; ask again"
        other = [seat for seat in up if not self._runs(seat, change, change.before)]
        if other:
            return f"seats {encode_ranges(other)} do not run {change.before}"
        try:
            sets(change.stages, self._zones(), self.voters, self.terms.names)
        except ValueError as problem:
            return f"stages: {problem}"
        return ""

    def _begin(self, now: float, change: Wanted, name: str, check: int) -> None:
        self.section = {
            "number": self.section.get("number", 0) + 1,
            "name": name,
            "check": check,
            "kind": change.kind(),
            "what": change.what(),
            "before": change.before,
            "state": GOING,
            "stage": 0,
            "of": 0,
            "new": "",
            "why": "",
            "by": "",
            "zones": self._map(),
            "report": [],
        }
        self.ordered_at, self.passed = {}, -1
        self._with(now, change)
        self._changed()

    def _with(self, now: float, change: Wanted) -> None:
        """The file is there; comparisons begin."""
        self.change, self.section = change, {**self.section}
        self.stages = sets(change.stages, self._zones(), self.voters, self.terms.names)
        self.section["of"] = len(self.stages)
        self.past = Pasts()
        if not decode_ranges(self.section["new"]):  # of those that went over a new coordinator knows no past
            for seat, told in self.told.items():
                for row in told.past():
                    self.past.add(told.zone, seat, row)
        self._compare_anew()

    def hold(self, now: float) -> str:
        if self.section.get("state") not in (GOING, HELD):
            return "no change is going"
        self._state(HELD, "an operator holds it", OPERATOR)
        return ""

    def resume(self, now: float) -> str:
        """On from where it is held, past what could not be told; a stopped one from its first stage."""
        state = self.section.get("state")
        if state == HELD:
            if self.section["by"] == LITTLE:
                self.passed = self.section["stage"]
            self._state(GOING, "", "")
            return ""
        if state == STOPPED:
            change, check, faults = self.named(self.section["name"])
            if change is None or check != self.section["check"]:
                return faults[0] if faults else "the file was changed: start it"
            self._begin(now, change, self.section["name"], check)
            return ""
        return "no change is held or stopped"

    def back(self, now: float, why: str = "an operator wants it back") -> str:
        """All go back to the old version, and the change stays stopped."""
        if self.section.get("state") in (GOING, HELD, DONE):
            self._report()
            self.ordered_at = {}
            self._state(BACK, why, "")
            return ""
        return "no change is going, held or done"

    def failed(self, now: float, seat: int, number: int, why: str) -> str:
        """An agent could not have the new version, and put the old one back by itself."""
        if number == self.section.get("number") and self.section["state"] in (GOING, HELD):
            self.back(now, f"seat {seat}: {why}"[:90])
        return ""

    # -- a look --------------------------------------------------------------------------------------------

    def resumed(self, now: float, section: Any) -> None:
        """In office: goes on from what the plan says. What was compared is compared anew; what nodes told
        since the office began stays, since they tell seldom while nothing is changed."""
        self.change, self.section = None, {}
        if isinstance(section, dict) and set(KEYS) <= set(section) and len(section["zones"]) == self.seats:
            self.section = dict(section)
            self.ordered_at = dict.fromkeys(decode_ranges(section["new"]), now)
            self.stage_at, self.passed = None, -1

    def look(self, now: float, up: list[int], unfit: str) -> dict[str, Any]:
        """Once a report: what the plan is to say. `unfit`: why nothing must be changed now, if so."""
        if self._on() and self.change is None:
            self._find(now, up)
        if self.section.get("state") in (GOING, HELD) and self.change is not None:
            self._forward(now, up, unfit)
        elif self.section.get("state") == BACK:
            self._backward(now, up)
        return self.section

    def _find(self, now: float, up: list[int]) -> None:
        """A new coordinator needs the file, and to know the nodes' zones."""
        change, check, _ = self.named(self.section["name"])
        if change is None or check != self.section["check"]:
            if self.section["state"] == GOING:
                self._state(HELD, "the coordinator does not have the change's file", ITSELF)
        elif all(self._fresh(now, seat) for seat in up):
            self._with(now, change)

    def _forward(self, now: float, up: list[int], unfit: str) -> None:
        named = decode_ranges(self.section["new"])
        new = [seat for seat in named if seat in up]
        reason = unfit or self._zone_down(up) or self._lag(now, new)
        if not reason:
            self._compare(now, up)
            worse = self._worse(now, new)
            if worse:
                self.back(now, worse)
                return
        self._hold_for(reason)
        if self.section["state"] == HELD and self.section["by"] != LITTLE:
            return
        left = [seat for seat in self._stage() if seat in up and seat not in named]
        if not all(self._settled(now, seat) for seat in new):
            return
        batch = self._batch(left, up, self.terms.at_once)
        if batch and self.section["state"] == GOING:
            self._order(now, named + batch)
        elif not left:
            self._judge(now)

    def _judge(self, now: float) -> None:
        """All of the stage are on the new version: whether it may go on."""
        self.stage_at = now if self.stage_at is None else self.stage_at
        compare, stage = self.change.compare, self.section["stage"]
        if now < self.stage_at + compare.seconds:
            return
        verdict, key = self.comparison.judged()
        last = stage >= len(self.stages) - 1
        if last or verdict is Verdict.FINE or self.passed == stage:
            # Seats that are down are named too: they come up on the new version.
            self._report()
            named = dict.fromkeys(decode_ranges(self.section["new"]) + self.stages[stage])
            self._order(now, list(named))
            self.section = {**self.section, "stage": stage + (not last)}
            self._state(DONE if last else GOING, "", "")
            self._compare_anew()
        elif now >= self.stage_at + compare.most and self.section["state"] == GOING:
            what = f"{key[0]} cannot be told" if key else "there is nothing to compare"
            self._state(HELD, f"too little traffic: {what}", LITTLE)

    def _backward(self, now: float, up: list[int]) -> None:
        """A zone at a time, but for a second voter; who is silent holds nobody up for long."""
        new = decode_ranges(self.section["new"])
        out = [seat for seat in up if not self._old(now, seat) and seat not in new]
        if any(now < self.ordered_at.get(seat, now) + BACK_PATIENCE for seat in out):
            for seat in out:
                self.ordered_at.setdefault(seat, now)
            return
        batch = self._batch([seat for seat in new if seat in up], up, 1.0)
        if batch:
            self._order(now, [seat for seat in new if seat not in batch])
        else:
            self._order(now, [])
            if not out or all(now >= self.ordered_at.get(seat, now) + BACK_PATIENCE for seat in out):
                self._state(STOPPED, self.section["why"], "")

    # -- the parts of it -----------------------------------------------------------------------------------

    def _on(self) -> bool:
        return self.section.get("state") in (GOING, HELD, BACK)

    def _fresh(self, now: float, seat: int) -> bool:
        told = self.told.get(seat)
        return told is not None and now - told.at <= max(OLD * self.terms.report, 1.0) * (
            1.0 if self._on() else 8.0
        )

    def _map(self) -> str:
        """The zone of each seat, a letter each; of those that never told, the first zone. It is in the plan,
        so that each coordinator of a change has the same stages."""
        return "".join(
            chr(FIRST + self.told[seat].zone) if seat in self.told else chr(FIRST)
            for seat in range(self.seats)
        )

    def _zones(self) -> dict[int, int]:
        return {
            seat: ord(letter) - FIRST
            for seat, letter in enumerate(self.section["zones"] if self._on() else self._map())
        }

    def _runs(self, seat: int, change: Wanted | None, name: str) -> bool:
        told = self.told.get(seat)
        if told is None:
            return False
        kind = change.kind() if change is not None else self.section["kind"]
        if kind == CONTRACTS:
            return str(told.contracts) == name
        return (told.release if kind == RELEASE else told.tag) == crc32(name.encode())

    def _new(self, seat: int) -> bool:
        return self._runs(seat, None, self.section["what"])

    def _old(self, now: float, seat: int) -> bool:
        return self._fresh(now, seat) and self._runs(seat, None, self.section["before"])

    def _settled(self, now: float, seat: int) -> bool:
        """It tells from the new version, and for long enough: a voter that began is silent for a while."""
        wait = self.terms.settle if seat in self.voters else min(self.terms.settle, 1.0)
        return self._fresh(now, seat) and self._new(seat) and now >= self.told[seat].since + wait

    def _zone_down(self, up: list[int]) -> str:
        zones = self._zones()
        for zone in sorted(set(zones.values())):
            mine = [seat for seat in zones if zones[seat] == zone]
            down = [seat for seat in mine if seat not in up]
            if len(down) > LONE * len(mine):
                name = self.terms.names[zone] if zone < len(self.terms.names) else str(zone)
                return f"most nodes of zone {name} are down"
        return ""

    def _lag(self, now: float, new: list[int]) -> str:
        late = [
            seat
            for seat in new
            if now >= self.ordered_at.get(seat, now) + PATIENCE and not self._settled(now, seat)
        ]
        return f"seats {encode_ranges(late)} do not go over" if late else ""

    def _hold_for(self, reason: str) -> None:
        if (
            reason
            and self.section["state"] == GOING
            or (reason and self.section["by"] in (ITSELF, LITTLE) and reason != self.section["why"])
        ):
            self._state(HELD, reason, ITSELF)
        elif not reason and self.section["state"] == HELD and self.section["by"] == ITSELF:
            self._compare_anew()  # what came meanwhile is not like what comes now
            self._state(GOING, "", "")

    def _batch(self, left: list[int], up: list[int], part: float) -> list[int]:
        """Of one zone, so many of its nodes that are up at the most, one voter, and nobody who is alone."""
        zones = self._zones()
        for seat in left:
            mine = [other for other in up if zones[other] == zones[seat]]
            if part < 1.0 and len(mine) < 2 and len(set(zones.values())) < len(zones):
                continue
            most, batch, voters = max(int(part * len(mine)), 1), [], 0
            for other in left:
                second = other in self.voters and voters
                if zones[other] == zones[seat] and len(batch) < most and not second:
                    batch.append(other)
                    voters += other in self.voters
            return batch
        return []

    def _order(self, now: float, seats: list[int]) -> None:
        before = decode_ranges(self.section["new"])
        changed = [seat for seat in seats if seat not in before] + [s for s in before if s not in seats]
        if changed:
            self.ordered_at |= dict.fromkeys(changed, now)
            self.section = {**self.section, "new": encode_ranges(seats)}
            self._changed()

    def _state(self, state: str, why: str, by: str) -> None:
        if (state, why) != (self.section["state"], self.section["why"]) or state == GOING:
            self.section = {**self.section, "state": state, "why": why, "by": by}
            self._changed()

    def _changed(self) -> None:
        section = self.section
        self.event(
            "stage",
            number=section["number"],
            name=section["name"],
            state=section["state"],
            stage=section["stage"],
            of=section["of"],
            new=section["new"],
            brings=section["what"],
            before=section["before"],
            kind=section["kind"],
            why=section["why"],
            most=self._most(),
        )

    def _most(self) -> int:
        """Nodes that the stage allows."""
        if not self.stages or self.section["state"] not in (GOING, HELD):
            return len(decode_ranges(self.section["new"]))
        return len(self._stage())

    def _stage(self) -> list[int]:
        """The seats of the stage that is under way."""
        return self.stages[min(self.section["stage"], len(self.stages) - 1)]

    def _stage_before(self) -> list[int]:
        """The seats of the stage before that, none at the first one."""
        return self.stages[self.section["stage"] - 1] if self.section["stage"] else []

    # -- the comparison ------------------------------------------------------------------------------------

    def _compare_anew(self) -> None:
        self.stage_at, self.leaks = None, {}
        # Of the nodes that joined at this stage: those before would hide what shows on some alone; and of all
        # that are new, for what shows late. Two looks share the chance of a false stop.
        self.comparison, self.whole = (
            CanaryAnalysis(self.change.compare.worse(), 2 * len(self.stages), self.past) for _ in range(2)
        )
        for told in self.told.values():
            told.seen = dict(told.rows)

    def _compare(self, now: float, up: list[int]) -> None:
        """What came since the last look, of the zones in which both versions are at work."""
        new = decode_ranges(self.section["new"])
        sides: dict[int, list[tuple[int, bool]]] = {}
        for seat in up:
            is_new = seat in new and self._settled(now, seat)
            if self._fresh(now, seat) and (is_new or seat not in new and self._old(now, seat)):
                sides.setdefault(self.told[seat].zone, []).append((seat, is_new))
        for zone, seats in sides.items():
            both = len({is_new for _, is_new in seats}) == 2
            for seat, is_new in seats:
                self._add(zone, seat, is_new, both)
        for seat, told in self.told.items():
            if seat in new and not self._settled(now, seat):
                told.seen = dict(told.rows)

    def _add(self, zone: int, seat: int, is_new: bool, both: bool) -> None:
        told = self.told[seat]
        for offering, row in told.rows.items():
            came = row.minus(told.seen.get(offering, Row(offering)))
            if came is not None and both:
                self.whole.add(zone, seat, is_new, came)
                if not is_new or seat not in self._stage_before():
                    self.comparison.add(zone, seat, is_new, came)
            told.seen[offering] = row

    def _worse(self, now: float, new: list[int]) -> str:
        for one in (self.comparison, self.whole):
            verdict, key = one.judged()
            if verdict is Verdict.WORSE:
                mine, others, count, _ = one.shown(key)
                return f"{key[0]} {mine:.3f} against {others:.3f} with the old version, of {count:.0f}"
        return self._leaks(now, new)

    def _leaks(self, now: float, new: list[int]) -> str:
        """One new node is enough, for so long more than any old one has: the middle of them hid those that
        had joined last."""
        others = [
            told.memory for seat, told in self.told.items() if self._fresh(now, seat) and self._old(now, seat)
        ]
        if not others:
            return ""
        most = max(median(others) * self.change.compare.memory, median(others) + LEAK_LEAST, max(others))
        self.leaks = {
            seat: self.leaks.get(seat, 0) + 1
            for seat in new
            if self._settled(now, seat) and self.told[seat].memory > most
        }
        for seat, looks in self.leaks.items():
            if looks >= LEAK_LOOKS:
                return (
                    f"memory {self.told[seat].memory / 10:.0f} MB of seat {seat} against "
                    f"{median(others) / 10:.0f} with the old version"
                )
        return ""

    # -- for people ----------------------------------------------------------------------------------------

    def dry(self, now: float, name: str, check: int, up: list[int], page: int) -> tuple[bool, str]:
        """What a start would do, a stage a page; nothing is done."""
        change, mine, faults = self.named(name)
        if change is None or mine != check:
            return False, faults[0] if faults else "the coordinator has another file of that name"
        reason = self._misfit(now, change, up)
        if reason:
            return False, reason
        found, before = sets(change.stages, self._zones(), self.voters, self.terms.names), []
        lines = []
        for number, stage in enumerate(found):
            more = [seat for seat in stage if seat not in before]
            lines.append(
                f"stage {number + 1} of {len(found)}: {len(stage)} nodes, new are {encode_ranges(more)}"
            )
            before = stage
        zones = self._zones()
        lone = [seat for seat in up if not [o for o in up if o != seat and zones[o] == zones[seat]]]
        lines += (
            [
                f"seats {encode_ranges(lone)} are alone in their zones: "
                "nobody is beside them while they go over"
            ]
            if lone
            else []
        )
        return True, lines[page] if page < len(lines) else "end"

    def _report(self) -> None:
        """The end of a stage: each figure with the new version and with the old one, in the log; the worst of
        them in the plan, where they outlive this coordinator."""
        found, stage = [], self.section["stage"]
        for key in sorted(self.comparison.zones):
            new, old, many, few = self.comparison.shown(key)
            verdict = self.comparison.verdict(key)
            self.event(
                "figure",
                number=self.section["number"],
                stage=stage,
                figure=key[0],
                offering=key[1],
                new=round(new, 4),
                old=round(old, 4),
                of=[int(many), int(few)],
                verdict=verdict.name.lower(),
            )
            rank = verdict is not Verdict.WORSE, -self.comparison.evidence(key)[0]
            found.append(
                (rank, [stage, *key, round(new, 4), round(old, 4), int(many), int(few), int(verdict)])
            )
        worst = [row for _, row in sorted(found)[:TOLD]]
        self.section = {**self.section, "report": [*self.section.get("report", []), *worst][-MOST_TOLD:]}

    def page(self, number: int) -> str:
        """The comparison for an operator, a figure a page: its name, offering, both means, on how many nodes'
        tasks each rests, and the verdict."""
        keys = sorted(self.comparison.zones)
        if number >= len(keys):
            return "end"
        key: Key = keys[number]
        new, old, many, few = self.comparison.shown(key)
        verdict = self.comparison.verdict(key).name.lower()
        return f"{key[0]} {key[1] or ALL} {new:.4f} {old:.4f} {many:.0f} {few:.0f} {verdict}"
