"""Bytes that a client has sent and that are not parsed yet.

The socket is read ahead of the parser, so that the end of the client is seen even behind a queue of requests:
nothing is begun for a client whose bytes have not been read to their end. Reading ahead is limited; a client
that has sent more has overrun the limit, until all of its bytes are read.
"""

from __future__ import annotations

import socket
from collections import deque
from time import monotonic

from firwalk.limits.memory import MemoryCharge, MemoryPool, MemoryUse
from firwalk.net.buffers import Buffers
from firwalk.net.socket_io import has_hung_up

MAX_UNPARSED_BYTES = 2 * 65536  # a request of the largest size does not overrun the limit
CHUNK_OBJECT_BYTES = 256  # the objects of a chunk take this much memory beside its bytes
MERGE_INTERVAL_S = 0.01  # bytes that arrive within this time share a chunk and its arrival time
# One slice is parsed at a time, so that other connections have their turns between slices.
SLICE_BYTES = 1024


class _Chunk:
    """Bytes that were read at about the same time."""

    __slots__ = ("data", "offset", "read_at")

    def __init__(self, data: memoryview, read_at: float) -> None:
        self.data = bytearray(data)
        self.offset = 0  # the bytes before it are parsed
        self.read_at = read_at


class Slice:
    """Bytes to parse next, and when they were read."""

    __slots__ = ("data", "read_at")

    def __init__(self, data: bytes, read_at: float) -> None:
        self.data = data
        self.read_at = read_at


class ClientInput:
    """Reads a client's socket without waiting, and keeps what is not parsed yet."""

    def __init__(self, sock: socket.socket, buffers: Buffers, memory: MemoryPool) -> None:
        self._sock = sock
        self._buffers = buffers
        self._chunks: deque[_Chunk] = deque()
        self._unparsed_bytes = 0
        self._charge = MemoryCharge(memory, MemoryUse.INPUT)
        self.has_ended = False  # the client has closed or reset the connection, or shut down its sending
        self.is_overrun = False  # the client has sent more than was read

    def has_unparsed(self) -> bool:
        """Return whether bytes wait for the parser."""
        return bool(self._chunks)

    def is_full(self) -> bool:
        """Return whether no more is read ahead."""
        return self._unparsed_bytes >= MAX_UNPARSED_BYTES

    def receive(self) -> None:
        """Read what the socket has, up to the limit."""
        # The kernel keeps bytes that were received before a reset; a read would not show the reset yet.
        if self._chunks and has_hung_up(self._sock):
            self.has_ended = True
            return
        self._receive_all(stops_at_short_read=True)

    def _receive_all(self, stops_at_short_read: bool) -> None:
        """Read up to the limit, and until nothing is left; a short read shows that nothing was left then."""
        buffer = self._buffers.scratch
        try:
            while not self.has_ended:
                if self.is_full() or not self._has_memory(len(buffer)):
                    self.is_overrun = True
                    return
                count = self._sock.recv_into(buffer)
                self._keep(buffer[:count])
                if stops_at_short_read and count < len(buffer):
                    break
            self.is_overrun = False
        except BlockingIOError:
            self.is_overrun = False
        except (OSError, ValueError):  # reset by the client, or closed by this process
            self.has_ended = True

    def _has_memory(self, size_bytes: int) -> bool:
        """Charge the memory of a read; the first one is part of the memory of a connection."""
        if not self._chunks:
            return True
        kept_bytes = self._unparsed_bytes + len(self._chunks) * CHUNK_OBJECT_BYTES
        missing_bytes = kept_bytes + size_bytes + CHUNK_OBJECT_BYTES - self._charge.size_bytes
        return missing_bytes <= 0 or self._charge.grow(missing_bytes)

    def _keep(self, data: memoryview) -> None:
        if not data:
            self.has_ended = True
            return
        now = monotonic()
        self._unparsed_bytes += len(data)
        last = self._chunks[-1] if self._chunks else None
        if last is not None and now - last.read_at < MERGE_INTERVAL_S:
            del last.data[: last.offset]
            last.offset = 0
            last.data += data
        else:
            self._chunks.append(_Chunk(data, now))

    def next_slice(self) -> Slice:
        """Remove and return the bytes to parse next; there must be some."""
        chunk = self._chunks[0]
        end = chunk.offset + SLICE_BYTES
        data = bytes(memoryview(chunk.data)[chunk.offset : end])
        chunk.offset = end
        if end >= len(chunk.data):
            self._chunks.popleft()
        self._unparsed_bytes -= len(data)
        if not self._chunks:
            self._charge.release()
        return Slice(data, chunk.read_at)

    def refresh(self) -> bool:
        """Read what the socket has; return whether it is certain that the client has not left."""
        if self._chunks and has_hung_up(self._sock):
            self.has_ended = True
        else:
            self._receive_all(stops_at_short_read=False)
        return not (self.has_ended or self.is_overrun)

    def discard(self) -> None:
        """Drop what is not parsed and release its memory."""
        self._chunks.clear()
        self._unparsed_bytes = 0
        self._charge.release()
