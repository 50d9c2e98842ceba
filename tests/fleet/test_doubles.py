"""The referee finds each faulty double out, and accuses no sound program."""

import doubles
import pytest
from runs import fault, play, scenario, sound

from firwalk.lab.scenario import Cluster, Offering

STEPS = [
    fault(1.0, "executor-drain", "executor:0", lasts=2.0),
    fault(1.2, "executor-restart", "executor:1", lasts=0.2),
]
VOTERS = [
    fault(1.5, "kill", "voters", lasts=0.0),
    fault(2.6, "cut", ["node:0"], 1.5, to="nodes"),
    fault(3.0, "kill", ["node:1"], lasts=0.02),
    fault(4.3, "stop", ["node:0", "node:1"], lasts=1.4),
]
RULE = {
    "forgets_an_answer": "one final answer",
    "answers_late": "one final answer",
    "answers_with_anothers_result": "one final answer",
    "repeats_what_must_not_repeat": "no effect twice",
    "does_not_hear_of_drains": "nothing new to one that drains",
    "pushes_cold_ones_over": "cold ones not pushed over",
    "voter_grants_at_once_after_its_start": "I1",
    "holder_acts_after_its_end": "I1",
    "minority_is_enough": "I1",
    "gives_a_zone_more_than_it_bears": "I4",
    "plan_applied_by_halves": "I3",
    "follower_goes_back": "I3",
}


# The lease outlives what two processes need to begin anew on a machine that is busy.
FORGET = [fault(3.5, "cut", "coordinator", 5.0, to="other-nodes"), fault(3.6, "kill", "other-voters")]
LONG = Cluster([0, 1, 2], length=6.0, period=0.3, answer=0.1, report=0.2, hold=7.0)
WOKEN = [fault(2.0, "kill", ["node:3", "node:4"], 0.3), fault(4.0, "stop", "coordinator", 3.0)]
HEAVY = [Offering("read", rate=60, cost=0.08, due=4.0, expiry=5.0)]


ZONED = Cluster(
    [0, 1, 2], length=0.8, period=0.3, answer=0.1, report=0.25, hold=1.2, regions=[["a", "b", "c"]]
)
BUSY = [Offering("read", rate=130, cost=0.05, due=1.0, expiry=2.0)]


def given(name):
    if name == "gives_a_zone_more_than_it_bears":
        return scenario(
            fault(3.0, "cut", "executors:c", 3.0, to="nodes"),
            nodes=6,
            zones=3,
            executors=9,
            seconds=7.0,
            cluster=ZONED,
            offerings=BUSY,
            slots=1,
        )
    if name == "voter_grants_at_once_after_its_start":
        return scenario(*FORGET, seconds=8.5, cluster=LONG)
    if name in ("holder_acts_after_its_end", "follower_goes_back"):
        return scenario(*WOKEN, seconds=9.0)
    if RULE[name].startswith("I"):
        return scenario(*VOTERS, seconds=6.5)
    if name == "pushes_cold_ones_over":
        return scenario(
            *STEPS,
            nodes=3,
            executors=4,
            seconds=5,
            cluster=None,
            offerings=HEAVY,
            cold_for=20.0,
            cold_from=0.1,
        )
    return scenario(*STEPS, nodes=3, executors=4, seconds=4, cluster=None)


@pytest.fixture(scope="module")
def found():
    names = [double.__name__ for double in doubles.ALL]
    reports = play(*[(given(name), name) for name in names])
    return {name: report for name, (report, _) in zip(names, reports, strict=True)}


@pytest.mark.parametrize("double", doubles.ALL, ids=lambda double: double.__name__)
def test_each_double_is_found_out(found, double):
    report = found[double.__name__]
    broken = report["rules"] | report["invariants"]
    assert broken[RULE[double.__name__]], broken
    assert report["breaks"] and report["breaks"][0]["text"]


def test_the_same_faults_break_nothing_in_the_program_itself():
    runs = play(
        *[
            (given(name), None)
            for name in (
                "answers_late",
                "pushes_cold_ones_over",
                "minority_is_enough",
                "holder_acts_after_its_end",
                "gives_a_zone_more_than_it_bears",
                "voter_grants_at_once_after_its_start",
            )
        ]
    )
    assert [sound(report) for report, _ in runs] == [[]] * 6
