"""Handover of requests in progress from one process of a node to its replacement. Performs no I/O.

The complete attempt history is transferred, because it decides whether the receiving process may retry the
request. Times on the wire are on the sender's clock and are accompanied by the sender's current time. Only
this module knows the keys and the order of fields on the wire.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Self, cast

from firwalk.dispatcher.dispatcher import RESPONSE_MARGIN_S, Dispatcher, Endpoint, PendingRequest
from firwalk.dispatcher.endpoint_list import EndpointEntry
from firwalk.policy.executor import UNKNOWN_NUMBER
from firwalk.policy.interface import DeduplicationScope, EndpointState, Idempotency
from firwalk.policy.policy import Attempt, Executor, Request, RequestClass

WireObject = dict[str, Any]
MALFORMED = (AttributeError, IndexError, KeyError, TypeError, ValueError)


class HandoverError(Exception):
    """A request from another process is malformed."""


class _OrderedFields:
    """Attributes of an object, encoded on the wire as a list in the order of `__slots__`."""

    __slots__: tuple[str, ...] = ()

    @classmethod
    def of(cls, source: Request | RequestClass) -> Self:
        """Copy the attributes of a request or request class."""
        return cls(*[getattr(source, field) for field in cls.__slots__])

    def to_wire(self) -> list[Any]:
        """Return the values in wire order."""
        return [getattr(self, field) for field in self.__slots__]


class RequestFields(_OrderedFields):
    """Attributes of a request that the policy uses."""

    __slots__ = (
        "hint",
        "cost",
        "slots",
        "random_draw",
        "value",
        "max_attempts",
        "is_committed",
    )  # in wire order

    def __init__(
        self,
        hint: float,
        cost: float,
        slots: float,
        random_draw: float,
        value: float,
        max_attempts: int,
        is_committed: bool,
    ) -> None:
        self.hint = hint
        self.cost = cost
        self.slots = slots
        self.random_draw = random_draw
        self.value = value
        self.max_attempts = max_attempts
        self.is_committed = is_committed

    @classmethod
    def from_wire(cls, values: list[Any]) -> RequestFields:
        """Decode the list; raise one of `MALFORMED` if it is invalid."""
        hint, cost, slots, random_draw, value, max_attempts, is_committed = values
        return cls(
            hint=float(hint),
            cost=float(cost),
            slots=float(slots),
            random_draw=float(random_draw),
            value=float(value),
            max_attempts=int(max_attempts),
            is_committed=bool(is_committed),
        )


class RequestClassFields(_OrderedFields):
    """Settings of a request class. Times are in seconds."""

    __slots__ = (
        "latency_objective",
        "deadline",
        "priority_weight",
        "idempotency",
        "deduplication_scope",
        "key_ttl",
        "objective_stretch",
        "work_kind",
    )  # in wire order

    def __init__(
        self,
        latency_objective: float,
        deadline: float,
        priority_weight: float,
        idempotency: Idempotency,
        deduplication_scope: DeduplicationScope,
        key_ttl: float,
        objective_stretch: float,
        work_kind: int,
    ) -> None:
        self.latency_objective = latency_objective
        self.deadline = deadline
        self.priority_weight = priority_weight
        self.idempotency = idempotency
        self.deduplication_scope = deduplication_scope
        self.key_ttl = key_ttl
        self.objective_stretch = objective_stretch
        self.work_kind = work_kind

    @classmethod
    def from_wire(cls, values: list[Any]) -> RequestClassFields:
        """Decode the list; raise one of `MALFORMED` if it is invalid."""
        objective, deadline, weight, idempotency, scope, key_ttl, stretch, work_kind = values
        return cls(
            latency_objective=float(objective),
            deadline=float(deadline),
            priority_weight=float(weight),
            idempotency=Idempotency(idempotency),
            deduplication_scope=DeduplicationScope(scope),
            key_ttl=float(key_ttl),
            objective_stretch=float(stretch),
            work_kind=int(work_kind),
        )

    def to_request_class(self) -> RequestClass:
        """Return a request class with these settings."""
        return RequestClass(
            self.latency_objective,
            self.deadline,
            priority_weight=self.priority_weight,
            idempotency=self.idempotency,
            deduplication_scope=self.deduplication_scope,
            key_ttl=self.key_ttl,
            objective_stretch=self.objective_stretch,
            work_kind=self.work_kind,
        )


class HandedOverAttempt:
    """One attempt of a request, with times on the sender's clock.

    `zone` and `cell` are those in which it was sent; None if the other process runs an earlier version, which
    does not tell them.
    """

    def __init__(
        self,
        *,
        executor: str,
        address: tuple[str, int],
        sent_at: float,
        estimate: float,
        wait: float,
        started_at: float,
        may_have_run: bool,
        is_committed: bool,
        zone: str | None,
        cell: int | None,
    ) -> None:
        self.executor = executor
        self.address = address
        self.sent_at = sent_at
        self.estimate = estimate
        self.wait = wait
        self.started_at = started_at  # 0 until the executor reports a start
        self.may_have_run = may_have_run
        self.is_committed = is_committed
        self.zone = zone
        self.cell = cell

    @classmethod
    def of(cls, dispatcher: Dispatcher, pending: PendingRequest, attempt: Attempt) -> HandedOverAttempt:
        """Return a snapshot of an attempt of the pending request."""
        endpoint = cast(Endpoint, attempt.executor.handle)
        return cls(
            executor=endpoint.name,
            address=endpoint.address,
            sent_at=attempt.sent_at,
            estimate=attempt.estimate,
            wait=attempt.wait,
            started_at=attempt.started_at,
            may_have_run=attempt.may_have_run,
            is_committed=attempt.number in pending.committed,
            zone=dispatcher.endpoint_list.zone_name(attempt.zone),
            cell=attempt.cell,
        )

    def to_wire(self) -> WireObject:
        """Return the attempt as a JSON object."""
        return {
            "executor": self.executor,
            "address": self.address,
            "sent": self.sent_at,
            "estimate": self.estimate,
            "wait": self.wait,
            "started": self.started_at,
            "may_have_run": self.may_have_run,
            "begun": self.is_committed,
            "zone": self.zone,
            "cell": self.cell,
        }

    @classmethod
    def from_wire(cls, wire: Mapping[str, Any]) -> HandedOverAttempt:
        """Decode the JSON object; raise one of `MALFORMED` if it is invalid."""
        address = wire["address"]
        zone = wire.get("zone")
        cell = wire.get("cell")
        return cls(
            executor=str(wire["executor"]),
            address=(str(address[0]), int(address[1])),
            sent_at=float(wire["sent"]),
            estimate=float(wire["estimate"]),
            wait=float(wire["wait"]),
            started_at=float(wire["started"] or 0.0),
            may_have_run=bool(wire["may_have_run"]),
            is_committed=bool(wire["begun"]),
            zone=None if zone is None else str(zone),
            cell=None if cell is None else int(cell),
        )


class HandedOverRequest:
    """A request in progress, with times on the sender's clock."""

    def __init__(
        self,
        *,
        sender_time: float,
        attempt_in_flight: int,
        objective_at: float,
        deadline: float,
        fields: RequestFields,
        class_name: str | None,
        class_fields: RequestClassFields,
        attempts: tuple[HandedOverAttempt, ...],
    ) -> None:
        self.sender_time = sender_time
        self.attempt_in_flight = attempt_in_flight
        self.objective_at = objective_at
        self.deadline = deadline
        self.fields = fields
        self.class_name = class_name
        self.class_fields = class_fields
        self.attempts = attempts

    def to_wire(self) -> WireObject:
        """Return the request as a JSON object."""
        return {
            "now": self.sender_time,
            "out": self.attempt_in_flight,
            "due": self.objective_at,
            "expiry": self.deadline,
            "task": self.fields.to_wire(),
            "offering": self.class_name,
            "terms": self.class_fields.to_wire(),
            "assignments": [attempt.to_wire() for attempt in self.attempts],
        }

    @classmethod
    def from_wire(cls, wire: Mapping[str, Any]) -> HandedOverRequest:
        """Decode the JSON object; raise HandoverError if it is malformed."""
        try:
            class_name = wire["offering"]
            handed_over = cls(
                sender_time=float(wire["now"]),
                attempt_in_flight=int(wire["out"]),
                objective_at=float(wire["due"]),
                deadline=float(wire["expiry"]),
                fields=RequestFields.from_wire(wire["task"]),
                class_name=None if class_name is None else str(class_name),
                class_fields=RequestClassFields.from_wire(wire["terms"]),
                attempts=tuple(HandedOverAttempt.from_wire(attempt) for attempt in wire["assignments"]),
            )
        except MALFORMED as error:
            raise HandoverError(f"malformed request: {error!r}") from error
        if not 0 <= handed_over.attempt_in_flight < len(handed_over.attempts):
            raise HandoverError("the request has no attempt in flight")
        return handed_over


