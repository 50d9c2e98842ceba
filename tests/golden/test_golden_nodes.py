"""Bytes between nodes, as they are on the wire: a change to any of them breaks a fleet of mixed versions."""

from __future__ import annotations

import msgspec
import pytest

from firwalk.cluster import messages, node_id_ranges, plan, quotas, rollout, zone_state, zones
from firwalk.config.rollout_file import RolloutSpec
from firwalk.dispatcher import failure_gossip

FLEET, SEAT, LIFE, INCARNATION = 0x2144DF1C, 7, 0xDEADBEEF, 3
HEAD = b"\x01!D\xdf\x1c\x00\x07\xde\xad\xbe\xef\x00\x00\x00\x03"
TERM = (5, 2, 1234567890)
V1 = 1768082613  # CRC of the release's name

BODIES = [
    (messages.Ping(42), b"\x94\x01*\x93\x00\x00\x00\x90"),
    (
        messages.Ping(2**48, TERM, [(9, 2, 77, 1), (65535, 2**48, 2**32 - 1, 3)]),
        (
            b"\x94\x01\xcf\x00\x01\x00\x00\x00\x00\x00\x00\x93\x05\x02\xceI\x96\x02\xd2\x92\x94\t"
            b"\x02M\x01\x94\xcd\xff\xff\xcf\x00\x01\x00\x00\x00\x00\x00\x00\xce\xff\xff\xff\xff\x03"
        ),
    ),
    (messages.Ack(42), b"\x94\x02*\x93\x00\x00\x00\x90"),
    (
        messages.Ack(300, TERM, [(0, 0, 0, 0)]),
        b"\x94\x02\xcd\x01,\x93\x05\x02\xceI\x96\x02\xd2\x91\x94\x00\x00\x00\x00",
    ),
    (messages.PingRequest(1, 65535), b"\x94\x03\x01\xcd\xff\xff\x90"),
    (messages.PingRequest(70000, 12, [(9, 2, 77, 2)]), b"\x94\x03\xce\x00\x01\x11p\x0c\x91\x94\t\x02M\x02"),
    (messages.Nack(42), b"\x92\x04*"),
    (messages.Prepare(TERM), b"\x92\x05\x93\x05\x02\xceI\x96\x02\xd2"),
    (messages.Promise(TERM), b"\x93\x06\x93\x05\x02\xceI\x96\x02\xd2\xc0"),
    (messages.Promise(TERM, (4, 0, 17)), b"\x93\x06\x93\x05\x02\xceI\x96\x02\xd2\x93\x04\x00\x11"),
    (
        messages.Refuse(TERM, (6, 65535, 2**32 - 1)),
        b"\x93\x07\x93\x05\x02\xceI\x96\x02\xd2\x93\x06\xcd\xff\xff\xce\xff\xff\xff\xff",
    ),
    (
        messages.Propose(TERM, 3000, LIFE),
        b"\x94\x08\x93\x05\x02\xceI\x96\x02\xd2\xcd\x0b\xb8\xce\xde\xad\xbe\xef",
    ),
    (messages.Accept(TERM), b"\x92\t\x93\x05\x02\xceI\x96\x02\xd2"),
    (messages.Release(TERM), b"\x92\n\x93\x05\x02\xceI\x96\x02\xd2"),
    (messages.Report(99, TERM, 12), b"\x97\x0bc\x93\x05\x02\xceI\x96\x02\xd2\x0c\x93\x00\x00\x00\x00\x00"),
    (
        messages.Report(99, TERM, 12, (6, 1, 3), 13, 2**62 - 1),
        (b"\x97\x0bc\x93\x05\x02\xceI\x96\x02\xd2\x0c\x93\x06\x01\x03\r\xcf?\xff\xff\xff\xff\xff\xff\xff"),
    ),
    (messages.Answer(99, TERM, 12), b"\x94\x0cc\x93\x05\x02\xceI\x96\x02\xd2\x0c"),
    (
        messages.Piece(TERM, 12, 1, 62, 0x89ABCDEF, b'{"a":\x00\xff}'),
        b'\x97\r\x93\x05\x02\xceI\x96\x02\xd2\x0c\x01>\xce\x89\xab\xcd\xef\xc4\x08{"a":\x00\xff}',
    ),
    (messages.Fetch(TERM, 12), b"\x93\x0e\x93\x05\x02\xceI\x96\x02\xd2\x0c"),
    (
        messages.HealthObservations(1, 2500, [(0, 10, 1, 0, 35, 2**32 - 1), (65535, 0, 0, 0, 0, 0)]),
        (
            b"\x95\x0f\x01\xcd\t\xc4\x92\x96\x00\n\x01\x00#\xce\xff\xff\xff\xff\x96\xcd\xff\xff\x00"
            b"\x00\x00\x00\x00\xc2"
        ),
    ),
    (messages.HealthObservations(1, 0, [], True), b"\x95\x0f\x01\x00\x90\xc3"),
    (messages.OperatorCommand(5, "drain", 2), b"\x94\x10\x05\xa5drain\x02"),
    (messages.CommandResult(5, True, ""), b"\x94\x11\x05\xc3\xa0"),
    (
        messages.CommandResult(5, False, "zone 2 is the last one \u2013 no"),
        b"\x94\x11\x05\xc2\xbdzone 2 is the last one \xe2\x80\x93 no",
    ),
    (
        messages.QuotaRequest(8, LIFE, 0, [(0, 1500000, 0, 2**48), (65535, 0, 3, 0)]),
        (
            b"\x97\x12\x08\xce\xde\xad\xbe\xef\x00\x92\x94\x00\xce\x00\x16\xe3`\x00\xcf\x00\x01\x00"
            b"\x00\x00\x00\x00\x00\x94\xcd\xff\xff\x00\x03\x00\x00\x00"
        ),
    ),
    (messages.QuotaRequest(8, LIFE, 17, [], 7, 9), b"\x97\x12\x08\xce\xde\xad\xbe\xef\x11\x90\x07\t"),
    (
        messages.QuotaGrant(8, LIFE, 2000, [(0, 1500000), (3, 0)]),
        b"\x95\x13\x08\xce\xde\xad\xbe\xef\xcd\x07\xd0\x92\x92\x00\xce\x00\x16\xe3`\x92\x03\x00",
    ),
    (
        messages.RolloutMetrics(2, 11, 22, 1, 1234, [(LIFE, 100, 1, 2, 3, 4, 105, 98, 2**48, 2**40)]),
        (
            b"\x98\x14\x02\x0b\x16\x01\xcd\x04\xd2\x91\x9a\xce\xde\xad\xbe\xefd\x01\x02\x03\x04ib"
            b"\xcf\x00\x01\x00\x00\x00\x00\x00\x00\xcf\x00\x00\x01\x00\x00\x00\x00\x00\x00"
        ),
    ),
    (messages.RolloutMetrics(2, 11, 22, 1, 65535, [], 4), b"\x98\x14\x02\x0b\x16\x01\xcd\xff\xff\x90\x04"),
    (messages.RolloutCommand(6, "dry"), b"\x96\x15\x06\xa3dry\xa0\x00\xa0"),
    (
        messages.RolloutCommand(6, "start", "wider-window", LIFE, "by hand"),
        b"\x96\x15\x06\xa5start\xacwider-window\xce\xde\xad\xbe\xef\xa7by hand",
    ),
]

