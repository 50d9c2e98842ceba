"""A result check for the rig's agents: `python -m firwalk.lab.check OFFERING`.

It sends a few requests to the node at `$FIRWALK_LISTEN` and compares the results with those that the stand-in
executors produce.
"""

from __future__ import annotations

import asyncio
import os
import sys

from firwalk.lab.standins import read_message

# Each of these requests must get the correct result or be rejected for lack of capacity.
REQUESTS = 4
OVERLOAD_STATUSES = (429, 503)


async def _is_accepted(number: int, offering: str) -> bool:
    host, _, port = os.environ["FIRWALK_LISTEN"].rpartition(":")
    name, body = f"c{os.getpid():08x}{number:07x}", b'{"cost":0.001,"node":0}'
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        f"POST /{offering}/check HTTP/1.1\r\nHost: c\r\nX-Request-Id: {name}\r\n"
        f"X-Deadline: 1000m\r\nX-Cost-Hint: 1000\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        + body
    )
    answer = await read_message(reader)
    writer.close()
    if answer is None:
        return False
    status = int(answer[0].split()[1])
    return status in OVERLOAD_STATUSES or status == 200 and answer[2] == f"made of {name}".encode()


async def main() -> int:
    """Return the exit status: 0 if all requests passed."""
    try:
        async with asyncio.timeout(3.0):
            return 0 if all([await _is_accepted(number, sys.argv[1]) for number in range(REQUESTS)]) else 1
    except (OSError, TimeoutError, ValueError):
        return 1


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
