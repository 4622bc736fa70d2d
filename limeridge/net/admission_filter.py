"""A listening socket to which nobody can connect any more, though it is still open.

Between the last `accept` and the close of a listening socket the system goes on taking connections, and the
close resets them with what was written to them. A socket filter (Linux, SO_ATTACH_FILTER) that drops the
first packet of a connection ends that: who comes meanwhile gets no connection, and so can write nothing.
"""

from __future__ import annotations

import ctypes
import socket
import struct

SO_ATTACH_FILTER = 26  # asm-generic/socket.h
FLAGS_AT = 13  # of a TCP header, RFC 9293
SYN, ACK = 0x02, 0x10

LOAD_BYTE, AND, JUMP_IF_EQUAL, RETURN = 0x30, 0x54, 0x15, 0x06  # classic BPF, linux/bpf_common.h
WHOLE_PACKET, NOTHING = 0xFFFFFFFF, 0

# Operation, jumps where true and where false, operand.
DROP_FIRST_PACKETS = (
    (LOAD_BYTE, 0, 0, FLAGS_AT),
    (AND, 0, 0, SYN | ACK),
    (JUMP_IF_EQUAL, 0, 1, SYN),
    (RETURN, 0, 0, NOTHING),
    (RETURN, 0, 0, WHOLE_PACKET),
)


def admit_no_more(listener: object) -> bool:
    """Drops what would begin another connection; False where the system has no such filter."""
    if not isinstance(listener, socket.socket):
        return False
    code = b"".join(struct.pack("HBBI", *each) for each in DROP_FIRST_PACKETS)
    program = ctypes.create_string_buffer(code, len(code))
    try:
        listener.setsockopt(
            socket.SOL_SOCKET,
            SO_ATTACH_FILTER,
            struct.pack("@HP", len(DROP_FIRST_PACKETS), ctypes.addressof(program)),
        )
    except OSError:
        return False
    return True
