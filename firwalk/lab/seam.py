"""Starts the program with skewed clocks: `python -m firwalk.lab.seam FILE PROGRAM'S ARGUMENTS`.

FILE holds two 8-byte floats: the offset of the wall clock (time.time) in seconds, and the rate of the wall
and monotonic clocks. The rig changes them while the program runs. The monotonic clock never jumps, as
clock_gettime(2) guarantees and the cluster requires.

Only the clock readings of this program change, never the machine's clocks.
"""

from __future__ import annotations

import mmap
import struct
import sys
import time

LAYOUT = struct.Struct("dd")


def skew(path: str) -> None:
    """Replace time.time and time.monotonic by clocks that follow the file."""
    with open(path, "r+b") as file:
        shared = mmap.mmap(file.fileno(), LAYOUT.size)
    real_monotonic, real_time, begun = time.monotonic, time.time, time.monotonic()

    def clock_error() -> tuple[float, float]:
        offset, rate = LAYOUT.unpack(shared[: LAYOUT.size])
        return offset, (rate - 1.0) * (real_monotonic() - begun)

    time.monotonic = lambda: real_monotonic() + clock_error()[1]
    time.time = lambda: real_time() + sum(clock_error())


def write(path: str, offset: float, rate: float) -> None:
    """Set the offset and the rate in the file."""
    with open(path, "r+b") as file:
        file.write(LAYOUT.pack(offset, rate))


def make(path: str) -> None:
    """Create the file for clocks without skew."""
    with open(path, "wb") as file:
        file.write(LAYOUT.pack(0.0, 1.0))


if __name__ == "__main__":
    skew(sys.argv[1])
    sys.argv = [sys.argv[0], *sys.argv[2:]]
    from firwalk.__main__ import main

    sys.exit(main())
