"""Sticky routing: requests with the same key go to a few executors that may have its data cached."""

from __future__ import annotations

from math import log
from zlib import crc32

from firwalk.policy.executor import Executor
from firwalk.policy.executor_set import ExecutorSet

EXECUTORS_PER_KEY = 3
MAX_KEYS = 4096
INITIAL_REPEAT_RATE = 0.3  # The estimated rate of repeated keys starts at this value.
MIN_REPEAT_RATE = 0.1  # Below this rate of repeated keys sticky routing is off.
REPEAT_SMOOTHING = 0.02
HASH_RANGE = 4294967298.0  # A CRC-32 plus one, divided by this, is in (0, 1).


class StickyExecutors:
    """Maps keys to executors by weighted rendezvous hashing, or consistent hashing in large fleets.

    All nodes map a key to the same executors.
    """

    def __init__(self, executor_set: ExecutorSet) -> None:
        self.executor_set = executor_set
        # By the hash of the key, which may be long: `list_count` when hashed, and the executors.
        self.keys: dict[int, tuple[int, tuple[Executor, ...]]] = {}
        self.repeat_rate = INITIAL_REPEAT_RATE

    def executors_for(self, key: bytes) -> tuple[Executor, ...]:
        """Return the sticky executors of a key; none while few keys repeat."""
        list_count = self.executor_set.list_count
        key_hash = crc32(key)
        cached_list_count, executors = self.keys.pop(key_hash, (0, ()))
        self.repeat_rate += REPEAT_SMOOTHING * (bool(executors) - self.repeat_rate)
        if cached_list_count != list_count:
            executors = self._choose(key_hash)
        self.keys[key_hash] = list_count, executors
        if len(self.keys) > MAX_KEYS:
            del self.keys[next(iter(self.keys))]  # the least recently used
        return executors if self.repeat_rate > MIN_REPEAT_RATE else ()

    def _choose(self, key_hash: int) -> tuple[Executor, ...]:
        candidates = self.executor_set.candidates
        if candidates.is_large:
            return candidates.successors(key_hash, EXECUTORS_PER_KEY)
        ready = sorted(
            self.executor_set.near + self.executor_set.far,
            key=lambda e: e.size / log((crc32(b"%d" % (key_hash * e.name_hash)) + 1) / HASH_RANGE),
        )
        return tuple(ready[:EXECUTORS_PER_KEY])
