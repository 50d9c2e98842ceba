"""Packet filters (classic BPF) of one instruction, for listeners."""

from __future__ import annotations

import socket
import struct
from array import array

SO_ATTACH_FILTER = 26  # the value: how many bytes of a packet pass; 0: it is dropped
SO_ATTACH_REUSEPORT_CBPF = 51  # the value: the index of the listener, of those that share the port
BPF_RETURN = 0x06  # BPF_RET | BPF_K


def always_return(listener: socket.socket, option: int, value: int) -> None:
    """Attaches a filter that returns the value for each packet; raises OSError where that is not allowed."""
    instructions = array("B", struct.pack("HBBI", BPF_RETURN, 0, 0, value))
    listener.setsockopt(socket.SOL_SOCKET, option, struct.pack("HP", 1, instructions.buffer_info()[0]))
