"""What is kept in files, as this version writes and reads it; and files as older versions wrote them."""

from __future__ import annotations

import asyncio
import re
from pathlib import Path
from types import SimpleNamespace

import msgspec
import pytest
from golden_settings import BASE_SETTINGS

from firwalk.agent import agent_config, host_processes, state_file, supervisor_state
from firwalk.broker import contracts
from firwalk.config import operations, rollout_file, validation
from firwalk.dispatcher.dispatcher import Dispatcher
from firwalk.dispatcher.maintenance import Maintenance
from firwalk.lab.soak import records
from firwalk.net import cluster, control_channel
from firwalk.observability import events
from firwalk.observability.monitor import Monitor, Rule
from firwalk.policy.interface import EndpointState, Outcome

DEPLOY = Path(__file__).parents[2] / "deploy"
SETTINGS = BASE_SETTINGS | {
    "limits": {"most-assignments": 5, "probing": True, "connect-timeout-us": 250000},
}
OUT = b'{"out":{"e1":1000.5},"back":{"e2":1001.25},"version":1}'
KEPT = supervisor_state.SupervisorState(
    "v2",
    "s1",
    "v1",
    {3: "it hangs"},
    [3],
    supervisor_state.ChildProcess("v2", 1, 101, 4, 10.5, 11.25, 12.0),
    None,
    supervisor_state.ChildProcess("v1", 0, 100, terminated_at=12.5, is_killed=True),
)
AGENT = (
    b'{"kept":{"release":"v2","tag":"s1","before":"v1","failed":{"3":"it hangs"},"told":[3]'
    b',"serving":{"release":"v2","slot":1,"pid":101,"number":4,"started":10.5,"ready_at":11'
    b'.25,"heard_at":12.0,"told_end":0.0,"killed":false},"coming":null,"leaving":{"release"'
    b':"v1","slot":0,"pid":100,"number":0,"started":0.0,"ready_at":0.0,"heard_at":0.0,"told'
    b'_end":12.5,"killed":true}},"created":{"101":12.5,"100":3.0},"boot":"b-1"}'
)
CONTRACTS = contracts.Contracts(
    3,
    [
        contracts.Team("north", 600.0, 60.0, 60.0, ["read"], "lower", 0.25, 300.0, 0.5),
        contracts.Team("s\u00fcd", 1.5),
    ],
    others="bounce",
)
CONTRACTS_TOML = """
version = 3
others = "bounce"
[[teams]]
name = "north"
budget = 600
burst = 60.0
offerings = ["read"]
beyond = "lower"
guaranteed = 300.0
[[teams]]
name = "s\u00fcd"
budget = 1.5
""".encode()
V2 = rollout_file.RolloutSpec(
    before="v1",
    release="v2",
    stages=["one", 0.1, "zone", 0.5, "all"],
    compare=rollout_file.CanaryLimits(10.0, 300.0, 0.01, 0.01, 0.05, 0.03, 0.05, 0.1, 0.05, 0.2, 1.2, 1.5),
)
CLIENT = records.ClientRecord(
    "r1", "j", 2, "read", "safe", 1.5, True, 1.0, 2.0, 200, 3.25, False, True, 0.5, True, True
)
ATTEMPT = records.AttemptRecord("r1", "j", 2, 5, "read", "safe", "k", 1.0, 1.5, 0.25, True, 2.0)
TOLD = records.ToldRecord(1.5, 2, 5, "leaving", True)


# -- who is out --------------------------------------------------------------------------------------------


def test_who_is_out_is_kept(tmp_path):
    """The file of the node `spruce` at that address: its name, and its bytes."""
    who = Maintenance()
    who.observe("e2", EndpointState.READY, 0.0)
    who.detach("e1", 1000.5)
    who.detach("e2", 1000.75)
    who.attach("e2", 1001.25)
    meeting = control_channel.RendezvousSocket(str(tmp_path), "spruce", "127.0.0.1:8000", lambda line: None)
    meeting.save_state(who.state())
    assert [path.name for path in tmp_path.iterdir()] == ["firwalk-06ab5d9f.json"]
    assert meeting.path.name == "firwalk-06ab5d9f.sock"
    assert meeting.state_file.read_bytes() == OUT


