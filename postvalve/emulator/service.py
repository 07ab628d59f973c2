"""WSGI server with a route table, shared by the emulators and stopped by signals."""

from __future__ import annotations

import json
import signal
from collections.abc import Callable, Mapping
from typing import Any

import gevent
from gevent.pywsgi import WSGIHandler, WSGIServer
from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from postvalve.sockets import disable_nagle

Handler = Callable[..., Response]


def json_response(document: Any, status: int = 200) -> Response:
    """Return a response with a JSON body."""
    return Response(json.dumps(document), status=status, content_type="application/json")


class EmulatorApplication:
    """WSGI application that dispatches by a table from `"METHOD /path"` to handler."""

    def __init__(self, handlers: Mapping[str, Handler]) -> None:
        self._handlers = dict(handlers)
        self._routes = Map(
            [
                Rule(route.split(" ")[1], methods=[route.split(" ")[0]], endpoint=route)
                for route in handlers
            ]
        )

    def __call__(self, environ: dict[str, Any], start_response: Callable[..., Any]) -> Any:
        """Handle one request; a ValueError or KeyError of a handler gives status 400."""
        try:
            endpoint, arguments = self._routes.bind_to_environ(environ).match()
            response = self._handlers[endpoint](Request(environ), **arguments)
        except HTTPException as error:
            response = error.get_response(environ)
        except (ValueError, KeyError) as error:
            response = json_response({"error": str(error)}, 400)
        return response(environ, start_response)


class _Handler(WSGIHandler):
    def __init__(self, connection: Any, *arguments: Any, **options: Any) -> None:
        disable_nagle(connection)
        super().__init__(connection, *arguments, **options)


def serve(listen: str, application: EmulatorApplication) -> None:
    """Serve until SIGTERM or SIGINT."""
    host, _, port = listen.rpartition(":")
    server = WSGIServer(
        (host, int(port)), application, log=None, error_log=None, handler_class=_Handler
    )
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, server.stop, 1)
    server.serve_forever()
