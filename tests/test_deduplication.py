"""Keyed requests stay within their deduplication scope, also where zones and cells are not known."""

import asyncio

import pytest
from helpers import LIMITS
from hypothesis import given, settings
from hypothesis import strategies as st
from test_facade import DispatcherHarness

from firwalk.dispatcher.actions import SendAttempt
from firwalk.dispatcher.request_handover import HandedOverRequest, export_request, resume_request
from firwalk.net import listing
from firwalk.policy.interface import Outcome

ZONES = ["a", "b"]


def keyed_class(scope):
    return {
        "name": "order",
        "due-time-us": 4000000,
        "expiry-us": 6000000,
        "repeat": "keyed",
        "group": scope,
        "key-ttl-us": 10000000,
        "importance": 1.0,
    }


def entry(name, lifecycle="active", **fields):
    """An entry of an executor as the discovery service sends it; None leaves a field out."""
    known = {
        "instanceId": name,
        "hostPort": f"127.0.0.1:{9000 + int(name[1:])}",
        "zone": "a",
        "machineType": "m",
        "cell": 1,
        "lifecycle": lifecycle,
        "weight": 4.0,
        "startedAtMs": 0,
    } | fields
    return {field: value for field, value in known.items() if value is not None}


class Node(DispatcherHarness):
    """A dispatcher whose lists are read from JSON."""

    def __init__(self, scope, *entries, **settings):
        super().__init__(
            executors=0,
            settings={
                "offerings": [keyed_class(scope)],
                "azs": ZONES,
                "kinds": ["m", "n"],
                "limits": LIMITS | {"second-copies": False, "most-assignments": 3},
                "specifics": {},
            }
            | settings,
        )
        self.version = 1
        self.hear(*entries, whole=True)

    def hear(self, *entries, whole=False):
        self.version += 1
        update = {"generation": self.version, "reset": whole, "instances": list(entries)}
        self.dispatcher.report_endpoint_list(*listing.read(update))

    def order(self):
        """Send a request; return it with its first attempt in progress."""
        pending = self.submit("order", 6.0)
        self.begin(pending)
        return pending

    def begin(self, pending):
        """Take the next attempt up to its last byte; return its executor's name, None without one."""
        if not pending.actions:
            return None
        action = asyncio.run(self.dispatcher.next_action(pending))
        if not isinstance(action, SendAttempt):
            return None
        assert self.dispatcher.report_sending(pending, action.number)
        assert self.dispatcher.report_committing(pending, action.number)
        return pending.request.attempts[action.number].executor.handle.name

    def lose(self, pending):
        """End the attempt in flight with an unknown outcome; return the executor of the retry, if any."""
        number = len(pending.request.attempts) - 1
        self.dispatcher.report_outcome(pending, number, Outcome.CONNECTION_LOST)
        return self.begin(pending)


def hand_over(predecessor, successor, pending):
    """Hand a request over in the form in which it crosses between the processes."""
    wire = export_request(predecessor.dispatcher, pending).to_wire()
    return resume_request(successor.dispatcher, HandedOverRequest.from_wire(wire), 0.0, "r1")


@pytest.mark.parametrize(
    "scope, fields", [("zone", {"zone": "b"}), ("cell", {"cell": 2}), ("zone", {"zone": "b", "cell": 2})]
)
def test_a_key_stays_in_its_scope_at_executors_first_known_from_handed_over_requests(scope, fields):
    """Guards against two executors that a successor had not listed counting as one zone or cell."""
    here, there = entry("e0"), entry("e1", **fields)
    successor = Node(scope)
    for listed in (here, there):
        predecessor = Node(scope, listed)
        hand_over(predecessor, successor, predecessor.order())
    successor.hear(here, there, whole=True)
    for _ in range(6):
        assert successor.lose(successor.order()) is None
    assert not successor.dispatcher.monitor.violations


