"""firwalk's decisions: which executor gets a task, when to try again, and when to give it up.

How to call it: make one `Node` with a host and the settings; then call one method for each thing that
happens (`task_arrived`, `ended`, `heard`, ...), with the time in seconds first. It acts only through its host
(`firwalk/policy/interface.py`); timers come back as calls of the function that was set. Departures:
`docs/design.md`.
"""

from __future__ import annotations

from collections import deque
from math import exp, log
from typing import Any
from zlib import crc32

from firwalk.policy.candidates import Candidates
from firwalk.policy.interface import DeduplicationScope, EndpointState, Host, Idempotency, Outcome

WEIGHT, KIND_WEIGHT = 0.2, 0.05  # of a new sample in a speed (the design's start); of that in its kind's
FLOOR = 0.1  # least (1 - utilisation) that an estimate is divided by (the design's start)
REPORT_AGE, STALE = 10.0, 0.3  # seconds in which reports settle, alone; others' load's fade in one without
LAG_WEIGHT, COMMON_WEIGHT = 0.5, 0.1  # of a start's unexplained delay in an executor's lag, and in its zone's
LAG_FADE = 3.0  # seconds in which a lag without news fades to nothing
PARTS = 3.0  # times its mean part of all traffic that a node may have without a report showing it
SHARE_WINDOW, LEAST_SHARE = 3.0, 5.0  # seconds of its share that a tenant may use at once; tasks, anyhow
FAULTS = {
    Outcome.ERROR: 0.3,
    Outcome.CONNECT_FAILED: 0.3,
    Outcome.CONNECTION_LOST: 0.15,
}  # weights in share of errors
ERROR_LIMIT = 0.45  # share of errors at which it is set aside: two close together, never one alone
STRIKES, MISSED = 2, 3  # signs of silence that set one aside; executors out of reach with which a zone is
AWAY, MOST_AWAY = 3.0, 0.34  # seconds set aside, plus as long by chance; share of the ready ones at once
PROBE_EVERY, PART_WEIGHT = 1.0, 0.3  # seconds between rounds; of each one's view in this node's part of all
PROBES_NEAR, PROBES_FAR = 2, 1  # probes for each task and each round, in the own zone and in others
FEW = 10  # nodes that call for lists, open connections and judge errors each by itself
CALL_GAP, FIRST_CALLS = 0.1, 1.0  # seconds: of more nodes, between calls; in which first calls are spread
LIST_RETRY, LIST_RETRY_MOST, SILENT_SPREAD = 0.35, 2.0, 0.7  # seconds: to the next call; after silence
COLD_PART, HEAVY_PART, FIRSTS = 0.4, 0.15, 2.0  # of what a cold one bears: all's; a task's; of it, all firsts
OVERLOAD = 1.25  # times what all bear that a node's work, by the number of nodes, may come to unreduced
HOMES, SETUP, MOST_KEYS = 3, 1.0, 4096  # executors for a key; mean tasks' work that others cost more; kept
KEYS_AT_FIRST, REPEATS, REPEAT_WEIGHT = 0.3, 0.1, 0.02  # share of keys that came before; at least; of one
GOLDEN, TIES = 0.6180339887, 4  # spreads draws of cold executors; ones without own work that are compared
TRUST, HINT_WEIGHT = 4.0, 0.01  # tasks' weight of the trust in hints at first; least of a hint in their means
WARNED, FULL_PAUSE = 6.0, 0.3  # seconds last for what cannot repeat, after an error; unsent, after a full one
MOVES, MOST_MOVES = 0.2, 3.0  # moves that a new task adds to what may be placed anew; the most that add up


class RequestClass:
    """A kind of task: when answers are wanted, what they earn, what a repeat would do."""

    def __init__(
        self,
        latency_objective: float,
        deadline: float,
        *,
        priority_weight: float = 1.0,
        idempotency: Idempotency = Idempotency.NON_IDEMPOTENT,
        deduplication_scope: DeduplicationScope = DeduplicationScope.CELL,
        key_ttl: float = 0.0,
        objective_stretch: float = 0.0,
        work_kind: int = -1,
    ):
        self.latency_objective, self.deadline, self.priority_weight = (
            latency_objective,
            deadline,
            priority_weight,
        )
        self.idempotency, self.deduplication_scope, self.key_ttl = idempotency, deduplication_scope, key_ttl
        self.objective_stretch, self.work_kind, self.most = objective_stretch, work_kind, 0.0
        self.met, self.log_mean, self.log_spread = 0, 0.0, 0.0  # of the hints that arrived
        self.finished, self.log_hint, self.log_work = 0, 0.0, 0.0  # of the tasks that finished
        self.hint_spread = self.together = TRUST

    def cost(self, hint: float) -> float:
        """Where hints miss they are drawn to the offering's mean, as far as finished tasks show."""
        self.met += 1
        part, x = max(1.0 / self.met, HINT_WEIGHT), log(hint)
        off = x - self.log_mean
        self.log_mean += part * off
        self.log_spread += part * (off * off * (1.0 - part) - self.log_spread)
        slope = min(max(self.together / self.hint_spread, 0.0), 1.0)
        return exp(self.log_mean + slope * (x - self.log_mean) + (1.0 - slope * slope) * self.log_spread / 2)

    def learn(self, hint: float, work: float) -> None:
        """The slope of the finished work over its hint, both in logarithms."""
        x, y, self.finished = log(hint), log(work), self.finished + 1
        off = x - self.log_hint
        self.log_hint += off / self.finished
        self.log_work += (y - self.log_work) / self.finished
        self.hint_spread += off * (x - self.log_hint)
        self.together += off * (y - self.log_work)


