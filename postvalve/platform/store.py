"""HTTP client of the platform's store, which holds keyed topics."""

from __future__ import annotations

import base64
import struct
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any, TypeVar
from urllib.parse import urlencode

from geventhttpclient import HTTPClient
from pydantic import BaseModel, Field

from postvalve.clock import Clock
from postvalve.exceptions import Verdict
from postvalve.gateway.interfaces import (
    HistoryGoneError,
    KeyedRecord,
    PositionTakenError,
    StoreUnavailableError,
    TopicSlice,
)
from postvalve.json_input import parse_json, replace_lone_surrogates

Parsed = TypeVar("Parsed")

KEYED_PREFIX = "keyed."
APPEND_PATH = "/api/log-append"
READ_PATH = "/api/log-read"
NEWEST_PATH = "/api/log-newest"
CONNECT_TIMEOUT = 0.6
"""Time-out of connection set-up to the store, in seconds."""
ANSWER_TIMEOUT = 1.5
"""Time-out of a call in seconds, in addition to the time for which the store may hold the call."""
QUICK_ANSWER_TIMEOUT = 0.4
"""The same while the store answers quickly, so that a lost answer is noticed sooner."""
QUICK_LATENCY = 0.06
"""Smoothed latency, in seconds, up to which the store counts as quick."""
INITIAL_LATENCY = 0.1
"""Smoothed latency, in seconds, that is assumed before the first answer."""
LATENCY_WEIGHT = 0.2
"""Weight of a new answer in the smoothed latency (exponential moving average)."""
CONNECTIONS = 6
"""Maximum number of connections for each time-out in use. The HTTP library may also repeat a GET as
many times when connections break."""
NO_EFFECT_STATUSES = frozenset((400, 403, 404, 413, 429, 503, 507))
"""HTTP statuses which mean that the call had no effect."""
MAX_OFFSET = 2**63 - 1
"""Greatest offset of a record: messages between nodes hold 64 bits."""
_LENGTH = struct.Struct("!I")
_OFFSETS = struct.Struct("!QQ")


class AnswerTimeout:
    """Adaptive time-out of calls, from the store's recent latency."""

    def __init__(self) -> None:
        # The store does not count as quick at first: when all nodes have just started, they all
        # call it at once and it answers slowly.
        self._latency = INITIAL_LATENCY

    def seconds(self, wait: float) -> float:
        """Return the time-out of a call that the store may hold for `wait` seconds."""
        quick = self._latency <= QUICK_LATENCY
        return wait + (QUICK_ANSWER_TIMEOUT if quick else ANSWER_TIMEOUT)

    def record(self, seconds: float) -> None:
        """Record the latency of a call, without the time for which the store held it."""
        self._latency += LATENCY_WEIGHT * (seconds - self._latency)


