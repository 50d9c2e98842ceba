"""Parser for updates of the endpoint list.

It tolerates discovery services of other versions and faulty ones: an entry without a usable name or address
is left out, and any other unusable field gets its default, so that the rest of the entry is still used.
"""

from __future__ import annotations

import json
from functools import lru_cache
from typing import Any, NamedTuple

import orjson

from firwalk.dispatcher.endpoint_list import EndpointEntry
from firwalk.net import http
from firwalk.net.address import parse_address
from firwalk.observability.log import log_external
from firwalk.policy.executor import UNKNOWN_NUMBER
from firwalk.policy.interface import EndpointState

STATES_BY_LIFECYCLE = {
    "active": EndpointState.READY,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.REMOVED,
}
MAX_CACHED_ADDRESSES = 8192
MAX_NAME_LENGTH = 256
MAX_VALUES = 1 << 17  # of a list of all executors of the largest fleet, four times over
MAX_CELL = 1 << 31
MAX_STARTED_MS = 1e14  # later times, after the year 5138, count as unknown
MIN_WEIGHT = 1.0
MAX_WEIGHT = 1e6
NUMBER_TYPES = (int, float)

Json = Any  # values are decoded JSON that is not validated yet


class Update(NamedTuple):
    """An update of the list; a complete one removes executors that it does not name."""

    version: int
    is_complete: bool
    entries: list[EndpointEntry]


class Unreadable(ValueError):
    """Raised for an entry without a usable name or address."""


def read(text: bytes | Json) -> Update:
    """Parse an update from JSON bytes or a decoded JSON value. Raise http.Malformed."""
    try:
        update: Json = decode(text) if isinstance(text, bytes) else text
        version = int(update["generation"])
        is_complete = bool(update.get("reset"))
        instances = update["instances"]
        if not isinstance(instances, list):
            raise TypeError("instances is not a list")
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
        raise http.Malformed(400, f"not a list of executors: {error!r}") from error
    return Update(version, is_complete, _read_entries(instances))


def decode(text: bytes | bytearray) -> Json:
    """Decode JSON with a limited number of values, which take more memory than their text.

    Raise orjson.JSONDecodeError, and http.Malformed for too many values.
    """
    if text.count(b",") + text.count(b"[") + text.count(b"{") > MAX_VALUES:
        raise http.Malformed(http.BAD_REQUEST, "an update with too many values")
    return orjson.loads(text)


def decode_exotic(text: bytes) -> Json:
    """Decode JSON as `decode` does, also where RFC 8259 allows what orjson does not read.

    These are numbers beyond the range of a float, which become infinite, and escapes of single surrogates,
    which become question marks. Raise ValueError, or http.Malformed for too many values.
    """
    try:
        return decode(text)
    except orjson.JSONDecodeError:
        value = json.loads(text, parse_constant=_reject_constant)
        return json.loads(json.dumps(value, ensure_ascii=False).encode(errors="replace"))


def _reject_constant(word: str) -> None:
    raise ValueError(f"{word} is not JSON")


def _read_entries(instances: list[object]) -> list[EndpointEntry]:
    entries = []
    errors = []
    for instance in instances:
        try:
            entries.append(_read_entry(instance))
        except ValueError as error:
            errors.append(error)
    if errors:
        log_external(
            f"{len(errors)} of {len(instances)} entries of the list are left out; the first: {errors[0]}"
        )
    return entries


def _read_entry(instance: object) -> EndpointEntry:
    if not isinstance(instance, dict):
        raise Unreadable(f"{instance!r:.60} is not an object")
    name = instance.get("instanceId")
    address = instance.get("hostPort")
    if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_LENGTH:
        raise Unreadable(f"instanceId: {name!r:.60}")
    if not isinstance(address, str):
        raise Unreadable(f"{name:.60}: hostPort: {address!r:.60}")
    return EndpointEntry(
        name,
        _parse_address(address),
        _read_name(instance.get("zone")),
        _read_name(instance.get("machineType")),
        _read_cell(instance.get("cell")),
        _read_state(instance.get("lifecycle")),
        _read_started_at(instance.get("startedAtMs")),
        _read_weight(instance.get("weight")),
    )


@lru_cache(MAX_CACHED_ADDRESSES)  # each full list repeats the same addresses
def _parse_address(address: str) -> tuple[str, int]:
    return parse_address(address)


def _read_name(value: object) -> str:
    return value if isinstance(value, str) and len(value) <= MAX_NAME_LENGTH else ""


def _read_cell(value: object) -> int:
    """Return the cell; an unusable one is unknown, not a cell that executors could share."""
    return value if isinstance(value, int) and 0 <= value < MAX_CELL else UNKNOWN_NUMBER


def _read_state(value: object) -> EndpointState:
    """Return the state; an executor in an unknown state is treated as draining."""
    return (
        STATES_BY_LIFECYCLE.get(value, EndpointState.DRAINING)
        if isinstance(value, str)
        else EndpointState.DRAINING
    )


def _read_started_at(value: object) -> float:
    """Return the start as Unix time in seconds; 0 if unknown."""
    if isinstance(value, NUMBER_TYPES) and 0.0 <= value <= MAX_STARTED_MS:
        return value / 1e3
    return 0.0


def _read_weight(value: object) -> float:
    """Return the weight; `MIN_WEIGHT` if unknown."""
    if isinstance(value, NUMBER_TYPES) and MIN_WEIGHT <= value < MAX_WEIGHT:
        return float(value)
    return MIN_WEIGHT
