"""HTTP headers that the platform's clients and engines use."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Any

from pydantic import BaseModel, Field

from postvalve.core.admission.part_quarantine import MAX_PARTS
from postvalve.core.admission.request_identity import (
    RequestIdentity,
    identify,
    identify_parts,
)
from postvalve.core.routing.engine_load import EngineLoad, EngineLoadError
from postvalve.core.routing.silent_run import RunReport
from postvalve.exceptions import AuthenticationError, MalformedJsonError
from postvalve.gateway.interfaces import Headers, Judgement, RequestTerms
from postvalve.json_input import parse_json

REQUEST_ID = "Request-Id"
DEADLINE = "Deadline-Ms"
EXPECT_INSTANCE = "Expect-Instance"
NOT_EXECUTED = "Not-Executed"
LAST_EVENT_ID = "Last-Event-Id"
RESUMES = "Resumes"
PROMPT_PREFIX = "Prompt-Prefix"
MODEL = "Model"
TOKEN_COUNT = "Token-Count"
RETRY_AFTER = "Retry-After"
CONTENT_ENCODING = "Content-Encoding"
ENGINE_LOAD = "Server-Load"
API_KEY = "Api-Key"
TENANT = "Tenant"
CALLER_HEADERS = frozenset(("authorization", "proxy-authorization", "cookie", "x-api-key"))
"""Headers that identify the caller if the configuration defines no tenants."""
MAX_REQUESTS = 1_000_000
"""Maximum number of requests or slots in an engine's load header; a header with more is invalid."""
MAX_PACE_PERCENT = 100_000
"""Maximum pace in an engine's load header, in per cent, where 100 means that work takes as long as
usual; a header with more is invalid."""
MAX_LOGGED_CHARACTERS = 80
"""Number of characters of an invalid load header that are quoted in the log."""
MAX_DIGITS = 18
"""Maximum number of digits of a number in a header. A longer number counts as missing, since
arithmetic with it may raise an exception."""
RUN_REPORT_PATH = "/api/report"
MAX_REPORT_BYTES = 1_048_576
"""Maximum size of an engine's report in bytes; a larger one is invalid."""
MAX_EVENTS = 2**32
"""Number of events of a run from which on an engine's report is invalid."""
MISDIRECTED = 421
"""HTTP status of an engine whose id differs from the one expected."""
FAILED_ATTEMPT = 500
"""HTTP status of an engine at which an attempt of an item has failed."""
UNPROCESSABLE = 422
"""HTTP status of an engine that cannot serve the request; no other engine could either."""

_NOT_FORWARDED = frozenset(
    (
        "connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade",
        "proxy-connection", "content-length", "expect",
        DEADLINE.lower(), EXPECT_INSTANCE.lower(), LAST_EVENT_ID.lower(),
        API_KEY.lower(), TENANT.lower(),
    )
)  # fmt: skip


class _RunReport(BaseModel):
    """An engine's report, as far as it is used."""

    waiting: int = Field(ge=0, le=MAX_REQUESTS)
    runs: list[list[Any]] = Field(max_length=MAX_REQUESTS)
    """Request id, tokens in memory, events made and priority of each run."""

    def events_made(self) -> dict[str, int]:
        """Return the events made by each run, by request id.

        Raises:
            ValueError: A row has another form.
        """
        found = {}
        for request_id, _, made, *_ in self.runs:
            if not isinstance(request_id, str) or not isinstance(made, int):
                raise ValueError("a run without an id or a number of events")
            if not 0 <= made < MAX_EVENTS:
                raise ValueError(f"a run with {made} events")
            found[request_id] = made
        return found


