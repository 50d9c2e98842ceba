"""Allocates a loopback network to a run until the run ends."""

from __future__ import annotations

import errno
import os
import socket
from collections.abc import Iterable

Address = tuple[str, int]

# Nodes and executors both listen on this port.
SERVICE_PORT = 3000
MANAGEMENT_PORTS = (3100, 3101)
DISCOVERY_PORT = 8500
PEER_PORT = 7946
GUARD_PORT = 2999
MAX_NETWORK_ATTEMPTS = 40
# Networks are 127.16.0.0/16 to 127.245.0.0/16.
FIRST_NETWORK, NETWORK_COUNT = 16, 230
# Third octets of the addresses; those of the relays are for node 0, and each further node has the next.
EXECUTOR_SUBNET, PEER_RELAY_SUBNETS, EXECUTOR_RELAY_SUBNETS = 2, 10, 40
# Last octets of the relay addresses for a node's broadcasts and its discovery.
BROADCAST_HOST, DISCOVERY_HOST = 250, 251


class PortsInUse(Exception):
    """The loopback networks that were tried are in use; the message names the last one."""


class Addresses:
    """The addresses of a run: `network` is their first two octets, `guard` a socket that reserves them."""

    def __init__(self, network: str, guard: socket.socket):
        self.network, self.guard = network, guard

    @classmethod
    def claim(cls, fixed: str, seed: int, nodes: int) -> Addresses:
        """Claim the fixed network, or the first free candidate; raise PortsInUse if there is none."""
        networks = (
            [fixed] if fixed else [_candidate_network(seed, turn) for turn in range(MAX_NETWORK_ATTEMPTS)]
        )
        for network in networks:
            try:
                return cls(network, _bind_guard(network, nodes))
            except OSError as problem:
                if problem.errno != errno.EADDRINUSE:
                    raise
        raise PortsInUse(f"addresses of {networks[-1]}.0.0 are in use; another run may be using them")

    def release(self) -> None:
        """Release the addresses to other runs."""
        self.guard.close()

    def node(self, node: int) -> Address:
        """Return the address at which clients reach a node."""
        return _node_host(self.network, node), SERVICE_PORT

    def management(self, node: int, slot: int = 0) -> str:
        """Return the management address of a node's first or second process."""
        return f"{_node_host(self.network, node)}:{MANAGEMENT_PORTS[slot]}"

    def peer(self, node: int) -> Address:
        """Return the address on which a node itself receives datagrams."""
        return _node_host(self.network, node), PEER_PORT

    def peer_relay(self, node: int, other: int) -> Address:
        """Return the relay address under which a node knows another one."""
        if other == node:
            return self.peer(node)
        return f"{self.network}.{PEER_RELAY_SUBNETS + node}.{other + 1}", PEER_PORT

    def relay(self, node: int, other: int) -> Address:
        """Return the relay address for datagrams from `node` to `other`, or to all if that is below 0."""
        return self.peer_relay(node, other) if other >= 0 else self.broadcast_relay(node)

    def broadcast_relay(self, node: int) -> Address:
        """Return the relay address of a node's broadcasts."""
        return f"{self.network}.{PEER_RELAY_SUBNETS + node}.{BROADCAST_HOST}", PEER_PORT

    def discovery(self, node: int) -> Address:
        """Return the discovery address of a node."""
        return f"{self.network}.{PEER_RELAY_SUBNETS + node}.{DISCOVERY_HOST}", DISCOVERY_PORT

    def executor(self, executor: int) -> Address:
        """Return the address on which an executor itself listens."""
        return f"{self.network}.{EXECUTOR_SUBNET}.{executor + 1}", SERVICE_PORT

    def executor_relay(self, node: int, executor: int) -> Address:
        """Return the relay address under which a node knows an executor."""
        return f"{self.network}.{EXECUTOR_RELAY_SUBNETS + node}.{executor + 1}", SERVICE_PORT


def _candidate_network(seed: int, turn: int) -> str:
    return f"127.{FIRST_NETWORK + (os.getpid() * 7 + seed * 13 + turn * 29) % NETWORK_COUNT}"


def _node_host(network: str, node: int) -> str:
    return f"{network}.1.{node + 1}"


def _bind_guard(network: str, nodes: int) -> socket.socket:
    """Reserve the network until the returned socket is closed; raise OSError if it is in use."""
    guard = socket.socket()
    try:
        guard.bind((f"{network}.9.9", GUARD_PORT))
        guard.listen(1)
        _check_addresses_free(network, range(nodes))
    except OSError:
        guard.close()
        raise
    return guard


def _check_addresses_free(network: str, nodes: Iterable[int]) -> None:
    for node in nodes:
        for port, kind in ((SERVICE_PORT, socket.SOCK_STREAM), (PEER_PORT, socket.SOCK_DGRAM)):
            with socket.socket(type=kind) as sock:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, kind == socket.SOCK_STREAM)
                sock.bind((_node_host(network, node), port))
    with socket.socket() as sock:
        sock.bind((f"{network}.{EXECUTOR_SUBNET}.1", SERVICE_PORT))
