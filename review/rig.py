"""Stand-ins and process control for the review's cases, with the standard library only."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TextIO

ROOT = Path(__file__).resolve().parent.parent
LOOPBACK = "127.0.0.1"
HEALTH_CHECK = b"GET /_health HTTP/1.1\r\nHost: f\r\n\r\n"
BLANK_LINE_INTERVAL_S = 2.0
START_TIMEOUT_S = 15.0
TIME_LIMIT_S = 110.0
HELD = 0
BROKEN = 1
CANNOT_RUN = 2


class CannotRun(Exception):
    """The case cannot be judged: something of its set-up did not happen."""


def trouble_is_on() -> bool:
    """Return whether the disruption is to be caused (TROUBLE=0 turns it off)."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_command() -> str:
    """Return the deploy file's command that starts a node."""
    return str(tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"])


def free_ports(count: int) -> list[int]:
    """Return ports that are free for TCP and UDP at the moment."""
    ports: list[int] = []
    held: list[socket.socket] = []
    while len(ports) < count:
        tcp = socket.socket()
        tcp.bind((LOOPBACK, 0))
        port = tcp.getsockname()[1]
        udp = socket.socket(type=socket.SOCK_DGRAM)
        held += [tcp, udp]
        try:
            udp.bind((LOOPBACK, port))
        except OSError:
            continue
        ports.append(port)
    for sock in held:
        sock.close()
    return ports


class Record:
    """The record of a case: one line for each thing sent, answered, run or done, with the seconds so far."""

    def __init__(self, file: Path) -> None:
        self.began_at = time.monotonic()
        self.file: TextIO = file.open("w")

    def now(self) -> float:
        """Return the seconds since the case began."""
        return time.monotonic() - self.began_at

    def write(self, text: str) -> None:
        """Write a line."""
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Node:
    """One process of the program, started by the deploy file's command in a session of its own."""

    def __init__(self, record: Record, name: str, config: dict[str, Any], folder: Path) -> None:
        self.record = record
        self.name = name
        self.config = config
        self.folder = folder
        self.shared_folder = folder / f"{config['name']}-tmp"
        self.shared_folder.mkdir(exist_ok=True)
        self.operations = ""
        self.process: subprocess.Popen[bytes] | None = None
        self.log = folder / f"{name}.log"

    def start(self) -> None:
        """Start the process."""
        config_file = self.folder / f"{self.name}.json"
        config_file.write_text(json.dumps(self.config))
        environment = os.environ | {"BALANCER_CONFIG": str(config_file), "TMPDIR": str(self.shared_folder)}
        environment.pop("BALANCER_OPERATIONS", None)
        if self.operations:
            environment["BALANCER_OPERATIONS"] = self.operations
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", run_command()],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.record.write(f"{self.name}: started as process {self.process.pid}")

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.process is not None and self.process.poll() is None:
            self.record.write(f"{self.name}: {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def ended(self, timeout_s: float) -> None:
        """Wait for the end of the process; kill it after the timeout."""
        if self.process is None:
            return
        give_up_at = time.monotonic() + timeout_s
        while self.process.poll() is None and time.monotonic() < give_up_at:
            await asyncio.sleep(0.01)
        if self.process.poll() is None:
            self.process.kill()
            self.process.wait()
        self.record.write(f"{self.name}: ended with {self.process.returncode}")

    def kill(self) -> None:
        """End the process at once, also a stopped one."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()

    def log_lines(self) -> list[str]:
        """Return the lines of the process's log so far."""
        return self.log.read_text(errors="replace").splitlines() if self.log.exists() else []

    async def serves(self) -> None:
        """Wait until the health check answers 200. Raises CannotRun."""
        give_up_at = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < give_up_at:
            try:
                status, _ = await http_call(
                    self.config["listen"], b"GET /_health HTTP/1.1\r\nHost: f\r\n\r\n"
                )
                if status == 200:
                    self.record.write(f"{self.name}: /_health answers 200")
                    return
            except (OSError, asyncio.IncompleteReadError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} does not serve")

    async def call(self, line: str, timeout_s: float = 5.0) -> str:
        """Make an operator's call at the management address; return its answer, "" without one."""
        host, _, port = self.config["management"].rpartition(":")
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(line.encode() + b"\n")
                answer = (await reader.read()).decode().strip()
                writer.close()
                return answer
        except (OSError, TimeoutError):
            return ""


async def read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    """Read one HTTP message with a body of a stated length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.strip().split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    return first, headers, await reader.readexactly(int(headers.get("content-length", 0)))


async def http_call(address: str, message: bytes, timeout_s: float = 30.0) -> tuple[int, bytes]:
    """Send one message on a new connection; return the status and the body of the answer."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(message)
            first, _, body = await read_message(reader)
            return int(first.split()[1]), body
        finally:
            writer.close()


class Discovery:
    """The discovery service: whole lists, watches with a blank line every 2 s, and one numbered history."""

    def __init__(self, record: Record, port: int) -> None:
        self.record = record
        self.port = port
        self.generation = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}
        self.watches: dict[asyncio.StreamWriter, None] = {}
        self.slow_calls_s = 0.0  # calls that come now wait this long for their turn and then get 503
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, LOOPBACK, self.port)

    def change(self, *entries: dict[str, Any]) -> None:
        """Add or change entries, as one version, and tell all watches."""
        self.generation += 1
        for entry in entries:
            self.entries[entry["instanceId"]] = entry
            self.changed_at[entry["instanceId"]] = self.generation
            self.record.write(f"discovery: {entry['instanceId']} is {entry['lifecycle']} in {entry['zone']}")
        line = self._line(False, list(entries))
        for writer in list(self.watches):
            self._chunk(writer, line)

    def _line(self, is_whole: bool, entries: list[dict[str, Any]]) -> bytes:
        update = {"generation": self.generation, "reset": is_whole, "instances": entries}
        return json.dumps(update).encode() + b"\n"

    def _whole(self) -> bytes:
        return self._line(True, [entry for entry in self.entries.values() if entry["lifecycle"] != "left"])

    def _chunk(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        if writer.is_closing():
            self.watches.pop(writer, None)
            return
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, _, _ = await read_message(reader)
                target = first.split()[1]
                if self.slow_calls_s:
                    self.record.write(f"discovery: a call waits for its turn ({target})")
                    await asyncio.sleep(self.slow_calls_s)
                    writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                    continue
                if "follow=1" in target:
                    await self._watch(reader, writer, int(target.partition("since=")[2] or 0))
                    return
                body = self._whole()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the node has closed the connection, or the case is over
        finally:
            self.watches.pop(writer, None)
            writer.close()

    async def _watch(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, since: int) -> None:
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if 0 < since <= self.generation:
            later = [self.entries[name] for name, at in self.changed_at.items() if at > since]
            self._chunk(writer, self._line(False, later))
        else:
            self._chunk(writer, self._whole())
        self.watches[writer] = None
        while not reader.at_eof() and not writer.is_closing():
            try:
                async with asyncio.timeout(BLANK_LINE_INTERVAL_S):
                    if not await reader.read(4096):
                        return
            except TimeoutError:
                self._chunk(writer, b"\n")


class Link(asyncio.DatagramProtocol):
    """One end of the way between two nodes: takes what the one sends, and passes it on from the other end."""

    def __init__(self, links: Links, near: int, far: int) -> None:
        self.links = links
        self.near = near  # the node that sends to this end, and hears the other one from it
        self.far = far
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport  # type: ignore[assignment]

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass a datagram on, unless the way is cut."""
        other = self.links.ends[self.far, self.near]
        if not {self.near, self.far} & self.links.cut and other.transport is not None:
            other.transport.sendto(data, (LOOPBACK, self.links.ports[self.far]))


class Links:
    """All ways between nodes, as a proxy of their datagrams. A node in `cut` hears nobody, and nobody it."""

    def __init__(self, ports: list[int]) -> None:
        self.ports = ports  # at which the nodes listen, by number
        self.cut: set[int] = set()
        self.ends: dict[tuple[int, int], Link] = {}
        self.addresses: dict[tuple[int, int], str] = {}

    async def open(self) -> None:
        """Open both ends of each way."""
        loop = asyncio.get_running_loop()
        for near in range(len(self.ports)):
            for far in range(len(self.ports)):
                if near != far:
                    transport, link = await loop.create_datagram_endpoint(
                        lambda near=near, far=far: Link(self, near, far), local_addr=(LOOPBACK, 0)
                    )
                    self.ends[near, far] = link
                    port = transport.get_extra_info("sockname")[1]
                    self.addresses[near, far] = f"{LOOPBACK}:{port}"

    def peers(self, node: int) -> list[str]:
        """Return the addresses of all nodes as this one has them."""
        own = f"{LOOPBACK}:{self.ports[node]}"
        return [own if node == far else self.addresses[node, far] for far in range(len(self.ports))]


class Attempt:
    """A request as an executor got it, whole."""

    def __init__(self, executor: Executor, target: str, headers: dict[str, str], number: int) -> None:
        self.executor = executor
        self.target = target
        self.request_id = headers.get("x-request-id", "")
        self.key = headers.get("idempotency-key", "")
        self.number = number  # of this executor, from 1


class Lost(Exception):
    """Raised by a behaviour: the executor's connection is reset."""


class Executor:
    """An executor. `behave` runs a request and returns its result; it runs as long as it takes."""

    def __init__(
        self, record: Record, name: str, zone: str, port: int, behave: Callable[[Attempt], Awaitable[str]]
    ) -> None:
        self.record = record
        self.name = name
        self.zone = zone
        self.port = port
        self.behave = behave
        self.attempts: list[Attempt] = []
        self.tells_start = False
        self.server: asyncio.Server | None = None

    async def open(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, LOOPBACK, self.port)

    def entry(self, lifecycle: str = "active", started_at_ms: int = 0, **other: Any) -> dict[str, Any]:
        """Return its entry of the list."""
        return {
            "instanceId": self.name,
            "hostPort": f"{LOOPBACK}:{self.port}",
            "zone": self.zone,
            "machineType": "m",
            "cell": 1,
            "lifecycle": lifecycle,
            "weight": 4.0,
            "startedAtMs": started_at_ms,
        } | other

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                first, headers, _ = await read_message(reader)
                if not first.startswith("POST"):
                    writer.write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    continue
                await self._run(writer, first.split()[1], headers)
        except Lost:
            writer.transport.abort()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the node has closed the connection, or the case is over
        finally:
            writer.close()

    async def _run(self, writer: asyncio.StreamWriter, target: str, headers: dict[str, str]) -> None:
        attempt = Attempt(self, target, headers, len(self.attempts) + 1)
        self.attempts.append(attempt)
        self.record.write(
            f"executor {self.name} ({self.zone}): request {attempt.request_id}"
            f" key {attempt.key or '-'} begins"
        )
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if self.tells_start:
            self._line(writer, attempt, {"state": "started"})
        try:
            result = await self.behave(attempt)
        except Lost:
            self.record.write(f"executor {self.name}: request {attempt.request_id}: connection reset")
            raise
        self.record.write(f"executor {self.name}: request {attempt.request_id} is done")
        self._line(writer, attempt, {"state": "done", "result": result})
        writer.write(b"0\r\n\r\n")

    def _line(self, writer: asyncio.StreamWriter, attempt: Attempt, fields: dict[str, str]) -> None:
        line = json.dumps({"id": attempt.request_id, "from": self.name} | fields).encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(line), line))