class PlatformDialect:
    """Implementation of `Dialect` for the platform's headers."""

    def read_terms(self, headers: Headers) -> RequestTerms:
        """See `Dialect`."""
        by_name = {name.lower(): value for name, value in headers}
        allowed = _parse_number(by_name.get(DEADLINE.lower()))
        key, shared, own = _parse_prompt_parts(by_name.get(PROMPT_PREFIX.lower(), ""))
        prompt, _, output = by_name.get(TOKEN_COUNT.lower(), "").rpartition(",")
        return RequestTerms(
            request_id=by_name.get(REQUEST_ID.lower(), ""),
            allowed=allowed / 1000 if allowed is not None else None,
            last_event_id=_parse_number(by_name.get(LAST_EVENT_ID.lower())),
            prefix_key=key,
            shared_tokens=shared,
            own_tokens=own or max(0, (_parse_number(prompt) or 0) - shared),
            output_tokens=_parse_number(output) or 0,
            begun_as=by_name.get(RESUMES.lower(), "").strip(),
        )

    def api_key(self, headers: Headers) -> str | None:
        """See `Dialect`."""
        keys = [value for name, value in headers if _normalize_name(name) == API_KEY.lower()]
        if len(keys) > 1:
            raise AuthenticationError("more than one API key")
        return keys[0] if keys else None

    def attempt_headers(
        self,
        headers: Headers,
        tenant: str,
        engine_id: str,
        allowed: float | None,
        last_event_id: int | None,
    ) -> list[tuple[str, str]]:
        """See `Dialect`."""
        sent = [
            (name, value) for name, value in headers if _normalize_name(name) not in _NOT_FORWARDED
        ]
        sent.append((EXPECT_INSTANCE, engine_id))
        if tenant:
            sent.append((TENANT, tenant))
        if allowed is not None:
            sent.append((DEADLINE, str(max(1, int(allowed * 1000)))))
        if last_event_id is not None:
            sent.append((LAST_EVENT_ID, str(last_event_id)))
        return sent

    def identify(
        self, tenant: str, host: str, method: str, target: str, body: bytes, headers: Headers
    ) -> RequestIdentity:
        """See `Dialect`."""
        excluded = (*_NOT_FORWARDED, REQUEST_ID.lower(), RESUMES.lower(), "host")
        kept = [
            (_normalize_name(name), value)
            for name, value in headers
            if _normalize_name(name) not in excluded
        ]
        return identify(_caller(tenant, headers), host, method, target, body, kept)

    def identify_parts(self, tenant: str, service: str, headers: Headers) -> Sequence[bytes]:
        """See `Dialect`."""
        by_name = {name.lower(): value for name, value in headers}
        parts = _split_parts(by_name.get(PROMPT_PREFIX.lower(), ""))
        names = dict.fromkeys(name.strip().lower() for name, _, _ in parts[:-1])
        model = by_name.get(MODEL.lower(), "").strip()
        return identify_parts(_caller(tenant, headers), service, model, [*names][:MAX_PARTS])

    def item_headers(self, headers: Headers, item_id: str, host: str) -> list[tuple[str, str]]:
        """See `Dialect`."""
        replaced = (REQUEST_ID.lower(), "host")
        kept = [(name, value) for name, value in headers if _normalize_name(name) not in replaced]
        return [("Host", host), (REQUEST_ID, item_id), *kept]

    def judge(self, request_id: str, status: int, headers: Headers) -> Judgement:
        """See `Dialect`."""
        by_name = {name.lower(): value for name, value in headers}
        answered_id = by_name.get(REQUEST_ID.lower(), "")
        if answered_id != request_id:
            return Judgement.FOREIGN
        if status == MISDIRECTED:
            return Judgement.REPLACED
        if NOT_EXECUTED.lower() in by_name:
            return Judgement.REFUSED
        if CONTENT_ENCODING.lower() in by_name:
            return Judgement.FOREIGN
        if status == UNPROCESSABLE:
            return Judgement.HOPELESS
        return Judgement.ACCEPTED if 200 <= status < 300 else Judgement.FAILED

    def engine_load(self, headers: Headers, now: float) -> EngineLoad | None:
        """See `Dialect`."""
        values = [value for name, value in headers if _normalize_name(name) == ENGINE_LOAD.lower()]
        if not values:
            return None
        numbers = [_parse_number(field) for field in ",".join(values).split(",")]
        match numbers:
            case [int(running), int(waiting), int(slots)]:
                percent = None
            case [int(running), int(waiting), int(slots), int(percent)]:
                pass
            case _:
                raise EngineLoadError(",".join(values)[:MAX_LOGGED_CHARACTERS])
        if max(running, waiting, slots) > MAX_REQUESTS or not slots:
            raise EngineLoadError(",".join(values)[:MAX_LOGGED_CHARACTERS])
        if percent is not None and not 0 < percent <= MAX_PACE_PERCENT:
            raise EngineLoadError(",".join(values)[:MAX_LOGGED_CHARACTERS])
        pace = percent / 100 if percent is not None else None
        return EngineLoad(now, running, waiting, slots, pace)

    def is_failed_attempt(self, status: int) -> bool:
        """See `Dialect`."""
        return status == FAILED_ATTEMPT

    run_report_target = RUN_REPORT_PATH

    def read_run_report(self, body: bytes) -> RunReport | None:
        """See `Dialect`."""
        try:
            told = _RunReport.model_validate(parse_json(body, MAX_REPORT_BYTES))
            return RunReport(told.waiting, told.events_made())
        except (MalformedJsonError, ValueError):  # pydantic's errors are ValueErrors
            return None

    def retry_headers(self, seconds: float) -> list[tuple[str, str]]:
        """See `Dialect`."""
        return [(RETRY_AFTER, f"{seconds:.3f}")]


def strip_caller_headers(headers: Iterable[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return the headers without API key and tenant: only postvalve may state who the caller is."""
    return [
        header
        for header in headers
        if _normalize_name(header[0]) not in (API_KEY.lower(), TENANT.lower())
    ]


def _caller(tenant: str, headers: Headers) -> str:
    """Return the sender of a request: its tenant, or else its credentials; empty without both."""
    named = ((_normalize_name(name), value) for name, value in headers)
    credentials = sorted(header for header in named if header[0] in CALLER_HEADERS)
    return tenant or (repr(credentials) if credentials else "")


def _normalize_name(name: str) -> str:
    """Return a header name in lower case and without surrounding white space.

    Some engines ignore such white space, so a name that has it must be treated like one without.
    """
    return name.strip().lower()


def _parse_number(text: str | None) -> int | None:
    """Parse a whole number; return None if there is none or it has more than `MAX_DIGITS`."""
    stripped = (text or "").strip()
    if len(stripped) > MAX_DIGITS or not (stripped.isascii() and stripped.isdigit()):
        return None
    return int(stripped)


def _split_parts(text: str) -> list[tuple[str, str, str]]:
    """Split a list of `NAME:TOKENS`."""
    return [part.strip().partition(":") for part in text.split(",") if part.strip()]


def _parse_prompt_parts(text: str) -> tuple[str, int, int]:
    """Parse a list of `NAME:TOKENS`, the parts of a prompt.

    All parts but the last are shared with other requests; the last is the request's own.

    Returns:
        A key of the shared parts, their number of tokens, and that of the last part.
    """
    parts = _split_parts(text)
    tokens = [_parse_number(size) or 0 for _, _, size in parts]
    return ",".join(name for name, _, _ in parts[:-1]), sum(tokens[:-1]), sum(tokens[-1:])
