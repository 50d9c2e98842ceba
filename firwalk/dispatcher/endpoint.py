"""The name and address of an executor."""

from __future__ import annotations


class Endpoint:
    """The name of an executor and the address on which it listens."""

    def __init__(self, name: str, address: tuple[str, int]) -> None:
        self.name = name
        self.address = address
