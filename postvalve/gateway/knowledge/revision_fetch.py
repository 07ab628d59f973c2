"""Gets a newer revision of the configuration from a peer that has it."""

from __future__ import annotations

import gevent

from postvalve.events import Event, EventLog
from postvalve.exceptions import PeerUnavailableError
from postvalve.gateway.knowledge.configuration import ConfigurationHolder
from postvalve.messages.generated import gateway
from postvalve.node.peer_link import Channel
from postvalve.node.transport import Transport

FETCH_TIMEOUT = 1.0
"""Seconds until a peer's revision is given up."""
FETCH_DELAY = 0.3
"""Seconds in which a newer revision that a peer has may still come from the store."""


class RevisionFetcher:
    """Asks peers that tell of newer revisions, and answers those that ask."""

    def __init__(
        self, configuration: ConfigurationHolder, transport: Transport, events: EventLog
    ) -> None:
        self._configuration = configuration
        self._transport = transport
        self._events = events

    def consider(self, revision: int, node_id: str, address: str) -> None:
        """Get a revision that a peer has, unless the store brings it in a moment."""
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
        """What a peer that asks gets."""
        return gateway.RevisionReply(revision=self._known, document=self._configuration.document)
