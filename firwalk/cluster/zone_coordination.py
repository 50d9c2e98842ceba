"""Zone failover across the cluster: each node reports what it observes, the leader evaluates the zones.

No I/O: effects go through `firwalk.cluster.host.Host`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from firwalk.cluster.health_observations import decode_observations
from firwalk.cluster.host import Host
from firwalk.cluster.members import Members
from firwalk.cluster.messages import NO_BALLOT, HealthObservations
from firwalk.cluster.plan import PlanSections
from firwalk.cluster.plan_follower import PlanFollower
from firwalk.cluster.plan_publisher import PlanPublisher
from firwalk.cluster.zones import Mode, ZonePolicy, Zones

EARLY_EVALUATION_DELAY_S = 0.1  # Lets other nodes' reports arrive after the first one against a zone.


class CommandOutcome(NamedTuple):
    """Whether a command was carried out, and the answer to the operator."""

    done: bool
    text: str


class ZoneSnapshot(NamedTuple):
    """A zone's mode and step before an evaluation."""

    mode: Mode
    step: int


class ZoneReporter:
    """Reports this node's health observations to the leader, separately from the plan reports.

    `observe` returns the observations of a regular report, `observe_early` those of an early one; None until
    they are set.
    """

    def __init__(self, host: Host, node_id: int, follower: PlanFollower) -> None:
        self.host = host
        self.node_id = node_id
        self.follower = follower
        self.observe: Callable[[float], HealthObservations] | None = None
        self.observe_early: Callable[[], HealthObservations] | None = None
        self.reported_early_at = float("-inf")

    def start(self, now: float) -> None:
        """Begin to report regularly."""
        self.host.set_timer(now + self.follower.report_interval_s, self._report, None)

    def _report(self, now: float, _: None) -> None:
        leader_term = self.follower.leader_term
        if self.observe is not None and leader_term != NO_BALLOT and leader_term[1] != self.node_id:
            self.host.send(leader_term[1], self.observe(now))
        self.host.set_timer(now + self.follower.report_interval_s, self._report, None)

    def report_early(self) -> None:
        """Report early that a zone turned unhealthy, at most once per report interval."""
        self.host.set_timer(0.0, self._report_early, None)

    def _report_early(self, now: float, _: None) -> None:
        leader_term = self.follower.leader_term
        if now < self.reported_early_at + self.follower.report_interval_s:
            return
        if self.observe_early is None or leader_term == NO_BALLOT:
            return
        self.reported_early_at = now
        self.host.send(leader_term[1], self.observe_early())


class ZoneCoordinator:
    """The leader's side: evaluates the zones from all nodes' reports and writes their section of the plan.

    `zones` is None until this node has published its first plan as the leader.
    """

    def __init__(
        self,
        host: Host,
        node_id: int,
        policy: ZonePolicy,
        publisher: PlanPublisher,
        members: Members,
        reporter: ZoneReporter,
    ) -> None:
        self.host = host
        self.node_id = node_id
        self.policy = policy
        self.publisher = publisher
        self.members = members
        self.reporter = reporter
        self.zones: Zones | None = None
        self.zone_of: dict[int, int] = {}  # by node id
        self.refused: dict[int, str] = {}  # refused drains of the operators' file, by zone, with the reason
        self.is_early_evaluation_due = False

    def open(self, now: float) -> None:
        """Begin a term by resuming from the plan."""
        self.zones = Zones(self.policy)
        self.zones.resume(now, self.publisher.sections.get("zones"))

    def reconfigure(self, policy: ZonePolicy) -> None:
        """Replace the policy for the same zones."""
        self.policy = policy
        if self.zones is not None:
            self.zones.policy = policy

    def evaluate(self, now: float, node_ids_up: list[int]) -> PlanSections:
        """Run an evaluation round; return the changes to the plan."""
        if self.zones is None:
            return {}
        if self.reporter.observe is not None:
            self.on_observations(now, self.node_id, self.reporter.observe(now))
        before = self._snapshot(self.zones)
        self._drain_as_configured(now, self.zones)
        self.zones.evaluate(now, node_ids_up, self.zone_of)
        self._record_changes(self.zones, before)
        return self._section(self.zones)

    def on_observations(self, now: float, node_id: int, message: HealthObservations) -> None:
        """Process a node's report; one against a zone in use triggers an early evaluation."""
        if self.zones is None or not self.publisher.is_leader(now):
            return
        self.zone_of[node_id] = message.zone
        self.zones.add_report(now, node_id, message.zone, *decode_observations(message), message.early)
        if not self.is_early_evaluation_due and self.zones.reports_against_zone_in_use(node_id):
            self.is_early_evaluation_due = True
            self.host.set_timer(now + EARLY_EVALUATION_DELAY_S, self._evaluate_early, None)

    def _evaluate_early(self, now: float, _: None) -> None:
        self.is_early_evaluation_due = False
        if self.zones is None or not self.publisher.is_leader(now) or not self.publisher.version:
            return
        before = self._snapshot(self.zones)
        report_interval_s = self.publisher.follower.report_interval_s
        if self.zones.evaluate_early(now, report_interval_s, self.members.up(), self.zone_of):
            self._record_changes(self.zones, before)
            self.publisher.change_sections(now, self._section(self.zones))

    def execute(self, now: float, word: str, number: int) -> CommandOutcome:
        """Carry out an operator's command: `drain`, `restore`, or `dry` for a dry run of a drain."""
        numbers = self.zones.resolve_number(number) if self.zones is not None else []
        if self.zones is None or not numbers:
            return CommandOutcome(False, "the coordinator does not decide on such a zone, or not yet")
        if word == "dry":
            return CommandOutcome(True, self.zones.preview_drain(numbers))
        reason = self.zones.drain(numbers) if word == "drain" else self.zones.restore(numbers, now)
        if reason:
            return CommandOutcome(False, reason)
        self.host.event("zone_wish", number=number, word=word)
        self.publisher.change_sections(now, self._section(self.zones))
        return CommandOutcome(True, "")

    def _drain_as_configured(self, now: float, zones: Zones) -> None:
        """Drain the zones of the operators' file; a refusal is recorded once."""
        refused = zones.apply_configured_drains(now, self.policy.drained)
        for number, reason in refused.items():
            if number not in self.refused:
                self.host.event("zone_refused", number=number, reason=reason)
        self.refused = refused

    def _snapshot(self, zones: Zones) -> list[ZoneSnapshot]:
        return [ZoneSnapshot(zone.mode, zone.step) for zone in zones.all]

    def _record_changes(self, zones: Zones, before: list[ZoneSnapshot]) -> None:
        for zone, previous in zip(zones.all, before, strict=True):
            if (zone.mode, zone.step) != previous:
                self.host.event(
                    "zone", number=zone.number, mode=zone.mode.name.lower(), keeps=zones.kept_ratio(zone)
                )

    def _section(self, zones: Zones) -> PlanSections:
        section = zones.section()
        if section != self.publisher.sections.get("zones"):
            self.host.event("divided", **zones.log_fields())
        return {"zones": section}
