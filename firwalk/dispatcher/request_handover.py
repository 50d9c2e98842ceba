"""A task in work, told by one process of a node to the other that goes on with it. No I/O.

The whole history goes along: what may have run decides whether the task may be sent again, there as here.
Times are told as they are on the clock of the one that tells, with the time on it at that moment.
"""

from __future__ import annotations

from firwalk.dispatcher.dispatcher import WAY_BACK, Desk, Errand
from firwalk.policy.interface import Condition, Effect, Group
from firwalk.policy.policy import Assignment, Executor, Offering, Task

TASK = ("hint", "cost", "slots", "draw", "value", "most", "bound")
TERMS = ("due", "expiry", "importance", "effect", "group", "remembered", "stretch", "kind")


def packed(desk: Desk, errand: Errand) -> dict | None:
    """What the other process must know; None where it has to stay for now: a step of it is still to be done,
    or what is out is not just one assignment that has begun."""
    task = errand.task
    out = [a.number for a in task.assignments if a.out]
    if not task.open or errand.steps or len(out) != 1 or out[0] not in errand.begun:
        return None
    return {
        "now": desk.clock(),
        "out": out[0],
        "due": task.due,
        "expiry": errand.expiry,
        "task": [getattr(task, word) for word in TASK],
        "offering": next(
            (name for name, number in desk.offerings.items() if desk.node.offerings[number] is task.offering),
            None,
        ),
        "terms": [getattr(task.offering, word) for word in TERMS],
        "assignments": [_told(errand, assignment) for assignment in task.assignments],
    }


def _told(errand: Errand, assignment: Assignment) -> dict:
    place = assignment.executor.ref
    return {
        "executor": place.name,
        "address": place.address,
        "sent": assignment.sent,
        "estimate": assignment.estimate,
        "wait": assignment.wait,
        "started": assignment.started_at,
        "may_have_run": assignment.may_have_run,
        "begun": assignment.number in errand.begun,
    }


def unpacked(desk: Desk, about: dict, since: float, request_id: str = "") -> Errand:
    """The task as the other process told it some seconds ago, counted here from now on. KeyError, TypeError
    or ValueError, and nothing counted, if it cannot be understood."""
    later = desk.clock() - since - float(about["now"])
    hint, cost, slots, draw, value, most, bound = about["task"]
    offering, errand = _offering(desk, about["offering"], about["terms"]), Errand()
    task = errand.task = Task(
        errand,
        offering,
        float(hint),
        float(cost),
        float(slots),
        float(draw),
        float(about["due"]) + later,
        float(about["expiry"]) + later,
    )
    task.value, task.most, task.bound = float(value), int(most), bool(bound)
    for told in about["assignments"]:
        assignment = Assignment(
            task,
            _executor(desk, str(told["executor"]), told["address"]),
            float(told["sent"]) + later,
            float(told["estimate"]),
            float(told["wait"]),
        )
        assignment.out = assignment.number == about["out"]
        assignment.started_at = told["started"] and float(told["started"]) + later
        assignment.may_have_run = bool(told["may_have_run"])
        if told["begun"]:
            errand.begun.add(assignment.number)
        task.assignments.append(assignment)
    if not 0 <= about["out"] < len(task.assignments):
        raise ValueError("no assignment of it is out")
    errand.about, errand.began = (about["offering"] or "", ""), task.assignments[0].sent
    errand.record = desk.monitor.resumed(request_id, task, task.expiry + WAY_BACK, errand.begun)
    desk.report_resumed(errand)
    return errand


def _offering(desk: Desk, name: str | None, terms: list) -> Offering:
    """The one of that name here, if it has the same terms; else the task keeps those that it came with."""
    due, expiry, importance, effect, group, remembered, stretch, kind = terms
    own = desk.offerings.get(name)
    if own is not None and [getattr(desk.node.offerings[own], word) for word in TERMS] == terms:
        return desk.node.offerings[own]
    return Offering(
        float(due),
        float(expiry),
        importance=float(importance),
        effect=Effect(effect),
        group=Group(group),
        remembered=float(remembered),
        stretch=float(stretch),
        kind=int(kind),
    )


def _executor(desk: Desk, name: str, address: list) -> Executor:
    """One that left the list before this process had one finishes what it has. Its zone and cell are not
    known: a fingerprinted task is then not repeated in any."""
    if name not in desk.places:
        desk.report_kept_list(
            desk.version,
            [(name, (str(address[0]), int(address[1])), "", "", -1, Condition.DRAINING, 0.0, 1.0)],
            False,
        )
    return desk.places[name]
