"""Configurations of the old shape, checked and turned into new ones that start a node; loopback only."""

import asyncio

import orjson
import pytest
from helpers import LIMITS, OFFERINGS, World, post

from firwalk import migrate
from firwalk.config.node_config import validate

OLD = {
    "name": "n0",
    "listen": "127.0.0.1:3000",
    "discovery": "127.0.0.1:8500",
    "seed": "0a",
    "limits": {"memory_mb": 128, "sockets": 256},
    "peers": ["127.0.0.1:7"],
    "later-word": 7,
    "known": {"generation": 1, "reset": True, "instances": []},
    "settings": {
        "offerings": [OFFERINGS[0] | {"late-importance": 0.3}, OFFERINGS[2]],
        "limits": LIMITS,
        "load-report": {"how": "on_probe", "names": ["x0"]},
        "azs": ["a", "b", "c"],
        "discovery": "push",
    },
}


def run(folder, *words, old=OLD):
    path = folder / "old.json"
    path.write_bytes(old if isinstance(old, bytes) else orjson.dumps(old))
    return migrate.main([str(path), str(folder / "new.json"), *words])


def test_the_conversion_is_pure_and_tells_all_that_it_did():
    before = orjson.dumps(OLD)
    new, lines = migrate.convert(OLD)
    settings = new["settings"]
    assert orjson.dumps(OLD) == before
    assert not any(settings["limits"][name] for name in ("second-copies", "probing", "peers"))
    assert (settings["load-report"], settings["weights"]) == ({"how": "off", "names": []}, "rough")
    assert settings["discovery"] == "ask" and settings["specifics"]["tells-start"] is True
    assert "known" not in new and "peers" not in new and "late-importance" not in settings["offerings"][0]
    assert new["later-word"] == 7 and settings["offerings"][1] == OFFERINGS[2]
    for part in (
        "changed: settings.limits.second-copies: true to false",
        "dropped: known",
        "dropped: peers",
        "dropped: late-importance of read",
        "3 zones",
        "fill in: settings.siblings",
        "marks-retry",
    ):
        assert sum(part in line for line in lines) == 1, part
    again, lines = migrate.convert(new)  # what is of the new shape already is left as it is
    assert again == new and not any(line.startswith(("changed", "dropped")) for line in lines)


def test_a_dry_run_writes_nothing_and_no_file_is_written_over(tmp_path, capsys):
    assert run(tmp_path, "--dry-run") == 0 and [p.name for p in tmp_path.iterdir()] == ["old.json"]
    told = capsys.readouterr().out
    assert "would be written" in told
    assert run(tmp_path) == 0 and told.splitlines()[:-1] == capsys.readouterr().out.splitlines()[:-1]
    written = (tmp_path / "new.json").read_bytes()
    assert run(tmp_path) == 2 and "not written over" in capsys.readouterr().err
    assert (tmp_path / "new.json").read_bytes() == written and len(list(tmp_path.iterdir())) == 2


def changed(part, **values):
    return OLD | {"settings": OLD["settings"] | {part: values}}


@pytest.mark.parametrize(
    "old, word",
    [
        (b"{", "unexpected"),
        (b"[]", "an object"),
        (b"{}", "no settings"),
        (b'{"settings": 3}', "settings must be an object"),
        (b'{"settings": {"limits": 4}}', "settings.limits must be an object"),
        (changed("limits", **{"second-copies": 1}), "second-copies must be true or false, not 1"),
        (changed("limits", **{"most-assignments": 0}), "a whole number from 1"),
        (changed("guarantees", **{"cold-from": 1.5}), "a number from 0 to 1"),
        (OLD | {"settings": {"weights": "heavy"}}, "one of off"),
        (OLD | {"settings": {"tenants": [[]]}}, "tenants[0]"),
        (
            OLD | {"settings": {"offerings": [{"repeat": "twice"}]}},
            "settings.offerings[0].repeat must be one of",
        ),
        (OLD | {"peers": "x"}, "a list of text"),
    ],
)
def test_bad_input_is_one_plain_line_and_nothing_is_written(tmp_path, capsys, old, word):
    assert run(tmp_path, old=old) == 2
    told = capsys.readouterr().err
    assert told.count("\n") == 1 and word in told.lower() and not (tmp_path / "new.json").exists()
    assert migrate.main([str(tmp_path / "none.json"), str(tmp_path / "new.json")]) == 2


def test_settings_that_are_not_known_or_left_out_are_passed_over():
    validate({"settings": {}})
    validate({"settings": {"later": {"word": 1}, "limits": {"word": "x"}, "prices": None}})


def test_what_it_writes_starts_a_node_that_serves_without_second_copies():
    async def silent(executor, writer, name):
        await asyncio.sleep(9)

    async def story(w):
        await w.until(lambda: w.watches)
        await asyncio.sleep(0.05)
        answers = await asyncio.gather(*[w.ask(post(name=f"t{n}")) for n in range(4)])
        assert [status for status, _ in answers] == [200] * 4  # those called off at the silent one were moved
        assert w.executors[0].got and len(w.executors[0].got) + 4 == sum(len(e.got) for e in w.executors)
        w.reload(settings={"limits": {"second-copies": "no"}})
        await w.logs("must be true or false")
        assert (await w.ask(post(name="after")))[0] in (200, 503)

    new, _ = migrate.convert(OLD | {"settings": OLD["settings"] | {"azs": ["a"], "kinds": ["m"]}})

    async def run_it():
        async with World(
            silent,
            None,
            None,
            settings=new["settings"],
            known={"generation": 0, "reset": True, "instances": []},
        ) as world:
            await story(world)

    asyncio.run(run_it())
