"""Builds the optional parts of a cluster member; their modules are imported only if a part is configured."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from firwalk.config.operations import OperationsConfig, Stages
from firwalk.observability.log import log_external

if TYPE_CHECKING:
    from firwalk.broker.contracts import Contracts
    from firwalk.cluster.cluster_member import ClusterMember
    from firwalk.cluster.quota_accounting import QuotaAccounting
    from firwalk.cluster.quotas import QuotaPolicy
    from firwalk.cluster.rollout_controller import RolloutController
    from firwalk.dispatcher.dispatcher import Dispatcher

# A restarted voter must report for this many lease durations before other nodes are restarted.
VOTER_SETTLE_LEASES = 1.5


def build_quota_policy(operations: OperationsConfig) -> QuotaPolicy | None:
    """Return the policy for tenants' quotas, if that part is configured."""
    if operations.budgets is None:
        return None
    from firwalk.cluster.quotas import QuotaPolicy

    return QuotaPolicy(operations.budgets.length, operations.lease.drift, operations.budgets.floor)


def build_quota_accounting(operations: OperationsConfig, member: ClusterMember) -> QuotaAccounting | None:
    """Return the accounting of tenants' quotas, if that part is configured, with the contracts loaded."""
    if operations.budgets is None:
        return None
    from firwalk.cluster.quota_accounting import QuotaAccounting

    find_contracts: Callable[[int], Contracts | None] = _find_no_contracts
    if operations.stages:
        find_contracts = partial(_load_rollout_contracts, operations.stages.changes)
    accounting = QuotaAccounting(member, time.monotonic, time.time, find_contracts)
    load_contracts(operations.budgets.contracts, accounting)
    return accounting


def load_contracts(path: str, accounting: QuotaAccounting) -> None:
    """Load the contracts' file; an invalid one changes nothing.

    The file may have become invalid since the operators' file was checked.
    """
    from firwalk.broker import contracts

    found, faults = contracts.load(path)
    for fault in faults:
        log_external(f"contracts not changed: {fault}")
    if found is not None:
        accounting.add_contracts(found)


def _find_no_contracts(version: int) -> None:
    """Return None: without rollouts, there are no contracts besides the operators' file."""


def _load_rollout_contracts(folder: str, version: int) -> Contracts | None:
    """Load the contracts of a rollout from the rollouts' folder."""
    from firwalk.config import rollout_file

    path = rollout_file.contracts_file(folder, version)
    found: Contracts | None
    found, faults = rollout_file.load_contracts(path)
    for fault in faults if os.path.exists(path) else ():
        log_external(f"invalid contracts of a rollout: {fault}")
    return found


def build_rollout_controller(
    operations: OperationsConfig,
    stages: Stages,
    member: ClusterMember,
    dispatcher: Dispatcher,
    tag: Callable[[], str],
    zone: int,
    zones: list[str],
) -> RolloutController:
    """Return the rollout controller, whose counters are attached to the dispatcher."""
    from firwalk.cluster.rollout import RolloutPolicy
    from firwalk.cluster.rollout_controller import RolloutController, RolloutCounters
    from firwalk.config import rollout_file

    dispatcher.rollout_counters = RolloutCounters()
    settle_s = max(stages.settle, VOTER_SETTLE_LEASES * operations.lease.length)
    return RolloutController(
        member,
        dispatcher.rollout_counters,
        os.environ.get("FIRWALK_RELEASE", ""),
        tag,
        zone,
        resident_bytes,
        RolloutPolicy(stages.at_once, settle_s, operations.plan.report, tuple(zones)),
        partial(rollout_file.load_by_name, stages.changes),
    )


def resident_bytes() -> float:
    """Return this process's resident memory (proc(5): the second number of statm, in pages)."""
    with open("/proc/self/statm") as file:
        return float(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")
