"""What two processes of one node say to each other: a task that goes over, and the lines of their socket."""

from __future__ import annotations

import asyncio
import socket
from types import SimpleNamespace

import orjson
import pytest
from golden_settings import BASE_SETTINGS

from firwalk.dispatcher import request_handover
from firwalk.dispatcher.dispatcher import Dispatcher, PendingRequest
from firwalk.net import control_channel, hot_restart, restart_messages, restart_predecessor, restart_successor
from firwalk.policy.interface import EndpointState, Idempotency, Outcome

SETTINGS = BASE_SETTINGS | {
    "limits": {
        "most-assignments": 5,
        "second-copies": True,
        "cancel": True,
        "probing": True,
        "peers": True,
        "connect-timeout-us": 250000,
        "max-retry-after-us": 2000000,
        "retry-after": True,
    },
}
ENTRIES = [
    (f"e{number}", ("127.0.0.1", 9000 + number), "a", "m", 0, EndpointState.READY, 0.0, 2.0)
    for number in (0, 1)
]
TASK_OF_AN_EARLIER_VERSION = (
    b'{"now":1000.75,"out":1,"due":1001.25,"expiry":1001.73,"task":[0.01,0.0100000000000000'
    b'04,1.0,0.19964063121005893,5.0,5,false],"offering":"put","terms":[1.0,2.0,5.0,1,0,5.0'
    b',0.0,-1],"assignments":[{"executor":"e1","address":["127.0.0.1",9001],"sent":1000.25,'
    b'"estimate":0.010000000000000004,"wait":0.0,"started":0.0,"may_have_run":true,"begun":'
    b'true},{"executor":"e0","address":["127.0.0.1",9000],"sent":1000.375,"estimate":0.0100'
    b'00000000000004,"wait":0.0,"started":1000.5,"may_have_run":true,"begun":true}]}'
)
TASK = TASK_OF_AN_EARLIER_VERSION.replace(b'"begun":true}', b'"begun":true,"zone":"a","cell":0}')
STATE = (
    b'{"state":{"version":4,"discovery":"127.0.0.1:7000","entries":[["e0",["127.0.0.1",9000'
    b'],"a","m",0,1,0.0,2.0],["e1",["127.0.0.1",9001],"a","m",0,1,0.0,2.0]],"out":{"out":{"'
    b'e1":1000.0},"back":{}}},"files":0}\n'
)
MOVED_BY_AN_EARLIER_VERSION = (
    b'{"task":{"now":1000.75,"out":1,"due":1001.25,"expiry":1001.73,"task":[0.01,0.01000000'
    b'0000000004,1.0,0.19964063121005893,5.0,5,false],"offering":"put","terms":[1.0,2.0,5.0'
    b',1,0,5.0,0.0,-1],"assignments":[{"executor":"e1","address":["127.0.0.1",9001],"sent":'
    b'1000.25,"estimate":0.010000000000000004,"wait":0.0,"started":0.0,"may_have_run":true,'
    b'"begun":true},{"executor":"e0","address":["127.0.0.1",9000],"sent":1000.375,"estimate'
    b'":0.010000000000000004,"wait":0.0,"started":1000.5,"may_have_run":true,"begun":true}]'
    b'},"at":1234.5,"keep":true,"bytes":["r1","/put/k","body\xc3\xbf","HTTP/1.1 200","host"'
    b',"h","x-tenant","\xc3\xa9"],"files":2}\n'
)
MOVED = MOVED_BY_AN_EARLIER_VERSION.replace(b'"begun":true}', b'"begun":true,"zone":"a","cell":0}')


class Clock:
    """Seconds that a test sets."""

    def __init__(self, now: float):
        """Begins at that time."""
        self.now = now

    def __call__(self) -> float:
        """The time now."""
        return self.now


def new_desk(clock: Clock) -> Dispatcher:
    """A node's decisions with two executors on its list."""
    dispatcher = Dispatcher(SETTINGS, 7, clock, lambda: None)
    dispatcher.report_endpoint_list(4, True, ENTRIES)
    return dispatcher


def task_under_way() -> tuple[Dispatcher, PendingRequest]:
    """A task whose first attempt ended in an error, and whose second one has begun and started."""
    clock = Clock(1000.0)
    dispatcher = new_desk(clock)
    clock.now = 1000.25
    pending = dispatcher.report_request("put", "", 1.5, 0.01, 1.0, 0.0, False, request_id="r1")
    for number in (0, 1):
        asyncio.run(dispatcher.next_action(pending))
        assert dispatcher.report_sending(pending, number) and dispatcher.report_committing(pending, number)
        clock.now += 0.125
        if number == 0:
            dispatcher.report_outcome(pending, 0, Outcome.ERROR)
    dispatcher.report_started(pending, 1)
    clock.now = 1000.75
    return dispatcher, pending


