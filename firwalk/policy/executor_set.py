"""All executors that a node knows, and the order in which a choice looks at them."""

from __future__ import annotations

from firwalk.policy.candidates import Candidates
from firwalk.policy.enums import EndpointState
from firwalk.policy.executor import Executor, SpeedEstimate, Zone
from firwalk.policy.policy_config import CRC32_RANGE, PolicyConfig, RandomSource

GOLDEN_RATIO = 0.6180339887  # spreads the draws of executors evenly


class ExecutorSet:
    """Executors by zone: `near` are those ready in the own zone, `far` those in others."""

    def __init__(self, config: PolicyConfig, random: RandomSource) -> None:
        self.config = config
        self.random = random
        self.own_zone = Zone()
        self.zones: dict[int, Zone] = {config.zone: self.own_zone}
        self.kinds: dict[int, SpeedEstimate] = {}
        self.executors: list[Executor] = []
        self.near: list[Executor] = []
        self.far: list[Executor] = []
        self.candidates = Candidates()
        self.list_count = 0  # endpoint lists received
        self.near_at = self.far_at = self._random_position()  # next to be polled

    def _random_position(self) -> int:
        return int(self.random.draw() * CRC32_RANGE)

    def add(self, ref: object, kind: int, zone: int, cell: int, size: float, name_hash: int) -> Executor:
        """Add an executor with the mean speed of its kind, or of all, or 1; one slot if no size is listed."""
        known = [estimate.speed for estimate in self.kinds.values() if estimate.sample_count] or [1.0]
        of_kind = self.kinds.setdefault(kind, SpeedEstimate(sum(known) / len(known)))
        draw = len(self.executors) * GOLDEN_RATIO % 1.0
        executor = Executor(ref, kind, self.zones.setdefault(zone, Zone()), cell, of_kind.speed, draw)
        executor.slots = max(of_kind.slots, round(size) if self.config.has_sizes else 1.0)
        executor.name_hash = name_hash
        executor.size = size if self.config.has_sizes else 1.0
        self.executors.append(executor)
        self.candidates.add(executor)
        return executor

    def change_state(self, executor: Executor, condition: EndpointState, started_at: float) -> None:
        """Take over what the endpoint list says of an executor; a new start begins its slow start."""
        if condition is not executor.condition:
            self.candidates.record_change(executor, executor.condition is EndpointState.READY)
        executor.condition = condition
        if condition is EndpointState.READY and started_at > executor.started_at:
            executor.started_at = started_at
            executor.slow_start_until = started_at + self.config.slow_start_s
            executor.unused = True
            executor.slots_of_others = 0.0
            executor.errors = 0.0
            executor.strikes = 0
            executor.ejected_until = 0.0
            executor.sent_cold.clear()
            self.candidates.mark_slow_start(executor)

    def apply_list(self) -> list[Executor] | None:
        """Rebuild the lists of ready executors and return all of these; None if few changes were applied."""
        self.list_count += 1
        if self.candidates.apply_changes(self.own_zone):
            return None
        ready = [e for e in self.executors if e.condition is EndpointState.READY]
        self.near = [e for e in ready if e.zone is self.own_zone]
        self.far = [e for e in ready if e.zone is not self.own_zone]
        self.candidates.set_ready(self.near, self.far)
        return ready

    def scan_order(self) -> list[Executor]:
        """The own zone first, then the newest report first, which differs at each node; else by chance."""
        if self.candidates.is_large:
            return self.candidates.sample(self.own_zone, self.random.draw())
        near = self.near
        far = self.far
        if not self.config.polls_load:
            self.near_at = self.far_at = self._random_position()
        near_at = self.near_at % (len(near) or 1)
        far_at = self.far_at % (len(far) or 1)
        return near[:near_at][::-1] + near[near_at:][::-1] + far[:far_at][::-1] + far[far_at:][::-1]

    def considered(self) -> list[Executor]:
        """All that are ready, or, of many, those that a choice would look at now."""
        return self.scan_order() if self.candidates.is_large else self.near + self.far
