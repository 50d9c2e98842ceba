"""What one process of a node has learnt, for the one that replaces it. No I/O; nothing is decided here.

Figures travel by the names that the list and the settings give; those of nobody known are passed over. All
are checked before any is taken over.
"""
from __future__ import annotations

from math import isfinite
from typing import TYPE_CHECKING, Any

from firwalk.settings import LEARNT

if TYPE_CHECKING:
    from firwalk.facade import Desk

EXECUTOR = ("speed", "cost_mean", "time_mean", "slots", "met", "others", "used_mean", "held_mean",
            "reported_at", "lag", "lag_at", "errors", "strikes", "away_until", "full_until", "on_trial",
            "warned_at")
KIND, ZONE, NODE = ("speed", "slots", "met"), ("lag", "lag_at", "mean"), ("part", "mean_cost", "mean_value")
ABOVE_ZERO = ("speed", "slots", "hint_spread", "part")   # divided by
WHOLE = ("met", "strikes", "finished", "on_trial")


def _parts(desk: Desk) -> dict[str, tuple[tuple[str, ...], dict[str, Any]]]:
    """Which figures of what, by name; the same on both sides."""
    node, kinds, zones = desk.node, {n: name for name, n in desk.kinds.items()}, desk.zones
    return {
        "executors": (EXECUTOR, desk.places),
        "offerings": (LEARNT, {str(name): node.offerings[n] for name, n in desk.offerings.items()}),
        "kinds": (KIND, {kinds.get(n, ""): pace for n, pace in node.kinds.items()}),
        "zones": (ZONE, {name: node.zones[n] for name, n in zones.items() if n in node.zones}),
        "node": (NODE, {"": node})}


def told(desk: Desk) -> dict:
    return {word: {name: [getattr(thing, figure) for figure in figures] for name, thing in things.items()}
            for word, (figures, things) in _parts(desk).items()}


def _figure(figure: str, value: object) -> float:
    if not isinstance(value, int | float) or not isfinite(value):
        raise ValueError(f"{figure} is no number")
    if figure in ABOVE_ZERO and value <= 0:
        raise ValueError(f"{figure} is not above 0")
    return (bool if figure == "on_trial" else int if figure in WHOLE else float)(value)


def take(desk: Desk, state: dict) -> None:
    """ValueError and its like, with nothing changed, if a figure cannot be used."""
    checked = []
    for word, (figures, things) in _parts(desk).items():
        for name, thing in things.items():
            values = state[word].get(name)
            if values is not None:
                pairs = zip(figures, values, strict=True)
                checked.append((thing, {figure: _figure(figure, value) for figure, value in pairs}))
    for thing, values in checked:
        for figure, value in values.items():
            setattr(thing, figure, value)
