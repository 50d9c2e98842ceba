"""Whether this process itself stood still: stopped, or its machine paused.

What it reads when it wakes may have come at any time since: a task that waited with the machine for longer
than its client does would be sent on when nobody waits for it any more. How long its last bytes have waited
the machine tells (tcp(7), TCP_INFO: `tcpi_last_data_recv`). Times are seconds of the monotonic clock.
"""

from __future__ import annotations

import asyncio
import socket
from struct import error, unpack_from
from time import monotonic

BEAT = 0.25  # seconds between beats
STALL = 1.0  # seconds without one, beyond the beat's own, that count: a busy moment is none
PAUSE = 0.1  # the same, where the time of a signal is in question
WAKING = 5.0  # seconds after a stall in which the machine is asked: what waited is read in turn
LAST_CAME = 52  # where `tcpi_last_data_recv` is: milliseconds, in 32 bits of the machine's order


class Stalls:
    def __init__(self) -> None:
        self.beat_at = monotonic()
        self.woke_at, self.length = float("-inf"), 0.0
        self.pause_began = self.paused_until = float("-inf")

    async def run(self) -> None:
        while True:
            await asyncio.sleep(BEAT)
            self.beat(monotonic())

    def beat(self, now: float) -> None:
        if now - self.beat_at > BEAT + STALL:
            self.woke_at, self.length = now, now - self.beat_at
        if now - self.beat_at > BEAT + PAUSE:
            self.pause_began, self.paused_until = self.beat_at, now
        self.beat_at = now

    def running_until(self, now: float) -> float:
        """When this process last ran for sure: now, or before it stood still, if it has only just woken."""
        if now - self.beat_at > BEAT + PAUSE:
            return self.beat_at
        return self.pause_began if now - self.beat_at < BEAT and now < self.paused_until + BEAT else now

    def behind(self, now: float, sock: socket.socket) -> float:
        """Seconds for which what is read now has waited already; 0 in all ordinary times."""
        waited = _waited(sock)
        if now - self.beat_at > BEAT + STALL:  # this comes before the beat
            return now - self.beat_at if waited is None else min(waited, now - self.beat_at)
        if now < self.woke_at + WAKING:
            return self.length if waited is None else min(waited, self.length)
        return waited or 0.0


def _waited(sock: socket.socket) -> float | None:
    """Seconds since its last bytes came; None where the machine does not tell."""
    try:
        told = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_CAME + 4)
        return unpack_from("=I", told, LAST_CAME)[0] / 1e3
    except (OSError, error):
        return None
