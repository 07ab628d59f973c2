"""Allocates ports for fleets and tests that run at the same time.

A port that is free when it is chosen may be taken by another process before it is bound. So each
process reserves a block of ports until it exits: it keeps the first port of the block bound, and
a process that finds this port in use tries the next block.
"""

from __future__ import annotations

import contextlib
import os
import socket
from dataclasses import dataclass

FIRST_PORT, LAST_PORT = 10_000, 32_000
"""Below Linux's range of ephemeral ports (32,768 and up)."""
BLOCK_SIZE = 500
"""Ports per block, including the first one."""
HOST = "127.0.0.1"


class NoPortsError(Exception):
    """All blocks of ports, or all ports of a block, are in use."""


def is_free(port: int) -> bool:
    """Return whether a port can be bound: nothing listens, and no connection is in TIME_WAIT."""
    with contextlib.closing(socket.socket()) as probe, contextlib.suppress(OSError):
        probe.bind((HOST, port))
        return True
    return False


@dataclass(slots=True)
class PortBlock:
    """A block of ports reserved by this process until it is closed."""

    lock_socket: socket.socket
    """Socket bound to the first port of the block, which reserves it."""
    first: int
    owner: int = 0
    """Process id that reserved the block; a forked child must reserve its own."""
    last_offset: int = 0

    def allocate(self) -> int:
        """Return the next free port, wrapping around at the end of the block.

        Raises:
            NoPortsError: No port of the block is free.
        """
        for _ in range(BLOCK_SIZE):
            self.last_offset = self.last_offset % (BLOCK_SIZE - 1) + 1
            if is_free(self.first + self.last_offset):
                return self.first + self.last_offset
        raise NoPortsError(f"no free port from {self.first} to {self.first + BLOCK_SIZE - 1}")

    def close(self) -> None:
        """Release the block."""
        self.lock_socket.close()


def reserve_block() -> PortBlock:
    """Reserve a block that no other process has reserved.

    Raises:
        NoPortsError: All blocks are reserved.
    """
    for first in range(FIRST_PORT, LAST_PORT, BLOCK_SIZE):
        lock_socket = socket.socket()
        try:
            lock_socket.bind((HOST, first))
        except OSError:
            lock_socket.close()
            continue
        return PortBlock(lock_socket, first, os.getpid())
    raise NoPortsError(f"all blocks of ports from {FIRST_PORT} to {LAST_PORT} are reserved")


_block: PortBlock | None = None


def free_port() -> int:
    """Return a free port of this process's block, which is reserved at the first call.

    Raises:
        NoPortsError: No block, or no port of the block, is free.
    """
    global _block
    if _block is None or _block.owner != os.getpid():
        _block = reserve_block()
    return _block.allocate()
