"""Checks a node's configuration, and builds a decision node from its deployment's settings; the bench's
adapter and the real node share it. What the settings leave out gets the value that promises least."""
from __future__ import annotations

from collections.abc import Callable

import orjson

from firwalk.host import Effect, Group, Host
from firwalk.logic import Node, Offering, Tenant

MICRO = 1e-6
ZONES = 2              # of the new shape of deployment
EFFECTS = {"safe": Effect.IDEMPOTENT, "keyed": Effect.FINGERPRINTED, "unsafe": Effect.SIDE_EFFECTING}
GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}
SIZED = ("nominal", "rough")    # kinds of weights in the list that are an executor's size
# The words of load reports: those of the settings, and those that executors use on sockets.
REPORT_WORDS = {"rif": "held", "inflight": "held", "busy": "busy", "util": "busy",
                "x0": "free_slots", "x1": "free_memory"}


# -- what a configuration may say ------------------------------------------------------------------------

def _number(least: float, most: float = 1e12, whole: bool = False) -> Callable[[object], str]:
    def check(value: object) -> str:
        fits = isinstance(value, int if whole else int | float) and not isinstance(value, bool)
        return "" if fits and least <= value <= most else (
            f"{'a whole number' if whole else 'a number'} from {least:g} to {most:g}")
    return check


def _word(*words: str) -> Callable[[object], str]:
    return lambda value: "" if isinstance(value, str) and value in words else f"one of {', '.join(words)}"


def _flag(value: object) -> str:
    return "" if isinstance(value, bool) else "true or false"


def _text(value: object) -> str:
    return "" if isinstance(value, str) else "text"


def _texts(value: object) -> str:
    fits = isinstance(value, list) and all(isinstance(entry, str) for entry in value)
    return "" if fits else "a list of text"


SPAN = _number(0, 1e11)         # microseconds
CONFIG = {
    "name": _text, "listen": _text, "discovery": _text, "peer_listen": _text, "peers": _texts,
    "peers_all": _text, "management": _text,
    "limits.memory_mb": _number(1), "limits.sockets": _number(1, whole=True),
}
SETTINGS = {
    "self-index": _number(0, 65535, True), "siblings": _number(1, 65535, True), "az": _number(0, 255, True),
    "azs": _texts, "kinds": _texts, "resolution-us": SPAN, "discovery": _word("ask", "push"),
    "weights": _word("off", "live", *SIZED), "importance-by": _word("work", "request"),
    "excess-importance": _number(0, 1), "clients.marks-retry": _flag, "load-report.how": _text,
    "load-report.names": _texts, "specifics.tells-start": _flag,
    "limits.most-assignments": _number(1, 255, True), "limits.second-copies": _flag, "limits.cancel": _flag,
    "limits.probing": _flag, "limits.peers": _flag, "limits.retry-after": _flag,
    "limits.max-retry-after-us": SPAN, "limits.connect-timeout-us": SPAN, "limits.idle-close-us": SPAN,
    "prices.cross-zone": _number(0), "prices.handshake": _number(0),
    "guarantees.cold-from": _number(0, 1), "guarantees.cold-us": SPAN, "guarantees.fall-multiple": _number(0),
    "guarantees.tip-after-us": SPAN, "guarantees.ask-within-us": SPAN,
}
OFFERING = {
    "name": _text, "due-time-us": SPAN, "expiry-us": SPAN, "importance": _number(0),
    "repeat": _word(*EFFECTS), "group": _word(*GROUPS), "key-ttl-us": SPAN, "aim-stretch": _number(0),
}
TENANT = {"name": _text, "quota-per-s": _number(0)}


def _check(part: object, fields: dict, where: str) -> None:
    """Each field that is there must fit; those that are not known are passed over."""
    if not isinstance(part, dict):
        raise ValueError(f"{where or 'the configuration'} must be an object")
    for path, fits in fields.items():
        value: object = part
        name = where
        for step in path.split("."):
            if value is not None and not isinstance(value, dict):
                raise ValueError(f"{name} must be an object")
            name = f"{name}.{step}" if name else step
            value = value.get(step) if value is not None else None
        wanted = "" if value is None else fits(value)
        if wanted:
            raise ValueError(f"{name} must be {wanted}, not {orjson.dumps(value).decode()[:40]}")


def check(config: object) -> None:
    """ValueError, in one line, for the first thing that a node could not work with."""
    _check(config, CONFIG, "")
    if "settings" not in config:
        raise ValueError("no settings in it")
    settings = config["settings"]
    _check(settings, SETTINGS, "settings")
    for word, fields in (("offerings", OFFERING), ("tenants", TENANT)):
        entries = settings.get(word, [])
        if not isinstance(entries, list):
            raise ValueError(f"settings.{word} must be a list")
        for number, entry in enumerate(entries):
            _check(entry, fields, f"settings.{word}[{number}]")


def load(path: str) -> dict:
    """The configuration in a file, checked."""
    with open(path, "rb") as file:
        config = orjson.loads(file.read())
    check(config)
    return config


def told(problem: Exception) -> str:
    """A problem in one plain line."""
    return f"{type(problem).__name__}: {' '.join(str(problem).split())}"


# -- from settings to a node -----------------------------------------------------------------------------

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
        host, seed, now, own_number=settings.get("self-index", 0), nodes=max(settings.get("siblings", 1), 1),
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
        sized=settings.get("weights") in SIZED, crossing=prices.get("cross-zone", 0.0),
        handshake=prices.get("handshake", 0.0), beyond_share=settings.get("excess-importance", 1.0),
        by_work=settings.get("importance-by") == "work",
        cold_from=rules.get("cold-from", 1.0), cold_for=rules.get("cold-us", 0) * MICRO,
        fall_multiple=rules.get("fall-multiple", 1.0), fall_window=rules.get("tip-after-us", 0) * MICRO,
        ask_within=rules.get("ask-within-us", 0) * MICRO, peers=limits.get("peers", False))
