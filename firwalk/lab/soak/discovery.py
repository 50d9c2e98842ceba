"""Discovery service of a soak: lists the executors at one address per node and injects discovery faults."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress

import orjson

from firwalk.lab.soak.plan import Fault, FaultKind
from firwalk.lab.soak.records import ToldRecord
from firwalk.lab.standins import read_message

HEARTBEAT_S = 2.0
SLOW_WRITE_INTERVAL_S = 0.02  # Interval between the pieces of an update that is written slowly.
SLOW_WRITE_BYTES = 40
UNAVAILABLE = b"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n"


class Discovery:
    """Keep the list of executors, send changes to open watches and record each update sent."""

    def __init__(self, executors: dict[int, str], slots: int, faults: list[Fault]):
        self.addresses, self.slots, self.faults = executors, slots, faults
        self.lifecycle = dict.fromkeys(executors, "active")
        self.started_ms = dict.fromkeys(executors, 0)
        self.version, self.began = 1, float("inf")
        self.bytes_sent = 0
        self.watches: dict[asyncio.StreamWriter, int] = {}
        self.locks: dict[asyncio.StreamWriter, asyncio.Lock] = {}
        self.updates_sent: list[ToldRecord] = []
        self.changes: list[tuple[float, int, str]] = []  # (time, executor, lifecycle)
        self.servers: list[asyncio.Server] = []
        self.tasks: set[asyncio.Task] = set()

    async def listen(self, addresses: list[tuple[str, int]]) -> None:
        """Listen at one address per node."""
        for node, address in enumerate(addresses):
            self.servers.append(
                await asyncio.start_server(lambda r, w, node=node: self._serve(node, r, w), *address)
            )

    def start_faults(self, began: float) -> None:
        """Start the load clock, from which the times of faults are measured."""
        self.began = began
        for fault in self.faults:
            if fault.kind is FaultKind.WATCH_END:
                self._spawn(self._end_watches(fault))

    def close(self) -> None:
        """Cancel all tasks, abort the watches and close the servers."""
        for work in self.tasks:
            work.cancel()
        for writer in list(self.watches):
            writer.transport.abort()
        for server in self.servers:
            server.close()

    def full_list(self) -> dict:
        """Return the full list, as used in a configuration and in the first answer of a watch."""
        return {
            "generation": self.version,
            "reset": True,
            "instances": [self._entry(number) for number in self.addresses],
        }

    def change(self, number: int, lifecycle: str, started_ms: int | None = None) -> None:
        """Set the lifecycle of an executor and send the change to all open watches."""
        self.lifecycle[number], self.version = lifecycle, self.version + 1
        if started_ms is not None:
            self.started_ms[number] = started_ms
        self.changes.append((time.monotonic(), number, lifecycle))
        update = {"generation": self.version, "reset": False, "instances": [self._entry(number)]}
        for writer, node in list(self.watches.items()):
            self._spawn(self._send_update(writer, node, update))

    # -- internals ------------------------------------------------------------------------------------------

    def _entry(self, number: int) -> dict:
        return {
            "instanceId": f"e{number}",
            "hostPort": self.addresses[number],
            "zone": "a",
            "machineType": "m",
            "cell": number,
            "lifecycle": self.lifecycle[number],
            "weight": float(self.slots),
            "startedAtMs": self.started_ms[number],
        }

    def _spawn(self, work) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _is_active(self, kind: FaultKind, node: int) -> bool:
        now = time.monotonic() - self.began
        return any(
            fault.kind is kind and fault.target in (-1, node) and fault.at <= now < fault.at + fault.lasts
            for fault in self.faults
        )

    async def _end_watches(self, fault: Fault) -> None:
        await asyncio.sleep(max(self.began + fault.at - time.monotonic(), 0.0))
        for writer, node in list(self.watches.items()):
            if fault.target in (-1, node):
                writer.transport.abort()

    async def _serve(self, node: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (message := await read_message(reader)) is not None:
                if self._is_active(FaultKind.DISCOVERY_DOWN, node):
                    writer.write(UNAVAILABLE)
                    break
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self.locks[writer] = asyncio.Lock()
                follows = "follow=1" in message[0]
                if follows:
                    self.watches[writer] = node
                await self._send_update(writer, node, self.full_list())
                if follows:
                    await self._send_heartbeats(reader, writer, node)
                    break
                writer.write(b"0\r\n\r\n")
        except (OSError, RuntimeError, asyncio.CancelledError):
            pass
        finally:
            self.watches.pop(writer, None)
            self.locks.pop(writer, None)
            writer.close()

    async def _send_heartbeats(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, node: int
    ) -> None:
        """Send heartbeats until the watch ends or discovery goes down."""
        next_at = time.monotonic() + HEARTBEAT_S
        while not (reader.at_eof() or writer.transport.is_closing()):
            if self._is_active(FaultKind.DISCOVERY_DOWN, node):
                return
            if time.monotonic() >= next_at and not self._is_active(FaultKind.WATCH_SILENT, node):
                writer.write(b"1\r\n\n\r\n")
                next_at = time.monotonic() + HEARTBEAT_S
            await asyncio.sleep(0.05)

    async def _send_update(self, writer: asyncio.StreamWriter, node: int, update: dict) -> None:
        if writer not in self.locks or self._is_active(FaultKind.WATCH_SILENT, node) and not update["reset"]:
            return
        with suppress(OSError, KeyError, RuntimeError):  # The node may close the watch at any time.
            async with self.locks[writer]:
                text = orjson.dumps(update) + b"\n"
                data = b"%x\r\n%s\r\n" % (len(text), text)
                self.bytes_sent += len(data)
                while data and self._is_active(FaultKind.WATCH_DRIP, node):
                    writer.write(data[:SLOW_WRITE_BYTES])
                    data = data[SLOW_WRITE_BYTES:]
                    await asyncio.sleep(SLOW_WRITE_INTERVAL_S)
                writer.write(data)
                await writer.drain()
                self._record_update(node, update)

    def _record_update(self, node: int, update: dict) -> None:
        now = time.monotonic()
        for entry in update["instances"]:
            number = int(entry["instanceId"][1:])
            self.updates_sent.append(ToldRecord(now, node, number, entry["lifecycle"], update["reset"]))
