"""Failover between zones, decided by the coordinator for the whole cluster.

Evaluates the nodes' reports in rounds, updates each zone's state, and recomputes the division of the traffic.
The design and its alternatives: `docs/zones.md`. Work is in seconds of work (at speed 1) per second; times
are seconds on the coordinator's own clock.

No I/O: each event is a method, whose time comes first where it takes one.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from firwalk.cluster import zone_health
from firwalk.cluster.zone_health import HealthEvaluator, Membership, NodeReport, Verdict
from firwalk.cluster.zone_observation import ZoneObservation
from firwalk.cluster.zone_shares import EPSILON, Division, ShareCalculator, ZonePolicy
from firwalk.cluster.zone_state import (
    MAX_LOSSES,
    RECOVERY_STEPS,
    UNAVAILABLE_ROUNDS,
    Mode,
    Zone,
    ZoneState,
)

__all__ = ["REGION", "Division", "Mode", "ZonePolicy", "Zones"]

REGION = 1000  # In commands, a region has this number plus its own in place of a zone's number.
MIN_PLAN_SHARE = 1e-4  # Smaller shares are left out of the plan.
PLAN_DIGITS = 4  # Shares in the plan are rounded to so many decimal digits.

# Bits of the third field of a zone's row in the plan.
DRAINED_BIT = 1
DRAINED_BY_FILE_BIT = 2


class StoredZone(NamedTuple):
    """A zone's row in the plan."""

    state: ZoneState
    step: int
    drained_bits: int
    losses: int


