"""Floods of hostile clients beside ordinary ones, on the program under the limits of the deploy page.

The process keeps within its memory limit, and ordinary clients get their answers in time.
"""

import asyncio
import os
import re
import sys
import time
from collections import Counter
from contextlib import asynccontextmanager
from pathlib import Path

import orjson
import pytest
from helpers import OFFERINGS, World, post, read_message

MEMORY_MB = 192
DESCRIPTORS = 1024
FLOOD_S = 4.0
FLOOD_PROGRAM = Path(__file__).parent / "hostile_clients.py"
ORDINARY_CLIENTS = 8
REQUEST_INTERVAL_S = 0.1
ANSWER_TIMEOUT_S = 2.5  # the deadline of a request is 2 s, and an answer may be half a second late
SERVED_BESIDE_ONE_PEER = 0.95
SERVED_BESIDE_HUNDREDS = 0.5
LARGE_RESULT = "r" * 60000
LARGE_CLASS = OFFERINGS[0] | {"name": "large"}


async def answer(executor, writer, name):
    """Respond with a small result, or a large one for the flood that reads none."""
    path = executor.got[-1][0].split()[1]
    if not path.startswith("/large"):
        await executor.lines(writer, name, "started", "done")
        return
    line = orjson.dumps({"id": name, "state": "done", "result": LARGE_RESULT}) + b"\n"
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    writer.write(b"%x\r\n%s\r\n0\r\n\r\n" % (len(line), line))
    await writer.drain()


def peak_memory_bytes(world):
    status = Path(f"/proc/{world.program.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+)", status)[1]) * 1024


@asynccontextmanager
async def drained_log(world):
    """Read the program's log meanwhile, so that it never waits for its reader."""
    drain = asyncio.ensure_future(world.program.stderr.read())
    try:
        yield
    finally:
        drain.cancel()
        await asyncio.gather(drain, return_exceptions=True)


class OrdinaryClients:
    """Clients that send a request each tenth of a second and wait for its answer."""

    def __init__(self, world):
        self.world = world
        self.outcomes = Counter()  # statuses, and the reasons of requests without an answer
        self.latencies_s = []

    async def run(self, seconds):
        end = time.monotonic() + seconds
        await asyncio.gather(*[self._run_one(number, end) for number in range(ORDINARY_CLIENTS)])

    async def _ask(self, pair, data):
        """Send a request, once more on a new connection if the node has closed an idle one."""
        message = None
        if pair is not None:
            pair[1].write(data)
            message = await read_message(pair[0])
        if message is None:
            pair = await self.world.connect()
            pair[1].write(data)
            message = await read_message(pair[0])
        return message, pair

    async def _run_one(self, client, end):
        pair = None
        number = 0
        while (began_at := time.monotonic()) < end:
            number += 1
            try:
                async with asyncio.timeout(ANSWER_TIMEOUT_S):
                    message, pair = await self._ask(pair, post(name=f"ordinary{client}x{number}"))
                    self.outcomes[message[0].split()[1] if message else "closed"] += 1
                    if not message or message[1].get("connection") == "close":
                        pair = None
            except (OSError, TimeoutError) as error:
                self.outcomes[type(error).__name__] += 1
                pair = None
            self.latencies_s.append(time.monotonic() - began_at)
            await asyncio.sleep(max(REQUEST_INTERVAL_S - self.latencies_s[-1], 0.0))


async def flood(world, shape, connections):
    """Run a flood beside ordinary clients; return these after its end."""
    arguments = [world.port, shape, connections, FLOOD_S]
    program = await asyncio.create_subprocess_exec(sys.executable, FLOOD_PROGRAM, *map(str, arguments))
    clients = OrdinaryClients(world)
    async with drained_log(world):
        await asyncio.sleep(0.3)
        await clients.run(FLOOD_S - 0.5)
        await program.wait()
    return clients


def run_flood(shape, connections):
    async def run():
        settings = {"offerings": [*OFFERINGS, LARGE_CLASS]}
        limits = {"memory_mb": MEMORY_MB, "sockets": DESCRIPTORS}
        async with World(*[answer] * 4, settings=settings, limits=limits, events=os.devnull) as world:
            clients = await flood(world, shape, connections)
            return clients, peak_memory_bytes(world)

    return asyncio.run(run())


def check_answers(clients, min_served):
    """Each request has its answer in time, and enough of them are served."""
    total = sum(clients.outcomes.values())
    assert set(clients.outcomes) <= {"200", "503"}, clients.outcomes
    assert clients.outcomes["200"] >= min_served * total > 0, clients.outcomes


HUNDREDS = [
    ("many_fields", 500),
    ("many_fields_slowly", 500),
    ("endless_value", 50),
    ("endless_value_slowly", 500),
    ("endless_fields", 200),
    ("endless_target", 200),
    ("endless_trailer", 50),
    ("endless_chunk_extension", 200),
    ("endless_blank_lines", 300),
    ("half_body", 600),
    ("tiny_pieces", 500),
    ("tiny_chunks", 300),
    ("tiny_chunks_without_end", 300),
    ("batches", 200),
    ("batches_of_new_names", 200),
    ("unknown_classes", 200),
    ("unsound", 200),
    ("health_checks", 200),
    ("not_http", 300),
    ("unread_answers", 500),
    ("large_bodies", 300),
    ("large_heads", 300),
    ("waits_for_continue", 300),
    ("one_id", 200),
    ("silence", 900),
    ("half_heads", 900),
    ("leaves_at_once", 200),
]


# Guards against a process over its memory limit, and late answers, when hundreds of clients are hostile.
@pytest.mark.parametrize(("shape", "connections"), HUNDREDS)
def test_hundreds_of_hostile_clients_cost_bounded_memory_and_leave_others_their_share(shape, connections):
    clients, peak_bytes = run_flood(shape, connections)
    assert peak_bytes < MEMORY_MB * 1e6
    check_answers(clients, SERVED_BESIDE_HUNDREDS)


ONE_PEER = [
    "endless_blank_lines",
    "tiny_chunks_without_end",
    "batches",
    "batches_of_new_names",
    "unknown_classes",
    "unsound",
    "health_checks",
    "not_http",
    "large_bodies",
    "one_id",
    "leaves_at_once",
]


# Guards against late or lost answers while one client sends small or unsound requests at full speed.
@pytest.mark.parametrize("shape", ONE_PEER)
def test_one_hostile_client_at_full_speed_leaves_others_their_share(shape):
    clients, peak_bytes = run_flood(shape, 1)
    assert peak_bytes < MEMORY_MB * 1e6
    check_answers(clients, SERVED_BESIDE_ONE_PEER)
