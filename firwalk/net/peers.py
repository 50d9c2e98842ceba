"""The UDP socket between nodes, which carries failure gossip and the cluster's datagrams."""

from __future__ import annotations

import asyncio
import socket
from typing import Protocol, TypeAlias, cast

from firwalk.dispatcher.dispatcher import Dispatcher
from firwalk.dispatcher.failure_gossip import SIZE as GOSSIP_BYTES
from firwalk.net.address import new_socket
from firwalk.observability.log import log_external

MAX_DATAGRAM_BYTES = 256

Address: TypeAlias = tuple[str, int]


class DatagramReceiver(Protocol):
    """What takes the datagrams that are no failure gossip."""

    def on_datagram(self, data: bytes, number: int) -> None:
        """Handle a datagram from the node of that number."""


class Peers(asyncio.DatagramProtocol):
    """Receives from the configured nodes only; `dropped` counts all other datagrams, in both directions.

    `peers` are the nodes' addresses in the order of their numbers; `to_all` is the multicast or broadcast
    address for gossip, None without gossip. `cluster` takes the cluster's datagrams, if there is one.
    """

    def __init__(self, dispatcher: Dispatcher, peers: list[Address], to_all: Address | None) -> None:
        self.dispatcher = dispatcher
        self.to_all = to_all
        self.numbers = {address: number for number, address in enumerate(peers)}
        self.dropped = 0
        self.transport: asyncio.DatagramTransport | None = None
        self.sock: socket.socket | None = None
        self.cluster: DatagramReceiver | None = None

    def bind(self, address: Address) -> None:
        """Bind the socket; nothing is received before `open`."""
        self.sock = new_socket(address, socket.SOCK_DGRAM)
        self.sock.bind(address)

    async def open(self) -> None:
        """Start to receive and send."""
        assert self.sock is not None, "the socket is bound or inherited first"
        # The transport closes its own socket; this one may still be passed on to another process.
        sock = self.sock.dup()
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, sock=sock)

    def datagram_received(self, data: bytes, sender: tuple[str, int] | tuple[str, int, int, int]) -> None:
        """Pass a datagram on to the dispatcher or the cluster, which are told apart by its length."""
        number = self.numbers.get(sender[:2])
        if number is None or len(data) > MAX_DATAGRAM_BYTES:
            self.dropped += 1
            return
        if self.cluster is not None and len(data) != GOSSIP_BYTES:
            self.cluster.on_datagram(data, number)
        else:
            self.dispatcher.report_peer(number, data)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The event loop's transport is ready."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, problem: Exception) -> None:
        """A datagram could not be sent."""
        log_external(f"a message to a node: {problem}")

    def close(self) -> None:
        """Stop to receive and send; the socket itself stays open."""
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    def send(self, content: bytes, to: Address) -> None:
        """Send a datagram to one node."""
        if self.transport is None:
            self.dropped += 1
        else:
            self.transport.sendto(content, to)

    def tell(self, content: bytes) -> None:
        """Send gossip to all nodes."""
        if self.transport is None or self.to_all is None or len(content) > MAX_DATAGRAM_BYTES:
            self.dropped += 1
            return
        self.transport.sendto(content, self.to_all)
