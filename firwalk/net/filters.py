"""Single-instruction packet filters (classic BPF) for listeners."""

from __future__ import annotations

import socket
import struct
from array import array

SO_ATTACH_FILTER = 26  # the filter returns how many bytes of a packet to keep; 0 drops it
SO_ATTACH_REUSEPORT_CBPF = 51  # the filter returns the index of a listener among those that share the port
BPF_RETURN = 0x06  # equals BPF_RET | BPF_K


def always_return(listener: socket.socket, option: int, value: int) -> None:
    """Attach a filter that returns `value` for each packet; raise OSError if the process may not."""
    instructions = array("B", struct.pack("HBBI", BPF_RETURN, 0, 0, value))
    listener.setsockopt(socket.SOL_SOCKET, option, struct.pack("HP", 1, instructions.buffer_info()[0]))
