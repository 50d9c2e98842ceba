"""Numeric IP addresses and sockets of their family. Host names are not resolved."""

from __future__ import annotations

import socket


def parse_address(text: str) -> tuple[str, int]:
    """Parse `127.0.0.1:80` or `[::1]:80` into host and port; raise ValueError for anything else."""
    host, _, port = text.rpartition(":")
    if not port.isdecimal() or not 0 < int(port) < 65536:
        raise ValueError(f"not an address: {text!r}")
    host = host.removeprefix("[").removesuffix("]")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    try:
        return socket.inet_ntop(family, socket.inet_pton(family, host)), int(port)
    except OSError:
        raise ValueError(f"not an address: {text!r}") from None


def new_socket(address: tuple[str, int], kind: int = socket.SOCK_STREAM) -> socket.socket:
    """Return a non-blocking socket of the address's family, not yet bound or connected."""
    sock = socket.socket(socket.AF_INET6 if ":" in address[0] else socket.AF_INET, kind)
    sock.setblocking(False)
    if kind == socket.SOCK_STREAM:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # inherited by accepted connections
    return sock


def host_header(address: tuple[str, int]) -> tuple[bytes, bytes]:
    """Return the name and value of the Host header of a request to the address."""
    host = f"[{address[0]}]" if ":" in address[0] else address[0]
    return b"Host", f"{host}:{address[1]}".encode()
