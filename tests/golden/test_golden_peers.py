"""Bytes to and from clients, executors, the list's service, operators and the bench."""

from __future__ import annotations

import asyncio
import dataclasses
import io
import re
import socket
from collections.abc import Callable
from types import SimpleNamespace

import pytest
from golden_settings import BASE_SETTINGS

from firwalk.dispatcher import failure_gossip
from firwalk.dispatcher.dispatcher import Dispatcher, Endpoint, PendingRequest
from firwalk.net import (
    address,
    client_requests,
    clients,
    cluster_commands,
    discovery,
    executors,
    fields,
    http,
    listing,
    management,
)
from firwalk.net.budget import Budget
from firwalk.net.buffers import Buffers
from firwalk.policy.executor import UNKNOWN_NUMBER
from firwalk.policy.interface import EndpointState, Outcome
from firwalk.wirehost import codec
from firwalk.wirehost.__main__ import Wire

SETTINGS = BASE_SETTINGS | {
    "limits": {
        "most-assignments": 5,
        "probing": True,
        "connect-timeout-us": 250000,
        "max-retry-after-us": 2000000,
        "retry-after": True,
    },
}
HOST = b"Host: h\r\n"
TASK = (
    b"POST /put/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nX-Deadline: 1500m\r\nX-Cost-Hint: 9000\r\n"
    b"Idempotency-Key: i1\r\nContent-Length: 4\r\n\r\nbody"
)
LIST = (
    b'{"generation":4,"reset":true,"instances":[{"instanceId":"e1","hostPort":"127.0.0.1:9001","zone":"a",'
    b'"machineType":"m","cell":3,"lifecycle":"active","startedAtMs":1500,"weight":2}]}\n'
)
ENTRY = ("e1", ("127.0.0.1", 9001), "a", "m", 3, EndpointState.READY, 1.5, 2.0)


def new_desk() -> Dispatcher:
    """A node's decisions at a time that stands still."""
    return Dispatcher(SETTINGS, 7, lambda: 1000.0, lambda: None)


async def read_some(sock: socket.socket, enough: Callable[[bytes], bool]) -> bytes:
    """Bytes as they come, until there are enough, or the other side has ended."""
    sock.setblocking(False)
    data = b""
    while not enough(data):
        part = await asyncio.get_running_loop().sock_recv(sock, 65536)
        if not part:
            break
        data += part
    return data


def new_listener() -> socket.socket:
    """A stand-in for an executor or the list's service."""
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setblocking(False)
    return listener


# -- to and from executors -----------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("target", "headers", "body", "left_s", "message"),
    [
        (
            b"/put/k?x=1",
            {b"host": b"h:80", b"x-request-id": b"r1", b"idempotency-key": b"i1", b"x-tenant": b"t"},
            b"body",
            1.2345,
            b"POST /put/k?x=1 HTTP/1.1\r\nHost: h:80\r\nX-Request-Id: r1\r\nX-Deadline: 1234m\r\n"
            b"Idempotency-Key: i1\r\nContent-Length: 4\r\n\r\nbody",
        ),
        (
            b"/put",
            {b"x-request-id": b"r2"},
            b"",
            -1.0,
            b"POST /put HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: r2\r\nX-Deadline: 1m\r\n"
            b"Content-Length: 0\r\n\r\n",
        ),
    ],
)
def test_message_to_an_executor(target, headers, body, left_s, message):
    """The head that an executor gets, with the time that is left, one millisecond at least."""
    assert (
        client_requests.attempt_encoder(target, headers, body, 1000.0 + left_s, lambda: 1000.0)() == message
    )


def test_probe_of_an_executor():
    """The question for its load, and how the answer is read."""

    async def run() -> None:
        loop, listener, told = asyncio.get_running_loop(), new_listener(), loop_future()
        place = Endpoint("e1", listener.getsockname())
        dispatcher = SimpleNamespace(
            report_health_check=lambda place, how, took, load: told.set_result((how, load)),
            report_idle_connections=lambda place, count: None,
            should_keep_connections=lambda place: True,
        )
        pool = executors.Executors(dispatcher, Budget(64, 10**8), Buffers(), 1.0, 60.0)
        pool.check_health(place, 5.0)
        sock, _ = await loop.sock_accept(listener)
        port = place.address[1]
        assert await read_some(sock, lambda data: data.endswith(b"\r\n\r\n")) == (
            b"GET /_load HTTP/1.1\r\nHost: 127.0.0.1:%d\r\n\r\n" % port
        )
        sock.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n{"x0":2}')
        assert await told == (Outcome.COMPLETED, {"x0": 2})
        sock.close()
        listener.close()

    asyncio.run(run())


