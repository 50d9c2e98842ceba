"""Measures the lag of the rig's own event loop, and bounds the arrival time of what it reads late.

On a machine short of processors the loop stalls for tenths of a second, and data that arrived meanwhile is
read all at once afterwards. A checker that took the read time for the send time would blame a node for the
rig's own delay.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from pathlib import Path

# Interval between two measurements.
TICK_S = 0.01
# A tick later than this counts as a stall.
STALL_S = 0.1


@dataclass(frozen=True)
class ProcessorTime:
    """Processor time since boot in clock ticks (proc_stat(5)): the total, and the part stolen by the host."""

    total: int
    stolen: int

    @classmethod
    def now(cls) -> ProcessorTime:
        """Read the current counters."""
        first_line = Path("/proc/stat").read_text().splitlines()[0]
        counts = [int(word) for word in first_line.split()[1:9]]
        return cls(sum(counts), counts[7])

    def stolen_share_since(self, earlier: ProcessorTime) -> float:
        """Return the share of processor time that the host took since `earlier`."""
        return (self.stolen - earlier.stolen) / max(self.total - earlier.total, 1)


class Pace:
    """Samples the clock periodically on the event loop.

    `lag_s` is the largest lag so far, `steady_since` the end of the last stall.
    """

    def __init__(self) -> None:
        self.lag_s, self.steady_since = 0.0, 0.0
        self._last = self._before_last = time.monotonic()
        self._handle: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start sampling on the running loop."""
        self._last = self._before_last = time.monotonic()
        self._schedule()

    def stop(self) -> None:
        """Stop sampling."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def reset_lag(self) -> None:
        """Discard the lag measured while the run was set up."""
        self.lag_s = 0.0

    def earliest_arrival(self) -> float:
        """Return the earliest time at which data read now can have arrived.

        The loop polls all sockets between any two ticks, so whatever arrived before the last tick but one was
        read by the last one.
        """
        return self._before_last

    def _schedule(self) -> None:
        self._handle = asyncio.get_running_loop().call_later(TICK_S, self._tick)

    def _tick(self) -> None:
        now = time.monotonic()
        late = now - self._last - TICK_S
        self._before_last, self._last = self._last, now
        self.lag_s = max(self.lag_s, late)
        if late > STALL_S:
            self.steady_since = now
        self._schedule()
