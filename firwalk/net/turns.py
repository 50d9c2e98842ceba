"""Runs the timers of the decisions on the event loop: soon, or at their time, one turn due at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable


class Turns:
    """A turn that is to come soon is never put off: where each piece of work asks for one, work without a
    pause would keep every timer from running."""

    def __init__(self, loop: asyncio.AbstractEventLoop, run: Callable[[], None]):
        self.loop, self.run = loop, run
        self.due: asyncio.Handle | None = None
        self.soon_due = False

    def soon(self) -> None:
        """In the loop's next iteration."""
        if not self.soon_due:
            self._replace(self.loop.call_soon(self._turn))
            self.soon_due = True

    def after(self, seconds: float) -> None:
        """So long from now, unless one comes sooner."""
        if not self.soon_due:
            self._replace(self.loop.call_later(seconds, self._turn))

    def _replace(self, handle: asyncio.Handle) -> None:
        if self.due is not None:
            self.due.cancel()
        self.due = handle

    def _turn(self) -> None:
        self.soon_due = False
        self.run()
