"""Parsing of load reports, which are untrusted input."""

from __future__ import annotations

from firwalk.config.policy_settings import LOAD_REPORT_FIELDS

MAX_VALUE = 1e6  # Values of this magnitude or more, infinity and NaN are ignored.


def parse_load_report(report: object) -> dict[str, float] | None:
    """Return the valid values by the policy's field names; None if the report is not a JSON object."""
    if not isinstance(report, dict):
        return None
    fields: dict[str, object] = report
    return {
        LOAD_REPORT_FIELDS.get(name, name): float(value)
        for name, value in fields.items()
        if isinstance(value, int | float) and abs(value) < MAX_VALUE
    }
