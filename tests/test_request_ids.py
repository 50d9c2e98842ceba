"""The life of a request id: one request only, remembered within bounds, and across two processes."""

import tracemalloc

import pytest
from hypothesis import given
from hypothesis import strategies as st

from firwalk.limits.request_ids import GENERATION_S, RequestIds, fingerprint, generation_size

ids = st.integers(0, 12).map(lambda number: b"id%d" % number)


@given(st.lists(st.tuples(ids, st.booleans()), max_size=80))
def test_an_id_that_may_have_taken_effect_begins_once(steps):
    used = RequestIds()
    began = []
    for request_id, is_reusable in steps:
        if used.begin(request_id):
            began.append(request_id)
            assert not used.begin(request_id)
            used.end(request_id, 1.0, is_reusable)
            assert used.is_used(request_id) is not is_reusable
    remembered = [one for one in set(began) if used.is_used(one)]
    assert all(began.count(one) >= 1 for one in remembered)


# Guards against memory that grows with each request, and against ids that are forgotten under a flood.
def test_memory_of_ids_is_bounded_and_the_most_recent_ones_are_known():
    used = RequestIds(max_generation_size=100)
    for number in range(1000):
        assert used.begin(b"%d" % number)
        used.end(b"%d" % number, 1.0, is_reusable=False)
        assert len(used.fingerprints()) <= 200
        for recent in range(max(0, number - 99), number + 1):
            assert used.is_used(b"%d" % recent)


def test_the_memory_of_ids_follows_the_memory_limit():
    count = generation_size(32_000_000)
    tracemalloc.start()
    used = RequestIds(count)
    for number in range(2 * count):
        used.remember(fingerprint(b"%d" % number), 1.0)
    kept_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(used.fingerprints()) == 2 * count and kept_bytes < 0.08 * 32_000_000
    assert generation_size(192_000_000) > 40_000


def test_ids_are_forgotten_after_two_generations_of_time():
    used = RequestIds()
    used.remember(fingerprint(b"a"), GENERATION_S + 1.0)
    used.remember(fingerprint(b"b"), 2 * GENERATION_S)
    assert used.is_used(b"a")
    used.remember(fingerprint(b"c"), 3 * GENERATION_S)
    assert used.is_used(b"a") and used.is_used(b"b")
    used.remember(fingerprint(b"d"), 5 * GENERATION_S)
    assert not used.is_used(b"a") and used.is_used(b"c") and used.is_used(b"d")


@pytest.mark.parametrize("is_in_work", [True, False])
def test_another_process_learns_all_used_ids(is_in_work):
    used, successor = RequestIds(), RequestIds()
    used.begin(b"a")
    if not is_in_work:
        used.end(b"a", 1.0, is_reusable=False)
    used.begin(b"b")
    used.end(b"b", 1.0, is_reusable=True)
    successor.remember_all(used.fingerprints(), 2.0)
    assert not successor.begin(b"a") and successor.begin(b"b")
    assert successor.is_fingerprint_used(fingerprint(b"a")) and successor.is_fingerprint_used(
        fingerprint(b"b")
    )
    assert not successor.is_fingerprint_used(fingerprint(b"c"))
