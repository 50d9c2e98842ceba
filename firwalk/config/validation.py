"""Validates a TOML table against a msgspec Struct and reports all faults at once.

msgspec stops at the first fault, so each field is converted separately here. With any fault there is no
value, so that no part of a faulty file is applied.
"""

from __future__ import annotations

import tomllib
from collections.abc import Sequence
from difflib import get_close_matches
from typing import Any, TypeVar, get_args, get_origin

import msgspec

StructType = TypeVar("StructType", bound=msgspec.Struct)
MAX_SHOWN_VALUE_LENGTH = 40  # Longer invalid values are truncated in messages.


def load_toml(struct_type: type[StructType], path: str) -> tuple[StructType | None, list[str]]:
    """Return the value of a file (None if it has faults), and its faults, one line each."""
    try:
        with open(path, "rb") as file:
            text = file.read()
    except OSError as error:
        return None, [f"{path}: {error.strerror or error}"]
    return parse_toml(struct_type, text, path)


def parse_toml(struct_type: type[StructType], text: bytes, path: str) -> tuple[StructType | None, list[str]]:
    """Parse bytes that were read from `path`; return values as of `load_toml`."""
    try:
        table = tomllib.loads(text.decode())
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        return None, [f"{path}: not TOML: {' '.join(str(error).split())}"]
    value, faults = convert(struct_type, table)
    return (value if not faults else None), [f"{path}: {fault}" for fault in faults]


def convert(
    struct_type: type[StructType], table: object, table_path: str = ""
) -> tuple[StructType | None, list[str]]:
    """Convert a table to a Struct, field by field; `table_path`: the path of the table in faults."""
    if not isinstance(table, dict):
        return None, [f"{table_path or 'it'}: a table is wanted, not {_abbreviate(table)}"]
    fields = {field.encode_name: field for field in msgspec.structs.fields(struct_type)}
    values = {}
    faults = [
        _unknown_key(_path(table_path, name), name, list(fields)) for name in table if name not in fields
    ]
    for name, field in fields.items():
        if name in table:
            values[field.name], field_faults = _convert_field(
                field.type, table[name], _path(table_path, name)
            )
            faults += field_faults
        elif field.required:
            faults.append(f"{_path(table_path, name)}: is missing")
    if faults:
        return None, faults
    try:
        return struct_type(**values), []
    except ValueError as error:  # raised by a Struct's __post_init__
        prefix = f"{table_path}: " if table_path else ""
        return None, [f"{prefix}{line}" for line in str(error).splitlines()]


def _convert_field(field_type: Any, value: object, path: str) -> tuple[object, list[str]]:
    struct_type = _nested_struct(field_type)
    if struct_type is not None and get_origin(field_type) is list:
        return _convert_list(struct_type, value, path)
    if struct_type is not None and get_origin(field_type) is not dict:
        return convert(struct_type, value, path)
    try:
        return msgspec.convert(value, field_type), []
    except msgspec.ValidationError as error:
        return None, [f"{path}: {error}, not {_abbreviate(value)}"]


def _nested_struct(field_type: Any) -> type[msgspec.Struct] | None:
    """Return the Struct that a field's type is or contains (optional, list or dictionary), or None."""
    for part in (field_type, *get_args(field_type)):
        if isinstance(part, type) and issubclass(part, msgspec.Struct):
            return part
    return None


def _convert_list(struct_type: type[msgspec.Struct], value: object, path: str) -> tuple[object, list[str]]:
    if not isinstance(value, list):
        return None, [f"{path}: a list of tables is wanted, not {_abbreviate(value)}"]
    entries, faults = [], []
    for index, entry in enumerate(value):
        converted, entry_faults = convert(struct_type, entry, f"{path}[{index}]")
        entries.append(converted)
        faults += entry_faults
    return entries, faults


def _path(parent_path: str, name: str) -> str:
    return f"{parent_path}.{name}" if parent_path else name


def _abbreviate(value: object) -> str:
    return repr(value)[:MAX_SHOWN_VALUE_LENGTH]


def _unknown_key(path: str, name: str, known: Sequence[str]) -> str:
    similar = get_close_matches(name, known, 1)
    hint = f"; {similar[0]} is meant?" if similar else f"; known are {', '.join(known)}"
    return f"{path}: no such key{hint}"
