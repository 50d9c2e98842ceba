"""One node's observations of one zone between two reports."""

from __future__ import annotations

from dataclasses import dataclass

UNAVAILABLE_RATIO = 0.5  # A zone is unavailable to a node if more of its attempts reach no executor.
MIN_ATTEMPTS = 3  # A node with fewer attempts in an evaluation round has no vote.


@dataclass(slots=True)
class ZoneObservation:
    """Counts of attempts and health checks in a zone.

    `unreachable`: ended without a connection, without an answer or with a lost connection. `capacity`: work
    per second of all warm executors there, by the node's endpoint list.
    """

    attempts: int = 0
    unreachable: int = 0
    errors: int = 0
    start_delay_s: float = 0.0  # median, from sending to the start of the work
    capacity: float = 0.0

    def is_unavailable(self) -> bool:
        """Return whether most attempts in the zone reached no executor."""
        return self.unreachable > UNAVAILABLE_RATIO * self.attempts
