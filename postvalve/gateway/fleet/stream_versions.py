"""Finds the engine version that began a stream which a client takes up, at whichever node it does.

While a service has engines of one version only, and the directory is up to date, nothing is told.
Otherwise a node tells the owners of each stream which version began it, and of those that it has
begun before.

Where no node knows a stream, it began at the only version that there has been. A node's copy of the
directory can't show that, since another node may have begun the stream at a version listed since.
A read of the directory that began after the client came does: an engine is listed before it serves.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any

import gevent
from gevent.event import Event as GeventEvent
from gevent.queue import Empty, Queue

from postvalve.clock import milliseconds
from postvalve.core.membership.known_facts import VersionEvidence
from postvalve.core.routing.stream_origins import (
    MAX_TIME,
    OriginReport,
    StreamOriginError,
    StreamOrigins,
    pack_reports,
    stream_key,
    unpack_reports,
    version_hash,
)
from postvalve.core.routing.version_history import VersionHistory
from postvalve.events import Event
from postvalve.exceptions import PeerUnavailableError, StreamVersionUnknownError
from postvalve.gateway.fleet.origin_lookup import (
    DirectoryRead,
    LookupReply,
    OriginKnowledge,
    OriginLookup,
    TakenUpStream,
)
from postvalve.gateway.fleet.peer_services import PeerServices
from postvalve.gateway.fleet.stream_owners import OwnerRing
from postvalve.gateway.interfaces import EngineEntry, EngineState
from postvalve.gateway.knowledge.read_barrier import ReadBarrier
from postvalve.messages.framing import encode_frame
from postvalve.messages.generated import gateway
from postvalve.node.peer_link import Channel

GATHER_TIME = 0.02
"""Seconds for which reports gather after a message was sent; the first one is sent at once."""
REPORTS_PER_MESSAGE = 90
"""Most reports in one datagram, small enough not to be fragmented."""
LOOKUP_TIMEOUT = 0.25
"""Seconds for which peers may be asked about one stream."""
LOOKUP_SHARE = 0.25
"""Fraction of a client's time left that this may take."""
DENIAL_WAIT = 0.1
"""Seconds for which the other peers may still answer once one has, if the directory shows that
there is one version only. One of them may have seen a second version before this node started."""
PROOF_TIMEOUT = 0.2
"""Seconds that a read of the directory may take which is to show the version of a stream that this
node has begun. A client, or a peer on its behalf, waits for it."""
PROOF_INTERVAL = 0.1
"""Least seconds between two reads of the directory for streams of which owners are to be told."""
MAX_LOOKUPS = 64
"""Streams that one node asks its peers for at the same time; half of them for one tenant."""
FRESH_AGE = 1.5
"""Greatest age in seconds of the copy of the directory at which owners are not told of streams of
an only version. Its reads wait for about a second."""
TIME_MARGIN = 2.0
"""Seconds after a client's deadline for which its stream is remembered."""
UNKNOWN_RETRY_AFTER = 0.2
"""Retry-After in seconds when no node said which version began a stream; another may know it."""
EXPIRY_INTERVAL = 5.0
"""Seconds between removals of streams that no client can take up any more."""


