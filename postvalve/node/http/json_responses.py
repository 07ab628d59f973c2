"""JSON answers of the callers' interface."""

from __future__ import annotations

import json
from typing import Any

from werkzeug.wrappers import Response


def json_response(document: Any, status: int = 200) -> Response:
    """Answer a document as JSON."""
    return Response(json.dumps(document), status=status, content_type="application/json")


def list_document(items: list[dict[str, Any]], has_more: bool) -> dict[str, Any]:
    """A page of a list, as callers of the OpenAI interface know it."""
    return {
        "object": "list",
        "data": items,
        "first_id": items[0]["id"] if items else None,
        "last_id": items[-1]["id"] if items else None,
        "has_more": has_more,
    }
