"""Schedules the run of due timers on the event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class Turns:
    """Schedules one run at a time: in the loop's next iteration, or at the time of the next timer.

    A run in the next iteration is never postponed: where each piece of work asks for one, work without a
    pause would keep every timer from running.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, run: Callable[[], None]) -> None:
        self.loop = loop
        self.run = run
        self.scheduled: asyncio.Handle | None = None
        self.is_next = False  # scheduled for the next iteration

    def soon(self) -> None:
        """Schedules a run in the loop's next iteration."""
        if not self.is_next:
            self._reschedule(self.loop.call_soon(self._run))
            self.is_next = True

    def after(self, delay_s: float) -> None:
        """Schedules a run so long from now, unless one comes in the next iteration."""
        if not self.is_next:
            self._reschedule(self.loop.call_later(delay_s, self._run))

    def _reschedule(self, handle: asyncio.Handle) -> None:
        if self.scheduled is not None:
            self.scheduled.cancel()
        self.scheduled = handle

    def _run(self) -> None:
        self.is_next = False
        self.run()
