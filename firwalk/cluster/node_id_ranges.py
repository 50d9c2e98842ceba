"""Compact text form of node ids, as plans and log lines carry it: "0-4,7,9-11"."""

from __future__ import annotations

from collections.abc import Iterable


class MalformedRanges(ValueError):
    """Raised for text that is not a list of node id ranges."""


def encode_ranges(node_ids: Iterable[int]) -> str:
    """Encode distinct node ids, in any order; adjacent ones become one range."""
    ranges: list[tuple[int, int]] = []
    for node_id in sorted(node_ids):
        if ranges and node_id == ranges[-1][1] + 1:
            ranges[-1] = (ranges[-1][0], node_id)
        else:
            ranges.append((node_id, node_id))
    return ",".join(f"{first}-{last}" if last > first else f"{first}" for first, last in ranges)


def decode_ranges(text: str) -> list[int]:
    """Decode the output of `encode_ranges`; raise `MalformedRanges` for any other text."""
    node_ids: list[int] = []
    for part in text.split(",") if text else []:
        first, _, last = part.partition("-")
        try:
            node_ids += range(int(first), int(last or first) + 1)
        except ValueError:
            raise MalformedRanges(f"{part!r} is not a range of node ids") from None
    return node_ids
