"""Chance in decisions: the same for the same seed and count, on every machine."""

from __future__ import annotations

from zlib import crc32


class RandomSource:
    def __init__(self, seed: int):
        self.seed, self.counter = seed, 0

    def whole(self) -> int:
        """A number of 32 bits."""
        self.counter += 1
        return crc32(b"%d:%d" % (self.seed, self.counter))

    def part(self) -> float:
        """From 0 to 1, without 1."""
        return self.whole() / 4294967296.0

    def shuffled(self, things: list) -> list:
        """A new list in another order (Fisher and Yates)."""
        order = list(things)
        for last in range(len(order) - 1, 0, -1):
            other = self.whole() % (last + 1)
            order[last], order[other] = order[other], order[last]
        return order

    def some(self, things: list, most: int) -> list:
        """So many of them at most, each once."""
        if len(things) <= most:
            return list(things)
        picked: dict[int, None] = {}
        while len(picked) < most:
            picked[self.whole() % len(things)] = None
        return [things[number] for number in picked]
