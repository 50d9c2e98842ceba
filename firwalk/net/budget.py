"""Descriptors and memory: what may be open, what gives way when they run short, what is kept in reserve.

Connections are counted, not files. When a client or an executor needs one and none is left, a connection
that stands idle is closed for it. With none idle, a client is let in on a spare one, where its task is told
503; with no spare one left, nobody is let in until a descriptor is free. An assignment waits for one as long
as a connect may take, then it ends as not sent. Probes leave room for both. Bodies have a share of the
memory, counted as they come; beyond it a client is told 503.
"""

from __future__ import annotations

from collections.abc import Callable

from firwalk.observability.log import check_invariant

BASE = 20  # listener, list, peers, event loop, standard streams
SPARE_PART = 0.125  # of the rest: for clients that are told 503
CLIENT_PART = 0.6  # of what is left: beyond it clients leave room for executors
PROBE_PART = 0.75  # of what is left: beyond it no connection is opened for a probe
PROGRAM = 20e6  # bytes of memory that the program takes without any task
BODY_PART = 0.4  # of the rest: for bodies, from their first bytes to the end of their tasks
BODY_COPIES = 2  # the body itself, and the bytes of an assignment
CLIENT_MEMORY = 0.4  # of the rest: for connections without their bodies
CLIENT_HOLDS = 24000  # bytes of that for one: buffer, reader, parser, and what belongs to a task


class Budget:
    def __init__(self, descriptors: int, memory: int, reserved: int = 0):
        self.reserved, self.clients, self.links, self.spare, self.bodies = reserved, 0, 0, 0, 0
        self.shed_client: Callable[[bool], bool] = lambda spare: False  # close an idle one; was there one?
        self.shed_link: Callable[[], bool] = lambda: False
        self.limit(descriptors, memory)

    def limit(self, descriptors: int, memory: int) -> None:
        """Other limits from now on; what is open beyond them stays until it is wanted or ends."""
        rest = max(descriptors - BASE - self.reserved, 8)
        room = max(memory - PROGRAM, 0.1 * memory)
        self.most_spare = max(int(rest * SPARE_PART), 2)
        self.most = rest - self.most_spare
        self.most_clients = min(int(self.most * CLIENT_PART), int(room * CLIENT_MEMORY / CLIENT_HOLDS))
        self.most_bodies = int(room * BODY_PART / BODY_COPIES)

    def keep_to(self, more: int) -> None:
        """What is open may stay, and so many more may be opened, whatever they are for."""
        self.most = self.clients + self.links + more

    def open_client(self) -> bool:
        if self.clients >= self.most_clients and not self.shed_client(False):
            return False
        if self.clients + self.links >= self.most and not (self.shed_link() or self.shed_client(False)):
            return False
        self.clients += 1
        return True

    def open_spare(self) -> bool:
        if self.spare >= self.most_spare and not self.shed_client(True):
            return False
        self.spare += 1
        return True

    def force_spare(self) -> None:
        """One that is open already, whatever the limit on spare ones."""
        self.spare += 1

    def settle(self) -> bool:
        """A client on a spare descriptor moves to a common one, if there is one again."""
        if not self.open_client():
            return False
        self.spare -= 1
        return True

    def open_link(self, probe: bool = False) -> bool:
        used = self.clients + self.links
        if probe and used >= self.most * PROBE_PART:
            return False
        if used >= self.most and not (self.shed_client(False) or self.shed_link()):
            return False
        self.links += 1
        return True

    def adopt_client(self) -> None:
        """One that the other process of this node had, whose place comes with it: until the shares are told
        anew, it must not make others give way."""
        self.clients, self.most, self.most_clients = self.clients + 1, self.most + 1, self.most_clients + 1

    def adopt_link(self) -> None:
        self.links, self.most = self.links + 1, self.most + 1

    def close_client(self, spare: bool) -> None:
        self.clients -= not spare
        self.spare -= spare
        check_invariant(min(self.clients, self.spare) >= 0, "a client's connection is counted once")

    def close_link(self) -> None:
        self.links -= 1
        check_invariant(self.links >= 0, "an executor's connection is counted once")

    def hold(self, size: int) -> bool:
        if self.bodies + size > self.most_bodies:
            return False
        self.bodies += size
        return True

    def let_go(self, size: int) -> None:
        self.bodies -= size
        check_invariant(self.bodies >= 0, "a body is let go once")
