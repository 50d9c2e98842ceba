"""The quota types shared by coordinator and nodes, and the plan's section on contracts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

BudgetsSection = dict[str, Any]  # JSON of the plan


@dataclass(frozen=True)
class QuotaPolicy:
    """The quota policy.

    `lease_s`: duration of a quota lease in seconds; `drift`: the largest relative rate error of the nodes'
    clocks; `floor`: the fraction of each quota that the nodes have without leases.
    """

    lease_s: float = 6.0
    drift: float = 0.01
    floor: float = 0.05


def _always() -> bool:
    return True


@dataclass(frozen=True)
class ContractSet:
    """Contracts as a coordinator needs them.

    `names`: the tenants; `leased_quotas`: by tenant, the leased part of its quota in millionths of work per
    second; `has_begun`: whether they may come into force.
    """

    version: int
    checksum: int
    names: tuple[str, ...]
    leased_quotas: tuple[int, ...]
    has_begun: Callable[[], bool] = _always


class PlannedContracts(NamedTuple):
    """The version and checksum of contracts named in the plan; zeros: none."""

    version: int
    checksum: int


NO_CONTRACTS = PlannedContracts(0, 0)


def section(contracts: ContractSet, rollout_contracts: ContractSet | None = None) -> BudgetsSection:
    """Return the plan's section: the contracts in force and those that a rollout introduces."""
    encoded: BudgetsSection = {"version": contracts.version, "check": contracts.checksum}
    if rollout_contracts is not None:
        encoded["beside"] = [rollout_contracts.version, rollout_contracts.checksum]
    return encoded


def in_force(published: Any) -> PlannedContracts:
    """Return the contracts in force by a plan's section; an unreadable section names none."""
    try:
        return PlannedContracts(int(published["version"]), int(published["check"]))
    except (KeyError, TypeError, ValueError):
        return NO_CONTRACTS


def beside(published: Any) -> PlannedContracts:
    """Return the contracts that a rollout introduces, by a plan's section."""
    try:
        version, checksum = published["beside"]
        return PlannedContracts(int(version), int(checksum))
    except (KeyError, TypeError, ValueError):
        return NO_CONTRACTS
