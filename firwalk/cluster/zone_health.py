"""Judges each zone's health by the votes of the nodes that report on it.

One node, or the nodes of one zone, cannot take another zone out of use. Times are seconds on the own clock;
work is per second.
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
MIN_VOTES = 2  # nodes that must vote against a zone
MANY_VOTERS = 12  # nodes that report on a zone, with which one attempt each will do
CERTAIN_VOTES = 6  # with so many against it, one round will do
CERTAIN_RATIO = 0.75  # of the votes
POOLED_ROUNDS = 6  # over which a degraded zone's observations are gathered, since its last transition
MIN_POOLED_ATTEMPTS = 12  # of all nodes: with fewer, single faults would look like a degraded zone
DEGRADED_RATIO = 0.2  # of attempts that reached nobody or had an error
SLOW_FACTOR = 4.0  # times the median start delay of the other zones
MIN_SLOW_START_S = 0.05  # a zone with a smaller start delay is not slow
MAX_WORK = 1e9  # per second; more is no real figure


@dataclass(slots=True)
class NodeReport:
    """What one node reported; `demand`: work per second of its clients."""

    received_at: float
    zone: int  # the node's own
    demand: float
    observations: dict[int, ZoneObservation]


NodeReports = dict[int, NodeReport]  # by node id


class RoundReports(NamedTuple):
    """`fresh`: not too old to count; `new`: received since the round before."""

    fresh: NodeReports
    new: NodeReports


class Membership(NamedTuple):
    """`up`: ids of the nodes that are alive; `zone_of`: the zone of each node."""

    up: list[int]
    zone_of: dict[int, int]


class Verdict(NamedTuple):
    """`is_certain`: no further round is needed."""

    is_unavailable: bool
    is_certain: bool


class HealthEvaluator:
    """The reports of all nodes, and what they say of each zone."""

    def __init__(self, zones: list[Zone]) -> None:
        self.zones = zones
        self.reports: NodeReports = {}
        self.early_reports: NodeReports = {}  # out of turn; a round takes no part in them
        self.recent: list[NodeReports] = []  # the new ones of the last rounds
        self.evaluated_at = 0.0

    def add(self, node: int, report: NodeReport, is_early: bool) -> None:
        """Takes a report; one with impossible figures is ignored as a whole."""
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
            and 0 <= seen.unreachable + seen.errors <= seen.attempts
            and seen.start_delay_s >= 0.0
            and 0.0 <= seen.capacity < MAX_WORK
            for zone, seen in report.observations.items()
        )

    def latest(self, node: int) -> NodeReport | None:
        """The newest report of a node, early or in turn."""
        return self.early_reports.get(node) or self.reports.get(node)

    def begin_round(self, now: float) -> RoundReports:
        """Drops old reports, and tells which ones the evaluation round goes by."""
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
        """The newest reports of the last `span_s`, early ones among them."""
        newest = self.reports | self.early_reports
        return {node: report for node, report in newest.items() if now - report.received_at <= span_s}

    def votes(self, zone: Zone, reports: NodeReports, min_attempts: int = MIN_ATTEMPTS) -> dict[int, bool]:
        """By node: whether the zone is unavailable to it. Each node has one vote, whatever number of attempts
        it claims; where many vote, one attempt each will do, since with little traffic the votes would come
        too late."""
        observations = {
            node: report.observations[zone.number]
            for node, report in reports.items()
            if zone.number in report.observations and report.observations[zone.number].attempts
        }
        required = 1 if len(observations) >= MANY_VOTERS else min_attempts
        return {
            node: seen.is_unavailable() for node, seen in observations.items() if seen.attempts >= required
        }

    def has_votes(self, zone: Zone, reports: NodeReports) -> bool:
        """Whether enough nodes vote on the zone at all."""
        return len(self.votes(zone, reports)) >= MIN_VOTES

    def judge(
        self, zone: Zone, reports: NodeReports, members: Membership, min_attempts: int = MIN_ATTEMPTS
    ) -> Verdict:
        """Whether most votes are against the zone, from nodes of at least two zones."""
        votes = self.votes(zone, reports, min_attempts)
        against = [node for node, is_unavailable in votes.items() if is_unavailable]
        if len(against) < MIN_VOTES or 2 * len(against) <= len(votes):
            return Verdict(False, False)
        voting_zones = {reports[node].zone for node in votes}
        against_zones = {reports[node].zone for node in against}
        own_nodes = [node for node, number in members.zone_of.items() if number == zone.number]
        if own_nodes and not any(node in members.up for node in own_nodes):
            against_zones.add(zone.number)  # That all its own nodes are down counts as their vote.
            voting_zones.add(zone.number)
        elsewhere = against_zones - {zone.number}
        only_others_vote = bool(elsewhere) and voting_zones == elsewhere and len(self.zones) <= 2
        is_unavailable = len(against_zones) >= 2 or only_others_vote
        is_certain = is_unavailable and len(against) >= max(CERTAIN_VOTES, CERTAIN_RATIO * len(votes))
        return Verdict(is_unavailable, is_certain)

    def pooled(self, zone: Zone) -> list[ZoneObservation]:
        """What each node with enough attempts observed there in the last rounds, since the zone's last
        transition; none where all attempts together are too few."""
        sums: dict[int, ZoneObservation] = {}
        delays: dict[int, list[float]] = {}
        for node, seen in self._recent_observations(zone):
            total = sums.setdefault(node, ZoneObservation())
            total.attempts += seen.attempts
            total.unreachable += seen.unreachable
            total.errors += seen.errors
            delays.setdefault(node, []).append(seen.start_delay_s)
        for node, total in sums.items():
            # By the mean, one round with a paused machine would make a zone slow.
            total.start_delay_s = median_low(delays[node])
        voters = [total for total in sums.values() if total.attempts >= MIN_ATTEMPTS]
        attempts = sum(total.attempts for total in voters)
        return voters if len(voters) >= MIN_VOTES and attempts >= MIN_POOLED_ATTEMPTS else []

    def _recent_observations(self, zone: Zone) -> Iterator[tuple[int, ZoneObservation]]:
        for reports in self.recent:
            for node, report in reports.items():
                seen = report.observations.get(zone.number)
                if seen is not None and seen.attempts and report.received_at > zone.changed_at:
                    yield node, seen


def measure(zone: Zone, reports: NodeReports) -> None:
    """Sets the zone's capacity and demand. The median of what nodes report for its capacity: one wrong report
    changes it little."""
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
    """By the lower median: what half of the nodes see, as those of one zone of two do, is not enough."""
    if not pooled:
        return False
    return median_low((seen.unreachable + seen.errors) / seen.attempts for seen in pooled) > DEGRADED_RATIO


def start_delays(pooled: list[list[ZoneObservation]]) -> dict[int, float]:
    """By zone: the median start delay over the nodes that report on it."""
    return {
        zone: median_low(seen.start_delay_s for seen in observations)
        for zone, observations in enumerate(pooled)
        if observations
    }


def is_slow(zone: Zone, delays: dict[int, float]) -> bool:
    """Compared with the other zones, so that a slowdown of all changes nothing."""
    others = sorted(delay for number, delay in delays.items() if number != zone.number)
    own = delays.get(zone.number)
    if own is None or not others:
        return False
    return own > max(SLOW_FACTOR * others[len(others) // 2], MIN_SLOW_START_S)