def export_request(dispatcher: Dispatcher, pending: PendingRequest) -> HandedOverRequest | None:
    """Return a snapshot of the request for the other process.

    Return None while the request must stay in this process: it has a queued action, or its attempts in flight
    are not exactly one committed attempt.
    """
    request = pending.request
    if request is None or not request.is_open or pending.actions:
        return None
    in_flight = [attempt.number for attempt in request.attempts if attempt.is_in_flight]
    if len(in_flight) != 1 or in_flight[0] not in pending.committed:
        return None
    return HandedOverRequest(
        sender_time=dispatcher.clock(),
        attempt_in_flight=in_flight[0],
        objective_at=request.objective_at,
        deadline=pending.deadline,
        fields=RequestFields.of(request),
        class_name=_class_name(dispatcher, request.request_class),
        class_fields=RequestClassFields.of(request.request_class),
        attempts=tuple(HandedOverAttempt.of(dispatcher, pending, attempt) for attempt in request.attempts),
    )


def resume_request(
    dispatcher: Dispatcher, handed_over: HandedOverRequest, elapsed_s: float, request_id: str = ""
) -> PendingRequest:
    """Continue a request that the other process exported `elapsed_s` seconds ago."""
    clock_offset_s = dispatcher.clock() - elapsed_s - handed_over.sender_time
    pending = PendingRequest()
    request = _new_request(dispatcher, pending, handed_over, clock_offset_s)
    pending.request = request
    for handed_over_attempt in handed_over.attempts:
        attempt = _new_attempt(dispatcher, request, handed_over_attempt, clock_offset_s)
        attempt.is_in_flight = attempt.number == handed_over.attempt_in_flight
        if handed_over_attempt.is_committed:
            pending.committed.add(attempt.number)
        request.attempts.append(attempt)
    pending.labels = (handed_over.class_name or "", "")
    pending.arrived_at = request.attempts[0].sent_at
    pending.record = dispatcher.monitor.resumed(
        request_id, request, request.deadline + RESPONSE_MARGIN_S, pending.committed
    )
    dispatcher.report_request_resumed(pending)
    return pending


