"""A plain socket relay, the baseline for the cost of relaying through a node."""

from __future__ import annotations

import gevent
from gevent.server import StreamServer
from gevent.socket import create_connection, socket

BLOCK_BYTES = 64 * 1024


def serve_relay(listen: str, target: str) -> None:
    """Copy bytes between clients and `target` until the process ends."""
    host, _, port = listen.rpartition(":")
    target_host, _, target_port = target.rpartition(":")

    def relay(client: socket, address: object) -> None:
        upstream = create_connection((target_host, int(target_port)))
        return_copy = gevent.spawn(_copy, upstream, client)
        _copy(client, upstream)
        return_copy.kill()
        upstream.close()
        client.close()

    StreamServer((host, int(port)), relay).serve_forever()


def _copy(source: socket, sink: socket) -> None:
    try:
        while block := source.recv(BLOCK_BYTES):
            sink.sendall(block)
    except OSError:
        return
