"""What clients can make the process keep: the memory pool, the parser's charges and the bytes read ahead."""

import socket

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firwalk.limits.fair_share import BURST_S, MAX_DEBT_S, REFILL_SHARE, TurnQueue, WorkAccount
from firwalk.limits.memory import SMALL_MESSAGE_BYTES, MemoryCharge, MemoryPool, MemoryUse
from firwalk.net import http
from firwalk.net.buffers import Buffers
from firwalk.net.client_input import MAX_UNPARSED_BYTES, SLICE_BYTES, ClientInput

POOL_BYTES = 1_000_000
ELEMENTS = [
    b"POST /read/k HTTP/1.1\r\n",
    b"Host: h\r\n",
    b"X-Request-Id: t1\r\n",
    b"A:\r\n",
    b"X-Long: " + b"v" * 3000,
    b"Content-Length: 5\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"\r\n",
    b"2\r\nbb\r\n",
    b"1;extension=" + b"e" * 2000,
    b"0\r\n",
    b"body!",
    b"/" * 2000,
]


# -- the pool ------------------------------------------------------------------------------------------------


@given(
    st.lists(st.tuples(st.integers(0, 4), st.integers(0, 300_000), st.sampled_from(MemoryUse)), max_size=60)
)
def test_charges_stay_within_the_pool_and_are_returned(steps):
    pool = MemoryPool(POOL_BYTES)
    charges = [MemoryCharge(pool, use) for use in [*MemoryUse, *MemoryUse, MemoryUse.INPUT]]
    for index, size_bytes, _ in steps:
        if not charges[index].grow(size_bytes):
            charges[index].release()
        assert pool.used_bytes == sum(charge.size_bytes for charge in charges) <= POOL_BYTES
    for charge in charges:
        charge.release()
        charge.release()  # has no further effect
    assert pool.used_bytes == 0


# Guards against small requests that are refused since large ones fill the memory.
def test_large_messages_leave_room_for_small_ones_and_input_for_responses():
    pool = MemoryPool(POOL_BYTES)
    charges = []
    for size_bytes, use in ((60_000, MemoryUse.INPUT), (4_000, MemoryUse.INPUT), (4_000, MemoryUse.RESPONSE)):
        count = 0
        while (charge := MemoryCharge(pool, use)).grow(size_bytes):
            charges.append(charge)
            count += 1
        assert count * size_bytes > POOL_BYTES / 8, use
    assert 4_000 < SMALL_MESSAGE_BYTES < 60_000