def test_who_is_out_is_read(tmp_path):
    """The file gives the same executors, and times as numbers."""
    meeting = control_channel.RendezvousSocket(str(tmp_path), "spruce", "127.0.0.1:8000", lambda line: None)
    assert meeting.load_state() == {}
    meeting.state_file.write_bytes(OUT)
    who = Maintenance()
    who.restore(meeting.load_state())
    assert (who.detached, who.attached) == ({"e1": 1000.5}, {"e2": 1001.25})


@pytest.mark.parametrize("text", [b'{"out":{},"back":{},"version":2}', b"[]", b"", b'{"out":{}}'])
def test_who_is_out_of_another_version_is_passed_over(tmp_path, text):
    """A file that cannot be used counts as none."""
    meeting = control_channel.RendezvousSocket(str(tmp_path), "spruce", "127.0.0.1:8000", lambda line: None)
    meeting.state_file.write_bytes(text)
    assert meeting.load_state() == {}


# -- the agent ---------------------------------------------------------------------------------------------


def new_machine(folder: Path, told_all: bool = False) -> host_processes.HostProcesses:
    """An agent's machine with a configuration and one release of settings."""
    (folder / "releases" / "s1").mkdir(parents=True, exist_ok=True)
    (folder / "releases" / "s1" / "settings.json").write_bytes(b'{"azs":["b"],"kinds":["m"]}')
    config = folder / "node.json"
    config.write_bytes(
        b'{"listen":"127.0.0.1:1","management":"x","settings":{"azs":["a"],"limits":{}},"tag":"s0"}'
    )
    settings = agent_config.AgentConfig(
        str(config),
        str(folder / "releases"),
        "v1",
        str(folder / "run"),
        ["127.0.0.1:3100", "127.0.0.1:3101"],
        events=told_all,
    )
    return host_processes.HostProcesses(settings)


def test_state_of_an_agent():
    """The state with all its fields, written and read."""
    state = state_file.StoredState(KEPT, {101: 12.5, 100: 3.0}, "b-1")
    assert msgspec.json.encode(state) == AGENT
    assert msgspec.json.decode(AGENT, type=state_file.StoredState) == state


def test_state_file_is_written(tmp_path):
    """`agent.json` in the agent's folder; no process of it runs."""
    one = new_machine(tmp_path)
    one.save(supervisor_state.SupervisorState("v1", "s0"))
    assert [path.name for path in (tmp_path / "run").iterdir()] == ["agent.json"]
    assert (tmp_path / "run" / "agent.json").read_bytes() == (
        b'{"kept":{"release":"v1","tag":"s0","before":"","failed":{},"told":[],"serving":null,"coming":null,'
        b'"leaving":null},"created":{},"boot":"' + state_file.boot_id().encode() + b'"}'
    )


@pytest.mark.parametrize("text", [AGENT, AGENT.replace(b',"boot":"b-1"', b"")])
def test_state_file_is_read(tmp_path, text):
    """Also as agents wrote it that did not tell the boot of the machine."""
    (tmp_path / "run").mkdir()
    (tmp_path / "run" / "agent.json").write_bytes(text)
    assert new_machine(tmp_path).state == KEPT


def test_first_state_is_of_the_settings(tmp_path):
    """Without a file: the first release, and the tag of the configuration."""
    assert new_machine(tmp_path).state == supervisor_state.SupervisorState("v1", "s0")


def test_configuration_of_a_process(tmp_path):
    """The node's configuration, with the settings of a tag over its own, and one of the two addresses."""
    one = new_machine(tmp_path)
    path = one._write_node_config(1, "s1")
    assert path == tmp_path / "run" / "config-1.json"
    assert path.read_bytes() == (
        b'{\n  "listen": "127.0.0.1:1",\n  "management": "127.0.0.1:3101",\n  "settings": {\n  '
        b'  "azs": [\n      "b"\n    ],\n    "limits": {},\n    "kinds": [\n      "m"\n    ]\n '
        b' },\n  "tag": "s1"\n}'
    )


def test_event_of_an_agent(tmp_path, capfd):
    """A line of JSON behind a word, on standard error; its time differs."""
    new_machine(tmp_path, told_all=True).event("ready", release="v2", pid=101)
    line = re.sub(r'"at":[0-9.]+', '"at":1.5', capfd.readouterr().err)
    assert line == (
        'firwalk: cluster {"event":"agent_ready","at":1.5,"seat":-1,"life":0,"release":"v2","pid":101}\n'
    )


