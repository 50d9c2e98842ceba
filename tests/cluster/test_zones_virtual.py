"""Zones over whole fleets in virtual time: how soon all follow, who falls back, one plan after a cut."""

import pytest

from firwalk.cluster.cluster_member import ClusterMember
from firwalk.cluster.messages import HealthObservations
from firwalk.cluster.zone_plan import decode_routing
from firwalk.cluster.zones import ZonePolicy
from firwalk.lab.invariants import Judge
from firwalk.lab.schedules import Watch
from firwalk.lab.virtual import Fault, Schedule, World

ZONES = 3


class Model:
    """What nodes meet: a zone that is lost misses all that is tried there."""

    def __init__(self):
        self.lost = ()

    def make(self, host, seat, seats, generation, now, **named):
        made = ClusterMember(host, seat, seats, generation, now, zones=ZonePolicy((0,) * ZONES), **named)
        made.observe_health = lambda now: HealthObservations(
            seat % ZONES,
            1000,
            [(zone, 10, 10 if zone in self.lost else 0, 0, 10, seats * 1000) for zone in range(ZONES)],
        )
        return made


def fleet(seats, until, faults=()):
    model, judge = Model(), Judge()
    step = max(seats // 3, 1)
    schedule = Schedule(3, seats, [0, step + 1, 2 * step + 2], until, list(faults))
    world = World(schedule, model.make)
    world.watchers.append(Watch(judge))
    world.run(until)
    return world, model, judge


def keeps(world, zone, seat):
    """Which part of its zone's tasks a node's plan in force keeps there."""
    process = world.processes[seat]
    sections = process.seat.follower.sections_in_force(process.clock()) or {}
    parts, _ = decode_routing(sections.get("zones"), zone, ZONES)
    return sum(
        upto - below
        for (upto, other), below in zip(parts, [0.0, *(upto for upto, _ in parts)], strict=False)
        if other == zone
    )


def followers(world, zone, part):
    return sum(keeps(world, zone, seat) == pytest.approx(part) for seat in range(len(world.processes)))


@pytest.mark.parametrize("seats", [12, 40, 200])
def test_all_follow_within_a_few_reports_of_a_loss(seats):
    world, model, judge = fleet(seats, 20.0)
    assert followers(world, 1, 1.0) == seats
    model.lost = (1,)
    world.run(20.0 + 6 * 0.5)
    assert followers(world, 1, 0.0) == seats and not judge.breaks


def test_a_side_without_a_majority_goes_back_to_near_and_meets_the_others_again():
    minority = tuple(n for n in range(12) if n % 3 == 2)
    rest = tuple(n for n in range(12) if n % 3 != 2)
    world, model, judge = fleet(12, 20.0)
    model.lost = (1,)
    world.run(24.0)
    for a, b in ((minority, rest), (rest, minority)):
        world._strike(Fault(24.0, 12.0, "cut", a, b))
    world.run(34.0)
    assert [keeps(world, 1, seat) for seat in minority] == [1.0] * len(minority)
    assert [keeps(world, 1, seat) for seat in rest] == [0.0] * len(rest)
    world.run(60.0)
    assert followers(world, 1, 0.0) == 12 and not judge.breaks


def test_a_new_coordinator_and_a_fleet_that_forgot_both_find_the_zone_lost():
    world, model, judge = fleet(12, 20.0)
    model.lost = (1,)
    world.run(24.0)
    world._strike(Fault(24.0, 5.0, "kill", (world.coordinator(),)))
    world.run(32.0)
    assert followers(world, 1, 0.0) == 12
    world._strike(Fault(32.0, 0.2, "kill", tuple(range(12))))
    world.run(45.0)
    assert followers(world, 1, 0.0) == 12 and not judge.breaks


@pytest.mark.parametrize("period", [1.0, 3.0, 10.0])
def test_a_zone_that_goes_and_comes_moves_a_bounded_number_of_times(period):
    world, model, judge = fleet(12, 20.0)
    while world.now < 140.0:
        model.lost = () if model.lost else (1,)
        world.run(world.now + period)
    moves = [at for at, _, _, what, about in world.history if what == "zone" and about["number"] == 1]
    assert 0 < len(moves) <= 24 and not judge.breaks
