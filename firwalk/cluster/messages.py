"""Messages between cluster members and their datagram codec.

A datagram has at most `MAX_DATAGRAM_BYTES`: a header (protocol version, checksum of the cluster's name, and
the sender's node id, generation and incarnation), then one message in MessagePack
(https://github.com/msgpack/msgpack/blob/master/spec.md), an array of a type tag and the fields in order.
A newer version only appends fields, and the decoder ignores those it does not know.
"""

from __future__ import annotations

import struct
from typing import Annotated, NamedTuple
from zlib import crc32

import msgspec
from msgspec import Meta, Struct

VERSION = 1
MAX_DATAGRAM_BYTES = 256  # IP never fragments datagrams of this size.
HEADER = struct.Struct(">BIHII")
MAX_UPDATES = 16  # A message carries at most this many membership updates.
MEMBERSHIP_UPDATE_BYTES = 16  # An encoded membership update is estimated to have at most this size.
MAX_PIECES = 62  # A mask of the pieces of a plan fits a signed 64-bit integer.
MAX_RESULT_BYTES = 180  # of text, as the next two; a datagram holds no more
MAX_ZONES = 8
MAX_QUOTA_ROWS = 8  # A quota request or grant has a row for each of at most this many tenants.
MAX_METRICS_ROWS = 3  # A message of rollout metrics has a row for each of at most this many request classes.
MAX_ROLLOUT_NAME_BYTES = 40
MAX_REASON_BYTES = 100
PIECE_BYTES = 176  # A piece carries at most this many bytes of an encoded plan.

NodeId = Annotated[int, Meta(ge=0, le=65535)]
Count = Annotated[int, Meta(ge=0, le=2**48)]
Generation = Annotated[int, Meta(ge=0, le=2**32 - 1)]
Checksum = Annotated[int, Meta(ge=0, le=2**32 - 1)]  # CRC-32.
StateCode = Annotated[int, Meta(ge=0, le=3)]
PieceMask = Annotated[int, Meta(ge=0, lt=2**62)]
UInt16 = Annotated[int, Meta(ge=0, le=65535)]
MAX_UINT32 = 2**32 - 1
MAX_MICRO_RATE = 2**48
UInt32 = Annotated[int, Meta(ge=0, le=MAX_UINT32)]
MicroRate = Annotated[int, Meta(ge=0, le=MAX_MICRO_RATE)]  # Millionths of work per second.
Ballot = tuple[Count, NodeId, Generation]  # Ballots are compared in this order of fields.
NO_BALLOT: Ballot = (0, 0, 0)


class MembershipUpdate(NamedTuple):
    """What one node knows of a member; `state` is a `firwalk.cluster.host.State`."""

    node_id: NodeId
    incarnation: Count
    generation: Generation
    state: StateCode


class ZoneObservation(NamedTuple):
    """Counts of one zone since the last report; capacity in thousandths of work per second."""

    zone: UInt16
    attempted: UInt16
    without_executor: UInt16
    failed: UInt16
    median_start_ms: UInt32
    capacity: UInt32


class QuotaRequestRow(NamedTuple):
    """One tenant's demand.

    `wanted`: rate that the sender demands; `granted`: rate that it holds; `answered_requests_ago`: how many
    requests ago the one was sent whose answer is in effect, 0 if none is any more.
    """

    tenant: UInt16
    wanted: MicroRate
    answered_requests_ago: Count
    granted: MicroRate


class QuotaGrantRow(NamedTuple):
    """The part of one tenant's quota that the receiver may spend."""

    tenant: UInt16
    granted: MicroRate


class RolloutMetricsRow(NamedTuple):
    """Counts of one request class since the sender started; latencies are logarithms of milliseconds."""

    class_checksum: Checksum
    requests: Count
    late: Count
    failed: Count
    rejected: Count
    errors: Count
    attempts: Count
    completed: Count
    log_latency_sum_thousandths: Count
    log_latency_square_sum_thousandths: Count


