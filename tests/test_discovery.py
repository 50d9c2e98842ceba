"""The client of the discovery service, against a server that fails at each stage of a watch or poll."""

import asyncio
import time
from types import SimpleNamespace

import orjson
import pytest
from helpers import address_of, read_message

from firwalk.net import discovery, listing
from firwalk.net.address import parse_address
from firwalk.net.buffers import Buffers
from firwalk.net.discovery import Discovery

TIMEOUT_S = 0.4  # this replaces the timeouts of silence and of the first list
ENTRY = {"instanceId": "e0", "hostPort": "127.0.0.1:9", "zone": "a", "lifecycle": "active"}
UPDATE = {"generation": 7, "reset": True, "instances": [ENTRY, ENTRY | {"instanceId": "e1"}]}
UPDATE_LINE = orjson.dumps(UPDATE) + b"\n"
INDENTED_UPDATE = orjson.dumps(UPDATE, option=orjson.OPT_INDENT_2) + b"\n"


def encode_chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


class RecordingDispatcher:
    """Records what the client of the discovery service reports."""

    def __init__(self):
        self.version, self.updates, self.broken = 0, [], []

    def report_endpoint_list(self, version, is_complete, entries):
        self.version = version
        self.updates.append((version, [entry[0] for entry in entries]))

    def report_endpoint_list_failure(self, timed_out=False):
        self.broken.append((time.monotonic(), timed_out))

    def reset_list_version(self):
        self.version = 0


def run_call(respond, scenario, monkeypatch, watch=True):
    """Run one call to a server that responds by `respond(writer)`, and `scenario(w)` beside it."""
    monkeypatch.setattr(discovery, "FIRST_LIST_TIMEOUT_S", TIMEOUT_S)
    monkeypatch.setattr(discovery, "WATCH_SILENCE_TIMEOUT_S", TIMEOUT_S)

    async def serve(reader, writer):
        await read_message(reader)
        try:
            await respond(writer)
        except ConnectionError:
            pass

    async def run():
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        dispatcher = RecordingDispatcher()
        client = Discovery(dispatcher, Buffers(), parse_address(address_of(server)))
        started_at = time.monotonic()
        client.watch(True) if watch else client.poll()
        try:
            await scenario(SimpleNamespace(dispatcher=dispatcher, started_at=started_at, client=client))
        finally:
            for call in (client.watch_task, client.poll_task):
                if call is not None:
                    call.cancel()
            server.close()
            await asyncio.sleep(0)

    asyncio.run(run())


async def wait_until(condition, seconds):
    end = time.monotonic() + seconds
    while not condition():
        assert time.monotonic() < end, "the condition did not hold in time"
        await asyncio.sleep(0.005)


async def begin_response(writer, *parts):
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    for part in parts:
        writer.write(encode_chunk(part))
    await writer.drain()


@pytest.mark.parametrize("text", [UPDATE_LINE, INDENTED_UPDATE], ids=["on one line", "indented"])
@pytest.mark.parametrize("cut", [1, 17, 4096])
def test_update_on_one_line_or_indented_in_chunks_of_any_size(text, cut, monkeypatch):
    async def respond(writer):
        twice = text + b"\n" + text
        await begin_response(writer, *[twice[n : n + cut] for n in range(0, len(twice), cut)])
        await asyncio.sleep(TIMEOUT_S / 2)

    async def scenario(w):
        await wait_until(lambda: len(w.dispatcher.updates) == 2, TIMEOUT_S)
        assert w.dispatcher.updates == [(7, ["e0", "e1"])] * 2 and not w.dispatcher.broken

    run_call(respond, scenario, monkeypatch)


def test_poll_reads_an_indented_list(monkeypatch):
    async def respond(writer):
        text = INDENTED_UPDATE.rstrip()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(text), text))
        await writer.drain()

    async def scenario(w):
        await wait_until(lambda: w.dispatcher.updates, TIMEOUT_S)
        await wait_until(w.client.poll_task.done, TIMEOUT_S)
        assert w.dispatcher.updates == [(7, ["e0", "e1"])] and not w.dispatcher.broken

    run_call(respond, scenario, monkeypatch, watch=False)


async def send_nothing(writer):
    await asyncio.sleep(9)


async def drip_blank_lines(writer):
    await begin_response(writer)
    for _ in range(200):
        writer.write(encode_chunk(b"\n"))
        await writer.drain()
        await asyncio.sleep(TIMEOUT_S / 10)


async def drip_update(writer):
    await begin_response(writer)
    for byte in UPDATE_LINE[:-2]:
        writer.write(encode_chunk(bytes([byte])))
        await writer.drain()
        await asyncio.sleep(TIMEOUT_S / 10)


async def drip_head(writer):
    for byte in b"HTTP/1.1 200 OK\r\nA: " + b"b" * 200:
        writer.write(bytes([byte]))
        await writer.drain()
        await asyncio.sleep(TIMEOUT_S / 10)


