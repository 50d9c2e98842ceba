"""Enumerations shared by the policy, its host and the codecs."""

from __future__ import annotations

from enum import IntEnum


class Idempotency(IntEnum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = 0
    KEYED = 1
    NON_IDEMPOTENT = 2


class DeduplicationScope(IntEnum):
    """The set of executors that share deduplication of requests with the same idempotency key."""

    ALL = 0
    ZONE = 1
    CELL = 2


class EndpointState(IntEnum):
    """The state of an executor in the endpoint list."""

    REMOVED = 0
    READY = 1
    DRAINING = 2


class Outcome(IntEnum):
    """How an attempt ended.

    Only AT_CAPACITY, CONNECT_FAILED and NOT_SENT prove that the attempt was never executed. INVALID means
    that the executor found the request malformed: it ends the request and does not count against the
    executor.
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