class MalformedMessage(Exception):
    """Raised for bytes that are no message of this cluster and version; its fixed text names a counter."""


class Ping(Struct, array_like=True, tag=1):
    """Checks that the receiver is up; `leader_term`: the newest leader's term that the sender knows."""

    number: Count
    leader_term: Ballot = NO_BALLOT
    updates: list[MembershipUpdate] = []


class Ack(Struct, array_like=True, tag=2):
    """Acknowledges the `Ping` with that number."""

    number: Count
    leader_term: Ballot = NO_BALLOT
    updates: list[MembershipUpdate] = []


class PingRequest(Struct, array_like=True, tag=3):
    """Asks the receiver to ping `node_id` on the sender's behalf."""

    number: Count
    node_id: NodeId
    updates: list[MembershipUpdate] = []


class Nack(Struct, array_like=True, tag=4):
    """Tells that the target of the `PingRequest` with that number has not answered the sender so far."""

    number: Count


class Prepare(Struct, array_like=True, tag=5):
    """Asks an acceptor to promise that it accepts no lower ballot."""

    ballot: Ballot


class Promise(Struct, array_like=True, tag=6):
    """Grants a `Prepare`; `accepted`: the ballot whose lease is in force at the acceptor, if any."""

    ballot: Ballot
    accepted: Ballot | None = None


class Refuse(Struct, array_like=True, tag=7):
    """Refuses a `Prepare` or a `Propose`; `highest`: the highest ballot that the acceptor has seen."""

    ballot: Ballot
    highest: Ballot


class Propose(Struct, array_like=True, tag=8):
    """Asks an acceptor for the lease; `generation`: the acceptor's, from the header of its `Promise`."""

    ballot: Ballot
    lease_ms: Count
    generation: Generation


class Accept(Struct, array_like=True, tag=9):
    """Grants the lease to the ballot."""

    ballot: Ballot


class Release(Struct, array_like=True, tag=10):
    """Returns the lease of this ballot early."""

    ballot: Ballot


class Report(Struct, array_like=True, tag=11):
    """Tells the leader which plan the sender follows, and which pieces of the next one it has received.

    `number`: identifies the report, so that the sender can date the answer from when it sent the report.
    """

    number: Count
    term: Ballot
    version: Count
    next_term: Ballot = NO_BALLOT
    next_version: Count = 0
    pieces: PieceMask = 0


class Answer(Struct, array_like=True, tag=12):
    """Tells which plan was in force at some time after the `Report` with that number was sent."""

    number: Count
    term: Ballot
    version: Count


class Piece(Struct, array_like=True, tag=13):
    """Carries one of `count` pieces of an encoded plan; `checksum`: of the whole encoded plan."""

    term: Ballot
    version: Count
    number: Annotated[int, Meta(ge=0, lt=MAX_PIECES)]
    count: Annotated[int, Meta(ge=1, le=MAX_PIECES)]
    checksum: Checksum
    data: Annotated[bytes, Meta(max_length=PIECE_BYTES)]


class Fetch(Struct, array_like=True, tag=14):
    """Asks for the plan that the receiver follows, on behalf of a new leader."""

    term: Ballot
    version: Count


class HealthObservations(Struct, array_like=True, tag=15):
    """Reports what the sender observed of each zone since its last regular report.

    `demand`: of the sender's clients, in thousandths of work per second; `early`: sent ahead of schedule,
    with observations that the next regular report repeats.
    """

    zone: UInt16
    demand: UInt32
    observations: Annotated[list[ZoneObservation], Meta(max_length=MAX_ZONES)]
    early: bool = False


class OperatorCommand(Struct, array_like=True, tag=16):
    """Sends an operator's command on a zone to the leader; `action`: drain, restore or dry (a dry run)."""

    number: Count
    action: Annotated[str, Meta(max_length=8)]
    zone: UInt16


class CommandResult(Struct, array_like=True, tag=17):
    """Tells whether the leader carried out a command; `text`: its output, or the reason if it did not."""

    number: Count
    done: bool
    text: Annotated[str, Meta(max_length=MAX_RESULT_BYTES)]


