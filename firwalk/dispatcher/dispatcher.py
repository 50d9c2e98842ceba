"""The dispatcher of a node: receives events from the network side, and returns actions.

It performs no I/O. The handler of a request waits in `next_action` for the next action and reports the
result; `run_due_timers` runs timers and returns background actions. `firwalk.policy` makes the decisions.
Times are seconds on the clock passed to the constructor.
"""

from __future__ import annotations

from asyncio import get_running_loop
from collections.abc import Callable, Iterable
from math import inf
from typing import Any

from firwalk.config.node_config import section
from firwalk.config.policy_settings import build_policy, reconfigure
from firwalk.dispatcher import zone_view
from firwalk.dispatcher.actions import Action, CompleteRequest, RejectInvalidRequest, SendAttempt
from firwalk.dispatcher.endpoint import Endpoint
from firwalk.dispatcher.endpoint_list import EndpointEntry, EndpointFields, EndpointList
from firwalk.dispatcher.load_report import parse_load_report
from firwalk.dispatcher.pending_request import PendingRequest, RequestLabels, limit_budget
from firwalk.dispatcher.policy_host import RESPONSE_MARGIN_S, PolicyHost, is_terminal
from firwalk.observability.log import log_exception
from firwalk.policy.interface import Idempotency, Outcome
from firwalk.policy.policy import Executor

__all__ = ["RESPONSE_MARGIN_S", "Dispatcher", "Endpoint", "EndpointEntry", "PendingRequest"]

MIN_TIME_LEFT_S = 0.001  # Executors receive the remaining time in milliseconds.
DEFAULT_HEALTH_CHECK_TIMEOUT_S = 0.5
UNKNOWN_TENANT = -1

Settings = dict[str, Any]  # Validated settings with the keys of the configuration file.


class UndecidedRequestError(Exception):
    """A request has ended without a decision on its final answer; the message is its request class."""


