"""What nodes exchange and save of the quarantine: requests, and parts of prompts.

Both kinds are known by digests, and have their own messages and rules on what lasts.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Iterable
from typing import Any

import betterproto

from postvalve.clock import milliseconds
from postvalve.core.admission.part_entry import PartCrash, PartEntry, PartTrial
from postvalve.core.admission.part_quarantine import PartQuarantine
from postvalve.core.admission.quarantine import (
    HOLD_AFTER,
    EngineFailure,
    FailureId,
    Quarantine,
    QuarantineEntry,
)
from postvalve.core.membership.engine_life import EngineLife
from postvalve.events import Event
from postvalve.messages.generated import gateway

Packed = gateway.SuspectRequest | gateway.SuspectPart


class QuarantineTable(ABC):
    """Entries of one kind, as messages. Times are monotonic seconds."""

    learnt_event: Event
    """Written when a node learns something new from another one."""

    @abstractmethod
    def digests(self) -> list[bytes]:
        """Return the digests of all entries."""

    @abstractmethod
    def importance(self, digest: bytes) -> int:
        """Return the engines that count against an entry; entries with more are sent first."""

    @abstractmethod
    def pack(self, digest: bytes, now: float) -> betterproto.Message | None:
        """Return the message about an entry; None if there is no such entry any more."""

    @abstractmethod
    def add(self, news: gateway.QuarantineNews, packed: Any) -> None:
        """Add a packed entry to a message."""

    @abstractmethod
    def packed_in(self, news: gateway.QuarantineNews) -> Iterable[Any]:
        """Return the packed entries of this kind in a message."""

    @abstractmethod
    def merge(self, packed: Any, packed_at: float, now: float) -> bool:
        """Merge a packed entry that was packed at `packed_at`; returns whether it was news."""

    @abstractmethod
    def lasting(self, digest: bytes) -> int | None:
        """Return what the store should know of an entry, as a number that rises with it.

        It is 0 if the store should know nothing, and None while that is being found out.
        """

    @abstractmethod
    def record_key(self, digest: bytes) -> str:
        """Return the key of an entry in the store."""

    @abstractmethod
    def record(self, packed: Any, written_at_ms: int) -> gateway.QuarantineRecord:
        """Return the store's record of a packed entry."""

    @abstractmethod
    def packed_of(self, record: gateway.QuarantineRecord) -> Any | None:
        """Return the packed entry of a record; None if it is of another kind."""

    @abstractmethod
    def stored(self, packed: Any, packed_at: float, now: float) -> int | None:
        """Return what the store knows, see `lasting`; None if it means nothing any more."""

    @abstractmethod
    def expire(self, now: float) -> list[bytes]:
        """Drop entries that mean nothing any more; returns those that the store may know."""

    @abstractmethod
    def fields(self, digest: bytes, now: float) -> dict[str, Any]:
        """Return the fields of a log line about an entry."""


class RequestTable(QuarantineTable):
    """Whole requests; see `core/admission/quarantine`."""

    learnt_event = Event.QUARANTINE_LEARNT

    def __init__(self, quarantine: Quarantine) -> None:
        self._quarantine = quarantine

    def digests(self) -> list[bytes]:
        """See `QuarantineTable`."""
        return self._quarantine.digests()

    def importance(self, digest: bytes) -> int:
        """See `QuarantineTable`."""
        entry = self._quarantine.entry(digest)
        return len(entry.engines()) if entry else 0

    def pack(self, digest: bytes, now: float) -> gateway.SuspectRequest | None:
        """See `QuarantineTable`."""
        entry = self._quarantine.entry(digest)
        return _pack_request(digest, entry, now) if entry else None

    def add(self, news: gateway.QuarantineNews, packed: gateway.SuspectRequest) -> None:
        """See `QuarantineTable`."""
        news.requests.append(packed)

    def packed_in(self, news: gateway.QuarantineNews) -> list[gateway.SuspectRequest]:
        """See `QuarantineTable`."""
        return news.requests

    def merge(self, packed: gateway.SuspectRequest, packed_at: float, now: float) -> bool:
        """See `QuarantineTable`."""
        return self._quarantine.merge(packed.digest, _unpack_request(packed, packed_at), now)

    def lasting(self, digest: bytes) -> int | None:
        """See `QuarantineTable`."""
        entry = self._quarantine.entry(digest)
        if entry is None or entry.on_trial:
            return None
        ends = len(entry.engines())
        return ends if ends >= HOLD_AFTER else 0

    def record_key(self, digest: bytes) -> str:
        """See `QuarantineTable`."""
        return digest.hex()

    def record(
        self, packed: gateway.SuspectRequest, written_at_ms: int
    ) -> gateway.QuarantineRecord:
        """See `QuarantineTable`."""
        return gateway.QuarantineRecord(request=packed, written_at_ms=written_at_ms)

    def packed_of(self, record: gateway.QuarantineRecord) -> gateway.SuspectRequest | None:
        """See `QuarantineTable`."""
        return record.request if record.request.digest else None

    def stored(self, packed: gateway.SuspectRequest, packed_at: float, now: float) -> int | None:
        """See `QuarantineTable`."""
        entry = _unpack_request(packed, packed_at)
        return len(entry.engines()) if entry.expires_at() > now else None

    def expire(self, now: float) -> list[bytes]:
        """See `QuarantineTable`."""
        expired = self._quarantine.expire(now)
        return [digest for digest, entry in expired if len(entry.engines()) >= HOLD_AFTER]

    def fields(self, digest: bytes, now: float) -> dict[str, Any]:
        """See `QuarantineTable`."""
        return self._quarantine.summary(digest, now).fields()


