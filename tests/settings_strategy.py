"""Settings that the check accepts, drawn by hypothesis from the schema, with both edges of each range."""

from enum import Enum, auto

from hypothesis import strategies as st

from firwalk.config import node_schema
from firwalk.config.node_schema import NumberCheck, NumberListCheck, WordCheck

ZONES = ["a", "são-paulo"]
KINDS = ["m", "m2"]
CLASS_NAMES = ["c0", "c1", "c2"]
TENANT_NAMES = ["t0", "t1"]
SMALLEST_FLOAT = 5e-324
EDGES = (SMALLEST_FLOAT, 1e-320, 1e-300, 1e-9, 0.5, 1.0, 5e3)
TEXT_LISTS = {"azs": ZONES, "kinds": KINDS, "load-report.names": ["x0", "util", "inflight"]}
TEXTS = {"load-report.how": ["on_probe", "with_answers", "off"]}
MAX_KIND = len(KINDS) - 1
ORDINARY_SETTINGS = {
    "siblings": 1,
    "az": 0,
    "azs": ZONES,
    "kinds": KINDS,
    "resolution-us": 5000,
    "discovery": "ask",
    "weights": "nominal",
    "importance-by": "work",
    "excess-importance": 0.2,
    "load-report.how": "on_probe",
    "specifics.tells-start": True,
    "limits.most-assignments": 5,
    "limits.second-copies": True,
    "limits.cancel": True,
    "limits.probing": True,
    "limits.retry-after": True,
    "limits.max-retry-after-us": 2e6,
    "prices.cross-zone": 0.05,
    "prices.handshake": 0.05,
    "guarantees.cold-from": 0.3,
    "guarantees.cold-us": 8e6,
    "guarantees.fall-multiple": 2.5,
    "guarantees.tip-after-us": 2e6,
    "guarantees.ask-within-us": 1e7,
}
ORDINARY_CLASS = {
    "due-time-us": 1e6,
    "expiry-us": 2e6,
    "importance": 5.0,
    "repeat": "safe",
    "group": "all",
    "key-ttl-us": 5e6,
}
ORDINARY_TENANT = {"quota-per-s": 10.0}


class Source(Enum):
    """Where the value of a field comes from."""

    ORDINARY = auto()
    DRAWN = auto()
    ABSENT = auto()


# Most fields are ordinary ones, so that edges are met alone as well as mixed, and requests are still sent.
SOURCES = st.sampled_from([*[Source.ORDINARY] * 6, Source.DRAWN, Source.DRAWN, Source.ABSENT])


def numbers(check):
    """Numbers that a check accepts: both edges, small ones, and any others."""
    low, high = check.minimum, check.maximum
    if check.is_whole:
        near = st.integers(int(low), int(min(high, low + 20)))
        return st.one_of(st.sampled_from([int(low), int(high)]), near)
    edges = [low, high, *(edge for edge in EDGES if low <= edge <= high)]
    return st.one_of(st.sampled_from(edges), st.floats(low, high))


def values(path, check):
    """Values of a field that its check accepts."""
    if isinstance(check, NumberCheck):
        return numbers(check)
    if isinstance(check, WordCheck):
        return st.sampled_from(check.words)
    if path == "specifics.class-kind":
        return st.lists(st.integers(node_schema.ANY_KIND, MAX_KIND), max_size=len(CLASS_NAMES))
    if isinstance(check, NumberListCheck):
        return st.lists(numbers(check.entry), max_size=len(CLASS_NAMES))
    if check is node_schema.boolean:
        return st.booleans()
    if path in TEXT_LISTS:
        return st.just(TEXT_LISTS[path])
    return st.sampled_from(TEXTS[path])


@st.composite
def tables(draw, fields, ordinary):
    """A table with some of the fields, nested by their dotted paths."""
    table = {}
    for path, check in fields.items():
        source = Source.ABSENT if path == "name" else draw(SOURCES)
        if source is Source.DRAWN:
            put(table, path, draw(values(path, check)))
        elif source is Source.ORDINARY and path in ordinary:
            put(table, path, ordinary[path])
    return table


def put(table, path, value):
    """Set a nested field."""
    *parents, key = path.split(".")
    for parent in parents:
        table = table.setdefault(parent, {})
    table[key] = value


@st.composite
def request_classes(draw):
    """One to three request classes."""
    entries = []
    for name in CLASS_NAMES[: draw(st.integers(1, len(CLASS_NAMES)))]:
        entry = {"expiry-us": 2e6} | draw(tables(node_schema.REQUEST_CLASS_FIELDS, ORDINARY_CLASS))
        for key in node_schema.POSITIVE_DURATIONS:
            if key in entry:
                entry[key] = max(entry[key], SMALLEST_FLOAT)
        entries.append(entry | {"name": name})
    return entries


@st.composite
def accepted_settings(draw):
    """Settings that `node_schema.find_faults` accepts."""
    settings = draw(tables(node_schema.SETTINGS_FIELDS, ORDINARY_SETTINGS))
    settings["offerings"] = draw(request_classes())
    settings["tenants"] = [
        draw(tables(node_schema.TENANT_FIELDS, ORDINARY_TENANT)) | {"name": name}
        for name in TENANT_NAMES[: draw(st.integers(0, len(TENANT_NAMES)))]
    ]
    assert node_schema.find_faults({"settings": settings}) == []
    return settings


def ordinary_settings():
    """Ordinary settings with one class for each way to repeat a request."""
    settings = {}
    for path, value in ORDINARY_SETTINGS.items():
        put(settings, path, value)
    settings["offerings"] = [
        ORDINARY_CLASS | {"name": name, "repeat": repeat}
        for name, repeat in zip(CLASS_NAMES, node_schema.IDEMPOTENCY_VALUES, strict=True)
    ]
    return settings
