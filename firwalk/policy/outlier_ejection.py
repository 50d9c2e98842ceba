"""Outlier ejection: executors that fail, time out or are unreachable receive no requests for a while."""

from __future__ import annotations

from firwalk.policy.enums import Outcome
from firwalk.policy.executor import Executor
from firwalk.policy.executor_set import ExecutorSet
from firwalk.policy.interface import Host
from firwalk.policy.policy_config import PolicyConfig, RandomSource
from firwalk.policy.request import Attempt

# Outcomes enter the error rate of their executor with these weights.
ERROR_WEIGHTS = {
    Outcome.ERROR: 0.3,
    Outcome.CONNECT_FAILED: 0.3,
    Outcome.CONNECTION_LOST: 0.15,
}
MAX_ERROR_RATE = 0.45  # Two errors close together exceed this rate, one alone never does.
MAX_CONSECUTIVE_TIMEOUTS = 2
MIN_UNREACHABLE_EXECUTORS = 3  # A zone with this number of unreachable executors counts as unreachable.
MIN_EJECTION_S = 3.0  # An ejection lasts between this time and twice as long.
MAX_EJECTED_SHARE = 0.34
AT_CAPACITY_PAUSE_S = 0.3
ANSWERED_OUTCOMES = (Outcome.COMPLETED, Outcome.ERROR, Outcome.AT_CAPACITY, Outcome.INVALID)


class OutlierEjection:
    """Judges the health of executors by the outcomes of attempts and health checks."""

    def __init__(
        self, host: Host, config: PolicyConfig, executor_set: ExecutorSet, random: RandomSource
    ) -> None:
        self.host = host
        self.config = config
        self.executor_set = executor_set
        self.random = random

    def record_outcome(self, now: float, attempt: Attempt, outcome: Outcome) -> None:
        """Update the health of an executor and its zone with the outcome of an attempt."""
        executor = attempt.executor
        self._record_reachability(now, executor, outcome)
        if outcome is Outcome.COMPLETED:
            executor.error_rate -= ERROR_WEIGHTS[Outcome.ERROR] * executor.error_rate
            executor.strikes = 0
            executor.is_half_open = False
        elif outcome is Outcome.AT_CAPACITY:
            executor.at_capacity_until = now + AT_CAPACITY_PAUSE_S
        elif outcome in ERROR_WEIGHTS:
            executor.error_rate += ERROR_WEIGHTS[outcome] * (1.0 - executor.error_rate)
            if outcome is Outcome.ERROR and self.config.gossips_failures:
                self.host.gossip_failure(executor)
                executor.last_error_at = now
            is_unreachable = outcome is Outcome.CONNECT_FAILED
            if executor.error_rate > MAX_ERROR_RATE or is_unreachable or executor.is_half_open:
                self.eject(now, executor, is_unreachable)

    def _record_reachability(self, now: float, executor: Executor, outcome: Outcome) -> None:
        zone = executor.zone
        if outcome in ANSWERED_OUTCOMES:
            executor.idle_connections += 1  # all other outcomes close the connection
            zone.unreachable.clear()
        elif outcome is Outcome.CONNECT_FAILED and zone is not self.executor_set.own_zone:
            if executor not in zone.unreachable:
                zone.unreachable.append(executor)
            if len(zone.unreachable) >= MIN_UNREACHABLE_EXECUTORS:
                zone.unavailable_until = max(self._ejection_end(now), zone.unavailable_until)

    def record_failed_poll(self, now: float, executor: Executor, outcome: Outcome) -> None:
        """Update the health of an executor after a failed health check."""
        executor.strikes += 1
        if executor.strikes >= MAX_CONSECUTIVE_TIMEOUTS or outcome is Outcome.CONNECT_FAILED:
            self.eject(now, executor)

    def record_timeout(self, now: float, executor: Executor) -> None:
        """Update the health of an executor after an attempt that did not start, or end, in time."""
        executor.strikes += self.config.reports_starts or not self.config.may_poll_load
        max_timeouts = MAX_CONSECUTIVE_TIMEOUTS if self.config.uses_reports else 1
        if executor.strikes >= max_timeouts or executor.is_half_open:
            self.eject(now, executor)

    def _ejection_end(self, now: float) -> float:
        return now + MIN_EJECTION_S * (1.0 + self.random.draw())

    def eject(self, now: float, executor: Executor, is_unreachable: bool = False) -> None:
        """Eject an executor for a while, unless too many are ejected already.

        The limit keeps the remaining executors from overload. It does not apply to unreachable executors.
        """
        ejected = [e.ejected_until > now for e in self.executor_set.near + self.executor_set.far]
        is_over_limit = sum(ejected) + 1 > MAX_EJECTED_SHARE * len(ejected)
        if executor.ejected_until > now or (is_over_limit and not is_unreachable):
            return
        executor.ejected_until = self._ejection_end(now)
        executor.is_half_open = True
        executor.strikes = 0
        executor.error_rate = 0.0
