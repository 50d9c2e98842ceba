"""A pseudo-random source whose numbers are the same for the same seed and count on every machine."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeVar
from zlib import crc32

UINT32_RANGE = 4294967296.0

Item = TypeVar("Item")


class RandomSource:
    """Numbers from CRC-32 of the seed and a counter: spread well enough for jitter, not for secrets."""

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.counter = 0

    def uint32(self) -> int:
        """Draw a number of 32 bits."""
        self.counter += 1
        return crc32(b"%d:%d" % (self.seed, self.counter))

    def fraction(self) -> float:
        """Draw a number from 0 to 1, without 1."""
        return self.uint32() / UINT32_RANGE

    def shuffled(self, items: Sequence[Item]) -> list[Item]:
        """Return the items in another order (Fisher and Yates)."""
        order = list(items)
        for last in range(len(order) - 1, 0, -1):
            other = self.uint32() % (last + 1)
            order[last], order[other] = order[other], order[last]
        return order

    def sample(self, items: Sequence[Item], max_items: int) -> list[Item]:
        """Draw at most so many of the items, each once."""
        if len(items) <= max_items:
            return list(items)
        picked: dict[int, None] = {}
        while len(picked) < max_items:
            picked[self.uint32() % len(items)] = None
        return [items[index] for index in picked]
