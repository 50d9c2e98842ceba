"""Executor selection by least outstanding estimated work.

The algorithm is that of "GetLB++: Improving Transaction Load Balancing on the Electronic Funds Transfer
Landscape" (Rabuske et al.): a request goes to the executor with the least sum of this node's outstanding
estimates plus the cost of reaching it (Recv). An estimate is cost / learned speed / (1 - utilisation); it is
added when an attempt is sent and subtracted on any outcome. `docs/design.md` explains the departures from the
paper:

- Executors have slots: the sum is divided by their number, and a request counts with all slots that it takes.
- Utilisation is that by other nodes only, since the sum includes this node's work. It is part of estimates
  and of the comparison of ties.
- Recv is the price of crossing zones or opening a connection, converted to time, plus lag and a penalty for
  recent errors.
- Only executors that can still answer in time are compared. Low-value requests may use less of their slack.
- Among executors with equal sums, the least expected answer time of the first few in scan order wins.
- An executor without samples has the speed of its machine type.
"""

from __future__ import annotations

from firwalk.policy.enums import Idempotency
from firwalk.policy.executor import GOSSIP_TTL_S, Executor, Zone
from firwalk.policy.executor_set import ExecutorSet
from firwalk.policy.policy_config import PolicyConfig, PolicyLimits
from firwalk.policy.request import Attempt, Request
from firwalk.policy.retries import RetryLimits
from firwalk.policy.slow_start import SlowStart

SPEED_SMOOTHING = 0.2  # A sample enters the speed of its executor with this weight.
MACHINE_TYPE_SMOOTHING = 0.05  # A sample enters the speed of its machine type with at least this weight.
# A non-sticky executor costs the work of this number of mean requests more than a sticky one.
NON_STICKY_COST = 1.0
MAX_TIES = 4  # At most this number of executors of equal load are compared.
MEAN_SMOOTHING = 0.02  # A request enters the means of work and value with this weight.
MIN_VALUE = 1e-9
MIN_DURATION_S = 1e-6  # Samples of speed have at least this duration.


class ReachCosts:
    """Costs of a request for reaching an executor, in seconds of load, and its share of usable slack."""

    __slots__ = ("own_zone", "own_zone_only", "crossing", "connection", "non_sticky", "slack_share")

    def __init__(
        self,
        own_zone: Zone,
        own_zone_only: bool,
        crossing: float,
        connection: float,
        non_sticky: float,
        slack_share: float,
    ) -> None:
        self.own_zone = own_zone
        self.own_zone_only = own_zone_only  # compare only executors of the own zone
        self.crossing = crossing
        self.connection = connection
        self.non_sticky = non_sticky
        self.slack_share = slack_share  # share of its slack that the request may spend in a queue


