"""Validates a TOML table against a msgspec Struct and reports all faults at once.

msgspec stops at the first fault, so each field is converted by itself here. With any fault there is no value:
nothing is half applied.
"""

from __future__ import annotations

import tomllib
from collections.abc import Sequence
from difflib import get_close_matches
from typing import Any, TypeVar, get_args, get_origin

import msgspec

StructType = TypeVar("StructType", bound=msgspec.Struct)
MAX_SHOWN_VALUE = 40  # characters of a bad value that are shown


def load_toml(kind: type[StructType], path: str) -> tuple[StructType | None, list[str]]:
    """The value in a file and its faults, one line each; with a fault there is no value."""
    try:
        with open(path, "rb") as file:
            text = file.read()
    except OSError as problem:
        return None, [f"{path}: {problem.strerror or problem}"]
    return parse_toml(kind, text, path)


def parse_toml(kind: type[StructType], text: bytes, path: str) -> tuple[StructType | None, list[str]]:
    """Like `load_toml`, for bytes that were read from `path`."""
    try:
        table = tomllib.loads(text.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        return None, [f"{path}: not TOML: {' '.join(str(problem).split())}"]
    value, faults = convert(kind, table)
    return (value if not faults else None), [f"{path}: {fault}" for fault in faults]


def convert(kind: type[StructType], table: object, where: str = "") -> tuple[StructType | None, list[str]]:
    """A Struct made from a table, field by field; `where`: the table's own path, for faults."""
    if not isinstance(table, dict):
        return None, [f"{where or 'it'}: a table is wanted, not {_shown(table)}"]
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    values = {}
    faults = [_unknown_key(_path(where, name), name, list(fields)) for name in table if name not in fields]
    for name, field in fields.items():
        if name in table:
            values[field.name], field_faults = _convert_field(field.type, table[name], _path(where, name))
            faults += field_faults
        elif field.required:
            faults.append(f"{_path(where, name)}: is missing")
    if faults:
        return None, faults
    try:
        return kind(**values), []
    except ValueError as problem:  # raised by a Struct's __post_init__
        prefix = f"{where}: " if where else ""
        return None, [f"{prefix}{line}" for line in str(problem).splitlines()]


def _convert_field(kind: Any, value: object, where: str) -> tuple[object, list[str]]:
    struct = _struct_in(kind)
    if struct is not None and get_origin(kind) is list:
        return _convert_list(struct, value, where)
    if struct is not None and get_origin(kind) is not dict:
        return convert(struct, value, where)
    try:
        return msgspec.convert(value, kind), []
    except msgspec.ValidationError as problem:
        return None, [f"{where}: {problem}, not {_shown(value)}"]


def _struct_in(kind: Any) -> type[msgspec.Struct] | None:
    """The Struct that a field's type is, or is an optional, a list or a dictionary of."""
    for part in (kind, *get_args(kind)):
        if isinstance(part, type) and issubclass(part, msgspec.Struct):
            return part
    return None


def _convert_list(struct: type[msgspec.Struct], value: object, where: str) -> tuple[object, list[str]]:
    if not isinstance(value, list):
        return None, [f"{where}: a list of tables is wanted, not {_shown(value)}"]
    entries, faults = [], []
    for index, entry in enumerate(value):
        converted, entry_faults = convert(struct, entry, f"{where}[{index}]")
        entries.append(converted)
        faults += entry_faults
    return entries, faults


def _path(where: str, name: str) -> str:
    return f"{where}.{name}" if where else name


def _shown(value: object) -> str:
    return repr(value)[:MAX_SHOWN_VALUE]


def _unknown_key(path: str, name: str, known: Sequence[str]) -> str:
    similar = get_close_matches(name, known, 1)
    hint = f"; {similar[0]} is meant?" if similar else f"; known are {', '.join(known)}"
    return f"{path}: no such key{hint}"
