"""What workers of a soak write down, a line of JSON each. Times are seconds of the monotonic clock."""

from __future__ import annotations

from pathlib import Path

import msgspec
from msgspec import Struct


class ClientRecord(Struct):
    """One request as its client saw it."""

    request_id: str
    job: str
    node: int
    class_name: str
    effect: str
    deadline_s: float
    first_on_connection: bool
    opened_at: float = 0.0  # its connection
    sent_at: float = 0.0  # its last byte
    status: int = 0  # 0: no whole answer
    ended_at: float = 0.0
    body_fits: bool = True
    answer_bytes: bool = False
    left_at: float = 0.0  # when the client itself went away
    half: bool = False  # never sent whole
    more_behind: bool = False  # bytes came behind its answer


class AttemptRecord(Struct):
    """One attempt as its executor saw it."""

    request_id: str
    job: str
    node: int
    executor: int
    class_name: str
    effect: str
    key: str
    first_byte_at: float
    last_byte_at: float
    told_deadline_s: float
    refused: bool = False  # answered that it has not run
    ran_at: float = 0.0  # when its effect took place


class ToldRecord(Struct):
    """What discovery wrote to one node of one executor."""

    at: float
    node: int
    executor: int
    lifecycle: str
    whole: bool = False


class Writer:
    """Appends records to a file as they are made: what was written before a kill stays."""

    def __init__(self, path: str):
        self.file = open(path, "ab", buffering=0)
        self.encoder = msgspec.json.Encoder()

    def write(self, record: Struct) -> None:
        """One line, in one call."""
        self.file.write(self.encoder.encode(record) + b"\n")


def read(path: Path, kind: type) -> list:
    """All whole lines of a file; the last one may have been cut by a kill."""
    if not path.exists():
        return []
    found = []
    for line in path.read_bytes().splitlines():
        try:
            found.append(msgspec.json.decode(line, type=kind))
        except msgspec.DecodeError:
            continue
    return found
