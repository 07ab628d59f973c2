"""What the gateway needs of its outside: each platform's adapter implements these."""

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
from postvalve.core.serving.client_buffer import slow_client_bytes
from postvalve.exceptions import PlatformError, Verdict

Headers = Sequence[tuple[str, str]]
"""Names and values in the order of the wire."""


@dataclass(frozen=True, slots=True)
class RequestTerms:
    """What a client's headers say of its request."""

    request_id: str
    allowed: float | None
    """Seconds that the client will wait, if it says so."""
    last_event_id: int | None
    """The event after which the client wants the stream to go on."""
    prefix_key: str
    """Requests with the same key share the first parts of their prompts."""
    shared_tokens: int
    """Tokens of those parts."""
    own_tokens: int
    """Prompt tokens that no other request shares."""
    output_tokens: int
    """The most that the answer may have; 0 when it is not told."""


class Judgement(enum.Enum):
    """What the head of an engine's answer says of an attempt."""

    ACCEPTED = "accepted"
    """The answer to this attempt, a success."""
    FAILED = "failed"
    """The answer to this attempt, a failure after it ran."""
    HOPELESS = "hopeless"
    """The engine finds the request impossible; it would be so anywhere."""
    REFUSED = "refused"
    """The engine says that it did not and will not run the request."""
    REPLACED = "replaced"
    """Not run: another engine lives at this address now."""
    FOREIGN = "foreign"
    """The answer belongs to another request."""


class Dialect(Protocol):
    """How requests and answers are spelt on the wire."""

    def read_terms(self, headers: Headers) -> RequestTerms:
        """Read a client's headers."""
        ...

    def api_key(self, headers: Headers) -> str | None:
        """The key that a caller shows; None where it shows none.

        Raises:
            AuthenticationError: it shows several.
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
        """Headers for one attempt at an engine, which never learns a key.

        Args:
            headers: As the client, or the job, gave them.
            tenant: Who sends it; empty where nobody needs a key.
            engine_id: The engine that must answer.
            allowed: Seconds that are left; None when nobody says.
            last_event_id: The event after which the stream goes on.
        """
        ...

    def identify(
        self, tenant: str, host: str, method: str, target: str, body: bytes, headers: Headers
    ) -> RequestIdentity:
        """What stands for a request, or an item, each time that it comes under another id."""
        ...

    def item_headers(self, headers: Headers, item_id: str, host: str) -> list[tuple[str, str]]:
        """Headers of a batch item as if a client had sent it."""
        ...

    def judge(self, request_id: str, status: int, headers: Headers) -> Judgement:
        """Judge the head of an engine's answer."""
        ...

    def engine_load(self, headers: Headers, now: float) -> EngineLoad | None:
        """What an engine's answer, read at `now`, tells of its load; None where it tells nothing.

        Raises:
            EngineLoadError: it tells what can't be.
        """
        ...

    def retry_headers(self, seconds: float) -> list[tuple[str, str]]:
        """Headers that tell a client when to come back."""
        ...


class EngineState(enum.StrEnum):
    """An engine as its directory lists it."""

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
    """Seconds that it stays slow from its start, counted from when this was told."""

    @property
    def engine_id(self) -> str:
        """Its id, which its next life may have too."""
        return self.life.engine_id


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """A record of a keyed topic; an empty value drops the key."""

    key: str
    value: bytes
    offset: int = -1


@dataclass(frozen=True, slots=True)
class TopicSlice:
    """Records in offset order, and the offset after them."""

    records: tuple[KeyedRecord, ...]
    next_offset: int
    end_offset: int
    held: float = 0.0
    """Seconds after the call's start at which the store looked, at the earliest: one that waits
    and finds nothing is held by the store itself."""


class HistoryGoneError(PlatformError):
    """The records asked for were dropped; the newest of each key are still there."""

    code = "history_gone"


class PositionTakenError(PlatformError):
    """A conditional append came too late: the topic has grown."""

    code = "position_taken"

    def __init__(self, end_offset: int) -> None:
        super().__init__(f"the topic ends at {end_offset}")
        self.end_offset = end_offset


class StoreUnavailableError(PlatformError):
    """The store did not do, or did not answer, a call; the verdict says whether it may have."""

    code = "store_unavailable"

    def __init__(self, message: str, verdict: Verdict) -> None:
        super().__init__(message)
        self.verdict = verdict


class KeyedTopics(Protocol):
    """Durable topics that keep the newest record of each key."""

    def append(
        self, topic: str, part: int, records: Sequence[KeyedRecord], at: int | None = None
    ) -> int:
        """Append records, all or none; returns the offset of the first.

        Args:
            topic: Name of the topic.
            part: Partition.
            records: Key and value of each; the offsets are passed over.
            at: Append only where the partition ends there.

        Raises:
            PositionTakenError: the partition ends elsewhere; nothing was done.
            StoreUnavailableError: with the verdict.
        """
        ...

    def read(self, topic: str, part: int, offset: int, wait: float, limit: int) -> TopicSlice:
        """Read from `offset`, about `limit` bytes; wait up to `wait` seconds for a record.

        Raises:
            HistoryGoneError: use `newest`.
            StoreUnavailableError: no answer.
        """
        ...

    def newest(self, topic: str, part: int, after: str = "") -> tuple[TopicSlice, bool]:
        """One page of the newest records of keys after `after`, and whether there are more.

        Raises:
            StoreUnavailableError: no answer.
        """
        ...


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
    """Between the order to stop and the kill."""
    drain_notice: float
    """Until clients of a node that is not ready go elsewhere."""
    read_patience: float
    """Within which what was acknowledged must be readable at every node."""
    body_partitions: int
    record_bytes: int
    call_bytes: int
    key_policy: KeyPolicy = KeyPolicy()
    """What happens to requests with a key at a node that hears of no configuration."""
    limit_bounds: LimitBounds = LimitBounds()
    """What tenants' limits may be exceeded by."""
    slow_client_bytes: int = slow_client_bytes(None)
    """Held for clients that read or write slowly."""
    log_level: str = "info"
