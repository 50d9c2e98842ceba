"""Binary frames of the simulator's wire (maple-1b66): precompiled structs and codes.

Records have the names of the protocol's specification. Each is a u8 code followed by fixed fields and, for
some codes, counted content. `EVENTS` has the fixed part of each event; the content follows immediately.
"""

from __future__ import annotations

from struct import Struct

from firwalk.policy.interface import EndpointState, Outcome

# -- batches and replies ---------------------------------------------------------------------------------

BATCH = Struct("<IIIQ")  # number, size of what follows the size field, records, clock
REPLY = Struct("<III")  # number, size of what follows the size field, records
SIZE_FIELD_END = 8  # Offset of the first byte after the size field of a header.

# -- events, from the simulator --------------------------------------------------------------------------

ESTABLISHED, DOWN, DROPPED, HINT, SHEET, TARGETS = 10, 20, 30, 40, 50, 60
SAID, TIMER, INIT, PINGED, ITEM, RESPONSE = 70, 80, 90, 100, 110, 120

EVENTS = {
    ESTABLISHED: Struct("<xIQB6sI"),  # node, request, attempt, executor, ...
    DOWN: Struct("<xI"),  # node
    DROPPED: Struct("<xIQ"),  # node, request
    HINT: Struct("<xIQ6sfBB"),  # node, request, executor, ..., progress, attempt
    SHEET: Struct("<xBI"),  # list, entries; followed by the entries
    TARGETS: Struct("<xIBIB"),  # node, scope, ..., list
    SAID: Struct("<xIHH"),  # node, peer, bytes; followed by what the peer sent
    TIMER: Struct("<xIQ"),  # node, timer
    INIT: Struct("<xIQI"),  # node, seed, bytes; followed by the settings as JSON
    PINGED: Struct("<xI6sHIB"),  # node, executor, outcome, us, floats; followed by the load report
    ITEM: Struct(
        "<xIQHIQIIffB"
    ),  # node, request, class, tenant, key, budget us, cost us, slots, memory, flags
    RESPONSE: Struct("<xIQ6sIBBBHB"),  # node, request, executor, us, ..., answered, attempt, outcome, floats
}
ENTRY = Struct("<BBBf6sQH")  # kind, zone, condition, weight, executor, came up, cell
FLOATS = [Struct(f"<{count}f") for count in range(256)]
FLOAT_SIZE = 4

ITEM_HAS_COST, ITEM_IS_RETRY = 1, 2  # flags
HINT_STARTED, HINT_RUNNING = 1, 2  # values of progress
TARGETS_UPDATE, TARGETS_FAILED = 0, 3  # values of scope; all others are complete lists

# -- actions, to the simulator ---------------------------------------------------------------------------

HAND_OFF = Struct("<BIQ6sI")  # code, node, request, executor, timeout us
OVERLOAD_REPLY = Struct("<BIQI")  # code, node, request, Retry-After us
GIVE_UP = Struct("<BIQ")  # code, node, request
CALL_OFF = Struct("<BIQB")  # code, node, request, attempt
DEFER = Struct("<BIQQ")  # code, node, due us, timer
PING = Struct("<BI6s")  # code, node, executor; DO_SHUT_IDLE has the same form
ANNOUNCE = Struct("<BIHH")  # code, node, peer, bytes; followed by the content
TEXT = Struct("<BIH")  # code, node, bytes; followed by the text
WATCH = Struct("<BIB")  # code, node, whether it is on
QUERY_ALL = Struct("<BI")  # code, node

DO_HAND_OFF, DO_OVERLOAD_REPLY, DO_GIVE_UP, DO_CALL_OFF, DO_DEFER, DO_PING = 10, 20, 30, 40, 50, 60
DO_SHUT_IDLE, DO_ANNOUNCE, DO_TRACE, DO_FATAL, DO_WATCH, DO_QUERY_ALL = 70, 80, 90, 100, 110, 120
EVERY_PEER = 0xFFFF
MAX_TEXT_SIZE = 0xFFFF
MAX_MICROSECONDS = 0xFFFFFFFF

# -- enumerations ----------------------------------------------------------------------------------------

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
    """A frame that violates the protocol; the message says what is wrong and where."""
