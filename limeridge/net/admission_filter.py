"""Blocks new connections on a listening socket that is still open.

Between the last `accept` and the close of a listening socket the system still completes handshakes, and the
close resets these connections together with the requests written to them. A socket filter (Linux,
SO_ATTACH_FILTER) that drops the first packet of a handshake prevents this: a late client gets no connection,
and so can't send a request that would be lost.
"""

from __future__ import annotations

import ctypes
import socket
import struct

SO_ATTACH_FILTER = 26  # asm-generic/socket.h
TCP_FLAGS_OFFSET = 13  # in the TCP header, RFC 9293
SYN, ACK = 0x02, 0x10

LOAD_BYTE, AND, JUMP_IF_EQUAL, RETURN = 0x30, 0x54, 0x15, 0x06  # classic BPF, linux/bpf_common.h
ACCEPT_PACKET, DROP_PACKET = 0xFFFFFFFF, 0

# Each instruction: operation code, jump offset if true, jump offset if false, operand.
DROP_CONNECTION_REQUESTS = (
    (LOAD_BYTE, 0, 0, TCP_FLAGS_OFFSET),
    (AND, 0, 0, SYN | ACK),
    (JUMP_IF_EQUAL, 0, 1, SYN),
    (RETURN, 0, 0, DROP_PACKET),
    (RETURN, 0, 0, ACCEPT_PACKET),
)


def block_new_connections(listener: object) -> bool:
    """Attaches the filter; False if the system does not support it."""
    if not isinstance(listener, socket.socket):
        return False
    code = b"".join(struct.pack("HBBI", *instruction) for instruction in DROP_CONNECTION_REQUESTS)
    program = ctypes.create_string_buffer(code, len(code))
    try:
        listener.setsockopt(
            socket.SOL_SOCKET,
            SO_ATTACH_FILTER,
            struct.pack("@HP", len(DROP_CONNECTION_REQUESTS), ctypes.addressof(program)),
        )
    except OSError:
        return False
    return True
