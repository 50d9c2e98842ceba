"""Checks the four client-visible rules of a run.

The evidence is what clients received, executors ran and relays forwarded; a node's own assessment is not
used. A violation names its rule and carries the history of the request.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from firwalk.lab.invariants import Judge, Violation
from firwalk.lab.load import ClientAttempt, Job
from firwalk.lab.standins import Executor, ExecutorRun

RULES = ("one final answer", "no effect twice", "nothing new to one that drains", "cold ones not pushed over")
INVARIANTS = ("I1", "I2", "I3", "I4", "I5")
# A node may still send to a draining executor for this long after it was told of the drain.
DRAIN_GRACE_S = 0.5
# A cold executor counts as overloaded when its queued work exceeds OVERLOAD_FACTOR times its capacity over
# OVERLOAD_WINDOW_S.
OVERLOAD_FACTOR = 3.0
OVERLOAD_WINDOW_S = 2.0


@dataclass
class RelayedRequest:
    """One attempt that a node sent to an executor.

    `at` is the earliest time at which its first byte can have arrived, `read_at` when the relay read it.
    """

    at: float
    read_at: float
    node: int
    executor: int
    job: str


class Referee:
    """Checks the rules; `slack` allows for the rig's own delay and the delays it injects, in seconds."""

    def __init__(self, slack: float, down: Callable[[int, float, float], bool]):
        self.slack, self.down = slack, down
        self.breaks: list[Violation] = []
        self.sent: dict[str, list[RelayedRequest]] = {}
        self.excused = 0

    def on_request_bytes(self, at: float, read_at: float, node: int, executor: int, data: bytes) -> None:
        """Record a request from a node to an executor that was sent between `at` and `read_at`."""
        start = data.find(b"X-Request-Id: ")
        if data.startswith(b"POST ") and start >= 0:
            name = data[start + 14 : data.find(b"\r\n", start)].decode("latin-1")
            self.sent.setdefault(name, []).append(RelayedRequest(at, read_at, node, executor, name))

    def _record_violation(self, rule: str, at: float, text: str, job: Job, ran: list[ExecutorRun]) -> None:
        lines = [f"{job.intended:9.3f} {job.key} {job.offering.name} ({job.offering.effect}) intended"]
        for one in job.tries:
            lines.append(
                f"{one.sent:9.3f} {one.name} to node {one.node}, expiry {one.expiry:.3f}: "
                f"{one.status or one.ending} at {one.answered:.3f}"
            )
            lines += [
                f"{s.at:9.3f}   {one.name} forwarded to executor {s.executor}"
                for s in self.sent.get(one.name, [])
            ]
        lines += [
            f"{r.began:9.3f}   {r.job} ran at executor {r.executor}, effect {r.effect}"
            for r in ran
            if r.began
        ]
        self.breaks.append(Violation(rule, at, text, sorted(lines)))

    # -- the rules ---------------------------------------------------------------------------------------

    def judge(
        self, jobs: list[Job], ran: list[ExecutorRun], reported: dict, executors: list[Executor]
    ) -> None:
        """Check all rules; `reported` holds the lifecycles that discovery reported to each node."""
        by_name: dict[str, list[ExecutorRun]] = {}
        for one in ran:
            by_name.setdefault(one.job, []).append(one)
        for job in jobs:
            runs = [r for one in job.tries for r in by_name.get(one.name, [])]
            for one in job.tries:
                self._check_answer(job, one, runs)
            self._check_effects(job, runs)
        self._check_drained_executors(jobs, reported)
        for executor in executors:
            if executor.worst > OVERLOAD_FACTOR * OVERLOAD_WINDOW_S:
                self.breaks.append(
                    Violation(
                        RULES[3],
                        executor.began_at,
                        f"executor {executor.number} had "
                        f"{executor.worst:.1f} s of work per second of its capacity",
                    )
                )

    def _check_answer(self, job: Job, one: ClientAttempt, ran: list[ExecutorRun]) -> None:
        excused = one.ending == "refused" or self.down(one.node, one.sent, one.expiry + self.slack)
        self.excused += excused
        if not excused:
            if not one.status:
                self._record_violation(
                    RULES[0], one.sent, f"{one.name} has no answer: {one.ending}", job, ran
                )
            elif one.answered > one.expiry + self.slack:
                self._record_violation(
                    RULES[0],
                    one.answered,
                    f"{one.name} was answered {one.answered - one.expiry:.3f} s after its expiry",
                    job,
                    ran,
                )
        if not one.body_fits:
            self._record_violation(
                RULES[0],
                one.answered,
                f"{one.name} was answered with the result of another request",
                job,
                ran,
            )
        over = one.answered or one.expiry
        for sent in self.sent.get(one.name, []):  # without an excuse for stopped nodes: only the delay counts
            if sent.at > over + self.slack:
                self._record_violation(
                    RULES[0], sent.at, f"{one.name} was forwarded after its final answer", job, ran
                )

    def _check_effects(self, job: Job, ran: list[ExecutorRun]) -> None:
        effects = [r for r in ran if r.effect]
        if len(effects) > 1 and job.offering.effect != "idempotent":
            self._record_violation(
                RULES[1], effects[1].began, f"{job.key} took effect {len(effects)} times", job, ran
            )

    def _check_drained_executors(
        self, jobs: list[Job], reported: dict[tuple[int, int], list[tuple[float, str]]]
    ) -> None:
        job_by_attempt = {one.name: job for job in jobs for one in job.tries}
        for requests in self.sent.values():
            for sent in requests:
                older = [
                    (at, word)
                    for at, word in reported.get((sent.node, sent.executor), [])
                    if at <= sent.at - DRAIN_GRACE_S - self.slack
                ]
                later = [
                    word for at, word in reported.get((sent.node, sent.executor), []) if at <= sent.read_at
                ]
                if (
                    older
                    and older[-1][1] != "active"
                    and later[-1] != "active"
                    and sent.job in job_by_attempt
                ):
                    self._record_violation(
                        RULES[2],
                        sent.at,
                        f"{sent.job} was sent to executor {sent.executor}, of "
                        f"which node {sent.node} knew as {older[-1][1]!r} "
                        f"for {sent.at - older[-1][0]:.2f} s",
                        job_by_attempt[sent.job],
                        [],
                    )

    def counts(self, judge: Judge) -> tuple[dict[str, int], dict[str, int]]:
        """Return the number of violations by rule and by invariant."""
        rules = {rule: sum(b.name == rule for b in self.breaks) for rule in RULES}
        return rules, {name: sum(b.name == name for b in judge.breaks) for name in INVARIANTS}
