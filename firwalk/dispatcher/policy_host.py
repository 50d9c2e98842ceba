"""The host of the policy: converts its decisions into actions, and runs its timers.

Times are seconds on the clock passed to the constructor.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf
from typing import TYPE_CHECKING, Any

from firwalk.dispatcher import failure_gossip
from firwalk.dispatcher.actions import (
    BackgroundAction,
    CancelAttempt,
    CheckHealth,
    CloseIdleConnections,
    FailRequest,
    FetchEndpoints,
    GossipFailure,
    RejectRequest,
    SendAttempt,
    WatchEndpoints,
    WriteLogLine,
)
from firwalk.dispatcher.load_report import parse_load_report
from firwalk.dispatcher.pending_request import PendingRequest
from firwalk.dispatcher.timers import TimerCallback, TimerQueue
from firwalk.observability.events import EventLog, FailureReason
from firwalk.observability.log import check_invariant, log_exception
from firwalk.observability.monitor import Monitor
from firwalk.policy.interface import Idempotency, Outcome
from firwalk.policy.policy import Attempt, Executor, Policy, Request

if TYPE_CHECKING:
    from firwalk.cluster.health_observations import HealthObserver
    from firwalk.cluster.rollout_controller import RolloutCounters

RESPONSE_MARGIN_S = 0.02  # Answers are sent this long before the deadline, to reach the client in time.
OVERDUE_MARGIN_S = 0.01  # The check for a missing answer runs this long after the attempts timed out.
TERMINAL_OUTCOMES = (Outcome.COMPLETED, Outcome.INVALID)  # These outcomes of an attempt end its request.
# These outcomes show no response of the executor.
UNREACHABLE_OUTCOMES = (
    Outcome.CONNECT_FAILED,
    Outcome.CONNECTION_LOST,
    Outcome.TIMED_OUT,
    Outcome.CANCELLED,
)


def is_terminal(outcome: Outcome) -> bool:
    """Return whether the outcome of an attempt ends its request."""
    return outcome in TERMINAL_OUTCOMES


class PolicyHost:
    """Performs the actions that the policy requests (see `firwalk.policy.interface.Host`).

    Actions of a request are queued in its PendingRequest; `run_due_timers` returns background actions.
    `wake` is called if `run_due_timers` must run earlier than the time that it returned last.
    """

    policy: Policy

    def __init__(self, clock: Callable[[], float], wake: Callable[[], None]) -> None:
        self.clock = clock
        self.wake = wake
        self.events = EventLog()
        self.monitor = Monitor(self.events, clock)
        self.timers = TimerQueue()
        self.next_run_at = inf
        self.background_actions: list[BackgroundAction] = []
        self.cancelled_attempts: list[Attempt] = []
        self.open_requests: dict[PendingRequest, None] = {}
        self.health_check_timeout_s = 0.0
        self.health_observer: HealthObserver | None = None  # set if the cluster controls zones
        self.rollout_counters: RolloutCounters | None = None  # set if the cluster controls rollouts
        self.cluster_admission: Callable[[Request], float] | None = None

    # -- timers ----------------------------------------------------------------------------------------

    def run_due_timers(self) -> tuple[float, list[BackgroundAction]]:
        """Run due timers; return the time of the next call and the background actions to perform."""
        now = self.clock()
        while self.timers.next_due_at() <= now:
            callback, argument = self.timers.pop()
            self._run_timer(now, callback, argument)
            self._finish_event(now)
        background_actions = self.background_actions
        self.background_actions = []
        self.next_run_at = self.timers.next_due_at()
        return self.next_run_at, background_actions

    def _run_timer(self, now: float, callback: TimerCallback, argument: Any) -> None:
        """Run a timer; an unexpected error must not keep later ones from running.

        Raises AssertionError in debug builds (`check_invariant`).
        """
        try:
            callback(now, argument)
        except Exception as error:
            if isinstance(argument, Attempt):
                self._handle_request_error(argument.request, "running the timer of an attempt", error)
            elif isinstance(argument, PendingRequest):  # the last timer of a request, at its deadline
                log_exception("running the last timer of a request", error)
                self._answer_after_error(argument.request)
            else:
                log_exception("running a timer", error)
            if isinstance(error, AssertionError):
                raise

    def _finish_event(self, now: float) -> None:
        """Complete the handling of an event.

        End the attempts that the policy has cancelled, after the call that cancelled them has returned, and
        call `wake` if `run_due_timers` must run earlier than planned.
        """
        while self.cancelled_attempts:
            self._end_attempt(now, self.cancelled_attempts.pop(0), Outcome.CANCELLED, None)
        if self.background_actions or self.timers.next_due_at() < self.next_run_at:
            self.next_run_at = -inf
            self.wake()

    def set_timer(self, when: float, act: TimerCallback, about: Any) -> None:
        """Call `act(now, about)` at `when` or shortly after; timers of a request end with it."""
        timer = self.timers.add(when, act, about)
        if isinstance(about, Attempt):
            about.request.handle.timers.append(timer)
        elif isinstance(about, PendingRequest):
            about.timers.append(timer)

    def _cancel_timers(self, pending: PendingRequest) -> None:
        """Cancel the timers of a finished request, which would keep it in memory until its deadline."""
        for timer in pending.timers:
            self.timers.cancel(timer)
        pending.timers.clear()

    # -- requests and attempts -----------------------------------------------------------------

    def _track(self, pending: PendingRequest) -> None:
        self.open_requests[pending] = None
        self.set_timer(pending.request.deadline + OVERDUE_MARGIN_S, self._fail_overdue, pending)

    def _end_attempt(self, now: float, attempt: Attempt, outcome: Outcome, load_report: object) -> None:
        """Record the outcome of an attempt and report it to the policy; ignore an attempt that has ended.

        After a terminal outcome the caller answers the request, so that an unexpected error only closes it.
        """
        request = attempt.request
        if not attempt.is_in_flight:
            return
        is_last = is_terminal(outcome) or not request.is_open
        try:
            self._report_end(now, attempt, outcome, is_last, load_report)
        except Exception as error:
            self._abandon_attempt(attempt)
            if is_last:
                log_exception("ending the last attempt of a request", error)
                self._close_after_error(request)
            else:
                self._handle_request_error(request, "ending an attempt", error)
        request.handle.wake()

    def _report_end(
        self, now: float, attempt: Attempt, outcome: Outcome, is_last: bool, load_report: object
    ) -> None:
        request = attempt.request
        pending = request.handle
        if self.health_observer is not None:
            self._observe_health(self.health_observer, now, attempt, outcome)
        if self.rollout_counters is not None and outcome is Outcome.ERROR:
            self.rollout_counters.count_error(pending.labels[0])
        if outcome is Outcome.COMPLETED and pending.charge is not None and not pending.measured_work:
            duration_s = now - (attempt.started_at or attempt.sent_at)
            pending.measured_work = duration_s * attempt.executor.speed * request.slots
        if pending.record is not None:
            self.monitor.attempt_ended(pending.record, attempt.number, outcome)
        report = parse_load_report(load_report)
        self.policy.attempt_ended(now, attempt, outcome, now - attempt.sent_at, is_last, report)
        if not request.is_open:
            self.open_requests.pop(pending, None)
            self._settle_charge(request)

    def _observe_health(
        self, observer: HealthObserver, now: float, attempt: Attempt, outcome: Outcome
    ) -> None:
        """Report the outcome of an attempt to the zone health observer.

        A cancelled attempt counts only if it had not started and should have ended by then.
        """
        executor = attempt.executor
        started_at = attempt.started_at
        is_late = now - attempt.sent_at > attempt.wait + attempt.request.cost / executor.effective_speed()
        if outcome is Outcome.NOT_SENT:
            return
        if outcome is Outcome.CANCELLED and (not is_late or started_at):
            return
        is_unreachable = outcome in UNREACHABLE_OUTCOMES and not started_at
        zone = executor.zone.number
        observer.count_outcome(zone, is_unreachable, outcome is Outcome.ERROR, now, attempt.sent_at)

    def _settle_charge(self, request: Request) -> None:
        """Charge the measured work, else the estimate, or nothing if the request cannot have run."""
        pending = request.handle
        if pending.charge is not None and not request.is_open and not request.in_flight:
            may_have_run = any(
                attempt.may_have_run and attempt.number in pending.committed for attempt in request.attempts
            )
            pending.charge.settle(pending.measured_work, may_have_run)

    def _time_out(self, now: float, attempt: Attempt) -> None:
        if attempt.is_in_flight:
            pending = attempt.request.handle
            is_committed = attempt.number in pending.committed
            pending.add(CancelAttempt(attempt.number))
            self._end_attempt(now, attempt, Outcome.TIMED_OUT if is_committed else Outcome.NOT_SENT, None)

    def _fail_overdue(self, now: float, pending: PendingRequest) -> None:
        """Fail a request that the policy has not answered by its deadline; its client would wait for ever."""
        check_invariant(not pending.request.is_open, "a request has its final answer by its deadline")
        if pending.request.is_open:
            self.policy.request_withdrawn(now, pending.request)
            self.fail(pending.request)

    # -- unexpected errors -----------------------------------------------------------------------------

    def _handle_request_error(self, request: Request, activity: str, error: Exception) -> None:
        """Count and log an unexpected error in the handling of a request.

        The request goes on while an attempt is in flight, since its outcome or timeout will end the request.
        Otherwise nothing would, and it is answered now.
        """
        log_exception(activity, error)
        if not (request.is_open and request.in_flight):
            self._answer_after_error(request)

    def _answer_after_error(self, request: Request) -> None:
        """Answer a request that nothing else will answer: a rejection only while nothing of it was sent."""
        pending = request.handle
        self._close_after_error(request)
        if pending.has_final_answer or pending.is_withdrawn:
            return
        pending.failure_reason = FailureReason.INTERNAL_ERROR
        if pending.has_begun_attempt:
            pending.add(FailRequest())
        else:
            pending.add(RejectRequest(max(self.policy.max_retry_after, 0.0)))

    def _close_after_error(self, request: Request) -> None:
        """Close a request and cancel its attempts in flight, without a call of the policy's decisions."""
        request.is_open = False
        self.open_requests.pop(request.handle, None)
        for attempt in request.attempts:
            if attempt.is_in_flight:
                request.handle.add(CancelAttempt(attempt.number))
                self._abandon_attempt(attempt)
        try:
            self._settle_charge(request)
        except Exception as error:
            log_exception("settling a quota", error)

    def _abandon_attempt(self, attempt: Attempt) -> None:
        """End an attempt that is in flight, if no outcome of it has been recorded."""
        if not attempt.is_in_flight:
            return
        if attempt.request.in_flight:
            self.policy.selection.subtract_attempt(attempt)
        attempt.is_in_flight = False

    # -- firwalk.policy.interface.Host -----------------------------------------------------------------

    def send(self, request: Request, executor: Executor, limit: float) -> None:
        """Send the last attempt of the request, with a timeout of `limit` seconds (0: until its deadline)."""
        attempt = request.attempts[-1]
        deadline = min(request.deadline, attempt.sent_at + limit) if limit else request.deadline
        is_non_idempotent = request.request_class.idempotency is Idempotency.NON_IDEMPOTENT
        request.handle.add(SendAttempt(attempt.number, executor.handle, deadline, is_non_idempotent))
        self.set_timer(deadline, self._time_out, attempt)

    def admission_weight(self, request: Request) -> float:
        """Return the factor that the cluster's admission applies to the request's value; 0 rejects it."""
        return 1.0 if self.cluster_admission is None else self.cluster_admission(request)

    def _failure_reason(self, request: Request) -> FailureReason:
        is_shortened_by_shutdown = request.deadline < request.handle.deadline
        if self.clock() >= request.deadline:
            return FailureReason.STOPPING if is_shortened_by_shutdown else FailureReason.DEADLINE
        if request.attempts:
            return FailureReason.ATTEMPTS_FAILED
        return FailureReason.STOPPING if is_shortened_by_shutdown else FailureReason.NO_EXECUTOR

    def reject(self, request: Request, wait: float) -> None:
        """Answer that the client may retry safely, after `wait` seconds (0: no Retry-After)."""
        pending = request.handle
        pending.failure_reason = self._failure_reason(request)
        retry_after_s = min(max(wait, pending.retry_after), self.policy.max_retry_after)
        pending.add(RejectRequest(retry_after_s))
        if self.rollout_counters is not None:
            self.rollout_counters.count_rejected(pending.labels[0], len(request.attempts))
        self.open_requests.pop(pending, None)
        self._settle_charge(request)

    def fail(self, request: Request) -> None:
        """Answer that the outcome of the request is unknown."""
        pending = request.handle
        pending.failure_reason = self._failure_reason(request)
        pending.add(FailRequest())
        if self.rollout_counters is not None:
            self.rollout_counters.count_failed(pending.labels[0], len(request.attempts))
        self.open_requests.pop(pending, None)
        self._settle_charge(request)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt. Its outcome is reported after the current call of the policy has returned."""
        attempt.request.handle.add(CancelAttempt(attempt.number))
        self.cancelled_attempts.append(attempt)

    def may_have_reached(self, attempt: Attempt) -> bool:
        """Return whether the attempt may have been written completely."""
        return attempt.number in attempt.request.handle.committed

    def check_health(self, executor: Executor) -> None:
        """Request the load report of an executor."""
        self.background_actions.append(CheckHealth(executor.handle, self.health_check_timeout_s))

    def close_idle_connections(self, executor: Executor) -> None:
        """Close all idle connections to an executor."""
        self.background_actions.append(CloseIdleConnections(executor.handle))

    def gossip_failure(self, executor: Executor) -> None:
        """Tell all peers that an executor returned an error."""
        checksum = failure_gossip.executor_checksum(executor.handle.name.encode())
        self.background_actions.append(GossipFailure(checksum))

    def watch_endpoints(self, on: bool) -> None:
        """Start or stop watching the endpoint list."""
        self.background_actions.append(WatchEndpoints(on))

    def fetch_endpoints(self) -> None:
        """Fetch the complete endpoint list once."""
        self.background_actions.append(FetchEndpoints())

    def log_line(self, line: str) -> None:
        """Write a log line."""
        self.background_actions.append(WriteLogLine(line))
