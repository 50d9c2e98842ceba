"""The choice of an executor: least own outstanding estimated work.

The mechanism is that of "GetLB++: Improving Transaction Load Balancing on the Electronic Funds Transfer
Landscape" (Rabuske et al.): a request goes to the executor with the least sum of own outstanding estimates
plus the cost of reaching it (Recv). An estimate is cost / learned speed / (1 - utilisation); it is added
when an attempt is sent and subtracted on any outcome. Departures, each explained in `docs/design.md`:

- executors have slots: the sum is divided by them, and a request counts with all that it takes;
- utilisation is that of others only, since own work is in the sum; it is part of estimates and of ties;
- Recv is the price of crossing zones or opening a connection, as time, plus lag and a price for errors;
- only executors that can still answer in time are compared; cheap requests may wait for less of their slack;
- of equal sums the least expected answer time wins, among the first few in the order of the scan;
- an executor without samples has the speed of its kind.
"""

from __future__ import annotations

from firwalk.policy.enums import Idempotency
from firwalk.policy.executor import GOSSIP_TTL_S, Executor, Zone
from firwalk.policy.executor_set import ExecutorSet
from firwalk.policy.policy_config import PolicyConfig, PolicyLimits
from firwalk.policy.request import Attempt, Request
from firwalk.policy.retries import RetryLimits
from firwalk.policy.slow_start import SlowStart

SPEED_WEIGHT = 0.2  # of a sample in an executor's speed
KIND_WEIGHT = 0.05  # of a sample in the speed of its kind
STICKY_COST = 1.0  # mean requests' work that any but a sticky executor costs more
MAX_TIES = 4  # equal executors that are compared
MEAN_WEIGHT = 0.02  # of a request in the means of work and value
MIN_VALUE = 1e-9


class ReachCosts:
    """What reaching an executor costs a request, in seconds of load, and what it may wait."""

    __slots__ = ("own_zone", "stays_near", "crossing", "connection", "not_sticky", "slack_part")

    def __init__(
        self,
        own_zone: Zone,
        stays_near: bool,
        crossing: float,
        connection: float,
        not_sticky: float,
        slack_part: float,
    ) -> None:
        self.own_zone = own_zone
        self.stays_near = stays_near  # only executors of the own zone are compared
        self.crossing = crossing
        self.connection = connection
        self.not_sticky = not_sticky
        self.slack_part = slack_part  # of its slack that it may wait


