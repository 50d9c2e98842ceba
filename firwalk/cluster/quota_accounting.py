"""Charges a node's requests to their tenants' quotas.

Work is reserved before a request's first attempt and settled at its end.

No I/O. The plan names the contracts in force; times are seconds on the node's own clock.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any, Protocol

from firwalk.broker.contracts import Contracts
from firwalk.broker.ledger import Account, Ledger, Reservation
from firwalk.cluster.cluster_member import ClusterMember
from firwalk.cluster.node_id_ranges import decode_ranges
from firwalk.cluster.quotas import ContractSet, beside, in_force

MAX_UNUSED_CONTRACTS = 4  # So many contracts that are not in force are kept: the plan may name them next.
NO_QUOTA_RETRY_AFTER_S = 86400.0  # Until the contracts change, each retry would be rejected again.
LOG_INTERVAL_S = 60.0  # Each tenant's spending is logged at this interval.
MAX_LOGGED_TENANTS = 10

PlanSections = dict[str, Any]


class ChargedClient(Protocol):
    """The dispatcher's record of a request: the Retry-After for its client and the charge to settle."""

    retry_after: float
    charge: Any


class ChargedRequest(Protocol):
    """A request to be admitted; `work`: its estimate in seconds at speed 1."""

    handle: Any  # a ChargedClient
    work: float


class Charge:
    """A request's reservation, which the dispatcher settles."""

    def __init__(self, reservation: Reservation, clock: Callable[[], float]) -> None:
        self.reservation = reservation
        self.clock = clock

    def settle(self, measured: float, may_have_run: bool) -> None:
        """Settle the reservation.

        `measured`: work of the completed attempt, 0 if none completed; `may_have_run`: whether any part of
        the request may have been executed.
        """
        estimated = self.reservation.work if may_have_run else 0.0
        self.reservation.settle(self.clock(), measured or estimated, bool(measured))


