"""What two processes of one node say to each other: a task that goes over, and the lines of their socket."""

from __future__ import annotations

import asyncio
import socket
from types import SimpleNamespace

import orjson
import pytest

from firwalk import moving
from firwalk.facade import Desk, Errand
from firwalk.host import Condition, Effect, Outcome
from firwalk.net import handover, succession

SETTINGS = {
    "offerings": [
        {
            "name": "put",
            "due-time-us": 1000000,
            "expiry-us": 2000000,
            "repeat": "keyed",
            "group": "all",
            "key-ttl-us": 5000000,
            "importance": 5.0,
        }
    ],
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
    "discovery": "ask",
    "resolution-us": 5000,
    "specifics": {"tells-start": True},
    "load-report": {"how": "on_probe"},
    "azs": ["a"],
    "kinds": ["m"],
}
ENTRIES = [
    (f"e{number}", ("127.0.0.1", 9000 + number), "a", "m", 0, Condition.READY, 0.0, 2.0) for number in (0, 1)
]
TASK = (
    b'{"now":1000.75,"out":1,"due":1001.25,"expiry":1001.73,"task":[0.01,0.0100000000000000'
    b'04,1.0,0.19964063121005893,5.0,5,false],"offering":"put","terms":[1.0,2.0,5.0,1,0,5.0'
    b',0.0,-1],"assignments":[{"executor":"e1","address":["127.0.0.1",9001],"sent":1000.25,'
    b'"estimate":0.010000000000000004,"wait":0.0,"started":0.0,"may_have_run":true,"begun":'
    b'true},{"executor":"e0","address":["127.0.0.1",9000],"sent":1000.375,"estimate":0.0100'
    b'00000000000004,"wait":0.0,"started":1000.5,"may_have_run":true,"begun":true}]}'
)
STATE = (
    b'{"state":{"version":4,"discovery":"127.0.0.1:7000","entries":[["e0",["127.0.0.1",9000'
    b'],"a","m",0,1,0.0,2.0],["e1",["127.0.0.1",9001],"a","m",0,1,0.0,2.0]],"out":{"out":{"'
    b'e1":1000.0},"back":{}}},"files":0}\n'
)
MOVED = (
    b'{"task":{"now":1000.75,"out":1,"due":1001.25,"expiry":1001.73,"task":[0.01,0.01000000'
    b'0000000004,1.0,0.19964063121005893,5.0,5,false],"offering":"put","terms":[1.0,2.0,5.0'
    b',1,0,5.0,0.0,-1],"assignments":[{"executor":"e1","address":["127.0.0.1",9001],"sent":'
    b'1000.25,"estimate":0.010000000000000004,"wait":0.0,"started":0.0,"may_have_run":true,'
    b'"begun":true},{"executor":"e0","address":["127.0.0.1",9000],"sent":1000.375,"estimate'
    b'":0.010000000000000004,"wait":0.0,"started":1000.5,"may_have_run":true,"begun":true}]'
    b'},"at":1234.5,"keep":true,"bytes":["r1","/put/k","body\xc3\xbf","HTTP/1.1 200","host"'
    b',"h","x-tenant","\xc3\xa9"],"files":2}\n'
)


class Clock:
    """Seconds that a test sets."""

    def __init__(self, now: float):
        """Begins at that time."""
        self.now = now

    def __call__(self) -> float:
        """The time now."""
        return self.now


def new_desk(clock: Clock) -> Desk:
    """A node's decisions with two executors on its list."""
    desk = Desk(SETTINGS, 7, clock, lambda: None)
    desk.report_list(4, True, ENTRIES)
    return desk


def task_under_way() -> tuple[Desk, Errand]:
    """A task whose first attempt ended in an error, and whose second one has begun and started."""
    clock = Clock(1000.0)
    desk = new_desk(clock)
    clock.now = 1000.25
    errand = desk.report_task("put", "", 1.5, 0.01, 1.0, 0.0, False, request_id="r1")
    for number in (0, 1):
        asyncio.run(desk.pick(errand))
        assert desk.report_sending(errand, number) and desk.report_last_byte(errand, number)
        clock.now += 0.125
        if number == 0:
            desk.report_outcome(errand, 0, Outcome.ERROR)
    desk.report_start(errand, 1)
    clock.now = 1000.75
    return desk, errand


