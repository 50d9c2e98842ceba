"""Operators' commands for the cluster, which arrive on the management socket."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TYPE_CHECKING, NamedTuple, TypeAlias

import orjson

from firwalk.cluster.messages import MAX_REASON_BYTES, MAX_ROLLOUT_NAME_BYTES, NO_BALLOT
from firwalk.cluster.operator_commands import OnResult
from firwalk.cluster.zones import REGION, Mode
from firwalk.limits.text_size import truncate

if TYPE_CHECKING:
    from firwalk.net.cluster_state import ClusterState

MAX_PAGE_DIGITS = 6
MAX_ROLLOUT_NUMBER_DIGITS = 9


class CommandReply(NamedTuple):
    """The text that a command returns, or its error; one of the two is empty."""

    text: str
    error: str = ""


Command: TypeAlias = Callable[[], Awaitable[CommandReply]]
CommandWithArgument: TypeAlias = Callable[[str], Awaitable[CommandReply]]


class ClusterCommands:
    """The commands that the configured parts of a cluster member offer."""

    def __init__(self, cluster: ClusterState) -> None:
        self.cluster = cluster

    def without_argument(self) -> dict[str, Command]:
        """Return the commands without an argument, by their text."""
        operations = self.cluster.operations
        commands: dict[str, Command] = {"CLUSTER": self._show_cluster}
        if operations.budgets:
            commands["BUDGETS"] = self._show_quotas
        if operations.zones:
            commands["ZONE SHOW"] = self._show_zones
            commands |= self._zone_commands(operations.zones.regions)
        if operations.stages:
            commands["ROLL WANTED"] = self._show_target_version
            commands["ROLL STATUS"] = self._show_rollout
            for command in ("hold", "resume", "back"):
                commands[f"ROLL {command.upper()}"] = partial(self._send_rollout_command, command)
        return commands

    def with_argument(self) -> dict[str, CommandWithArgument]:
        """Return the commands with an argument, by the text before it."""
        stages = self.cluster.operations.stages
        if not stages:
            return {}
        return {
            "ROLL START ": partial(self._send_rollout_file, stages.changes, "start"),
            "ROLL DRY ": partial(self._send_rollout_file, stages.changes, "dry"),
            "ROLL PAGE ": self._show_rollout_page,
            "ROLL FAILED ": self._report_rollout_failure,
        }

    def _zone_commands(self, regions: dict[str, list[str]]) -> dict[str, Command]:
        names = dict(enumerate(self.cluster.zones))
        for number, region in enumerate(regions):
            names[REGION + number] = f"region {region}"
        return {
            f"ZONE {command.upper()} {name}": partial(self._send_zone_command, command, number)
            for number, name in names.items()
            for command in ("drain", "restore", "dry")
        }

    # -- answered by this node ---------------------------------------------------------------------------

    async def _show_cluster(self) -> CommandReply:
        return CommandReply(status_line(self.cluster))

    async def _show_quotas(self) -> CommandReply:
        """Return the quota accounts of the tenants at this node."""
        accounting = self.cluster.quota_accounting
        if accounting is None or accounting.ledger.contracts is None:
            return CommandReply("", "no contracts are in force at this node")
        tenants = accounting.describe_accounts(time.monotonic())
        return CommandReply("; ".join([f"contracts {accounting.ledger.contracts.version}", *tenants]))

    async def _show_zones(self) -> CommandReply:
        """Return the modes and shares of the zones in the plan that this node follows."""
        cluster = self.cluster
        sections = (
            cluster.member.follower.sections_in_force(time.monotonic())
            if cluster.member is not None
            else None
        )
        section = (sections or {}).get("zones")
        if not section:
            return CommandReply("", "no plan in force tells of zones: all traffic stays near")
        descriptions = []
        for name, (mode, _, is_drained, _) in zip(cluster.zones, section["modes"], strict=True):
            number = str(cluster.zones.index(name))
            shares = section["shares"].get(number, {})
            targets = ",".join(f"{cluster.zones[int(other)]}={share:g}" for other, share in shares.items())
            state = "drained" if is_drained else Mode(mode).name.lower()
            descriptions.append(f"{name} {state} {targets or 'none'}")
        return CommandReply(" ".join(descriptions) + (" panic" if section["panic"] else ""))

    async def _show_target_version(self) -> CommandReply:
        """Return the version that the plan in force assigns to this node, and the one that it runs."""
        controller = self.cluster.rollout_controller
        if controller is None:
            return CommandReply("", "another process speaks for this node")
        target = controller.wanted_version(time.monotonic())
        return CommandReply(f"{target} runs {controller.release or '-'} {self.cluster.tag() or '-'}")

    async def _show_rollout(self) -> CommandReply:
        controller = self.cluster.rollout_controller
        section = controller.section(time.monotonic()) if controller is not None else None
        if section is None:
            return CommandReply("", "no plan is in force here")
        if not section:
            return CommandReply("", "no change was ever asked for")
        return CommandReply(orjson.dumps(section).decode())

    # -- executed by the leader --------------------------------------------------------------------------

    async def _send_rollout_file(self, folder: str, command: str, argument: str) -> CommandReply:
        """Send a rollout file's name and checksum; faults in the file are reported without the leader."""
        from firwalk.config import rollout_file

        name, _, page = argument.partition(" ")
        rollout, checksum, faults = rollout_file.load_by_name(folder, name)
        if rollout is None:
            return CommandReply("", "; ".join(faults))
        return await self._send_rollout_command(command, name, checksum, page)

    async def _show_rollout_page(self, argument: str) -> CommandReply:
        if not argument.isdecimal() or len(argument) > MAX_PAGE_DIGITS:
            return CommandReply("", "a number is wanted")
        return await self._send_rollout_command("page", "", int(argument))

    async def _report_rollout_failure(self, argument: str) -> CommandReply:
        """Report that the agent cannot run the version of the rollout with this number."""
        number, _, reason = argument.partition(" ")
        if not number.isdecimal() or len(number) > MAX_ROLLOUT_NUMBER_DIGITS:
            return CommandReply("", "the number of a change is wanted, and why")
        return await self._send_rollout_command("failed", "", int(number), truncate(reason, MAX_REASON_BYTES))

    async def _send_rollout_command(
        self, command: str, name: str = "", number: int = 0, text: str = ""
    ) -> CommandReply:
        """Send a command; `number` is a file's checksum, a page or a rollout's number, by the command."""
        member = self.cluster.member
        if member is None:
            return CommandReply("", "another process speaks for this node")
        short_name = truncate(name, MAX_ROLLOUT_NAME_BYTES)
        return await self._await_leader(
            lambda now, on_result: member.send_rollout_command(
                now, command, short_name, number, text, on_result
            )
        )

    async def _send_zone_command(self, command: str, zone: int) -> CommandReply:
        member = self.cluster.member
        if member is None:
            return CommandReply("", "another process speaks for this node")
        return await self._await_leader(
            lambda now, on_result: member.send_zone_command(now, command, zone, on_result)
        )

    async def _await_leader(self, send: Callable[[float, OnResult], None]) -> CommandReply:
        reply: asyncio.Future[CommandReply] = self.cluster.loop.create_future()

        def on_result(is_done: bool, text: str) -> None:
            if not reply.done():
                reply.set_result(CommandReply(text) if is_done else CommandReply("", text))

        send(time.monotonic(), on_result)
        return await reply


def status_line(cluster: ClusterState) -> str:
    """Return one line on the state of the cluster as this node sees it."""
    if cluster.member is None:
        return "no seat: another process speaks for this node"
    now = time.monotonic()
    follower = cluster.member.follower
    term, version = follower.stamp
    plan_state = "over" if version else "none"
    if follower.sections_in_force(now) is not None:
        plan_state = "holds"
    fields = {
        "seat": cluster.number,
        "seats": len(cluster.addresses),
        **cluster.member.members.counts(),
        "coordinator": follower.leader_term[1] if follower.leader_term != NO_BALLOT else "none",
        "ballot": ".".join(map(str, term)),
        "version": version,
        "age": f"{now - follower.taken_at:.2f}" if version else "none",
        "plan": plan_state,
        "dropped": sum(cluster.dropped.values()) + cluster.unknown_sender_count(),
    }
    return " ".join(f"{field} {value}" for field, value in fields.items())
