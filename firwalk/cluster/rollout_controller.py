"""A node's part in rollouts: counts requests, reports the counters, and tells the agent which version to run.

No I/O. The dispatcher calls `RolloutCounters`. Times are seconds.
"""

from __future__ import annotations

from collections.abc import Callable
from math import log
from typing import Any, NamedTuple
from zlib import crc32

from firwalk.cluster import messages as m
from firwalk.cluster.canary_counters import RequestCounts
from firwalk.cluster.node_id_ranges import decode_ranges
from firwalk.cluster.rollout import BACK, CONTRACTS, DONE, GOING, HELD, STOPPED, Rollout, RolloutPolicy
from firwalk.cluster.rollout_policy import FileLookup
from firwalk.cluster.rollout_section import RolloutSection

IDLE_REPORT_INTERVALS = 10  # Without a rollout, a node reports once in so many report intervals.
MILLI = 1e3
MAX_LOG_SUM = 2**48  # Sums of logarithms in a report are limited to this value.
# Memory is reported in units of 100 kB, as a 16-bit number.
MEMORY_UNIT_BYTES = 1e5
MAX_MEMORY = 65535

MetricsRow = tuple[int, ...]  # as in `RolloutMetrics.rows`


class RolloutCounters:
    """Counts final answers and their times by request class; the dispatcher calls it for each."""

    def __init__(self) -> None:
        self.rows_by_class: dict[str, RequestCounts] = {}

    def counts_of(self, request_class: str) -> RequestCounts:
        """Return the counters of a request class, by its name."""
        row = self.rows_by_class.get(request_class)
        if row is None:
            row = self.rows_by_class[request_class] = RequestCounts(crc32(request_class.encode()))
        return row

    def count_completed(self, request_class: str, attempts: int, duration_s: float, late: bool) -> None:
        """Count a request that was completed after `duration_s` seconds."""
        row = self.counts_of(request_class)
        row.requests += 1
        row.attempts += attempts
        row.late += late
        row.completed += 1
        logarithm = log(max(duration_s * MILLI, 1.0))
        row.log_times += logarithm
        row.log_time_squares += logarithm * logarithm

    def count_rejected(self, request_class: str, attempts: int) -> None:
        """Count a rejected request."""
        row = self.counts_of(request_class)
        row.requests += 1
        row.rejected += 1
        row.attempts += attempts

    def count_failed(self, request_class: str, attempts: int) -> None:
        """Count a request that failed with an unknown outcome."""
        row = self.counts_of(request_class)
        row.requests += 1
        row.failed += 1
        row.attempts += attempts

    def count_error(self, request_class: str) -> None:
        """Count an attempt that ended with an error."""
        self.counts_of(request_class).errors += 1

    def rows(self) -> list[MetricsRow]:
        """Return all counters in the form of a report."""
        return [_metrics_row(row) for _, row in sorted(self.rows_by_class.items())]


def _metrics_row(row: RequestCounts) -> MetricsRow:
    return (
        row.request_class,
        row.requests,
        row.late,
        row.failed,
        row.rejected,
        row.errors,
        row.attempts,
        row.completed,
        min(int(row.log_times * MILLI), MAX_LOG_SUM),
        min(int(row.log_time_squares * MILLI), MAX_LOG_SUM),
    )


class RunningConfiguration(NamedTuple):
    """The settings' tag and the version of the contracts that the node follows."""

    tag: str
    contracts: int


class StagedContracts(NamedTuple):
    """The old and new version of contracts that a rollout replaces; `ended`: `done`, `stopped` or empty."""

    before: int
    new: int
    ended: str


def _no_contracts() -> int:
    return 0


