"""HTTP server of a node, with limits on connections and on idle or slow clients."""

from __future__ import annotations

import gevent
from gevent.pool import Pool
from gevent.pywsgi import WSGIServer

from postvalve.node.http.application import NodeApplication
from postvalve.settings.process import HttpSettings
from postvalve.wsgi_handler import NoDelayHandler


class _Server(WSGIServer):
    handler_class = NoDelayHandler

    def __init__(self, listen: str, application: NodeApplication, http: HttpSettings) -> None:
        host, _, port = listen.rpartition(":")
        self.idle_timeout = http.idle_timeout
        super().__init__(
            (host, int(port)),
            application,
            log=None,
            error_log=None,
            spawn=Pool(http.max_connections),
        )


class HttpServer:
    """Listens for HTTP connections of callers and operators."""

    def __init__(self, listen: str, application: NodeApplication, http: HttpSettings) -> None:
        self._server = _Server(listen, application, http)

    def start(self) -> None:
        """Start listening."""
        self._server.start()

    def stop(self, timeout: float) -> None:
        """Stop listening; requests in progress have `timeout` seconds to end."""
        self._server.close()
        gevent.spawn(self._server.stop, timeout).join(timeout)
