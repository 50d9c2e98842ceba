"""Schedules the next run of due timers on the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class TimerScheduler:
    """Schedules at most one run: in the next iteration of the loop, or when the next timer is due.

    A run in the next iteration is never postponed: if each request for a run replaced it, continuous work
    would starve all timers.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, run: Callable[[], None]) -> None:
        self.loop = loop
        self.run = run
        self.scheduled: asyncio.Handle | None = None
        self.is_next = False  # The run is scheduled for the next iteration.

    def schedule_now(self) -> None:
        """Schedule a run in the next iteration of the loop."""
        if not self.is_next:
            self._reschedule(self.loop.call_soon(self._run))
            self.is_next = True

    def schedule_after(self, delay_s: float) -> None:
        """Schedule a run after this delay, unless one is scheduled for the next iteration."""
        if not self.is_next:
            self._reschedule(self.loop.call_later(delay_s, self._run))

    def _reschedule(self, handle: asyncio.Handle) -> None:
        if self.scheduled is not None:
            self.scheduled.cancel()
        self.scheduled = handle

    def _run(self) -> None:
        self.is_next = False
        self.run()
