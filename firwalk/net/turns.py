"""Turns of connections on the event loop: one turn of a busy connection in each iteration."""

from __future__ import annotations

import asyncio
from time import monotonic

from firwalk.limits.fair_share import TurnQueue, WorkAccount


class Turns:
    """Lets connections that cause much work wait for each other; all others go on at once."""

    def __init__(self) -> None:
        self._queue: TurnQueue[asyncio.Future[None]] = TurnQueue()
        self._is_scheduled = False
        self.waited_count = 0

    def new_account(self) -> WorkAccount:
        """Return the account of a new connection."""
        return WorkAccount(monotonic())

    async def take(self, account: WorkAccount, is_backlogged: bool = False) -> None:
        """Wait for a turn, unless the connection is within its share and has no backlog."""
        if not is_backlogged and account.has_tokens(monotonic()):
            return
        loop = asyncio.get_running_loop()
        turn: asyncio.Future[None] = loop.create_future()
        self.waited_count += 1
        self._queue.append(turn)
        if not self._is_scheduled:
            self._is_scheduled = True
            loop.call_soon(self._grant)
        await turn

    def _grant(self) -> None:
        """Give the next connection its turn; those whose task was cancelled are passed over."""
        turn = self._queue.next()
        while turn is not None and turn.done():
            turn = self._queue.next()
        self._is_scheduled = turn is not None
        if turn is not None:
            turn.set_result(None)
            asyncio.get_running_loop().call_soon(self._grant)
