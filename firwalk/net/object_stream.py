"""Finds the end of each JSON object in a stream of bytes, such as the updates of a watch (RFC 8259).

Objects may be indented, or follow each other on a line. An object on a line of its own, the usual form, is
decoded at the end of the line: what decodes is whole, since no object is the beginning of another one. Any
other object ends where its last bracket closes. Brackets are counted in the bytes, outside of strings: in
UTF-8 no part of a character looks like a bracket, a quotation mark or a backslash. Each byte is scanned once,
so that the work grows with the size of an object alone.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from typing import Any

import orjson

from firwalk.net import http, listing

MAX_OBJECT_BYTES = 1 << 22
MAX_DEPTH = 1024  # that of the decoder
MAX_TRAILING_SPACES = 64  # an object followed by more of them, and no line break, waits for its line break
OBJECT_START = ord("{")
BYTE_ORDER_MARK = b"\xef\xbb\xbf"

_WHITESPACE = re.compile(rb"[ \t\r\n]*")
# A string cannot hold a line break. The quantifiers are possessive: nothing is tried a second time.
_STRING = rb'"[^"\\\n]*+(?:\\[^\n][^"\\\n]*+)*+"'
_NO_BRACKETS = rb'[^"{}\[\]]*+'
_UP_TO_BRACKET = re.compile(_NO_BRACKETS + rb"(?:" + _STRING + _NO_BRACKETS + rb")*+([{}\[\]]|\Z)")


class ObjectStream:
    """Splits a stream into JSON objects.

    `on_object` is called with each decoded object, `on_blank_line` after blank lines between objects. All
    methods raise http.Malformed, after which the stream is of no more use.
    """

    def __init__(self, on_object: Callable[[Any], None], on_blank_line: Callable[[], None]) -> None:
        self.on_object = on_object
        self.on_blank_line = on_blank_line
        self.buffer = bytearray()
        self.position = 0  # of the object in progress, or of what follows the last object
        self.scanned = 0  # up to here, outside of strings, brackets are counted
        self.depth = 0  # brackets that are open there; 0: no scan is in progress
        self.is_ignored = False  # the bytes are something else
        self.is_at_line_start = True  # no object has ended on the line of `position`
        self.next_scan_size = 0  # of the buffer, at which an object without a line break is scanned again

    def feed(self, data: bytes) -> None:
        """Add bytes, and report what they complete up to their last line break."""
        if self.is_ignored:
            return
        self.buffer += data
        if b"\n" in data:
            self._report_objects(self.buffer.rfind(b"\n") + 1, is_line_end=True)
        if len(self.buffer) > MAX_OBJECT_BYTES:
            raise http.Malformed(http.BAD_REQUEST, "update exceeds the size limit")

    def pause(self) -> None:
        """Report an object that is whole although no line break follows: no further bytes are there now.

        If a string is found open, its bytes are scanned again only when there are twice as many.
        """
        size = len(self.buffer)
        if size < self.next_scan_size or not self.buffer[-MAX_TRAILING_SPACES:].rstrip().endswith(b"}"):
            return
        self._report_objects(size, is_line_end=False)
        size = len(self.buffer)
        self.next_scan_size = size + (size - self.scanned if self.depth else 0)

    def finish(self) -> None:
        """Report the last object at the end of the stream; raise http.Malformed inside an object."""
        self._report_objects(len(self.buffer), is_line_end=True)
        if self.is_partial():
            raise http.Malformed(http.BAD_REQUEST, "response ended inside an update")

    def discard(self) -> None:
        """Drop the bytes of an incomplete object."""
        self.buffer = bytearray()
        self.is_ignored = True

    def is_partial(self) -> bool:
        """Return whether an object has begun and is not complete."""
        return not _WHITESPACE.fullmatch(self.buffer)

    def _report_objects(self, limit: int, is_line_end: bool) -> None:
        """Report all objects that end before a position; `is_line_end`: no string goes on behind it."""
        while self._report_object(limit, is_line_end):
            pass
        if self.position:
            del self.buffer[: self.position]
            self.scanned = max(self.scanned - self.position, 0)
            self.position = 0

    def _report_object(self, limit: int, is_line_end: bool) -> bool:
        if not self.depth:
            if not self._skip_whitespace(limit):
                return False
            if is_line_end and self.is_at_line_start and self._report_line(limit):
                return True
            self.scanned = self.position
        end = self._find_end(limit, is_line_end)
        if not end:
            return False
        text = bytes(self.buffer[self.position : end])
        self._move_behind(end)
        self.on_object(_decode(text))
        return True

    def _move_behind(self, end: int) -> None:
        self.position = end
        self.is_at_line_start = False
        self.next_scan_size = 0

    def _skip_whitespace(self, limit: int) -> bool:
        """Move to the next object and report blank lines before it; return False if there is none."""
        whitespace = _WHITESPACE.match(self.buffer, self.position, limit)
        assert whitespace is not None, "the pattern matches an empty text"
        start, self.position = whitespace.span()
        line_breaks = self.buffer.count(b"\n", start, self.position)
        has_blank_line = line_breaks > (0 if self.is_at_line_start else 1)
        self.is_at_line_start = self.is_at_line_start or line_breaks > 0
        if has_blank_line:
            self.on_blank_line()
        if self.position == limit:
            return False
        if self.buffer.startswith(BYTE_ORDER_MARK, self.position):
            self.position += len(BYTE_ORDER_MARK)
        if self.buffer[self.position] != OBJECT_START:
            raise http.Malformed(http.BAD_REQUEST, "not a list of executors: not an object")
        return True

    def _report_line(self, limit: int) -> bool:
        """Report the object on this line; return False if the line does not hold one object as a whole."""
        end = self.buffer.find(b"\n", self.position, limit)
        end = limit if end < 0 else end
        is_all = self.position == 0 and end + 1 >= len(self.buffer)
        try:
            value = listing.decode(self.buffer if is_all else bytes(self.buffer[self.position : end]))
        except orjson.JSONDecodeError:
            return False
        self._move_behind(end)
        self.on_object(value)
        return True

    def _find_end(self, limit: int, is_line_end: bool) -> int:
        """Count brackets up to `limit`; return the end of the object, or 0 if it ends later."""
        buffer = self.buffer
        scanned = self.scanned
        depth = self.depth
        while scanned < limit and (match := _UP_TO_BRACKET.match(buffer, scanned, limit)) is not None:
            scanned = match.end()
            bracket = match[1]
            if bracket in (b"{", b"["):
                depth += 1
                if depth > MAX_DEPTH:
                    raise http.Malformed(http.BAD_REQUEST, "not a list of executors: too many brackets")
            elif bracket:
                depth -= 1
                if not depth:
                    break
        self.scanned = scanned
        self.depth = depth
        if not depth:
            return scanned
        if scanned < limit and is_line_end:
            raise http.Malformed(http.BAD_REQUEST, "not a list of executors: a string without an end")
        return 0


def _decode(text: bytes) -> Any:
    try:
        return listing.decode_exotic(text)
    except (ValueError, RecursionError) as error:
        raise http.Malformed(http.BAD_REQUEST, f"not a list of executors: {error}") from error
