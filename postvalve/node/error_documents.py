"""Error objects of the OpenAI API, extended by the verdict."""

from __future__ import annotations

import json

from postvalve.exceptions import PostvalveError


def error_event(error: PostvalveError) -> bytes:
    """Return the server-sent event that ends an incomplete stream with an error."""
    return b"data: " + json.dumps(error_document(error)).encode("utf-8") + b"\n\n"


def error_document(error: PostvalveError) -> dict[str, dict[str, str | float | None]]:
    """Return an error object of the OpenAI API with the verdict and the retry delay."""
    return {
        "error": {
            "message": error.message,
            "type": error.error_type,
            "param": error.parameter,
            "code": error.code,
            "verdict": error.verdict.value,
            "retry_after": error.retry_after,
        }
    }
