"""Starts one node: reads its configuration, sets up signals, and runs it until it is told to end."""
from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys

import uvloop

from firwalk.log import say
from firwalk.net.service import Service
from firwalk.settings import in_short, load, read


def _reload(service: Service, path: str, told: bool = False) -> None:
    """At SIGHUP, or because the other process of this node was `told` so: whichever of two gets the signal,
    both read their file."""
    if not told:
        service.succession.pass_on_reload()
    try:
        service.reload(read(path))
    except Exception as problem:  # a bad file must not end a node that serves
        say(f"all stays as it was: cannot use {path}: {in_short(problem)}")


async def _run(path: str) -> int:
    loop = asyncio.get_running_loop()
    try:
        service = Service(load(path))
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, service.ending.set)
        service.reread = lambda: _reload(service, path, True)
        loop.add_signal_handler(signal.SIGHUP, _reload, service, path)
        await service.open()
    except Exception as problem:  # whatever is wrong with it, operators want one plain line
        print(f"firwalk: cannot start with {path}: {in_short(problem)}", file=sys.stderr)
        return 2
    gc.collect()
    gc.freeze()
    await service.run()
    return 0


def _told_path() -> str | None:
    """Imported only where there is something to take apart: two processes of one node share its memory."""
    import argparse
    parser = argparse.ArgumentParser(prog="firwalk", description="One node of the dispatcher.")
    parser.add_argument("--config", default=os.environ.get("BALANCER_CONFIG"),
                        help="the configuration, a JSON file (default: $BALANCER_CONFIG)")
    return parser.parse_args().config


def main() -> int:
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # unhandled it ends a program, also one that still starts
    path = _told_path() if len(sys.argv) > 1 else os.environ.get("BALANCER_CONFIG")
    if not path:
        print("firwalk: no configuration: set BALANCER_CONFIG or give --config FILE", file=sys.stderr)
        return 2
    return uvloop.run(_run(path))


if __name__ == "__main__":
    sys.exit(main())
