"""Hostile executors and a hostile discovery service, on the program under the limits of the deploy page."""

import asyncio
import time
from contextlib import suppress

import orjson
import pytest
from helpers import OFFERINGS, World, post
from test_hostile_clients import DESCRIPTORS, MEMORY_MB, drained_log, peak_memory_bytes
from test_service import HEALTH_REQUEST

FLOOD_S = 3.0
CLIENTS = 100
EXECUTORS = 20
BLOCK = 1 << 16
HEALTH_TIMEOUT_S = 1.0
RECOVERY_TIMEOUT_S = 8.0
STREAM_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


async def pour(writer, head, piece):
    """Write a head, and a piece without an end."""
    with suppress(ConnectionError):
        writer.write(head)
        while True:
            writer.write(piece)
            await writer.drain()


async def endless_line(writer, name):
    await pour(writer, STREAM_HEAD, chunk(b"x" * BLOCK))


async def endless_line_in_tiny_chunks(writer, name):
    await pour(writer, STREAM_HEAD, chunk(b"x") * 4096)


async def endless_value(writer, name):
    await pour(writer, b"HTTP/1.1 200 OK\r\nX-Long: ", b"v" * BLOCK)


async def endless_reason(writer, name):
    await pour(writer, b"HTTP/1.1 200 ", b"r" * BLOCK)


async def endless_trailer(writer, name):
    await pour(writer, STREAM_HEAD + b"0\r\nX-Long: ", b"v" * BLOCK)


async def many_fields(writer, name):
    await pour(writer, b"HTTP/1.1 200 OK\r\n", b"".join(b"%x:\r\n" % n for n in range(3000)))


async def endless_progress(writer, name):
    line = orjson.dumps({"id": name, "state": "running", "share": 0.4}) + b"\n"
    await pour(writer, STREAM_HEAD, chunk(line) * 500)


async def many_values(writer, name):
    values = b'{"id":"%s","state":"running","x":[%s[]]}\n' % (name.encode(), b"[]," * 120000)
    await pour(writer, STREAM_HEAD, chunk(values))


async def large_result(writer, name):
    line = orjson.dumps({"id": name, "state": "done", "result": "r" * 380000}) + b"\n"
    with suppress(ConnectionError):
        writer.write(STREAM_HEAD + chunk(line) + b"0\r\n\r\n")
        await writer.drain()


async def endless_informational(writer, name):
    await pour(writer, b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 500)


EXECUTOR_SHAPES = [
    endless_line,
    endless_line_in_tiny_chunks,
    endless_value,
    endless_reason,
    endless_trailer,
    many_fields,
    endless_progress,
    many_values,
    large_result,
    endless_informational,
]


