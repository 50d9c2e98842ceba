"""A queue of timers. Times are seconds on the caller's clock."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heapify, heappop, heappush
from math import inf
from typing import Any

TimerCallback = Callable[[float, Any], None]

MIN_CANCELLED_TO_REMOVE = 64  # fewer cancelled timers stay in the queue until they expire


class Timer:
    """A timer that calls `callback(now, argument)` when it expires, unless it is cancelled."""

    __slots__ = ("argument", "callback")

    def __init__(self, callback: TimerCallback, argument: Any) -> None:
        self.callback: TimerCallback | None = callback
        self.argument = argument


class TimerQueue:
    """Timers ordered by expiry; timers of the same expiry are ordered by insertion."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Timer]] = []
        self._last_sequence_number = 0
        self._cancelled_count = 0

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, when: float, callback: TimerCallback, argument: Any) -> Timer:
        """Add a timer and return it."""
        self._last_sequence_number += 1
        timer = Timer(callback, argument)
        heappush(self._heap, (when, self._last_sequence_number, timer))
        return timer

    def cancel(self, timer: Timer) -> None:
        """Cancel a timer, which keeps nothing alive any more. A timer that has expired is not affected."""
        if timer.callback is None:
            return
        timer.callback = timer.argument = None
        self._cancelled_count += 1
        if self._cancelled_count > max(MIN_CANCELLED_TO_REMOVE, len(self._heap) // 2):
            self._heap = [entry for entry in self._heap if entry[2].callback is not None]
            heapify(self._heap)
            self._cancelled_count = 0

    def next_due_at(self) -> float:
        """Return the expiry of the next timer; infinity if there is none."""
        while self._heap and self._heap[0][2].callback is None:
            heappop(self._heap)
            self._cancelled_count -= 1
        return self._heap[0][0] if self._heap else inf

    def pop(self) -> tuple[TimerCallback, Any]:
        """Remove and return the next timer; raise IndexError if there is none."""
        self.next_due_at()  # removes cancelled timers
        _, _, timer = heappop(self._heap)
        callback, argument = timer.callback, timer.argument
        timer.callback = timer.argument = None
        assert callback is not None, "cancelled timers are removed"
        return callback, argument
