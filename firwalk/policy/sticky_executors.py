"""Sticky executors: requests about one key go to the few executors that may have it cached."""

from __future__ import annotations

from math import log
from zlib import crc32

from firwalk.policy.executor import Executor
from firwalk.policy.executor_set import ExecutorSet

EXECUTORS_PER_KEY = 3
MAX_KEYS = 4096
INITIAL_REPEAT_SHARE = 0.3  # of keys that came before
MIN_REPEAT_SHARE = 0.1  # from which keys are worth it
REPEAT_WEIGHT = 0.02
HASH_RANGE = 4294967298.0  # of a CRC-32 plus one, so that its share is in (0, 1)


class StickyExecutors:
    """Weighted rendezvous hashing; consistent hashing in large fleets. The same at all nodes."""

    def __init__(self, executor_set: ExecutorSet) -> None:
        self.executor_set = executor_set
        self.keys: dict[bytes, tuple[int, tuple[Executor, ...]]] = {}  # list count, executors
        self.repeats = INITIAL_REPEAT_SHARE

    def executors_for(self, key: bytes) -> tuple[Executor, ...]:
        """Executors of a key; none while keys hardly repeat."""
        list_count = self.executor_set.list_count
        known, chosen = self.keys.pop(key, (0, ()))
        self.repeats += REPEAT_WEIGHT * (bool(chosen) - self.repeats)
        if known != list_count:
            chosen = self._hash(key)
        self.keys[key] = list_count, chosen
        if len(self.keys) > MAX_KEYS:
            del self.keys[next(iter(self.keys))]  # the least recently used
        return chosen if self.repeats > MIN_REPEAT_SHARE else ()

    def _hash(self, key: bytes) -> tuple[Executor, ...]:
        candidates = self.executor_set.candidates
        key_hash = crc32(key)
        if candidates.is_large:
            return candidates.successors(key_hash, EXECUTORS_PER_KEY)
        ready = sorted(
            self.executor_set.near + self.executor_set.far,
            key=lambda e: e.size / log((crc32(b"%d" % (key_hash * e.name_hash)) + 1) / HASH_RANGE),
        )
        return tuple(ready[:EXECUTORS_PER_KEY])
