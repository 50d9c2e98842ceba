"""The candidate executors of a selection.

A selection scans all executors of a fleet of usual size. In a larger fleet a node has outstanding work or
connections at some tens of executors, and all others differ only in speed: a selection scans all of the
former and a window of the others at a random position, so that its cost does not grow with the fleet. This
departs from the paper (see `firwalk/policy/selection.py`): if none of the node's active executors is better,
the result is the best of a sample of about a hundred executors, not of thousands. The best of such a sample
is near the best of all (Mitzenmacher, "The Power of Two Choices"). The node's own outstanding work, on which
the algorithm is based, is always taken into account.
"""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterable
from itertools import chain, islice

from firwalk.policy.enums import EndpointState
from firwalk.policy.executor import Executor, Zone

MAX_FULL_SCAN = 256  # Larger fleets are sampled.
NEAR_SAMPLE_SIZE = 96  # A sample holds at most this number of inactive executors of the own zone.
FAR_SAMPLE_SIZE = 32  # A sample holds at most this number of inactive executors of other zones.
SLOW_START_SAMPLE_SIZE = 64  # A selection scans at most this number of executors in slow start.
MAX_INCREMENTAL_CHANGES = 32  # With more state changes the lists of ready executors are rebuilt.


class Candidates:
    """The active executors, those in slow start and the hash ring of a fleet.

    An executor is active while this node has outstanding work or idle connections there.
    """

    def __init__(self) -> None:
        self.active: dict[Executor, None] = {}
        self.warming_up: dict[Executor, None] = {}
        self.near: list[Executor] = []
        self.far: list[Executor] = []
        self.hash_ring: list[tuple[int, int, Executor]] = []  # all executors, by the hash of their names
        self.changed: dict[Executor, bool] = {}  # since the last list: whether the executor was ready
        self.has_moved = False  # whether an executor has changed its zone since the last list
        self.is_large = False

    def add(self, executor: Executor) -> None:
        """Add an executor that is not ready yet."""
        insort(self.hash_ring, (executor.name_hash, len(self.hash_ring), executor))

    def remove(self, executors: dict[Executor, None]) -> None:
        """Remove executors that are not ready."""
        self.hash_ring = [entry for entry in self.hash_ring if entry[2] not in executors]
        for executor in executors:
            self.active.pop(executor, None)
            self.warming_up.pop(executor, None)
            if self.changed.pop(executor, False):
                self.has_moved = True  # it was ready: the lists of ready executors must be rebuilt

    def record_change(self, executor: Executor, was_ready: bool) -> None:
        """Record a state change until the update of the endpoint list is complete."""
        self.changed.setdefault(executor, was_ready)

    def record_move(self) -> None:
        """Record that an executor has changed its zone: the lists of ready executors must be rebuilt."""
        self.has_moved = True

    def apply_changes(self, own_zone: Zone) -> bool:
        """Apply recorded changes to the lists of ready executors; return False if these must be rebuilt."""
        changed = self.changed
        has_moved = self.has_moved
        self.changed = {}
        self.has_moved = False
        if not self.is_large or has_moved or len(changed) > MAX_INCREMENTAL_CHANGES:
            return False
        for executor, was_ready in changed.items():
            ready = executor.state is EndpointState.READY
            executors = self.near if executor.zone is own_zone else self.far
            if was_ready and not ready:
                executors.remove(executor)
            elif ready and not was_ready:
                executors.append(executor)
        return True

    def set_ready(self, near: list[Executor], far: list[Executor]) -> None:
        """Set the lists of ready executors, which are shared with the caller, not copied."""
        self.near = near
        self.far = far
        self.is_large = len(near) + len(far) > MAX_FULL_SCAN

    def mark_active(self, executor: Executor) -> None:
        """Add an executor with outstanding work or connections of this node."""
        self.active[executor] = None

    def mark_slow_start(self, executor: Executor) -> None:
        """Add an executor that begins its slow start."""
        self.warming_up[executor] = None

    def _active(self) -> list[Executor]:
        """Return the active executors that are ready; remove those that are no longer active."""
        for executor in [
            executor
            for executor in self.active
            if not (executor.in_flight_slots or executor.idle_connections)
        ]:
            del self.active[executor]
        return [executor for executor in self.active if executor.state is EndpointState.READY]

    def sample(self, own_zone: Zone, draw: float) -> list[Executor]:
        """Return a sample of ready executors: the own zone first, and in each zone the active ones first."""
        active = self._active()
        near = [executor for executor in active if executor.zone is own_zone]
        far = [executor for executor in active if executor.zone is not own_zone]
        near += _sample_window(self.near, draw, NEAR_SAMPLE_SIZE)
        return near + far + _sample_window(self.far, draw, FAR_SAMPLE_SIZE)

    def in_slow_start(self, now: float, draw: float) -> list[Executor]:
        """Return a sample of the executors in slow start."""
        for executor in [executor for executor in self.warming_up if executor.slow_start_until <= now]:
            del self.warming_up[executor]
        return _sample_window(list(self.warming_up), draw, SLOW_START_SAMPLE_SIZE)

    def poll_targets(self, executors: list[Executor], start: int, count: int) -> list[Executor]:
        """Return active executors to poll, round robin: polling any other would open a connection."""
        used = (
            [executor for executor in self._active() if executor.zone is executors[0].zone]
            if executors
            else []
        )
        return list(islice(used[start % len(used) :] + used[: start % len(used)], count)) if used else []

    def successors(self, key_hash: int, count: int) -> tuple[Executor, ...]:
        """Return the ready executors that follow a hash on the ring (consistent hashing)."""
        at = bisect_left(self.hash_ring, (key_hash,))
        clockwise = chain(islice(self.hash_ring, at, None), islice(self.hash_ring, at))
        return tuple(
            islice((executor for _, _, executor in clockwise if executor.state is EndpointState.READY), count)
        )


def _sample_window(executors: list[Executor], draw: float, count: int) -> list[Executor]:
    """Return up to `count` inactive executors from a random position, out of at most twice as many."""
    if not executors:
        return []
    at = int(draw * len(executors))
    window: Iterable[Executor] = executors[at : at + 2 * count]
    if at + 2 * count > len(executors):
        window = [*window, *executors[: min(at, at + 2 * count - len(executors))]]
    return list(
        islice(
            (executor for executor in window if not (executor.in_flight_slots or executor.idle_connections)),
            count,
        )
    )
