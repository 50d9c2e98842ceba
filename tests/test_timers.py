"""The queue of timers: their order, and that ended requests are not kept by theirs."""

import gc
import weakref
from math import inf

from hypothesis import given
from hypothesis import strategies as st
from test_facade import DispatcherHarness

from firwalk.dispatcher.timers import MIN_CANCELLED_TO_REMOVE, TimerQueue
from firwalk.policy.interface import Outcome


class Kept:
    """Something that a timer is about."""


@given(st.lists(st.tuples(st.floats(0.0, 10.0), st.booleans()), max_size=200))
def test_timers_run_in_their_order_and_cancelled_ones_never(timers):
    queue = TimerQueue()
    added = [
        (queue.add(when, lambda now, about: None, number), when, keeps)
        for number, (when, keeps) in enumerate(timers)
    ]
    for timer, _, keeps in added:
        if not keeps:
            queue.cancel(timer)
            queue.cancel(timer)  # has no further effect
    wanted = sorted((when, number) for number, (_, when, keeps) in enumerate(added) if keeps)
    found = []
    while queue.next_due_at() < inf:
        when = queue.next_due_at()
        found.append((when, queue.pop()[1]))
    assert found == wanted and len(queue) == 0


# Guards against requests that stay in memory until their deadline, at thousands of requests a second.
def test_a_cancelled_timer_keeps_nothing_and_cancelled_ones_are_removed():
    queue = TimerQueue()
    kept = Kept()
    seen = weakref.ref(kept)
    timer = queue.add(5.0, lambda now, about: None, kept)
    queue.cancel(timer)
    del kept
    gc.collect()
    assert seen() is None
    for number in range(10000):
        queue.cancel(queue.add(5.0 + number, lambda now, about: None, None))
    assert len(queue) <= MIN_CANCELLED_TO_REMOVE + 1


def test_a_finished_request_leaves_no_timers_behind():
    harness = DispatcherHarness()
    count = len(harness.dispatcher.timers)
    for _ in range(500):
        pending = harness.submit()
        while not pending.is_finished():
            number = len(pending.request.attempts) - 1
            assert harness.dispatcher.report_sending(pending, number)
            assert harness.dispatcher.report_committing(pending, number)
            harness.dispatcher.report_outcome(pending, number, Outcome.COMPLETED, None, b"made")
        assert harness.queued_actions(pending)[-1] == "over"
    assert len(harness.dispatcher.timers) - count <= 2 * MIN_CANCELLED_TO_REMOVE
