"""Follows the configuration stream, and fetches newer revisions from peers.

Peers are the fallback while this node can't reach the log.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent

from postvalve.core.batch.identity import CONFIGURATION_STREAM
from postvalve.core.configuration.history import (
    NO_REVISION,
    ChangeOutcome,
    ConfigurationHistory,
    Revision,
)
from postvalve.events import Event
from postvalve.exceptions import LogUnavailableError, NotReadyError, PeerUnavailableError
from postvalve.messages.framing import FrameError
from postvalve.messages.generated import peer
from postvalve.messages.records_codec import parse_record
from postvalve.node.background import BackgroundTasks
from postvalve.node.context import NodeContext
from postvalve.node.membership_service import MembershipService
from postvalve.node.peer_link import Channel
from postvalve.settings.fleet import FleetConfiguration, parse_fleet_configuration
from postvalve.settings.validation import InvalidSettingsGroup

LONG_POLL_TIMEOUT = 10.0
"""Time-out, in seconds, of one long poll of the configuration stream."""
PEER_CHECK_INTERVAL = 1.0
"""Seconds between checks whether a peer has a newer revision."""
PEER_TIMEOUT = 2.0
"""Time-out, in seconds, of a fetch from a peer."""
NOT_READY_RETRY_AFTER = 1.0
"""Retry-After, in seconds, of a node that has no configuration yet."""

ConfigurationListener = Callable[[FleetConfiguration], None]


class ConfigurationService:
    """The configuration that is active at this node; its revision number never decreases."""

    def __init__(self, context: NodeContext, membership: MembershipService) -> None:
        self._log = context.log
        self._transport = context.transport
        self._events = context.events
        self._metrics = context.metrics
        self._membership = membership
        self._history = ConfigurationHistory()
        self._offset = 0
        self._current: FleetConfiguration | None = None
        self._listeners: list[ConfigurationListener] = []
        self._log_reachable = True
        self._applied_revision = NO_REVISION

    @property
    def ready(self) -> bool:
        """Whether a configuration is active."""
        return self._current is not None

    @property
    def revision(self) -> int:
        """Number of the newest known revision, or NO_REVISION."""
        return self._history.newest_number

    @property
    def current(self) -> FleetConfiguration:
        """The active configuration.

        Raises:
            NotReadyError: this node has none yet.
        """
        if self._current is None:
            raise NotReadyError(
                "this node has no configuration yet", retry_after=NOT_READY_RETRY_AFTER
            )
        return self._current

    def add_listener(self, listener: ConfigurationListener) -> None:
        """Register a callback for each configuration that becomes active."""
        self._listeners.append(listener)

    def start(self, tasks: BackgroundTasks) -> None:
        """Start the background tasks."""
        tasks.loop(self._poll_log)
        tasks.every(PEER_CHECK_INTERVAL, self._fetch_from_peers)

    def _poll_log(self) -> None:
        wait = LONG_POLL_TIMEOUT if self._offset or self.ready else 1.0
        try:
            part = self._log.read(CONFIGURATION_STREAM, self._offset, wait=wait)
        except LogUnavailableError as error:
            if self._log_reachable:
                self._events.emit(Event.LOG_UNAVAILABLE, error=error.message)
            self._log_reachable = False
            gevent.sleep(PEER_CHECK_INTERVAL)
            return
        self._log_reachable = True
        for entry in part.entries:
            self._observe(entry.offset, entry.payload)
        self._offset = part.next_offset
        self._apply(self._history.newest)

    def _observe(self, offset: int, payload: bytes) -> None:
        try:
            record = parse_record(payload)
        except FrameError as error:
            self._events.emit(Event.LOG_RECORD_INVALID, offset=offset, error=repr(error))
            return
        outcome = self._history.observe(offset, record)
        if outcome is ChangeOutcome.CONFLICT:
            self._events.emit(Event.CONFIGURATION_CONFLICT, offset=offset)

    def _apply(self, revision: Revision | None) -> None:
        if revision is None or self._applied_revision == revision.number:
            return
        self._applied_revision = revision.number
        is_first = self._current is None
        try:
            self._current = parse_fleet_configuration(
                revision.document, f"revision {revision.number}"
            )
        except InvalidSettingsGroup as error:
            self._events.emit(
                Event.CONFIGURATION_UNREADABLE, revision=revision.number, error=str(error)
            )
            return
        self._metrics.configuration_revision.set(revision.number)
        self._events.emit(Event.CONFIGURATION_IN_FORCE, revision=revision.number)
        if is_first:
            self._events.emit(Event.NODE_READY)
        for listener in self._listeners:
            listener(self._current)

    def _fetch_from_peers(self) -> None:
        newer = [
            member
            for member in self._membership.view.members()
            if member.configuration_revision > self.revision
        ]
        if not newer:
            return
        newest = max(newer, key=lambda member: member.configuration_revision)
        fetch = peer.ConfigurationFetch(known_revision=max(0, self.revision))
        try:
            reply = self._transport.call(
                newest.peer_address, Channel.ADMISSION, fetch, PEER_TIMEOUT
            )
        except PeerUnavailableError:
            return
        if isinstance(reply, peer.ConfigurationReply) and reply.document:
            self._adopt(Revision(reply.revision, reply.document))

    def _adopt(self, revision: Revision) -> None:
        if self._history.adopt(revision):
            self._events.emit(Event.CONFIGURATION_FROM_PEER, revision=revision.number)
            self._apply(revision)

    def handle_fetch(self) -> peer.ConfigurationReply:
        """Return the newest known revision for a peer, or an empty reply if there is none."""
        newest = self._history.newest
        if newest is None:
            return peer.ConfigurationReply()
        return peer.ConfigurationReply(revision=newest.number, document=newest.document)