@pytest.mark.parametrize("scope, elsewhere", [("zone", {"zone": "b"}), ("cell", {"cell": 2})])
def test_a_handed_over_request_is_retried_in_the_scope_of_its_attempt(scope, elsewhere):
    """Guards against an attempt at an executor that the successor has not listed forbidding every retry."""
    predecessor = Node(scope, entry("e0"))
    pending = predecessor.order()
    successor = Node(scope, entry("e1"), entry("e2", **elsewhere))
    assert successor.lose(hand_over(predecessor, successor, pending)) == "e1"
    only_elsewhere = Node(scope, entry("e2", **elsewhere))
    assert only_elsewhere.lose(hand_over(predecessor, only_elsewhere, pending)) is None


@pytest.mark.parametrize("scope, elsewhere", [("zone", {"zone": "b"}), ("cell", {"cell": 2})])
def test_an_attempt_keeps_its_scope_over_two_handovers(scope, elsewhere):
    """Guards against a process in between, which has not listed the executor, losing the place."""
    first = Node(scope, entry("e0"))
    second = Node(scope, entry("e9"))
    third = Node(scope, entry("e1"), entry("e2", **elsewhere))
    only_elsewhere = Node(scope, entry("e2", **elsewhere))
    pending = hand_over(first, second, first.order())
    assert third.lose(hand_over(second, third, pending)) == "e1"
    assert only_elsewhere.lose(hand_over(second, only_elsewhere, pending)) is None


@pytest.mark.parametrize("scope", ["zone", "cell"])
def test_an_attempt_whose_scope_the_predecessor_does_not_tell_forbids_a_retry(scope):
    """Guards against a guess where a predecessor of an earlier version sends no zone and cell."""
    predecessor = Node(scope, entry("e0"))
    successor = Node(scope, entry("e1"))
    wire = export_request(predecessor.dispatcher, predecessor.order()).to_wire()
    for attempt in wire["assignments"]:
        del attempt["zone"], attempt["cell"]
    handed_over = HandedOverRequest.from_wire(wire)
    assert successor.lose(resume_request(successor.dispatcher, handed_over, 0.0, "r1")) is None


@pytest.mark.parametrize("scope", ["zone", "cell"])
def test_a_handed_over_attempt_counts_where_its_process_sent_it(scope):
    """Guards against the successor's list, where an executor has moved, replacing what the sender knew."""
    predecessor = Node(scope, entry("e0"))
    successor = Node(scope, entry("e0", zone="b", cell=2), entry("e1", zone="b", cell=2))
    assert successor.lose(hand_over(predecessor, successor, predecessor.order())) is None


@pytest.mark.parametrize("scope", ["zone", "cell"])
def test_a_lost_request_is_retried_in_its_scope_once_the_list_has_named_it(scope):
    """Guards against an executor's zone and cell staying unknown, which forbids every retry there."""
    successor = Node(scope)
    for name in ("e0", "e1"):
        predecessor = Node(scope, entry(name))
        hand_over(predecessor, successor, predecessor.order())
    successor.hear(entry("e0"), entry("e1"), whole=True)
    assert None not in [successor.lose(successor.order()) for _ in range(6)]


@pytest.mark.parametrize(
    "scope, fields",
    [
        ("zone", {"zone": None}),
        ("zone", {"zone": 5}),
        ("zone", {"zone": "c"}),  # Not in the settings.
        ("cell", {"cell": None}),
        ("cell", {"cell": "x"}),
        ("cell", {"cell": -1}),
    ],
)
def test_two_unknown_zones_or_cells_are_not_the_same_one(scope, fields):
    """Guards against a retry between two executors of which the list does not tell where they are."""
    node = Node(scope, entry("e0", **fields), entry("e1", **fields))
    for _ in range(6):
        assert node.lose(node.order()) is None


