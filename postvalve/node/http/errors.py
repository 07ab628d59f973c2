"""HTTP error responses; each carries the verdict on whether the request may have run."""

from __future__ import annotations

import json
import math

from werkzeug.wrappers import Response

from postvalve.exceptions import PostvalveError
from postvalve.node.error_documents import error_document

VERDICT_HEADER = "X-Postvalve-Verdict"


def error_response(error: PostvalveError) -> Response:
    """Return the HTTP response for an error."""
    response = Response(
        json.dumps(error_document(error)),
        status=error.http_status,
        content_type="application/json",
    )
    response.headers[VERDICT_HEADER] = error.verdict.value
    if error.retry_after is not None:
        response.headers["Retry-After"] = str(max(1, math.ceil(error.retry_after)))
    return response
