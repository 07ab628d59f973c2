"""Incremental parser of one engine's response, with limits on what is kept of it."""

from __future__ import annotations

from geventhttpclient.response import HTTPParseError, HTTPResponse

from postvalve.core.serving.http_status import is_final, is_interim
from postvalve.gateway.engines.event_stream import MAX_EMPTY_LINE, event_end

KNOWN_CODINGS = frozenset(("chunked", "identity"))
"""Transfer codings that the parser decodes; the second is a former name for none."""


class ResponseParser(HTTPResponse):
    """HTTP parser for a single response that records whether further bytes follow it."""

    has_trailing_data = False
    pending = 0
    """Bytes fed since the start, or since the last event was taken."""

    def __init__(self, method: str) -> None:
        super().__init__(method)
        self._event_size = 0
        """Size of the first event of the buffer; 0 if none is known."""
        self._scanned = 0
        """Bytes at the start of the buffer in which no event ends."""

    def _on_message_begin(self) -> None:
        if self.message_complete and is_final(self.get_code()):
            self.has_trailing_data = True
            raise HTTPParseError("bytes after the end of the response")
        super()._on_message_begin()

    def _on_headers_complete(self) -> int | bool | None:
        skips_body = super()._on_headers_complete()
        status = self.get_code()
        if not (is_interim(status) or is_final(status)):
            # What follows is no answer either, however valid it looks.
            self.headers_complete = False
            raise HTTPParseError(f"there is no status {status}")
        return skips_body

    def _on_header_field(self, string: str) -> None:
        # A trailer's fields don't say how the response is to be judged: they may not have come yet.
        if not self.headers_complete:
            super()._on_header_field(string)

    def _on_header_value(self, string: str) -> None:
        if not self.headers_complete:
            super()._on_header_value(string)

    def feed(self, data: str | bytes) -> None:
        """Parse received bytes; empty at the end of the connection.

        Raises:
            HTTPParseError: They are no HTTP response.
        """
        self.pending += len(data)
        try:
            super().feed(data)
        except Exception:
            # The response itself is valid even if other bytes follow it.
            if not (self.message_complete and self.headers_complete):
                raise
            self.has_trailing_data = True

    @property
    def has_final_head(self) -> bool:
        """Whether status line and headers of the final response have been parsed."""
        return bool(self.headers_complete) and is_final(self.get_code())

    @property
    def has_known_coding(self) -> bool:
        """Whether the body has no transfer coding, or chunks only."""
        found = self.get("transfer-encoding")
        value = ",".join(found) if isinstance(found, list) else found or "identity"
        return value.strip().lower() in KNOWN_CODINGS

    def take_body(self) -> bytes:
        """Remove and return the body bytes that have been parsed."""
        body = bytes(self._body_buffer)
        self._body_buffer.clear()
        self._event_size = self._scanned = 0
        return body

    def has_event(self) -> bool:
        """Whether a complete event has been parsed."""
        if not self._event_size:
            buffer = self._body_buffer
            self._event_size = event_end(buffer, self._scanned)
            self._scanned = max(0, len(buffer) - MAX_EMPTY_LINE + 1)
        return self._event_size > 0

    def take_event(self) -> bytes:
        """Remove and return the next complete event; empty if there is none yet."""
        if not self.has_event():
            return b""
        event = bytes(self._body_buffer[: self._event_size])
        del self._body_buffer[: self._event_size]
        self._event_size = self._scanned = 0
        self.pending = len(self._body_buffer)
        return event
