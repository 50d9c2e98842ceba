"""The plan's section on a rollout: its keys and its values for states, kinds and reasons of a hold."""

from __future__ import annotations

from typing import Any

# States.
GOING = "going"
HELD = "held"
BACK = "back"
STOPPED = "stopped"
DONE = "done"

# Kinds: what a rollout changes.
RELEASE = "release"
SETTINGS = "settings"
CONTRACTS = "contracts"

# Who or what holds a rollout.
BY_OPERATOR = "operator"
BY_OBSTACLE = "itself"  # an obstacle, until it is gone
BY_LITTLE_TRAFFIC = "little"  # too little traffic for a verdict

REQUIRED_KEYS = frozenset(
    {
        "number",
        "name",
        "check",
        "kind",
        "what",
        "before",
        "state",
        "stage",
        "of",
        "new",
        "why",
        "by",
        "zones",
    }
)
FIRST_ZONE_LETTER = ord("A")

RolloutSection = dict[str, Any]  # A JSON object of the plan, empty before the first rollout.


def is_valid(section: Any, cluster_size: int) -> bool:
    """Return whether the coordinator of a cluster of this size can resume from the section."""
    return (
        isinstance(section, dict) and set(section) >= REQUIRED_KEYS and len(section["zones"]) == cluster_size
    )


def encode_zones(zones: list[int]) -> str:
    """Return a string with a letter for each node's zone."""
    return "".join(chr(FIRST_ZONE_LETTER + zone) for zone in zones)


def decode_zones(letters: str) -> dict[int, int]:
    """Return the zone of each node."""
    return {node_id: ord(letter) - FIRST_ZONE_LETTER for node_id, letter in enumerate(letters)}
