"""Case 1: after an upgrade, a fingerprinted request runs in two zones although its group is the zone."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import rig

CROWDED_CALL_S = 2.0  # a call of discovery waits so long for its turn, and gets 503
LONG_RUN_S = 7.0
LONG_REQUESTS = 9
KEYED_REQUESTS = 24
READY_TIMEOUT_S = 6.0
STOP_TIMEOUT_S = 6.0


def node_config(ports: list[int], discovery: rig.Discovery) -> dict[str, Any]:
    """Return the node's configuration; the management address is the process's own."""
    return {
        "name": "n0",
        "listen": f"{rig.LOOPBACK}:{ports[0]}",
        "discovery": f"{rig.LOOPBACK}:{discovery.port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"memory_mb": 192, "sockets": 512},
        "known": {"generation": 0, "reset": True, "instances": []},
        "settings": {
            "self-index": 0,
            "siblings": 1,
            "resolution-us": 5000,
            "az": 0,
            "azs": ["a", "b"],
            "kinds": ["m"],
            "discovery": "ask",
            "weights": "nominal",
            "limits": {"most-assignments": 3, "cancel": True, "second-copies": False, "probing": False},
            "guarantees": {"ask-within-us": 10000000, "stop-sending-within-us": 500000},
            "offerings": [
                {
                    "name": "report",
                    "repeat": "safe",
                    "due-time-us": 9000000,
                    "expiry-us": 12000000,
                    "importance": 1.0,
                },
                {
                    "name": "place-order",
                    "repeat": "keyed",
                    "group": "zone",
                    "key-ttl-us": 10000000,
                    "due-time-us": 4000000,
                    "expiry-us": 6000000,
                    "importance": 1.0,
                },
            ],
        },
    }


class Effects:
    """The executors' side: the keys that each zone has seen, and the zones in which each key took effect."""

    def __init__(self, record: rig.Record) -> None:
        self.record = record
        self.seen: dict[tuple[str, str], None] = {}  # (zone, key)
        self.zones: dict[str, list[str]] = {}  # by key
        self.long_runs: dict[str, int] = {}  # by executor: long requests that it has begun

    async def behave(self, attempt: rig.Attempt) -> str:
        """Run a request; the connection of an order is reset after its effect, the first time."""
        if attempt.target.startswith("/report/"):
            self.long_runs[attempt.executor.name] = self.long_runs.get(attempt.executor.name, 0) + 1
            await asyncio.sleep(LONG_RUN_S)
            return "report"
        await asyncio.sleep(0.02)
        zone = attempt.executor.zone
        if (zone, attempt.key) not in self.seen:
            self.seen[zone, attempt.key] = None
            self.zones.setdefault(attempt.key, []).append(zone)
            self.record.write(f"effect: key {attempt.key} takes effect in zone {zone}")
            if len(self.zones[attempt.key]) == 1:
                raise rig.Lost
        return "placed"


async def run(record: rig.Record, folder: Path) -> bool:
    """Replace the node's process while two executors join and discovery is crowded; then send orders."""
    ports = rig.free_ports(7)
    discovery = rig.Discovery(record, ports[3])
    effects = Effects(record)
    names = (("s-a0", "a"), ("s-a1", "a"), ("s-b1", "b"))
    executors = [
        rig.Executor(record, name, zone, port, effects.behave)
        for (name, zone), port in zip(names, ports[4:], strict=True)
    ]
    for stand_in in (discovery, *executors):
        await stand_in.open()
    discovery.change(executors[0].entry())
    config = node_config(ports, discovery)
    nodes = [
        rig.Node(record, name, config | {"management": f"{rig.LOOPBACK}:{port}"}, folder)
        for name, port in (("old", ports[1]), ("new", ports[2]))
    ]
    tasks: list[asyncio.Task[tuple[int, str]]] = []
    try:
        await upgrade(record, discovery, executors, nodes, tasks)
        return await orders(record, config["listen"], effects)
    finally:
        for node in nodes:
            node.kill()
        for task in tasks:
            task.cancel()


async def upgrade(
    record: rig.Record,
    discovery: rig.Discovery,
    executors: list[rig.Executor],
    nodes: list[rig.Node],
    tasks: list[asyncio.Task[tuple[int, str]]],
) -> None:
    """Start the new process, let two executors join, and end the old process once the new one is ready."""
    old, new = nodes
    old.start()
    await old.serves()
    if rig.trouble_is_on():
        discovery.slow_calls_s = CROWDED_CALL_S
    new.start()
    await logged(old, "another process of this node has come")
    discovery.change(*(executor.entry() for executor in executors[1:]))
    await asyncio.sleep(0.3)
    for number in range(LONG_REQUESTS):
        request = rig.send_request(
            record, old.config["listen"], "/report/1", f"long-{number}", deadline_ms=12000
        )
        tasks.append(asyncio.get_running_loop().create_task(request))
        await asyncio.sleep(0.02)
    give_up_at = time.monotonic() + READY_TIMEOUT_S
    while (answer := await new.call("PING")) != "+OK" and time.monotonic() < give_up_at:
        await asyncio.sleep(0.05)
    record.write(f"operator at new: PING: {answer}")
    if answer != "+OK":
        raise rig.CannotRun("the new process is not ready")
    discovery.slow_calls_s = 0.0
    old.signal(signal.SIGTERM)
    await old.ended(STOP_TIMEOUT_S)
    await asyncio.sleep(5.0)  # "counts as told at the latest 6 s after": the new process has the list by now


async def logged(node: rig.Node, text: str) -> None:
    """Wait until a line of the node's log holds the text. Raises CannotRun."""
    give_up_at = time.monotonic() + READY_TIMEOUT_S
    while not any(text in line for line in node.log_lines()):
        if time.monotonic() > give_up_at:
            raise rig.CannotRun(f"{node.name} does not log {text!r}")
        await asyncio.sleep(0.02)


async def orders(record: rig.Record, listen: str, effects: Effects) -> bool:
    """Send orders one after the other; return whether each took effect in one zone at the most."""
    for number in range(KEYED_REQUESTS):
        await rig.send_request(
            record, listen, f"/place-order/{number}", f"order-{number}", f"key-{number}", deadline_ms=6000
        )
    twice = {key: zones for key, zones in effects.zones.items() if len(zones) > 1}
    for key, zones in twice.items():
        record.write(f"{key} took effect in zones {', '.join(zones)}")
    record.write(f"{len(twice)} of {len(effects.zones)} keys took effect twice")
    if not effects.zones:
        raise rig.CannotRun("no order took effect")
    return not twice


if __name__ == "__main__":
    sys.exit(rig.main(Path(__file__).resolve().with_name("record.txt"), run))
