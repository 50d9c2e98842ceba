"""Checks a node's configuration, and builds a decision node from its deployment's settings; the bench's
adapter and the real node share it. What the settings leave out gets the value that promises least."""

from __future__ import annotations

from collections.abc import Callable

import orjson

from firwalk.policy.interface import DeduplicationScope, Host, Idempotency
from firwalk.policy.policy import Policy
from firwalk.policy.policy_config import PolicyConfig, PolicyLimits
from firwalk.policy.request import RequestClass, Tenant

MICRO = 1e-6
ZONES = 2  # of the new shape of deployment
EFFECTS = {"safe": Idempotency.IDEMPOTENT, "keyed": Idempotency.KEYED, "unsafe": Idempotency.NON_IDEMPOTENT}
GROUPS = {"all": DeduplicationScope.ALL, "zone": DeduplicationScope.ZONE, "cell": DeduplicationScope.CELL}
SIZED = ("nominal", "rough")  # kinds of weights in the list that are an executor's size
# What a running node can take over; of its own keys the last two mean something at a start.
LIVE = ("discovery", "known", "seed", "tag")
LIVE_SETTINGS = (
    "offerings",
    "tenants",
    "excess-importance",
    "importance-by",
    "limits",
    "prices",
    "specifics",
)  # of these three what is named here
LIVE_PARTS = {
    "limits": ("most-assignments", "retry-after", "max-retry-after-us"),
    "prices": ("cross-zone", "handshake"),
    "specifics": ("class-kind", "class-stretch", "class-priority"),
}
LEARNT = (
    "most",
    "met",
    "log_mean",
    "log_spread",
    "finished",
    "log_hint",
    "log_work",
    "hint_spread",
    "together",
)  # by an offering, of its tasks
ABOVE_ZERO = ("due-time-us", "expiry-us")  # in each offering
LEAST_SOCKETS = 32  # descriptors with which a node can serve one client at all: most are its own
# The words of load reports: those of the settings, and those that executors use on sockets.
LOAD_REPORT_FIELDS = {
    "rif": "held",
    "inflight": "held",
    "busy": "busy",
    "util": "busy",
    "x0": "free_slots",
    "x1": "free_memory",
}


# -- what a configuration may say ------------------------------------------------------------------------


def _number(least: float, most: float = 1e12, whole: bool = False) -> Callable[[object], str]:
    def validate(value: object) -> str:
        fits = isinstance(value, int if whole else int | float) and not isinstance(value, bool)
        return (
            ""
            if fits and least <= value <= most
            else (f"{'a whole number' if whole else 'a number'} from {least:g} to {most:g}")
        )

    return validate


def _word(*words: str) -> Callable[[object], str]:
    return lambda value: "" if isinstance(value, str) and value in words else f"one of {', '.join(words)}"


def _flag(value: object) -> str:
    return "" if isinstance(value, bool) else "true or false"


def _text(value: object) -> str:
    return "" if isinstance(value, str) else "text"


def _texts(value: object) -> str:
    fits = isinstance(value, list) and all(isinstance(entry, str) for entry in value)
    return "" if fits else "a list of text"


SPAN = _number(0, 1e11)  # microseconds
CONFIG = {
    "name": _text,
    "listen": _text,
    "discovery": _text,
    "peer_listen": _text,
    "peers": _texts,
    "peers_all": _text,
    "management": _text,
    "tag": _text,
    "limits.memory_mb": _number(1),
    "limits.sockets": _number(LEAST_SOCKETS, whole=True),
}
SETTINGS = {
    "self-index": _number(0, 65535, True),
    "siblings": _number(1, 65535, True),
    "az": _number(0, 255, True),
    "azs": _texts,
    "kinds": _texts,
    "resolution-us": SPAN,
    "discovery": _word("ask", "push"),
    "weights": _word("off", "live", *SIZED),
    "importance-by": _word("work", "request"),
    "excess-importance": _number(0, 1),
    "clients.marks-retry": _flag,
    "load-report.how": _text,
    "load-report.names": _texts,
    "specifics.tells-start": _flag,
    "limits.most-assignments": _number(1, 255, True),
    "limits.second-copies": _flag,
    "limits.cancel": _flag,
    "limits.probing": _flag,
    "limits.peers": _flag,
    "limits.retry-after": _flag,
    "limits.max-retry-after-us": SPAN,
    "limits.connect-timeout-us": _number(1, 1e11),
    "limits.idle-close-us": SPAN,
    "prices.cross-zone": _number(0),
    "prices.handshake": _number(0),
    "guarantees.cold-from": _number(0, 1),
    "guarantees.cold-us": SPAN,
    "guarantees.fall-multiple": _number(0),
    "guarantees.tip-after-us": SPAN,
    "guarantees.ask-within-us": SPAN,
}
OFFERING = {
    "name": _text,
    "due-time-us": SPAN,
    "expiry-us": SPAN,
    "importance": _number(0),
    "repeat": _word(*EFFECTS),
    "group": _word(*GROUPS),
    "key-ttl-us": SPAN,
    "aim-stretch": _number(0),
}
TENANT = {"name": _text, "quota-per-s": _number(0)}


