"""What nodes pass on to one another, as bytes: an executor by its mark, and its load report. No decisions.

Bytes between nodes have a price: four for a report. Marks are short, so two executors may share one; then
what is told of them is dropped. Every node of a tier has the same settings, and so the same words.
"""
from __future__ import annotations

from struct import Struct
from typing import Any
from zlib import crc32

FORM = Struct("!HBB")  # mark; free slots or tasks held; part of its time that it is busy
MOST = 255


def mark_of(name: bytes) -> int:
    return crc32(name) & 0xFFFF


def pack(mark: int, report: dict[str, float]) -> bytes:
    count = report.get("free_slots", report.get("held", 0.0))
    return FORM.pack(mark, _byte(count), _byte(report.get("busy", 0.0) * MOST))


def unpack(content: bytes, words: list[str]) -> tuple[int, dict[str, float]] | None:
    """The mark and the report; None for what no node sends. `words` are those of the settings' reports."""
    if len(content) != FORM.size:
        return None
    mark, count, busy = FORM.unpack(content)
    told = {word: float(count) for word in ("held", "free_slots") if word in words}
    if "busy" in words:
        told["busy"] = busy / MOST
    return mark, told


def _byte(value: float) -> int:
    return min(max(round(value), 0), MOST)


class Marks:
    """Executors by their marks."""

    def __init__(self) -> None:
        self.known: dict[int, Any] = {}

    def add(self, mark: int, executor: Any) -> None:
        self.known[mark] = None if mark in self.known else executor

    def find(self, mark: int) -> Any | None:
        return self.known.get(mark)
