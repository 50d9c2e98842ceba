"""All executors known to a node, and the order in which a selection scans them."""

from __future__ import annotations

from firwalk.policy.candidates import Candidates
from firwalk.policy.enums import EndpointState
from firwalk.policy.executor import UNKNOWN_NUMBER, Executor, SpeedEstimate, Zone
from firwalk.policy.policy_config import CRC32_RANGE, PolicyConfig, RandomSource

GOLDEN_RATIO = 0.6180339887  # Multiples of it modulo 1 spread the slow start offsets evenly.


class ExecutorSet:
    """Executors by zone. `near` holds the ready executors of this node's zone, `far` those of other zones."""

    def __init__(self, config: PolicyConfig, random: RandomSource) -> None:
        self.config = config
        self.random = random
        self.own_zone = Zone(config.zone)
        self.zones: dict[int, Zone] = {config.zone: self.own_zone}
        self.machine_type_speeds: dict[int, SpeedEstimate] = {}
        self.executors: list[Executor] = []
        self.near: list[Executor] = []
        self.far: list[Executor] = []
        self.candidates = Candidates()
        self.list_count = 0  # endpoint lists received
        self.near_position = self.far_position = self._random_position()  # of the next polls

    def _random_position(self) -> int:
        return int(self.random.draw() * CRC32_RANGE)

    def add(
        self, handle: object, machine_type: int, zone: int, cell: int, size: float, name_hash: int
    ) -> Executor:
        """Add an executor that is not ready yet.

        Its initial speed is that of its machine type, else the mean of all machine types, else 1. It has one
        slot if the endpoint list gives no sizes.
        """
        machine_type_speed = self._machine_type_speed(machine_type)
        slow_start_offset = len(self.executors) * GOLDEN_RATIO % 1.0
        executor = Executor(
            handle,
            machine_type,
            self.zone(zone),
            cell,
            machine_type_speed.speed,
            slow_start_offset,
        )
        executor.slots = max(machine_type_speed.slots, round(size) if self.config.has_sizes else 1.0)
        executor.name_hash = name_hash
        executor.size = size if self.config.has_sizes else 1.0
        self.executors.append(executor)
        self.candidates.add(executor)
        return executor

    def remove(self, executors: list[Executor]) -> None:
        """Remove executors that are not ready."""
        removed = dict.fromkeys(executors)
        self.executors = [executor for executor in self.executors if executor not in removed]
        for zone in self.zones.values():
            zone.unreachable = [executor for executor in zone.unreachable if executor not in removed]
        self.candidates.remove(removed)

    def _machine_type_speed(self, machine_type: int) -> SpeedEstimate:
        known_speeds = [
            estimate.speed for estimate in self.machine_type_speeds.values() if estimate.sample_count
        ] or [1.0]
        return self.machine_type_speeds.setdefault(
            machine_type, SpeedEstimate(sum(known_speeds) / len(known_speeds))
        )

    def zone(self, number: int) -> Zone:
        """Return the zone with that number."""
        return self.zones.setdefault(number, Zone(number))

    def update_attributes(
        self, executor: Executor, machine_type: int, zone: int, cell: int, size: float
    ) -> None:
        """Apply the attributes in the endpoint list; those that the list leaves unknown stay as they are.

        The first list that names an executor may come after it was added: another process of this node may
        have sent to it before. A size only grows, since one that the list leaves out reads as the smallest.
        """
        if zone != UNKNOWN_NUMBER:
            self._move(executor, self.zone(zone))
        if cell != UNKNOWN_NUMBER:
            executor.cell = cell
        if machine_type not in (UNKNOWN_NUMBER, executor.machine_type):
            self._change_machine_type(executor, machine_type)
        if self.config.has_sizes:
            executor.size = max(executor.size, size)
            executor.slots = max(executor.slots, round(size))

    def _move(self, executor: Executor, zone: Zone) -> None:
        previous = executor.zone
        if zone is previous:
            return
        if executor in previous.unreachable:
            previous.unreachable.remove(executor)
        executor.zone = zone
        self.candidates.record_move()

    def _change_machine_type(self, executor: Executor, machine_type: int) -> None:
        machine_type_speed = self._machine_type_speed(machine_type)
        executor.machine_type = machine_type
        executor.slots = max(executor.slots, machine_type_speed.slots)
        if not executor.sample_count:
            executor.speed = machine_type_speed.speed

    def change_state(self, executor: Executor, state: EndpointState, started_at: float) -> None:
        """Apply an executor's state in the endpoint list; a later start time begins a slow start."""
        if state is not executor.state:
            self.candidates.record_change(executor, executor.state is EndpointState.READY)
        executor.state = state
        if state is EndpointState.READY and started_at > executor.started_at:
            executor.started_at = started_at
            executor.slow_start_until = started_at + self.config.slow_start_s
            executor.is_unused = True
            executor.slots_used_by_others = 0.0
            executor.error_rate = 0.0
            executor.strikes = 0
            executor.ejected_until = 0.0
            executor.slow_start_sends.clear()
            self.candidates.mark_slow_start(executor)

    def apply_list(self) -> list[Executor] | None:
        """Rebuild and return the ready executors; return None if the changes were applied incrementally."""
        self.list_count += 1
        if self.candidates.apply_changes(self.own_zone):
            return None
        ready = [e for e in self.executors if e.state is EndpointState.READY]
        self.near = [e for e in ready if e.zone is self.own_zone]
        self.far = [e for e in ready if e.zone is not self.own_zone]
        self.candidates.set_ready(self.near, self.far)
        return ready

    def scan_order(self) -> list[Executor]:
        """Return the executors in the order in which a selection scans them.

        The own zone comes first. Within a zone the most recently polled executor comes first, which differs
        between nodes, or without load polls a random one.
        """
        if self.candidates.is_large:
            return self.candidates.sample(self.own_zone, self.random.draw())
        near = self.near
        far = self.far
        if not self.config.polls_load:
            self.near_position = self.far_position = self._random_position()
        near_position = self.near_position % (len(near) or 1)
        far_position = self.far_position % (len(far) or 1)
        return (
            near[:near_position][::-1]
            + near[near_position:][::-1]
            + far[:far_position][::-1]
            + far[far_position:][::-1]
        )

    def considered(self) -> list[Executor]:
        """Return all ready executors, or a sample of them in a large fleet."""
        return self.scan_order() if self.candidates.is_large else self.near + self.far
