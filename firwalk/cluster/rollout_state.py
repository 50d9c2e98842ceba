"""The state of a rollout: its section of the plan, the nodes' reports, and the nodes on the new version."""

from __future__ import annotations

from collections.abc import Callable

from firwalk.cluster.canary_analysis import HarmThresholds, NodeHistories
from firwalk.cluster.messages import RolloutMetrics
from firwalk.cluster.node_id_ranges import decode_ranges, encode_ranges
from firwalk.cluster.rollout_comparison import LeakDetector, RolloutComparison
from firwalk.cluster.rollout_nodes import ReportingNodes
from firwalk.cluster.rollout_policy import FileLookup, RolloutFile, RolloutPolicy
from firwalk.cluster.rollout_section import BACK, GOING, HELD, RolloutSection, decode_zones
from firwalk.cluster.rollout_stages import StageSpec, choose_batch, stage_nodes

MAX_REPORT_AGE = 4.0  # A report is valid for so many report intervals, at least for `MIN_REPORT_AGE_S`.
MIN_REPORT_AGE_S = 1.0
IDLE_AGE_FACTOR = 8.0  # Without a rollout, reports are rarer and valid for so many times as long.
CHANGEOVER_TIMEOUT_S = 20.0  # The stage is held for a node that takes longer to change its version.
MAX_SETTLE_S = 1.0  # Nodes that are not acceptors of the lease wait at most this long to settle.
MAX_DOWN_RATIO = 0.5  # With more of a zone's nodes down, no node changes its version.


def ignore_event(what: str, **about: object) -> None:
    """Discard an event."""


class RolloutState:
    """The state of a rollout at its coordinator.

    `section`: the plan's section, {} before the first rollout; it is replaced and never modified, since the
    plan refers to it. `find_file`: finds a rollout file.
    """

    def __init__(
        self,
        policy: RolloutPolicy,
        voters: list[int],
        cluster_size: int,
        find_file: FileLookup,
        event: Callable[..., None] = ignore_event,
    ) -> None:
        self.policy = policy
        self.voters = voters
        self.cluster_size = cluster_size
        self.find_file = find_file
        self.event = event
        self.section: RolloutSection = {}
        self.nodes = ReportingNodes()
        self.stages: list[list[int]] = []
        self.assigned_at: dict[int, float] = {}  # by node: when the plan last changed its version
        self.change: RolloutFile | None = None
        self.histories = NodeHistories()
        self.comparison = RolloutComparison(HarmThresholds(), 1)
        self.leaks = LeakDetector()
        self.stage_complete_at: float | None = None  # when all nodes of the stage were on the new version
        self.passed_stage = -1  # the stage that an operator let pass without a verdict

    def on_metrics(self, now: float, node_id: int, generation: int, metrics: RolloutMetrics) -> None:
        """Store a node's report."""
        self.nodes.receive(now, node_id, generation, metrics)

    # -- the nodes -----------------------------------------------------------------------------------------

    def _is_active(self) -> bool:
        return self.section.get("state") in (GOING, HELD, BACK)

    def _new_nodes(self) -> list[int]:
        """Return the nodes that have to run the new version by the plan."""
        return decode_ranges(self.section["new"])

    def _zones(self) -> dict[int, int]:
        letters = self.section["zones"] if self._is_active() else self.nodes.zone_letters(self.cluster_size)
        return decode_zones(letters)

    def _is_fresh(self, now: float, node_id: int) -> bool:
        max_age_s = max(MAX_REPORT_AGE * self.policy.report, MIN_REPORT_AGE_S)
        return self.nodes.is_fresh(now, node_id, max_age_s * (1.0 if self._is_active() else IDLE_AGE_FACTOR))

    def _runs_old(self, now: float, node_id: int) -> bool:
        section = self.section
        return self._is_fresh(now, node_id) and self.nodes.runs(node_id, section["kind"], section["before"])

    def _is_settled(self, now: float, node_id: int) -> bool:
        """Return whether the node has reported from the new version for long enough.

        A restarted acceptor of the lease is silent for some time.
        """
        wait_s = self.policy.settle if node_id in self.voters else min(self.policy.settle, MAX_SETTLE_S)
        section = self.section
        if not self._is_fresh(now, node_id) or not self.nodes.runs(node_id, section["kind"], section["what"]):
            return False
        return now >= self.nodes.metrics[node_id].since + wait_s

    def _find_down_zone(self, up: list[int]) -> str:
        zone_of = self._zones()
        for zone in sorted(set(zone_of.values())):
            nodes = [node_id for node_id in zone_of if zone_of[node_id] == zone]
            down = [node_id for node_id in nodes if node_id not in up]
            if len(down) > MAX_DOWN_RATIO * len(nodes):
                name = self.policy.names[zone] if zone < len(self.policy.names) else str(zone)
                return f"most nodes of zone {name} are down"
        return ""

    def _find_late_nodes(self, now: float, new: list[int]) -> str:
        late = [
            node_id
            for node_id in new
            if now >= self.assigned_at.get(node_id, now) + CHANGEOVER_TIMEOUT_S
            and not self._is_settled(now, node_id)
        ]
        return f"seats {encode_ranges(late)} do not go over" if late else ""

    # -- stages and transitions ----------------------------------------------------------------------------

    def _stages_of(self, rollout_file: RolloutFile) -> list[list[int]]:
        specs: list[StageSpec] = rollout_file.stages
        return stage_nodes(specs, self._zones(), self.voters, self.policy.names)

    def _stage(self) -> list[int]:
        """Return the nodes of the current stage."""
        return self.stages[min(self.section["stage"], len(self.stages) - 1)]

    def _previous_stage(self) -> list[int]:
        """Return the nodes of the previous stage, none at the first one."""
        return self.stages[self.section["stage"] - 1] if self.section["stage"] else []

    def _batch(self, remaining: list[int], up: list[int], max_ratio: float) -> list[int]:
        return choose_batch(remaining, up, max_ratio, self._zones(), self.voters)

    def _assign_versions(self, now: float, node_ids: list[int]) -> None:
        """Set the nodes that have to run the new version; all others have to run the old one."""
        before = self._new_nodes()
        added = [node_id for node_id in node_ids if node_id not in before]
        removed = [node_id for node_id in before if node_id not in node_ids]
        if added or removed:
            self.assigned_at |= dict.fromkeys(added + removed, now)
            self.section = {**self.section, "new": encode_ranges(node_ids)}
            self._record_state()

    def _set_state(self, state: str, why: str = "", by: str = "") -> None:
        if (state, why) != (self.section["state"], self.section["why"]) or state == GOING:
            self.section = {**self.section, "state": state, "why": why, "by": by}
            self._record_state()

    def _record_state(self) -> None:
        section = self.section
        self.event(
            "stage",
            number=section["number"],
            name=section["name"],
            state=section["state"],
            stage=section["stage"],
            of=section["of"],
            new=section["new"],
            brings=section["what"],
            before=section["before"],
            kind=section["kind"],
            why=section["why"],
            most=self._max_new_nodes(),
        )

    def _max_new_nodes(self) -> int:
        """Return how many nodes may be on the new version in this state."""
        if not self.stages or self.section["state"] not in (GOING, HELD):
            return len(self._new_nodes())
        return len(self._stage())
