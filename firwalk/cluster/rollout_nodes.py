"""What the nodes last reported for a rollout: the version that they run, and their counters."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple
from zlib import crc32

from firwalk.cluster.canary_analysis import Row
from firwalk.cluster.messages import RolloutMetrics
from firwalk.cluster.rollout_section import CONTRACTS, RELEASE, encode_zones

PAST_SPAN_S = 300.0  # a node's own past goes back so long at least, and twice as long at most
MILLI = 1e3

Counters = dict[int, Row]  # by the checksum of the request class's name


class Snapshot(NamedTuple):
    """A node's counters at some time."""

    at: float
    counters: Counters


class RunningVersion(NamedTuple):
    """Checksums of the release and the settings' tag, and the version of the contracts."""

    release: int
    tag: int
    contracts: int

    def is_version(self, kind: str, name: str) -> bool:
        """Whether the node runs the version that a rollout of this kind calls so."""
        if kind == CONTRACTS:
            return str(self.contracts) == name
        return (self.release if kind == RELEASE else self.tag) == crc32(name.encode())


@dataclass(slots=True)
class NodeMetrics:
    """The last report of one incarnation of a node on one version. `memory` in tenths of a megabyte."""

    received_at: float
    generation: int
    version: RunningVersion
    zone: int
    memory: int
    since: float  # of the first report
    counters: Counters = field(default_factory=dict)
    compared: Counters = field(default_factory=dict)  # the part of the counters that was compared already
    snapshots: list[Snapshot] = field(default_factory=list)

    def take_snapshot(self, now: float) -> None:
        """Once in a while. Of the last two the first is where the node's past begins."""
        if not self.snapshots or now >= self.snapshots[-1].at + PAST_SPAN_S:
            self.snapshots = [*self.snapshots, Snapshot(now, dict(self.counters))][-2:]

    def past(self) -> list[Row]:
        """What it counted lately; longer ago its executors may have been others."""
        start = self.snapshots[0].counters if self.snapshots else self.counters
        rows = [row.minus(start.get(checksum, Row(checksum))) for checksum, row in self.counters.items()]
        return [row for row in rows if row is not None]

    def mark_compared(self) -> None:
        """Only what is counted from now on is compared."""
        self.compared = dict(self.counters)


class ReportingNodes:
    """The reports of all nodes."""

    def __init__(self) -> None:
        self.metrics: dict[int, NodeMetrics] = {}

    def receive(self, now: float, node_id: int, generation: int, got: RolloutMetrics) -> None:
        """A report came; one of another incarnation or version begins anew."""
        version = RunningVersion(got.release, got.tag, got.contracts)
        node = self.metrics.get(node_id)
        if node is None or (node.generation, node.version) != (generation, version):
            node = self.metrics[node_id] = NodeMetrics(now, generation, version, got.zone, got.memory, now)
        node.received_at = now
        node.zone = got.zone
        node.memory = got.memory
        for checksum, *counts, times, squares in got.rows:
            row = Row(checksum, *counts)
            row.log_times = times / MILLI
            row.log_time_squares = squares / MILLI
            node.counters[checksum] = row
        node.take_snapshot(now)

    def is_fresh(self, now: float, node_id: int, max_age_s: float) -> bool:
        """Whether the node's last report still counts."""
        node = self.metrics.get(node_id)
        return node is not None and now - node.received_at <= max_age_s

    def runs(self, node_id: int, kind: str, name: str) -> bool:
        """Whether the node reported that it runs this version."""
        node = self.metrics.get(node_id)
        return node is not None and node.version.is_version(kind, name)

    def zone_letters(self, cluster_size: int) -> str:
        """The zone of each node, for the plan, so that each coordinator of a rollout has the same stages. A
        node that never reported counts to the first zone."""
        return encode_zones(
            [self.metrics[node_id].zone if node_id in self.metrics else 0 for node_id in range(cluster_size)]
        )

    def mark_all_compared(self) -> None:
        """Comparisons begin anew."""
        for node in self.metrics.values():
            node.mark_compared()
