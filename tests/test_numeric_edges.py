"""Numbers at the edges of what settings, clients, executors and discovery may give: each request is answered.

Guards against arithmetic errors inside decisions, which once closed connections with no answer (review/7).
"""

import asyncio
import itertools
import time
from math import inf, nan

import pytest
from helpers import OFFERINGS, Fake, post, request_class
from settings_strategy import ordinary_settings
from test_budgets import ClientHost
from test_facade import DispatcherHarness
from test_service import HEALTH_REQUEST, play

from firwalk.cluster import messages
from firwalk.cluster.health_observations import HealthObserver
from firwalk.config import node_schema
from firwalk.policy.interface import Outcome

# The smallest numbers of a float make a product with the work of a request underflow to 0.
TINY_IMPORTANCES = [0, 0.0, 5e-324, 1e-320, 1e-300]


def offerings(*importances):
    return [OFFERINGS[0] | {"name": f"c{n}", "importance": value} for n, value in enumerate(importances)]


# Guards against a division by a mean value of 0: the first requests of a process were closed with no answer.
@pytest.mark.parametrize("importance", TINY_IMPORTANCES)
def test_requests_of_tiny_importance_are_served_before_any_others(importance):
    async def scenario(world):
        for number in range(4):
            assert await world.ask(post("/c0/k", f"t{number}")) == (200, f"made of t{number}".encode())
        assert await world.ask(post("/c1/k", "u")) == (200, b"made of u")

    settings = {"offerings": offerings(importance, 5.0), "importance-by": "work"}
    play(scenario, None, settings=settings)


# Guards against the same division after ordinary requests, once their mean has faded away.
@pytest.mark.parametrize("importance", TINY_IMPORTANCES)
def test_requests_of_tiny_importance_are_sent_after_the_mean_value_has_faded(importance):
    f = Fake(request_classes=[request_class(), request_class()])
    f.hear("A", "B")
    f.node.request_classes[0].priority_weight = importance
    f.request("ordinary", kind=1)
    for _ in range(60_000):
        f.node.selection.record_arrival(0.1, 0.0)
    f.request("worthless", 0.009)
    assert f.lines[-1].endswith("send worthless#0 to A") or f.lines[-1].endswith("send worthless#0 to B")


async def start_only(executor, writer, name):
    """Start a request and never end it."""
    await executor.lines(writer, name, "started", whole=False)


async def never_start(executor, writer, name):
    pass


# Guards against a timer that is due again at once, for ever: the process answered nobody any more. It takes
# a slack that rounds to nothing beside the clock, which is rare on a real one.
@pytest.mark.parametrize("resolution_us", [0, 5e-324])
@pytest.mark.parametrize("now", [1000.0, 1.8e9, 1.75e9 + 0.123456])
def test_timers_come_to_an_end_without_a_clock_resolution(resolution_us, now):
    p = DispatcherHarness(executors=1, settings={"resolution-us": resolution_us})
    p.now = now
    for cost in (0.0077, 0.01, 0.0123):
        p.dispatcher.report_request("read", "", 0.5, cost, 1.0, 0.0, False)
    timers = p.dispatcher.timers
    pop_timer, popped = timers.pop, []

    def pop():
        popped.append(timers.next_due_at())
        assert len(popped) < 200, popped[-3:]
        return pop_timer()

    timers.pop = pop
    p.advance_to(now + 3.0)


# The same with a process. Its clock hardly ever rounds so: this test passed before as well.
@pytest.mark.parametrize("resolution_us", [None, 0, 5e-324], ids=["absent", "0", "the smallest number"])
def test_node_without_a_clock_resolution_goes_on_while_executors_are_silent(resolution_us):
    async def scenario(world):
        messages = [post("/read/k", f"s{number}", X_Deadline="900m") for number in range(8)]
        waiting = [asyncio.create_task(world.ask(message)) for message in messages]
        for _ in range(20):
            assert await asyncio.wait_for(world.ask(HEALTH_REQUEST), 1) == (200, b"")
            await asyncio.sleep(0.05)
        for status, _ in await asyncio.gather(*waiting):
            assert status in (500, 503)

    play(scenario, never_start, never_start, start_only, settings={"resolution-us": resolution_us})


# Guards against a speed learned from no time at all: an executor at its start has 0 of its speed then.
def test_result_of_an_executor_that_has_just_started_is_passed_on_where_it_starts_at_0():
    async def restart_then_finish(executor, writer, name):
        entry = executor.world.entry(0) | {"startedAtMs": int(time.time() * 1e3) + 60_000}
        await executor.world.tell(entry)
        await asyncio.sleep(0.05)
        await executor.lines(writer, name, "started", "done")

    async def scenario(world):
        world.executors[0].world = world
        assert await world.ask(post("/act/k", "t")) == (200, b"made of t")

    guarantees = {"cold-from": 0, "cold-us": 9e6, "fall-multiple": 2.5, "tip-after-us": 2e6}
    play(scenario, restart_then_finish, settings={"guarantees": guarantees})