class ConfigurationError(ValueError):
    """A configuration that a node cannot work with; `faults` has a line for each reason."""

    def __init__(self, faults: list[str]):
        super().__init__("\n".join(faults))
        self.faults = faults


def _check(part: object, fields: dict, where: str) -> list[str]:
    """What is wrong with the fields that are there; those that are not known are passed over."""
    if not isinstance(part, dict):
        return [f"{where or 'the configuration'} must be an object"]
    faults: dict[str, None] = {}  # each once, in order
    for path, fits in fields.items():
        value: object = part
        name = where
        for step in path.split("."):
            if value is not None and not isinstance(value, dict):
                faults[f"{name} must be an object"] = value = None
            name = f"{name}.{step}" if name else step
            value = value.get(step) if value is not None else None
        wanted = "" if value is None else fits(value)
        if wanted:
            faults[f"{name} must be {wanted}, not {orjson.dumps(value).decode()[:40]}"] = None
    return list(faults)


def _classes(entries: list) -> list[str]:
    """What is wrong with the offerings together, where each is an object with fields that fit."""
    faults, names = [], [entry.get("name") for entry in entries]
    if not entries:
        faults.append("settings.offerings must name one class of tasks at least")
    for number, entry in enumerate(entries):
        where = f"settings.offerings[{number}]"
        if names[number] is None:
            faults.append(f"{where}.name is missing")
        elif names[number] in names[:number]:
            faults.append(f"{where}.name stands twice: each must have a name of its own, not {names[number]}")
        for word in ABOVE_ZERO:
            value = entry.get(word)
            if value is None and word == ABOVE_ZERO[0] and word not in entry:
                continue  # due at its expiry
            if word not in entry:
                faults.append(f"{where}.{word} is missing")
            elif value is None or value <= 0:
                faults.append(f"{where}.{word} must be a number above 0")
    return faults


def _faults(config: object) -> list[str]:
    """All that a node could not work with."""
    faults = _check(config, CONFIG, "")
    if not isinstance(config, dict):
        return faults
    if "settings" not in config:
        return [*faults, "no settings in it"]
    settings = config["settings"]
    faults += _check(settings, SETTINGS, "settings")
    for word, fields in (("offerings", OFFERING), ("tenants", TENANT)) if isinstance(settings, dict) else ():
        entries = settings.get(word, [])
        if not isinstance(entries, list):
            faults.append(f"settings.{word} must be a list")
            continue
        before = len(faults)
        for number, entry in enumerate(entries):
            faults += _check(entry, fields, f"settings.{word}[{number}]")
        if word == "offerings" and word in settings and len(faults) == before:
            faults += _classes(entries)
    return faults


def validate(config: object) -> None:
    """ConfigurationError with a line for each fault."""
    faults = _faults(config)
    if faults:
        raise ConfigurationError(faults)


def _lacking(old: dict, new: dict, where: str = "") -> list[str]:
    """Each key that the old one has must be in the new one; in lists, each that all entries have."""
    faults = []
    for word, value in old.items():
        name = f"{where}{word}"
        if word not in new:
            faults.append(f"{name} is missing")
        elif isinstance(value, dict):
            if isinstance(new[word], dict):
                faults += _lacking(value, new[word], f"{name}.")
            else:
                faults.append(f"{name} must be an object")
        elif word in ("offerings", "tenants") and value:
            common = {key: None for key in value[0] if all(key in entry for entry in value)}
            for number, entry in enumerate(new[word]):
                faults += _lacking(common, entry, f"{name}[{number}].")
    return faults


def validate_reload(old: dict, new: object) -> None:
    """Stricter than at a start: a file that is cut short or lost a key must not change a node at work."""
    validate(new)
    faults = _lacking(old, new)
    if new["settings"].get("limits", {}).get("most-assignments", 1) is None:
        faults.append("settings.limits.most-assignments must be a whole number above 0")
    if faults:
        raise ConfigurationError(faults)


