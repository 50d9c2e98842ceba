"""Quotas of the whole cluster, divided among the nodes by leases that never sum to more than the quota.

Sources: Gray and Cheriton, "Leases" (SOSP 1989); Google's Doorman (capacity is leased to clients by
their wants). Alternatives, and why it is safe: `docs/broker.md`.
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
