"""The head of a task, read strictly: what an executor could not read, or would read otherwise, stays here."""

from __future__ import annotations

import re

UNITS = {b"m": 1e-3, b"u": 1e-6}
NUMBER = rb"[0-9]{1,15}(?:\.[0-9]{1,9})?"  # no signs, no exponents, nothing else that `float` would take
TIME = re.compile(rb"(%s)([mu])" % NUMBER)
FIGURE = re.compile(NUMBER)
NAME = re.compile(rb"[!-~]{1,128}")  # ids and fingerprints
TARGET = re.compile(rb"/([\w.~-]+)(?:[\w.~!$&'()*+,;=:@/?-]|%[0-9A-Fa-f]{2})*", re.ASCII)


class Unreadable(Exception):
    """A field that is missing or cannot be read."""


def _matched(pattern: re.Pattern, text: bytes, what: str) -> re.Match:
    found = pattern.fullmatch(text)
    if found is None:
        raise Unreadable(what)
    return found


def _figures(text: bytes) -> dict[bytes, float]:
    pairs = [pair.partition(b"=") for pair in text.split(b",") if pair.strip()]
    return {
        name.strip(): float(_matched(FIGURE, value.strip(), "further figures")[0]) for name, _, value in pairs
    }


def seconds(text: bytes | None) -> float | None:
    """A number and its unit: `480m` or `9000u`; None where there is none."""
    if text is None:
        return None
    number, unit = _matched(TIME, text, "how long the client waits").groups()
    return float(number) * UNITS[unit]


def _key(target: bytes) -> bytes:
    """What a task is about, the last part of the path behind its offering; nothing where there is none."""
    _, _, rest = target.partition(b"?")[0][1:].partition(b"/")
    return rest.rpartition(b"/")[2]


def read(target: bytes, headers: dict[bytes, bytes]) -> tuple[bytes, dict]:
    """The task's id, and what the decisions are told of it."""
    name = _matched(NAME, headers.get(b"x-request-id", b""), "the id")[0]
    if b"idempotency-key" in headers:
        _matched(NAME, headers[b"idempotency-key"], "the fingerprint")
    further = _figures(headers.get(b"x-extras", b""))
    return name, {
        "request_class": _matched(TARGET, target, "the target")[1].decode(),
        "tenant": headers.get(b"x-tenant", b"").decode("latin-1"),
        "budget": seconds(headers.get(b"x-deadline")),
        "cost": float(_matched(FIGURE, headers.get(b"x-cost-hint", b"0"), "the hint of cost")[0]) * 1e-6,
        "slots": further.get(b"slots", 1.0),
        "memory": further.get(b"memory", further.get(b"mem", 0.0)),
        "again": headers.get(b"x-retry") == b"1",
        "marked": b"idempotency-key" in headers,
        "key": _key(target),
    }
