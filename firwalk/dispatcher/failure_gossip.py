"""Identification of executors in failure gossip between nodes: by the checksum of their names.

Traffic between nodes costs money, so checksums are short and may collide. Gossip with a checksum that two
executors share, or that no executor of this node has, is dropped.
"""

from __future__ import annotations

from typing import Generic, TypeVar
from zlib import crc32

SIZE = 4  # A checksum has this number of bytes.

ExecutorT = TypeVar("ExecutorT")


class ExecutorIndex(Generic[ExecutorT]):
    """Maps checksums of names, which are the same on all nodes, to executors."""

    def __init__(self) -> None:
        self.by_checksum: dict[bytes, ExecutorT | None] = {}  # None if two executors share the checksum

    def add(self, name: bytes, executor: ExecutorT) -> None:
        """Add an executor."""
        checksum = executor_checksum(name)
        self.by_checksum[checksum] = None if checksum in self.by_checksum else executor

    def remove(self, name: bytes, executor: ExecutorT) -> None:
        """Remove an executor; gossip with a checksum that it shared stays ambiguous."""
        checksum = executor_checksum(name)
        if self.by_checksum.get(checksum) is executor:
            del self.by_checksum[checksum]

    def find(self, content: bytes) -> ExecutorT | None:
        """Return the executor that received gossip names; None if it names none or is ambiguous."""
        return self.by_checksum.get(content)


def executor_checksum(name: bytes) -> bytes:
    """Return the checksum of an executor's name."""
    return crc32(name).to_bytes(SIZE)
