"""Budgets between real processes: parts never sum to more than the whole, whatever dies, sleeps or is cut."""

import asyncio
import subprocess
import sys

import pytest
from msgspec.structs import replace
from runs import fault, play, scenario, sound

from firwalk.lab.scenario import Cluster, Offering, Team

CLUSTER = Cluster([0, 1, 2], length=0.8, period=0.3, answer=0.1, report=0.2, hold=1.2, part_length=2.0)
TEAMS = [Team("north", 3.0), Team("west", 1.0, burst=0.5)]
LOAD = [
    Offering("north-read", team="north", rate=20, cost=0.05),
    Offering("north-send", "side-effecting", team="north", rate=10, cost=0.05),
    Offering("west-flood", team="west", rate=150, cost=0.05),
]


def day(*faults, seconds=9.0, teams=TEAMS):
    return replace(
        scenario(*faults, nodes=5, executors=6, seconds=seconds, cluster=CLUSTER, offerings=LOAD), teams=teams
    )


CASES = {
    "coordinator killed": day(fault(4.0, "kill", "coordinator", 0.2), fault(6.5, "kill", "coordinator", 0.2)),
    "holders asleep past their leases": day(fault(4.0, "stop", ["node:3", "node:4"], 2.6)),
    "demand on both sides of a cut": day(
        fault(4.0, "cut", ["node:0", "node:3"], 3.0, to=["node:1", "node:2", "node:4"])
    ),
    "one comes and goes": day(*(fault(3.0 + n, "kill", "node:4", 0.3) for n in range(5))),
    "all restarted in turn": day(*(fault(3.0 + 0.9 * n, "term", f"node:{n}", 0.1) for n in range(5))),
    "most killed at once": day(fault(4.0, "kill", [f"node:{n}" for n in (0, 1, 3, 4)], 0.2), seconds=10.0),
    "two processes, one part": day(
        fault(4.0, "upgrade", "node:3", 0.4), fault(6.0, "upgrade", "node:0", 0.4)
    ),
    "another contract while tasks run": day(fault(5.0, "contracts", "nodes", value=0.5), seconds=10.0),
    "clocks jump and run off": day(
        fault(3.0, "clock", "node:3", value=500.0),
        fault(3.0, "drift", ["node:0", "node:1"], value=0.009),
        fault(4.5, "kill", "coordinator", 0.2),
    ),
    "datagrams lost": day(fault(2.0, "loss", "nodes", 7.0, to="nodes", value=0.3)),
}
# Clients that say ten times too little, others ten times too much, and tasks of a team without a contract.
CASES["hints wrong by ten times, and a team with no contract"] = replace(
    day(fault(4.0, "kill", "node:3", 0.2)),
    offerings=[
        Offering("north-read", team="north", rate=20, cost=0.05, hint=10.0),
        Offering("north-send", "side-effecting", team="north", rate=10, cost=0.05, hint=10.0),
        Offering("west-flood", team="west", rate=150, cost=0.05, hint=0.1),
        Offering("walk-in", rate=20, cost=0.02),
    ],
)
# What holds of a division at its messages: the coordinator dies right behind one of each kind.
CASES |= {
    f"killed behind its {message} {count}": day(
        replace(fault(4.0, "kill-on", "coordinator", 0.2, value=count), message=message), seconds=9.0
    )
    for message, count in (("grant", 1), ("grant", 5), ("piece", 2), ("propose", 2), ("answer", 3))
}
OVER = 1.02


@pytest.fixture(scope="module")
def played():
    return dict(zip(CASES, play(*[(told, None) for told in CASES.values()], at_once=4), strict=True))


@pytest.mark.parametrize("case", CASES)
def test_nothing_breaks_and_nobody_is_over_budget(played, case):
    report, _ = played[case]
    assert sound(report) == []
    for name, told in report["budgets"].items():
        assert told["ran"] <= OVER * told["budget"] and told["most_out"] <= 1.0, (case, name, told)


def test_parts_are_leased_and_spent_and_the_flood_is_turned_away_at_the_door(played):
    report, rig = played["another contract while tasks run"]
    assert 0.0 < report["budgets"]["west"]["most_out"] <= 1.0 and report["budgets"]["west"]["ran"] > 2.0
    assert report["service"]["west-flood"]["bounced"] > 500
    assert not sum(told["abandoned"] for told in report["service"].values())


def test_who_has_no_contract_is_served_and_wrong_hints_shut_nobody_out(played):
    """How soon a team's hints are corrected depends on when the fleet has its first coordinator."""
    report, _ = played["hints wrong by ten times, and a team with no contract"]
    walk_in = report["service"]["walk-in"]
    assert walk_in["in_time"] > 0.9 * walk_in["tasks"]
    assert report["service"]["west-flood"]["bounced"] > 500 and report["budgets"]["north"]["ran"] > 0.5


def test_all_follow_other_contracts_at_one_moment_of_the_plan(played):
    """Each node changes over once, and all to the same."""
    _, rig = played["another contract while tasks run"]
    for node in rig.nodes:
        checks = [event["check"] for event in node.events if event["event"] == "follows_contracts"]
        assert len(checks) == 2 and checks[0] != checks[1]
    assert (
        len(
            {
                tuple(event["check"] for event in node.events if event["event"] == "follows_contracts")
                for node in rig.nodes
            }
        )
        == 1
    )


def test_operators_see_what_a_node_has_and_spent():
    said = []

    async def act(rig):
        while not rig.began:
            await asyncio.sleep(0.05)
        await asyncio.sleep(5.0)
        at = rig.nodes[3].config["management"]
        said.append(
            await asyncio.to_thread(
                subprocess.run,
                [sys.executable, "-m", "firwalk.cli.main", "contracts", "show", "--at", at],
                capture_output=True,
                text=True,
                timeout=20,
            )
        )

    [(report, _)] = play((day(seconds=7.0), None), act=act)
    assert sound(report) == [] and said[0].returncode == 0
    assert "contracts 1" in said[0].stdout and "west part=" in said[0].stdout


def test_what_is_guaranteed_is_served_where_budgets_are_oversold():
    """Two teams of one budget ask for half as much again as the executors bear; one is guaranteed all of its
    own, the other a tenth. The same contracts without guarantees serve both alike."""
    teams = [Team("north", 3.0, burst=3.0, guaranteed=3.0), Team("west", 3.0, burst=3.0, guaranteed=0.3)]
    load = [
        Offering(f"{name}-read", team=name, rate=15, cost=0.2, due=1.0, expiry=2.0)
        for name in ("north", "west")
    ]
    told = replace(
        scenario(nodes=3, executors=4, slots=1, seconds=14.0, cluster=CLUSTER, offerings=load), teams=teams
    )
    even = replace(told, teams=[replace(team, guaranteed=0.0) for team in teams])
    (sure, _), (alike, _) = play((told, None), (even, None))
    assert sound(sure) == [] and sound(alike) == []

    def part(report, name):
        return report["service"][f"{name}-read"]["in_time"] / report["service"][f"{name}-read"]["tasks"]

    assert part(sure, "north") - part(sure, "west") > 0.1 + abs(part(alike, "north") - part(alike, "west"))


def test_a_double_whose_parts_outlive_their_lease_is_found_out():
    cut = fault(4.0, "cut", ["node:0", "node:3"], 4.5, to=["node:1", "node:2", "node:4"])
    [(report, _)] = play((day(cut), "part_outlives_its_lease"))
    assert report["invariants"]["I2"]
