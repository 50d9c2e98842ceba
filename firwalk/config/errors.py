"""Errors of configuration files."""

from __future__ import annotations


class ConfigurationError(ValueError):
    """A node's configuration that cannot be used; `faults` has one line for each reason."""

    def __init__(self, faults: list[str]) -> None:
        super().__init__("\n".join(faults))
        self.faults = faults


class ConflictingFieldsError(ValueError):
    """Fields of one table that do not fit together; the text has one line for each conflict.

    It is a ValueError because msgspec reports only those of a Struct's `__post_init__`.
    """

    def __init__(self, conflicts: list[str]) -> None:
        super().__init__("\n".join(conflicts))


def raise_conflicts(conflicts: list[str]) -> None:
    """Raises ConflictingFieldsError if there are any conflicts."""
    if conflicts:
        raise ConflictingFieldsError(conflicts)
