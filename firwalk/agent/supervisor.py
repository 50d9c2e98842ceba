"""What an agent does with its node's processes: decisions, without I/O.

To replace a process the new one is started beside the old one, which is ended only when the new one is
ready and has said that it follows a plan in force which wants it ("commit confirmed": RFC 6241, 8.4). A new
one that does not come that far is killed, and the old one, which had handed over, serves again.

A method for each thing that can happen, with the time first; acts through `Host`. Times are seconds on the
agent's monotonic clock.
"""

from __future__ import annotations

import signal
from dataclasses import dataclass, field
from typing import Protocol

READY = 20.0  # seconds in which a new process must be ready
CONFIRM = 15.0  # and, once it is, follow a plan that wants it
END = 6.0  # seconds in which one that was told to end does
HANG = 5.0  # seconds without an answer after which the serving one hangs
FIRST_WAIT, MOST_WAIT = 0.5, 30.0  # seconds before a lost one is started again, doubled each time
AGAIN = 5.0  # seconds before what could not be had is tried again, on the way back
CALM = 60.0  # seconds of service after which losses are forgotten
FALSE_CHECKS = 3  # in a row, after which the new version is said to answer wrongly
OUTSIDE = (-signal.SIGKILL, -signal.SIGTERM, -signal.SIGINT)  # ends that say nothing of a version


@dataclass
class ChildProcess:
    """One process of the node. `number`: of the change on trial for which it runs, 0: of none."""

    release: str
    slot: int  # which of the second addresses it has
    pid: int = 0
    number: int = 0
    started: float = 0.0
    ready_at: float = 0.0  # 0: not ready yet
    heard_at: float = 0.0  # when it answered last
    told_end: float = 0.0  # when it was told to end; 0: it was not
    killed: bool = False


@dataclass
class RolloutOrder:
    """What the plan wants of this node, as its process says: of the change `number`, `kind` and `what`.
    `trial`: the change is not over, so that a version which fails is told and left."""

    number: int
    kind: str
    what: str
    trial: bool = True


@dataclass
class SupervisorState:
    """What is written down before each step, for an agent that begins anew."""

    release: str
    tag: str = ""
    before: str = ""  # the release, or tag, that the change under way goes back to
    failed: dict[int, str] = field(default_factory=dict)  # by change: why this node could not have it
    told: list[int] = field(default_factory=list)  # of these, which the coordinator has heard
    serving: ChildProcess | None = None
    coming: ChildProcess | None = None
    leaving: ChildProcess | None = None


class Host(Protocol):
    def start(self, release: str, slot: int) -> int:
        """Starts the node's process of that release; its pid, 0 if it cannot be started."""

    def end(self, child: ChildProcess) -> None:
        """Tells it to end."""

    def kill(self, child: ChildProcess) -> None:
        """Ends it at once."""

    def apply(self, tag: str) -> str:
        """Writes the configuration with these settings and tells the serving process to read it; the reason,
        if it cannot be."""

    def tell_failed(self, number: int, why: str) -> None:
        """Says so through the serving process, which passes it on; `told` follows."""

    def keep(self, kept: SupervisorState) -> None:
        """Writes it down, whole."""

    def event(self, what: str, **about: object) -> None:
        """A line for operators."""


@dataclass(frozen=True)
class Times:
    """Seconds: in which a new process must be ready; and, once it is, follow a plan that wants it; without an
    answer after which the serving one hangs."""

    ready: float = READY
    confirm: float = CONFIRM
    hang: float = HANG


