"""A pseudo-random source that gives the same sequence for the same seed on every machine."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar
from zlib import crc32

UINT32_RANGE = 4294967296.0

Item = TypeVar("Item")


class RandomSource:
    """Draws numbers as CRC-32 of the seed and a counter: good enough for jitter, not for cryptography."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.counter = 0

    def uint32(self) -> int:
        """Draw an unsigned 32-bit number."""
        self.counter += 1
        return crc32(b"%d:%d" % (self.seed, self.counter))

    def fraction(self) -> float:
        """Draw a number that is at least 0 and less than 1."""
        return self.uint32() / UINT32_RANGE

    def shuffled(self, items: Sequence[Item]) -> list[Item]:
        """Return the items in random order (Fisher-Yates shuffle)."""
        order = list(items)
        for last in range(len(order) - 1, 0, -1):
            other = self.uint32() % (last + 1)
            order[last], order[other] = order[other], order[last]
        return order

    def sample(self, items: Sequence[Item], max_items: int) -> list[Item]:
        """Draw up to `max_items` different items."""
        if len(items) <= max_items:
            return list(items)
        picked: dict[int, None] = {}
        while len(picked) < max_items:
            picked[self.uint32() % len(items)] = None
        return [items[index] for index in picked]
