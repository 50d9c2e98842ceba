"""Relays for datagrams and connections that inject the link faults of a scenario.

Every datagram between two nodes and every connection from a node to an executor passes through a relay. All
randomness derives from the seed. The delay that the relays themselves add is measured and reported as
`own_delay`.
"""

from __future__ import annotations

import asyncio
import random
import socket
import sys
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path

from firwalk.lab.pace import Pace

End = tuple[str, int]  # ("node", 3), ("executor", 5)
# A lost segment of a connection arrives this much later, since TCP retransmits it.
RETRANSMISSION_DELAY_S = 0.2
# A flickering link alternates between these durations of being cut and being up.
FLICKER_CUT_AND_HEAL_S = (1.0, 0.2)
# Interval between checks whether a cut has ended.
CUT_POLL_INTERVAL_S = 0.01
CHUNK_BYTES = 65536
# This many connections fill the accept queue of a listener that is cut off.
QUEUE_FILLERS = 3


class Conditions:
    """Network conditions of one direction between two ends; concurrent faults add up."""

    def __init__(self) -> None:
        self.cuts, self.flickers = 0, 0
        self.loss = self.delay = self.jitter = self.double = self.reorder = 0.0
        self.rate = 0.0  # bytes per second; 0: unlimited
        self.free_at = 0.0

    def cut(self, now: float) -> bool:
        """Return whether nothing passes at this time."""
        return (
            self.cuts > 0
            or self.flickers > 0
            and now % sum(FLICKER_CUT_AND_HEAL_S) < FLICKER_CUT_AND_HEAL_S[0]
        )


class Links:
    """Conditions and counters of all links of a run.

    `watch` is called with every datagram, `sends` with the data that nodes send to executors.
    """

    def __init__(self, seed: int):
        self.rng, self.pace = random.Random(seed), Pace()
        self.conditions: dict[tuple[End, End], Conditions] = {}
        self.counts = {
            "datagrams": 0,
            "datagram bytes": 0,
            "datagrams lost": 0,
            "datagrams doubled": 0,
            "connections": 0,
        }
        self.listeners: list[Listener] = []
        self.watch: Callable[[float, int, int, bytes], None] = lambda at, sender, to, data: None
        self.sends: Callable[[float, float, int, int, bytes], None] = (
            lambda at, read_at, node, executor, data: None
        )

    def between(self, a: End, b: End) -> Conditions:
        """Return the conditions from `a` to `b`."""
        found = self.conditions.get((a, b))
        if found is None:
            found = self.conditions[a, b] = Conditions()
        return found

    def change(self, kind: str, value: float, pairs: list[tuple[End, End]], on: bool) -> None:
        """Start or end a fault on the given directions."""
        sign = 1 if on else -1
        for a, b in pairs:
            link = self.between(a, b)
            if kind == "cut":
                link.cuts += sign
            elif kind == "flicker":
                link.flickers += sign
            elif kind == "slow":
                link.rate = value if on else 0.0
            else:
                setattr(link, kind, max(getattr(link, kind) + sign * value, 0.0))
        for listener in self.listeners:
            listener.apply_cuts()

    def wait(self, link: Conditions, size: int, now: float) -> float:
        """Return the transit time in seconds of `size` bytes sent now."""
        wait = link.delay + link.jitter * self.rng.random()
        if link.rate:
            link.free_at = max(link.free_at, now) + size / link.rate
            wait += link.free_at - now
        return wait


class RelaySocket(asyncio.DatagramProtocol):
    """The relay's socket at the address under which node `owner` knows node `other`."""

    def __init__(self, relay: DatagramRelay, owner: int, other: int):
        self.relay, self.owner, self.other, self.transport = relay, owner, other, None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, sender: tuple) -> None:
        if sender[:2] == self.relay.real[self.owner]:
            self.relay.relay_datagram(self.owner, self.other, data)


