"""HTTP/1.1 taken apart by httptools, within limits, and put together."""

from __future__ import annotations

from collections.abc import Callable

from httptools import (
    HttpParserCallbackError,
    HttpParserError,
    HttpParserUpgrade,
    HttpRequestParser,
    HttpResponseParser,
)

GO_ON = b"HTTP/1.1 100 Continue\r\n\r\n"
MOST_BODY = 65536
MOST_HEAD = 16384
LENGTHS = (b"content-length", b"transfer-encoding")
ONCE = frozenset(
    (
        *LENGTHS,
        b"host",
        b"x-request-id",
        b"x-tenant",
        b"x-deadline",
        b"idempotency-key",
        b"x-retry",
        b"x-cost-hint",
        b"x-extras",
    )
)
MOST_LINE = 1 << 22  # of a line in a stream: the whole list of a large fleet is one
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


class Malformed(Exception):
    """Bytes that are no HTTP, or more than is allowed; `status` is what a client is told."""

    def __init__(self, status: int, what: str):
        super().__init__(what)
        self.status = status


class _Reader:
    """Counts sizes and keeps the head of the message in hand."""

    def __init__(self) -> None:
        self.size, self.headers, self.body_size = 0, {}, 0
        self.problem: Malformed | None = None
        self.parser = None

    def _too_much(self, status: int, what: str) -> None:
        self.problem = Malformed(status, what)
        raise self.problem

    def on_message_begin(self) -> None:
        self.size, self.headers, self.body_size = 0, {}, 0

    def on_header(self, name: bytes, value: bytes) -> None:
        self.size += len(name) + len(value)
        if self.size > MOST_HEAD:
            self._too_much(431, "a head over the limit")
        self.headers[name.lower()] = value.strip(b" \t")  # blanks round a value are no part of it

    def feed(self, data: memoryview) -> None:
        try:
            self.parser.feed_data(data)
        except HttpParserUpgrade as problem:
            raise Malformed(400, "an upgrade is not offered") from problem
        except HttpParserCallbackError as problem:
            raise (self.problem or problem.__context__ or problem) from None
        except HttpParserError as problem:
            raise self.problem or Malformed(400, f"not HTTP: {problem}") from problem


class Incoming(_Reader):
    """What a client sends: `came(method, target, headers, body, keep)` for each whole message. `hold` is
    asked for the room that a body takes, as it comes; `drop` gives back that of an unfinished one."""

    def __init__(self, came: Callable, hold: Callable[[int], bool], let_go: Callable[[int], None]):
        super().__init__()
        self.came, self.hold, self.let_go = came, hold, let_go
        self.target, self.parts, self.partial, self.in_head = b"", [], False, False
        self.expects = False  # its client waits for the word before it sends the body
        self.parser = HttpRequestParser(self)

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self.target, self.parts, self.partial, self.in_head = b"", [], True, True

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() in ONCE and name.lower() in self.headers and self.in_head:
            self._too_much(400, "a header that may stand once stands twice")
        before = self.headers
        if not self.in_head:  # behind the body: counted, but it must not change what the head said
            self.headers = {}
        super().on_header(name, value)
        self.headers = before

    def on_headers_complete(self) -> None:
        """Two lengths, however spelled, may hide another task in the body."""
        self.in_head = False
        told = [name for name in self.headers if name.replace(b"_", b"-") in LENGTHS]
        if len(told) > 1 or told and told[0] not in LENGTHS:
            self._too_much(400, "a length told in two ways")
        if self.headers.get(LENGTHS[1], b"chunked").lower() != b"chunked":
            self._too_much(400, "a coding that is not known")
        if int(self.headers.get(LENGTHS[0], 0)) > MOST_BODY:
            self._too_much(413, "a body over the limit")
        self.expects = self.headers.get(b"expect", b"").lower() == b"100-continue" and (
            self.parser.get_http_version() != "1.0"
        )

    def drop(self) -> None:
        self.let_go(sum(map(len, self.parts)))
        self.parts = []

    def on_url(self, part: bytes) -> None:
        self.target += part
        if len(self.target) > MOST_HEAD:
            self._too_much(431, "a target over the limit")

    def on_body(self, part: bytes) -> None:
        self.expects = False
        self.body_size += len(part)
        if self.body_size > MOST_BODY:
            self._too_much(413, "a body over the limit")
        if not self.hold(len(part)):
            self._too_much(503, "bodies fill their share of the memory")
        self.parts.append(part)

    def on_message_complete(self) -> None:
        self.partial, self.expects, body = False, False, b"".join(self.parts)
        self.parts = []
        self.came(self.parser.get_method(), self.target, self.headers, body, self.parser.should_keep_alive())


class Answers(_Reader):
    """What an executor or the list's service answers: a status, then lines as they come, then its end. Empty
    lines are told apart from others, where that is wanted."""

    def __init__(self, began: Callable, line: Callable, ended: Callable, blank: Callable = lambda: None):
        super().__init__()
        self.began, self.line, self.ended, self.blank, self.rest = began, line, ended, blank, b""
        self.parser = HttpResponseParser(self)

    def on_headers_complete(self) -> None:
        self.rest = b""
        self.began(self.parser.get_status_code(), self.headers)

    def on_body(self, part: bytes) -> None:
        *lines, self.rest = (self.rest + part).split(b"\n")
        for line in lines:
            if line.strip():
                self.line(line)
            else:
                self.blank()
        if len(self.rest) > MOST_LINE:
            self._too_much(400, "a line over the limit")

    def on_message_complete(self) -> None:
        if self.rest.strip():
            self.line(self.rest)
        self.rest = b""
        self.ended(self.parser.should_keep_alive())


def answer(status: int, body: bytes = b"", keep: bool = True, advice: float = 0.0) -> bytes:
    more = f"Retry-After: {advice:.3f}\r\n" if advice > 0.0 else ""
    more += "" if keep else "Connection: close\r\n"
    return (
        f"HTTP/1.1 {status} {REASONS.get(status, 'Answer')}\r\nContent-Length: {len(body)}\r\n{more}\r\n"
    ).encode() + body


def ask(method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes | None = None) -> bytes:
    lines = [b"%s %s HTTP/1.1" % (method, target)]
    lines += [b"%s: %s" % pair for pair in headers]
    if body is not None:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + (body or b"")
