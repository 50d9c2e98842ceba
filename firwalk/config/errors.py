"""Errors of configuration files."""

from __future__ import annotations


class ConfigurationError(ValueError):
    """A node's configuration that cannot be used; `faults` has one line for each problem."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


class ConflictingFieldsError(ValueError):
    """Fields of one table that conflict; the message has one line for each conflict.

    It is a ValueError because msgspec reports no other exceptions of a Struct's `__post_init__`.
    """

    def __init__(self, conflicts: list[str]) -> None:
        super().__init__("\n".join(conflicts))


def raise_conflicts(conflicts: list[str]) -> None:
    """Raise ConflictingFieldsError if there are any conflicts."""
    if conflicts:
        raise ConflictingFieldsError(conflicts)
