"""Turns a configuration of the old shape into one of the new: `python -m firwalk.migrate OLD NEW`.

The old shape: second copies, load reports, messages between nodes, three zones or more. The new one: one
assignment of a task at a time, sizes in the list instead of reports, two zones. The conversion is pure; what
it changed, dropped or leaves to the operator is told line by line. The steps: `docs/migration.md`.
"""

from __future__ import annotations

import argparse
import os
import sys
import tempfile
from copy import deepcopy

import orjson

from firwalk.config.node_config import ZONES, load, one_line, validate

# Setting, its value in the new shape, and why.
NEW_SHAPE = (
    ("limits.second-copies", False, "a task has one assignment at a time"),
    ("limits.probing", False, "probes would tell no load; true again where they are allowed"),
    ("limits.peers", False, "nodes do not talk to each other"),
    ("load-report.how", "off", "executors report no load"),
    ("load-report.names", [], "executors report no load"),
    ("specifics.tells-start", True, "starts are what tells of queues"),
    ("discovery", "ask", "the list answers only when asked"),
)
PEER_KEYS = ("peer_listen", "peers", "peers_all")
# What only the operator knows; the values of the old deployment stay until they are filled in.
FILL_IN = (
    ("settings.siblings and settings.self-index", "how many nodes there are now, and which this one is"),
    ("settings.offerings and settings.tenants", "what is asked for now, and by whom"),
    ("settings.guarantees and settings.prices", "the rules' figures and the prices of the new deployment"),
    ("settings.limits.most-assignments", "how many assignments a task may get"),
    ("listen and discovery", "the addresses of the new deployment"),
)


def _set(settings: dict, path: str, value: object, why: str, lines: list[str]) -> None:
    *parents, last = path.split(".")
    for name in parents:
        settings = settings.setdefault(name, {})
    if last not in settings:
        lines.append(f"changed: settings.{path}: set to {orjson.dumps(value).decode()} ({why})")
    elif settings[last] != value:
        before, after = orjson.dumps(settings[last]).decode(), orjson.dumps(value).decode()
        lines.append(f"changed: settings.{path}: {before} to {after} ({why})")
    settings[last] = value


def convert(old: dict) -> tuple[dict, list[str]]:
    """The counterpart for the new shape, and a line for each thing that is not as it was."""
    new, lines = deepcopy(old), []
    settings = new["settings"]
    for path, value, why in NEW_SHAPE:
        _set(settings, path, value, why, lines)
    if settings.get("weights") not in ("nominal", "rough"):
        _set(settings, "weights", "rough", "the list tells sizes", lines)
    for name in PEER_KEYS:
        if new.pop(name, None) is not None:
            lines.append(f"dropped: {name}: nodes do not talk to each other")
    if new.pop("known", None) is not None:
        lines.append("dropped: known: the last list is of executors left behind; another is asked for")
    for offering in settings.get("offerings", []):
        if offering.pop("late-importance", 0):
            lines.append(f"dropped: late-importance of {offering.get('name', '?')}: late is for nothing")
    if "marks-retry" not in settings.get("clients", {}):
        lines.append("fill in: settings.clients.marks-retry: whether clients mark retries (else they do)")
    if len(settings.get("azs", [])) != ZONES:
        lines.append(
            f"fill in: settings.azs and settings.az: {len(settings.get('azs', []))} zones named, "
            f"the new shape has {ZONES}; the list's names count, in any order"
        )
    lines += [f"fill in: {what}: {why}" for what, why in FILL_IN]
    return new, lines


def _write(path: str, content: bytes) -> None:
    """All of it or nothing, and never over another file."""
    handle, draft = tempfile.mkstemp(dir=os.path.dirname(path) or ".")
    try:
        with os.fdopen(handle, "wb") as file:
            file.write(content)
        os.link(draft, path)
    finally:
        os.unlink(draft)


def main(words: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="firwalk.migrate", description="Turns an old-shape configuration into a new-shape one."
    )
    parser.add_argument("old", help="the node's configuration so far, a JSON file")
    parser.add_argument("new", help="where the new one goes; must not exist yet")
    parser.add_argument("--dry-run", action="store_true", help="say what would change, write nothing")
    given = parser.parse_args(words)
    try:
        new, lines = convert(load(given.old))
        validate(new)
        if os.path.lexists(given.new):
            raise FileExistsError(f"{given.new} exists, and is not written over")
        if not given.dry_run:
            _write(given.new, orjson.dumps(new, option=orjson.OPT_INDENT_2) + b"\n")
    except Exception as problem:  # whatever is wrong with it, operators want one plain line
        print(f"firwalk.migrate: cannot convert {given.old}: {one_line(problem)}", file=sys.stderr)
        return 2
    print("\n".join(lines))
    print(f"{given.new} {'would be' if given.dry_run else 'is'} written")
    return 0


if __name__ == "__main__":
    sys.exit(main())