def new_succession(dispatcher: Dispatcher, link: SimpleNamespace | None = None) -> hot_restart.HotRestart:
    """A process's part in a replacement, with stand-ins for its connections."""
    service = SimpleNamespace(
        config={"listen": "127.0.0.1:8000", "discovery": "127.0.0.1:7000"},
        dispatcher=dispatcher,
        discovery=SimpleNamespace(on_update=None),
        has_management=False,
        files=64,
        limit=lambda descriptors, part: None,
        shared=lambda: [],
        clients=SimpleNamespace(moving=None, ending=False),
        is_stopping=lambda: False,
        executors=SimpleNamespace(
            transferable_connection=lambda pending, number: link,
            release_attempt=lambda pending, number: None,
        ),
    )
    return hot_restart.HotRestart(service)


async def read_lines(sock: socket.socket, count: int) -> bytes:
    """So many lines, as they come."""
    sock.setblocking(False)
    data = b""
    while data.count(b"\n") < count:
        data += await asyncio.get_running_loop().sock_recv(sock, 65536)
    return data


def said_state() -> bytes:
    """What the process before answers to a hello."""

    async def run() -> bytes:
        ours, theirs = socket.socketpair()
        dispatcher = new_desk(Clock(1000.0))
        dispatcher.detach_executor("e1")
        theirs.sendall(b'{"hello":1,"takes":["task"],"files":0}\n')
        work = asyncio.create_task(
            new_succession(dispatcher).as_predecessor.attend(control_channel.ControlChannel(ours))
        )
        data = await read_lines(theirs, 1)
        theirs.close()
        await work
        return data

    return asyncio.run(run())


def said_task() -> bytes:
    """The line with which a task goes over."""
    dispatcher, pending = task_under_way()

    async def run() -> bytes:
        ours, theirs = socket.socketpair()
        clients_own, links_own = socket.socketpair()
        line = control_channel.ControlChannel(ours)
        client = SimpleNamespace(
            pending=pending,
            last_request=(b"r1", b"/put/k", {b"host": b"h", b"x-tenant": b"\xe9"}, b"body\xff", True),
            sock=clients_own,
            busy=True,
            close=lambda reason: None,
        )
        new_succession(
            dispatcher, SimpleNamespace(response_bytes=b"HTTP/1.1 200", sock=links_own)
        ).as_predecessor._hand_over_request(line, client)
        data = await read_lines(theirs, 1)
        line.close()
        for sock in (theirs, clients_own, links_own):
            sock.close()
        return data

    return asyncio.run(run())


def test_task_is_packed():
    """A task with one attempt that ended and one that has started."""
    assert orjson.dumps(request_handover.export_request(*task_under_way()).to_wire()) == TASK


@pytest.mark.parametrize("task", [TASK, TASK_OF_AN_EARLIER_VERSION])
def test_task_is_unpacked(task):
    """Times move with the clock of the process that goes on: 500 s later here, and 2 s on the way."""
    dispatcher = new_desk(Clock(1502.75))
    pending = request_handover.resume_request(
        dispatcher, request_handover.HandedOverRequest.from_wire(orjson.loads(task)), 2.0, "r1"
    )
    request = pending.request
    zone = dispatcher.policy.zones[0]
    assert [(one.zone, one.cell) for one in request.attempts] == [(zone, 0), (zone, 0)]
    assert (
        request.hint,
        request.cost,
        request.slots,
        request.random_draw,
        request.value,
        request.max_attempts,
        request.is_committed,
    ) == (
        0.01,
        0.010000000000000004,
        1.0,
        0.19964063121005893,
        5.0,
        5,
        False,
    )
    assert (request.objective_at, request.deadline) == (1501.25, 1501.73)
    assert request.request_class is dispatcher.policy.request_classes[0]
    assert pending.committed == {0, 1} and pending.labels == ("put", "")
    told = [
        (one.executor.handle.name, one.sent_at, one.wait, one.started_at, one.may_have_run, one.is_in_flight)
        for one in request.attempts
    ]
    assert told == [("e1", 1500.25, 0.0, 0.0, True, False), ("e0", 1500.375, 0.0, 1500.5, True, True)]


