"""Stand-ins of the second review: a node by the deploy file, executors, discovery, clients and a record.

Only the standard library is used. All addresses are loopback addresses with ports that the system chooses.
Times in records are seconds since the start of the case, on the monotonic clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, ClassVar

ROOT = Path(__file__).resolve().parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
BLANK_LINE_INTERVAL_S = 2.0
SOCKET_SLACK_S = 0.05  # PROTOCOL.md: "each time limit is 50 ms longer"

Json = dict[str, Any]


def has_trouble() -> bool:
    """Return whether the disruption is to be played: `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """Raised if the case could not be played, which says nothing about the rule."""


class Record:
    """The file `record.txt` of a case: what was sent, answered and run."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.started_at = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def write(self, text: str) -> None:
        """Write one line with the time."""
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


def free_address() -> str:
    """Return a loopback address with a port that is free now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


def split_address(address: str) -> tuple[str, int]:
    """Return host and port."""
    host, port = address.rsplit(":", 1)
    return host, int(port)


class Message:
    """An HTTP message as it was received."""

    def __init__(self, first: str, headers: dict[str, str], body: bytes) -> None:
        self.first = first
        self.headers = headers
        self.body = body


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    """Read the head of a message; return None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.strip().split("\r\n")
    return first, {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a message with a body of a stated length; return None at the end of the connection."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        body = await reader.readexactly(int(head[1].get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(*head, body)


def chunk(data: bytes) -> bytes:
    """Return the data as one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


STREAM_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
NOT_RUN = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"


class Attempt:
    """A request that an executor has received whole."""

    def __init__(self, executor: Executor, message: Message, came: float) -> None:
        self.executor = executor
        self.message = message
        self.request_id = message.headers.get("x-request-id", "")
        self.request_class = message.first.split(" ")[1].split("/")[1]
        self.came = came  # when its last byte had come


class Executor:
    """An executor that runs each request for `work_s` seconds, or as `behave` says."""

    def __init__(self, record: Record, name: str, zone: str, work_s: float = 0.02) -> None:
        self.record = record
        self.name = name
        self.zone = zone
        self.work_s = work_s
        self.lifecycle = "active"
        self.address = ""
        self.attempts: list[Attempt] = []
        self.effects: list[str] = []  # ids of requests whose work was done
        self.behave: Callable[[Attempt, asyncio.StreamWriter], Awaitable[None]] = self.run
        self.server: asyncio.Server | None = None
        self.in_hand = 0

    async def open(self) -> None:
        """Listen at a free port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while (message := await read_message(reader)) is not None:
                if message.first.startswith("GET"):
                    load = json.dumps({"x0": max(3 - self.in_hand, 0), "util": 0.1, "x1": 16}).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(load), load))
                    continue
                attempt = Attempt(self, message, self.record.now())
                self.attempts.append(attempt)
                self.record.write(f"{self.name} ({self.lifecycle}) received {attempt.request_id}")
                self.in_hand += 1
                try:
                    await self.behave(attempt, writer)
                    await writer.drain()
                finally:
                    self.in_hand -= 1
        writer.close()

    def line(self, attempt: Attempt, state: str) -> bytes:
        """Return a line of an answer, as a chunk."""
        line = {"id": attempt.request_id, "from": self.name, "state": state}
        if state == "done":
            line["result"] = f"made of {attempt.request_id}"
        return chunk(json.dumps(line).encode() + b"\n")

    async def run(self, attempt: Attempt, writer: asyncio.StreamWriter) -> None:
        """Run a request: tell the start, do the work, tell the end."""
        writer.write(STREAM_HEAD + self.line(attempt, "started"))
        await asyncio.sleep(self.work_s)
        self.effects.append(attempt.request_id)
        self.record.write(f"{self.name} has done the work of {attempt.request_id}")
        writer.write(self.line(attempt, "done") + LAST_CHUNK)


class Discovery:
    """The discovery service: one list for all nodes, with whole lists and watches."""

    def __init__(self, record: Record, executors: list[Executor]) -> None:
        self.record = record
        self.executors = executors
        self.generation = 1
        self.address = ""
        self.call_count = 0
        self.is_indented = False
        # Called before each answer; a status instead of None ends the call with it.
        self.admit: Callable[[], Awaitable[int | None]] | None = None
        self.watches: list[asyncio.StreamWriter] = []
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen at a free port, after an outage at the same one."""
        host, port = split_address(self.address or "127.0.0.1:0")
        self.server = await asyncio.start_server(self._serve, host, port)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self.record.write(f"discovery is up at {self.address}")

    def go_down(self) -> None:
        """End all watches and refuse new connections."""
        self.record.write("discovery goes down")
        if self.server is not None:
            self.server.close()
        for writer in self.watches:
            writer.transport.abort()

    def entry(self, executor: Executor) -> Json:
        """Return an executor's entry of the list."""
        return {
            "instanceId": executor.name,
            "hostPort": executor.address,
            "zone": executor.zone,
            "machineType": "full-box",
            "cell": 0,
            "lifecycle": executor.lifecycle,
            "weight": 3.0,
            "startedAtMs": 0,
        }

    def update(self, executors: list[Executor], reset: bool) -> Json:
        """Return an update of the list."""
        entries = [self.entry(executor) for executor in executors]
        return {"generation": self.generation, "reset": reset, "instances": entries}

    def encode(self, update: Json) -> bytes:
        """Return an update as it is written, in UTF-8."""
        text = json.dumps(update, ensure_ascii=False, indent=2 if self.is_indented else None)
        return chunk(text.encode() + b"\n")

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.CancelledError):
            while (message := await read_message(reader)) is not None:
                self.call_count += 1
                self.record.write(f"discovery is asked: {message.first}")
                status = None if self.admit is None else await self.admit()
                if status is not None:
                    self.record.write(f"discovery ends the call with {status}")
                    writer.write(b"HTTP/1.1 %d Busy\r\nContent-Length: 0\r\n\r\n" % status)
                    continue
                self.record.write(f"discovery writes its whole list, generation {self.generation}")
                writer.write(STREAM_HEAD + self.encode(self.update(self.executors, True)))
                if "follow=1" not in message.first:
                    writer.write(LAST_CHUNK)
                    continue
                await self._watch(writer)
                break
        writer.close()

    async def _watch(self, writer: asyncio.StreamWriter) -> None:
        self.watches.append(writer)
        try:
            while not writer.transport.is_closing():
                await asyncio.sleep(BLANK_LINE_INTERVAL_S)
                writer.write(chunk(b"\n"))
                await writer.drain()
        finally:
            self.watches.remove(writer)

    def change(self, executor: Executor, lifecycle: str) -> float:
        """Change an executor's state and tell all watches; return the time."""
        executor.lifecycle = lifecycle
        self.generation += 1
        self.record.write(f"discovery has it: {executor.name} is {lifecycle}, generation {self.generation}")
        for writer in self.watches:
            self.record.write("discovery writes the change to a watch")
            writer.write(self.encode(self.update([executor], False)))
        return self.record.now()


class Node:
    """A node: the program, started by the `run` command of the deploy file."""

    count = 0
    all: ClassVar[list[Node]] = []

    def __init__(self, record: Record, folder: Path, config: Json, scratch: Path | None = None) -> None:
        self.record = record
        self.folder = folder
        self.config = config
        self.scratch = scratch  # `$TMPDIR` that processes of the node share; None: an empty one at each start
        self.address = split_address(config["listen"])
        Node.count += 1
        Node.all.append(self)
        self.path = folder / f"config-{Node.count}.json"
        self.process: subprocess.Popen[bytes] | None = None

    def write_config(self) -> None:
        """Put the configuration in place, whole."""
        part = self.path.with_suffix(".new")
        part.write_text(json.dumps(self.config, ensure_ascii=False), encoding="utf-8")
        part.replace(self.path)

    def start(self) -> None:
        """Start the process."""
        self.write_config()
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        scratch = self.scratch or Path(tempfile.mkdtemp(dir=self.folder))
        environment = os.environ | {"BALANCER_CONFIG": str(self.path), "TMPDIR": str(scratch)}
        with (self.folder / "node.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.write(f"node started as {self.process.pid}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.record.write(f"node gets {number.name}")
            self.process.send_signal(number)

    def is_alive(self) -> bool:
        """Return whether the process runs."""
        return self.process is not None and self.process.poll() is None

    async def wait_ready(self, timeout_s: float = 30.0) -> None:
        """Wait until `GET /_health` answers 200, as the front does."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if not self.is_alive():
                raise CannotRun("the node has ended at its start: " + self.log())
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(*self.address)
                    writer.write(b"GET /_health HTTP/1.1\r\nHost: f\r\nConnection: close\r\n\r\n")
                    head = await read_head(reader)
                    writer.close()
                    if head is not None and " 200 " in head[0] + " ":
                        self.record.write("node is ready")
                        return
            await asyncio.sleep(0.02)
        raise CannotRun("the node was not ready in time")

    def log(self) -> str:
        """Return what the node has written to its log."""
        path = self.folder / "node.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def end(self) -> None:
        """End the process for sure."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class Answer:
    """What a client got: a status and a body, or status 0 if the connection ended without an answer."""

    def __init__(self, status: int, body: bytes, at: float) -> None:
        self.status = status
        self.body = body
        self.at = at


class Client:
    """A client with one connection that sends one request at a time."""

    count = 0

    def __init__(self, record: Record, address: tuple[str, int]) -> None:
        self.record = record
        self.address = address
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    @classmethod
    def new_id(cls) -> str:
        """Return an id that no other request has."""
        cls.count += 1
        return f"{os.getpid():08x}{cls.count:08x}"

    async def connect(self) -> None:
        """Open the connection, unless it is open."""
        if self.writer is None or self.writer.is_closing() or self.reader is None or self.reader.at_eof():
            self.reader, self.writer = await asyncio.open_connection(*self.address)

    async def ask(
        self, request_class: str, deadline_s: float, hint_us: int = 20000, patience_s: float = 0.0
    ) -> tuple[str, Answer | None]:
        """Send a request and wait for its answer; None if there is none `patience_s` after its deadline."""
        request_id = self.new_id()
        await self.connect()
        assert self.reader is not None and self.writer is not None
        lines = [
            f"POST /{request_class}/{request_id} HTTP/1.1",
            "Host: backend.local",
            f"X-Request-Id: {request_id}",
            "X-Tenant: padma-met",
            f"X-Deadline: {int(deadline_s * 1e3)}m",
            f"X-Cost-Hint: {hint_us}",
            f"Idempotency-Key: {request_id}{request_id}",
            "Content-Length: 2",
        ]
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n{}")
        self.record.write(f"client sends {request_id} ({request_class})")
        try:
            async with asyncio.timeout(deadline_s + patience_s):
                message = await read_message(self.reader)
        except TimeoutError:
            self.writer.close()
            self.record.write(f"client has no answer to {request_id}")
            return request_id, None
        status = 0 if message is None else int(message.first.split(" ")[1])
        answer = Answer(status, b"" if message is None else message.body, self.record.now())
        self.record.write(f"client gets {status} for {request_id}")
        if message is None or message.headers.get("connection", "").lower() == "close":
            self.writer.close()
            self.writer = None
        return request_id, answer


OFFERINGS = [
    {
        "name": "grid-cut",
        "due-time-us": 250000,
        "expiry-us": 6000000,
        "group": "all",
        "importance": 5.0,
        "key-ttl-us": 10000000,
        "late-importance": 0.0,
        "repeat": "keyed",
        "streamed": False,
    },
    {
        "name": "bulletin-send",
        "due-time-us": 750000,
        "expiry-us": 12000000,
        "group": "all",
        "importance": 3.0,
        "key-ttl-us": 10000000,
        "late-importance": 0.0,
        "repeat": "unsafe",
        "streamed": False,
    },
]


def settings(zones: list[str]) -> Json:
    """Return settings like those of a small deployment, by the figures of the `bfpa-products` brief."""
    return {
        "az": 0,
        "azs": zones,
        "clients": {"marks-retry": True},
        "discovery": "ask",
        "excess-importance": 0.2,
        "family": "jobs",
        "guarantees": {
            "answer-slack-us": 20000,
            "ask-within-us": 10000000,
            "cold-from": 0.31,
            "cold-us": 8800000,
            "fall-multiple": 2.5,
            "stop-sending-within-us": 500000,
            "tip-after-us": 2000000,
        },
        "importance-by": "work",
        "kinds": ["full-box", "half-box"],
        "layer": 0,
        "limits": {
            "cancel": True,
            "connect-timeout-us": 250000,
            "cpu-us-per-request": 10000,
            "cpu-us-per-s": 8000,
            "idle-close-us": 60000000,
            "max-retry-after-us": 2000000,
            "most-assignments": 5,
            "open-cap": 20000,
            "peers": False,
            "probing": True,
            "retry-after": False,
            "second-copies": True,
            "streams-per-conn": 1,
        },
        "load-report": {"how": "on_probe", "names": ["x0", "util", "x1"]},
        "offerings": [dict(offering) for offering in OFFERINGS],
        "prices": {"cross-zone": 0.033, "handshake": 0.084},
        "resolution-us": 5000,
        "self-index": 0,
        "siblings": 4,
        "specifics": {"class-kind": [-1, -1], "class-stretch": [2.0, 2.0], "tells-start": True},
        "tenants": [{"name": "padma-met", "quota-per-s": 1000.0, "fraction": 0.45}],
        "tiers": ["product-workers"],
        "weights": "nominal",
    }


def config(discovery: Discovery, known: Json, node_settings: Json) -> Json:
    """Return a node's configuration."""
    return {
        "name": "n0",
        "listen": free_address(),
        "discovery": discovery.address,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known,
        "settings": node_settings,
    }


async def load(
    record: Record, address: tuple[str, int], classes: list[str], seconds: float, pause_s: float, clients: int
) -> dict[str, Answer | None]:
    """Let some clients send request after request for a time; return the answers by id."""
    answers: dict[str, Answer | None] = {}
    end = time.monotonic() + seconds

    async def one(number: int) -> None:
        client = Client(record, address)
        while time.monotonic() < end:
            with contextlib.suppress(OSError):
                request_id, answer = await client.ask(classes[number % len(classes)], 3.0, patience_s=0.5)
                answers[request_id] = answer
            await asyncio.sleep(pause_s)
        if client.writer is not None:
            client.writer.close()

    await asyncio.gather(*(one(number) for number in range(clients)))
    return answers


def main(path: Path, case: Callable[[Record, Path], Awaitable[str]]) -> None:
    """Run a case that writes its record to `path`, and exit.

    The case returns what broke the rule, an empty text if the rule held.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))  # ends what was started, too
    record = Record(path)
    scratch = Path(tempfile.mkdtemp())
    status = COULD_NOT_RUN
    text = "could not run: ended from outside"
    try:
        broken = asyncio.run(case(record, scratch))
        status = BROKEN if broken else HELD
        text = f"broken: {broken}" if broken else "held"
    except CannotRun as problem:
        text = f"could not run: {problem}"
    except Exception as problem:
        text = f"could not run: {problem!r}"
    finally:
        for node in Node.all:
            node.end()
        log = scratch / "node.log"
        if log.exists():
            text_of_log = log.read_text(errors="replace").replace(f"{ROOT}/", "")  # no path of this machine
            record.write("log of the node:\n" + text_of_log)
        shutil.rmtree(scratch, ignore_errors=True)
    record.write(text)
    print(text)
    sys.exit(status)
