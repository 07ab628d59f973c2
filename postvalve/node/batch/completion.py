"""Joins the events of a streamed chat completion into one response document."""

from __future__ import annotations

import json
from collections.abc import Sequence
from typing import Any

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from postvalve.exceptions import AttemptError, MalformedJsonError, Verdict
from postvalve.json_input import check_json
from postvalve.services.engine import DONE_EVENT

_DATA_PREFIX = b"data: "


class _Lenient(BaseModel):
    model_config = ConfigDict(extra="ignore")


class _Delta(_Lenient):
    content: str | None = None


class _Choice(_Lenient):
    delta: _Delta
    finish_reason: str | None = None


class _Chunk(_Lenient):
    id: str
    created: int = 0
    model: str
    choices: list[_Choice] = Field(max_length=1)
    usage: dict[str, Any] | None = None


def join_events(events: Sequence[bytes]) -> bytes:
    """Build the response body that the engine would have sent without streaming.

    Raises:
        AttemptError: with MAY_HAVE_RUN, if the stream is incomplete or malformed.
    """
    if len(events) < 2 or events[-1] != DONE_EVENT:
        raise AttemptError(
            f"engine stream incomplete after {len(events)} events", Verdict.MAY_HAVE_RUN
        )
    chunks = [_parse(event) for event in events[:-1]]
    choices = [choice for chunk in chunks for choice in chunk.choices]
    text = "".join(choice.delta.content or "" for choice in choices)
    usage = {
        "prompt_tokens": 0,
        "completion_tokens": len(choices),
        "total_tokens": len(choices),
    }
    document: dict[str, Any] = {
        "id": chunks[0].id,
        "object": "chat.completion",
        "created": chunks[0].created,
        "model": chunks[0].model,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": choices[-1].finish_reason if choices else None,
            }
        ],
        "usage": chunks[-1].usage or usage,
    }
    return json.dumps(document).encode("utf-8")


def _parse(event: bytes) -> _Chunk:
    document = event.removeprefix(_DATA_PREFIX)
    try:
        check_json(document)
        return _Chunk.model_validate_json(document)
    except MalformedJsonError as error:
        raise AttemptError(
            f"engine sent a malformed event: {error.message}", Verdict.MAY_HAVE_RUN
        ) from error
    except ValidationError as error:
        raise AttemptError(
            f"engine sent a malformed event: {error.error_count()} validation errors",
            Verdict.MAY_HAVE_RUN,
        ) from error
