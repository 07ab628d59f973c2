"""What is learned about the engine version that began one stream, while a node looks it up."""

from __future__ import annotations

from dataclasses import dataclass

from postvalve.core.routing.stream_origins import stream_key
from postvalve.core.routing.version_history import VersionHistory
from postvalve.gateway.knowledge.topic_follower import MAX_REPORTED_AGE
from postvalve.messages.generated import gateway

AGE_PRECISION = 0.001
"""Seconds by which a peer's copy of the directory may be older than it says."""


@dataclass(frozen=True, slots=True)
class TakenUpStream:
    """A stream that a client takes up at this node."""

    tenant: str
    service: str
    begun_as: str
    """Id of the attempt that brought its first event; empty if the client does not name it."""
    request_id: str
    """Id of the present attempt, for the log."""
    seconds_left: float
    """Until the client's deadline."""

    @property
    def key(self) -> bytes:
        """Key by which nodes know the stream; empty if the client does not name it."""
        return stream_key(self.tenant, self.service, self.begun_as) if self.begun_as else b""


@dataclass(frozen=True, slots=True)
class OriginKnowledge:
    """What this node and its peers know about the version that began a stream."""

    version: int | None
    source: str
    versions: frozenset[int] = frozenset()
    answers: int = 0
    asked: int = 0
    is_current: bool = False
    """Whether this node has read the directory since the client came."""
    is_complete: bool = False
    """Whether no version listed earlier can be missing."""

    @property
    def missing(self) -> str:
        """What is missing for a proof, for log lines; empty if nothing is."""
        if self.version is not None:
            return ""
        if self.source != "none":
            return self.source
        if not self.is_current:
            return "a read of the directory"
        return "a peer that knows the stream" if self.is_complete else "the records of versions"


@dataclass(frozen=True, slots=True)
class DirectoryRead:
    """The end of a read of the directory that began after the client came."""

    is_answered: bool


LookupReply = gateway.OriginReply | DirectoryRead | None
"""What a lookup waits for; None for each peer that did not answer."""


class OriginLookup:
    """What has been learned in one lookup about the versions of a service."""

    def __init__(self, service: str, asked: int, history: VersionHistory, started: float) -> None:
        self._service = service
        self._history = history
        self._started = started
        self._versions: set[int] = set()
        """Versions that peers have listed."""
        self._known_until = float("-inf")
        """Up to when some peer knows all versions."""
        self._is_current = False
        self._answers = 0
        self._asked = asked
        self.pending = asked + 1
        """Peers that have not answered yet, and the read of the directory."""

    def record(self, reply: LookupReply) -> None:
        """Record an answer of a peer, or the end of the read."""
        self.pending -= 1
        if isinstance(reply, DirectoryRead):
            self._is_current = reply.is_answered
        elif reply is not None:
            self._answers += 1
            self._versions |= set(reply.versions)
            age = reply.directory_age_ms / 1000
            if reply.complete and age < MAX_REPORTED_AGE:
                known_until = self._started - age - AGE_PRECISION
                self._known_until = max(self._known_until, known_until)

    def _is_complete(self, now: float) -> bool:
        """Whether this node, or a peer, knows what was listed before it followed the directory.

        The read of the directory may find that its history is gone.
        """
        followed_since = self._history.followed_since
        return self._history.is_complete(now) or self._known_until >= followed_since

    def knowledge(self, now: float, reply: gateway.OriginReply | None = None) -> OriginKnowledge:
        """Return what is known now, including the reply of a peer that knows the stream."""
        versions = self._history.possible(self._service, now) | self._versions
        is_complete = self._is_complete(now)
        version, source = None, "none"
        if reply is not None:
            version, source = reply.version, "peer"
        elif len(versions) == 1 and is_complete and self._is_current:
            version, source = next(iter(versions)), "only version"
        return OriginKnowledge(
            version,
            source,
            versions,
            self._answers,
            self._asked,
            self._is_current,
            is_complete,
        )
