"""Reads updates of the list of executors.

The service that keeps the list may be newer, older or in trouble. An entry that names no executor is left
out; a field that tells nothing is taken as not given, since the executor itself must not go stale for it.
"""

from __future__ import annotations

from functools import lru_cache
from typing import NamedTuple

import orjson

from firwalk.net import http
from firwalk.net.address import parse
from firwalk.observability.log import log_external
from firwalk.policy.interface import EndpointState

LIFECYCLES = {"active": EndpointState.READY, "leaving": EndpointState.DRAINING, "left": EndpointState.REMOVED}
ADDRESSES_KEPT = 8192  # of all that were read
MOST_CELL = 1 << 31
MOST_STARTED_MS = 1e14  # the year 5138
LEAST_SIZE, MOST_SIZE = 1.0, 1e6


class Update(NamedTuple):
    """`whole`: what `entries` do not name is gone. An entry is what `Desk.report_list` takes."""

    version: int
    whole: bool
    entries: list[tuple]


class Unreadable(ValueError):
    """An entry that names no executor; the text says why."""


def read(text: bytes | dict) -> Update:
    """Malformed, if it is no update."""
    try:
        news = orjson.loads(text) if isinstance(text, bytes) else text
        version, whole, instances = int(news["generation"]), bool(news.get("reset")), news["instances"]
        if not isinstance(instances, list):
            raise TypeError("instances is no list")
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as problem:
        raise http.Malformed(400, f"not a list of executors: {problem!r}") from problem
    return Update(version, whole, _entries(instances))


def _entries(instances: list) -> list[tuple]:
    found, faults = [], []
    for instance in instances:
        try:
            found.append(_entry(instance))
        except ValueError as problem:
            faults.append(problem)
    if faults:
        log_external(
            f"{len(faults)} of {len(instances)} entries of the list are left out; the first: {faults[0]}"
        )
    return found


def _entry(instance: object) -> tuple:
    if not isinstance(instance, dict):
        raise Unreadable(f"{instance!r:.60} is no object")
    name, address = instance.get("instanceId"), instance.get("hostPort")
    if not isinstance(name, str) or not name:
        raise Unreadable(f"instanceId: {name!r:.60}")
    if not isinstance(address, str):
        raise Unreadable(f"{name:.60}: hostPort: {address!r:.60}")
    return (
        name,
        _parsed(address),
        _word(instance.get("zone")),
        _word(instance.get("machineType")),
        _cell(instance.get("cell")),
        _condition(instance.get("lifecycle")),
        _started(instance.get("startedAtMs")),
        _size(instance.get("weight")),
    )


@lru_cache(ADDRESSES_KEPT)
def _parsed(address: str) -> tuple[str, int]:
    """ValueError. Whole lists name the same ones again and again."""
    return parse(address)


def _word(value: object) -> str:
    return value if isinstance(value, str) else ""


def _cell(value: object) -> int:
    return value if isinstance(value, int) and 0 <= value < MOST_CELL else 0


def _condition(value: object) -> EndpointState:
    """Other words than the known ones: nothing new goes there."""
    return LIFECYCLES.get(value, EndpointState.DRAINING) if isinstance(value, str) else EndpointState.DRAINING


def _started(value: object) -> float:
    """Unix time in seconds; 0: long ago."""
    fits = isinstance(value, int | float) and 0.0 <= value <= MOST_STARTED_MS
    return value / 1e3 if fits else 0.0


def _size(value: object) -> float:
    """One without a usable figure counts as the smallest."""
    fits = isinstance(value, int | float) and LEAST_SIZE <= value < MOST_SIZE
    return float(value) if fits else LEAST_SIZE
