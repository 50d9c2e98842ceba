"""Bytes between nodes: bounded, and whatever arrives is a message or counted as unreadable."""

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from firwalk.cluster import messages as m

FLEET = m.cluster_checksum("a fleet")
LARGE = (2**48, 65535, 2**32 - 1)


@pytest.mark.parametrize(
    "message",
    [
        m.Ping(2**48, LARGE, [(65535, 2**48, 2**32 - 1, 3)] * m.MAX_UPDATES),
        m.Promise(LARGE, LARGE),
        m.Refuse(LARGE, LARGE),
        m.Propose(LARGE, 2**48, 2**32 - 1),
        m.Report(2**48, LARGE, 2**48, LARGE, 2**48, 2**62 - 1),
        m.HealthObservations(65535, 2**32 - 1, [(65535,) * 4 + (2**32 - 1,) * 2] * m.MAX_ZONES),
        m.OperatorCommand(2**48, "restore", 65535),
        m.CommandResult(2**48, True, "x" * m.MAX_RESULT_CHARS),
        m.Answer(2**48, LARGE, 2**48),
        m.Fetch(LARGE, 2**48),
        m.Piece(LARGE, 2**48, 61, 62, 2**32 - 1, b"x" * m.PIECE_BYTES),
    ],
    ids=lambda message: type(message).__name__,
)
def test_the_largest_of_each_kind_fits(message):
    data = m.encode(FLEET, 65535, 2**32 - 1, 2**32 - 1, message)
    assert len(data) <= m.MAX_DATAGRAM_BYTES
    seat, generation, incarnation, back = m.decode(FLEET, data)
    assert (seat, generation, incarnation) == (65535, 2**32 - 1, 2**32 - 1) and type(back) is type(message)
    assert not isinstance(message, m.GossipMessage) or len(back.updates) >= 8


def test_another_fleet_version_and_length_are_told_apart():
    data = m.encode(FLEET, 1, 2, 3, m.Nack(4))
    for bad, word in (
        (b"\x02" + data[1:], "another version"),
        (data[:9], "cut short"),
        (data + b"x" * 256, "too long"),
        (data[:-1], "garbage"),
    ):
        with pytest.raises(m.MalformedMessage, match=word):
            m.decode(FLEET, bad)
    with pytest.raises(m.MalformedMessage, match="another fleet"):
        m.decode(m.cluster_checksum("other"), data)


def test_fields_that_a_newer_version_adds_are_passed_over():
    data = m.HEADER.pack(m.VERSION, FLEET, 1, 2, 3) + msgspec.msgpack.encode([4, 77, "new", {"more": 1}])
    assert m.decode(FLEET, data)[3] == m.Nack(77)


@settings(max_examples=600, deadline=None, derandomize=True)
@given(st.binary(max_size=300), st.booleans())
def test_garbage_is_a_message_or_unreadable(noise, headed):
    data = m.HEADER.pack(m.VERSION, FLEET, 1, 2, 3) + noise[:240] if headed else noise
    try:
        m.decode(FLEET, data)
    except m.MalformedMessage:
        pass


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.binary(min_size=1, max_size=8), st.integers(0, 200))
def test_a_spoilt_datagram_never_raises_anything_else(noise, at):
    data = bytearray(m.encode(FLEET, 1, 2, 3, m.Ping(9, LARGE, [(1, 2, 3, 0)] * 10)))
    data[at : at + len(noise)] = noise
    try:
        m.decode(FLEET, bytes(data))
    except m.MalformedMessage:
        pass
