"""The cluster's datagrams and timers on the node's loop. Decides nothing.

Loaded only with an operators' file.

Datagrams share the socket of the warnings (`firwalk.net.peers`), which hands over what is longer than one.
"""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

import orjson

from firwalk.cluster import messages
from firwalk.cluster.cluster_member import ClusterMember
from firwalk.cluster.plan_enforcement import PlanEnforcer
from firwalk.cluster.zones import REGION, Mode
from firwalk.config.operations import LIVE, OperationsConfig
from firwalk.dispatcher.dispatcher import Dispatcher
from firwalk.observability import log
from firwalk.observability.log import log_exception, log_external

VOTER_SILENT = 1.5  # lengths of the lease for which a voter that began must have told, before others go
EARLY = 0.0005  # seconds by which a timer of the loop may be early on the clock


class Cluster:
    """One seat of the fleet, for as long as this process speaks for the node. Each start is a new life."""

    def __init__(
        self,
        operations: OperationsConfig,
        config: dict,
        send: Callable[[bytes, tuple[str, int]], None],
        addresses: list[tuple[str, int]],
        dispatcher: Dispatcher,
    ):
        self.operations, self.send, self.addresses, self.dispatcher = operations, send, addresses, dispatcher
        self.zone, self.zones = config["settings"].get("az", 0), config["settings"].get("azs") or []
        self.number = config["settings"].get("self-index", 0)
        self.fleet = messages.cluster_checksum(operations.fleet.name)
        self.seat: ClusterMember | None = None
        self.steering: PlanEnforcer | None = None
        self.spending: Any = None
        self.changing: Any = None
        self.tag: Callable[[], str] = lambda: ""  # of the configuration that is in force
        self.came, self.sent, self.bytes_sent = 0, 0, 0
        self.strangers: Callable[[], int] = lambda: 0  # datagrams from addresses of no seat
        self.dropped: dict[str, int] = {}
        self.loop = asyncio.get_running_loop()

    # -- from start to end ---------------------------------------------------------------------------------

    def start(self) -> None:
        """A voter's silence begins here: what a process before may have granted is over before it grants."""
        told = self.operations
        generation = int.from_bytes(os.urandom(4))
        now = time.monotonic()
        self.seat = ClusterMember(
            _Life(self),
            self.number,
            len(self.addresses),
            generation,
            now,
            voters=told.lease.voters,
            length=told.lease.length,
            drift=told.lease.drift,
            period=told.members.period,
            answer=told.members.answer,
            report=told.plan.report,
            hold=told.plan.hold,
            zones=told.zones.terms(self.zones) if told.zones else None,
            budgets_by=_budgets(told),
        )
        if told.zones or told.budgets:
            zones = len(self.zones) if told.zones else 0
            self.spending = _spending(told, self.seat)
            self.steering = PlanEnforcer(self.seat, self.dispatcher, self.zone, zones, now, self.spending)
        if told.stages:
            self.changing = _changing(self, told)
        if self.changing is not None and self.spending is not None:
            self.changing.contracts_version = self.spending.version
        self.event("began", life=generation)
        self.seat.start(now)
        if self.changing is not None:
            self.changing.start(now)

    def stop(self) -> None:
        """Another process of this node speaks for the seat from now on, or nobody; a lease is given back
        first, so that there are never two in one seat."""
        if self.seat is not None:
            if self.seat.candidate is not None:
                self.seat.candidate.release(time.monotonic())
            self.event("ended")
            self.seat, self.changing, self.dispatcher.rollout_counters = None, None, None
            if self.steering is not None:
                self.steering.stop()  # nobody is told any more: nothing is counted

    def leave(self) -> None:
        """The node ends in good order."""
        if self.seat is not None:
            self.seat.leave(time.monotonic())
            self.stop()

    def reload(self, operations: OperationsConfig) -> list[str]:
        """Takes over what can change live; the names of what needs a restart."""
        before = self.operations
        fixed = [
            name
            for name in before.__struct_fields__
            if getattr(before, name) != getattr(operations, name)
            and (name not in LIVE or name == "zones" and not self._same_zones(operations))
        ]
        kept = {name: getattr(before, name) for name in fixed}
        self.operations = OperationsConfig(
            **{name: kept.get(name, getattr(operations, name)) for name in before.__struct_fields__}
        )
        if self.seat is not None:
            told = self.operations
            self.seat.retuned(
                period=told.members.period,
                answer=told.members.answer,
                report=told.plan.report,
                hold=told.plan.hold,
                zones=told.zones.terms(self.zones) if told.zones else None,
            )
        if self.spending is not None:
            _read_contracts(self.operations, self.spending)
            if self.seat is not None:  # a file that a change wants may have come meanwhile
                self.spending.follow(time.monotonic())
        return fixed

    def _same_zones(self, operations: OperationsConfig) -> bool:
        """What else is told of zones can change live, not which there are, nor whether there is the part."""
        before, after = self.operations.zones, operations.zones
        return before is not None and after is not None and before.regions == after.regions

    # -- what comes ----------------------------------------------------------------------------------------

    def datagram_came(self, data: bytes, number: int) -> None:
        """From the address of that seat in the configuration."""
        if self.seat is None:
            return
        try:
            sender, generation, incarnation, message = messages.decode(self.fleet, data)
            if sender != number:
                raise messages.MalformedMessage("a seat from another's address")
        except messages.MalformedMessage as problem:
            self.drop(str(problem))
            return
        self.came += 1
        try:
            self.seat.received(time.monotonic(), sender, generation, incarnation, message)
        except Exception as problem:
            log_exception("taking a datagram of the cluster", problem)

    def drop(self, why: str) -> None:
        self.dropped[why] = self.dropped.get(why, 0) + 1

    # -- for operators -------------------------------------------------------------------------------------

    def calls(self) -> dict[str, Callable[[], Awaitable[tuple[str, str]]]]:
        """Operators' calls, word for word."""
        found = {"CLUSTER": self._line}
        if self.operations.budgets:
            found["BUDGETS"] = self._budgets
        if self.operations.zones:
            found["ZONE SHOW"] = self._show
            names = list(enumerate(self.zones))
            names += [
                (REGION + number, f"region {name}")
                for number, name in enumerate(self.operations.zones.regions)
            ]
            for number, name in names:
                for word in ("drain", "restore", "dry"):
                    found[f"ZONE {word.upper()} {name}"] = partial(self._wish, word, number)
        if self.operations.stages:
            found["ROLL WANTED"], found["ROLL STATUS"] = self._wanted, self._status
            for word in ("hold", "resume", "back"):
                found[f"ROLL {word.upper()}"] = partial(self._word, word)
        return found

    def calls_with(self) -> dict[str, Callable[[str], Awaitable[tuple[str, str]]]]:
        """Operators' calls with something behind their first two words."""
        if not self.operations.stages:
            return {}
        return {
            "ROLL START ": partial(self._of_file, "start"),
            "ROLL DRY ": partial(self._of_file, "dry"),
            "ROLL PAGE ": self._page,
            "ROLL FAILED ": self._failed,
        }

    async def _wanted(self) -> tuple[str, str]:
        """What the plan in force wants this node to run, and what it runs."""
        if self.changing is None:
            return "", "another process speaks for this node"
        wanted = self.changing.wanted(time.monotonic())
        return f"{wanted} runs {self.changing.release or '-'} {self.tag() or '-'}", ""

    async def _status(self) -> tuple[str, str]:
        section = self.changing.section(time.monotonic()) if self.changing is not None else None
        if section is None:
            return "", "no plan is in force here"
        if not section:
            return "", "no change was ever asked for"
        return orjson.dumps(section).decode(), ""

    async def _of_file(self, word: str, rest: str) -> tuple[str, str]:
        """Checked here first: a fault in the file is told without the coordinator."""
        from firwalk.config import rollout_file

        name, _, page = rest.partition(" ")
        change, check, faults = rollout_file.load_by_name(self.operations.stages.changes, name)
        if change is None:
            return "", "; ".join(faults)
        return await self._word(word, name, check, page)

    async def _page(self, rest: str) -> tuple[str, str]:
        if not rest.isdecimal() or len(rest) > 6:
            return "", "a number is wanted"
        return await self._word("page", "", int(rest))

    async def _failed(self, rest: str) -> tuple[str, str]:
        """The agent could not have what the change of that number wants."""
        number, _, why = rest.partition(" ")
        if not number.isdecimal() or len(number) > 9:
            return "", "the number of a change is wanted, and why"
        return await self._word("failed", "", int(number), why[:100])

    async def _word(self, word: str, name: str = "", check: int = 0, text: str = "") -> tuple[str, str]:
        return await self._coordinator_says(
            lambda now, done: self.seat.word(
                now, word, name[: messages.MAX_ROLLOUT_NAME_CHARS], check, text, done
            )
        )

    async def _line(self) -> tuple[str, str]:
        return self.line(), ""

    async def _show(self) -> tuple[str, str]:
        """By the plan that this node follows."""
        sections = self.seat.follower.now_in_force(time.monotonic()) if self.seat is not None else None
        told = (sections or {}).get("zones")
        if not told:
            return "", "no plan in force tells of zones: all traffic stays near"
        words = []
        for name, (mode, _, drained, _) in zip(self.zones, told["modes"], strict=True):
            number = str(self.zones.index(name))
            shares = told["shares"].get(number, {})
            to = ",".join(f"{self.zones[int(other)]}={part:g}" for other, part in shares.items())
            state = "drained" if drained else Mode(mode).name.lower()
            words.append(f"{name} {state} {to or 'none'}")
        return " ".join(words) + (" panic" if told["panic"] else ""), ""

    async def _budgets(self) -> tuple[str, str]:
        """Each team that has anything at this node."""
        if self.spending is None or self.spending.ledger.contracts is None:
            return "", "no contracts are in force at this node"
        told = self.spending.shown(time.monotonic())
        return "; ".join([f"contracts {self.spending.ledger.contracts.version}", *told]), ""

    async def _wish(self, word: str, number: int) -> tuple[str, str]:
        return await self._coordinator_says(lambda now, done: self.seat.wish(now, word, number, done))

    async def _coordinator_says(
        self, ask: Callable[[float, Callable[[bool, str], None]], None]
    ) -> tuple[str, str]:
        if self.seat is None:
            return "", "another process speaks for this node"
        answer = self.loop.create_future()

        def done(granted: bool, text: str) -> None:
            if not answer.done():
                answer.set_result((text, "") if granted else ("", text))

        ask(time.monotonic(), done)
        return await answer

    def line(self) -> str:
        """One line of how the fleet looks from here."""
        if self.seat is None:
            return "no seat: another process speaks for this node"
        now, seat = time.monotonic(), self.seat
        follower, counts = seat.follower, seat.members.counts()
        term, version = follower.stamp
        known = follower.office != messages.NOBODY
        words = {
            "seat": self.number,
            "seats": len(self.addresses),
            **counts,
            "coordinator": follower.office[1] if known else "none",
            "ballot": ".".join(map(str, term)),
            "version": version,
            "age": f"{now - follower.taken_at:.2f}" if version else "none",
            "plan": "holds" if follower.now_in_force(now) is not None else "over" if version else "none",
            "dropped": sum(self.dropped.values()) + self.strangers(),
        }
        return " ".join(f"{word} {value}" for word, value in words.items())

    def event(self, what: str, **about: Any) -> None:
        """All events as JSON for whoever checks from outside, or lines to be read of those that matter."""
        if self.operations.log.events == "all":
            text = orjson.dumps(
                {
                    "event": what,
                    "at": time.clock_gettime(time.CLOCK_MONOTONIC),
                    "seat": self.number,
                    "life": self.seat.generation if self.seat else 0,
                    **about,
                }
            )
            log.log_unlimited(f"cluster {text.decode()}")
        elif what in WORDS:
            log_external(f"cluster: {WORDS[what].format(**about)}")


