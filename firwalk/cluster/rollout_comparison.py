"""Compares nodes on the new version with those on the old one, for one stage and for all new nodes."""

from __future__ import annotations

from dataclasses import dataclass, field
from statistics import median
from typing import NamedTuple

from firwalk.cluster.canary_analysis import CanaryAnalysis, HarmThresholds, Pasts, Row, Verdict
from firwalk.cluster.rollout_nodes import NodeMetrics

LEAK_ROUNDS = 12  # in a row in which a new node's memory is too large
MIN_LEAK = 80  # tenths of a megabyte that it must be more


class ComparedNode(NamedTuple):
    """A node that is counted on one side of its zone."""

    node_id: int
    is_new: bool


class RolloutComparison:
    """`stage`: of the nodes that joined at this stage, since those before would hide a fault of some nodes
    alone; `overall`: of all new nodes, for late faults. The two share the chance of a false stop: `tests` is
    the number of comparisons of the rollout."""

    def __init__(self, thresholds: HarmThresholds, tests: int, past: Pasts | None = None) -> None:
        self.stage = CanaryAnalysis(thresholds, tests, past)
        self.overall = CanaryAnalysis(thresholds, tests, past)

    def add(self, node: NodeMetrics, compared: ComparedNode, has_both: bool, joined_before: bool) -> None:
        """Adds what the node counted since the last round. `has_both`: both versions are at work in its zone;
        `joined_before`: the node went over in an earlier stage."""
        for checksum, row in node.counters.items():
            added = row.minus(node.compared.get(checksum, Row(checksum)))
            if added is not None and has_both:
                self.overall.add(node.zone, compared.node_id, compared.is_new, added)
                if not compared.is_new or not joined_before:
                    self.stage.add(node.zone, compared.node_id, compared.is_new, added)
            node.compared[checksum] = row

    def find_harm(self) -> str:
        """The figure that is worse with the new version; empty: none is known to be."""
        for analysis in (self.stage, self.overall):
            verdict, key = analysis.judged()
            if verdict is Verdict.WORSE and key is not None:
                new, old, count, _ = analysis.shown(key)
                return f"{key[0]} {new:.3f} against {old:.3f} with the old version, of {count:.0f}"
        return ""


@dataclass(slots=True)
class LeakDetector:
    """Finds single new nodes that use more memory than any old one for some rounds; the median of all new
    ones would hide those that joined last."""

    rounds: dict[int, int] = field(default_factory=dict)  # by node, in a row

    def find_leak(self, new: dict[int, int], old: list[int], max_ratio: float) -> str:
        """`new`: memory by node; `old`: of all nodes on the old version; empty: there is no leak."""
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
