"""The ids of requests: each is used for one request only, also after its client has left.

An executor identifies a request by its id. An id whose request may have taken effect is remembered beyond
the end of the request, so that the same id cannot run again. Ids are remembered in two generations, of which
the older one is forgotten when the newer one is full or old enough: memory is bounded, and as many of the
most recent ids as a generation holds are always known. Times are seconds on the caller's clock.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

GENERATION_S = 300.0
MAX_GENERATION_SIZE = 65536
MEMORY_SHARE = 0.06  # both generations may use this fraction of the memory limit
REMEMBERED_ID_BYTES = 112
FINGERPRINT_BYTES = 8


def fingerprint(request_id: bytes) -> int:
    """Return a short hash of an id, equal in all processes; two ids have the same one by chance only."""
    return int.from_bytes(blake2b(request_id, digest_size=FINGERPRINT_BYTES).digest())


def generation_size(memory_bytes: int) -> int:
    """Return how many ids a generation holds in a process with this memory limit."""
    return min(int(memory_bytes * MEMORY_SHARE / (2 * REMEMBERED_ID_BYTES)), MAX_GENERATION_SIZE)


class RequestIds:
    """Ids in work, and ids of earlier requests that may have taken effect."""

    def __init__(self, max_generation_size: int = MAX_GENERATION_SIZE) -> None:
        self._max_generation_size = max_generation_size
        self._in_work: dict[bytes, None] = {}
        self._recent: set[int] = set()
        self._older: set[int] = set()
        self._generation_began_at = 0.0

    def is_used(self, request_id: bytes) -> bool:
        """Return whether the id is in work or remembered."""
        return request_id in self._in_work or self._is_remembered(fingerprint(request_id))

    def is_fingerprint_used(self, key: int) -> bool:
        """Return whether an id with the fingerprint is in work or remembered."""
        return self._is_remembered(key) or any(fingerprint(request_id) == key for request_id in self._in_work)

    def _is_remembered(self, key: int) -> bool:
        return key in self._recent or key in self._older

    def begin(self, request_id: bytes) -> bool:
        """Take an id for a request; return False if it is used already."""
        if self.is_used(request_id):
            return False
        self._in_work[request_id] = None
        return True

    def resume(self, request_id: bytes) -> None:
        """Take an id for a request that another process of this node has handed over."""
        self._in_work[request_id] = None

    def end(self, request_id: bytes, now: float, is_reusable: bool) -> None:
        """Record the end of a request; its id is remembered unless `is_reusable`."""
        self._in_work.pop(request_id, None)
        if not is_reusable:
            self.remember(fingerprint(request_id), now)

    def remember(self, key: int, now: float) -> None:
        """Remember the fingerprint of an id."""
        is_old = now - self._generation_began_at > GENERATION_S
        if is_old or len(self._recent) >= self._max_generation_size:
            self._older = self._recent
            self._recent = set()
            self._generation_began_at = now
        self._recent.add(key)

    def fingerprints(self) -> list[int]:
        """Return the fingerprints of all used ids, the oldest first."""
        return [*self._older, *self._recent, *map(fingerprint, self._in_work)]

    def remember_all(self, keys: Iterable[int], now: float) -> None:
        """Remember the fingerprints of another process of this node."""
        for key in keys:
            self.remember(key, now)
