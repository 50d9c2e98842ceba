"""Applies the plan in force to a node's dispatcher: preferred and excluded zones, rejected requests, quotas.

No I/O. Work is in seconds of an executor at speed 1.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from firwalk.cluster.cluster_member import ClusterMember
from firwalk.cluster.health_observations import HealthObserver
from firwalk.cluster.messages import HealthObservations
from firwalk.cluster.zone_plan import ExcludedZone, ZoneRouting, decode_excluded, decode_routing
from firwalk.policy.policy import Policy, Request

MIX_WINDOW_REQUESTS = 200.0  # The priority mix is averaged over about this many requests.
# A request has one random draw; its products with these factors, modulo 1, serve as independent draws.
ZONE_DRAW_FACTOR = 1009
REJECTION_DRAW_FACTOR = 7919
RETRY_AFTER_REPORTS = 2.0  # The mean Retry-After of rejected requests is this many report intervals.


class EnforcedDispatcher(Protocol):
    """What the plan controls in the dispatcher."""

    health_observer: HealthObserver | None
    cluster_admission: Callable[[Request], float] | None
    policy: Policy

    def zone_capacities(self, count: int) -> list[float]:
        """Return the capacity of each zone's executors, warm, in work per second."""

    def exclude_zones(self, zones: list[int]) -> None:
        """Send nothing to these zones, until the next call."""


class QuotaEnforcer(Protocol):
    """The enforcement of quotas (`firwalk.cluster.quota_accounting.QuotaAccounting`)."""

    def follow_plan(self, now: float) -> None:
        """Apply the plan in force."""

    def end(self) -> None:
        """Give up all quotas."""

    def admission_weight(self, request: Request, request_class: str, tenant: str) -> float:
        """Return a factor for the request's priority weight; 0 rejects the request."""


class PriorityMix:
    """Arriving work by priority weight, as exponentially decaying sums."""

    def __init__(self) -> None:
        self.work: dict[float, float] = {}
        self.total = 0.0

    def add(self, priority_weight: float, work: float) -> None:
        """Count an arriving request."""
        decay = 1.0 - 1.0 / MIX_WINDOW_REQUESTS
        for weight in self.work:
            self.work[weight] *= decay
        self.work[priority_weight] = self.work.get(priority_weight, 0.0) + work
        self.total = self.total * decay + work

    def rejected_ratio(self, overall_ratio: float, priority_weight: float) -> float:
        """Return the ratio of requests of this weight to reject.

        Over all weights, `overall_ratio` of the work is rejected, the least important first.
        """
        less_important = sum(work for weight, work in self.work.items() if weight < priority_weight)
        own = self.work.get(priority_weight, 0.0)
        if not own:
            return 1.0 if overall_ratio >= 1.0 else 0.0
        return min(max((overall_ratio * self.total - less_important) / own, 0.0), 1.0)


class PlanEnforcer:
    """Connects one incarnation of a cluster member with its node's dispatcher.

    `zone`: the node's own; `zone_count`: number of zones, with 0 the plan's section on zones is ignored;
    `quotas`: None without quotas.
    """

    def __init__(
        self,
        member: ClusterMember,
        dispatcher: EnforcedDispatcher,
        zone: int,
        zone_count: int,
        now: float,
        quotas: QuotaEnforcer | None = None,
    ) -> None:
        self.member = member
        self.dispatcher = dispatcher
        self.zone = zone
        self.zone_count = zone_count
        self.quotas = quotas
        self.routing = ZoneRouting([(1.0, zone)], 0.0)
        self.excluded: list[ExcludedZone] = []
        self.priority_mix = PriorityMix()
        self.is_zone_reachable = [True] * zone_count  # By zone, as observed by this node.
        dispatcher.cluster_admission = self.admission_weight
        member.follower.on_plan_changed = self.follow_plan
        if zone_count:
            self._observe_health(now)

    def _observe_health(self, now: float) -> None:
        observer = HealthObserver(self.zone, self.zone_count, now, self.member.follower.report_interval_s)
        observer.on_zone_unavailable = self.member.report_health_early
        self.dispatcher.health_observer = observer
        self.member.observe_health = self._build_health_report
        self.member.observe_health_early = self._build_early_health_report

    def stop(self) -> None:
        """Stop enforcing the plan: zones are used as without a plan, and all quotas are given up.

        The guaranteed quotas are given up too: a node that shuts down still accepts requests for a while, and
        must not serve a tenant's flood without a limit.
        """
        self.zone_count = 0
        self.dispatcher.health_observer = None
        self.dispatcher.exclude_zones([])
        if self.quotas is None:
            self.dispatcher.cluster_admission = None
        else:
            self.quotas.end()

    def follow_plan(self, now: float) -> None:
        """Apply the plan; without one in force all traffic stays local and nothing is rejected."""
        if self.quotas is not None:
            self.quotas.follow_plan(now)
        if not self.zone_count:
            return
        section = (self.member.follower.sections_in_force(now) or {}).get("zones")
        self.routing = decode_routing(section, self.zone, self.zone_count)
        self.excluded = decode_excluded(section, self.zone_count)
        self._exclude_zones()

    def admission_weight(self, request: Request) -> float:
        """Return a factor for the request's priority weight; 0 rejects the request with a Retry-After."""
        if self.zone_count and not self._route_request(request):
            return 0.0
        if self.quotas is None:
            return 1.0
        return self.quotas.admission_weight(request, *request.handle.labels)

    def _route_request(self, request: Request) -> bool:
        """Set the request's preferred zone; return False if the cluster has no capacity for it."""
        priority_weight = request.request_class.priority_weight
        zone_draw = request.random_draw * ZONE_DRAW_FACTOR % 1.0
        self.priority_mix.add(priority_weight, request.work)
        preferred = next((zone for bound, zone in self.routing.ranges if zone_draw < bound), self.zone)
        draw = request.random_draw * REJECTION_DRAW_FACTOR % 1.0
        rejected = self.routing.rejected
        if not rejected or draw >= self.priority_mix.rejected_ratio(rejected, priority_weight):
            request.preferred_zone = self.dispatcher.policy.zones.get(preferred)
            return True
        if self.is_zone_reachable[self.zone] and not self._is_own_zone_drained():
            return True  # A request that fits nowhere stays local while its zone is reachable.
        interval_s = self.member.follower.report_interval_s
        request.handle.retry_after = RETRY_AFTER_REPORTS * interval_s * (0.5 + draw)
        return False

    def _is_own_zone_drained(self) -> bool:
        return any(zone == self.zone and is_drained for zone, is_drained in self.excluded)

    def _build_health_report(self, now: float) -> HealthObservations:
        observer = self.dispatcher.health_observer
        assert observer is not None
        report = observer.build_report(now, self.dispatcher.zone_capacities(self.zone_count))
        for zone, observation in enumerate(observer.last_reported):
            if observation.attempts:
                self.is_zone_reachable[zone] = not observation.is_unavailable()
        self._exclude_zones()
        return report

    def _build_early_health_report(self) -> HealthObservations:
        observer = self.dispatcher.health_observer
        assert observer is not None
        return observer.build_early_report(self.dispatcher.zone_capacities(self.zone_count))

    def _exclude_zones(self) -> None:
        """Exclude zones for the whole cluster, so that not every node loses requests to detect the failure.

        An unavailable zone that this node still reaches (both are on the same side of a network partition, or
        the zone has just recovered) stays in use. An operator's drain applies whatever the node observes.
        """
        self.dispatcher.exclude_zones(
            [zone for zone, is_drained in self.excluded if is_drained or not self.is_zone_reachable[zone]]
        )
