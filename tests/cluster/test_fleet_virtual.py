"""Zones over whole fleets of the decision module in virtual time: what is lost with the part and without."""

import pytest
from msgspec.structs import replace
from runs import fault, scenario

from firwalk.cluster import plan_enforcement, zone_health, zones
from firwalk.cluster.cluster_member import ClusterMember
from firwalk.cluster.zones import Zones
from firwalk.lab.fleet import Fleet
from firwalk.lab.fleets import SETTLE, Shown, Spell, lines, misfits, scaled, shown
from firwalk.lab.scenario import Cluster, Offering, load

LOAD = [
    Offering("read", rate=90, cost=0.1, due=0.6, expiry=1.5),
    Offering("send", "side-effecting", rate=36, cost=0.1, due=0.6, expiry=1.5, importance=4.0),
]
CUT = ("executors:c", 6.0)


def day(*faults, regions=(("a", "b", "c"),), head_room=0.9, load=1.0, **fleet):
    offerings = [replace(o, rate=o.rate * load) for o in LOAD]
    cluster = Cluster([0, 1, 2], regions=[list(names) for names in regions], head_room=head_room)
    return scenario(
        *faults,
        nodes=12,
        zones=sum(map(len, regions)),
        executors=12,
        slots=2,
        seconds=18.0,
        cluster=cluster,
        offerings=offerings,
        **fleet,
    )


CASES = {
    "no fault": day(),
    "lost whole": day(fault(4.0, "cut", "executors:c", 6.0, to="nodes")),
    "lost in part": day(fault(4.0, "cut", ["executor:2", "executor:5"], 6.0, to="nodes")),
    "answers lost": day(fault(4.0, "cut", "executors:c", 6.0, to="nodes", one_way=True)),
    "grey": day(fault(4.0, "executor-slow", "executors:c", 6.0, value=4.0)),
    "all are slow": day(fault(4.0, "executor-slow", "executors", 6.0, value=1.3)),
    "half of its answers are errors": day(fault(4.0, "executor-errors", "executors:c", 6.0, value=0.5)),
    "two zones, one after the other": day(
        fault(3.0, "cut", "executors:c", 8.0, to="nodes"),
        fault(6.0, "cut", "executors:b", 5.0, to="nodes"),
        load=0.4,
    ),
    "back cold": day(
        fault(4.0, "cut", "executors:c", 5.0, to="nodes"),
        fault(8.5, "executor-restart", "executors:c", 0.6),
        cold_for=4.0,
    ),
    "regions cut off from each other": day(
        fault(4.0, "cut", ["zone:a", "zone:b"], 6.0, to="zone:c"), regions=(("a", "b"), ("c",)), load=0.8
    ),
    "the coordinator dies with its zone": day(
        fault(4.0, "cut", "executors:a", 7.0, to="nodes"), fault(4.0, "kill", "coordinator", 3.0)
    ),
    "loss while nodes restart in turn": day(
        fault(2.0, "loss", "nodes", 14.0, to="nodes", value=0.2),
        *(fault(2.5 + 1.2 * n, "kill", f"node:{n}", 0.4) for n in range(12)),
        fault(6.0, "cut", "executors:c", 6.0, to="nodes"),
    ),
}
WORSE = 0.004  # of all importance, that a run with the part may lose beyond one without


@pytest.mark.parametrize("case", CASES)
def test_no_rule_breaks_and_hardly_more_is_lost_than_without_the_part(case):
    both = [shown((CASES[case], side, 1)) for side in ("with", "without")]
    assert [one.breaks for one in both] == [[]] * 2
    assert both[0].whole.lost() <= both[1].whole.lost() + WORSE, case


@pytest.mark.parametrize("case", ["no fault", "all are slow"])
def test_nothing_moves_and_nothing_crosses_needlessly_where_no_zone_is_worse_than_the_others(case):
    with_, without = shown((CASES[case], "with", 3)), shown((CASES[case], "without", 3))
    assert with_.moves == 0 and with_.crossed <= without.crossed + 0.01


def decided(told, side, seed):
    """What is lost of the tasks that came from two seconds after the fault until its end."""
    fleet = Fleet(told if side == "with" else replace(told, cluster=None), seed)
    fleet.run(SETTLE)
    spell = Spell()
    spell.add([job for job in fleet.jobs if 7.0 <= job.intended - SETTLE < 10.0])
    return spell.lost()


def test_with_few_tasks_for_each_of_many_nodes_most_is_kept_once_the_fleet_decided():
    """Each by itself learns only from several lost tasks of its own."""
    told, _ = load("zone-thin")
    told = scaled(replace(told, run=replace(told.run, seconds=10.0)), 100)
    lost = [decided(told, side, 1) for side in ("with", "without")]
    assert lost[0] < 0.5 * lost[1]


