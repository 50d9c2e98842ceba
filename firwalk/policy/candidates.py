"""Which executors a choice looks at. No I/O.

A fleet of the usual size is looked at whole. In a larger one a node has work, or connections, at some tens
of executors, and all others look alike but for their speed: the choice looks at all of the former and at a
window of the others, drawn anew each time, so that its cost does not grow with the fleet. That is a
departure: where none of its own executors is better, the choice is the best of a sample of some hundred, not
of thousands. Among so many the best of a sample is near the best of all (Mitzenmacher, "The Power of Two
Choices"); the mechanism itself, least own outstanding estimated work, is exact, since whoever has own work is
always seen.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterable
from itertools import chain, islice
from typing import TYPE_CHECKING

from firwalk.policy.interface import EndpointState

if TYPE_CHECKING:
    from firwalk.policy.policy import Executor

LARGE = 256  # executors up to which a choice looks at all
NEAR_LOOKS, FAR_LOOKS = 96, 32  # of those without own work or connections, in the own zone and in others
COLD_LOOKS = 64  # of those in slow start
FEW_CHANGES = 32  # of executors that came or went: so many are taken in one by one


class Candidates:
    """Executors with own work or connections, and those in slow start, of a large fleet."""

    def __init__(self) -> None:
        self.active: dict[Executor, None] = {}
        self.cold: dict[Executor, None] = {}
        self.near: list[Executor] = []
        self.far: list[Executor] = []
        self.ring: list[tuple[int, int, Executor]] = []  # all by their marks, ready or not
        self.changed: dict[Executor, bool] = {}  # since the list was heard last; whether it was ready before
        self.large = False

    def met(self, executor: Executor) -> None:
        """There is one more."""
        insort(self.ring, (executor.mark, len(self.ring), executor))

    def changes(self, executor: Executor, was_ready: bool) -> None:
        """The list says something new of it."""
        self.changed.setdefault(executor, was_ready)

    def take_in(self, own_zone: object) -> bool:
        """Changes the lists of those that are ready by the few that have come or gone; False: they have to be
        made anew."""
        changed, self.changed = self.changed, {}
        if not self.large or len(changed) > FEW_CHANGES:
            return False
        for executor, was_ready in changed.items():
            ready = executor.condition is EndpointState.READY
            among = self.near if executor.zone is own_zone else self.far
            if was_ready and not ready:
                among.remove(executor)
            elif ready and not was_ready:
                among.append(executor)
        return True

    def listed(self, near: list[Executor], far: list[Executor]) -> None:
        """Those that are ready, anew."""
        self.near, self.far = near, far
        self.large = len(near) + len(far) > LARGE

    def used(self, executor: Executor) -> None:
        """It has own work, or connections, from now on."""
        self.active[executor] = None

    def restarted(self, executor: Executor) -> None:
        """It is in slow start from now on."""
        self.cold[executor] = None

    def _active(self) -> list[Executor]:
        """Those of the ready ones that still are; others are forgotten."""
        for executor in [one for one in self.active if not (one.held or one.idle)]:
            del self.active[executor]
        return [one for one in self.active if one.condition is EndpointState.READY]

    def sample(self, own_zone: object, chance: float) -> list[Executor]:
        """The own zone first, and in each zone those with own work first."""
        active = self._active()
        near = [one for one in active if one.zone is own_zone]
        far = [one for one in active if one.zone is not own_zone]
        near += _window(self.near, chance, NEAR_LOOKS)
        return near + far + _window(self.far, chance, FAR_LOOKS)

    def in_slow_start(self, now: float, chance: float) -> list[Executor]:
        """Some of them."""
        for executor in [one for one in self.cold if one.cold_until <= now]:
            del self.cold[executor]
        return _window(list(self.cold), chance, COLD_LOOKS)

    def to_probe(self, among: list[Executor], at: int, most: int) -> list[Executor]:
        """Some of those that it uses, in turn: a probe of any other would open a connection for itself."""
        mine = [one for one in self._active() if one.zone is among[0].zone] if among else []
        return list(islice(mine[at % len(mine) :] + mine[: at % len(mine)], most)) if mine else []

    def following(self, point: int, count: int) -> tuple[Executor, ...]:
        """Whom a point on the ring of all ready executors belongs to: consistent hashing."""
        at = bisect_left(self.ring, (point,))
        around = chain(islice(self.ring, at, None), islice(self.ring, at))
        return tuple(islice((one for _, _, one in around if one.condition is EndpointState.READY), count))


def _window(among: list[Executor], chance: float, count: int) -> list[Executor]:
    """So many without own work or connections, from a drawn place on; twice as many are looked at at most."""
    if not among:
        return []
    at = int(chance * len(among))
    looked: Iterable[Executor] = among[at : at + 2 * count]
    if at + 2 * count > len(among):
        looked = [*looked, *among[: min(at, at + 2 * count - len(among))]]
    return list(islice((one for one in looked if not (one.held or one.idle)), count))
