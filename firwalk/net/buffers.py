"""Buffers of one size for all reads, used again from a pool."""

from __future__ import annotations

from firwalk.observability.log import check_invariant

SIZE = 8192


class Buffers:
    def __init__(self) -> None:
        self.free: list[bytearray] = []
        self.out = 0

    def take(self) -> bytearray:
        self.out += 1
        return self.free.pop() if self.free else bytearray(SIZE)

    def give(self, buffer: bytearray) -> None:
        check_invariant(len(buffer) == SIZE and self.out > 0, "a buffer comes back once and in its size")
        self.out -= 1
        self.free.append(buffer)
