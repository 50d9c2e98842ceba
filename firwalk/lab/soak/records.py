"""Records that soak workers write as JSON lines. Times are in seconds of the monotonic clock."""

from __future__ import annotations

from pathlib import Path

import msgspec
from msgspec import Struct


class ClientRecord(Struct):
    """A request as observed by its client."""

    request_id: str
    job: str
    node: int
    class_name: str
    effect: str
    deadline_s: float
    first_on_connection: bool
    opened_at: float = 0.0  # When the connection was opened.
    sent_at: float = 0.0  # When the last byte was sent.
    status: int = 0  # 0 means that no complete answer arrived.
    ended_at: float = 0.0
    body_fits: bool = True
    answer_bytes: bool = False
    left_at: float = 0.0  # When the client disconnected.
    half: bool = False  # Only part of the request was sent.
    more_behind: bool = False  # More bytes followed the answer.


class AttemptRecord(Struct):
    """An attempt as observed by its executor."""

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
    refused: bool = False  # Answered as not executed.
    ran_at: float = 0.0  # When the effect took place.


class ToldRecord(Struct):
    """State of an executor as sent by discovery to one node."""

    at: float
    node: int
    executor: int
    lifecycle: str
    whole: bool = False


class Writer:
    """Append records to a file unbuffered, so that they survive a kill of the process."""

    def __init__(self, path: str):
        self.file = open(path, "ab", buffering=0)
        self.encoder = msgspec.json.Encoder()

    def write(self, record: Struct) -> None:
        """Append one line in a single system call."""
        self.file.write(self.encoder.encode(record) + b"\n")


def read(path: Path, kind: type) -> list:
    """Return the records of a file, skipping a last line truncated by a kill."""
    if not path.exists():
        return []
    found = []
    for line in path.read_bytes().splitlines():
        try:
            found.append(msgspec.json.decode(line, type=kind))
        except msgspec.DecodeError:
            continue
    return found
