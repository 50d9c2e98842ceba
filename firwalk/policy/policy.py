"""The load balancing policy of a node: executor selection, retries, hedging and final answers.

Create one `Policy` with a host and its configuration, then call one method per event (`request_arrived`,
`attempt_ended`, `endpoint_changed`, ...), with the current time in seconds as the first argument. The policy
acts only through its host (`firwalk/policy/interface.py`); an expired timer calls the function it was set
with.
"""

from __future__ import annotations

from firwalk.policy.admission import Admission
from firwalk.policy.endpoint_polling import EndpointPolling
from firwalk.policy.enums import EndpointState, Outcome
from firwalk.policy.executor import Executor, LoadReport, Zone
from firwalk.policy.executor_set import ExecutorSet
from firwalk.policy.interface import Host
from firwalk.policy.load_reports import LoadReports
from firwalk.policy.outlier_ejection import OutlierEjection
from firwalk.policy.policy_config import PolicyConfig, PolicyLimits, RandomSource
from firwalk.policy.request import Attempt, Request, RequestClass, Tenant
from firwalk.policy.retries import RetryLimits
from firwalk.policy.selection import Selection
from firwalk.policy.slow_start import SlowStart
from firwalk.policy.sticky_executors import StickyExecutors

__all__ = ["Attempt", "Executor", "Policy", "Request", "RequestClass", "Tenant"]

