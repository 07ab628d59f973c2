"""Errors as callers of the OpenAI interface know them, with the verdict."""

from __future__ import annotations

import json

from postvalve.exceptions import PostvalveError


def error_event(error: PostvalveError) -> bytes:
    """The server-sent event that ends a stream that could not be finished."""
    return b"data: " + json.dumps(error_document(error)).encode("utf-8") + b"\n\n"


def error_document(error: PostvalveError) -> dict[str, dict[str, str | float | None]]:
    """An error in the shape that callers of the OpenAI interface know, with the verdict."""
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
