"""Unexpected errors inside a decision: each request taken has one final answer, which is counted and logged.

Guards against a connection that is closed with no answer, or a request that hangs, because some code has
raised an error (review/7). Processes get the error from a `sitecustomize` module on their path.
"""

import asyncio
import os
import signal
import textwrap

import pytest
from helpers import World, post
from test_facade import DispatcherHarness
from test_service import mute
from test_succession import NodeProcess

from firwalk.dispatcher.actions import (
    CancelAttempt,
    CompleteRequest,
    FailRequest,
    RejectRequest,
    SendAttempt,
)
from firwalk.observability import log
from firwalk.policy.interface import Outcome

ERROR_LINE = "error while"


async def slow(executor, writer, name):
    """Run a request for long enough that its node is replaced meanwhile."""
    await executor.lines(writer, name, "started", whole=False)
    await asyncio.sleep(1.2)
    line = b'{"id":"%s","state":"done","result":"made of %s"}' % (name.encode(), name.encode())
    writer.write(b"%x\r\n%s\r\n0\r\n\r\n" % (len(line), line))


@pytest.fixture
def faulty_program(tmp_path, monkeypatch):
    """Return a function that has programs started from now on run some code first."""

    def prepare(code):
        (tmp_path / "sitecustomize.py").write_text(textwrap.dedent(code))
        monkeypatch.setenv("PYTHONPATH", f"{tmp_path}{os.pathsep}{os.getcwd()}")

    return prepare


def run(scenario, *behaviours, **world):
    """Run `scenario(world)`; return the program's log. Unlike `play`, it accepts logged errors."""

    async def body():
        async with World(*behaviours, **world) as w:
            w.killed = True  # its log holds the errors that the test causes
            await asyncio.wait_for(scenario(w), 20)
        return w.log

    return asyncio.run(body())


def raising(target, condition="True"):
    """Return code that makes a method of firwalk raise an error at times; `calls` counts its calls."""
    module, owner, name = target.rsplit(".", 2)
    return f"""
    import {module} as module
    original = module.{owner}.{name}
    calls = [0]

    def {name}(self, *arguments, **named):
        calls[0] += 1
        if {condition}:
            raise ArithmeticError("an error for the test")
        return original(self, *arguments, **named)

    module.{owner}.{name} = {name}
    """


def answered_events(world, request_id):
    return [event for event in world.events(request_id) if event["event"] == "request_answered"]


# Guards against a closed connection without an answer when placing a request raises an error.
@pytest.mark.parametrize(
    "target",
    [
        "firwalk.policy.request.RequestClass.cost",
        "firwalk.policy.slow_start.SlowStart.record_arrival",
        "firwalk.policy.admission.Admission.is_over_quota",
        "firwalk.policy.selection.Selection.choose",
        "firwalk.policy.selection.Selection.estimate",
        "firwalk.dispatcher.policy_host.PolicyHost.send",
        "firwalk.net.client_requests.RequestHandler._dispatch",
        "firwalk.net.executors.Executors.send_attempt",
        "firwalk.limits.request_ids.RequestIds.is_used",
    ],
)
def test_error_before_anything_is_sent_is_answered_with_a_rejection(target, faulty_program):
    faulty_program(raising(target, "calls[0] <= 2"))

    async def scenario(world):
        pair = await world.connect()
        for number in range(2):
            status, _ = await world.ask(post("/act/k", f"t{number}"), pair)
            assert status == 503
            assert len(answered_events(world, f"t{number}")) == 1
            assert not any(event["event"] == "attempt_begun" for event in world.events(f"t{number}"))
        assert await world.ask(post("/act/k", "u"), pair) == (200, b"made of u")

    assert ERROR_LINE in run(scenario, None)


# Guards against an error in bookkeeping that takes the place of an executor's result.
@pytest.mark.parametrize(
    "target",
    [
        "firwalk.policy.selection.Selection.learn",
        "firwalk.policy.outlier_ejection.OutlierEjection.record_outcome",
        "firwalk.policy.executor.Executor.record_start_delay",
        "firwalk.observability.monitor.Monitor.attempt_ended",
        "firwalk.observability.monitor.Monitor.answered",
        "firwalk.policy.load_reports.LoadReports.poll",
    ],
)
def test_error_in_the_bookkeeping_of_a_completed_request_leaves_its_result(target, faulty_program):
    faulty_program(raising(target))

    async def scenario(world):
        pair = await world.connect()
        for number in range(3):
            assert await world.ask(post("/act/k", f"t{number}"), pair) == (200, f"made of t{number}".encode())

    assert ERROR_LINE in run(scenario, None)


# Guards against a rejection, which promises a harmless retry, of a request that an executor may have run.
def test_error_after_a_request_was_sent_is_answered_as_a_failure(faulty_program):
    faulty_program(raising("firwalk.policy.outlier_ejection.OutlierEjection.record_outcome"))

    async def fails(executor, writer, name):
        await executor.lines(writer, name, "started", "failed")

    async def scenario(world):
        status, _ = await world.ask(post("/act/k", "t"))
        assert status == 500
        assert [event["reason"] for event in answered_events(world, "t")] == ["internal_error"]

    assert ERROR_LINE in run(scenario, fails)