class PartTable(QuarantineTable):
    """Parts of prompts; see `core/admission/part_quarantine`."""

    learnt_event = Event.PROMPT_PART_LEARNT

    def __init__(self, quarantine: PartQuarantine) -> None:
        self._quarantine = quarantine

    def digests(self) -> list[bytes]:
        """See `QuarantineTable`."""
        return self._quarantine.digests()

    def importance(self, digest: bytes) -> int:
        """See `QuarantineTable`."""
        entry = self._quarantine.entry(digest)
        return len(entry.counting()) if entry else 0

    def pack(self, digest: bytes, now: float) -> gateway.SuspectPart | None:
        """See `QuarantineTable`."""
        entry = self._quarantine.entry(digest)
        return _pack_part(digest, entry, now) if entry else None

    def add(self, news: gateway.QuarantineNews, packed: gateway.SuspectPart) -> None:
        """See `QuarantineTable`."""
        news.parts.append(packed)

    def packed_in(self, news: gateway.QuarantineNews) -> list[gateway.SuspectPart]:
        """See `QuarantineTable`."""
        return news.parts

    def merge(self, packed: gateway.SuspectPart, packed_at: float, now: float) -> bool:
        """See `QuarantineTable`."""
        return self._quarantine.merge(packed.digest, _unpack_part(packed, packed_at), now)

    def lasting(self, digest: bytes) -> int | None:
        """See `QuarantineTable`."""
        entry = self._quarantine.entry(digest)
        return entry.failed_trials if entry else None

    def record_key(self, digest: bytes) -> str:
        """See `QuarantineTable`."""
        return f"part-{digest.hex()}"

    def record(self, packed: gateway.SuspectPart, written_at_ms: int) -> gateway.QuarantineRecord:
        """See `QuarantineTable`."""
        return gateway.QuarantineRecord(part=packed, written_at_ms=written_at_ms)

    def packed_of(self, record: gateway.QuarantineRecord) -> gateway.SuspectPart | None:
        """See `QuarantineTable`."""
        return record.part if record.part.digest else None

    def stored(self, packed: gateway.SuspectPart, packed_at: float, now: float) -> int | None:
        """See `QuarantineTable`."""
        entry = _unpack_part(packed, packed_at)
        return entry.failed_trials if entry.expires_at > now else None

    def expire(self, now: float) -> list[bytes]:
        """See `QuarantineTable`."""
        expired = self._quarantine.expire(now)
        return [digest for digest, entry in expired if entry.failed_trials]

    def fields(self, digest: bytes, now: float) -> dict[str, Any]:
        """See `QuarantineTable`."""
        return self._quarantine.fields(digest, now)


def _age_ms(at: float, now: float) -> int:
    return milliseconds(max(0.0, now - at))


def _pack_request(digest: bytes, entry: QuarantineEntry, now: float) -> gateway.SuspectRequest:
    return gateway.SuspectRequest(
        digest=digest,
        ends=[
            gateway.EngineEnd(
                engine=name.engine,
                stamp=name.stamp,
                age_ms=_age_ms(failure.ended_at, now),
                trial=failure.trial,
                excused=failure.excused,
                variant=failure.variant,
            )
            for name, failure in entry.failures.items()
        ],
    )


def _unpack_request(received: gateway.SuspectRequest, now: float) -> QuarantineEntry:
    return QuarantineEntry(
        {
            FailureId(EngineLife(end.engine), end.stamp): EngineFailure(
                now - end.age_ms / 1000, end.variant, end.trial, end.excused
            )
            for end in received.ends
        }
    )


def _pack_part(digest: bytes, entry: PartEntry, now: float) -> gateway.SuspectPart:
    return gateway.SuspectPart(
        digest=digest,
        crashes=[
            gateway.PartCrash(
                engine=life,
                age_ms=_age_ms(crash.ended_at, now),
                excused=crash.excused,
                on_trial=crash.on_trial,
            )
            for life, crash in entry.crashes.items()
        ],
        trials=[
            gateway.PartTrial(
                number=number, age_ms=_age_ms(trial.started_at, now), is_over=trial.is_over
            )
            for number, trial in entry.trials.items()
        ],
    )


def _unpack_part(received: gateway.SuspectPart, now: float) -> PartEntry:
    return PartEntry(
        {
            EngineLife(crash.engine): PartCrash(
                now - crash.age_ms / 1000, crash.excused, crash.on_trial
            )
            for crash in received.crashes
        },
        {
            trial.number: PartTrial(now - trial.age_ms / 1000, trial.is_over)
            for trial in received.trials
        },
    )
