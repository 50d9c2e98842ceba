"""Faulty implementations of the program; the oracle of the soak must detect each of them."""

import asyncio
import os
import sys
import time
from functools import partial
from pathlib import Path

from firwalk import stop_plan
from firwalk.dispatcher import dispatcher
from firwalk.net import client_connection, client_requests, clients, graceful_shutdown, http

sys.path.insert(0, str(Path(__file__).parents[1] / "fleet"))  # The shim loads this file by its path.
import doubles

omits_answers = doubles.forgets_an_answer
answers_late = partial(doubles.answers_late, 1.7)  # Soak clients wait 1.2 s past the deadline.
answers_with_wrong_result = doubles.answers_with_anothers_result
repeats_unsafe_requests = doubles.repeats_what_must_not_repeat
ignores_drains = doubles.does_not_hear_of_drains
overloads_cold_executors = doubles.pushes_cold_ones_over


def fixed_stop_times():
    """Use stop times that fit only deadlines of 3 s, as the program did at the production incident."""
    plan = stop_plan.StopPlan(2.0, 2.0, 3.4, 3.5, 3.7)
    stop_plan.StopPlan.of = staticmethod(lambda longest_deadline_s: plan)


def exits_without_draining():
    """Exit on a stop without waiting for requests in flight."""

    async def run(self):
        return None

    graceful_shutdown.GracefulShutdown.run = run


def closes_active_connections():
    """Close connections with a request in flight during a stop."""

    def wind_down(self, final):
        for client in list(self.open):
            client.close(clients.CloseReason.STOPPING)

    clients.Clients.wind_down = wind_down


def answers_twice():
    due, original = doubles.every(20), http.encode_response

    def answer(status, *rest, **more):
        data = original(status, *rest, **more)
        return data + data if status == 200 and due() else data

    http.encode_response = answer


def rejects_executed_requests():
    """Answer failed requests as rejected although they may have run."""
    original = client_requests.RequestHandler._answer

    def answer(self, client, status, *rest, **more):
        original(self, client, 503 if status == 500 else status, *rest, **more)

    client_requests.RequestHandler._answer = answer


def ignores_disconnects():
    """Delay the first attempt and ignore disconnects, both as an event and in the check before sending."""
    original = client_requests.RequestHandler._serve_request

    async def task(self, *rest):
        await asyncio.sleep(0.6)
        await original(self, *rest)

    client_requests.RequestHandler._serve_request = task
    dispatcher.Dispatcher.report_client_left = lambda self, pending, reason="": None
    client_connection.ClientConnection.has_client_left = lambda self: False


def extends_deadlines():
    original = client_requests.attempt_encoder

    def message(target, headers, body, end, clock):
        return original(target, headers, body, end + 1.0, clock)

    client_requests.attempt_encoder = message


def changes_request_ids():
    due, original = doubles.every(20), client_requests.attempt_encoder

    def message(target, headers, body, end, clock):
        if due():
            headers = headers | {b"x-request-id": b"another"}
        return original(target, headers, body, end, clock)

    client_requests.attempt_encoder = message


def crashes():
    original = dispatcher.Dispatcher.report_request

    def report_request(self, *rest, **more):
        if time.monotonic() > crash_at:
            os._exit(3)
        return original(self, *rest, **more)

    crash_at = time.monotonic() + 3.0
    dispatcher.Dispatcher.report_request = report_request


def never_starts():
    async def begin(self):
        await asyncio.sleep(60.0)

    from firwalk.net import service

    service.Service._begin = begin


def reports_violations():
    """Report a violation that only the runtime monitor sees."""
    original = clients.Clients.check_closed

    def check_closed(self, client):
        self.monitor.violation(clients.Rule.ANSWERED, "none")
        original(self, client)

    clients.Clients.check_closed = check_closed
