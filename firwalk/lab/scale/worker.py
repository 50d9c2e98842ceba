"""Worker process that runs many executors, each at its own address.

`python -m firwalk.lab.scale.worker SPEC.json COUNTS.json` serves until SIGTERM, then writes its counts.
"""

from __future__ import annotations

import asyncio
import resource
import signal
import sys
from pathlib import Path

import msgspec
import orjson
import uvloop
from msgspec import Struct

from firwalk.lab.soak.executors import Executor, ExecutorSpec


class FleetSpec(Struct):
    """Addresses of all executors and the slots of each."""

    addresses: list[tuple[str, int]]
    slots: int


class DiscardingWriter:
    """Writer that discards records."""

    def write(self, record: Struct) -> None:
        """Discard the record."""


class CountingExecutor(Executor):
    """Executor that counts the connections to all executors of the process."""

    connections = 0

    async def _serve_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        CountingExecutor.connections += 1
        await super()._serve_connection(reader, writer)


async def serve(spec: FleetSpec) -> dict[str, int]:
    """Serve all executors until SIGTERM and return the counts."""
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    servers = []
    for number, address in enumerate(spec.addresses):
        executor_spec = ExecutorSpec(
            number, address, spec.slots, number, 0.0, [], {"read": "safe"}, 1.0, 1.0, 0.0
        )
        executor = CountingExecutor(executor_spec, DiscardingWriter())
        servers.append(await asyncio.start_server(executor._serve_connection, *address, backlog=64))
    print("ready", flush=True)
    await stopped.wait()
    return {"connections": CountingExecutor.connections}


def main() -> None:
    """Run the executors and write their counts."""
    limit = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
    resource.setrlimit(resource.RLIMIT_NOFILE, (limit, limit))
    spec = msgspec.json.decode(Path(sys.argv[1]).read_bytes(), type=FleetSpec)
    counts = uvloop.run(serve(spec))
    Path(sys.argv[2]).write_bytes(orjson.dumps(counts))


if __name__ == "__main__":
    main()
