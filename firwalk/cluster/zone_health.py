"""Evaluates each zone's health by the votes of the nodes that report on it.

A single node, or the nodes of a single zone, cannot make another zone unavailable. Times are seconds on the
coordinator's own clock; work is per second.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from statistics import median_low
from typing import NamedTuple

from firwalk.cluster.zone_observation import MIN_ATTEMPTS, ZoneObservation
from firwalk.cluster.zone_state import Zone

MAX_REPORT_AGE_ROUNDS = 4.0
MIN_ROUND_S = 1e-3
MIN_VOTES = 2  # At least so many nodes must vote against a zone.
MANY_VOTERS = 12  # If so many nodes report on a zone, one attempt each suffices for a vote.
# A verdict is certain after one round with this many votes against the zone, and this fraction of the votes.
CERTAIN_VOTES = 6
CERTAIN_RATIO = 0.75
# Observations of so many rounds, since a zone's last transition, decide whether it is degraded.
POOLED_ROUNDS = 6
MIN_POOLED_ATTEMPTS = 12  # With fewer attempts of all nodes, single faults would look like a degraded zone.
DEGRADED_RATIO = 0.2  # A zone is degraded if a larger fraction of the attempts fails.
SLOW_FACTOR = 4.0  # A zone is slow if its start delay is more than this multiple of the other zones' median.
MIN_SLOW_START_S = 0.05  # A zone with a smaller start delay is not slow.
MAX_WORK = 1e9  # Reports with more work per second are implausible.


@dataclass(slots=True)
class NodeReport:
    """One node's report; `demand`: its clients' work per second."""

    received_at: float
    zone: int  # the node's own
    demand: float
    observations: dict[int, ZoneObservation]


NodeReports = dict[int, NodeReport]  # by node id


class RoundReports(NamedTuple):
    """The reports of an evaluation round; `fresh`: recent enough; `new`: received since the last round."""

    fresh: NodeReports
    new: NodeReports


class Membership(NamedTuple):
    """The cluster's nodes; `up`: ids of the nodes that are alive; `zone_of`: the zone of each node."""

    up: list[int]
    zone_of: dict[int, int]


class Verdict(NamedTuple):
    """A verdict on a zone; `is_certain`: no further round has to confirm it."""

    is_unavailable: bool
    is_certain: bool


