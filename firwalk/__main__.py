"""Entry point of a node: loads its configuration, installs signal handlers and runs it until it stops."""

from __future__ import annotations

import gc

from firwalk import early_signals

if __name__ == "__main__":  # before the slow imports
    early_signals.record_signals()
    gc.disable()  # importing modules creates no garbage worth collecting

import asyncio
import os
import signal
import sys
from contextlib import suppress
from time import monotonic
from typing import TYPE_CHECKING

import uvloop

from firwalk.config.node_config import JsonObject, error_lines, load, read
from firwalk.net.errors import RESOURCE_ERRNOS, StopRequested, retry_while_transient
from firwalk.net.service import Service
from firwalk.observability.log import log_internal

if TYPE_CHECKING:
    from firwalk.config.operations import OperationsConfig

CONFIG_VARIABLE = "BALANCER_CONFIG"
OPERATIONS_VARIABLE = "BALANCER_OPERATIONS"
EVENTS_VARIABLE = "FIRWALK_EVENTS"
EVENTS_FILE_MODE = 0o644
EXIT_STARTUP_FAILED = 2
RELOAD_TIMEOUT_S = 3.0  # How long a reload is retried while the file cannot be opened.
RELOAD_RETRY_INTERVAL_S = 0.05


class OperationsFileError(Exception):
    """An operators' file that cannot be used; the message has one line per fault."""


class ConfigPaths:
    """Paths of a node's configuration files; `operations` is empty if there is no operators' file."""

    __slots__ = ("config", "operations")

    def __init__(self, config: str, operations: str) -> None:
        self.config = config
        self.operations = operations


# -- reload ------------------------------------------------------------------------------------------------


def _reload(service: Service, paths: ConfigPaths) -> None:
    """Handle SIGHUP, which may reach either process of a node in a hot restart: both reload their files."""
    service.hot_restart.pass_on_reload()
    _reload_files(service, paths)


def _reload_files(service: Service, paths: ConfigPaths) -> None:
    _apply_files(service, paths, monotonic() + RELOAD_TIMEOUT_S)


def _apply_files(service: Service, paths: ConfigPaths, retry_until: float) -> None:
    """Apply both files; until `retry_until`, retry while the configuration cannot be opened."""
    try:
        service.reload(read(paths.config))
    except Exception as error:  # an unusable file must not stop a serving node
        if getattr(error, "errno", 0) in RESOURCE_ERRNOS and monotonic() < retry_until:
            service.loop.call_later(RELOAD_RETRY_INTERVAL_S, _apply_files, service, paths, retry_until)
            return
        for line in error_lines(error):
            log_internal(f"all stays as it was: cannot use {paths.config}: {line}")
    _reload_operations(service, paths.operations)


def _reload_operations(service: Service, path: str) -> None:
    if service.cluster is None:
        return
    try:
        not_applied = service.cluster.reload(_load_operations(path, service.config))
    except OperationsFileError as error:
        for line in str(error).splitlines():
            log_internal(f"operators' file stays as it was: {line}")
        return
    restart_note = f"; needs a restart: {', '.join(not_applied)}" if not_applied else ""
    log_internal(f"operators' file read again{restart_note}")


def _load_operations(path: str, config: JsonObject) -> OperationsConfig:
    """Load the operators' file. Raises OperationsFileError.

    The module is imported here, so that a node without such a file does not load it.
    """
    from firwalk.config import operations

    loaded, faults = operations.load(path)
    if loaded is not None and not faults:
        faults = [f"{path}: {fault}" for fault in operations.find_conflicts(loaded, config)]
    if loaded is None or faults:
        raise OperationsFileError("\n".join(faults))
    return loaded


# -- startup and shutdown ----------------------------------------------------------------------------------


async def _load(path: str) -> JsonObject:
    return load(path)


async def _run(paths: ConfigPaths) -> int:
    """Run the node until it stops; return the exit status."""
    loop = asyncio.get_running_loop()
    try:
        service = await _start(loop, paths)
    except StopRequested:
        log_internal("told to end before it served: nothing was taken")
        _ignore_signals(loop)
        return 0
    except OperationsFileError as error:
        for line in str(error).splitlines():
            print(f"firwalk: cannot start: {line}", file=sys.stderr)
        return EXIT_STARTUP_FAILED
    except Exception as error:  # for any error, operators get plain lines
        for line in error_lines(error):
            print(f"firwalk: cannot start with {paths.config}: {line}", file=sys.stderr)
        return EXIT_STARTUP_FAILED
    gc.collect()
    gc.freeze()
    await service.run()
    _ignore_signals(loop)
    return 0


async def _start(loop: asyncio.AbstractEventLoop, paths: ConfigPaths) -> Service:
    """Create the node and open its sockets."""
    service = Service(
        await retry_while_transient(lambda: _load(paths.config), RESOURCE_ERRNOS, lambda: False)
    )
    _install_signal_handlers(loop, service, paths)
    _stream_events(service, os.environ.get(EVENTS_VARIABLE))
    if early_signals.pop_received(signal.SIGHUP):
        loop.call_soon(_reload, service, paths)
    if paths.operations:
        service.join(_load_operations(paths.operations, service.config))
    await service.open()
    return service


def _install_signal_handlers(loop: asyncio.AbstractEventLoop, service: Service, paths: ConfigPaths) -> None:
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, service.shutdown.request)
    service.reload_config = lambda: _reload_files(service, paths)
    loop.add_signal_handler(signal.SIGHUP, _reload, service, paths)
    loop.add_signal_handler(signal.SIGUSR1, service.log_counts)


def _stream_events(service: Service, path: str | None) -> None:
    """Append every event to a file as a line of JSON.

    Events are dropped while the file cannot be written, or is a full pipe.
    """
    if not path:
        return
    file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND | os.O_NONBLOCK, EVENTS_FILE_MODE)

    def write(line: bytes) -> None:
        with suppress(OSError):
            os.write(file, line + b"\n")

    service.dispatcher.events.write = write


def _ignore_signals(loop: asyncio.AbstractEventLoop) -> None:
    """Ignore signals after shutdown: their default action would make a clean exit look like a crash."""
    for signal_number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1):
        loop.remove_signal_handler(signal_number)
        signal.signal(signal_number, signal.SIG_IGN)


def _parse_arguments(config: str, operations: str) -> ConfigPaths:
    """Parse the command line; paths it does not set keep the given values.

    argparse is imported only if there are arguments, to save memory: during a hot restart two processes
    share the memory limit of the node.
    """
    import argparse

    parser = argparse.ArgumentParser(prog="firwalk", description="Run one node of the dispatcher.")
    parser.add_argument(
        "--config", default=config, help="the configuration, a JSON file (default: $BALANCER_CONFIG)"
    )
    parser.add_argument(
        "--operations",
        default=operations,
        help="the operators' file, TOML (default: $BALANCER_OPERATIONS)",
    )
    arguments = parser.parse_args()
    return ConfigPaths(arguments.config, arguments.operations)


def main() -> int:
    """Run the program; return its exit status."""
    gc.enable()
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # its default action would end the process during startup
    config = os.environ.get(CONFIG_VARIABLE, "")
    operations = os.environ.get(OPERATIONS_VARIABLE, "")
    paths = _parse_arguments(config, operations) if len(sys.argv) > 1 else ConfigPaths(config, operations)
    if not paths.config:
        print("firwalk: no configuration: set BALANCER_CONFIG or give --config FILE", file=sys.stderr)
        return EXIT_STARTUP_FAILED
    return uvloop.run(_run(paths))


if __name__ == "__main__":
    sys.exit(main())
