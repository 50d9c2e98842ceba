"""Concurrent runs of the rig, and the network cost of cluster membership by fleet size.

Each run has its own process: in one event loop, the relays and simulated executors of three runs delayed each
other by more than the invariant checks tolerate (three correct runs were reported as violations at once).
"""

from __future__ import annotations

import asyncio
import multiprocessing
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from statistics import median

import uvloop
from msgspec.structs import replace

from firwalk.lab.report import kept
from firwalk.lab.rig import Rig
from firwalk.lab.scenario import Scenario
from firwalk.lab.virtual import Schedule, World

SETTLE_SECONDS = 20.0  # Seconds of virtual time before network costs are counted.
MEASURED_SECONDS = 20.0  # Seconds of virtual time for which network costs are counted.
DISTURBED_LAG_S = 0.25  # Lag of the rig's event loop above which a run's timings are invalid.
DISTURBED_STOLEN_SHARE = 0.15  # Share of stolen CPU time above which a run's timings are invalid.


@dataclass
class NodeRecord:
    """Events and log lines of one node in a run, on the rig's clock."""

    number: int
    events: list[dict]
    lines: list[tuple[float, int, str]]
    programs: int  # Processes that the node had, concurrently or in succession.


@dataclass
class Seen:
    """Data of a run beyond its report, for closer inspection."""

    began: float
    ended: float
    lag: float  # Maximum lag of the rig's event loop in seconds.
    stolen_share: float  # Share of CPU time taken by the hypervisor.
    nodes: list[NodeRecord] = field(default_factory=list)

    def disturbed(self) -> bool:
        """Return whether the machine was too overloaded for the timings to be those of the nodes."""
        return self.lag > DISTURBED_LAG_S or self.stolen_share > DISTURBED_STOLEN_SHARE


def seen(rig: Rig) -> Seen:
    return Seen(
        rig.began,
        rig.ended,
        rig.lag,
        rig.stolen_share,
        [NodeRecord(node.number, node.events, node.lines, len(node.programs)) for node in rig.nodes],
    )


RunSpec = tuple[Scenario, int | None, list[str] | None]  # Scenario, seed and program.


def _run(wanted: RunSpec) -> tuple[dict, Seen]:
    scenario, seed, program = wanted
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        rig = Rig(scenario, seed, program=program)
        return runner.run(rig.run()), seen(rig)


def beside(wanted: Iterable[RunSpec], at_once: int) -> list[tuple[dict, Seen]]:
    """Run scenarios concurrently and return their results in the order given.

    Raises PortsInUse, OSError or RuntimeError if a run could not start.
    """
    # multiprocessing.Pool would replace a worker that cannot start endlessly; ProcessPoolExecutor raises.
    with ProcessPoolExecutor(at_once, multiprocessing.get_context("spawn"), max_tasks_per_child=1) as pool:
        return list(pool.map(_run, list(wanted)))


def runs(scenario: Scenario, seeds: Iterable[int], at_once: int) -> list[dict]:
    return [report for report, _ in beside([(scenario, seed, None) for seed in seeds], at_once)]


def with_and_without(scenario: Scenario, seeds: Iterable[int], at_once: int) -> tuple[list[dict], list[dict]]:
    """Run a scenario with the cluster and without its file, where each node decides alone, for each seed.

    The two runs of a seed are neighbours in the order of execution.
    """
    return both(scenario, replace(scenario, cluster=None), seeds, at_once)


def both(one: Scenario, other: Scenario, seeds: Iterable[int], at_once: int) -> tuple[list[dict], list[dict]]:
    """Run two scenarios, alternating for each seed, and return the reports of each."""
    found = beside([(told, seed, None) for seed in seeds for told in (one, other)], at_once)
    return [report for report, _ in found[::2]], [report for report, _ in found[1::2]]


def without_offering(
    scenario: Scenario, name: str, seeds: Iterable[int], at_once: int
) -> tuple[list[dict], list[dict]]:
    """Run a scenario with and without an offering's clients, alternating for each seed.

    The other arrivals are the same only if that offering is the last one of the scenario.
    """
    rest = replace(scenario, offerings=[o for o in scenario.offerings if o.name != name])
    return both(scenario, rest, seeds, at_once)


def served(reports: list[dict], name: str, since: float) -> float:
    """Return the fraction of an offering's requests that finished in time, over windows from `since` on."""
    spells = [
        one
        for report in reports
        for one in report["service"].get(name, {}).get("windows", [])
        if one["at"] >= since
    ]
    tasks = sum(one["tasks"] for one in spells)
    return sum(one["in_time"] for one in spells) / tasks if tasks else 1.0


