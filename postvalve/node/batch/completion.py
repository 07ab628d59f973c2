"""Joins the events of a stream into one whole chat completion."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any

from postvalve.platform.engine import DONE_EVENT

_DATA_PREFIX = b"data: "


def join_events(events: Sequence[bytes]) -> bytes:
    """Build the answer that the engine would have given without streaming.

    Raises:
        ValueError: when the events are no whole stream.
    """
    if len(events) < 2 or events[-1] != DONE_EVENT:
        raise ValueError("the stream is not whole")
    chunks = [json.loads(event.removeprefix(_DATA_PREFIX)) for event in events[:-1]]
    choices = [chunk["choices"][0] for chunk in chunks if chunk["choices"]]
    text = "".join(choice["delta"].get("content") or "" for choice in choices)
    document: dict[str, Any] = {
        "id": chunks[0]["id"],
        "object": "chat.completion",
        "created": chunks[0]["created"],
        "model": chunks[0]["model"],
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": choices[-1]["finish_reason"],
            }
        ],
        "usage": {
            "prompt_tokens": 0,
            "completion_tokens": len(choices),
            "total_tokens": len(choices),
        },
    }
    usage = chunks[-1].get("usage")
    if usage:
        document["usage"] = usage
    return json.dumps(document).encode("utf-8")
