"""Detects that this process stood still: it was stopped, or its machine was.

What is read afterwards may have come at any time since: a request may be older than its client waits. How
long its last bytes have waited the kernel knows (tcp(7), TCP_INFO: `tcpi_last_data_recv`). All times are of
the monotonic clock.
"""

from __future__ import annotations

import asyncio
import socket
import struct
from time import monotonic

HEARTBEAT_INTERVAL_S = 0.25
STALL_S = 1.0  # late by as much, a heartbeat shows a stall; by less, a busy moment
PAUSE_S = 0.1  # the same, where the time of a signal is in question
BACKLOG_S = 5.0  # after a stall, in which what has waited may still be unread
LAST_RECEIVED_OFFSET = 52  # of `tcpi_last_data_recv`, milliseconds in 32 bits of native order
LAST_RECEIVED_FORMAT = "=I"
TCP_INFO_BYTES = LAST_RECEIVED_OFFSET + 4


class StallDetector:
    """Notices stalls by late heartbeats."""

    def __init__(self) -> None:
        self.heartbeat_at = monotonic()
        self.stall_ended_at = float("-inf")
        self.stall_length_s = 0.0
        self.pause_began_at = float("-inf")
        self.pause_ended_at = float("-inf")

    async def run(self) -> None:
        """Beats until it is cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            self.beat(monotonic())

    def beat(self, now: float) -> None:
        """One heartbeat."""
        if now - self.heartbeat_at > HEARTBEAT_INTERVAL_S + STALL_S:
            self.stall_ended_at = now
            self.stall_length_s = now - self.heartbeat_at
        if now - self.heartbeat_at > HEARTBEAT_INTERVAL_S + PAUSE_S:
            self.pause_began_at = self.heartbeat_at
            self.pause_ended_at = now
        self.heartbeat_at = now

    def running_until(self, now: float) -> float:
        """When this process ran last for sure: now, or before the pause that it has just woken from."""
        if now - self.heartbeat_at > HEARTBEAT_INTERVAL_S + PAUSE_S:
            return self.heartbeat_at
        has_just_woken = (
            now - self.heartbeat_at < HEARTBEAT_INTERVAL_S
            and now < self.pause_ended_at + HEARTBEAT_INTERVAL_S
        )
        return self.pause_began_at if has_just_woken else now

    def time_unread(self, now: float, sock: socket.socket) -> float:
        """Seconds for which what is read from the socket now has waited."""
        waited = _time_since_received(sock)
        if now - self.heartbeat_at > HEARTBEAT_INTERVAL_S + STALL_S:  # read before the heartbeat
            stalled = now - self.heartbeat_at
            return stalled if waited is None else min(waited, stalled)
        if now < self.stall_ended_at + BACKLOG_S:
            return self.stall_length_s if waited is None else min(waited, self.stall_length_s)
        return waited or 0.0


def _time_since_received(sock: socket.socket) -> float | None:
    """Seconds since the socket's last bytes came; None where the kernel does not tell."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        (milliseconds,) = struct.unpack_from(LAST_RECEIVED_FORMAT, info, LAST_RECEIVED_OFFSET)
    except (OSError, struct.error):
        return None
    return float(milliseconds / 1e3)