def load(path: str) -> dict:
    """The configuration in a file, checked."""
    config = read(path)
    validate(config)
    return config


def read(path: str) -> object:
    with open(path, "rb") as file:
        return orjson.loads(file.read())


def one_line(problem: Exception) -> str:
    """A problem in one plain line."""
    return f"{type(problem).__name__}: {' '.join(str(problem).split())}"


def error_lines(problem: Exception) -> list[str]:
    """The same; each fault of a configuration in a line of its own."""
    return problem.faults if isinstance(problem, ConfigurationError) else [one_line(problem)]


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


def _tunable(settings: dict) -> PolicyLimits:
    """The figures that a running node can take over, as a policy takes them."""
    limits, prices = settings.get("limits", {}), settings.get("prices", {})
    return PolicyLimits(
        request_classes=_offerings(settings),
        tenants=[Tenant(t.get("quota-per-s", 0.0)) for t in settings.get("tenants", [])],
        max_attempts=limits.get("most-assignments", 1),
        max_retry_after_s=limits.get("max-retry-after-us", 0) * MICRO if limits.get("retry-after") else 0.0,
        over_quota_weight=settings.get("excess-importance", 1.0),
        is_value_by_work=settings.get("importance-by") == "work",
        crossing_price=prices.get("cross-zone", 0.0),
        connection_price=prices.get("handshake", 0.0),
    )


def reconfigure(node: Policy, old: dict, new: dict) -> None:
    """Gives a running node new settings; offerings that stay by name keep what they learnt."""
    figures = _tunable(new)
    before = {
        o.get("name"): request_class
        for o, request_class in zip(old.get("offerings", []), node.request_classes, strict=True)
    }
    for o, request_class in zip(new.get("offerings", []), figures.request_classes, strict=True):
        learnt = before.get(o.get("name"))
        for word in LEARNT if learnt is not None else ():
            setattr(request_class, word, getattr(learnt, word))
        if learnt is not None and learnt.deadline != request_class.deadline:
            request_class.most = 0.0  # of the budgets met, which follow the expiry
    node.reconfigure(figures)


def longest_deadline(settings: dict) -> float:
    """Seconds that a request of the deployment is waited for at most."""
    return (
        max(request_class.get("expiry-us", 0) for request_class in settings.get("offerings") or [{}]) * MICRO
    )


def needs_restart(old: dict, new: dict) -> list[str]:
    """What differs and cannot be taken over by a running node, by name."""

    def differing(a: dict, b: dict, live: tuple, where: str = "") -> list[str]:
        return [
            where + word
            for word in sorted(a.keys() | b.keys())
            if word not in live and a.get(word) != b.get(word)
        ]

    a, b = old["settings"], new["settings"]
    parts = [differing(old, new, (*LIVE, "settings")), differing(a, b, LIVE_SETTINGS, "settings.")]
    for word, live in LIVE_PARTS.items():
        parts.append(differing(a.get(word, {}), b.get(word, {}), live, f"settings.{word}."))
    return [name for part in parts for name in part]


def build_policy(host: Host, seed: int, settings: dict, now: float) -> Policy:
    """What the settings leave out gets the value that promises least."""
    limits, rules = settings.get("limits", {}), settings.get("guarantees", {})
    config = PolicyConfig(
        node_index=settings.get("self-index", 0),
        node_count=max(settings.get("siblings", 1), 1),
        zone=settings.get("az", 0),
        clock_resolution_s=settings.get("resolution-us", 0) * MICRO,
        allows_hedging=limits.get("second-copies", False),
        may_cancel=limits.get("cancel", False),
        may_poll_load=limits.get("probing", False),
        load_reports=settings.get("load-report", {}).get("how", "off"),
        reports_starts=bool(settings.get("specifics", {}).get("tells-start", False)),
        must_watch_endpoints=settings.get("discovery") == "ask",
        marks_retries=settings.get("clients", {}).get("marks-retry", True),
        has_sizes=settings.get("weights") in SIZED,
        slow_start_initial=rules.get("cold-from", 1.0),
        slow_start_s=rules.get("cold-us", 0) * MICRO,
        slow_start_multiple=rules.get("fall-multiple", 1.0),
        slow_start_window_s=rules.get("tip-after-us", 0) * MICRO,
        list_deadline_s=rules.get("ask-within-us", 0) * MICRO,
        may_gossip=limits.get("peers", False),
    )
    return Policy(host, seed, now, config, _tunable(settings))
