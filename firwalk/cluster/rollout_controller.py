"""A node's part in changes by stages: what it counts of its tasks, what it tells, and which version it is to
run by the plan that it follows.

No I/O. Acts on a desk (`firwalk.dispatcher.dispatcher.Desk`), which is handed in. Times are seconds.
"""

from __future__ import annotations

from collections.abc import Callable
from math import log
from typing import Any
from zlib import crc32

from firwalk.cluster import messages as m
from firwalk.cluster.canary_analysis import Row
from firwalk.cluster.node_id_ranges import decode_ranges
from firwalk.cluster.rollout import BACK, CONTRACTS, DONE, GOING, HELD, STOPPED, Rollout, RolloutPolicy

SELDOM = 10  # reports between two tellings while nothing is changed
MILLI = 1e3
MOST_TIMES = 2**48  # of a sum that is told


class RolloutCounters:
    """Counts final answers and what they took; the desk tells of each."""

    def __init__(self) -> None:
        self.offerings: dict[str, Row] = {}

    def of(self, offering: str) -> Row:
        found = self.offerings.get(offering)
        if found is None:
            found = self.offerings[offering] = Row(crc32(offering.encode()))
        return found

    def finished(self, offering: str, assignments: int, took: float, late: bool) -> None:
        one = self.of(offering)
        one.tasks, one.assignments, one.late = one.tasks + 1, one.assignments + assignments, one.late + late
        logarithm = log(max(took * MILLI, 1.0))
        one.finished, one.times = one.finished + 1, one.times + logarithm
        one.squares += logarithm * logarithm

    def bounced(self, offering: str, assignments: int) -> None:
        one = self.of(offering)
        one.tasks, one.bounced = one.tasks + 1, one.bounced + 1
        one.assignments += assignments

    def abandoned(self, offering: str, assignments: int) -> None:
        one = self.of(offering)
        one.tasks, one.abandoned = one.tasks + 1, one.abandoned + 1
        one.assignments += assignments

    def erred(self, offering: str) -> None:
        self.of(offering).errors += 1

    def rows(self) -> list[tuple[int, ...]]:
        return [
            (
                c.offering,
                c.tasks,
                c.late,
                c.abandoned,
                c.bounced,
                c.errors,
                c.assignments,
                c.finished,
                min(int(c.times * MILLI), MOST_TIMES),
                min(int(c.squares * MILLI), MOST_TIMES),
            )
            for _, c in sorted(self.offerings.items())
        ]


