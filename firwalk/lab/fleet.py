"""Discrete-event simulation of a fleet: hundreds of nodes run the real dispatcher, policy and cluster code
against simulated executors, endpoint list, clients and faults.

All events go through one heap (`firwalk.lab.virtual`) and all randomness comes from the seed, so a run is
reproducible. Load is open-loop (Schroeder, Wierman, Harchol-Balter, NSDI 2006). Times are seconds of virtual
time; work is in seconds at speed 1. Of the network, only latency, partitions and closed connections are
simulated.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from math import exp
from typing import Any

from firwalk.cluster.cluster_member import ClusterMember
from firwalk.cluster.plan_enforcement import PlanEnforcer
from firwalk.cluster.zones import ZonePolicy
from firwalk.dispatcher.actions import (
    BackgroundAction,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    CompleteRequest,
    FailRequest,
    FetchEndpoints,
    FinalAnswer,
    GossipFailure,
    RejectInvalidRequest,
    RejectRequest,
    SendAttempt,
    WatchEndpoints,
)
from firwalk.dispatcher.dispatcher import Dispatcher, Endpoint, PendingRequest
from firwalk.dispatcher.endpoint_list import EndpointEntry
from firwalk.lab.invariants import Judge
from firwalk.lab.scenario import Fault, Offering, Scenario, endpoints, settings, zone_name
from firwalk.lab.schedules import Watch
from firwalk.lab.virtual import Fault as WorldFault
from firwalk.lab.virtual import Process, Schedule, World
from firwalk.policy.interface import EndpointState, Outcome

INTRA_ZONE_LATENCY, CROSS_ZONE_LATENCY = (
    0.0005,
    0.002,
)  # One-way latency in seconds within a zone and between zones.
CONNECT_TIMEOUT = 0.25  # Connect timeout in seconds.
LIST_DELAY = (0.05, 0.5)  # Range of the delay in seconds until a node sees a change of the endpoint list.
SPEED_SPREAD = 0.15  # Standard deviation of the logarithm of executors' speeds.
NODE_SHARE_SPREAD = 0.5  # Standard deviation of the logarithm of nodes' shares of a zone's requests.
TAIL_SECONDS = 3.0  # Seconds simulated after the last arrival, so that pending requests end.
KINDS = (
    "cut",
    "loss",
    "delay",
    "kill",
    "executor-slow",
    "executor-errors",
    "executor-drain",
    "executor-restart",
)  # Kinds of faults that the simulation supports.
RETRY_DELAY = 0.05  # Seconds until a client retries when no node is alive.

# Names of the final answers as recorded in `Job.answers`.
ANSWER_NAMES = {
    CompleteRequest: "finished",
    RejectRequest: "bounced",
    FailRequest: "abandoned",
    RejectInvalidRequest: "unfit",
}


@dataclass
class Job:
    """A client's request with its retries, answers and executions."""

    number: int
    offering: Offering
    zone: int
    intended: float
    tries: int = 0
    answers: list[tuple[float, str]] = field(default_factory=list)
    done_at: float = 0.0
    effects: int = 0

    def in_time(self) -> bool:
        return 0.0 < self.done_at <= self.intended + self.offering.due


class Submission:
    """One submission of a job to one node."""

    def __init__(self, node: Node, job: Job, pending: PendingRequest):
        self.node, self.job, self.pending, self.is_over = node, job, pending, False
        self.sent: dict[int, SimulatedAttempt] = {}


class SimulatedAttempt:
    """One attempt: its transfer to an executor, its execution and its response."""

    def __init__(self, submission: Submission, number: int, worker: SimulatedExecutor):
        self.submission, self.number, self.worker = submission, number, worker
        self.is_closed, self.began, self.due = False, 0.0, 0.0


