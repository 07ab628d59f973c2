"""Fetches a newer revision of the configuration from a peer that has it.

A peer is asked every `FETCH_INTERVAL` until a reported revision is in force. A peer may not answer,
and the reporter of a zone tells the greatest revision of the zone, which it may not have itself.
"""

from __future__ import annotations

from dataclasses import dataclass

import gevent

from postvalve.events import Event, EventLog
from postvalve.exceptions import PeerUnavailableError
from postvalve.gateway.knowledge.configuration import ConfigurationHolder
from postvalve.messages.generated import gateway
from postvalve.node.peer_link import Channel
from postvalve.node.transport import Transport

FETCH_TIMEOUT = 1.0
"""Time-out of a call to a peer in seconds."""
FETCH_INTERVAL = 0.3
"""Seconds for which a newer revision may still arrive from the store before a peer is asked, and
from one peer to the next."""
MAX_FETCHES = 3
"""Most calls to a peer for each of its reports."""


@dataclass(slots=True)
class _Source:
    """A peer that reported a newer revision than this node's."""

    node_id: str
    address: str
    revision: int
    fetches: int = 0


class RevisionFetcher:
    """Fetches newer revisions from peers and serves this node's revision to them."""

    def __init__(
        self, configuration: ConfigurationHolder, transport: Transport, events: EventLog
    ) -> None:
        self._configuration = configuration
        self._transport = transport
        self._events = events
        self._sources: dict[str, _Source] = {}
        self._fetching = False
        self.greatest_reported = -1
        """Greatest revision that any peer reported to have in force; -1 if there is none."""

    def consider(self, revision: int, node_id: str, address: str) -> None:
        """Fetch a peer's revision unless the store delivers it within `FETCH_INTERVAL`."""
        self.greatest_reported = max(self.greatest_reported, revision)
        if revision <= self._known:
            return
        self._sources[node_id] = _Source(node_id, address, revision)
        if not self._fetching:
            self._fetching = True
            gevent.spawn(self._fetch_missing)

    @property
    def _known(self) -> int:
        return max(0, self._configuration.revision)

    def _fetch_missing(self) -> None:
        try:
            gevent.sleep(FETCH_INTERVAL)
            while (source := self._next_source()) is not None:
                source.fetches += 1
                gevent.spawn(self._fetch, source).join(FETCH_INTERVAL)
                if source.revision > self._known:
                    # The same peer is asked again after an interval, another one sooner.
                    gevent.sleep(FETCH_INTERVAL / len(self._sources))
        finally:
            self._fetching = False

    def _next_source(self) -> _Source | None:
        """Return the peer to ask next; None if no newer revision can be fetched."""
        self._sources = {
            node_id: one
            for node_id, one in self._sources.items()
            if one.revision > self._known and one.fetches < MAX_FETCHES
        }
        return min(
            self._sources.values(), key=lambda one: (one.fetches, -one.revision), default=None
        )

    def _fetch(self, source: _Source) -> None:
        request = gateway.RevisionFetch(known_revision=self._known)
        try:
            reply = self._transport.call(source.address, Channel.ADMISSION, request, FETCH_TIMEOUT)
        except PeerUnavailableError as exc:
            self._log_not_fetched(source, exc.message)
            return
        if not isinstance(reply, gateway.RevisionReply) or reply.revision < source.revision:
            self._log_not_fetched(source, "the peer has an older revision itself")
        if isinstance(reply, gateway.RevisionReply) and reply.document:
            self._configuration.adopt(reply.document, source.node_id)

    def _log_not_fetched(self, source: _Source, error: str) -> None:
        self._events.emit(
            Event.REVISION_NOT_FETCHED,
            peer=source.node_id,
            revision=source.revision,
            known=self._known,
            error=error,
        )

    def reply(self) -> gateway.RevisionReply:
        """Return this node's revision for a peer that asks for it."""
        return gateway.RevisionReply(revision=self._known, document=self._configuration.document)
