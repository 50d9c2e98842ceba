"""The coordinator's side of a rollout: moves the cluster to a new version by stages.

A rollout is rolled back when canaries do worse than the baseline. Design, states and alternatives:
`docs/stages.md`. No I/O: each event is a method whose first argument is the time. Times are seconds on the
coordinator's own clock; the plan's section contains none.
"""

from __future__ import annotations

from typing import Any

from firwalk.cluster import rollout_report
from firwalk.cluster.canary_analysis import NodeHistories, Verdict
from firwalk.cluster.node_id_ranges import encode_ranges
from firwalk.cluster.rollout_comparison import ComparedNode, LeakDetector, RolloutComparison
from firwalk.cluster.rollout_nodes import NodeMetrics
from firwalk.cluster.rollout_policy import Limits, RolloutFile, RolloutPolicy
from firwalk.cluster.rollout_section import (
    BACK,
    BY_LITTLE_TRAFFIC,
    BY_OBSTACLE,
    BY_OPERATOR,
    CONTRACTS,
    DONE,
    GOING,
    HELD,
    STOPPED,
    RolloutSection,
    is_valid,
)
from firwalk.cluster.rollout_stages import UnknownStageTarget
from firwalk.cluster.rollout_state import RolloutState

__all__ = ["BACK", "CONTRACTS", "DONE", "GOING", "HELD", "STOPPED", "Rollout", "RolloutPolicy"]

ROLLBACK_TIMEOUT_S = 10.0  # A rollback waits this long for a node before it orders the next batch.
MAX_REASON_LENGTH = 90


