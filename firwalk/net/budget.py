"""Limits on file descriptors and memory: admission and eviction of connections, and the memory pool.

Connections are counted, not files. When a client or an executor needs a connection at the limit, an idle one
is evicted. If none is idle, a client is admitted on a spare descriptor, where its request is answered 503;
without a spare one, no client is admitted until a descriptor is free. An attempt waits for a descriptor for
at most the connect timeout and then ends as not sent. Health checks are limited further, so that they leave
descriptors for clients and attempts. What peers send shares a part of the memory (`firwalk.limits.memory`),
counted before it is kept; a client whose message does not fit is answered 503.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from firwalk.limits.memory import MemoryPool
from firwalk.observability.log import check_invariant

BASE_DESCRIPTORS = 20  # the listener, discovery, peers, event loop and standard streams use these
MIN_DESCRIPTORS = 8  # connections may use at least this many, however low the limit
MIN_SPARE = 2
SPARE_SHARE = 0.125  # this fraction of the descriptors for connections is spare
CLIENT_SHARE = 0.6  # clients may use this fraction of the descriptors that are not spare
HEALTH_CHECK_SHARE = 0.75  # health checks open no connection once this fraction is in use
BASE_MEMORY_BYTES = 20e6  # the process uses this much memory without any request
MIN_REQUEST_MEMORY_SHARE = 0.1  # requests may use at least this fraction of the memory limit
POOL_SHARE = 0.4  # messages may use this fraction of the request memory
CLIENT_MEMORY_SHARE = 0.4  # connections without bodies may use this fraction of the request memory
CLIENT_CONNECTION_BYTES = (
    24000  # a connection uses this much for its buffer, reader, parser and request state
)


def _evict_no_client(is_spare: bool, is_for_attempt: bool = False) -> bool:
    return False


def _evict_no_executor() -> bool:
    return False


class EvictClient(Protocol):
    """Closes an idle connection of a client; returns whether there was one."""

    def __call__(self, is_spare: bool, is_for_attempt: bool = False, /) -> bool:
        """Close one, on a spare descriptor or an ordinary one, for an attempt or another client."""


class Budget:
    """Counts connections and the memory of messages against the limits of the process."""

    def __init__(self, descriptors: int, memory_bytes: int, reserved: int = 0) -> None:
        self.reserved = reserved  # descriptors for other uses
        self.clients = 0  # not counting those on spare descriptors
        self.executors = 0
        self.spare = 0
        self.memory = MemoryPool(0)
        self.memory_bytes = memory_bytes  # of the node; a process may have a part of it for some time
        # Each closes an idle connection and returns whether there was one.
        self.evict_client: EvictClient = _evict_no_client
        self.evict_executor: Callable[[], bool] = _evict_no_executor
        self.set_limits(descriptors, memory_bytes)

    def set_limits(self, descriptors: int, memory_bytes: int) -> None:
        """Change the limits; connections above them stay open until they end or are evicted."""
        available = max(descriptors - BASE_DESCRIPTORS - self.reserved, MIN_DESCRIPTORS)
        memory = max(memory_bytes - BASE_MEMORY_BYTES, MIN_REQUEST_MEMORY_SHARE * memory_bytes)
        self.max_spare = max(int(available * SPARE_SHARE), MIN_SPARE)
        self.max_connections = available - self.max_spare
        self.max_clients = min(
            int(self.max_connections * CLIENT_SHARE),
            int(memory * CLIENT_MEMORY_SHARE / CLIENT_CONNECTION_BYTES),
        )
        self.memory.set_limit(int(memory * POOL_SHARE))

    def limit_to_current(self, additional: int) -> None:
        """Limit connections to those open now and `additional` more, for clients or executors."""
        self.max_connections = self.clients + self.executors + additional

    def open_client(self) -> bool:
        """Count a client's connection, evicting another if needed; return False if none is available."""
        if self.clients >= self.max_clients and not self.evict_client(False):
            return False
        is_full = self.clients + self.executors >= self.max_connections
        if is_full and not (self.evict_executor() or self.evict_client(False)):
            return False
        self.clients += 1
        return True

    def open_spare(self) -> bool:
        """Count a client's connection on a spare descriptor; return False if none is available."""
        if self.spare >= self.max_spare and not self.evict_client(True):
            return False
        self.spare += 1
        return True

    def open_spare_unchecked(self) -> None:
        """Count a connection on a spare descriptor regardless of the limit."""
        self.spare += 1

    def promote_spare(self) -> bool:
        """Recount a spare connection as an ordinary one; return False if none is available."""
        if not self.open_client():
            return False
        self.spare -= 1
        return True

    def open_executor(self, is_health_check: bool = False) -> bool:
        """Count an executor's connection, evicting another if needed; return False if none is available."""
        in_use = self.clients + self.executors
        if is_health_check and in_use >= self.max_connections * HEALTH_CHECK_SHARE:
            return False
        if in_use >= self.max_connections and not (self.evict_client(False, True) or self.evict_executor()):
            return False
        self.executors += 1
        return True

    def adopt_client(self) -> None:
        """Count a client's connection that another process of this node handed over with its descriptor.

        The limits grow by one until they are divided between the processes again, so that it evicts nothing.
        """
        self.clients += 1
        self.max_connections += 1
        self.max_clients += 1

    def adopt_executor(self) -> None:
        """Count a handed-over connection to an executor, as `adopt_client` does for a client."""
        self.executors += 1
        self.max_connections += 1

    def close_client(self, is_spare: bool) -> None:
        """Count the end of a client's connection."""
        self.clients -= not is_spare
        self.spare -= is_spare
        check_invariant(min(self.clients, self.spare) >= 0, "client connections are counted correctly")

    def close_executor(self) -> None:
        """Count the end of a connection to an executor."""
        self.executors -= 1
        check_invariant(self.executors >= 0, "executor connections are counted correctly")