def beside_a_flood(with_: list[dict], rest: list[dict], since: float) -> list[str]:
    """Compare the other offerings with and without the flood from `since` on, as lines of text."""
    told = []
    for name in rest[0]["service"]:
        mine, alone = served(with_, name, since), served(rest, name, since)
        told.append(
            f"{name} from second {since:g}: in time {mine:.4f} with it, {alone:.4f} without, "
            f"{alone - mine:.4f} less"
        )
    for name in with_[0]["budgets"]:
        parts = [report["budgets"][name] for report in [*with_, *rest]]
        told.append(
            f"{name}: at most {max(p['ran'] / p['budget'] for p in parts):.4f} of its budget ran; "
            f"live parts at most {max(p['most_out'] for p in parts):.4f} of the whole"
        )
    return told


def lost(reports: list[dict]) -> float:
    """Return the fraction of requests that did not finish in time."""
    served = [told for report in reports for told in report["service"].values()]
    tasks = sum(told["tasks"] for told in served)
    return 1.0 - sum(told["in_time"] for told in served) / tasks if tasks else 0.0


def compared(with_: list[dict], without: list[dict]) -> str:
    crossed = [sum(report["counts"]["crossed"] for report in side) for side in (with_, without)]
    mine, alone = lost(with_), lost(without)
    kept = f"; {1 - mine / alone:.2f} of what is lost without is kept" if alone else ""
    return (
        f"not in time: {mine:.5f} with the cluster, {alone:.5f} without{kept}; "
        f"crossed {crossed[0]} and {crossed[1]}"
    )


def lines(reports: list[dict], scenario: Scenario) -> list[str]:
    length = scenario.cluster.length if scenario.cluster else 1.0
    gaps = [gap for report in reports for gap in report["leaderless"]]
    tasks = sum(told["tasks"] for report in reports for told in report["service"].values())
    done = sum(told["finished"] for report in reports for told in report["service"].values())
    in_time = sum(told["in_time"] for report in reports for told in report["service"].values())
    found = [
        f"{len(reports)} runs, seeds {reports[0]['seed']} to {reports[-1]['seed']}: "
        f"{sum(map(kept, reports))} with all rules and invariants kept",
        f"tasks {tasks}, finished {done / max(tasks, 1):.4f}, in time {in_time / max(tasks, 1):.4f}",
    ]
    if gaps:
        found.append(
            f"without a coordinator {len(gaps)} times: median {median(gaps) / length:.2f}, "
            f"worst {max(gaps) / length:.2f} lengths of the lease"
        )
    for word in ("suspected", "down", "coordinators", "datagrams", "datagrams lost"):
        found.append(f"{word}: {sum(report['counts'][word] for report in reports)}")
    found.append(f"the rig's own delay: {max(r['rig']['own_delay_ms'] for r in reports)} ms at most")
    for report in reports:
        found += [f"seed {report['seed']}: BROKEN {b['name']}: {b['text']}" for b in report["breaks"][:1]]
        found += [f"seed {report['seed']}: CRASHED {line}" for line in report["crashes"][:1]]
    return found


def cost(size: int) -> str:
    """Return a line with the send rates of the busiest and the average non-voter and of the coordinator.

    Lost datagrams count as sent.
    """
    voters = [0, size // 2, size - 1]
    world = World(Schedule(1, size, voters, SETTLE_SECONDS + MEASURED_SECONDS), by_bytes=True)
    world.run(SETTLE_SECONDS)
    before, before_bytes = list(world.out), list(world.bytes_out)
    first = world.coordinator()
    world.run(SETTLE_SECONDS + MEASURED_SECONDS)
    out = [(b - a) / MEASURED_SECONDS for a, b in zip(before, world.out, strict=True)]
    sent = [(b - a) / MEASURED_SECONDS for a, b in zip(before_bytes, world.bytes_out, strict=True)]
    others = [number for number in range(size) if number not in voters]
    up = sum(len(p.seat.members.up()) == size for p in world.processes)
    return (
        f"{size} nodes: a node sends {max(out[n] for n in others):.1f} datagrams and "
        f"{max(sent[n] for n in others):.0f} bytes a second at most, "
        f"{sum(out[n] for n in others) / len(others):.1f} "
        f"and {sum(sent[n] for n in others) / len(others):.0f} on the mean; the coordinator "
        f"{out[first]:.1f} and {sent[first]:.0f}; {up} of {size} see all up"
    )
