"""The quota types that coordinator and nodes share, and the plan's section on contracts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

BudgetsSection = dict[str, Any]  # JSON of the plan


@dataclass(frozen=True)
class QuotaPolicy:
    """`length`: seconds of a quota lease; `drift`: how far clocks may run off, as a part; `floor`: the part
    of each quota that all nodes have for good."""

    length: float = 6.0
    drift: float = 0.01
    floor: float = 0.05


def _always() -> bool:
    return True


@dataclass(frozen=True)
class ContractSet:
    """Contracts as a coordinator needs them. `names`: the tenants; `wholes`: by tenant, what of its quota is
    leased, in millionths of work per second; `begun`: whether they may come into force."""

    version: int
    checksum: int
    names: tuple[str, ...]
    wholes: tuple[int, ...]
    begun: Callable[[], bool] = _always


class PlannedContracts(NamedTuple):
    """Contracts that the plan names; zeros: none."""

    version: int
    checksum: int


NO_CONTRACTS = PlannedContracts(0, 0)


def section(offer: ContractSet, beside: ContractSet | None = None) -> BudgetsSection:
    """The plan's section: the contracts in force, and those that a rollout brings beside them."""
    encoded: BudgetsSection = {"version": offer.version, "check": offer.checksum}
    if beside is not None:
        encoded["beside"] = [beside.version, beside.checksum]
    return encoded


def in_force(told: Any) -> PlannedContracts:
    """The contracts in force by a plan's section; a section that cannot be read names none."""
    try:
        return PlannedContracts(int(told["version"]), int(told["check"]))
    except (KeyError, TypeError, ValueError):
        return NO_CONTRACTS


def beside(told: Any) -> PlannedContracts:
    """The contracts that a rollout brings, by a plan's section."""
    try:
        version, checksum = told["beside"]
        return PlannedContracts(int(version), int(checksum))
    except (KeyError, TypeError, ValueError):
        return NO_CONTRACTS
