"""Converts a configuration of the old shape into one of the new: `python -m firwalk.migrate OLD NEW`.

The old shape has hedged requests, load reports, messages between nodes, and three zones or more. The new
shape has one attempt of a request at a time, executor sizes in the endpoint list in place of load reports,
and two zones. The conversion has no side effects; it reports, one per line, what it changed or dropped and
what the operator has to fill in. The procedure is in `docs/migration.md`.
"""

from __future__ import annotations

import argparse
import os
import sys
import tempfile
from copy import deepcopy
from typing import Any, NamedTuple

import orjson

from firwalk.config.node_config import NEW_SHAPE_ZONE_COUNT, JsonObject, error_line, load, validate
from firwalk.config.node_schema import SIZE_WEIGHTS

EXIT_CONVERSION_FAILED = 2


class NewSetting(NamedTuple):
    """A setting with a fixed value in the new shape."""

    path: str
    value: Any
    reason: str


NEW_SETTINGS = (
    NewSetting("limits.second-copies", False, "a request has one attempt at a time"),
    NewSetting(
        "limits.probing", False, "health checks would return no load; set it to true where they are allowed"
    ),
    NewSetting("limits.peers", False, "nodes do not talk to each other"),
    NewSetting("load-report.how", "off", "executors report no load"),
    NewSetting("load-report.names", [], "executors report no load"),
    NewSetting("specifics.tells-start", True, "queueing is derived from reported starts"),
    NewSetting("discovery", "ask", "the endpoint list is only sent on request"),
)
PEER_KEYS = ("peer_listen", "peers", "peers_all")
# Only the operator knows these; the values of the old deployment stay until they are filled in.
FILL_IN = (
    ("settings.siblings and settings.self-index", "how many nodes there are now, and which this one is"),
    ("settings.offerings and settings.tenants", "the request classes and tenants of the new deployment"),
    ("settings.guarantees and settings.prices", "the guarantees and prices of the new deployment"),
    ("settings.limits.most-assignments", "how many attempts a request may have"),
    ("listen and discovery", "the addresses of the new deployment"),
)


def _set(settings: JsonObject, new: NewSetting, lines: list[str]) -> None:
    """Set a setting, and append a line if that changes it."""
    *parents, key = new.path.split(".")
    for parent in parents:
        settings = settings.setdefault(parent, {})
    shown = orjson.dumps(new.value).decode()
    if key not in settings:
        lines.append(f"changed: settings.{new.path}: set to {shown} ({new.reason})")
    elif settings[key] != new.value:
        shown_old = orjson.dumps(settings[key]).decode()
        lines.append(f"changed: settings.{new.path}: {shown_old} to {shown} ({new.reason})")
    settings[key] = new.value


def convert(old: JsonObject) -> tuple[JsonObject, list[str]]:
    """Return the configuration in the new shape, and a line for each difference and each open question."""
    new = deepcopy(old)
    settings = new["settings"]
    lines: list[str] = []
    for setting in NEW_SETTINGS:
        _set(settings, setting, lines)
    if settings.get("weights") not in SIZE_WEIGHTS:
        _set(settings, NewSetting("weights", "rough", "the list tells sizes"), lines)
    lines += _drop_old_keys(new)
    lines += _open_questions(settings)
    return new, lines


def _drop_old_keys(config: JsonObject) -> list[str]:
    """Remove keys that the new shape does not have; return a line for each."""
    lines = []
    for key in PEER_KEYS:
        if config.pop(key, None) is not None:
            lines.append(f"dropped: {key}: nodes do not talk to each other")
    if config.pop("known", None) is not None:
        lines.append(
            "dropped: known: the stored list is of the old deployment's executors; a new one is fetched"
        )
    for request_class in config["settings"].get("offerings", []):
        if request_class.pop("late-importance", 0):
            name = request_class.get("name", "?")
            lines.append(f"dropped: late-importance of {name}: a late answer has no value")
    return lines


def _open_questions(settings: JsonObject) -> list[str]:
    """Return a line for each setting that only the operator knows."""
    lines = []
    if "marks-retry" not in settings.get("clients", {}):
        lines.append("fill in: settings.clients.marks-retry: whether clients mark retries (default: they do)")
    zone_count = len(settings.get("azs", []))
    if zone_count != NEW_SHAPE_ZONE_COUNT:
        lines.append(
            f"fill in: settings.azs and settings.az: {zone_count} zones named, "
            f"the new shape has {NEW_SHAPE_ZONE_COUNT}; use the zone names of the endpoint list, in any order"
        )
    return lines + [f"fill in: {what}: {question}" for what, question in FILL_IN]


def _write(path: str, content: bytes) -> None:
    """Create a file atomically. Raises FileExistsError if it exists."""
    handle, draft = tempfile.mkstemp(dir=os.path.dirname(path) or ".")
    try:
        with os.fdopen(handle, "wb") as file:
            file.write(content)
        os.link(draft, path)
    finally:
        os.unlink(draft)


def _parse_arguments(argv: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="firwalk.migrate", description="Convert an old-shape configuration into a new-shape one."
    )
    parser.add_argument("old", help="the node's old configuration, a JSON file")
    parser.add_argument("new", help="path of the new configuration; must not exist yet")
    parser.add_argument("--dry-run", action="store_true", help="print what would change, write nothing")
    return parser.parse_args(argv)


def main(argv: list[str] | None = None) -> int:
    """Run the program; return its exit status."""
    arguments = _parse_arguments(argv)
    try:
        new, lines = convert(load(arguments.old))
        validate(new)
        if os.path.lexists(arguments.new):
            raise FileExistsError(f"{arguments.new} exists, and is not written over")
        if not arguments.dry_run:
            _write(arguments.new, orjson.dumps(new, option=orjson.OPT_INDENT_2) + b"\n")
    except Exception as error:  # for any error, operators get one plain line
        print(f"firwalk.migrate: cannot convert {arguments.old}: {error_line(error)}", file=sys.stderr)
        return EXIT_CONVERSION_FAILED
    print("\n".join(lines))
    print(f"{arguments.new} {'would be' if arguments.dry_run else 'is'} written")
    return 0


if __name__ == "__main__":
    sys.exit(main())
