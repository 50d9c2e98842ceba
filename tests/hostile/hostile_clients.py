"""A flood of hostile clients: `python hostile_clients.py PORT SHAPE CONNECTIONS SECONDS`.

It runs in a process of its own, so that it slows neither the ordinary clients nor the stand-in executors.
Each connection sends its shape as fast as the node reads; one that ends is opened again.
"""

import itertools
import selectors
import socket
import struct
import sys
import time

RECONNECT_DELAY_S = 0.01
SEND_BYTES = 65536
READ_BYTES = 65536
UNREAD_RECEIVE_BUFFER_BYTES = 4096
BODY_BYTES = 65536
LEAVE = b"leave"  # not sent: the connection is reset
RESET = struct.pack("ii", 1, 0)  # SO_LINGER: a close sends RST
numbers = itertools.count()


def head(path=b"/read/k", *fields):
    lines = [
        b"POST %s HTTP/1.1" % path,
        b"Host: h",
        b"X-Request-Id: hostile%d" % next(numbers),
        b"X-Deadline: 2000m",
        *fields,
    ]
    return b"\r\n".join(lines) + b"\r\n"


def repeat(piece):
    while True:
        yield piece


def many_fields():
    """An unfinished head of thousands of fields of one or two letters."""
    yield head() + b"".join(b"%x:\r\n" % number for number in range(3800))


def many_fields_slowly():
    fields = [b"%x:\r\n" % number for number in range(3800)]
    yield head()
    for start in range(0, len(fields), 40):
        yield b"".join(fields[start : start + 40])
        yield None


def endless_value():
    yield head() + b"X-Long: "
    yield from repeat(b"v" * SEND_BYTES)


def endless_value_slowly():
    yield head() + b"X-Long: "
    while True:
        yield b"v" * 8192
        yield None


def endless_fields():
    yield head()
    yield from repeat(b"A: b\r\n" * 5000)


def endless_target():
    yield b"POST /read/"
    yield from repeat(b"k" * SEND_BYTES)


def endless_trailer():
    yield head(b"/read/k", b"Transfer-Encoding: chunked") + b"\r\n1\r\nb\r\n0\r\nX-Trailer: "
    yield from repeat(b"v" * SEND_BYTES)


def endless_chunk_extension():
    yield head(b"/read/k", b"Transfer-Encoding: chunked") + b"\r\n1;name="
    yield from repeat(b"v" * SEND_BYTES)


def endless_blank_lines():
    yield from repeat(b"\r\n" * 30000)


def half_body():
    yield head(b"/read/k", b"Content-Length: %d" % BODY_BYTES) + b"\r\n" + b"b" * (BODY_BYTES - 100)


def tiny_pieces():
    """A body that is written a few bytes at a time."""
    yield head(b"/read/k", b"Content-Length: %d" % BODY_BYTES) + b"\r\n"
    while True:
        yield b"b" * 13
        yield None


