"""Enumerations that the policy shares with its host and with the codecs."""

from __future__ import annotations

from enum import IntEnum


class Idempotency(IntEnum):
    """What running a request twice would do."""

    IDEMPOTENT = 0
    KEYED = 1
    NON_IDEMPOTENT = 2


class DeduplicationScope(IntEnum):
    """Which executors drop repeats of a request with an idempotency key."""

    ALL = 0
    ZONE = 1
    CELL = 2


class EndpointState(IntEnum):
    """What the endpoint list says of an executor."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class Outcome(IntEnum):
    """How an attempt ended.

    Only AT_CAPACITY, CONNECT_FAILED and NOT_SENT prove that it never ran. INVALID means that the executor
    found the request itself bad: it ends the request and says nothing of the executor.
    """

    COMPLETED = 0
    ERROR = 1
    AT_CAPACITY = 2
    TIMED_OUT = 3
    CONNECT_FAILED = 4
    CONNECTION_LOST = 5
    CANCELLED = 6
    NOT_SENT = 7
    INVALID = 8
