"""Worker process of a soak that runs one executor with its planned faults.

`python -m firwalk.lab.soak.executors SPEC.json RECORDS.jsonl`
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

from firwalk.lab.soak.plan import Fault, FaultKind
from firwalk.lab.soak.records import AttemptRecord, Writer
from firwalk.lab.standins import connection_ended, read_message

CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
NOT_RUN = b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
HANG_S = 30.0  # A hanging attempt outlasts every soak.
MAX_QUEUE = 40


class ExecutorSpec(Struct):
    """Settings of one executor."""

    number: int
    address: tuple[str, int]
    slots: int
    seed: int
    began: float  # Start of the load on the monotonic clock.
    faults: list[Fault]
    classes: dict[str, str]  # Effect by request class.
    cold_from: float
    cold_for_s: float
    started_at: float  # On the monotonic clock; 0 means already warm.


class Executor:
    """Executor with a limited number of slots, a queue and a slow start."""

    def __init__(self, spec: ExecutorSpec, writer: Writer):
        self.spec, self.writer = spec, writer
        self.rng = random.Random(spec.seed)
        self.slots = asyncio.Semaphore(spec.slots)
        self.busy, self.waiting = 0, 0

    async def serve(self) -> None:
        """Serve connections until the process ends."""
        server = await asyncio.start_server(self._serve_connection, *self.spec.address, backlog=512)
        await server.serve_forever()

    def _active_fault(self) -> FaultKind | None:
        """Return the fault that applies to the next request, if any."""
        now = time.monotonic() - self.spec.began
        for fault in self.spec.faults:
            if fault.at <= now < fault.at + fault.lasts and self.rng.random() < fault.value:
                return fault.kind
        return None

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await self._serve_message(reader, writer):
                if self._active_fault() is FaultKind.EXECUTOR_CLOSE:
                    await asyncio.sleep(self.rng.uniform(0.0, 0.05))
                    break
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            writer.close()

    async def _serve_message(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Serve one request and return whether to keep the connection open."""
        first = await reader.readexactly(1)
        first_byte_at = time.monotonic()
        message = await read_message(reader, first)
        if message is None:
            return False
        line, headers, body = message
        if line.startswith("GET"):
            await self._answer_probe(writer)
            return True
        attempt = self._attempt_record(line, headers, body, first_byte_at)
        return await self._run_attempt(reader, writer, attempt, float(orjson.loads(body)["work"]))

    def _attempt_record(self, line: str, headers: dict, body: bytes, first_byte_at: float) -> AttemptRecord:
        payload = orjson.loads(body)
        class_name = line.split("/")[1]
        return AttemptRecord(
            request_id=headers["x-request-id"],
            job=payload["job"],
            node=payload["node"],
            executor=self.spec.number,
            class_name=class_name,
            effect=self.spec.classes[class_name],
            key=headers.get("idempotency-key", ""),
            first_byte_at=first_byte_at,
            last_byte_at=time.monotonic(),
            told_deadline_s=float(headers["x-deadline"].rstrip("m")) / 1e3,
        )

    async def _answer_probe(self, writer: asyncio.StreamWriter) -> None:
        if self._active_fault() is FaultKind.EXECUTOR_MUTE:
            await asyncio.sleep(HANG_S)
        body = orjson.dumps({"inflight": self.busy + self.waiting, "x0": max(self.spec.slots - self.busy, 0)})
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        await writer.drain()

    async def _run_attempt(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        attempt: AttemptRecord,
        work_s: float,
    ) -> bool:
        fault = self._active_fault()
        if self.waiting >= MAX_QUEUE:
            attempt.refused = True
            self.writer.write(attempt)
            writer.write(NOT_RUN)
            return True
        disconnected = asyncio.ensure_future(connection_ended(reader, writer))
        try:
            if fault is FaultKind.EXECUTOR_MUTE:
                self.writer.write(attempt)
                await asyncio.wait([disconnected], timeout=HANG_S)
                return False
            if not await self._acquire_slot(disconnected):
                self.writer.write(attempt)  # Cancelled while queued.
                return False
            try:
                return await self._execute(writer, attempt, work_s, fault, disconnected)
            finally:
                self.busy -= 1
                self.slots.release()
        finally:
            disconnected.cancel()

    async def _acquire_slot(self, disconnected: asyncio.Future) -> bool:
        self.waiting += 1
        turn = asyncio.ensure_future(self.slots.acquire())
        await asyncio.wait([turn, disconnected], return_when=asyncio.FIRST_COMPLETED)
        self.waiting -= 1
        if not turn.done():
            turn.cancel()
            return False
        if disconnected.done():
            self.slots.release()
            return False
        self.busy += 1
        return True

    async def _execute(
        self,
        writer: asyncio.StreamWriter,
        attempt: AttemptRecord,
        work_s: float,
        fault: FaultKind | None,
        disconnected: asyncio.Future,
    ) -> bool:
        attempt.ran_at = time.monotonic()  # The effect takes place at the start of the work.
        self.writer.write(attempt)
        writer.write(CHUNKED + self._encode_event(attempt, "started"))
        if fault is FaultKind.EXECUTOR_RESET:
            await asyncio.sleep(self.rng.uniform(0.0, work_s))
            writer.transport.abort()
            return False
        duration_s = work_s / self._relative_speed() * (5.0 if fault is FaultKind.EXECUTOR_SLOW else 1.0)
        hangs = fault is FaultKind.EXECUTOR_HANG
        await asyncio.wait([disconnected], timeout=HANG_S if hangs else duration_s)
        if disconnected.done():
            return False
        state = "failed" if fault is FaultKind.EXECUTOR_ERROR else "done"
        writer.write(self._encode_event(attempt, state) + b"0\r\n\r\n")
        with suppress(OSError):
            await writer.drain()
        return True

    def _relative_speed(self) -> float:
        if not self.spec.started_at:
            return 1.0
        fraction = (time.monotonic() - self.spec.started_at) / self.spec.cold_for_s
        return min(self.spec.cold_from + (1.0 - self.spec.cold_from) * fraction, 1.0)

    @staticmethod
    def _encode_event(attempt: AttemptRecord, state: str) -> bytes:
        event = {"id": attempt.request_id, "from": f"e{attempt.executor}", "state": state}
        if state == "done":
            event["result"] = f"made of {attempt.request_id}"
        text = orjson.dumps(event) + b"\n"
        return b"%x\r\n%s\r\n" % (len(text), text)


def main() -> None:
    """Run the executor until it is killed."""
    spec = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=ExecutorSpec)
    with suppress(KeyboardInterrupt):
        uvloop.run(Executor(spec, Writer(sys.argv[2])).serve())


if __name__ == "__main__":
    main()
