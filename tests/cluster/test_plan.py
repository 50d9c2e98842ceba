"""The plan over hard cases in virtual time: woken late, forgotten ballots, cuts, how long it holds."""

import pytest
from test_lease import Box

from firwalk.cluster.messages import MAX_PIECES, PIECE_BYTES, Answer
from firwalk.cluster.plan import PlanTooLarge, encode_plan, split_plan
from firwalk.cluster.plan_follower import PlanFollower
from firwalk.cluster.random_source import RandomSource
from firwalk.lab.invariants import Judge
from firwalk.lab.schedules import Watch
from firwalk.lab.virtual import Fault, Schedule, World

SETTINGS = {"length": 2.0, "period": 0.5, "answer": 0.15, "report": 0.5, "hold": 3.0}


def world(until, faults=(), seats=7, voters=(0, 1, 2), changes=1.0):
    judge = Judge()
    made = World(
        Schedule(5, seats, list(voters), until, list(faults), settings=dict(SETTINGS), changes=changes)
    )
    made.watchers.append(Watch(judge))
    made.run(until)
    return made, judge


def followers(made):
    return [process.seat.follower for process in made.processes]


def in_force(made):
    return [
        process.seat.follower.sections_in_force(process.clock()) is not None for process in made.processes
    ]


def both_ways(at, length, a, b):
    return [Fault(at, length, "cut", a, b), Fault(at, length, "cut", b, a)]


def test_a_coordinator_that_slept_past_its_lease_does_nothing_in_the_old_name():
    made, judge = world(10.0)
    first = made.coordinator()
    made._strike(Fault(10.0, 12.0, "pause", (first,)))
    made.run(21.9)
    second = made.coordinator()
    assert second not in (None, first)
    made.run(30.0)
    assert made.coordinator() == second and not judge.breaks
    assert followers(made)[first].stamp[0][1] == second


def test_all_killed_at_once_agree_anew():
    made, judge = world(30.0, [Fault(10.0, 0.5, "kill", tuple(range(7)))])
    assert made.coordinator() is not None and all(in_force(made)) and not judge.breaks


def test_voters_that_forgot_go_above_the_plan_that_others_follow():
    made, judge = world(10.0)
    before = followers(made)[5].stamp
    sections = dict(followers(made)[5].sections)
    made.schedule.changes = 0.0
    made._strike(Fault(10.0, 0.2, "kill", (0, 1, 2)))
    made.run(25.0)
    assert not judge.breaks and all(in_force(made))
    assert followers(made)[5].stamp > before
    assert sections.keys() <= followers(made)[5].sections.keys()


def test_a_side_without_a_majority_makes_no_plan_and_says_that_its_own_is_over():
    made, judge = world(30.0, both_ways(10.0, 60.0, (0, 5, 6), (1, 2, 3, 4)))
    forces = in_force(made)
    assert forces == [False, True, True, True, True, False, False]
    made.run(85.0)
    assert all(in_force(made)) and len({f.stamp[0] for f in followers(made)}) == 1 and not judge.breaks


def test_one_that_hears_all_and_is_heard_by_none_does_not_stay_coordinator():
    made, judge = world(10.0)
    first = made.coordinator()
    rest = tuple(seat for seat in range(7) if seat != first)
    made._strike(Fault(10.0, 30.0, "cut", (first,), rest))
    made.run(20.0)
    assert made.coordinator() not in (None, first) and not judge.breaks


def test_voters_restarted_faster_than_the_lease_never_make_two():
    faults = [Fault(5.0 + 0.7 * turn, 0.05, "kill", (turn % 3,)) for turn in range(60)]
    made, judge = world(60.0, faults)
    assert not judge.breaks and made.coordinator() is not None


def test_a_plan_holds_from_the_question_however_late_the_answer():
    box = Box()
    follower = PlanFollower(box, 3, RandomSource(1), report_interval_s=0.5, hold_s=3.0)
    stamp = ((4, 0, 9), 2)
    follower.on_leader_term(10.0, stamp[0])
    mark = box.sent[-1][1].number
    for piece in split_plan(stamp, encode_plan({"a": 1})):
        follower.on_piece(12.5, piece)
    assert follower.sections == {}  # pieces alone tell nothing of its time
    follower.on_answer(12.5, 0, Answer(mark, *stamp))
    assert follower.sections_in_force(12.9) == {"a": 1} and follower.sections_in_force(13.1) is None


def test_a_plan_too_long_for_its_pieces_is_turned_down_whole():
    with pytest.raises(PlanTooLarge):
        encode_plan({"a": "x" * MAX_PIECES * PIECE_BYTES})
    made, _ = world(10.0)
    process = made.processes[made.coordinator()]
    before = process.seat.plan_publisher.stamp()
    with pytest.raises(PlanTooLarge):
        process.seat.set_section(process.clock(), "long", "x" * 20000)
    assert process.seat.plan_publisher.stamp() == before


def test_a_spoilt_piece_is_asked_for_again():
    box = Box()
    follower = PlanFollower(box, 3, RandomSource(1), report_interval_s=0.5, hold_s=3.0)
    stamp = ((4, 0, 9), 2)
    follower.on_leader_term(10.0, stamp[0])
    parts = split_plan(stamp, encode_plan({"a": "x" * 300}))
    bad = split_plan(stamp, b"y" * len(parts[0].data))[0]
    bad.count, bad.checksum = parts[0].count, parts[0].checksum
    follower.on_answer(10.1, 0, Answer(box.sent[-1][1].number, *stamp))
    for piece in [bad, *parts[1:]]:
        follower.on_piece(10.2, piece)
    assert follower.assembly is None and follower.sections == {}
    for piece in parts:
        follower.on_piece(10.3, piece)
    assert follower.sections == {"a": "x" * 300}
