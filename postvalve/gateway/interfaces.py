"""Interfaces and data classes between the gateway and a platform's adapter."""

from __future__ import annotations

import enum
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from postvalve.core.admission.callers import KeyPolicy
from postvalve.core.admission.fleet_limits import LimitBounds
from postvalve.core.admission.request_identity import RequestIdentity
from postvalve.core.membership.engine_life import EngineLife
from postvalve.core.routing.engine_load import EngineLoad
from postvalve.core.routing.silent_run import RunReport
from postvalve.core.serving.client_buffer import slow_client_bytes
from postvalve.exceptions import PlatformError, Verdict

Headers = Sequence[tuple[str, str]]
"""Header names and values in the order of the message."""


@dataclass(frozen=True, slots=True)
class RequestTerms:
    """Parameters of a request from the client's headers."""

    request_id: str
    allowed: float | None
    """Seconds for which the client will wait; None if it does not say."""
    last_event_id: int | None
    """Event after which a resumed stream must continue; None for a new stream."""
    prefix_key: str
    """Key of the prompt prefix; requests with the same key share this prefix."""
    shared_tokens: int
    """Tokens of the shared prefix."""
    own_tokens: int
    """Prompt tokens after the shared prefix."""
    output_tokens: int
    """Most tokens of the response; 0 if unknown."""
    begun_as: str = ""
    """Request id of the client's attempt that brought the stream's first event; empty if the client
    names none."""


class Judgement(enum.Enum):
    """Classification of an attempt by the head of the engine's response."""

    ACCEPTED = "accepted"
    """The engine accepted the request; the response is a success."""
    FAILED = "failed"
    """The engine ran the request and reports a failure."""
    HOPELESS = "hopeless"
    """The engine can't serve the request, and neither could any other engine."""
    REFUSED = "refused"
    """The engine did not run the request and will not."""
    REPLACED = "replaced"
    """Another engine now has this address and did not run the request."""
    FOREIGN = "foreign"
    """The response belongs to another request."""


class Dialect(Protocol):
    """Mapping between requests and responses and their form on the wire."""

    def read_terms(self, headers: Headers) -> RequestTerms:
        """Parse a client's headers."""
        ...

    def api_key(self, headers: Headers) -> str | None:
        """Return the caller's API key; None if there is none.

        Raises:
            AuthenticationError: The headers contain several keys.
        """
        ...

    def attempt_headers(
        self,
        headers: Headers,
        tenant: str,
        engine_id: str,
        allowed: float | None,
        last_event_id: int | None,
    ) -> list[tuple[str, str]]:
        """Return the headers for one attempt at an engine, without the caller's API key.

        Args:
            headers: Headers from the client or the job.
            tenant: Tenant that sends the request; empty if no key is required.
            engine_id: Engine that the request is meant for.
            allowed: Seconds left to the request; None for no limit.
            last_event_id: Event after which the stream must continue; None to start it.
        """
        ...

    def identify(
        self, tenant: str, host: str, method: str, target: str, body: bytes, headers: Headers
    ) -> RequestIdentity:
        """Return the identity of a request or item, the same when it is sent under another id."""
        ...

    def identify_parts(self, tenant: str, service: str, headers: Headers) -> Sequence[bytes]:
        """Return digests of the parts of a prompt that other requests share, the first ones."""
        ...

    def item_headers(self, headers: Headers, item_id: str, host: str) -> list[tuple[str, str]]:
        """Return the headers of a batch item as if a client had sent it."""
        ...

    def judge(self, request_id: str, status: int, headers: Headers) -> Judgement:
        """Classify the head of an engine's response."""
        ...

    def engine_load(self, headers: Headers, now: float) -> EngineLoad | None:
        """Return the load in the headers of a response; None if there is none.

        Args:
            headers: Headers of the engine's response.
            now: Monotonic seconds at which they were read.

        Raises:
            EngineLoadError: The load is malformed.
        """
        ...

    def is_failed_attempt(self, status: int) -> bool:
        """Whether an engine's failure counts as one of the attempts that an item may fail."""
        ...

    run_report_target: str
    """Path at which an engine tells of its runs."""

    def read_run_report(self, body: bytes) -> RunReport | None:
        """Parse what an engine tells of its runs; None if it tells nothing that can be read."""
        ...

    def retry_headers(self, seconds: float) -> list[tuple[str, str]]:
        """Return headers that tell a client after how many seconds to retry."""
        ...


