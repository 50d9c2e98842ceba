"""The leader's part in tenants' quotas: puts contracts in force and answers lease requests.

No I/O: effects go through `firwalk.cluster.host.Host`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from firwalk.cluster.host import Host, State
from firwalk.cluster.members import Members
from firwalk.cluster.messages import QuotaRequest
from firwalk.cluster.node_id_ranges import encode_ranges
from firwalk.cluster.plan import PlanSections
from firwalk.cluster.plan_publisher import PlanPublisher
from firwalk.cluster.quotas import ContractSet, QuotaAllocator, QuotaPolicy, beside, in_force, section

ROLLOUT_DONE = "done"


class ContractRollout(NamedTuple):
    """A rollout that replaces contracts; `outcome` is empty while it is in progress."""

    version_before: int
    version_after: int
    outcome: str

    def wanted_versions(self) -> list[int]:
        """Return the versions that should be in force: both while the rollout is in progress."""
        if not self.outcome:
            return [self.version_before, self.version_after]
        return [self.version_after if self.outcome == ROLLOUT_DONE else self.version_before]


class ContractStore:
    """The contracts that this node has; `find_version` searches the rollouts' files for others."""

    def __init__(self) -> None:
        self.newest: ContractSet | None = None
        self.by_checksum: dict[int, ContractSet] = {}
        self.find_version: Callable[[int], ContractSet | None] = lambda version: None

    def add_newest(self, contracts: ContractSet) -> None:
        """Add the newest contracts."""
        self.newest = contracts
        self.add(contracts)

    def add(self, contracts: ContractSet) -> None:
        """Add contracts that need not be the newest."""
        self.by_checksum[contracts.checksum] = contracts

    def find(self, version: int, checksum: int) -> ContractSet | None:
        """Return the contracts with this checksum, None if this node neither has nor finds them."""
        contracts = self.by_checksum.get(checksum) or self.find_version(version)
        if contracts is None or contracts.checksum != checksum:
            return None
        self.add(contracts)
        return contracts

    def of_version(self, version: int) -> ContractSet | None:
        """Return the contracts of a version, whatever their checksum."""
        known = [contracts for contracts in self.by_checksum.values() if contracts.version == version]
        return known[-1] if known else self.find_version(version)


class QuotaCoordinator:
    """The leader's contract_set; `allocator` is None until the leader itself has all contracts in force."""

    def __init__(
        self,
        host: Host,
        policy: QuotaPolicy,
        contracts: ContractStore,
        publisher: PlanPublisher,
        members: Members,
    ) -> None:
        self.host = host
        self.policy = policy
        self.contracts = contracts
        self.publisher = publisher
        self.members = members
        self.allocator: QuotaAllocator | None = None
        self.ready_checksums: dict[int, int] = {}  # of the newest contracts of each node, by node id
        self.recorded_waiting = ""  # the node ids without the newest contracts, as recorded last

    def open(self, now: float) -> None:
        """Begin a term by resuming from the plan."""
        self.ready_checksums = {}
        self.allocator = None
        self._resume(now)

    def on_request(self, now: float, node_id: int, generation: int, message: QuotaRequest) -> None:
        """Answer a node's request if this node is the leader and has an allocator."""
        if not self.publisher.is_leader(now):
            return
        self.ready_checksums[node_id] = message.ready
        if self.allocator is not None and self.publisher.version:
            grant = self.allocator.on_request(now, node_id, generation, message)
            if grant is not None:
                self.host.send(node_id, grant)

    def plan_changes(
        self, now: float, node_ids_up: list[int], rollout: ContractRollout | None
    ) -> PlanSections:
        """Return the changes to the plan.

        They are the contracts that a rollout replaces, or newer ones that all nodes have and whose start time
        has passed.
        """
        published = self.publisher.sections.get("budgets")
        if rollout is not None and (not rollout.outcome or beside(published)[1]):
            return self._follow_rollout(now, rollout)
        newest = self.contracts.newest
        if newest is not None and self._supersedes(newest):
            without = [
                node_id for node_id in node_ids_up if self.ready_checksums.get(node_id) != newest.checksum
            ]
            if not without:
                return self._put_in_force(now, newest)
            self._record_waiting(newest, encode_ranges(without))
        if self.allocator is None:
            self._resume(now)
        return {}

    def _supersedes(self, contracts: ContractSet) -> bool:
        version, checksum = in_force(self.publisher.sections.get("budgets"))
        return contracts.checksum != checksum and contracts.version > version and contracts.has_begun()

    def _record_waiting(self, contracts: ContractSet, node_ids: str) -> None:
        if node_ids != self.recorded_waiting:
            self.recorded_waiting = node_ids
            self.host.event("contracts_wait", version=contracts.version, seats=node_ids)

    def _follow_rollout(self, now: float, rollout: ContractRollout) -> PlanSections:
        """Put both contracts in force while the rollout is in progress, and one of them afterwards."""
        published = self.publisher.sections.get("budgets")
        other_version, other_checksum = beside(published)
        published_versions = [in_force(published)[0]]
        if other_checksum:
            published_versions.append(other_version)
        wanted_versions = rollout.wanted_versions()
        if published_versions == wanted_versions:
            if self.allocator is None:
                self._resume(now)
            return {}
        found = [self.contracts.of_version(version) for version in wanted_versions]
        contracts = [contract_set for contract_set in found if contract_set is not None]
        return self._put_in_force(now, *contracts) if len(contracts) == len(found) else {}

    def _put_in_force(
        self, now: float, contracts: ContractSet, other: ContractSet | None = None
    ) -> PlanSections:
        self.recorded_waiting = ""
        self.contracts.add(contracts)
        if other is not None:
            self.contracts.add(other)
        self._allocate_by(now, contracts, other)
        return {"budgets": section(contracts, other)}

    def _resume(self, now: float) -> None:
        """Allocate by the contracts that the plan names, as soon as this node has all of them."""
        published = self.publisher.sections.get("budgets")
        planned = [
            planned_contracts
            for planned_contracts in (in_force(published), beside(published))
            if planned_contracts[1]
        ]
        found = [self.contracts.find(version, checksum) for version, checksum in planned]
        contracts = [contract_set for contract_set in found if contract_set is not None]
        if contracts and len(contracts) == len(found):
            self._allocate_by(now, *contracts)

    def _allocate_by(self, now: float, contracts: ContractSet, other: ContractSet | None = None) -> None:
        """Allocate by these contracts; leases granted under others in this term keep counting."""
        if self.allocator is None:
            self.allocator = QuotaAllocator(now, self.policy, contracts, self._possible_holders, other)
        else:
            self.allocator.change_contracts(now, contracts, other)
        for contract_set in self.allocator.contract_sets.values():
            self.host.event(
                "contracts",
                version=contract_set.version,
                check=contract_set.checksum,
                names=list(contract_set.names),
                wholes=list(contract_set.leased_quotas),
                length=self.policy.lease_s,
                together=list(self.allocator.contract_sets),
            )

    def _possible_holders(self) -> list[int]:
        """Return all nodes except those that left, which have returned their quota leases."""
        return [member.node_id for member in self.members.all if member.state is not State.LEFT]
