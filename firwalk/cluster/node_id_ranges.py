"""Seats in few bytes, as the plan and the log have them: "0-4,7,9-11"."""

from __future__ import annotations


def encode_ranges(seats: list[int]) -> str:
    found: list[list[int]] = []
    for seat in sorted(seats):
        if found and seat == found[-1][1] + 1:
            found[-1][1] = seat
        else:
            found.append([seat, seat])
    return ",".join(f"{a}-{b}" if b > a else f"{a}" for a, b in found)


def decode_ranges(text: str) -> list[int]:
    """The reverse; ValueError."""
    found: list[int] = []
    for part in text.split(",") if text else []:
        first, _, last = part.partition("-")
        found += range(int(first), int(last or first) + 1)
    return found