SECTIONS = {
    "zones": {"1": {"mode": "open", "keeps": 0.25}, "0": {"mode": "drained", "keeps": 0}},
    "budgets": {"version": 3, "parts": [1.5, None, True]},
    "stages": {"seats": "0-4,7", "why": "na\u00efve, and long enough for two pieces"},
}
PLAN = (
    b'{"budgets":{"parts":[1.5,null,true],"version":3},"stages":{"seats":"0-4,7","why":"na'
    b'\xc3\xafve, and long enough for two pieces"},"zones":{"0":{"keeps":0,"mode":"drained"'
    b'},"1":{"keeps":0.25,"mode":"open"}}}'
)


def test_version_and_head():
    """The head: version, fleet mark, seat, life and incarnation, big endian, 15 bytes."""
    assert messages.cluster_checksum("spruce") == 631394588
    assert messages.HEADER.pack(messages.VERSION, FLEET, SEAT, LIFE, INCARNATION) == HEAD


@pytest.mark.parametrize(("message", "body"), BODIES)
def test_message_is_written(message, body):
    """A message becomes the head and exactly these bytes."""
    assert messages.encode(FLEET, SEAT, LIFE, INCARNATION, message) == HEAD + body


@pytest.mark.parametrize(("message", "body"), BODIES)
def test_message_is_read(message, body):
    """These bytes become an equal message again."""
    assert messages.decode(FLEET, HEAD + body) == (SEAT, LIFE, INCARNATION, message)


def test_every_kind_has_a_sample():
    """A new message kind needs a sample here."""
    assert {type(message) for message, _ in BODIES} == set(messages.Message.__args__)


