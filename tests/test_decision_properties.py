"""Properties of decisions under all settings that the check accepts, and all numbers that peers may give.

Guards against errors, endless loops and values without meaning in decisions (review/7): whatever settings,
clients, executors and discovery give, each request has one final answer, and no decision raises an error.
"""

from math import isfinite
from unittest.mock import patch

from hypothesis import HealthCheck, event, given, settings
from hypothesis import strategies as st
from settings_strategy import KINDS, TENANT_NAMES, ZONES, accepted_settings, ordinary_settings
from test_facade import DispatcherHarness

from firwalk.dispatcher import dispatcher as dispatcher_module
from firwalk.dispatcher import policy_host
from firwalk.dispatcher.endpoint_list import EndpointEntry
from firwalk.net import fields
from firwalk.net.listing import MAX_CELL, MAX_STARTED_MS, MAX_WEIGHT, MIN_WEIGHT
from firwalk.policy.executor import UNKNOWN_NUMBER
from firwalk.policy.interface import EndpointState, Outcome

START_S = 1.8e9  # the clock of a node counts from 1970
EXECUTOR_COUNT = 4
MAX_TIMERS_AT_ONCE = 500  # with the few requests of an example, more show a loop

# Numbers of clients are text: up to 15 digits, and up to 9 behind the point (`firwalk.net.fields`).
MAX_FIGURE = "999999999999999.999999999"
USUAL_COST_HINTS_US = ["0", "0.000000001", "9000", "9000", "9000", "3000000", MAX_FIGURE]
USUAL_SLOTS = ["0", "0.000000001", "1", "1", "1", "1.1", "1.3", MAX_FIGURE]
USUAL_DEADLINES = [None, "0m", "0.000000001u", "250m", "2000m", "2000m", f"{MAX_FIGURE}m"]
FIGURES = st.from_regex(fields.NUMBER_REGEX.decode(), fullmatch=True)
USUAL_REPORT_VALUES = [0, 1, 2, 0.5, True, 5e-324, 999999.9, -999999.9, 1e300, "x", None]
REPORT_FIELDS = ["x0", "x1", "util", "inflight", "rif", "busy", "queue"]
STARTED_AT_S = [0.0, 5e-324, START_S - 1.0, START_S, START_S + 0.5, MAX_STARTED_MS / 1e3]
MAX_CELL_NUMBER = MAX_CELL - 1
PAUSES_S = [0.0, 1e-7, 0.003, 0.06, 0.4, 1.2]
MAX_PAUSE_S = 3.0


def with_usual(usual, others):
    """Draw one of the usual values and edges, or any other one."""
    return st.one_of(st.sampled_from(usual), st.sampled_from(usual), others)


DEFAULT_ATTRIBUTES = (EndpointState.READY, ZONES[0], KINDS[0], 0, 0.0, 1.0)

indices = st.integers(0, 7)
report_values = with_usual(USUAL_REPORT_VALUES, st.one_of(st.floats(), st.integers()))
load_reports = st.one_of(
    st.none(), st.dictionaries(st.sampled_from(REPORT_FIELDS), report_values, max_size=3)
)
pauses = st.tuples(st.just("pause"), with_usual(PAUSES_S, st.floats(0.0, MAX_PAUSE_S)))
requests = st.tuples(
    st.just("request"),
    st.integers(0, 2),
    st.sampled_from([*TENANT_NAMES, ""]),
    with_usual(USUAL_DEADLINES, st.builds("{}{}".format, FIGURES, st.sampled_from("mu"))),
    with_usual(USUAL_COST_HINTS_US, FIGURES),
    with_usual(USUAL_SLOTS, FIGURES),
    st.booleans(),
    st.sampled_from([b"", b"k"]),
)
list_changes = st.tuples(
    st.just("change_list"),
    st.integers(0, EXECUTOR_COUNT),
    st.sampled_from([EndpointState.READY, EndpointState.READY, *EndpointState]),
    st.sampled_from([*ZONES, "?"]),
    st.sampled_from([*KINDS, "?"]),
    with_usual([UNKNOWN_NUMBER, 0, MAX_CELL_NUMBER], st.integers(0, MAX_CELL_NUMBER)),
    with_usual(STARTED_AT_S, st.floats(0.0, MAX_STARTED_MS / 1e3)),
    with_usual([MIN_WEIGHT, 3.0], st.floats(MIN_WEIGHT, MAX_WEIGHT, exclude_max=True)),
)
steps = st.one_of(
    requests,
    requests,
    requests,
    list_changes,
    st.tuples(st.just("start"), indices),
    st.tuples(st.just("end"), indices, st.sampled_from([Outcome.COMPLETED, *Outcome]), load_reports),
    st.tuples(st.just("end"), indices, st.just(Outcome.COMPLETED), load_reports),
    st.tuples(st.just("check"), indices, st.sampled_from([Outcome.COMPLETED, *Outcome]), load_reports),
    pauses,
    pauses,
    st.tuples(st.just("peer_error"), indices),
    st.tuples(st.just("reload"), accepted_settings()),
)


def raise_instead_of_logging(activity, error):
    raise AssertionError(f"error while {activity}") from error


