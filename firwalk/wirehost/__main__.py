"""Runs nodes on the bench's wire: frames in on standard input, one reply a batch on standard output.

Translates ids to objects and the wire's units and words to ours; every decision is `firwalk.policy.policy`'s.
Instances share nothing but the numbered lists that the wire itself shares.
"""

from __future__ import annotations

import sys
from struct import error as StructError
from zlib import crc32

import orjson

from firwalk.config.node_config import MICRO
from firwalk.config.policy_settings import LOAD_REPORT_FIELDS, build_policy
from firwalk.dispatcher import failure_gossip
from firwalk.policy.interface import EndpointState
from firwalk.wirehost import codec as c

LONGEST = 0xFFFFFFFF


def _us(seconds: float) -> int:
    return min(max(int(seconds * 1e6), 0), LONGEST)


class Instance:
    """One node: its objects by id, and the host through which it acts."""

    def __init__(self, number: int, seed: int, settings: dict, now: float, out: list[bytes]):
        self.number, self.out = number, out
        self.requests: dict[int, object] = {}
        self.executors: dict[bytes, object] = {}
        self.timers: dict[int, tuple] = {}
        self.label = 0
        self.marks = failure_gossip.ExecutorIndex()
        self.names = [LOAD_REPORT_FIELDS.get(n, n) for n in settings.get("load-report", {}).get("names", [])]
        self.node = build_policy(self, seed, settings, now)

    # -- the host's side: what the node asks for -------------------------------------------------------

    def send(self, request, executor, limit):
        self.out.append(c.HAND_OFF.pack(c.DO_HAND_OFF, self.number, request.ref, executor.ref, _us(limit)))

    def admission_weight(self, request):
        return 1.0  # each node by itself

    def reject(self, request, wait):
        self.out.append(c.OVERLOAD_REPLY.pack(c.DO_OVERLOAD_REPLY, self.number, request.ref, _us(wait)))
        self._forget(request)

    def fail(self, request):
        self.out.append(c.GIVE_UP.pack(c.DO_GIVE_UP, self.number, request.ref))
        self._forget(request)

    def cancel(self, attempt):
        self.out.append(c.CALL_OFF.pack(c.DO_CALL_OFF, self.number, attempt.request.ref, attempt.number))

    def check_health(self, executor):
        self.out.append(c.PING.pack(c.DO_PING, self.number, executor.ref))

    def may_have_reached(self, attempt):
        return True  # the wire does not tell

    def close_idle_connections(self, executor):
        self.out.append(c.PING.pack(c.DO_SHUT_IDLE, self.number, executor.ref))

    def set_timer(self, when, act, about):
        self.label += 1
        self.timers[self.label] = (act, about)
        self.out.append(c.DEFER.pack(c.DO_DEFER, self.number, int(when * 1e6) + 1, self.label))

    def gossip_failure(self, executor):
        content = failure_gossip.executor_checksum(executor.ref)
        self.out.append(c.ANNOUNCE.pack(c.DO_ANNOUNCE, self.number, c.EVERY_PEER, len(content)) + content)

    def watch_endpoints(self, on):
        self.out.append(c.WATCH.pack(c.DO_WATCH, self.number, on))

    def fetch_endpoints(self):
        self.out.append(c.QUERY_ALL.pack(c.DO_QUERY_ALL, self.number))

    def note(self, line):
        text = line.encode()[: LONGEST & 0xFFFF]
        self.out.append(c.TEXT.pack(c.DO_TRACE, self.number, len(text)) + text)

    # -- the wire's side: what has happened ------------------------------------------------------------

    def _forget(self, request):
        if not request.in_flight:
            self.requests.pop(request.ref, None)

    def item(self, now, xid, band, account, entity, budget, cost, slots, memory, attrs):
        request = self.node.request_arrived(
            now,
            xid,
            band,
            account,
            budget * MICRO,
            cost * MICRO if attrs & 1 and cost else 0.0,
            slots,
            memory,
            bool(attrs & 2),
            b"%d" % entity if entity else b"",
        )
        if request.is_open or request.in_flight:
            self.requests[xid] = request

    def response(self, now, xid, executor, taken, family, complete, trial, how, report):
        request = self.requests[xid]
        self.node.attempt_ended(
            now, request.attempts[trial], c.OUTCOMES[how], taken * MICRO, complete, report
        )
        if not request.is_open:
            self._forget(request)

    def dropped(self, now, xid):
        request = self.requests.get(xid)
        if request is not None:
            self.node.request_withdrawn(now, request)
            self._forget(request)

    def targets(self, now, scope, entries):
        node, known = self.node, self.executors
        if scope == 3:
            node.endpoint_list_failed(now)
            return
        named = {}
        for kind, zone, condition, size, address, came_up, cell in entries:
            executor = known.get(address)
            if executor is None:
                executor = known[address] = node.new_executor(address, kind, zone, cell, size, crc32(address))
                self.marks.add(address, executor)
            named[address] = executor
            node.endpoint_changed(now, executor, c.CONDITIONS[condition], came_up * MICRO)
        if scope:
            for address, executor in known.items():
                if address not in named:
                    node.endpoint_changed(now, executor, EndpointState.REMOVED, executor.started_at)
        node.endpoint_list_received(now)

    def report(self, values):
        return dict(zip(self.names, values, strict=False)) if values else None


