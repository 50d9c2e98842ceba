"""Terminal view of a staged rollout: its stages and the metrics of both versions."""

from __future__ import annotations

import json
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from rich.console import Group
from rich.table import Table
from rich.text import Text

from firwalk.cluster.canary_analysis import Verdict
from firwalk.cluster.node_id_ranges import decode_ranges
from firwalk.cluster.rollout import BACK, DONE, GOING, HELD, STOPPED

STATE_COLOURS = {GOING: "cyan", HELD: "yellow", BACK: "red", STOPPED: "red", DONE: "green"}
VERDICT_COLOURS = {"worse": "red", "fine": "green", "unsure": "yellow"}
RATIO_METRICS = ("late", "abandoned", "bounced", "errors", "bad")
MAX_METRICS = 200


@dataclass
class RolloutStatus:
    """State of a rollout, with the metrics of both versions."""

    section: dict[str, Any]
    # Columns: name, offering, new, old, counts, verdict.
    metrics: list[list[str]] = field(default_factory=list)


def read(send_command: Callable[[str], str]) -> RolloutStatus:
    """Read the rollout from a node; `send_command` sends it a command and returns the answer.

    The coordinator collects the metrics; they are reset at each stage and at each change of coordinator.
    """
    status = RolloutStatus(json.loads(send_command("ROLL STATUS")))
    for page in range(MAX_METRICS):
        line = send_command(f"ROLL PAGE {page}")
        if line == "end":
            break
        status.metrics.append(line.split(" "))
    return status


def is_finished(status: RolloutStatus) -> bool:
    """Return whether the rollout is done or stopped."""
    return status.section["state"] in (STOPPED, DONE)


def drawn(status: RolloutStatus) -> Group:
    """Return the view of a rollout for the terminal."""
    section = status.section
    state, stage, count = section["state"], section["stage"], max(section["of"], 1)
    head = Text.assemble(
        f"{section['name']}: {section['kind']} {section['before']} to {section['what']}, ",
        (state, STATE_COLOURS.get(state, "")),
        f"  {section['why']}" if section["why"] else "",
    )
    stage_boxes = Text()
    for number in range(count):
        full = state == DONE or number < stage and state in (GOING, HELD)
        mark = "■" if full else "▣" if number == stage and state in (GOING, HELD) else "□"
        stage_boxes.append(
            f" {mark} stage {number + 1} ", STATE_COLOURS.get(state, "") if number <= stage else "dim"
        )
    new = decode_ranges(section["new"])
    assigned = Text(
        f" {len(new)} of {len(section['zones'])} nodes are assigned {section['what']}: "
        f"{section['new'] or 'none'}"
    )
    tables = (
        [_metrics_table(status, "this stage, over the same period and zones", status.metrics)]
        if status.metrics
        else []
    )
    if is_finished(status) and section.get("report"):
        rows = [[*map(str, row[:-1]), Verdict(row[-1]).name.lower()] for row in section["report"]]
        tables = [_metrics_table(status, "the worst of each stage, over the same period and zones", rows)]
    return Group(head, stage_boxes, assigned, *tables)


def _metrics_table(status: RolloutStatus, title: str, metrics: list[list[str]]) -> Table:
    """Return a table of metrics; rows with one more column begin with the stage, counted from 0."""
    table = Table(title=title)
    named = ("figure", "offering", status.section["what"], status.section["before"], "rests on", "verdict")
    for name in ("stage", *named) if len(metrics[0]) > 7 else named:
        table.add_column(name, justify="left" if name in ("figure", "offering") else "right")
    for *stage, name, offering, new, old, new_count, old_count, verdict in metrics:
        table.add_row(
            *(str(int(one) + 1) for one in stage),
            name,
            "all" if offering == "0" else f"{int(offering):08x}",
            _format_metric(name, new),
            _format_metric(name, old),
            f"{new_count} and {old_count}",
            Text(verdict, VERDICT_COLOURS.get(verdict, "")),
        )
    return table


def _format_metric(name: str, text: str) -> str:
    from math import exp

    value = float(text)
    return (
        f"{exp(value):.1f} ms"
        if name == "time"
        else f"{value:.2%}"
        if name in RATIO_METRICS
        else f"{value:.3f}"
    )