def test_task_of_an_unknown_offering_keeps_its_terms():
    """The terms are due, expiry, importance, effect, group, seconds remembered, stretch and kind."""
    about = orjson.loads(TASK) | {"offering": "gone", "terms": [3.0, 4.0, 2.0, 1, 2, 60.0, 1.5, 0]}
    handed_over = request_handover.HandedOverRequest.from_wire(about)
    pending = request_handover.resume_request(new_desk(Clock(1000.75)), handed_over, 0.0)
    request_class = pending.request.request_class
    assert (request_class.latency_objective, request_class.deadline, request_class.priority_weight) == (
        3.0,
        4.0,
        2.0,
    )
    assert (request_class.idempotency, request_class.deduplication_scope) == (Idempotency.KEYED, 2)
    assert (request_class.key_ttl, request_class.objective_stretch, request_class.work_kind) == (60.0, 1.5, 0)


def test_state_is_said():
    """The process before answers a hello with its list and who is out."""
    assert said_state() == STATE


def test_state_is_learned():
    """The new process has the list and who is out from that line."""
    dispatcher = Dispatcher(SETTINGS, 7, Clock(1000.0), lambda: None)
    state = orjson.loads(STATE)["state"]
    dispatcher.restore_maintenance(state["out"])
    new_succession(dispatcher).as_successor._restore_endpoint_list(state)
    assert dispatcher.version == 4
    assert list(dispatcher.endpoints.values()) == ENTRIES
    assert dispatcher.maintenance.state() == {"out": {"e1": 1000.0}, "back": {}}
    assert dispatcher.executors["e1"].state is EndpointState.DRAINING


@pytest.mark.parametrize(
    ("discovery", "version", "is_used"),
    [("127.0.0.1:7000", 5, True), ("127.0.0.1:7000", 4, False), ("127.0.0.1:7001", 5, False)],
)
def test_update_is_learned(discovery, version, is_used):
    """An update that the process before has received counts here too: a newer one of the same service."""
    dispatcher = new_desk(Clock(1000.0))
    draining = ["e1", ["127.0.0.1", 9001], "a", "m", 0, int(EndpointState.DRAINING), 0.0, 2.0]
    wire = {"list": {"version": version, "discovery": discovery, "complete": False, "entries": [draining]}}
    message = restart_messages.decode(wire)
    assert message.to_wire()["list"]["entries"] == [
        ("e1", ("127.0.0.1", 9001), "a", "m", 0, EndpointState.DRAINING, 0.0, 2.0)
    ]
    new_succession(dispatcher).as_successor._handle(None, message, [])
    assert dispatcher.version == (5 if is_used else 4)
    expected = EndpointState.DRAINING if is_used else EndpointState.READY
    assert dispatcher.executors["e1"].state is expected
    assert dispatcher.executors["e0"].state is EndpointState.READY
    for malformed in ([["e1"]], ["e1"], None):
        with pytest.raises(restart_messages.MalformedMessage):
            restart_messages.decode({"list": wire["list"] | {"entries": malformed}})


def test_task_is_said(monkeypatch):
    """The whole line: the task, when it was told, and its bytes as Latin-1 text."""
    monkeypatch.setattr(restart_predecessor, "monotonic", lambda: 1234.5)
    assert said_task() == MOVED


@pytest.mark.parametrize("line", [MOVED, MOVED_BY_AN_EARLIER_VERSION])
def test_task_is_heard(line):
    """The line gives the message, and the task that the decisions go on with."""
    heard = []
    service_desk = new_desk(Clock(1000.75))
    process = new_succession(service_desk)
    process.service.clients = SimpleNamespace(
        resume=lambda sock, pending, message: heard.append((sock, pending.request.deadline, message))
    )
    process.service.executors.resume_attempt = lambda pending, number, sock, name, seen: heard.append(
        (sock, number, name, seen)
    )
    about = orjson.loads(line)
    about["at"] = restart_successor.monotonic()
    process.as_successor._resume_request(restart_messages.decode(about), "client", "link")
    message = (b"r1", b"/put/k", {b"host": b"h", b"x-tenant": b"\xe9"}, b"body\xff", True)
    assert heard[0][0] == "client" and heard[0][2] == message
    assert heard[0][1] == pytest.approx(1001.73, abs=0.5)
    assert heard[1] == ("link", 1, b"r1", b"HTTP/1.1 200")


