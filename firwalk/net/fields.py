"""Reads the head of a request strictly.

What an executor could not read, or would read otherwise, is not forwarded to it.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass

SECONDS_PER_UNIT = {b"m": 1e-3, b"u": 1e-6}
NUMBER = rb"[0-9]{1,15}(?:\.[0-9]{1,9})?"  # no signs, no exponents, nothing else that `float` would take
DURATION_PATTERN = re.compile(rb"(%s)([mu])" % NUMBER)
NUMBER_PATTERN = re.compile(NUMBER)
NAME_PATTERN = re.compile(rb"[!-~]{1,128}")  # of request ids and idempotency keys
TARGET_PATTERN = re.compile(rb"/([\w.~-]+)(?:[\w.~!$&'()*+,;=:@/?-]|%[0-9A-Fa-f]{2})*", re.ASCII)

Headers = Mapping[bytes, bytes]


class Unreadable(Exception):
    """A field of a request's head is missing or cannot be read."""


@dataclass(init=False, repr=False, eq=False, slots=True)  # generating methods slows the start of a node
class RequestHead:
    """What the dispatcher is told of a request."""

    request_class: str
    tenant: str
    budget_s: float | None  # how long the client waits
    cost_s: float  # the client's hint; 0: none
    slots: float
    memory: float
    is_retry: bool
    has_idempotency_key: bool
    routing_key: bytes  # what the request is about; empty where the target does not say

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


def _match(pattern: re.Pattern[bytes], text: bytes, what: str) -> re.Match[bytes]:
    match = pattern.fullmatch(text)
    if match is None:
        raise Unreadable(what)
    return match


def _parse_extras(text: bytes) -> dict[bytes, float]:
    pairs = [pair.partition(b"=") for pair in text.split(b",") if pair.strip()]
    return {
        name.strip(): float(_match(NUMBER_PATTERN, value.strip(), "further figures")[0])
        for name, _, value in pairs
    }


def seconds(text: bytes | None) -> float | None:
    """A duration such as `480m` (milliseconds) or `9000u` (microseconds) in seconds; None where there is
    none. Raises Unreadable."""
    if text is None:
        return None
    number, unit = _match(DURATION_PATTERN, text, "how long the client waits").groups()
    return float(number) * SECONDS_PER_UNIT[unit]


def _routing_key(target: bytes) -> bytes:
    """The last part of the path behind the request class."""
    path = target.partition(b"?")[0]
    _, _, rest = path[1:].partition(b"/")
    return rest.rpartition(b"/")[2]


def read(target: bytes, headers: Headers) -> tuple[bytes, RequestHead]:
    """The request's id, and its head. Raises Unreadable."""
    request_id = _match(NAME_PATTERN, headers.get(b"x-request-id", b""), "the id")[0]
    has_idempotency_key = b"idempotency-key" in headers
    if has_idempotency_key:
        _match(NAME_PATTERN, headers[b"idempotency-key"], "the fingerprint")
    extras = _parse_extras(headers.get(b"x-extras", b""))
    cost_us = _match(NUMBER_PATTERN, headers.get(b"x-cost-hint", b"0"), "the hint of cost")[0]
    head = RequestHead(
        request_class=_match(TARGET_PATTERN, target, "the target")[1].decode(),
        tenant=headers.get(b"x-tenant", b"").decode("latin-1"),
        budget_s=seconds(headers.get(b"x-deadline")),
        cost_s=float(cost_us) * 1e-6,
        slots=extras.get(b"slots", 1.0),
        memory=extras.get(b"memory", extras.get(b"mem", 0.0)),
        is_retry=headers.get(b"x-retry") == b"1",
        has_idempotency_key=has_idempotency_key,
        routing_key=_routing_key(target),
    )
    return request_id, head