class PlatformStore:
    """Implementation of `KeyedTopics` on the platform's store."""

    def __init__(self, address: str, clock: Clock) -> None:
        host, _, port = address.rpartition(":")
        self._clock = clock
        self._host, self._port = host, int(port)
        self._clients: dict[float, HTTPClient] = {}
        self._answer_timeout = AnswerTimeout()

    def _client(self, timeout: float) -> HTTPClient:
        return HTTPClient(
            self._host,
            port=self._port,
            concurrency=CONNECTIONS,
            connection_timeout=CONNECT_TIMEOUT,
            network_timeout=timeout,
        )

    def timeout(self, wait: float) -> float:
        """Return the time-out in seconds of a call that the store may hold for `wait` seconds."""
        return self._answer_timeout.seconds(wait)

    def _client_for(self, wait: float) -> HTTPClient:
        timeout = self.timeout(wait)
        if timeout not in self._clients:
            self._clients[timeout] = self._client(timeout)
        return self._clients[timeout]

    def append(
        self, topic: str, part: int, records: Sequence[KeyedRecord], at: int | None = None
    ) -> int:
        """See `KeyedTopics`."""
        query: dict[str, Any] = {"topic": _topic(topic), "part": part}
        if at is not None:
            query["at"] = at
        body = b"".join(_encode(record) for record in records)
        status, content = self._call(0.0, "POST", APPEND_PATH, query, body)
        if status == 412:
            raise PositionTakenError(
                _parsed(lambda: _PositionTaken.model_validate(parse_json(content)).end)
            )
        self._raise_for_status(status, content)
        return _parsed(lambda: _Appended.model_validate(parse_json(content)).offset)

    def read(self, topic: str, part: int, offset: int, wait: float, limit: int) -> TopicSlice:
        """See `KeyedTopics`."""
        query: dict[str, Any] = {
            "topic": _topic(topic),
            "part": part,
            "from": offset,
            "max_kb": max(1, -(-limit // 1024)),
        }
        if wait > 0:
            query["waitMs"] = int(wait * 1000)
        started = self._clock.steady()
        status, content = self._call(wait, "GET", READ_PATH, query, b"")
        if status == 410:
            raise HistoryGoneError("the requested records were dropped from the topic's history")
        self._raise_for_status(status, content)
        topic_slice = _parsed(lambda: _decode_slice(content, offset))
        held = not topic_slice.records and self._clock.steady() - started >= wait
        return replace(topic_slice, held=wait) if held else topic_slice

    def newest(self, topic: str, part: int, after: str = "") -> tuple[TopicSlice, bool]:
        """See `KeyedTopics`."""
        query: dict[str, Any] = {"topic": _topic(topic), "part": part}
        if after:
            query["watchAfter"] = after
        status, content = self._call(0.0, "GET", NEWEST_PATH, query, b"")
        self._raise_for_status(status, content)
        return _parsed(lambda: _decode_page(content))

    def change_path(self) -> None:
        """See `KeyedTopics`."""
        self._clients = {}

    def _call(
        self, wait: float, method: str, path: str, query: dict[str, Any], body: bytes
    ) -> tuple[int, bytes]:
        started = self._clock.steady()
        try:
            response = self._client_for(wait).request(
                method, f"{path}?{urlencode(query)}", body=body
            )
            with response:
                content = response.read()
            if not response.message_complete:
                raise OSError("response truncated")
        except ConnectionRefusedError as error:
            raise StoreUnavailableError(f"store: {error!r}", Verdict.NOT_RUN) from error
        except Exception as error:  # sockets, parser and pool raise unrelated types
            if isinstance(error, TimeoutError):
                self._answer_timeout.record(self._clock.steady() - started - wait)
                # Idle connections may be dead as well.
                self.change_path()
            raise StoreUnavailableError(f"store: {error!r}", Verdict.MAY_HAVE_RUN) from error
        elapsed = self._clock.steady() - started
        if elapsed >= wait:
            # For a read that was answered before its wait was over, it is unknown how much of the
            # time the store held it, so it gives no latency sample.
            self._answer_timeout.record(elapsed - wait)
        return response.status_code, content

    @staticmethod
    def _raise_for_status(status: int, content: bytes) -> None:
        if status == 200:
            return
        verdict = Verdict.NOT_RUN if status in NO_EFFECT_STATUSES else Verdict.MAY_HAVE_RUN
        raise StoreUnavailableError(f"store answered {status}: {content[:120]!r}", verdict)


def _parsed(parse: Callable[[], Parsed]) -> Parsed:
    """Return the result of parsing an answer.

    Raises:
        StoreUnavailableError: The answer is malformed, so it tells nothing about the call.
    """
    try:
        return parse()
    except (ValueError, LookupError, TypeError, struct.error) as exc:
        raise StoreUnavailableError(
            f"store sent a malformed answer: {exc!r}", Verdict.MAY_HAVE_RUN
        ) from exc


class _PageItem(BaseModel):
    key: str
    value: str
    offset: int = Field(ge=0, le=MAX_OFFSET)


class _Page(BaseModel):
    items: list[_PageItem]
    end: int = Field(ge=0, le=MAX_OFFSET)
    more: bool


class _Appended(BaseModel):
    offset: int = Field(ge=0, le=MAX_OFFSET)


class _PositionTaken(BaseModel):
    end: int = Field(ge=0, le=MAX_OFFSET)


def _decode_page(content: bytes) -> tuple[TopicSlice, bool]:
    # A key may have bytes that are no UTF-8, which must not make the whole page unreadable.
    page = _Page.model_validate(parse_json(replace_lone_surrogates(content)))
    records = tuple(
        KeyedRecord(item.key, base64.b64decode(item.value), item.offset) for item in page.items
    )
    return TopicSlice(records, page.end, page.end), page.more


def _topic(name: str) -> str:
    return name if name.startswith(KEYED_PREFIX) else KEYED_PREFIX + name


def _encode(record: KeyedRecord) -> bytes:
    key = record.key.encode("utf-8")
    payload = bytes((len(key),)) + key + record.value
    return _LENGTH.pack(len(payload)) + payload


def _decode_slice(content: bytes, offset: int) -> TopicSlice:
    end, _ = _OFFSETS.unpack_from(content)
    if end > MAX_OFFSET:
        raise ValueError(f"the end of the partition is {end}")
    position = _OFFSETS.size
    records: list[KeyedRecord] = []
    while position + _LENGTH.size <= len(content):
        (size,) = _LENGTH.unpack_from(content, position)
        position += _LENGTH.size
        payload = content[position : position + size]
        if len(payload) < size:
            break  # The next read begins with this record.
        position += size
        # A record whose key is cut has an empty key, which is nobody's, and keeps its offset.
        key_end = 1 + payload[0]
        if key_end > len(payload):
            records.append(KeyedRecord("", b"", offset + len(records)))
            continue
        key = payload[1:key_end].decode("utf-8", "replace")
        records.append(KeyedRecord(key, payload[key_end:], offset + len(records)))
    return TopicSlice(tuple(records), offset + len(records), end)