@pytest.mark.parametrize("watch", [True, False], ids=["watch", "single call"])
@pytest.mark.parametrize("respond", [send_nothing, drip_blank_lines, drip_update, drip_head])
def test_call_without_a_complete_list_times_out(respond, watch, monkeypatch):
    """With a timeout for each read only, a call whose bytes trickled in never ended."""

    async def scenario(w):
        await wait_until(lambda: w.dispatcher.broken, 3 * TIMEOUT_S)
        ((when, silent),) = w.dispatcher.broken
        assert silent and TIMEOUT_S * 0.9 < when - w.started_at < 2 * TIMEOUT_S and not w.dispatcher.updates

    run_call(respond, scenario, monkeypatch, watch)


@pytest.mark.parametrize("extra", [None, b"{", b'{"generation":8,'], ids=["nothing", "a bracket", "a half"])
def test_watch_times_out_after_its_last_update(extra, monkeypatch):
    async def respond(writer):
        await begin_response(writer, UPDATE_LINE, *([extra] if extra else []))
        while extra:  # further bytes of a line that never ends
            writer.write(encode_chunk(b" "))
            await writer.drain()
            await asyncio.sleep(TIMEOUT_S / 10)
        await asyncio.sleep(9)

    async def scenario(w):
        await wait_until(lambda: w.dispatcher.broken, 3 * TIMEOUT_S)
        ((when, silent),) = w.dispatcher.broken
        assert (
            silent
            and TIMEOUT_S * 0.9 < when - w.started_at < 2 * TIMEOUT_S
            and len(w.dispatcher.updates) == 1
        )

    run_call(respond, scenario, monkeypatch)


def test_blank_lines_keep_a_watch_open_after_its_first_list(monkeypatch):
    async def respond(writer):
        await begin_response(writer, UPDATE_LINE)
        await drip(writer, 30)

    async def drip(writer, count):
        for _ in range(count):
            writer.write(encode_chunk(b"\n"))
            await writer.drain()
            await asyncio.sleep(TIMEOUT_S / 10)

    async def scenario(w):
        await asyncio.sleep(2.5 * TIMEOUT_S)
        assert not w.dispatcher.broken and len(w.dispatcher.updates) == 1

    run_call(respond, scenario, monkeypatch)


PARTIAL_UPDATES = [
    UPDATE_LINE[:40] + b"\n",
    INDENTED_UPDATE[: INDENTED_UPDATE.index(b"e1")].rsplit(b"\n", 1)[0] + b"\n",
]


@pytest.mark.parametrize("partial_update", PARTIAL_UPDATES, ids=["cut in a line", "cut between lines"])
def test_blank_lines_inside_an_update_are_white_space(partial_update, monkeypatch):
    text = UPDATE_LINE if UPDATE_LINE.startswith(partial_update[:-1]) else INDENTED_UPDATE

    async def respond(writer):
        await begin_response(writer, partial_update)
        await asyncio.sleep(0.05)
        writer.write(encode_chunk(b"\n \t\r\n") + encode_chunk(text[len(partial_update) - 1 :]))
        await writer.drain()
        await asyncio.sleep(9)

    async def scenario(w):
        await wait_until(lambda: w.dispatcher.updates, TIMEOUT_S)
        assert w.dispatcher.updates == [(7, ["e0", "e1"])] and not w.dispatcher.broken

    run_call(respond, scenario, monkeypatch)


@pytest.mark.parametrize("partial_update", PARTIAL_UPDATES, ids=["cut in a line", "cut between lines"])
@pytest.mark.parametrize("first", [b"", UPDATE_LINE], ids=["first update", "second update"])
def test_blank_lines_inside_an_update_do_not_keep_a_watch_open(first, partial_update, monkeypatch):
    async def respond(writer):
        await begin_response(writer, first + partial_update)
        for _ in range(200):
            writer.write(encode_chunk(b"\n"))
            await writer.drain()
            await asyncio.sleep(TIMEOUT_S / 10)

    async def scenario(w):
        await wait_until(lambda: w.dispatcher.broken, 3 * TIMEOUT_S)
        ((when, silent),) = w.dispatcher.broken
        assert silent and TIMEOUT_S * 0.9 < when - w.started_at < 2 * TIMEOUT_S
        assert len(w.dispatcher.updates) == bool(first)

    run_call(respond, scenario, monkeypatch)


def test_response_that_ends_inside_an_update_is_a_failed_call(monkeypatch):
    async def respond(writer):
        await begin_response(writer, INDENTED_UPDATE[: INDENTED_UPDATE.index(b"e1")], b"\n")
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def scenario(w):
        await wait_until(lambda: w.dispatcher.broken, TIMEOUT_S)
        assert not w.dispatcher.updates

    run_call(respond, scenario, monkeypatch, watch=False)


def test_updates_of_a_previous_service_are_not_passed_on():
    """Guards against versions of a service that was left being taken for those of the current one.

    After a move the previous watch stays in use until the new service has sent a list.
    """

    async def run():
        first, second = ("127.0.0.1", 9), ("127.0.0.1", 10)
        dispatcher = RecordingDispatcher()
        client = Discovery(dispatcher, Buffers(), first)
        passed_on = []
        client.on_update = passed_on.append
        client._receive_update(first, listing.Update(50, True, []))
        client.move(second)
        client._receive_update(first, listing.Update(51, False, []))
        client._receive_update(second, listing.Update(3, True, []))
        client.watch(False)
        assert [version for version, _ in dispatcher.updates] == [50, 51, 3]
        assert [update.version for update in passed_on] == [50, 3]

    asyncio.run(run())
