"""Opens what a start needs: what cannot be had for a moment is tried again."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable
from time import monotonic
from typing import TypeVar

from firwalk.net.errors import Pause

PATIENCE_S = 1.5  # for what lasts longer a start ends, with the reason
SHORT_OF_RESOURCES = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EAGAIN, errno.EINTR)
)
ADDRESS_TAKEN = SHORT_OF_RESOURCES | {errno.EADDRINUSE, errno.EADDRNOTAVAIL}


Result = TypeVar("Result")


class ToldToStop(Exception):
    """The process was told to end before it had what it needs."""


async def patiently(
    act: Callable[[], Awaitable[Result]],
    passing: frozenset[int],
    told_to_stop: Callable[[], bool],
    patience_s: float = PATIENCE_S,
) -> Result:
    """Does it, again while it fails for one of the reasons that pass. OSError, ToldToStop."""
    pause, end = Pause(), monotonic() + patience_s
    while True:
        try:
            return await act()
        except OSError as problem:
            if problem.errno not in passing or monotonic() > end:
                raise
        await asyncio.sleep(pause.next())
        if told_to_stop():
            raise ToldToStop