class DatagramRelay:
    """Relays datagrams between nodes 0 to n - 1; node i knows node j by the address `known(i, j)`."""

    def __init__(
        self, links: Links, real: list[tuple[str, int]], known: Callable[[int, int], tuple[str, int]]
    ):
        self.links, self.real, self.known = links, real, known
        self.ends: dict[tuple[int, int], RelaySocket] = {}
        self.to_all: dict[int, RelaySocket] = {}
        self.loop = asyncio.get_running_loop()
        self.out = [0] * len(real)
        self.bytes_out = [0] * len(real)

    async def open(self) -> None:
        """Bind a socket for each pair of nodes, and one for each node's broadcasts."""
        count = len(self.real)
        for i in range(count):
            for j in [*(j for j in range(count) if j != i), -1]:
                _, end = await self.loop.create_datagram_endpoint(
                    lambda i=i, j=j: RelaySocket(self, i, j), local_addr=self.known(i, j)
                )
                self.ends[i, j] = end

    def relay_datagram(self, sender: int, to: int, data: bytes) -> None:
        """Forward a datagram under the link's conditions; `to` below 0 stands for all other nodes."""
        if to < 0:
            for other in range(len(self.real)):
                if other != sender:
                    self.relay_datagram(sender, other, data)
            return
        now, counts, rng = time.monotonic(), self.links.counts, self.links.rng
        self.links.watch(now, sender, to, data)
        counts["datagrams"] += 1
        counts["datagram bytes"] += len(data)
        self.out[sender] += 1
        self.bytes_out[sender] += len(data)
        link = self.links.between(("node", sender), ("node", to))
        if link.cut(now) or rng.random() < link.loss:
            counts["datagrams lost"] += 1
            return
        twice = rng.random() < link.double
        counts["datagrams doubled"] += twice
        for _ in range(1 + twice):
            wait = self.links.wait(link, len(data), now)
            if rng.random() < link.reorder:
                wait += 0.05 * rng.random()
            if wait > 0.0:
                self.loop.call_later(wait, self._deliver, sender, to, data)
            else:
                self._deliver(sender, to, data)

    def _deliver(self, sender: int, to: int, data: bytes) -> None:
        end = self.ends[to, sender]
        if not end.transport.is_closing():
            end.transport.sendto(data, self.real[to])

    def dropped_datagrams(self) -> int:
        """Return how many datagrams the kernel dropped because the relay's sockets were full (proc(5))."""
        mine = {self.known(i, j): None for i, j in self.ends}
        lost = 0
        for line in Path("/proc/net/udp").read_text().splitlines()[1:]:
            words = line.split()
            host, port = (int(part, 16) for part in words[1].split(":"))
            if (socket.inet_ntoa(host.to_bytes(4, sys.byteorder)), port) in mine:
                lost += int(words[-1])
        return lost

    def close(self) -> None:
        for end in self.ends.values():
            if end.transport is not None:
                end.transport.close()