def tiny_chunks():
    yield head(b"/read/k", b"Transfer-Encoding: chunked") + b"\r\n" + b"2\r\nbb\r\n" * (BODY_BYTES // 2 - 100)


def tiny_chunks_without_end():
    while True:
        yield head(b"/read/k", b"Transfer-Encoding: chunked") + b"\r\n"
        yield b"2\r\nbb\r\n" * (BODY_BYTES // 2 - 100) + b"0\r\n\r\n"


def batches():
    """Dozens of sound requests at once, again and again."""
    while True:
        yield b"".join(head(b"/read/k", b"Content-Length: 0") + b"\r\n" for _ in range(48))


def batches_of_new_names():
    while True:
        names = [b"%08d" % next(numbers) for _ in range(16)]
        yield b"".join(
            head(b"/read/" + name * 1000, b"X-Tenant: " + name * 100, b"Content-Length: 0") + b"\r\n"
            for name in names
        )


def unknown_classes():
    while True:
        yield b"".join(head(b"/class%d/k" % next(numbers), b"Content-Length: 0") + b"\r\n" for _ in range(48))


def unsound():
    yield from repeat(b"GET / HTTP/1.1\r\n\r\n" * 400)


def health_checks():
    yield from repeat(b"GET /_health HTTP/1.1\r\n\r\n" * 200)


def not_http():
    """Bytes that are refused at once, on a connection after the other."""
    yield head() + b"X-Bad: \x01\r\n\r\n"


def large_bodies():
    """Sound requests with the largest body, one after the other."""
    body = b"b" * BODY_BYTES
    while True:
        yield head(b"/read/k", b"Content-Length: %d" % BODY_BYTES) + b"\r\n" + body


def large_heads():
    filler = b"X-Filler: " + b"f" * 15000
    while True:
        yield head(b"/read/k", filler, b"Content-Length: 0") + b"\r\n"


def waits_for_continue():
    yield head(b"/read/k", b"Content-Length: 10", b"Expect: 100-continue") + b"\r\n"
    yield None
    yield b"0123456789"
    yield b""


def one_id():
    while True:
        yield b"".join(
            b"POST /act/k HTTP/1.1\r\nHost: h\r\nX-Request-Id: same\r\nContent-Length: 0\r\n\r\n"
            for _ in range(20)
        )


def silence():
    yield b""


def half_heads():
    yield b"POST /read/k HTTP/1.1\r\nHost: h\r\n"


def leaves_at_once():
    """Some sound requests, and the connection is reset as soon as they are sent."""
    yield b"".join(head(b"/read/k", b"Content-Length: 0") + b"\r\n" for _ in range(3))
    yield LEAVE


def unread_answers():
    while True:
        yield b"".join(head(b"/large/k", b"Content-Length: 0") + b"\r\n" for _ in range(48))


SHAPES = {
    shape.__name__: shape
    for shape in (
        many_fields,
        many_fields_slowly,
        endless_value,
        endless_value_slowly,
        endless_fields,
        endless_target,
        endless_trailer,
        endless_chunk_extension,
        endless_blank_lines,
        half_body,
        tiny_pieces,
        tiny_chunks,
        tiny_chunks_without_end,
        batches,
        batches_of_new_names,
        unknown_classes,
        unsound,
        health_checks,
        not_http,
        large_bodies,
        large_heads,
        waits_for_continue,
        one_id,
        silence,
        half_heads,
        leaves_at_once,
        unread_answers,
    )
}
UNREAD_SHAPES = ("unread_answers",)


class Flood:
    """All connections of one shape."""

    def __init__(self, port, shape):
        self.port, self.shape = port, shape
        self.selector = selectors.DefaultSelector()
        self.waiting = []  # (time, connection): to be opened again, or to send on
        self.refused = self.ended = 0

    def open(self):
        sock = socket.socket()
        if self.shape in UNREAD_SHAPES:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_RECEIVE_BUFFER_BYTES)
        sock.setblocking(False)
        sock.connect_ex(("127.0.0.1", self.port))
        connection = {"sock": sock, "pieces": SHAPES[self.shape](), "unsent": b""}
        self.selector.register(sock, selectors.EVENT_READ | selectors.EVENT_WRITE, connection)

    def end(self, connection):
        self.ended += 1
        self.selector.unregister(connection["sock"])
        connection["sock"].close()
        self.waiting.append((time.monotonic() + RECONNECT_DELAY_S, None))

    def listen_only(self, connection):
        self.selector.modify(connection["sock"], selectors.EVENT_READ, connection)

    def send(self, connection):
        if not connection["unsent"]:
            piece = next(connection["pieces"], b"")
            if piece == LEAVE:
                connection["sock"].setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                self.end(connection)
                return
            if not piece:
                self.listen_only(connection)
                if piece is None:
                    self.waiting.append((time.monotonic() + 0.02, connection))
                return
            connection["unsent"] = piece
        count = connection["sock"].send(connection["unsent"])
        connection["unsent"] = connection["unsent"][count:]

    def serve(self, connection, events):
        try:
            if events & selectors.EVENT_READ and self.shape not in UNREAD_SHAPES:
                if not connection["sock"].recv(READ_BYTES):
                    self.end(connection)
                    return
            if events & selectors.EVENT_WRITE:
                self.send(connection)
        except BlockingIOError:
            pass
        except OSError:
            self.end(connection)

    def resume(self):
        now, waiting, self.waiting = time.monotonic(), self.waiting, []
        for at, connection in waiting:
            if at > now:
                self.waiting.append((at, connection))
            elif connection is None:
                self.open()
            elif connection["sock"].fileno() >= 0:
                self.selector.modify(
                    connection["sock"], selectors.EVENT_READ | selectors.EVENT_WRITE, connection
                )

    def run(self, connections, seconds):
        end = time.monotonic() + seconds
        for _ in range(connections):
            self.open()
        while time.monotonic() < end:
            for key, events in self.selector.select(0.01):
                self.serve(key.data, events)
            self.resume()


if __name__ == "__main__":
    port, shape, connections, seconds = sys.argv[1:]
    Flood(int(port), shape).run(int(connections), float(seconds))
