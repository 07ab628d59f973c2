"""Appends to the log with retries, under the same record id until acknowledged or timed out."""

from __future__ import annotations

from collections.abc import Callable

import betterproto
import gevent

from postvalve.clock import Clock
from postvalve.exceptions import LogUnavailableError, Verdict
from postvalve.messages.records_codec import Record, encode_record
from postvalve.services.log import LogService

INITIAL_RETRY_DELAY = 0.1
"""Seconds before the first retry; the delay doubles with each further one."""
MAX_RETRY_DELAY = 2.0
"""Longest delay between two retries, in seconds."""
DEFAULT_APPEND_TIMEOUT = 3.0
"""Seconds for which an append is retried while a client waits for it."""


class LogWriter:
    """Appends records to the log, and retries while it does not answer."""

    def __init__(self, log: LogService, clock: Clock, new_id: Callable[[], str]) -> None:
        self._log = log
        self._clock = clock
        self._new_id = new_id

    def append(
        self,
        stream: str,
        body: betterproto.Message,
        timeout: float = DEFAULT_APPEND_TIMEOUT,
        record_id: str | None = None,
    ) -> int:
        """Append a record, with retries until it is acknowledged, and return its offset.

        Readers drop repeated records by their id.

        Raises:
            LogUnavailableError: after `timeout` seconds; with NOT_RUN only if no attempt can have
                taken effect.
        """
        payload = encode_record(Record(record_id or self._new_id(), body))
        deadline = self._clock.monotonic() + timeout
        verdict = Verdict.NOT_RUN
        delay = INITIAL_RETRY_DELAY
        while True:
            try:
                return self._log.append(stream, payload)
            except LogUnavailableError as error:
                if error.verdict is not Verdict.NOT_RUN:
                    verdict = error.verdict
                if self._clock.monotonic() + delay >= deadline:
                    raise LogUnavailableError(error.message, verdict) from error
            gevent.sleep(delay)
            delay = min(MAX_RETRY_DELAY, delay * 2)
