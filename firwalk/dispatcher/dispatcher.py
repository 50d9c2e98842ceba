"""The decisions in blocking style, for a node on sockets: `pick`, the `report_...` methods and `tick`.

No I/O happens here. Whoever holds a task waits in `pick` for its next step; what the network learns it
reports; `tick` runs due timers and hands out the standing work that belongs to no task. The network sees
errands, places and steps, never the module's own calls. Times are seconds on the clock that is handed in.
"""

from __future__ import annotations

from asyncio import Future, get_running_loop
from collections import deque
from collections.abc import Callable
from enum import IntEnum
from heapq import heappop, heappush
from typing import Any
from zlib import crc32

from firwalk.config.node_config import REPORT_WORDS, build_node, retune
from firwalk.dispatcher import failure_gossip
from firwalk.dispatcher.maintenance import Maintenance
from firwalk.observability.events import EventLog, Refusal
from firwalk.observability.log import must
from firwalk.observability.monitor import Monitor, RequestRecord
from firwalk.policy.interface import Condition, Effect, Outcome
from firwalk.policy.policy import Assignment, Executor, Task

WAY_BACK = 0.02  # seconds kept for an answer's way to the client: at its expiry it would be too late
FOR_GOOD = float("inf")  # until it is said otherwise
LEAST_LEFT = 0.001  # seconds: what an executor is told of its time has no smaller part
MOST_LOAD = 1e6  # figures of a load report beyond it (an infinite one, too) tell nothing
LAST_WORD = 0.01  # seconds past a task's expiry, after its time-out
LAST = (Outcome.FINISHED, Outcome.UNFIT)  # outcomes that end the task itself
MISSED = (Outcome.NO_CONNECTION, Outcome.BROKEN, Outcome.TIMED_OUT, Outcome.CANCELLED)  # nobody was found


class Step(IntEnum):
    """What is to be done next for a task."""

    SEND = 0  # number of the assignment, place, when it must have ended, whether it can never repeat
    CALL_OFF = 1  # number of the assignment
    FINISHED = 2  # the result
    BOUNCED = 3  # seconds to stay away (0: no advice)
    ABANDONED = 4
    UNFIT = 5  # an executor says that the task itself is bad


class Chore(IntEnum):
    """Standing work, of no task."""

    PROBE = 0  # place, seconds that it may take
    CLOSE_IDLE = 1  # place
    WATCH = 2  # whether to, the list's version
    ASK_LIST = 3
    TELL = 4  # content, for all peers
    NOTE = 5  # a line


class Place:
    """Where an executor listens."""

    def __init__(self, name: str, address: tuple[str, int]):
        self.name, self.address = name, address


class Errand:
    """A task at the door: the steps that wait to be picked, until its last assignment has ended."""

    def __init__(self) -> None:
        self.task: Task | None = None
        self.steps: deque[tuple] = deque()
        self.waiter: Future | None = None
        self.begun: set[int] = set()  # assignments whose last byte may have been written
        self.expiry = 0.0  # its own, also when the node must be gone before
        self.began = 0.0  # when it came
        self.advice = 0.0  # seconds that a bounce asks its client to stay away at least
        self.about = ("", "")  # names of its offering and tenant
        self.charge: Any = None  # what is reserved for it of its team's budget
        self.measured = 0.0  # work of the assignment that finished
        self.record: RequestRecord | None = None  # what the checks at run time keep of it
        self.refusal = Refusal.NO_EXECUTOR  # why it was given up, once it was
        self.left: Callable[[], bool] = lambda: False  # whether its client has gone, read or not

    def stir(self) -> None:
        if self.waiter is not None and not self.waiter.done():
            self.waiter.set_result(None)

    def add(self, *step: Any) -> None:
        self.steps.append(step)
        self.stir()

    def over(self) -> bool:
        return not self.task.open and not self.task.still_out