async def send_request(
    record: Record, listen: str, target: str, request_id: str, key: str = "", deadline_ms: int = 8000
) -> tuple[int, str]:
    """Send a client's request on a new connection; return the status (0: none) and the body."""
    lines = [
        f"POST {target} HTTP/1.1",
        "Host: backend.local",
        f"X-Request-Id: {request_id}",
        f"X-Deadline: {deadline_ms}m",
        "X-Cost-Hint: 20000",
        "Content-Length: 2",
    ]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    record.write(f"client: request {request_id} {target} key {key or '-'} is sent")
    try:
        message = "\r\n".join(lines).encode() + b"\r\n\r\n{}"
        status, body = await http_call(listen, message, deadline_ms / 1000 + 1.0)
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as error:
        record.write(f"client: request {request_id} gets no answer: {type(error).__name__}")
        return 0, ""
    record.write(f"client: request {request_id} is answered {status} {body.decode()!r}")
    return status, body.decode()


async def _with_time_limit(case: Awaitable[bool]) -> bool:
    async with asyncio.timeout(TIME_LIMIT_S):
        return await case


def main(record_file: Path, case: Callable[[Record, Path], Awaitable[bool]]) -> int:
    """Run a case in a temporary folder; return the exit code of its script.

    `case(record, folder)` returns whether the rule held, and ends the processes that it started.
    """
    record = Record(record_file)
    record.write(f"trouble: {'on' if trouble_is_on() else 'off'}")
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # so that the case ends what it started
    with tempfile.TemporaryDirectory() as folder:
        try:
            held = asyncio.run(_with_time_limit(case(record, Path(folder))))
        except (Exception, KeyboardInterrupt) as error:  # whatever it was, the rule was not judged
            record.write(f"cannot run: {error!r}")
            return CANNOT_RUN
    record.write("the rule held" if held else "THE RULE WAS BROKEN")
    return HELD if held else BROKEN
