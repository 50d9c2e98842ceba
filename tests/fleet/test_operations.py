"""The operators' file, what is there without one (I7), the new word, and the command line."""

import asyncio
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest
from helpers import World, free_port, post

from firwalk.agent import agent_config
from firwalk.broker import contracts
from firwalk.config import operations, rollout_file
from firwalk.lab import scenario

ROOT = Path(__file__).parents[2]
FILE = """[fleet]
name = "t"
[lease]
voters = [0]
length = 0.5
[members]
period = 0.2
answer = 0.05
[plan]
report = 0.2
hold = 0.9
"""


def command(*words, cwd=ROOT):
    done = subprocess.run(
        [sys.executable, "-m", "firwalk.cli.main", *map(str, words)],
        capture_output=True,
        text=True,
        timeout=60,
        cwd=cwd,
    )
    return done.returncode, done.stdout, done.stderr


# -- the file ----------------------------------------------------------------------------------------------


def test_the_shipped_contracts_are_fit_and_the_page_tells_every_key(tmp_path):
    shipped = ROOT / "deploy" / "contracts.toml"
    assert command("contracts", "check", shipped)[0] == 0
    text, page = shipped.read_text(), (ROOT / "docs" / "configuration.md").read_text()
    for kind, prefix in ((contracts.Contracts, ""), (contracts.Team, "teams[].")):
        for key in kind.__struct_fields__:
            assert f"{key} = " in text or f"[[{key}]]" in text
            assert f"`{prefix}{key}`" in page or key == "teams"
    for key in operations.Budgets.__struct_fields__:
        assert f"\n# {key} = " in (ROOT / "deploy" / "cluster.toml").read_text()
        assert f"`budgets.{key}`" in page
    newer = tmp_path / "newer.toml"
    newer.write_text(text.replace("version = 1", "version = 2").replace("budget = 600", "budget = 300"))
    code, said, _ = command("contracts", "diff", shipped, newer)
    assert code == 0 and "north: loses" in said
    assert command("contracts", "diff", newer, shipped)[0] == 2


@pytest.mark.parametrize(
    "text, words",
    [
        ("teams = []", ["version: is missing"]),
        ('version = 1\n[[teams]]\nname = "a"\nbudget = -1', ["teams[0].budget: Expected `float` > 0"]),
        (
            'version = 1\nteams = [{name = "a", budget = 1}, {name = "a", budget = 2}]',
            ["a stands there 2 times"],
        ),
        ("version = 1\nteams = []\nbegins = 2027-01-01T00:00:00", ["begins: the offset from UTC is missing"]),
        (
            'version = 1\nteams = [{name = "a", budget = 1, perod = 2}]',
            ["teams[0].perod: no such key; period"],
        ),
    ],
)
def test_faults_of_contracts_are_told(tmp_path, text, words):
    path = tmp_path / "contracts.toml"
    path.write_text(text)
    code, _, said = command("contracts", "check", path)
    assert code == 2 and all(word in said for word in words), said
    assert all(line.startswith("firwalk: ") for line in said.splitlines())


def test_the_shipped_example_is_fit_and_tells_every_key():
    told, faults = operations.load(str(ROOT / "deploy" / "cluster.toml"))
    assert not faults and told.fleet.name
    text = (ROOT / "deploy" / "cluster.toml").read_text()
    page = (ROOT / "docs" / "configuration.md").read_text()
    for part in ("fleet", "lease", "members", "plan", "log", "zones"):
        for key in getattr(told, part).__struct_fields__:
            assert f"\n{key} = " in text or f"[{part}.{key}]" in text
            assert f"`{part}.{key}`" in page