async def check_health(world, seconds):
    """The process answers health checks in time for some seconds."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        async with asyncio.timeout(HEALTH_TIMEOUT_S):
            assert (await world.ask(HEALTH_REQUEST))[0] == 200
        await asyncio.sleep(0.05)


async def send_requests(world, client, end):
    """Send requests until a time; each must be answered before half a second after its deadline."""
    number = 0
    while time.monotonic() < end:
        number += 1
        async with asyncio.timeout(3.0):
            assert await world.ask(post(name=f"c{client}x{number}")) is not None
        await asyncio.sleep(0.05)


async def check_recovers(world, name):
    """Requests are served again once the peers behave."""
    async with asyncio.timeout(RECOVERY_TIMEOUT_S):
        number = 0
        while (await world.ask(post(name=f"{name}{number}")))[0] != 200:
            number += 1
            await asyncio.sleep(0.1)


# Guards against a process over its memory limit, or one that hangs, when executors send without an end.
@pytest.mark.parametrize("shape", EXECUTOR_SHAPES, ids=lambda shape: shape.__name__)
def test_hostile_executors_cost_bounded_memory_and_time(shape):
    is_hostile = True

    async def behave(executor, writer, name):
        if is_hostile:
            await shape(writer, name)
        else:
            await executor.lines(writer, name, "started", "done")

    async def run():
        nonlocal is_hostile
        limits = {"memory_mb": MEMORY_MB, "sockets": DESCRIPTORS}
        async with World(*[behave] * EXECUTORS, limits=limits) as world, drained_log(world):
            end = time.monotonic() + FLOOD_S
            await asyncio.gather(
                check_health(world, FLOOD_S), *[send_requests(world, n, end) for n in range(CLIENTS)]
            )
            is_hostile = False
            await check_recovers(world, "r")
            return peak_memory_bytes(world)

    assert asyncio.run(run()) < MEMORY_MB * 1e6


def entry(name, address, lifecycle="active", **more):
    return {
        "instanceId": name,
        "hostPort": address,
        "zone": "a",
        "machineType": "m",
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 1.0,
        "startedAtMs": 0,
    } | more


def update(*entries, generation=2, whole=False):
    return orjson.dumps({"generation": generation, "reset": whole, "instances": entries}) + b"\n"


async def endless_list_line(writer):
    await pour(writer, b"", chunk(b"x" * BLOCK))


async def endless_list_lines(writer):
    await pour(writer, b"", chunk(b"  {\n" * 16000))


async def endless_closing_braces(writer):
    await pour(writer, chunk(b'{"generation":2,"instances":[{\n'), chunk(b"},{\n}\n,{\n" * 8000))


async def list_of_many_values(writer):
    await pour(writer, b"", chunk(b'{"generation":2,"instances":[%s1]}\n' % (b"{}," * 1200000)))


async def ever_new_executors(writer):
    with suppress(ConnectionError):
        for start in range(0, 300000, 200):
            names = [entry(f"n{number}-{'x' * 150}", "127.0.0.1:9") for number in range(start, start + 200)]
            left = [entry(one["instanceId"], "127.0.0.1:9", "left") for one in names]
            writer.write(chunk(update(*names)) + chunk(update(*left)))
            await writer.drain()


async def ever_more_executors(writer):
    with suppress(ConnectionError):
        for start in range(0, 200000, 400):
            names = [
                entry(f"n{number}-{'x' * 150}", "127.0.0.1:9", "leaving")
                for number in range(start, start + 400)
            ]
            writer.write(chunk(update(*names)))
            await writer.drain()


async def tiny_updates(writer):
    await pour(writer, b"", chunk(b'{"generation":2,"instances":[]}\n') * 1000)


DISCOVERY_SHAPES = [
    endless_list_line,
    endless_list_lines,
    endless_closing_braces,
    list_of_many_values,
    ever_new_executors,
    ever_more_executors,
    tiny_updates,
]


# Guards against a process over its memory limit, or one that hangs, when discovery sends without an end.
@pytest.mark.parametrize("shape", DISCOVERY_SHAPES, ids=lambda shape: shape.__name__)
def test_a_hostile_discovery_service_costs_bounded_memory_and_time(shape):
    async def run():
        limits = {"memory_mb": MEMORY_MB, "sockets": DESCRIPTORS}
        settings = {"offerings": OFFERINGS}
        async with World(None, None, limits=limits, settings=settings) as world, drained_log(world):
            await world.until(lambda: world.watches)
            pouring = asyncio.ensure_future(shape(world.watches[-1]))
            await check_health(world, FLOOD_S)
            pouring.cancel()
            await asyncio.gather(pouring, return_exceptions=True)
            world.watches[-1].transport.abort()
            watch_count = len(world.watches)
            await world.until(lambda: len(world.watches) > watch_count, RECOVERY_TIMEOUT_S)
            world.version = 10**9
            await world.tell(*[world.entry(number) for number in range(2)], whole=True)
            await check_recovers(world, "r")
            return peak_memory_bytes(world)

    assert asyncio.run(run()) < MEMORY_MB * 1e6
