"""Cluster-wide quotas, divided among the nodes by leases whose sum never exceeds the quota.

Sources: Gray and Cheriton, "Leases" (SOSP 1989); Google's Doorman, which leases capacity to clients by their
demand. Alternatives and the safety argument: `docs/broker.md`.
"""

from firwalk.cluster.quota_allocator import QuotaAllocator
from firwalk.cluster.quota_client import QuotaClient
from firwalk.cluster.quota_contracts import (
    ContractSet,
    PlannedContracts,
    QuotaPolicy,
    beside,
    in_force,
    section,
)

__all__ = [
    "ContractSet",
    "PlannedContracts",
    "QuotaAllocator",
    "QuotaClient",
    "QuotaPolicy",
    "beside",
    "in_force",
    "section",
]
