"""The plan's section on a rollout: its keys, and the words for its states, kinds and holds."""

from __future__ import annotations

from typing import Any

# States.
GOING = "going"
HELD = "held"
BACK = "back"
STOPPED = "stopped"
DONE = "done"

# What a rollout changes.
RELEASE = "release"
SETTINGS = "settings"
CONTRACTS = "contracts"

# By whom, or for what, a rollout is held.
OPERATOR = "operator"
ITSELF = "itself"
LITTLE = "little"  # too little traffic for a verdict

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

RolloutSection = dict[str, Any]  # JSON of the plan; {} before the first rollout


def is_valid(section: Any, cluster_size: int) -> bool:
    """Whether a coordinator of a cluster of so many nodes can go on from it."""
    return (
        isinstance(section, dict) and set(section) >= REQUIRED_KEYS and len(section["zones"]) == cluster_size
    )


def encode_zones(zones: list[int]) -> str:
    """A letter for each node's zone."""
    return "".join(chr(FIRST_ZONE_LETTER + zone) for zone in zones)


def decode_zones(letters: str) -> dict[int, int]:
    """The zone of each node."""
    return {node_id: ord(letter) - FIRST_ZONE_LETTER for node_id, letter in enumerate(letters)}
