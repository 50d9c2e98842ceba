"""Discrete-event simulation of the cluster protocol with faults in the network, processes and clocks.

An event heap drives `firwalk.cluster.cluster_member.ClusterMember`. All randomness comes from the seed and
events at equal times run in the order in which they were scheduled, so a run is reproducible. The network
loses, delays, duplicates and reorders datagrams; links are cut one way; processes pause, are killed and
restart without state; clocks run at different rates. Times are seconds of virtual time.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from firwalk.cluster import messages as m
from firwalk.cluster.cluster_member import ClusterMember
from firwalk.cluster.host import State

MAX_BUFFERED_DATAGRAMS = 200  # Datagrams buffered for a paused process, as by a socket's receive buffer.


@dataclass(frozen=True)
class Fault:
    """A fault that lasts `length` seconds from `at`.

    `kind` is cut (one way, from `seats` to `others`), pause, kill (restart after `length`), loss or delay.
    """

    at: float
    length: float
    kind: str
    seats: tuple[int, ...] = ()
    others: tuple[int, ...] = ()
    value: float = 0.0

    def __str__(self) -> str:
        about = f" {list(self.seats)}" if self.seats else ""
        about += f" -> {list(self.others)}" if self.others else ""
        about += f" {self.value:.2f}" if self.value else ""
        return f"{self.at:8.3f} {self.kind}{about} for {self.length:.3f}"


@dataclass
class Schedule:
    """All inputs of one run; `firwalk.lab.schedules.shrunk` removes faults from it."""

    seed: int
    seats: int
    voters: list[int]
    until: float
    faults: list[Fault] = field(default_factory=list)
    rates: list[float] = field(default_factory=list)  # Rate of each member's clock.
    loss: float = 0.0
    delay: tuple[float, float] = (0.001, 0.01)
    double: float = 0.0
    settings: dict[str, float] = field(default_factory=dict)
    changes: float = 0.0  # Seconds between changes of the plan; 0 disables them.


class Process:
    """One incarnation of a cluster member, and the host interface that the member calls."""

    def __init__(self, world: World, number: int, rate: float):
        self.world, self.number, self.rate = world, number, rate
        self.base = world.chance.random() * 1000.0  # Offset of the local clock from virtual time.
        self.generation = world.chance.getrandbits(32)
        self.alive, self.paused_until = True, 0.0
        self.kept: list[tuple] = []
        self.seat: ClusterMember | None = None

    def clock(self) -> float:
        return self.base + self.world.now * self.rate

    def send(self, seat: int, message: m.Message) -> None:
        self.world.sent(self, seat, message)

    def set_timer(self, when: float, act: Callable[[float, Any], None], about: Any) -> None:
        at = max((when - self.base) / self.rate, self.world.now)
        self.world.later(at, self._run, act, about)

    def _run(self, act: Callable[[float, Any], None], about: Any) -> None:
        if not self.alive:
            return
        if self.world.now < self.paused_until:
            self.world.later(self.paused_until, self._run, act, about)
        else:
            act(self.clock(), about)

    def event(self, what: str, **about: Any) -> None:
        self.world.happened(self, what, about)


class World:
    """Simulates the processes of a schedule, their clocks and the network between them."""

    def __init__(
        self, schedule: Schedule, make: Callable[..., ClusterMember] = ClusterMember, by_bytes: bool = False
    ):
        self.schedule, self.make, self.by_bytes = schedule, make, by_bytes
        self.chance = random.Random(schedule.seed)
        self.now, self.sequence, self.heap = 0.0, 0, []
        self.cuts: dict[tuple[int, int], int] = {}
        self.loss, self.delay = schedule.loss, schedule.delay
        self.history: list[tuple[float, int, int, str, dict]] = []
        self.watchers: list[Any] = []  # Observers with methods `happened` and `sent`.
        self.counts = {"datagrams": 0, "bytes": 0, "lost": 0}
        self.out: list[int] = [0] * schedule.seats
        self.bytes_out: list[int] = [0] * schedule.seats
        self.processes: list[Process] = [None] * schedule.seats
        for number in range(schedule.seats):
            self.begin(number)
        for fault in schedule.faults:
            self.later(fault.at, self._strike, fault)
        if schedule.changes:
            self.later(schedule.changes, self._change, 1)

    # -- time --------------------------------------------------------------------------------------------

    def later(self, when: float, act: Callable, *about: Any) -> None:
        self.sequence += 1
        heapq.heappush(self.heap, (when, self.sequence, act, about))

    def run(self, until: float | None = None) -> None:
        end = self.schedule.until if until is None else until
        while self.heap and self.heap[0][0] <= end:
            self.now, _, act, about = heapq.heappop(self.heap)
            act(*about)
        self.now = end

    # -- processes ---------------------------------------------------------------------------------------

    def begin(self, number: int) -> None:
        rates = self.schedule.rates
        process = Process(self, number, rates[number] if rates else 1.0)
        self.processes[number] = process
        now = process.clock()
        process.seat = self.make(
            process,
            number,
            self.schedule.seats,
            process.generation,
            now,
            voters=self.schedule.voters,
            **self.schedule.settings,
        )
        self.happened(process, "began", {"life": process.generation})
        process.seat.start(now)

    def kill(self, number: int) -> None:
        process = self.processes[number]
        if process.alive:
            process.alive = False
            self.happened(process, "killed", {})

    def _again(self, number: int) -> None:
        if not self.processes[number].alive:
            self.begin(number)

    def _wake(self, number: int) -> None:
        process = self.processes[number]
        if self.now < process.paused_until:
            return
        kept, process.kept = process.kept, []
        for about in kept:
            self._arrive(*about)

    def _change(self, count: int) -> None:
        """Have the coordinator, if there is one, change a section of the plan; schedule the next change."""
        for process in self.processes:
            if process.alive and self.now >= process.paused_until:
                now = process.clock()
                if process.seat.is_leader(now):
                    process.seat.set_section(now, f"part{count % 3}", [count] * 60)
        if self.schedule.changes:
            self.later(self.now + self.schedule.changes, self._change, count + 1)

    # -- faults ------------------------------------------------------------------------------------------

    def _strike(self, fault: Fault) -> None:
        if fault.kind == "cut":
            for a in fault.seats:
                for b in fault.others:
                    self.cuts[a, b] = self.cuts.get((a, b), 0) + 1
            self.later(self.now + fault.length, self._heal, fault)
        elif fault.kind == "pause":
            for number in fault.seats:
                process = self.processes[number]
                process.paused_until = max(process.paused_until, self.now + fault.length)
                self.later(process.paused_until, self._wake, number)
        elif fault.kind == "kill":
            for number in fault.seats:
                self.kill(number)
                self.later(self.now + fault.length, self._again, number)
        elif fault.kind == "loss":
            self.loss += fault.value
            self.later(self.now + fault.length, self._heal, fault)
        elif fault.kind == "delay":
            self.delay = (self.delay[0], self.delay[1] + fault.value)
            self.later(self.now + fault.length, self._heal, fault)

    def _heal(self, fault: Fault) -> None:
        if fault.kind == "cut":
            for a in fault.seats:
                for b in fault.others:
                    self.cuts[a, b] -= 1
        elif fault.kind == "loss":
            self.loss -= fault.value
        else:
            self.delay = (self.delay[0], self.delay[1] - fault.value)

    # -- the network -------------------------------------------------------------------------------------

    def sent(self, process: Process, seat: int, message: m.Message) -> None:
        for watcher in self.watchers:
            watcher.sent(self.now, process, seat, message)
        self.counts["datagrams"] += 1
        self.out[process.number] += 1
        mine = process.seat.members.me if process.seat is not None else None
        head = (process.number, process.generation, mine.incarnation if mine else 0)
        data = None
        if self.by_bytes:
            data = m.encode(7, *head, message)
            self.counts["bytes"] += len(data)
            self.bytes_out[process.number] += len(data)
        if seat == process.number:
            self.later(self.now, self._arrive, seat, process.number, *head[1:], message, data)
            return
        if self.cuts.get((process.number, seat)) or self.chance.random() < self.loss:
            self.counts["lost"] += 1
            return
        for _ in range(2 if self.chance.random() < self.schedule.double else 1):
            self.later(
                self.now + self.chance.uniform(*self.delay),
                self._arrive,
                seat,
                process.number,
                *head[1:],
                message,
                data,
            )

    def _arrive(
        self,
        seat: int,
        sender: int,
        generation: int,
        incarnation: int,
        message: m.Message,
        data: bytes | None,
    ) -> None:
        process = self.processes[seat]
        if not process.alive:
            return
        if self.now < process.paused_until:
            if len(process.kept) < MAX_BUFFERED_DATAGRAMS:
                process.kept.append((seat, sender, generation, incarnation, message, data))
            return
        if data is not None:
            sender, generation, incarnation, message = m.decode(7, data)
        process.seat.on_message(process.clock(), sender, generation, incarnation, message)

    # -- observation -------------------------------------------------------------------------------------

    def happened(self, process: Process, what: str, about: dict) -> None:
        self.history.append((self.now, process.number, process.generation, what, about))
        for watcher in self.watchers:
            watcher.happened(self.now, process, what, about)

    def coordinator(self) -> int | None:
        for process in self.processes:
            awake = process.alive and self.now >= process.paused_until
            if awake and process.seat.is_leader(process.clock()):
                return process.number
        return None

    def states(self, number: int) -> list[State]:
        return [member.state for member in self.processes[number].seat.members.all]