class Tenant:
    """A customer and its share, in tasks a second over all nodes."""

    def __init__(self, quota: float):
        self.quota, self.tokens, self.at = quota, LEAST_SHARE, 0.0

    def within(self, now: float, part: float) -> bool:
        """Whether one more task is inside this node's part of the share, by a bucket of some seconds."""
        rate = self.quota * part
        self.tokens = min(self.tokens + rate * (now - self.at), max(rate * SHARE_WINDOW, LEAST_SHARE))
        within, self.at = self.tokens >= 1.0, now
        self.tokens -= within
        return within


class Attempt:
    """One sending of a task to one executor."""

    def __init__(self, request: Request, executor: Executor, sent_at: float, estimate: float, wait: float):
        self.request, self.executor, self.number, self.started_at = (
            request,
            executor,
            len(request.attempts),
            0.0,
        )
        self.sent_at, self.estimate, self.wait, self.is_in_flight, self.may_have_run = (
            sent_at,
            estimate,
            wait,
            True,
            True,
        )


class Request:
    """What a client asked for, until its one final answer and the end of its last assignment."""

    def __init__(
        self,
        ref: object,
        request_class: RequestClass,
        hint: float,
        cost: float,
        slots: float,
        draw: float,
        objective_at: float,
        deadline: float,
    ):
        self.ref, self.request_class, self.hint, self.cost = ref, request_class, hint, cost
        self.slots, self.work = slots, cost * slots  # slots that it takes for as long as it runs
        self.objective_at, self.deadline, self.draw = (
            objective_at,
            deadline,
            draw,
        )  # its draw: which cold executors it may go to
        self.attempts, self.sticky_executors = [], ()  # homes: executors that may keep what its key needs
        self.in_flight, self.is_open, self.bound, self.value, self.max_attempts, self.preferred_zone = (
            0,
            True,
            False,
            0.0,
            1,
            None,
        )


class Zone:
    """One zone: the lag of those met lately, others' load of a slot, those out of reach since one was not."""

    def __init__(self) -> None:
        self.lag, self.lag_at, self.mean, self.missed, self.away_until = 0.0, 0.0, 0.0, [], 0.0

    def lag_now(self, now: float) -> float:
        return self.lag * max(1.0 - (now - self.lag_at) / LAG_FADE, 0.0)


class SpeedEstimate:
    """A speed, as the ratio of smoothed cost to smoothed time, so that light tasks do not rule it."""

    def __init__(self, speed: float):
        self.speed, self.cost_mean, self.time_mean, self.slots, self.met = speed, 0.0, 0.0, 1.0, 0

    def learn(self, cost: float, took: float, weight: float) -> None:
        if not self.met:
            self.cost_mean, self.time_mean = cost, cost / self.speed
        self.met += 1
        self.cost_mean += weight * (cost - self.cost_mean)
        self.time_mean += weight * (took - self.time_mean)
        self.speed = self.cost_mean / self.time_mean


class Executor(SpeedEstimate):
    """A worker as this node sees it."""

    def __init__(self, ref: object, kind: int, zone: Zone, cell: int, speed: float, draw: float):
        super().__init__(speed)
        self.ref, self.kind, self.zone, self.cell, self.draw = ref, kind, zone, cell, draw  # draw: while cold
        self.condition, self.came_up, self.cold_until, self.unused = EndpointState.REMOVED, 0.0, 0.0, False
        self.work, self.held, self.others, self.idle = 0.0, 0.0, 0.0, 0  # own estimates, slots; connections
        self.used_mean, self.held_mean, self.reported_at, self.warned_at = 0.0, 0.0, 0.0, -WARNED
        self.lag, self.lag_at, self.errors, self.strikes = 0.0, 0.0, 0.0, 0  # lag: of starts, unexplained
        self.away_until, self.full_until, self.on_trial = 0.0, 0.0, False
        self.sent_cold: deque[tuple[float, float]] = deque(maxlen=64)  # when, and work, while cold

    def rate(self) -> float:
        return self.speed * max(1.0 - self.others / self.slots, FLOOR)

    def report(self, now: float, values: dict[str, float], part: float) -> None:
        """The load of others only: own work, in the sum already, would count twice (the paper's word)."""
        held, free, busy = (values.get(word) for word in ("held", "free_slots", "busy"))
        if free is not None:
            self.slots = max(self.slots, round(free), round(held + free) if held and held <= free else 1.0)
        elif held is None and busy is None:
            return
        used = held if held is not None else self.slots - free if busy is None else busy * self.slots
        weight = (now - self.reported_at) / (now - self.reported_at + REPORT_AGE * part)
        self.used_mean += weight * (used - self.used_mean)
        self.held_mean += weight * (self.held - self.held_mean)
        self.reported_at = now
        self.others = max(self.used_mean - self.held_mean, 0.0)

    def lag_now(self, now: float, common: float) -> float:
        """Without news it fades to the common one: when all are late, moving tasks to those only churns."""
        return common + (self.lag - common) * max(1.0 - (now - self.lag_at) / LAG_FADE, 0.0)


