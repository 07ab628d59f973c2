"""Whether a JSON text was cut, where no frame tells its end."""

from __future__ import annotations


def is_json_cut(text: bytes) -> bool:
    """Whether bytes at the end of a JSON text are missing, or all of them.

    A text that is malformed otherwise isn't cut. A cut inside a number, true, false or null that is
    the whole text isn't told.
    """
    # Counted and not parsed: a text of some megabytes would take much memory as objects.
    parts = text.replace(b"\\\\", b"").replace(b'\\"', b"").split(b'"')
    if not text.strip() or len(parts) % 2 == 0:
        return True
    between_strings = b"".join(parts[::2])
    return any(
        between_strings.count(opening) > between_strings.count(closing)
        for opening, closing in ((b"{", b"}"), (b"[", b"]"))
    )


def is_json(content_type: str) -> bool:
    """Whether a Content-Type header names JSON."""
    media_type = content_type.partition(";")[0].strip().lower()
    return media_type == "application/json" or media_type.endswith("+json")
