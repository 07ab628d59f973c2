"""Fetches a newer revision of the configuration from a peer that has it."""

from __future__ import annotations

import gevent

from postvalve.events import Event, EventLog
from postvalve.exceptions import PeerUnavailableError
from postvalve.gateway.knowledge.configuration import ConfigurationHolder
from postvalve.messages.generated import gateway
from postvalve.node.peer_link import Channel
from postvalve.node.transport import Transport

FETCH_TIMEOUT = 1.0
"""Time-out of a call to a peer in seconds."""
FETCH_DELAY = 0.3
"""Seconds for which a newer revision may still arrive from the store before a peer is asked."""


class RevisionFetcher:
    """Fetches newer revisions from peers and serves this node's revision to them."""

    def __init__(
        self, configuration: ConfigurationHolder, transport: Transport, events: EventLog
    ) -> None:
        self._configuration = configuration
        self._transport = transport
        self._events = events
        self.greatest_reported = -1
        """Greatest revision that any peer reported to have in force; -1 if there is none."""

    def consider(self, revision: int, node_id: str, address: str) -> None:
        """Fetch a peer's revision unless the store delivers it within `FETCH_DELAY`."""
        self.greatest_reported = max(self.greatest_reported, revision)
        if revision > self._known:
            gevent.spawn_later(FETCH_DELAY, self._fetch, revision, node_id, address)

    @property
    def _known(self) -> int:
        return max(0, self._configuration.revision)

    def _fetch(self, revision: int, node_id: str, address: str) -> None:
        if revision <= self._known:
            return
        request = gateway.RevisionFetch(known_revision=self._known)
        try:
            reply = self._transport.call(address, Channel.ADMISSION, request, FETCH_TIMEOUT)
        except PeerUnavailableError as exc:
            self._events.emit(
                Event.REVISION_NOT_FETCHED, peer=node_id, revision=revision, error=exc.message
            )
            return
        if isinstance(reply, gateway.RevisionReply) and reply.document:
            self._configuration.adopt(reply.document, node_id)

    def reply(self) -> gateway.RevisionReply:
        """Return this node's revision for a peer that asks for it."""
        return gateway.RevisionReply(revision=self._known, document=self._configuration.document)