def test_the_shipped_change_and_agent_are_fit_and_the_page_tells_every_key(tmp_path):
    page, shipped = (ROOT / "docs" / "configuration.md").read_text(), ROOT / "deploy" / "changes" / "v2.toml"
    assert command("roll", "check", shipped)[0] == 0
    text = shipped.read_text()
    for kind in (rollout_file.RolloutSpec, rollout_file.CanaryLimits):
        for key in kind.__struct_fields__:
            assert f"\n{key} = " in text or f"\n# {key} = " in text or f"[{key}]" in text
            assert f"`{key}`" in page or f"[{key}]" in page
    for key in operations.Stages.__struct_fields__:
        assert f"\n# {key} = " in (ROOT / "deploy" / "cluster.toml").read_text()
        assert f"`stages.{key}`" in page
    text = (ROOT / "deploy" / "agent.toml").read_text()
    for key in agent_config.AgentConfig.__struct_fields__:
        assert f"\n{key} = " in text and f"`{key}`" in page
    (tmp_path / "agent.toml").write_text(text)
    told, faults = agent_config.load(str(tmp_path / "agent.toml"))
    assert told is None and [fault.split(": ")[1] for fault in faults] == ["config", "release"]
    (tmp_path / "node.json").write_text("{}")
    (tmp_path / "releases" / "v1").mkdir(parents=True)
    (tmp_path / "releases" / "v1" / "run").write_text("#!/bin/sh\n")
    (tmp_path / "releases" / "v1" / "run").chmod(0o755)
    told, faults = agent_config.load(str(tmp_path / "agent.toml"))
    assert not faults and told.releases == str(tmp_path / "releases")
    bad = tmp_path / "bad.toml"
    bad.write_text("release = 7\nstage = []")
    code, out, err = command("roll", "check", bad)
    assert code == 2 and not out and len(err.splitlines()) >= 3
    assert "stage: no such key; stages is meant?" in err


def test_an_agent_that_cannot_start_says_why_in_plain_lines(tmp_path):
    (tmp_path / "bad.toml").write_text("every = 0")
    for words, said in (([], "usage:"), (["none.toml"], "No such file"), (["bad.toml"], "config: is")):
        done = subprocess.run(
            [sys.executable, "-m", "firwalk.agent", *words],
            capture_output=True,
            text=True,
            timeout=30,
            cwd=tmp_path,
            env=os.environ | {"PYTHONPATH": str(ROOT)},
        )
        assert done.returncode == 2 and said in done.stderr and "Traceback" not in done.stderr


@pytest.mark.parametrize(
    "text, words",
    [
        ("", ["fleet: is missing", "lease: is missing"]),
        ("[fleet", ["not TOML"]),
        (FILE + "[lod]\n", ["lod: no such key; log is meant?"]),
        (FILE.replace("length", "lenght"), ["lease.lenght: no such key; length is meant?"]),
        (FILE.replace("0.5", '"long"'), ["lease.length: Expected `float`, got `str`, not 'long'"]),
        (FILE.replace("0.5", "0.01"), ["lease.length: Expected `float` >= 0.2"]),
        (FILE.replace("[0]", "[0, 0, 1, 2]"), ["voters: 3, 5 or 7", "each seat may"]),
        (FILE.replace("hold = 0.9", "hold = 0.3"), ["hold: must be three times report"]),
        (FILE.replace("0.05", "0.15").replace('"t"', "7"), ["fleet.name: Expected `str`", "answer: must"]),
    ],
)
def test_all_that_is_wrong_is_told_at_once(tmp_path, text, words):
    path = tmp_path / "cluster.toml"
    path.write_text(text)
    told, faults = operations.load(str(path))
    assert told is None and len(faults) >= len(words)
    for word in words:
        assert any(word in fault for fault in faults), faults
    code, out, err = command("check", path)
    assert code == 2 and not out and err.splitlines() == [f"firwalk: {fault}" for fault in faults]


def test_a_file_that_is_not_there():
    code, _, err = command("check", "/nowhere/cluster.toml")
    assert code == 2 and err == "firwalk: /nowhere/cluster.toml: No such file or directory\n"


# -- one node with the file ----------------------------------------------------------------------------------


