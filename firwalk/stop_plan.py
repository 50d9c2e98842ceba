"""Timing of a graceful shutdown, in seconds after SIGTERM. No I/O.

The earliest SIGKILL follows SIGTERM by the longest deadline of the deployment (3 s at most) plus 0.7 s, and
clients keep using their open connections until then. The process therefore serves for as long as a response
can still be sent before the earliest kill, and has answered all requests shortly before it:

    SIGTERM ............ drain_from .......... close_idle_from .. answer_by ..... exit_by ... kill_at
    |-- serves normally --|-- closes each      --|-- closes idle --|-- rejects    --|
                             connection after       connections       new requests
                             its response

The reserve before the kill covers a process that is suspended for 0.15 s before it handles the signal, and
for another 0.15 s before it writes its last responses.
"""

from __future__ import annotations

from typing import NamedTuple

# A longer deadline of a deployment counts as this one.
MAX_DEADLINE_S = 3.0
# The earliest kill follows SIGTERM by the longest deadline plus this margin.
KILL_MARGIN_S = 0.7
# All requests are answered this long before the kill.
ANSWER_RESERVE_S = 0.3
# Each connection is closed after its next response for this long before `answer_by`.
DRAIN_PERIOD_S = 0.2
# Idle connections are closed this long before `answer_by`.
IDLE_CLOSE_MARGIN_S = 0.05
# The process exits this long before the kill at the latest.
EXIT_MARGIN_S = 0.1
# New connections may still arrive for this long after SIGTERM.
NEW_CONNECTION_PERIOD_S = 0.6
# A replaced deadline may still determine the time of the kill for this long.
REPLACED_DEADLINE_RETENTION_S = MAX_DEADLINE_S + KILL_MARGIN_S


class StopPlan(NamedTuple):
    """Times at which the phases of a shutdown begin or end, in seconds after SIGTERM."""

    drain_from: float
    close_idle_from: float
    answer_by: float
    exit_by: float
    kill_at: float

    @staticmethod
    def of(longest_deadline_s: float) -> StopPlan:
        """Return the plan of a deployment with this longest request deadline."""
        kill_at = min(longest_deadline_s, MAX_DEADLINE_S) + KILL_MARGIN_S
        answer_by = kill_at - ANSWER_RESERVE_S
        return StopPlan(
            drain_from=max(answer_by - DRAIN_PERIOD_S, 0.0),
            close_idle_from=answer_by - IDLE_CLOSE_MARGIN_S,
            answer_by=answer_by,
            exit_by=kill_at - EXIT_MARGIN_S,
            kill_at=kill_at,
        )


class ReplacedDeadline:
    """The longest deadline of a configuration that has been replaced."""

    __slots__ = ("replaced_at", "longest_s")

    def __init__(self, replaced_at: float, longest_s: float) -> None:
        self.replaced_at = replaced_at
        self.longest_s = longest_s


class Deadlines:
    """The longest deadlines of the current configuration and of those replaced recently.

    The supervisor that kills the process may use the newest configuration or an earlier one, so the shortest
    of the longest deadlines that were recently in force determines the plan.
    """

    def __init__(self, longest_s: float) -> None:
        self.current = longest_s
        self.replaced: list[ReplacedDeadline] = []

    def replace(self, longest_s: float, now: float) -> None:
        """Record the longest deadline of a configuration that takes effect now."""
        self.replaced.append(ReplacedDeadline(now, self.current))
        self.current = longest_s

    def shortest_recent(self, now: float) -> float:
        """Return the deadline that determines the earliest kill."""
        self.replaced = [
            entry for entry in self.replaced if entry.replaced_at > now - REPLACED_DEADLINE_RETENTION_S
        ]
        return min([self.current, *(entry.longest_s for entry in self.replaced)])
