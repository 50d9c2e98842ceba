"""Schema of a node's configuration: the type and range of each field, and constraints between fields.

Only fields that are present are checked; unknown ones are ignored, so that a newer configuration still loads.
A value of null is no number, word or list. A section may be null, and so may the texts outside the settings:
it counts as absent. The keys are defined by the protocol.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import orjson

from firwalk.policy.interface import DeduplicationScope, Idempotency

# Returns a description of the expected values, or "" if the value is valid.
FieldCheck = Callable[[object], str]

IDEMPOTENCY_VALUES = {
    "safe": Idempotency.IDEMPOTENT,
    "keyed": Idempotency.KEYED,
    "unsafe": Idempotency.NON_IDEMPOTENT,
}
DEDUPLICATION_SCOPES = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}
SIZE_WEIGHTS = ("nominal", "rough")  # Kinds of endpoint list weights that are the size of an executor.
MIN_DESCRIPTORS = 32  # With fewer file descriptors a node cannot serve a single client.
MAX_NUMBER = 1e12
MAX_DURATION_US = 1e11
MAX_NODES = 65535
MAX_ZONES = 255
MAX_ATTEMPTS = 255
MAX_KINDS = 65535
ANY_KIND = -1  # A request class that is not bound to a machine type.
POSITIVE_DURATIONS = ("due-time-us", "expiry-us")  # Fields of a request class that must be above 0.
MAX_SHOWN_VALUE_LENGTH = 40  # Longer invalid values are truncated in messages.


class NumberCheck:
    """Accepts numbers in a range, or only whole ones; the bounds are public for tests that draw values."""

    def __init__(self, minimum: float, maximum: float = MAX_NUMBER, is_whole: bool = False) -> None:
        self.minimum = minimum
        self.maximum = maximum
        self.is_whole = is_whole

    def accepts(self, value: object) -> bool:
        """Return whether the value is a number in the range."""
        if isinstance(value, bool) or not isinstance(value, int if self.is_whole else int | float):
            return False
        return self.minimum <= value <= self.maximum

    def __call__(self, value: object) -> str:
        """Return a description of the expected values, or an empty text if the value is valid."""
        kind = "a whole number" if self.is_whole else "a number"
        return "" if self.accepts(value) else f"{kind} from {self.minimum:g} to {self.maximum:g}"


class NumberListCheck:
    """Accepts lists of numbers in a range."""

    def __init__(self, entry: NumberCheck) -> None:
        self.entry = entry

    def __call__(self, value: object) -> str:
        """Return a description of the expected values, or an empty text if the value is valid."""
        fits = isinstance(value, list) and all(self.entry.accepts(entry) for entry in value)
        return "" if fits else f"a list with each entry {self.entry(None)}"


class WordCheck:
    """Accepts one of some words."""

    def __init__(self, *words: str) -> None:
        self.words = words

    def __call__(self, value: object) -> str:
        """Return a description of the expected values, or an empty text if the value is valid."""
        fits = isinstance(value, str) and value in self.words
        return "" if fits else f"one of {', '.join(self.words)}"


def whole_number(minimum: float, maximum: float = MAX_NUMBER) -> NumberCheck:
    """Return a check that accepts whole numbers in a range."""
    return NumberCheck(minimum, maximum, is_whole=True)


def boolean(value: object) -> str:
    """Accept true and false."""
    return "" if isinstance(value, bool) else "true or false"


def text(value: object) -> str:
    """Accept strings."""
    return "" if isinstance(value, str) else "text"


def text_list(value: object) -> str:
    """Accept lists of strings."""
    fits = isinstance(value, list) and all(isinstance(entry, str) for entry in value)
    return "" if fits else "a list of text"


DURATION_US = NumberCheck(0, MAX_DURATION_US)
CONFIG_FIELDS: Mapping[str, FieldCheck] = {
    "name": text,
    "listen": text,
    "discovery": text,
    "peer_listen": text,
    "peers": text_list,
    "peers_all": text,
    "management": text,
    "tag": text,
    "limits.memory_mb": NumberCheck(1),
    "limits.sockets": whole_number(MIN_DESCRIPTORS),
}
SETTINGS_FIELDS: Mapping[str, FieldCheck] = {
    "self-index": whole_number(0, MAX_NODES),
    "siblings": whole_number(1, MAX_NODES),
    "az": whole_number(0, MAX_ZONES),
    "azs": text_list,
    "kinds": text_list,
    "resolution-us": DURATION_US,
    "discovery": WordCheck("ask", "push"),
    "weights": WordCheck("off", "live", *SIZE_WEIGHTS),
    "importance-by": WordCheck("work", "request"),
    "excess-importance": NumberCheck(0, 1),
    "clients.marks-retry": boolean,
    "load-report.how": text,
    "load-report.names": text_list,
    "specifics.tells-start": boolean,
    "specifics.class-kind": NumberListCheck(whole_number(ANY_KIND, MAX_KINDS)),
    "specifics.class-stretch": NumberListCheck(NumberCheck(0)),
    "limits.most-assignments": whole_number(1, MAX_ATTEMPTS),
    "limits.second-copies": boolean,
    "limits.cancel": boolean,
    "limits.probing": boolean,
    "limits.peers": boolean,
    "limits.retry-after": boolean,
    "limits.max-retry-after-us": DURATION_US,
    "limits.connect-timeout-us": NumberCheck(1, MAX_DURATION_US),
    "limits.idle-close-us": DURATION_US,
    "prices.cross-zone": NumberCheck(0),
    "prices.handshake": NumberCheck(0),
    "guarantees.cold-from": NumberCheck(0, 1),
    "guarantees.cold-us": DURATION_US,
    "guarantees.fall-multiple": NumberCheck(0),
    "guarantees.tip-after-us": DURATION_US,
    "guarantees.ask-within-us": DURATION_US,
}
REQUEST_CLASS_FIELDS: Mapping[str, FieldCheck] = {
    "name": text,
    "due-time-us": DURATION_US,
    "expiry-us": DURATION_US,
    "importance": NumberCheck(0),
    "repeat": WordCheck(*IDEMPOTENCY_VALUES),
    "group": WordCheck(*DEDUPLICATION_SCOPES),
    "key-ttl-us": DURATION_US,
    "aim-stretch": NumberCheck(0),
}
TENANT_FIELDS: Mapping[str, FieldCheck] = {"name": text, "quota-per-s": NumberCheck(0)}
LIST_FIELDS = {"offerings": REQUEST_CLASS_FIELDS, "tenants": TENANT_FIELDS}


def find_faults(config: object) -> list[str]:
    """Return all faults of a configuration, one line each."""
    faults = _check_fields(config, CONFIG_FIELDS, "")
    if not isinstance(config, dict):
        return faults
    if "settings" not in config:
        return [*faults, "no settings in the configuration"]
    settings = config["settings"]
    faults += _check_fields(settings, SETTINGS_FIELDS, "settings")
    if isinstance(settings, dict):
        for key, fields in LIST_FIELDS.items():
            faults += _check_list(settings, key, fields)
    return faults


def _check_fields(table: object, fields: Mapping[str, FieldCheck], table_path: str) -> list[str]:
    """Return the faults of the fields that are present; paths of nested fields are dotted."""
    if not isinstance(table, dict):
        return [f"{table_path or 'the configuration'} must be an object"]
    faults: dict[str, None] = {}  # ordered, without duplicates
    for path, check in fields.items():
        fault = _check_field(table, path, check, table_path)
        if fault:
            faults[fault] = None
    return list(faults)


def _check_field(table: dict[str, object], path: str, check: FieldCheck, table_path: str) -> str:
    value: object = table
    name = table_path
    for key in path.split("."):
        if value is None and name != table_path:  # a section that is null counts as absent
            return ""
        if not isinstance(value, dict):
            return f"{name} must be an object"
        if key not in value:
            return ""
        name = f"{name}.{key}" if name else key
        value = value[key]
    is_unset = value is None and check is text and not table_path  # such as no management address
    expected = "" if is_unset else check(value)
    if not expected:
        return ""
    return f"{name} must be {expected}, not {_shown(value)}"


def _shown(value: object) -> str:
    return orjson.dumps(value).decode()[:MAX_SHOWN_VALUE_LENGTH]


def _check_list(settings: dict[str, object], key: str, fields: Mapping[str, FieldCheck]) -> list[str]:
    """Return the faults of the entries of a list, and of the request classes as a whole."""
    entries = settings.get(key, [])
    if not isinstance(entries, list):
        return [f"settings.{key} must be a list"]
    faults = []
    for index, entry in enumerate(entries):
        faults += _check_fields(entry, fields, f"settings.{key}[{index}]")
    if key == "offerings" and key in settings and not faults:
        faults += _check_request_classes(entries)
    return faults


def _check_request_classes(entries: list[dict[str, object]]) -> list[str]:
    """Return the faults of a list of request classes whose fields are valid on their own."""
    faults = []
    names = [entry.get("name") for entry in entries]
    if not entries:
        faults.append("settings.offerings must name one class of tasks at least")
    for index, entry in enumerate(entries):
        entry_path = f"settings.offerings[{index}]"
        if names[index] is None:
            faults.append(f"{entry_path}.name is missing")
        elif names[index] in names[:index]:
            faults.append(
                f"{entry_path}.name stands twice: each must have a name of its own, not {names[index]}"
            )
        faults += _check_durations(entry, entry_path)
    return faults


def _check_durations(entry: dict[str, object], entry_path: str) -> list[str]:
    faults = []
    for key in POSITIVE_DURATIONS:
        value = entry.get(key)
        if key not in entry:
            if key == "due-time-us":  # it defaults to expiry-us
                continue
            faults.append(f"{entry_path}.{key} is missing")
        elif not isinstance(value, int | float) or value <= 0:
            faults.append(f"{entry_path}.{key} must be a number above 0")
    return faults