def _class_name(dispatcher: Dispatcher, request_class: RequestClass) -> str | None:
    """Return the configured name of a request class; None if the configuration no longer has it."""
    numbers: dict[str, int] = dispatcher.request_classes
    for name, number in numbers.items():
        if dispatcher.policy.request_classes[number] is request_class:
            return name
    return None


def _new_request(
    dispatcher: Dispatcher, pending: PendingRequest, handed_over: HandedOverRequest, clock_offset_s: float
) -> Request:
    fields = handed_over.fields
    request = Request(
        pending,
        _request_class(dispatcher, handed_over),
        fields.hint,
        fields.cost,
        fields.slots,
        fields.random_draw,
        handed_over.objective_at + clock_offset_s,
        handed_over.deadline + clock_offset_s,
    )
    request.value = fields.value
    request.max_attempts = fields.max_attempts
    request.is_committed = fields.is_committed
    return request


def _new_attempt(
    dispatcher: Dispatcher, request: Request, handed_over: HandedOverAttempt, clock_offset_s: float
) -> Attempt:
    attempt = Attempt(
        request,
        _executor(dispatcher, handed_over),
        handed_over.sent_at + clock_offset_s,
        handed_over.estimate,
        handed_over.wait,
    )
    if handed_over.started_at:
        attempt.started_at = handed_over.started_at + clock_offset_s
    attempt.may_have_run = handed_over.may_have_run
    if handed_over.zone is not None:
        attempt.zone = dispatcher.endpoint_list.zone(handed_over.zone)
    if handed_over.cell is not None:
        attempt.cell = handed_over.cell
    return attempt


def _request_class(dispatcher: Dispatcher, handed_over: HandedOverRequest) -> RequestClass:
    """Return this process's class of that name if the settings are equal, else one with those received."""
    number = (
        None if handed_over.class_name is None else dispatcher.request_classes.get(handed_over.class_name)
    )
    if number is not None:
        own_class = dispatcher.policy.request_classes[number]
        if RequestClassFields.of(own_class).to_wire() == handed_over.class_fields.to_wire():
            return own_class
    return handed_over.class_fields.to_request_class()


def _executor(dispatcher: Dispatcher, attempt: HandedOverAttempt) -> Executor:
    """Return the executor of an attempt; add it as draining if this process has never listed it.

    What the other process does not tell of it is unknown until a list names it.
    """
    if attempt.executor not in dispatcher.executors:
        entry = EndpointEntry(
            attempt.executor,
            attempt.address,
            zone=attempt.zone or "",
            machine_type="",
            cell=UNKNOWN_NUMBER if attempt.cell is None else attempt.cell,
            state=EndpointState.DRAINING,
            started_at=0.0,
            weight=1.0,
        )
        dispatcher.restore_endpoint_list(dispatcher.version, [entry], False)
    return dispatcher.executors[attempt.executor]
