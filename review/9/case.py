"""Lists come indented, and zones have names with accents: the node never hears of an executor that drains."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import rig2  # noqa: E402

GRACE_S = 0.5  # `guarantees.stop-sending-within-us`
TOLD_AFTER_S = 6.0  # PROTOCOL.md: "counts as told 6 s later at the latest, whether or not it arrived"
QUIET_S = 2.0
WATCHED_S = 12.0


async def case(record: rig2.Record, folder: Path) -> str:
    """Play the case; return what broke the rule."""
    zones = ["são-paulo", "brasília"]
    executors = [rig2.Executor(record, f"s-{number}", zones[number % 2]) for number in range(4)]
    for executor in executors:
        await executor.open()
    discovery = rig2.Discovery(record, executors)
    discovery.is_indented = rig2.has_trouble()
    await discovery.open()
    known = discovery.update(executors, True)
    node = rig2.Node(record, folder, rig2.config(discovery, known, rig2.settings(zones)))
    node.start()
    try:
        await node.wait_ready()
        traffic = asyncio.create_task(
            rig2.load(record, node.address, ["grid-cut", "bulletin-send"], QUIET_S + WATCHED_S, 0.05, 4)
        )
        await asyncio.sleep(QUIET_S)
        told_at = discovery.change(executors[0], "leaving") + TOLD_AFTER_S
        await traffic
    finally:
        node.end()
    if not any(attempt.came < told_at - TOLD_AFTER_S for attempt in executors[0].attempts):
        raise rig2.CannotRun("the executor had got no request before it was to drain")
    limit = told_at + GRACE_S + rig2.SOCKET_SLACK_S
    late = [attempt for attempt in executors[0].attempts if attempt.came > limit]
    record.write(f"s-0 counts as told at {told_at:.3f}, nothing may be sent after {limit:.3f}")
    if late:
        last_s = late[-1].came - told_at
        return f"{len(late)} requests were sent to s-0, the last {last_s:.1f} s after it counts as told"
    return ""


rig2.main(HERE / "record.txt", case)