def test_event_of_a_node_among_others(capfd):
    """The same of what a node decides in common with others."""
    one = SimpleNamespace(
        operations=SimpleNamespace(log=operations.Log("all")), number=4, member=SimpleNamespace(generation=77)
    )
    cluster.Cluster.event(one, "plan", term=(5, 2, 9), version=3)
    line = re.sub(r'"at":[0-9.]+', '"at":1.5', capfd.readouterr().err)
    assert line == (
        'firwalk: cluster {"event":"plan","at":1.5,"seat":4,"life":77,"term":[5,2,9],"version":3}\n'
    )


def test_settings_of_an_agent():
    """The example file, key by key."""
    told, faults = validation.load_toml(agent_config.AgentConfig, str(DEPLOY / "agent.toml"))
    assert faults == []
    assert told == agent_config.AgentConfig(
        config="node.json",
        releases="releases",
        release="v1",
        folder="run",
        management=["127.0.0.1:3100", "127.0.0.1:3101"],
        operations="cluster.toml",
        check=[],
        every=0.25,
        events=False,
        ready=20.0,
        confirm=15.0,
        hang=5.0,
    )


# -- events and records ------------------------------------------------------------------------------------


def test_events_of_a_request(monkeypatch):
    """The whole stream of one request: two attempts, the second one is answered."""
    monkeypatch.setattr(events, "monotonic", lambda: 12.3456789)
    now, lines = [1000.0], []
    dispatcher = Dispatcher(SETTINGS, 7, lambda: now[0], lambda: None)
    dispatcher.events.write = lines.append
    dispatcher.report_endpoint_list(
        1,
        True,
        [(f"e{n}", ("127.0.0.1", 9000 + n), "a", "m", 0, EndpointState.READY, 0.0, 2.0) for n in (0, 1)],
    )
    pending = dispatcher.report_request("put", "", 1.5, 0.01, 1.0, 0.0, False, request_id="r1")
    for number, how in ((0, Outcome.ERROR), (1, Outcome.COMPLETED)):
        asyncio.run(dispatcher.next_action(pending))
        assert dispatcher.report_sending(pending, number) and dispatcher.report_committing(pending, number)
        now[0] += 0.125
        dispatcher.report_outcome(pending, number, how, None, b"made")
    dispatcher.monitor.answered(pending.record, 200, "served")
    assert lines == [
        b'{"at":12.345679,"event":"request_taken","request":"r1","left_s":1.5}',
        b'{"at":12.345679,"event":"attempt_begun","request":"r1","reason":"first","attempt":0,"executor":"e1",'
        b'"zone":0,"cell":0}',
        b'{"at":12.345679,"event":"attempt_committed","request":"r1","attempt":0}',
        b'{"at":12.345679,"event":"attempt_ended","request":"r1","reason":"error","attempt":0}',
        b'{"at":12.345679,"event":"attempt_begun","request":"r1","reason":"retry","attempt":1,"executor":"e0",'
        b'"zone":0,"cell":0}',
        b'{"at":12.345679,"event":"attempt_committed","request":"r1","attempt":1}',
        b'{"at":12.345679,"event":"attempt_ended","request":"r1","reason":"finished","attempt":1}',
        b'{"at":12.345679,"event":"request_answered","request":"r1","reason":"served","status":200}',
    ]


def test_events_without_a_request(monkeypatch):
    """Times are cut to microseconds; what JSON does not know is written as text."""
    monkeypatch.setattr(events, "monotonic", lambda: 12.3456789)
    log, lines = events.EventLog(), []
    log.write = lines.append
    log.record(events.Event.CLIENT_CONNECTED)
    log.record(events.Event.CLIENT_CLOSED, events.CloseReason.IDLE)
    log.record(events.Event.EXECUTOR_CLOSED, events.CloseReason.NO_ANSWER)
    log.record(events.Event.STATE, events.ProcessState.SERVING)
    log.record(events.Event.REQUEST_ANSWERED, events.FailureReason.NO_EXECUTOR, "r\u00e9", status=503)
    log.record(events.Event.REQUEST_RELEASED, "client_left", "r2", at_path=Path("/x"))
    assert lines == [
        b'{"at":12.345679,"event":"client_connected"}',
        b'{"at":12.345679,"event":"client_closed","reason":"idle"}',
        b'{"at":12.345679,"event":"executor_closed","reason":"no_answer"}',
        b'{"at":12.345679,"event":"state","reason":"serving"}',
        b'{"at":12.345679,"event":"request_answered","request":"r\xc3\xa9","reason":"no_executor_in_time",'
        b'"status":503}',
        b'{"at":12.345679,"event":"request_released","request":"r2","reason":"client_left","at_path":"/x"}',
    ]
    assert log.history("r2") == [lines[-1].decode()]
    assert log.summary() == (
        "client_closed(idle) 1, client_connected 1, executor_closed(no_answer) 1, "
        "request_answered(no_executor_in_time) 1, request_released(client_left) 1, state(serving) 1"
    )


