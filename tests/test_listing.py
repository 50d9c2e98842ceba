"""Parsing of endpoint list updates, valid and invalid."""

import asyncio
from math import inf, nan

import orjson
import pytest
from helpers import post
from test_service import play

from firwalk.net import http, listing
from firwalk.observability import log
from firwalk.policy.executor import UNKNOWN_NUMBER
from firwalk.policy.interface import EndpointState

ENTRY = {
    "instanceId": "e0",
    "hostPort": "127.0.0.1:9",
    "zone": "a",
    "machineType": "m",
    "cell": 3,
    "lifecycle": "active",
    "startedAtMs": 2000,
    "weight": 2.0,
}
EXPECTED_ENTRY = ("e0", ("127.0.0.1", 9), "a", "m", 3, EndpointState.READY, 2.0, 2.0)
UNUSABLE_FIELDS = [
    {"instanceId": None},
    {"instanceId": ""},
    {"instanceId": 5},
    {"instanceId": ["e0"]},
    {"hostPort": None},
    {"hostPort": 3000},
    {"hostPort": "nowhere"},
    {"hostPort": "127.0.0.1:0"},
]
# Field, invalid values, index in the parsed entry, and the default that is used instead.
DEFAULTED_FIELDS = [
    ("zone", [None, 5, [], {}], 2, ""),
    ("machineType", [None, 5, [], {}], 3, ""),
    ("cell", [None, "x", [], {}, inf, nan, -1, 10**30, 1.5], 4, UNKNOWN_NUMBER),
    ("lifecycle", [None, "", "away", 5, [], {}], 5, EndpointState.DRAINING),
    ("startedAtMs", [None, "x", [], inf, nan, -1.0, 1e300], 6, 0.0),
    ("weight", [None, "x", [], inf, nan, -1.0, 1e300], 7, 1.0),
]


def read(*instances, generation=1, whole=True):
    return listing.read({"generation": generation, "reset": whole, "instances": list(instances)})


def test_parse_update():
    update = listing.read(orjson.dumps({"generation": 7, "reset": True, "instances": [ENTRY]}))
    assert tuple(update) == (7, True, [EXPECTED_ENTRY])
    assert tuple(read(whole=False)) == (1, False, [])


@pytest.mark.parametrize("invalid", UNUSABLE_FIELDS)
def test_entry_without_name_or_address_is_left_out(invalid, capfd):
    assert read(ENTRY | invalid, ENTRY).entries == [EXPECTED_ENTRY]
    assert "1 of 2 entries of the list are left out" in capfd.readouterr().err


@pytest.mark.parametrize("entry", [None, 5, "e0", [], ["instanceId"]])
def test_entry_that_is_not_an_object_is_left_out(entry):
    assert read(entry, ENTRY).entries == [EXPECTED_ENTRY]


@pytest.mark.parametrize(
    "name, value, index, default",
    [(name, value, *rest) for name, values, *rest in DEFAULTED_FIELDS for value in values],
)
def test_invalid_field_gets_its_default(name, value, index, default):
    expected = list(EXPECTED_ENTRY)
    expected[index] = default
    assert read(ENTRY | {name: value}).entries == [tuple(expected)]


@pytest.mark.parametrize(
    "update",
    [
        b"",
        b"[]",
        b"5",
        b"null",
        b"{}",
        b'{"generation":1}',
        {"generation": 1, "instances": {}},
        {"generation": 1, "instances": "e0"},
        {"generation": 1, "instances": None},
        {"generation": None, "instances": []},
        {"generation": inf, "instances": []},
        {"generation": "x", "instances": []},
    ],
)
def test_malformed_update_is_rejected(update):
    with pytest.raises(http.Malformed):
        listing.read(update)


def test_invalid_entries_are_logged_in_one_line(capfd, monkeypatch):
    monkeypatch.setattr(
        log, "_external_limiter", log._RateLimiter()
    )  # lines of earlier tests count towards the shared limit
    invalid_entries = [ENTRY | {"hostPort": f"nowhere-{number}"} for number in range(3000)]
    assert read(*invalid_entries, ENTRY, *invalid_entries).entries == [EXPECTED_ENTRY]
    lines = capfd.readouterr().err.splitlines()
    assert len(lines) == 1 and "6000 of 6001 entries" in lines[0] and "nowhere-0" in lines[0]


def test_full_list_with_invalid_fields_is_applied():
    """Later entries are used, executors that are not named are removed, and the watch stays open."""

    async def scenario(world):
        await world.until(lambda: world.watches)
        await world.tell(world.entry(0) | {"zone": [], "cell": None}, world.entry(1), whole=True)
        await asyncio.sleep(0.05)
        assert {(await world.ask(post(name=f"a{number}")))[0] for number in range(4)} == {200}
        assert world.executors[1].got
        await world.tell(world.entry(1, lifecycle="leaving"))
        await asyncio.sleep(0.05)
        before = len(world.executors[1].got)
        for number in range(4):
            assert (await world.ask(post(name=f"b{number}")))[0] == 200
        assert len(world.executors[1].got) == before and len(world.watches) == 1

    play(scenario, None, None)
