"""Strict parser for the target and headers of a request.

Strictness keeps requests from being forwarded that an executor could not parse or would parse differently.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

from firwalk.limits.text_size import decode_text

SECONDS_PER_UNIT = {b"m": 1e-3, b"u": 1e-6}
# This excludes signs, exponents and other forms that `float` accepts.
NUMBER_REGEX = rb"[0-9]{1,15}(?:\.[0-9]{1,9})?"
DURATION_PATTERN = re.compile(rb"(%s)([mu])" % NUMBER_REGEX)
NUMBER_PATTERN = re.compile(NUMBER_REGEX)
TOKEN_PATTERN = re.compile(rb"[!-~]{1,128}")  # request ids and idempotency keys must match this
# The first part of the path is the request class; characters outside ASCII are escaped (RFC 3986).
TARGET_PATTERN = re.compile(
    rb"/((?:[\w.~-]++|%[0-9A-Fa-f]{2})++)(?:[\w.~!$&'()*+,;=:@/?-]|%[0-9A-Fa-f]{2})*", re.ASCII
)
ESCAPE_PATTERN = re.compile(rb"%([0-9A-Fa-f]{2})")

Headers = Mapping[bytes, bytes]


class Unreadable(Exception):
    """Raised for a target or header that is missing or malformed."""


@dataclass(init=False, repr=False, eq=False, slots=True)  # generated methods would slow the start of a node
class RequestHead:
    """The properties of a request that the dispatcher uses."""

    request_class: str
    tenant: str
    budget_s: float | None  # time until the client's deadline; None if it states none
    cost_s: float  # the client's estimate of the work; 0 if it gives none
    slots: float
    memory: float
    is_retry: bool
    has_idempotency_key: bool
    routing_key: bytes  # the last path segment; empty if there is none after the request class

    def __init__(
        self,
        request_class: str,
        tenant: str,
        budget_s: float | None,
        cost_s: float,
        slots: float,
        memory: float,
        is_retry: bool,
        has_idempotency_key: bool,
        routing_key: bytes,
    ) -> None:
        self.request_class = request_class
        self.tenant = tenant
        self.budget_s = budget_s
        self.cost_s = cost_s
        self.slots = slots
        self.memory = memory
        self.is_retry = is_retry
        self.has_idempotency_key = has_idempotency_key
        self.routing_key = routing_key


def _match(pattern: re.Pattern[bytes], text: bytes, field_name: str) -> re.Match[bytes]:
    match = pattern.fullmatch(text)
    if match is None:
        raise Unreadable(field_name)
    return match


def _parse_extras(text: bytes) -> dict[bytes, float]:
    pairs = [pair.partition(b"=") for pair in text.split(b",") if pair.strip()]
    return {
        name.strip(): float(_match(NUMBER_PATTERN, value.strip(), "further figures")[0])
        for name, _, value in pairs
    }


def parse_duration(text: bytes | None) -> float | None:
    """Parse a duration such as `480m` (milliseconds) or `9000u` (microseconds) into seconds.

    Return None for None. Raise Unreadable.
    """
    if text is None:
        return None
    number, unit = _match(DURATION_PATTERN, text, "the deadline").groups()
    return float(number) * SECONDS_PER_UNIT[unit]


def _unescape(segment: bytes) -> str:
    """Return a path segment as text; an escape that is not UTF-8 becomes a replacement character."""
    if b"%" not in segment:
        return segment.decode()
    return ESCAPE_PATTERN.sub(lambda escape: bytes([int(escape[1], 16)]), segment).decode(errors="replace")


def _routing_key(target: bytes) -> bytes:
    """Return the last path segment after the request class."""
    path = target.partition(b"?")[0]
    _, _, segments = path[1:].partition(b"/")
    return segments.rpartition(b"/")[2]


def read(target: bytes, headers: Headers) -> tuple[bytes, RequestHead]:
    """Parse the request's id and its other properties. Raise Unreadable."""
    request_id = _match(TOKEN_PATTERN, headers.get(b"x-request-id", b""), "the id")[0]
    has_idempotency_key = b"idempotency-key" in headers
    if has_idempotency_key:
        _match(TOKEN_PATTERN, headers[b"idempotency-key"], "the idempotency key")
    extras = _parse_extras(headers.get(b"x-extras", b""))
    cost_us = _match(NUMBER_PATTERN, headers.get(b"x-cost-hint", b"0"), "the cost hint")[0]
    head = RequestHead(
        request_class=_unescape(_match(TARGET_PATTERN, target, "the target")[1]),
        tenant=decode_text(headers.get(b"x-tenant", b"")),
        budget_s=parse_duration(headers.get(b"x-deadline")),
        cost_s=float(cost_us) * 1e-6,
        slots=extras.get(b"slots", 1.0),
        memory=extras.get(b"memory", extras.get(b"mem", 0.0)),
        is_retry=headers.get(b"x-retry") == b"1",
        has_idempotency_key=has_idempotency_key,
        routing_key=_routing_key(target),
    )
    return request_id, head
