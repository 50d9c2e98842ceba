"""Operators' views of a rollout: its stages before it starts, and the figures of a comparison."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from firwalk.cluster.canary_analysis import ALL, CanaryAnalysis, FigureKey, Verdict
from firwalk.cluster.node_id_ranges import encode_ranges

LAST_PAGE = "end"
MAX_FIGURES_PER_STAGE = 2  # The plan keeps so many of the worst figures of each stage.
MAX_FIGURES = 24  # The plan keeps at most so many figures of all stages.

PlanRow = list[int | float | str]  # stage, figure, request class, new, old, counts, verdict


class Figure(NamedTuple):
    """One figure of a comparison: the means of both versions and the number of requests behind each."""

    key: FigureKey
    new: float
    old: float
    new_count: float
    old_count: float
    verdict: Verdict
    evidence: float

    def plan_row(self, stage: int) -> PlanRow:
        """Return the row of the figure in the plan."""
        means = [round(self.new, 4), round(self.old, 4)]
        return [stage, *self.key, *means, int(self.new_count), int(self.old_count), int(self.verdict)]

    def rank(self) -> tuple[bool, float]:
        """Return the sort key that puts the worst figure first."""
        return self.verdict is not Verdict.WORSE, -self.evidence

    def line(self) -> str:
        """Return the line of the figure for an operator."""
        name, request_class = self.key
        return (
            f"{name} {request_class or ALL} {self.new:.4f} {self.old:.4f} "
            f"{self.new_count:.0f} {self.old_count:.0f} {self.verdict.name.lower()}"
        )


def figures(analysis: CanaryAnalysis) -> Iterator[Figure]:
    """Yield all figures of a comparison in order."""
    for key in sorted(analysis.zones):
        yield _figure(analysis, key)


def _figure(analysis: CanaryAnalysis, key: FigureKey) -> Figure:
    summary = analysis.summary(key)
    verdict = analysis.verdict(key)
    return Figure(key, *summary, verdict, analysis.evidence(key)[0])


def worst_rows(figures_of_stage: list[Figure], stage: int) -> list[PlanRow]:
    """Return the plan's rows of the worst figures of a stage."""
    ranked = sorted((figure.rank(), figure.plan_row(stage)) for figure in figures_of_stage)
    return [row for _, row in ranked[:MAX_FIGURES_PER_STAGE]]


def figure_page(analysis: CanaryAnalysis, number: int) -> str:
    """Return the line of one figure of the comparison."""
    keys = sorted(analysis.zones)
    return _figure(analysis, keys[number]).line() if number < len(keys) else LAST_PAGE


def stage_page(stages: list[list[int]], up: list[int], zone_of: dict[int, int], number: int) -> str:
    """Return one line of a dry run: the stages, followed by the nodes that are alone in their zones."""
    lines = []
    before: list[int] = []
    for stage_number, stage in enumerate(stages, 1):
        added = encode_ranges([node_id for node_id in stage if node_id not in before])
        lines.append(f"stage {stage_number} of {len(stages)}: {len(stage)} nodes, new are {added}")
        before = stage
    alone = [node_id for node_id in up if not _peers(node_id, up, zone_of)]
    if alone:
        lines.append(
            f"seats {encode_ranges(alone)} are alone in their zones: nobody is beside them while they go over"
        )
    return lines[number] if number < len(lines) else LAST_PAGE


def _peers(node_id: int, up: list[int], zone_of: dict[int, int]) -> list[int]:
    return [other for other in up if other != node_id and zone_of[other] == zone_of[node_id]]
