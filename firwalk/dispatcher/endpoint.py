"""An executor as the network side knows it."""

from __future__ import annotations


class Endpoint:
    """The name of an executor and where it listens."""

    def __init__(self, name: str, address: tuple[str, int]) -> None:
        self.name = name
        self.address = address