# Guards against timers that stop for good once one of them has raised an error.
def test_error_in_a_timer_leaves_other_timers_running(faulty_program):
    faulty_program(raising("firwalk.policy.policy.Policy.attempt_overdue"))

    async def scenario(world):
        status, _ = await world.ask(post("/act/k", "t", X_Deadline="700m"))
        assert status == 500  # by the timer of its deadline
        assert len(answered_events(world, "t")) == 1

    assert ERROR_LINE in run(scenario, mute)


# Guards against messages without an answer that were read before an error ended the reading.
def test_error_while_reading_is_answered_behind_earlier_messages(faulty_program):
    faulty_program(
        raising(
            "firwalk.net.client_connection.ClientConnection._enqueue", "arguments[0].target == b'/read/x'"
        )
    )

    async def scenario(world):
        reader, writer = await world.connect()
        writer.write(post("/read/k", "t") + post("/read/x", "u"))
        data = await asyncio.wait_for(reader.read(), 5)
        assert data.startswith(b"HTTP/1.1 200 ") and data.count(b"HTTP/1.1 ") == 2
        assert b"HTTP/1.1 503 " in data

    assert ERROR_LINE in run(scenario, None)


class Refusal(Exception):
    """The error that these tests cause in the policy."""


def refuse(*_):
    raise Refusal


def test_request_goes_on_while_an_attempt_is_in_flight():
    p = DispatcherHarness(executors=1)
    p.dispatcher.policy.load_reports.poll = refuse
    pending = p.submit("act")
    p.dispatcher.report_sending(pending, 0)
    p.dispatcher.report_outcome(pending, 0, Outcome.COMPLETED, None, b"result")
    actions = p.queued_actions(pending)
    assert actions == [(SendAttempt, 0), (CompleteRequest, b"result"), "over"]
    assert not p.dispatcher.open_requests


def test_request_without_a_decision_is_answered():
    """The policy neither answers the request nor keeps an attempt in flight."""
    p = DispatcherHarness(executors=1)
    p.dispatcher.policy.admission.host = None  # every final answer raises an error
    pending = p.submit("act")
    p.dispatcher.report_outcome(pending, 0, Outcome.AT_CAPACITY)
    assert p.queued_actions(pending)[-2:] == [(RejectRequest, 2.0), "over"]
    assert pending.request.attempts[0].executor.in_flight_slots == 0


def test_attempts_in_flight_are_cancelled_when_a_request_is_answered_after_an_error():
    p = DispatcherHarness(executors=2)
    pending = p.submit("read")
    p.dispatcher.report_sending(pending, 0)
    request = pending.request
    p.dispatcher._answer_after_error(request)
    assert p.queued_actions(pending)[-3:] == [(CancelAttempt, 0), FailRequest, "over"]
    assert not request.in_flight and request.attempts[0].executor.outstanding_work == 0.0


def test_errors_are_counted():
    before = dict(log.violations)
    p = DispatcherHarness(executors=1)
    p.dispatcher.policy.selection.choose = refuse
    p.submit("act")
    assert log.violations["placing a request"] == before.get("placing a request", 0) + 1


class Charge:
    """A quota reserved for a request."""

    def __init__(self):
        self.settled = []

    def settle(self, work, may_have_run):
        self.settled.append((work, may_have_run))


# Guards against quotas that stay reserved for good, so that a team is turned away in the end.
@pytest.mark.parametrize("outcome", [Outcome.COMPLETED, Outcome.ERROR])
def test_quota_of_a_request_is_settled_after_an_error(outcome):
    p = DispatcherHarness(executors=1)
    pending = p.submit("act")
    pending.charge = Charge()
    p.dispatcher.policy.ejection.record_outcome = refuse
    p.dispatcher.report_sending(pending, 0)
    p.dispatcher.report_committing(pending, 0)
    p.dispatcher.report_outcome(pending, 0, outcome, None, b"result")
    assert [may_have_run for _, may_have_run in pending.charge.settled] == [True]
    assert p.queued_actions(pending)[-1] == "over"


# Guards against requests that are lost in an upgrade, since the new process cannot continue one of them.
def test_request_that_a_new_process_cannot_continue_is_answered_as_failed(faulty_program):
    faulty_resume = """
    import firwalk.net.restart_successor as module
    original = module.resume_request

    def resume_request(dispatcher, handed_over, elapsed_s, request_id=""):
        if request_id == "t1":
            raise ArithmeticError("an error for the test")
        return original(dispatcher, handed_over, elapsed_s, request_id)

    module.resume_request = resume_request
    """

    async def scenario(world):
        requests = [asyncio.create_task(world.ask(post("/act/k", f"t{number}"))) for number in range(3)]
        await world.until(lambda: sum(len(executor.got) for executor in world.executors) == 3)
        faulty_program(faulty_resume)
        successor = await (await NodeProcess(world).start()).ready()
        assert await asyncio.gather(*requests) == [(200, b"made of t0"), (500, b""), (200, b"made of t2")]
        assert await world.ask(post("/act/k", "u")) == (200, b"made of u")
        successor.program.send_signal(signal.SIGTERM)
        output = (await asyncio.wait_for(successor.program.stderr.read(), 8)).decode()
        assert output.count("error while continuing a request of the predecessor") == 1

    run(scenario, slow, slow, managed=True)
