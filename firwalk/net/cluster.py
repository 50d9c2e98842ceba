"""A node's cluster member on the event loop: start and stop, reload, datagrams and operators' commands.

Imported only with an operators' file. Datagrams share the socket of the failure gossip (`firwalk.net.peers`).
"""

from __future__ import annotations

import os
import time

from firwalk.cluster import messages
from firwalk.cluster.cluster_member import ClusterMember
from firwalk.cluster.plan_enforcement import PlanEnforcer
from firwalk.config.operations import LIVE, OperationsConfig
from firwalk.net.cluster_commands import ClusterCommands, Command, CommandWithArgument
from firwalk.net.cluster_host import ClusterHost
from firwalk.net.cluster_parts import (
    build_quota_accounting,
    build_quota_policy,
    build_rollout_controller,
    load_contracts,
)
from firwalk.net.cluster_state import ClusterState
from firwalk.observability.log import log_exception

GENERATION_BYTES = 4


class Cluster(ClusterState):
    """The node's cluster member, which exists while this process represents the node.

    Each start creates a new generation.
    """

    # -- start and stop ------------------------------------------------------------------------------------

    def start(self) -> None:
        """Join the cluster.

        An acceptor does not grant anything for a time from here, until the grants of an earlier process have
        expired.
        """
        generation = int.from_bytes(os.urandom(GENERATION_BYTES))
        now = time.monotonic()
        self.member = self._build_member(generation, now)
        self._build_optional_parts(self.member, now)
        self.event("began", life=generation)
        self.member.start(now)
        if self.rollout_controller is not None:
            self.rollout_controller.start(now)

    def _build_member(self, generation: int, now: float) -> ClusterMember:
        operations = self.operations
        return ClusterMember(
            ClusterHost(self),
            self.number,
            len(self.addresses),
            generation,
            now,
            voters=operations.lease.voters,
            length=operations.lease.length,
            drift=operations.lease.drift,
            period=operations.members.period,
            answer=operations.members.answer,
            report=operations.plan.report,
            hold=operations.plan.hold,
            zones=operations.zones.terms(self.zones) if operations.zones else None,
            quota_policy=build_quota_policy(operations),
        )

    def _build_optional_parts(self, member: ClusterMember, now: float) -> None:
        operations = self.operations
        if operations.zones or operations.budgets:
            zone_count = len(self.zones) if operations.zones else 0
            self.quota_accounting = build_quota_accounting(operations, member)
            self.plan_enforcer = PlanEnforcer(
                member, self.dispatcher, self.zone, zone_count, now, self.quota_accounting
            )
        if operations.stages:
            self.rollout_controller = build_rollout_controller(
                operations, operations.stages, member, self.dispatcher, self.tag, self.zone, self.zones
            )
        if self.rollout_controller is not None and self.quota_accounting is not None:
            self.rollout_controller.contracts_version = self.quota_accounting.version

    def stop(self) -> None:
        """End the cluster member, as another process represents the node or the node stops.

        The lease is released first, so that a node never has two members with a lease.
        """
        if self.member is None:
            return
        if self.member.proposer is not None:
            self.member.proposer.release(time.monotonic())
        self.event("ended")
        self.member = None
        self.rollout_controller = None
        self.dispatcher.rollout_counters = None
        if self.plan_enforcer is not None:
            self.plan_enforcer.stop()  # no reports are sent, so nothing is counted

    def leave(self) -> None:
        """Leave the cluster, as the node stops in order."""
        if self.member is not None:
            self.member.leave(time.monotonic())
            self.stop()

    # -- reload --------------------------------------------------------------------------------------------

    def reload(self, operations: OperationsConfig) -> list[str]:
        """Apply the sections that can change at run time; return the names of those that need a restart."""
        needing_restart = self._parts_needing_restart(operations)
        merged = {
            name: getattr(self.operations if name in needing_restart else operations, name)
            for name in self.operations.__struct_fields__
        }
        self.operations = OperationsConfig(**merged)
        if self.member is not None:
            current = self.operations
            self.member.reconfigure(
                period=current.members.period,
                answer=current.members.answer,
                report=current.plan.report,
                hold=current.plan.hold,
                zones=current.zones.terms(self.zones) if current.zones else None,
            )
        if self.quota_accounting is not None:
            if self.operations.budgets is not None:
                load_contracts(self.operations.budgets.contracts, self.quota_accounting)
            if self.member is not None:  # the contracts of a rollout may be available now
                self.quota_accounting.follow_plan(time.monotonic())
        return needing_restart

    def _parts_needing_restart(self, operations: OperationsConfig) -> list[str]:
        before = self.operations
        return [
            name
            for name in before.__struct_fields__
            if getattr(before, name) != getattr(operations, name)
            and (name not in LIVE or name == "zones" and not self._has_same_zones(operations))
        ]

    def _has_same_zones(self, operations: OperationsConfig) -> bool:
        """Return whether the zones stay as they are; only the policy on them can change at run time."""
        before = self.operations.zones
        after = operations.zones
        return before is not None and after is not None and before.regions == after.regions

    # -- datagrams -----------------------------------------------------------------------------------------

    def on_datagram(self, data: bytes, number: int) -> None:
        """Handle a datagram from the configured address of node `number`."""
        if self.member is None:
            return
        try:
            sender, generation, incarnation, message = messages.decode(self.checksum, data)
            if sender != number:
                raise messages.MalformedMessage("a seat from another's address")
        except messages.MalformedMessage as problem:
            self.count_dropped(str(problem))
            return
        self.received += 1
        try:
            self.member.on_message(time.monotonic(), sender, generation, incarnation, message)
        except Exception as problem:
            log_exception("handling a cluster datagram", problem)

    def count_dropped(self, reason: str) -> None:
        """Count a dropped datagram by the reason."""
        self.dropped[reason] = self.dropped.get(reason, 0) + 1

    # -- operators -----------------------------------------------------------------------------------------

    def commands(self) -> dict[str, Command]:
        """Return the operators' commands without an argument, by their text."""
        return ClusterCommands(self).without_argument()

    def commands_with_argument(self) -> dict[str, CommandWithArgument]:
        """Return the operators' commands with an argument, by the text before it."""
        return ClusterCommands(self).with_argument()