class SimulatedExecutor:
    """A simulated executor with slots, a FIFO queue, a speed and a warm-up after a restart."""

    def __init__(self, fleet: Fleet, number: int):
        told = fleet.scenario.fleet
        self.fleet, self.number, self.zone = fleet, number, number % told.zones
        self.name, self.slots = f"e{number}", told.slots
        self.speed = told.speed * exp(fleet.chance.gauss(0.0, SPEED_SPREAD))
        self.slow, self.errors, self.up, self.draining, self.began_at = 1.0, 0.0, True, False, 0.0
        self.running: dict[SimulatedAttempt, None] = {}
        self.queue: list[SimulatedAttempt] = []
        self.busy_time, self.since, self.generation = 0.0, 0.0, 0

    def warmup_factor(self) -> float:
        told = self.fleet.scenario.fleet
        if not self.began_at or not told.cold_for:
            return 1.0
        part = (self.fleet.now() - self.began_at) / told.cold_for
        return min(told.cold_from + (1.0 - told.cold_from) * part, 1.0)

    def load(self) -> dict[str, float]:
        held = len(self.running) + len(self.queue)
        return {"inflight": held, "x0": max(self.slots - len(self.running), 0)}

    def receive(self, attempt: SimulatedAttempt, generation: int) -> None:
        if not self.up or generation != self.generation or attempt.is_closed:
            return
        self.queue.append(attempt)
        self._start_queued()

    def connection_closed(self, attempt: SimulatedAttempt) -> None:
        """Drop a queued or running attempt whose connection the node closed."""
        if attempt in self.queue:
            self.queue.remove(attempt)
        elif attempt in self.running:
            self._release_slot(attempt)

    def _update_busy_time(self) -> None:
        now = self.fleet.now()
        self.busy_time += len(self.running) * (now - self.since)
        self.since = now

    def _start_queued(self) -> None:
        while self.queue and len(self.running) < self.slots:
            attempt = self.queue.pop(0)
            self._update_busy_time()
            self.running[attempt] = None
            job = attempt.submission.job
            job.effects += 1
            self.fleet.counts["ran"] += 1
            attempt.began = self.fleet.now()
            took = job.offering.cost * self.slow / (self.speed * self.warmup_factor())
            self.fleet.send_to_node(attempt, self.fleet.execution_started)
            self.fleet.world.later(self.fleet.now() + took, self._complete, attempt)

    def _complete(self, attempt: SimulatedAttempt) -> None:
        if attempt in self.running:
            self._release_slot(attempt)
            erred = self.fleet.chance.random() < self.errors
            self.fleet.send_to_node(attempt, self.fleet.response_received, erred, self.load())

    def _release_slot(self, attempt: SimulatedAttempt) -> None:
        self._update_busy_time()
        del self.running[attempt]
        self._start_queued()

    def restart(self) -> list[SimulatedAttempt]:
        """Stop the executor and return the queued and running attempts, which are lost."""
        self._update_busy_time()
        lost = [*self.running, *self.queue]
        self.running, self.queue, self.up, self.generation = {}, [], False, self.generation + 1
        return lost


class Node:
    """One incarnation of a node: its dispatcher, whose actions run on the simulated network."""

    def __init__(self, fleet: Fleet, number: int):
        told = fleet.scenario.fleet
        self.fleet, self.number, self.zone = fleet, number, number % told.zones
        self.alive, self.due = True, float("inf")
        self.idle = [0] * told.executors
        self.dispatcher = Dispatcher(
            settings(fleet.scenario, number), fleet.seed * 1009 + number, fleet.now, self._wake
        )
        self.steering: PlanEnforcer | None = None
        self.submissions: dict[Submission, None] = {}
        self.dispatcher.report_endpoint_list(1, True, fleet.entries())
        self._wake()

    def _wake(self) -> None:
        self._schedule_timers(self.fleet.now())

    def _schedule_timers(self, when: float) -> None:
        if when < self.due:
            self.due = when
            self.fleet.world.later(when, self._run_timers, when)

    def _run_timers(self, when: float) -> None:
        if when != self.due or not self.alive:
            return
        self.due = float("inf")
        upto, background_actions = self.dispatcher.run_due_timers()
        for action in background_actions:
            self._run_background_action(action)
        if upto < float("inf"):
            self._schedule_timers(max(upto, self.fleet.now()))

    def _run_background_action(self, action: BackgroundAction) -> None:
        match action:
            case CheckHealth():
                self.fleet.probe(self, action.endpoint, action.timeout_s)
            case CloseIdleConnections():
                self.idle[int(action.endpoint.name[1:])] = 0
            case WatchEndpoints() | FetchEndpoints():
                self.fleet.deliver_list_later(self)
            case GossipFailure():
                self.fleet.gossip_failure(self, action.content)

    # -- requests ----------------------------------------------------------------------------------------

    def submit(self, job: Job) -> None:
        left, told = job.intended + job.offering.expiry - self.fleet.now(), job.offering
        pending = self.dispatcher.report_request(told.name, "", left, told.cost, 1.0, 0.0, job.tries > 1)
        submission = Submission(self, job, pending)
        self.submissions[submission] = None
        pending.wake = lambda: self.fleet.world.later(self.fleet.now(), self.run_actions, submission)
        self.run_actions(submission)

    def run_actions(self, submission: Submission) -> None:
        if not self.alive:
            return
        while submission.pending.actions:
            action = submission.pending.actions.popleft()
            match action:
                case SendAttempt():
                    self.fleet.send(submission, action.number, action.endpoint)
                case CancelAttempt():
                    self.fleet.cancel(submission.sent[action.number])
                case _:
                    self.fleet.record_answer(submission, action)
        if submission.pending.is_finished():
            self.submissions.pop(submission, None)


