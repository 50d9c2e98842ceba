"""A node's request counters, and the figures derived from them by which versions are compared."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

# Names of the figures in the plan and in operators' commands.
LATE = "late"
ABANDONED = "abandoned"
BOUNCED = "bounced"
ERRORS = "errors"
ASSIGNMENTS = "assignments"
BAD = "bad"
TIME = "time"

ALL = 0  # This value in place of a request class stands for all classes together.


class FigureKey(NamedTuple):
    """The name of a figure and the checksum of its request class's name."""

    name: str
    request_class: int


class Sample(NamedTuple):
    """The sum and the sum of squares of `size` observations."""

    size: float
    total: float
    squares: float = 0.0


@dataclass(slots=True)
class Sums:
    """Accumulated samples."""

    count: float = 0.0
    total: float = 0.0
    squares: float = 0.0

    def add(self, count: float, total: float, squares: float = 0.0) -> None:
        """Add a sample."""
        self.count = self.count + count
        self.total = self.total + total
        self.squares = self.squares + squares

    def mean(self) -> float:
        """Return the mean, 0 without observations."""
        return self.total / self.count if self.count else 0.0


def pooled(samples: dict[int, Sums]) -> Sums:
    """Return the sum of all nodes' samples."""
    result = Sums()
    for sample in samples.values():
        result.add(sample.count, sample.total, sample.squares)
    return result


@dataclass(slots=True)
class RequestCounts:
    """The counters of one request class at one incarnation of a node.

    `log_times`, `log_time_squares`: sums of the logarithm of the milliseconds until a request was completed,
    and of its square.
    """

    request_class: int  # checksum of its name
    requests: int = 0
    late: int = 0
    failed: int = 0
    rejected: int = 0
    errors: int = 0
    attempts: int = 0
    completed: int = 0
    log_times: float = 0.0
    log_time_squares: float = 0.0

    def minus(self, other: RequestCounts) -> RequestCounts | None:
        """Return what was counted since `other`; None if the two are of different incarnations."""
        difference = RequestCounts(
            self.request_class,
            self.requests - other.requests,
            self.late - other.late,
            self.failed - other.failed,
            self.rejected - other.rejected,
            self.errors - other.errors,
            self.attempts - other.attempts,
            self.completed - other.completed,
            self.log_times - other.log_times,
            self.log_time_squares - other.log_time_squares,
        )
        return difference if difference._is_possible() else None

    def _is_possible(self) -> bool:
        counts = (self.requests, self.late, self.failed, self.rejected, self.errors, self.attempts)
        return min(counts) >= 0 and self.completed >= 0

    def figures(self) -> dict[FigureKey, Sample]:
        """Return the figures that are compared."""
        bad = self.late + self.failed + self.rejected
        return {
            FigureKey(LATE, ALL): Sample(self.requests, self.late),
            FigureKey(ABANDONED, ALL): Sample(self.requests, self.failed),
            FigureKey(BOUNCED, ALL): Sample(self.requests, self.rejected),
            FigureKey(ERRORS, ALL): Sample(self.attempts, self.errors),
            FigureKey(ASSIGNMENTS, ALL): Sample(self.requests, max(self.attempts - self.requests, 0)),
            FigureKey(BAD, self.request_class): Sample(self.requests, bad),
            FigureKey(TIME, self.request_class): Sample(
                self.completed, self.log_times, self.log_time_squares
            ),
        }