# Guards against answers that are lost since the limit was halved for a second process.
def test_responses_have_room_when_the_limit_becomes_smaller():
    pool = MemoryPool(POOL_BYTES)
    held = MemoryCharge(pool, MemoryUse.INPUT)
    assert held.grow(POOL_BYTES // 2)
    pool.set_limit(POOL_BYTES // 4)
    assert not MemoryCharge(pool, MemoryUse.INPUT).grow(1)
    response = MemoryCharge(pool, MemoryUse.RESPONSE)
    assert response.grow(POOL_BYTES // 20)
    response.release()
    held.release()
    assert pool.used_bytes == pool.response_bytes == 0


# -- the parser ----------------------------------------------------------------------------------------------


@given(st.lists(st.sampled_from(ELEMENTS), max_size=60), st.integers(1, 2000))
def test_the_memory_of_messages_is_charged_and_returned(elements, slice_bytes):
    pool = MemoryPool(POOL_BYTES)
    requests = []
    parser = http.RequestParser(requests.append, pool)
    data = b"".join(elements)
    fed = 0
    try:
        for start in range(0, len(data), slice_bytes):
            part = data[start : start + slice_bytes]
            parser.feed(part)
            fed += len(part)
            assert parser.element_bytes <= http.MAX_ELEMENT_BYTES
            if parser.is_partial:
                held = sum(map(len, parser.headers.values())) + len(parser.target) + len(parser.body)
                # The first slice of a message is part of the memory of its connection.
                assert parser.charge.size_bytes + slice_bytes >= held
    except http.Malformed:
        pass
    parser.discard()
    for request in requests:
        assert request.charge.size_bytes >= http.MESSAGE_OBJECT_BYTES + http.BODY_COPIES * len(request.body)
        request.charge.release()
    assert pool.used_bytes == 0


# Guards against elements of a message that the parser library keeps without a bound.
@pytest.mark.parametrize(
    ("start", "piece"),
    [
        (b"POST /read/k HTTP/1.1\r\nX: ", b"v" * 1024),
        (b"POST /read/k HTTP/1.1\r\n", b"n" * 1024),
        (b"POST /read/k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ", b"v" * 1024),
        (b"POST /read/k HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;x=", b"v" * 1024),
        (b"POST /", b"t" * 1024),
        (b"", b"\r\n" * 512),
        (b"POST /read/k HTTP/1.1\r\n", b"A: b\r\n" * 170),
        (b"POST /read/k HTTP/1.1\r\nX:", b" " * 1024),
    ],
)
def test_an_element_without_an_end_is_refused(start, piece):
    pool = MemoryPool(POOL_BYTES)
    parser = http.RequestParser(lambda request: None, pool)
    parser.feed(start)
    with pytest.raises(http.Malformed):
        for _ in range(2 * http.MAX_ELEMENT_BYTES // len(piece) + 2):
            parser.feed(piece)
    assert pool.used_bytes <= 2 * http.MAX_ELEMENT_BYTES + http.MESSAGE_OBJECT_BYTES


def test_other_header_fields_than_the_needed_ones_are_not_kept():
    requests = []
    parser = http.RequestParser(requests.append, MemoryPool(POOL_BYTES))
    others = b"".join(b"X-Other-%d: %s\r\n" % (number, b"v" * 50) for number in range(100))
    parser.feed(
        b"POST /read/k HTTP/1.1\r\nHost: h\r\n" + others + b"X-Request-Id: t1\r\nContent-Length: 0\r\n\r\n"
    )
    assert requests[0].headers == {b"host": b"h", b"x-request-id": b"t1", b"content-length": b"0"}


# -- shares --------------------------------------------------------------------------------------------------


@given(st.lists(st.tuples(st.floats(0.0, 0.1), st.floats(0.0, 0.05)), min_size=1, max_size=50))
def test_a_connection_has_its_share_and_is_forgiven_after_a_pause(steps):
    account, now = WorkAccount(0.0), 0.0
    for pause_s, work_s in steps:
        now += pause_s
        account.charge(now, work_s)
    pause_s = (MAX_DEBT_S + BURST_S) / REFILL_SHARE + 0.001
    assert account.has_tokens(now + pause_s)
    account.charge(now + pause_s, 2 * BURST_S)
    assert not account.has_tokens(now + pause_s)


def test_turns_are_given_in_the_order_of_arrival():
    turns = TurnQueue()
    for number in range(5):
        turns.append(number)
    assert [turns.next() for _ in range(6)] == [0, 1, 2, 3, 4, None]


# -- reading ahead ------------------------------------------------------------------------------------------


def new_input(pool_bytes=POOL_BYTES):
    ours, theirs = socket.socketpair()
    ours.setblocking(False)
    theirs.setblocking(False)
    theirs.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 2 * MAX_UNPARSED_BYTES)
    return ClientInput(ours, Buffers(), MemoryPool(pool_bytes)), ours, theirs


# Guards against a client whose end is hidden behind bytes that are not read.
def test_the_end_of_a_client_is_seen_behind_unparsed_bytes():
    client_input, ours, theirs = new_input()
    theirs.send(b"x" * (MAX_UNPARSED_BYTES // 2))
    assert client_input.refresh() and client_input.has_unparsed()
    theirs.close()
    assert not client_input.refresh() and client_input.has_ended
    ours.close()


def test_reading_ahead_is_limited_and_goes_on_as_bytes_are_parsed():
    client_input, ours, theirs = new_input()
    sent = 0
    while True:
        try:
            sent += theirs.send(bytes(16384))
        except BlockingIOError:
            break
    assert sent > MAX_UNPARSED_BYTES + SLICE_BYTES
    assert not client_input.refresh() and client_input.is_overrun and not client_input.has_ended
    parsed = 0
    while client_input.has_unparsed():
        part = client_input.next_slice()
        assert 0 < len(part.data) <= SLICE_BYTES
        parsed += len(part.data)
        client_input.receive()
    assert parsed == sent and client_input.refresh()
    for sock in (ours, theirs):
        sock.close()


# Guards against a pool that is filled by looking again at a client that sends nothing more.
def test_looking_again_at_the_socket_charges_nothing_more():
    client_input, ours, theirs = new_input()
    theirs.send(bytes(20_000))
    client_input.receive()
    for _ in range(50):
        client_input.refresh()
    assert client_input._charge._pool.used_bytes < 2 * 20_000
    for sock in (ours, theirs):
        sock.close()


@pytest.mark.parametrize("pool_bytes", [0, 20_000, POOL_BYTES])
def test_bytes_read_ahead_are_charged_and_returned(pool_bytes):
    client_input, ours, theirs = new_input(pool_bytes)
    theirs.send(bytes(60_000))
    client_input.receive()
    pool = client_input._charge._pool
    assert pool.used_bytes <= pool_bytes and client_input.has_unparsed()
    client_input.discard()
    assert pool.used_bytes == 0 and not client_input.has_unparsed()
    for sock in (ours, theirs):
        sock.close()
