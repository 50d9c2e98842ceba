"""Turns of connections on the event loop: some turns of busy connections in each iteration."""

from __future__ import annotations

import asyncio
from time import monotonic

from firwalk.limits.fair_share import LONG_ITERATION_S, TURNS_PER_ITERATION, TurnQueue, WorkAccount


class Turns:
    """Lets connections that cause much work wait for each other; all others go on at once."""

    def __init__(self) -> None:
        self._queue: TurnQueue[asyncio.Future[None]] = TurnQueue()
        self._is_scheduled = False
        self._granted_at = 0.0
        self.waited_count = 0

    def new_account(self) -> WorkAccount:
        """Return the account of a new connection."""
        return WorkAccount(monotonic())

    @staticmethod
    def must_wait(account: WorkAccount, is_backlogged: bool = False) -> bool:
        """Return whether the connection has a backlog or is over its share."""
        return is_backlogged or not account.has_tokens(monotonic())

    async def take(self, account: WorkAccount, is_backlogged: bool = False) -> None:
        """Wait for a turn, unless the connection is within its share and has no backlog."""
        if not self.must_wait(account, is_backlogged):
            return
        loop = asyncio.get_running_loop()
        turn: asyncio.Future[None] = loop.create_future()
        self.waited_count += 1
        self._queue.append(turn)
        if not self._is_scheduled:
            self._is_scheduled = True
            self._granted_at = monotonic()
            loop.call_soon(self._grant)
        await turn

    def _grant(self) -> None:
        """Give the next connections their turns; those whose task was cancelled are passed over."""
        now = monotonic()
        is_long = now - self._granted_at > LONG_ITERATION_S
        self._granted_at = now
        granted_count = 0
        turn_count = 1 if is_long else TURNS_PER_ITERATION
        while granted_count < turn_count and (turn := self._queue.next()) is not None:
            if not turn.done():
                turn.set_result(None)
                granted_count += 1
        self._is_scheduled = len(self._queue) > 0
        if self._is_scheduled:
            asyncio.get_running_loop().call_soon(self._grant)