class NoCluster:
    """Stub for `ClusterMember` in scenarios without a cluster."""

    def start(self, now: float) -> None:
        pass

    def received(self, *datagram: Any) -> None:
        pass


class Fleet:
    """Simulates a scenario with any number of nodes.

    Without `scenario.cluster` the nodes do not coordinate; without its `regions`, zone steering is off.
    `make` constructs cluster members and takes the arguments of `ClusterMember`.
    """

    def __init__(self, scenario: Scenario, seed: int, make: Callable[..., ClusterMember] = ClusterMember):
        self.scenario, self.seed, self.make_seat = scenario, seed, make
        self.chance = random.Random(seed)
        told = scenario.fleet
        self.counts = dict.fromkeys(("sent", "crossed", "ran", "probes", "called off", "connections"), 0)
        self.cuts: dict[tuple[tuple[str, int], tuple[str, int]], int] = {}
        self.jobs: list[Job] = []
        self.breaks: list[str] = []
        self.nodes: list[Node | None] = [None] * told.nodes
        self.used: list[list[float]] = []
        self.world: World | None = None
        self.workers = [SimulatedExecutor(self, number) for number in range(told.executors)]
        self.weights = [exp(self.chance.gauss(0.0, NODE_SHARE_SPREAD)) for _ in range(told.nodes)]
        cluster = scenario.cluster
        lengths = (
            {
                word: getattr(cluster, word)
                for word in ("length", "drift", "period", "answer", "report", "hold")
            }
            if cluster
            else {}
        )
        self.judge = Judge()
        self.world = World(
            Schedule(seed, told.nodes, cluster.voters if cluster else [0], 0.0, settings=lengths), self._begin
        )
        self.world.watchers.append(Watch(self.judge))

    def now(self) -> float:
        return self.world.now if self.world is not None else 0.0

    def _begin(
        self, host: Process, number: int, seats: int, generation: int, now: float, **lengths: Any
    ) -> Any:
        """Start a new incarnation of a node and return its cluster member."""
        self.world = host.world
        node = self.nodes[number] = Node(self, number)
        cluster, zones = self.scenario.cluster, self.scenario.fleet.zones
        if cluster is None:
            return NoCluster()
        of = {zone: number for number, names in enumerate(cluster.regions) for zone in names}
        terms = (
            ZonePolicy(tuple(of[zone_name(zone)] for zone in range(zones)), cluster.head_room) if of else None
        )
        seat = self.make_seat(host, number, seats, generation, now, zones=terms, **lengths)
        if terms is not None:
            node.steering = PlanEnforcer(seat, node.dispatcher, node.zone, zones, now)
        return seat

    # -- a run -------------------------------------------------------------------------------------------

    def run(self, settle: float = 0.0) -> None:
        """Run the scenario; a coordinator is elected in the `settle` seconds before arrivals start."""
        seconds = self.scenario.run.seconds
        self.began = settle
        for fault in self.scenario.faults:
            self.world.later(settle + fault.at, self._inject_fault, fault)
        shares = self.scenario.load.zones or [1.0] * self.scenario.fleet.zones
        for offering in self.scenario.offerings:
            at = self.chance.expovariate(offering.rate)
            while at < seconds:
                zone = self.chance.choices(range(len(shares)), shares)[0]
                self.world.later(settle + at, self._create_job, offering, zone)
                at += self.chance.expovariate(offering.rate)
        for second in range(int(settle), int(settle + seconds) + 1):
            self.world.later(float(second), self._measure)
        self.world.run(settle + seconds + TAIL_SECONDS)
        self._check()

    def _measure(self) -> None:
        """Append the cumulative busy slot-seconds of each zone to `used`."""
        zones = [0.0] * self.scenario.fleet.zones
        for worker in self.workers:
            worker._update_busy_time()
            zones[worker.zone] += worker.busy_time
        self.used.append(zones)

    def _check(self) -> None:
        """Check rules 1 and 2 against clients' answers and executors' executions."""
        for job in self.jobs:
            if len(job.answers) != job.tries and not any(how == "lost" for _, how in job.answers):
                self.breaks.append(f"job {job.number}: {job.tries} tries, answers {job.answers}")
            if job.offering.effect == "side-effecting" and job.effects > 1:
                self.breaks.append(f"job {job.number}: {job.effects} effects")
            if any(at > job.intended + job.offering.expiry + 0.05 for at, _ in job.answers):
                self.breaks.append(f"job {job.number}: answered after its expiry")
        self.breaks += [str(one) for one in self.judge.breaks]

    # -- clients -----------------------------------------------------------------------------------------

    def _create_job(self, offering: Offering, zone: int) -> None:
        job = Job(len(self.jobs), offering, zone, self.now())
        self.jobs.append(job)
        self._submit_job(job)

    def _submit_job(self, job: Job) -> None:
        if self.now() >= job.intended + job.offering.expiry - 0.01:
            return
        zones = self.scenario.fleet.zones
        up = [n for n in range(job.zone, len(self.nodes), zones) if self.nodes[n].alive]
        up = up or [n for n, node in enumerate(self.nodes) if node.alive]
        if not up:
            self.world.later(self.now() + RETRY_DELAY, self._submit_job, job)
            return
        node = self.chance.choices(up, [self.weights[n] for n in up])[0]
        job.tries += 1
        self.nodes[node].submit(job)

    def record_answer(self, submission: Submission, answer: FinalAnswer) -> None:
        job, now = submission.job, self.now()
        word = ANSWER_NAMES[type(answer)]
        if submission.is_over:
            self.breaks.append(f"job {job.number}: a second answer {word.upper()}")
        submission.is_over = True
        job.answers.append((now, word))
        if isinstance(answer, CompleteRequest):
            job.done_at = now
        elif isinstance(answer, RejectRequest) and job.tries <= self.scenario.load.retries:
            self.world.later(now + (answer.retry_after_s or 0.02), self._submit_job, job)

    # -- between nodes and executors ---------------------------------------------------------------------

    def _latency(self, node: int, worker: SimulatedExecutor) -> float:
        return INTRA_ZONE_LATENCY if node % self.scenario.fleet.zones == worker.zone else CROSS_ZONE_LATENCY

    def _is_cut(self, a: tuple[str, int], b: tuple[str, int]) -> bool:
        return bool(self.cuts.get((a, b)))

    def _is_path_open(self, node: Node, worker: SimulatedExecutor) -> bool:
        return not self._is_cut(("node", node.number), ("executor", worker.number))

    def _is_return_path_open(self, node: Node, worker: SimulatedExecutor) -> bool:
        return not self._is_cut(("executor", worker.number), ("node", node.number))

    def send(self, submission: Submission, number: int, place: Endpoint) -> None:
        node, worker = submission.node, self.workers[int(place.name[1:])]
        attempt = submission.sent[number] = SimulatedAttempt(submission, number, worker)
        self.counts["sent"] += 1
        self.counts["crossed"] += node.zone != worker.zone
        if node.idle[worker.number]:
            node.idle[worker.number] -= 1
            self._write_request(attempt)
            return
        self.counts["connections"] += 1
        if not (self._is_path_open(node, worker) and self._is_return_path_open(node, worker)):
            self.world.later(
                self.now() + CONNECT_TIMEOUT, self._report_outcome, attempt, Outcome.CONNECT_FAILED, None
            )
        else:
            up = self._write_request if worker.up else self._connection_refused
            self.world.later(self.now() + 2 * self._latency(node.number, worker), up, attempt)

    def _connection_refused(self, attempt: SimulatedAttempt) -> None:
        self._report_outcome(attempt, Outcome.CONNECT_FAILED, None)

    def _write_request(self, attempt: SimulatedAttempt) -> None:
        node, worker = attempt.submission.node, attempt.worker
        if attempt.is_closed or not node.alive:
            return
        if not node.dispatcher.report_sending(attempt.submission.pending, attempt.number):
            self._report_outcome(attempt, Outcome.NOT_SENT, None)
        elif node.dispatcher.report_committing(
            attempt.submission.pending, attempt.number
        ) and self._is_path_open(node, worker):
            way = self._latency(node.number, worker)
            self.world.later(self.now() + way, worker.receive, attempt, worker.generation)

    def send_to_node(self, attempt: SimulatedAttempt, act: Callable, *about: Any) -> None:
        """Call `act` when a message from the executor arrives at the node, unless the path is cut."""
        node = attempt.submission.node
        if self._is_return_path_open(node, attempt.worker):
            self.world.later(self.now() + self._latency(node.number, attempt.worker), act, attempt, *about)

    def execution_started(self, attempt: SimulatedAttempt) -> None:
        if not attempt.is_closed and attempt.submission.node.alive:
            attempt.submission.node.dispatcher.report_started(attempt.submission.pending, attempt.number)

    def response_received(self, attempt: SimulatedAttempt, erred: bool, load: dict) -> None:
        node = attempt.submission.node
        if attempt.is_closed or not node.alive:
            return
        number = attempt.worker.number
        node.idle[number] += 1
        node.dispatcher.report_idle_connections(
            node.dispatcher.executors[attempt.worker.name].handle, node.idle[number]
        )
        self._report_outcome(attempt, Outcome.ERROR if erred else Outcome.COMPLETED, None if erred else load)

    def _report_outcome(self, attempt: SimulatedAttempt, how: Outcome, load: dict | None) -> None:
        submission = attempt.submission
        if not attempt.is_closed and submission.node.alive:
            attempt.is_closed = True
            submission.node.dispatcher.report_outcome(submission.pending, attempt.number, how, load, b"done")
            submission.node.run_actions(submission)

    def cancel(self, attempt: SimulatedAttempt) -> None:
        """Close an attempt's connection; the executor notices unless the path to it is cut."""
        attempt.is_closed = True
        self.counts["called off"] += 1
        if self._is_path_open(attempt.submission.node, attempt.worker):
            way = self._latency(attempt.submission.node.number, attempt.worker)
            self.world.later(self.now() + way, attempt.worker.connection_closed, attempt)

    def probe(self, node: Node, place: Endpoint, limit: float) -> None:
        worker = self.workers[int(place.name[1:])]
        self.counts["probes"] += 1
        fresh = not node.idle[worker.number]
        node.idle[worker.number] -= not fresh
        if not (self._is_path_open(node, worker) and self._is_return_path_open(node, worker)):
            how, after = (Outcome.CONNECT_FAILED, CONNECT_TIMEOUT) if fresh else (Outcome.TIMED_OUT, limit)
        elif not worker.up:
            how, after = Outcome.CONNECT_FAILED, 2 * self._latency(node.number, worker)
        else:
            how, after = Outcome.COMPLETED, (4 if fresh else 2) * self._latency(node.number, worker)
        self.counts["connections"] += fresh
        self.world.later(self.now() + after, self._report_probe, node, worker, place, how, after)

    def _report_probe(
        self, node: Node, worker: SimulatedExecutor, place: Endpoint, how: Outcome, took: float
    ) -> None:
        if not node.alive:
            return
        if how is Outcome.COMPLETED:
            node.idle[worker.number] += 1
            node.dispatcher.report_idle_connections(place, node.idle[worker.number])
        node.dispatcher.report_health_check(
            place, how, took, worker.load() if how is Outcome.COMPLETED else None
        )

    # -- endpoint list and gossip ------------------------------------------------------------------------

    def entries(self) -> list[EndpointEntry]:
        return [
            EndpointEntry(
                w.name,
                ("127.0.0.1", 1000 + w.number),
                zone_name(w.zone),
                "m",
                w.number,
                EndpointState.DRAINING if w.draining else EndpointState.READY,
                w.began_at,
                float(w.slots),
            )
            for w in self.workers
            if w.up
        ]

    def deliver_list_later(self, node: Node) -> None:
        self.world.later(self.now() + self.chance.uniform(*LIST_DELAY), self._receive_list, node)

    def _receive_list(self, node: Node) -> None:
        if node.alive:
            node.dispatcher.report_endpoint_list(node.dispatcher.version + 1, True, self.entries())

    def gossip_failure(self, node: Node, content: bytes) -> None:
        for other in self.nodes:
            if other is not node and not self._is_cut(("node", node.number), ("node", other.number)):
                self.world.later(
                    self.now() + CROSS_ZONE_LATENCY, self._receive_gossip, other, node.number, content
                )

    def _receive_gossip(self, node: Node, number: int, content: bytes) -> None:
        if node.alive:
            node.dispatcher.report_peer_failure(number, content)

    # -- faults ------------------------------------------------------------------------------------------

    def _inject_fault(self, fault: Fault) -> None:
        on = self._resolve_endpoints(fault.on)
        if fault.kind == "cut":
            self._partition(fault, on, self._resolve_endpoints(fault.to))
        elif fault.kind in ("loss", "delay"):
            self.world._strike(WorldFault(self.now(), fault.lasts, fault.kind, value=fault.value))
        elif fault.kind == "kill":
            for _, number in on:
                self._kill(number, fault)
        elif fault.kind.startswith("executor-"):
            for _, number in on:
                getattr(self, f"_{fault.kind[9:]}")(self.workers[number], fault)
        else:
            raise ValueError(f"virtual time does not support the fault kind {fault.kind}")

    def _resolve_endpoints(self, names: list[str]) -> list[tuple[str, int]]:
        return [
            end
            for name in names
            for end in endpoints(
                self.scenario, name, self.world.coordinator() if self.scenario.cluster else None
            )
        ]

    def _partition(self, fault: Fault, on: list, to: list) -> None:
        pairs = [(a, b) for a in on for b in to if a != b]
        pairs += [] if fault.one_way else [(b, a) for a, b in pairs]
        pairs = list(dict.fromkeys(pairs))
        for pair in pairs:
            self.cuts[pair] = self.cuts.get(pair, 0) + 1
            if pair[0][0] == pair[1][0] == "node":
                self.world._strike(WorldFault(self.now(), fault.lasts, "cut", (pair[0][1],), (pair[1][1],)))
        self.world.later(self.now() + fault.lasts, self._restore_paths, pairs)

    def _restore_paths(self, pairs: list) -> None:
        for pair in pairs:
            self.cuts[pair] -= 1

    def _kill(self, number: int, fault: Fault) -> None:
        node = self.nodes[number]
        node.alive = False
        for submission in node.submissions:
            if not submission.is_over:
                submission.is_over = True
                submission.job.answers.append((self.now(), "lost"))
            for attempt in submission.sent.values():
                if not attempt.is_closed:
                    self.cancel(attempt)
        self.world._strike(WorldFault(self.now(), fault.lasts, "kill", (number,)))

    def _slow(self, worker: SimulatedExecutor, fault: Fault) -> None:
        self._set_for(worker, "slow", fault.value, 1.0, fault.lasts)

    def _errors(self, worker: SimulatedExecutor, fault: Fault) -> None:
        self._set_for(worker, "errors", fault.value, 0.0, fault.lasts)

    def _set_for(
        self, worker: SimulatedExecutor, word: str, value: float, after: float, lasts: float
    ) -> None:
        setattr(worker, word, value)
        self.world.later(self.now() + lasts, setattr, worker, word, after)

    def _drain(self, worker: SimulatedExecutor, fault: Fault) -> None:
        self._set_for(worker, "draining", True, False, fault.lasts)
        for wait in (0.0, fault.lasts):
            self.world.later(self.now() + wait, self._publish_list)

    def _restart(self, worker: SimulatedExecutor, fault: Fault) -> None:
        for attempt in worker.restart():
            self.send_to_node(attempt, self._report_outcome, Outcome.CONNECTION_LOST, None)
        for node in self.nodes:
            node.idle[worker.number] = 0
        self._publish_list()
        self.world.later(self.now() + fault.lasts, self._start_executor, worker)

    def _start_executor(self, worker: SimulatedExecutor) -> None:
        worker.up, worker.began_at = True, self.now()
        self._publish_list()

    def _publish_list(self) -> None:
        for node in self.nodes:
            self.deliver_list_later(node)
