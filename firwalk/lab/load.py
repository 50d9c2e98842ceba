"""Load generator with a client-side load balancer.

Arrivals are open-loop: they do not wait for answers (Schroeder, Wierman, Harchol-Balter, "Open Versus Closed:
A Cautionary Tale", NSDI 2006). Latency is measured from the intended send and includes retries. The load
balancer distributes connections over the nodes of a zone that pass its health checks; it detects a dead node
after one second.
"""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, field

import orjson

from firwalk.lab.scenario import Offering, Scenario
from firwalk.lab.standins import is_healthy, read_message

HEALTH_INTERVAL_S = 0.5
# A node counts as down after this many failed health checks in a row.
FAILURES_UNTIL_DOWN = 2
# A client waits this long past the expiry, to observe late answers.
LATE_ANSWER_WAIT_S = 1.0


@dataclass
class ClientAttempt:
    """One attempt of a client; `status` 0: no complete answer, and `ending` holds the reason."""

    name: str
    node: int
    sent: float
    expiry: float
    status: int = 0
    answered: float = 0.0
    ending: str = ""
    retry_number: int = 0
    body_fits: bool = True


@dataclass
class Job:
    """A client's request with all its attempts; `intended` is its scheduled send time."""

    key: str
    offering: Offering
    zone: int
    intended: float
    tries: list[ClientAttempt] = field(default_factory=list)
    done_at: float = 0.0
    over: bool = False


class Front:
    """A load balancer that tracks which nodes are healthy."""

    def __init__(self, addresses: list[tuple[str, int]], zones: int):
        self.addresses, self.zones = addresses, zones
        self.up = [False] * len(addresses)
        self.failed_checks = [0] * len(addresses)
        self.next_index = 0

    async def watch(self) -> None:
        """Check the health of all nodes until cancelled."""
        await asyncio.gather(*(self._watch(number) for number in range(len(self.addresses))))

    async def _watch(self, number: int) -> None:
        while True:
            if await is_healthy(self.addresses[number]):
                self.up[number], self.failed_checks[number] = True, 0
            else:
                self.failed_checks[number] += 1
                if self.failed_checks[number] >= FAILURES_UNTIL_DOWN:
                    self.up[number] = False
            await asyncio.sleep(HEALTH_INTERVAL_S if self.up[number] else 0.1)

    def pick(self, zone: int) -> int | None:
        """Return the next healthy node of the zone, round-robin, or of any zone if the zone has none."""
        local = [n for n, up in enumerate(self.up) if up and n % self.zones == zone]
        candidates = local or [n for n, up in enumerate(self.up) if up]
        self.next_index += 1
        return candidates[self.next_index % len(candidates)] if candidates else None


class Load:
    """Generates the scenario's requests and records their attempts."""

    def __init__(self, scenario: Scenario, seed: int, front: Front):
        self.scenario, self.front, self.seed = scenario, front, seed
        self.rng = random.Random(seed)
        self.jobs: list[Job] = []
        self.idle: dict[int, list[tuple]] = {}
        self.last_id, self.late = 0, 0.0  # late: maximum delay of a send in seconds

    def arrivals(self, seconds: float) -> list[tuple[float, Offering, int]]:
        """Return the arrivals by time: a Poisson process per offering, with random zones."""
        shares = self.scenario.load.zones or [1.0] * self.scenario.fleet.zones
        found = []
        for offering in self.scenario.offerings:
            at = offering.begins + self.rng.expovariate(offering.rate)
            while at < min(seconds, offering.ends):
                zone = self.rng.choices(range(len(shares)), shares)[0]
                found.append((at, offering, zone))
                at += self.rng.expovariate(offering.rate)
        return sorted(found, key=lambda one: one[0])

    async def run(self, began: float, seconds: float) -> None:
        """Send all requests at their times, and wait until they are finished."""
        tasks = []
        for at, offering, zone in self.arrivals(seconds):
            wait = began + at - time.monotonic()
            if wait > 0:
                await asyncio.sleep(wait)
            self.late = max(self.late, -wait)
            job = Job(f"j{len(self.jobs)}", offering, zone, began + at)
            self.jobs.append(job)
            tasks.append(asyncio.ensure_future(self._run_job(job)))
        await asyncio.gather(*tasks)

    async def _run_job(self, job: Job) -> None:
        """Retry rejected requests, which had no effect, and unanswered ones if not side-effecting."""
        end = job.intended + job.offering.expiry
        for retry_number in range(self.scenario.load.retries + 1):
            remaining_s = end - time.monotonic()
            if remaining_s <= 0.01:
                break
            node = self.front.pick(job.zone)
            if node is None:
                await asyncio.sleep(0.05)
                continue
            retry_after_s = await self._send_attempt(job, node, remaining_s, retry_number)
            attempt = job.tries[-1]
            if attempt.status == 200:
                job.done_at = attempt.answered
                break
            retriable = job.offering.effect != "side-effecting"
            if attempt.status not in (429, 503) and not (attempt.ending and retriable):
                break
            await asyncio.sleep(min(retry_after_s or 0.02, max(end - time.monotonic(), 0.0)))
        job.over = True

    async def _send_attempt(self, job: Job, node: int, remaining_s: float, retry_number: int) -> float:
        """Send one attempt and return the Retry-After of its answer in seconds, or 0."""
        self.last_id += 1
        name = f"{self.seed & 0xFFFF:04x}{self.last_id:012x}"
        attempt = ClientAttempt(
            name, node, time.monotonic(), time.monotonic() + remaining_s, retry_number=retry_number
        )
        job.tries.append(attempt)
        connection = None
        try:
            connection = self._idle_connection(node) or await asyncio.open_connection(
                *self.front.addresses[node]
            )
            reader, writer = connection
            body = orjson.dumps({"cost": job.offering.cost, "node": node})
            hint = int(job.offering.cost * job.offering.hint * 1e6)
            optional_headers = "X-Retry: 1\r\n" if retry_number else ""
            optional_headers += f"X-Tenant: {job.offering.team}\r\n" if job.offering.team else ""
            writer.write(
                f"POST /{job.offering.name}/{job.key} HTTP/1.1\r\nHost: b\r\nX-Request-Id: {name}\r\n"
                f"X-Deadline: {int(remaining_s * 1e6)}u\r\nX-Cost-Hint: {hint}\r\n{optional_headers}"
                f"Idempotency-Key: {job.key}\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                + body
            )
            attempt.sent = time.monotonic()
            attempt.expiry = attempt.sent + remaining_s
            async with asyncio.timeout(remaining_s + LATE_ANSWER_WAIT_S):
                answer = await read_message(reader)
            if answer is None:
                attempt.ending = "broken"
                writer.close()
                return 0.0
            attempt.status, attempt.answered = int(answer[0].split()[1]), time.monotonic()
            attempt.body_fits = attempt.status != 200 or answer[2] == f"made of {name}".encode()
            if answer[1].get("connection", "").lower() == "close":
                writer.close()
            else:
                self.idle.setdefault(node, []).append(connection)
            return float(answer[1].get("retry-after", 0) or 0)
        except TimeoutError:
            attempt.ending = "silent"
        except OSError:
            attempt.ending = "refused" if connection is None else "broken"
        if connection is not None:
            connection[1].close()
        return 0.0

    def _idle_connection(self, node: int) -> tuple | None:
        idle = self.idle.get(node, [])
        while idle:
            reader, writer = idle.pop()
            if not reader.at_eof() and not writer.transport.is_closing():
                return reader, writer
            writer.close()
        return None