class Told(World):
    """The program with an operators' file."""

    def __init__(self, text, **named):
        super().__init__(managed=True, **named)
        self.text = text

    async def __aenter__(self):
        self.file = Path(os.environ["FIRWALK_TEST_FOLDER"]) / f"{free_port()}.toml"
        self.file.write_text(self.text)
        os.environ["BALANCER_OPERATIONS"] = str(self.file)
        try:
            return await super().__aenter__()
        finally:
            del os.environ["BALANCER_OPERATIONS"]

    async def call(self, line):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.management_port)
        writer.write(line)
        answer = (await reader.read()).decode()
        writer.close()
        return answer


@pytest.fixture(autouse=True)
def folder(tmp_path, monkeypatch):
    monkeypatch.setenv("FIRWALK_TEST_FOLDER", str(tmp_path))


def play(world, script):
    async def run():
        async with world:
            return await script(world)

    return asyncio.run(run())


def test_one_node_alone_is_its_own_coordinator_and_says_so():
    async def script(world):
        await world.logs("is the coordinator")
        await world.logs("follows plan")
        words = (await world.call(b"CLUSTER\n")).split()
        assert words[0] == "+OK" and words[words.index("coordinator") + 1] == "0"
        assert words[words.index("plan") + 1] == "holds" and words[words.index("seats") + 1] == "1"
        assert await world.call(b"PING\n") == "+OK\n"
        assert "calls are PING, DETACH ID, ATTACH ID" in await world.call(b"CLUSTERS\n")
        assert (await world.ask(post()))[0] == 200

    play(Told(FILE), script)


def test_sighup_takes_a_good_file_and_turns_a_bad_one_down_with_a_line_for_each_fault():
    async def script(world):
        await world.logs("is the coordinator")
        world.file.write_text(FILE.replace("voters", "votres").replace("0.2", "-1"))
        world.reload()
        await world.logs(f"stays as it was: {world.file}: lease.votres: no such key; voters is meant?")
        await world.logs("members.period: Expected")
        world.file.write_text(FILE.replace("length = 0.5", "length = 0.7").replace("0.9", "1.5"))
        world.reload()
        await world.logs("operators' file read again; needs a restart: lease")
        assert (await world.call(b"CLUSTER\n")).startswith("+OK")

    play(Told(FILE), script)


@pytest.mark.parametrize(
    "change, words",
    [({"peers": []}, "peers: is missing"), ({"peer_listen": None}, "peer_listen: is missing")],
)
def test_a_file_that_the_configuration_does_not_fit_starts_nothing(tmp_path, change, words):
    async def script(world):
        path = tmp_path / "other.json"
        import orjson

        config = {name: value for name, value in (world.config | change).items() if value is not None}
        path.write_bytes(orjson.dumps(config | {"listen": f"127.0.0.1:{free_port()}"}))
        os.environ["BALANCER_OPERATIONS"] = str(world.file)
        try:
            said, code = await world.start(path)
        finally:
            del os.environ["BALANCER_OPERATIONS"]
        assert code == 2 and words in said and "Traceback" not in said and len(said.splitlines()) == 1

    play(Told(FILE), script)


# -- I7: without the file ------------------------------------------------------------------------------------

NEW = (
    "firwalk.broker",
    "firwalk.agent",
    "firwalk.config.rollout_file",
    "firwalk.cluster",
    "firwalk.net.cluster",
    "firwalk.config.operations",
    "firwalk.config.validation",
    "firwalk.lab",
    "firwalk.cli",
    "msgspec",
    "typer",
    "rich",
    "pydantic",
    "psutil",
    "hdrh",
    "tomllib",
)
LOOK = """import sys, firwalk.net.service as s
real = s.Service.run
async def run(self):
    print(' '.join(sorted(sys.modules)), flush=True)
    await real(self)
s.Service.run = run
import firwalk.__main__ as m
sys.exit(m.main())"""


def modules(world, env):
    program = subprocess.Popen(
        [sys.executable, "-c", LOOK, "--config", world.path],
        env=os.environ | env,
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
        text=True,
    )
    try:
        return program.stdout.readline().split()
    finally:
        program.send_signal(signal.SIGKILL)
        program.wait()
        program.stdout.close()


