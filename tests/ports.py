"""Ports for tests, which neither the system nor another test process uses."""

import contextlib
import itertools

from scripts import ports

_restricted_ports = None
"""Ports given on the command line, in turn; None to allocate from this process's block."""


def free_port():
    """Return a free port that no other test process uses."""
    if _restricted_ports is None:
        return ports.free_port()
    return next(port for port in _restricted_ports if ports.is_free(port))


def restrict_ports(first, last):
    """Make `free_port` return only ports from `first` up to, not including, `last`."""
    global _restricted_ports
    _restricted_ports = itertools.cycle(range(first, last))


@contextlib.contextmanager
def separate_port_block():
    """Make `free_port` allocate from another block, so that no port is reused inside and outside.

    A process that restarts at its port leaves the port unbound for a moment, in which it would
    otherwise look free.
    """
    former, ports._block = ports._block, ports.reserve_block()
    try:
        yield
    finally:
        ports._block.close()
        ports._block = former