def new_succession(desk: Desk, link: SimpleNamespace | None = None) -> succession.Succession:
    """A process's part in a replacement, with stand-ins for its connections."""
    service = SimpleNamespace(
        config={"listen": "127.0.0.1:8000", "discovery": "127.0.0.1:7000"},
        desk=desk,
        managed=False,
        files=64,
        limit=lambda descriptors, part: None,
        shared=lambda: [],
        clients=SimpleNamespace(moving=None, ending=False),
        told_to_stop=lambda: False,
        executors=SimpleNamespace(carrying=lambda errand, number: link, let_go=lambda errand, number: None),
    )
    return succession.Succession(service)


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
        desk = new_desk(Clock(1000.0))
        desk.report_out("e1")
        theirs.sendall(b'{"hello":1,"takes":["task"],"files":0}\n')
        work = asyncio.create_task(new_succession(desk)._attend(handover.Line(ours)))
        data = await read_lines(theirs, 1)
        theirs.close()
        await work
        return data

    return asyncio.run(run())


def said_task() -> bytes:
    """The line with which a task goes over."""
    desk, errand = task_under_way()

    async def run() -> bytes:
        ours, theirs = socket.socketpair()
        clients_own, links_own = socket.socketpair()
        line = handover.Line(ours)
        client = SimpleNamespace(
            errand=errand,
            message=(b"r1", b"/put/k", {b"host": b"h", b"x-tenant": b"\xe9"}, b"body\xff", True),
            sock=clients_own,
            busy=True,
            close=lambda reason: None,
        )
        new_succession(desk, SimpleNamespace(seen=b"HTTP/1.1 200", sock=links_own))._give_task(line, client)
        data = await read_lines(theirs, 1)
        line.close()
        for sock in (theirs, clients_own, links_own):
            sock.close()
        return data

    return asyncio.run(run())


def test_task_is_packed():
    """A task with one attempt that ended and one that has started."""
    assert orjson.dumps(moving.packed(*task_under_way())) == TASK


def test_task_is_unpacked():
    """Times move with the clock of the process that goes on: 500 s later here, and 2 s on the way."""
    desk = new_desk(Clock(1502.75))
    errand = moving.unpacked(desk, orjson.loads(TASK), 2.0, "r1")
    task = errand.task
    assert (task.hint, task.cost, task.slots, task.draw, task.value, task.most, task.bound) == (
        0.01,
        0.010000000000000004,
        1.0,
        0.19964063121005893,
        5.0,
        5,
        False,
    )
    assert (task.due, task.expiry) == (1501.25, 1501.73)
    assert task.offering is desk.node.offerings[0]
    assert errand.begun == {0, 1} and errand.about == ("put", "")
    told = [
        (one.executor.ref.name, one.sent, one.wait, one.started_at, one.may_have_run, one.out)
        for one in task.assignments
    ]
    assert told == [("e1", 1500.25, 0.0, 0.0, True, False), ("e0", 1500.375, 0.0, 1500.5, True, True)]


def test_task_of_an_unknown_offering_keeps_its_terms():
    """The terms are due, expiry, importance, effect, group, seconds remembered, stretch and kind."""
    about = orjson.loads(TASK) | {"offering": "gone", "terms": [3.0, 4.0, 2.0, 1, 2, 60.0, 1.5, 0]}
    offering = moving.unpacked(new_desk(Clock(1000.75)), about, 0.0).task.offering
    assert (offering.due, offering.expiry, offering.importance) == (3.0, 4.0, 2.0)
    assert (offering.effect, offering.group) == (Effect.FINGERPRINTED, 2)
    assert (offering.remembered, offering.stretch, offering.kind) == (60.0, 1.5, 0)


def test_state_is_said():
    """The process before answers a hello with its list and who is out."""
    assert said_state() == STATE