class QuotaRequest(Struct, array_like=True, tag=18):
    """Asks the leader for the quotas that the sender's clients need.

    `checksum`: of the contracts in use; `ready`: of the newest contracts that the sender has; `first` and
    `last`: range of the numbers of all requests of one round.
    """

    number: Count
    checksum: Checksum
    ready: Checksum
    rows: Annotated[list[QuotaRequestRow], Meta(max_length=MAX_QUOTA_ROWS)]
    first: Count = 0
    last: Count = 0


class QuotaGrant(Struct, array_like=True, tag=19):
    """Grants quotas; `lease_ms` counts from when the `QuotaRequest` with that number was sent."""

    number: Count
    checksum: Checksum
    lease_ms: Count
    rows: Annotated[list[QuotaGrantRow], Meta(max_length=MAX_QUOTA_ROWS)]


class RolloutMetrics(Struct, array_like=True, tag=20):
    """Reports what the sender counted since it started, for the canary analysis.

    `rollout`: number of the rollout that it follows; `release` and `tag`: checksums of what it runs;
    `memory`: in tenths of a megabyte; `contracts`: the version in use, 0 for none.
    """

    rollout: Count
    release: Checksum
    tag: Checksum
    zone: UInt16
    memory: UInt16
    rows: Annotated[list[RolloutMetricsRow], Meta(max_length=MAX_METRICS_ROWS)]
    contracts: Generation = 0


class RolloutCommand(Struct, array_like=True, tag=21):
    """Sends a command on a rollout to the leader.

    `action`: start, hold, resume, back, failed, page or dry; `argument`: checksum of the rollout's file, or
    the number that the command takes.
    """

    number: Count
    action: Annotated[str, Meta(max_length=8)]
    name: Annotated[str, Meta(max_length=MAX_ROLLOUT_NAME_BYTES)] = ""
    argument: Checksum = 0
    text: Annotated[str, Meta(max_length=MAX_REASON_BYTES)] = ""


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
GossipMessage = Ping | Ack | PingRequest  # These carry membership updates.


class ReceivedMessage(NamedTuple):
    """A decoded datagram: fields of the header, and the message."""

    node_id: int
    generation: int
    incarnation: int
    message: Message


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def cluster_checksum(name: str) -> int:
    """Return the CRC-32 of the cluster's name, by which clusters on one network are told apart."""
    return crc32(name.encode())


def encode(cluster_crc: int, node_id: int, generation: int, incarnation: int, message: Message) -> bytes:
    """Encode a datagram; drop membership updates that do not fit, the last ones first."""
    header = HEADER.pack(VERSION, cluster_crc, node_id, generation, incarnation)
    data = header + _encoder.encode(message)
    while len(data) > MAX_DATAGRAM_BYTES and isinstance(message, GossipMessage) and message.updates:
        excess = (len(data) - MAX_DATAGRAM_BYTES) // MEMBERSHIP_UPDATE_BYTES + 1
        message = msgspec.structs.replace(message, updates=message.updates[:-excess])
        data = header + _encoder.encode(message)
    return data


def decode(cluster_crc: int, data: bytes) -> ReceivedMessage:
    """Decode a datagram; raise `MalformedMessage` for any other bytes."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise MalformedMessage("too long")
    if len(data) < HEADER.size:
        raise MalformedMessage("cut short")
    version, sender_cluster_crc, node_id, generation, incarnation = HEADER.unpack_from(data)
    if version != VERSION:
        raise MalformedMessage("another version")
    if sender_cluster_crc != cluster_crc:
        raise MalformedMessage("another fleet")
    try:
        message = _decoder.decode(memoryview(data)[HEADER.size :])
    except (msgspec.DecodeError, RecursionError):
        raise MalformedMessage("garbage") from None
    if isinstance(message, GossipMessage) and len(message.updates) > MAX_UPDATES:
        raise MalformedMessage("garbage")
    return ReceivedMessage(node_id, generation, incarnation, message)
