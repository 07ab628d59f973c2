"""Response of an engine to one attempt, read incrementally and within limits."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

import gevent

from postvalve.clock import Clock
from postvalve.core.serving.json_end import is_json, is_json_cut
from postvalve.exceptions import (
    AnswerTooLargeError,
    AttemptError,
    EngineDisconnectedError,
    EngineSilentError,
    Verdict,
)
from postvalve.gateway.engines.event_stream import ends_inside_event, has_field
from postvalve.gateway.engines.response_parser import ResponseParser
from postvalve.gateway.interfaces import AnswerLimits, Headers

READ_SIZE = 32 * 1024
"""Buffer size of one `recv` call in bytes."""
TURN_BYTES = 64 * 1024
"""Bytes after which a connection that always has more lets other connections be served."""
MIN_READ_WAIT = 0.001
"""Least time-out of one `recv` call in seconds; what has arrived is read even after the end."""


class AnswerPool(Protocol):
    """What a response needs of the pool that its connection is from."""

    clock: Clock
    limits: AnswerLimits
    on_oversized: Callable[[str], None]

    def is_listening(self, address: str, deadline: float) -> bool:
        """Return whether an engine accepts connections; False only if it surely does not."""
        ...

    def release(
        self,
        address: str,
        connection: Any,
        keep_alive: str | None,
        request_id: str = "",
        answered_at: float | None = None,
    ) -> None:
        """Put a connection whose last response was complete back into the pool."""
        ...


class EngineAnswer:
    """Response of an engine to one attempt, read incrementally."""

    def __init__(
        self,
        pool: AnswerPool,
        address: str,
        request_id: str,
        connection: Any,
        deadline: float,
        still_usable: Callable[[], bool],
        *,
        may_be_empty: bool = False,
        answered_at: float | None = None,
    ) -> None:
        self._pool = pool
        self._address = address
        self._request_id = request_id
        self._connection = connection
        self._deadline = deadline
        self._still_usable = still_usable
        self._has_content = may_be_empty
        """Whether an end of the body that only the connection's end shows may be its whole end."""
        self._parser = ResponseParser("POST")
        self._ended = False
        self._ended_by_close = False
        """Whether only the end of the connection has shown where the response ends."""
        self._is_end_checked = False
        self._in_turn = 0
        """Bytes read since other connections could last be served."""
        self.aborted = False
        self.received_bytes = 0
        """Bytes of the response that have been received."""
        self._answered_at = answered_at

    @property
    def status(self) -> int:
        """HTTP status code."""
        return int(self._parser.get_code())

    @property
    def answered_at(self) -> float:
        """Monotonic seconds of the first head of an answer that came over the connection.

        All answers over one connection are of one life of an engine.
        """
        assert self._answered_at is not None, "no head was read"
        return self._answered_at

    @property
    def _is_success(self) -> bool:
        return 200 <= self.status < 300

    @property
    def reason(self) -> str:
        """HTTP reason phrase; "-" if the engine sent none."""
        return self._parser.status_message or "-"

    @property
    def headers(self) -> Headers:
        """Response headers in the order in which they were received."""
        return list(self._parser.items())

    def header(self, name: str) -> str | None:
        """Return the first value of a header; None if it is absent."""
        value = self._parser.get(name.lower())
        return value[0] if isinstance(value, list) else value

    def read_head(self, read_timeout: float) -> None:
        """Read until the status line and all headers have been received.

        Args:
            read_timeout: Seconds without them after which the engine is silent.

        Raises:
            EngineSilentError: It is; reading may go on.
            AttemptError: The connection failed or timed out, the head is too large, or it names
                another transfer coding than chunks; the verdict is MAY_HAVE_RUN.
        """
        ends_at = self._pool.clock.monotonic() + read_timeout
        while not self._parser.has_final_head:
            self._receive(ends_at)
            if not self._parser.has_final_head:
                self._check_size("head", self._pool.limits.head)
        if self._answered_at is None:
            self._answered_at = self._pool.clock.monotonic()
        if self._is_success and not self._parser.has_known_coding:
            # Neither its content nor its end could be told.
            raise AttemptError("the answer has an unknown transfer coding", Verdict.MAY_HAVE_RUN)

    def read_event(self, read_timeout: float) -> bytes:
        """Read the next event; empty at the regular end of the stream.

        What follows the last complete event, such as a comment, is returned like an event.

        Args:
            read_timeout: Seconds without an event after which the engine is silent.

        Raises:
            EngineSilentError: It is; reading may go on.
            AttemptError: The stream was truncated, the deadline passed, or the event is too large;
                the verdict is MAY_HAVE_RUN.
        """
        ends_at = self._pool.clock.monotonic() + read_timeout
        while True:
            event = self._parser.take_event()
            if event:
                self._has_content = self._has_content or has_field(event)
                return event
            if self._parser.message_complete:
                return self._take_rest()
            self._receive(ends_at)
            if not self._parser.has_event():
                self._check_size("event", self._pool.limits.event)

    def _take_rest(self) -> bytes:
        rest = self._parser.take_body()
        if self._ended_by_close and ends_inside_event(rest):
            raise EngineDisconnectedError(
                "the engine cut its answer inside an event", Verdict.MAY_HAVE_RUN
            )
        self._has_content = self._has_content or has_field(rest)
        if not rest:
            self._check_content()
            self._check_end()
        return rest

    def read_body(self, read_timeout: float) -> bytes:
        """Read the body to its end.

        Args:
            read_timeout: Seconds without a byte after which the engine is silent.

        Raises:
            EngineSilentError: It is; reading may go on.
            AttemptError: The body was truncated or is too large, or the deadline passed; the
                verdict is MAY_HAVE_RUN.
        """
        while not self._parser.message_complete:
            self._receive(self._pool.clock.monotonic() + read_timeout)
            self._check_size("body", self._pool.limits.body)
        body = self._parser.take_body()
        as_json = is_json(self.header("content-type") or "")
        self._has_content = bool(body) and not (as_json and is_json_cut(body))
        self._check_content()
        self._check_end()
        return body

    def _check_content(self) -> None:
        """Check a success that only the end of its connection has completed for what it must have.

        Raises:
            EngineDisconnectedError: It has no content at all, or half a JSON text.
        """
        if self._ended_by_close and self._is_success and not self._has_content:
            raise EngineDisconnectedError(
                "the engine cut its answer before its content was whole", Verdict.MAY_HAVE_RUN
            )

    def _check_end(self) -> None:
        """Check a response that only the end of its connection has completed.

        An engine that crashes ends its connections too. One that leaves may exit right after its
        last response.

        Raises:
            EngineDisconnectedError: The engine has exited, and has not announced it.
            AttemptError: The attempt was ended, which leaves it unknown.
        """
        if not self._ended_by_close or self._is_end_checked:
            return
        self._is_end_checked = True
        self._connection.close()
        is_listening = self._pool.is_listening(self._address, self._deadline)
        if not is_listening and self.aborted:
            raise AttemptError("the attempt was ended", Verdict.MAY_HAVE_RUN)
        if not is_listening and self._still_usable():
            raise EngineDisconnectedError(
                "the engine exited at the end of its answer", Verdict.MAY_HAVE_RUN
            )

    def has_event(self) -> bool:
        """Whether `read_event` can return without receiving more bytes."""
        return self._parser.has_event() or self._parser.message_complete

    def _check_size(self, part: str, limit: int) -> None:
        """Check that no more bytes wait to become a complete part of the response than may.

        Raises:
            AnswerTooLargeError: There are more.
        """
        if self._parser.pending > limit:
            self._pool.on_oversized(part)
            raise AnswerTooLargeError(
                f"the {part} of the engine's answer has more than {limit} bytes",
                Verdict.MAY_HAVE_RUN,
            )

    def _receive(self, ends_at: float) -> None:
        """Receive some bytes until monotonic second `ends_at`, and parse them."""
        now = self._pool.clock.monotonic()
        if self.aborted:
            raise AttemptError("the attempt was ended", Verdict.MAY_HAVE_RUN)
        if now >= self._deadline:
            raise AttemptError("the deadline passed", Verdict.MAY_HAVE_RUN)
        data = self._receive_bytes(max(MIN_READ_WAIT, min(ends_at, self._deadline) - now))
        self._give_turn(len(data))
        try:
            self._parser.feed(data)
        except Exception as error:  # the parser raises whatever its callbacks raise
            kind = AttemptError if data else EngineDisconnectedError
            raise kind(f"the engine failed: {error!r}", Verdict.MAY_HAVE_RUN) from error
        if not data and not self._parser.message_complete:
            raise EngineDisconnectedError("the engine cut its answer", Verdict.MAY_HAVE_RUN)
        self._ended_by_close = not data

    def _give_turn(self, received: int) -> None:
        """Let other connections be served; a read doesn't wait while bytes are there."""
        self._in_turn += received
        if self._in_turn >= TURN_BYTES:
            self._in_turn = 0
            gevent.sleep(0)

    def _receive_bytes(self, timeout: float) -> bytes:
        """Receive some bytes; empty if the engine closed the connection."""
        try:
            self._connection.settimeout(timeout)
            data: bytes = self._connection.recv(READ_SIZE)
        except TimeoutError as error:
            # The kernel names an error if what it sent, such as a probe, is not acknowledged.
            is_over = error.errno is not None or self._pool.clock.monotonic() >= self._deadline
            kind = AttemptError if is_over else EngineSilentError
            raise kind(f"the engine failed: {error!r}", Verdict.MAY_HAVE_RUN) from error
        except OSError as error:
            kind = AttemptError if self.aborted else EngineDisconnectedError
            raise kind(f"the engine failed: {error!r}", Verdict.MAY_HAVE_RUN) from error
        self.received_bytes += len(data)
        if not data and not self._parser.has_final_head:
            raise EngineDisconnectedError(
                "the engine failed: closed before an answer", Verdict.MAY_HAVE_RUN
            )
        return data

    def abort(self) -> None:
        """End the attempt from another greenlet; a pending read fails."""
        self.aborted = True
        self._connection.close()

    def reject(self) -> None:
        """Close the connection, as this response belongs to another request.

        The one that is due may still come, in the place of the next one.
        """
        self._ended = True
        self._connection.close()

    def close(self) -> None:
        """Return the connection to the pool, or close it if it can't be reused."""
        if self._ended:
            return
        self._ended = True
        parser = self._parser
        if self.aborted or parser.has_trailing_data or parser.should_close():
            self._connection.close()
            return
        keep_alive = self.header("keep-alive")
        self._pool.release(
            self._address, self._connection, keep_alive, self._request_id, self._answered_at
        )
