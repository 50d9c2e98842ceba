"""A node starts while discovery has too many callers: executors that left long ago get new requests."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import rig2  # noqa: E402

GRACE_S = 0.5  # `guarantees.stop-sending-within-us`
TOLD_AFTER_S = 6.0  # PROTOCOL.md: "counts as told 6 s later at the latest, whether or not it arrived"
BEFORE_START_S = 8.0  # between the change and the start of the process
CALL_WAIT_S = 1.0  # a call that waited so long ends with 503 (`timeout_ms` of the site file)
BUSY_CALLS = 1  # calls of this node that wait too long


async def case(record: rig2.Record, folder: Path) -> str:
    """Play the case; return what broke the rule."""
    zones = ["kolkata", "dhaka"]
    executors = [rig2.Executor(record, f"s-{number}", zones[number % 2]) for number in range(4)]
    for executor in executors:
        await executor.open()
    discovery = rig2.Discovery(record, executors)
    await discovery.open()
    known = discovery.update(executors, True)  # as this node last had it
    gone = executors[0]
    told_at = discovery.change(gone, "leaving") + TOLD_AFTER_S
    await asyncio.sleep(BEFORE_START_S)

    async def admit() -> int | None:
        if not rig2.has_trouble() or discovery.call_count > BUSY_CALLS:
            return None
        await asyncio.sleep(CALL_WAIT_S)
        return 503

    discovery.admit = admit
    node = rig2.Node(record, folder, rig2.config(discovery, known, rig2.settings(zones)))
    node.start()
    try:
        await node.wait_ready()
        await rig2.load(record, node.address, ["grid-cut", "bulletin-send"], 6.0, 0.05, 4)
    finally:
        node.end()
    if not any(executor.attempts for executor in executors[1:]):
        raise rig2.CannotRun("no executor has got a request")
    limit = told_at + GRACE_S + rig2.SOCKET_SLACK_S
    late = [attempt for attempt in gone.attempts if attempt.came > limit]
    record.write(f"{gone.name} counts as told at {told_at:.3f}, nothing may be sent after {limit:.3f}")
    if late:
        first_s = late[0].came - told_at
        return f"{len(late)} requests were sent to {gone.name}, the first {first_s:.1f} s after it was told"
    return ""


rig2.main(HERE, case)