NEVER_RAN = (Outcome.AT_CAPACITY, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
# An attempt may wait for 1/divisor of the request's slack before the next one. Hedged requests add load and
# therefore wait longer.
HEDGING_SLACK_DIVISOR = 2
SLACK_DIVISOR = 3
# Clients' figures count within these bounds, so that sums and products of them stay finite and above 0.
MIN_COST = 1e-9
MAX_COST = 1e9
MAX_SLOTS = 1e6


def _limit_cost(cost: float) -> float:
    return MIN_COST if cost < MIN_COST else MAX_COST


class Policy:
    """The load balancing decisions of one dispatcher, with one method per event."""

    def __init__(self, host: Host, seed: int, now: float, config: PolicyConfig, limits: PolicyLimits) -> None:
        self.host = host
        self.config = config
        self.random = RandomSource(seed)
        self.executor_set = ExecutorSet(config, self.random)
        self.slow_start = SlowStart(config, now)
        self.retries = RetryLimits(config, limits)
        self.sticky_executors = StickyExecutors(self.executor_set)
        self.selection = Selection(config, limits, self.executor_set, self.slow_start, self.retries)
        self.ejection = OutlierEjection(host, config, self.executor_set, self.random)
        self.admission = Admission(host, config, limits, self.executor_set, self.selection, self.retries)
        self.endpoint_polling = EndpointPolling(host, config, self.random, now)
        self.load_reports = LoadReports(host, config, self.executor_set, self.slow_start, now)
        self.zones = self.executor_set.zones
        self.reconfigure(limits)

    @property
    def consecutive_failures(self) -> int:
        """Number of consecutive failed polls of the endpoint list."""
        return self.endpoint_polling.consecutive_failures

    @property
    def near(self) -> list[Executor]:
        """Ready executors in this node's zone."""
        return self.executor_set.near

    @property
    def far(self) -> list[Executor]:
        """Ready executors in other zones."""
        return self.executor_set.far

    def zone(self, number: int) -> Zone:
        """Return the zone with that number in the settings, or `UNKNOWN_NUMBER`."""
        return self.executor_set.zone(number)

    def reconfigure(self, limits: PolicyLimits) -> None:
        """Apply new limits. Requests in progress keep their class and their maximum number of attempts."""
        self.limits = limits
        self.request_classes = limits.request_classes
        self.max_attempts = limits.max_attempts
        self.max_retry_after = limits.max_retry_after_s
        self.retries.limits = limits
        self.selection.limits = limits
        self.admission.limits = limits

    def new_executor(
        self, handle: object, machine_type: int, zone: int, cell: int, size: float, name_hash: int = 0
    ) -> Executor:
        """Add an executor that is not ready yet; `UNKNOWN_NUMBER` stands for what is not known of it."""
        return self.executor_set.add(handle, machine_type, zone, cell, size, name_hash)

    def forget_executors(self, executors: list[Executor]) -> None:
        """Forget removed executors without an attempt in flight."""
        self.executor_set.remove(executors)

    def executor_listed(
        self, executor: Executor, machine_type: int, zone: int, cell: int, size: float
    ) -> None:
        """Apply what the endpoint list says of a known executor, beside its state."""
        self.executor_set.update_attributes(executor, machine_type, zone, cell, size)

    def endpoint_changed(
        self, now: float, executor: Executor, state: EndpointState, started_at: float
    ) -> None:
        """Apply a change of an executor's state in the endpoint list."""
        self.executor_set.change_state(executor, state, started_at)

    def endpoint_list_received(self, now: float) -> None:
        """Finish an update by the discovery service, after all its changes were applied."""
        self.endpoint_polling.consecutive_failures = 0
        self.endpoints_updated(now)

    def endpoints_updated(self, now: float) -> None:
        """Finish an update that the discovery service did not send, after all its changes were applied."""
        ready = self.executor_set.apply_list()
        if ready is not None:  # else the next periodic update measures it
            self.slow_start.measure_capacity(now, ready)

    def endpoint_list_failed(self, now: float, timed_out: bool = False) -> None:
        """Schedule the next poll of the endpoint list after a failed one; `timed_out`: without an answer."""
        self.endpoint_polling.record_failure(now, timed_out)

    def request_arrived(
        self,
        now: float,
        handle: object,
        request_class: int,
        tenant: int,
        budget: float,
        cost: float,
        slots: float,
        memory: float,
        is_retry: bool,
        key: bytes = b"",
    ) -> Request:
        """Send a new request to an executor, or answer it; parameters as of `create_request`."""
        request = self.create_request(now, handle, request_class, budget, cost, slots, is_retry, key)
        self.place_new_request(now, request, tenant)
        return request

    def create_request(
        self,
        now: float,
        handle: object,
        request_class: int,
        budget: float,
        cost: float,
        slots: float,
        is_retry: bool,
        key: bytes = b"",
    ) -> Request:
        """Return a new request, for which nothing is decided yet.

        `budget` is the time in seconds that the client waits, `cost` a cost hint (0: none).
        """
        class_settings = self.limits.request_classes[request_class]
        if not 1.0 <= slots <= MAX_SLOTS:
            slots = 1.0 if slots < 1.0 else MAX_SLOTS
        hint = cost or slots
        if not MIN_COST <= hint <= MAX_COST:
            hint = _limit_cost(hint)
        cost = class_settings.cost(hint)
        if not MIN_COST <= cost <= MAX_COST:
            cost = _limit_cost(cost)
        objective_at = now + min(self._objective(class_settings, budget, cost, is_retry), budget)
        random_draw = self.random.draw()
        request = Request(handle, class_settings, hint, cost, slots, random_draw, objective_at, now + budget)
        if key:
            request.sticky_executors = self.sticky_executors.executors_for(key)
        return request

    def place_new_request(self, now: float, request: Request, tenant: int) -> None:
        """Send a request that was just created to an executor, or answer it."""
        limits = self.limits
        priority_weight = request.request_class.priority_weight
        value = priority_weight * (request.work if limits.is_value_by_work else 1.0)
        self.slow_start.record_arrival(now, request.work)
        self.retries.earn_extra_attempt()
        self.selection.record_arrival(request.work, value)
        is_over_quota = self.admission.is_over_quota(now, tenant, self.load_reports.own_share)
        weight = self.host.admission_weight(request)
        request.value = value * (limits.over_quota_weight if is_over_quota else 1.0) * weight
        request.max_attempts = limits.max_attempts
        self._place(now, request) if weight else self._give_up(now, request)
        if self.config.polls_load:
            # Before the selection, polled executors without an answer yet would come first in scan order.
            self.load_reports.poll()

    def _objective(self, request_class: RequestClass, budget: float, cost: float, is_retry: bool) -> float:
        """Return the latency objective in seconds from now.

        A client's retry has the rest of the objective of its first try.
        """
        request_class.max_budget = max(request_class.max_budget, budget)
        objective = request_class.latency_objective + request_class.objective_stretch * cost
        if not is_retry and self.config.marks_retries:
            return objective
        full_budget = request_class.deadline if self.config.marks_retries else request_class.max_budget
        return objective - max(full_budget - budget, 0.0)

    def _place(self, now: float, request: Request) -> None:
        executor = self._choose_in_slow_start(now, request)
        executor = executor or self.selection.choose(now, request, self.executor_set.scan_order())
        if (executor is None or not self._send(now, request, executor)) and not request.in_flight:
            self._give_up(now, request)  # queueing it would only delay the requests behind it as well

    def _choose_in_slow_start(self, now: float, request: Request) -> Executor | None:
        """Return an idle executor in slow start that may receive the request, or None."""
        executor_set = self.executor_set
        candidates = executor_set.candidates
        if candidates.is_large:
            executors = candidates.in_slow_start(now, self.random.draw())
        else:
            executors = executor_set.near + executor_set.far
        eligible = [
            e
            for e in executors
            if e.slow_start_until > now
            and not e.in_flight_slots
            and e.state is EndpointState.READY
            and (e.is_unused or e.zone is executor_set.own_zone)
            and self.slow_start.has_capacity(now, e, request)
        ]
        return self.selection.choose(now, request, eligible) if eligible else None

    def _send(self, now: float, request: Request, executor: Executor) -> bool:
        """Send the request unless a safety rule forbids it. All sends go through this method."""
        if not request.is_open or now >= request.deadline or request.is_committed:
            return False  # nothing is sent after the final answer or the deadline
        if executor.state is not EndpointState.READY:
            return False  # draining and removed executors receive no new requests
        if request.attempts and not self.retries.may_retry(now, request, executor):
            return False  # a retry could execute the request twice
        is_in_slow_start = executor.slow_start_until > now
        if is_in_slow_start and not self.slow_start.has_capacity(now, executor, request):
            return False  # an executor in slow start must not be overloaded
        estimate = self.selection.estimate(executor, request)
        wait = self.selection.wait(now, executor, request.slots)
        attempt = Attempt(request, executor, now, estimate, wait)
        request.attempts.append(attempt)
        executor.idle_connections = max(executor.idle_connections - 1, 0)
        if is_in_slow_start:
            executor.slow_start_sends.append((now, request.work))
        self.host.send(request, executor, 0.0)
        self.attempt_resumed(now, attempt)
        return True

    def may_start_attempt(self, now: float, attempt: Attempt) -> bool:
        """Return whether an attempt may still be sent once its connection is open.

        The executor may have begun to drain or have restarted in the meantime.
        """
        if not self.may_commit_attempt(now, attempt):
            return False
        request = attempt.request
        executor = attempt.executor
        has_restarted = executor.started_at > attempt.sent_at and executor.slow_start_until > now
        return executor.state is EndpointState.READY and (
            not has_restarted or self.slow_start.has_capacity(now, executor, request, request.slots)
        )

    def may_commit_attempt(self, now: float, attempt: Attempt) -> bool:
        """Return whether the last byte of an attempt may be sent.

        For a retry, the executors' deduplication window may have ended in the meantime.
        """
        earlier = attempt.request.attempts[: attempt.number]
        return not earlier or self.retries.is_safe(now, attempt.request, attempt.executor, earlier)

    def attempt_resumed(self, now: float, attempt: Attempt) -> None:
        """Account for an attempt in flight, sent now or earlier by another process; set its start timer."""
        request = attempt.request
        self.selection.add_attempt(attempt)
        divisor = 1
        if self.config.reports_starts:
            divisor = HEDGING_SLACK_DIVISOR if self.config.allows_hedging else SLACK_DIVISOR
        slack = max(request.objective_at - now - request.cost / attempt.executor.speed, 0.0)
        start_timeout_s = max(slack / divisor, 2 * self.config.clock_resolution_s)
        self.host.set_timer(now + start_timeout_s, self.attempt_overdue, attempt)

    def attempt_overdue(self, now: float, attempt: Attempt) -> None:
        """Handle an attempt that has not started in time.

        Where executors do not report starts, the attempt has not ended in time.
        """
        request = attempt.request
        if not attempt.is_in_flight or attempt.started_at or request.is_committed:
            return
        executor = attempt.executor
        reports_starts = self.config.reports_starts
        if reports_starts:
            executor.record_start_delay(now, now - attempt.sent_at - attempt.wait)
        if now - attempt.sent_at > attempt.wait + request.cost / executor.effective_speed():
            self.ejection.record_timeout(now, executor)
        if self._reassign_or_hedge(now, attempt) or not request.is_open or not reports_starts:
            return
        if any(a.is_in_flight and a.started_at for a in request.attempts):
            return
        slack = request.objective_at - now - request.cost / executor.speed
        if slack > self.config.clock_resolution_s:
            self.host.set_timer(now + slack, self.attempt_overdue, attempt)
        else:
            self._give_up(now, request)

    def _reassign_or_hedge(self, now: float, attempt: Attempt) -> bool:
        """Reassign or hedge an overdue attempt; return whether an attempt was cancelled or sent."""
        request = attempt.request
        retries = self.retries
        reports_starts = self.config.reports_starts
        if not request.is_open or request.in_flight >= 2 or (retries.extra_attempts < 1.0 and reports_starts):
            return False
        # Without hedging the overdue attempt is cancelled first. A cancel may not stop the execution, so
        # reassignments use the same budget as hedged requests.
        is_reassignment = not self.config.allows_hedging and reports_starts and self.config.may_cancel
        other = self.selection.choose(now, request, self.executor_set.scan_order(), is_reassignment)
        if other is None:
            return False
        if is_reassignment:
            retries.extra_attempts -= 1.0
            self.host.cancel(attempt)
            return True
        if not self._send(now, request, other):
            return False
        retries.extra_attempts -= reports_starts
        return True

    def attempt_started(self, now: float, attempt: Attempt) -> None:
        """Record the start of an attempt; cancel attempts of the same request that have not started."""
        attempt.started_at = now
        attempt.executor.strikes = 0
        # The start delay shows work queued by other nodes sooner than any load report.
        attempt.executor.record_start_delay(now, now - attempt.sent_at - attempt.wait)
        for other in attempt.request.attempts:
            is_waiting = other is not attempt and other.is_in_flight and not other.started_at
            if is_waiting and self.config.may_cancel:
                self.host.cancel(other)

    def attempt_ended(
        self,
        now: float,
        attempt: Attempt,
        outcome: Outcome,
        duration_s: float,
        complete: bool,
        report: LoadReport | None,
    ) -> None:
        """Handle the end of an attempt after `duration_s` seconds; `complete`: the request has its answer."""
        request = attempt.request
        self.selection.subtract_attempt(attempt)
        attempt.may_have_run = outcome not in NEVER_RAN
        self.ejection.record_outcome(now, attempt, outcome)
        if outcome is Outcome.COMPLETED:
            self.selection.learn(now, attempt, duration_s)
        if report:
            self.load_reports.apply(now, attempt.executor, report)
        if complete:
            self.request_withdrawn(now, request)
        elif now >= request.deadline or request.is_committed:
            self._give_up(now, request)
        elif request.is_open and (not request.in_flight or outcome is not Outcome.CANCELLED):
            self._place(now, request)

    def request_withdrawn(self, now: float, request: Request) -> None:
        """Close a request whose client has disconnected or has its answer."""
        self.admission.withdraw(request)

    def _give_up(self, now: float, request: Request) -> None:
        self.admission.give_up(now, request)

    def idle_connections_counted(self, executor: Executor, count: int) -> None:
        """Update the number of idle connections to the executor."""
        executor.idle_connections = count
        if count:
            self.executor_set.candidates.mark_active(executor)

    def health_check_ended(
        self, now: float, executor: Executor, outcome: Outcome, duration_s: float, report: LoadReport | None
    ) -> None:
        """Handle the result of a health check, which also polls the load report."""
        if outcome is Outcome.COMPLETED and report:
            self.load_reports.apply(now, executor, report)
        elif outcome not in (Outcome.COMPLETED, Outcome.AT_CAPACITY):
            self.ejection.record_failed_poll(now, executor, outcome)

    def peer_reported_failure(self, now: float, executor: Executor) -> None:
        """Record an error seen by another node.

        The executor becomes the last choice for non-idempotent requests.
        """
        executor.last_error_at = now
