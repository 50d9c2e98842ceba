"""Node settings that all deployments of the rig share."""

from __future__ import annotations


def common_settings(node: int, nodes: int, cold_from: float, cold_for_s: float, **limits: object) -> dict:
    """Return settings to which a deployment adds its zones and offerings; `limits` are merged into limits."""
    return {
        "self-index": node,
        "siblings": nodes,
        "kinds": ["m"],
        "resolution-us": 5000,
        "discovery": "ask",
        "load-report": {"how": "on_probe", "names": ["inflight", "x0"]},
        "specifics": {"tells-start": True},
        "guarantees": {
            "cold-from": cold_from,
            "cold-us": int(cold_for_s * 1e6),
            "fall-multiple": 3.0,
            "tip-after-us": 2000000,
            "ask-within-us": 6000000,
        },
        "limits": {
            "most-assignments": 4,
            "second-copies": True,
            "cancel": True,
            "probing": True,
            "connect-timeout-us": 250000,
            "idle-close-us": 60000000,
            "max-retry-after-us": 1000000,
            "retry-after": True,
        }
        | limits,
    }
