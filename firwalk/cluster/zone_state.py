"""The failover state of one zone: when it becomes unavailable, and the steps of its recovery."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

UNAVAILABLE_ROUNDS = 2  # A zone loses its traffic after so many consecutive rounds as unavailable.
HEALTHY_ROUNDS = 3  # A zone recovers by one step after so many consecutive healthy rounds.
RECOVERY_STEPS = (0.1, 0.25, 0.5, 0.75, 1.0)  # A recovering zone keeps these fractions of its own traffic.
SHIFTING_RATIO = 0.5  # A shifting zone keeps this fraction of its own traffic.
# After this time without a loss, one loss is forgotten. It is also the longest wait before a recovery.
LOSS_EXPIRY_S = 60.0
MAX_LOSSES = 8  # Further losses are not counted.
INITIAL_RECOVERY_WAIT_S = 2.0  # A zone recovers after its first loss once it is healthy for this long.


class ZoneState(IntEnum):
    """The failover states; the values are those in the plan."""

    OPEN = 0
    SHIFTING = 1  # degraded: part of its traffic goes to other zones
    UNAVAILABLE = 2
    RECOVERING = 3


class Mode(IntEnum):
    """The names of the states in log lines and operators' output."""

    OPEN = ZoneState.OPEN
    LEANING = ZoneState.SHIFTING
    AWAY = ZoneState.UNAVAILABLE
    RETURNING = ZoneState.RECOVERING


@dataclass(slots=True)
class Zone:
    """One zone as the coordinator sees it. Work is per second."""

    number: int
    region: int = 0
    state: ZoneState = ZoneState.OPEN
    step: int = 0  # of `RECOVERY_STEPS`
    unavailable_rounds: int = 0  # consecutive
    healthy_rounds: int = 0
    changed_at: float = -LOSS_EXPIRY_S
    healthy_since: float = 0.0
    losses: int = 0  # reduced by one after each `LOSS_EXPIRY_S` without a loss
    is_drained: bool = False  # by an operator's command
    is_drained_by_file: bool = False
    transitions: int = 0  # changes of state or step
    capacity: float = 0.0
    demand: float = 0.0

    @property
    def mode(self) -> Mode:
        """The state under its name in log lines."""
        return Mode(self.state)

    def traffic_ratio(self) -> float:
        """Return the fraction of its own traffic that the zone may keep."""
        if self.is_drained or self.is_drained_by_file or self.state is ZoneState.UNAVAILABLE:
            return 0.0
        if self.state is ZoneState.RECOVERING:
            return RECOVERY_STEPS[self.step]
        return SHIFTING_RATIO if self.state is ZoneState.SHIFTING else 1.0

    def change_state(self, now: float, state: ZoneState, step: int = 0) -> None:
        """Enter a state or a recovery step, and reset the counts of rounds."""
        if (self.state, self.step) == (state, step):
            return
        self.state = state
        self.step = step
        self.changed_at = now
        self.transitions += 1
        self.healthy_rounds = 0
        self.unavailable_rounds = 0

    def mark_unavailable(self, now: float) -> None:
        """Make the zone unavailable: all its traffic goes to other zones."""
        self.losses = min(self.losses + 1, MAX_LOSSES)
        self.change_state(now, ZoneState.UNAVAILABLE)

    def update(self, now: float, is_unavailable: bool, is_degraded: bool, has_votes: bool) -> None:
        """Count one evaluation round and make the transition that is due.

        Without enough votes the state stays, with two exceptions: an unavailable zone enters its first
        recovery step as a trial, and an unused zone proceeds after `LOSS_EXPIRY_S`.
        """
        self._count_round(now, is_unavailable, is_degraded, has_votes)
        if self.state is ZoneState.OPEN and self.losses and now >= self.changed_at + LOSS_EXPIRY_S:
            self.losses -= 1
            self.changed_at = now
        if self.state is ZoneState.UNAVAILABLE:
            if self._is_healthy_for_long(now):
                self.change_state(now, ZoneState.RECOVERING)
        elif self.unavailable_rounds >= UNAVAILABLE_ROUNDS:
            self.mark_unavailable(now)
        elif self.state is ZoneState.RECOVERING:
            self._recover(now, is_degraded)
        elif self.state is ZoneState.OPEN and is_degraded:
            self.losses = min(self.losses + 1, MAX_LOSSES)
            self.change_state(now, ZoneState.SHIFTING)
        elif self.state is ZoneState.SHIFTING and self._is_healthy_for_long(now):
            self.change_state(now, ZoneState.OPEN)

    def _count_round(self, now: float, is_unavailable: bool, is_degraded: bool, has_votes: bool) -> None:
        if has_votes or self.state is ZoneState.UNAVAILABLE or now >= self.changed_at + LOSS_EXPIRY_S:
            self.healthy_rounds = 0 if is_unavailable or is_degraded else self.healthy_rounds + 1
        if not self.healthy_rounds:
            self.healthy_since = now
        if has_votes:
            self.unavailable_rounds = self.unavailable_rounds + 1 if is_unavailable else 0

    def _recover(self, now: float, is_degraded: bool) -> None:
        if is_degraded and self.step:
            self.change_state(now, ZoneState.RECOVERING, self.step - 1)
        elif self.healthy_rounds < HEALTHY_ROUNDS:
            return
        elif self.step == len(RECOVERY_STEPS) - 1:
            self.change_state(now, ZoneState.OPEN)
        else:
            self.change_state(now, ZoneState.RECOVERING, self.step + 1)

    def _is_healthy_for_long(self, now: float) -> bool:
        """Return whether the zone has been healthy for its wait, which doubles with each recent loss."""
        wait_s = min(INITIAL_RECOVERY_WAIT_S * 2 ** max(self.losses - 1, 0), LOSS_EXPIRY_S)
        return self.healthy_rounds >= HEALTHY_ROUNDS and now >= self.healthy_since + wait_s
