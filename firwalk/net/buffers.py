"""A pool of read buffers, all of one size."""

from __future__ import annotations

from firwalk.observability.log import check_invariant

BUFFER_BYTES = 8192


class Buffers:
    """Reuses read buffers, to avoid an allocation for each connection.

    `scratch` is for reads whose bytes are parsed or copied before anything else runs.
    """

    def __init__(self) -> None:
        self.scratch = memoryview(bytearray(BUFFER_BYTES))
        self.free: list[bytearray] = []
        self.in_use = 0

    def acquire(self) -> bytearray:
        """Return a buffer for exclusive use until `release` is called."""
        self.in_use += 1
        return self.free.pop() if self.free else bytearray(BUFFER_BYTES)

    def release(self, buffer: bytearray) -> None:
        """Return a buffer to the pool."""
        is_valid = len(buffer) == BUFFER_BYTES and self.in_use > 0
        check_invariant(is_valid, "a buffer is returned once, with its size unchanged")
        self.in_use -= 1
        self.free.append(buffer)
