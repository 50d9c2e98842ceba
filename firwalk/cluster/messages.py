"""What nodes tell one another about the cluster, as bytes: at most 256 a datagram.

A head of 15 bytes (version, the fleet's name as a CRC, the sender's seat, life and incarnation), then one
message in MessagePack (https://github.com/msgpack/msgpack/blob/master/spec.md): an array of a tag and the
fields in order. A newer version adds fields at the end, and those are passed over here.
"""

from __future__ import annotations

from struct import Struct as Layout
from typing import Annotated
from zlib import crc32

import msgspec
from msgspec import Meta, Struct

VERSION = 1
LONGEST = 256  # bytes of a datagram
HEAD = Layout(">BIHII")
MOST_NEWS = 16  # entries beside one message
MOST_PIECES = 62  # of a plan: a mask of them is a whole number of 64 bits
MOST_TEXT = 180  # letters of what is said to an operator
MOST_ZONES = 8  # that are told of
MOST_ROWS = 8  # teams in one question for parts of budgets
MOST_COUNTED = 3  # offerings in one message of figures
MOST_NAME = 40  # letters of a change's name
PIECE = 176  # bytes of a plan in one of them

NodeId = Annotated[int, Meta(ge=0, le=65535)]
Count = Annotated[int, Meta(ge=0, le=2**48)]
Generation = Annotated[int, Meta(ge=0, le=2**32 - 1)]
State = Annotated[int, Meta(ge=0, le=3)]
Ballot = tuple[Count, NodeId, Generation]  # compared in this order
MembershipUpdate = tuple[NodeId, Count, Generation, State]  # a seat, its incarnation, its life, how it is
NOBODY: Ballot = (0, 0, 0)


class MalformedMessage(Exception):
    """Bytes that are no message of this fleet and version; the text is a word for the count of such."""


class Ping(Struct, array_like=True, tag=1):
    number: Count
    office: Ballot = NOBODY  # the term of the newest coordinator that the sender knows of
    news: list[MembershipUpdate] = []


class Ack(Struct, array_like=True, tag=2):
    number: Count
    office: Ballot = NOBODY
    news: list[MembershipUpdate] = []


class PingRequest(Struct, array_like=True, tag=3):
    """Ask `seat` for me whether it is there."""

    number: Count
    seat: NodeId
    news: list[MembershipUpdate] = []


class Nack(Struct, array_like=True, tag=4):
    """The one that you had me ask has not answered so far; I am there."""

    number: Count


class Prepare(Struct, array_like=True, tag=5):
    ballot: Ballot


class Promise(Struct, array_like=True, tag=6):
    """`accepted`: the ballot that holds at the voter now, if one does."""

    ballot: Ballot
    accepted: Ballot | None = None


class Refuse(Struct, array_like=True, tag=7):
    """`highest`: the highest ballot that the voter has met."""

    ballot: Ballot
    highest: Ballot


class Propose(Struct, array_like=True, tag=8):
    """`life`: the voter's, as its promise had it; `length` in milliseconds."""

    ballot: Ballot
    length: Count
    generation: Generation


class Accept(Struct, array_like=True, tag=9):
    ballot: Ballot


class Release(Struct, array_like=True, tag=10):
    ballot: Ballot


class Report(Struct, array_like=True, tag=11):
    """What the sender follows, and which pieces it has of the plan that it puts together."""

    mark: Count
    term: Ballot
    version: Count
    next_term: Ballot = NOBODY
    next_version: Count = 0
    pieces: Annotated[int, Meta(ge=0, lt=2**62)] = 0


class Answer(Struct, array_like=True, tag=12):
    """From the coordinator: the plan that is in force, at some time after the mark was made."""

    mark: Count
    term: Ballot
    version: Count


class Piece(Struct, array_like=True, tag=13):
    term: Ballot
    version: Count
    number: Annotated[int, Meta(ge=0, lt=MOST_PIECES)]
    count: Annotated[int, Meta(ge=1, le=MOST_PIECES)]
    check: Generation  # CRC of the whole
    data: Annotated[bytes, Meta(max_length=PIECE)]


class Fetch(Struct, array_like=True, tag=14):
    """A new coordinator wants the plan that the other one follows."""

    term: Ballot
    version: Count


Small = Annotated[int, Meta(ge=0, le=65535)]
Amount = Annotated[int, Meta(ge=0, le=2**32 - 1)]


class HealthObservations(Struct, array_like=True, tag=15):
    """What the sender met in each zone since it told last: (zone, tried, found nobody, erred, median start in
    milliseconds, work a second that it bears in thousandths). `asks`: its clients' work, in thousandths.
    `early`: out of turn, and told once more with the next report."""

    zone: Small
    asks: Amount
    views: Annotated[list[tuple[Small, Small, Small, Small, Amount, Amount]], Meta(max_length=MOST_ZONES)]
    early: bool = False


