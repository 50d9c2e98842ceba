"""Datagrams and timers of the cluster member on the node's event loop."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import TYPE_CHECKING, TypeVar

from firwalk.cluster.messages import Message, encode
from firwalk.observability.log import log_exception

if TYPE_CHECKING:
    from firwalk.net.cluster_state import ClusterState

# The loop's timers may fire this early by the monotonic clock.
TIMER_TOLERANCE_S = 0.0005

Context = TypeVar("Context")


class ClusterHost:
    """The host of one generation of a cluster member; after its end, its timers have no effect."""

    def __init__(self, cluster: ClusterState) -> None:
        self.cluster = cluster

    def _is_current(self) -> bool:
        return self.cluster.member is not None and self.cluster.member.host is self

    def send(self, node_id: int, message: Message) -> None:
        """Send a datagram; the event loop delivers one to this node itself."""
        cluster = self.cluster
        if cluster.member is None:
            return
        local_member = cluster.member.members.me
        if node_id == cluster.number:
            cluster.loop.call_soon(
                self._deliver_locally, local_member.generation, local_member.incarnation, message
            )
            return
        data = encode(
            cluster.checksum, cluster.number, local_member.generation, local_member.incarnation, message
        )
        cluster.sent += 1
        cluster.bytes_sent += len(data)
        cluster.send(data, cluster.addresses[node_id])

    def _deliver_locally(self, generation: int, incarnation: int, message: Message) -> None:
        if self._is_current() and self.cluster.member is not None:
            self.cluster.member.on_message(
                time.monotonic(), self.cluster.number, generation, incarnation, message
            )

    def set_timer(self, when: float, act: Callable[[float, Context], None], about: Context) -> None:
        """Call `act(now, about)` once, at `when` or later."""
        delay_s = max(when - time.monotonic(), 0.0)
        self.cluster.loop.call_later(delay_s, self._fire, when, act, about)

    def _fire(self, when: float, act: Callable[[float, Context], None], about: Context) -> None:
        if not self._is_current():
            return
        now = time.monotonic()
        if now < when - TIMER_TOLERANCE_S:  # the loop's clock is ahead of the monotonic clock
            self.set_timer(when, act, about)
            return
        try:
            act(now, about)
        except Exception as problem:
            log_exception("running a cluster timer", problem)

    def event(self, what: str, **fields: object) -> None:
        """Record an event."""
        self.cluster.event(what, **fields)
