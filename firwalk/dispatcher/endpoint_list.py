"""The endpoint list of this node, and the executors named in it.

Times are seconds on the caller's clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple
from zlib import crc32

from firwalk.dispatcher.endpoint import Endpoint
from firwalk.dispatcher.failure_gossip import ExecutorIndex
from firwalk.dispatcher.maintenance import Maintenance
from firwalk.policy.executor import UNKNOWN_NUMBER, Zone
from firwalk.policy.interface import EndpointState
from firwalk.policy.policy import Executor, Policy

MAX_EXECUTORS = 8192  # of these, removed ones are forgotten first; others are not added


class EndpointEntry(NamedTuple):
    """The entry of an executor. Processes of a node exchange entries with the fields in this order."""

    name: str
    address: tuple[str, int]
    zone: str
    machine_type: str
    cell: int
    state: EndpointState
    started_at: float
    weight: float


# An entry, or its values in the same order as decoded from JSON.
EndpointFields = tuple[str, tuple[str, int], str, str, int, EndpointState, float, float]


class EndpointList:
    """Applies updates of the endpoint list to the policy.

    `zones` and `machine_types` map the names of zones and machine types to their numbers.
    `close_idle_connections` is called for executors that were removed or have a new address.
    """

    def __init__(
        self,
        policy: Policy,
        zones: Mapping[str, int],
        machine_types: Mapping[str, int],
        close_idle_connections: Callable[[Executor], None],
    ) -> None:
        self.policy = policy
        self.zones = zones
        self.machine_types = machine_types
        self.close_idle_connections = close_idle_connections
        self.entries: dict[str, EndpointEntry] = {}
        self.executors: dict[str, Executor] = {}
        self.index: ExecutorIndex[Executor] = ExecutorIndex()
        self.maintenance = Maintenance()
        self.version = 0
        self.received_at = 0.0
        self.left_out_count = 0  # of the current update: not added, since too many are known

    def apply(self, now: float, version: int, is_complete: bool, entries: Iterable[EndpointFields]) -> bool:
        """Apply an update by the discovery service; return False if it is older than the list and ignored.

        A complete update removes the executors that it does not name.
        """
        is_applied = self._apply_update(now, version, is_complete, entries)
        if is_applied:
            self.received_at = now
            self.policy.endpoint_list_received(now)
        return is_applied

    def restore(self, now: float, version: int, is_complete: bool, entries: Iterable[EndpointFields]) -> bool:
        """Apply the list of another process of this node; it is no answer of the discovery service."""
        is_applied = self._apply_update(now, version, is_complete, entries)
        if is_applied:
            self.policy.endpoints_updated(now)
        return is_applied

    def _apply_update(
        self, now: float, version: int, is_complete: bool, entries: Iterable[EndpointFields]
    ) -> bool:
        if version < self.version and not is_complete:
            return False
        previous_entries = self.entries
        if is_complete:
            self.entries = {}
        self.left_out_count = 0
        listed_names = set()
        for fields in entries:
            name = fields[0]
            listed_names.add(name)
            if not self._may_keep(fields):
                self.entries.pop(name, None)
                continue
            entry = previous_entries.get(name)
            if entry == fields:  # of thousands of entries only a few change
                self.entries[name] = entry
                continue
            entry = EndpointEntry._make(fields)
            self.entries[name] = entry
            self._apply_entry(now, entry)
        if is_complete:
            self._remove_unlisted(now, listed_names)
        self.version = version
        if self.left_out_count:
            self.policy.host.log_line(
                f"{self.left_out_count} executors of the list are left out: {MAX_EXECUTORS} are known already"
            )
        return True

    def _may_keep(self, fields: EndpointFields) -> bool:
        """Return whether an entry concerns a known executor, or one that can be added."""
        if fields[0] in self.executors:
            return True
        if EndpointEntry._make(fields).state is EndpointState.REMOVED:
            return False
        if len(self.executors) >= MAX_EXECUTORS and not self.left_out_count:
            self._forget_removed()
        if len(self.executors) >= MAX_EXECUTORS:
            self.left_out_count += 1
            return False
        return True

    def _forget_removed(self) -> None:
        """Forget executors that have left the list, unless this node still uses them."""
        forgotten = {
            name: executor
            for name, executor in self.executors.items()
            if executor.state is EndpointState.REMOVED
            and not (executor.in_flight_slots or executor.idle_connections)
            and name not in self.maintenance.detached
        }
        for name, executor in forgotten.items():
            del self.executors[name]
            self.entries.pop(name, None)
            self.index.remove(name.encode(), executor)
            self.maintenance.forget(name)
        self.policy.forget_executors(list(forgotten.values()))

    def apply_maintenance(self, now: float, executor: Executor) -> bool:
        """Reapply the last listed state of a detached or attached executor; return whether there is one."""
        name = executor.handle.name
        listed = self.maintenance.last_listed.get(name)
        if listed is None:
            return False
        self._update_policy(now, executor, *listed)
        self.policy.endpoints_updated(now)
        return True

    def zone(self, name: str) -> Zone:
        """Return the zone of that name; the unknown one if the settings do not name it."""
        return self.policy.zone(self.zones.get(name, UNKNOWN_NUMBER))

    def zone_name(self, zone: Zone) -> str:
        """Return the name of a zone; empty for the unknown one."""
        return next((name for name, number in self.zones.items() if number == zone.number), "")

    def _apply_entry(self, now: float, entry: EndpointEntry) -> None:
        executor = self.executors.get(entry.name)
        if executor is None:
            if entry.state is EndpointState.REMOVED:
                return
            executor = self._add_executor(entry)
        else:
            self.policy.executor_listed(executor, *self._attributes(entry))
        if entry.state is EndpointState.REMOVED or entry.address != executor.handle.address:
            self.close_idle_connections(executor)
        executor.handle.address = entry.address
        self._update_policy(now, executor, entry.state, entry.started_at)

    def _add_executor(self, entry: EndpointEntry) -> Executor:
        encoded_name = entry.name.encode()
        executor = self.policy.new_executor(
            Endpoint(entry.name, entry.address), *self._attributes(entry), crc32(encoded_name)
        )
        self.executors[entry.name] = executor
        self.index.add(encoded_name, executor)
        return executor

    def _attributes(self, entry: EndpointEntry) -> tuple[int, int, int, float]:
        """Return the numbers of the machine type, zone and cell, and the size."""
        return (
            self.machine_types.get(entry.machine_type, UNKNOWN_NUMBER),
            self.zones.get(entry.zone, UNKNOWN_NUMBER),
            entry.cell,
            entry.weight,
        )

    def _update_policy(self, now: float, executor: Executor, state: EndpointState, started_at: float) -> None:
        observed = self.maintenance.observe(executor.handle.name, state, started_at)
        self.policy.endpoint_changed(now, executor, *observed)

    def _remove_unlisted(self, now: float, listed_names: set[str]) -> None:
        for name, executor in self.executors.items():
            if name not in listed_names and executor.state is not EndpointState.REMOVED:
                self._update_policy(now, executor, EndpointState.REMOVED, executor.started_at)
                self.close_idle_connections(executor)
