"""A simulated node: the host of a policy on the simulator's wire.

Maps ids of the wire to objects, and its units to seconds; all decisions are made by `firwalk.policy.policy`.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any
from zlib import crc32

from firwalk.config.node_config import SECONDS_PER_US, JsonObject, section
from firwalk.config.policy_settings import LOAD_REPORT_FIELDS, build_policy
from firwalk.dispatcher import failure_gossip
from firwalk.limits.text_size import truncate
from firwalk.policy.executor import Executor, LoadReport
from firwalk.policy.interface import EndpointState
from firwalk.policy.request import Attempt, Request
from firwalk.wirehost import codec

Fields = tuple[Any, ...]  # the fixed part of a record, without its code
Timer = tuple[Callable[[float, Any], None], Any]  # the callback, and its second argument


class WireNode:
    """A node: its objects by their ids on the wire, and the host of its policy."""

    def __init__(
        self,
        node_number: int,
        seed: int,
        settings: JsonObject,
        now: float,
        reply_records: list[bytes],
        endpoint_lists: dict[int, list[Fields]],
    ) -> None:
        self.node_number = node_number
        self.reply_records = reply_records  # records of the reply
        self.endpoint_lists = endpoint_lists  # endpoint lists, shared by all nodes of the wire
        self.requests: dict[int, Request] = {}
        self.executors: dict[bytes, Executor] = {}
        self.timers: dict[int, Timer] = {}
        self.last_timer_id = 0
        self.executor_index: failure_gossip.ExecutorIndex[Executor] = failure_gossip.ExecutorIndex()
        names = section(settings, "load-report").get("names", [])
        self.load_report_fields = [LOAD_REPORT_FIELDS.get(name, name) for name in names]
        self.policy = build_policy(self, seed, settings, now)

    # -- actions of the policy: `firwalk.policy.interface.Host` ------------------------------------------

    def send(self, request: Request, executor: Executor, limit: float) -> None:
        """Send the request to the executor."""
        self.reply_records.append(
            codec.HAND_OFF.pack(
                codec.DO_HAND_OFF, self.node_number, request.handle, executor.handle, _microseconds(limit)
            )
        )

    def admission_weight(self, request: Request) -> float:
        """Return 1.0: simulated nodes form no cluster, so no plan applies."""
        return 1.0

    def reject(self, request: Request, wait: float) -> None:
        """Answer finally that a retry is harmless."""
        self.reply_records.append(
            codec.OVERLOAD_REPLY.pack(
                codec.DO_OVERLOAD_REPLY, self.node_number, request.handle, _microseconds(wait)
            )
        )
        self._forget_if_ended(request)

    def fail(self, request: Request) -> None:
        """Answer finally that the outcome is unknown."""
        self.reply_records.append(codec.GIVE_UP.pack(codec.DO_GIVE_UP, self.node_number, request.handle))
        self._forget_if_ended(request)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt in flight."""
        self.reply_records.append(
            codec.CALL_OFF.pack(codec.DO_CALL_OFF, self.node_number, attempt.request.handle, attempt.number)
        )

    def may_have_reached(self, attempt: Attempt) -> bool:
        """Return True: the wire does not report it."""
        return True

    def check_health(self, executor: Executor) -> None:
        """Request a load report."""
        self.reply_records.append(codec.PING.pack(codec.DO_PING, self.node_number, executor.handle))

    def close_idle_connections(self, executor: Executor) -> None:
        """Close this node's idle connections to an executor."""
        self.reply_records.append(codec.PING.pack(codec.DO_SHUT_IDLE, self.node_number, executor.handle))

    def set_timer(self, when: float, act: Callable[[float, Any], None], about: Any) -> None:
        """Call `act(now, about)` at `when` or soon after."""
        self.last_timer_id += 1
        self.timers[self.last_timer_id] = (act, about)
        due_us = int(when * 1e6) + 1
        self.reply_records.append(
            codec.DEFER.pack(codec.DO_DEFER, self.node_number, due_us, self.last_timer_id)
        )

    def gossip_failure(self, executor: Executor) -> None:
        """Tell all other nodes that the executor returned an error."""
        content = failure_gossip.executor_checksum(executor.handle)
        head = codec.ANNOUNCE.pack(codec.DO_ANNOUNCE, self.node_number, codec.EVERY_PEER, len(content))
        self.reply_records.append(head + content)

    def watch_endpoints(self, on: bool) -> None:
        """Open or close the watch of the endpoint list."""
        self.reply_records.append(codec.WATCH.pack(codec.DO_WATCH, self.node_number, on))

    def fetch_endpoints(self) -> None:
        """Fetch the complete endpoint list once."""
        self.reply_records.append(codec.QUERY_ALL.pack(codec.DO_QUERY_ALL, self.node_number))

    def log_line(self, line: str) -> None:
        """Write a line for the operators."""
        text = truncate(line, codec.MAX_TEXT_SIZE).encode()
        self.reply_records.append(codec.TEXT.pack(codec.DO_TRACE, self.node_number, len(text)) + text)

    # -- events from the simulator -----------------------------------------------------------------------

    def handle(self, code: int, fields: Fields, content: bytes, now: float) -> None:
        """Handle an event of this node; raises any exception of the policy."""
        handler = HANDLERS.get(code)
        if handler is not None:
            handler(self, now, fields, content)

    def _handle_timer(self, now: float, fields: Fields, content: bytes) -> None:
        act, about = self.timers.pop(fields[1])
        act(now, about)

    def _handle_request(self, now: float, fields: Fields, content: bytes) -> None:
        _, request_id, request_class, tenant, key, budget_us, cost_us, slots, memory, flags = fields
        request = self.policy.request_arrived(
            now,
            request_id,
            request_class,
            tenant,
            budget_us * SECONDS_PER_US,
            cost_us * SECONDS_PER_US if flags & codec.ITEM_HAS_COST and cost_us else 0.0,
            slots,
            memory,
            bool(flags & codec.ITEM_IS_RETRY),
            b"%d" % key if key else b"",
        )
        if request.is_open or request.in_flight:
            self.requests[request_id] = request

    def _handle_response(self, now: float, fields: Fields, content: bytes) -> None:
        _, request_id, _, took_us, _, is_complete, attempt, outcome, _ = fields
        report = self._read_load_report(content)
        request = self.requests[request_id]
        self.policy.attempt_ended(
            now,
            request.attempts[attempt],
            codec.OUTCOMES[outcome],
            took_us * SECONDS_PER_US,
            is_complete,
            report,
        )
        if not request.is_open:
            self._forget_if_ended(request)

    def _handle_progress(self, now: float, fields: Fields, content: bytes) -> None:
        _, request_id, _, _, progress, attempt = fields
        request = self.requests.get(request_id)
        if request is None:
            return
        if progress == codec.HINT_STARTED:
            self.policy.attempt_started(now, request.attempts[attempt])
        elif progress == codec.HINT_RUNNING:
            request.attempts[attempt].executor.strikes = 0

    def _handle_answer_begun(self, now: float, fields: Fields, content: bytes) -> None:
        _, request_id, attempt, _, _ = fields
        self.requests[request_id].attempts[attempt].request.is_committed = True

    def _handle_client_left(self, now: float, fields: Fields, content: bytes) -> None:
        request = self.requests.get(fields[1])
        if request is not None:
            self.policy.request_withdrawn(now, request)
            self._forget_if_ended(request)

    def _handle_health_check(self, now: float, fields: Fields, content: bytes) -> None:
        _, address, outcome, took_us, _ = fields
        report = self._read_load_report(content)
        self.policy.health_check_ended(
            now, self.executors[address], codec.OUTCOMES[outcome], took_us * SECONDS_PER_US, report
        )

    def _handle_gossip(self, now: float, fields: Fields, content: bytes) -> None:
        executor = self.executor_index.find(content)
        if executor is not None:
            self.policy.peer_reported_failure(now, executor)

    def _handle_endpoint_list(self, now: float, fields: Fields, content: bytes) -> None:
        _, scope, _, list_number = fields
        if scope == codec.TARGETS_FAILED:
            self.policy.endpoint_list_failed(now)
            return
        listed = self._apply_entries(now, self.endpoint_lists[list_number])
        if scope != codec.TARGETS_UPDATE:
            for address, executor in self.executors.items():
                if address not in listed:
                    self.policy.endpoint_changed(now, executor, EndpointState.REMOVED, executor.started_at)
        self.policy.endpoint_list_received(now)

    def _apply_entries(self, now: float, entries: list[Fields]) -> set[bytes]:
        """Apply the entries of an endpoint list; return the addresses of their executors."""
        listed = set()
        for kind, zone, condition, weight, address, started_us, cell in entries:
            executor = self.executors.get(address)
            if executor is None:
                executor = self.policy.new_executor(address, kind, zone, cell, weight, crc32(address))
                self.executors[address] = executor
                self.executor_index.add(address, executor)
            listed.add(address)
            self.policy.endpoint_changed(
                now, executor, codec.CONDITIONS[condition], started_us * SECONDS_PER_US
            )
        return listed

    def _read_load_report(self, content: bytes) -> LoadReport | None:
        if not content:
            return None
        values = codec.FLOATS[len(content) // codec.FLOAT_SIZE].unpack(content)
        return dict(zip(self.load_report_fields, values, strict=False))

    def _forget_if_ended(self, request: Request) -> None:
        if not request.in_flight:
            self.requests.pop(request.handle, None)


Handler = Callable[[WireNode, float, Fields, bytes], None]

HANDLERS: dict[int, Handler] = {
    codec.TIMER: WireNode._handle_timer,
    codec.ITEM: WireNode._handle_request,
    codec.RESPONSE: WireNode._handle_response,
    codec.HINT: WireNode._handle_progress,
    codec.PINGED: WireNode._handle_health_check,
    codec.TARGETS: WireNode._handle_endpoint_list,
    codec.DROPPED: WireNode._handle_client_left,
    codec.ESTABLISHED: WireNode._handle_answer_begun,
    codec.SAID: WireNode._handle_gossip,
}


def _microseconds(seconds: float) -> int:
    return min(max(int(seconds * 1e6), 0), codec.MAX_MICROSECONDS)
