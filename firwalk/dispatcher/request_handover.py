"""A task in work, told by one process of a node to the other that goes on with it. No I/O.

The whole history goes along: what may have run decides whether the task may be sent again, there as here.
Times are told as they are on the clock of the one that tells, with the time on it at that moment.
"""

from __future__ import annotations

from firwalk.dispatcher.dispatcher import RESPONSE_MARGIN_S, Dispatcher, PendingRequest
from firwalk.policy.interface import DeduplicationScope, EndpointState, Idempotency
from firwalk.policy.policy import Attempt, Executor, Request, RequestClass

# Order on the wire between two processes of a node.
REQUEST_FIELDS = ("hint", "cost", "slots", "draw", "value", "max_attempts", "bound")
REQUEST_CLASS_FIELDS = (
    "latency_objective",
    "deadline",
    "priority_weight",
    "idempotency",
    "deduplication_scope",
    "key_ttl",
    "objective_stretch",
    "work_kind",
)


def encode_request(dispatcher: Dispatcher, pending: PendingRequest) -> dict | None:
    """What the other process must know; None where it has to stay for now: a step of it is still to be done,
    or what is out is not just one assignment that has begun."""
    request = pending.request
    out = [a.number for a in request.attempts if a.is_in_flight]
    if not request.is_open or pending.actions or len(out) != 1 or out[0] not in pending.committed:
        return None
    return {
        "now": dispatcher.clock(),
        "out": out[0],
        "due": request.objective_at,
        "expiry": pending.deadline,
        "task": [getattr(request, word) for word in REQUEST_FIELDS],
        "offering": next(
            (
                name
                for name, number in dispatcher.request_classes.items()
                if dispatcher.policy.request_classes[number] is request.request_class
            ),
            None,
        ),
        "terms": [getattr(request.request_class, word) for word in REQUEST_CLASS_FIELDS],
        "assignments": [_told(pending, attempt) for attempt in request.attempts],
    }


def _told(pending: PendingRequest, attempt: Attempt) -> dict:
    place = attempt.executor.ref
    return {
        "executor": place.name,
        "address": place.address,
        "sent": attempt.sent_at,
        "estimate": attempt.estimate,
        "wait": attempt.wait,
        "started": attempt.started_at,
        "may_have_run": attempt.may_have_run,
        "begun": attempt.number in pending.committed,
    }


def decode_request(dispatcher: Dispatcher, about: dict, since: float, request_id: str = "") -> PendingRequest:
    """The task as the other process told it some seconds ago, counted here from now on. KeyError, TypeError
    or ValueError, and nothing counted, if it cannot be understood."""
    later = dispatcher.clock() - since - float(about["now"])
    hint, cost, slots, draw, value, most, bound = about["task"]
    request_class, pending = _offering(dispatcher, about["offering"], about["terms"]), PendingRequest()
    request = pending.request = Request(
        pending,
        request_class,
        float(hint),
        float(cost),
        float(slots),
        float(draw),
        float(about["due"]) + later,
        float(about["expiry"]) + later,
    )
    request.value, request.max_attempts, request.bound = float(value), int(most), bool(bound)
    for told in about["assignments"]:
        attempt = Attempt(
            request,
            _executor(dispatcher, str(told["executor"]), told["address"]),
            float(told["sent"]) + later,
            float(told["estimate"]),
            float(told["wait"]),
        )
        attempt.is_in_flight = attempt.number == about["out"]
        attempt.started_at = told["started"] and float(told["started"]) + later
        attempt.may_have_run = bool(told["may_have_run"])
        if told["begun"]:
            pending.committed.add(attempt.number)
        request.attempts.append(attempt)
    if not 0 <= about["out"] < len(request.attempts):
        raise ValueError("no assignment of it is out")
    pending.labels, pending.arrived_at = (about["offering"] or "", ""), request.attempts[0].sent_at
    pending.record = dispatcher.monitor.resumed(
        request_id, request, request.deadline + RESPONSE_MARGIN_S, pending.committed
    )
    dispatcher.report_request_resumed(pending)
    return pending


def _offering(dispatcher: Dispatcher, name: str | None, terms: list) -> RequestClass:
    """The one of that name here, if it has the same terms; else the task keeps those that it came with."""
    due, deadline, importance, idempotency, deduplication_scope, key_ttl, stretch, kind = terms
    own = dispatcher.request_classes.get(name)
    if (
        own is not None
        and [getattr(dispatcher.policy.request_classes[own], word) for word in REQUEST_CLASS_FIELDS] == terms
    ):
        return dispatcher.policy.request_classes[own]
    return RequestClass(
        float(due),
        float(deadline),
        priority_weight=float(importance),
        idempotency=Idempotency(idempotency),
        deduplication_scope=DeduplicationScope(deduplication_scope),
        key_ttl=float(key_ttl),
        objective_stretch=float(stretch),
        work_kind=int(kind),
    )


def _executor(dispatcher: Dispatcher, name: str, address: list) -> Executor:
    """One that left the list before this process had one finishes what it has. Its zone and cell are not
    known: a fingerprinted task is then not repeated in any."""
    if name not in dispatcher.executors:
        dispatcher.restore_endpoint_list(
            dispatcher.version,
            [(name, (str(address[0]), int(address[1])), "", "", -1, EndpointState.DRAINING, 0.0, 1.0)],
            False,
        )
    return dispatcher.executors[name]
