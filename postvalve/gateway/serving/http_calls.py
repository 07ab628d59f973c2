"""Calls of clients and the answers that a node gives of its own."""

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
    """One request of a client, as it came."""

    method: str
    target: str
    """Path and query, unchanged."""
    host: str
    headers: Headers
    body: bytes
    address: str = ""
    """That the call came from; the same caller may come from several."""

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """The query, undecoded."""
        return self.target.partition("?")[2]

    @property
    def header_bytes(self) -> int:
        """Bytes of its headers, never more than came: a client at the limit must not be refused.

        Blanks at values count for nothing, nor does the request's line, which has a limit of the
        server's own; a line's end may be one byte.
        """
        return sum(len(name) + len(value) + len(":\n") for name, value in self.headers)

    def header(self, name: str) -> str | None:
        """One header, by its name in any case."""
        wanted = name.lower()
        return next((value for key, value in self.headers if key.lower() == wanted), None)


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A whole answer of this node's own."""

    status: int
    body: bytes = b""
    headers: list[tuple[str, str]] = field(default_factory=list)
    content_type: str = "application/json"

    @property
    def status_line(self) -> str:
        """Code and phrase."""
        try:
            return f"{self.status} {HTTPStatus(self.status).phrase}"
        except ValueError:
            return f"{self.status} -"


def error_reply(error: PostvalveError, retry_headers: list[tuple[str, str]]) -> HttpReply:
    """An error as an answer; its verdict stands in the body."""
    document = {
        "error": {"message": error.message, "code": error.code, "verdict": error.verdict.value}
    }
    return HttpReply(error.http_status, json.dumps(document).encode(), retry_headers)


class JobCalls(Protocol):
    """Calls about batch jobs, in the spelling of one platform."""

    def matches(self, call: HttpCall) -> bool:
        """Whether a call is about jobs, wherever routes lead."""
        ...

    def serve(self, call: HttpCall, caller: Caller) -> HttpReply:
        """Serve such a call; jobs of other tenants do not exist for it.

        Raises:
            PostvalveError: with the verdict.
        """
        ...

    def submit(self, call: HttpCall, route: RouteSpec, caller: Caller) -> HttpReply:
        """Take a job that came to a batch route.

        Raises:
            PostvalveError: with the verdict.
        """
        ...
