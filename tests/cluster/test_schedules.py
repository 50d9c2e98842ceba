"""I1 and I3 over drawn schedules with fixed seeds, and the mutants that they must catch."""

import mutants
import pytest

from firwalk.cluster.messages import NO_BALLOT
from firwalk.lab.schedules import drawn, first_caught, history, played, shrunk

SOUND = 1500


@pytest.mark.parametrize("start", range(0, SOUND, 250))
def test_no_schedule_breaks_i1_or_i3(start):
    wrote = 0
    for seed in range(start, start + 250):
        schedule = drawn(seed)
        judge, _ = played(schedule)
        wrote += len(judge.written)
        if judge.breaks:
            small = shrunk(schedule)
            pytest.fail(history(small, played(small)[0]))
    assert wrote > 2000  # else nothing was tried


@pytest.mark.parametrize("mutant", mutants.ALL, ids=lambda mutant: mutant.__name__)
def test_each_mutant_is_caught(mutant):
    assert first_caught(mutant, 400) is not None


def test_a_break_is_shrunk_to_a_history_that_can_be_read():
    mutant = mutants.holder_acts_after_its_end
    number = first_caught(mutant, 50) - 1
    small = shrunk(drawn(number), mutant)
    assert len(small.faults) < len(drawn(number).faults)
    text = history(small, played(small, mutant)[0])
    assert "I1 at" in text and "lease" in text and len(text.splitlines()) < 60


def test_a_run_repeats_exactly():
    first, again = (played(drawn(17))[1].history for _ in range(2))
    assert first == again and len(first) > 50


def test_without_faults_one_coordinator_writes_and_all_follow():
    schedule = drawn(3)
    schedule.faults, schedule.loss, schedule.delay = [], 0.0, (0.001, 0.005)
    judge, world = played(schedule)
    assert not judge.breaks
    stamps = [process.seat.follower.stamp for process in world.processes]
    assert stamps[0][0] != NO_BALLOT and len({stamp[0] for stamp in stamps}) == 1
    assert max(stamp[1] for stamp in stamps) - min(stamp[1] for stamp in stamps) <= 1
