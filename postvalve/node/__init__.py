"""Shells of a node: they carry bytes between sockets and the state machines of `core`."""
