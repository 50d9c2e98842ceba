"""The account of the memory that peers make this process keep, counted before it is kept.

Sizes are estimates of what Python keeps: a charge includes the objects that hold the bytes. Input of clients
and responses of executors share one pool. The last parts of the pool are reserved, so that large messages
leave room for small ones, and input leaves room for the responses to requests in work, also when the limit
has just become smaller.
"""

from __future__ import annotations

from enum import Enum

from firwalk.observability.log import check_invariant

INPUT_SHARE = 0.7  # clients' input may use this fraction of the pool
LARGE_INPUT_SHARE = 0.5  # messages of over `SMALL_MESSAGE_BYTES` may use this fraction of the pool
SMALL_MESSAGE_BYTES = 8192


class MemoryUse(Enum):
    """What memory is charged for."""

    INPUT = "input"
    RESPONSE = "response"


class MemoryPool:
    """Counts charged bytes against a limit."""

    def __init__(self, limit_bytes: int) -> None:
        self.used_bytes = 0
        self.response_bytes = 0  # of `used_bytes`
        self.peak_bytes = 0
        self.refused_count = 0
        self.set_limit(limit_bytes)

    def set_limit(self, limit_bytes: int) -> None:
        """Change the limit; what is charged above it stays until it is released."""
        self.limit_bytes = limit_bytes
        self.input_limit_bytes = int(limit_bytes * INPUT_SHARE)
        self.large_input_limit_bytes = int(limit_bytes * LARGE_INPUT_SHARE)

    def _has_room(self, size_bytes: int, use: MemoryUse, total_bytes: int) -> bool:
        used_bytes = self.used_bytes + size_bytes
        if use is MemoryUse.RESPONSE:
            reserved_bytes = self.limit_bytes - self.input_limit_bytes
            return used_bytes <= self.limit_bytes or self.response_bytes + size_bytes <= reserved_bytes
        if total_bytes <= SMALL_MESSAGE_BYTES:
            return used_bytes <= self.input_limit_bytes
        return used_bytes <= self.large_input_limit_bytes

    def reserve(self, size_bytes: int, use: MemoryUse, total_bytes: int) -> bool:
        """Count `size_bytes` of a message that then has `total_bytes`; return False if there is no room."""
        if not self._has_room(size_bytes, use, total_bytes):
            self.refused_count += 1
            return False
        self.used_bytes += size_bytes
        self.response_bytes += size_bytes * (use is MemoryUse.RESPONSE)
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)
        return True

    def release(self, size_bytes: int, use: MemoryUse) -> None:
        """Count the end of reserved bytes."""
        self.used_bytes -= size_bytes
        self.response_bytes -= size_bytes * (use is MemoryUse.RESPONSE)
        check_invariant(0 <= self.response_bytes <= self.used_bytes, "memory is released at most once")

    def summary(self) -> str:
        """Return the counts as one line of text."""
        return (
            f"{self.used_bytes} bytes, {self.peak_bytes} at most, limit {self.limit_bytes}, "
            f"refused {self.refused_count}"
        )


class MemoryCharge:
    """The bytes charged for one message, from its first byte until nothing of it is kept."""

    __slots__ = ("_pool", "_use", "size_bytes")

    def __init__(self, pool: MemoryPool, use: MemoryUse) -> None:
        self._pool = pool
        self._use = use
        self.size_bytes = 0

    def grow(self, size_bytes: int) -> bool:
        """Charge further bytes; return False, with nothing charged, if there is no room."""
        total_bytes = self.size_bytes + size_bytes
        if not self._pool.reserve(size_bytes, self._use, total_bytes):
            return False
        self.size_bytes = total_bytes
        return True

    def release(self) -> None:
        """Release all that is charged; repeated calls have no effect."""
        if self.size_bytes:
            self._pool.release(self.size_bytes, self._use)
            self.size_bytes = 0
