"""A pool of read buffers, all of one size."""

from __future__ import annotations

from firwalk.observability.log import check_invariant

BUFFER_BYTES = 8192


class Buffers:
    """Read buffers, reused."""

    def __init__(self) -> None:
        self.free: list[bytearray] = []
        self.in_use = 0

    def take(self) -> bytearray:
        """A buffer for the caller alone, until it is given back."""
        self.in_use += 1
        return self.free.pop() if self.free else bytearray(BUFFER_BYTES)

    def give(self, buffer: bytearray) -> None:
        """Takes a buffer back."""
        is_valid = len(buffer) == BUFFER_BYTES and self.in_use > 0
        check_invariant(is_valid, "a buffer comes back once and in its size")
        self.in_use -= 1
        self.free.append(buffer)
