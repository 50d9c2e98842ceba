"""Runs nodes on the simulator's wire: batches on standard input, a reply to each on standard output.

Nodes share nothing but the numbered endpoint lists, which the wire protocol shares between them.
"""

from __future__ import annotations

import sys
from struct import error as StructError
from typing import BinaryIO

import orjson

from firwalk.config.node_config import SECONDS_PER_US
from firwalk.limits.text_size import truncate
from firwalk.wirehost import codec
from firwalk.wirehost.node import Fields, WireNode

MAX_ERROR_SIZE = 2000  # Longer exception texts are truncated to this many bytes.
EXIT_MALFORMED_INPUT = 2

# The last fixed field of these events is the number of items that follow; values are item sizes in bytes.
CONTENT_ITEM_SIZES = {
    codec.SHEET: codec.ENTRY.size,
    codec.INIT: 1,
    codec.SAID: 1,
    codec.RESPONSE: codec.FLOAT_SIZE,
    codec.PINGED: codec.FLOAT_SIZE,
}


class Wire:
    """Reads batches in order, and writes a reply to each."""

    def __init__(self, source: BinaryIO, sink: BinaryIO) -> None:
        self.source = source
        self.sink = sink
        self.nodes: dict[int, WireNode] = {}
        self.endpoint_lists: dict[int, list[Fields]] = {}
        self.reply_records: list[bytes] = []  # records of the reply

    def run(self) -> None:
        """Run until the input ends; raises codec.Malformed."""
        while header := self._read_header():
            batch_number, size, record_count, clock_us = codec.BATCH.unpack(header)
            body_size = codec.SIZE_FIELD_END + size - codec.BATCH.size
            if body_size < 0:
                raise codec.Malformed(f"batch {batch_number}: size {size} is less than its header")
            body = self._read_exactly(body_size, f"batch {batch_number}")
            self.reply_records.clear()
            self._handle_batch(batch_number, body, record_count, clock_us * SECONDS_PER_US)
            payload = b"".join(self.reply_records)
            self.sink.write(
                codec.REPLY.pack(batch_number, len(payload) + 4, len(self.reply_records)) + payload
            )
            self.sink.flush()

    def _read_header(self) -> bytes:
        """Return the next batch header, b"" at the end of the input."""
        data = self.source.read(codec.BATCH.size)
        return data and self._check_size(data, codec.BATCH.size, "a batch header")

    def _read_exactly(self, size: int, description: str) -> bytes:
        return self._check_size(self.source.read(size), size, description)

    def _check_size(self, data: bytes, size: int, description: str) -> bytes:
        if len(data) < size:
            raise codec.Malformed(f"input ended inside {description}: {len(data)} of {size} bytes")
        return data

    def _handle_batch(self, batch_number: int, body: bytes, record_count: int, now: float) -> None:
        offset = 0
        try:
            for _ in range(record_count):
                offset = self._handle_record(batch_number, body, offset, now)
        except (StructError, IndexError) as error:
            raise codec.Malformed(f"batch {batch_number}: a malformed record ({error})") from error
        if offset != len(body):
            raise codec.Malformed(f"batch {batch_number}: {len(body) - offset} bytes after its last record")

    def _handle_record(self, batch_number: int, body: bytes, offset: int, now: float) -> int:
        """Handle the record at the offset; return the offset of the next one."""
        code = body[offset]
        layout = codec.EVENTS.get(code)
        if layout is None:
            raise codec.Malformed(f"batch {batch_number}: unknown record code {code} at byte {offset}")
        fields = layout.unpack_from(body, offset)
        offset += layout.size
        end = offset + _content_size(code, fields)
        content = body[offset:end]
        if code == codec.SHEET:
            if end > len(body):
                raise codec.Malformed(f"batch {batch_number}: a sheet is cut short")
            self.endpoint_lists[fields[0]] = list(codec.ENTRY.iter_unpack(content))
        elif code == codec.INIT:
            self._start_node(batch_number, fields, content, now)
        elif code == codec.DOWN:
            self.nodes.pop(fields[0], None)
        elif end > len(body):
            raise codec.Malformed(f"batch {batch_number}: record {code} is cut short")
        else:
            self._handle_event(code, fields, content, now)
        return end

    def _start_node(self, batch_number: int, fields: Fields, text: bytes, now: float) -> None:
        node_number, seed, _ = fields
        try:
            settings = orjson.loads(text)
        except orjson.JSONDecodeError as error:
            raise codec.Malformed(f"batch {batch_number}: settings are not JSON ({error})") from error
        if not isinstance(settings, dict):
            raise codec.Malformed(f"batch {batch_number}: settings are not a JSON object")
        self.nodes[node_number] = WireNode(
            node_number, seed, settings, now, self.reply_records, self.endpoint_lists
        )

    def _handle_event(self, code: int, fields: Fields, content: bytes, now: float) -> None:
        node_number = fields[0]
        node = self.nodes.get(node_number)
        if node is None:
            raise codec.Malformed(f"record {code} for instance {node_number}, which has not started")
        try:
            node.handle(code, fields, content, now)
        except Exception as error:  # the protocol requires exceptions of the policy to be reported as Fatal
            text = truncate(f"{type(error).__name__}: {error}", MAX_ERROR_SIZE).encode()
            self.reply_records.append(codec.TEXT.pack(codec.DO_FATAL, node_number, len(text)) + text)


def _content_size(code: int, fields: Fields) -> int:
    """Return the size in bytes of the content that follows the fixed part of an event."""
    item_size = CONTENT_ITEM_SIZES.get(code, 0)
    item_count: int = fields[-1] if item_size else 0
    return item_size * item_count


def main() -> int:
    """Run the program; return its exit status: 2 for malformed input, which is logged to standard error."""
    try:
        Wire(sys.stdin.buffer, sys.stdout.buffer).run()
    except codec.Malformed as error:
        print(f"firwalk.wirehost: {error}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    return 0


if __name__ == "__main__":
    sys.exit(main())