def test_fields_of_newer_versions_are_passed_over():
    """An array that is longer than the known fields is read up to these."""
    assert messages.decode(FLEET, HEAD + b"\x93\x04\x2a\xa3new") == (
        SEAT,
        LIFE,
        INCARNATION,
        messages.Nack(42),
    )


def test_missing_last_fields_take_their_defaults():
    """An array of an older version lacks the fields added since."""
    old = HEAD + b"\x94\x0f\x01\x02\x90"
    assert messages.decode(FLEET, old)[3] == messages.HealthObservations(1, 2, [], False)


@pytest.mark.parametrize(
    ("data", "word"),
    [
        (b"\x01!D\xdf", "cut short"),
        (b"\x02" + HEAD[1:] + b"\x92\x04\x2a", "another version"),
        (b"\x01\x00" + HEAD[2:] + b"\x92\x04\x2a", "another fleet"),
        (HEAD + b"\x92\x63\x2a", "garbage"),
        (HEAD + bytes(242), "too long"),
    ],
)
def test_unreadable_bytes(data, word):
    """What is no message of this fleet and version is refused with a counted word."""
    with pytest.raises(messages.MalformedMessage, match=f"^{word}$"):
        messages.decode(FLEET, data)


def test_news_over_the_limit_are_cut():
    """A datagram has at most 256 bytes: the last news that do not fit are left out."""
    news = [(60000 + number, 2**40, 2**32 - 1, 3) for number in range(16)]
    data = messages.encode(FLEET, SEAT, LIFE, INCARNATION, messages.Ping(1, TERM, news))
    assert data == (
        b"\x01!D\xdf\x1c\x00\x07\xde\xad\xbe\xef\x00\x00\x00\x03\x94\x01\x01\x93\x05\x02\xceI"
        b"\x96\x02\xd2\x9b\x94\xcd\xea`\xcf\x00\x00\x01\x00\x00\x00\x00\x00\xce\xff\xff\xff\xff"
        b"\x03\x94\xcd\xeaa\xcf\x00\x00\x01\x00\x00\x00\x00\x00\xce\xff\xff\xff\xff\x03\x94\xcd"
        b"\xeab\xcf\x00\x00\x01\x00\x00\x00\x00\x00\xce\xff\xff\xff\xff\x03\x94\xcd\xeac\xcf"
        b"\x00\x00\x01\x00\x00\x00\x00\x00\xce\xff\xff\xff\xff\x03\x94\xcd\xead\xcf\x00\x00\x01"
        b"\x00\x00\x00\x00\x00\xce\xff\xff\xff\xff\x03\x94\xcd\xeae\xcf\x00\x00\x01\x00\x00\x00"
        b"\x00\x00\xce\xff\xff\xff\xff\x03\x94\xcd\xeaf\xcf\x00\x00\x01\x00\x00\x00\x00\x00\xce"
        b"\xff\xff\xff\xff\x03\x94\xcd\xeag\xcf\x00\x00\x01\x00\x00\x00\x00\x00\xce\xff\xff\xff"
        b"\xff\x03\x94\xcd\xeah\xcf\x00\x00\x01\x00\x00\x00\x00\x00\xce\xff\xff\xff\xff\x03\x94"
        b"\xcd\xeai\xcf\x00\x00\x01\x00\x00\x00\x00\x00\xce\xff\xff\xff\xff\x03\x94\xcd\xeaj"
        b"\xcf\x00\x00\x01\x00\x00\x00\x00\x00\xce\xff\xff\xff\xff\x03"
    )


def test_plan_is_written():
    """Sections are JSON without blanks, keys in order at each level."""
    assert plan.encode_plan(SECTIONS) == PLAN


def test_plan_in_pieces():
    """A plan is cut at 176 bytes; each piece has the term, the version, its number, their count, the CRC."""
    assert plan.split_plan((TERM, 9), PLAN) == [
        messages.Piece(TERM, 9, 0, 2, 1455944189, PLAN[:176]),
        messages.Piece(TERM, 9, 1, 2, 1455944189, PLAN[176:]),
    ]


def test_empty_plan_is_one_piece():
    """No bytes at all are one piece of none, with the CRC 0."""
    assert plan.split_plan((TERM, 1), b"") == [messages.Piece(TERM, 1, 0, 1, 0, b"")]


def test_plan_put_together():
    """Pieces in any order make the plan; the mask has a bit for each that is there."""
    first, last = plan.split_plan((TERM, 9), PLAN)
    parts = plan.PlanAssembly(last)
    parts.add(last)
    assert (parts.mask(), parts.assemble()) == (0b10, None)
    parts.add(first)
    assert (parts.mask(), parts.assemble()) == (0b11, PLAN)