class Selection:
    """Selects executors for requests, and learns their speeds from completed attempts."""

    def __init__(
        self,
        config: PolicyConfig,
        limits: PolicyLimits,
        executor_set: ExecutorSet,
        slow_start: SlowStart,
        retries: RetryLimits,
    ) -> None:
        self.config = config
        self.limits = limits
        self.executor_set = executor_set
        self.slow_start = slow_start
        self.retries = retries
        self.mean_work = 0.0
        self.mean_value = 0.0

    def record_arrival(self, work: float, value: float) -> None:
        """Update the means of work and value with a new request."""
        weight = MEAN_SMOOTHING if self.mean_work else 1.0
        self.mean_work += weight * (work - self.mean_work)
        self.mean_value += weight * (value - self.mean_value)

    def estimate(self, executor: Executor, request: Request) -> float:
        """Return the seconds of work that the request adds to the executor."""
        return request.work / executor.effective_speed()

    def add_attempt(self, attempt: Attempt) -> None:
        """Add an attempt to the outstanding work of its executor."""
        request = attempt.request
        executor = attempt.executor
        request.in_flight += 1
        executor.attempts_in_flight += 1
        executor.in_flight_slots += request.slots
        executor.outstanding_work += attempt.estimate
        executor.is_unused = False
        self.executor_set.candidates.mark_active(executor)
        self.mean_work = self.mean_work or request.work
        self.mean_value = self.mean_value or request.value

    def subtract_attempt(self, attempt: Attempt) -> None:
        """Remove an ended attempt from the outstanding work of its executor."""
        request = attempt.request
        executor = attempt.executor
        attempt.is_in_flight = False
        request.in_flight -= 1
        executor.attempts_in_flight -= 1
        slots = work = 0.0  # sums of fractions would leave a rest
        if executor.attempts_in_flight:
            slots = executor.in_flight_slots - request.slots
            work = executor.outstanding_work - attempt.estimate
        executor.in_flight_slots = slots if slots > 0.0 else 0.0
        executor.outstanding_work = work if work > 0.0 else 0.0

    def wait(self, now: float, executor: Executor, slots: float) -> float:
        """Return the expected seconds until `slots` slots are free, by own work and load reports."""
        lag = executor.lag_now(now, executor.zone.lag_now(now)) if self.config.reports_starts else 0.0
        return self._queue_wait(lag, executor, slots)

    def _queue_wait(self, lag: float, executor: Executor, slots: float) -> float:
        other_slots = executor.slots_used_by_others if self.config.uses_reports else 0.0
        missing_slots = executor.in_flight_slots + other_slots + min(slots, executor.slots) - executor.slots
        if missing_slots <= 0.0 or not executor.in_flight_slots:
            return lag + max(missing_slots, 0.0) * self.mean_work / (executor.speed * executor.slots)
        return lag + missing_slots * executor.outstanding_work / (executor.in_flight_slots * executor.slots)

    def _reach_costs(self, request: Request, time_left: float) -> ReachCosts:
        executor_set = self.executor_set
        crossing_price = self.limits.crossing_price
        own_zone = request.preferred_zone or executor_set.own_zone
        price = max(time_left, 0.0) * self.mean_value / max(request.value, MIN_VALUE)
        is_crossing_too_costly = crossing_price * self.mean_value > request.value
        # A request with less value for its work than the mean may use only a part of its slack; otherwise it
        # would delay requests of more value. Both products can be 0: by importances of 0, or by underflow.
        value_at_mean_work = request.value * self.mean_work
        mean_value_at_work = request.work * self.mean_value
        slack_share = 1.0
        if value_at_mean_work < mean_value_at_work:
            slack_share = (value_at_mean_work / mean_value_at_work) ** 2
        return ReachCosts(
            own_zone,
            is_crossing_too_costly and bool(executor_set.near) and own_zone is executor_set.own_zone,
            price * crossing_price,
            price * self.limits.connection_price,
            NON_STICKY_COST * self.mean_work if request.sticky_executors else 0.0,
            slack_share,
        )

    def choose(
        self, now: float, request: Request, candidates: list[Executor], is_reassignment: bool = False
    ) -> Executor | None:
        """Return the executor with the least load among those that can answer in time, or None."""
        time_left = request.objective_at - now
        costs = self._reach_costs(request, time_left)
        own_zone = costs.own_zone
        own_zone_only = costs.own_zone_only
        crossing = costs.crossing
        connection = costs.connection
        non_sticky = costs.non_sticky
        slack_share = costs.slack_share
        is_non_idempotent = request.request_class.idempotency is Idempotency.NON_IDEMPOTENT
        sticky = request.sticky_executors
        reports_starts = self.config.reports_starts
        zone_lags = {zone: zone.lag_now(now) for zone in self.executor_set.zones.values()}
        best: Executor | None = None
        best_load = best_answer_time = lag = 0.0
        ties = 0
        prefers_own_zone = own_zone is self.executor_set.own_zone
        for executor in (
            candidates if prefers_own_zone else sorted(candidates, key=lambda e: e.zone is not own_zone)
        ):
            zone = executor.zone
            load = (0.0 if zone is own_zone else crossing) + (
                0.0 if executor.idle_connections else connection
            )
            load += non_sticky if sticky and executor not in sticky else 0.0
            if best is not None and load > best_load or own_zone_only and zone is not own_zone:
                continue
            load += executor.outstanding_work / executor.slots
            if is_non_idempotent and now < executor.last_error_at + GOSSIP_TTL_S:
                load += time_left
            if reports_starts:  # the sum does not include queued work of other nodes
                lag = executor.lag_now(now, zone_lags[zone])
                load += lag
            if best is not None and load > best_load:
                continue
            wait = self._feasible_wait(now, request, executor, lag, slack_share, is_reassignment)
            if wait is None:
                continue
            ties = ties + 1 if best is not None and load == best_load else 1
            answer_time = wait + request.cost / executor.effective_speed()
            if ties == 1 or answer_time < best_answer_time:
                best, best_load, best_answer_time = executor, load, answer_time
            if ties >= MAX_TIES and load <= self._least_load(zone_lags[zone], zone is own_zone, crossing):
                break
        return best

    def _feasible_wait(
        self,
        now: float,
        request: Request,
        executor: Executor,
        lag: float,
        slack_share: float,
        is_reassignment: bool,
    ) -> float | None:
        """Return the expected queueing delay; None if the executor is not eligible or would answer late."""
        if (
            executor.ejected_until > now
            or executor.at_capacity_until > now
            or executor.zone.unavailable_until > now
        ):
            return None
        request_class = request.request_class
        if executor.is_half_open and (
            executor.in_flight_slots or request_class.idempotency is Idempotency.NON_IDEMPOTENT
        ):
            return None
        if request_class.work_kind >= 0 and executor.machine_type != request_class.work_kind:
            return None
        if request.attempts and not self.retries.may_retry(now, request, executor, is_reassignment):
            return None
        # Not the effective speed: a busy executor delays the start of a request, not its execution.
        speed = executor.speed
        if executor.slow_start_until > now:
            if not self.slow_start.has_capacity(now, executor, request):
                return None
            speed *= self.slow_start.warmup_factor(now, executor)
        wait = self._queue_wait(lag, executor, request.slots)
        is_in_time = wait <= (request.objective_at - now - request.cost / speed) * slack_share
        return wait if is_in_time else None

    def _least_load(self, zone_lag: float, is_own_zone: bool, crossing: float) -> float:
        """Return a lower bound of the load of all executors later in the scan."""
        least = zone_lag + (0.0 if is_own_zone else crossing)
        return min(least, crossing if self.executor_set.far else least)

    def learn(self, now: float, attempt: Attempt, duration_s: float) -> None:
        """Update speeds from a completed attempt.

        The execution time counts from the reported start, else it is `duration_s`.
        """
        executor = attempt.executor
        request = attempt.request
        if attempt.started_at:
            duration_s = now - attempt.started_at
        elif attempt.wait:
            # The duration includes queueing. Such samples made all executors look slow, until none seemed
            # able to answer in time.
            return
        duration_s = max(duration_s, self.config.clock_resolution_s)
        if executor.slow_start_until > now:
            # Otherwise the slow start would count twice. The factor can be 0 at the executor's start.
            duration_s = max(duration_s * self.slow_start.warmup_factor(now, executor), MIN_DURATION_S)
        machine_type_speed = self.executor_set.machine_type_speeds[executor.machine_type]
        machine_type_speed.sample_count += 1
        machine_type_speed.slots = max(machine_type_speed.slots, executor.slots)
        weight = max(1.0 / (machine_type_speed.sample_count + 1), MACHINE_TYPE_SMOOTHING)
        machine_type_speed.speed *= (request.cost / duration_s / machine_type_speed.speed) ** weight
        executor.learn(request.cost, duration_s, SPEED_SMOOTHING)
        request.request_class.learn(request.hint, duration_s * executor.speed)
