"""Short runs of real processes for the tests, several beside each other."""

import asyncio
import sys
from pathlib import Path

import uvloop

from firwalk.lab import several
from firwalk.lab.hard import fault
from firwalk.lab.rig import Rig
from firwalk.lab.scenario import Cluster, Fleet, Load, Offering, Run, Scenario

DOUBLES = str(Path(__file__).parent / "doubles.py")
OFFERINGS = [
    Offering("read", "idempotent", rate=30, cost=0.02),
    Offering("put", "fingerprinted", rate=15, cost=0.03),
    Offering("send", "side-effecting", rate=15, cost=0.03),
]
QUICK = Cluster([0, 1, 2], length=0.8, period=0.3, answer=0.1, report=0.2, hold=1.2)


def scenario(
    *faults, nodes=5, zones=1, executors=6, seconds=6.0, cluster=QUICK, seed=1, offerings=None, **fleet
):
    return Scenario(
        Fleet(nodes=nodes, zones=zones, executors=executors, **fleet),
        offerings or OFFERINGS,
        run=Run(seconds=seconds, seed=seed),
        load=Load(),
        cluster=cluster,
        faults=list(faults),
    )


__all__ = ["fault"]  # the days' own, handed on to the tests


def play(*wanted, at_once=4, act=None):
    """Reports of (scenario, double or None), in order, and what was seen; `act(rig)` runs beside each, which
    keeps these in one process."""
    told = [(scenario, None, [DOUBLES, double] if double else None) for scenario, double in wanted]
    if act is None:
        return undisturbed(told, several.beside(told, at_once), at_once)

    async def one(scenario, seed, program):
        rig = Rig(scenario, seed, program=program)
        beside = asyncio.ensure_future(act(rig))
        try:
            return await rig.run(), rig
        finally:
            beside.cancel()

    async def all_of_them():
        return await asyncio.gather(*(one(*each) for each in told))

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(all_of_them())


def undisturbed(told, played, at_once):
    """Runs in which the rig or the machine's host stood still are played once more, whatever they showed: how
    soon the fleet decides is not to be told from them. What they broke, and what crashed, counts all the
    same."""
    late = [number for number, (_, seen) in enumerate(played) if seen.disturbed()]
    if not late:
        return played
    for number in late:
        seen = played[number][1]
        print(
            f"run {number} was disturbed (rig late by {seen.lag:.2f} s, {seen.stolen_share:.0%} of the "
            "processors' time taken by the host): played once more"
        )
    played = list(played)
    again = several.beside([told[number] for number in late], max(at_once // 2, 1))
    for number, (report, seen) in zip(late, again, strict=True):
        played[number] = with_breaks_of(played[number][0], report), seen
    return played


def with_breaks_of(earlier, report):
    """The report, with what an earlier run of the same day broke."""
    counts = {
        word: {name: report[word][name] + count for name, count in earlier[word].items()}
        for word in ("rules", "invariants")
    }
    return report | counts | {word: earlier[word] + report[word] for word in ("breaks", "crashes")}


def sound(report):
    """What is broken, in a form that a failing test shows."""
    return [(b["name"], b["at"], b["text"], b["history"]) for b in report["breaks"]] + report["crashes"]


def events(rig, what, since=0.0):
    return sorted(
        (e for node in rig.nodes for e in node.events if e["event"] == what and e["at"] >= rig.began + since),
        key=lambda e: e["at"],
    )


assert sys.version_info >= (3, 11)
