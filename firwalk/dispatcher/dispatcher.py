"""The decisions in blocking style, for a node on sockets: `pick`, the `report_...` methods and `tick`.

No I/O happens here. Whoever holds a task waits in `pick` for its next step; what the network learns it
reports; `tick` runs due timers and hands out the standing work that belongs to no task. The network sees
errands, places and steps, never the module's own calls. Times are seconds on the clock that is handed in.
"""

from __future__ import annotations

from asyncio import Future, get_running_loop
from collections import deque
from collections.abc import Callable
from enum import IntEnum
from heapq import heappop, heappush
from typing import Any
from zlib import crc32

from firwalk.config.policy_settings import LOAD_REPORT_FIELDS, build_policy, reconfigure
from firwalk.dispatcher import failure_gossip
from firwalk.dispatcher.maintenance import Maintenance
from firwalk.observability.events import EventLog, FailureReason
from firwalk.observability.log import check_invariant
from firwalk.observability.monitor import Monitor, RequestRecord
from firwalk.policy.interface import EndpointState, Idempotency, Outcome
from firwalk.policy.policy import Attempt, Executor, Request

RESPONSE_MARGIN_S = 0.02  # seconds kept for an answer's way to the client: at its expiry it would be too late
FOR_GOOD = float("inf")  # until it is said otherwise
LEAST_LEFT = 0.001  # seconds: what an executor is told of its time has no smaller part
MOST_LOAD = 1e6  # figures of a load report beyond it (an infinite one, too) tell nothing
LAST_WORD = 0.01  # seconds past a task's expiry, after its time-out
LAST = (Outcome.COMPLETED, Outcome.INVALID)  # outcomes that end the task itself
MISSED = (
    Outcome.CONNECT_FAILED,
    Outcome.CONNECTION_LOST,
    Outcome.TIMED_OUT,
    Outcome.CANCELLED,
)  # nobody was found


class Action(IntEnum):
    """What is to be done next for a task."""

    SEND = 0  # number of the assignment, place, when it must have ended, whether it can never repeat
    CALL_OFF = 1  # number of the assignment
    FINISHED = 2  # the result
    BOUNCED = 3  # seconds to stay away (0: no advice)
    ABANDONED = 4
    UNFIT = 5  # an executor says that the task itself is bad


class BackgroundAction(IntEnum):
    """Standing work, of no task."""

    PROBE = 0  # place, seconds that it may take
    CLOSE_IDLE = 1  # place
    WATCH = 2  # whether to, the list's version
    ASK_LIST = 3
    TELL = 4  # content, for all peers
    NOTE = 5  # a line


class Endpoint:
    """Where an executor listens."""

    def __init__(self, name: str, address: tuple[str, int]):
        self.name, self.address = name, address


class PendingRequest:
    """A task at the door: the steps that wait to be picked, until its last assignment has ended."""

    def __init__(self) -> None:
        self.request: Request | None = None
        self.actions: deque[tuple] = deque()
        self.waiter: Future | None = None
        self.committed: set[int] = set()  # assignments whose last byte may have been written
        self.deadline = 0.0  # its own, also when the node must be gone before
        self.arrived_at = 0.0  # when it came
        self.retry_after = 0.0  # seconds that a bounce asks its client to stay away at least
        self.labels = ("", "")  # names of its offering and tenant
        self.charge: Any = None  # what is reserved for it of its team's budget
        self.measured_work = 0.0  # work of the assignment that finished
        self.record: RequestRecord | None = None  # what the checks at run time keep of it
        self.failure_reason = FailureReason.NO_EXECUTOR  # why it was given up, once it was
        self.has_client_left: Callable[[], bool] = lambda: False  # whether its client has gone, read or not

    def wake(self) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def add(self, *step: Any) -> None:
        self.actions.append(step)
        self.wake()

    def is_finished(self) -> bool:
        return not self.request.is_open and not self.request.in_flight


