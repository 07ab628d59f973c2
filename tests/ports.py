"""Ports of tests: none that the system may give to somebody else."""

import contextlib
import itertools
import os
import random
import socket as sockets

FIRST_PORT, LAST_PORT = 10_000, 14_000
"""Ports for tests: below those among which Linux chooses (32,768 and up)."""
OWN_RANGE, OWN_RANGES = 500, 36
"""Ports of a process that needs its own, above those of all others, and how many have such."""
_PORTS = itertools.count(random.Random(os.getpid()).randrange(LAST_PORT - FIRST_PORT))
"""Processes of one test run begin at places of their own."""
_own_ports = None
"""The first and the last one, where a process was given ports that no other takes."""


def free_port():
    """A port that nobody listens at, and that nobody is given before it is listened at.

    A port that the system chose, and that was closed again, may be chosen for another server.
    """
    first, last = _own_ports or (FIRST_PORT, LAST_PORT)
    while True:
        port = first + next(_PORTS) % (last - first)
        with contextlib.closing(sockets.socket()) as one, contextlib.suppress(OSError):
            one.bind(("127.0.0.1", port))
            return port


def take_ports(first, last):
    """Give `free_port` ports that no other process takes: soaks beside each other need it."""
    global _own_ports
    _own_ports = (first, last)


@contextlib.contextmanager
def own_ports():
    """Let `free_port` give none that tests of other processes may take.

    What ends and starts again at its port leaves it for a moment, in which another test that runs
    beside it could be given it.
    """
    first = LAST_PORT + os.getpid() % OWN_RANGES * OWN_RANGE
    take_ports(first, first + OWN_RANGE)
    try:
        yield
    finally:
        take_ports(FIRST_PORT, LAST_PORT)
