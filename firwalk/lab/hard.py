"""Difficult scenarios for zone steering and staged rollouts, for multi-process runs.

Tests run them with a few nodes, measurements with a dozen; zone scenarios are compared with the same run
without zone steering. Times are seconds; the cluster's timeouts are shorter than in production, to keep runs
short.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from statistics import median

from msgspec.structs import replace

from firwalk.lab import several
from firwalk.lab.report import kept
from firwalk.lab.scenario import Cluster, Fault, Fleet, Load, Offering, Roll, Run, Scenario

BASE_NODES = 6  # Number of nodes that the rates of the zone scenarios assume.
COMPARED_SECONDS = 10.0  # Seconds after the first fault that are compared.
ROLLOUT_START = 3.0  # Time at which the rollout starts; by then all nodes have reported their versions.
ZONED = Cluster(
    [0, 1, 2], length=0.8, period=0.3, answer=0.1, report=0.25, hold=1.2, regions=[["a", "b", "c"]]
)
ROLLOUT_CLUSTER = Cluster([0, 1, 2], length=0.8, period=0.3, answer=0.1, report=0.2, hold=1.2)
COMPLETED_RUN_SECONDS, ROLLED_BACK_RUN_SECONDS = (
    60.0,
    24.0,
)  # Duration of a run in seconds: with a completed rollout, and with a rollback.
VERSIONS = ("good", "errors", "slow", "wrong", "dies", "leak")


def fault(
    at: float,
    kind: str,
    on: str | list[str],
    lasts: float = 0.0,
    to: str | list[str] = (),
    value: float = 0.0,
    one_way: bool = False,
    message: str = "",
) -> Fault:
    names, others = ([one] if isinstance(one, str) else list(one) for one in (on, to))
    return Fault(at, kind, lasts, names, others, value, one_way, message)


# -- zones ---------------------------------------------------------------------------------------------------


def zones(nodes: int = BASE_NODES) -> dict[str, Scenario]:
    """Return the zone scenarios by name: three zones, with three executors a zone for every six nodes."""
    times = nodes / BASE_NODES
    load = [
        Offering("read", rate=120 * times, cost=0.05, due=0.6, expiry=1.5),
        Offering("send", "side-effecting", rate=40 * times, cost=0.05, due=0.6, expiry=1.5),
    ]

    def day(
        *faults: Fault, seconds: float = 12.0, part: float = 1.0, regions: list | None = None
    ) -> Scenario:
        return Scenario(
            Fleet(nodes=nodes, zones=3, executors=round(9 * times)),
            [replace(one, rate=one.rate * part) for one in load],
            run=Run(seconds=seconds, seed=1),
            load=Load(),
            cluster=replace(ZONED, regions=regions or ZONED.regions),
            faults=list(faults),
        )

    cut = fault(4.0, "cut", "executors:c", 4.0, to="nodes")
    return {
        "lost whole": day(cut, seconds=18.0),
        "answers lost": day(replace(cut, one_way=True)),
        "the coordinator's own": day(
            fault(4.0, "cut", "executors:a", 5.0, to="nodes"),
            fault(6.5, "kill", "coordinator", 0.3),
            seconds=13.0,
        ),
        "all are slow": day(fault(4.0, "executor-slow", "executors", 5.0, value=3.0)),
        "seen from one node alone": day(fault(4.0, "cut", "executors:c", 5.0, to="node:0")),
        "seen from one zone alone": day(fault(4.0, "cut", "executors:c", 5.0, to="nodes:a")),
        "nothing happens": day(seconds=8.0),
        "lost in part": day(fault(4.0, "cut", ["executor:2", "executor:5"], 5.0, to="nodes")),
        "latency grows": day(
            fault(3.0, "delay", "executors:c", 8.0, to="nodes", value=0.02),
            fault(5.0, "delay", "executors:c", 6.0, to="nodes", value=0.2),
        ),
        "grey": day(fault(4.0, "executor-slow", "executors:c", 6.0, value=8.0), seconds=14.0),
        "two zones, one after the other": day(
            fault(3.0, "cut", "executors:c", 8.0, to="nodes"),
            fault(6.0, "cut", "executors:b", 5.0, to="nodes"),
            seconds=15.0,
            part=1 / 3,
        ),
        "regions cut off and slow": day(
            fault(3.0, "cut", ["zone:a", "zone:b"], 3.0, to="zone:c"),
            fault(7.0, "delay", ["zone:a", "zone:b"], 3.0, to="zone:c", value=0.15),
            seconds=13.0,
            regions=[["a", "b"], ["c"]],
        ),
        # A restarted node is back after about 3 s, and a voter grants leases only some time later. Two
        # voters must not be out at once, or the fleet has no coordinator while the zone is lost (restarts
        # of all nodes 1.6 s apart left it without one for 4 s).
        "loss while nodes restart in turn": day(
            fault(2.0, "loss", "nodes", 10.0, to="nodes", value=0.1),
            *(
                fault(at, "term", f"node:{n}", 0.2)
                for n, at in ((2, 2.0), (3, 3.6), (4, 5.2), (5, 6.8), (0, 9.0), (1, 13.4))
            ),
            fault(5.0, "cut", "executors:c", 4.0, to="nodes"),
            seconds=16.0,
        ),
        "back cold": day(cut, fault(7.5, "executor-restart", "executors:c", 0.6), seconds=15.0),
    }


def count_late(report: dict, since: float, seconds: float = COMPARED_SECONDS) -> tuple[int, int]:
    """Return the number of requests in the `seconds` from `since`, and how many did not finish in time."""
    spells = [
        one
        for told in report["service"].values()
        for one in told["windows"]
        if since <= one["at"] < since + seconds
    ]
    tasks = sum(one["tasks"] for one in spells)
    return tasks, tasks - sum(one["in_time"] for one in spells)


def zone_line(name: str, told: Scenario, with_: list[dict], without: list[dict]) -> str:
    """Return a line of results from the first fault on, or of the whole run if there is none."""
    since = min((one.at for one in told.faults if one.kind != "loss"), default=0.0)
    sums = []
    for side in (with_, without):
        pairs = [count_late(report, since) for report in side]
        sums.append(sum(lost for _, lost in pairs) / max(sum(tasks for tasks, _ in pairs), 1))
    crossed = [
        sum(report["counts"]["crossed"] for report in side)
        / max(sum(report["counts"]["assignments"] for report in side), 1)
        for side in (with_, without)
    ]
    moves = [report["moves"] for report in with_]
    kept_part = f"{1 - sums[0] / sums[1]:.2f} kept" if sums[1] else "nothing lost without"
    return (
        f"{name}: not in time {sums[0]:.4f} with the part, {sums[1]:.4f} without ({kept_part}); crossed "
        f"{crossed[0]:.4f} and {crossed[1]:.4f}; moves {min(moves)} to {max(moves)}; all kept in "
        f"{sum(map(kept, with_))} and {sum(map(kept, without))} of {len(with_)}"
    )


# -- staged rollouts -----------------------------------------------------------------------------------------


def rolls(nodes: int = 12) -> dict[str, Scenario]:
    """Return a rollout scenario for each version, with three zones and nodes started by agents.

    The run of the good version is longer, since it passes all stages.
    """
    times = nodes / 4
    load = [
        Offering("read", rate=60 * times, cost=0.03),
        Offering("send", "side-effecting", rate=40 * times, cost=0.03),
    ]
    fleet = Fleet(nodes=nodes, zones=3, executors=round(6 * times), slots=4)
    return {
        new: Scenario(
            fleet,
            load,
            run=Run(seconds=COMPLETED_RUN_SECONDS if new == "good" else ROLLED_BACK_RUN_SECONDS, seed=1),
            load=Load(),
            cluster=ROLLOUT_CLUSTER,
            faults=[fault(ROLLOUT_START, "roll", "node:3", message="start")],
            roll=Roll(
                new=new, stages=["one", "zone", "all"], compare={"seconds": 1.0, "most": 30.0}, confirm=4.0
            ),
        )
        for new in VERSIONS
    }


def roll_line(name: str, told: Scenario, reports: list[dict], _: list[dict]) -> str:
    """Return a line of results: final states, exposure to the new version, and times of the rollback."""
    changes = [report["change"] for report in reports]
    ends: dict[str, int] = {}
    for change in changes:
        state = change.get("state", "never begun")
        ends[state] = ends.get(state, 0) + 1
    words = ", ".join(f"{count} {state}" for state, count in ends.items())
    line = f"{name}: {words} of {len(reports)}; all kept in {sum(map(kept, reports))}"
    went = [change for change in changes if change]
    if not went:
        return line
    line += (
        f"; at most {max(change['most on it'] for change in went)} nodes on it, "
        f"{max(change['tasks met it'] for change in went):.4f} of the tasks at the most"
    )
    orders = [_rollback_times(change) for change in went if change["state"] == "stopped"]
    if orders:
        line += (
            f"; ordered back after {median(a for a, _ in orders):.1f} s ({max(a for a, _ in orders):.1f}"
            f" at most), all back {max(b for _, b in orders):.1f} s later at the most"
        )
    return line


def _rollback_times(change: dict) -> tuple[float, float]:
    """Return the seconds from the start to the rollback order, and from there to its completion."""
    first = change["states"][0][0]
    ordered = next(at for at, state, *_ in change["states"] if state in ("back", "stopped"))
    return ordered - first, change["states"][-1][0] - ordered


def _without_cluster(told: Scenario) -> Scenario:
    """Return the scenario without a cluster; faults on the coordinator hit node 0 instead."""
    faults = [replace(one, on=["node:0"]) if "coordinator" in one.on else one for one in told.faults]
    return replace(told, cluster=None, faults=faults)


Line = Callable[[str, Scenario, list[dict], list[dict]], str]
KINDS: dict[str, tuple[Callable[[int], dict[str, Scenario]], Line, bool]] = {
    "zones": (zones, zone_line, True),
    "rolls": (rolls, roll_line, False),
}


def played(
    kind: str, nodes: int, seeds: Iterable[int], at_once: int, cases: list[str], tell: Callable[[str], None]
) -> bool:
    """Run each case over the seeds and report a line as it ends; return whether no rule was violated."""
    made, line, beside = KINDS[kind]
    sound, seeds = True, list(seeds)
    for name, told in made(nodes).items():
        if cases and name not in cases:
            continue
        with_, without = (
            several.both(told, _without_cluster(told), seeds, at_once)
            if beside
            else (several.runs(told, seeds, at_once), [])
        )
        tell(line(name, told, with_, without))
        for report in [*with_, *without]:
            sound = sound and kept(report)
            for one in report["breaks"][:1]:
                tell(f"    seed {report['seed']}: BROKEN {one['name']}: {one['text']}")
            for text in report["crashes"][:1]:
                tell(f"    seed {report['seed']}: CRASHED {text}")
    return sound
