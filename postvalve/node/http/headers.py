"""Request headers that postvalve adds to the OpenAI API."""

from __future__ import annotations

import math

from werkzeug.wrappers import Request

from postvalve.exceptions import InvalidRequestError

WORKLOAD_HEADER = "X-Postvalve-Workload"
DEADLINE_HEADER = "X-Postvalve-Deadline"
AT_MOST_ONCE_HEADER = "X-Postvalve-At-Most-Once"
IDEMPOTENCY_HEADER = "Idempotency-Key"
REPLAYED_HEADER = "X-Postvalve-Replayed"
MAX_KEY_LENGTH = 255


def workload_name(request: Request) -> str | None:
    """Return the name of the workload that the caller selects, if any."""
    return request.headers.get(WORKLOAD_HEADER)


def deadline_seconds(request: Request) -> float | None:
    """Return the seconds within which the request must end, if the caller limits them.

    Raises:
        InvalidRequestError: the header is not a positive number.
    """
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return None
    try:
        seconds = float(text)
    except ValueError:
        seconds = math.nan
    if not math.isfinite(seconds) or seconds <= 0:
        raise InvalidRequestError(
            f"{DEADLINE_HEADER}: {text!r} is no positive number of seconds",
            parameter=DEADLINE_HEADER,
        )
    return seconds


def at_most_once(request: Request) -> bool:
    """Return whether the request must run at most once, that is, must not be retried.

    Raises:
        InvalidRequestError: the header is neither true nor false.
    """
    text = request.headers.get(AT_MOST_ONCE_HEADER, "false").lower()
    if text not in ("true", "false"):
        raise InvalidRequestError(
            f"{AT_MOST_ONCE_HEADER}: {text!r} is neither true nor false",
            parameter=AT_MOST_ONCE_HEADER,
        )
    return text == "true"


def idempotency_key(request: Request) -> str | None:
    """Return the idempotency key of the request, if any.

    Raises:
        InvalidRequestError: the key is empty or too long.
    """
    key = request.headers.get(IDEMPOTENCY_HEADER)
    if key is not None and not 0 < len(key) <= MAX_KEY_LENGTH:
        raise InvalidRequestError(
            f"{IDEMPOTENCY_HEADER}: has 1 to {MAX_KEY_LENGTH} characters",
            parameter=IDEMPOTENCY_HEADER,
        )
    return key