class QuotaAccounting:
    """The tenants' accounts at this node, under the contracts that it follows.

    `clock`: the node's own clock; `wall_clock`: the wall clock, which only decides whether contracts have
    begun; `find_contracts`: loads the contracts of a version that a rollout introduces, if their file exists.
    """

    def __init__(
        self,
        member: ClusterMember,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        find_contracts: Callable[[int], Contracts | None] = lambda version: None,
    ) -> None:
        self.member = member
        assert member.quota_client is not None, "the quota part is configured"
        self.client = member.quota_client
        self.clock = clock
        self.wall_clock = wall_clock
        self.find_contracts = find_contracts
        self.floor = self.client.policy.floor
        self.ledger = Ledger(member.cluster_size, self.floor)
        self.contracts_by_checksum: dict[int, Contracts] = {}
        self.checksum = 0  # of the contracts that this node follows; 0: none
        self.logged_at = clock()
        member.find_contracts = self._find_contract_set
        self.client.list_accounts = lambda: list(self.ledger.accounts.values())
        self.client.on_requested = self._record_accounts

    def add_contracts(self, contracts: Contracts) -> None:
        """Add the valid contracts of the operators' file."""
        self._remember(contracts)
        if not self.checksum and contracts.has_begun(self.wall_clock()):
            # Until there is a plan, the floors by the node's own file apply. Otherwise a tenant's flood would
            # be served after each restart.
            self.ledger.use_contracts(self.clock(), contracts)
        self.member.add_contracts(self._contract_set(contracts))

    def version(self) -> int:
        """Return the version of the contracts that this node follows; 0: none."""
        if self.ledger.contracts is None or not self.checksum:
            return 0
        return self.ledger.contracts.version

    def end(self) -> None:
        """Remove all leases and floors after the member has left the cluster."""
        self.ledger.close(self.clock())

    def follow_plan(self, now: float) -> None:
        """Follow the contracts that the plan names, for all tenants at once.

        Without a plan in force, the contracts of the last one stay and the leases expire.
        """
        sections = self.member.follower.sections_in_force(now)
        checksum = self._planned_checksum(sections) if sections is not None else self.checksum
        if checksum == self.checksum:
            return
        contracts = self.contracts_by_checksum.get(checksum)
        self._record_dropped_leases(now, contracts)
        numbers_before = self._team_numbers()
        self.checksum = checksum
        self.ledger.use_contracts(now, contracts)
        numbers = self._team_numbers()
        renumbered = {old: numbers[name] for name, old in numbers_before.items() if name in numbers}
        self.client.follow_contracts(checksum if contracts else 0, renumbered)
        self.member.host.event(
            "follows_contracts",
            version=contracts.version if contracts else 0,
            check=checksum,
            known=contracts is not None,
        )

    def admission_weight(self, request: ChargedRequest, request_class: str, tenant: str) -> float:
        """Return the factor on the request's priority weight; 0: it is rejected with a Retry-After.

        The estimated work of a request within its tenant's quota is reserved.
        """
        now = self.clock()
        contracts = self.ledger.contracts
        client: ChargedClient = request.handle
        if contracts is None:
            return 1.0
        account = self.ledger.account(now, tenant)
        if account is None:
            client.retry_after = NO_QUOTA_RETRY_AFTER_S
            return 1.0 if contracts.others == "serve" else 0.0
        if account.team.offerings and request_class not in account.team.offerings:
            client.retry_after = NO_QUOTA_RETRY_AFTER_S
            return 0.0
        work = account.corrected_estimate(request.work)
        if account.may_start() and account.reserve(now, work):
            is_guaranteed = account.charge_guaranteed(now, work)
            reservation = Reservation(account, work, is_guaranteed, request.work)
            client.charge = Charge(reservation, self.clock)
            return 1.0 if is_guaranteed else account.team.spare
        account.work_beyond_quota += work
        if account.team.beyond == "lower":
            return account.team.importance
        client.retry_after = account.wait_s(now, work)
        return 0.0

    def describe_accounts(self, now: float) -> list[str]:
        """Return a line for each tenant's account, for operators."""
        return [_account_line(now, name, account) for name, account in sorted(self.ledger.accounts.items())]

    # -- contracts ---------------------------------------------------------------------------------------

    def _remember(self, contracts: Contracts) -> None:
        added = contracts.check()
        self.contracts_by_checksum[added] = contracts
        unused = [
            checksum for checksum in self.contracts_by_checksum if checksum not in (self.checksum, added)
        ]
        for checksum in unused[:-MAX_UNUSED_CONTRACTS]:
            del self.contracts_by_checksum[checksum]

    def _find_contract_set(self, version: int) -> ContractSet | None:
        """Load and keep contracts that a rollout introduces; being newer does not put them in force."""
        contracts = self.find_contracts(version)
        if contracts is None or contracts.version != version:
            return None
        self.contracts_by_checksum[contracts.check()] = contracts
        return self._contract_set(contracts)

    def _contract_set(self, contracts: Contracts) -> ContractSet:
        """Return what the coordinator leases: each budget without the nodes' floors."""
        cluster_size = self.member.cluster_size
        leased = [
            team.rate() - int(team.rate() * self.floor) // cluster_size * cluster_size
            for team in contracts.teams
        ]
        return ContractSet(
            contracts.version,
            contracts.check(),
            tuple(team.name for team in contracts.teams),
            tuple(leased),
            lambda: contracts.has_begun(self.wall_clock()),
        )

    def _planned_checksum(self, sections: PlanSections) -> int:
        """Return the checksum of the contracts that this node has to follow.

        They are the rollout's contracts if the plan lists this node among its new nodes and the node has
        them.
        """
        budgets = sections.get("budgets")
        version, checksum = in_force(budgets)
        new_version, new_checksum = beside(budgets)
        if self._is_rolled_out_here(sections, new_checksum) and self._has_contracts(
            new_version, new_checksum
        ):
            return new_checksum
        if checksum and checksum not in self.contracts_by_checksum:
            self._find_contract_set(version)
        return checksum

    def _is_rolled_out_here(self, sections: PlanSections, checksum: int) -> bool:
        rollout = sections.get("stages") or {}
        try:
            return bool(
                checksum
                and rollout["kind"] == "contracts"
                and self.member.node_id in decode_ranges(rollout["new"])
            )
        except (KeyError, TypeError, ValueError):
            return False

    def _has_contracts(self, version: int, checksum: int) -> bool:
        if checksum not in self.contracts_by_checksum:
            self._find_contract_set(version)
        return checksum in self.contracts_by_checksum

    def _team_numbers(self) -> dict[str, int]:
        return {name: number for name, (number, _) in self.ledger.teams.items()}

    # -- log lines ---------------------------------------------------------------------------------------

    def _record_dropped_leases(self, now: float, contracts: Contracts | None) -> None:
        """Record that leases of tenants without a new contract end, for the checker that sums up leases."""
        kept = {team.name for team in contracts.teams} if contracts else ()
        for name, account in self.ledger.accounts.items():
            if name not in kept and account.current_lease_rate(now):
                self.member.host.event("part", team=account.number, check=self.checksum, part=0, left=0.0)

    def _record_accounts(self, now: float) -> None:
        for name, account in self.ledger.accounts.items():
            account.refill(now)
            self.member.host.event(
                "account",
                team=name,
                check=self.checksum,
                began=account.created_at,
                sums=[account.granted, account.free, account.reserved, account.settled, account.returned],
            )
        if now >= self.logged_at + LOG_INTERVAL_S:
            self.logged_at = now
            self._log_spending(now)
        self.ledger.remove_idle(now)

    def _log_spending(self, now: float) -> None:
        for name, account in self._busiest_accounts():
            self.member.host.event(
                "spent",
                team=name,
                settled=round(account.settled, 3),
                reserved=round(account.reserved, 3),
                beyond=round(account.work_beyond_quota, 3),
                part=account.rate(now),
            )

    def _busiest_accounts(self) -> Iterator[tuple[str, Account]]:
        """Yield the accounts with the most spent and rejected work."""
        accounts = self.ledger.accounts.items()
        yield from sorted(accounts, key=_negative_activity)[:MAX_LOGGED_TENANTS]


def _negative_activity(item: tuple[str, Account]) -> float:
    _, account = item
    return -account.settled - account.work_beyond_quota


def _account_line(now: float, name: str, account: Account) -> str:
    account.refill(now)
    return (
        f"{name} part={account.rate(now):.3f} free={account.free:.2f} "
        f"reserved={account.reserved:.2f} settled={account.settled:.2f} "
        f"beyond={account.work_beyond_quota:.2f}"
    )