class HealthEvaluator:
    """The reports of all nodes, and the verdicts on the zones that follow from them."""

    def __init__(self, zones: list[Zone]) -> None:
        self.zones = zones
        self.reports: NodeReports = {}
        self.early_reports: NodeReports = {}  # not used by evaluation rounds
        self.recent: list[NodeReports] = []  # the new reports of the last rounds
        self.evaluated_at = 0.0

    def add(self, node: int, report: NodeReport, is_early: bool) -> None:
        """Add a report; one with implausible figures is ignored as a whole."""
        if not self._is_plausible(report):
            return
        if is_early:
            self.early_reports[node] = report
            return
        self.reports[node] = report
        self.early_reports.pop(node, None)

    def _is_plausible(self, report: NodeReport) -> bool:
        if not 0 <= report.zone < len(self.zones) or not 0.0 <= report.demand < MAX_WORK:
            return False
        return all(
            0 <= zone < len(self.zones)
            and 0 <= observation.unreachable + observation.errors <= observation.attempts
            and observation.start_delay_s >= 0.0
            and 0.0 <= observation.capacity < MAX_WORK
            for zone, observation in report.observations.items()
        )

    def latest(self, node: int) -> NodeReport | None:
        """Return the newest report of a node, early or regular."""
        return self.early_reports.get(node) or self.reports.get(node)

    def begin_round(self, now: float) -> RoundReports:
        """Drop old reports, and return the reports of the evaluation round."""
        span_s = max(now - self.evaluated_at, MIN_ROUND_S)
        fresh = {
            node: report
            for node, report in self.reports.items()
            if now - report.received_at <= MAX_REPORT_AGE_ROUNDS * span_s
        }
        new = {node: report for node, report in fresh.items() if report.received_at > self.evaluated_at}
        self.evaluated_at = now
        self.reports = fresh
        self.recent = [*self.recent, new][-POOLED_ROUNDS:]
        return RoundReports(fresh, new)

    def received_within(self, now: float, span_s: float) -> NodeReports:
        """Return the newest reports of the last `span_s` seconds, including early ones."""
        newest = self.reports | self.early_reports
        return {node: report for node, report in newest.items() if now - report.received_at <= span_s}

    def votes(self, zone: Zone, reports: NodeReports, min_attempts: int = MIN_ATTEMPTS) -> dict[int, bool]:
        """Return by node whether the zone is unavailable to it.

        Each node has one vote, however many attempts it reports. Where many nodes vote, one attempt each
        suffices, since with little traffic the votes would come too late.
        """
        observations = {
            node: report.observations[zone.number]
            for node, report in reports.items()
            if zone.number in report.observations and report.observations[zone.number].attempts
        }
        required = 1 if len(observations) >= MANY_VOTERS else min_attempts
        return {
            node: observation.is_unavailable()
            for node, observation in observations.items()
            if observation.attempts >= required
        }

    def has_votes(self, zone: Zone, reports: NodeReports) -> bool:
        """Return whether enough nodes vote on the zone."""
        return len(self.votes(zone, reports)) >= MIN_VOTES

    def evaluate(
        self, zone: Zone, reports: NodeReports, members: Membership, min_attempts: int = MIN_ATTEMPTS
    ) -> Verdict:
        """Return the verdict: unavailable if most votes say so, from nodes of at least two zones."""
        votes = self.votes(zone, reports, min_attempts)
        against = [node for node, is_unavailable in votes.items() if is_unavailable]
        if len(against) < MIN_VOTES or 2 * len(against) <= len(votes):
            return Verdict(False, False)
        voting_zones = {reports[node].zone for node in votes}
        against_zones = {reports[node].zone for node in against}
        own_nodes = [node for node, number in members.zone_of.items() if number == zone.number]
        if own_nodes and not any(node in members.up for node in own_nodes):
            against_zones.add(zone.number)  # If all nodes of the zone are down, that counts as its vote.
            voting_zones.add(zone.number)
        elsewhere = against_zones - {zone.number}
        only_others_vote = bool(elsewhere) and voting_zones == elsewhere and len(self.zones) <= 2
        is_unavailable = len(against_zones) >= 2 or only_others_vote
        is_certain = is_unavailable and len(against) >= max(CERTAIN_VOTES, CERTAIN_RATIO * len(votes))
        return Verdict(is_unavailable, is_certain)

    def pooled(self, zone: Zone) -> list[ZoneObservation]:
        """Return the observations of the last rounds since the zone's last transition, summed by node.

        Nodes with too few attempts are left out; the list is empty if all attempts together are too few.
        """
        sums: dict[int, ZoneObservation] = {}
        delays: dict[int, list[float]] = {}
        for node, observation in self._recent_observations(zone):
            total = sums.setdefault(node, ZoneObservation())
            total.attempts += observation.attempts
            total.unreachable += observation.unreachable
            total.errors += observation.errors
            delays.setdefault(node, []).append(observation.start_delay_s)
        for node, total in sums.items():
            # The median: with the mean, one round with a paused machine would make the zone slow.
            total.start_delay_s = median_low(delays[node])
        voters = [total for total in sums.values() if total.attempts >= MIN_ATTEMPTS]
        attempts = sum(total.attempts for total in voters)
        return voters if len(voters) >= MIN_VOTES and attempts >= MIN_POOLED_ATTEMPTS else []

    def _recent_observations(self, zone: Zone) -> Iterator[tuple[int, ZoneObservation]]:
        for reports in self.recent:
            for node, report in reports.items():
                observation = report.observations.get(zone.number)
                if observation is not None and observation.attempts and report.received_at > zone.changed_at:
                    yield node, observation


def update_figures(zone: Zone, reports: NodeReports) -> None:
    """Update the zone's capacity and demand.

    The capacity is the median of the reported ones, on which one wrong report has little effect.
    """
    capacities = [
        report.observations[zone.number].capacity
        for report in reports.values()
        if zone.number in report.observations
    ]
    if capacities:
        zone.capacity = median_low(capacities)
    if reports:
        zone.demand = sum(report.demand for report in reports.values() if report.zone == zone.number)


def has_many_failures(pooled: list[ZoneObservation]) -> bool:
    """Return whether too many attempts fail, by the lower median over the nodes.

    Half of the nodes are not enough, since they may all be of one zone of two.
    """
    if not pooled:
        return False
    return (
        median_low(
            (observation.unreachable + observation.errors) / observation.attempts for observation in pooled
        )
        > DEGRADED_RATIO
    )


def start_delays(pooled: list[list[ZoneObservation]]) -> dict[int, float]:
    """Return by zone the median start delay over the nodes that report on it."""
    return {
        zone: median_low(observation.start_delay_s for observation in observations)
        for zone, observations in enumerate(pooled)
        if observations
    }


def is_slow(zone: Zone, delays: dict[int, float]) -> bool:
    """Return whether the zone is slow compared with the others, so that a common slowdown changes nothing."""
    others = sorted(delay for number, delay in delays.items() if number != zone.number)
    own = delays.get(zone.number)
    if own is None or not others:
        return False
    return own > max(SLOW_FACTOR * others[len(others) // 2], MIN_SLOW_START_S)
