"""Starts one agent: `python -m firwalk.agent AGENT.toml`. At SIGTERM it ends in good order, its node too.

It reads its file at its start alone, so that SIGHUP and SIGUSR1 mean nothing to it. What it starts ignores
both as well, until that has handlers of its own.
"""

from __future__ import annotations

from firwalk import early_signals

if __name__ == "__main__":  # before all that takes a while to load
    early_signals.ignore()

import asyncio
import signal
import sys

from firwalk.agent import host_processes


async def _run(told: host_processes.AgentConfig) -> int:
    made = host_processes.HostProcesses(told)
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, made.stopping.set)
    return await made.run()


def main() -> int:
    if len(sys.argv) != 2 or sys.argv[1].startswith("-"):
        print("usage: python -m firwalk.agent AGENT.toml", file=sys.stderr)
        return 2
    told, faults = host_processes.load(sys.argv[1])
    for fault in faults:
        print(f"firwalk: cannot start: {fault}", file=sys.stderr)
    return 2 if told is None else asyncio.run(_run(told))


if __name__ == "__main__":
    sys.exit(main())
