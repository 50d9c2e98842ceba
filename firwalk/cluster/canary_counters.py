"""What a node counts of its requests, and the figures of it that versions are compared by."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

# Names of figures, as operators and the plan have them.
LATE = "late"
ABANDONED = "abandoned"
BOUNCED = "bounced"
ERRORS = "errors"
ASSIGNMENTS = "assignments"
BAD = "bad"
TIME = "time"

ALL = 0  # in place of a request class: over all of them


class Key(NamedTuple):
    """A figure, and the checksum of the name of its request class."""

    name: str
    request_class: int


class Sample(NamedTuple):
    """Of `size` observations: the sum of what was observed, and of its squares."""

    size: float
    total: float
    squares: float = 0.0


@dataclass(slots=True)
class Sums:
    """Samples that are added up."""

    count: float = 0.0
    total: float = 0.0
    squares: float = 0.0

    def add(self, count: float, total: float, squares: float = 0.0) -> None:
        """Adds a sample."""
        self.count = self.count + count
        self.total = self.total + total
        self.squares = self.squares + squares

    def mean(self) -> float:
        """0 without any observation."""
        return self.total / self.count if self.count else 0.0


def pooled(samples: dict[int, Sums]) -> Sums:
    """The samples of all nodes as one."""
    result = Sums()
    for sample in samples.values():
        result.add(sample.count, sample.total, sample.squares)
    return result


@dataclass(slots=True)
class Row:
    """What one incarnation of a node has counted of one request class. `log_times`, `log_time_squares`: sums
    of the logarithm of the milliseconds until a request was completed, and of its square."""

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

    def minus(self, other: Row) -> Row | None:
        """What was counted since `other`; None: the two are of different incarnations."""
        difference = Row(
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

    def figures(self) -> dict[Key, Sample]:
        """The figures that are compared."""
        bad = self.late + self.failed + self.rejected
        return {
            Key(LATE, ALL): Sample(self.requests, self.late),
            Key(ABANDONED, ALL): Sample(self.requests, self.failed),
            Key(BOUNCED, ALL): Sample(self.requests, self.rejected),
            Key(ERRORS, ALL): Sample(self.attempts, self.errors),
            Key(ASSIGNMENTS, ALL): Sample(self.requests, max(self.attempts - self.requests, 0)),
            Key(BAD, self.request_class): Sample(self.requests, bad),
            Key(TIME, self.request_class): Sample(self.completed, self.log_times, self.log_time_squares),
        }
