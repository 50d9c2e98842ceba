"""Log lines for the cluster's events: JSON for the invariant checker, or sentences for operators."""

from __future__ import annotations

import time

import orjson

from firwalk.observability.log import log_external, log_unlimited

EVENT_TEMPLATES = {
    "coordinator": "this node is the coordinator, by ballot {term}",
    "lease_lost": "this node is not the coordinator any more; its ballot was {term}",
    "plan": "follows plan {term}, version {version}",
    "plan_over": "the plan's time is over: each part falls back to what it does without one",
    "zone_wish": "operators: {word} of zone {number}",
    "follows_contracts": "follows contracts {version} (0: it does not have those in force)",
    "contracts_wait": "contracts {version} wait for seats {seats}, which do not have them",
    "runs": "runs release {release!r}, tag {tag!r}, contracts {contracts}",
    "stage": "change {number} {name}: {state}, stage {stage} of {of}, seats on {brings}: {new} {why}",
    "figure": "change {number}, stage {stage}: {figure} of offering {offering:08x}: {new} with the new one,"
    " {old} with the old one, of {of}: {verdict}",
    "spent": "team {team}: {settled} of work spent here, {reserved} under way, {beyond} turned away or served"
    " for nothing, {part} a second may be spent",
    "zone_refused": "zone {number} of the operators' file stays in use: {reason}",
    "zone": "zone {number} is {mode}: {keeps:.0%} of its own tasks count it as theirs",
    "up": "seat {seat} is up, incarnation {incarnation}",
    "suspected": "seat {seat} is suspected by seat {by}",
    "down": "seat {seat} is down",
    "left": "seat {seat} has left",
}


def log_event_json(event_type: str, node_id: int, generation: int, fields: dict[str, object]) -> None:
    """Log an event as one line of JSON; `at` is the host's monotonic clock."""
    record = {
        "event": event_type,
        "at": time.clock_gettime(time.CLOCK_MONOTONIC),
        "seat": node_id,
        "life": generation,
        **fields,
    }
    log_unlimited(f"cluster {orjson.dumps(record).decode()}")


def log_event_text(event_type: str, fields: dict[str, object]) -> None:
    """Log an event as a sentence if it has a template; other events are not logged."""
    template = EVENT_TEMPLATES.get(event_type)
    if template is not None:
        log_external(f"cluster: {template.format(**fields)}")
