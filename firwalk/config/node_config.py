"""A node's configuration: loading it, comparing it with a reloaded one, and building the policy from it.

The bench's adapter and the real node share this module. The configuration is a JSON object whose keys are
the protocol's (`docs/configuration.md`); they are mapped to the names of the code here and in
`firwalk.config.node_schema`, and nowhere else. Whatever the settings leave out gets the value that promises
the least.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import orjson

from firwalk.config.errors import ConfigurationError
from firwalk.config.node_schema import EFFECTS, GROUPS, SIZE_WEIGHTS, find_faults
from firwalk.policy.interface import DeduplicationScope, Host, Idempotency
from firwalk.policy.policy import Policy, RequestClass, Tenant

MICRO = 1e-6
ZONES = 2  # zones of a deployment of the new shape
# Keys that a running node takes over; of the last two it uses the value at its start only.
LIVE_KEYS = ("discovery", "known", "seed", "tag")
LIVE_SETTINGS = (
    "offerings",
    "tenants",
    "excess-importance",
    "importance-by",
    # Of these three, what LIVE_NESTED_SETTINGS names.
    "limits",
    "prices",
    "specifics",
)
LIVE_NESTED_SETTINGS = {
    "limits": ("most-assignments", "retry-after", "max-retry-after-us"),
    "prices": ("cross-zone", "handshake"),
    "specifics": ("class-kind", "class-stretch", "class-priority"),
}
# What a request class has learned from its requests, kept over a reload.
LEARNED_ATTRIBUTES = (
    "most",
    "met",
    "log_mean",
    "log_spread",
    "finished",
    "log_hint",
    "log_work",
    "hint_spread",
    "together",
)
# Fields of load reports: the settings' names, and those that executors use on sockets.
LOAD_REPORT_FIELDS = {
    "rif": "held",
    "inflight": "held",
    "busy": "busy",
    "util": "busy",
    "x0": "free_slots",
    "x1": "free_memory",
}

JsonObject = dict[str, Any]  # a parsed configuration, or a part of one


def validate(config: object) -> None:
    """Raises ConfigurationError, with a line for each fault, unless a node can work with it."""
    faults = find_faults(config)
    if faults:
        raise ConfigurationError(faults)


def validate_reload(running: JsonObject, reloaded: object) -> None:
    """Raises ConfigurationError unless a running node can take over a reloaded configuration.

    It is stricter than `validate`: a file that is cut short or lost a key must not change a node at work.
    """
    validate(reloaded)
    assert isinstance(reloaded, dict)
    faults = _missing_keys(running, reloaded)
    if reloaded["settings"].get("limits", {}).get("most-assignments", 1) is None:
        faults.append("settings.limits.most-assignments must be a whole number above 0")
    if faults:
        raise ConfigurationError(faults)


def _missing_keys(running: JsonObject, reloaded: JsonObject, where: str = "") -> list[str]:
    """Keys that only the running one has; in lists, those that all of its entries have."""
    faults = []
    for key, value in running.items():
        name = f"{where}{key}"
        if key not in reloaded:
            faults.append(f"{name} is missing")
        elif isinstance(value, dict):
            if isinstance(reloaded[key], dict):
                faults += _missing_keys(value, reloaded[key], f"{name}.")
            else:
                faults.append(f"{name} must be an object")
        elif key in ("offerings", "tenants") and value:
            common = {key: None for key in value[0] if all(key in entry for entry in value)}
            for index, entry in enumerate(reloaded[key]):
                faults += _missing_keys(common, entry, f"{name}[{index}].")
    return faults


def load(path: str) -> JsonObject:
    """The configuration in a file. Raises OSError, orjson.JSONDecodeError or ConfigurationError."""
    config = read(path)
    validate(config)
    assert isinstance(config, dict)
    return config


def read(path: str) -> object:
    """The JSON value in a file, not validated. Raises OSError or orjson.JSONDecodeError."""
    with open(path, "rb") as file:
        return orjson.loads(file.read())


def one_line(problem: Exception) -> str:
    """An error as one plain line."""
    return f"{type(problem).__name__}: {' '.join(str(problem).split())}"


def error_lines(problem: Exception) -> list[str]:
    """An error as plain lines: one for each fault of a configuration."""
    return problem.faults if isinstance(problem, ConfigurationError) else [one_line(problem)]


def longest_deadline(settings: JsonObject) -> float:
    """Seconds that a client of the deployment waits for its answer at most."""
    request_classes = settings.get("offerings") or [{}]
    longest_us: float = max(request_class.get("expiry-us", 0) for request_class in request_classes)
    return longest_us * MICRO


def needs_restart(running: JsonObject, reloaded: JsonObject) -> list[str]:
    """Names of what differs and cannot be taken over by a running node."""
    settings, new_settings = running["settings"], reloaded["settings"]
    names = _differing_keys(running, reloaded, (*LIVE_KEYS, "settings"), "")
    names += _differing_keys(settings, new_settings, LIVE_SETTINGS, "settings.")
    for key, live in LIVE_NESTED_SETTINGS.items():
        names += _differing_keys(settings.get(key, {}), new_settings.get(key, {}), live, f"settings.{key}.")
    return names


def _differing_keys(old: JsonObject, new: JsonObject, ignored: Sequence[str], where: str) -> list[str]:
    keys = sorted(old.keys() | new.keys())
    return [where + key for key in keys if key not in ignored and old.get(key) != new.get(key)]


# -- from settings to a node -----------------------------------------------------------------------------


def _offerings(settings: dict) -> list[RequestClass]:
    family = settings.get("specifics", {})
    stretch, kinds = family.get("class-stretch", []), family.get("class-kind", [])
    return [
        RequestClass(
            o.get("due-time-us", o.get("expiry-us", 0)) * MICRO,
            o.get("expiry-us", 0) * MICRO,
            priority_weight=o.get("importance", 1.0),
            idempotency=EFFECTS.get(o.get("repeat"), Idempotency.NON_IDEMPOTENT),
            deduplication_scope=GROUPS.get(o.get("group"), DeduplicationScope.CELL),
            key_ttl=o.get("key-ttl-us", 0) * MICRO,
            objective_stretch=o.get("aim-stretch", stretch[i] if i < len(stretch) else 0.0),
            work_kind=kinds[i] if i < len(kinds) else -1,
        )
        for i, o in enumerate(settings.get("offerings", []))
    ]


def _tunable(settings: dict) -> dict:
    """The figures that a running node can take over, as `Node` calls them."""
    limits, prices = settings.get("limits", {}), settings.get("prices", {})
    return {
        "request_classes": _offerings(settings),
        "tenants": [Tenant(t.get("quota-per-s", 0.0)) for t in settings.get("tenants", [])],
        "most": limits.get("most-assignments", 1),
        "longest_advice": limits.get("max-retry-after-us", 0) * MICRO if limits.get("retry-after") else 0.0,
        "beyond_share": settings.get("excess-importance", 1.0),
        "by_work": settings.get("importance-by") == "work",
        "crossing": prices.get("cross-zone", 0.0),
        "handshake": prices.get("handshake", 0.0),
    }


def reconfigure(node: Policy, old: dict, new: dict) -> None:
    """Gives a running node new settings; offerings that stay by name keep what they learnt."""
    figures = _tunable(new)
    before = {
        o.get("name"): request_class
        for o, request_class in zip(old.get("offerings", []), node.request_classes, strict=True)
    }
    for o, request_class in zip(new.get("offerings", []), figures["request_classes"], strict=True):
        learnt = before.get(o.get("name"))
        for word in LEARNED_ATTRIBUTES if learnt is not None else ():
            setattr(request_class, word, getattr(learnt, word))
        if learnt is not None and learnt.deadline != request_class.deadline:
            request_class.most = 0.0  # of the budgets met, which follow the expiry
    node.reconfigure(**figures)


def build_policy(host: Host, seed: int, settings: dict, now: float) -> Policy:
    """What the settings leave out gets the value that promises least."""
    limits, rules = settings.get("limits", {}), settings.get("guarantees", {})
    return Policy(
        host,
        seed,
        now,
        own_number=settings.get("self-index", 0),
        nodes=max(settings.get("siblings", 1), 1),
        zone=settings.get("az", 0),
        tick=settings.get("resolution-us", 0) * MICRO,
        copies=limits.get("second-copies", False),
        may_cancel=limits.get("cancel", False),
        may_probe=limits.get("probing", False),
        reports=settings.get("load-report", {}).get("how", "off"),
        tells_start=bool(settings.get("specifics", {}).get("tells-start", False)),
        must_ask=settings.get("discovery") == "ask",
        marked=settings.get("clients", {}).get("marks-retry", True),
        sized=settings.get("weights") in SIZE_WEIGHTS,
        cold_from=rules.get("cold-from", 1.0),
        cold_for=rules.get("cold-us", 0) * MICRO,
        fall_multiple=rules.get("fall-multiple", 1.0),
        fall_window=rules.get("tip-after-us", 0) * MICRO,
        ask_within=rules.get("ask-within-us", 0) * MICRO,
        peers=limits.get("peers", False),
        **_tunable(settings),
    )
