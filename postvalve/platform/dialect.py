"""Headers of the platform's clients and engines."""

from __future__ import annotations

from postvalve.core.admission.request_identity import RequestIdentity, identify
from postvalve.gateway.interfaces import Headers, Judgement, RequestTerms

REQUEST_ID = "Request-Id"
DEADLINE = "Deadline-Ms"
EXPECT_INSTANCE = "Expect-Instance"
NOT_EXECUTED = "Not-Executed"
LAST_EVENT = "Last-Event-Id"
PREFIX = "Prompt-Prefix"
TOKENS = "Token-Count"
RETRY_AFTER = "Retry-After"
ENCODING = "Content-Encoding"
CALLER_HEADERS = frozenset(("authorization", "proxy-authorization", "cookie", "x-api-key"))
"""Headers by which callers name themselves, where they do; none of the platform's own does."""
MISDIRECTED = 421
IMPOSSIBLE = 422

_NOT_PASSED_ON = frozenset(
    (
        "connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade",
        "proxy-connection", "content-length", "expect",
        DEADLINE.lower(), EXPECT_INSTANCE.lower(), LAST_EVENT.lower(),
    )
)  # fmt: skip


class PlatformDialect:
    """See `Dialect`."""

    def read_terms(self, headers: Headers) -> RequestTerms:
        """See `Dialect`."""
        named = {name.lower(): value for name, value in headers}
        allowed = _number(named.get(DEADLINE.lower()))
        key, shared, own = _prompt_parts(named.get(PREFIX.lower(), ""))
        prompt, _, output = named.get(TOKENS.lower(), "").rpartition(",")
        return RequestTerms(
            request_id=named.get(REQUEST_ID.lower(), ""),
            allowed=allowed / 1000 if allowed is not None else None,
            last_event_id=_number(named.get(LAST_EVENT.lower())),
            prefix_key=key,
            shared_tokens=shared,
            own_tokens=own or max(0, (_number(prompt) or 0) - shared),
            output_tokens=_number(output) or 0,
        )

    def attempt_headers(
        self, headers: Headers, engine_id: str, allowed: float | None, last_event_id: int | None
    ) -> list[tuple[str, str]]:
        """See `Dialect`."""
        sent = [(name, value) for name, value in headers if name.lower() not in _NOT_PASSED_ON]
        sent.append((EXPECT_INSTANCE, engine_id))
        if allowed is not None:
            sent.append((DEADLINE, str(max(1, int(allowed * 1000)))))
        if last_event_id is not None:
            sent.append((LAST_EVENT, str(last_event_id)))
        return sent

    def identify(
        self, host: str, method: str, target: str, body: bytes, headers: Headers
    ) -> RequestIdentity:
        """See `Dialect`."""
        fresh = (*_NOT_PASSED_ON, REQUEST_ID.lower(), "host")
        kept = [(name.lower(), value) for name, value in headers if name.lower() not in fresh]
        caller = sorted(one for one in kept if one[0] in CALLER_HEADERS)
        return identify(repr(caller) if caller else "", host, method, target, body, kept)

    def item_headers(self, headers: Headers, item_id: str, host: str) -> list[tuple[str, str]]:
        """See `Dialect`."""
        own = (REQUEST_ID.lower(), "host")
        kept = [(name, value) for name, value in headers if name.lower() not in own]
        return [("Host", host), (REQUEST_ID, item_id), *kept]

    def judge(self, request_id: str, status: int, headers: Headers) -> Judgement:
        """See `Dialect`."""
        named = {name.lower(): value for name, value in headers}
        answered = named.get(REQUEST_ID.lower())
        if status == MISDIRECTED:
            return Judgement.REPLACED
        if NOT_EXECUTED.lower() in named and answered in (None, request_id):
            return Judgement.REFUSED
        if answered != request_id or ENCODING.lower() in named:
            return Judgement.FOREIGN
        if status == IMPOSSIBLE:
            return Judgement.HOPELESS
        return Judgement.ACCEPTED if 200 <= status < 300 else Judgement.FAILED

    def retry_headers(self, seconds: float) -> list[tuple[str, str]]:
        """See `Dialect`."""
        return [(RETRY_AFTER, f"{seconds:.3f}")]


def _number(text: str | None) -> int | None:
    stripped = (text or "").strip()
    return int(stripped) if stripped.isdigit() else None


def _prompt_parts(text: str) -> tuple[str, int, int]:
    """Key and tokens of the shared parts, and tokens of the last part, the request's own."""
    parts = [part.strip().partition(":") for part in text.split(",") if part.strip()]
    tokens = [_number(size) or 0 for _, _, size in parts]
    return ",".join(name for name, _, _ in parts[:-1]), sum(tokens[:-1]), sum(tokens[-1:])
