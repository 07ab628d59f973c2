"""Decoder of JSON from outside this process: the store, callers, engines, machines and files.

A document is measured before anything is built from it. Its nesting, numbers, strings and size are
bounded, so that no document can exhaust the stack or the memory, or give a number that later
arithmetic or a message between nodes can't hold. Only what RFC 8259 defines is accepted: UTF-8, no
`NaN` or `Infinity`, no half of a surrogate pair.
"""

from __future__ import annotations

import re
from itertools import accumulate
from typing import Any

import pydantic_core

from postvalve.exceptions import MalformedJsonError

MAX_BYTES = 16 * 1024 * 1024
"""Maximum size of a document in bytes. What is built from it may take some twenty times as much."""
MAX_DEPTH = 200
"""Maximum nesting of arrays and objects, the same as where models are read from JSON directly."""
MAX_NUMBER_LENGTH = 64
"""Maximum number of characters of a number. Each float, and each integer of 64 bits, has fewer."""
MAX_STRING_BYTES = 12 * 1024 * 1024
"""Maximum size of a string in bytes, as it is written in the document. The largest answer of an
engine in base64 has less."""

_LONG_NUMBER = re.compile(rb"[-+.0-9eE]{%d}" % (MAX_NUMBER_LENGTH + 1))
# With at most 64 characters, a number with a smaller exponent is finite.
_LARGE_EXPONENT = re.compile(rb"[0-9][eE]\+?0*[1-9][0-9]{2}")
_SURROGATE = re.compile(rb"\\u[dD][89a-fA-F]")
# A whole pair, or an escaped backslash, is kept (group 1); a half alone is not.
_ESCAPE = re.compile(
    rb"(\\\\|\\u[dD][89abAB][0-9a-fA-F]{2}\\u[dD][c-fC-F][0-9a-fA-F]{2})|\\u[dD][89a-fA-F][0-9a-fA-F]{2}"
)
_NO_BRACKET = re.compile(rb"[^][{}]+")
_STEPS = [0] * 256
for _character, _step in zip(b"[{]}", (1, 1, -1, -1), strict=True):
    _STEPS[_character] = _step


def parse_json(content: bytes, max_bytes: int = MAX_BYTES) -> Any:
    """Parse a document.

    Args:
        content: The document in UTF-8.
        max_bytes: Maximum size of the document in bytes.

    Raises:
        MalformedJsonError: It is no JSON, or exceeds a bound.
    """
    if len(content) > max_bytes:
        raise MalformedJsonError(f"{len(content)} bytes, at most {max_bytes} are allowed")
    check_json(content, MAX_STRING_BYTES)
    try:
        return pydantic_core.from_json(content, allow_inf_nan=False, cache_strings="keys")
    except ValueError as error:
        raise MalformedJsonError(str(error)) from None


def check_json(content: bytes, max_string_bytes: int | None = None) -> None:
    """Check a document against the bounds before a model parses it.

    Its size must have been limited before.

    Args:
        content: The document.
        max_string_bytes: Maximum size of a string in bytes; None for no other limit than the size.

    Raises:
        MalformedJsonError: It exceeds a bound.
    """
    # Escaped quotes go first, so that each quote that is left begins or ends a string.
    pieces = content.replace(b"\\\\", b"__").replace(b'\\"', b"__").split(b'"')
    if max_string_bytes is not None and max(map(len, pieces)) > max_string_bytes:
        raise MalformedJsonError(f"a string of more than {max_string_bytes} bytes")
    bare = b'"'.join(pieces[::2])
    if _LONG_NUMBER.search(bare):
        raise MalformedJsonError(f"a number of more than {MAX_NUMBER_LENGTH} characters")
    if _LARGE_EXPONENT.search(bare):
        raise MalformedJsonError("a number with an exponent above 99")
    if bare.count(b"[") + bare.count(b"{") > MAX_DEPTH and _depth(bare) > MAX_DEPTH:
        raise MalformedJsonError(f"nested more than {MAX_DEPTH} deep")


def replace_lone_surrogates(content: bytes) -> bytes:
    """Replace escaped halves of surrogate pairs by the replacement character."""
    if not _SURROGATE.search(content):
        return content
    return _ESCAPE.sub(lambda found: found[0] if found[1] else rb"\ufffd", content)


def _depth(bare: bytes) -> int:
    """Return the greatest nesting in a document without the content of its strings."""
    return max(accumulate(map(_STEPS.__getitem__, _NO_BRACKET.sub(b"", bare))))
