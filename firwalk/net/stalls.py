"""Detects that this process did not run for some time: it, or its machine, was stopped.

Bytes read after a stall may have arrived at any time during it, so that a request's deadline may have passed
already. The kernel tells for how long the last bytes of a socket have waited (tcp(7), TCP_INFO:
`tcpi_last_data_recv`). All times are on the monotonic clock.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from time import monotonic

HEARTBEAT_INTERVAL_S = 0.25
MIN_STALL_S = 1.0  # a heartbeat this late is a stall; a shorter delay is ordinary load
MIN_PAUSE_S = 0.1  # a heartbeat this late is a pause, during which a signal may have been delivered
BACKLOG_WINDOW_S = 5.0  # for this long after a stall, bytes that arrived during it may still be unread
# `tcpi_last_data_recv` is here, a 32-bit count of milliseconds in native byte order.
LAST_RECEIVED_OFFSET = 52
LAST_RECEIVED_FORMAT = "=I"
TCP_INFO_BYTES = LAST_RECEIVED_OFFSET + 4


class StallDetector:
    """Detects stalls and pauses by late heartbeats."""

    def __init__(self) -> None:
        self.heartbeat_at = monotonic()
        self.stall_ended_at = float("-inf")
        self.stall_length_s = 0.0
        self.pause_began_at = float("-inf")
        self.pause_ended_at = float("-inf")

    async def run(self) -> None:
        """Record heartbeats until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            self.record_heartbeat(monotonic())

    def record_heartbeat(self, now: float) -> None:
        """Record a heartbeat, and a stall or pause if it is late."""
        if now - self.heartbeat_at > HEARTBEAT_INTERVAL_S + MIN_STALL_S:
            self.stall_ended_at = now
            self.stall_length_s = now - self.heartbeat_at
        if now - self.heartbeat_at > HEARTBEAT_INTERVAL_S + MIN_PAUSE_S:
            self.pause_began_at = self.heartbeat_at
            self.pause_ended_at = now
        self.heartbeat_at = now

    def running_until(self, now: float) -> float:
        """Return when this process last ran for certain: now, or before a pause that has just ended."""
        if now - self.heartbeat_at > HEARTBEAT_INTERVAL_S + MIN_PAUSE_S:
            return self.heartbeat_at
        has_pause_just_ended = (
            now - self.heartbeat_at < HEARTBEAT_INTERVAL_S
            and now < self.pause_ended_at + HEARTBEAT_INTERVAL_S
        )
        return self.pause_began_at if has_pause_just_ended else now

    def unread_time_s(self, now: float, sock: socket.socket) -> float:
        """Return for how many seconds the bytes now read from the socket have waited."""
        waited_s = _time_since_received_s(sock)
        if now - self.heartbeat_at > HEARTBEAT_INTERVAL_S + MIN_STALL_S:  # no heartbeat since the stall
            stalled_s = now - self.heartbeat_at
            return stalled_s if waited_s is None else min(waited_s, stalled_s)
        if now < self.stall_ended_at + BACKLOG_WINDOW_S:
            return self.stall_length_s if waited_s is None else min(waited_s, self.stall_length_s)
        return waited_s or 0.0


def _time_since_received_s(sock: socket.socket) -> float | None:
    """Return the seconds since the socket last received bytes; None if the kernel does not provide them."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        (milliseconds,) = struct.unpack_from(LAST_RECEIVED_FORMAT, info, LAST_RECEIVED_OFFSET)
    except (OSError, struct.error):
        return None
    return float(milliseconds / 1e3)
