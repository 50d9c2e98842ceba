"""Bytes that no sound peer sends, from clients, executors and discovery at once: the program lives, answers
its other clients, serves nothing that no executor made, and sends nothing on that no client sent."""

import asyncio
import os
import random
import re
import signal
import socket
import struct
from contextlib import suppress

import orjson
import pytest
from helpers import OFFERINGS, World, post
from test_service import play

SEEDS = range(1, 1 + int(os.environ.get("FIRWALK_FUZZ_SEEDS", "6")))
FIRST_SEED = int(os.environ.get("FIRWALK_FUZZ_FIRST", "0"))
SECONDS = 2.0
HOSTILE_CLIENTS, SOUND_CLIENTS = 12, 4
UNSOUND_PART = 0.33  # of the executors' answers
RECOVERED_S = 6.0  # after unsound answers end
ANSWER_S = 4.0  # in which a sound client has its answer
EARLIEST_KILL_S = max(one["expiry-us"] for one in OFFERINGS) * 1e-6 + 0.7
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close sends RST
TOKENS = [
    b"\r\n",
    b"\n",
    b"\0",
    b"\r\n\r\n",
    b"Content-Length: 99999999999999999999\r\n",
    b"Content-Length: -1\r\n",
    b"Content-Length: 3\r\nContent-Length: 4\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Connection: close\r\n",
    b"X-Deadline: 1u\r\n",
    b"X-Deadline: \xff\r\n",
    b"X-Request-Id: \r\n",
    b"Expect: 100-continue\r\n",
    b"Upgrade: h2c\r\nConnection: Upgrade\r\n",
    b"HTTP/1.1 200 OK\r\n",
    b"HTTP/1.1 100 Continue\r\n\r\n",
    b"ffffffffffffffff\r\n",
    b"0\r\n\r\n",
    b'{"id":"other","state":"done","result":"no"}\n',
    b"{" * 2000,
    b"a" * 70000,
]

ODD_VALUES = [None, [], {}, [[1]], {"a": 1}, "", "x", "a" * 3000, True, 0, -1, 1.5, 1e300, -1e300, 2**63]
MISFIT_UPDATES = 5  # for each that ends the watch
LOAD = {"inflight": 1, "x0": 2}


def misfitted(chance: random.Random, message: dict) -> dict:
    """Sound JSON, with one to three fields of another type or size, or none."""
    message = dict(message)
    for name in chance.sample(sorted(message), min(chance.randint(1, 3), len(message))):
        if chance.random() < 0.2:
            del message[name]
        else:
            message[name] = chance.choice(ODD_VALUES)
    return message


def mutated(chance: random.Random, data: bytes) -> bytes:
    """The message with one to three faults in it."""
    text = bytearray(data)
    for _ in range(chance.randint(1, 3)):
        at = chance.randrange(len(text) + 1)
        kind = chance.randrange(5)
        if kind == 0 and at < len(text):
            text[at] ^= 1 << chance.randrange(8)
        elif kind == 1:
            del text[at : at + chance.randint(1, 40)]
        elif kind == 2:
            text[at:at] = chance.choice(TOKENS)
        elif kind == 3:
            text[at:at] = text[at : at + chance.randint(1, 200)]
        else:
            text[at:at] = chance.randbytes(chance.randint(1, 20))
    return bytes(text)


async def write_in_pieces(chance: random.Random, writer: asyncio.StreamWriter, data: bytes) -> None:
    """In up to five pieces, some of them apart in time."""
    cuts = sorted(chance.randrange(len(data) + 1) for _ in range(chance.randrange(5)))
    for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
        writer.write(data[start:end])
        await writer.drain()
        if chance.random() < 0.3:
            await asyncio.sleep(chance.uniform(0.0, 0.03))