class StreamVersions:
    """One node's knowledge of the versions that began streams, and its exchange with peers."""

    def __init__(
        self, services: PeerServices, history: VersionHistory, directory: ReadBarrier
    ) -> None:
        """Create the knowledge of a node that has just started.

        Args:
            services: What the exchange with peers needs.
            history: Versions listed lately.
            directory: Reads of the directory that begin after a client came.
        """
        self._services = services
        self._directory = directory
        self._clock = services.clock
        self._events = services.events
        self._fleet = services.fleet
        self._history = history
        self._own = StreamOrigins()
        """Streams that this node has served."""
        self._told = StreamOrigins()
        """Streams that peers have told this node."""
        self._ring = OwnerRing(services.peers, services.identity.zone, services.clock)
        self._evidence: dict[bytes, list[VersionEvidence]] = {}
        """What is to show which version began a stream that this node has begun, until it does."""
        self._untold: dict[bytes, OriginReport] = {}
        """Reports to owners that wait for it."""
        self._has_untold = GeventEvent()
        self._unsent: dict[str, list[OriginReport]] = {}
        """Reports that gather, by the address of the peer."""
        self._pending = GeventEvent()
        self._lookups: Counter[str] = Counter()
        """Lookups under way by tenant."""
        self._reported_services: set[str] = set()
        """Services of whose streams the owners are told."""

    # What this node serves

    def record(
        self,
        tenant: str,
        service: str,
        request_id: str,
        version: str,
        seconds_left: float,
        evidence: VersionEvidence | None = None,
    ) -> None:
        """Record that an engine of `version` brought the first event of a stream.

        Args:
            tenant: The tenant that sent the request; empty for anonymous requests.
            service: The service that it was sent to.
            request_id: Id of the attempt; a stream without one can't be taken up.
            version: The engine's version.
            seconds_left: Seconds until the client's deadline.
            evidence: What shows or will show the version; None if nothing needs to. Until it does,
                the stream goes on nowhere else.
        """
        if request_id:
            stream = stream_key(tenant, service, request_id)
            if evidence is not None and not evidence.is_proven:
                self._evidence.setdefault(stream, []).append(evidence)
            self._record(stream, service, version_hash(version), seconds_left)

    def _record(self, stream: bytes, service: str, version: int, seconds_left: float) -> None:
        now = self._clock.monotonic()
        seconds = min(MAX_TIME, seconds_left + TIME_MARGIN)
        self._own.record(stream, version, now + seconds, now, service)
        if service in self._reported_services or not self._has_only_version(service, now):
            self._report([OriginReport(stream, version, seconds)])

    def _settle(self, stream: bytes) -> bool:
        """Take notice of what is known by now; returns whether the version is proven or refuted."""
        evidence = self._evidence.get(stream, ())
        if any(one.is_refuted for one in evidence):
            self._own.contradict(stream)
        elif not all(one.is_proven for one in evidence):
            return False
        self._evidence.pop(stream, None)
        return True

    def _prove(self, stream: bytes, timeout: float) -> bool:
        """Wait for what shows, or refutes, the version of a stream that this node has begun."""
        return self._settle(stream) or (self._directory.wait(timeout) and self._settle(stream))

    def _has_only_version(self, service: str, now: float) -> bool:
        """Whether the directory alone tells which version began a service's streams."""
        return (
            self._history.is_complete(now)
            and len(self._history.possible(service, now)) == 1
            and self._fleet.directory_age() <= FRESH_AGE
        )

    def observe_entry(self, entry: EngineEntry) -> None:
        """Record the version of an entry that the directory has or had."""
        version = version_hash(entry.version)
        self._history.record_earlier(entry.service, version, self._clock.monotonic())

    def observe_snapshot(self) -> None:
        """Record that entries may have come and gone unread until now."""
        self._history.record_gap(self._clock.monotonic())

    def observe_directory(self) -> None:
        """Update the versions listed, after a change of the directory."""
        entries = self._fleet.listed_engines()
        self._history.observe(
            {(one.service, version_hash(one.version)) for one in entries}, self._clock.monotonic()
        )
        self.refresh()

    def refresh(self) -> None:
        """Tell of a service's streams from when the directory does not.

        Called a few times a second.
        """
        now = self._clock.monotonic()
        services = {service for service, _ in self._history.all(now)}
        reported = {one for one in services if not self._has_only_version(one, now)}
        for service in reported - self._reported_services:
            self._report(self._own.reports(service, now))
        self._reported_services = reported

    # Telling

    def _report(self, reports: Iterable[OriginReport]) -> None:
        for one in list(reports):
            if not self._settle(one.stream):
                self._untold[one.stream] = one
                self._has_untold.set()
                continue
            if self._own.is_contradicted(one.stream, self._clock.monotonic()):
                continue
            for address in self._ring.of(one.stream).told:
                self._unsent.setdefault(address, []).append(one)
        if self._unsent:
            self._pending.set()

    def run(self) -> None:
        """Send reports and forget streams; never returns."""
        expired_at = self._clock.monotonic()
        while True:
            if self._pending.wait(EXPIRY_INTERVAL):
                self._pending.clear()
                self._send()
                gevent.sleep(GATHER_TIME)
            now = self._clock.monotonic()
            if now - expired_at >= EXPIRY_INTERVAL:
                expired_at = now
                self._own.expire(now)
                self._told.expire(now)
                self._evidence = {
                    stream: one for stream, one in self._evidence.items() if stream in self._own
                }

    def run_proofs(self) -> None:
        """Tell owners of streams once their version is proven; never returns."""
        while True:
            self._has_untold.wait()
            self._has_untold.clear()
            self.prove_untold()
            gevent.sleep(PROOF_INTERVAL)

    def prove_untold(self) -> None:
        """Read the directory for the streams of which owners are to be told."""
        untold, self._untold = self._untold, {}
        if not all(self._settle(stream) for stream in untold):
            self._directory.wait(PROOF_TIMEOUT)
        # Those that are still not proven wait again.
        self._report(one for one in untold.values() if one.stream in self._own)

    def _send(self) -> None:
        unsent, self._unsent = self._unsent, {}
        for address, reports in unsent.items():
            for first in range(0, len(reports), REPORTS_PER_MESSAGE):
                packed = pack_reports(reports[first : first + REPORTS_PER_MESSAGE])
                message = gateway.StreamOrigins(packed=packed)
                self._services.transport.send(address, encode_frame(message, 0))

    def receive(self, message: gateway.StreamOrigins, peer: str) -> None:
        """Remember what a peer tells of its streams."""
        now = self._clock.monotonic()
        try:
            reports = unpack_reports(message.packed)
        except StreamOriginError as exc:
            self._events.emit(Event.PEER_MESSAGE_INVALID, peer=peer, error=str(exc))
            return
        for one in reports:
            self._told.record(one.stream, one.version, now + one.seconds, now)

    # Asking

    def reply(self, ask: gateway.OriginAsk) -> gateway.OriginReply:
        """Answer a peer that does not know a stream."""
        is_settled = self._prove(ask.stream, PROOF_TIMEOUT)
        now = self._clock.monotonic()
        version = self._find_here(ask.stream, now) if is_settled else None
        return gateway.OriginReply(
            known=version is not None,
            version=version or 0,
            versions=sorted(self._history.possible(ask.service, now)),
            complete=self._history.is_complete(now),
            directory_age_ms=milliseconds(min(MAX_TIME, self._fleet.directory_age())),
        )

    def _find_here(self, stream: bytes, now: float) -> int | None:
        if self._is_contradicted(stream, now):
            return None
        own = self._own.find(stream, now)
        return own if own is not None else self._told.find(stream, now)

    def _is_contradicted(self, stream: bytes, now: float) -> bool:
        """Whether a stream's version is unknown for good, as clients may use an id again."""
        if self._own.is_contradicted(stream, now) or self._told.is_contradicted(stream, now):
            return True
        own, told = self._own.find(stream, now), self._told.find(stream, now)
        return own is not None and told is not None and own != told

    def find(self, taken_up: TakenUpStream) -> str | None:
        """Return the version that began a stream which a client takes up.

        Returns:
            The version; None if no engine of it is listed any more.

        Raises:
            StreamVersionUnknownError: No node knows it.
        """
        started = self._clock.monotonic()
        stream = taken_up.key
        is_settled = self._prove(stream, min(PROOF_TIMEOUT, taken_up.seconds_left * LOOKUP_SHARE))
        version = self._find_here(stream, started)
        if not is_settled:
            known = OriginKnowledge(None, "a read of the directory")
        elif self._is_contradicted(stream, started):
            known = OriginKnowledge(None, "contradicting reports")
        elif version is not None:
            known = OriginKnowledge(version, "own")
        else:
            known = self._look_up(stream, taken_up)
        self._log(taken_up, known, started)
        if known.version is None:
            raise StreamVersionUnknownError(
                "no node knows which engine version began this stream; take it up again, naming "
                f"its first attempt, or begin it anew (missing: {known.missing})",
                retry_after=UNKNOWN_RETRY_AFTER,
            )
        if stream:
            # Owners of the stream may have been lost with the node that told them.
            self._record(stream, taken_up.service, known.version, taken_up.seconds_left)
        return self._listed_version(taken_up.service, known.version)

    def _listed_version(self, service: str, version: int) -> str | None:
        for entry in self._fleet.listed_engines():
            if entry.service == service and version_hash(entry.version) == version:
                return entry.version
        return None

    def _look_up(self, stream: bytes, taken_up: TakenUpStream) -> OriginKnowledge:
        """Ask peers for a stream."""
        tenant = taken_up.tenant
        if self._lookups.total() >= MAX_LOOKUPS or (
            tenant and self._lookups[tenant] >= MAX_LOOKUPS // 2
        ):
            return OriginKnowledge(None, "too many lookups")
        self._lookups[tenant] += 1
        try:
            return self._ask_peers(stream, taken_up)
        finally:
            self._lookups[tenant] -= 1
            if not self._lookups[tenant]:
                del self._lookups[tenant]

    def _ask_peers(self, stream: bytes, taken_up: TakenUpStream) -> OriginKnowledge:
        addresses = self._ring.of(stream).asked
        ask = gateway.OriginAsk(stream=stream, service=taken_up.service)
        timeout = min(LOOKUP_TIMEOUT, taken_up.seconds_left * LOOKUP_SHARE)
        replies: Queue[LookupReply] = Queue()
        gevent.spawn(self._read_directory, timeout, replies)
        for address in addresses:
            gevent.spawn(self._ask, address, ask, timeout, replies)
        return self._collect(replies, len(addresses), taken_up.service, timeout)

    def _collect(
        self, replies: Queue[LookupReply], asked: int, service: str, timeout: float
    ) -> OriginKnowledge:
        """Read replies until one knows the stream, all have come, or the time is over."""
        started = self._clock.monotonic()
        lookup = OriginLookup(service, asked, self._history, started)
        while lookup.pending:
            now = self._clock.monotonic()
            known = lookup.knowledge(now)
            is_enough = known.version is not None and known.answers > 0
            left = started + (DENIAL_WAIT if is_enough else timeout) - now
            if left <= 0:
                break
            try:
                reply = replies.get(timeout=left)
            except Empty:
                break
            lookup.record(reply)
            if isinstance(reply, gateway.OriginReply) and reply.known:
                return lookup.knowledge(self._clock.monotonic(), reply)
        return lookup.knowledge(self._clock.monotonic())

    def _read_directory(self, timeout: float, replies: Queue[LookupReply]) -> None:
        replies.put(DirectoryRead(self._directory.wait(timeout)))

    def _ask(
        self,
        address: str,
        ask: gateway.OriginAsk,
        timeout: float,
        replies: Queue[LookupReply],
    ) -> None:
        try:
            reply = self._services.transport.call(address, Channel.ADMISSION, ask, timeout)
        except PeerUnavailableError:
            # Counted in the log line of the lookup, as asked without an answer.
            replies.put(None)
            return
        replies.put(reply if isinstance(reply, gateway.OriginReply) else None)

    def _log(self, taken_up: TakenUpStream, known: OriginKnowledge, started: float) -> None:
        now = self._clock.monotonic()
        self._events.emit(
            Event.STREAM_VERSION_FOUND if known.version is not None else Event.STREAM_UNKNOWN,
            request=taken_up.request_id,
            service=taken_up.service,
            named=bool(taken_up.begun_as),
            version=None if known.version is None else f"{known.version:08x}",
            source=known.source,
            asked=known.asked,
            answers=known.answers,
            versions=len(known.versions),
            missing=known.missing,
            current=known.is_current,
            complete=known.is_complete,
            seconds=round(now - started, 3),
            directory_age=round(self._fleet.directory_age(), 3),
        )

    def rows(self) -> list[dict[str, Any]]:
        """Return the versions of each service for the status document, with their streams here."""
        now = self._clock.monotonic()
        names = {
            (one.service, version_hash(one.version)): one.version
            for one in self._fleet.listed_engines()
        }
        engines = Counter(
            (one.service, version_hash(one.version))
            for one in self._fleet.listed_engines()
            if one.state is EngineState.READY
        )
        streams = self._own.counts()
        return [
            {
                "service": service,
                "version": names.get((service, version), ""),
                "hash": f"{version:08x}",
                "ready_engines": engines[service, version],
                "streams": streams[service, version],
            }
            for service, version in sorted(self._history.all(now))
        ]

    def fields(self) -> dict[str, Any]:
        """Return what this node knows of versions and streams, for the status document."""
        return {
            "versions": self.rows(),
            "versions_complete": self._history.is_complete(self._clock.monotonic()),
            "streams": len(self._own),
            "streams_of_peers": len(self._told),
            "lookups": self._lookups.total(),
            "streams_unproven": len(self._evidence),
        }
