"""Appends with repetition: the same record id until the log answers or time is up."""

from __future__ import annotations

from collections.abc import Callable

import betterproto
import gevent

from postvalve.clock import Clock
from postvalve.exceptions import LogUnavailableError, Verdict
from postvalve.messages.records_codec import Record, encode_record
from postvalve.services.log import LogService

INITIAL_RETRY_DELAY = 0.1
"""Seconds before the first repetition, doubled for each later one."""
MAX_RETRY_DELAY = 2.0
DEFAULT_APPEND_TIMEOUT = 3.0
"""Seconds that an append is repeated for a caller who waits."""


class LogWriter:
    """Appends records to the log."""

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
        """Append a record, repeating it until it is acknowledged; returns its offset.

        Raises:
            LogUnavailableError: after `patience` seconds; NOT_RUN only when no repetition
                may have taken effect.
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
