"""Staged rollouts over fleets in virtual time, with simplified agents and operators.

Coordinator and nodes run the program's rollout code. Requests exist only as counts whose outcomes are random,
determined by the seed. Times are seconds of virtual time.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from multiprocessing import Pool
from typing import Any

from msgspec.structs import replace

from firwalk.cluster.canary_analysis import CanaryAnalysis, Verdict
from firwalk.cluster.cluster_member import ClusterMember
from firwalk.cluster.rollout import DONE, STOPPED, RolloutPolicy
from firwalk.cluster.rollout_controller import RolloutController, RolloutCounters
from firwalk.config.rollout_file import CanaryLimits, RolloutSpec
from firwalk.lab.invariants import Judge
from firwalk.lab.schedules import Watch
from firwalk.lab.virtual import Fault, Process, Schedule, World

ZONES = 3
CHANGE = RolloutSpec("v1", release="v2", compare=CanaryLimits(seconds=4.0, most=60.0))
CHECK = 77  # Checksum of the rollout file.
REPLACE = 1.5  # Seconds that an agent takes to switch to the other version.
AGENT_POLL_INTERVAL = 0.25  # Polling interval of an agent in seconds.
ROLLOUT_START = 14.0  # Time at which the rollout starts; by then all nodes have reported their versions.
LATE_AFTER = 0.3  # Seconds after which a request is late.
MEDIAN_DURATION, DURATION_SPREAD = (
    0.06,
    0.5,
)  # Median duration of a request in seconds, and the standard deviation of its logarithm.
MAX_ROLLOUT_SECONDS = 600.0  # Seconds after which an unfinished rollout is reported in its current state.


@dataclass
class Version:
    """Behaviour of a version.

    `abandoned` is the fraction of requests that fail, of the request class `only` if it is set; `times`
    scales their duration; `leak` is in bytes per second; `breaks` is the fraction of starts that fail; `on`
    limits the defect to some nodes (empty: all), so that it shows in a later stage.
    """

    abandoned: float = 0.0
    times: float = 1.0
    only: str = ""
    leak: float = 0.0
    breaks: float = 0.0
    on: tuple[int, ...] = ()


KINDS = {
    "good": Version(),
    "errors": Version(abandoned=0.3),
    "slow": Version(times=1.3),
    "crash": Version(breaks=0.1),
    "leak": Version(leak=3e6),
    "wrong": Version(abandoned=0.9, only="send"),
}
WAYS = ("by stages", "without comparison", "all at once")


class Fleet:
    """Simulates a fleet during a rollout.

    `new` is the behaviour of the new version, `rate` is in requests per second and node, and `files` holds
    the rollout files in each node's folder.
    """

    def __init__(
        self,
        seats: int = 12,
        new: Version | None = None,
        until: float = 200.0,
        faults: tuple[Fault, ...] = (),
        change: RolloutSpec = CHANGE,
        rate: float = 8.0,
        seed: int = 3,
        zones: int = ZONES,
        way: str = WAYS[0],
    ):
        self.versions = {"v1": Version(), "v2": new or Version()}
        self.change, self.rate, self.zones, self.judge, self.way = change, rate, zones, Judge(), way
        self.files = {seat: {"c": (change, CHECK)} for seat in range(seats)}
        self.runs = dict.fromkeys(range(seats), "v1")  # Version installed on each machine.
        self.tried: dict[int, list[int]] = {}  # Numbers of rollouts whose version failed to start on a node.
        self.made: dict[int, RolloutController] = {}
        self.on: dict[int, tuple[str, float]] = {}  # Running version of each node and its start time.
        self.switching: dict[int, str] = {}
        self.most_new, self.tasks, self.met = 0, 0, 0
        step = max(seats // 3, 1)
        schedule = Schedule(
            seed,
            seats,
            [0, step + 1, min(2 * step + 2, seats - 1)],
            until,
            list(faults),
            settings={"length": 2.0},
        )
        self.world = World(schedule, self._make)
        self.world.watchers.append(Watch(self.judge))
        self.world.later(0.1, self._tick)

    def _make(
        self, host: Process, seat: int, seats: int, generation: int, now: float, **named: Any
    ) -> ClusterMember:
        made, release = ClusterMember(host, seat, seats, generation, now, **named), self.runs[seat]
        part = self.made[seat] = RolloutController(
            made,
            RolloutCounters(),
            release,
            lambda: "",
            seat % self.zones,
            lambda: 2e7 + self.leaked(seat),
            RolloutPolicy(0.25, 3.0, 0.5, ("a", "b", "c")),
            lambda name: self._read_rollout_file(seat, name),
        )
        if part.rollout is not None and self.way != WAYS[0]:
            part.rollout._find_harm = lambda now, new: ""  # Disables the harm check.
            part.rollout.comparison.stage = AlwaysPassing(part.rollout.comparison.stage.worse, 1)
            part.rollout._restart_comparison = lambda: _restart_passing(part.rollout)
            if self.way == WAYS[2]:
                part.rollout._batch = lambda left, up, part: list(left)
        world = getattr(self, "world", None)
        self.on[seat] = release, world.now if world is not None else 0.0
        begin = made.start

        def start(at: float) -> None:
            begin(at)
            part.start(at)

        made.start = start
        return made

    def leaked(self, seat: int) -> float:
        release, since = self.on[seat]
        return self.version(seat, release).leak * (self.world.now - since)

    def version(self, seat: int, release: str) -> Version:
        told = self.versions[release]
        return told if not told.on or seat in told.on else Version()

    def _read_rollout_file(self, seat: int, name: str) -> tuple[RolloutSpec | None, int, list[str]]:
        change, check = self.files[seat].get(name, (None, 0))
        return change, check, [] if change else [f"{name}: no such file"]

    def _tick(self) -> None:
        world = self.world
        for seat, process in enumerate(world.processes):
            if process.alive and world.now >= process.paused_until:
                self._run_requests(seat)
                self._agent(seat, process)
        self.most_new = max(self.most_new, sum(release == "v2" for release, _ in self.on.values()))
        world.later(world.now + AGENT_POLL_INTERVAL, self._tick)

    def _run_requests(self, seat: int) -> None:
        chance, tally = self.world.chance, self.made[seat].counters
        version = self.version(seat, self.on[seat][0])
        count = sum(chance.random() < self.rate * AGENT_POLL_INTERVAL / 8 for _ in range(8))
        if self.world.now >= ROLLOUT_START:
            self.tasks += count
            self.met += count * (self.on[seat][0] == "v2")
        for _ in range(count):
            offering = "read" if chance.random() < 0.6 else "send"
            if chance.random() < version.abandoned and version.only in ("", offering):
                tally.count_failed(offering, 1)
            else:
                took = MEDIAN_DURATION * version.times * chance.lognormvariate(0.0, DURATION_SPREAD)
                tally.count_completed(offering, 1, took, took > LATE_AFTER)

    def _agent(self, seat: int, process: Process) -> None:
        """Act like `firwalk.agent.supervisor`, simplified: report a version that fails to start."""
        words = self.made[seat].wanted_version(process.clock()).split()
        if seat in self.switching or len(words) != 4 or words[2] == self.on[seat][0]:
            return
        number, release = int(words[0]), words[2]
        if number in self.tried.get(seat, []) and release == "v2":
            self._send_command(seat, "failed", number, "it does not come up")
            return
        self.switching[seat] = release
        self.world.later(self.world.now + REPLACE, self._switch, seat, number, release, process)

    def _switch(self, seat: int, number: int, release: str, process: Process) -> None:
        self.switching.pop(seat, None)
        if not process.alive or process is not self.world.processes[seat]:
            return
        if self.world.chance.random() < self.version(seat, release).breaks:
            self.tried.setdefault(seat, []).append(number)
            return
        self.runs[seat] = release
        self.world.kill(seat)
        self.world.begin(seat)

    # -- operator ------------------------------------------------------------------------------------------

    def _send_command(self, seat: int, word: str, number: int = 0, text: str = "") -> list[tuple[bool, str]]:
        process, told = self.world.processes[seat], []
        process.seat.send_rollout_command(
            process.clock(),
            word,
            "c" if word in ("start", "dry") else "",
            number or CHECK,
            text,
            lambda done, said: told.append((done, said)),
        )
        return told

    def say(self, word: str, seat: int | None = None, text: str = "") -> tuple[bool, str] | None:
        """Send an operator's command to a node and return the answer that arrives within 1.7 s, if any."""
        seat = (
            seat
            if seat is not None
            else next(n for n, process in enumerate(self.world.processes) if process.alive)
        )
        told = self._send_command(seat, word, 0, text)
        self.world.run(self.world.now + 1.7)
        return told[0] if told else None

    def section(self) -> dict[str, Any]:
        """Return the rollout section of the newest plan that any node follows."""
        best = max(
            (process.seat.follower for process in self.world.processes if process.alive),
            key=lambda follower: follower.stamp,
        )
        return best.sections.get("stages", {})

    def started(self) -> Fleet:
        self.world.run(ROLLOUT_START)
        done, said = self.say("start") or (False, "nobody answers")
        if not done:
            raise RuntimeError(said)
        return self

    def until(self, *states: str, most: float = 500.0) -> str:
        end = self.world.now + most
        while self.world.now < end and self.section().get("state") not in states:
            self.world.run(self.world.now + 0.5)
        return self.section().get("state", "")

    def releases(self) -> list[str]:
        return [self.on[seat][0] for seat in range(len(self.on))]


