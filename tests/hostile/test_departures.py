"""Clients that leave: nothing begins for a client that has gone, and an id is used for one request only."""

import asyncio
import socket
import time

import pytest
from helpers import World, post
from test_endings import HeldExecutor
from test_service import play
from test_succession import NodeProcess, stop_first_process

BEGIN_LIMIT_S = 0.1  # an attempt may begin this long after its client has closed the connection
LATENESS_S = 0.1  # of the stand-in executors and clients
SEND_BUFFER_BYTES = 4_000_000
UNREAD_REQUESTS = 12000


class RecordingExecutor:
    """Executor behaviour that records when requests arrive, and answers each after a pause."""

    def __init__(self, pause_s):
        self.pause_s = pause_s
        self.arrived_at = {}

    async def __call__(self, executor, writer, name):
        self.arrived_at[name] = time.monotonic()
        await asyncio.sleep(self.pause_s)
        await executor.lines(writer, name, "started", "done")


def count_runs(world, name):
    return sum(got[1]["x-request-id"] == name for executor in world.executors for got in executor.got)


async def leave_with_unread_requests(world, data, seconds, reads_answers, first=b""):
    """Send as much as the kernel takes, and close the connection after some time; return when."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        sock.connect(("127.0.0.1", world.port))
        sock.send(first)
        await asyncio.sleep(0.1 if first else 0.0)
        sock.setblocking(False)
        sent = 0
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            try:
                sent += sock.send(data[sent:])
            except BlockingIOError:
                pass
            if reads_answers:
                try:
                    sock.recv(1 << 20)
                except BlockingIOError:
                    pass
            await asyncio.sleep(0.002)
    return time.monotonic()


# Guards against requests that are sent to executors after their client has closed with much still unread.
@pytest.mark.parametrize("reads_answers", [True, False], ids=["closes", "resets"])
@pytest.mark.parametrize("path", ["/read/k", "/act/k"])
@pytest.mark.parametrize("padding", [0, 3000], ids=["small", "large"])
def test_unread_requests_of_a_client_that_has_left_are_not_begun(path, reads_answers, padding):
    async def scenario(world):
        executor = world.behaviours[0]
        data = b"".join(
            post(path, name=f"t{n}", body=b"x" * padding)
            for n in range(UNREAD_REQUESTS // (padding // 500 + 1))
        )
        left_at = await leave_with_unread_requests(world, data, 0.4, reads_answers)
        await asyncio.sleep(1.5)
        late = [name for name, at in executor.arrived_at.items() if at > left_at + BEGIN_LIMIT_S + LATENESS_S]
        assert not late, (len(late), len(executor.arrived_at))

    play(scenario, RecordingExecutor(0.03))


# Guards against a retry that begins after the client has closed behind bytes that were not read.
@pytest.mark.parametrize("behind", ["requests", "body"])
def test_no_attempt_begins_for_a_client_that_has_left_behind_unread_bytes(behind):
    async def scenario(world):
        arrived_at = []

        async def hand_back_late(executor, writer, name):
            if name != "t0":
                return
            arrived_at.append(time.monotonic())
            await asyncio.sleep(0.6)
            await executor.lines(writer, name, "returned")

        for executor in world.executors:
            executor.behave = hand_back_late
        if behind == "requests":
            unread = b"".join(post(name=f"t{n}") for n in range(1, UNREAD_REQUESTS))
        else:
            unread = b"".join(post(name=f"t{n}", body=b"x" * 60000) for n in range(1, 100))
        left_at = await leave_with_unread_requests(world, unread, 0.2, False, first=post("/read/k", "t0"))
        await asyncio.sleep(1.5)
        assert arrived_at and max(arrived_at) < left_at + BEGIN_LIMIT_S + LATENESS_S

    play(scenario, *[None] * 4)


# Guards against a second run of an id that comes again after its client has left.
@pytest.mark.parametrize("path", ["/act/k", "/put/k"])
@pytest.mark.parametrize("is_finished", [False, True], ids=["in work", "finished"])
def test_id_of_a_client_that_has_left_is_not_run_again(path, is_finished):
    async def scenario(world):
        data = post(path, "x1", Idempotency_Key="i1")
        _, writer = await world.connect()
        writer.write(data)
        await world.until(lambda: count_runs(world, "x1"))
        writer.close()
        await asyncio.sleep(0.1)
        if is_finished:
            for behaviour in world.behaviours:
                behaviour.may_finish.set()
            await asyncio.sleep(0.2)
        again = asyncio.create_task(world.ask(data))
        await asyncio.sleep(0.2)
        for behaviour in world.behaviours:
            behaviour.may_finish.set()
        assert (await again)[0] == 409 and count_runs(world, "x1") == 1

    play(scenario, *[HeldExecutor() for _ in range(3)])


# Guards against a refusal of an id that has never run: its first request was rejected unrun.
def test_id_of_a_request_that_has_not_run_may_come_again():
    async def scenario(world):
        data = post("/act/k", "x1")
        world.executors[0].behave = not_run
        assert (await world.ask(data))[0] == 503
        world.executors[0].behave = None
        async with asyncio.timeout(5):
            while (await world.ask(data))[0] != 200:
                await asyncio.sleep(0.1)

    async def not_run(executor, writer, name):
        writer.write(b"HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")

    play(scenario, None)


# Guards against a second run of an id that comes to the successor while or after the predecessor has run it.
@pytest.mark.parametrize("is_in_work", [True, False], ids=["in work", "earlier"])
def test_id_that_the_predecessor_has_run_is_not_run_by_its_successor(is_in_work):
    async def scenario(world):
        data = post("/act/k", "x1")
        first = await world.connect()
        first[1].write(data)
        await world.until(lambda: count_runs(world, "x1"))
        if is_in_work:
            first[1].write(b"POST /read/k")  # a part of a message: the request stays with the predecessor
        else:
            first[1].close()
        await asyncio.sleep(0.1)
        other = await (await NodeProcess(world).start()).ready()
        again = asyncio.create_task(world.ask(data))
        await asyncio.sleep(0.2)
        for behaviour in world.behaviours:
            behaviour.may_finish.set()
        assert (await again)[0] == 409 and count_runs(world, "x1") == 1
        first[1].close()
        await stop_first_process(world)
        assert (await world.ask(data))[0] == 409 and count_runs(world, "x1") == 1
        await other.end()

    play(scenario, *[HeldExecutor() for _ in range(3)], managed=True)


# Guards against a second run of an id at the predecessor, when the successor has begun it.
def test_id_that_the_successor_has_begun_is_not_run_by_its_predecessor():
    async def scenario(world):
        data = post("/act/k", "x1")
        late = await world.connect()
        late[1].write(data[:40])  # this connection stays with the predecessor
        await asyncio.sleep(0.05)
        other = await (await NodeProcess(world).start()).ready()
        first = asyncio.create_task(world.ask(data))
        await world.until(lambda: count_runs(world, "x1"))
        second = asyncio.create_task(world.ask(data[40:], late))
        await asyncio.sleep(0.2)
        for behaviour in world.behaviours:
            behaviour.may_finish.set()
        assert (await second)[0] in (409, 503) and (await first)[0] == 200
        assert count_runs(world, "x1") == 1
        fresh = await world.connect()
        assert (await world.ask(post("/act/k", "x2"), fresh))[0] == 200
        late[1].close()
        await stop_first_process(world)
        await other.end()

    play(scenario, *[HeldExecutor() for _ in range(3)], managed=True)


def test_the_guards_have_a_world_that_counts_runs():
    world = World()
    world.executors = [type("Seen", (), {"got": [("POST", {"x-request-id": "a"}, b"")]})()]
    assert count_runs(world, "a") == 1 and count_runs(world, "b") == 0