class Node:
    """A node with executors, which applies steps and keeps all its requests."""

    def __init__(self, node_settings):
        self.harness = DispatcherHarness.__new__(DispatcherHarness)
        self.harness.now, self.harness.woken = START_S, 0
        self.dispatcher = self.harness.dispatcher = dispatcher_module.Dispatcher(
            node_settings, 7, lambda: self.harness.now, lambda: None
        )
        self.pendings, self.version, self.timer_count = [], 1, 0
        self._limit_timers()
        entries = [self.entry(number) for number in range(EXECUTOR_COUNT)]
        self.dispatcher.report_endpoint_list(1, True, entries)

    def _limit_timers(self):
        pop = self.dispatcher.timers.pop

        def limited_pop():
            self.timer_count += 1
            assert self.timer_count < MAX_TIMERS_AT_ONCE, "the timers do not come to an end"
            return pop()

        self.dispatcher.timers.pop = limited_pop

    def entry(
        self, number, state=EndpointState.READY, zone=ZONES[0], kind=KINDS[0], cell=0, at=0.0, weight=1.0
    ):
        return EndpointEntry(f"e{number}", ("127.0.0.1", 1 + number), zone, kind, cell, state, at, weight)

    def request(self, class_index, tenant, deadline, cost, slots, is_retry, key):
        headers = {
            b"x-request-id": b"r",
            b"x-cost-hint": cost.encode(),
            b"x-extras": b"slots=" + slots.encode(),
        }
        if deadline is not None:
            headers[b"x-deadline"] = deadline.encode()
        names = list(self.dispatcher.request_classes)
        request_class = names[class_index % len(names)]
        _, head = fields.read(f"/{request_class}/k".encode(), headers)
        pending = self.dispatcher.report_request(
            request_class, tenant, head.budget_s, head.cost_s, head.slots, 0.0, is_retry, key=key
        )
        if pending is not None:
            self.pendings.append(pending)

    def change_list(self, number, *attributes):
        self.version += 1
        self.dispatcher.report_endpoint_list(self.version, False, [self.entry(number, *attributes)])

    def attempts_in_flight(self):
        return [
            (pending, attempt)
            for pending in self.pendings
            for attempt in pending.request.attempts
            if attempt.is_in_flight
        ]

    def start(self, index):
        for pending, attempt in self.attempts_in_flight()[index : index + 1]:
            if self.dispatcher.report_sending(pending, attempt.number):
                self.dispatcher.report_committing(pending, attempt.number)
                self.dispatcher.report_started(pending, attempt.number)

    def end(self, index, outcome, load):
        for pending, attempt in self.attempts_in_flight()[index : index + 1]:
            self.dispatcher.report_outcome(pending, attempt.number, outcome, load, b"result")
            self.dispatcher.report_idle_connections(attempt.executor.handle, 1)

    def check(self, index, outcome, load):
        for executor in list(self.dispatcher.executors.values())[index : index + 1]:
            self.dispatcher.report_health_check(executor.handle, outcome, 0.01, load)

    def pause(self, seconds):
        end = self.harness.now + seconds
        self.timer_count = 0
        self.harness.advance_to(end)

    def peer_error(self, index):
        for executor in list(self.dispatcher.executors.values())[index : index + 1]:
            self.dispatcher.policy.peer_reported_failure(self.harness.now, executor)

    def reload(self, node_settings):
        self.dispatcher.apply_settings(node_settings)

    def stop(self):
        self.dispatcher.set_shutdown_deadline(self.harness.now + 0.5)
        self.pause(1.0)

    def check_requests(self):
        for pending in self.pendings:
            answers = [action for action in pending.actions if action.is_final_answer]
            assert len(answers) == 1, (pending.request.__dict__, pending.actions)

    def check_numbers(self):
        policy = self.dispatcher.policy
        numbers = [policy.selection.mean_work, policy.selection.mean_value, policy.slow_start.capacity]
        for executor in policy.executor_set.executors:
            sums = [executor.outstanding_work, executor.in_flight_slots, executor.slots_used_by_others]
            assert min(sums) >= 0.0 and executor.speed > 0.0, executor.__dict__
            numbers += [*sums, executor.speed, executor.lag, executor.used_slots_mean]
        assert all(isfinite(number) for number in numbers), numbers

    def check_idle(self):
        """Check that executors without an attempt in flight have no work left in their sums.

        Where executors know no cancels, an attempt of an answered request stays in flight to its deadline.
        """
        busy = [attempt.executor for _, attempt in self.attempts_in_flight()]
        for executor in self.dispatcher.policy.executor_set.executors:
            if executor not in busy:
                assert (executor.in_flight_slots, executor.outstanding_work) == (0.0, 0.0), executor.__dict__


def run_steps(node_settings, drawn_steps):
    with (
        patch.object(policy_host, "log_exception", raise_instead_of_logging),
        patch.object(dispatcher_module, "log_exception", raise_instead_of_logging),
    ):
        node = Node(node_settings)
        for name, *arguments in drawn_steps:
            getattr(node, name)(*arguments)
            node.check_numbers()
        node.stop()
        node.check_requests()
        node.check_idle()
    attempts = [attempt for pending in node.pendings for attempt in pending.request.attempts]
    event(f"requests: {min(len(node.pendings), 3)}, attempts: {min(len(attempts), 3)}")


@settings(max_examples=6000, deadline=None, suppress_health_check=list(HealthCheck))
@given(accepted_settings(), st.lists(steps, min_size=4, max_size=30))
def test_each_request_has_one_answer_under_all_accepted_settings(node_settings, drawn_steps):
    run_steps(node_settings, drawn_steps)


@settings(max_examples=600, deadline=None, suppress_health_check=list(HealthCheck))
@given(st.lists(steps.filter(lambda step: step[0] != "reload"), min_size=4, max_size=40))
def test_each_request_has_one_answer_under_ordinary_settings(drawn_steps):
    run_steps(ordinary_settings(), drawn_steps)