class Rollout(RolloutState):
    """The state machine of a rollout. Commands return the reason for a refusal, or an empty string."""

    # -- commands of operators and agents ------------------------------------------------------------------

    def start(self, now: float, name: str, checksum: int, up: list[int]) -> str:
        """Start a rollout by its file; return the reason for a refusal."""
        if self._is_active():
            return f"change {self.section['name']} is {self.section['state']}; it has to end first"
        if self.section.get("state") == STOPPED and self._is_named(name, checksum):
            return f"{name} was stopped: {self.section['why']}; resume it, or change the file"
        rollout_file, own_checksum, faults = self.find_file(name)
        if rollout_file is None or own_checksum != checksum:
            return faults[0] if faults else "the coordinator has another file of that name"
        reason = self._find_conflict(now, rollout_file, up)
        if not reason:
            self._begin(rollout_file, name, checksum)
        return reason

    def hold(self, now: float) -> str:
        """Hold the rollout; return the reason for a refusal."""
        if self.section.get("state") not in (GOING, HELD):
            return "no change is going"
        self._set_state(HELD, "an operator holds it", BY_OPERATOR)
        return ""

    def resume(self, now: float) -> str:
        """Resume a held rollout, or restart a stopped one at stage 0; return the reason for a refusal.

        A rollout that is held for too little traffic passes its stage without a verdict.
        """
        state = self.section.get("state")
        if state == HELD:
            if self.section["by"] == BY_LITTLE_TRAFFIC:
                self.passed_stage = self.section["stage"]
            self._set_state(GOING)
            return ""
        if state != STOPPED:
            return "no change is held or stopped"
        rollout_file, own_checksum, faults = self.find_file(self.section["name"])
        if rollout_file is None or own_checksum != self.section["check"]:
            return faults[0] if faults else "the file was changed: start it"
        self._begin(rollout_file, self.section["name"], own_checksum)
        return ""

    def roll_back(self, now: float, why: str = "an operator wants it back") -> str:
        """Roll all nodes back to the old version; return the reason for a refusal.

        The rollout then stays stopped.
        """
        if self.section.get("state") not in (GOING, HELD, DONE):
            return "no change is going, held or done"
        self._record_figures()
        self.assigned_at = {}
        self._set_state(BACK, why)
        return ""

    def on_start_failed(self, now: float, node_id: int, number: int, why: str) -> str:
        """Roll back because an agent failed to start the new version and has restored the old one."""
        if number == self.section.get("number") and self.section["state"] in (GOING, HELD):
            self.roll_back(now, f"seat {node_id}: {why}"[:MAX_REASON_LENGTH])
        return ""

    def dry_run(self, now: float, name: str, checksum: int, up: list[int], page: int) -> tuple[bool, str]:
        """Return what a start would do, one stage per page, without doing it."""
        rollout_file, own_checksum, faults = self.find_file(name)
        if rollout_file is None or own_checksum != checksum:
            return False, faults[0] if faults else "the coordinator has another file of that name"
        reason = self._find_conflict(now, rollout_file, up)
        if reason:
            return False, reason
        return True, rollout_report.stage_page(self._stages_of(rollout_file), up, self._zones(), page)

    def page(self, number: int) -> str:
        """Return the comparison for an operator, one figure per page.

        A page has the figure's name, its request class, both means, the number of requests behind each, and
        the verdict.
        """
        return rollout_report.figure_page(self.comparison.stage, number)

    # -- start and resumption ------------------------------------------------------------------------------

    def _is_named(self, name: str, checksum: int) -> bool:
        return (name, checksum) == (self.section["name"], self.section["check"])

    def _find_conflict(self, now: float, rollout_file: RolloutFile, up: list[int]) -> str:
        """Return why the rollout cannot start now, empty if it can."""
        if len(up) < 2:
            return "only one node is up: with its process the change itself would be forgotten"
        silent = [node_id for node_id in up if not self._is_fresh(now, node_id)]
        if silent:
            return f"seats {encode_ranges(silent)} tell nothing yet of what they run; ask again"
        other = [
            node_id
            for node_id in up
            if not self.nodes.runs(node_id, rollout_file.kind(), rollout_file.before)
        ]
        if other:
            return f"seats {encode_ranges(other)} do not run {rollout_file.before}"
        try:
            self._stages_of(rollout_file)
        except UnknownStageTarget as problem:
            return f"stages: {problem}"
        return ""

    def _begin(self, rollout_file: RolloutFile, name: str, checksum: int) -> None:
        self.section = {
            "number": self.section.get("number", 0) + 1,
            "name": name,
            "check": checksum,
            "kind": rollout_file.kind(),
            "what": rollout_file.what(),
            "before": rollout_file.before,
            "state": GOING,
            "stage": 0,
            "of": 0,
            "new": "",
            "why": "",
            "by": "",
            "zones": self.nodes.zone_letters(self.cluster_size),
            "report": [],
        }
        self.assigned_at = {}
        self.passed_stage = -1
        self._use_file(rollout_file)
        self._record_state()

    def _use_file(self, rollout_file: RolloutFile) -> None:
        """Set the stages by the rollout's file and begin to compare."""
        self.change = rollout_file
        self.stages = self._stages_of(rollout_file)
        self.section = {**self.section, "of": len(self.stages)}
        self.histories = NodeHistories()
        if not self._new_nodes():  # A new coordinator lacks the history of nodes on the new version.
            for node_id, node in self.nodes.metrics.items():
                for row in node.recent_counts():
                    self.histories.add(node.zone, node_id, row)
        self._restart_comparison()

    def restore(self, now: float, section: Any) -> None:
        """Resume from the plan at a new coordinator.

        The comparison starts anew. Reports received since the term began are kept, since nodes report rarely
        while no rollout is in progress.
        """
        self.change = None
        self.section = {}
        if is_valid(section, self.cluster_size):
            self.section = dict(section)
            self.assigned_at = dict.fromkeys(self._new_nodes(), now)
            self.stage_complete_at = None
            self.passed_stage = -1

    # -- an evaluation round -------------------------------------------------------------------------------

    def evaluate(self, now: float, up: list[int], blocker: str) -> RolloutSection:
        """Run one evaluation round per report interval; return the plan's section.

        `blocker`: why no node may change its version now, empty if it may.
        """
        if self._is_active() and self.change is None:
            self._recover_file(now, up)
        state = self.section.get("state")
        if state in (GOING, HELD) and self.change is not None:
            self._advance(now, up, blocker)
        elif state == BACK:
            self._advance_rollback(now, up)
        return self.section

    def _recover_file(self, now: float, up: list[int]) -> None:
        """Load the rollout's file at a new coordinator, once all nodes that are up have reported."""
        rollout_file, own_checksum, _ = self.find_file(self.section["name"])
        if rollout_file is None or own_checksum != self.section["check"]:
            if self.section["state"] == GOING:
                self._set_state(HELD, "the coordinator does not have the change's file", BY_OBSTACLE)
        elif all(self._is_fresh(now, node_id) for node_id in up):
            self._use_file(rollout_file)

    def _advance(self, now: float, up: list[int], blocker: str) -> None:
        assigned = self._new_nodes()
        new = [node_id for node_id in assigned if node_id in up]
        obstacle = blocker or self._find_down_zone(up) or self._find_late_nodes(now, new)
        if not obstacle:
            self._compare(now, up)
            harm = self._find_harm(now, new)
            if harm:
                self.roll_back(now, harm)
                return
        self._hold_for(obstacle)
        if self.section["state"] == HELD and self.section["by"] != BY_LITTLE_TRAFFIC:
            return
        if not all(self._is_settled(now, node_id) for node_id in new):
            return
        remaining = [node_id for node_id in self._stage() if node_id in up and node_id not in assigned]
        batch = self._batch(remaining, up, self.policy.at_once)
        if batch and self.section["state"] == GOING:
            self._assign_versions(now, assigned + batch)
        elif not remaining:
            self._evaluate_stage(now)

    def _evaluate_stage(self, now: float) -> None:
        """Decide whether the rollout may go on, now that all nodes of the stage are on the new version."""
        if self.stage_complete_at is None:
            self.stage_complete_at = now
        limits = self._limits()
        if now < self.stage_complete_at + limits.seconds:
            return
        verdict, key = self.comparison.stage.judged()
        stage = self.section["stage"]
        is_last = stage >= len(self.stages) - 1
        if is_last or verdict is Verdict.FINE or self.passed_stage == stage:
            self._finish_stage(now, is_last)
        elif now >= self.stage_complete_at + limits.most and self.section["state"] == GOING:
            what = f"{key[0]} cannot be told" if key else "there is nothing to compare"
            self._set_state(HELD, f"too little traffic: {what}", BY_LITTLE_TRAFFIC)

    def _finish_stage(self, now: float, is_last: bool) -> None:
        self._record_figures()
        stage = self.section["stage"]
        # Nodes that are down are included: they start with the new version.
        self._assign_versions(now, list(dict.fromkeys(self._new_nodes() + self.stages[stage])))
        self.section = {**self.section, "stage": stage + (not is_last)}
        self._set_state(DONE if is_last else GOING)
        self._restart_comparison()

    def _advance_rollback(self, now: float, up: list[int]) -> None:
        """Roll back one zone at a time; a second acceptor of the lease in a zone waits for the next batch.

        A node that does not report delays the others for at most `ROLLBACK_TIMEOUT_S`.
        """
        new = self._new_nodes()
        pending = [node_id for node_id in up if not self._runs_old(now, node_id) and node_id not in new]
        if any(now < self.assigned_at.get(node_id, now) + ROLLBACK_TIMEOUT_S for node_id in pending):
            for node_id in pending:
                self.assigned_at.setdefault(node_id, now)
            return
        batch = self._batch([node_id for node_id in new if node_id in up], up, 1.0)
        if batch:
            self._assign_versions(now, [node_id for node_id in new if node_id not in batch])
            return
        self._assign_versions(now, [])
        if all(now >= self.assigned_at.get(node_id, now) + ROLLBACK_TIMEOUT_S for node_id in pending):
            self._set_state(STOPPED, self.section["why"])

    def _hold_for(self, obstacle: str) -> None:
        """Hold the rollout for an obstacle, or resume it once there is none."""
        state = self.section["state"]
        holder = self.section["by"]
        if not obstacle:
            if state == HELD and holder == BY_OBSTACLE:
                self._restart_comparison()  # Counts from the time of the obstacle are not comparable.
                self._set_state(GOING)
            return
        is_other_reason = holder in (BY_OBSTACLE, BY_LITTLE_TRAFFIC) and obstacle != self.section["why"]
        if state == GOING or is_other_reason:
            self._set_state(HELD, obstacle, BY_OBSTACLE)

    # -- the comparison ------------------------------------------------------------------------------------

    def _limits(self) -> Limits:
        assert self.change is not None
        limits: Limits = self.change.compare
        return limits

    def _restart_comparison(self) -> None:
        self.stage_complete_at = None
        self.leaks = LeakDetector()
        # The two comparisons of each stage share the probability of a false stop.
        self.comparison = RolloutComparison(self._limits().worse(), 2 * len(self.stages), self.histories)
        self.nodes.mark_all_compared()

    def _compare(self, now: float, up: list[int]) -> None:
        """Add the counts since the last round, of the zones in which both versions are at work."""
        new = self._new_nodes()
        for nodes in self._compared_nodes(now, up, new).values():
            has_both = len({node.is_new for node in nodes}) == 2
            for node in nodes:
                joined_before = node.is_new and node.node_id in self._previous_stage()
                self.comparison.add(self.nodes.metrics[node.node_id], node, has_both, joined_before)
        for node_id, metrics in self.nodes.metrics.items():
            if node_id in new and not self._is_settled(now, node_id):
                metrics.mark_compared()

    def _compared_nodes(self, now: float, up: list[int], new: list[int]) -> dict[int, list[ComparedNode]]:
        """Return by zone the nodes that are settled on either version."""
        compared: dict[int, list[ComparedNode]] = {}
        for node_id in up:
            is_new = node_id in new
            is_settled = self._is_settled(now, node_id) if is_new else self._runs_old(now, node_id)
            if is_settled and self._is_fresh(now, node_id):
                compared.setdefault(self._metrics(node_id).zone, []).append(ComparedNode(node_id, is_new))
        return compared

    def _metrics(self, node_id: int) -> NodeMetrics:
        return self.nodes.metrics[node_id]

    def _find_harm(self, now: float, new: list[int]) -> str:
        """Return why the rollout has to be rolled back, empty if nothing is known to be worse."""
        harm = self.comparison.find_harm()
        if harm:
            return harm
        memory = {node_id: self._metrics(node_id).memory for node_id in new if self._is_settled(now, node_id)}
        metrics = self.nodes.metrics.items()
        old_memory = [node.memory for node_id, node in metrics if self._runs_old(now, node_id)]
        return self.leaks.find_leak(memory, old_memory, self._limits().memory)

    def _record_figures(self) -> None:
        """Record the figures of a stage at its end.

        All go into the log, the worst ones into the plan, where they outlive this coordinator.
        """
        stage = self.section["stage"]
        figures = list(rollout_report.figures(self.comparison.stage))
        for figure in figures:
            self.event(
                "figure",
                number=self.section["number"],
                stage=stage,
                figure=figure.key[0],
                offering=figure.key[1],
                new=round(figure.new, 4),
                old=round(figure.old, 4),
                of=[int(figure.new_count), int(figure.old_count)],
                verdict=figure.verdict.name.lower(),
            )
        rows = [*self.section.get("report", []), *rollout_report.worst_rows(figures, stage)]
        self.section = {**self.section, "report": rows[-rollout_report.MAX_FIGURES :]}
