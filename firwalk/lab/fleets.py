"""Comparison of a scenario with and without zone steering, on a simulated fleet over several seeds.

Both sides of a comparison have the same arrivals and faults. The simulation is that of `firwalk.lab.fleet`.
"""

from __future__ import annotations

from multiprocessing import Pool

from msgspec import Struct
from msgspec.structs import replace

from firwalk.lab.fleet import KINDS, Fleet, Job
from firwalk.lab.scenario import Scenario

SETTLE = 6.0  # Seconds of virtual time before the first arrival.
EVALUATED_SECONDS = 10.0  # Seconds evaluated after the start of a fault and after its end.
SIDES = ("with", "without")


class Spell(Struct):
    """Requests that arrived within an interval."""

    tasks: int = 0
    in_time: int = 0
    worth: float = 0.0  # Sum of the importance of all requests.
    worth_in_time: float = 0.0

    def add(self, jobs: list[Job]) -> None:
        self.tasks += len(jobs)
        self.in_time += sum(job.in_time() for job in jobs)
        self.worth += sum(job.offering.importance for job in jobs)
        self.worth_in_time += sum(job.offering.importance for job in jobs if job.in_time())

    def lost(self) -> float:
        return 1.0 - self.worth_in_time / self.worth if self.worth else 0.0


class Shown(Struct):
    """Results of one run."""

    seed: int
    side: str
    fault: Spell
    back: Spell
    whole: Spell
    crossed: float  # Share of attempts sent to another zone.
    most_used: float  # Highest mean slot utilization of a zone during the fault.
    moves: int  # Number of changes of a zone's state or step.
    follow: float  # Seconds from the fault until the fleet steered away from a zone; 0 if it did not.
    breaks: list[str]


def misfits(scenario: Scenario) -> list[str]:
    """Return a line for each part of a scenario that virtual time does not support."""
    wrong = [
        f"faults[{number}].kind: virtual time has no {fault.kind}; it has {', '.join(KINDS)}"
        for number, fault in enumerate(scenario.faults)
        if fault.kind not in KINDS
    ]
    if scenario.cluster is None or not scenario.cluster.regions:
        wrong.append("cluster.regions: is missing: the part for zones is what is compared")
    return wrong


def scaled(scenario: Scenario, nodes: int) -> Scenario:
    """Return the scenario for `nodes` nodes, with executors and traffic in proportion."""
    times = nodes / scenario.fleet.nodes
    fleet = replace(scenario.fleet, nodes=nodes, executors=round(scenario.fleet.executors * times))
    offerings = [replace(o, rate=o.rate * times) for o in scenario.offerings]
    cluster = scenario.cluster
    if cluster is not None:
        step = max(nodes // len(cluster.voters), 1)
        cluster = replace(cluster, voters=[n * step for n in range(len(cluster.voters))])
    return replace(scenario, fleet=fleet, offerings=offerings, cluster=cluster)


def shown(told: tuple[Scenario, str, int]) -> Shown:
    scenario, side, seed = told
    faults = scenario.faults
    fleet = Fleet(scenario if side == "with" else replace(scenario, cluster=None), seed)
    fleet.run(SETTLE)
    at = faults[0].at if faults else 0.0
    end = max((fault.at + fault.lasts for fault in faults), default=0.0)
    spells = Spell(), Spell(), Spell()
    for spell, since, until in zip(
        spells, (at, end, 0.0), (at + EVALUATED_SECONDS, end + EVALUATED_SECONDS, 1e9), strict=True
    ):
        spell.add([job for job in fleet.jobs if since <= job.intended - SETTLE < until])
    zoned = [(when - SETTLE, about) for when, _, _, what, about in fleet.world.history if what == "zone"]
    away = [when for when, about in zoned if about["mode"] == "away"]
    counts = fleet.counts
    return Shown(
        seed,
        side,
        *spells,
        counts["crossed"] / max(counts["sent"], 1),
        _max_zone_utilization(fleet, at, end) if faults else 0.0,
        len(zoned),
        away[0] - at if away else 0.0,
        fleet.breaks,
    )


def _max_zone_utilization(fleet: Fleet, since: float, until: float) -> float:
    """Return the highest mean utilization of a zone during the fault, leaving out its first second."""
    zones = range(fleet.scenario.fleet.zones)
    slots = [sum(w.slots for w in fleet.workers if w.zone == zone) for zone in zones]
    first, last = int(since) + 2, int(until)
    if last <= first:
        return 0.0
    return max(
        (fleet.used[last][zone] - fleet.used[first][zone]) / (last - first) / slots[zone] for zone in zones
    )


def compared(scenario: Scenario, nodes: int, seeds: range, workers: int) -> list[Shown]:
    wanted = [(scaled(scenario, nodes), side, seed) for seed in seeds for side in SIDES]
    with Pool(workers) as pool:
        return pool.map(shown, wanted, chunksize=1)


def lines(found: list[Shown], nodes: int) -> list[str]:
    by = {side: [one for one in found if one.side == side] for side in SIDES}
    told = [
        f"{nodes} nodes, {len(by['with'])} seeds, virtual time; lost: part of the importance that was "
        "not finished in time"
    ]
    for word, name in (
        ("fault", f"{EVALUATED_SECONDS:.0f} s from the fault"),
        ("back", f"{EVALUATED_SECONDS:.0f} s from its end"),
        ("whole", "the whole run"),
    ):
        lost = [
            sum(getattr(one, word).worth - getattr(one, word).worth_in_time for one in by[side])
            for side in SIDES
        ]
        all_ = sum(getattr(one, word).worth for one in by["with"])
        kept = f"; of what is lost without, {1 - lost[0] / lost[1]:.2f} is kept" if lost[1] else ""
        tasks = [
            sum(getattr(one, word).tasks - getattr(one, word).in_time for one in by[side]) for side in SIDES
        ]
        counted = f" ({1 - tasks[0] / tasks[1]:.2f} of the tasks)" if tasks[1] else ""
        told.append(
            f"{name}: lost {lost[0] / max(all_, 1e-9):.5f} with the part, "
            f"{lost[1] / max(all_, 1e-9):.5f} without{kept}; tasks lost {tasks[0]} and {tasks[1]} of "
            f"{sum(getattr(one, word).tasks for one in by['with'])}{counted}"
        )
    for side in SIDES:
        mine = by[side]
        told.append(
            f"{side}: crossed {sum(o.crossed for o in mine) / len(mine):.4f}, the most used zone "
            f"{max(o.most_used for o in mine):.3f}, moves {max(o.moves for o in mine)} at most, "
            f"decided after {sum(o.follow for o in mine) / len(mine):.2f} s, "
            f"breaks {sum(len(o.breaks) for o in mine)}"
        )
    told += [f"seed {one.seed} {one.side}: BROKEN {one.breaks[0]}" for one in found if one.breaks]
    return told