def test_without_the_file_nothing_of_it_is_imported_and_with_it_the_same_look_finds_it():
    async def script(world):
        await asyncio.sleep(0)
        world.path.write_text(
            world.path.read_text()
            .replace(str(world.port), str(free_port()))
            .replace(str(world.management_port), str(free_port()))
            .replace(str(world.peer_port), str(free_port()))
        )
        without = modules(world, {})
        file = Path(os.environ["FIRWALK_TEST_FOLDER"]) / "c.toml"
        file.write_text(FILE)
        with_it = modules(world, {"BALANCER_OPERATIONS": str(file)})
        found = [name for name in without if name.startswith(NEW)]
        assert len(without) > 100 and not found
        assert {"firwalk.net.cluster", "msgspec"} <= set(with_it)
        assert not [name for name in with_it if name.startswith(NEW[:3] + NEW[7:9] + NEW[10:-1])]

    play(World(managed=True), script)


def test_without_the_file_no_datagram_is_sent_and_the_word_is_not_known():
    import socket

    heard = socket.socket(type=socket.SOCK_DGRAM)
    heard.bind(("127.0.0.1", 0))
    heard.setblocking(False)

    async def script(world):
        world.config["peers"].append(f"127.0.0.1:{heard.getsockname()[1]}")
        for _ in range(5):
            assert (await world.ask(post(name=f"t{time.monotonic_ns()}")))[0] == 200
        reader, writer = await asyncio.open_connection("127.0.0.1", world.management_port)
        writer.write(b"CLUSTER\n")
        assert (await reader.read()).startswith(b"-ERR no such call")
        writer.close()
        await asyncio.sleep(1.0)
        with pytest.raises(BlockingIOError):
            heard.recv(256)

    play(World(managed=True), script)
    heard.close()


# -- the command line ----------------------------------------------------------------------------------------


def test_all_shipped_scenarios_are_fit():
    paths = sorted(scenario.SHIPPED.glob("*.toml"))
    assert len(paths) >= 6
    for path in paths:
        told, faults = scenario.load(str(path))
        assert not faults and told.run.description
    code, out, _ = command("lab", "list")
    assert code == 0 and len(out.splitlines()) == len(paths)


DAY = """[run]
seconds = 1
[fleet]
nodes = 2
[[offerings]]
name = "read"
rate = 10
"""


@pytest.mark.parametrize(
    "change, words",
    [
        (("nodes = 2", "nodes = 25"), "fleet.nodes: Expected `int` <= 24"),
        (("nodes", "nods"), "fleet.nods: no such key; nodes is meant?"),
        (("rate = 10", 'rate = "x"'), "offerings[0].rate: Expected `float`, got `str`"),
        (("[run]", "[run"), "not TOML"),
        (
            ("[[offerings]]", '[[faults]]\nat = 0.5\nkind = "kill"\non = ["node:7"]\n[[offerings]]'),
            "there is no node:7",
        ),
        (
            ("[[offerings]]", '[[faults]]\nat = 9\nkind = "cut"\non = ["nodes"]\n[[offerings]]'),
            "to: is missing",
        ),
    ],
)
def test_a_bad_scenario_is_told_in_plain_lines_and_starts_nothing(tmp_path, change, words):
    path = tmp_path / "day.toml"
    path.write_text(DAY.replace(*change))
    code, out, err = command("lab", "run", path)
    assert code == 2 and words in err and "Traceback" not in err and not out


@pytest.mark.parametrize(
    "words, told",
    [(("zone",), "zones or rolls is wanted"), (("zones", "--case", "lost hole"), "there is no lost hole")],
)
def test_hard_cases_are_named_in_plain_lines(words, told):
    code, out, err = command("lab", "hard", *words)
    assert code == 2 and told in err and len(err.splitlines()) == 1 and not out


