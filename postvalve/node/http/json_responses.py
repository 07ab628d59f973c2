"""JSON responses of the API."""

from __future__ import annotations

import json
from typing import Any

from werkzeug.wrappers import Response


def json_response(document: Any, status: int = 200) -> Response:
    """Return a response with a JSON document."""
    return Response(json.dumps(document), status=status, content_type="application/json")


def list_document(items: list[dict[str, Any]], has_more: bool) -> dict[str, Any]:
    """Return a list object of the OpenAI API that holds one page."""
    return {
        "object": "list",
        "data": items,
        "first_id": items[0]["id"] if items else None,
        "last_id": items[-1]["id"] if items else None,
        "has_more": has_more,
    }
