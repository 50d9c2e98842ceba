"""Randomized fault schedules in virtual time; a schedule that violates an invariant is shrunk.

`firwalk lab schedules` runs thousands of them. Tests run some with fixed seeds, and with mutants of the
cluster code that must be detected.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import replace
from multiprocessing import Pool

from firwalk.cluster.cluster_member import ClusterMember
from firwalk.cluster.messages import Answer
from firwalk.lab.invariants import Judge
from firwalk.lab.virtual import Fault, Process, Schedule, World

LEASE_LENGTH = 1.0  # Duration of a lease in seconds in a random schedule.
MEMBER_SETTINGS = {"length": LEASE_LENGTH, "period": 1.0, "answer": 0.2, "report": 0.3, "hold": 1.5}
SCHEDULE_LENGTHS = 9.0  # Duration of a schedule in lease lengths.


class Watch:
    """Forwards events of a simulated run to the invariant checker."""

    def __init__(self, judge: Judge):
        self.judge = judge

    def happened(self, now: float, process: Process, what: str, about: dict) -> None:
        self.judge.seen(now, process.number, process.generation, what, about, process.rate)

    def sent(self, now: float, process: Process, seat: int, message: object) -> None:
        if isinstance(message, Answer):
            self.judge.answered(now, process.number, process.generation, message.term)


def drawn(seed: int, drift: float = 0.01) -> Schedule:
    """Return a random schedule; the seed determines its sizes, network, clocks and faults."""
    chance = random.Random(seed)
    voters = chance.choice((3, 3, 5))
    seats = voters + chance.choice((0, 1, 2))
    until = SCHEDULE_LENGTHS * LEASE_LENGTH
    schedule = Schedule(
        seed,
        seats,
        list(range(voters)),
        until,
        settings=dict(MEMBER_SETTINGS),
        rates=[chance.uniform(1 - drift, 1 + drift) for _ in range(seats)],
        loss=chance.choice((0.0, 0.0, 0.05, 0.2)),
        double=chance.choice((0.0, 0.1, 0.5)),
        delay=(0.001, chance.choice((0.005, 0.02, 0.1, 0.6))),
        changes=chance.choice((0.15, 0.4)),
    )
    for _ in range(chance.randrange(2, 9)):
        schedule.faults.append(_random_fault(chance, seats, voters, until))
    schedule.faults.sort(key=lambda fault: fault.at)
    return schedule


def _random_fault(chance: random.Random, seats: int, voters: int, until: float) -> Fault:
    at, length = chance.uniform(0.5, until - 1.0), chance.choice((0.05, 0.3, 0.8, 1.2, 2.5)) * LEASE_LENGTH
    kind = chance.choice(("cut", "cut", "pause", "pause", "kill", "kill", "loss", "delay"))
    if kind == "cut":
        side = chance.sample(range(seats), chance.randrange(1, seats))
        rest = [seat for seat in range(seats) if seat not in side]
        return Fault(at, length, kind, tuple(side), tuple(rest))
    if kind in ("pause", "kill"):
        which = chance.sample(range(voters if chance.random() < 0.8 else seats), chance.randrange(1, 3))
        if kind == "kill":
            length = chance.choice((0.0, 0.02, 0.2, 0.6, 1.5)) * LEASE_LENGTH
        return Fault(at, length, kind, tuple(which))
    return Fault(at, length, kind, value=chance.choice((0.2, 0.5)))


def played(schedule: Schedule, make: Callable[..., ClusterMember] = ClusterMember) -> tuple[Judge, World]:
    """Run a schedule and return the invariant checker and the world after it."""
    judge = Judge()
    world = World(schedule, make)
    for _, number, generation, what, about in world.history:
        judge.seen(0.0, number, generation, what, about)
    world.watchers.append(Watch(judge))
    world.run()
    return judge, world


def shrunk(schedule: Schedule, make: Callable[..., ClusterMember] = ClusterMember) -> Schedule:
    """Return a smaller schedule that still violates an invariant, removing faults one at a time."""
    again = True
    while again:
        again = False
        for number in range(len(schedule.faults)):
            faults = schedule.faults[:number] + schedule.faults[number + 1 :]
            smaller = replace(schedule, faults=faults)
            if played(smaller, make)[0].breaks:
                schedule, again = smaller, True
                break
    for quieter in (replace(schedule, double=0.0), replace(schedule, loss=0.0)):
        if played(quieter, make)[0].breaks:
            schedule = quieter
    return schedule


def history(schedule: Schedule, judge: Judge) -> str:
    lines = [
        f"seed {schedule.seed}, {schedule.seats} seats, voters {schedule.voters}, loss {schedule.loss}, "
        f"delay up to {schedule.delay[1]}, doubled {schedule.double}"
    ]
    lines += [f"  fault {fault}" for fault in schedule.faults]
    first = judge.breaks[0]
    return "\n".join([*lines, *(f"  {line}" for line in first.history), str(first)])


def first_caught(
    make: Callable[..., ClusterMember], most: int, start: int = 0, drift: float = 0.01
) -> int | None:
    """Return how many schedules it took to detect a mutant, or None if `most` did not."""
    for number in range(most):
        if played(drawn(start + number, drift), make)[0].breaks:
            return number + 1
    return None


def _run_one(about: tuple[int, float]) -> tuple[int, list[str], int, int]:
    seed, drift = about
    judge, _ = played(drawn(seed, drift))
    return seed, [str(b) for b in judge.breaks[:1]], len(judge.written), len(judge.followed)


def many(count: int, start: int = 0, drift: float = 0.01, workers: int = 1) -> Iterator[tuple]:
    """Yield (seed, violations, plans written, incarnations that followed a plan) as each schedule ends."""
    work = ((start + number, drift) for number in range(count))
    if workers <= 1:
        yield from map(_run_one, work)
        return
    with Pool(workers) as pool:
        yield from pool.imap_unordered(_run_one, work, 50)
