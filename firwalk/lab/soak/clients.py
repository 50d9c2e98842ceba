"""Worker process of a soak that runs clients behind a health-checking front end.

`python -m firwalk.lab.soak.clients SPEC.json RECORDS.jsonl`

Requests arrive as a Poisson process and use an idle connection or a new one. New connections go only to nodes
whose last health check returned 200; existing connections are reused for as long as they stay open. Some
clients disconnect before their answer, write slowly, or send part of a request and keep the connection open.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time
from contextlib import suppress
from pathlib import Path

import msgspec
import orjson
import uvloop
from msgspec import Struct

from firwalk.lab.soak.plan import ClientHabits, Fault, RequestClass
from firwalk.lab.soak.records import ClientRecord, Writer
from firwalk.lab.standins import is_healthy, read_message

HEALTH_INTERVAL_S = 0.25
LATE_ANSWER_WAIT_S = 1.2  # Clients wait this long past the deadline, so that late answers are recorded.
RETRIES = 2
FRESH_CONNECTION_S = 0.3  # A node may close a new connection that stays silent for longer than this.
PARTIAL_REQUEST_S = 4.0
IDLE_CONNECTIONS = 3  # Connections opened to each node before the load begins.
UNHEALTHY_REUSE_RATE = (
    0.6  # Probability of reusing an open connection to a node that fails its health checks.
)


class ClientSpec(Struct):
    """Settings of one client process."""

    number: int
    seed: int
    nodes: list[tuple[str, int]]
    began: float
    duration_s: float
    classes: list[RequestClass]  # Rates are those of this process.
    habits: ClientHabits
    crowds: list[Fault]


class Connection:
    """Client connection to a node, with its use so far."""

    def __init__(self, node: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        self.node, self.reader, self.writer, self.used = node, reader, writer, False
        self.opened_at = time.monotonic()

    def usable(self) -> bool:
        """Return whether the connection is still open."""
        return not (self.reader.at_eof() or self.writer.transport.is_closing())


async def read_answer(reader: asyncio.StreamReader, record: ClientRecord) -> dict[str, str] | None:
    """Read an answer into the record and return its headers, or None if no complete answer arrived."""
    try:
        first = await reader.read(1)
    except OSError:
        return None
    if not first:
        return None
    record.answer_bytes = True
    message = await read_message(reader, first)
    if message is None:
        return None
    line, headers, body = message
    record.status = int(line.split()[1])
    record.body_fits = record.status != 200 or body == f"made of {record.request_id}".encode()
    record.more_behind = bool(reader._buffer)
    return headers


class Clients:
    """Send the requests of this process and record each of them."""

    def __init__(self, spec: ClientSpec, writer: Writer):
        self.spec, self.writer = spec, writer
        self.rng = random.Random(spec.seed)
        self.healthy: dict[int, bool] = {}
        self.idle: list[Connection] = []
        self.count = 0
        self.tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Send every request at its time and wait until all have ended."""
        watching = [asyncio.ensure_future(self._poll_health(n)) for n in range(len(self.spec.nodes))]
        crowds = [asyncio.ensure_future(self._hold_idle_connections(fault)) for fault in self.spec.crowds]
        sends = sorted(
            (at, request_class)
            for request_class in self.spec.classes
            for at in self._arrivals(request_class.rate)
        )
        await self._open_initial_connections()
        for at, request_class in sends:
            await asyncio.sleep(max(self.spec.began + at - time.monotonic(), 0.0))
            self._spawn(self._run_job(request_class))
        while self.tasks:
            await asyncio.wait(self.tasks)
        for work in (*watching, *crowds):
            work.cancel()

    def _spawn(self, work) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _arrivals(self, rate: float) -> list[float]:
        times, at = [], self.rng.expovariate(rate)
        while at < self.spec.duration_s:
            times.append(at)
            at += self.rng.expovariate(rate)
        return times

    # -- front end ------------------------------------------------------------------------------------------

    async def _poll_health(self, node: int) -> None:
        while True:
            self.healthy[node] = await is_healthy(self.spec.nodes[node])
            await asyncio.sleep(HEALTH_INTERVAL_S)

    async def _open_initial_connections(self) -> None:
        for node in range(len(self.spec.nodes)):
            for _ in range(IDLE_CONNECTIONS):
                with suppress(OSError):
                    self.idle.append(Connection(node, *await asyncio.open_connection(*self.spec.nodes[node])))

    async def _hold_idle_connections(self, fault: Fault) -> None:
        """Open idle connections to random nodes and hold them for the duration of the fault."""
        await asyncio.sleep(max(self.spec.began + fault.at - time.monotonic(), 0.0))
        opened = []
        for _ in range(int(fault.value)):
            node = self.rng.randrange(len(self.spec.nodes))
            with suppress(OSError, TimeoutError):
                async with asyncio.timeout(0.3):
                    opened.append(await asyncio.open_connection(*self.spec.nodes[node]))
        await asyncio.sleep(fault.lasts)
        for _, writer in opened:
            writer.close()

    # -- requests -------------------------------------------------------------------------------------------

    async def _run_job(self, request_class: RequestClass) -> None:
        """Send a job and retry it after 429 or 503, except for keyed requests."""
        self.count += 1
        job = f"j{self.spec.number}-{self.count}"
        for retry in range(RETRIES + 1):
            connection = await self._acquire_connection()
            if connection is None:
                return
            record = await self._send_request(request_class, job, connection)
            self.writer.write(record)
            if record.status not in (429, 503) or request_class.effect == "keyed":
                return
            await asyncio.sleep(self.rng.uniform(0.02, 0.1) * (retry + 1))

    async def _acquire_connection(self) -> Connection | None:
        self.idle = [one for one in self.idle if one.usable()]
        candidates = [
            one for one in self.idle if self.healthy.get(one.node) or self.rng.random() < UNHEALTHY_REUSE_RATE
        ]
        if candidates and self.rng.random() < 0.9:
            connection = self.rng.choice(candidates)
            self.idle.remove(connection)
            return connection
        nodes = [node for node, healthy in self.healthy.items() if healthy]
        self.rng.shuffle(nodes)
        for node in nodes[:2]:
            with suppress(OSError, TimeoutError):
                async with asyncio.timeout(0.5):
                    return Connection(node, *await asyncio.open_connection(*self.spec.nodes[node]))
        return None

    async def _send_request(
        self, request_class: RequestClass, job: str, connection: Connection
    ) -> ClientRecord:
        self.count += 1
        record = ClientRecord(
            request_id=f"r{self.spec.number:02d}{self.count:06d}",
            job=job,
            node=connection.node,
            class_name=request_class.name,
            effect=request_class.effect,
            deadline_s=request_class.deadline_s,
            opened_at=connection.opened_at,
            first_on_connection=not connection.used
            and time.monotonic() < connection.opened_at + FRESH_CONNECTION_S,
        )
        connection.used = True
        habit, habits = self.rng.random(), self.spec.habits
        data = self._encode_request(request_class, record)
        headers = None
        try:
            if habit < habits.stays_half:
                record.half = True
                await self._send_partial(connection, data, record)
            elif habit < habits.stays_half + habits.leaves:
                await self._send_and_disconnect(connection, data, record)
            else:
                slowly = habit > 1.0 - habits.writes_slowly
                await self._write(connection, data, slowly)
                record.sent_at = time.monotonic()
                async with asyncio.timeout(request_class.deadline_s + LATE_ANSWER_WAIT_S):
                    headers = await read_answer(connection.reader, record)
        except (OSError, TimeoutError):
            pass
        record.ended_at = time.monotonic()
        if headers is None or headers.get("connection") == "close" or record.more_behind:
            connection.writer.close()
        else:
            self.idle.append(connection)
        return record

    def _encode_request(self, request_class: RequestClass, record: ClientRecord) -> bytes:
        body = orjson.dumps({"job": record.job, "node": record.node, "work": request_class.work_s})
        key = f"Idempotency-Key: {record.job}\r\n" if request_class.effect == "keyed" else ""
        return (
            f"POST /{request_class.name}/{record.job} HTTP/1.1\r\nHost: b\r\n"
            f"X-Request-Id: {record.request_id}\r\nX-Deadline: {int(request_class.deadline_s * 1e6)}u\r\n"
            f"X-Cost-Hint: {int(request_class.work_s * 1e6)}\r\n"
            f"{key}Content-Length: {len(body)}\r\n\r\n"
        ).encode() + body

    async def _write(self, connection: Connection, data: bytes, slowly: bool) -> None:
        if not slowly:
            connection.writer.write(data)
            return
        cut = self.rng.randrange(1, len(data))
        connection.writer.write(data[:cut])
        await asyncio.sleep(self.rng.uniform(0.05, 0.8))
        if not connection.usable():
            raise ConnectionResetError("connection closed before the last byte of the request")
        connection.writer.write(data[cut:])

    async def _send_and_disconnect(self, connection: Connection, data: bytes, record: ClientRecord) -> None:
        connection.writer.write(data)
        record.sent_at = time.monotonic()
        await asyncio.sleep(self.rng.uniform(0.0, record.deadline_s))
        record.left_at = time.monotonic()
        connection.writer.transport.abort()

    async def _send_partial(self, connection: Connection, data: bytes, record: ClientRecord) -> None:
        connection.writer.write(data[: self.rng.randrange(1, len(data) - 1)])
        async with asyncio.timeout(PARTIAL_REQUEST_S):
            await read_answer(connection.reader, record)


def main() -> None:
    """Run the clients until every request has ended."""
    spec = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=ClientSpec)
    with suppress(KeyboardInterrupt):
        uvloop.run(Clients(spec, Writer(sys.argv[2])).run())


if __name__ == "__main__":
    main()
