"""Lists are pushed, and discovery returns after an outage: the node asks again seconds too late."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import rig2  # noqa: E402

GRACE_S = 0.5  # `guarantees.stop-sending-within-us`
OUTAGE_S = 8.0  # "discovery is down for 8 s, into the start of a release"
RELEASE_S = 6.0  # after the begin of the outage, executors begin to drain
SETTLED_S = 3.0
WATCHED_S = 5.0  # after the return
NODES = 3  # "10 to 14 processadores and 3 nodes"
EXECUTORS = 12
DRAINED = 2  # "up to 19% of the fleet at a time"
CLIENTS = 4  # of each node
PAUSE_S = 0.05
CLASSES = ["leitura-lote", "fechamento"]


def site_settings(zones: list[str]) -> rig2.Json:
    """Return settings with the figures of the `leituras-sul` brief, where lists are pushed."""
    settings = rig2.settings(zones) | {"discovery": "push"}
    settings["guarantees"] |= {"cold-from": 0.16, "cold-us": 23000000, "fall-multiple": 3.0}
    settings["guarantees"] |= {"tip-after-us": 1500000, "stop-sending-within-us": int(GRACE_S * 1e6)}
    light, heavy = settings["offerings"]
    light |= {"name": CLASSES[0], "repeat": "safe", "due-time-us": 400000, "expiry-us": 8000000}
    heavy |= {"name": CLASSES[1], "repeat": "safe", "importance": 15.0, "expiry-us": 20000000}
    return settings


async def case(record: rig2.Record, folder: Path) -> str:
    """Play the case; return what broke the rule."""
    zones = ["sala-poa", "sala-caxias"]
    executors = [rig2.Executor(record, f"s-{number}", zones[number % 2]) for number in range(EXECUTORS)]
    for executor in executors:
        await executor.open()
    discovery = rig2.Discovery(record, executors)
    await discovery.open()
    known = discovery.update(executors, True)
    nodes = []
    for number in range(NODES):
        settings = site_settings(zones) | {"self-index": number, "siblings": NODES}
        own = {"name": f"n{number}", "seed": f"{number + 1:016x}"}
        nodes.append(rig2.Node(record, folder, rig2.config(discovery, known, settings) | own))
    drained = [executors[2 * number] for number in range(DRAINED)]  # of the nodes' own zone
    try:
        for node in nodes:
            node.start()
        for node in nodes:
            await node.wait_ready()
        seconds = SETTLED_S + OUTAGE_S + WATCHED_S
        traffic = [rig2.load(record, node.address, CLASSES, seconds, PAUSE_S, CLIENTS) for node in nodes]
        sending = asyncio.gather(*traffic)
        await asyncio.sleep(SETTLED_S)
        if rig2.has_trouble():
            discovery.go_down()
        await asyncio.sleep(RELEASE_S)
        for executor in drained:
            discovery.change(executor, "leaving")
        told_at = record.now()
        await asyncio.sleep(OUTAGE_S - RELEASE_S)
        if rig2.has_trouble():
            await discovery.open()
            told_at = record.now()
        await sending
    finally:
        for node in nodes:
            node.end()
    came = [attempt.came for executor in drained for attempt in executor.attempts]
    if not any(at < told_at for at in came):
        raise rig2.CannotRun("no executor that drains had got a request before")
    limit = told_at + GRACE_S + rig2.SOCKET_SLACK_S
    record.write(f"the drains count as told at {told_at:.3f}, nothing may be sent after {limit:.3f}")
    late = [at - told_at for at in came if at > limit]
    if late:
        return f"{len(late)} requests to drained executors, up to {max(late):.2f} s after the return"
    return ""


rig2.main(HERE / "record.txt", case)
