"""The end of an update is found in all forms of JSON (RFC 8259), however its bytes are split.

Guards against lists that are never heard because of how they are written (review/9): indented ones with text
outside ASCII, and ones with many lines that end with a brace.
"""

import asyncio
import gc
import json
import time
from contextlib import contextmanager

import pytest
from helpers import World, post
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from test_service import play

from firwalk.net import http, object_stream
from firwalk.net.object_stream import ObjectStream

TEXTS = st.one_of(
    st.sampled_from(
        ["", "são-paulo", "{", "}", "[]", '"', "\\", '\\"', "}\n", "\n", "日本", "😀", "\u2028", "\x7f"]
    ),
    st.text(max_size=8),
)
VALUES = st.recursive(
    st.one_of(
        st.none(), st.booleans(), st.integers(), st.floats(allow_nan=False, allow_infinity=False), TEXTS
    ),
    lambda inner: st.one_of(st.lists(inner, max_size=3), st.dictionaries(TEXTS, inner, max_size=3)),
    max_leaves=8,
)
OBJECTS = st.dictionaries(TEXTS, VALUES, max_size=4)
SPACES = st.text(alphabet=" \t\r\n", max_size=4)


@st.composite
def written(draw, value):
    """A value as some service could write it: with any white space, and escapes for any characters."""
    if isinstance(value, dict):
        members = [
            f"{draw(written(key))}{draw(SPACES)}:{draw(written(entry))}" for key, entry in value.items()
        ]
        text = "{" + draw(SPACES) + ",".join(members) + draw(SPACES) + "}"
    elif isinstance(value, list):
        text = "[" + draw(SPACES) + ",".join([draw(written(entry)) for entry in value]) + draw(SPACES) + "]"
    else:
        text = json.dumps(value, ensure_ascii=draw(st.booleans()))
    return draw(SPACES) + text + draw(SPACES)


@st.composite
def forms(draw, value):
    """One of the usual forms of an object, or any other one."""
    indent = draw(st.sampled_from([None, 0, 1, 2, "\t"]))
    is_ascii = draw(st.booleans())
    usual = json.dumps(value, indent=indent, ensure_ascii=is_ascii)
    commas_first = json.dumps(value, indent=indent, ensure_ascii=is_ascii, separators=("\n, ", ":\n"))
    return draw(
        st.one_of(st.sampled_from([usual, commas_first, usual.replace("\n", "\r\n")]), written(value))
    )


def split(text, cuts):
    """Split bytes at the cuts, each taken modulo the length."""
    positions = sorted(cut % (len(text) + 1) for cut in cuts)
    return [text[start:end] for start, end in zip([0, *positions], [*positions, len(text)], strict=True)]


class Reader:
    """A stream, and what it reports."""

    def __init__(self):
        self.objects, self.blank_lines = [], 0
        self.stream = ObjectStream(self.objects.append, self.count_blank_line)

    def count_blank_line(self):
        self.blank_lines += 1

    def read(self, *parts, pauses=False):
        for part in parts:
            self.stream.feed(part)
            if pauses:
                self.stream.pause()
        return self


@settings(max_examples=500, deadline=None, suppress_health_check=list(HealthCheck))
@given(
    st.data(),
    st.lists(OBJECTS, min_size=1, max_size=3),
    st.lists(st.integers(0, 10**6), max_size=6),
    st.booleans(),
)
def test_all_forms_of_objects_are_read_however_they_are_split(data, objects, cuts, pauses):
    texts = [data.draw(forms(value)) for value in objects]
    separators = [data.draw(st.sampled_from(["\n", "\r\n", "", " ", "\n\n"])) for _ in texts]
    stream = "".join(text + separator for text, separator in zip(texts, separators, strict=True)).encode()
    expected = [json.loads(text) for text in texts]
    reader = Reader().read(*split(stream, cuts), pauses=pauses)
    reader.stream.finish()
    assert reader.objects == expected


@settings(max_examples=300, deadline=None, suppress_health_check=list(HealthCheck))
@given(st.data(), OBJECTS, st.integers(1, 10**6))
def test_no_part_of_an_object_is_taken_for_the_whole(data, value, cut):
    text = data.draw(forms(value)).strip().encode()
    part = text[: cut % len(text)]
    reader = Reader().read(part, pauses=True)
    assert reader.objects == []
    if part.strip():
        with pytest.raises(http.Malformed):
            reader.stream.finish()


