"""Loads and validates a node's configuration, and compares it with a reloaded one.

Nodes on the network and on the simulator's wire share this module. The configuration is a JSON object whose
keys the protocol defines (`docs/configuration.md`); `firwalk.config.policy_settings` maps them to the names
of the code.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import orjson

from firwalk.config.errors import ConfigurationError
from firwalk.config.node_schema import find_faults

SECONDS_PER_US = 1e-6
NEW_SHAPE_ZONE_COUNT = 2  # A configuration of the new shape (`firwalk.migrate`) has two zones.
# Keys that may change on reload without a warning; `seed` and `tag` are only used at startup.
RELOADABLE_KEYS = ("discovery", "known", "seed", "tag")
RELOADABLE_SETTINGS = (
    "offerings",
    "tenants",
    "excess-importance",
    "importance-by",
    # Only partly reloadable: see RELOADABLE_NESTED_SETTINGS.
    "limits",
    "prices",
    "specifics",
)
RELOADABLE_NESTED_SETTINGS = {
    "limits": ("most-assignments", "retry-after", "max-retry-after-us"),
    "prices": ("cross-zone", "handshake"),
    "specifics": ("class-kind", "class-stretch", "class-priority"),
}

JsonObject = dict[str, Any]  # a parsed configuration, or a part of one


def section(table: JsonObject, key: str) -> JsonObject:
    """Return a section of a configuration; one that is absent or null is empty."""
    return table.get(key) or {}


def validate(config: object) -> None:
    """Raise ConfigurationError, with a line for each fault, unless the configuration is valid."""
    faults = find_faults(config)
    if faults:
        raise ConfigurationError(faults)


def validate_reload(running: JsonObject, reloaded: object) -> None:
    """Raise ConfigurationError unless a running node can apply a reloaded configuration.

    It is stricter than `validate`: a truncated file, or one that lost a key, must not change a running node.
    """
    validate(reloaded)
    assert isinstance(reloaded, dict)
    faults = _missing_keys(running, reloaded)
    if faults:
        raise ConfigurationError(faults)


def _missing_keys(running: JsonObject, reloaded: JsonObject, prefix: str = "") -> list[str]:
    """Return a fault for each missing key; in lists, only keys that all running entries have are required."""
    faults = []
    for key, value in running.items():
        name = f"{prefix}{key}"
        if key not in reloaded:
            faults.append(f"{name} is missing")
        elif isinstance(value, dict):
            if isinstance(reloaded[key], dict):
                faults += _missing_keys(value, reloaded[key], f"{name}.")
            else:
                faults.append(f"{name} must be an object")
        elif key in ("offerings", "tenants") and value:
            common = {key: None for key in value[0] if all(key in entry for entry in value)}
            for index, entry in enumerate(reloaded[key]):
                faults += _missing_keys(common, entry, f"{name}[{index}].")
    return faults


def load(path: str) -> JsonObject:
    """Load and validate a file. Raises OSError, orjson.JSONDecodeError or ConfigurationError."""
    config = read(path)
    validate(config)
    assert isinstance(config, dict)
    return config


def read(path: str) -> object:
    """Parse a JSON file without validation. Raises OSError or orjson.JSONDecodeError."""
    with open(path, "rb") as file:
        return orjson.loads(file.read())


def error_line(error: Exception) -> str:
    """Format an error as a single line."""
    return f"{type(error).__name__}: {' '.join(str(error).split())}"


def error_lines(error: Exception) -> list[str]:
    """Format an error as lines, one for each fault of a configuration."""
    return error.faults if isinstance(error, ConfigurationError) else [error_line(error)]


def longest_deadline(settings: JsonObject) -> float:
    """Return the longest deadline of the request classes, in seconds."""
    request_classes = settings.get("offerings") or [{}]
    longest_us: float = max(request_class.get("expiry-us", 0) for request_class in request_classes)
    return longest_us * SECONDS_PER_US


def needs_restart(running: JsonObject, reloaded: JsonObject) -> list[str]:
    """Return the keys that differ and that a running node cannot apply."""
    settings, new_settings = running["settings"], reloaded["settings"]
    names = _differing_keys(running, reloaded, (*RELOADABLE_KEYS, "settings"), "")
    names += _differing_keys(settings, new_settings, RELOADABLE_SETTINGS, "settings.")
    for key, reloadable in RELOADABLE_NESTED_SETTINGS.items():
        names += _differing_keys(
            section(settings, key), section(new_settings, key), reloadable, f"settings.{key}."
        )
    return names


def _differing_keys(old: JsonObject, new: JsonObject, ignored: Sequence[str], prefix: str) -> list[str]:
    keys = sorted(old.keys() | new.keys())
    return [prefix + key for key in keys if key not in ignored and old.get(key) != new.get(key)]
