"""Every error of postvalve, each with a verdict on whether the request may have run."""

from __future__ import annotations

import enum


class Verdict(enum.StrEnum):
    """Whether a request that was refused or failed may have had an effect."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    RAN = "ran"


class PostvalveError(Exception):
    """Base of all errors.

    Attributes:
        message: What happened, for a person.
        verdict: Whether the request may have run.
        code: Stable machine-readable name of the failure.
        http_status: Status a caller sees.
        retry_after: Seconds after which a later try makes sense; None when it doesn't.
        parameter: The field of the request at fault, if any.
    """

    verdict = Verdict.NOT_RUN
    code = "internal_error"
    error_type = "server_error"
    http_status = 500

    def __init__(
        self,
        message: str,
        *,
        retry_after: float | None = None,
        parameter: str | None = None,
        code: str | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        self.retry_after = retry_after
        self.parameter = parameter
        if code is not None:
            self.code = code


class InvalidRequestError(PostvalveError):
    """The caller's request is malformed; the message names the line and the field."""

    code = "invalid_request"
    error_type = "invalid_request_error"
    http_status = 400


class RequestTooLargeError(InvalidRequestError):
    """A body, a header or an item count is over its limit."""

    code = "request_too_large"
    http_status = 413


class HeadTooLargeError(RequestTooLargeError):
    """A request's headers are over the operators' limit."""

    http_status = 431


class AuthenticationError(PostvalveError):
    """No API key, or one that no tenant has."""

    code = "invalid_api_key"
    error_type = "authentication_error"
    http_status = 401


class PermissionDeniedError(PostvalveError):
    """The tenant may not use this workload or model."""

    code = "permission_denied"
    error_type = "permission_error"
    http_status = 403


class NotFoundError(PostvalveError):
    """No such object that this tenant may see."""

    code = "not_found"
    error_type = "invalid_request_error"
    http_status = 404


class MethodNotAllowedError(PostvalveError):
    """The path exists, but not with this method."""

    code = "method_not_allowed"
    error_type = "invalid_request_error"
    http_status = 405


class ConflictError(PostvalveError):
    """The same idempotency key came with another body, or the object is in another state."""

    code = "conflict"
    error_type = "invalid_request_error"
    http_status = 409


class RefusedError(PostvalveError):
    """The request did not run: the fleet has no room, or this node is not ready."""

    code = "overloaded"
    error_type = "overloaded_error"
    http_status = 503


class RateLimitedError(RefusedError):
    """The tenant is over one of its limits."""

    code = "rate_limited"
    error_type = "rate_limit_error"
    http_status = 429


class LimitUnknownError(RefusedError):
    """No node that keeps the tenant's count answered."""

    code = "limit_unknown"


class KeyUnknownError(RefusedError):
    """This node can't tell whose API key it is: it may have missed that keys changed."""


class StoreUnreachableError(RefusedError):
    """What was asked needs the store, and nothing of it was done."""


class RequestExpiredError(RefusedError):
    """The time that a request has was over before it could run."""


class DrainingError(RefusedError):
    """This node is leaving and takes no new work."""

    code = "draining"


class NotReadyError(RefusedError):
    """This node has no configuration yet."""

    code = "not_ready"


class DeadlineExceededError(PostvalveError):
    """The deadline passed before the request could start."""

    code = "deadline_exceeded"
    error_type = "timeout_error"
    http_status = 504


class GivenUpError(DeadlineExceededError):
    """The time of a request that may have run is over."""

    verdict = Verdict.MAY_HAVE_RUN


class ClientGoneError(PostvalveError):
    """The client closed its connection."""

    code = "client_gone"
    http_status = 499
    verdict = Verdict.MAY_HAVE_RUN


class AttemptError(PostvalveError):
    """One attempt at an engine failed; the verdict says whether it may have run."""

    code = "engine_failed"
    http_status = 502

    def __init__(self, message: str, verdict: Verdict, *, retry_after: float | None = None) -> None:
        super().__init__(message, retry_after=retry_after)
        self.verdict = verdict


class EngineDisconnectedError(AttemptError):
    """The engine's connection ended before its answer did: the engine itself may have ended."""


class QuarantinedError(PostvalveError):
    """Engines ended under the same request before, so it is not run now.

    It tells no time to come back, and not that it has not run: as often as it came it would be
    held back, and each of the runs before did run.

    Attributes:
        seconds: For how long it is held back.
    """

    code = "request_quarantined"
    http_status = 502
    verdict = Verdict.MAY_HAVE_RUN

    def __init__(self, seconds: float) -> None:
        super().__init__(
            f"engines ended while they ran this request before; it is not run for {seconds:.0f} s"
        )
        self.seconds = seconds


class CrossedAnswerError(AttemptError):
    """The engine answered for another attempt; the answer was dropped."""

    code = "crossed_answer"

    def __init__(self) -> None:
        super().__init__("the engine answered for another attempt", Verdict.MAY_HAVE_RUN)


class EngineRejectedError(PostvalveError):
    """The engine refused the request as invalid: it did not run, and would not elsewhere."""

    code = "engine_rejected"
    error_type = "invalid_request_error"
    http_status = 400


class PlatformError(PostvalveError):
    """A service of the platform failed."""

    code = "platform_unavailable"
    http_status = 503


class LogUnavailableError(PlatformError):
    """The log did not take or did not give records.

    `verdict` is MAY_HAVE_RUN where an append was sent and its answer did not come.
    """

    code = "log_unavailable"

    def __init__(self, message: str, verdict: Verdict, *, retry_after: float | None = None) -> None:
        super().__init__(message, retry_after=retry_after)
        self.verdict = verdict


class PeerUnavailableError(PlatformError):
    """Another node did not answer; the verdict says whether it may have acted."""

    code = "peer_unavailable"

    def __init__(self, message: str, verdict: Verdict) -> None:
        super().__init__(message)
        self.verdict = verdict


class RevisionConflictError(ConflictError):
    """Another change of the configuration came first."""

    code = "revision_conflict"


class SettingsError(PostvalveError):
    """One mistake in settings or configuration, with its place."""

    code = "invalid_settings"
    http_status = 400

    def __init__(self, place: str, message: str) -> None:
        super().__init__(f"{place}: {message}", parameter=place)
        self.place = place