class EngineState(enum.StrEnum):
    """State of an engine in the directory."""

    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class EngineEntry:
    """One engine of the directory."""

    life: EngineLife
    service: str
    address: str
    zone: str
    slots: int
    state: EngineState
    version: str = ""
    warm_in: float = 0.0
    """Seconds of warm-up left when the entry was written, during which the engine is slow."""

    @property
    def engine_id(self) -> str:
        """Id of the engine, which is kept when it restarts."""
        return self.life.engine_id


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """Record of a keyed topic; an empty value deletes the key."""

    key: str
    value: bytes
    offset: int = -1


@dataclass(frozen=True, slots=True)
class TopicSlice:
    """Records in offset order, the offset after them and the end of the partition."""

    records: tuple[KeyedRecord, ...]
    next_offset: int
    end_offset: int
    held: float = 0.0
    """Seconds from the start of the call for which the store surely held it.

    A read that waits for records and returns none was held by the store for its whole wait, so it
    covers the changes up to that time.
    """


class HistoryGoneError(PlatformError):
    """The requested records were dropped; only the newest record of each key is kept."""

    code = "history_gone"


class PositionTakenError(PlatformError):
    """A conditional append failed because the partition ends at another offset."""

    code = "position_taken"

    def __init__(self, end_offset: int) -> None:
        super().__init__(f"the partition ends at offset {end_offset}")
        self.end_offset = end_offset


class StoreUnavailableError(PlatformError):
    """A call to the store failed; the verdict says whether it may have been carried out."""

    code = "store_unavailable"

    def __init__(self, message: str, verdict: Verdict) -> None:
        super().__init__(message)
        self.verdict = verdict


class KeyedTopics(Protocol):
    """Durable topics that keep the newest record of each key."""

    def append(
        self, topic: str, part: int, records: Sequence[KeyedRecord], at: int | None = None
    ) -> int:
        """Append records, all or none; return the offset of the first.

        Args:
            topic: Name of the topic.
            part: Partition.
            records: Records to append; their offsets are ignored.
            at: Append only if the partition ends at this offset; None for unconditionally.

        Raises:
            PositionTakenError: The partition ends at another offset; nothing was appended.
            StoreUnavailableError: The call failed; the verdict says whether the append may have
                been made.
        """
        ...

    def read(self, topic: str, part: int, offset: int, wait: float, limit: int) -> TopicSlice:
        """Read from `offset`, about `limit` bytes; wait up to `wait` seconds for a record.

        Raises:
            HistoryGoneError: The records were dropped; `newest` must be used instead.
            StoreUnavailableError: The store did not answer.
        """
        ...

    def newest(self, topic: str, part: int, after: str = "") -> tuple[TopicSlice, bool]:
        """Return a page of the newest records of the keys after `after`, and whether more follow.

        Raises:
            StoreUnavailableError: The store did not answer.
        """
        ...

    def change_path(self) -> None:
        """Make later calls another way, on new connections or through a peer.

        It is called when calls are unanswered; these are left as they are.
        """
        ...


@dataclass(frozen=True)
class AnswerLimits:
    """Limits in bytes, beyond which an engine's answer is given up. They include framing."""

    head: int = 65_536
    """Status line and headers, with all interim responses."""
    event: int = 1_048_576
    """One event of a stream."""
    body: int = 8_388_608
    """Body of a response that is not a stream, or all events of a batch item's run."""


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Settings of one gateway process; addresses are IP:PORT, times in seconds."""

    node_id: str
    zone: str
    listen: str
    ready_listen: str
    peer_listen: str
    metrics_listen: str
    grace: float
    """Time from the stop signal to the kill."""
    drain_notice: float
    """Time until clients stop sending requests to a node that is not ready."""
    read_patience: float
    """Time within which acknowledged data must be readable at every node."""
    body_partitions: int
    record_bytes: int
    call_bytes: int
    key_policy: KeyPolicy = KeyPolicy()
    """How requests with an API key are treated at a node without a current configuration."""
    limit_bounds: LimitBounds = LimitBounds()
    """Tolerances by which tenants' limits may be exceeded."""
    slow_client_bytes: int = slow_client_bytes(None)
    """Most bytes buffered for clients that read or write slowly."""
    answer_limits: AnswerLimits = AnswerLimits()
    log_level: str = "info"
