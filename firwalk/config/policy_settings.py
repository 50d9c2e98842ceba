"""Builds a node's policy from its settings, and applies new settings to a running policy.

Maps the keys, which the protocol defines, to the names of the policy. Settings that are missing get the most
conservative value.
"""

from __future__ import annotations

from firwalk.config.node_config import SECONDS_PER_US, JsonObject, section
from firwalk.config.node_schema import DEDUPLICATION_SCOPES, IDEMPOTENCY_VALUES, SIZE_WEIGHTS
from firwalk.policy.interface import DeduplicationScope, Host, Idempotency
from firwalk.policy.policy import Policy
from firwalk.policy.policy_config import PolicyConfig, PolicyLimits
from firwalk.policy.request import RequestClass, Tenant

# Maps the names of load report fields, in settings and on executors' connections, to the policy's names.
LOAD_REPORT_FIELDS = {
    "rif": "held",
    "inflight": "held",
    "busy": "busy",
    "util": "busy",
    "x0": "free_slots",
    "x1": "free_memory",
}
# Statistics that a request class collects from its requests; a reload keeps them.
LEARNED_ATTRIBUTES = (
    "max_budget",
    "hint_count",
    "log_mean",
    "log_spread",
    "finished",
    "log_hint",
    "log_work",
    "hint_spread",
    "together",
)


def build_policy(host: Host, seed: int, settings: JsonObject, now: float) -> Policy:
    """Return a policy for the settings; `now`: seconds on the host's clock."""
    return Policy(host, seed, now, _policy_config(settings), _policy_limits(settings))


def reconfigure(policy: Policy, old: JsonObject, new: JsonObject) -> None:
    """Apply new settings to a running policy; request classes with the same name keep their statistics."""
    limits = _policy_limits(new)
    previous = {
        entry.get("name"): request_class
        for entry, request_class in zip(old.get("offerings", []), policy.request_classes, strict=True)
    }
    for entry, request_class in zip(new.get("offerings", []), limits.request_classes, strict=True):
        before = previous.get(entry.get("name"))
        if before is not None:
            _keep_learned(before, request_class)
    policy.reconfigure(limits)


def _keep_learned(before: RequestClass, after: RequestClass) -> None:
    for attribute in LEARNED_ATTRIBUTES:
        setattr(after, attribute, getattr(before, attribute))
    if before.deadline != after.deadline:
        after.max_budget = 0.0  # the largest budget seen depends on the deadline


def _policy_config(settings: JsonObject) -> PolicyConfig:
    """Return the settings that only a restart can change."""
    limits = section(settings, "limits")
    guarantees = section(settings, "guarantees")
    return PolicyConfig(
        node_index=settings.get("self-index", 0),
        node_count=max(settings.get("siblings", 1), 1),
        zone=settings.get("az", 0),
        clock_resolution_s=settings.get("resolution-us", 0) * SECONDS_PER_US,
        allows_hedging=limits.get("second-copies", False),
        may_cancel=limits.get("cancel", False),
        may_poll_load=limits.get("probing", False),
        load_reports=section(settings, "load-report").get("how", "off"),
        reports_starts=bool(section(settings, "specifics").get("tells-start", False)),
        must_watch_endpoints=settings.get("discovery") == "ask",
        marks_retries=section(settings, "clients").get("marks-retry", True),
        has_sizes=settings.get("weights") in SIZE_WEIGHTS,
        slow_start_initial=guarantees.get("cold-from", 1.0),
        slow_start_s=guarantees.get("cold-us", 0) * SECONDS_PER_US,
        slow_start_multiple=guarantees.get("fall-multiple", 1.0),
        slow_start_window_s=guarantees.get("tip-after-us", 0) * SECONDS_PER_US,
        list_deadline_s=guarantees.get("ask-within-us", 0) * SECONDS_PER_US,
        may_gossip=limits.get("peers", False),
    )


def _policy_limits(settings: JsonObject) -> PolicyLimits:
    """Return the settings that a running policy can apply."""
    limits = section(settings, "limits")
    prices = section(settings, "prices")
    max_retry_after_us = limits.get("max-retry-after-us", 0) if limits.get("retry-after") else 0
    return PolicyLimits(
        request_classes=_request_classes(settings),
        tenants=[Tenant(entry.get("quota-per-s", 0.0)) for entry in settings.get("tenants", [])],
        max_attempts=limits.get("most-assignments", 1),
        max_retry_after_s=max_retry_after_us * SECONDS_PER_US,
        over_quota_weight=settings.get("excess-importance", 1.0),
        is_value_by_work=settings.get("importance-by") == "work",
        crossing_price=prices.get("cross-zone", 0.0),
        connection_price=prices.get("handshake", 0.0),
    )


def _request_classes(settings: JsonObject) -> list[RequestClass]:
    specifics = section(settings, "specifics")
    stretches = specifics.get("class-stretch", [])
    kinds = specifics.get("class-kind", [])
    return [
        RequestClass(
            entry.get("due-time-us", entry.get("expiry-us", 0)) * SECONDS_PER_US,
            entry.get("expiry-us", 0) * SECONDS_PER_US,
            priority_weight=entry.get("importance", 1.0),
            idempotency=IDEMPOTENCY_VALUES.get(entry.get("repeat"), Idempotency.NON_IDEMPOTENT),
            deduplication_scope=DEDUPLICATION_SCOPES.get(entry.get("group"), DeduplicationScope.CELL),
            key_ttl=entry.get("key-ttl-us", 0) * SECONDS_PER_US,
            objective_stretch=entry.get("aim-stretch", stretches[index] if index < len(stretches) else 0.0),
            work_kind=kinds[index] if index < len(kinds) else -1,
        )
        for index, entry in enumerate(settings.get("offerings", []))
    ]