def test_words_of_events():
    """Every word that an event, its reason or a phase has in the file."""
    words = [
        [str(word) for word in kind]
        for kind in (events.Event, events.CloseReason, events.FailureReason, events.ProcessState)
    ]
    assert words == [
        [
            "request_taken",
            "request_answered",
            "request_released",
            "attempt_begun",
            "attempt_committed",
            "attempt_ended",
            "client_connected",
            "client_closed",
            "executor_closed",
            "state",
            "violation",
        ],
        [
            "peer_left",
            "idle",
            "silent",
            "stopping",
            "last_answer",
            "evicted",
            "malformed",
            "handed_over",
            "cancelled",
            "executor_gone",
            "not_sent",
            "unreliable",
            "no_answer",
            "failure",
        ],
        [
            "no_executor_in_time",
            "deadline",
            "stopping",
            "attempts_failed",
            "class_gone",
            "no_descriptor",
            "bad_request",
            "duplicate_id",
            "overrun",
            "internal_error",
        ],
        ["serving", "reloaded", "stopping", "draining", "final", "stopped"],
    ]


def test_violation_of_a_rule(monkeypatch, capfd):
    """Its event, and the line for operators with what is kept of the request."""
    monkeypatch.setattr(events, "monotonic", lambda: 12.5)
    log, lines = events.EventLog(), []
    log.write = lines.append
    Monitor(log, lambda: 1.0).violation(Rule.ANSWERED_ONCE, "r1", status=200, before=503)
    assert lines == [
        b'{"at":12.5,"event":"violation","request":"r1","reason":"answered_once","status":200,"before":503}'
    ]
    assert capfd.readouterr().err == (
        "firwalk: rule broken (1): a request has one final answer: request r1 status 200 before 503\n"
    )


def test_words_of_rules():
    """The reasons of violations in the file, and what operators read."""
    assert {rule.name.lower(): str(rule) for rule in Rule} == {
        "answered": "each request taken is answered before its connection or process ends",
        "answered_once": "a request has one final answer",
        "answered_in_time": "a final answer is not later than half a second past the deadline",
        "nothing_after": "nothing is sent for a request that is over",
        "harmless": "a rejection promises that a retry is harmless",
        "one_effect": "no effect twice",
        "in_time": "an attempt is begun before its request's deadline",
        "not_while_stopped": "a process that was told to stop does not begin to listen",
    }


@pytest.mark.parametrize(
    ("record", "line"),
    [
        (
            CLIENT,
            (
                b'{"request_id":"r1","job":"j","node":2,"class_name":"read","effect":"safe","deadline_s'
                b'":1.5,"first_on_connection":true,"opened_at":1.0,"sent_at":2.0,"status":200,"ended_at'
                b'":3.25,"body_fits":false,"answer_bytes":true,"left_at":0.5,"half":true,"more_behind":'
                b"true}"
            ),
        ),
        (
            ATTEMPT,
            (
                b'{"request_id":"r1","job":"j","node":2,"executor":5,"class_name":"read","effect":"safe'
                b'","key":"k","first_byte_at":1.0,"last_byte_at":1.5,"told_deadline_s":0.25,"refused":t'
                b'rue,"ran_at":2.0}'
            ),
        ),
        (TOLD, b'{"at":1.5,"node":2,"executor":5,"lifecycle":"leaving","whole":true}'),
    ],
)
def test_record_of_a_soak(tmp_path, record, line):
    """A line for each record, in the order of its fields; half a line at the end is passed over."""
    path = tmp_path / "records"
    records.Writer(str(path)).write(record)
    assert path.read_bytes() == line + b"\n"
    path.write_bytes(line + b"\n" + line[:20])
    assert records.read(path, type(record)) == [record]


