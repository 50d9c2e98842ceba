"""Checks a table (of TOML) against a msgspec Struct, and tells all that is wrong with it at once.

msgspec itself stops at the first fault; here each field is converted by itself. Nothing is half applied: with
any fault there is no value.
"""

from __future__ import annotations

import tomllib
from typing import Any, get_args, get_origin

import msgspec


def load_toml(kind: type, path: str) -> tuple[Any, list[str]]:
    """The value in the file, and what is wrong, a line each; with a fault the value is None."""
    try:
        with open(path, "rb") as file:
            text = file.read()
    except OSError as problem:
        return None, [f"{path}: {problem.strerror or problem}"]
    return parse_toml(kind, text, path)


def parse_toml(kind: type, text: bytes, path: str) -> tuple[Any, list[str]]:
    """The same of what was read of the file."""
    try:
        table = tomllib.loads(text.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as problem:
        return None, [f"{path}: not TOML: {' '.join(str(problem).split())}"]
    value, faults = convert(kind, table)
    return (value if not faults else None), [f"{path}: {fault}" for fault in faults]


def convert(kind: type, table: Any, where: str = "") -> tuple[Any, list[str]]:
    """A Struct out of a table, field by field."""
    if not isinstance(table, dict):
        return None, [f"{where or 'it'}: a table is wanted, not {_shown(table)}"]
    faults, values = [], {}
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    for name in table:
        if name not in fields:
            faults.append(_unknown(_path(where, name), name, list(fields)))
    for name, field in fields.items():
        if name not in table:
            if field.required:
                faults.append(f"{_path(where, name)}: is missing")
            continue
        values[field.name], wrong = _value(field.type, table[name], _path(where, name))
        faults += wrong
    if faults:
        return None, faults
    try:
        return kind(**values), []
    except ValueError as problem:  # what a Struct finds of its fields together
        return None, [f"{where + ': ' if where else ''}{line}" for line in str(problem).splitlines()]


def _value(kind: Any, value: Any, where: str) -> tuple[Any, list[str]]:
    structs = [
        part
        for part in (kind, *get_args(kind))
        if isinstance(part, type) and issubclass(part, msgspec.Struct)
    ]
    if structs and get_origin(kind) is list:
        if not isinstance(value, list):
            return None, [f"{where}: a list of tables is wanted, not {_shown(value)}"]
        pairs = [convert(structs[0], entry, f"{where}[{number}]") for number, entry in enumerate(value)]
        return [pair[0] for pair in pairs], [fault for pair in pairs for fault in pair[1]]
    if structs and get_origin(kind) is not dict:
        return convert(structs[0], value, where)
    try:
        return msgspec.convert(value, kind), []
    except msgspec.ValidationError as problem:
        return None, [f"{where}: {problem}, not {_shown(value)}"]


def _path(where: str, name: str) -> str:
    return f"{where}.{name}" if where else name


def _shown(value: Any) -> str:
    return f"{value!r:.40}"


def _unknown(path: str, name: str, known: list[str]) -> str:
    from difflib import get_close_matches

    near = get_close_matches(name, known, 1)
    return f"{path}: no such key" + (f"; {near[0]} is meant?" if near else f"; known are {', '.join(known)}")
