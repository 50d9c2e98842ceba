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
RELEASE_S = 6.0  # after the begin of the outage, an executor begins to drain
ROUNDS = 4
ROUND_S = 13.0
SETTLED_S = 2.0


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
    executors = [rig2.Executor(record, f"s-{number}", zones[number % 2]) for number in range(8)]
    for executor in executors:
        await executor.open()
    discovery = rig2.Discovery(record, executors)
    await discovery.open()
    settings = site_settings(zones)
    known = discovery.update(executors, True)
    node = rig2.Node(record, folder, rig2.config(discovery, known, settings))
    told: dict[rig2.Executor, float] = {}

    async def play_round(executor: rig2.Executor) -> None:
        await asyncio.sleep(SETTLED_S)
        if rig2.has_trouble():
            discovery.go_down()
        await asyncio.sleep(RELEASE_S)
        told[executor] = discovery.change(executor, "leaving")
        await asyncio.sleep(OUTAGE_S - RELEASE_S)
        if rig2.has_trouble():
            await discovery.open()
            told[executor] = record.now()
        await asyncio.sleep(ROUND_S - SETTLED_S - OUTAGE_S)

    node.start()
    try:
        await node.wait_ready()
        traffic = asyncio.create_task(rig2.load(record, node.address, CLASSES, ROUNDS * ROUND_S, 0.05, 4))
        for number in range(ROUNDS):
            await play_round(executors[2 * number])  # of the node's own zone
        await traffic
    finally:
        node.end()
    if not any(attempt.came < told_at for executor, told_at in told.items() for attempt in executor.attempts):
        raise rig2.CannotRun("no executor that drains had got a request before")
    late = []
    for executor, told_at in told.items():
        limit = told_at + GRACE_S + rig2.SOCKET_SLACK_S
        record.write(
            f"{executor.name} counts as told at {told_at:.3f}, nothing may be sent after {limit:.3f}"
        )
        late += [attempt.came - told_at for attempt in executor.attempts if attempt.came > limit]
    if late:
        return (
            f"{len(late)} requests were sent to drained executors, up to {max(late):.2f} s after the return"
        )
    return ""


rig2.main(HERE, case)