class Desk:
    """One node's decisions, and the host through which they act."""

    def __init__(self, settings: dict, seed: int, clock: Callable[[], float], wake: Callable[[], None]):
        self.clock, self.wake = clock, wake
        self.events = EventLog()
        self.monitor = Monitor(self.events, clock)
        self.timers: list[tuple] = []
        self.label, self.next = 0, float("inf")
        self.chores: list[tuple] = []
        self.ending: list[Assignment] = []
        self.open: dict[Errand, None] = {}
        self.closing_at = float("inf")
        self.places: dict[str, Executor] = {}
        self.maintenance = Maintenance()
        self.entries: dict[str, tuple] = {}  # the list as it was told last
        self.list_at = 0.0  # when a list came last
        self.marks = failure_gossip.Marks()
        self.seen: Any = None  # counts what is met in each zone, where the fleet decides on zones
        self.tally: Any = None  # counts final answers, where changes go by stages
        self.terms_of: Callable[[Task], float] | None = None  # what is decided in common on a task
        self.version = 0
        self.settings, self.vanished = settings, {}  # offerings that there are no more
        self._name(settings)
        self.zones = {name: n for n, name in enumerate(settings.get("azs", []))}
        self.kinds = {name: n for n, name in enumerate(settings.get("kinds", []))}
        # A probe may wait in an executor's queue: it gets twice the time that a connection gets.
        self.probe_time = 2e-6 * settings.get("limits", {}).get("connect-timeout-us", 0) or 0.5
        self.node = build_node(self, seed, settings, clock())
        if settings.get("discovery") != "ask":
            self.watch(True)  # on sockets a list that the settings call pushed comes by a watch too

    def _name(self, settings: dict) -> None:
        self.offerings = {o.get("name"): n for n, o in enumerate(settings.get("offerings", []))}
        self.tenants = {t.get("name"): n for n, t in enumerate(settings.get("tenants", []))}

    def report_settings(self, settings: dict) -> None:
        """New settings, checked. What they leave out of the offerings is turned away from now on; tasks under
        way go on as they came."""
        retune(self.node, self.settings, settings)
        before, self.settings = self.offerings, settings
        self._name(settings)
        self.vanished = {name: None for name in (*self.vanished, *before) if name not in self.offerings}
        self._settle(self.clock())

    def takes(self, offering: str) -> bool:
        """Whether there is such an offering, or was one."""
        return offering in self.offerings or offering in self.vanished

    # -- pick, tick ------------------------------------------------------------------------------------

    async def pick(self, errand: Errand) -> tuple | None:
        """Waits for the task's next step; None once nothing more can come."""
        while not errand.steps:
            if errand.over():
                return None
            errand.waiter = get_running_loop().create_future()
            await errand.waiter
        return errand.steps.popleft()

    def tick(self) -> tuple[float, list[tuple]]:
        """Runs due timers; tells when to come again and what standing work there is."""
        now = self.clock()
        while self.timers and self.timers[0][0] <= now:
            _, _, act, about = heappop(self.timers)
            act(now, about)
            self._settle(now)
        chores, self.chores = self.chores, []
        self.next = self.timers[0][0] if self.timers else float("inf")
        return self.next, chores

    def _settle(self, now: float) -> None:
        """Gives assignments that were called off their outcome, outside the call that did so."""
        while self.ending:
            self._ended(now, self.ending.pop(0), Outcome.CANCELLED, None)
        if self.chores or (self.timers and self.timers[0][0] < self.next):
            self.next = float("-inf")
            self.wake()

    # -- report: what came -----------------------------------------------------------------------------

    def report_task(
        self,
        offering: str,
        tenant: str,
        budget: float | None,
        cost: float,
        slots: float,
        memory: float,
        again: bool,
        marked: bool = True,
        waited: float = 0.0,
        key: bytes = b"",
        request_id: str = "",
    ) -> Errand | None:
        """A task was taken, some seconds ago; None where no such offering exists, or a fingerprint is needed
        and it is not `marked` by one. Its offering's budget is the most that it can have."""
        number = self.offerings.get(offering)
        if number is None or not marked and self.node.offerings[number].effect is Effect.FINGERPRINTED:
            return None
        now, errand, most = self.clock(), Errand(), self.node.offerings[number].expiry
        budget = (most if budget is None else min(budget, most or budget)) - waited
        errand.expiry, errand.about = now + max(budget - WAY_BACK, 0.0), (offering, tenant)
        errand.began = now - waited
        budget = max(min(budget, self.closing_at - now) - WAY_BACK, 0.0)
        errand.task = self.node.task_arrived(
            now, errand, number, self.tenants.get(tenant, -1), budget, cost, slots, memory, again, key
        )
        errand.record = self.monitor.taken(request_id, errand.task, errand.expiry + WAY_BACK)
        if self.seen is not None and not again:  # what is turned away and comes again is asked for once
            self.seen.arrived(errand.task.work)
        if errand.task.open:
            self.open[errand] = None
            self.set_timer(errand.task.expiry + LAST_WORD, self._last_word, errand)
        self._settle(now)
        return errand

    def report_start(self, errand: Errand, number: int) -> None:
        assignment = errand.task.assignments[number]
        if assignment.out and not assignment.started_at:
            now = self.clock()
            if self.seen is not None:
                self.seen.started(self._zone(assignment.executor), now - assignment.sent, now)
            self.node.started(now, assignment)
            self._settle(now)

    def report_progress(self, errand: Errand, number: int, share: float) -> None:
        assignment = errand.task.assignments[number]
        if assignment.out:
            now = self.clock()
            assignment.executor.strikes = 0  # it works
            self._settle(now)

    def report_outcome(
        self, errand: Errand, number: int, how: Outcome, load: dict | None = None, result: bytes = b""
    ) -> None:
        """How an assignment ended; one that was called off has had its outcome already."""
        assignment = errand.task.assignments[number]
        if not assignment.out:
            return
        now, wins = self.clock(), how in LAST and errand.task.open
        self._ended(now, assignment, how, load)
        if wins and how is Outcome.FINISHED:
            errand.add(Step.FINISHED, result)
            if self.tally is not None:
                self.tally.finished(
                    errand.about[0], len(errand.task.assignments), now - errand.began, now > errand.task.due
                )
        elif wins:  # sent on, it would be turned away everywhere, and count against each in turn
            errand.add(Step.UNFIT)
        self._settle(now)

    def _ended(self, now: float, assignment: Assignment, how: Outcome, load: dict | None) -> None:
        task = assignment.task
        if not assignment.out:
            return
        complete = how in LAST or not task.open
        if self.seen is not None:
            self._see(now, assignment, how)
        if self.tally is not None and how is Outcome.ERROR:
            self.tally.erred(task.ref.about[0])
        if how is Outcome.FINISHED and task.ref.charge is not None and not task.ref.measured:
            took = now - (assignment.started_at or assignment.sent)
            task.ref.measured = took * assignment.executor.speed * task.slots
        if task.ref.record is not None:
            self.monitor.attempt_ended(task.ref.record, assignment.number, how)
        self.node.ended(now, assignment, how, now - assignment.sent, complete, self._words(load))
        if not task.open:
            self.open.pop(task.ref, None)
            self._settle_charge(task)
        task.ref.stir()

    def _settle_charge(self, task: Task) -> None:
        """Once it is over: what was measured, else the estimate, or nothing if none of it can have run."""
        if task.ref.charge is not None and not task.open and not task.still_out:
            ran = any(a.may_have_run and a.number in task.ref.begun for a in task.assignments)
            task.ref.charge.settle(task.ref.measured, ran)

    def _zone(self, executor: Executor) -> int:
        return next((number for number, zone in self.node.zones.items() if zone is executor.zone), -1)

    def _see(self, now: float, assignment: Assignment, how: Outcome) -> None:
        """An assignment that was called off tells nothing, unless it should have ended by then."""
        executor, began = assignment.executor, assignment.started_at
        late = now - assignment.sent > assignment.wait + assignment.task.cost / executor.rate()
        if how is not Outcome.NOT_SENT and (how is not Outcome.CANCELLED or late and not began):
            missed = how in MISSED and not began
            self.seen.ended(self._zone(executor), missed, how is Outcome.ERROR, now, assignment.sent)

    def shun(self, zones: list[int]) -> None:
        """These zones get nothing for as long as they are named."""
        for number, place in self.node.zones.items():
            if number in zones:
                place.away_until = FOR_GOOD
            elif place.away_until == FOR_GOOD:
                place.away_until = 0.0

    def zones_bear(self, count: int) -> list[float]:
        """Work a second that each zone's ready executors bear when warm, by this node's list."""
        bears = [0.0] * count
        for executor in self.node.near + self.node.far:
            number = self._zone(executor)
            if 0 <= number < count:
                bears[number] += executor.slots * executor.speed
        return bears

    def report_gone(self, errand: Errand, reason: str = "client_left") -> None:
        """The client left."""
        now = self.clock()
        if errand.record is not None:
            self.monitor.released(errand.record, reason)
        self.node.withdrawn(now, errand.task)
        self.open.pop(errand, None)
        self._settle_charge(errand.task)
        errand.stir()
        self._settle(now)

    def report_moved(self, errand: Errand) -> None:
        """Another process of this node goes on with it: here nothing is owed any more."""
        self.report_gone(errand, "handed_over")
        for assignment in errand.task.assignments:
            if assignment.out:  # where a cancel means nothing
                self.report_outcome(errand, assignment.number, Outcome.CANCELLED)

    def report_resumed(self, errand: Errand) -> None:
        """A task that another process of this node had goes on here."""
        now, task = self.clock(), errand.task
        errand.expiry, task.expiry = task.expiry, min(task.expiry, self.closing_at - WAY_BACK)
        self.open[errand] = None
        self.set_timer(task.expiry + LAST_WORD, self._last_word, errand)
        for assignment in task.assignments:
            if assignment.out:
                self.set_timer(task.expiry, self._time_out, assignment)
                self.node.resumed(now, assignment)
        self._settle(now)

    def report_list(self, version: int, whole: bool, entries: list[tuple]) -> None:
        """Entries are (name, address, zone, machine type, cell, condition, when it came up, size); `whole`:
        what is not named is gone. One that says what it said last is passed over: of thousands few change."""
        if version < self.version and not whole:
            return  # an old change, told again
        now, named = self.clock(), set()
        told_last = self.entries
        if whole:
            self.entries = {}
        for entry in entries:
            name, address, zone, kind, cell, condition, came_up, size = entry
            if told_last.get(name) == entry:
                self.entries[name] = entry
                named.add(name)
                continue
            self.entries[name] = entry
            executor = self.places.get(name)
            if executor is None:
                if condition is Condition.GONE:
                    continue
                executor = self.places[name] = self.node.new_executor(
                    Place(name, address),
                    self.kinds.get(kind, -1),
                    self.zones.get(zone, -1),
                    cell,
                    size,
                    crc32(name.encode()),
                )
                self.marks.add(name.encode(), executor)
            if condition is Condition.GONE or address != executor.ref.address:
                self.close_idle(executor)
            executor.ref.address = address
            named.add(name)
            self.node.heard(now, executor, *self.maintenance.hear(name, condition, came_up))
        for name, executor in self.places.items() if whole else ():
            if name not in named and executor.condition is not Condition.GONE:
                self.node.heard(now, executor, *self.maintenance.hear(name, Condition.GONE, executor.came_up))
                self.close_idle(executor)
        self.version, self.list_at = version, now
        self.node.list_heard(now)
        self._settle(now)

    def report_out(self, name: str, sure: bool = False) -> bool:
        """Operators take an executor out: to the decisions it drains, so that their one gate keeps this rule
        too. False: nobody knows it. `sure`: another process of this node does."""
        if not (sure or self.maintenance.knows(name)):
            return False
        now, executor = self.clock(), self.places.get(name)
        self.maintenance.take_out(name, now)
        if executor is not None:
            self._as_listed(now, executor)
            self.close_idle(executor)  # the restart that it is taken out for would end them under a task
            for assignment in [a for errand in self.open for a in errand.task.assignments]:
                if assignment.executor is executor and assignment.out and self.node.tells_start:
                    self.node.overdue(now, assignment)  # what has not begun there need not wait for its end
            self._settle(now)
        return True

    def report_kept_out(self, state: dict) -> None:
        """Who was out when another process of this node served; ValueError and its like if it says nothing
        that can be used. The list that this one began with had them in use."""
        self.maintenance.restore(state)
        for executor in self.places.values():
            self._as_listed(self.clock(), executor)

    def report_back(self, name: str, sure: bool = False) -> bool:
        """Operators call it back: it comes back cold, whatever the list has noticed of its restart."""
        if not (sure or self.maintenance.knows(name)):
            return False
        now, executor = self.clock(), self.places.get(name)
        if self.maintenance.call_back(name, now) and executor is not None:
            self._as_listed(now, executor)
        return True

    def _as_listed(self, now: float, executor: Executor) -> None:
        listed = self.maintenance.listed.get(executor.ref.name)
        if listed is not None:
            self.node.heard(now, executor, *self.maintenance.hear(executor.ref.name, *listed))
            self.node.list_heard(now)
            self._settle(now)

    def kept(self, place: Place) -> bool:
        """Whether connections to it are worth keeping: to one that is out they end with its restart."""
        return place.name not in self.maintenance.out

    def report_kept_list(self, version: int, entries: list[tuple], whole: bool = True) -> None:
        """The list as another process of this node had it: no news, so that a fresh one is still awaited."""
        at = self.list_at
        self.report_list(version, whole, entries)
        self.list_at = at

    def forget_version(self) -> None:
        """The list comes from another service, whose versions need not follow on those before."""
        self.version = 0

    def list_awaited(self, since: float) -> bool:
        """Whether the list's service was not heard since then, and no call of it has come to nothing: what
        the node knows so far is as old as its configuration."""
        return self.list_at <= since and not self.node.misses

    def report_list_broken(self, silent: bool = False) -> None:
        """`silent`: it gave no sign in its time. What it missed is to be known soon, and it was not turned
        down by a service that is busy."""
        now = self.clock()
        self.node.list_broken(now, silent)
        self._settle(now)

    def report_probe(self, place: Place, how: Outcome, took: float, load: dict | None) -> None:
        now = self.clock()
        if self.seen is not None:
            missed = how not in (Outcome.FINISHED, Outcome.FULL)
            self.seen.ended(self._zone(self.places[place.name]), missed, False, now, now - took)
        self.node.probed(now, self.places[place.name], how, took, self._words(load))
        self._settle(now)

    def report_peer(self, number: int, content: bytes) -> None:
        """Another node warns of an executor."""
        now, executor = self.clock(), self.marks.find(content)
        if executor is not None:
            self.node.peer_warned(now, executor)
            self._settle(now)

    def report_sending(self, errand: Errand, number: int) -> bool:
        """The first byte is about to be written; False: no more. While a connection was awaited, the executor
        may have begun to drain or come back cold, the client may have left, or the task may have ended; or
        the process stood still, and wakes past the task's time before its timers have told."""
        if not self._may_go(errand, number):
            return False
        if errand.record is not None:
            assignment = errand.task.assignments[number]
            self.monitor.attempt_begun(errand.record, assignment, self._why(errand, number))
        return True

    @staticmethod
    def _why(errand: Errand, number: int) -> str:
        """Why this attempt is made: the first one, beside one that is still out, or after one that ended."""
        if number == 0:
            return "first"
        return "hedge" if any(a.out for a in errand.task.assignments[:number]) else "retry"

    def report_last_byte(self, errand: Errand, number: int) -> bool:
        """The last byte is about to be written: from here on it may run. False: the task has ended, or its
        client has gone."""
        wanted = self._may_go(errand, number, begun=True)
        if wanted:
            errand.begun.add(number)
            if errand.record is not None:
                self.monitor.attempt_committed(errand.record, number)
        return wanted

    def _may_go(self, errand: Errand, number: int, begun: bool = False) -> bool:
        """The gate at the moment of the send. Less than `LEAST_LEFT` is no time that could be told."""
        task, assignment = errand.task, errand.task.assignments[number]
        if not assignment.out or not task.open or self.clock() + LEAST_LEFT >= task.expiry:
            return False
        if errand.left():
            self.report_gone(errand)
            return False
        if begun:
            return self.node.may_commit(self.clock(), assignment)
        return self.node.may_begin(self.clock(), assignment)

    def report_idle(self, place: Place, count: int) -> None:
        """So many connections to it are open and free: what the decisions count misses those that ended."""
        self.node.idle_counted(self.places[place.name], count)

    def close_by(self, when: float) -> None:
        """The node must be gone then: what it has taken is answered before, as if it expired."""
        self.closing_at = when
        for errand in list(self.open):
            task = errand.task
            task.expiry = min(task.expiry, when - WAY_BACK)
            for assignment in task.assignments:
                if assignment.out:
                    self.set_timer(task.expiry, self._time_out, assignment)
        self._settle(self.clock())

    def _words(self, load: dict | None) -> dict[str, float] | None:
        if not isinstance(load, dict):
            return None
        return {
            REPORT_WORDS.get(name, name): float(value)
            for name, value in load.items()
            if isinstance(value, int | float) and abs(value) < MOST_LOAD
        }

    def _time_out(self, now: float, assignment: Assignment) -> None:
        if assignment.out:
            errand = assignment.task.ref
            begun = assignment.number in errand.begun
            errand.add(Step.CALL_OFF, assignment.number)
            self._ended(now, assignment, Outcome.TIMED_OUT if begun else Outcome.NOT_SENT, None)

    def _last_word(self, now: float, errand: Errand) -> None:
        """The decisions answer every task by its expiry; did they not, its client would wait for nothing."""
        must(not errand.task.open, "a task has its final answer by its expiry")
        if errand.task.open:
            self.node.withdrawn(now, errand.task)
            self.abandon(errand.task)

    # -- the host's side: what the decisions ask for -----------------------------------------------------

    def send(self, task: Task, executor: Executor, limit: float) -> None:
        assignment = task.assignments[-1]
        end = min(task.expiry, assignment.sent + limit) if limit else task.expiry
        task.ref.add(
            Step.SEND, assignment.number, executor.ref, end, task.offering.effect is Effect.SIDE_EFFECTING
        )
        self.set_timer(end, self._time_out, assignment)

    def terms(self, task: Task) -> float:
        return 1.0 if self.terms_of is None else self.terms_of(task)

    def _refusal(self, task: Task) -> Refusal:
        """Why it is given up: by its end, that of the process, the lack of an executor, or failures."""
        stopped = task.expiry < task.ref.expiry
        if self.clock() >= task.expiry:
            return Refusal.STOPPING if stopped else Refusal.DEADLINE
        if task.assignments:
            return Refusal.ATTEMPTS_FAILED
        return Refusal.STOPPING if stopped else Refusal.NO_EXECUTOR

    def bounce(self, task: Task, wait: float) -> None:
        task.ref.refusal = self._refusal(task)
        task.ref.add(Step.BOUNCED, min(max(wait, task.ref.advice), self.node.longest_advice))
        if self.tally is not None:
            self.tally.bounced(task.ref.about[0], len(task.assignments))
        self.open.pop(task.ref, None)
        self._settle_charge(task)

    def abandon(self, task: Task) -> None:
        task.ref.refusal = self._refusal(task)
        task.ref.add(Step.ABANDONED)
        if self.tally is not None:
            self.tally.abandoned(task.ref.about[0], len(task.assignments))
        self.open.pop(task.ref, None)
        self._settle_charge(task)

    def cancel(self, assignment: Assignment) -> None:
        assignment.task.ref.add(Step.CALL_OFF, assignment.number)
        self.ending.append(assignment)

    def begun(self, assignment: Assignment) -> bool:
        return assignment.number in assignment.task.ref.begun

    def probe(self, executor: Executor) -> None:
        self.chores.append((Chore.PROBE, executor.ref, self.probe_time))

    def close_idle(self, executor: Executor) -> None:
        self.chores.append((Chore.CLOSE_IDLE, executor.ref))

    def set_timer(self, when: float, act: Callable[[float, Any], None], about: Any) -> None:
        self.label += 1
        heappush(self.timers, (when, self.label, act, about))

    def warn_peers(self, executor: Executor) -> None:
        self.chores.append((Chore.TELL, failure_gossip.mark_of(executor.ref.name.encode())))

    def watch(self, on: bool) -> None:
        self.chores.append((Chore.WATCH, on))

    def ask_list(self) -> None:
        self.chores.append((Chore.ASK_LIST,))

    def note(self, line: str) -> None:
        self.chores.append((Chore.NOTE, line))
