"""One node's member of the cluster: membership, election, plan, and optionally zones, quotas and rollouts.

The leader is called the coordinator in events, log lines and answers to operators.

No I/O: received messages are passed in, and effects go through `firwalk.cluster.host.Host`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, NamedTuple, TypeAlias

from firwalk.cluster import messages as m
from firwalk.cluster.host import Host
from firwalk.cluster.lease import Acceptor, Proposer
from firwalk.cluster.members import Members
from firwalk.cluster.node_id_ranges import encode_ranges
from firwalk.cluster.operator_commands import CommandSender, OnResult
from firwalk.cluster.plan import PlanSections
from firwalk.cluster.plan_follower import PlanFollower
from firwalk.cluster.plan_publisher import PlanPublisher
from firwalk.cluster.quota_coordination import ContractRollout, ContractStore, QuotaCoordinator
from firwalk.cluster.quotas import ContractSet, QuotaClient, QuotaPolicy
from firwalk.cluster.random_source import RandomSource
from firwalk.cluster.zone_coordination import CommandOutcome, ZoneCoordinator, ZoneReporter
from firwalk.cluster.zones import ZonePolicy, Zones
from firwalk.limits.text_size import truncate

if TYPE_CHECKING:
    from firwalk.cluster.rollout_controller import RolloutController

# In larger clusters the report interval grows with the number of nodes, which bounds the leader's load.
MAX_FULL_RATE_NODES = 400
MIN_HOLD_INTERVALS = 3  # A plan stays in force for at least this many report intervals.

# Called with the time, the sender's node id, the sender's generation and the message.
MessageHandler: TypeAlias = Callable[[float, int, int, Any], None]


class ReportTiming(NamedTuple):
    """Seconds between reports, and seconds for which the leader's answer keeps the plan in force."""

    report_interval_s: float
    hold_s: float


