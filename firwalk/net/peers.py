"""The UDP socket between nodes, for failure gossip and the cluster protocol."""

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
    """Receiver of the datagrams of the cluster protocol."""

    def on_datagram(self, data: bytes, number: int) -> None:
        """Handle a datagram from node `number`."""


class Peers(asyncio.DatagramProtocol):
    """Exchanges datagrams with the configured nodes; `dropped` counts datagrams dropped in either direction.

    `peers` lists the nodes' addresses by node number. `to_all` is the multicast or broadcast address for
    gossip, None without gossip. `cluster` receives the datagrams of the cluster protocol, if it is in use.
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
        """Bind the socket; datagrams are received only after `open`."""
        self.sock = new_socket(address, socket.SOCK_DGRAM)
        self.sock.bind(address)

    async def open(self) -> None:
        """Start receiving and sending."""
        assert self.sock is not None, "the socket must be bound or inherited first"
        # The transport closes its socket, so it gets a duplicate: this one may be handed over later.
        sock = self.sock.dup()
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        self.transport, _ = await loop.create_datagram_endpoint(lambda: self, sock=sock)

    def datagram_received(self, data: bytes, sender: tuple[str, int] | tuple[str, int, int, int]) -> None:
        """Pass a datagram to the dispatcher or the cluster: failure gossip has a fixed length of its own."""
        number = self.numbers.get(sender[:2])
        if number is None or len(data) > MAX_DATAGRAM_BYTES:
            self.dropped += 1
            return
        if self.cluster is not None and len(data) != GOSSIP_BYTES:
            self.cluster.on_datagram(data, number)
        else:
            self.dispatcher.report_peer_failure(number, data)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport. Called by the event loop."""
        self.transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, error: Exception) -> None:
        """Log an error of the socket. Called by the event loop."""
        log_external(f"error on the socket to other nodes: {error}")

    def close(self) -> None:
        """Stop receiving and sending; the socket itself stays open."""
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    def send(self, data: bytes, to: Address) -> None:
        """Send a datagram to one node, or drop it if the socket is not open."""
        if self.transport is None:
            self.dropped += 1
        else:
            self.transport.sendto(data, to)

    def broadcast(self, data: bytes) -> None:
        """Send gossip to all nodes, or drop it if it cannot be sent."""
        if self.transport is None or self.to_all is None or len(data) > MAX_DATAGRAM_BYTES:
            self.dropped += 1
            return
        self.transport.sendto(data, self.to_all)