class RolloutController:
    """The rollout part of one incarnation of a cluster member.

    `release`: the release that this process runs; `tag()`: its settings' tag; `memory()`: its memory in
    bytes; `find_file(name)`: returns a rollout file, its checksum and its faults.
    """

    def __init__(
        self,
        member: Any,
        counters: RolloutCounters,
        release: str,
        tag: Callable[[], str],
        zone: int,
        memory: Callable[[], float],
        policy: RolloutPolicy,
        find_file: FileLookup,
    ) -> None:
        self.member = member
        self.counters = counters
        self.release = release
        self.tag = tag
        self.zone = zone
        self.memory = memory
        self.intervals = 0  # since the last report
        self.recorded = RunningConfiguration("", 0)
        self.reported_term = m.NO_BALLOT
        self.contracts_version: Callable[[], int] = _no_contracts  # of those that this node follows
        self.rollout: Rollout | None = None  # at nodes that may become the coordinator
        if member.plan_publisher is not None:
            self.rollout = Rollout(
                policy, member.proposer.voters, member.cluster_size, find_file, member.host.event
            )
        member.rollout_controller = self

    def start(self, now: float) -> None:
        """Begin to report at regular intervals."""
        self._record_configuration()
        self.member.host.set_timer(now, self._report, None)

    def _configuration(self) -> RunningConfiguration:
        return RunningConfiguration(self.tag(), self.contracts_version())

    def _record_configuration(self) -> None:
        self.recorded = self._configuration()
        self.member.host.event(
            "runs", release=self.release, tag=self.recorded.tag, contracts=self.recorded.contracts
        )

    # -- the version by the plan ---------------------------------------------------------------------------

    def section(self, now: float) -> RolloutSection | None:
        """Return the section of the plan in force; None: without a plan, nothing may be changed."""
        sections = self.member.follower.sections_in_force(now)
        if sections is None:
            return None
        section: RolloutSection = sections.get("stages", {})
        return section

    def wanted_version(self, now: float) -> str:
        """Return the answer to the agent.

        `hold`: no plan is in force; `nothing`: no rollout affects this node's process. Otherwise the
        rollout's number, its kind, the version that this node has to run, and the rollout's state.
        """
        section = self.section(now)
        if section is None:
            return "hold"
        try:
            is_new = self.member.node_id in decode_ranges(section["new"])
            version = section["what"] if is_new else section["before"]
            if section["kind"] == CONTRACTS:
                return "nothing"  # Contracts are changed by the node, without its agent.
            return f"{section['number']} {section['kind']} {version} {section['state']}"
        except (KeyError, TypeError, ValueError):
            return "nothing"

    # -- reports -------------------------------------------------------------------------------------------

    def _report(self, now: float, _: None) -> None:
        interval_s = self.member.follower.report_interval_s
        leader_term = self.member.follower.leader_term
        if self._configuration() != self.recorded:
            self._record_configuration()
            self.intervals = IDLE_REPORT_INTERVALS  # A report is due: the coordinator's last one is outdated.
        self.intervals += 1
        if leader_term != m.NO_BALLOT and self._is_report_due(now, leader_term):
            self.intervals = 0
            self.reported_term = leader_term
            for message in self.build_reports(now):
                self.member.host.send(leader_term[1], message)
        self.member.host.set_timer(now + interval_s, self._report, None)

    def _is_report_due(self, now: float, leader_term: m.Ballot) -> bool:
        """Return whether to report now: rarely without a rollout, but at once to a new coordinator."""
        is_active = (self.section(now) or {}).get("state") in (GOING, HELD, BACK)
        return is_active or self.intervals >= IDLE_REPORT_INTERVALS or leader_term != self.reported_term

    def build_reports(self, now: float) -> list[m.RolloutMetrics]:
        """Return the report, split into as many messages as it needs."""
        rows = self.counters.rows()
        parts = [
            rows[start : start + m.MAX_METRICS_ROWS] for start in range(0, len(rows), m.MAX_METRICS_ROWS)
        ]
        number = (self.section(now) or {}).get("number", 0)
        memory = min(int(self.memory() / MEMORY_UNIT_BYTES), MAX_MEMORY)
        release = crc32(self.release.encode())
        tag = crc32(self.recorded.tag.encode())
        contracts = self.recorded.contracts
        return [
            m.RolloutMetrics(number, release, tag, self.zone, memory, part, contracts)  # type: ignore[arg-type]
            for part in parts or [[]]
        ]

    # -- the coordinator's side ----------------------------------------------------------------------------

    def on_metrics(self, now: float, node_id: int, generation: int, metrics: m.RolloutMetrics) -> None:
        """Process a node's report."""
        if self.rollout is not None and self.member.plan_publisher.is_leader(now):
            self.rollout.on_metrics(now, node_id, generation, metrics)

    def open(self, now: float, section: Any) -> None:
        """Resume from the plan as the new coordinator."""
        if self.rollout is not None:
            self.rollout.restore(now, section)

    def staged_contracts(self) -> StagedContracts | None:
        """Return the contracts that the rollout replaces, None if it replaces none."""
        section = self.rollout.section if self.rollout is not None else {}
        if section.get("kind") != CONTRACTS:
            return None
        ended = section["state"] if section["state"] in (DONE, STOPPED) else ""
        return StagedContracts(int(section["before"]), int(section["what"]), ended)

    def evaluate(self, now: float, up: list[int]) -> dict[str, RolloutSection]:
        """Run an evaluation round; return the changes to the plan."""
        assert self.rollout is not None
        section = self.rollout.evaluate(now, up, self._find_blocker())
        return {"stages": section} if section else {}

    def _find_blocker(self) -> str:
        """Return the zone because of which nothing may be changed now, empty if there is none."""
        if self.member.zones is None:
            return ""
        for zone in self.member.zones.all:
            if zone.state or zone.is_drained or zone.is_drained_by_file:
                return f"zone {zone.number} is not open"
        return ""

    def execute(self, now: float, node_id: int, command: m.RolloutCommand) -> tuple[bool, str]:
        """Execute an operator's or an agent's command at the coordinator; return success and answer."""
        rollout = self.rollout
        up = self.member.members.up()
        if (
            rollout is None
            or not self.member.plan_publisher.is_leader(now)
            or not self.member.plan_publisher.version
        ):
            return False, "the coordinator is just coming into office; ask again"
        if command.action == "page":
            return True, rollout.page(command.argument)
        if command.action == "dry":
            page = int(command.text) if command.text.isdecimal() else 0
            return rollout.dry_run(now, command.name, command.argument, up, page)
        commands: dict[str, Callable[[], str]] = {
            "start": lambda: rollout.start(now, command.name, command.argument, up),
            "hold": lambda: rollout.hold(now),
            "resume": lambda: rollout.resume(now),
            "back": lambda: rollout.roll_back(now),
            "failed": lambda: rollout.on_start_failed(now, node_id, command.argument, command.text),
        }
        if command.action not in commands:
            return False, "no such word"
        reason = commands[command.action]()
        if not reason:
            self.member.plan_publisher.change_sections(now, self.evaluate(now, up))
        return not reason, reason