class Selection:
    """Compares executors for a request, and learns their speeds from completed attempts."""

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
        self.mean_cost = 0.0  # of requests: their work
        self.mean_value = 0.0

    def record_arrival(self, work: float, value: float) -> None:
        """Update the means with a new request."""
        weight = MEAN_WEIGHT if self.mean_cost else 1.0
        self.mean_cost += weight * (work - self.mean_cost)
        self.mean_value += weight * (value - self.mean_value)

    def estimate(self, executor: Executor, request: Request) -> float:
        """Seconds of work that the request adds to the executor's sum."""
        return request.work / executor.rate()

    def add(self, attempt: Attempt) -> None:
        """Count an attempt that is in flight from now on."""
        request = attempt.request
        executor = attempt.executor
        request.in_flight += 1
        executor.in_flight_slots += request.slots
        executor.work += attempt.estimate
        executor.unused = False
        self.executor_set.candidates.mark_active(executor)
        self.mean_cost = self.mean_cost or request.work
        self.mean_value = self.mean_value or request.value

    def subtract(self, attempt: Attempt) -> None:
        """Count an attempt no more, whatever its outcome."""
        request = attempt.request
        executor = attempt.executor
        attempt.is_in_flight = False
        request.in_flight -= 1
        executor.in_flight_slots -= request.slots
        executor.work = executor.work - attempt.estimate if executor.in_flight_slots else 0.0

    def wait(self, now: float, executor: Executor, slots: float) -> float:
        """Seconds until so many slots are free, by own work and by what reports tell of others'."""
        lag = executor.lag_now(now, executor.zone.lag_now(now)) if self.config.reports_starts else 0.0
        return self._wait_after(lag, executor, slots)

    def _wait_after(self, lag: float, executor: Executor, slots: float) -> float:
        others = executor.slots_of_others if self.config.uses_reports else 0.0
        missing = executor.in_flight_slots + others + min(slots, executor.slots) - executor.slots
        if missing <= 0.0 or not executor.in_flight_slots:
            return lag + max(missing, 0.0) * self.mean_cost / (executor.speed * executor.slots)
        return lag + missing * executor.work / (executor.in_flight_slots * executor.slots)

    def _reach_costs(self, request: Request, time_left: float) -> ReachCosts:
        executor_set = self.executor_set
        crossing_price = self.limits.crossing_price
        own_zone = request.preferred_zone or executor_set.own_zone
        price = max(time_left, 0.0) * self.mean_value / max(request.value, MIN_VALUE)
        is_too_dear = crossing_price * self.mean_value > request.value
        # What earns less for its work than the mean may wait only a part of its slack, or dear ones wait.
        slack_part = min(request.value * self.mean_cost / (request.work * self.mean_value), 1.0) ** 2
        return ReachCosts(
            own_zone,
            is_too_dear and bool(executor_set.near) and own_zone is executor_set.own_zone,
            price * crossing_price,
            price * self.limits.connection_price,
            STICKY_COST * self.mean_cost if request.sticky_executors else 0.0,
            slack_part,
        )

    def choose(
        self, now: float, request: Request, among: list[Executor], is_move: bool = False
    ) -> Executor | None:
        """The executor with the least load among those in time, or None."""
        time_left = request.objective_at - now
        costs = self._reach_costs(request, time_left)
        own_zone = costs.own_zone
        stays_near = costs.stays_near
        crossing = costs.crossing
        connection = costs.connection
        not_sticky = costs.not_sticky
        slack_part = costs.slack_part
        is_unrepeatable = request.request_class.idempotency is Idempotency.NON_IDEMPOTENT
        sticky = request.sticky_executors
        reports_starts = self.config.reports_starts
        zone_lags = {zone: zone.lag_now(now) for zone in self.executor_set.zones.values()}
        best: Executor | None = None
        best_load = best_answer = lag = 0.0
        ties = 0
        is_home = own_zone is self.executor_set.own_zone
        for executor in among if is_home else sorted(among, key=lambda e: e.zone is not own_zone):
            zone = executor.zone
            load = (0.0 if zone is own_zone else crossing) + (0.0 if executor.idle else connection)
            load += not_sticky if sticky and executor not in sticky else 0.0
            if best is not None and load > best_load or stays_near and zone is not own_zone:
                continue
            load += executor.work / executor.slots
            if is_unrepeatable and now < executor.last_error_at + GOSSIP_TTL_S:
                load += time_left
            if reports_starts:  # work of others that waits there is not in the own sum
                lag = executor.lag_now(now, zone_lags[zone])
                load += lag
            if best is not None and load > best_load:
                continue
            wait = self._wait_in_time(now, request, executor, lag, slack_part, is_move)
            if wait is None:
                continue
            ties = ties + 1 if best is not None and load == best_load else 1
            answer = wait + request.cost / executor.rate()
            if ties == 1 or answer < best_answer:
                best, best_load, best_answer = executor, load, answer
            if ties >= MAX_TIES and load <= self._least_load(zone_lags[zone], zone is own_zone, crossing):
                break
        return best

    def _wait_in_time(
        self, now: float, request: Request, executor: Executor, lag: float, slack_part: float, is_move: bool
    ) -> float | None:
        """Seconds in the queue; None where the request may not go there, or would be late."""
        if executor.ejected_until > now or executor.full_until > now or executor.zone.unavailable_until > now:
            return None
        kind = request.request_class
        if executor.is_half_open and (
            executor.in_flight_slots or kind.idempotency is Idempotency.NON_IDEMPOTENT
        ):
            return None
        if kind.work_kind >= 0 and executor.kind != kind.work_kind:
            return None
        if request.attempts and not self.retries.may_retry(now, request, executor, is_move):
            return None
        speed = executor.speed  # not the rate: a busy executor makes a request wait, it is not slower
        if executor.slow_start_until > now:
            if not self.slow_start.has_capacity(now, executor, request):
                return None
            speed *= self.slow_start.warmth(now, executor)
        wait = self._wait_after(lag, executor, request.slots)
        is_in_time = wait <= (request.objective_at - now - request.cost / speed) * slack_part
        return wait if is_in_time else None

    def _least_load(self, zone_lag: float, is_own_zone: bool, crossing: float) -> float:
        """The load that no executor further on in the scan can be below."""
        least = zone_lag + (0.0 if is_own_zone else crossing)
        return min(least, crossing if self.executor_set.far else least)

    def learn(self, now: float, attempt: Attempt, duration_s: float) -> None:
        """Learn speeds from a completed attempt that took so many seconds, or was seen to start."""
        executor = attempt.executor
        request = attempt.request
        if attempt.started_at:
            duration_s = now - attempt.started_at
        elif attempt.wait:
            return  # time in a queue is not slowness: such samples made all look slow, and none in time
        duration_s = max(duration_s, self.config.clock_resolution_s)
        if executor.slow_start_until > now:
            duration_s *= self.slow_start.warmth(now, executor)  # else the slow start would count twice
        of_kind = self.executor_set.kinds[executor.kind]
        of_kind.sample_count += 1
        of_kind.slots = max(of_kind.slots, executor.slots)
        weight = max(1.0 / (of_kind.sample_count + 1), KIND_WEIGHT)
        of_kind.speed *= (request.cost / duration_s / of_kind.speed) ** weight
        executor.learn(request.cost, duration_s, SPEED_WEIGHT)
        request.request_class.learn(request.hint, duration_s * executor.speed)