@pytest.mark.parametrize(
    ("about", "line"),
    [
        ({"take": True}, b'{"take":true,"files":0}\n'),
        ({"yours": True}, b'{"yours":true,"files":0}\n'),
        (
            {"list": {"version": 5, "discovery": "127.0.0.1:7000", "complete": False, "entries": []}},
            b'{"list":{"version":5,"discovery":"127.0.0.1:7000","complete":false,"entries":[]},"files":0}\n',
        ),
        ({"holds": 40}, b'{"holds":40,"files":0}\n'),
        ({"reload": True}, b'{"reload":true,"files":0}\n'),
        ({"done": 3, "known": True}, b'{"done":3,"known":true,"files":0}\n'),
        ({"busy": False, "why": "\u00e4"}, b'{"busy":false,"why":"\xc3\xa4","files":0}\n'),
    ],
)
def test_line_both_ways(about, line):
    """A line is one JSON object, with the count of the descriptors beside it last."""

    async def run() -> None:
        ours, theirs = socket.socketpair()
        one = control_channel.ControlChannel(ours)
        one.send(dict(about))
        assert await read_lines(theirs, 1) == line
        theirs.sendall(line)
        assert await one.receive() == (about | {"files": 0}, [])
        one.close()
        theirs.close()

    asyncio.run(run())


def test_line_with_a_descriptor():
    """The descriptor goes beside its line."""

    async def run() -> None:
        ours, theirs = socket.socketpair()
        one, other = control_channel.ControlChannel(ours), control_channel.ControlChannel(theirs)
        kept, given = socket.socketpair()
        one.send({"client": True}, given, give=True)
        about, files = await other.receive()
        assert about == {"client": True, "files": 1} and len(files) == 1
        for thing in (one, other, kept, *files):
            thing.close()

    asyncio.run(run())


def test_questions_have_a_number():
    """An operator's call passed on, and what the other process says to it."""

    async def run() -> None:
        ours, theirs = socket.socketpair()
        line = control_channel.ControlChannel(ours)
        process = new_succession(new_desk(Clock(1000.0)))
        process.as_predecessor.channel = line
        work = asyncio.create_task(process.propagate_maintenance("e1", True, False))
        assert await read_lines(theirs, 1) == (b'{"out":"e1","on":true,"sure":false,"number":1,"files":0}\n')
        process.context.handle_operator_message(
            line, restart_messages.decode(orjson.loads(b'{"done":1,"known":true,"files":0}'))
        )
        assert await work is True
        process.context.handle_operator_message(
            line,
            restart_messages.decode(
                orjson.loads(b'{"out":"e0","on":true,"sure":false,"number":9,"files":0}')
            ),
        )
        assert await read_lines(theirs, 1) == b'{"done":9,"known":true,"files":0}\n'
        process.pass_on_reload()
        assert await read_lines(theirs, 1) == b'{"reload":true,"files":0}\n'
        line.close()
        theirs.close()

    asyncio.run(run())


def test_hello():
    """What a new process says first, and the state that it gets."""

    async def run() -> None:
        ours, theirs = socket.socketpair()
        meeting = SimpleNamespace(connect=lambda: control_channel.ControlChannel(ours))
        work = asyncio.create_task(restart_successor.connect_to_predecessor(meeting))
        assert await read_lines(theirs, 1) == b'{"hello":1,"takes":["task","ids"],"files":0}\n'
        theirs.sendall(b'{"state":{"version":4},"files":0}\n')
        line, state, files, hung = await work
        assert (state, files, hung) == ({"version": 4}, [], False)
        line.close()
        theirs.close()

    asyncio.run(run())


@pytest.mark.parametrize(
    ("told", "answer"),
    [
        (b'{"hello":2,"files":0}\n', b'{"busy":false,"why":"it is of another version","files":0}\n'),
        (b'{"hello":1,"files":0}\n', b'{"busy":true,"files":0}\n'),
    ],
)
def test_hello_is_refused(told, answer):
    """A process of another version, and one that comes while another one is there."""

    async def run() -> None:
        ours, theirs = socket.socketpair()
        process = new_succession(new_desk(Clock(1000.0)))
        process.as_predecessor.channel = SimpleNamespace()
        theirs.sendall(told)
        work = asyncio.create_task(process.as_predecessor.attend(control_channel.ControlChannel(ours)))
        assert await read_lines(theirs, 1) == answer
        theirs.close()
        await work

    asyncio.run(run())


def test_idle_connection_is_heard():
    """An idle connection goes over with its executor, since when it is idle, and its shortest way."""
    heard = []
    process = new_succession(new_desk(Clock(1000.0)))
    process.service.executors.adopt_idle = lambda place, sock, since, trip: heard.append(
        (place.name, sock, since, trip)
    )
    message = restart_messages.decode(orjson.loads(b'{"link":"e1","idle_since":12.5,"trip":null,"files":1}'))
    process.as_successor._adopt_idle_connection(message, "socket")
    assert heard == [("e1", "socket", 12.5, None)]
