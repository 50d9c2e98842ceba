"""Limits on descriptors and memory: what may be open, what is evicted when they run short, what is reserved.

Connections are counted, not files. When a client or an executor needs one and none is left, an idle
connection is evicted for it. With none idle, a client is admitted on a spare descriptor, where its request is
answered 503; with no spare one left, nobody is admitted until a descriptor is free. An attempt waits for one
as long as a connect may take, and then ends as not sent. Health checks leave room for both. Bodies have a
share of the memory, counted as they come; beyond it a client is answered 503.
"""

from __future__ import annotations

from collections.abc import Callable

from firwalk.observability.log import check_invariant

BASE_DESCRIPTORS = 20  # listener, list, peers, event loop, standard streams
MIN_DESCRIPTORS = 8  # for connections, however low the limit
MIN_SPARE = 2
SPARE_SHARE = 0.125  # of the descriptors for connections
CLIENT_SHARE = 0.6  # of what the spare ones leave: beyond it, clients leave room for executors
HEALTH_CHECK_SHARE = 0.75  # of the same: beyond it, no connection is opened for a health check
PROGRAM_BYTES = 20e6  # that the program takes without any request
MIN_REQUEST_MEMORY_SHARE = 0.1  # of all, however little the program leaves
BODY_SHARE = 0.4  # of the memory for requests: for bodies, from their first bytes to the end of the request
BODY_COPIES = 2  # the body itself, and the bytes of an attempt
CLIENT_MEMORY_SHARE = 0.4  # of the memory for requests: for connections without bodies
CLIENT_BYTES = 24000  # of a connection: buffer, reader, parser, and what belongs to a request


def _evict_no_client(is_spare: bool) -> bool:
    return False


def _evict_no_executor() -> bool:
    return False


class Budget:
    """Counts connections and bytes of bodies against the limits of the process."""

    def __init__(self, descriptors: int, memory_bytes: int, reserved: int = 0) -> None:
        self.reserved = reserved  # descriptors for other uses
        self.clients = 0  # without those on spare descriptors
        self.executors = 0
        self.spare = 0
        self.body_bytes = 0
        # Each closes an idle connection; whether there was one. A client's is on a spare descriptor, or not.
        self.evict_client: Callable[[bool], bool] = _evict_no_client
        self.evict_executor: Callable[[], bool] = _evict_no_executor
        self.set_limits(descriptors, memory_bytes)

    def set_limits(self, descriptors: int, memory_bytes: int) -> None:
        """Changes the limits; what is open beyond them stays until it is needed elsewhere or ends."""
        available = max(descriptors - BASE_DESCRIPTORS - self.reserved, MIN_DESCRIPTORS)
        memory = max(memory_bytes - PROGRAM_BYTES, MIN_REQUEST_MEMORY_SHARE * memory_bytes)
        self.max_spare = max(int(available * SPARE_SHARE), MIN_SPARE)
        self.max_connections = available - self.max_spare
        self.max_clients = min(
            int(self.max_connections * CLIENT_SHARE), int(memory * CLIENT_MEMORY_SHARE / CLIENT_BYTES)
        )
        self.max_body_bytes = int(memory * BODY_SHARE / BODY_COPIES)

    def limit_to_current(self, additional: int) -> None:
        """What is open may stay, and `additional` more connections may be opened, whatever their use."""
        self.max_connections = self.clients + self.executors + additional

    def open_client(self) -> bool:
        """Counts a client's connection, evicting another if needed; False where none is left."""
        if self.clients >= self.max_clients and not self.evict_client(False):
            return False
        is_full = self.clients + self.executors >= self.max_connections
        if is_full and not (self.evict_executor() or self.evict_client(False)):
            return False
        self.clients += 1
        return True

    def open_spare(self) -> bool:
        """Counts a client's connection on a spare descriptor; False where none is left."""
        if self.spare >= self.max_spare and not self.evict_client(True):
            return False
        self.spare += 1
        return True

    def force_spare(self) -> None:
        """Counts a spare connection that is open already, whatever the limit."""
        self.spare += 1

    def move_off_spare(self) -> bool:
        """Counts a spare connection as an ordinary one, if one is left again."""
        if not self.open_client():
            return False
        self.spare -= 1
        return True

    def open_executor(self, is_health_check: bool = False) -> bool:
        """Counts a connection to an executor, evicting another if needed; False where none is left."""
        in_use = self.clients + self.executors
        if is_health_check and in_use >= self.max_connections * HEALTH_CHECK_SHARE:
            return False
        if in_use >= self.max_connections and not (self.evict_client(False) or self.evict_executor()):
            return False
        self.executors += 1
        return True

    def adopt_client(self) -> None:
        """Counts a connection that another process of this node handed over, with its descriptor.

        Until the limits are shared out anew, it must not cause an eviction.
        """
        self.clients += 1
        self.max_connections += 1
        self.max_clients += 1

    def adopt_executor(self) -> None:
        """The same for a connection to an executor."""
        self.executors += 1
        self.max_connections += 1

    def close_client(self, is_spare: bool) -> None:
        """Counts the end of a client's connection."""
        self.clients -= not is_spare
        self.spare -= is_spare
        check_invariant(min(self.clients, self.spare) >= 0, "a client's connection is counted once")

    def close_executor(self) -> None:
        """Counts the end of a connection to an executor."""
        self.executors -= 1
        check_invariant(self.executors >= 0, "an executor's connection is counted once")

    def reserve_memory(self, size_bytes: int) -> bool:
        """Reserves memory for a part of a body; False where none is left."""
        if self.body_bytes + size_bytes > self.max_body_bytes:
            return False
        self.body_bytes += size_bytes
        return True

    def release_memory(self, size_bytes: int) -> None:
        """Releases what was reserved."""
        self.body_bytes -= size_bytes
        check_invariant(self.body_bytes >= 0, "a body is let go once")
