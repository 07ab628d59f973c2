"""Ports of fleets and tests: none that another process of theirs may take, nor the system.

A port that is free when it is drawn, and bound a second later, may be drawn by somebody else
meanwhile. So each process has a block of ports to itself, as long as it lives: it keeps the first
port of the block bound, and whoever finds that one taken looks at the next block.
"""

from __future__ import annotations

import contextlib
import os
import socket
from dataclasses import dataclass

FIRST_PORT, LAST_PORT = 10_000, 32_000
"""Below those among which Linux chooses (32,768 and up)."""
BLOCK_SIZE = 500
"""Ports of a block, its first one among them."""
HOST = "127.0.0.1"


class NoPortsError(Exception):
    """Every block of ports is taken."""


def is_free(port: int) -> bool:
    """Whether nobody listens at a port, and none of its connections lingers."""
    with contextlib.closing(socket.socket()) as probe, contextlib.suppress(OSError):
        probe.bind((HOST, port))
        return True
    return False


@dataclass(slots=True)
class PortBlock:
    """Ports that no other process draws; its own until it is closed."""

    lock_socket: socket.socket
    """Bound to the block's first port."""
    first: int
    owner: int = 0
    """Id of the process that took it; one that was forked has none of it."""
    last_offset: int = 0

    def allocate(self) -> int:
        """A port that was not drawn before, as long as there are such.

        Raises:
            NoPortsError: none is free.
        """
        for _ in range(BLOCK_SIZE):
            self.last_offset = self.last_offset % (BLOCK_SIZE - 1) + 1
            if is_free(self.first + self.last_offset):
                return self.first + self.last_offset
        raise NoPortsError(f"no port from {self.first} on is free")

    def close(self) -> None:
        """Give the block back."""
        self.lock_socket.close()


def reserve_block() -> PortBlock:
    """Take a block that no other process has.

    Raises:
        NoPortsError: there is none left.
    """
    for first in range(FIRST_PORT, LAST_PORT, BLOCK_SIZE):
        lock_socket = socket.socket()
        try:
            lock_socket.bind((HOST, first))
        except OSError:
            lock_socket.close()
            continue
        return PortBlock(lock_socket, first, os.getpid())
    raise NoPortsError(f"all blocks of ports from {FIRST_PORT} to {LAST_PORT} are taken")


_block: PortBlock | None = None


def free_port() -> int:
    """A port of this process's own block that nobody listens at.

    Raises:
        NoPortsError: there is none.
    """
    global _block
    if _block is None or _block.owner != os.getpid():
        _block = reserve_block()
    return _block.allocate()