def loop_future() -> asyncio.Future:
    """A value that is still to come."""
    return asyncio.get_running_loop().create_future()


@pytest.mark.parametrize(
    ("answer", "reports"),
    [
        (
            b'HTTP/1.1 200 OK\r\nContent-Length: 82\r\n\r\n{"id":"r1","state":"started"}\n'
            b'{"id":"r1","state":"done","result":"made","load":{}}',
            ["start", (Outcome.COMPLETED, {}, b"made")],
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b'2d\r\n{"id":"r1","state":"running","share":0.5}\n\n\r\n\r\n'
            b'2b\r\n{"id":"r1","state":"done","result":{"a":1}}\r\n0\r\n\r\n',
            [0.5, (Outcome.COMPLETED, None, b'{"a":1}')],
        ),
        (
            b'HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\n{"id":"r1","state":"failed"}',
            [(Outcome.ERROR, None, b"")],
        ),
        (
            b'HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n{"id":"r1","state":"returned"}',
            [(Outcome.AT_CAPACITY, None, b"")],
        ),
        (
            b'HTTP/1.1 200 OK\r\nContent-Length: 26\r\n\r\n{"id":"r1","state":"lost"}',
            [(Outcome.CONNECTION_LOST, None, b"")],
        ),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", [(Outcome.CONNECTION_LOST, None, b"")]),
        (
            b'HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nX-Load: {"x0":9}\r\nContent-Length: 0\r\n\r\n',
            [(Outcome.AT_CAPACITY, {"x0": 9}, b"")],
        ),
        (b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", [(Outcome.ERROR, None, b"")]),
        (b"HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n", [(Outcome.INVALID, None, b"")]),
        (b"HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n", [(Outcome.ERROR, None, b"")]),
        (b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", [(Outcome.ERROR, None, b"")]),
    ],
)
def test_answer_of_an_executor(answer, reports):
    """What the decisions are told of an answer's bytes."""
    told = []
    dispatcher = SimpleNamespace(
        report_started=lambda pending, number: told.append("start"),
        report_progress=lambda pending, number, share: told.append(share),
        report_outcome=lambda pending, number, how, load, result: told.append((how, load, result)),
    )
    exchange = executors.AttemptCall(
        SimpleNamespace(dispatcher=dispatcher, attempts={}), PendingRequest(), 0, b"r1"
    )
    parser = http.ResponseParser(
        exchange.begin_response, exchange.receive_line, lambda keep: exchange.complete_response()
    )
    parser.feed(memoryview(answer))
    assert told == reports


# -- to and from clients -------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("status", "body", "keep", "advice", "text"),
    [
        (200, b"made", True, 0.0, b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmade"),
        (200, b"", False, 0.0, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"),
        (
            503,
            b"",
            True,
            0.25,
            b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 0.250\r\n\r\n",
        ),
        (
            503,
            b"",
            False,
            12.3456,
            b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 12.346\r\n"
            b"Connection: close\r\n\r\n",
        ),
        (418, b"", True, 0.0, b"HTTP/1.1 418 Answer\r\nContent-Length: 0\r\n\r\n"),
    ],
)
def test_answer_to_a_client(status, body, keep, advice, text):
    """Head and body of an answer."""
    assert http.encode_response(status, body, keep, advice) == text


@pytest.mark.parametrize(
    ("status", "first"),
    [
        (400, b"HTTP/1.1 400 Bad Request"),
        (404, b"HTTP/1.1 404 Not Found"),
        (405, b"HTTP/1.1 405 Method Not Allowed"),
        (408, b"HTTP/1.1 408 Request Timeout"),
        (409, b"HTTP/1.1 409 Conflict"),
        (413, b"HTTP/1.1 413 Content Too Large"),
        (429, b"HTTP/1.1 429 Too Many Requests"),
        (431, b"HTTP/1.1 431 Request Header Fields Too Large"),
        (500, b"HTTP/1.1 500 Internal Server Error"),
        (504, b"HTTP/1.1 504 Gateway Timeout"),
    ],
)
def test_error_to_a_client(status, first):
    """An error has no body."""
    assert http.encode_response(status) == first + b"\r\nContent-Length: 0\r\n\r\n"


def conversation(
    sent: bytes, answers: int, how: Outcome | None = None, listed: bool = True, gone: bool = False
) -> bytes:
    """What a client gets for its bytes, whose task ends so at the executor, if one is on the list. `gone`:
    new settings have left its offering out. With no outcome the executor says nothing."""

    async def run() -> bytes:
        dispatcher = new_desk()
        if listed:
            dispatcher.report_endpoint_list(1, True, [ENTRY])
        if gone:
            dispatcher.apply_settings(SETTINGS | {"offerings": [SETTINGS["offerings"][0] | {"name": "get"}]})

        def carry(pending, number, place, name, message, once) -> None:
            dispatcher.report_sending(pending, number)
            dispatcher.report_committing(pending, number)
            if how is not None:
                dispatcher.report_outcome(pending, number, how, None, b"made")

        carrier = SimpleNamespace(send_attempt=carry, cancel_attempt=lambda pending, number: None)
        door = clients.Clients(dispatcher, carrier, Budget(64, 10**8), Buffers(), dispatcher.monitor)
        ours, theirs = socket.socketpair()
        assert door.admit(ours)
        theirs.sendall(sent)
        async with asyncio.timeout(5):
            data = await read_some(theirs, lambda data: data.count(b"HTTP/1.1 ") >= answers)
        theirs.close()
        await asyncio.sleep(0.05)
        return data

    return asyncio.run(run())


@pytest.mark.parametrize(
    ("sent", "got"),
    [
        (b"GET /_health HTTP/1.1\r\n" + HOST + b"\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
        (b"GET /x HTTP/1.1\r\n" + HOST + b"\r\n", b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"),
        (
            b"PUT /_health HTTP/1.1\r\n" + HOST + b"\r\n",
            b"HTTP/1.1 405 Method Not Allowed\r\nContent-Length: 0\r\n\r\n",
        ),
        (
            TASK.replace(b"X-Request-Id: r1\r\n", b""),
            b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n",
        ),
        (TASK.replace(b"/put", b"/none"), b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"),
        (
            TASK.replace(b"Idempotency-Key: i1\r\n", b""),
            b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n",
        ),
        (
            TASK.replace(b"h: 4", b"h: 65537"),
            b"HTTP/1.1 413 Content Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
        ),
        (b"nonsense\r\n\r\n", b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"),
        (
            TASK.replace(b"Host: h\r\n", b"Host: h\r\nExpect: 100-continue\r\n").removesuffix(b"body"),
            b"HTTP/1.1 100 Continue\r\n\r\n",
        ),
    ],
)
def test_request_that_reaches_no_executor(sent, got):
    """The bytes of a request, and of its whole answer."""
    assert conversation(sent, 1) == got


@pytest.mark.parametrize(
    ("how", "got"),
    [
        (Outcome.COMPLETED, b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmade"),
        (
            Outcome.ERROR,
            b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 0.005\r\n\r\n",
        ),
        (
            Outcome.AT_CAPACITY,
            b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 0.005\r\n\r\n",
        ),
        (Outcome.INVALID, b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"),
    ],
)
def test_task_that_reaches_an_executor(how, got):
    """A result, an error of the only executor, its word that it is full, and that the task is bad."""
    assert conversation(TASK, 1, how) == got


def test_task_without_an_executor():
    """Nobody is on the list, and the time is short."""
    assert (
        conversation(TASK.replace(b"1500m", b"30m"), 1, listed=False)
        == b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 2.000\r\n\r\n"
    )


def test_task_of_an_offering_that_is_no_more():
    """New settings left it out: nothing of it has run, and it may come again."""
    assert (
        conversation(TASK, 1, gone=True)
        == b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nRetry-After: 2.000\r\n\r\n"
    )


def test_requests_behind_one_another():
    """A connection that says so ends behind its last answer."""
    sent = TASK + b"GET /_health HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    assert conversation(sent, 2, Outcome.COMPLETED) == (
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmadeHTTP/1.1 200 OK\r\nContent-Length: 0"
        b"\r\nConnection: close\r\n\r\n"
    )


@pytest.mark.parametrize(
    ("target", "headers", "name", "told"),
    [
        (
            b"/put/a/k?x=1",
            {
                b"x-request-id": b"r1",
                b"x-tenant": b"t\xe9",
                b"x-deadline": b"480m",
                b"x-cost-hint": b"9000",
                b"x-extras": b"slots=2, mem=1.5",
                b"x-retry": b"1",
                b"idempotency-key": b"i1",
            },
            b"r1",
            {
                "request_class": "put",
                "tenant": "té",
                "budget": 0.48,
                "cost": 0.009,
                "slots": 2.0,
                "memory": 1.5,
                "again": True,
                "marked": True,
                "key": b"k",
            },
        ),
        (
            b"/put",
            {b"x-request-id": b"r2", b"x-deadline": b"9000u"},
            b"r2",
            {
                "request_class": "put",
                "tenant": "",
                "budget": 0.009,
                "cost": 0.0,
                "slots": 1.0,
                "memory": 0.0,
                "again": False,
                "marked": False,
                "key": b"",
            },
        ),
    ],
)
def test_head_of_a_task_is_read(target, headers, name, told):
    """What the decisions are told of a task."""
    request_id, head = fields.read(target, headers)
    read = {
        "request_class": head.request_class,
        "tenant": head.tenant,
        "budget": head.budget_s,
        "cost": head.cost_s,
        "slots": head.slots,
        "memory": head.memory,
        "again": head.is_retry,
        "marked": head.has_idempotency_key,
        "key": head.routing_key,
    }
    assert (request_id, read) == (name, told)
    assert len(read) == len(dataclasses.fields(head))


@pytest.mark.parametrize(
    ("target", "headers"),
    [
        (b"/put", {}),
        (b"/put", {b"x-request-id": b"a b"}),
        (b"/put", {b"x-request-id": b"r1", b"x-deadline": b"1s"}),
        (b"/put", {b"x-request-id": b"r1", b"x-deadline": b"-1m"}),
        (b"/put", {b"x-request-id": b"r1", b"x-cost-hint": b"1e3"}),
        (b"/put", {b"x-request-id": b"r1", b"x-extras": b"slots"}),
        (b"/put", {b"x-request-id": b"r1", b"idempotency-key": b""}),
        (b"/", {b"x-request-id": b"r1"}),
        (b"/put/%2", {b"x-request-id": b"r1"}),
    ],
)
def test_head_of_a_task_is_refused(target, headers):
    """What an executor could not read, or would read otherwise."""
    with pytest.raises(fields.Unreadable):
        fields.read(target, headers)


# -- the list of executors -----------------------------------------------------------------------------------


@pytest.mark.parametrize("watch", [True, False])
def test_question_for_the_list(watch):
    """A watch says what it has, a single call does not; the answer is an update on one line."""

    async def run() -> None:
        loop, listener = asyncio.get_running_loop(), new_listener()
        dispatcher = new_desk()
        dispatcher.report_endpoint_list(3, True, [])
        asked = discovery.Discovery(dispatcher, Buffers(), listener.getsockname())
        asked.watch(True) if watch else asked.poll()
        sock, _ = await loop.sock_accept(listener)
        query = b"?follow=1&since=3" if watch else b""
        assert await read_some(sock, lambda data: data.endswith(b"\r\n\r\n")) == (
            b"GET /catalog/members%s HTTP/1.1\r\nHost: 127.0.0.1:%d\r\n\r\n" % (query, asked.address[1])
        )
        sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LIST) + LIST)
        await (asked.watch_task if watch else asked.poll_task)
        assert dispatcher.version == 4 and list(dispatcher.endpoints.values()) == [ENTRY]
        sock.close()
        listener.close()

    asyncio.run(run())


def test_update_is_read():
    """The same line, without sockets."""
    assert listing.read(LIST) == listing.Update(4, True, [ENTRY])


@pytest.mark.parametrize(
    ("instance", "entry"),
    [
        (
            b'{"instanceId":"e","hostPort":"[::1]:80"}',
            ("e", ("::1", 80), "", "", UNKNOWN_NUMBER, EndpointState.DRAINING, 0.0, 1.0),
        ),
        (
            b'{"instanceId":"e","hostPort":"127.0.0.1:80","lifecycle":"leaving","weight":0.5}',
            ("e", ("127.0.0.1", 80), "", "", UNKNOWN_NUMBER, EndpointState.DRAINING, 0.0, 1.0),
        ),
        (
            b'{"instanceId":"e","hostPort":"127.0.0.1:80","lifecycle":"left","cell":-1}',
            ("e", ("127.0.0.1", 80), "", "", UNKNOWN_NUMBER, EndpointState.REMOVED, 0.0, 1.0),
        ),
        (
            b'{"instanceId":"e","hostPort":"127.0.0.1:80","lifecycle":"new","zone":7,"startedAtMs":"x"}',
            ("e", ("127.0.0.1", 80), "", "", UNKNOWN_NUMBER, EndpointState.DRAINING, 0.0, 1.0),
        ),
    ],
)
def test_entry_is_read(instance, entry):
    """A field that tells nothing is taken as not given."""
    update = listing.read(b'{"generation":"5","instances":[%s]}' % instance)
    assert update == listing.Update(5, False, [entry])


@pytest.mark.parametrize(
    "instance",
    [b"1", b"{}", b'{"instanceId":"","hostPort":"127.0.0.1:80"}', b'{"instanceId":"e","hostPort":"h:80"}'],
)
def test_entry_is_left_out(instance):
    """An entry that names no executor."""
    assert listing.read(b'{"generation":5,"instances":[%s]}' % instance).entries == []


@pytest.mark.parametrize("text", [b"", b"[]", b'{"generation":5}', b'{"generation":5,"instances":{}}'])
def test_update_is_refused(text):
    """What is no update."""
    with pytest.raises(http.Malformed, match="^not a list of executors: "):
        listing.read(text)


@pytest.mark.parametrize(
    ("text", "pair", "header"),
    [
        ("127.0.0.1:80", ("127.0.0.1", 80), (b"Host", b"127.0.0.1:80")),
        ("[::1]:65535", ("::1", 65535), (b"Host", b"[::1]:65535")),
    ],
)
def test_address(text, pair, header):
    """An address in the list, and in a head."""
    assert address.parse_address(text) == pair
    assert address.host_header(pair) == header


# -- operators -----------------------------------------------------------------------------------------------


def call(line: bytes) -> bytes:
    """What the second address answers."""

    async def act(word: str, name: str = "") -> str:
        return "no such executor" if name == "e9" else ""

    async def show() -> tuple[str, str]:
        return "seat 1 of 3", ""

    async def start(rest: str) -> tuple[str, str]:
        return ("", "no file") if rest == "x" else (f"started {rest}", "")

    async def run() -> bytes:
        second = management.Management(4, act)
        second.commands["CLUSTER"], second.commands_with_argument["ROLL START "] = show, start
        await second.listen(("127.0.0.1", 0))
        with socket.create_connection(second.listener.getsockname()) as sock:
            sock.sendall(line)
            sock.shutdown(socket.SHUT_WR)
            async with asyncio.timeout(5):
                data = await read_some(sock, lambda data: False)
        second.close()
        return data

    return asyncio.run(run())


@pytest.mark.parametrize(
    ("line", "answer"),
    [
        (b"PING\n", b"+OK\n"),
        (b"PING\r\n", b"+OK\n"),
        (b"DETACH e1\n", b"+OK\n"),
        (b"ATTACH e9\n", b"-ERR no such executor\n"),
        (b"CLUSTER\n", b"+OK seat 1 of 3\n"),
        (b"ROLL START v2\n", b"+OK started v2\n"),
        (b"ROLL START x\n", b"-ERR no file\n"),
        (b"\n", b"-ERR an empty line; calls are PING, DETACH ID, ATTACH ID\n"),
        (b"ping\n", b"-ERR no such call; calls are PING, DETACH ID, ATTACH ID\n"),
        (b"PING e1\n", b"-ERR PING stands alone\n"),
        (b"DETACH\n", b"-ERR DETACH takes one id\n"),
        (b"DETACH  e1\n", b"-ERR words of plain text, one space between them\n"),
        (b"PING", b"-ERR a line without end\n"),
        (b"PING\nPING\n", b"-ERR one call to a connection\n"),
        (b"A" * 300, b"-ERR a line over the limit\n"),
        (b"", b""),
    ],
)
def test_call_of_an_operator(line, answer):
    """One line, and its answer."""
    assert call(line) == answer


@pytest.mark.parametrize(
    ("version", "line"),
    [
        (
            0,
            "seat 1 seats 3 up 3 suspect 0 coordinator 2 ballot 5.2.9 version 0 age none plan none dropped 3",
        ),
        (3, "seat 1 seats 3 up 3 suspect 0 coordinator 2 ballot 5.2.9 version 3 age 1.5 plan over dropped 3"),
    ],
)
def test_line_on_the_cluster(version, line):
    """How the fleet looks from a node; the age differs."""
    follower = SimpleNamespace(
        stamp=((5, 2, 9), version), leader_term=(5, 2, 9), taken_at=0.0, sections_in_force=lambda now: None
    )
    members = SimpleNamespace(counts=lambda: {"up": 3, "suspect": 0})
    one = SimpleNamespace(
        member=SimpleNamespace(follower=follower, members=members),
        number=1,
        addresses=["a", "b", "c"],
        dropped={"garbage": 2},
        unknown_sender_count=lambda: 1,
    )
    assert re.sub(r"age [0-9.]+", "age 1.5", cluster_commands.status_line(one)) == line


# -- the bench -----------------------------------------------------------------------------------------------

SIX = b"\x01\x02\x03\x04\x05\x06"
EVENTS = [
    (
        codec.ESTABLISHED,
        (3, 5, 1, SIX, 9),
        b"\n\x03\x00\x00\x00\x05\x00\x00\x00\x00\x00\x00\x00\x01\x01\x02\x03\x04\x05\x06\t\x00\x00\x00",
    ),
    (codec.DOWN, (3,), b"\x14\x03\x00\x00\x00"),
    (codec.DROPPED, (3, 5), b"\x1e\x03\x00\x00\x00\x05\x00\x00\x00\x00\x00\x00\x00"),
    (
        codec.HINT,
        (3, 5, SIX, 0.5, 1, 2),
        (b"(\x03\x00\x00\x00\x05\x00\x00\x00\x00\x00\x00\x00\x01\x02\x03\x04\x05\x06\x00\x00\x00?\x01\x02"),
    ),
    (codec.SHEET, (4, 2), b"2\x04\x02\x00\x00\x00"),
    (codec.TARGETS, (3, 1, 9, 4), b"<\x03\x00\x00\x00\x01\t\x00\x00\x00\x04"),
    (codec.SAID, (3, 2, 4), b"F\x03\x00\x00\x00\x02\x00\x04\x00"),
    (codec.TIMER, (3, 77), b"P\x03\x00\x00\x00M\x00\x00\x00\x00\x00\x00\x00"),
    (codec.INIT, (3, 7, 99), b"Z\x03\x00\x00\x00\x07\x00\x00\x00\x00\x00\x00\x00c\x00\x00\x00"),
    (
        codec.PINGED,
        (3, SIX, 13, 1500, 2),
        b"d\x03\x00\x00\x00\x01\x02\x03\x04\x05\x06\r\x00\xdc\x05\x00\x00\x02",
    ),
    (
        codec.ITEM,
        (3, 5, 1, 2, 6, 500000, 9000, 1.0, 2.5, 3),
        (
            b"n\x03\x00\x00\x00\x05\x00\x00\x00\x00\x00\x00\x00\x01\x00\x02\x00\x00\x00\x06\x00\x00"
            b"\x00\x00\x00\x00\x00 \xa1\x07\x00(#\x00\x00\x00\x00\x80?\x00\x00 @\x03"
        ),
    ),
    (
        codec.RESPONSE,
        (3, 5, SIX, 18500, 0, 1, 0, 13, 2),
        (
            b"x\x03\x00\x00\x00\x05\x00\x00\x00\x00\x00\x00\x00\x01\x02\x03\x04\x05\x06DH\x00\x00"
            b"\x00\x01\x00\r\x00\x02"
        ),
    ),
]
FRAMES = [
    (
        codec.HAND_OFF,
        (codec.DO_HAND_OFF, 3, 5, SIX, 500000),
        b"\n\x03\x00\x00\x00\x05\x00\x00\x00\x00\x00\x00\x00\x01\x02\x03\x04\x05\x06 \xa1\x07\x00",
    ),
    (
        codec.OVERLOAD_REPLY,
        (codec.DO_OVERLOAD_REPLY, 3, 5, 250000),
        b"\x14\x03\x00\x00\x00\x05\x00\x00\x00\x00\x00\x00\x00\x90\xd0\x03\x00",
    ),
    (codec.GIVE_UP, (codec.DO_GIVE_UP, 3, 5), b"\x1e\x03\x00\x00\x00\x05\x00\x00\x00\x00\x00\x00\x00"),
    (codec.CALL_OFF, (codec.DO_CALL_OFF, 3, 5, 1), b"(\x03\x00\x00\x00\x05\x00\x00\x00\x00\x00\x00\x00\x01"),
    (
        codec.HAND_OFF,
        (codec.DO_HAND_OFF, 2**32 - 1, 2**64 - 1, SIX, 2**32 - 1),
        b"\n\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\x01\x02\x03\x04\x05\x06\xff\xff\xff\xff",
    ),
    (
        codec.OVERLOAD_REPLY,
        (codec.DO_OVERLOAD_REPLY, 2**32 - 1, 2**64 - 1, 2**32 - 1),
        b"\x14\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff",
    ),
    (
        codec.DEFER,
        (codec.DO_DEFER, 2**32 - 1, 2**64 - 1, 2**64 - 2),
        b"2\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xfe\xff\xff\xff\xff\xff\xff\xff",
    ),
    (
        codec.DEFER,
        (codec.DO_DEFER, 3, 8423802, 77),
        b"2\x03\x00\x00\x00z\x89\x80\x00\x00\x00\x00\x00M\x00\x00\x00\x00\x00\x00\x00",
    ),
    (codec.PING, (codec.DO_PING, 3, SIX), b"<\x03\x00\x00\x00\x01\x02\x03\x04\x05\x06"),
    (codec.PING, (codec.DO_SHUT_IDLE, 3, SIX), b"F\x03\x00\x00\x00\x01\x02\x03\x04\x05\x06"),
    (codec.ANNOUNCE, (codec.DO_ANNOUNCE, 3, codec.EVERY_PEER, 4), b"P\x03\x00\x00\x00\xff\xff\x04\x00"),
    (codec.TEXT, (codec.DO_TRACE, 3, 10), b"Z\x03\x00\x00\x00\n\x00"),
    (codec.TEXT, (codec.DO_FATAL, 3, 10), b"d\x03\x00\x00\x00\n\x00"),
    (codec.WATCH, (codec.DO_WATCH, 3, True), b"n\x03\x00\x00\x00\x01"),
    (codec.QUERY_ALL, (codec.DO_QUERY_ALL, 3), b"x\x03\x00\x00\x00"),
    (
        codec.ENTRY,
        (0, 1, 2, 1.5, SIX, 1500000, 7),
        b"\x00\x01\x02\x00\x00\xc0?\x01\x02\x03\x04\x05\x06`\xe3\x16\x00\x00\x00\x00\x00\x07\x00",
    ),
    (
        codec.BATCH,
        (1, 12, 2, 8412250),
        b"\x01\x00\x00\x00\x0c\x00\x00\x00\x02\x00\x00\x00Z\\\x80\x00\x00\x00\x00\x00",
    ),
    (codec.REPLY, (1, 4, 0), b"\x01\x00\x00\x00\x04\x00\x00\x00\x00\x00\x00\x00"),
]


@pytest.mark.parametrize(("code", "values", "frame"), EVENTS)
def test_event_is_read(code, values, frame):
    """The fixed part of an event, with its code first."""
    assert frame[0] == code
    assert codec.EVENTS[code].unpack(frame) == values


@pytest.mark.parametrize(("shape", "values", "frame"), FRAMES)
def test_act_is_written(shape, values, frame):
    """An act's record with its code first; heads of batches and replies, and an entry of a list."""
    assert shape.pack(*values) == frame
    assert shape.unpack(frame) == values


def test_codes():
    """Codes of events, of acts, of outcomes and of conditions."""
    assert sorted(codec.EVENTS) == [10, 20, 30, 40, 50, 60, 70, 80, 90, 100, 110, 120]
    assert {code: outcome.name for code, outcome in codec.OUTCOMES.items()} == {
        0: "COMPLETED",
        13: "ERROR",
        8: "AT_CAPACITY",
        4: "TIMED_OUT",
        14: "CONNECT_FAILED",
        10: "CONNECTION_LOST",
        1: "CANCELLED",
        9: "NOT_SENT",
    }
    assert [codec.CONDITIONS[code].name for code in (0, 1, 2)] == ["REMOVED", "READY", "DRAINING"]


BATCHES = (
    b"\x01\x00\x00\x00h\x01\x00\x00\x04\x00\x00\x00Z\\\x80\x00\x00\x00\x00\x00Z\x03\x00\x00"
    b'\x00\x07\x00\x00\x00\x00\x00\x00\x00\xe0\x00\x00\x00{"discovery":"ask","siblings":20,'
    b'"resolution-us":5000,"offerings":[{"due-time-us":400000,"expiry-us":8000000,"repeat":'
    b'"safe","importance":5.0}],"limits":{"most-assignments":5,"second-copies":true,"cancel'
    b'":true,"peers":true}}2\x00\x02\x00\x00\x00\x00\x00\x01\x00\x00\x80?\x01\x02\x03\x04'
    b"\x05\x06\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x01\x00\x00\xc0?\x01\x02\x03"
    b"\x04\x05\x07\x00\x00\x00\x00\x00\x00\x00\x00\x01\x00<\x03\x00\x00\x00\x01\t\x00\x00"
    b"\x00\x00n\x03\x00\x00\x00\x05\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00"
    b"\x00\x00\x00\x00\x00\x00\x00\x80\x8d[\x00(#\x00\x00\x00\x00\x80?\x00\x00\x00\x00\x01"
    b"\x02\x00\x00\x00)\x00\x00\x00\x01\x00\x00\x00z\xaa\x80\x00\x00\x00\x00\x00x\x03\x00"
    b"\x00\x00\x05\x00\x00\x00\x00\x00\x00\x00\x01\x02\x03\x04\x05\x07 N\x00\x00\x00\x01"
    b"\x00\r\x00\x00"
)
REPLIES = (
    b"\x01\x00\x00\x00Z\x00\x00\x00\x04\x00\x00\x002\x03\x00\x00\x00[\\\x80\x00\x00\x00\x00"
    b"\x00\x01\x00\x00\x00\x00\x00\x00\x002\x03\x00\x00\x00\xab\x1f\x81\x00\x00\x00\x00\x00"
    b"\x02\x00\x00\x00\x00\x00\x00\x00\n\x03\x00\x00\x00\x05\x00\x00\x00\x00\x00\x00\x00"
    b"\x01\x02\x03\x04\x05\x07\x00\x00\x00\x002\x03\x00\x00\x00\xb3S\x86\x00\x00\x00\x00"
    b"\x00\x03\x00\x00\x00\x00\x00\x00\x00\x02\x00\x00\x00\x11\x00\x00\x00\x01\x00\x00\x00P"
    b"\x03\x00\x00\x00\xff\xff\x04\x00\xf6\xf1G\xb2"
)


def test_batches_and_replies():
    """A node begins, gets a list and a task, and sends it; then the executor fails, and is warned of."""
    sink = io.BytesIO()
    Wire(io.BytesIO(BATCHES), sink).run()
    assert sink.getvalue() == REPLIES
    assert REPLIES.endswith(failure_gossip.executor_checksum(SIX[:-1] + b"\x07"))


@pytest.mark.parametrize(
    ("frame", "fault"),
    [
        (b"\x01\x00", "input ended inside a batch header: 2 of 20 bytes"),
        (b"\x01\x00\x00\x00\x01\x00\x00\x00" + bytes(12), "batch 1: size 1 is less than its header"),
        (
            b"\x01\x00\x00\x00\x0d\x00\x00\x00\x01\x00\x00\x00" + bytes(8) + b"\x05",
            "batch 1: unknown record code 5 at byte 0",
        ),
    ],
)
def test_malformed_frame(frame, fault):
    """What does not follow the wire is told by what and where."""
    with pytest.raises(codec.Malformed, match=f"^{fault}$"):
        Wire(io.BytesIO(frame), io.BytesIO()).run()