# Guards against a rest in the sum of slots: an executor on trial behind it would never get a request again.
def test_sums_of_fractions_leave_no_rest():
    f = Fake()
    f.hear("A", slots=8)
    first, second = f.request("first", slots=1.1), f.request("second", slots=1.3)
    f.end(first, Outcome.COMPLETED)
    f.end(second, Outcome.COMPLETED)
    executor = f.executors["A"]
    assert (executor.in_flight_slots, executor.outstanding_work) == (0.0, 0.0)


# Guards against sums that the figures of one request leave wrong for those after it.
def test_requests_are_served_among_others_with_figures_at_the_edges():
    extremes = ["0.000000001", "0.3", "1.1", "1.3", "999999999999999.999999999"]

    async def scenario(world):
        for number, (cost, slots) in enumerate(itertools.product(extremes, extremes)):
            message = post("/read/k", f"e{number}", X_Cost_Hint=cost, X_Extras=f"slots={slots}")
            assert (await world.ask(message))[0] in (200, 503)
            assert (await world.ask(post("/read/k", f"x{number}", X_Extras="slots=1.1")))[0] in (200, 503)

    play(scenario, None, None)


def setting_paths():
    """Return the path of each field of the settings that the schema knows."""
    lists = {"offerings": node_schema.REQUEST_CLASS_FIELDS, "tenants": node_schema.TENANT_FIELDS}
    paths = [tuple(path.split(".")) for path in node_schema.SETTINGS_FIELDS]
    return paths + [(key, 0, path) for key, entry_fields in lists.items() for path in entry_fields]


def settings_with(path, value):
    """Return ordinary settings with one field changed."""
    changed = ordinary_settings() | {"tenants": [{"name": "t0", "quota-per-s": 5.0}]}
    part = changed
    for key in path[:-1]:
        part = part[key] if isinstance(part, list) else part.setdefault(key, {})
    part[path[-1]] = value
    return changed


# Guards against a value that the check takes and a decision cannot use, such as null for an importance.
@pytest.mark.parametrize("value", [None, {}, "x", [None], ["x"], -5, 1e300, nan, inf], ids=str)
@pytest.mark.parametrize("path", setting_paths(), ids=str)
def test_unusable_value_of_a_setting_is_one_plain_line(path, value):
    faults = node_schema.find_faults({"settings": settings_with(path, value)})
    is_text = path[-1] == "name" or path == ("load-report", "how")
    is_names = path in (("azs",), ("kinds",), ("load-report", "names"))
    if is_text and value == "x" or is_names and value == ["x"]:
        assert faults == []
        return
    assert len(faults) == 1 and "\n" not in faults[0]
    assert str(path[-1]) in faults[0]


# Guards against a section that is null, which the check takes for an absent one: it raised an error.
@pytest.mark.parametrize("part", ["limits", "prices", "guarantees", "specifics", "clients", "load-report"])
def test_section_that_is_null_counts_as_absent(part):
    with_null = ordinary_settings() | {part: None}
    assert node_schema.find_faults({"limits": None, "settings": with_null}) == []
    p = DispatcherHarness(executors=1, settings=with_null)
    pending = p.dispatcher.report_request("c0", "t0", 2.0, 0.009, 1.0, 0.0, False)
    assert pending.request.attempts
    p.dispatcher.apply_settings(with_null)


# Guards against settings that are half applied, or a node that closes connections after a SIGHUP.
@pytest.mark.parametrize("field", ["importance", "due-time-us", "key-ttl-us", "aim-stretch"])
def test_reloaded_null_changes_nothing(field):
    async def scenario(world):
        offerings = [entry | {field: None} for entry in OFFERINGS]
        world.reload(settings=world.settings | {"offerings": offerings})
        await world.logs(f"settings.offerings[0].{field} must be")
        for number in range(4):
            assert await world.ask(post("/read/k", f"t{number}")) == (200, f"made of t{number}".encode())

    play(scenario, None)


def received(message):
    """Return a message as another node decodes it."""
    return messages.decode(7, messages.encode(7, 1, 0, 0, message)).message


# Guards against a node whose reports others drop, since one client has stated more work than a message holds.
@pytest.mark.parametrize("work", [0.0, 5e-324, 1.0, 1e9, 1e15])
def test_report_of_a_zone_reaches_other_nodes_whatever_work_clients_state(work):
    observer = HealthObserver(0, 2, 0.0)
    observer.count_request(work)
    observer.count_outcome(0, False, False, 0.01, 0.0)
    observer.count_start(0, work, 0.02)
    report = observer.build_report(0.5, [work, 3.0])
    assert received(report) == report
    assert received(observer.build_early_report([work, 3.0])).early


# Guards against requests for quotas that end for good, since the demand of a team does not fit a message.
@pytest.mark.parametrize("work", [0.0, 5e-324, 1.0, 1e9, 1e15])
def test_quotas_are_requested_whatever_work_clients_state(work):
    requester = ClientHost()
    requester.account.add_demand(0.0, work)
    requester.client.request_leases(0.5)
    assert received(requester.sent[-1]) == requester.sent[-1]
