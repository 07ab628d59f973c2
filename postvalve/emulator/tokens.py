"""Tokens of the emulated engines: a pure function of model, adapter, version and prompt.

A model name may contain an adapter.
"""

from __future__ import annotations

import hashlib
import json
from collections.abc import Sequence

from pydantic import BaseModel, ConfigDict

DIGEST_PREFIX_LENGTH = 16
CHARACTERS_PER_TOKEN = 4
DEFAULT_MAX_TOKENS = 16


class ChatMessage(BaseModel):
    """Message of a chat completion request."""

    model_config = ConfigDict(extra="ignore")

    role: str
    content: str = ""


class ChatRequest(BaseModel):
    """Chat completion request; fields that the emulated engine does not use are ignored."""

    model_config = ConfigDict(extra="ignore")

    model: str
    messages: list[ChatMessage]
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False

    @property
    def token_count(self) -> int:
        """Number of tokens that the response will have."""
        return self.max_completion_tokens or self.max_tokens or DEFAULT_MAX_TOKENS

    @property
    def prompt_text(self) -> str:
        """All messages with their roles, joined into one text."""
        return "\n".join(f"{message.role}:{message.content}" for message in self.messages)


def prompt_token_count(text: str) -> int:
    """Return the number of tokens of a prompt, at 4 characters per token."""
    return len(text) // CHARACTERS_PER_TOKEN + 1


def first_token(last_message: str) -> str:
    """Return the first token of a response: 16 hex digits of the last message's SHA-256.

    It lets tests and clients check that a response belongs to its request.
    """
    return hashlib.sha256(last_message.encode("utf-8")).hexdigest()[:DIGEST_PREFIX_LENGTH]


class TokenSequence:
    """Tokens of a response, computed by index."""

    def __init__(self, request: ChatRequest, version: str) -> None:
        self._first = first_token(request.messages[-1].content)
        identity = f"{request.model}\0{version}\0{request.prompt_text}"
        self._seed = hashlib.sha256(identity.encode("utf-8")).digest()
        self.count = request.token_count

    def token(self, index: int) -> str:
        """Return the token at `index`; all tokens except the first start with a space."""
        if index == 0:
            return self._first
        digest = hashlib.blake2b(self._seed + index.to_bytes(4, "big"), digest_size=3)
        return " " + digest.hexdigest()

    def text(self) -> str:
        """Return the text of all tokens."""
        return "".join(self.token(index) for index in range(self.count))


def completion_document(
    request_id: str, request: ChatRequest, text: str, prompt_tokens: int, token_count: int
) -> bytes:
    """Return a response that is not streamed, as a chat completion document."""
    document = {
        "id": request_id,
        "object": "chat.completion",
        "created": 0,
        "model": request.model,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "length",
            }
        ],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": token_count,
            "total_tokens": prompt_tokens + token_count,
        },
    }
    return json.dumps(document).encode("utf-8")


def chunk_event(request_id: str, model: str, tokens: Sequence[str], finished: bool) -> bytes:
    """Return a server-sent event with a chunk of a chat completion."""
    document = {
        "id": request_id,
        "object": "chat.completion.chunk",
        "created": 0,
        "model": model,
        "choices": [
            {
                "index": 0,
                "delta": {"role": "assistant", "content": "".join(tokens)},
                "finish_reason": "length" if finished else None,
            }
        ],
    }
    return b"data: " + json.dumps(document, separators=(",", ":")).encode("utf-8") + b"\n\n"


DONE_EVENT = b"data: [DONE]\n\n"
"""Last event of a streamed response."""
