"""A start in which something is short for a moment: the process comes up once it is there."""

import asyncio
import errno
import os
import signal
import socket
import sys
import time
from pathlib import Path

import orjson
import pytest
from helpers import free_port, post, read_message
from test_service import play

ROOT = Path(__file__).parent.parent
HELD_S = 0.8  # for which something is short
ENDS_WITHIN_S = 1.0  # of SIGTERM
# For a while the program's own calls for a socket fail, as where the machine's table is full.
SHORT_OF_SOCKETS = """
import os, sys, time
from types import SimpleNamespace
from firwalk.__main__ import main
from firwalk.net import {module}
real, until = {module}.socket, time.monotonic() + {held_s}
def opened(*words, **named):
    if "fileno" not in named and time.monotonic() < until:
        raise OSError({number}, os.strerror({number}))
    return real.socket(*words, **named)
{module}.socket = SimpleNamespace(**vars(real) | {{"socket": opened}})
sys.exit(main())
"""


async def start(world, *words, **changes):
    """A node of its own beside the world's; the process, and its port."""
    port = free_port()
    config = world.config | {"listen": f"127.0.0.1:{port}", "peer_listen": ""} | changes
    path = Path(world.folder.name) / "second.json"
    path.write_bytes(orjson.dumps(config))
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        *(words or ("-m", "firwalk")),
        cwd=ROOT,
        env=os.environ | {"BALANCER_CONFIG": str(path), "TMPDIR": world.folder.name},
        stderr=asyncio.subprocess.PIPE,
    )
    return process, port


async def serves(process, port):
    """It says that it listens, answers, and ends as it should."""
    said = b""
    while b"listens at" not in said:
        line = await asyncio.wait_for(process.stderr.readline(), 10)
        assert line, said.decode()
        said += line
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(post())
    assert "200" in (await read_message(reader))[0]
    writer.close()
    process.send_signal(signal.SIGTERM)
    rest = await asyncio.wait_for(process.stderr.read(), 10)
    assert await process.wait() == 0 and b"error while" not in said + rest, (said + rest).decode()


def held(address):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(address)
    sock.listen()
    return sock


def test_an_address_that_another_process_lets_go_of_is_waited_for():
    async def story(world):
        with held(("127.0.0.1", 0)) as other:
            port = other.getsockname()[1]
            process, _ = await start(world, listen=f"127.0.0.1:{port}")
            await asyncio.sleep(HELD_S)
            assert process.returncode is None
        await serves(process, port)

    play(story)


def test_told_to_end_while_it_waits_for_its_address_it_ends_at_once():
    async def story(world):
        with held(("127.0.0.1", 0)) as other:
            process, _ = await start(world, listen=f"127.0.0.1:{other.getsockname()[1]}")
            await asyncio.sleep(HELD_S)
            process.send_signal(signal.SIGTERM)
            told_at = time.monotonic()
            await process.stderr.read()
            assert await process.wait() == 0 and time.monotonic() < told_at + ENDS_WITHIN_S

    play(story)


@pytest.mark.parametrize("name", ["ENFILE", "EMFILE", "ENOBUFS", "ENOMEM"])
@pytest.mark.parametrize("module", ["address", "control_channel"])
def test_sockets_that_cannot_be_had_for_a_moment_do_not_end_a_start(name, module):
    async def story(world):
        code = SHORT_OF_SOCKETS.format(held_s=HELD_S, module=module, number=getattr(errno, name))
        managed = f"127.0.0.1:{free_port()}"
        process, port = await start(world, "-c", code, management=managed, name="another")
        await serves(process, port)

    play(story)


# Some of the program's calls for its configuration fail.
SHORT_OF_FILES = """
import os, sys
from firwalk.config import node_config as settings
from firwalk.__main__ import main
calls = 0
def opened(*words):
    global calls
    calls += 1
    if {first} <= calls < {last}:
        raise OSError({number}, os.strerror({number}))
    return open(*words)
settings.open = opened
sys.exit(main())
"""


@pytest.mark.parametrize("name", ["ENFILE", "EMFILE", "ENOMEM"])
def test_a_configuration_that_cannot_be_opened_for_a_moment_does_not_end_a_start(name):
    async def story(world):
        code = SHORT_OF_FILES.format(first=1, last=6, number=getattr(errno, name))
        await serves(*await start(world, "-c", code))

    play(story)


@pytest.mark.parametrize("name", ["ENFILE", "EMFILE", "ENOMEM"])
def test_a_new_configuration_that_cannot_be_opened_for_a_moment_is_taken_over_later(name):
    async def story(world):
        code = SHORT_OF_FILES.format(first=2, last=6, number=getattr(errno, name))
        process, port = await start(world, "-c", code)
        while b"listens at" not in await asyncio.wait_for(process.stderr.readline(), 10):
            pass
        process.send_signal(signal.SIGHUP)
        line = await asyncio.wait_for(process.stderr.readline(), 3)
        assert b"reloaded" in line, line
        process.send_signal(signal.SIGTERM)
        await process.stderr.read()
        assert await process.wait() == 0

    play(story)
