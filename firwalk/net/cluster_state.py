"""State of a cluster member on the event loop: its configuration, its parts and its counters.

`firwalk.net.cluster` starts, stops and reloads it; the host and the operators' commands read it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from firwalk.cluster import messages
from firwalk.config.operations import OperationsConfig
from firwalk.dispatcher.dispatcher import Dispatcher
from firwalk.net.cluster_events import log_event_json, log_event_text

if TYPE_CHECKING:
    from firwalk.cluster.cluster_member import ClusterMember
    from firwalk.cluster.plan_enforcement import PlanEnforcer
    from firwalk.cluster.quota_accounting import QuotaAccounting
    from firwalk.cluster.rollout_controller import RolloutController


class ClusterState:
    """The state of a node's cluster member; `member` is None while another process represents the node."""

    def __init__(
        self,
        operations: OperationsConfig,
        config: dict[str, Any],
        send: Callable[[bytes, tuple[str, int]], None],
        addresses: list[tuple[str, int]],
        dispatcher: Dispatcher,
    ) -> None:
        self.operations = operations
        self.send = send
        self.addresses = addresses
        self.dispatcher = dispatcher
        self.zone: int = config["settings"].get("az", 0)
        self.zones: list[str] = config["settings"].get("azs") or []
        self.number: int = config["settings"].get("self-index", 0)
        self.checksum = messages.cluster_checksum(operations.fleet.name)
        self.member: ClusterMember | None = None
        self.plan_enforcer: PlanEnforcer | None = None
        self.quota_accounting: QuotaAccounting | None = None
        self.rollout_controller: RolloutController | None = None
        self.tag: Callable[[], str] = lambda: ""  # of the current configuration
        self.received = 0
        self.sent = 0
        self.bytes_sent = 0
        self.unknown_sender_count: Callable[[], int] = lambda: 0  # datagrams from unknown addresses
        self.dropped: dict[str, int] = {}  # dropped datagrams, by the reason
        self.loop = asyncio.get_running_loop()

    def event(self, what: str, **fields: object) -> None:
        """Log an event: as JSON, or as a sentence if it has a template, depending on the configuration."""
        if self.operations.log.events == "all":
            log_event_json(what, self.number, self.member.generation if self.member else 0, fields)
        else:
            log_event_text(what, fields)
