"""HTTP requests from clients, and the responses that a node gives itself."""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Protocol

from postvalve.core.admission.callers import Caller
from postvalve.exceptions import PostvalveError
from postvalve.gateway.interfaces import Headers
from postvalve.settings.routes import RouteSpec


@dataclass(frozen=True, slots=True)
class HttpCall:
    """A client's request, unchanged."""

    method: str
    target: str
    """Path and query as received."""
    host: str
    headers: Headers
    body: bytes
    address: str = ""
    """IP address that the request came from; one caller may use several."""

    @property
    def path(self) -> str:
        """The path of the target."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """The query of the target, not decoded."""
        return self.target.partition("?")[2]

    @property
    def header_bytes(self) -> int:
        """Size of the headers in bytes, never more than was received.

        Whitespace around values is not counted, a line ending counts as one byte, and the request
        line has a limit of its own in the server. So no client within the limit is refused.
        """
        return sum(len(name) + len(value) + len(":\n") for name, value in self.headers)

    def header(self, name: str) -> str | None:
        """Return the value of a header, its name in any case; None if it is absent."""
        wanted = name.lower()
        return next((value for key, value in self.headers if key.lower() == wanted), None)


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A complete response that this node gives itself."""

    status: int
    body: bytes = b""
    headers: list[tuple[str, str]] = field(default_factory=list)
    content_type: str = "application/json"

    @property
    def status_line(self) -> str:
        """Status code and reason phrase."""
        try:
            return f"{self.status} {HTTPStatus(self.status).phrase}"
        except ValueError:
            return f"{self.status} -"


def error_reply(error: PostvalveError, retry_headers: list[tuple[str, str]]) -> HttpReply:
    """Convert an error to a JSON response, with its verdict in the body."""
    document = {
        "error": {"message": error.message, "code": error.code, "verdict": error.verdict.value}
    }
    return HttpReply(error.http_status, json.dumps(document).encode(), retry_headers)


class JobCalls(Protocol):
    """API calls about batch jobs in the format of one platform."""

    def matches(self, call: HttpCall) -> bool:
        """Whether a call belongs to this API; it then takes precedence over all routes."""
        ...

    def serve(self, call: HttpCall, caller: Caller) -> HttpReply:
        """Serve a call of this API; a caller sees only the jobs of its own tenant.

        Raises:
            PostvalveError: with the verdict.
        """
        ...

    def submit(self, call: HttpCall, route: RouteSpec, caller: Caller) -> HttpReply:
        """Accept a job that was sent to a batch route.

        Raises:
            PostvalveError: with the verdict.
        """
        ...