class Zones:
    """The coordinator's view of all zones."""

    share_calculator = ShareCalculator

    def __init__(self, policy: ZonePolicy) -> None:
        self.policy = policy
        self.all = [Zone(number, region) for number, region in enumerate(policy.regions)]
        self.health = HealthEvaluator(self.all)
        self.division = self.divide()

    # -- reports -----------------------------------------------------------------------------------------

    def add_report(
        self,
        now: float,
        node: int,
        zone: int,
        demand: float,
        observations: dict[int, ZoneObservation],
        is_early: bool = False,
    ) -> None:
        """Add a node's report; one with implausible figures is ignored.

        `is_early`: its observations are contained in the node's next regular report too.
        """
        self.health.add(node, NodeReport(now, zone, demand, observations), is_early)

    def reports_against_zone_in_use(self, node: int) -> bool:
        """Return whether the node's last report is against a zone that is in use."""
        report = self.health.latest(node)
        return report is not None and any(
            observation.is_unavailable() and self.all[number].state is not ZoneState.UNAVAILABLE
            for number, observation in report.observations.items()
        )

    # -- evaluation --------------------------------------------------------------------------------------

    def evaluate(self, now: float, up: list[int], zone_of: dict[int, int]) -> Division:
        """Run an evaluation round on the reports since the last one; return the new division.

        `up`: nodes that are alive; `zone_of`: the zone of each node.
        """
        fresh, new = self.health.begin_round(now)
        # Without new reports, those of earlier rounds change nothing.
        pooled = [self.health.pooled(zone) if new else [] for zone in self.all]
        delays = zone_health.start_delays(pooled)
        verdicts = [self.health.evaluate(zone, new, Membership(up, zone_of)) for zone in self.all]
        failing = self._failing(verdicts)
        for zone, (is_unavailable, is_certain) in zip(self.all, verdicts, strict=True):
            zone_health.update_figures(zone, fresh)
            is_slow = not self._is_absorbing(zone, failing) and zone_health.is_slow(zone, delays)
            is_degraded = not is_unavailable and (
                zone_health.has_many_failures(pooled[zone.number]) or is_slow
            )
            zone.unavailable_rounds += is_certain * UNAVAILABLE_ROUNDS
            zone.update(now, is_unavailable, is_degraded, self.health.has_votes(zone, new))
        self.division = self.divide()
        return self.division

    def evaluate_early(self, now: float, span_s: float, up: list[int], zone_of: dict[int, int]) -> bool:
        """Make zones unavailable that certainly are by the reports of the last `span_s` seconds.

        This early evaluation follows a report against a zone. It does not count as a round, so that it
        shortens no recovery step. Return whether a zone was lost.
        """
        if not self.health.evaluated_at:
            return False  # A new coordinator does not know the zones' demand and capacity yet.
        reports = self.health.received_within(now, span_s)
        members = Membership(up, zone_of)
        lost = [
            zone
            for zone in self.all
            if zone.state is not ZoneState.UNAVAILABLE
            and self.health.evaluate(zone, reports, members, min_attempts=1).is_certain
        ]
        for zone in lost:
            zone.mark_unavailable(now)
        if lost:
            self.division = self.divide()
        return bool(lost)

    def _failing(self, verdicts: list[Verdict]) -> list[Zone]:
        return [
            zone
            for zone, verdict in zip(self.all, verdicts, strict=True)
            if verdict.is_unavailable and zone.state is not ZoneState.UNAVAILABLE
        ]

    def _is_absorbing(self, zone: Zone, failing: list[Zone]) -> bool:
        """Return whether the zone takes other zones' traffic, by the plan or because another zone fails.

        Such a zone may be slow for that reason. If it shifted traffic in turn, the others would become slow
        too, until no zone had headroom for the lost zone's traffic. Its slowness is reflected in its
        capacity.
        """
        return any(other is not zone for other in failing) or any(
            shares.get(zone.number, 0.0) > EPSILON and self.all[source].demand > 0.0
            for source, shares in self.division.shares.items()
            if source != zone.number
        )

    def kept_ratio(self, zone: Zone) -> float:
        """Return the fraction of its own traffic that a zone may keep."""
        return zone.traffic_ratio()

    def divide(self) -> Division:
        """Return the division by the zones' current states."""
        return self.share_calculator(self.all, self.policy).divide()

    # -- operators ---------------------------------------------------------------------------------------

    def resolve_number(self, number: int) -> list[int]:
        """Return the zone of this number, or all zones of a region for `REGION` plus the region's number."""
        if number >= REGION:
            return [zone.number for zone in self.all if zone.region == number - REGION]
        return [number] if number < len(self.all) else []

    def drain(self, numbers: list[int]) -> str:
        """Drain zones by an operator's command.

        Return the reason, and change nothing, if there is too little headroom for their traffic.
        """
        reason = self._find_conflict(numbers)
        if reason:
            return reason
        for number in numbers:
            zone = self.all[number]
            zone.transitions += not zone.is_drained
            zone.is_drained = True
        self.division = self.divide()
        return ""

    def preview_drain(self, numbers: list[int]) -> str:
        """Return, for a dry run of a drain, where the traffic would go and how much would be rejected."""
        trial = self._trial_division(numbers)
        if trial.all_local:
            return "too little would be left: all would stay near"
        lines = []
        for number in numbers:
            shares = trial.shares[number].items()
            targets = [f"{share:.0%} to {other}" for other, share in shares if share > EPSILON]
            rejected = trial.rejected[number]
            rejected = rejected if rejected > EPSILON else 0.0
            lines.append(", ".join([*targets, f"{rejected:.0%} would fit nowhere"]))
        return "; ".join(lines)

    def restore(self, numbers: list[int], now: float) -> str:
        """End an operator's drain, after which the zones recover by steps.

        Return the reason, and change nothing, if the operators' file keeps them drained.
        """
        if any(self.all[number].is_drained_by_file for number in numbers):
            return "the operators' file says that it is to be out"
        for number in numbers:
            zone = self.all[number]
            if zone.is_drained:
                zone.is_drained = False
                zone.change_state(now, ZoneState.RECOVERING)
        self.division = self.divide()
        return ""

    def apply_configured_drains(self, now: float, numbers: tuple[int, ...]) -> dict[int, str]:
        """Apply the list of drained zones in the operators' file, zone by zone.

        Return by zone why it cannot be drained now; the next round tries again.
        """
        conflicts: dict[int, str] = {}
        for zone in self.all:
            if zone.number in numbers and not zone.is_drained_by_file:
                reason = self._find_conflict([zone.number])
                zone.is_drained_by_file = not reason
                if reason:
                    conflicts[zone.number] = reason
            elif zone.is_drained_by_file and zone.number not in numbers:
                zone.is_drained_by_file = False
                if not zone.is_drained:
                    zone.change_state(now, ZoneState.RECOVERING)
            self.division = self.divide()
        return conflicts

    def _trial_division(self, numbers: list[int]) -> Division:
        """Return the division with these zones drained, without changing anything."""
        before = [zone.is_drained for zone in self.all]
        for number in numbers:
            self.all[number].is_drained = True
        trial = self.divide()
        for zone, was_drained in zip(self.all, before, strict=True):
            zone.is_drained = was_drained
        return trial

    def _find_conflict(self, numbers: list[int]) -> str:
        """Return why these zones cannot be drained now, empty if they can."""
        if all(self.all[number].is_drained or self.all[number].is_drained_by_file for number in numbers):
            return ""
        trial = self._trial_division(numbers)
        rejected = sum(ratio * self.all[number].demand for number, ratio in trial.rejected.items())
        if trial.all_local:
            return "too little would be left: what these zones serve would fit nowhere"
        if rejected > EPSILON:
            demand = sum(zone.demand for zone in self.all)
            return f"{rejected:.1f} of {demand:.1f} work a second would fit nowhere"
        return ""

    # -- the plan ----------------------------------------------------------------------------------------

    def section(self) -> dict[str, Any]:
        """Return the plan's section, which nodes follow and from which a new coordinator resumes."""
        return {
            "shares": {
                str(source): {
                    str(target): round(share, PLAN_DIGITS)
                    for target, share in shares.items()
                    if share > MIN_PLAN_SHARE
                }
                for source, shares in self.division.shares.items()
            },
            "away": {
                str(number): round(ratio, PLAN_DIGITS)
                for number, ratio in self.division.rejected.items()
                if ratio > MIN_PLAN_SHARE
            },
            "modes": [[int(zone.state), zone.step, _drained_bits(zone), zone.losses] for zone in self.all],
            "panic": self.division.all_local,
        }

    def log_fields(self) -> dict[str, Any]:
        """Return the inputs and the result of the division as fields of a log line, for external checks."""
        division = self.division
        numbers = [zone.number for zone in self.all]
        return {
            "asks": [zone.demand for zone in self.all],
            "bears": [zone.capacity for zone in self.all],
            "keeps": [self.kept_ratio(zone) for zone in self.all],
            "head_room": self.policy.head_room,
            "shares": [[division.shares[a].get(b, 0.0) for b in numbers] for a in numbers],
            "away": [division.rejected[number] for number in numbers],
            "panic": division.all_local,
        }

    def resume(self, now: float, section: Any) -> None:
        """Resume from the previous coordinator's section; if it is unreadable, all zones are open."""
        rows = _decode_states(section)
        if len(rows) != len(self.all):
            return
        for zone, row in zip(self.all, rows, strict=True):
            zone.state = row.state
            zone.is_drained = bool(row.drained_bits & DRAINED_BIT)
            zone.is_drained_by_file = row.drained_bits >= DRAINED_BY_FILE_BIT
            zone.step = min(max(row.step, 0), len(RECOVERY_STEPS) - 1)
            zone.losses = min(max(row.losses, 0), MAX_LOSSES)
            zone.changed_at = now
            zone.healthy_since = now
        self.division = self.divide()


def _drained_bits(zone: Zone) -> int:
    return DRAINED_BIT * zone.is_drained + DRAINED_BY_FILE_BIT * zone.is_drained_by_file


def _decode_states(section: Any) -> list[StoredZone]:
    """Return the zones' rows of the plan's section, empty if it is unreadable."""
    try:
        return [
            StoredZone(ZoneState(state), int(step), int(drained), int(losses))
            for state, step, drained, losses in section["modes"]
        ]
    except (KeyError, TypeError, ValueError):
        return []