def test_the_lines_of_hard_cases_count_what_the_reports_say():
    """From reports made up: what is lost from the fault on, crossings, ends of a change, spans."""
    from firwalk.lab import hard

    def report(in_time, crossed, broken=0):
        spells = [{"at": float(at), "tasks": 10, "in_time": 10 if at < 4 else in_time} for at in range(14)]
        return {
            "service": {"read": {"windows": spells}},
            "counts": {"crossed": crossed, "assignments": 100},
            "moves": 3,
            "rules": {"one": broken},
            "invariants": {},
            "crashes": [],
        }

    told = hard.zones()["lost whole"]
    line = hard.zone_line("lost whole", told, [report(9, 10)], [report(8, 20, 1)])
    assert (
        "not in time 0.1000 with the part, 0.2000 without (0.50 kept)" in line
        and "crossed 0.1000 and 0.2000" in line
        and "all kept in 1 and 0 of 1" in line
    )
    change = {
        "state": "stopped",
        "most on it": 1,
        "tasks met it": 0.01,
        "states": [[3.0, "going"], [5.5, "back"], [6.5, "stopped"]],
    }
    line = hard.roll_line("errors", hard.rolls()["errors"], [report(10, 0) | {"change": change}] * 2, [])
    assert "2 stopped of 2; all kept in 2; at most 1 nodes on it, 0.0100" in line
    assert "ordered back after 2.5 s (2.5 at most), all back 1.0 s later" in line


def mine(network):
    """Processes of a run on these addresses."""
    found = []
    for folder in Path("/proc").glob("[0-9]*"):
        try:
            if f"firwalk-lab-{network}" in (folder / "cmdline").read_text():
                found.append(int(folder.name))
        except OSError:
            pass
    return found


def begun(tmp_path, network, seconds=30):
    path = tmp_path / "day.toml"
    path.write_text(DAY.replace("seconds = 1", f'seconds = {seconds}\nnetwork = "{network}"'))
    out = tmp_path / f"firwalk-lab-{network}"
    # Started in a shell's background this one ignores SIGINT, and so would all that it starts.
    rig = subprocess.Popen(
        [sys.executable, "-m", "firwalk.cli.main", "lab", "run", path, "--out", out],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        preexec_fn=lambda: signal.signal(signal.SIGINT, signal.SIG_DFL),
    )
    end = time.monotonic() + 20
    while len([p for p in mine(network) if p != rig.pid]) < 2 and time.monotonic() < end:
        time.sleep(0.05)
    assert len(mine(network)) == 3
    return rig, path


@pytest.mark.parametrize("number, code", [(signal.SIGINT, 130), (signal.SIGKILL, -signal.SIGKILL)])
def test_nothing_stays_of_a_run_that_is_stopped_or_killed(tmp_path, number, code):
    network = f"127.{201 + number % 3}"
    rig, _ = begun(tmp_path, network)
    time.sleep(1.0)
    rig.send_signal(number)
    rig.communicate(timeout=20)
    assert rig.returncode == code
    end = time.monotonic() + 5
    while mine(network) and time.monotonic() < end:
        time.sleep(0.05)
    assert not mine(network)


def test_addresses_in_use_are_told_in_one_line(tmp_path):
    rig, path = begun(tmp_path, "127.207")
    try:
        code, _, err = command("lab", "run", path)
        assert code == 2 and "127.207" in err and "in use" in err and len(err.splitlines()) == 1
    finally:
        rig.send_signal(signal.SIGINT)
        rig.communicate(timeout=20)


def test_the_report_has_what_the_page_promises(tmp_path):
    import json

    path = tmp_path / "day.toml"
    path.write_text(DAY)
    code, out, _ = command("lab", "run", path, "--seed", 5, "--json", tmp_path / "r.json")
    report = json.loads((tmp_path / "r.json").read_text())
    assert code == 0 and report["seed"] == 5 and "one final answer: kept" in out
    assert {"rules", "invariants", "service", "faults", "counts", "seed", "version"} <= report.keys()
    assert len(report["rules"]) == 4 and report["service"]["read"]["windows"]
    assert report["service"]["read"]["finished"] == report["service"]["read"]["tasks"] > 0
