"""What a node does by the plan: homes, zones that get nothing, what is turned away at once."""

import pytest
from helpers import LIMITS, OFFERINGS

from firwalk.cluster.plan_enforcement import PlanEnforcer, PriorityMix
from firwalk.cluster.zone_state import ZoneState
from firwalk.dispatcher.actions import RejectRequest
from firwalk.dispatcher.dispatcher import Dispatcher
from firwalk.policy.interface import EndpointState, Outcome

SETTINGS = {
    "offerings": OFFERINGS,
    "limits": LIMITS,
    "discovery": "ask",
    "resolution-us": 5000,
    "specifics": {"tells-start": True},
    "load-report": {"how": "on_probe"},
    "azs": ["a", "b", "c"],
}


class Follower:
    """A plan as a test says it; None: none is in force."""

    report, changed = 0.5, None

    def __init__(self):
        self.zones = None

    def now_in_force(self, now):
        return None if self.zones is None else {"zones": self.zones}


class Seat:
    def __init__(self):
        self.follower, self.evidence, self.alarms = Follower(), None, 0

    def tell_early(self):
        self.alarms += 1


class Node:
    def __init__(self, zone=0):
        self.now, self.seat = 100.0, Seat()
        self.dispatcher = Dispatcher(SETTINGS | {"az": zone}, 7, lambda: self.now, lambda: None)
        self.dispatcher.report_list(
            1,
            True,
            [
                (f"e{n}", ("127.0.0.1", n + 1), "abc"[n % 3], "m", n, EndpointState.READY, 0.0, 1.0)
                for n in range(9)
            ],
        )
        self.steering = PlanEnforcer(self.seat, self.dispatcher, zone, 3, self.now)

    def plan(self, modes, shares, away=None, panic=False, drained=()):
        self.seat.follower.zones = {
            "modes": [[int(mode), 0, int(n in drained), 0] for n, mode in enumerate(modes)],
            "shares": {str(a): {str(b): part for b, part in parts.items()} for a, parts in shares.items()},
            "away": {str(a): part for a, part in (away or {}).items()},
            "panic": panic,
        }
        self.seat.follower.changed(self.now)

    def met(self, zone, missed, tried=10):
        """What this node met there since it told last."""
        for _ in range(tried):
            self.dispatcher.health_observer.ended(zone, missed, False)
        self.seat.evidence(self.now)

    def shunned(self):
        return [
            n for n, zone in self.dispatcher.policy.zones.items() if zone.unavailable_until == float("inf")
        ]

    def took(self, count=60, offering="read"):
        """Zones of the executors that tasks were sent to, and how many were turned away at once."""
        zones, away = [], 0
        for _ in range(count):
            pending = self.dispatcher.report_request(offering, "", 2.0, 0.01, 1.0, 0.0, False)
            if pending.request.attempts:
                zones.append(int(pending.request.attempts[0].executor.ref.name[1:]) % 3)
                self.dispatcher.report_outcome(pending, 0, Outcome.COMPLETED)
            else:
                away += 1
        return zones, away


OPEN, AWAY = ZoneState.OPEN, ZoneState.UNAVAILABLE


def test_a_lost_zone_gets_nothing_from_a_node_that_does_not_reach_it_and_something_from_one_that_does():
    node = Node(zone=1)
    node.met(0, missed=True)
    node.plan((AWAY, OPEN, OPEN), {0: {1: 0.5, 2: 0.5}, 1: {1: 1.0}, 2: {2: 1.0}})
    assert node.shunned() == [0]
    node.met(0, missed=False)
    assert node.shunned() == []


def test_nobodys_own_view_overrides_an_operators_word():
    node = Node(zone=1)
    node.plan((OPEN, OPEN, OPEN), {0: {1: 1.0}, 1: {1: 1.0}, 2: {2: 1.0}}, drained=(0,))
    node.met(0, missed=False)
    assert node.shunned() == [0]


@pytest.mark.parametrize("end", ["over", "panic", "stopped"])
def test_without_a_plan_in_force_or_in_panic_all_is_near_and_nothing_is_shunned(end):
    node = Node(zone=0)
    node.met(0, missed=True)
    node.plan((AWAY, OPEN, OPEN), {0: {1: 1.0}}, {0: 1.0})
    assert node.shunned() == [0] and node.took()[1] == 60
    if end == "panic":
        node.plan((AWAY, OPEN, OPEN), {0: {0: 1.0}}, panic=True)
    elif end == "over":
        node.seat.follower.zones = None
        node.seat.follower.changed(node.now)
    else:
        node.steering.stop()
    zones, away = node.took()
    assert node.shunned() == [] and not away and zones.count(0) == 60


def test_tasks_go_where_the_plan_says_that_they_are_at_home():
    node = Node(zone=0)
    node.met(0, missed=True)
    node.plan((AWAY, OPEN, OPEN), {0: {1: 0.5, 2: 0.5}})
    zones, away = node.took(200)
    assert not away and 0 not in zones and 60 < zones.count(1) < 140


def test_what_fits_nowhere_stays_near_where_the_node_reaches_its_zone():
    node = Node(zone=0)
    node.met(0, missed=False)
    node.plan((AWAY, OPEN, OPEN), {0: {}}, {0: 1.0})
    zones, away = node.took()
    assert not away and zones.count(0) == 60


def test_a_task_that_is_turned_away_is_bounced_at_once_with_a_time_to_come_again():
    node = Node(zone=0)
    node.met(0, missed=True)
    node.plan((AWAY, OPEN, OPEN), {0: {}}, {0: 1.0})
    for offering in ("read", "put"):
        pending = node.dispatcher.report_request(offering, "", 2.0, 0.01, 1.0, 0.0, False)
        step = pending.actions.popleft()
        assert isinstance(step, RejectRequest) and not pending.request.attempts
        assert 0.5 <= step.retry_after_s <= LIMITS["max-retry-after-us"] * 1e-6


@pytest.mark.parametrize(
    "part, expected",
    [(0.0, (0.0, 0.0)), (0.25, (0.5, 0.0)), (0.5, (1.0, 0.0)), (0.75, (1.0, 0.5)), (1.0, (1.0, 1.0))],
)
def test_the_least_important_goes_first_by_its_part_of_the_work(part, expected):
    mix = PriorityMix()
    for _ in range(400):
        mix.add(1.0, 2.0)
        mix.add(4.0, 2.0)
    assert (mix.rejected_ratio(part, 1.0), mix.rejected_ratio(part, 4.0)) == pytest.approx(expected, abs=0.02)


def test_an_importance_that_has_not_come_yet_goes_only_when_all_goes():
    assert PriorityMix().rejected_ratio(0.5, 1.0) == 0.0 and PriorityMix().rejected_ratio(1.0, 1.0) == 1.0