class ClusterMember:
    """One node's member of the cluster, from one start to its end.

    `generation`: a random number that differs with each start; `voters`: ids of the nodes that elect the
    leader; `length`: duration of the leader's lease; `drift`: largest relative difference between the rates
    of two clocks; `period`: between two probes; `answer`: timeout of a direct ping; `report`: between two
    reports to the leader; `hold`: how long the leader's answer to a report keeps the plan in force; `zones`
    and `quota_policy`: the operators' policies, None if the feature is off. Durations are seconds.
    """

    acceptor: Acceptor | None = None
    proposer: Proposer | None = None
    plan_publisher: PlanPublisher | None = None
    quota_client: QuotaClient | None = None
    rollout_controller: RolloutController | None = None
    zone_coordinator: ZoneCoordinator | None = None
    quota_coordinator: QuotaCoordinator | None = None

    def __init__(
        self,
        host: Host,
        node_id: int,
        cluster_size: int,
        generation: int,
        now: float,
        *,
        voters: list[int],
        length: float = 2.0,
        drift: float = 0.01,
        period: float = 0.5,
        answer: float = 0.15,
        report: float = 0.5,
        hold: float = 3.0,
        zones: ZonePolicy | None = None,
        quota_policy: QuotaPolicy | None = None,
    ) -> None:
        self.host = host
        self.node_id = node_id
        self.cluster_size = cluster_size
        self.generation = generation
        random_source = RandomSource(generation ^ node_id)
        timing = self._scale_timing(report, hold)
        self.members = Members(
            host, node_id, cluster_size, generation, random_source, period_s=period, ping_timeout_s=answer
        )
        self.follower = PlanFollower(
            host, node_id, random_source, report_interval_s=timing.report_interval_s, hold_s=timing.hold_s
        )
        self.members.leader_term = lambda: self.follower.leader_term
        self.command_sender = CommandSender(host, self.follower)
        self.contracts = ContractStore()
        self.zone_reporter = ZoneReporter(host, node_id, self.follower)
        self.has_zones = zones is not None
        if quota_policy:
            self.quota_client = QuotaClient(host, quota_policy, lambda: self.follower.leader_term)
        if node_id in voters:
            acceptor = Acceptor(host, generation, now, lease_s=length, drift=drift)
            self._add_voter_components(
                Proposer(
                    host, node_id, generation, voters, acceptor, random_source, lease_s=length, drift=drift
                )
            )
            self._add_leader_components(zones, quota_policy)
        self._handlers = self._build_handlers()

    def _add_voter_components(self, proposer: Proposer) -> None:
        """Add what a node needs to take part in elections and to publish plans."""
        self.acceptor = proposer.acceptor
        self.proposer = proposer
        publisher = PlanPublisher(self.host, proposer, self.follower, proposer.random_source, self.members.up)
        self.plan_publisher = publisher
        proposer.on_acquired = publisher.on_lease_acquired
        proposer.on_lost = publisher.on_lease_lost
        publisher.on_first_plan = self._resume_components

    def _add_leader_components(
        self, zone_policy: ZonePolicy | None, quota_policy: QuotaPolicy | None
    ) -> None:
        """Add the optional components that act while this node is the leader."""
        if self.plan_publisher is None:
            return
        if zone_policy is not None:
            self.zone_coordinator = ZoneCoordinator(
                self.host, self.node_id, zone_policy, self.plan_publisher, self.members, self.zone_reporter
            )
        if quota_policy:
            self.quota_coordinator = QuotaCoordinator(
                self.host, quota_policy, self.contracts, self.plan_publisher, self.members
            )

    def start(self, now: float) -> None:
        """Start probing, reporting and, on a voter, competing for the lease."""
        self.members.start(now)
        self.follower.start(now)
        if self.proposer is not None:
            self.proposer.start(now)
            self.host.set_timer(now, self._maintain_plan, None)
        if self.has_zones:
            self.zone_reporter.start(now)
        if self.quota_client is not None:
            self.quota_client.start(now)

    # -- callbacks and data from the node's other components ---------------------------------------------

    @property
    def zones(self) -> Zones | None:
        """The zones as evaluated by this node, None until it has published a plan as the leader."""
        return self.zone_coordinator.zones if self.zone_coordinator is not None else None

    @property
    def observe_health(self) -> Callable[[float], m.HealthObservations] | None:
        """The callback that returns the observations for a regular health report."""
        return self.zone_reporter.observe

    @observe_health.setter
    def observe_health(self, observe: Callable[[float], m.HealthObservations]) -> None:
        self.zone_reporter.observe = observe

    @property
    def observe_health_early(self) -> Callable[[], m.HealthObservations] | None:
        """The callback that returns the observations for an early health report."""
        return self.zone_reporter.observe_early

    @observe_health_early.setter
    def observe_health_early(self, observe_early: Callable[[], m.HealthObservations]) -> None:
        self.zone_reporter.observe_early = observe_early

    @property
    def find_contracts(self) -> Callable[[int], ContractSet | None]:
        """The callback that finds a version of the contracts among the rollouts' files."""
        return self.contracts.find_version

    @find_contracts.setter
    def find_contracts(self, find_version: Callable[[int], ContractSet | None]) -> None:
        self.contracts.find_version = find_version

    def report_health_early(self) -> None:
        """Send a health report ahead of schedule, because a zone became unavailable."""
        self.zone_reporter.report_early()

    def add_contracts(self, contracts: ContractSet) -> None:
        """Make contracts available to this node, which follows them once the plan names them."""
        self.contracts.add_newest(contracts)
        if self.quota_client is not None:
            self.quota_client.ready = contracts.checksum

    # -- leadership --------------------------------------------------------------------------------------

    def is_leader(self, now: float) -> bool:
        """Return whether this node is the leader at this moment."""
        return self.plan_publisher is not None and self.plan_publisher.is_leader(now)

    def set_section(self, now: float, name: str, section: Any) -> bool:
        """Change a section of the plan; return False if this node is not the leader."""
        return self.plan_publisher is not None and self.plan_publisher.set_section(now, name, section)

    def _resume_components(self, now: float) -> None:
        """Resume each leader component from the plan, after the first plan of this node's term."""
        if self.rollout_controller is not None and self.plan_publisher is not None:
            self.rollout_controller.open(now, self.plan_publisher.sections.get("stages"))
        if self.zone_coordinator is not None:
            self.zone_coordinator.open(now)
        if self.quota_coordinator is not None:
            self.quota_coordinator.open(now)

    def _maintain_plan(self, now: float, _: None) -> None:
        """Update the plan periodically while this node is the leader, and keep it in force here."""
        if self.plan_publisher is None or self.proposer is None:
            return
        self.plan_publisher.confirm_own_plan(now)
        if self.plan_publisher.is_leader(now):
            node_ids_up = self.members.up()
            changes: PlanSections = {
                "seats": {"up": encode_ranges(node_ids_up), "count": len(node_ids_up)},
                "voters": {"up": [node_id for node_id in self.proposer.voters if node_id in node_ids_up]},
            }
            if self.plan_publisher.version:
                changes |= self._evaluate_components(now, node_ids_up)
            self.plan_publisher.change_sections(now, changes)
        self.host.set_timer(now + self.follower.report_interval_s, self._maintain_plan, None)

    def _evaluate_components(self, now: float, node_ids_up: list[int]) -> PlanSections:
        """Return the changes to the plan that zones, rollouts and quotas need."""
        changes: PlanSections = {}
        if self.zone_coordinator is not None:
            changes |= self.zone_coordinator.evaluate(now, node_ids_up)
        if self.rollout_controller is not None:
            changes |= self.rollout_controller.evaluate(now, node_ids_up)
        if self.quota_coordinator is not None:
            rollout = (
                self.rollout_controller.staged_contracts() if self.rollout_controller is not None else None
            )
            contract_rollout = ContractRollout(*rollout) if rollout is not None else None
            changes |= self.quota_coordinator.plan_changes(now, node_ids_up, contract_rollout)
        return changes

    # -- operators' commands -----------------------------------------------------------------------------

    def send_zone_command(self, now: float, word: str, zone: int, on_result: OnResult) -> None:
        """Execute a command on a zone at the leader, and pass its result to `on_result`."""
        if self.is_leader(now):
            on_result(*self._execute_zone_command(now, word, zone))
        else:
            self.command_sender.send(now, lambda number: m.OperatorCommand(number, word, zone), on_result)

    def send_rollout_command(
        self, now: float, word: str, name: str, argument: int, text: str, on_result: OnResult
    ) -> None:
        """Execute a command on a rollout at the leader, and pass its result to `on_result`."""

        def make_command(number: int) -> m.RolloutCommand:
            return m.RolloutCommand(number, word, name, argument, text)

        if self.is_leader(now):
            assert self.rollout_controller is not None, "commands on rollouts need the rollout controller"
            on_result(*self.rollout_controller.execute(now, self.node_id, make_command(0)))
        else:
            self.command_sender.send(now, make_command, on_result)

    def _execute_zone_command(self, now: float, word: str, zone: int) -> CommandOutcome:
        if self.zone_coordinator is None:
            return CommandOutcome(False, "the coordinator does not decide on such a zone, or not yet")
        return self.zone_coordinator.execute(now, word, zone)

    # -- messages ----------------------------------------------------------------------------------------

    def on_message(
        self, now: float, sender: int, generation: int, incarnation: int, message: m.Message
    ) -> None:
        """Handle a message from a node of the cluster."""
        if sender >= self.cluster_size:
            return
        # A proposer also sends to the acceptor of its own node; membership ignores these messages.
        if sender != self.node_id:
            self.members.on_header(now, sender, generation, incarnation)
        if isinstance(message, m.Ping | m.Ack):
            self.follower.on_leader_term(now, message.leader_term)
            if self.plan_publisher is not None:
                self.plan_publisher.on_leader_term(now, self.follower.leader_term)
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(now, sender, generation, message)

    def _build_handlers(self) -> dict[type, MessageHandler]:
        """Return the handlers by message type; lambdas, so that methods replaced later take effect."""
        members = self.members
        follower = self.follower
        handlers: dict[type, MessageHandler] = {
            m.Ping: lambda now, sender, _, message: members.on_ping(now, sender, message),
            m.Ack: lambda now, sender, _, message: members.on_ack(now, sender, message),
            m.PingRequest: lambda now, sender, _, message: members.on_ping_request(now, sender, message),
            m.Nack: lambda now, sender, _, message: members.on_nack(now, message),
            m.Answer: lambda now, sender, _, message: follower.on_answer(now, sender, message),
            m.Piece: lambda now, sender, _, message: follower.on_piece(now, message),
            m.Fetch: lambda now, sender, _, message: follower.on_fetch(now, sender, message),
            m.CommandResult: lambda now, sender, _, message: self.command_sender.on_result(message),
            m.QuotaGrant: self._on_quota_grant,
        }
        if self.acceptor is not None and self.proposer is not None and self.plan_publisher is not None:
            handlers |= self._election_handlers(self.acceptor, self.proposer)
            handlers |= self._leader_handlers(self.plan_publisher)
        return handlers

    def _election_handlers(self, acceptor: Acceptor, proposer: Proposer) -> dict[type, MessageHandler]:
        return {
            m.Prepare: lambda now, sender, _, message: acceptor.on_prepare(now, sender, message.ballot),
            m.Propose: lambda now, sender, _, message: acceptor.on_propose(now, sender, message),
            m.Release: lambda now, sender, _, message: acceptor.on_release(now, message.ballot),
            m.Promise: lambda now, sender, generation, message: proposer.on_promise(
                now, sender, generation, message
            ),
            m.Refuse: lambda now, sender, _, message: proposer.on_refuse(now, message),
            m.Accept: lambda now, sender, _, message: proposer.on_accept(now, sender, message),
        }

    def _leader_handlers(self, publisher: PlanPublisher) -> dict[type, MessageHandler]:
        return {
            m.Report: lambda now, sender, _, message: publisher.on_report(now, sender, message),
            m.Piece: self._on_piece,
            m.HealthObservations: self._on_health_observations,
            m.OperatorCommand: self._on_operator_command,
            m.QuotaRequest: self._on_quota_request,
            m.RolloutMetrics: self._on_rollout_metrics,
            m.RolloutCommand: self._on_rollout_command,
        }

    def _on_piece(self, now: float, sender: int, generation: int, message: m.Piece) -> None:
        if self.plan_publisher is not None:
            self.plan_publisher.on_piece(now, message)
        self.follower.on_piece(now, message)

    def _on_quota_grant(self, now: float, sender: int, generation: int, message: m.QuotaGrant) -> None:
        if self.quota_client is not None:
            self.quota_client.on_grant(now, sender, message)

    def _on_quota_request(self, now: float, sender: int, generation: int, message: m.QuotaRequest) -> None:
        if self.quota_coordinator is not None:
            self.quota_coordinator.on_request(now, sender, generation, message)

    def _on_health_observations(
        self, now: float, sender: int, generation: int, message: m.HealthObservations
    ) -> None:
        if self.zone_coordinator is not None:
            self.zone_coordinator.on_observations(now, sender, message)

    def _on_operator_command(
        self, now: float, sender: int, generation: int, message: m.OperatorCommand
    ) -> None:
        if self.is_leader(now):
            outcome = self._execute_zone_command(now, message.action, message.zone)
            self._send_result(sender, message.number, outcome)

    def _on_rollout_command(
        self, now: float, sender: int, generation: int, message: m.RolloutCommand
    ) -> None:
        if self.is_leader(now) and self.rollout_controller is not None:
            outcome = CommandOutcome(*self.rollout_controller.execute(now, sender, message))
            self._send_result(sender, message.number, outcome)

    def _send_result(self, node_id: int, number: int, outcome: CommandOutcome) -> None:
        text = truncate(outcome.text, m.MAX_RESULT_BYTES)
        self.host.send(node_id, m.CommandResult(number, outcome.done, text))

    def _on_rollout_metrics(
        self, now: float, sender: int, generation: int, message: m.RolloutMetrics
    ) -> None:
        if self.rollout_controller is not None:
            self.rollout_controller.on_metrics(now, sender, generation, message)

    # -- reconfiguration and end -------------------------------------------------------------------------

    def reconfigure(
        self, *, period: float, answer: float, report: float, hold: float, zones: ZonePolicy | None = None
    ) -> None:
        """Apply other durations and another policy for the same zones.

        The duration of the lease stays until the node's next start.
        """
        if zones is not None and self.zone_coordinator is not None:
            self.zone_coordinator.reconfigure(zones)
        self.members.period_s = period
        self.members.ping_timeout_s = answer
        timing = self._scale_timing(report, hold)
        self.follower.report_interval_s = timing.report_interval_s
        self.follower.hold_s = timing.hold_s

    def _scale_timing(self, report_interval_s: float, hold_s: float) -> ReportTiming:
        """Return the configured durations adapted to the size of the cluster."""
        report_interval_s = max(
            report_interval_s, report_interval_s * self.cluster_size / MAX_FULL_RATE_NODES
        )
        return ReportTiming(report_interval_s, max(hold_s, MIN_HOLD_INTERVALS * report_interval_s))

    def leave(self, now: float) -> None:
        """Leave the cluster: return the quotas and the lease, and announce the departure."""
        if self.quota_client is not None:
            self.quota_client.end(now)
        if self.proposer is not None:
            self.proposer.release(now)
        self.members.leave(now)