class Dispatcher:
    """One node's decisions, and the host through which they act."""

    def __init__(self, settings: dict, seed: int, clock: Callable[[], float], wake: Callable[[], None]):
        self.clock, self.wake = clock, wake
        self.events = EventLog()
        self.monitor = Monitor(self.events, clock)
        self.timers: list[tuple] = []
        self.label, self.next = 0, float("inf")
        self.background_actions: list[tuple] = []
        self.ending: list[Attempt] = []
        self.open_requests: dict[PendingRequest, None] = {}
        self.shutdown_deadline = float("inf")
        self.executors: dict[str, Executor] = {}
        self.maintenance = Maintenance()
        self.endpoints: dict[str, tuple] = {}  # the list as it was told last
        self.list_received_at = 0.0  # when a list came last
        self.executor_index = failure_gossip.ExecutorIndex()
        self.health_observer: Any = None  # counts what is met in each zone, where the fleet decides on zones
        self.rollout_counters: Any = None  # counts final answers, where changes go by stages
        self.cluster_admission: Callable[[Request], float] | None = (
            None  # what is decided in common on a task
        )
        self.version = 0
        self.settings, self.removed_classes = settings, {}  # offerings that there are no more
        self._name(settings)
        self.zones = {name: n for n, name in enumerate(settings.get("azs", []))}
        self.kinds = {name: n for n, name in enumerate(settings.get("kinds", []))}
        # A probe may wait in an executor's queue: it gets twice the time that a connection gets.
        self.probe_time = 2e-6 * settings.get("limits", {}).get("connect-timeout-us", 0) or 0.5
        self.policy = build_policy(self, seed, settings, clock())
        if settings.get("discovery") != "ask":
            self.watch_endpoints(True)  # on sockets a list that the settings call pushed comes by a watch too

    def _name(self, settings: dict) -> None:
        self.request_classes = {o.get("name"): n for n, o in enumerate(settings.get("offerings", []))}
        self.tenants = {t.get("name"): n for n, t in enumerate(settings.get("tenants", []))}

    def report_settings(self, settings: dict) -> None:
        """New settings, checked. What they leave out of the offerings is turned away from now on; tasks under
        way go on as they came."""
        reconfigure(self.policy, self.settings, settings)
        before, self.settings = self.request_classes, settings
        self._name(settings)
        self.removed_classes = {
            name: None for name in (*self.removed_classes, *before) if name not in self.request_classes
        }
        self._settle(self.clock())

    def has_request_class(self, request_class: str) -> bool:
        """Whether there is such an offering, or was one."""
        return request_class in self.request_classes or request_class in self.removed_classes

    # -- pick, tick ------------------------------------------------------------------------------------

    async def next_action(self, pending: PendingRequest) -> tuple | None:
        """Waits for the task's next step; None once nothing more can come."""
        while not pending.actions:
            if pending.is_finished():
                return None
            pending.waiter = get_running_loop().create_future()
            await pending.waiter
        return pending.actions.popleft()

    def run_due_timers(self) -> tuple[float, list[tuple]]:
        """Runs due timers; tells when to come again and what standing work there is."""
        now = self.clock()
        while self.timers and self.timers[0][0] <= now:
            _, _, act, about = heappop(self.timers)
            act(now, about)
            self._settle(now)
        chores, self.background_actions = self.background_actions, []
        self.next = self.timers[0][0] if self.timers else float("inf")
        return self.next, chores

    def _settle(self, now: float) -> None:
        """Gives assignments that were called off their outcome, outside the call that did so."""
        while self.ending:
            self._ended(now, self.ending.pop(0), Outcome.CANCELLED, None)
        if self.background_actions or (self.timers and self.timers[0][0] < self.next):
            self.next = float("-inf")
            self.wake()

    # -- report: what came -----------------------------------------------------------------------------

    def report_request(
        self,
        request_class: str,
        tenant: str,
        budget: float | None,
        cost: float,
        slots: float,
        memory: float,
        again: bool,
        marked: bool = True,
        waited: float = 0.0,
        key: bytes = b"",
        request_id: str = "",
    ) -> PendingRequest | None:
        """A task was taken, some seconds ago; None where no such offering exists, or a fingerprint is needed
        and it is not `marked` by one. Its offering's budget is the most that it can have."""
        number = self.request_classes.get(request_class)
        if (
            number is None
            or not marked
            and self.policy.request_classes[number].idempotency is Idempotency.KEYED
        ):
            return None
        now, pending, most = self.clock(), PendingRequest(), self.policy.request_classes[number].deadline
        budget = (most if budget is None else min(budget, most or budget)) - waited
        pending.deadline, pending.labels = now + max(budget - RESPONSE_MARGIN_S, 0.0), (request_class, tenant)
        pending.arrived_at = now - waited
        budget = max(min(budget, self.shutdown_deadline - now) - RESPONSE_MARGIN_S, 0.0)
        pending.request = self.policy.request_arrived(
            now, pending, number, self.tenants.get(tenant, -1), budget, cost, slots, memory, again, key
        )
        pending.record = self.monitor.taken(request_id, pending.request, pending.deadline + RESPONSE_MARGIN_S)
        if (
            self.health_observer is not None and not again
        ):  # what is turned away and comes again is asked for once
            self.health_observer.arrived(pending.request.work)
        if pending.request.is_open:
            self.open_requests[pending] = None
            self.set_timer(pending.request.deadline + LAST_WORD, self._last_word, pending)
        self._settle(now)
        return pending

    def report_started(self, pending: PendingRequest, number: int) -> None:
        attempt = pending.request.attempts[number]
        if attempt.is_in_flight and not attempt.started_at:
            now = self.clock()
            if self.health_observer is not None:
                self.health_observer.started(self._zone(attempt.executor), now - attempt.sent_at, now)
            self.policy.attempt_started(now, attempt)
            self._settle(now)

    def report_progress(self, pending: PendingRequest, number: int, share: float) -> None:
        attempt = pending.request.attempts[number]
        if attempt.is_in_flight:
            now = self.clock()
            attempt.executor.strikes = 0  # it works
            self._settle(now)

    def report_outcome(
        self,
        pending: PendingRequest,
        number: int,
        how: Outcome,
        load: dict | None = None,
        result: bytes = b"",
    ) -> None:
        """How an assignment ended; one that was called off has had its outcome already."""
        attempt = pending.request.attempts[number]
        if not attempt.is_in_flight:
            return
        now, wins = self.clock(), how in LAST and pending.request.is_open
        self._ended(now, attempt, how, load)
        if wins and how is Outcome.COMPLETED:
            pending.add(Action.FINISHED, result)
            if self.rollout_counters is not None:
                self.rollout_counters.finished(
                    pending.labels[0],
                    len(pending.request.attempts),
                    now - pending.arrived_at,
                    now > pending.request.objective_at,
                )
        elif wins:  # sent on, it would be turned away everywhere, and count against each in turn
            pending.add(Action.UNFIT)
        self._settle(now)

    def _ended(self, now: float, attempt: Attempt, how: Outcome, load: dict | None) -> None:
        request = attempt.request
        if not attempt.is_in_flight:
            return
        complete = how in LAST or not request.is_open
        if self.health_observer is not None:
            self._see(now, attempt, how)
        if self.rollout_counters is not None and how is Outcome.ERROR:
            self.rollout_counters.erred(request.ref.labels[0])
        if how is Outcome.COMPLETED and request.ref.charge is not None and not request.ref.measured_work:
            took = now - (attempt.started_at or attempt.sent_at)
            request.ref.measured_work = took * attempt.executor.speed * request.slots
        if request.ref.record is not None:
            self.monitor.attempt_ended(request.ref.record, attempt.number, how)
        self.policy.attempt_ended(now, attempt, how, now - attempt.sent_at, complete, self._words(load))
        if not request.is_open:
            self.open_requests.pop(request.ref, None)
            self._settle_charge(request)
        request.ref.wake()

    def _settle_charge(self, request: Request) -> None:
        """Once it is over: what was measured, else the estimate, or nothing if none of it can have run."""
        if request.ref.charge is not None and not request.is_open and not request.in_flight:
            ran = any(a.may_have_run and a.number in request.ref.committed for a in request.attempts)
            request.ref.charge.settle(request.ref.measured_work, ran)

    def _zone(self, executor: Executor) -> int:
        return next((number for number, zone in self.policy.zones.items() if zone is executor.zone), -1)

    def _see(self, now: float, attempt: Attempt, how: Outcome) -> None:
        """An assignment that was called off tells nothing, unless it should have ended by then."""
        executor, began = attempt.executor, attempt.started_at
        late = now - attempt.sent_at > attempt.wait + attempt.request.cost / executor.rate()
        if how is not Outcome.NOT_SENT and (how is not Outcome.CANCELLED or late and not began):
            missed = how in MISSED and not began
            self.health_observer.ended(
                self._zone(executor), missed, how is Outcome.ERROR, now, attempt.sent_at
            )

    def exclude_zones(self, zones: list[int]) -> None:
        """These zones get nothing for as long as they are named."""
        for number, place in self.policy.zones.items():
            if number in zones:
                place.away_until = FOR_GOOD
            elif place.away_until == FOR_GOOD:
                place.away_until = 0.0

    def zone_capacities(self, count: int) -> list[float]:
        """Work a second that each zone's ready executors bear when warm, by this node's list."""
        bears = [0.0] * count
        for executor in self.policy.near + self.policy.far:
            number = self._zone(executor)
            if 0 <= number < count:
                bears[number] += executor.slots * executor.speed
        return bears

    def report_client_left(self, pending: PendingRequest, reason: str = "client_left") -> None:
        """The client left."""
        now = self.clock()
        if pending.record is not None:
            self.monitor.released(pending.record, reason)
        self.policy.request_withdrawn(now, pending.request)
        self.open_requests.pop(pending, None)
        self._settle_charge(pending.request)
        pending.wake()
        self._settle(now)

    def report_handed_over(self, pending: PendingRequest) -> None:
        """Another process of this node goes on with it: here nothing is owed any more."""
        self.report_client_left(pending, "handed_over")
        for attempt in pending.request.attempts:
            if attempt.is_in_flight:  # where a cancel means nothing
                self.report_outcome(pending, attempt.number, Outcome.CANCELLED)

    def report_request_resumed(self, pending: PendingRequest) -> None:
        """A task that another process of this node had goes on here."""
        now, request = self.clock(), pending.request
        pending.deadline, request.deadline = (
            request.deadline,
            min(request.deadline, self.shutdown_deadline - RESPONSE_MARGIN_S),
        )
        self.open_requests[pending] = None
        self.set_timer(request.deadline + LAST_WORD, self._last_word, pending)
        for attempt in request.attempts:
            if attempt.is_in_flight:
                self.set_timer(request.deadline, self._time_out, attempt)
                self.policy.attempt_resumed(now, attempt)
        self._settle(now)

    def report_list(self, version: int, whole: bool, entries: list[tuple]) -> None:
        """Entries are (name, address, zone, machine type, cell, condition, when it came up, size); `whole`:
        what is not named is gone. One that says what it said last is passed over: of thousands few change."""
        if version < self.version and not whole:
            return  # an old change, told again
        now, named = self.clock(), set()
        told_last = self.endpoints
        if whole:
            self.endpoints = {}
        for entry in entries:
            name, address, zone, kind, cell, condition, came_up, size = entry
            if told_last.get(name) == entry:
                self.endpoints[name] = entry
                named.add(name)
                continue
            self.endpoints[name] = entry
            executor = self.executors.get(name)
            if executor is None:
                if condition is EndpointState.REMOVED:
                    continue
                executor = self.executors[name] = self.policy.new_executor(
                    Endpoint(name, address),
                    self.kinds.get(kind, -1),
                    self.zones.get(zone, -1),
                    cell,
                    size,
                    crc32(name.encode()),
                )
                self.executor_index.add(name.encode(), executor)
            if condition is EndpointState.REMOVED or address != executor.ref.address:
                self.close_idle_connections(executor)
            executor.ref.address = address
            named.add(name)
            self.policy.endpoint_changed(now, executor, *self.maintenance.observe(name, condition, came_up))
        for name, executor in self.executors.items() if whole else ():
            if name not in named and executor.condition is not EndpointState.REMOVED:
                self.policy.endpoint_changed(
                    now, executor, *self.maintenance.observe(name, EndpointState.REMOVED, executor.came_up)
                )
                self.close_idle_connections(executor)
        self.version, self.list_received_at = version, now
        self.policy.endpoint_list_received(now)
        self._settle(now)

    def detach_executor(self, name: str, sure: bool = False) -> bool:
        """Operators take an executor out: to the decisions it drains, so that their one gate keeps this rule
        too. False: nobody knows it. `sure`: another process of this node does."""
        if not (sure or self.maintenance.knows(name)):
            return False
        now, executor = self.clock(), self.executors.get(name)
        self.maintenance.detach(name, now)
        if executor is not None:
            self._as_listed(now, executor)
            self.close_idle_connections(
                executor
            )  # the restart that it is taken out for would end them under a task
            for attempt in [a for pending in self.open_requests for a in pending.request.attempts]:
                if attempt.executor is executor and attempt.is_in_flight and self.policy.tells_start:
                    self.policy.attempt_overdue(
                        now, attempt
                    )  # what has not begun there need not wait for its end
            self._settle(now)
        return True

    def restore_maintenance(self, state: dict) -> None:
        """Who was out when another process of this node served; ValueError and its like if it says nothing
        that can be used. The list that this one began with had them in use."""
        self.maintenance.restore(state)
        for executor in self.executors.values():
            self._as_listed(self.clock(), executor)

    def attach_executor(self, name: str, sure: bool = False) -> bool:
        """Operators call it back: it comes back cold, whatever the list has noticed of its restart."""
        if not (sure or self.maintenance.knows(name)):
            return False
        now, executor = self.clock(), self.executors.get(name)
        if self.maintenance.attach(name, now) and executor is not None:
            self._as_listed(now, executor)
        return True

    def _as_listed(self, now: float, executor: Executor) -> None:
        listed = self.maintenance.last_listed.get(executor.ref.name)
        if listed is not None:
            self.policy.endpoint_changed(now, executor, *self.maintenance.observe(executor.ref.name, *listed))
            self.policy.endpoint_list_received(now)
            self._settle(now)

    def keeps_connections_to(self, place: Endpoint) -> bool:
        """Whether connections to it are worth keeping: to one that is out they end with its restart."""
        return place.name not in self.maintenance.detached

    def restore_endpoint_list(self, version: int, entries: list[tuple], whole: bool = True) -> None:
        """The list as another process of this node had it: no news, so that a fresh one is still awaited."""
        at = self.list_received_at
        self.report_list(version, whole, entries)
        self.list_received_at = at

    def reset_list_version(self) -> None:
        """The list comes from another service, whose versions need not follow on those before."""
        self.version = 0

    def is_awaiting_endpoint_list(self, since: float) -> bool:
        """Whether the list's service was not heard since then, and no call of it has come to nothing: what
        the node knows so far is as old as its configuration."""
        return self.list_received_at <= since and not self.policy.misses

    def report_list_broken(self, silent: bool = False) -> None:
        """`silent`: it gave no sign in its time. What it missed is to be known soon, and it was not turned
        down by a service that is busy."""
        now = self.clock()
        self.policy.endpoint_list_failed(now, silent)
        self._settle(now)

    def report_probe(self, place: Endpoint, how: Outcome, took: float, load: dict | None) -> None:
        now = self.clock()
        if self.health_observer is not None:
            missed = how not in (Outcome.COMPLETED, Outcome.AT_CAPACITY)
            self.health_observer.ended(self._zone(self.executors[place.name]), missed, False, now, now - took)
        self.policy.health_check_ended(now, self.executors[place.name], how, took, self._words(load))
        self._settle(now)

    def report_peer(self, number: int, content: bytes) -> None:
        """Another node warns of an executor."""
        now, executor = self.clock(), self.executor_index.find(content)
        if executor is not None:
            self.policy.peer_reported_failure(now, executor)
            self._settle(now)

    def report_sending(self, pending: PendingRequest, number: int) -> bool:
        """The first byte is about to be written; False: no more. While a connection was awaited, the executor
        may have begun to drain or come back cold, the client may have left, or the task may have ended; or
        the process stood still, and wakes past the task's time before its timers have told."""
        if not self._may_go(pending, number):
            return False
        if pending.record is not None:
            attempt = pending.request.attempts[number]
            self.monitor.attempt_begun(pending.record, attempt, self._why(pending, number))
        return True

    @staticmethod
    def _why(pending: PendingRequest, number: int) -> str:
        """Why this attempt is made: the first one, beside one that is still out, or after one that ended."""
        if number == 0:
            return "first"
        return "hedge" if any(a.is_in_flight for a in pending.request.attempts[:number]) else "retry"

    def report_committing(self, pending: PendingRequest, number: int) -> bool:
        """The last byte is about to be written: from here on it may run. False: the task has ended, or its
        client has gone."""
        wanted = self._may_go(pending, number, begun=True)
        if wanted:
            pending.committed.add(number)
            if pending.record is not None:
                self.monitor.attempt_committed(pending.record, number)
        return wanted

    def _may_go(self, pending: PendingRequest, number: int, begun: bool = False) -> bool:
        """The gate at the moment of the send. Less than `LEAST_LEFT` is no time that could be told."""
        request, attempt = pending.request, pending.request.attempts[number]
        if not attempt.is_in_flight or not request.is_open or self.clock() + LEAST_LEFT >= request.deadline:
            return False
        if pending.has_client_left():
            self.report_client_left(pending)
            return False
        if begun:
            return self.policy.may_commit_attempt(self.clock(), attempt)
        return self.policy.may_start_attempt(self.clock(), attempt)

    def report_idle(self, place: Endpoint, count: int) -> None:
        """So many connections to it are open and free: what the decisions count misses those that ended."""
        self.policy.idle_connections_counted(self.executors[place.name], count)

    def set_shutdown_deadline(self, when: float) -> None:
        """The node must be gone then: what it has taken is answered before, as if it expired."""
        self.shutdown_deadline = when
        for pending in list(self.open_requests):
            request = pending.request
            request.deadline = min(request.deadline, when - RESPONSE_MARGIN_S)
            for attempt in request.attempts:
                if attempt.is_in_flight:
                    self.set_timer(request.deadline, self._time_out, attempt)
        self._settle(self.clock())

    def _words(self, load: dict | None) -> dict[str, float] | None:
        if not isinstance(load, dict):
            return None
        return {
            LOAD_REPORT_FIELDS.get(name, name): float(value)
            for name, value in load.items()
            if isinstance(value, int | float) and abs(value) < MOST_LOAD
        }

    def _time_out(self, now: float, attempt: Attempt) -> None:
        if attempt.is_in_flight:
            pending = attempt.request.ref
            begun = attempt.number in pending.committed
            pending.add(Action.CALL_OFF, attempt.number)
            self._ended(now, attempt, Outcome.TIMED_OUT if begun else Outcome.NOT_SENT, None)

    def _last_word(self, now: float, pending: PendingRequest) -> None:
        """The decisions answer every task by its expiry; did they not, its client would wait for nothing."""
        check_invariant(not pending.request.is_open, "a task has its final answer by its expiry")
        if pending.request.is_open:
            self.policy.request_withdrawn(now, pending.request)
            self.fail(pending.request)

    # -- the host's side: what the decisions ask for -----------------------------------------------------

    def send(self, request: Request, executor: Executor, limit: float) -> None:
        attempt = request.attempts[-1]
        end = min(request.deadline, attempt.sent_at + limit) if limit else request.deadline
        request.ref.add(
            Action.SEND,
            attempt.number,
            executor.ref,
            end,
            request.request_class.idempotency is Idempotency.NON_IDEMPOTENT,
        )
        self.set_timer(end, self._time_out, attempt)

    def admission_weight(self, request: Request) -> float:
        return 1.0 if self.cluster_admission is None else self.cluster_admission(request)

    def _refusal(self, request: Request) -> FailureReason:
        """Why it is given up: by its end, that of the process, the lack of an executor, or failures."""
        stopped = request.deadline < request.ref.deadline
        if self.clock() >= request.deadline:
            return FailureReason.STOPPING if stopped else FailureReason.DEADLINE
        if request.attempts:
            return FailureReason.ATTEMPTS_FAILED
        return FailureReason.STOPPING if stopped else FailureReason.NO_EXECUTOR

    def reject(self, request: Request, wait: float) -> None:
        request.ref.failure_reason = self._refusal(request)
        request.ref.add(Action.BOUNCED, min(max(wait, request.ref.retry_after), self.policy.max_retry_after))
        if self.rollout_counters is not None:
            self.rollout_counters.bounced(request.ref.labels[0], len(request.attempts))
        self.open_requests.pop(request.ref, None)
        self._settle_charge(request)

    def fail(self, request: Request) -> None:
        request.ref.failure_reason = self._refusal(request)
        request.ref.add(Action.ABANDONED)
        if self.rollout_counters is not None:
            self.rollout_counters.abandoned(request.ref.labels[0], len(request.attempts))
        self.open_requests.pop(request.ref, None)
        self._settle_charge(request)

    def cancel(self, attempt: Attempt) -> None:
        attempt.request.ref.add(Action.CALL_OFF, attempt.number)
        self.ending.append(attempt)

    def may_have_reached(self, attempt: Attempt) -> bool:
        return attempt.number in attempt.request.ref.committed

    def check_health(self, executor: Executor) -> None:
        self.background_actions.append((BackgroundAction.PROBE, executor.ref, self.probe_time))

    def close_idle_connections(self, executor: Executor) -> None:
        self.background_actions.append((BackgroundAction.CLOSE_IDLE, executor.ref))

    def set_timer(self, when: float, act: Callable[[float, Any], None], about: Any) -> None:
        self.label += 1
        heappush(self.timers, (when, self.label, act, about))

    def gossip_failure(self, executor: Executor) -> None:
        self.background_actions.append(
            (BackgroundAction.TELL, failure_gossip.executor_checksum(executor.ref.name.encode()))
        )

    def watch_endpoints(self, on: bool) -> None:
        self.background_actions.append((BackgroundAction.WATCH, on))

    def fetch_endpoints(self) -> None:
        self.background_actions.append((BackgroundAction.ASK_LIST,))

    def note(self, line: str) -> None:
        self.background_actions.append((BackgroundAction.NOTE, line))
