"""Entry point of an agent: `python -m firwalk.agent AGENT.toml`.

SIGTERM shuts the agent and its node down gracefully. The agent reads its file only at startup, so it ignores
SIGHUP and SIGUSR1. The processes that it starts inherit this and ignore both until they install handlers.
"""

from __future__ import annotations

from firwalk import early_signals

if __name__ == "__main__":  # before the slow imports
    early_signals.ignore_signals()

import asyncio
import signal
import sys

from firwalk.agent import agent_config, host_processes

EXIT_STARTUP_FAILED = 2


async def _run(config: agent_config.AgentConfig) -> int:
    host = host_processes.HostProcesses(config)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(signal_number, host.stopping.set)
    return await host.run()


def main() -> int:
    """Run the agent; return its exit code."""
    if len(sys.argv) != 2 or sys.argv[1].startswith("-"):
        print("usage: python -m firwalk.agent AGENT.toml", file=sys.stderr)
        return EXIT_STARTUP_FAILED
    config, faults = agent_config.load(sys.argv[1])
    for fault in faults:
        print(f"firwalk: cannot start: {fault}", file=sys.stderr)
    return EXIT_STARTUP_FAILED if config is None else asyncio.run(_run(config))


if __name__ == "__main__":
    sys.exit(main())
