"""I/O layer of a node: connects sockets, timers and platform services to the logic in `core`."""