@pytest.mark.parametrize(
    ("seats", "text"),
    [([], ""), ([7], "7"), ([0, 1, 2, 3, 4, 7, 9, 10, 11], "0-4,7,9-11"), ([65534, 65535], "65534-65535")],
)
def test_spans(seats, text):
    """Seats in few bytes, and the reverse."""
    assert node_id_ranges.encode_ranges(seats) == text
    assert node_id_ranges.decode_ranges(text) == seats


def test_spans_are_sorted():
    """The order of the seats does not matter."""
    assert node_id_ranges.encode_ranges([9, 2, 1]) == "1-2,9"


@pytest.mark.parametrize(
    ("name", "mark"),
    [
        (b"", b"\x00\x00\x00\x00"),
        (b"executor-17", b"]\xc8b\x97"),
        ("m\u00fcller".encode(), b"\xa3\xfa\x8eY"),
    ],
)
def test_mark_of_an_executor(name, mark):
    """A warning is the executor's mark alone: the CRC of its name, four bytes, big endian."""
    assert failure_gossip.executor_checksum(name) == mark
    marks = failure_gossip.ExecutorIndex()
    marks.add(name, "the executor")
    assert marks.find(mark) == "the executor"
    assert marks.find(mark[::-1] + b"!") is None


def test_section_of_zones():
    """Shares and parts turned away by zone, then mode, step, drained or filed, and losses of each."""
    whole = zones.Zones(zones.ZonePolicy((0, 0, 1), drained=(2,)))
    whole.all[1].state, whole.all[1].step, whole.all[1].losses = zone_state.ZoneState.RECOVERING, 2, 3
    whole.all[2].is_drained = whole.all[2].is_drained_by_file = True
    whole.division = zones.Division({0: {0: 0.75, 1: 1 / 3}, 1: {1: 0.00001}}, {0: 0.0, 1: 0.12345678}, True)
    text = (
        b'{"away":{"1":0.1235},"modes":[[0,0,0,0],[3,2,0,3],[0,0,3,0]],"panic":true,"shares":{"'
        b'0":{"0":0.75,"1":0.3333},"1":{}}}'
    )
    assert plan.encode_plan(whole.section()) == text
    read = zones.Zones(zones.ZonePolicy((0, 0, 1)))
    read.resume(100.0, msgspec.json.decode(text))
    assert [
        (zone.state, zone.step, zone.is_drained, zone.is_drained_by_file, zone.losses) for zone in read.all
    ] == [
        (zone_state.ZoneState.OPEN, 0, False, False, 0),
        (zone_state.ZoneState.RECOVERING, 2, False, False, 3),
        (zone_state.ZoneState.OPEN, 0, True, True, 0),
    ]


def test_section_of_budgets():
    """Version and checksum of the contracts in force, and of those that a change brings."""
    old, new = quotas.ContractSet(3, 0xDEADBEEF, (), ()), quotas.ContractSet(4, 17, (), ())
    assert plan.encode_plan(quotas.section(old)) == b'{"check":3735928559,"version":3}'
    text = b'{"beside":[4,17],"check":3735928559,"version":3}'
    assert plan.encode_plan(quotas.section(old, new)) == text
    told = msgspec.json.decode(text)
    assert (quotas.in_force(told), quotas.beside(told)) == ((3, 0xDEADBEEF), (4, 17))


def test_section_of_stages():
    """A change as its start writes it, and as the next coordinator goes on from it."""
    change = RolloutSpec(before="v1", release="v2", stages=["one", "all"])
    roll = rollout.Rollout(rollout.RolloutPolicy(), [0], 3, lambda name: (change, 17, []))
    for seat in range(3):
        figures = messages.RolloutMetrics(0, V1, 0, seat % 2, 900, [])
        roll.on_metrics(10.0, seat, 1, figures)
    assert roll.start(10.0, "to-v2", 17, [0, 1, 2]) == ""
    text = (
        b'{"stages":{"before":"v1","by":"","check":17,"kind":"release","name":"to-v2","new":"",'
        b'"number":1,"of":2,"report":[],"stage":0,"state":"going","what":"v2","why":"","zones":'
        b'"ABA"}}'
    )
    assert plan.encode_plan({"stages": roll.section}) == text
    heir = rollout.Rollout(rollout.RolloutPolicy(), [0], 3, lambda name: (change, 17, []))
    heir.restore(20.0, msgspec.json.decode(text)["stages"])
    assert heir.section == roll.section
