"""Load reports: which executors are polled, and the load assumed of those without a recent report."""

from __future__ import annotations

from firwalk.policy.executor import Executor, LoadReport
from firwalk.policy.executor_set import ExecutorSet
from firwalk.policy.interface import Host
from firwalk.policy.policy_config import SMALL_FLEET, PolicyConfig
from firwalk.policy.selection import SPEED_SMOOTHING
from firwalk.policy.slow_start import SlowStart

UPDATE_INTERVAL_S = 1.0
# Without a report the load by other nodes moves to the zone's mean by this weight in each periodic update.
STALE_SMOOTHING = 0.3
SHARE_SMOOTHING = 0.3  # A periodic update enters this node's share of all work with this weight.
NEAR_POLLS = 2  # Each request and each periodic update polls this number of executors in the own zone.
FAR_POLLS = 1  # Each request and each periodic update polls this number of executors in other zones.


class ZoneLoad:
    """Load and slots of the executors of a zone that are not in slow start."""

    def __init__(self) -> None:
        self.slots_used_by_others = 0.0
        self.slots = 0.0


class LoadReports:
    """Polls executors for load reports and estimates this node's share of the work of all nodes."""

    def __init__(
        self, host: Host, config: PolicyConfig, executor_set: ExecutorSet, slow_start: SlowStart, now: float
    ) -> None:
        self.host = host
        self.config = config
        self.executor_set = executor_set
        self.slow_start = slow_start
        self.own_share = 1.0 / config.node_count
        self.samples_seen = 0
        host.set_timer(
            now + (config.node_index + 1) / config.node_count * UPDATE_INTERVAL_S, self.run_update, None
        )

    def apply(self, now: float, executor: Executor, report: LoadReport) -> None:
        """Apply a load report of an executor."""
        executor.apply_report(now, report, self.own_share)

    def run_update(self, now: float, _: object) -> None:
        """Run the periodic update: decay stale loads, update this node's share, and poll.

        Stale loads decay to the mean of their zone; otherwise slots that were reported free long ago would
        attract requests of hundreds of nodes.
        """
        try:
            self._update(now)
        finally:
            self.host.set_timer(now + UPDATE_INTERVAL_S, self.run_update, None)

    def _update(self, now: float) -> None:
        executor_set = self.executor_set
        ready = executor_set.near + executor_set.far
        samples = sum(estimate.sample_count for estimate in executor_set.machine_type_speeds.values())
        samples_per_executor = min((samples - self.samples_seen) / (len(ready) or 1), 1.0)
        self.samples_seen = samples
        own_slots = 0.0
        used_slots = 0.0
        zone_loads = {zone: ZoneLoad() for zone in executor_set.zones.values()}
        for executor in ready:
            own_slots += executor.own_slots_mean
            used_slots += executor.used_slots_mean
            if self.config.polls_load:
                self._refresh_speed(executor, samples_per_executor)
            self._refresh_load(now, executor, zone_loads[executor.zone])
        for zone, load in zone_loads.items():
            zone.mean_slot_load = load.slots_used_by_others / load.slots if load.slots else 0.0
        if used_slots > 1.0:
            share = min(max(own_slots / used_slots, 0.5 / self.config.node_count), 1.0)
            self.own_share += SHARE_SMOOTHING * (share - self.own_share)
        self.slow_start.measure_capacity(now, ready)
        if self.config.polls_load:
            self.poll()

    def _refresh_speed(self, executor: Executor, samples: float) -> None:
        """Move the speed of an idle executor towards that of its machine type.

        Otherwise one request far heavier than its hint would exclude the executor for ever: no request would
        be sent that could correct the speed.
        """
        machine_type_speed = self.executor_set.machine_type_speeds[executor.machine_type]
        if executor.cost_mean and not executor.in_flight_slots:
            executor.learn(
                executor.cost_mean, executor.cost_mean / machine_type_speed.speed, SPEED_SMOOTHING * samples
            )
        if not executor.sample_count:
            executor.speed = machine_type_speed.speed
            executor.slots = max(executor.slots, machine_type_speed.slots)

    def _refresh_load(self, now: float, executor: Executor, zone_load: ZoneLoad) -> None:
        # Empty slots of executors in slow start would make the zone's full executors look free.
        if executor.slow_start_until < now:
            zone_load.slots_used_by_others += executor.slots_used_by_others
            zone_load.slots += executor.slots
        if executor.reported_at < now - UPDATE_INTERVAL_S:
            executor.slots_used_by_others += STALE_SMOOTHING * (
                executor.zone.mean_slot_load * executor.slots - executor.slots_used_by_others
            )

    def poll(self) -> None:
        """Poll some executors of each zone, round robin. Each request and each periodic update polls once."""
        executor_set = self.executor_set
        executor_set.near_position = self._poll_zone(
            executor_set.near, executor_set.near_position, NEAR_POLLS
        )
        executor_set.far_position = self._poll_zone(executor_set.far, executor_set.far_position, FAR_POLLS)

    def _poll_zone(self, executors: list[Executor], start: int, count: int) -> int:
        """Poll `count` executors from a position on; return the next position.

        Executors accept a limited number of connections. The more nodes share them, the fewer connections a
        node opens for polls alone.
        """
        if self.executor_set.candidates.is_large:
            for executor in self.executor_set.candidates.poll_targets(executors, start, count):
                self.host.check_health(executor)
            return start + count
        node_count = self.config.node_count
        connected = sum(e.idle_connections + e.in_flight_slots > 0 for e in executors)
        capacity = (SMALL_FLEET / node_count) ** 2 * len(executors) - connected
        may_connect = node_count <= SMALL_FLEET or capacity >= 1.0
        polled = [
            offset
            for offset in range(len(executors))
            if may_connect or executors[(start + offset) % len(executors)].idle_connections
        ][:count]
        for offset in polled:
            self.host.check_health(executors[(start + offset) % len(executors)])
        return start + polled[-1] + 1 if polled else start