class AlwaysPassing(CanaryAnalysis):
    """Canary analysis that always passes."""

    def judged(self) -> tuple[Verdict, None]:
        return Verdict.FINE, None


def _restart_passing(roll: Any) -> None:
    roll.stage_complete_at = None
    roll.comparison.stage = AlwaysPassing(roll.change.compare.worse(), 1)


@dataclass
class Shown:
    """Result of one rollout; times are seconds from its start."""

    seed: int
    kind: str
    way: str
    state: str
    why: str
    stopped: float = 0.0  # Time of the rollback order; 0 without a rollback.
    over: float = 0.0  # Time of completion, or of a finished rollback.
    met: float = 0.0  # Fraction of the requests within `HORIZON` that reached a node on the new version.
    most_new: int = 0
    breaks: list[str] = field(default_factory=list)


HORIZON = 120.0  # Seconds from the start over which `Shown.met` is counted.


def shown(about: tuple[str, str, int, int, float]) -> Shown:
    kind, way, seed, nodes, rate = about
    change = replace(
        CHANGE,
        compare=replace(CHANGE.compare, most=MAX_ROLLOUT_SECONDS),
        stages=["all"] if way == WAYS[2] else CHANGE.stages,
    )
    fleet = Fleet(
        nodes, KINDS[kind], change=change, rate=rate, seed=seed, way=way, until=MAX_ROLLOUT_SECONDS + 200.0
    )
    fleet.started()
    state = fleet.until(DONE, STOPPED, most=MAX_ROLLOUT_SECONDS)
    over = fleet.world.now - ROLLOUT_START
    told = [(at - ROLLOUT_START, about) for at, _, _, what, about in fleet.world.history if what == "stage"]
    back = [at for at, about in told if about["state"] == "back"]
    breaks = [str(one) for one in fleet.judge.breaks]
    left, rest = max(HORIZON - over, 0.0), fleet.releases().count("v2") / nodes
    tasks = fleet.tasks + left * nodes * rate  # Extrapolates the current state to the horizon.
    return Shown(
        seed,
        kind,
        way,
        state,
        fleet.section().get("why", ""),
        back[0] if back else 0.0,
        over,
        (fleet.met + left * nodes * rate * rest) / max(tasks, 1.0),
        fleet.most_new,
        breaks,
    )