class Policy:
    """One dispatcher: all it knows for as long as it lives; one method for each thing that happens."""

    def __init__(
        self,
        host: Host,
        seed: int,
        now: float,
        *,
        own_number: int,
        nodes: int,
        zone: int,
        tick: float,
        copies: bool,
        may_cancel: bool,
        may_probe: bool,
        reports: str,
        tells_start: bool,
        must_ask: bool,
        sized: bool,
        marked: bool,
        cold_from: float,
        cold_for: float,
        fall_multiple: float,
        fall_window: float,
        ask_within: float,
        peers: bool,
        **tunable: Any,
    ):
        self.reconfigure(**tunable)
        self.host, self.seed, self.counter, self.nodes = host, seed, 0, nodes
        self.zone, self.pace = Zone(), min(max(nodes - FEW, 0) * CALL_GAP, ask_within / 3)  # of list calls
        self.zones, self.kinds, self.keys = {zone: self.zone}, {}, {}  # of keys, their executors
        self.tick, self.tells_start, self.sized, self.marked = tick, tells_start, sized, marked
        self.copies, self.may_cancel, self.may_probe = copies, may_cancel, may_probe
        self.warns, self.moves, self.fall_window = peers and nodes > FEW, MOST_MOVES, fall_window
        self.asks = reports == "on_probe" and may_probe
        self.reports_count = self.asks or not tells_start  # else older than starts
        self.part, self.capacity, self.fall_multiple = 1.0 / nodes, 1.0, fall_multiple  # its part of all work
        self.offered, self.offered_at, self.began, self.repeats, self.lists = 0.0, now, now, KEYS_AT_FIRST, 0
        self.cold_from, self.cold_for = cold_from, cold_for
        self.candidates = Candidates()  # whom a choice looks at, where there are many
        self.executors, self.near, self.far = [], [], []  # all; those ready in the own zone; and in others
        self.near_at = self.far_at = int(self._chance() * 4294967296.0)  # where the next probes go
        self.mean_cost, self.mean_value, self.misses, self.met, self.ask_within = 0.0, 0.0, 0, 0, ask_within
        first = now + (tick + min(self.pace, FIRST_CALLS) / nodes) * own_number
        host.set_timer(first, lambda *_: host.watch_endpoints(True), None) if must_ask else None
        host.set_timer(now + (own_number + 1) / self.nodes * PROBE_EVERY, self._round, None)

    def _chance(self) -> float:
        self.counter += 1
        return crc32(b"%d:%d" % (self.seed, self.counter)) / 4294967296.0

    def reconfigure(
        self,
        request_classes: list[RequestClass],
        tenants: list[Tenant],
        most: int,
        longest_advice: float,
        beyond_share: float,
        by_work: bool,
        crossing: float,
        handshake: float,
    ) -> None:
        """Other settings from now on. A task under way keeps its offering and number of assignments."""
        self.request_classes, self.tenants, self.max_attempts = request_classes, tenants, most
        self.max_retry_after, self.beyond_share, self.by_work = longest_advice, beyond_share, by_work
        self.crossing, self.handshake = crossing, handshake

    def new_executor(
        self, ref: object, kind: int, zone: int, cell: int, size: float, mark: int = 0
    ) -> Executor:
        """At first it has the mean speed of its kind, or of all, or 1; and one slot, if no size is listed."""
        known = [pace.speed for pace in self.kinds.values() if pace.met] or [1.0]
        pace = self.kinds.setdefault(kind, SpeedEstimate(sum(known) / len(known)))
        draw, place = len(self.executors) * GOLDEN % 1.0, self.zones.setdefault(zone, Zone())
        executor = Executor(ref, kind, place, cell, pace.speed, draw)
        executor.slots = max(pace.slots, round(size) if self.sized else 1.0)
        executor.mark, executor.size = mark, size if self.sized else 1.0
        self.executors.append(executor)
        self.candidates.met(executor)
        return executor

    def endpoint_changed(
        self, now: float, executor: Executor, condition: EndpointState, came_up: float
    ) -> None:
        if condition is not executor.condition:
            self.candidates.changes(executor, executor.condition is EndpointState.READY)
        executor.condition = condition
        if condition is EndpointState.READY and came_up > executor.came_up:
            executor.came_up, executor.cold_until, executor.unused = came_up, came_up + self.cold_for, True
            executor.others, executor.errors, executor.strikes, executor.away_until = 0.0, 0.0, 0, 0.0
            executor.sent_cold.clear()
            self.candidates.restarted(executor)

    def endpoint_list_received(self, now: float) -> None:
        self.lists, self.misses = self.lists + 1, 0
        if self.candidates.take_in(self.zone):
            return  # what all bear is counted anew each second
        ready = [e for e in self.executors if e.condition is EndpointState.READY]
        self.near = [e for e in ready if e.zone is self.zone]
        self.far = [e for e in ready if e.zone is not self.zone]
        self.candidates.listed(self.near, self.far)
        self.capacity = sum(e.slots * e.speed * self._warmth(now, e) for e in ready) or 1.0

    def endpoint_list_failed(self, now: float, silent: bool = False) -> None:
        """Its service works off all calls in turn, late ones too: asked at the pace of one node, for ever."""
        turned_down, self.misses = self.misses + (not silent), self.misses + 1
        wait = min(LIST_RETRY * 2.0 ** min(turned_down, 9) + self.pace * turned_down, LIST_RETRY_MOST)
        wait = (0.5 + self._chance()) * wait if turned_down else self._chance() * SILENT_SPREAD
        self.host.set_timer(now + wait, lambda *_: self.host.watch_endpoints(True), None)

    def request_arrived(
        self,
        now: float,
        ref: object,
        request_class: int,
        tenant: int,
        budget: float,
        cost: float,
        slots: float,
        memory: float,
        again: bool,
        key: bytes = b"",
    ) -> Request:
        kind, hint = self.request_classes[request_class], cost or max(slots, 1.0)
        cost = kind.cost(hint)
        kind.most = max(kind.most, budget)
        gone = max((kind.deadline if self.marked else kind.most) - budget, 0.0)
        due = (
            kind.latency_objective
            + kind.objective_stretch * cost
            - (gone if again or not self.marked else 0.0)
        )
        request = Request(
            ref, kind, hint, cost, max(slots, 1.0), self._chance(), now + min(due, budget), now + budget
        )  # its client waits no longer
        request.sticky_executors = self._homes(key) if key else ()
        value = kind.priority_weight * (request.work if self.by_work else 1.0)
        self._offered(now, request.work)
        self.moves = min(self.moves + MOVES, MOST_MOVES)
        part = 0.02 if self.mean_cost else 1.0
        self.mean_cost += part * (request.work - self.mean_cost)
        self.mean_value += part * (value - self.mean_value)
        beyond = (
            self.beyond_share < 1.0
            and 0 <= tenant < len(self.tenants)
            and not self.tenants[tenant].within(now, max(self.part, PARTS / self.nodes))
        )
        terms = self.host.admission_weight(
            request
        )  # by what nodes decide in common; 0: it is turned away, unsent
        request.value, request.max_attempts = (
            value * (self.beyond_share if beyond else 1.0) * terms,
            self.max_attempts,
        )
        self._place(now, request) if terms else self._give_up(now, request)
        if self.asks:
            self._probe()  # for the next task; before the choice, those without an answer yet would be first
        return request

    def _place(self, now: float, request: Request) -> None:
        large = self.candidates.large
        among = self.candidates.in_slow_start(now, self._chance()) if large else self.near + self.far
        turns = [
            e
            for e in among
            if e.cold_until > now
            and not e.held
            and e.condition is EndpointState.READY
            and (e.unused or e.zone is self.zone)
            and self._cold_room(now, e, request)
        ]
        executor = turns and self._choose(now, request, turns) or self._choose(now, request, self._order())
        if (executor is None or not self._send(now, request, executor)) and not request.in_flight:
            self._give_up(now, request)  # in a queue it would only make those behind it late too

    def _choose(
        self, now: float, request: Request, among: list[Executor], anew: bool = False
    ) -> Executor | None:
        """The ordinary path: least own outstanding estimated work plus Recv, among those in time."""
        best, best_load, best_answer, ties = None, 0.0, 0.0, 0
        cost, left, kind, own = (
            request.cost,
            request.objective_at - now,
            request.request_class.work_kind,
            request.preferred_zone or self.zone,
        )
        # What earns less for its work than the mean may wait only that part of its slack, or dear ones wait.
        part = min(request.value * self.mean_cost / (request.work * self.mean_value), 1.0) ** 2
        price = max(left, 0.0) * self.mean_value / max(request.value, 1e-9)  # Recv, as time
        recv, opening = price * self.crossing, price * self.handshake
        near = self.crossing * self.mean_value > request.value and self.near and own is self.zone
        side, setup = request.request_class.idempotency is Idempotency.NON_IDEMPOTENT, SETUP * self.mean_cost
        commons = {zone: zone.lag_now(now) for zone in self.zones.values()}
        for executor in among if own is self.zone else sorted(among, key=lambda e: e.zone is not own):
            load = (0.0 if executor.zone is own else recv) + (0.0 if executor.idle else opening)
            load += setup if request.sticky_executors and executor not in request.sticky_executors else 0.0
            if best is not None and load > best_load or near and executor.zone is not own:
                continue
            load += executor.work / executor.slots
            if side and now < executor.warned_at + WARNED:
                load += left
            if self.tells_start:  # what others have waiting is not in the own sum
                load += executor.lag_now(now, commons[executor.zone])
            away = max(executor.away_until, executor.full_until, executor.zone.away_until)
            if best is not None and load > best_load or away > now:
                continue
            if executor.on_trial and (executor.held or side) or kind >= 0 and executor.kind != kind:
                continue
            if request.attempts and not self._may_repeat(now, request, executor, anew):
                continue
            speed = executor.speed  # not the rate: a busy executor makes a task wait, it does not run slower
            if executor.cold_until > now:
                if not self._cold_room(now, executor, request):
                    continue
                speed *= self._warmth(now, executor)
            wait = self._wait(now, executor, request.slots)
            if wait <= (left - cost / speed) * part:
                ties = ties + 1 if best is not None and load == best_load else 1
                answer = wait + cost / executor.rate()
                if ties == 1 or answer < best_answer:
                    best, best_load, best_answer = executor, load, answer
                least = commons[executor.zone] + (0.0 if executor.zone is own else recv)
                if ties >= TIES and load <= min(least, recv if self.far else least):
                    break
        return best

    def _homes(self, key: bytes) -> tuple[Executor, ...]:
        """Executors that may keep what a key needs, the same at all nodes (weighted rendezvous hashing)."""
        known, homes = self.keys.pop(key, (0, ()))
        self.repeats += REPEAT_WEIGHT * (bool(homes) - self.repeats)
        if known != self.lists and self.candidates.large:
            homes = self.candidates.following(crc32(key), HOMES)
        elif known != self.lists:
            own = crc32(key)
            ready = sorted(
                self.near + self.far,
                key=lambda e: e.size / log((crc32(b"%d" % (own * e.mark)) + 1) / 4294967298.0),
            )
            homes = tuple(ready[:HOMES])
        self.keys[key] = self.lists, homes
        if len(self.keys) > MOST_KEYS:
            del self.keys[next(iter(self.keys))]  # the one that came longest ago
        return homes if self.repeats > REPEATS else ()

    def _order(self) -> list[Executor]:
        """The own zone first, then the newest reports first: that differs at each node; else by chance."""
        if self.candidates.large:
            return self.candidates.sample(self.zone, self._chance())
        near, far = self.near, self.far
        if not self.asks:
            self.near_at = self.far_at = int(self._chance() * 4294967296.0)
        i, j = self.near_at % (len(near) or 1), self.far_at % (len(far) or 1)
        return near[:i][::-1] + near[i:][::-1] + far[:j][::-1] + far[j:][::-1]

    def _looked_at(self) -> list[Executor]:
        """All that are ready, or, of many, those that a choice would look at now."""
        return self._order() if self.candidates.large else self.near + self.far

    def idle_connections_counted(self, executor: Executor, count: int) -> None:
        """So many of its connections are open and free."""
        executor.idle = count
        if count:
            self.candidates.used(executor)

    def _probe(self) -> None:
        """As many as tasks pay for. A place at an executor serves each node less the more share it."""
        self.near_at = self._ask_some(self.near, self.near_at, PROBES_NEAR)
        self.far_at = self._ask_some(self.far, self.far_at, PROBES_FAR)

    def _ask_some(self, among: list[Executor], at: int, most: int) -> int:
        if self.candidates.large:
            for executor in self.candidates.to_probe(among, at, most):
                self.host.check_health(executor)
            return at + most
        room = (FEW / self.nodes) ** 2 * len(among) - sum(e.idle + e.held > 0 for e in among)
        asked = [
            n
            for n in range(len(among))
            if self.nodes <= FEW or room >= 1.0 or among[(at + n) % len(among)].idle
        ][:most]
        for n in asked:
            self.host.check_health(among[(at + n) % len(among)])
        return at + asked[-1] + 1 if asked else at

    def _wait(self, now: float, executor: Executor, slots: float) -> float:
        """Seconds until so many slots are free, by own tasks there and what reports tell of others'."""
        others = executor.others if self.reports_count else 0.0
        over = executor.held + others + min(slots, executor.slots) - executor.slots
        lag = executor.lag_now(now, executor.zone.lag_now(now)) if self.tells_start else 0.0
        if over <= 0.0 or not executor.held:
            return lag + max(over, 0.0) * self.mean_cost / (executor.speed * executor.slots)
        return lag + over * executor.work / (executor.held * executor.slots)

    def _warmth(self, now: float, executor: Executor) -> float:
        part = max(now - executor.came_up, 0.0) / max(self.cold_for, 0.001)
        return min(self.cold_from + (1.0 - self.cold_from) * part, 1.0)

    def _cold_room(self, now: float, executor: Executor, request: Request, own: float = 0.0) -> bool:
        """No node sees what others send it. Each task has one draw: its part by present capacity of all tasks
        may go there, of a node with more than its part of them so many fewer. In a window a node sends its
        part of what the rule allows, rounded up. Its first there, if light, needs no draw."""
        bears = executor.slots * executor.speed * self._warmth(now, executor)
        allowed = bears * self.fall_multiple * self.fall_window  # in a window, by all nodes together
        if request.work > HEAVY_PART * allowed or executor.held - own + executor.others >= executor.slots:
            return False  # nor a queue: it may be slower than it looks
        sent = sum(work for at, work in executor.sent_cold if at > now - self.fall_window)
        if sent and sent >= allowed / self.nodes:
            return False
        if executor.unused and request.work * self.nodes <= FIRSTS * HEAVY_PART * allowed:
            return True
        part = min(COLD_PART * self.fall_multiple, 1.0) * bears
        all_offered = self._offered(now, 0.0) * self.nodes / OVERLOAD
        return (request.draw + executor.draw) % 1.0 < part / max(self.capacity, all_offered)

    def _offered(self, now: float, work: float) -> float:
        """Work a second that came to this node lately, with some more that comes now."""
        window = max(self.fall_window / 2, 0.5)
        self.offered = self.offered * exp((self.offered_at - now) / window) + work / window
        self.offered_at = now
        return self.offered / max(1.0 - exp((self.began - now) / window), 0.01)  # a new node has seen little

    def _may_repeat(self, now: float, request: Request, executor: Executor, instead: bool = False) -> bool:
        """Rule 2 and the limits on copies, the stricter ones, of a task sent before; `instead`: of one."""
        if len(request.attempts) >= min(self.max_attempts, request.max_attempts):
            return False
        if request.in_flight and not self.copies and not instead:
            return False
        return self._safe_after(now, request, executor, request.attempts)

    def _safe_after(self, now: float, request: Request, executor: Executor, before: list[Attempt]) -> bool:
        """Whether what may have run before makes no second effect possible now, at this executor."""
        idempotency, deduplication_scope = (
            request.request_class.idempotency,
            request.request_class.deduplication_scope,
        )
        for earlier in before:
            if earlier.executor is executor:
                return False
            if not earlier.may_have_run or idempotency is Idempotency.IDEMPOTENT:
                continue
            if (
                idempotency is Idempotency.NON_IDEMPOTENT
                or now > earlier.sent_at + request.request_class.key_ttl - 2 * self.tick
                or deduplication_scope is DeduplicationScope.ZONE
                and earlier.executor.zone != executor.zone
                or deduplication_scope is DeduplicationScope.CELL
                and earlier.executor.cell != executor.cell
            ):
                return False
        return True

    def _send(self, now: float, request: Request, executor: Executor) -> bool:
        """The one gate that every send passes; it keeps the four rules whatever the choice was."""
        if not request.is_open or now >= request.deadline or request.bound:
            return False  # rule 1: nothing after the final answer or the expiry
        if executor.condition is not EndpointState.READY:
            return False  # rule 3: nothing to one that drains or is gone
        if request.attempts and not self._may_repeat(now, request, executor):
            return False  # rule 2: no effect twice
        if executor.cold_until > now and not self._cold_room(now, executor, request):
            return False  # rule 4: a cold one is not pushed over
        estimate, wait = request.work / executor.rate(), self._wait(now, executor, request.slots)
        attempt = Attempt(request, executor, now, estimate, wait)
        request.attempts.append(attempt)
        executor.idle = max(executor.idle - 1, 0)
        if executor.cold_until > now:
            executor.sent_cold.append((now, request.work))
        self.host.send(request, executor, 0.0)
        self.attempt_resumed(now, attempt)
        return True

    def may_start_attempt(self, now: float, attempt: Attempt) -> bool:
        """Whether it may still go out when its connection is up: the executor may drain or be cold by now."""
        request, executor = attempt.request, attempt.executor
        if not self.may_commit_attempt(now, attempt):
            return False
        cold = executor.came_up > attempt.sent_at and executor.cold_until > now
        return executor.condition is EndpointState.READY and (
            not cold or self._cold_room(now, executor, request, own=request.slots)
        )

    def may_commit_attempt(self, now: float, attempt: Attempt) -> bool:
        """Whether its last byte may go out: the window in which a repeat is known may be over by now."""
        before = attempt.request.attempts[: attempt.number]
        return not before or self._safe_after(now, attempt.request, attempt.executor, before)

    def attempt_resumed(self, now: float, attempt: Attempt) -> None:
        """It is out, and counts: sent just now, or before, by another process (of which no mean is known)."""
        request, executor = attempt.request, attempt.executor
        request.in_flight, executor.held = request.in_flight + 1, executor.held + request.slots
        executor.work, executor.unused = executor.work + attempt.estimate, False
        self.candidates.used(executor)
        self.mean_cost, self.mean_value = self.mean_cost or request.work, self.mean_value or request.value
        part = (2 if self.copies else 3) if self.tells_start else 1  # copies add to the load: they come later
        patience = max(request.objective_at - now - request.cost / executor.speed, 0.0) / part
        self.host.set_timer(now + max(patience, 2 * self.tick), self.attempt_overdue, attempt)

    def attempt_overdue(self, now: float, attempt: Attempt) -> None:
        """An assignment shows no start (or, where starts are not told, no end) in the time it had."""
        request, executor = attempt.request, attempt.executor
        if not attempt.is_in_flight or attempt.started_at or request.bound:
            return
        if self.tells_start:
            self._lagged(now, attempt)
        if now - attempt.sent_at > attempt.wait + request.cost / executor.rate():
            executor.strikes += self.tells_start or not self.may_probe
            if executor.strikes >= (STRIKES if self.reports_count else 1) or executor.on_trial:
                self._set_aside(now, executor)
        # Without second copies it is called off first; a cancel may stop nothing, so that both are bounded.
        first = not self.copies and self.tells_start and self.may_cancel
        may = request.is_open and request.in_flight < 2 and (self.moves >= 1.0 or not self.tells_start)
        other = self._choose(now, request, self._order(), first) if may else None
        if other is not None and first:
            self.moves -= 1.0
            self.host.cancel(attempt)
        elif other is not None and self._send(now, request, other):
            self.moves -= self.tells_start
        elif (
            request.is_open
            and self.tells_start
            and not any(a.is_in_flight and a.started_at for a in request.attempts)
        ):
            left = request.objective_at - now - request.cost / executor.speed
            if left > self.tick:
                self.host.set_timer(now + left, self.attempt_overdue, attempt)
            else:
                self._give_up(now, request)

    def attempt_started(self, now: float, attempt: Attempt) -> None:
        attempt.started_at, attempt.executor.strikes = now, 0
        self._lagged(now, attempt)
        for other in attempt.request.attempts:
            if other is not attempt and other.is_in_flight and self.may_cancel and not other.started_at:
                self.host.cancel(other)

    def _lagged(self, now: float, attempt: Attempt) -> None:
        """Where starts are told, their delay shows the others' queue fresher than any report does."""
        by, executor = now - attempt.sent_at - attempt.wait, attempt.executor
        zone, common = executor.zone, executor.zone.lag_now(now)  # else one short of executors spoils all
        executor.lag = max(executor.lag_now(now, common) + LAG_WEIGHT * by, 0.0)
        zone.lag, zone.lag_at, executor.lag_at = max(common + COMMON_WEIGHT * by, 0.0), now, now

    def attempt_ended(
        self,
        now: float,
        attempt: Attempt,
        how: Outcome,
        took: float,
        complete: bool,
        report: dict[str, float] | None,
    ) -> None:
        request, executor = attempt.request, attempt.executor
        attempt.is_in_flight, request.in_flight, executor.held = (
            False,
            request.in_flight - 1,
            executor.held - request.slots,
        )
        executor.work = executor.work - attempt.estimate if executor.held else 0.0
        attempt.may_have_run = how not in (Outcome.AT_CAPACITY, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)
        self._judge(now, attempt, how, took)
        if report:
            executor.report(now, report, self.part)
        if complete:
            self.request_withdrawn(now, request)
        elif now >= request.deadline or request.bound:
            self._give_up(now, request)
        elif request.is_open and (not request.in_flight or how is not Outcome.CANCELLED):
            self._place(now, request)

    def _judge(self, now: float, attempt: Attempt, how: Outcome, took: float) -> None:
        """What an outcome says of its executor."""
        executor, zone = attempt.executor, attempt.executor.zone
        if how in (Outcome.COMPLETED, Outcome.ERROR, Outcome.AT_CAPACITY, Outcome.INVALID):
            executor.idle += 1  # other ends close the connection
            zone.missed.clear()
        elif how is Outcome.CONNECT_FAILED and zone is not self.zone:
            zone.missed += [executor] if executor not in zone.missed else []
            if len(zone.missed) >= MISSED:
                zone.away_until = max(now + AWAY * (1.0 + self._chance()), zone.away_until)
        if how is Outcome.COMPLETED:
            executor.errors -= FAULTS[Outcome.ERROR] * executor.errors
            executor.strikes, executor.on_trial = 0, False
            if attempt.started_at:
                took = now - attempt.started_at
            elif attempt.wait:
                return  # time in a queue is not slowness: such samples made all look slow, and none in time
            took = max(took, self.tick)
            if executor.cold_until > now:
                took *= self._warmth(now, executor)  # else its coldness would count twice
            seen = self.kinds[executor.kind]
            seen.met, seen.slots = seen.met + 1, max(seen.slots, executor.slots)
            seen.speed *= (attempt.request.cost / took / seen.speed) ** max(1.0 / (seen.met + 1), KIND_WEIGHT)
            executor.learn(attempt.request.cost, took, WEIGHT)
            attempt.request.request_class.learn(attempt.request.hint, took * executor.speed)
        elif how is Outcome.AT_CAPACITY:
            executor.full_until = now + FULL_PAUSE
        elif how in FAULTS:
            executor.errors += FAULTS[how] * (1.0 - executor.errors)
            if how is Outcome.ERROR and self.warns:
                self.host.gossip_failure(executor)
                executor.warned_at = now
            if executor.errors > ERROR_LIMIT or how is Outcome.CONNECT_FAILED or executor.on_trial:
                self._set_aside(now, executor, how is Outcome.CONNECT_FAILED)

    def _set_aside(self, now: float, executor: Executor, unreachable: bool = False) -> None:
        """Spare a bad executor for a while, but not so many that the rest tip over, unless out of reach."""
        away = [e.away_until > now for e in self.near + self.far]
        if executor.away_until > now or (sum(away) + 1 > MOST_AWAY * len(away) and not unreachable):
            return
        executor.away_until = now + AWAY * (1.0 + self._chance())
        executor.on_trial, executor.strikes, executor.errors = True, 0, 0.0

    def request_withdrawn(self, now: float, request: Request) -> None:
        """The client left, or has its answer: nothing is owed, and what waits for a slot need not run."""
        out, request.is_open = (
            [a for a in request.attempts if a.is_in_flight and request.is_open and self.may_cancel],
            False,
        )
        for attempt in out:
            self.host.cancel(attempt)

    def _give_up(self, now: float, request: Request) -> None:
        """The one place of final answers: a bounce where a retry is sure to be harmless, else abandoned."""
        if not request.is_open:
            return
        self.request_withdrawn(now, request)
        self.moves = 0.0  # where tasks are turned away there is no room that moves could find
        ran = any(a.may_have_run and self.host.may_have_reached(a) for a in request.attempts)
        idempotency, deduplication_scope = (
            request.request_class.idempotency,
            request.request_class.deduplication_scope,
        )
        if (
            not ran
            or idempotency is Idempotency.IDEMPOTENT
            or (idempotency, deduplication_scope) == (Idempotency.KEYED, DeduplicationScope.ALL)
        ):
            wait = min((self._wait(now, e, request.slots) for e in self._looked_at()), default=AWAY)
            self.host.reject(request, min(max(wait, self.tick), self.max_retry_after))
        else:
            self.host.fail(request)

    def health_check_ended(
        self, now: float, executor: Executor, how: Outcome, took: float, report: dict[str, float] | None
    ) -> None:
        if how is Outcome.COMPLETED and report:
            executor.report(now, report, self.part)
        elif how not in (Outcome.COMPLETED, Outcome.AT_CAPACITY):
            executor.strikes += 1
            if executor.strikes >= STRIKES or how is Outcome.CONNECT_FAILED:
                self._set_aside(now, executor)

    def _round(self, now: float, _: None) -> None:
        """Without news others' load fades to the mean of its zone: old free slots draw hundreds of nodes."""
        held, used, met = 0.0, 0.0, sum(pace.met for pace in self.kinds.values())
        samples, self.met = min((met - self.met) / (len(self.near + self.far) or 1), 1.0), met
        sums = {zone: [0.0, 0.0] for zone in self.zones.values()}
        for executor in self.near + self.far:
            held, used, zone = held + executor.held_mean, used + executor.used_mean, sums[executor.zone]
            if self.asks and executor.cost_mean and not executor.held:  # one heavy task barred it for ever
                took = executor.cost_mean / self.kinds[executor.kind].speed
                executor.learn(executor.cost_mean, took, WEIGHT * samples)
            if self.asks and not executor.met:  # at a task a second, most of dozens for a long time
                pace = self.kinds[executor.kind]
                executor.speed, executor.slots = pace.speed, max(executor.slots, pace.slots)
            if executor.cold_until < now:  # the empty slots of cold ones would make full ones look free
                zone[0], zone[1] = zone[0] + executor.others, zone[1] + executor.slots
            if executor.reported_at < now - PROBE_EVERY:
                executor.others += STALE * (executor.zone.mean * executor.slots - executor.others)
        for zone, (others, slots) in sums.items():
            zone.mean = others / slots if slots else 0.0
        if used > 1.0:  # this node's part of the work, as the reports show it
            self.part += PART_WEIGHT * (min(max(held / used, 0.5 / self.nodes), 1.0) - self.part)
        self.capacity = sum(e.slots * e.speed * self._warmth(now, e) for e in self.near + self.far) or 1.0
        if self.asks:
            self._probe()
        self.host.set_timer(now + PROBE_EVERY, self._round, None)

    def peer_reported_failure(self, now: float, executor: Executor) -> None:
        """It is the last for what cannot be repeated. Others may try it: an error at once costs little."""
        executor.warned_at = now
