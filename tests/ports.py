"""Ports of tests: none that the system, or another process of tests, may give to somebody else."""

import contextlib
import itertools

from scripts import ports

_restricted_ports = None
"""Ports that were named on the command line."""


def free_port():
    """A port that nobody listens at, and that no other process is given."""
    if _restricted_ports is None:
        return ports.free_port()
    return next(port for port in _restricted_ports if ports.is_free(port))


def restrict_ports(first, last):
    """Give `free_port` these ports only."""
    global _restricted_ports
    _restricted_ports = itertools.cycle(range(first, last))


@contextlib.contextmanager
def separate_port_block():
    """Let `free_port` give none that it has given before, or gives afterwards.

    What ends and starts again at its port leaves it for a moment.
    """
    former, ports._block = ports._block, ports.reserve_block()
    try:
        yield
    finally:
        ports._block.close()
        ports._block = former