class RelaySide(asyncio.Protocol):
    """One side of a relayed connection; its data goes to the other side under the link's conditions."""

    def __init__(
        self,
        links: Links,
        link: Conditions,
        on_data: Callable[[float, bytes], None] | None = None,
        opened_after: float | None = None,
    ):
        """Create a side; `on_data(at, data)` is called with what is read and its earliest arrival time.

        The first data read can be as old as the connection itself, `opened_after`.
        """
        self.links, self.link, self.on_data, self.opened_after = links, link, on_data, opened_after
        self.transport: asyncio.Transport | None = None
        self.other: RelaySide | None = None
        self.queue: deque[tuple[float, bytes | None]] = deque()
        self.timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        if self.other is not None and self.other.queue:
            self.other.pump()

    def data_received(self, data: bytes) -> None:
        if self.on_data is not None:
            opened, self.opened_after = self.opened_after, None
            self.on_data(self.links.pace.earliest_arrival() if opened is None else opened, data)
        self._add(data)

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, problem: Exception | None) -> None:
        self._add(None)

    def _add(self, data: bytes | None) -> None:
        now = time.monotonic()
        wait = self.links.wait(self.link, len(data or b""), now)
        if data is not None and self.links.rng.random() < self.link.loss:
            wait += RETRANSMISSION_DELAY_S
        self.queue.append((now + wait, data))
        self.pump()

    def pump(self) -> None:
        """Write what is due, and schedule the next call for the rest."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        now = time.monotonic()
        while self.queue:
            due, data = self.queue[0]
            if self.other is None or self.other.transport is None or self.link.cut(now) or due > now:
                wait = CUT_POLL_INTERVAL_S if due <= now else due - now
                if self.other is not None:
                    self.timer = asyncio.get_running_loop().call_later(wait, self.pump)
                return
            self.queue.popleft()
            if data is None:
                self.other.transport.close()
            elif not self.other.transport.is_closing():
                self.other.transport.write(data)


class Listener:
    """Relays connections at the address under which one node knows one executor.

    While the link is cut, no connection is established: the accept queue is filled and not served, so that
    the kernel drops further SYNs.
    """

    def __init__(
        self, links: Links, node: int, executor: int, address: tuple[str, int], real: tuple[str, int]
    ):
        self.links, self.node, self.executor, self.address, self.real = links, node, executor, address, real
        self.outbound = links.between(("node", node), ("executor", executor))
        self.inbound = links.between(("executor", executor), ("node", node))
        self.loop = asyncio.get_running_loop()
        self.filler_sockets: list[socket.socket] = []
        self.filler_ports: dict[int, None] = {}
        self.blocked, self.sock = False, None
        self.open()
        links.listeners.append(self)

    def open(self) -> None:
        """Listen, unless it does already."""
        if self.sock is None:
            self.sock = socket.socket()
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            self.sock.bind(self.address)
            self.sock.setblocking(False)
            self.sock.listen(128)
            self.loop.add_reader(self.sock, self._accept)
            self.apply_cuts()

    def apply_cuts(self) -> None:
        """Block or unblock new connections by the current cuts."""
        if self.sock is None:
            return
        cut = self.outbound.cuts > 0 or self.inbound.cuts > 0
        if cut and not self.blocked:
            self._fill_queue()
        elif not cut and self.blocked:
            self._open_queue()

    def _fill_queue(self) -> None:
        """Block new connections; those established before the cut are accepted first."""
        self._accept()
        self.blocked = True
        self.loop.remove_reader(self.sock)
        self.sock.listen(0)
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.address)
            self.filler_sockets.append(filler)
            self.filler_ports[filler.getsockname()[1]] = None

    def _open_queue(self) -> None:
        """Accept connections again.

        Connections established between the last accept and the filling of the queue are reset, since the send
        time of their data is unknown.
        """
        self.blocked = False
        for sock in self._accept_all():
            sock.close()
        for filler in self.filler_sockets:
            filler.close()
        self.filler_sockets = []
        self.sock.listen(128)
        self.loop.add_reader(self.sock, self._accept)

    def _accept_all(self) -> list[socket.socket]:
        """Accept all established connections and return those that are not fillers."""
        found: list[socket.socket] = []
        while True:
            try:
                sock, peer = self.sock.accept()
            except OSError:
                return found
            if self.filler_ports.pop(peer[1], 1) is None:
                sock.close()
            else:
                found.append(sock)

    def _accept(self) -> None:
        opened_after = self.links.pace.earliest_arrival()
        for sock in self._accept_all():
            sock.setblocking(False)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.links.counts["connections"] += 1
            self.loop.create_task(self._join(sock, opened_after))

    async def _join(self, sock: socket.socket, opened_after: float) -> None:
        near = RelaySide(self.links, self.outbound, self._on_data, opened_after)
        far = RelaySide(self.links, self.inbound)
        near.other, far.other = far, near
        await self.loop.connect_accepted_socket(lambda: near, sock)
        try:
            await self.loop.create_connection(lambda: far, *self.real)
        except OSError:
            near.transport.abort()

    def _on_data(self, at: float, data: bytes) -> None:
        self.links.sends(at, time.monotonic(), self.node, self.executor, data)

    def close(self) -> None:
        """Refuse connections from now on, as a host does whose process has exited."""
        if self.sock is None:
            return
        if not self.blocked:
            self.loop.remove_reader(self.sock)
        for filler in self.filler_sockets:
            filler.close()
        self.sock.close()
        self.filler_sockets, self.sock, self.blocked = [], None, False