class RolloutController:
    """One life of a seat. `release` and `tag`: what this process runs, and its configuration's tag; `zone`:
    the node's; `memory()` in bytes; `named(name)` gives a change, its file's checksum, and its faults."""

    def __init__(
        self,
        seat: Any,
        tally: RolloutCounters,
        release: str,
        tag: Callable[[], str],
        zone: int,
        memory: Callable[[], float],
        terms: RolloutPolicy,
        named: Callable[[str], tuple[Any, int, list[str]]],
    ):
        self.seat, self.tally, self.release, self.tag, self.zone = seat, tally, release, tag, zone
        self.memory, self.turn, self.was, self.told_to = memory, 0, ("", 0), m.NOBODY
        self.contracts_version: Callable[[], int] = lambda: 0  # of those that this node goes by
        self.roll: Rollout | None = None
        if seat.writer is not None:
            self.roll = Rollout(terms, seat.candidate.voters, seat.seats, named, seat.host.event)
        seat.changing = self

    def start(self, now: float) -> None:
        self._runs()
        self.seat.host.set_timer(now, self._tell, None)

    def _runs(self) -> None:
        self.was = self.tag(), self.contracts_version()
        self.seat.host.event("runs", release=self.release, tag=self.was[0], contracts=self.was[1])

    # -- what the plan wants -------------------------------------------------------------------------------

    def section(self, now: float) -> dict[str, Any] | None:
        """Of the plan in force; None: there is none, and nothing is to be changed now."""
        sections = self.seat.follower.now_in_force(now)
        return None if sections is None else sections.get("stages", {})

    def wanted(self, now: float) -> str:
        """For the agent: `hold` (no plan in force), `nothing` (no change was ever asked for), or the change's
        number, its kind, what this node is to run, and the change's state."""
        section = self.section(now)
        if section is None:
            return "hold"
        try:
            new = self.seat.seat in decode_ranges(section["new"])
            what = section["what"] if new else section["before"]
            if section["kind"] == CONTRACTS:
                return "nothing"  # the node itself goes over; its agent has no part in that
            return f"{section['number']} {section['kind']} {what} {section['state']}"
        except (KeyError, TypeError, ValueError):
            return "nothing"

    # -- what it tells -------------------------------------------------------------------------------------

    def _tell(self, now: float, _: None) -> None:
        report, office = self.seat.follower.report, self.seat.follower.office
        if (self.tag(), self.contracts_version()) != self.was:
            self._runs()
            self.turn = SELDOM  # what the coordinator knows of this node holds no more
        self.turn += 1
        if office != m.NOBODY and (self._busy(now) or self.turn >= SELDOM or office != self.told_to):
            self.turn, self.told_to = 0, office  # a new coordinator is told at once
            for message in self.figures(now):
                self.seat.host.tell(office[1], message)
        self.seat.host.set_timer(now + report, self._tell, None)

    def _busy(self, now: float) -> bool:
        section = self.section(now) or {}
        return section.get("state") in (GOING, HELD, BACK)

    def figures(self, now: float) -> list[m.RolloutMetrics]:
        rows = self.tally.rows()
        parts = [rows[at : at + m.MOST_COUNTED] for at in range(0, len(rows), m.MOST_COUNTED)] or [[]]
        number = (self.section(now) or {}).get("number", 0)
        memory = min(int(self.memory() / 1e5), 65535)
        runs = crc32(self.release.encode()), crc32(self.was[0].encode())
        return [m.RolloutMetrics(number, *runs, self.zone, memory, part, self.was[1]) for part in parts]

    # -- the coordinator's ---------------------------------------------------------------------------------

    def came(self, now: float, seat: int, generation: int, got: m.RolloutMetrics) -> None:
        if self.roll is not None and self.seat.writer.in_office(now):
            self.roll.figures_came(now, seat, generation, got)

    def opened(self, now: float, section: Any) -> None:
        if self.roll is not None:
            self.roll.resumed(now, section)

    def contracts(self) -> tuple[int, int, str] | None:
        """Versions of contracts that a change goes from and to, and `done` or `stopped` once it is over."""
        told = self.roll.section if self.roll is not None else {}
        if told.get("kind") != CONTRACTS:
            return None
        over = told["state"] if told["state"] in (DONE, STOPPED) else ""
        return int(told["before"]), int(told["what"]), over

    def look(self, now: float, up: list[int]) -> dict[str, Any]:
        """What the plan is to say of changes."""
        zones = self.seat.zones
        unfit = (
            next(
                (
                    f"zone {zone.number} is not open"
                    for zone in zones.all
                    if zone.state or zone.is_drained or zone.is_drained_by_file
                ),
                "",
            )
            if zones is not None
            else ""
        )
        section = self.roll.look(now, up, unfit)
        return {"stages": section} if section else {}

    def word_came(self, now: float, seat: int, got: m.RolloutCommand) -> tuple[bool, str]:
        """An operator's word, or an agent's, at the coordinator: whether it is done, and what is said."""
        roll, up = self.roll, self.seat.members.up()
        if roll is None or not self.seat.writer.in_office(now) or not self.seat.writer.version:
            return False, "the coordinator is just coming into office; ask again"
        if got.word == "page":
            return True, roll.page(got.check)
        if got.word == "dry":
            page = int(got.text) if got.text.isdecimal() else 0
            return roll.dry(now, got.name, got.check, up, page)
        acts: dict[str, Callable[[], str]] = {
            "start": lambda: roll.start(now, got.name, got.check, up),
            "hold": lambda: roll.hold(now),
            "resume": lambda: roll.resume(now),
            "back": lambda: roll.back(now),
            "failed": lambda: roll.failed(now, seat, got.check, got.text),
        }
        if got.word not in acts:
            return False, "no such word"
        reason = acts[got.word]()
        if not reason:
            self.seat.writer.put(now, self.look(now, up))
        return not reason, reason