class OperatorCommand(Struct, array_like=True, tag=16):
    """An operator's, from any node to the coordinator: `word` is drain, restore or dry."""

    number: Count
    word: Annotated[str, Meta(max_length=8)]
    zone: Small


class CommandResult(Struct, array_like=True, tag=17):
    """What the coordinator says to a wish; `done` false: with the reason why not."""

    number: Count
    done: bool
    text: Annotated[str, Meta(max_length=MOST_TEXT)]


Micro = Annotated[int, Meta(ge=0, le=2**48)]  # millionths of work a second


class QuotaRequest(Struct, array_like=True, tag=18):
    """What the sender's clients ask for of budgets. `check`: of the contracts that it goes by; `ready`: of
    the newest that it has; `rows`: (team, want, how many marks ago the question was whose answer it acts on,
    what it has). 0 marks ago: no answer to an earlier question counts for it any more. `first`, `last`: the
    marks of all that is asked in one turn."""

    mark: Count
    check: Generation
    ready: Generation
    rows: Annotated[list[tuple[Small, Micro, Count, Micro]], Meta(max_length=MOST_ROWS)]
    first: Count = 0
    last: Count = 0


class QuotaGrant(Struct, array_like=True, tag=19):
    """The coordinator's answer: `length` in milliseconds from when the mark was made; (team, its part)."""

    mark: Count
    check: Generation
    length: Count
    rows: Annotated[list[tuple[Small, Micro]], Meta(max_length=MOST_ROWS)]


class RolloutMetrics(Struct, array_like=True, tag=20):
    """What the sender counted since its life began: (checksum of the offering's name, tasks, late, abandoned,
    bounced, errors, assignments, finished, sum of the logarithms of milliseconds in thousandths, that of
    their squares). `change`: the number of the change that it follows; `release`, `tag`: checksums of what it
    runs; `memory` in tenths of a megabyte; `contracts`: the version of those that it goes by, 0: none."""

    change: Count
    release: Generation
    tag: Generation
    zone: Small
    memory: Small
    rows: Annotated[
        list[tuple[Generation, Count, Count, Count, Count, Count, Count, Count, Count, Count]],
        Meta(max_length=MOST_COUNTED),
    ]
    contracts: Generation = 0


class RolloutCommand(Struct, array_like=True, tag=21):
    """On a change, from any node to the coordinator, which says something to it (`Said`). `word`: start,
    hold, resume, back, failed, page, dry. `check`: of the file, or a number with the word."""

    number: Count
    word: Annotated[str, Meta(max_length=8)]
    name: Annotated[str, Meta(max_length=MOST_NAME)] = ""
    check: Generation = 0
    text: Annotated[str, Meta(max_length=100)] = ""


Message = (
    Ping
    | Ack
    | PingRequest
    | Nack
    | Prepare
    | Promise
    | Refuse
    | Propose
    | Accept
    | Release
    | Report
    | Answer
    | Piece
    | Fetch
    | HealthObservations
    | OperatorCommand
    | CommandResult
    | QuotaRequest
    | QuotaGrant
    | RolloutMetrics
    | RolloutCommand
)
NEWS = (Ping, Ack, PingRequest)  # the kinds that carry news

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def cluster_checksum(name: str) -> int:
    return crc32(name.encode())


def encode(fleet: int, seat: int, generation: int, incarnation: int, message: Message) -> bytes:
    """The bytes of a datagram; news that do not fit are left out, the last ones first."""
    head = HEAD.pack(VERSION, fleet, seat, generation, incarnation)
    data = head + _encoder.encode(message)
    while len(data) > LONGEST and isinstance(message, NEWS) and message.news:
        over = (len(data) - LONGEST) // 16 + 1
        message = msgspec.structs.replace(message, news=message.news[:-over])
        data = head + _encoder.encode(message)
    return data


def decode(fleet: int, data: bytes) -> tuple[int, int, int, Message]:
    """Seat, life and incarnation of the sender, and the message; Unreadable."""
    if len(data) > LONGEST:
        raise MalformedMessage("too long")
    if len(data) < HEAD.size:
        raise MalformedMessage("cut short")
    version, mark, seat, generation, incarnation = HEAD.unpack_from(data)
    if version != VERSION:
        raise MalformedMessage("another version")
    if mark != fleet:
        raise MalformedMessage("another fleet")
    try:
        message = _decoder.decode(memoryview(data)[HEAD.size :])
    except (msgspec.DecodeError, RecursionError):
        raise MalformedMessage("garbage") from None
    if isinstance(message, NEWS) and len(message.news) > MOST_NEWS:
        raise MalformedMessage("garbage")
    return seat, generation, incarnation, message
