"""Runs the program with injected system call faults and an adjustable wall clock.

`python -m firwalk.lab.soak.shim ARGUMENTS` runs `firwalk`. FIRWALK_SHIM (JSON of `ShimSettings`) gives the
fault rates and a seed; the offset of the wall clock is read from a memory-mapped file, as in
`firwalk.lab.seam`. Only calls made by this process are affected. FIRWALK_PATCH (`FILE:FUNCTION`) names a
function to call first; tests use it to install faulty implementations that the oracle must detect.
"""

from __future__ import annotations

import asyncio
import errno
import importlib.util
import os
import random
import socket
import sys
from collections import Counter

import msgspec
import orjson

from firwalk.lab import seam
from firwalk.lab.soak.plan import SystemFaults

ACCEPT_ERRORS = (errno.ECONNABORTED, errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.EINTR, errno.EPROTO)
CONNECT_ERRORS = (
    errno.EADDRNOTAVAIL,
    errno.ENETUNREACH,
    errno.ETIMEDOUT,
    errno.EHOSTUNREACH,
    errno.ECONNREFUSED,
    errno.ENOBUFS,
)
MIN_SHORT_BYTES, MAX_SHORT_BYTES = 1, 9  # Range of bytes transferred by a short read or write.
INJECTED = "shim: injected "  # Prefix of the line printed at exit, with counts by kind.

injected: Counter[str] = Counter()


class ShimSettings(msgspec.Struct):
    """Seed and fault rates for one process, passed in FIRWALK_SHIM."""

    seed: int
    faults: SystemFaults


def install(settings: ShimSettings) -> None:
    """Wrap the socket calls of this process."""
    rng, faults = random.Random(settings.seed), settings.faults
    _wrap_reads(rng, faults.short_read)
    _wrap_writes(rng, faults.short_write)
    _wrap_accept(rng, faults.accept)
    _wrap_connect(rng, faults.connect)
    _delay_connects(rng, faults.late_connect, faults.late_connect_s)


def _wrap_reads(rng: random.Random, rate: float) -> None:
    original = socket.socket.recv_into

    def recv_into(self, buffer, nbytes=0, flags=0):
        if rate and rng.random() < rate:
            injected["short_read"] += 1
            nbytes = min(rng.randint(MIN_SHORT_BYTES, MAX_SHORT_BYTES), nbytes or len(buffer))
        return original(self, buffer, nbytes, flags)

    socket.socket.recv_into = recv_into


def _wrap_writes(rng: random.Random, rate: float) -> None:
    original = socket.socket.send

    def send(self, data, flags=0):
        if rate and len(data) > 1 and rng.random() < rate:
            injected["short_write"] += 1
            data = memoryview(data)[: rng.randint(MIN_SHORT_BYTES, MAX_SHORT_BYTES)]
        return original(self, data, flags)

    socket.socket.send = send


def _wrap_accept(rng: random.Random, rate: float) -> None:
    original = socket.socket.accept

    def accept(self):
        if rate and rng.random() < rate:
            number = rng.choice(ACCEPT_ERRORS)
            injected[f"accept {errno.errorcode[number]}"] += 1
            raise OSError(number, os.strerror(number))
        return original(self)

    socket.socket.accept = accept


def _wrap_connect(rng: random.Random, rate: float) -> None:
    original = socket.socket.connect_ex

    def connect_ex(self, address):
        if rate and rng.random() < rate:
            number = rng.choice(CONNECT_ERRORS)
            injected[f"connect {errno.errorcode[number]}"] += 1
            return number
        return original(self, address)

    socket.socket.connect_ex = connect_ex


def _delay_connects(rng: random.Random, rate: float, max_delay_s: float) -> None:
    """Delay outgoing connections at random."""
    from firwalk.net import discovery, executor_pool, socket_io

    original = socket_io.connect

    async def connect(sock, address):
        if rate and rng.random() < rate:
            injected["late_connect"] += 1
            await asyncio.sleep(rng.uniform(0.0, max_delay_s))
        await original(sock, address)

    executor_pool.connect = discovery.connect = connect


def _apply_patch(patch: str) -> None:
    path, _, name = patch.rpartition(":")
    spec = importlib.util.spec_from_file_location("faulty", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    getattr(module, name)()


def main() -> int:
    """Run the program with the shim installed and return its exit code."""
    from firwalk import __main__ as program

    if settings := os.environ.get("FIRWALK_SHIM"):
        install(msgspec.json.decode(settings, type=ShimSettings))
    if clock := os.environ.get("FIRWALK_CLOCK"):
        seam.skew(clock)
    if patch := os.environ.get("FIRWALK_PATCH"):
        _apply_patch(patch)
    code = program.main()
    print(f"{INJECTED}{orjson.dumps(dict(injected)).decode()}", file=sys.stderr, flush=True)
    return code


if __name__ == "__main__":
    sys.exit(main())
