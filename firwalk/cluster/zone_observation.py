"""What one node observed in one zone between two reports."""

from __future__ import annotations

from dataclasses import dataclass

UNAVAILABLE_RATIO = 0.5  # of a node's attempts in a zone that reached nobody
MIN_ATTEMPTS = 3  # by one node in an evaluation round: with fewer it has no vote


@dataclass(slots=True)
class ZoneObservation:
    """Counts of attempts and health checks in a zone.

    `unreachable`: ended without a connection, in silence or with a lost connection. `capacity`: work per
    second of all executors there, warm, by the node's endpoint list.
    """

    attempts: int = 0
    unreachable: int = 0
    errors: int = 0
    start_delay_s: float = 0.0  # median, from sending to the start of the work
    capacity: float = 0.0

    def is_unavailable(self) -> bool:
        """Whether most attempts there reached nobody."""
        return self.unreachable > UNAVAILABLE_RATIO * self.attempts