class Supervisor:
    def __init__(self, host: Host, kept: SupervisorState, times: Times | None = None):
        self.host, self.kept, self.times = host, kept, times or Times()
        self.lost, self.start_at, self.applied_at, self.again_at = 0, 0.0, 0.0, 0.0
        self.applying: RolloutOrder | None = None
        self.wrong, self.ending = 0, False

    # -- what happens --------------------------------------------------------------------------------------

    def begun(self, now: float) -> None:
        """The agent begins. Processes that it knows of are found or told lost by whoever looks."""
        for child in self.children():
            child.started, child.heard_at = now, now
            child.ready_at = child.ready_at and now
        if self.kept.leaving is not None:  # told once more: the agent may have died just before
            self.kept.leaving.told_end = now
            self.host.end(self.kept.leaving)
        if self.kept.serving is None and self.kept.coming is not None and self.kept.leaving is None:
            self.kept.serving, self.kept.coming = self.kept.coming, None
        self.tick(now)

    def children(self) -> list[ChildProcess]:
        return [child for child in (self.kept.serving, self.kept.coming, self.kept.leaving) if child]

    def answered(self, now: float, child: ChildProcess, ready: bool) -> None:
        """Its second address answered, and whether it takes clients."""
        child.heard_at = now
        if ready and not child.ready_at:
            child.ready_at = now
            self.host.event("ready", release=child.release, pid=child.pid)

    def ended(self, now: float, child: ChildProcess, code: int | None) -> None:
        """The process is gone; `code` as of subprocess, None: nobody knows it."""
        kept = self.kept
        which = "serving" if child is kept.serving else "coming" if child is kept.coming else "leaving"
        self.host.event(
            "process_ended",
            release=child.release,
            pid=child.pid,
            which=which,
            code=code if code is not None else "unknown",
        )
        if child is kept.leaving:
            kept.leaving = None
            self.host.keep(kept)
        elif child is kept.coming:
            kept.coming = None
            self.again_at = now + AGAIN
            if not self.ending:
                told = child.killed or child.told_end
                self._failed(now, child.number, "" if told else "it does not come up")
        elif child is kept.serving:
            self._lost(now, child, code)

    def _lost(self, now: float, child: ChildProcess, code: int | None) -> None:
        kept = self.kept
        kept.serving = None
        if self.ending:
            return
        crashed = code is not None and code not in (0, *OUTSIDE) and not child.killed
        if kept.coming is not None:  # the new one has the whole node now
            kept.serving, kept.coming = kept.coming, None
        elif crashed and self._on_trial(child):
            self._go_back(now, child, f"it crashed with {code}")
        else:
            if child.heard_at > child.started + CALM:
                self.lost = 0
            self.lost += 1
            self.start_at = now + min(FIRST_WAIT * 2 ** (self.lost - 1), MOST_WAIT)
        self.host.keep(kept)

    def _on_trial(self, child: ChildProcess | None) -> bool:
        """It runs a version that a change brings, and there is one before it to go back to."""
        return bool(
            child is not None and child.number and self.kept.before and child.release != self.kept.before
        )

    def _go_back(self, now: float, child: ChildProcess, why: str) -> None:
        """The serving process of a version on trial is no more, or of no use: the one before, at once."""
        self.kept.release = self.kept.before
        self._failed(now, child.number, why)
        self.start_at = now

    def _failed(self, now: float, number: int, why: str) -> None:
        if number and why and number not in self.kept.failed:
            self.kept.failed[number] = why
            self.host.event("change_failed", number=number, why=why)
        self.host.keep(self.kept)

    def checked(self, now: float, good: bool) -> None:
        """The operators' own check of the serving process."""
        child = self.kept.serving
        self.wrong = 0 if good else self.wrong + 1
        if self.wrong >= FALSE_CHECKS and self._on_trial(child) and child.number not in self.kept.failed:
            self._failed(now, child.number, "the check says that it answers wrongly")

    def told(self, now: float, number: int) -> None:
        """The coordinator has heard that this node could not have that change."""
        if number not in self.kept.told:
            self.kept.told.append(number)
            self.host.keep(self.kept)

    def wanted(self, now: float, child: ChildProcess, order: RolloutOrder | None, tag: str) -> None:
        """What a process says of the plan; None: it follows none in force. `tag`: of the settings it runs."""
        if child is self.kept.coming and child.told_end:
            return
        if child is self.kept.coming:
            if (
                order is not None
                and child.ready_at
                and (order.kind != "release" or order.what == child.release)
            ):
                self._confirmed(now, child)
            elif order is not None and child.ready_at:
                self._let_go(now, child, "")  # it is not wanted any more
        elif child is self.kept.serving and order is not None:
            if order.kind == "release":
                self._want(now, order)
            else:
                self._want_settings(now, order, tag)

    def _confirmed(self, now: float, child: ChildProcess) -> None:
        """The old one may go: from here on the new one is the node."""
        kept = self.kept
        kept.before = kept.serving.release if kept.serving else kept.before
        kept.leaving, kept.serving, kept.coming = kept.serving, child, None
        kept.release, self.lost, self.wrong = child.release, 0, 0
        self.host.keep(kept)
        self.host.event("confirmed", release=child.release, pid=child.pid)
        if kept.leaving is not None:
            kept.leaving.told_end = now
            self.host.end(kept.leaving)

    def _want(self, now: float, order: RolloutOrder) -> None:
        kept = self.kept
        if kept.coming is not None or kept.leaving is not None or self.ending:
            return
        if kept.serving.release == order.what:
            kept.serving.number = order.number if order.trial and order.what != kept.before else 0
        elif not (order.trial and order.number in kept.failed) and now >= self.again_at:
            kept.before = kept.serving.release
            self._start(now, order)

    def _start(self, now: float, order: RolloutOrder) -> None:
        kept = self.kept
        number = order.number if order.trial else 0  # back: tried until it succeeds
        child = ChildProcess(order.what, 1 - kept.serving.slot, number=number, started=now, heard_at=now)
        kept.coming = child
        self.host.keep(kept)
        child.pid = self.host.start(child.release, child.slot)
        self.host.event("starting", release=child.release, pid=child.pid, number=order.number)
        if not child.pid:
            kept.coming, self.again_at = None, now + AGAIN
            self._failed(now, number, f"there is no release {child.release} here that can be started")
        self.host.keep(kept)

    def _let_go(self, now: float, child: ChildProcess, why: str) -> None:
        """It has clients by now, and finishes what it took before it goes; then the old one serves again."""
        child.told_end = now
        self._failed(now, child.number, why)
        self.host.end(child)

    def _drop(self, now: float, child: ChildProcess, why: str) -> None:
        child.killed = True
        self._failed(now, child.number, why)
        self.host.kill(child)

    # -- settings ------------------------------------------------------------------------------------------

    def _want_settings(self, now: float, order: RolloutOrder, tag: str) -> None:
        """Applied, and told to have failed if they are not in force in time: those before are put back."""
        kept = self.kept
        if tag == order.what:
            if self.applying is not None and self.applying.what == tag:
                self.applying = None
                self.host.event("confirmed", tag=tag)
            return
        if (
            self.applying is not None
            and self.applying.number == order.number
            and (self.applying.what == order.what)
        ):
            if now >= self.applied_at + self.times.confirm:
                self._settings_failed(now, order, "the settings were not taken over")
            return
        if order.trial and order.number in kept.failed or now < self.again_at:
            return
        kept.before, kept.tag = tag, order.what
        self.host.keep(kept)
        self.applying, self.applied_at = order, now
        reason = self.host.apply(order.what)
        self.host.event("applied", tag=order.what, number=order.number)
        if reason:
            self._settings_failed(now, order, reason)

    def _settings_failed(self, now: float, order: RolloutOrder, why: str) -> None:
        kept = self.kept
        kept.tag, self.applying, self.again_at = kept.before, None, now + AGAIN
        self._failed(now, order.number if order.trial else 0, why)
        self.host.apply(kept.before)

    # -- time ----------------------------------------------------------------------------------------------

    def tick(self, now: float) -> None:
        kept = self.kept
        if kept.serving is None and not self.ending and kept.coming is None and now >= self.start_at:
            self._serve(now)
        coming = kept.coming
        if coming is not None and not coming.killed and not coming.told_end and not self.ending:
            if not coming.ready_at and now >= coming.started + self.times.ready:
                self._drop(now, coming, "it is not ready in time")
            elif coming.ready_at and now >= coming.heard_at + self.times.hang:
                self._drop(now, coming, "it hangs")
            elif coming.ready_at and now >= coming.ready_at + self.times.confirm:
                self._let_go(now, coming, "it does not follow the plan")
        for child in self.children():
            if child.told_end and now >= child.told_end + END and not child.killed:
                child.killed = True
                self.host.kill(child)
        serving = kept.serving
        if (
            serving is not None
            and serving.ready_at
            and not serving.told_end
            and not serving.killed
            and (now >= serving.heard_at + self.times.hang)
            and kept.coming is None
        ):
            self._hangs(now, serving)
        for number, why in kept.failed.items():
            if number not in kept.told and serving is not None and serving.ready_at and not serving.killed:
                self.host.tell_failed(number, why)

    def _hangs(self, now: float, child: ChildProcess) -> None:
        child.killed = True
        self.host.event("hangs", release=child.release, pid=child.pid)
        if self._on_trial(child):
            self._go_back(now, child, "it hangs")
        self.host.kill(child)

    def _serve(self, now: float) -> None:
        kept = self.kept
        slot = 1 - kept.leaving.slot if kept.leaving is not None else 0
        child = kept.serving = ChildProcess(kept.release, slot, started=now, heard_at=now)
        self.host.keep(kept)
        child.pid = self.host.start(child.release, child.slot)
        self.host.event("starting", release=child.release, pid=child.pid, number=0)
        if not child.pid:
            kept.serving, self.start_at = None, now + MOST_WAIT
        self.host.keep(kept)

    def stop(self, now: float) -> bool:
        """The agent is told to end, and its node with it; whether all are gone."""
        self.ending = True
        for child in self.children():
            if not child.told_end:
                child.told_end = now
                self.host.end(child)
        return not self.children()
