"""HTTP/1.1: incremental parsers with size limits, on httptools, and encoders of requests and responses."""

from __future__ import annotations

from collections.abc import Callable

from httptools import (
    HttpParserCallbackError,
    HttpParserError,
    HttpParserUpgrade,
    HttpRequestParser,
    HttpResponseParser,
)

from firwalk.limits.memory import MemoryCharge, MemoryPool, MemoryUse

Headers = dict[bytes, bytes]  # names are in lower case

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
REQUEST_TIMEOUT = 408
CONFLICT = 409
CONTENT_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
INTERNAL_SERVER_ERROR = 500
SERVICE_UNAVAILABLE = 503
REASON_PHRASES = {
    OK: "OK",
    BAD_REQUEST: "Bad Request",
    NOT_FOUND: "Not Found",
    METHOD_NOT_ALLOWED: "Method Not Allowed",
    REQUEST_TIMEOUT: "Request Timeout",
    CONFLICT: "Conflict",
    CONTENT_TOO_LARGE: "Content Too Large",
    429: "Too Many Requests",
    HEADERS_TOO_LARGE: "Request Header Fields Too Large",
    INTERNAL_SERVER_ERROR: "Internal Server Error",
    SERVICE_UNAVAILABLE: "Service Unavailable",
    504: "Gateway Timeout",
}
UNKNOWN_REASON_PHRASE = "Answer"

CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
MAX_BODY_BYTES = 65536
MAX_HEAD_BYTES = 16384
MAX_FIELDS = 128  # of the header and trailer sections of a message together
# The parser library keeps an element of a message, such as a header value, until it is complete.
MAX_ELEMENT_BYTES = MAX_HEAD_BYTES
MAX_LINE_BYTES = 1 << 22
MESSAGE_OBJECT_BYTES = 2048  # the objects of a message take this much memory beside its bytes
BODY_COPIES = 2  # memory holds the body itself and the encoded attempt
LENGTH_HEADERS = (b"content-length", b"transfer-encoding")
SINGLETON_HEADERS = frozenset(
    (
        *LENGTH_HEADERS,
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
EXPECT_HEADER = b"expect"
REQUEST_HEADERS = SINGLETON_HEADERS | {EXPECT_HEADER}  # others are checked, but not kept
RESPONSE_HEADERS = frozenset((b"x-load", b"x-not-run"))


class Malformed(Exception):
    """Raised for bytes that are not valid HTTP or exceed a limit; `status` is the response to a client."""

    def __init__(self, status: int, message: str) -> None:
        super().__init__(message)
        self.status = status


class _MessageParser:
    """Base of both parsers: collects the needed headers of the current message and enforces size limits.

    The limits count the bytes that the parser library holds as well: it reports an element of a message, such
    as a header value, only when the element is complete.
    """

    parser: HttpRequestParser | HttpResponseParser
    kept_headers: frozenset[bytes]

    def __init__(self) -> None:
        self.head_size = 0
        self.field_count = 0
        self.headers: Headers = {}
        self.body_size = 0
        self.error: Malformed | None = None
        self.element_bytes = 0  # fed since the library last reported an element
        self.has_reported = False  # the library has reported an element of the bytes being fed

    def _fail(self, status: int, message: str) -> None:
        self.error = Malformed(status, message)
        raise self.error

    def on_message_begin(self) -> None:
        """Reset the state for the next message. Called by httptools."""
        self.head_size = 0
        self.field_count = 0
        self.headers = {}
        self.body_size = 0

    def on_header(self, name: bytes, value: bytes) -> None:
        """Check the size and number of all headers, and keep the needed ones. Called by httptools."""
        self.has_reported = True
        self.head_size += len(name) + len(value)
        self.field_count += 1
        if self.head_size > MAX_HEAD_BYTES:
            self._fail(HEADERS_TOO_LARGE, "header section exceeds the size limit")
        if self.field_count > MAX_FIELDS:
            self._fail(HEADERS_TOO_LARGE, "too many header fields")
        name = name.lower()
        if name in self.kept_headers:
            self.headers[name] = value.strip(b" \t")  # optional whitespace is not part of the value

    def on_chunk_header(self) -> None:
        """Note the progress of a chunked body. Called by httptools."""
        self.has_reported = True

    def feed(self, data: bytes | memoryview) -> None:
        """Parse the next bytes and invoke the callbacks for what they complete. Raise Malformed."""
        self.has_reported = False
        try:
            self.parser.feed_data(data)
        except HttpParserUpgrade as error:
            raise Malformed(BAD_REQUEST, "protocol upgrades are not supported") from error
        except HttpParserCallbackError as error:
            raise (self.error or error.__context__ or error) from None
        except HttpParserError as error:
            raise self.error or Malformed(BAD_REQUEST, f"not HTTP: {error}") from error
        self.element_bytes = len(data) if self.has_reported else self.element_bytes + len(data)
        if self.element_bytes > MAX_ELEMENT_BYTES:
            raise Malformed(HEADERS_TOO_LARGE, "part of a message exceeds the size limit")


class ParsedRequest:
    """A complete request of a client, and the memory charged for it."""

    __slots__ = ("body", "charge", "headers", "keep_alive", "method", "target")

    def __init__(
        self,
        method: bytes,
        target: bytes,
        headers: Headers,
        body: bytes,
        keep_alive: bool,
        charge: MemoryCharge,
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.keep_alive = keep_alive
        self.charge = charge


class RequestParser(_MessageParser):
    """Parses requests of a client.

    `on_request` is called for each complete request; its receiver releases the charge. The memory of a
    request is charged before its bytes are fed to the parser library. `discard` releases that of an
    incomplete request.
    """

    kept_headers = REQUEST_HEADERS

    def __init__(self, on_request: Callable[[ParsedRequest], None], memory: MemoryPool) -> None:
        super().__init__()
        self.on_request = on_request
        self.memory = memory
        self.charge = MemoryCharge(memory, MemoryUse.INPUT)
        self.target = b""
        self.body = bytearray()
        self.is_partial = False  # a request has begun and is not complete
        self.is_in_head = False
        self.expects_continue = False  # the client sends the body only after a 100 response
        self.parser: HttpRequestParser = HttpRequestParser(self)

    def feed(self, data: bytes | memoryview) -> None:
        """Charge the memory of the next bytes and parse them. Raise Malformed."""
        if self.is_partial and (self.is_in_head or not self.has_reported):
            self._charge(len(data))  # the library keeps what it does not report
        super().feed(data)

    def _charge(self, size_bytes: int) -> None:
        if not self.charge.grow(size_bytes):
            self._fail(SERVICE_UNAVAILABLE, "bodies fill their share of the memory")

    def on_message_begin(self) -> None:
        """Reset the state for the next request. Called by httptools."""
        super().on_message_begin()
        self.target = b""
        self.body = bytearray()
        self.is_partial = True
        self.is_in_head = True
        self.charge.release()
        self._charge(MESSAGE_OBJECT_BYTES)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header or trailer. Called by httptools.

        Trailers count towards the limits but do not change the headers. A second length header, even with
        underscores for hyphens, would allow request smuggling.
        """
        lowered = name.lower()
        if self.is_in_head:
            if lowered in SINGLETON_HEADERS and lowered in self.headers:
                self._fail(BAD_REQUEST, "duplicate header that may occur only once")
            if lowered not in LENGTH_HEADERS and lowered.replace(b"_", b"-") in LENGTH_HEADERS:
                self._fail(BAD_REQUEST, "conflicting body length headers")
        head = self.headers
        if not self.is_in_head:
            self.headers = {}
        super().on_header(name, value)
        self.headers = head

    def on_headers_complete(self) -> None:
        """Check the body length and transfer coding. Called by httptools."""
        self.has_reported = True
        self.is_in_head = False
        if all(name in self.headers for name in LENGTH_HEADERS):
            self._fail(BAD_REQUEST, "conflicting body length headers")
        if self.headers.get(b"transfer-encoding", b"chunked").lower() != b"chunked":
            self._fail(BAD_REQUEST, "unsupported transfer coding")
        if int(self.headers.get(b"content-length", 0)) > MAX_BODY_BYTES:
            self._fail(CONTENT_TOO_LARGE, "body exceeds the size limit")
        self.expects_continue = self.headers.get(EXPECT_HEADER, b"").lower() == b"100-continue" and (
            self.parser.get_http_version() != "1.0"
        )

    def discard(self) -> None:
        """Drop what is kept of an incomplete request and release its memory."""
        self.error = None
        self.target = b""
        self.headers = {}
        self.body = bytearray()
        self.charge.release()

    def on_url(self, part: bytes) -> None:
        """Append a part of the request target. Called by httptools."""
        self.target += part
        if len(self.target) > MAX_HEAD_BYTES:
            self._fail(HEADERS_TOO_LARGE, "request target exceeds the size limit")

    def on_body(self, part: bytes) -> None:
        """Append a part of the body. Called by httptools."""
        self.has_reported = True
        self.expects_continue = False
        self.body_size += len(part)
        if self.body_size > MAX_BODY_BYTES:
            self._fail(CONTENT_TOO_LARGE, "body exceeds the size limit")
        self._charge(BODY_COPIES * len(part))
        self.body += part

    def on_message_complete(self) -> None:
        """Report the complete request. Called by httptools."""
        self.has_reported = True
        self.is_partial = False
        self.expects_continue = False
        method = self.parser.get_method()
        keep_alive = self.parser.should_keep_alive()
        request = ParsedRequest(method, self.target, self.headers, bytes(self.body), keep_alive, self.charge)
        self.charge = MemoryCharge(self.memory, MemoryUse.INPUT)
        self.discard()
        self.on_request(request)


class StreamResponseParser(_MessageParser):
    """Parses responses; reports the status and headers, the parts of the body as they arrive, and the end."""

    kept_headers = RESPONSE_HEADERS

    def __init__(
        self,
        on_head: Callable[[int, Headers], None],
        on_part: Callable[[bytes], None],
        on_end: Callable[[bool], None],
    ) -> None:
        super().__init__()
        self.on_head = on_head
        self.on_part = on_part
        self.on_end = on_end
        self.parser: HttpResponseParser = HttpResponseParser(self)

    def on_headers_complete(self) -> None:
        """Report the status and headers. Called by httptools."""
        self.has_reported = True
        self.on_head(self.parser.get_status_code(), self.headers)

    def on_body(self, part: bytes) -> None:
        """Report a part of the body. Called by httptools."""
        self.has_reported = True
        self.on_part(part)

    def discard(self) -> None:
        """Drop what is kept of an incomplete response."""
        self.headers = {}
        self.error = None

    def on_message_complete(self) -> None:
        """Report the end of the response. Called by httptools."""
        self.has_reported = True
        self.on_end(self.parser.should_keep_alive())


class ResponseParser(StreamResponseParser):
    """Parses responses of executors, whose bodies are streams of lines.

    Reports the status and headers, each line as it arrives unless it is blank, and the end. A line may have
    `max_line_bytes`; with a charge, its memory is counted while it is incomplete.
    """

    def __init__(
        self,
        on_head: Callable[[int, Headers], None],
        on_line: Callable[[bytes], None],
        on_end: Callable[[bool], None],
        max_line_bytes: int = MAX_LINE_BYTES,
        charge: MemoryCharge | None = None,
    ) -> None:
        super().__init__(on_head, on_line, on_end)
        self.on_line = on_line
        self.max_line_bytes = max_line_bytes
        self.charge = charge
        self.partial_line = bytearray()

    def on_headers_complete(self) -> None:
        """Report the status and headers. Called by httptools."""
        self._reset_line()
        super().on_headers_complete()

    def on_body(self, part: bytes) -> None:
        """Report each line that is complete. Called by httptools."""
        self.has_reported = True
        *lines, rest = part.split(b"\n")
        for line in lines:
            if self.partial_line:
                self._keep(line)
                line = bytes(self.partial_line)
                self._reset_line()
            self._report_line(line)
        if rest:
            self._keep(rest)

    def _keep(self, part: bytes) -> None:
        """Keep a part of a line, after its memory is counted."""
        if len(self.partial_line) + len(part) > self.max_line_bytes:
            self._fail(BAD_REQUEST, "a line over the limit")
        if self.charge is not None and not self.charge.grow(len(part)):
            self._fail(SERVICE_UNAVAILABLE, "responses fill their share of the memory")
        self.partial_line += part

    def _report_line(self, line: bytes) -> None:
        if line.strip():
            self.on_line(line)

    def discard(self) -> None:
        """Drop what is kept of an incomplete response and release its memory."""
        self._reset_line()
        super().discard()

    def _reset_line(self) -> None:
        self.partial_line = bytearray()
        if self.charge is not None:
            self.charge.release()

    def on_message_complete(self) -> None:
        """Report the last line, if any, and the end of the response. Called by httptools."""
        line = bytes(self.partial_line)
        self._reset_line()
        self._report_line(line)
        super().on_message_complete()


def encode_response(
    status: int, body: bytes = b"", keep_alive: bool = True, retry_after_s: float = 0.0
) -> bytes:
    """Encode a response; omit Retry-After if `retry_after_s` is 0."""
    reason = REASON_PHRASES.get(status, UNKNOWN_REASON_PHRASE)
    retry_after = f"Retry-After: {retry_after_s:.3f}\r\n" if retry_after_s > 0.0 else ""
    connection = "" if keep_alive else "Connection: close\r\n"
    head = f"HTTP/1.1 {status} {reason}\r\nContent-Length: {len(body)}\r\n{retry_after}{connection}\r\n"
    return head.encode() + body


def encode_request(
    method: bytes, target: bytes, headers: list[tuple[bytes, bytes]], body: bytes | None = None
) -> bytes:
    """Encode a request; omit Content-Length if there is no body."""
    lines = [b"%s %s HTTP/1.1" % (method, target)]
    lines += [b"%s: %s" % header for header in headers]
    if body is not None:
        lines.append(b"Content-Length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + (body or b"")
