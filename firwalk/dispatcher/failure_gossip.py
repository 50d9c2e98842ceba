"""What nodes tell one another, as bytes: that an executor erred, by its mark. Nothing here decides.

Bytes between nodes have a price, so marks are short. Two executors may share one: what is told of them is
dropped, as is what names nobody.
"""

from __future__ import annotations

from typing import Any
from zlib import crc32

SIZE = 4


class ExecutorIndex:
    """Executors by their marks, which are the same at all nodes."""

    def __init__(self) -> None:
        self.known: dict[bytes, Any] = {}

    def add(self, name: bytes, executor: Any) -> None:
        mark = executor_checksum(name)
        self.known[mark] = None if mark in self.known else executor

    def find(self, content: bytes) -> Any | None:
        return self.known.get(content)


def executor_checksum(name: bytes) -> bytes:
    return crc32(name).to_bytes(SIZE)