class Hostility:
    """What was sent in one run, by whom."""

    def __init__(self, seed: int):
        self.chance, self.number = random.Random(seed), 0
        self.unsound = UNSOUND_PART
        self.sent: list[bytes] = []  # by clients, a connection each
        self.answers: dict[str, bytes] = {}  # by request id, what executors wrote
        self.statuses: list[int] = []

    def request(self) -> tuple[str, bytes]:
        """A sound one."""
        self.number += 1
        name = f"q{self.number:08d}z"
        path = self.chance.choice(["/read/k", "/act/k", "/put/k"])
        keyed = {"Idempotency_Key": name} if path == "/put/k" else {}
        return name, post(path, name, f"body of {name}".encode(), X_Deadline="900m", **keyed)

    async def answer(self, executor, writer, name):
        """As an executor: one answer in three is unsound."""
        lines = [
            {"id": name, "state": state, "result": f"made of {name}", "load": LOAD, "share": 0.5}
            for state in ("started", "running", "done")
        ]
        unsound = self.chance.random() < self.unsound
        misfits = unsound and self.chance.random() < 0.5
        if misfits:
            lines = [misfitted(self.chance, line) for line in lines]
            lines[-1]["load"] = misfitted(self.chance, LOAD)
        data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for line in lines:
            text = orjson.dumps(line) + b"\n"
            data += b"%x\r\n%s\r\n" % (len(text), text)
        data += b"0\r\n\r\n"
        if unsound and not misfits:
            data = mutated(self.chance, data)
        self.answers[name] = self.answers.get(name, b"") + data
        with suppress(ConnectionError):
            await write_in_pieces(self.chance, writer, data)

    async def hostile_client(self, world):
        """Connections one after the other, each with unsound messages, and an end of some kind."""
        chance = self.chance
        while True:
            messages = [self.request()[1] for _ in range(chance.randint(1, 3))]
            spoilt = chance.randrange(len(messages))
            messages[spoilt] = mutated(chance, messages[spoilt])
            data = b"".join(messages)
            self.sent.append(data)
            with suppress(OSError, TimeoutError):
                reader, writer = await world.connect()
                await write_in_pieces(chance, writer, data)
                how = chance.randrange(4)
                if how == 0:
                    writer.write_eof()
                if how != 1:
                    async with asyncio.timeout(chance.uniform(0.0, 0.6)):
                        await reader.read()
                if how == 2:
                    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                writer.close()
            await asyncio.sleep(0.005)

    async def sound_client(self, world):
        """Every request gets its answer, and a result is one that an executor made for it."""
        pair = None
        while True:
            name, data = self.request()
            self.sent.append(data)
            if pair is None or pair[0].at_eof():
                pair = await world.connect()
            pair[1].write(data)
            async with asyncio.timeout(ANSWER_S):
                head = await pair[0].readuntil(b"\r\n\r\n")
            length = int(re.search(rb"(?i)content-length: *(\d+)", head)[1])
            body = await pair[0].readexactly(length)
            self.statuses.append(status := int(head.split()[1]))
            if status == 200:
                assert body in self.answers.get(name, b""), (name, body)
            if b"connection: close" in head.lower():
                pair = None

    async def hostile_discovery(self, world):
        """Spoilt news, and the whole list after each."""
        while True:
            await asyncio.sleep(self.chance.uniform(0.05, 0.3))
            news = [world.entry(n) for n in range(len(world.executors))]
            with suppress(OSError):
                for _ in range(MISFIT_UPDATES):
                    misfits = [misfitted(self.chance, entry) for entry in news]
                    await world.tell(*misfits, whole=self.chance.random() < 0.5)
                    await asyncio.sleep(0.01)
                    await world.tell(*news, whole=True)
                await world.tell(text=mutated(self.chance, orjson.dumps(world.news(*news))) + b"\n")
                await world.tell(*news, whole=True)

    async def play(self, world):
        works = [self.sound_client(world) for _ in range(SOUND_CLIENTS)]
        works += [self.hostile_client(world) for _ in range(HOSTILE_CLIENTS)]
        tasks = [asyncio.ensure_future(work) for work in [*works, self.hostile_discovery(world)]]
        await asyncio.wait(tasks, timeout=SECONDS, return_when=asyncio.FIRST_EXCEPTION)
        for task in tasks:
            if task.done():
                task.result()
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert self.statuses.count(200) > 3, self.statuses
        self.check_forwarded(world)
        await self.check_recovers(world)

    async def check_recovers(self, world):
        """Once executors are sound again, it serves as ever."""
        self.unsound, end, in_a_row = 0.0, asyncio.get_running_loop().time() + RECOVERED_S, 0
        while in_a_row < 10:
            assert asyncio.get_running_loop().time() < end, self.statuses[-40:]
            status, _ = await world.ask(self.request()[1])
            in_a_row = in_a_row + 1 if status == 200 else 0
            self.statuses.append(status)
            await asyncio.sleep(0.02)

    def check_forwarded(self, world):
        """Each message that came to an executor is, id and body, in what some client wrote."""
        for executor in world.executors:
            for first, headers, body in executor.got:
                name = headers["x-request-id"].encode("latin-1")
                whole = any(name in data and body in data for data in self.sent)
                in_chunks = any(name in data and b"hunked" in data for data in self.sent)
                assert whole or in_chunks, (first, headers, body)


@pytest.mark.parametrize("seed", [FIRST_SEED + seed for seed in SEEDS])
def test_unsound_bytes_harm_nobody_else(seed):
    hostility = Hostility(seed)

    async def story(world):
        await hostility.play(world)

    play(story, *[hostility.answer] * 4, limits={"sockets": 512})


@pytest.mark.parametrize("seed", [FIRST_SEED + seed for seed in SEEDS])
def test_a_stop_among_unsound_peers_is_over_before_the_kill(seed):
    hostility = Hostility(seed)

    async def story(world):
        works = [hostility.hostile_client(world) for _ in range(HOSTILE_CLIENTS)]
        tasks = [asyncio.ensure_future(work) for work in [*works, hostility.hostile_discovery(world)]]
        await asyncio.sleep(hostility.chance.uniform(0.1, 1.0))
        world.program.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(world.program.wait(), EARLIEST_KILL_S)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        hostility.check_forwarded(world)

    world = play(story, *[hostility.answer] * 4, limits={"sockets": 512})
    lines = [line for line in world.log.splitlines() if "a client's bytes" not in line]
    assert "ended, " in world.log and "rules seen broken: 0" in world.log, "\n".join(lines[-20:])


def test_the_check_sees_a_message_that_no_client_sent():
    hostility, world = Hostility(1), World()
    name, data = hostility.request()
    hostility.sent.append(data)
    sound = ("POST /read/k HTTP/1.1", {"x-request-id": name}, f"body of {name}".encode())
    for got, passes in ((sound, True), ((*sound[:2], b"another body"), False)):
        world.executors = [type("Seen", (), {"got": [got]})()]
        if passes:
            hostility.check_forwarded(world)
        else:
            with pytest.raises(AssertionError):
                hostility.check_forwarded(world)
