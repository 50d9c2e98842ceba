"""What discovery can make a node keep: values of an update, and executors under ever new names."""

import orjson
import pytest
from test_facade import DispatcherHarness

from firwalk.dispatcher import endpoint_list
from firwalk.dispatcher.endpoint import Endpoint
from firwalk.dispatcher.endpoint_list import EndpointEntry
from firwalk.net import http, listing
from firwalk.net.budget import Budget
from firwalk.net.buffers import Buffers
from firwalk.net.executor_pool import ConnectionPool
from firwalk.policy.interface import EndpointState

MAX_EXECUTORS = 50


@pytest.fixture
def harness(monkeypatch):
    monkeypatch.setattr(endpoint_list, "MAX_EXECUTORS", MAX_EXECUTORS)
    return DispatcherHarness(executors=2)


def entries(names, state):
    return [EndpointEntry(name, ("127.0.0.1", 1), "a", "m", 0, state, 0.0, 1.0) for name in names]


# Guards against memory that grows with each release of executors, or under a service that makes up names.
def test_executors_that_have_left_are_forgotten_and_the_others_stay_in_use(harness):
    dispatcher = harness.dispatcher
    pending = harness.submit()
    used = pending.request.attempts[0].executor
    for number in range(40):
        names = [f"n{number}x{index}" for index in range(10)]
        dispatcher.report_endpoint_list(2, False, entries(names, EndpointState.READY))
        harness.advance_to(harness.now + 0.01)
        dispatcher.report_endpoint_list(2, False, entries(names, EndpointState.REMOVED))
    kept = endpoint_list.MAX_EXECUTORS + 10
    policy = dispatcher.policy
    for table in (
        dispatcher.executors,
        dispatcher.endpoints,
        dispatcher.endpoint_list.index.by_checksum,
        dispatcher.maintenance.last_listed,
        policy.executor_set.executors,
        policy.executor_set.candidates.hash_ring,
        policy.executor_set.candidates.active,
    ):
        assert len(table) <= kept
    assert dispatcher.executors[used.handle.name] is used
    assert {"e0", "e1"} <= set(dispatcher.executors)
    assert all(executor.state is EndpointState.READY for executor in policy.near)


def test_an_executor_in_use_or_in_maintenance_is_not_forgotten(harness):
    dispatcher = harness.dispatcher
    pending = harness.submit()
    used = pending.request.attempts[0].executor.handle.name
    other = "e1" if used == "e0" else "e0"
    assert dispatcher.detach_executor(other)
    dispatcher.report_endpoint_list(2, False, entries(["e0", "e1"], EndpointState.REMOVED))
    for number in range(3 * MAX_EXECUTORS):
        dispatcher.report_endpoint_list(2, False, entries([f"n{number}"], EndpointState.READY))
        dispatcher.report_endpoint_list(2, False, entries([f"n{number}"], EndpointState.REMOVED))
    assert {"e0", "e1"} <= set(dispatcher.executors)
    assert len(dispatcher.executors) <= MAX_EXECUTORS


def test_more_executors_than_the_limit_are_left_out_with_a_log_line(harness):
    dispatcher = harness.dispatcher
    names = [f"n{number}" for number in range(2 * MAX_EXECUTORS)]
    dispatcher.report_endpoint_list(2, False, entries(names, EndpointState.READY))
    assert len(dispatcher.executors) == MAX_EXECUTORS
    lines = [action.text for action in dispatcher.background_actions if hasattr(action, "text")]
    assert lines == [
        f"{MAX_EXECUTORS + 2} executors of the list are left out: {MAX_EXECUTORS} are known already"
    ]


# Guards against an update of a few megabytes that takes hundreds of them once it is decoded.
def test_an_update_with_too_many_values_is_refused():
    for instances in (b"[],", b"{},", b"0,"):
        text = b'{"generation":2,"instances":[%s0]}' % (instances * (listing.MAX_VALUES + 1))
        with pytest.raises(http.Malformed):
            listing.read(text)
    entry = {"instanceId": "n" * 200, "hostPort": "127.0.0.1:1", "zone": "a", "machineType": "m", "cell": 0}
    entry |= {"lifecycle": "active", "weight": 1.0, "startedAtMs": 0}
    largest = {"generation": 2, "instances": [entry | {"instanceId": f"n{n}"} for n in range(4 * 3200)]}
    assert len(listing.read(orjson.dumps(largest)).entries) == 4 * 3200


def test_long_names_are_not_kept():
    entry = {"instanceId": "n", "hostPort": "127.0.0.1:1", "zone": "z" * 5000, "machineType": "m" * 5000}
    update = {"generation": 2, "instances": [entry, entry | {"instanceId": "n" * 5000}]}
    read = listing.read(orjson.dumps(update)).entries
    assert [(one.name, one.zone, one.machine_type) for one in read] == [("n", "", "")]


def test_the_pool_forgets_executors_that_the_dispatcher_has_forgotten(harness):
    pool = ConnectionPool(harness.dispatcher, Budget(64, 10**8), Buffers(), 0.25, 60.0)
    for number in range(100):
        pool.record_round_trip(Endpoint(f"n{number}", ("127.0.0.1", 1)), 0.001)
    pool.record_round_trip(harness.dispatcher.executors["e0"].handle, 0.001)
    pool.forget_removed()
    assert [endpoint.name for endpoint in pool.round_trips_s] == ["e0"]
