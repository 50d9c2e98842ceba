"""The cluster's plan as bytes: its stamp, its encoding, and the pieces that datagrams carry.

A plan is a set of named sections in JSON; each component of the cluster reads its own. It is identified by
its stamp: the ballot with which its leader's term began, and a version that counts the changes in that term
(Lamport, "Paxos Made Simple", 2001, for ballots). A newer plan has a higher stamp.
"""

from __future__ import annotations

from typing import Any, NamedTuple, TypeAlias
from zlib import crc32

import msgspec

from firwalk.cluster.messages import MAX_PIECES, NO_BALLOT, PIECE_BYTES, Ballot, Piece

MAX_PLAN_BYTES = MAX_PIECES * PIECE_BYTES

PlanSections: TypeAlias = dict[str, Any]  # JSON values by the name of the section.


class PlanStamp(NamedTuple):
    """Identifies a plan; the plan with the higher stamp is newer."""

    term: Ballot
    version: int


class EncodedPlan(NamedTuple):
    """A plan as bytes, which its pieces carry."""

    stamp: PlanStamp
    data: bytes


NO_PLAN = PlanStamp(NO_BALLOT, 0)


class PlanTooLarge(Exception):
    """Raised when a plan does not fit into `MAX_PIECES` pieces; nothing of it was applied."""


def encode_plan(sections: PlanSections) -> bytes:
    """Encode equal sections to equal bytes, whatever their order; raise `PlanTooLarge` above the limit."""
    data = msgspec.json.encode(sections, order="deterministic")
    if len(data) > MAX_PLAN_BYTES:
        raise PlanTooLarge(f"the plan has {len(data)} bytes, the limit is {MAX_PLAN_BYTES}")
    return data


def split_plan(stamp: PlanStamp, data: bytes) -> list[Piece]:
    """Split an encoded plan into pieces; empty bytes make one empty piece."""
    chunks = [data[start : start + PIECE_BYTES] for start in range(0, len(data), PIECE_BYTES)] or [b""]
    return [Piece(*stamp, number, len(chunks), crc32(data), chunk) for number, chunk in enumerate(chunks)]


class PlanAssembly:
    """The pieces received so far of one plan."""

    def __init__(self, first: Piece) -> None:
        self.stamp = PlanStamp(first.term, first.version)
        self.count = first.count
        self.checksum = first.checksum
        self.received: dict[int, bytes] = {}

    def add(self, piece: Piece) -> None:
        """Keep a piece of this plan, and ignore others."""
        if piece.count == self.count and piece.checksum == self.checksum and piece.number < self.count:
            self.received[piece.number] = piece.data

    def mask(self) -> int:
        """Return a mask with a bit for each piece received."""
        return sum(1 << number for number in self.received)

    def has_all_pieces(self) -> bool:
        """Return whether every piece has been received, damaged or not."""
        return len(self.received) == self.count

    def assemble(self) -> bytes | None:
        """Return the encoded plan, or None while it is incomplete or if its checksum does not match."""
        if len(self.received) < self.count:
            return None
        data = b"".join(self.received[number] for number in range(self.count))
        return data if crc32(data) == self.checksum else None