def test_state_is_learned():
    """The new process has the list and who is out from that line."""
    desk = Desk(SETTINGS, 7, Clock(1000.0), lambda: None)
    state = orjson.loads(STATE)["state"]
    desk.report_kept_out(state["out"])
    new_succession(desk)._learn(state)
    assert desk.version == 4
    assert list(desk.entries.values()) == ENTRIES
    assert desk.maintenance.state() == {"out": {"e1": 1000.0}, "back": {}}
    assert desk.places["e1"].condition is Condition.DRAINING


def test_task_is_said(monkeypatch):
    """The whole line: the task, when it was told, and its bytes as Latin-1 text."""
    monkeypatch.setattr(succession, "monotonic", lambda: 1234.5)
    assert said_task() == MOVED


def test_task_is_heard():
    """The line gives the message, and the task that the decisions go on with."""
    heard = []
    service_desk = new_desk(Clock(1000.75))
    process = new_succession(service_desk)
    process.service.clients = SimpleNamespace(
        resume=lambda sock, errand, message: heard.append((sock, errand.task.expiry, message))
    )
    process.service.executors.resume = lambda errand, number, sock, name, seen: heard.append(
        (sock, number, name, seen)
    )
    about = orjson.loads(MOVED)
    about["at"] = succession.monotonic()
    process._resume(about, "client", "link")
    message = (b"r1", b"/put/k", {b"host": b"h", b"x-tenant": b"\xe9"}, b"body\xff", True)
    assert heard[0][0] == "client" and heard[0][2] == message
    assert heard[0][1] == pytest.approx(1001.73, abs=0.5)
    assert heard[1] == ("link", 1, b"r1", b"HTTP/1.1 200")


@pytest.mark.parametrize(
    ("about", "line"),
    [
        ({"take": True}, b'{"take":true,"files":0}\n'),
        ({"yours": True}, b'{"yours":true,"files":0}\n'),
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
        one = handover.Line(ours)
        one.say(dict(about))
        assert await read_lines(theirs, 1) == line
        theirs.sendall(line)
        assert await one.next() == (about | {"files": 0}, [])
        one.close()
        theirs.close()

    asyncio.run(run())


def test_line_with_a_descriptor():
    """The descriptor goes beside its line."""

    async def run() -> None:
        ours, theirs = socket.socketpair()
        one, other = handover.Line(ours), handover.Line(theirs)
        kept, given = socket.socketpair()
        one.say({"client": True}, given, give=True)
        about, files = await other.next()
        assert about == {"client": True, "files": 1} and len(files) == 1
        for thing in (one, other, kept, *files):
            thing.close()

    asyncio.run(run())


def test_questions_have_a_number():
    """An operator's call passed on, and what the other process says to it."""

    async def run() -> None:
        ours, theirs = socket.socketpair()
        line = handover.Line(ours)
        process = new_succession(new_desk(Clock(1000.0)))
        process.after = line
        work = asyncio.create_task(process.tell("e1", True, False))
        assert await read_lines(theirs, 1) == (b'{"out":"e1","on":true,"sure":false,"number":1,"files":0}\n')
        process._called(line, orjson.loads(b'{"done":1,"known":true,"files":0}'))
        assert await work is True
        process._called(line, orjson.loads(b'{"out":"e0","on":true,"sure":false,"number":9,"files":0}'))
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
        meeting = SimpleNamespace(call=lambda: handover.Line(ours))
        work = asyncio.create_task(handover.hello(meeting))
        assert await read_lines(theirs, 1) == b'{"hello":1,"takes":["task"],"files":0}\n'
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
        process.after = SimpleNamespace()
        theirs.sendall(told)
        work = asyncio.create_task(process._attend(handover.Line(ours)))
        assert await read_lines(theirs, 1) == answer
        theirs.close()
        await work

    asyncio.run(run())


def test_idle_connection_is_heard():
    """An idle connection goes over with its executor, since when it is idle, and its shortest way."""
    heard = []
    process = new_succession(new_desk(Clock(1000.0)))
    process.service.executors.adopt = lambda place, sock, since, trip: heard.append(
        (place.name, sock, since, trip)
    )
    process._adopt(orjson.loads(b'{"link":"e1","idle_since":12.5,"trip":null,"files":1}'), "socket")
    assert heard == [("e1", "socket", 12.5, None)]