def test_a_zone_that_becomes_known_moves_the_executor_and_its_weight_to_it():
    """Guards against an executor that keeps the attributes under which it was first known."""
    successor = Node("zone", entry("e1"), weights="nominal")
    predecessor = Node("zone", entry("e0"), weights="nominal")
    hand_over(predecessor, successor, predecessor.order())
    unlisted = successor.dispatcher.executors["e0"]
    assert unlisted not in successor.dispatcher.policy.near + successor.dispatcher.policy.far
    successor.hear(entry("e0", machineType="n"))
    executor = successor.dispatcher.executors["e0"]
    policy = successor.dispatcher.policy
    assert executor is unlisted and executor in policy.near
    assert (executor.zone, executor.cell, executor.machine_type) == (policy.zones[0], 1, 1)
    assert (executor.size, executor.slots) == (4.0, 4.0)
    successor.hear(entry("e0", zone="b"))
    assert executor in policy.far and executor not in policy.near


def test_fields_that_an_update_leaves_out_stay_as_they_are():
    """Guards against an update without a zone, cell or machine type making a known executor unknown."""
    node = Node("zone", entry("e0"), entry("e1"))
    node.hear(entry("e0", zone=None, machineType=None, cell=None, weight=None))
    executor = node.dispatcher.executors["e0"]
    assert (executor.zone.number, executor.cell, executor.machine_type) == (0, 1, 0)
    assert None not in [node.lose(node.order()) for _ in range(6)]


def test_an_attempt_counts_in_the_zone_where_it_was_sent():
    """Guards against a retry in another zone after the list has moved the executor of the first attempt."""
    node = Node("zone", entry("e0"))
    pending = node.order()
    node.hear(entry("e0", zone="b"), entry("e1", zone="b"))
    assert node.lose(pending) is None


LISTED = st.sampled_from(["full", "without", "absent"])


@settings(max_examples=200, deadline=None)
@given(
    scope=st.sampled_from(["zone", "cell"]),
    places=st.lists(st.tuples(st.sampled_from(ZONES), st.integers(0, 2)), min_size=2, max_size=6),
    steps=st.lists(
        st.one_of(
            st.tuples(st.just("list"), st.booleans(), st.lists(LISTED, min_size=6, max_size=6)),
            st.tuples(st.just("handover"), st.integers(0, 5)),
            st.tuples(st.just("order")),
            st.tuples(st.just("lose"), st.integers(0, 5)),
        ),
        min_size=4,
        max_size=24,
    ),
)
def test_no_key_leaves_its_scope_whatever_is_known_when(scope, places, steps):
    """Guards against effects in two zones or cells under any order of lists, handovers and lost attempts.

    `places` holds the true zone and cell of each executor; lists leave some of them out.
    """
    names = [f"e{number}" for number in range(len(places))]
    node = Node(scope)
    open_requests = []

    def place(name):
        return places[int(name[1:])]

    def listed(name, how):
        zone, cell = place(name)
        return entry(name, zone=zone if how == "full" else None, cell=cell if how == "full" else None)

    for step in steps:
        match step:
            case ("list", whole, how):
                shown = [listed(name, h) for name, h in zip(names, how, strict=False) if h != "absent"]
                node.hear(*shown, whole=whole)
            case ("handover", number):
                name = names[number % len(names)]
                predecessor = Node(scope, listed(name, "full"))
                open_requests.append(hand_over(predecessor, node, predecessor.order()))
            case ("order",):
                pending = node.order()
                if pending.request.attempts:
                    open_requests.append(pending)
            case ("lose", number) if open_requests:
                pending = open_requests[number % len(open_requests)]
                if node.lose(pending) is None:
                    open_requests.remove(pending)
        for pending in open_requests:
            reached = [place(attempt.executor.handle.name) for attempt in pending.request.attempts]
            groups = {zone if scope == "zone" else cell for zone, cell in reached}
            assert len(groups) <= 1, reached
    assert not node.dispatcher.monitor.violations