def test_old_record_of_a_soak(tmp_path):
    """A line without the fields that have defaults."""
    path = tmp_path / "records"
    path.write_bytes(b'{"at":1.5,"node":2,"executor":5,"lifecycle":"left"}\n')
    assert records.read(path, records.ToldRecord) == [records.ToldRecord(1.5, 2, 5, "left", False)]


# -- operators' files --------------------------------------------------------------------------------------


def test_contracts_are_read(tmp_path):
    """TOML with defaults left out."""
    path = tmp_path / "contracts.toml"
    path.write_bytes(CONTRACTS_TOML)
    assert contracts.load(str(path)) == (CONTRACTS, [])


def test_contracts_are_summed():
    """Nodes compare this checksum: the CRC of these bytes."""
    assert msgspec.json.encode(CONTRACTS, order="deterministic") == (
        b'{"version":3,"teams":[{"name":"north","budget":600.0,"period":60.0,"burst":60.0,"offe'
        b'rings":["read"],"beyond":"lower","importance":0.25,"guaranteed":300.0,"spare":0.5},{"'
        b'name":"s\xc3\xbcd","budget":1.5,"period":60.0,"burst":null,"offerings":[],"beyond":"b'
        b'ounce","importance":0.25,"guaranteed":null,"spare":0.5}],"begins":null,"others":"boun'
        b'ce"}'
    )
    assert CONTRACTS.check() == 939821835


def test_example_of_contracts():
    """The example file, and its checksum."""
    told, faults = contracts.load(str(DEPLOY / "contracts.toml"))
    assert faults == []
    assert told == contracts.Contracts(
        1, [contracts.Team("north", 600.0, 60.0, 60.0, [], "bounce", 0.25, 300.0, 0.5)], None, "serve"
    )
    assert told.check() == 3872500361


def test_example_of_an_operators_file():
    """The example file, key by key; paths that it names lie beside it."""
    told, faults = operations.load(str(DEPLOY / "cluster.toml"))
    assert faults == []
    assert told == operations.OperationsConfig(
        fleet=operations.Fleet("north"),
        lease=operations.Lease([0, 4, 8], 2.0, 0.01),
        members=operations.Members(0.5, 0.15),
        plan=operations.Plan(0.5, 3.0),
        log=operations.Log("changes"),
        zones=operations.Zones({"near": ["a", "b"], "far": ["c"]}, 0.8, [], {"near": ["far"]}, []),
        budgets=None,
        stages=None,
    )


def test_operators_file_with_all_tables(tmp_path):
    """The tables that the example leaves out."""
    path = tmp_path / "cluster.toml"
    path.write_bytes(
        b'fleet = {name = "n"}\nlease = {voters = [0]}\n'
        b'budgets = {contracts = "c.toml", length = 4.0, floor = 0.1}\n'
        b'stages = {changes = "ch", at_once = 0.5, settle = 2.0}\nlog = {events = "all"}\n'
    )
    assert operations.load(str(path)) == (
        operations.OperationsConfig(
            operations.Fleet("n"),
            operations.Lease([0], 2.0, 0.01),
            log=operations.Log("all"),
            budgets=operations.Budgets(str(tmp_path / "c.toml"), 4.0, 0.1),
            stages=operations.Stages(str(tmp_path / "ch"), 0.5, 2.0),
        ),
        [],
    )


def test_example_of_a_change():
    """The example file, and the CRC of its bytes."""
    assert rollout_file.load_by_name(str(DEPLOY / "changes"), "v2") == (V2, 2202248453, [])


@pytest.mark.parametrize(
    ("text", "kind", "what"),
    [
        (b'before = "v1"\nrelease = "v2"\n', "release", "v2"),
        (b'before = "s1"\nsettings = "s2"\n', "settings", "s2"),
        (b'before = "2"\ncontracts = "3"\n', "contracts", "3"),
    ],
)
def test_change_is_read(tmp_path, text, kind, what):
    """The three kinds, with the stages that none says."""
    (tmp_path / "contracts-3.toml").write_bytes(CONTRACTS_TOML)
    (tmp_path / "c.toml").write_bytes(text)
    change, _, faults = rollout_file.load_by_name(str(tmp_path), "c")
    assert faults == []
    assert (change.kind(), change.what()) == (kind, what)
    assert change.stages == ["one", 0.1, "zone", 0.5, "all"]
