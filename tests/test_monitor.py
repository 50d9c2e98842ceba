"""Tests that the monitor detects a violation of each guarantee, and that events are counted and streamed."""

from types import SimpleNamespace

import orjson
import pytest

from firwalk.observability.events import MAX_RECENT_EVENTS, Event, EventLog
from firwalk.observability.monitor import Monitor, Rule
from firwalk.policy.executor import UNKNOWN_NUMBER, Zone
from firwalk.policy.interface import DeduplicationScope, Idempotency, Outcome

ZONE_A, ZONE_B, UNKNOWN_ZONE = Zone(0), Zone(1), Zone(UNKNOWN_NUMBER)


class MonitorScenario:
    """A monitor on a clock that the test sets."""

    def __init__(self):
        self.now = 100.0
        self.events = EventLog()
        self.monitor = Monitor(self.events, lambda: self.now)

    def take_request(
        self, idempotency=Idempotency.NON_IDEMPOTENT, deduplication_scope=DeduplicationScope.ALL, key_ttl=3.0
    ):
        request_class = SimpleNamespace(
            idempotency=idempotency, deduplication_scope=deduplication_scope, key_ttl=key_ttl
        )
        return self.monitor.taken("r1", SimpleNamespace(request_class=request_class), self.now + 2.0)

    def run_attempt(self, record, number, outcome=None, commit=True, zone=ZONE_A, cell=0):
        executor = SimpleNamespace(handle=SimpleNamespace(name=f"e{number}"))
        attempt = SimpleNamespace(number=number, executor=executor, zone=zone, cell=cell)
        self.monitor.attempt_begun(record, attempt, "first")
        if commit:
            self.monitor.attempt_committed(record, number)
        if outcome is not None:
            self.monitor.attempt_ended(record, number, outcome)


def test_successful_request_violates_nothing():
    scenario = MonitorScenario()
    record = scenario.take_request()
    scenario.run_attempt(record, 0, Outcome.AT_CAPACITY)
    scenario.run_attempt(record, 1, Outcome.COMPLETED)
    scenario.monitor.answered(record, 200, "served")
    assert not scenario.monitor.violations


def answered_twice(scenario):
    record = scenario.take_request()
    scenario.monitor.answered(record, 200, "served")
    scenario.monitor.answered(record, 500, "deadline")


def answered_late(scenario):
    record = scenario.take_request()
    scenario.now += 2.6
    scenario.monitor.answered(record, 500, "deadline")


def attempt_after_the_answer(scenario):
    record = scenario.take_request()
    scenario.monitor.answered(record, 503, "stopping")
    scenario.run_attempt(record, 0, commit=False)


def committed_after_the_client_left(scenario):
    record = scenario.take_request()
    scenario.run_attempt(record, 0, commit=False)
    scenario.monitor.released(record, "client_left")
    scenario.monitor.attempt_committed(record, 0)


def attempt_after_the_deadline(scenario):
    record = scenario.take_request()
    scenario.now += 2.0
    scenario.run_attempt(record, 0, commit=False)


def non_idempotent_repeated(scenario):
    record = scenario.take_request()
    scenario.run_attempt(record, 0, Outcome.CONNECTION_LOST)
    scenario.run_attempt(record, 1)


def repeated_in_another_zone(scenario):
    record = scenario.take_request(Idempotency.KEYED, DeduplicationScope.ZONE)
    scenario.run_attempt(record, 0, Outcome.CONNECTION_LOST)
    scenario.run_attempt(record, 1, zone=ZONE_B)


def repeated_where_the_zone_is_unknown(scenario):
    record = scenario.take_request(Idempotency.KEYED, DeduplicationScope.ZONE)
    scenario.run_attempt(record, 0, Outcome.CONNECTION_LOST, zone=UNKNOWN_ZONE)
    scenario.run_attempt(record, 1, zone=UNKNOWN_ZONE)


def repeated_where_the_cell_is_unknown(scenario):
    record = scenario.take_request(Idempotency.KEYED, DeduplicationScope.CELL)
    scenario.run_attempt(record, 0, Outcome.CONNECTION_LOST, cell=UNKNOWN_NUMBER)
    scenario.run_attempt(record, 1, cell=UNKNOWN_NUMBER)


def repeated_after_key_ttl(scenario):
    record = scenario.take_request(Idempotency.KEYED, key_ttl=0.5)
    scenario.run_attempt(record, 0, Outcome.CONNECTION_LOST)
    scenario.now += 0.6
    scenario.run_attempt(record, 1)


def rejected_after_it_may_have_run(scenario):
    record = scenario.take_request()
    scenario.run_attempt(record, 0, Outcome.TIMED_OUT)
    scenario.monitor.answered(record, 503, "deadline")


@pytest.mark.parametrize(
    "violate, rule",
    [
        (answered_twice, Rule.ANSWERED_ONCE),
        (answered_late, Rule.ANSWERED_IN_TIME),
        (attempt_after_the_answer, Rule.NOTHING_AFTER),
        (committed_after_the_client_left, Rule.NOTHING_AFTER),
        (attempt_after_the_deadline, Rule.IN_TIME),
        (non_idempotent_repeated, Rule.ONE_EFFECT),
        (repeated_in_another_zone, Rule.ONE_EFFECT),
        (repeated_where_the_zone_is_unknown, Rule.ONE_EFFECT),
        (repeated_where_the_cell_is_unknown, Rule.ONE_EFFECT),
        (repeated_after_key_ttl, Rule.ONE_EFFECT),
        (rejected_after_it_may_have_run, Rule.HARMLESS),
    ],
)
def test_violation_is_counted_and_logged_with_the_history(violate, rule, capfd):
    scenario = MonitorScenario()
    violate(scenario)
    assert scenario.monitor.violations == {rule: 1}
    line = next(line for line in capfd.readouterr().err.splitlines() if "rule broken" in line)
    assert "request r1" in line and '"event":"request_taken"' in line


def test_events_are_counted_and_streamed_and_recent_ones_bounded():
    event_log, lines = EventLog(), []
    event_log.write = lines.append
    for number in range(2 * MAX_RECENT_EVENTS):
        event_log.record(Event.CLIENT_CLOSED, "idle", f"r{number}", number=number)
    assert event_log.counts[Event.CLIENT_CLOSED, "idle"] == 2 * MAX_RECENT_EVENTS
    assert event_log.summary() == f"client_closed(idle) {2 * MAX_RECENT_EVENTS}"
    assert not event_log.history("r0") and len(event_log.history(f"r{2 * MAX_RECENT_EVENTS - 1}")) == 1
    event = orjson.loads(lines[3])
    assert event["event"] == "client_closed" and event["request"] == "r3" and event["number"] == 3
