"""Compares nodes on the new version with those on the old one, for one stage and for all new nodes."""

from __future__ import annotations

from dataclasses import dataclass, field
from statistics import median
from typing import NamedTuple

from firwalk.cluster.canary_analysis import (
    CanaryAnalysis,
    HarmThresholds,
    NodeHistories,
    RequestCounts,
    Verdict,
)
from firwalk.cluster.rollout_nodes import NodeMetrics

LEAK_ROUNDS = 12  # A leak is reported after so many consecutive rounds with too much memory.
MIN_LEAK = 80  # Smaller differences in memory, in tenths of a megabyte, are no leak.


class ComparedNode(NamedTuple):
    """A node that takes part in the comparison, and whether it is on the new version."""

    node_id: int
    is_new: bool


class RolloutComparison:
    """The comparison of the versions at one stage.

    `stage` analyses the nodes that joined at this stage, since nodes from earlier stages would mask a fault
    that only some nodes have; `overall` analyses all new nodes, for faults that show late. The probability of
    a false stop is divided among the `tests` analyses of the rollout.
    """

    def __init__(
        self, thresholds: HarmThresholds, tests: int, histories: NodeHistories | None = None
    ) -> None:
        self.stage = CanaryAnalysis(thresholds, tests, histories)
        self.overall = CanaryAnalysis(thresholds, tests, histories)

    def add(self, node: NodeMetrics, compared: ComparedNode, has_both: bool, joined_before: bool) -> None:
        """Add what the node counted since the last round.

        `has_both`: both versions are at work in its zone; `joined_before`: the node changed its version at an
        earlier stage.
        """
        for checksum, row in node.counters.items():
            added = row.minus(node.compared.get(checksum, RequestCounts(checksum)))
            if added is not None and has_both:
                self.overall.add(node.zone, compared.node_id, compared.is_new, added)
                if not compared.is_new or not joined_before:
                    self.stage.add(node.zone, compared.node_id, compared.is_new, added)
            node.compared[checksum] = row

    def find_harm(self) -> str:
        """Return a description of the figure that is worse on the new version, empty if there is none."""
        for analysis in (self.stage, self.overall):
            verdict, key = analysis.judged()
            if verdict is Verdict.WORSE and key is not None:
                new, old, count, _ = analysis.summary(key)
                return f"{key[0]} {new:.3f} against {old:.3f} with the old version, of {count:.0f}"
        return ""


@dataclass(slots=True)
class LeakDetector:
    """Finds single new nodes that use more memory than any old one for several rounds.

    The median over all new nodes would hide those that joined last.
    """

    rounds: dict[int, int] = field(default_factory=dict)  # consecutive, by node

    def find_leak(self, new: dict[int, int], old: list[int], max_ratio: float) -> str:
        """Return a description of a leak, empty if there is none.

        `new`: memory by node on the new version; `old`: memory of all nodes on the old version.
        """
        if not old:
            return ""
        usual = median(old)
        limit = max(usual * max_ratio, usual + MIN_LEAK, max(old))
        self.rounds = {
            node_id: self.rounds.get(node_id, 0) + 1 for node_id, memory in new.items() if memory > limit
        }
        for node_id, rounds in self.rounds.items():
            if rounds >= LEAK_ROUNDS:
                return (
                    f"memory {new[node_id] / 10:.0f} MB of seat {node_id} against "
                    f"{usual / 10:.0f} with the old version"
                )
        return ""