class Dispatcher(PolicyHost):
    """The requests, attempts and executors of one node."""

    def __init__(
        self, settings: Settings, seed: int, clock: Callable[[], float], wake: Callable[[], None]
    ) -> None:
        super().__init__(clock, wake)
        self.shutdown_deadline = inf
        self.settings = settings
        self.removed_classes: dict[str, None] = {}  # names of request classes in earlier settings only
        self._index_names(settings)
        self.zones = {name: number for number, name in enumerate(settings.get("azs", []))}
        self.machine_types = {name: number for number, name in enumerate(settings.get("kinds", []))}
        # A health check may wait in the executor's queue, so it gets twice the connect timeout.
        connect_timeout_us = section(settings, "limits").get("connect-timeout-us", 0)
        self.health_check_timeout_s = 2e-6 * connect_timeout_us or DEFAULT_HEALTH_CHECK_TIMEOUT_S
        self.policy = build_policy(self, seed, settings, clock())
        self.endpoint_list = EndpointList(
            self.policy, self.zones, self.machine_types, self.close_idle_connections
        )
        self.executors = self.endpoint_list.executors
        self.maintenance = self.endpoint_list.maintenance
        if settings.get("discovery") != "ask":
            self.watch_endpoints(True)  # over sockets, a list that the settings call pushed is watched too

    def _index_names(self, settings: Settings) -> None:
        request_classes = settings.get("offerings", [])
        tenants = settings.get("tenants", [])
        self.request_classes = {entry.get("name"): number for number, entry in enumerate(request_classes)}
        self.tenants = {entry.get("name"): number for number, entry in enumerate(tenants)}

    def apply_settings(self, settings: Settings) -> None:
        """Apply new, validated settings.

        Requests in progress keep their request class. New requests of a removed class are rejected.
        """
        reconfigure(self.policy, self.settings, settings)
        previous_classes = self.request_classes
        self.settings = settings
        self._index_names(settings)
        self.removed_classes = {
            name: None
            for name in (*self.removed_classes, *previous_classes)
            if name not in self.request_classes
        }
        self._finish_event(self.clock())

    def has_request_class(self, request_class: str) -> bool:
        """Return whether the request class exists or has existed."""
        return request_class in self.request_classes or request_class in self.removed_classes

    # -- requests --------------------------------------------------------------------------------------

    async def next_action(self, pending: PendingRequest) -> Action | None:
        """Wait for the next action of the request; return None if there will be no more."""
        while not pending.actions:
            if pending.is_finished():
                if not (pending.has_final_answer or pending.is_withdrawn):
                    log_exception("ending a request", UndecidedRequestError(pending.labels[0]))
                    self._answer_after_error(pending.request)
                    continue
                self._cancel_timers(pending)
                return None
            pending.waiter = get_running_loop().create_future()
            await pending.waiter
        return pending.actions.popleft()

    def report_request(
        self,
        request_class: str,
        tenant: str,
        budget: float | None,
        cost: float,
        slots: float,
        memory: float,
        is_retry: bool,
        marked: bool = True,
        waited: float = 0.0,
        key: bytes = b"",
        request_id: str = "",
    ) -> PendingRequest | None:
        """Accept a request that arrived `waited` seconds ago.

        `budget` is the client's deadline in seconds from the arrival, limited to that of the request class.
        `is_retry` marks a client's retry, `marked` the presence of an idempotency key. Return None if the
        class does not exist, or requires an idempotency key that is missing.
        """
        number = self.request_classes.get(request_class)
        if number is None:
            return None
        policy_class = self.policy.request_classes[number]
        if not marked and policy_class.idempotency is Idempotency.KEYED:
            return None
        now = self.clock()
        budget = limit_budget(budget, policy_class.deadline) - waited
        pending = PendingRequest()
        pending.deadline = now + max(budget - RESPONSE_MARGIN_S, 0.0)
        pending.labels = RequestLabels(request_class, tenant)
        pending.arrived_at = now - waited
        budget = max(min(budget, self.shutdown_deadline - now) - RESPONSE_MARGIN_S, 0.0)
        tenant_number = self.tenants.get(tenant, UNKNOWN_TENANT)
        request = self.policy.create_request(now, pending, number, budget, cost, slots, is_retry, key)
        pending.request = request
        try:
            self.policy.place_new_request(now, request, tenant_number)
        except Exception as error:
            self._handle_request_error(request, "placing a request", error)
        self._record_arrival(pending, request_id, is_retry)
        self._finish_event(now)
        return pending

    def _record_arrival(self, pending: PendingRequest, request_id: str, is_retry: bool) -> None:
        request = pending.request
        pending.record = self.monitor.taken(request_id, request, pending.deadline + RESPONSE_MARGIN_S)
        if self.health_observer is not None and not is_retry:  # a retry is not new demand
            self.health_observer.count_request(request.work)
        if request.is_open:
            self._track(pending)

    def report_request_error(self, pending: PendingRequest, error: Exception) -> None:
        """Answer a request whose handling was ended by an unexpected error."""
        log_exception("serving a request", error)
        self._answer_after_error(pending.request)

    def report_failed_action(self, pending: PendingRequest, action: Action, error: Exception) -> None:
        """Record that an action of the request was not carried out, because of an unexpected error."""
        log_exception(f"carrying out {type(action).__name__}", error)
        if isinstance(action, SendAttempt):
            self.report_outcome(pending, action.number, Outcome.NOT_SENT)

    def report_client_left(self, pending: PendingRequest, reason: str = "client_left") -> None:
        """Withdraw a request whose client has disconnected, and cancel its attempts in flight."""
        now = self.clock()
        pending.is_withdrawn = True
        if pending.record is not None:
            self.monitor.released(pending.record, reason)
        self.policy.request_withdrawn(now, pending.request)
        self.open_requests.pop(pending, None)
        self._settle_charge(pending.request)
        pending.wake()
        self._finish_event(now)

    def report_handed_over(self, pending: PendingRequest) -> None:
        """Withdraw a request that another process of this node continues."""
        self.report_client_left(pending, "handed_over")
        for attempt in pending.request.attempts:
            if attempt.is_in_flight:  # not cancelled by the policy if executors do not support cancels
                self.report_outcome(pending, attempt.number, Outcome.CANCELLED)

    def report_request_resumed(self, pending: PendingRequest) -> None:
        """Continue a request that another process of this node has handed over."""
        now = self.clock()
        request = pending.request
        pending.deadline = request.deadline
        pending.has_begun_attempt = bool(request.attempts)
        request.deadline = min(request.deadline, self.shutdown_deadline - RESPONSE_MARGIN_S)
        self._track(pending)
        for attempt in request.attempts:
            if attempt.is_in_flight:
                self.set_timer(request.deadline, self._time_out, attempt)
                self.policy.attempt_resumed(now, attempt)
        self._finish_event(now)

    def set_shutdown_deadline(self, when: float) -> None:
        """Limit the deadlines of all requests, present and future, to `when`."""
        self.shutdown_deadline = when
        for pending in list(self.open_requests):
            request = pending.request
            request.deadline = min(request.deadline, when - RESPONSE_MARGIN_S)
            for attempt in request.attempts:
                if attempt.is_in_flight:
                    self.set_timer(request.deadline, self._time_out, attempt)
        self._finish_event(self.clock())

    # -- attempts --------------------------------------------------------------------------------------

    def report_sending(self, pending: PendingRequest, number: int) -> bool:
        """Return whether the first byte of an attempt may be written.

        While the attempt waited for a connection, the executor may have begun to drain or have restarted, the
        client may have disconnected, and the request may have ended.
        """
        if not self._may_send(pending, number):
            return False
        attempt = pending.request.attempts[number]
        if not self.policy.may_start_attempt(self.clock(), attempt):
            return False
        pending.has_begun_attempt = True
        if pending.record is not None:
            self.monitor.attempt_begun(pending.record, attempt, pending.attempt_reason(number))
        return True

    def report_committing(self, pending: PendingRequest, number: int) -> bool:
        """Return whether the last byte of an attempt may be written, after which it may run."""
        if not self._may_send(pending, number):
            return False
        if not self.policy.may_commit_attempt(self.clock(), pending.request.attempts[number]):
            return False
        pending.committed.add(number)
        if pending.record is not None:
            self.monitor.attempt_committed(pending.record, number)
        return True

    def _may_send(self, pending: PendingRequest, number: int) -> bool:
        request = pending.request
        attempt = request.attempts[number]
        if not attempt.is_in_flight or not request.is_open:
            return False
        # After a stall of the process this may run before the timers that are due.
        if self.clock() + MIN_TIME_LEFT_S >= request.deadline:
            return False
        if pending.has_client_left():
            self.report_client_left(pending)
            return False
        return not pending.is_client_overrun()

    def report_started(self, pending: PendingRequest, number: int) -> None:
        """Record that the executor has started an attempt."""
        attempt = pending.request.attempts[number]
        if attempt.is_in_flight and not attempt.started_at:
            now = self.clock()
            try:
                if self.health_observer is not None:
                    zone = attempt.executor.zone.number
                    self.health_observer.count_start(zone, now - attempt.sent_at, now)
                self.policy.attempt_started(now, attempt)
            except Exception as error:
                self._handle_request_error(pending.request, "starting an attempt", error)
            self._finish_event(now)

    def report_progress(self, pending: PendingRequest, number: int, share: float) -> None:
        """Record that the executor is still working on an attempt."""
        attempt = pending.request.attempts[number]
        if attempt.is_in_flight:
            now = self.clock()
            attempt.executor.strikes = 0
            self._finish_event(now)

    def report_outcome(
        self,
        pending: PendingRequest,
        number: int,
        outcome: Outcome,
        load: object = None,
        result: bytes = b"",
    ) -> None:
        """Record the outcome of an attempt, with a load report; ignore an attempt that has ended."""
        request = pending.request
        attempt = request.attempts[number]
        if not attempt.is_in_flight:
            return
        now = self.clock()
        ends_request = is_terminal(outcome) and request.is_open
        self._end_attempt(now, attempt, outcome, load)
        if ends_request and outcome is Outcome.COMPLETED:
            pending.add(CompleteRequest(result))
            if self.rollout_counters is not None:
                is_late = now > request.objective_at
                duration_s = now - pending.arrived_at
                self.rollout_counters.count_completed(
                    pending.labels[0], len(request.attempts), duration_s, is_late
                )
        elif ends_request:  # a retry would be invalid at every executor, and count against each of them
            pending.add(RejectInvalidRequest())
        self._finish_event(now)

    # -- executors -------------------------------------------------------------------------------------

    def report_idle_connections(self, endpoint: Endpoint, count: int) -> None:
        """Record the number of idle connections to the executor."""
        executor = self.executors.get(endpoint.name)
        if executor is not None:
            self.policy.idle_connections_counted(executor, count)

    def report_health_check(
        self, endpoint: Endpoint, outcome: Outcome, duration_s: float, load: object
    ) -> None:
        """Record the outcome of a health check after `duration_s` seconds, with its load report."""
        now = self.clock()
        executor = self.executors.get(endpoint.name)
        if executor is None:  # it has left the list
            return
        if self.health_observer is not None:
            is_unreachable = outcome not in (Outcome.COMPLETED, Outcome.AT_CAPACITY)
            zone = executor.zone.number
            self.health_observer.count_outcome(zone, is_unreachable, False, now, now - duration_s)
        self.policy.health_check_ended(now, executor, outcome, duration_s, parse_load_report(load))
        self._finish_event(now)

    def report_peer_failure(self, number: int, content: bytes) -> None:
        """Record an executor's error reported by another node."""
        now = self.clock()
        executor = self.endpoint_list.index.find(content)
        if executor is not None:
            self.policy.peer_reported_failure(now, executor)
            self._finish_event(now)

    def exclude_zones(self, zones: list[int]) -> None:
        """Stop sending to these zones; a later call without a zone includes it again."""
        zone_view.exclude_zones(self.policy, zones)

    def zone_capacities(self, count: int) -> list[float]:
        """Return the work per second of the ready executors of each zone, not reduced by slow start."""
        return zone_view.zone_capacities(self.policy, count)

    # -- the endpoint list -----------------------------------------------------------------------------

    @property
    def version(self) -> int:
        """The version of the endpoint list."""
        return self.endpoint_list.version

    @property
    def list_received_at(self) -> float:
        """The time of the last update from the discovery service."""
        return self.endpoint_list.received_at

    @property
    def endpoints(self) -> dict[str, tuple[Any, ...]]:
        """The entries of the list as plain tuples, for another process of this node."""
        return {name: tuple(entry) for name, entry in self.endpoint_list.entries.items()}

    def report_endpoint_list(
        self, version: int, is_complete: bool, entries: Iterable[EndpointFields]
    ) -> None:
        """Apply an update of the list; a complete one removes executors that it does not name."""
        now = self.clock()
        if self.endpoint_list.apply(now, version, is_complete, entries):
            self._finish_event(now)

    def restore_endpoint_list(
        self, version: int, entries: Iterable[EndpointFields], is_complete: bool = True
    ) -> None:
        """Apply the list of another process of this node; it does not count as an update from the service."""
        now = self.clock()
        if self.endpoint_list.restore(now, version, is_complete, entries):
            self._finish_event(now)

    def reset_list_version(self) -> None:
        """Accept any version next, because another service with its own numbering provides the list."""
        self.endpoint_list.version = 0

    def is_awaiting_endpoint_list(self, since: float) -> bool:
        """Return whether no update has arrived since that time and no poll has failed."""
        return self.list_received_at <= since and not self.policy.consecutive_failures

    def report_endpoint_list_failure(self, timed_out: bool = False) -> None:
        """Record a failed poll of the discovery service; `timed_out`: by a timeout, not by a refusal."""
        now = self.clock()
        self.policy.endpoint_list_failed(now, timed_out)
        self._finish_event(now)

    # -- maintenance -----------------------------------------------------------------------------------

    def detach_executor(self, name: str, is_known: bool = False) -> bool:
        """Detach an executor for maintenance: the policy sees it as draining.

        Return False if the executor is unknown; `is_known`: it is known to another process of this node.
        """
        if not (is_known or self.maintenance.knows(name)):
            return False
        now = self.clock()
        self.maintenance.detach(name, now)
        executor = self.executors.get(name)
        if executor is None:
            return True
        self._apply_maintenance(now, executor)
        self.close_idle_connections(executor)  # the executor's restart could break one during a request
        if self.policy.config.reports_starts:
            self._report_unstarted_overdue(now, executor)
        self._finish_event(now)
        return True

    def _report_unstarted_overdue(self, now: float, executor: Executor) -> None:
        """Treat attempts that the executor has not started as overdue."""
        attempts = [attempt for pending in self.open_requests for attempt in pending.request.attempts]
        for attempt in attempts:
            if attempt.executor is executor and attempt.is_in_flight:
                self.policy.attempt_overdue(now, attempt)

    def attach_executor(self, name: str, is_known: bool = False) -> bool:
        """Attach an executor; it begins a slow start even if the list does not show its restart.

        Return False if the executor is unknown; `is_known`: it is known to another process of this node.
        """
        if not (is_known or self.maintenance.knows(name)):
            return False
        now = self.clock()
        executor = self.executors.get(name)
        if self.maintenance.attach(name, now) and executor is not None:
            self._apply_maintenance(now, executor)
        return True

    def restore_maintenance(self, state: object) -> None:
        """Replace the maintenance state by that of another process of this node.

        Raise MaintenanceStateError, and change nothing, if it is malformed.
        """
        self.maintenance.restore(state)
        for executor in self.executors.values():
            self._apply_maintenance(self.clock(), executor)

    def _apply_maintenance(self, now: float, executor: Executor) -> None:
        if self.endpoint_list.apply_maintenance(now, executor):
            self._finish_event(now)

    def should_keep_connections(self, endpoint: Endpoint) -> bool:
        """Return whether to keep idle connections to the executor.

        Those to a detached executor would end when it restarts.
        """
        return endpoint.name not in self.maintenance.detached
