"""The binary frames of the bench's wire (maple-1b66): precompiled structs and codes, nothing else.

A record is a u8 code followed by fixed fields and, for some codes, counted content. `EVENTS` gives the
fixed part of each event; the loop reads counted content right behind it.
"""

from __future__ import annotations

from struct import Struct

from firwalk.policy.interface import EndpointState, Outcome

BATCH = Struct("<IIIQ")  # number, size of what follows the size field, records, clock
REPLY = Struct("<III")
AFTER_SIZE = 8  # bytes of a header up to and including the size field

ESTABLISHED, DOWN, DROPPED, HINT, SHEET, TARGETS = 10, 20, 30, 40, 50, 60
SAID, TIMER, INIT, PINGED, ITEM, RESPONSE = 70, 80, 90, 100, 110, 120

EVENTS = {
    ESTABLISHED: Struct("<xIQB6sI"),
    DOWN: Struct("<xI"),
    DROPPED: Struct("<xIQ"),
    HINT: Struct("<xIQ6sfBB"),
    SHEET: Struct("<xBI"),
    TARGETS: Struct("<xIBIB"),
    SAID: Struct("<xIHH"),
    TIMER: Struct("<xIQ"),
    INIT: Struct("<xIQI"),
    PINGED: Struct("<xI6sHIB"),
    ITEM: Struct("<xIQHIQIIffB"),
    RESPONSE: Struct("<xIQ6sIBBBHB"),
}
ENTRY = Struct("<BBBf6sQH")  # kind, zone, condition, weight, executor, came up, cell
FLOATS = [Struct(f"<{n}f") for n in range(256)]

HAND_OFF = Struct("<BIQ6sI")
OVERLOAD_REPLY = Struct("<BIQI")
GIVE_UP = Struct("<BIQ")
CALL_OFF = Struct("<BIQB")
DEFER = Struct("<BIQQ")
PING = Struct("<BI6s")
ANNOUNCE = Struct("<BIHH")
TEXT = Struct("<BIH")
WATCH = Struct("<BIB")
QUERY_ALL = Struct("<BI")

DO_HAND_OFF, DO_OVERLOAD_REPLY, DO_GIVE_UP, DO_CALL_OFF, DO_DEFER, DO_PING = 10, 20, 30, 40, 50, 60
DO_SHUT_IDLE, DO_ANNOUNCE, DO_TRACE, DO_FATAL, DO_WATCH, DO_QUERY_ALL = 70, 80, 90, 100, 110, 120
EVERY_PEER = 0xFFFF

OUTCOMES = {
    0: Outcome.COMPLETED,
    13: Outcome.ERROR,
    8: Outcome.AT_CAPACITY,
    4: Outcome.TIMED_OUT,
    14: Outcome.CONNECT_FAILED,
    10: Outcome.CONNECTION_LOST,
    1: Outcome.CANCELLED,
    9: Outcome.NOT_SENT,
}
CONDITIONS = {0: EndpointState.REMOVED, 1: EndpointState.READY, 2: EndpointState.DRAINING}


class Malformed(Exception):
    """A frame that does not follow the wire; says what and where."""
