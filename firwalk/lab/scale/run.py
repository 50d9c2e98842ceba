"""Measure the resources that one node uses with a given number of executors at constant traffic."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import tempfile
import time
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

import orjson
import psutil

from firwalk.lab.deployment import common_settings
from firwalk.lab.processes import die_with_parent, start_worker
from firwalk.lab.scale.worker import FleetSpec
from firwalk.lab.soak.discovery import Discovery
from firwalk.lab.standins import is_healthy, read_message

DURATION_S = 12.0
LIFECYCLE_CHANGE_RATE = 1 / 200  # Fraction of executors that change their lifecycle per second.
SLOTS = 4
DEADLINE_S = 1.0
WORK_S = 0.02
HEALTH_INTERVAL_S = 0.02
READY_S = 30.0
NODES = 10  # Number of nodes given in the settings; only one runs.
COLD_FROM, COLD_FOR_S = 0.2, 2.0


@dataclass
class ResourceUsage:
    """Resources that the node used over one run."""

    executors: int
    rate: float
    cpu_s: float
    memory_mb: float
    descriptors: int
    connections: int
    list_bytes: int
    longest_turn_s: float
    ready_s: float
    served: float


@dataclass
class Limit:
    """Limit on a figure, relative to its value in the baseline run.

    The limit is factor * baseline + offset + per_thousand * executors / 1000.
    """

    figure: str
    factor: float
    offset: float = 0.0
    per_thousand: float = 0.0

    def maximum(self, base: ResourceUsage, executors: int) -> float:
        """Return the limit for a number of executors."""
        return self.factor * getattr(base, self.figure) + self.offset + self.per_thousand * executors / 1e3


LIMITS = (
    Limit("cpu_s", 1.4, 0.02, 0.12),
    Limit("memory_mb", 1.5, 8.0, 4.0),
    Limit("descriptors", 2.0, 40.0),
    Limit("connections", 2.5, 40.0),
    Limit("list_bytes", 2.0, 64e3, 500e3),
)
MIN_SERVED_RATIO = 0.85


class Measurement:
    """One run of a node with its executors, discovery and clients."""

    def __init__(self, executors: int, rate: float, folder: Path, seconds: float = DURATION_S):
        self.executors, self.rate, self.folder, self.seconds = executors, rate, folder, seconds
        self.network = f"127.{20 + os.getpid() % 200}"
        self.node_address = (f"{self.network}.1.1", 3000)
        self.idle: list[tuple] = []
        self.statuses: list[int] = []
        self.longest_latency_s = 0.0
        self.processes: list[asyncio.subprocess.Process] = []

    def _addresses(self) -> list[tuple[str, int]]:
        return [(f"{self.network}.{10 + n // 250}.{1 + n % 250}", 3000) for n in range(self.executors)]

    async def measure(self) -> ResourceUsage:
        """Run the measurement and kill all processes at its end."""
        try:
            return await self._measure()
        finally:
            for process in self.processes:
                with suppress(ProcessLookupError):
                    process.kill()

    async def _start_fleet(self) -> asyncio.subprocess.Process:
        fleet = await start_worker(
            "firwalk.lab.scale.worker",
            FleetSpec(self._addresses(), SLOTS),
            self.folder / "fleet.json",
            self.folder / "counts.json",
            stdout=asyncio.subprocess.PIPE,
        )
        self.processes.append(fleet)
        await fleet.stdout.readline()
        return fleet

    async def _start_node(self) -> tuple[asyncio.subprocess.Process, float]:
        path = self.folder / "config.json"
        path.write_bytes(orjson.dumps(self._config()))
        began = time.monotonic()
        with open(self.folder / "log", "wb") as log:
            node = await asyncio.create_subprocess_exec(
                *(sys.executable, "-O", "-m", "firwalk", "--config", str(path)),
                stderr=log,
                preexec_fn=die_with_parent,
            )
        self.processes.append(node)
        while not await is_healthy(self.node_address):
            if time.monotonic() > began + READY_S:
                raise TimeoutError(f"the node was not ready within {READY_S:g} s")
            await asyncio.sleep(0.02)
        return node, time.monotonic() - began

    def _config(self) -> dict:
        return {
            "name": "n0",
            "listen": "{}:{}".format(*self.node_address),
            "discovery": f"{self.network}.2.1:8500",
            "seed": "5eed",
            "limits": {"memory_mb": 192, "sockets": 1024},
            "known": self.discovery.full_list(),
            "settings": common_settings(0, NODES, COLD_FROM, COLD_FOR_S)
            | {
                "azs": ["a"],
                "prices": {"handshake": 0.001},
                "offerings": [
                    {
                        "name": "read",
                        "due-time-us": int(DEADLINE_S * 6e5),
                        "expiry-us": int(DEADLINE_S * 1e6),
                        "repeat": "safe",
                        "group": "all",
                        "key-ttl-us": 5000000,
                        "importance": 1.0,
                    }
                ],
            },
        }

    async def _measure(self) -> ResourceUsage:
        addresses = {n: f"{host}:{port}" for n, (host, port) in enumerate(self._addresses())}
        self.discovery = Discovery(addresses, SLOTS, [])
        await self.discovery.listen([(f"{self.network}.2.1", 8500)])
        fleet = await self._start_fleet()
        node, ready_s = await self._start_node()
        process = psutil.Process(node.pid)
        before = sum(process.cpu_times()[:2])
        watching = asyncio.ensure_future(self._sample_resources(process))
        changing = asyncio.ensure_future(self._change_lifecycles())
        turning = asyncio.ensure_future(self._measure_health_latency())
        await self._send_requests()
        cpu_s = sum(process.cpu_times()[:2]) - before
        for task in (watching, changing, turning):
            task.cancel()
        memory, descriptors = self.peak
        node.send_signal(signal.SIGTERM)
        await node.wait()
        fleet.send_signal(signal.SIGTERM)
        await fleet.wait()
        self.discovery.close()
        counts = orjson.loads((self.folder / "counts.json").read_bytes())
        served = self.statuses.count(200) / max(len(self.statuses), 1)
        return ResourceUsage(
            self.executors,
            self.rate,
            round(cpu_s, 2),
            round(memory, 1),
            descriptors,
            counts["connections"],
            self.discovery.bytes_sent,
            round(self.longest_latency_s, 3),
            round(ready_s, 2),
            round(served, 4),
        )

    async def _sample_resources(self, process: psutil.Process) -> None:
        self.peak = (0.0, 0)
        while True:
            memory, files = process.memory_info().rss / 1e6, process.num_fds()
            self.peak = max(self.peak[0], memory), max(self.peak[1], files)
            await asyncio.sleep(0.2)

    async def _change_lifecycles(self) -> None:
        """Drain executors and reactivate them at LIFECYCLE_CHANGE_RATE."""
        chance = random.Random(1)
        while True:
            await asyncio.sleep(1.0 / max(self.executors * LIFECYCLE_CHANGE_RATE, 0.1))
            number = chance.randrange(self.executors)
            back = self.discovery.lifecycle[number] != "active"
            self.discovery.change(number, "active" if back else "leaving")

    async def _measure_health_latency(self) -> None:
        """Record the longest latency of a health check, which bounds the longest turn of the event loop."""
        reader, writer = await asyncio.open_connection(*self.node_address)
        while True:
            began = time.monotonic()
            writer.write(b"GET /_health HTTP/1.1\r\nHost: f\r\n\r\n")
            if await read_message(reader) is None:
                return
            self.longest_latency_s = max(self.longest_latency_s, time.monotonic() - began)
            await asyncio.sleep(HEALTH_INTERVAL_S)

    async def _send_requests(self) -> None:
        began, tasks = time.monotonic(), []
        for number in range(int(self.seconds * self.rate)):
            await asyncio.sleep(max(began + number / self.rate - time.monotonic(), 0.0))
            tasks.append(asyncio.ensure_future(self._send_request(number)))
        await asyncio.gather(*tasks)

    async def _send_request(self, number: int) -> None:
        body = orjson.dumps({"job": f"j{number}", "node": 0, "work": WORK_S})
        status = 0
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(DEADLINE_S + 1.0):
                pair = self.idle.pop() if self.idle else await asyncio.open_connection(*self.node_address)
                pair[1].write(
                    f"POST /read/j{number} HTTP/1.1\r\nHost: b\r\nX-Request-Id: r{number:08d}\r\n"
                    f"X-Deadline: {int(DEADLINE_S * 1e3)}m\r\nX-Cost-Hint: {int(WORK_S * 1e6)}\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                answer = await read_message(pair[0])
                if answer is not None:
                    status = int(answer[0].split()[1])
                    self.idle.append(pair)
        self.statuses.append(status)


async def measure(executors: int, rate: float, seconds: float = DURATION_S) -> ResourceUsage:
    """Measure one node with a number of executors and a request rate."""
    with tempfile.TemporaryDirectory(prefix="firwalk-scale-") as folder:
        return await Measurement(executors, rate, Path(folder), seconds).measure()


def exceeded_limits(base: ResourceUsage, other: ResourceUsage) -> list[str]:
    """Return a line for each limit that the larger fleet exceeds."""
    exceeded = [
        f"{limit.figure} {getattr(other, limit.figure)} at {other.executors}: at most "
        f"{limit.maximum(base, other.executors):.2f} given {getattr(base, limit.figure)} at {base.executors}"
        for limit in LIMITS
        if getattr(other, limit.figure) > limit.maximum(base, other.executors)
    ]
    if other.served < MIN_SERVED_RATIO * base.served:
        exceeded.append(
            f"served {other.served} at {other.executors}: at least {MIN_SERVED_RATIO * base.served:.3f}"
        )
    return exceeded