@settings(max_examples=500, deadline=None, suppress_health_check=list(HealthCheck))
@given(
    st.lists(
        st.one_of(
            st.sampled_from(
                [b"{", b"}", b"[", b"]", b'"', b"\\", b"\n", b":", b",", b"1", b"a", b'{"a":1}\n']
            ),
            st.binary(max_size=3),
        ),
        max_size=30,
    ),
    st.lists(st.integers(0, 100), max_size=4),
)
def test_any_bytes_are_read_or_malformed_and_nothing_else(pieces, cuts):
    reader = Reader()
    try:
        reader.read(*split(b"".join(pieces), cuts), pauses=True)
        reader.stream.finish()
    except http.Malformed:
        pass
    assert all(isinstance(value, dict) for value in reader.objects)


def test_object_without_a_line_break_is_reported_at_a_pause():
    reader = Reader().read(b'{"a": "}",\n"b": {}', pauses=True)
    assert reader.objects == []
    assert reader.read(b"}", pauses=True).objects == [{"a": "}", "b": {}}]
    assert reader.read(b"\n").blank_lines == 0  # the end of the object's line
    assert reader.read(b"\n").blank_lines == 1
    assert reader.read(b'{"c":1}{"d":2} {"e":\n3}\n').objects[1:] == [{"c": 1}, {"d": 2}, {"e": 3}]


@pytest.mark.parametrize(
    "text, value",
    [
        (b'{"a":1e400}', {"a": float("inf")}),
        (b'{"a":"\\ud800"}', {"a": "?"}),
        (b'{"a":' + b"9" * 400 + b"}", {"a": int("9" * 400)}),
        (b'\xef\xbb\xbf{"a":1}', {"a": 1}),
    ],
    ids=["large number", "single surrogate", "large whole number", "byte order mark"],
)
def test_json_that_the_fast_decoder_does_not_read(text, value):
    assert Reader().read(text + b"\n").objects == [value]


@pytest.mark.parametrize(
    "text",
    [
        b"x\n",
        b"[]\n",
        b"null\n",
        b"}\n",
        b'{"a":NaN}\n',
        b'{"a":1]\n',
        b'{"a":"x\n"}\n',
        b"{a:1}\n",
        b'{"a":1} x\n',
        b'{"a":"\xff"}\n',
        b"{\n" * 3000,
        b'{"a":' + b"[" * 3000 + b"\n",
        b'{"a":' + b"[" * 1500 + b"]" * 1500 + b"}\n",
        b'{"a":[' + b"1," * object_stream.listing.MAX_VALUES + b"1]}\n",
        b'{"a":"' + b"x" * object_stream.MAX_OBJECT_BYTES,
        b"{" + b" " * object_stream.MAX_OBJECT_BYTES,
    ],
    ids=lambda text: repr(text[:12]),
)
def test_malformed_text_is_turned_down(text):
    with pytest.raises(http.Malformed):
        Reader().read(text)


# -- work --------------------------------------------------------------------------------------------------


def entry(number):
    return {
        "instanceId": f"s-{number:08x}",
        "hostPort": f"10.1.{number // 250}.{number % 250 + 1}:3000",
        "zone": "são-paulo",
        "machineType": "m2",
        "cell": number % 7,
        "lifecycle": "active",
        "weight": 1.0,
        "startedAtMs": 0,
        "labels": {"größe": "groß"},
    }


@contextmanager
def processor_time():
    """Yield a function that returns the processor time used in the block, without the garbage collector.

    A collection in the test's own process takes longer than what is measured.
    """
    gc.collect()
    gc.disable()
    try:
        began_at = time.process_time()
        yield lambda: time.process_time() - began_at
    finally:
        gc.enable()


def reading_time_s(text, part_size):
    """Return the processor time of reading a text in parts, the least of three."""
    times = []
    for _ in range(3):
        reader = Reader()
        with processor_time() as elapsed_s:
            for start in range(0, len(text), part_size):
                reader.read(text[start : start + part_size], pauses=True)
            times.append(elapsed_s())
        assert len(reader.objects) == 1
    return min(times)


