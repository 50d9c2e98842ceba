"""Packet filters of one instruction on listeners: what the machine does with each new connection."""

from __future__ import annotations

import socket
import struct
from array import array

SO_ATTACH_FILTER = 26  # returns how many bytes of a packet are let through; 0: it is dropped
SO_ATTACH_REUSEPORT_CBPF = 51  # returns the number of the listener, of those that share a port
BPF_RETURN = 0x06  # BPF_RET | BPF_K


def always_return(listener: socket.socket, option: int, value: int) -> None:
    """Attaches a filter that returns the same for all; OSError where the machine does not allow it."""
    code = array("B", struct.pack("HBBI", BPF_RETURN, 0, 0, value))
    listener.setsockopt(socket.SOL_SOCKET, option, struct.pack("HP", 1, code.buffer_info()[0]))
