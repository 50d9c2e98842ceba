"""Builds a decision node from the deployment's settings; the bench's adapter and the real node share it."""
from __future__ import annotations

from firwalk.host import Effect, Group, Host
from firwalk.logic import Node, Offering, Tenant

MICRO = 1e-6
EFFECTS = {"safe": Effect.IDEMPOTENT, "keyed": Effect.FINGERPRINTED, "unsafe": Effect.SIDE_EFFECTING}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}
# The words of load reports: those of the settings, and those that executors use on sockets.
REPORT_WORDS = {"rif": "held", "inflight": "held", "busy": "busy", "util": "busy",
                "x0": "free_slots", "x1": "free_memory"}


def _offerings(settings: dict) -> list[Offering]:
    family = settings.get("specifics", {})
    stretch, kinds = family.get("class-stretch", []), family.get("class-kind", [])
    return [
        Offering(
            o.get("due-time-us", o.get("expiry-us", 0)) * MICRO, o.get("expiry-us", 0) * MICRO,
            importance=o.get("importance", 1.0),
            effect=EFFECTS.get(o.get("repeat"), Effect.SIDE_EFFECTING),
            group=GROUPS.get(o.get("group"), Group.CELL), remembered=o.get("key-ttl-us", 0) * MICRO,
            stretch=o.get("aim-stretch", stretch[i] if i < len(stretch) else 0.0),
            kind=kinds[i] if i < len(kinds) else -1)
        for i, o in enumerate(settings.get("offerings", []))]


def build_node(host: Host, seed: int, settings: dict, now: float) -> Node:
    """What the settings leave out gets the value that promises least."""
    limits, rules = settings.get("limits", {}), settings.get("guarantees", {})
    prices = settings.get("prices", {})
    return Node(
        host, seed, now, own_number=settings.get("self-index", 0), nodes=settings.get("siblings", 1),
        zone=settings.get("az", 0), offerings=_offerings(settings),
        tenants=[Tenant(t.get("quota-per-s", 0.0)) for t in settings.get("tenants", [])],
        tick=settings.get("resolution-us", 0) * MICRO,
        most=limits.get("most-assignments", 1), copies=limits.get("second-copies", False),
        may_cancel=limits.get("cancel", False), may_probe=limits.get("probing", False),
        longest_advice=limits.get("max-retry-after-us", 0) * MICRO if limits.get("retry-after") else 0.0,
        reports=settings.get("load-report", {}).get("how", "off"),
        tells_start=bool(settings.get("specifics", {}).get("tells-start", False)),
        must_ask=settings.get("discovery") == "ask",
        marked=settings.get("clients", {}).get("marks-retry", True),
        sized=settings.get("weights") in ("nominal", "rough"), crossing=prices.get("cross-zone", 0.0),
        handshake=prices.get("handshake", 0.0), beyond_share=settings.get("excess-importance", 1.0),
        by_work=settings.get("importance-by") == "work",
        cold_from=rules.get("cold-from", 1.0), cold_for=rules.get("cold-us", 0) * MICRO,
        fall_multiple=rules.get("fall-multiple", 1.0), fall_window=rules.get("tip-after-us", 0) * MICRO)
