"""The executors that a choice looks at.

A fleet of the usual size is looked at completely. In a larger one a node has work, or connections, at some
tens of executors, and all others differ in speed only: a choice looks at all of the former and at a window of
the others, drawn anew each time, so that its cost does not grow with the fleet. That is a departure from the
paper: where none of its own executors is better, the choice is the best of a sample of about a hundred, not
of thousands. Among so many the best of a sample is near the best of all (Mitzenmacher, "The Power of Two
Choices"). Own work, by which the mechanism decides, is always seen.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterable
from itertools import chain, islice

from firwalk.policy.enums import EndpointState
from firwalk.policy.executor import Executor, Zone

LARGE = 256  # executors up to which a choice looks at all
NEAR_LOOKS = 96  # executors without own work or connections, in the own zone
FAR_LOOKS = 32  # the same, in other zones
COLD_LOOKS = 64  # executors in slow start
MAX_SINGLE_CHANGES = 32  # executors that came or went; with more the lists are rebuilt


class Candidates:
    """Executors with own work or connections, and those in slow start, of a large fleet."""

    def __init__(self) -> None:
        self.active: dict[Executor, None] = {}
        self.cold: dict[Executor, None] = {}
        self.near: list[Executor] = []
        self.far: list[Executor] = []
        self.ring: list[tuple[int, int, Executor]] = []  # all, by their marks
        self.changed: dict[Executor, bool] = {}  # since the last list; whether it was ready
        self.is_large = False

    def add(self, executor: Executor) -> None:
        """Add an executor that is not ready yet."""
        insort(self.ring, (executor.name_hash, len(self.ring), executor))

    def record_change(self, executor: Executor, was_ready: bool) -> None:
        """Remember a change of state until the list is complete."""
        self.changed.setdefault(executor, was_ready)

    def apply_changes(self, own_zone: Zone) -> bool:
        """Apply a few changes to the lists of ready executors; False if these must be rebuilt."""
        changed = self.changed
        self.changed = {}
        if not self.is_large or len(changed) > MAX_SINGLE_CHANGES:
            return False
        for executor, was_ready in changed.items():
            ready = executor.condition is EndpointState.READY
            among = self.near if executor.zone is own_zone else self.far
            if was_ready and not ready:
                among.remove(executor)
            elif ready and not was_ready:
                among.append(executor)
        return True

    def set_ready(self, near: list[Executor], far: list[Executor]) -> None:
        """Set the lists of ready executors; they are shared, not copied."""
        self.near = near
        self.far = far
        self.is_large = len(near) + len(far) > LARGE

    def mark_active(self, executor: Executor) -> None:
        """The executor has own work, or connections, from now on."""
        self.active[executor] = None

    def mark_slow_start(self, executor: Executor) -> None:
        """The executor is in slow start from now on."""
        self.cold[executor] = None

    def _active(self) -> list[Executor]:
        """Ready executors with own work or connections; drops those that have neither any more."""
        for executor in [one for one in self.active if not (one.in_flight_slots or one.idle)]:
            del self.active[executor]
        return [one for one in self.active if one.condition is EndpointState.READY]

    def sample(self, own_zone: Zone, draw: float) -> list[Executor]:
        """A sample: the own zone first, and in each zone those with own work first."""
        active = self._active()
        near = [one for one in active if one.zone is own_zone]
        far = [one for one in active if one.zone is not own_zone]
        near += _window(self.near, draw, NEAR_LOOKS)
        return near + far + _window(self.far, draw, FAR_LOOKS)

    def in_slow_start(self, now: float, draw: float) -> list[Executor]:
        """Some of the executors in slow start."""
        for executor in [one for one in self.cold if one.slow_start_until <= now]:
            del self.cold[executor]
        return _window(list(self.cold), draw, COLD_LOOKS)

    def poll_targets(self, among: list[Executor], start: int, count: int) -> list[Executor]:
        """Some executors with connections, in turn: a poll of any other would open a connection."""
        used = [one for one in self._active() if one.zone is among[0].zone] if among else []
        return list(islice(used[start % len(used) :] + used[: start % len(used)], count)) if used else []

    def successors(self, point: int, count: int) -> tuple[Executor, ...]:
        """The ready executors that follow a point on the ring: consistent hashing."""
        at = bisect_left(self.ring, (point,))
        around = chain(islice(self.ring, at, None), islice(self.ring, at))
        return tuple(islice((one for _, _, one in around if one.condition is EndpointState.READY), count))


def _window(among: list[Executor], draw: float, count: int) -> list[Executor]:
    """So many without own work or connections, from a random position; looks at twice as many at most."""
    if not among:
        return []
    at = int(draw * len(among))
    looked: Iterable[Executor] = among[at : at + 2 * count]
    if at + 2 * count > len(among):
        looked = [*looked, *among[: min(at, at + 2 * count - len(among))]]
    return list(islice((one for one in looked if not (one.in_flight_slots or one.idle)), count))
