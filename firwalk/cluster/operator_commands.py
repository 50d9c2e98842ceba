"""Delivery of operators' commands from any node to the leader.

No I/O: effects go through `firwalk.cluster.host.Host`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, TypeAlias

from firwalk.cluster.host import Host
from firwalk.cluster.messages import NO_BALLOT, CommandResult, OperatorCommand, RolloutCommand
from firwalk.cluster.plan_follower import PlanFollower

MAX_ATTEMPTS = 6
RETRY_INTERVAL_S = 0.25

Command: TypeAlias = OperatorCommand | RolloutCommand
# Called with whether the command was carried out, and the text for the operator.
OnResult: TypeAlias = Callable[[bool, str], None]


class PendingCommand(NamedTuple):
    """A command whose result has not arrived yet."""

    command: Command
    attempts_left: int


class CommandSender:
    """Sends each command to the leader until it answers or the attempts are used up."""

    def __init__(self, host: Host, follower: PlanFollower) -> None:
        self.host = host
        self.follower = follower
        self.last_command_number = 0
        self.callbacks: dict[int, OnResult] = {}  # Callbacks of pending commands, by number.

    def send(self, now: float, make_command: Callable[[int], Command], on_result: OnResult) -> None:
        """Send the command that `make_command` builds for a number; `on_result` gets the outcome."""
        self.last_command_number += 1
        self.callbacks[self.last_command_number] = on_result
        self._attempt(now, PendingCommand(make_command(self.last_command_number), MAX_ATTEMPTS))

    def _attempt(self, now: float, pending: PendingCommand) -> None:
        """Send the command, and schedule another attempt in case a datagram is lost.

        Commands are idempotent, so the leader may receive one twice.
        """
        command, attempts_left = pending
        if command.number not in self.callbacks:
            return
        leader_term = self.follower.leader_term
        if not attempts_left or leader_term == NO_BALLOT:
            on_result = self.callbacks.pop(command.number)
            on_result(False, "no coordinator answers; nothing may have been done")
            return
        self.host.send(leader_term[1], command)
        self.host.set_timer(now + RETRY_INTERVAL_S, self._attempt, PendingCommand(command, attempts_left - 1))

    def on_result(self, message: CommandResult) -> None:
        """Pass on the leader's result; ignore a duplicate."""
        callback = self.callbacks.pop(message.number, None)
        if callback is not None:
            callback(message.done, message.text)
