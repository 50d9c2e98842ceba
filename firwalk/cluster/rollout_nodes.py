"""The nodes' last reports for a rollout: the versions that they run, and their counters."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple
from zlib import crc32

from firwalk.cluster.canary_analysis import RequestCounts
from firwalk.cluster.messages import RolloutMetrics
from firwalk.cluster.rollout_section import CONTRACTS, RELEASE, encode_zones

HISTORY_SPAN_S = 300.0  # A node's history spans between one and two times this duration.
MILLI = 1e3

Counters = dict[int, RequestCounts]  # by the checksum of the request class's name


class Snapshot(NamedTuple):
    """A node's counters at the time `at`."""

    at: float
    counters: Counters


class RunningVersion(NamedTuple):
    """The checksums of the release and of the settings' tag, and the version of the contracts."""

    release: int
    tag: int
    contracts: int

    def is_version(self, kind: str, name: str) -> bool:
        """Return whether this is the version with this name in a rollout of this kind."""
        if kind == CONTRACTS:
            return str(self.contracts) == name
        return (self.release if kind == RELEASE else self.tag) == crc32(name.encode())


@dataclass(slots=True)
class NodeMetrics:
    """The last report of one incarnation of a node on one version. `memory`: in tenths of a megabyte."""

    received_at: float
    generation: int
    version: RunningVersion
    zone: int
    memory: int
    since: float  # of the first report
    counters: Counters = field(default_factory=dict)
    compared: Counters = field(default_factory=dict)  # the counters up to the last comparison
    snapshots: list[Snapshot] = field(default_factory=list)

    def take_snapshot(self, now: float) -> None:
        """Take a snapshot every `HISTORY_SPAN_S`; the older one of the last two begins the node's history."""
        if not self.snapshots or now >= self.snapshots[-1].at + HISTORY_SPAN_S:
            self.snapshots = [*self.snapshots, Snapshot(now, dict(self.counters))][-2:]

    def recent_counts(self) -> list[RequestCounts]:
        """Return what the node counted recently; its executors may have been different before."""
        start = self.snapshots[0].counters if self.snapshots else self.counters
        rows = [
            row.minus(start.get(checksum, RequestCounts(checksum))) for checksum, row in self.counters.items()
        ]
        return [row for row in rows if row is not None]

    def mark_compared(self) -> None:
        """Exclude all counts until now from the comparison."""
        self.compared = dict(self.counters)


class ReportingNodes:
    """The reports of all nodes."""

    def __init__(self) -> None:
        self.metrics: dict[int, NodeMetrics] = {}

    def receive(self, now: float, node_id: int, generation: int, report: RolloutMetrics) -> None:
        """Store a report; one of another incarnation or version resets the node's record."""
        version = RunningVersion(report.release, report.tag, report.contracts)
        node = self.metrics.get(node_id)
        if node is None or (node.generation, node.version) != (generation, version):
            node = self.metrics[node_id] = NodeMetrics(
                now, generation, version, report.zone, report.memory, now
            )
        node.received_at = now
        node.zone = report.zone
        node.memory = report.memory
        for checksum, *counts, times, squares in report.rows:
            row = RequestCounts(checksum, *counts)
            row.log_times = times / MILLI
            row.log_time_squares = squares / MILLI
            node.counters[checksum] = row
        node.take_snapshot(now)

    def is_fresh(self, now: float, node_id: int, max_age_s: float) -> bool:
        """Return whether the node's last report is recent enough."""
        node = self.metrics.get(node_id)
        return node is not None and now - node.received_at <= max_age_s

    def runs(self, node_id: int, kind: str, name: str) -> bool:
        """Return whether the node reported that it runs this version."""
        node = self.metrics.get(node_id)
        return node is not None and node.version.is_version(kind, name)

    def zone_letters(self, cluster_size: int) -> str:
        """Return the nodes' zones for the plan, so that all coordinators of a rollout have the same stages.

        A node that never reported is assigned to the first zone.
        """
        return encode_zones(
            [self.metrics[node_id].zone if node_id in self.metrics else 0 for node_id in range(cluster_size)]
        )

    def mark_all_compared(self) -> None:
        """Exclude all nodes' counts until now from the comparison."""
        for node in self.metrics.values():
            node.mark_compared()
