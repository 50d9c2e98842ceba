"""The datagram codec: encoded messages are bounded, and any bytes decode to a message or are malformed."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from firwalk.cluster import messages as m

CLUSTER_CRC = m.cluster_checksum("a fleet")
LARGEST_BALLOT = (2**48, 65535, 2**32 - 1)


@pytest.mark.parametrize(
    "message",
    [
        m.Ping(2**48, LARGEST_BALLOT, [(65535, 2**48, 2**32 - 1, 3)] * m.MAX_UPDATES),
        m.Promise(LARGEST_BALLOT, LARGEST_BALLOT),
        m.Refuse(LARGEST_BALLOT, LARGEST_BALLOT),
        m.Propose(LARGEST_BALLOT, 2**48, 2**32 - 1),
        m.Report(2**48, LARGEST_BALLOT, 2**48, LARGEST_BALLOT, 2**48, 2**62 - 1),
        m.HealthObservations(65535, 2**32 - 1, [(65535,) * 4 + (2**32 - 1,) * 2] * m.MAX_ZONES),
        m.OperatorCommand(2**48, "restore", 65535),
        m.CommandResult(2**48, True, "x" * m.MAX_RESULT_BYTES),
        m.Answer(2**48, LARGEST_BALLOT, 2**48),
        m.Fetch(LARGEST_BALLOT, 2**48),
        m.Piece(LARGEST_BALLOT, 2**48, 61, 62, 2**32 - 1, b"x" * m.PIECE_BYTES),
    ],
    ids=lambda message: type(message).__name__,
)
def test_the_largest_message_of_each_type_fits_a_datagram(message):
    data = m.encode(CLUSTER_CRC, 65535, 2**32 - 1, 2**32 - 1, message)
    assert len(data) <= m.MAX_DATAGRAM_BYTES
    node_id, generation, incarnation, decoded = m.decode(CLUSTER_CRC, data)
    assert (node_id, generation, incarnation) == (65535, 2**32 - 1, 2**32 - 1) and type(decoded) is type(
        message
    )
    assert not isinstance(message, m.GossipMessage) or len(decoded.updates) >= 8


def test_each_reason_for_a_malformed_message_has_its_own_text():
    data = m.encode(CLUSTER_CRC, 1, 2, 3, m.Nack(4))
    for datagram, reason in (
        (b"\x02" + data[1:], "another version"),
        (data[:9], "cut short"),
        (data + b"x" * 256, "too long"),
        (data[:-1], "garbage"),
    ):
        with pytest.raises(m.MalformedMessage, match=reason):
            m.decode(CLUSTER_CRC, datagram)
    with pytest.raises(m.MalformedMessage, match="another fleet"):
        m.decode(m.cluster_checksum("other"), data)


def test_fields_that_a_newer_version_appends_are_ignored():
    data = m.HEADER.pack(m.VERSION, CLUSTER_CRC, 1, 2, 3) + msgspec.msgpack.encode(
        [4, 77, "new", {"more": 1}]
    )
    assert m.decode(CLUSTER_CRC, data)[3] == m.Nack(77)


@settings(max_examples=600, deadline=None, derandomize=True)
@given(st.binary(max_size=300), st.booleans())
def test_random_bytes_are_decoded_or_malformed(random_bytes, has_header):
    data = m.HEADER.pack(m.VERSION, CLUSTER_CRC, 1, 2, 3) + random_bytes[:240] if has_header else random_bytes
    try:
        m.decode(CLUSTER_CRC, data)
    except m.MalformedMessage:
        pass


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(min_size=1, max_size=8), st.integers(0, 200))
def test_a_corrupted_datagram_is_decoded_or_malformed(random_bytes, offset):
    data = bytearray(m.encode(CLUSTER_CRC, 1, 2, 3, m.Ping(9, LARGEST_BALLOT, [(1, 2, 3, 0)] * 10)))
    data[offset : offset + len(random_bytes)] = random_bytes
    try:
        m.decode(CLUSTER_CRC, bytes(data))
    except m.MalformedMessage:
        pass