class Wire:
    """The loop: takes batches apart in order and writes one reply for each."""

    def __init__(self, source, sink):
        self.source, self.sink = source, sink
        self.instances: dict[int, Instance] = {}
        self.lists: dict[int, list] = {}
        self.out: list[bytes] = []

    def _exactly(self, size: int, what: str) -> bytes:
        data = self.source.read(size)
        if len(data) < size and (data or what != "a batch header"):
            raise c.Malformed(f"input ended inside {what}: {len(data)} of {size} bytes")
        return data

    def run(self) -> None:
        while header := self._exactly(c.BATCH.size, "a batch header"):
            number, size, records, clock = c.BATCH.unpack(header)
            rest = c.AFTER_SIZE + size - c.BATCH.size
            if rest < 0:
                raise c.Malformed(f"batch {number}: size {size} is less than its header")
            body = self._exactly(rest, f"batch {number}")
            self.out.clear()
            try:
                used = self._batch(body, records, clock * MICRO, number)
            except (StructError, IndexError) as problem:
                raise c.Malformed(f"batch {number}: a malformed record ({problem})") from problem
            if used != len(body):
                raise c.Malformed(f"batch {number}: {len(body) - used} bytes after its last record")
            payload = b"".join(self.out)
            self.sink.write(c.REPLY.pack(number, len(payload) + 4, len(self.out)) + payload)
            self.sink.flush()

    def _batch(self, body: bytes, records: int, now: float, number: int) -> int:
        at = 0
        for _ in range(records):
            code = body[at]
            shape = c.EVENTS.get(code)
            if shape is None:
                raise c.Malformed(f"batch {number}: unknown record code {code} at byte {at}")
            fields = shape.unpack_from(body, at)
            at += shape.size
            if code == c.SHEET:
                end = at + fields[1] * c.ENTRY.size
                if end > len(body):
                    raise c.Malformed(f"batch {number}: a sheet is cut short")
                self.lists[fields[0]] = list(c.ENTRY.iter_unpack(body[at:end]))
                at = end
            elif code == c.INIT:
                end = at + fields[2]
                self._init(fields[0], fields[1], body[at:end], now, number)
                at = end
            elif code == c.DOWN:
                self.instances.pop(fields[0], None)
            else:
                extra = 0
                if code == c.RESPONSE or code == c.PINGED:
                    extra = 4 * fields[-1]
                elif code == c.SAID:
                    extra = fields[-1]
                content = body[at : at + extra]
                if len(content) < extra:
                    raise c.Malformed(f"batch {number}: record {code} is cut short")
                at += extra
                self._event(code, fields, content, now)
        return at

    def _init(self, instance: int, seed: int, text: bytes, now: float, number: int) -> None:
        try:
            settings = orjson.loads(text)
        except orjson.JSONDecodeError as problem:
            raise c.Malformed(f"batch {number}: settings are not JSON ({problem})") from problem
        if not isinstance(settings, dict):
            raise c.Malformed(f"batch {number}: settings are not a JSON object")
        self.instances[instance] = Instance(instance, seed, settings, now, self.out)

    def _event(self, code: int, fields: tuple, content: bytes, now: float) -> None:
        one = self.instances.get(fields[0])
        if one is None:
            raise c.Malformed(f"record {code} for instance {fields[0]}, which has not started")
        try:
            self._deliver(one, code, fields, content, now)
        except c.Malformed:
            raise
        except Exception as problem:  # the wire wants an exception in the decisions told as Fatal
            text = f"{type(problem).__name__}: {problem}".encode()[:2000]
            self.out.append(c.TEXT.pack(c.DO_FATAL, fields[0], len(text)) + text)

    def _deliver(self, one: Instance, code: int, f: tuple, content: bytes, now: float) -> None:
        if code == c.TIMER:
            act, about = one.timers.pop(f[1])
            act(now, about)
        elif code == c.ITEM:
            one.item(now, *f[1:])
        elif code == c.RESPONSE:
            values = c.FLOATS[f[8]].unpack(content) if f[8] else None
            one.response(now, *f[1:8], one.report(values))
        elif code == c.HINT:
            request = one.requests.get(f[1])
            if request is not None:
                if f[4] == 1:
                    one.node.attempt_started(now, request.attempts[f[5]])
                elif f[4] == 2:
                    request.attempts[f[5]].executor.strikes = 0  # it works
        elif code == c.PINGED:
            values = c.FLOATS[f[4]].unpack(content) if f[4] else None
            one.node.health_check_ended(
                now, one.executors[f[1]], c.OUTCOMES[f[2]], f[3] * MICRO, one.report(values)
            )
        elif code == c.TARGETS:
            one.targets(now, f[1], () if f[1] == 3 else self.lists[f[3]])
        elif code == c.DROPPED:
            one.dropped(now, f[1])
        elif code == c.ESTABLISHED:
            one.requests[f[1]].attempts[f[2]].request.bound = True
        elif code == c.SAID:
            executor = one.marks.find(content)
            if executor is not None:
                one.node.peer_reported_failure(now, executor)


def main() -> int:
    try:
        Wire(sys.stdin.buffer, sys.stdout.buffer).run()
    except c.Malformed as problem:
        print(f"firwalk.wirehost: {problem}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
