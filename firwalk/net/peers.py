"""Short messages between nodes, by UDP."""

from __future__ import annotations

import asyncio
import socket

from firwalk.dispatcher.dispatcher import Dispatcher
from firwalk.dispatcher.failure_gossip import SIZE
from firwalk.net.address import new_socket
from firwalk.observability.log import log_external

LONGEST = 256  # bytes of a datagram


class Peers(asyncio.DatagramProtocol):
    def __init__(self, dispatcher: Dispatcher, peers: list[tuple[str, int]], to_all: tuple[str, int] | None):
        self.dispatcher, self.to_all = dispatcher, to_all
        self.numbers = {address: number for number, address in enumerate(peers)}
        self.dropped, self.transport = 0, None
        self.sock: socket.socket | None = None
        self.cluster = None  # takes what is longer than a warning, if there is one

    def bind(self, address: tuple[str, int]) -> None:
        self.sock = new_socket(address, socket.SOCK_DGRAM)
        self.sock.bind(address)

    async def open(self) -> None:
        sock = self.sock.dup()  # the transport closes its own; another process may still be given this one
        sock.setblocking(False)
        self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(lambda: self, sock=sock)

    def datagram_received(self, data: bytes, sender: tuple) -> None:
        number = self.numbers.get(sender[:2])
        if number is None or len(data) > LONGEST:
            self.dropped += 1
            return
        if self.cluster is not None and len(data) != SIZE:
            self.cluster.datagram_came(data, number)
        else:
            self.dispatcher.report_peer(number, data)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def error_received(self, problem: OSError) -> None:
        log_external(f"a message to a node: {problem}")

    def close(self) -> None:
        if self.transport is not None:
            self.transport.close()
            self.transport = None

    def send(self, content: bytes, to: tuple[str, int]) -> None:
        if self.transport is None:
            self.dropped += 1
        else:
            self.transport.sendto(content, to)

    def tell(self, content: bytes) -> None:
        if self.transport is None or self.to_all is None or len(content) > LONGEST:
            self.dropped += 1
            return
        self.transport.sendto(content, self.to_all)