def _changing(cluster: Cluster, told: OperationsConfig) -> Any:
    """Imported only where there is the part."""
    from firwalk.cluster.rollout import RolloutPolicy
    from firwalk.cluster.rollout_controller import RolloutController, RolloutCounters
    from firwalk.config import rollout_file

    cluster.dispatcher.rollout_counters = RolloutCounters()
    settle = max(told.stages.settle, VOTER_SILENT * told.lease.length)
    terms = RolloutPolicy(told.stages.at_once, settle, told.plan.report, tuple(cluster.zones))
    return RolloutController(
        cluster.seat,
        cluster.dispatcher.rollout_counters,
        os.environ.get("FIRWALK_RELEASE", ""),
        cluster.tag,
        cluster.zone,
        _memory,
        terms,
        partial(rollout_file.load_by_name, told.stages.changes),
    )


def _memory() -> float:
    """Bytes that this process holds (proc(5): the second number of statm, in pages)."""
    with open("/proc/self/statm") as file:
        return float(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def _budgets(told: OperationsConfig) -> Any:
    """Imported only where there is the part."""
    if told.budgets is None:
        return None
    from firwalk.cluster.quotas import QuotaPolicy

    return QuotaPolicy(told.budgets.length, told.lease.drift, told.budgets.floor)


def _spending(told: OperationsConfig, seat: ClusterMember) -> Any:
    if told.budgets is None:
        return None
    from firwalk.cluster.quota_accounting import QuotaAccounting

    made = QuotaAccounting(seat, time.monotonic, time.time, partial(_brought, told) if told.stages else _none)
    _read_contracts(told, made)
    return made


def _none(version: int) -> None:
    """No changes by stages: nothing is looked for."""


def _brought(told: OperationsConfig, version: int) -> Any:
    """Contracts of a change, by their file in the folder of changes."""
    from firwalk.config import rollout_file

    path = rollout_file.contracts_file(told.stages.changes, version)
    found, faults = rollout_file.load_contracts(path)
    for fault in faults if os.path.exists(path) else ():
        log_external(f"contracts of a change: {fault}")
    return found


def _read_contracts(told: OperationsConfig, spending: Any) -> None:
    """Checked with the operators' file just before; one that was changed since and is bad changes nothing."""
    from firwalk.broker import contracts

    found, faults = contracts.load(told.budgets.contracts)
    for fault in faults:
        log_external(f"contracts stay as they were: {fault}")
    if found is not None:
        spending.has(found)


WORDS = {
    "coordinator": "this node is the coordinator, by ballot {term}",
    "lease_lost": "this node is not the coordinator any more; its ballot was {term}",
    "plan": "follows plan {term}, version {version}",
    "plan_over": "the plan's time is over: each part falls back to what it does without one",
    "zone_wish": "operators: {word} of zone {number}",
    "follows_contracts": "follows contracts {version} (0: it does not have those in force)",
    "contracts_wait": "contracts {version} wait for seats {seats}, which do not have them",
    "runs": "runs release {release!r}, tag {tag!r}, contracts {contracts}",
    "stage": "change {number} {name}: {state}, stage {stage} of {of}, seats on {brings}: {new} {why}",
    "figure": "change {number}, stage {stage}: {figure} of offering {offering:08x}: {new} with the new one,"
    " {old} with the old one, of {of}: {verdict}",
    "spent": "team {team}: {settled} of work spent here, {reserved} under way, {beyond} turned away or served"
    " for nothing, {part} a second may be spent",
    "zone_refused": "zone {number} of the operators' file stays in use: {reason}",
    "zone": "zone {number} is {mode}: {keeps:.0%} of its own tasks count it as theirs",
    "up": "seat {seat} is up, incarnation {incarnation}",
    "suspected": "seat {seat} is suspected by seat {by}",
    "down": "seat {seat} is down",
    "left": "seat {seat} has left",
}


class _Life:
    """The host of one seat's life: after its end nothing of it acts any more."""

    def __init__(self, cluster: Cluster):
        self.cluster = cluster

    def _lives(self) -> bool:
        return self.cluster.seat is not None and self.cluster.seat.host is self

    def tell(self, seat: int, message: messages.Message) -> None:
        cluster = self.cluster
        if cluster.seat is None:
            return
        me = cluster.seat.members.me
        if seat == cluster.number:
            cluster.loop.call_soon(self._own, me.generation, me.incarnation, message)
            return
        data = messages.encode(cluster.fleet, cluster.number, me.generation, me.incarnation, message)
        cluster.sent, cluster.bytes_sent = cluster.sent + 1, cluster.bytes_sent + len(data)
        cluster.send(data, cluster.addresses[seat])

    def _own(self, generation: int, incarnation: int, message: messages.Message) -> None:
        if self._lives():
            self.cluster.seat.received(
                time.monotonic(), self.cluster.number, generation, incarnation, message
            )

    def set_timer(self, when: float, act: Callable[[float, Any], None], about: Any) -> None:
        wait = max(when - time.monotonic(), 0.0)
        self.cluster.loop.call_later(wait, self._due, when, act, about)

    def _due(self, when: float, act: Callable[[float, Any], None], about: Any) -> None:
        if not self._lives():
            return
        now = time.monotonic()
        if now < when - EARLY:  # the clock went back, or runs slower than the loop's
            self.set_timer(when, act, about)
            return
        try:
            act(now, about)
        except Exception as problem:
            log_exception("running a timer of the cluster", problem)

    def event(self, what: str, **about: Any) -> None:
        self.cluster.event(what, **about)