def many(
    nodes: int, seeds: range, kinds: list[str], rate: float, workers: int, ways: tuple[str, ...] = WAYS[:1]
) -> list[Shown]:
    wanted = [(kind, way, seed, nodes, rate) for kind in kinds for way in ways for seed in seeds]
    with Pool(workers) as pool:
        return pool.map(shown, wanted, chunksize=1)


def lines(found: list[Shown], nodes: int) -> list[str]:
    told = []
    for kind, way in dict.fromkeys((one.kind, one.way) for one in found):
        mine = [one for one in found if (one.kind, one.way) == (kind, way)]
        stopped, done = [o for o in mine if o.state == STOPPED], [o for o in mine if o.state == DONE]
        line = f"{nodes} nodes, {kind}, {way}: {len(mine)} changes, {len(done)} done, {len(stopped)} stopped"
        if stopped:
            line += (
                f" (ordered back after {_median([o.stopped for o in stopped]):.1f} s in the middle, "
                f"{max(o.stopped for o in stopped):.1f} at most; all back "
                f"{max(o.over - o.stopped for o in stopped):.1f} s later at most)"
            )
        if done:
            line += f", done after {_median([o.over for o in done]):.0f} s in the middle"
        line += (
            f"; of the tasks {sum(o.met for o in mine) / len(mine):.4f} met it, on "
            f"{max(o.most_new for o in mine)} nodes at most; breaks {sum(len(o.breaks) for o in mine)}"
        )
        told.append(line)
        told += (
            [
                f"  seed {o.seed}: {o.state}: {o.why}"
                for o in mine
                if o.state != (DONE if kind == "good" else STOPPED)
            ][:5]
            if way == WAYS[0]
            else []
        )
        told += [f"  seed {o.seed}: BROKEN {o.breaks[0]}" for o in mine if o.breaks]
    return told


def _median(values: list[float]) -> float:
    return sorted(values)[len(values) // 2]