def follows(told, in_turn=False):
    """Seconds from the fault until the fleet decided, and from there until the last node followed."""
    fleet = Fleet(told, 1)
    if in_turn:
        for process in fleet.world.processes:
            process.seat.follower.early_report_stamp = ((2**40, 0, 0), 0)
    fleet.run(SETTLE)
    decided = next(
        at for at, _, _, what, about in fleet.world.history if what == "zone" and about["mode"] == "away"
    )
    stamp = next(
        (about["term"], about["version"])
        for at, _, _, what, about in fleet.world.history
        if what == "wrote" and at >= decided
    )
    last = max(
        at
        for at, _, _, what, about in fleet.world.history
        if what == "plan" and (about["term"], about["version"]) == stamp
    )
    return decided - SETTLE - told.faults[0].at, last - decided


def test_plain_evidence_waits_for_nobodys_turn_and_a_whole_plan_neither(monkeypatch):
    """Nodes waited for their turn to tell, the coordinator for its next look, nodes for their turn to ask."""
    told, _ = load("zone-tight")
    told = scaled(replace(told, run=replace(told.run, seconds=9.0)), 40)
    decided, spread = follows(told)
    monkeypatch.setattr(ClusterMember, "report_health_early", lambda self: None)
    later, _ = follows(told)
    monkeypatch.setattr(Zones, "alarmed", lambda self, seat: False)
    late, slow = follows(told, in_turn=True)
    assert decided < later < late and spread < 0.1 < slow


def loaded():
    """Nearly all of what is left is in use while a zone is lost: what takes its load gets slower."""
    told, _ = load("zone-cold")
    offerings = [replace(o, rate=1.1 * o.rate) for o in told.offerings]
    return scaled(replace(told, offerings=offerings, cluster=replace(told.cluster, head_room=1.0)), 40)


def kept_by(change, monkeypatch, told):
    before = shown((told, "with", 2)).fault
    change(monkeypatch)
    return before, shown((told, "with", 2)).fault


def leans_by_few_tries(patch):
    patch.setattr(zones.Zones, "_is_absorbing", lambda self, zone, failing: False)
    patch.setattr(zone_health, "MIN_POOLED_ATTEMPTS", 0)
    patch.setattr(zone_health, "POOLED_ROUNDS", 1)


def test_zones_that_take_load_do_not_lean_and_the_check_sees_ones_that_do(monkeypatch):
    before, after = kept_by(leans_by_few_tries, monkeypatch, loaded())
    assert before.lost() < 0.01 < 0.02 < after.lost()


def turned_away(told, seed):
    """Tasks that were bounced while the zone was away, by importance, and how many of each came."""
    fleet = Fleet(told, seed)
    fleet.run(SETTLE)
    spell = [job for job in fleet.jobs if 6.5 <= job.intended - SETTLE < 9.5]
    return [
        (
            sum(job.answers[0][1] == "bounced" for job in spell if job.offering.importance == importance),
            sum(job.offering.importance == importance for job in spell),
        )
        for importance in (1.0, 4.0)
    ]


def test_what_fits_nowhere_is_turned_away_the_least_important_first_and_the_check_sees_chance(monkeypatch):
    told = day(fault(4.0, "cut", "executors:c", 7.0, to="nodes"), load=1.3)
    (low, lows), (high, highs) = turned_away(told, 1)
    assert low / lows > 0.1 and high / highs < 0.02
    monkeypatch.setattr(plan_enforcement.PriorityMix, "rejected_ratio", lambda self, part, importance: part)
    (low, lows), (high, highs) = turned_away(told, 1)
    assert high / highs >= 0.02


def test_a_run_repeats_exactly():
    assert shown((CASES["lost whole"], "with", 5)) == shown((CASES["lost whole"], "with", 5))


def test_the_emulation_sees_a_second_effect_and_a_missing_answer():
    fleet = Fleet(day(), 1)
    fleet.run(SETTLE)
    assert fleet.breaks == []
    sent = next(job for job in fleet.jobs if job.offering.effect == "side-effecting")
    sent.effects += 1
    fleet.jobs[0].answers.clear()
    fleet._check()
    assert len(fleet.breaks) == 2


def test_what_virtual_time_does_not_have_is_said():
    told = replace(day(fault(1.0, "burn", "node:0", 1.0)), cluster=None)
    assert [line.split(":")[0] for line in misfits(told)] == ["faults[0].kind", "cluster.regions"]


def test_the_lines_tell_what_is_kept():
    full, half = Spell(100, 100, 100.0, 90.0), Spell(100, 100, 100.0, 80.0)
    runs = [
        Shown(1, side, spell, spell, spell, 0.1, 0.8, 2, 1.0, [])
        for side, spell in (("with", full), ("without", half))
    ]
    assert "of what is lost without, 0.50 is kept" in lines(runs, 12)[1]
