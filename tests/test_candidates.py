"""Candidates in large fleets: bounded scans that include all own work, and incremental list changes."""

import random

import pytest
from helpers import Fake

from firwalk.policy.candidates import FAR_SAMPLE_SIZE, MAX_FULL_SCAN, NEAR_SAMPLE_SIZE
from firwalk.policy.interface import EndpointState, Outcome


def make_fleet(count, zones=2, **more):
    host = Fake(**more)
    for zone in range(zones):
        host.hear(*[f"e{n}" for n in range(zone, count, zones)], zone=zone)
    host.node.endpoint_list_received(host.now)
    return host


def scanned(host):
    return host.node.executor_set.scan_order()


@pytest.mark.parametrize("count", [MAX_FULL_SCAN + 1, 1000, 4000])
def test_scan_size_is_bounded_in_large_fleets(count):
    host = make_fleet(count)
    for n in range(60):
        host.request(f"t{n}")
    active = sum(one.in_flight_slots > 0 for one in host.node.executor_set.executors)
    assert len(scanned(host)) <= active + NEAR_SAMPLE_SIZE + FAR_SAMPLE_SIZE


def test_small_fleet_is_scanned_completely():
    host = make_fleet(MAX_FULL_SCAN)
    assert sorted(one.handle for one in scanned(host)) == sorted(host.executors)


@pytest.mark.parametrize("seed", range(20))
def test_sample_includes_active_executors_and_selects_least_own_work(seed):
    """The sample contains all executors with own work or connections, so the selected executor has the least
    outstanding work of the whole fleet."""
    rng = random.Random(seed)
    host = make_fleet(rng.randint(MAX_FULL_SCAN + 1, 900))
    requests = [host.request(f"t{n}", cost=rng.uniform(0.01, 0.2)) for n in range(rng.randint(1, 60))]
    for request in requests:
        if rng.random() < 0.5 and request.attempts and request.attempts[0].is_in_flight:
            host.end(request, Outcome.COMPLETED)
    node = host.node
    own = [one for one in node.executor_set.executors if one.in_flight_slots or one.idle_connections]
    sample = scanned(host)
    assert set(own) <= set(sample) and len(sample) == len(set(sample))
    request_after = host.request("probe", cost=0.05)
    selected = request_after.attempts[0].executor
    others = [one for one in node.near + node.far if one is not selected]
    best = min(one.outstanding_work / one.slots for one in others)
    assert (selected.outstanding_work - request_after.attempts[0].estimate) / selected.slots <= best + 1e-9


@pytest.mark.parametrize("seed", range(20))
def test_incremental_changes_equal_a_rebuild(seed):
    rng = random.Random(seed)
    host = make_fleet(600)
    names = list(host.executors)
    conditions = list(EndpointState)
    for _ in range(40):
        for name in rng.sample(names, rng.randint(1, 40)):
            executor = host.executors[name]
            host.node.endpoint_changed(host.now, executor, rng.choice(conditions), 0.0)
        host.node.endpoint_list_received(host.now)
        node = host.node
        ready = {one for one in node.executor_set.executors if one.state is EndpointState.READY}
        assert set(node.near) == {one for one in ready if one.zone is node.executor_set.own_zone}
        assert set(node.far) == {one for one in ready if one.zone is not node.executor_set.own_zone}
        assert len(node.near) + len(node.far) == len(ready)


@pytest.mark.parametrize("seed", range(5))
def test_executors_that_change_their_zone_are_listed_in_the_new_one_only(seed):
    """Guards against incremental changes that look for a moved executor in the list of its new zone."""
    rng = random.Random(seed)
    host = make_fleet(600)
    node = host.node
    for _ in range(20):
        for executor in rng.sample(node.executor_set.executors, 5):
            node.executor_listed(executor, 0, rng.randint(0, 1), 0, 2.0)
            if rng.random() < 0.5:
                node.endpoint_changed(host.now, executor, rng.choice(list(EndpointState)), 0.0)
        node.endpoint_list_received(host.now)
        ready = [one for one in node.executor_set.executors if one.state is EndpointState.READY]
        assert sorted(one.handle for one in node.near) == sorted(
            one.handle for one in ready if one.zone is node.executor_set.own_zone
        )
        assert len(node.near) + len(node.far) == len(ready)


def test_draining_executor_with_idle_connections_is_not_selected():
    """Its connections made it the best candidate, but every send was refused: all requests were rejected."""
    host = make_fleet(600)
    request = host.request("first")
    executor = request.attempts[0].executor
    host.end(request, Outcome.COMPLETED)
    assert executor.idle_connections
    host.hear(executor.handle, state=EndpointState.DRAINING, zone=0 if executor in host.node.near else 1)
    assert executor not in scanned(host)
    for n in range(10):
        assert host.request(f"t{n}").attempts[0].executor is not executor


def test_executors_in_slow_start_are_selected_in_a_large_fleet():
    host = make_fleet(600, slow_start_s=5.0, slow_start_initial=0.5)
    names = list(host.executors)[:300]
    host.now = 10.0
    for name in names:
        host.node.endpoint_changed(host.now, host.executors[name], EndpointState.READY, host.now)
    host.node.endpoint_list_received(host.now)
    host.now = 11.0
    for n in range(200):
        host.request(f"t{n}", cost=0.01)
    assert any(host.executors[name].in_flight_slots for name in names)


def test_few_keys_move_when_an_executor_leaves_the_hash_ring():
    host = make_fleet(600)
    for number, name in enumerate(host.executors):
        host.executors[name].name_hash = (number * 2654435761) % (1 << 32)
    hash_ring = sorted(
        (one.name_hash, number, one) for number, one in enumerate(host.node.executor_set.executors)
    )
    host.node.executor_set.candidates.hash_ring = hash_ring
    key_hashes = [n * 4294967 for n in range(1000)]
    before = {key_hash: host.node.executor_set.candidates.successors(key_hash, 3) for key_hash in key_hashes}
    assert all(len(set(executors)) == 3 for executors in before.values())
    leaving = before[key_hashes[0]][0]
    host.node.endpoint_changed(host.now, leaving, EndpointState.REMOVED, 0.0)
    moved = sum(
        host.node.executor_set.candidates.successors(key_hash, 3) != executors
        for key_hash, executors in before.items()
    )
    assert 0 < moved < 30
    assert all(
        leaving not in host.node.executor_set.candidates.successors(key_hash, 3) for key_hash in key_hashes
    )
