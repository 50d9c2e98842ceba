"""Starts one node: reads its configuration, sets up signals, and runs it until it is told to end."""

from __future__ import annotations

from firwalk import early_signals

if __name__ == "__main__":  # before all that takes a while to load
    early_signals.hold()

import asyncio
import gc
import os
import signal
import sys
from contextlib import suppress
from time import monotonic

import uvloop

from firwalk.config.node_config import error_lines, load, read
from firwalk.net.errors import RESOURCE_ERRNOS, StopRequested, retry_while_transient
from firwalk.net.service import Service
from firwalk.observability.log import log_internal

RELOAD_PATIENCE_S = 3.0  # in which a file that cannot be opened at SIGHUP is tried again
AGAIN_S = 0.05


class Unfit(Exception):
    """An operators' file that cannot be used; the text has a line for each fault."""


def _operations(path: str, config: dict):
    """Loaded only where there is such a file: without one nothing of it is in memory."""
    from firwalk.config import operations

    told, faults = operations.load(path)
    faults = faults or [f"{path}: {fault}" for fault in operations.find_conflicts(told, config)]
    if faults:
        raise Unfit("\n".join(faults))
    return told


def _reload_operations(service: Service, path: str) -> None:
    try:
        fixed = service.cluster.reload(_operations(path, service.config))
        log_internal(
            "operators' file read again" + (f"; needs a restart: {', '.join(fixed)}" if fixed else "")
        )
    except Unfit as problem:
        for line in str(problem).splitlines():
            log_internal(f"operators' file stays as it was: {line}")


def _reload(service: Service, path: str, told: bool = False, operations: str | None = None) -> None:
    """At SIGHUP, or because the other process of this node was `told` so: whichever of two gets the signal,
    both read their file."""
    if not told:
        service.hot_restart.pass_on_reload()
    _take_over(service, path, operations, monotonic() + RELOAD_PATIENCE_S)


def _take_over(service: Service, path: str, operations: str | None, until: float) -> None:
    """Reads the files; again a little later, until then, where they cannot be opened for a moment."""
    try:
        service.reload(read(path))
    except Exception as problem:  # a bad file must not end a node that serves
        if getattr(problem, "errno", 0) in RESOURCE_ERRNOS and monotonic() < until:
            service.loop.call_later(AGAIN_S, _take_over, service, path, operations, until)
            return
        for line in error_lines(problem):
            log_internal(f"all stays as it was: cannot use {path}: {line}")
    if service.cluster is not None:
        _reload_operations(service, operations)


def _stream_events(service: Service, path: str | None) -> None:
    """Appends every event to a file, a line of JSON each; events are lost where it cannot be written,
    or is a pipe without room."""
    if path:
        file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_NONBLOCK, 0o644)

        def write(line: bytes) -> None:
            with suppress(OSError):
                os.write(file, line + b"\n")

        service.dispatcher.events.write = write


async def _load(path: str) -> dict:
    return load(path)


async def _run(path: str, operations: str | None) -> int:
    loop = asyncio.get_running_loop()
    try:
        service = Service(await retry_while_transient(lambda: _load(path), RESOURCE_ERRNOS, lambda: False))
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, service.shutdown.request)
        service.reread = lambda: _reload(service, path, True, operations)
        loop.add_signal_handler(signal.SIGHUP, _reload, service, path, False, operations)
        loop.add_signal_handler(signal.SIGUSR1, service.log_counts)
        _stream_events(service, os.environ.get("FIRWALK_EVENTS"))
        if early_signals.take(signal.SIGHUP):
            loop.call_soon(_reload, service, path, False, operations)
        if operations:
            service.join(_operations(operations, service.config))
        await service.open()
    except StopRequested:
        log_internal("told to end before it served: nothing was taken")
        _ignore_signals(loop)
        return 0
    except Unfit as problem:
        for line in str(problem).splitlines():
            print(f"firwalk: cannot start: {line}", file=sys.stderr)
        return 2
    except Exception as problem:  # whatever is wrong with it, operators want one plain line
        for line in error_lines(problem):
            print(f"firwalk: cannot start with {path}: {line}", file=sys.stderr)
        return 2
    gc.collect()
    gc.freeze()
    await service.run()
    _ignore_signals(loop)
    return 0


def _ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Behind the end nothing is owed: a signal then must not make the end look like a crash."""
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1):
        loop.remove_signal_handler(number)
        signal.signal(number, signal.SIG_IGN)


def _told_paths() -> tuple[str | None, str | None]:
    """Imported only where there is something to take apart: two processes of one node share its memory."""
    import argparse

    parser = argparse.ArgumentParser(prog="firwalk", description="One node of the dispatcher.")
    parser.add_argument(
        "--config",
        default=os.environ.get("BALANCER_CONFIG"),
        help="the configuration, a JSON file (default: $BALANCER_CONFIG)",
    )
    parser.add_argument(
        "--operations",
        default=os.environ.get("BALANCER_OPERATIONS"),
        help="the operators' file, TOML (default: $BALANCER_OPERATIONS)",
    )
    told = parser.parse_args()
    return told.config, told.operations


def main() -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # unhandled it ends a program, also one that still starts
    path, operations = (
        _told_paths()
        if len(sys.argv) > 1
        else (os.environ.get("BALANCER_CONFIG"), os.environ.get("BALANCER_OPERATIONS"))
    )
    if not path:
        print("firwalk: no configuration: set BALANCER_CONFIG or give --config FILE", file=sys.stderr)
        return 2
    return uvloop.run(_run(path, operations or None))


if __name__ == "__main__":
    sys.exit(main())