FORMS = {
    "on one line": {},
    "indented": {"indent": 2},
    "commas first": {"indent": 2, "separators": ("\n, ", ": ")},
    "a line for each value": {"indent": 0, "separators": (",", ":\n")},
}


# Guards against work that grows faster than the list, as with an attempt to decode at each closing brace.
@pytest.mark.parametrize("form", FORMS)
def test_work_grows_no_faster_than_the_list(form):
    def text(count):
        update = {"generation": 1, "reset": True, "instances": [entry(number) for number in range(count)]}
        return json.dumps(update, ensure_ascii=False, **FORMS[form]).encode() + b"\n"

    small, large = (reading_time_s(text(count), 1024) for count in (800, 6400))
    assert large < 2.0 * 8 * small


# Guards against a text without an end that costs more the longer it gets.
@pytest.mark.parametrize("piece", [b'"}', b'{"a":"', b"}", b"[]", b'"', b"\\", b" "], ids=repr)
def test_work_on_endless_text_grows_no_faster_than_the_text(piece):
    def work(count):
        reader = Reader()
        with processor_time() as elapsed_s:
            try:
                reader.read(b'{"a":"}\\"' + piece, pauses=True)
                for _ in range(count):
                    reader.read(piece * 64, pauses=True)
            except http.Malformed:
                pass
            return elapsed_s()

    small, large = work(1000), work(8000)
    assert large < 3.0 * 8 * max(small, 0.002)


# -- processes ---------------------------------------------------------------------------------------------


def write_nested(update):
    """Write over 64 lines that end with a brace."""
    entries = [entry | {"labels": {f"l{n}": {"x": {}} for n in range(40)}} for entry in update["instances"]]
    return json.dumps(update | {"instances": entries}, indent=1)


def write_accents(update):
    entries = [entry | {"zone": "são-paulo", "größe": "groß", "日本": "}"} for entry in update["instances"]]
    return json.dumps(update | {"instances": entries}, indent=2, ensure_ascii=False)


def write_accents_in_unknown_keys(update):
    return json.dumps({"größe": ["é", "日本"]} | update, indent=2, ensure_ascii=False)


def write_commas_first(update):
    entries = [entry | {"labels": [{}] * 80} for entry in update["instances"]]
    return json.dumps(update | {"instances": entries}, indent=2, separators=("\n, ", ": "))


def write_with_line_ends_of_windows(update):
    return write_accents(update).replace("\n", "\r\n")


def write_with_blank_lines(update):
    return write_accents(update).replace("\n", "\n\n")


WRITERS = [
    write_nested,
    write_accents,
    write_accents_in_unknown_keys,
    write_commas_first,
    write_with_line_ends_of_windows,
    write_with_blank_lines,
]


# Guards against drains that are never heard, since no list is taken: requests went on to a draining executor.
@pytest.mark.parametrize("write", WRITERS, ids=lambda write: write.__name__)
@pytest.mark.parametrize("ending", ["\n", ""], ids=["with a line break", "without a line break"])
def test_drain_is_heard_in_any_form_of_the_list(write, ending):
    async def scenario(world):
        await world.until(lambda: world.watches)
        drained = [world.entry(0, lifecycle="leaving"), world.entry(1)]
        for is_whole in (True, False):
            world.version += 1
            update = world.news(*drained, whole=is_whole)
            await world.tell(text=(write(update) + ending).encode())
            await asyncio.sleep(0.3)
            before = len(world.executors[0].got)
            for number in range(6):
                name = f"t{is_whole}{number}"
                assert await world.ask(post("/act/k", name)) == (200, f"made of {name}".encode())
            assert len(world.executors[0].got) == before

    play(scenario, None, None)


# Guards against a process that starts with an empty list and never has an executor.
@pytest.mark.parametrize("write", WRITERS, ids=lambda write: write.__name__)
def test_first_list_is_heard_in_any_form(write):
    class WritingWorld(World):
        async def tell(self, *entries, whole=False, text=None):
            self.version += 1
            await super().tell(text=text or (write(self.news(*entries, whole=whole)) + "\n").encode())

    async def run():
        known = {"generation": 0, "reset": True, "instances": []}
        async with WritingWorld(None, known=known) as world:
            assert await world.ask(post("/act/k", "t")) == (200, b"made of t")

    asyncio.run(run())
