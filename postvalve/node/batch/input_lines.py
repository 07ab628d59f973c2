"""Validates batch input lines and chat requests; errors name the line and the field."""

from __future__ import annotations

from typing import Annotated, Any, Literal

import xxhash
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from postvalve.exceptions import InvalidRequestError, MalformedJsonError, RequestTooLargeError
from postvalve.json_input import check_json

MAX_LINE_BYTES = 1024 * 1024
"""Maximum size of one line of a batch input file, in bytes."""
MAX_CUSTOM_ID_LENGTH = 512
CHAT_ENDPOINT = "/v1/chat/completions"

ShortText = Annotated[str, Field(min_length=1, max_length=MAX_CUSTOM_ID_LENGTH)]


class ChatMessageBody(BaseModel):
    """One message of a conversation; unknown fields are passed on to the engine."""

    model_config = ConfigDict(extra="allow", strict=True)

    role: ShortText
    content: str


class ChatCompletionBody(BaseModel):
    """The fields of a chat completion request that postvalve reads; others are passed on."""

    model_config = ConfigDict(extra="allow", strict=True)

    model: ShortText
    messages: list[ChatMessageBody] = Field(min_length=1)
    stream: bool = False
    max_tokens: int | None = Field(None, gt=0)
    max_completion_tokens: int | None = Field(None, gt=0)
    n: Literal[1] | None = None


class BatchLine(BaseModel):
    """One line of a batch input file."""

    model_config = ConfigDict(extra="forbid", strict=True)

    custom_id: ShortText
    method: Literal["POST"]
    url: Literal["/v1/chat/completions"]
    body: ChatCompletionBody


def check_chat_body(content: bytes) -> ChatCompletionBody:
    """Validate the body of an online request.

    Raises:
        InvalidRequestError: if the body is invalid; the message names the field.
    """
    check_json(content)
    try:
        return ChatCompletionBody.model_validate_json(content)
    except ValidationError as error:
        raise _first_error(error, "") from None


def check_line(line: bytes, number: int) -> BatchLine:
    """Validate one line of a batch input file; `number` counts from 1.

    Raises:
        InvalidRequestError: if the line is invalid; the message names the line and the field.
    """
    if len(line) > MAX_LINE_BYTES:
        raise RequestTooLargeError(
            f"line {number}: over {MAX_LINE_BYTES} bytes", parameter=f"line {number}"
        )
    try:
        check_json(line)
        return BatchLine.model_validate_json(line)
    except MalformedJsonError as error:
        message = f"line {number}: {error.message}"
        raise InvalidRequestError(message, parameter=f"line {number}") from None
    except ValidationError as error:
        raise _first_error(error, f"line {number}: ") from None


def _first_error(error: ValidationError, prefix: str) -> InvalidRequestError:
    detail: Any = error.errors(include_url=False, include_input=False, include_context=False)[0]
    field = ".".join(str(part) for part in detail["loc"])
    location = f"{field}: " if field else ""
    return InvalidRequestError(
        f"{prefix}{location}{detail['msg']}", parameter=field or prefix.rstrip(": ") or None
    )


class InputChecker:
    """Validates the lines of one file.

    All lines must have the same model, and each a custom id of its own.
    """

    def __init__(self, max_items: int) -> None:
        self._max_items = max_items
        self._custom_ids: set[int] = set()
        self.lines = 0
        self.model = ""

    def check(self, line: bytes) -> None:
        """Validate the next line.

        Raises:
            InvalidRequestError: if the line is invalid; the message names the line and the field.
        """
        self.lines += 1
        if self.lines > self._max_items:
            raise RequestTooLargeError(f"over {self._max_items} lines", parameter="file")
        parsed = check_line(line, self.lines)
        self._check_unique(parsed.custom_id)
        self._check_model(parsed.body.model)

    def _check_unique(self, custom_id: str) -> None:
        digest = xxhash.xxh3_128_intdigest(custom_id.encode())
        if digest in self._custom_ids:
            raise InvalidRequestError(
                f"line {self.lines}: custom_id: {custom_id!r} stands on an earlier line",
                parameter="custom_id",
            )
        self._custom_ids.add(digest)

    def _check_model(self, model: str) -> None:
        if self.model and model != self.model:
            raise InvalidRequestError(
                f"line {self.lines}: body.model: {model!r}, but line 1 has {self.model!r}",
                parameter="body.model",
            )
        self.model = model
