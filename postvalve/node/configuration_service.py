"""Follows the configuration stream, and asks peers while the log is out of reach."""

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
"""Seconds of one long poll of the configuration stream."""
PEER_CHECK_INTERVAL = 1.0
"""Seconds between looks at the revisions that peers have."""
PEER_TIMEOUT = 2.0
"""Seconds until a peer's answer is given up."""
NOT_READY_RETRY_AFTER = 1.0
"""Seconds told to callers of a node without configuration."""

RevisionListener = Callable[[FleetConfiguration], None]


class ConfigurationService:
    """The configuration in force at this node. It only moves forward."""

    def __init__(self, context: NodeContext, membership: MembershipService) -> None:
        self._log = context.log
        self._transport = context.transport
        self._events = context.events
        self._metrics = context.metrics
        self._membership = membership
        self._history = ConfigurationHistory()
        self._offset = 0
        self._current: FleetConfiguration | None = None
        self._listeners: list[RevisionListener] = []
        self._log_reachable = True
        self._enforced_revision = NO_REVISION

    @property
    def ready(self) -> bool:
        """Whether a configuration is in force."""
        return self._current is not None

    @property
    def revision(self) -> int:
        """Number of the newest revision known."""
        return self._history.newest_number

    @property
    def current(self) -> FleetConfiguration:
        """The configuration in force.

        Raises:
            NotReadyError: when this node has none yet.
        """
        if self._current is None:
            raise NotReadyError(
                "this node has no configuration yet", retry_after=NOT_READY_RETRY_AFTER
            )
        return self._current

    def add_listener(self, listener: RevisionListener) -> None:
        """Be told of each revision that comes into force."""
        self._listeners.append(listener)

    def start(self, tasks: BackgroundTasks) -> None:
        """Start to follow."""
        tasks.loop(self._follow)
        tasks.every(PEER_CHECK_INTERVAL, self._ask_peers)

    def _follow(self) -> None:
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
        self._enforce(self._history.newest)

    def _observe(self, offset: int, payload: bytes) -> None:
        try:
            record = parse_record(payload)
        except FrameError as error:
            self._events.emit(Event.LOG_RECORD_INVALID, offset=offset, error=repr(error))
            return
        outcome = self._history.observe(offset, record)
        if outcome is ChangeOutcome.CONFLICT:
            self._events.emit(Event.CONFIGURATION_CONFLICT, offset=offset)

    def _enforce(self, revision: Revision | None) -> None:
        if revision is None or self._enforced_revision == revision.number:
            return
        self._enforced_revision = revision.number
        first = self._current is None
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
        if first:
            self._events.emit(Event.NODE_READY)
        for listener in self._listeners:
            listener(self._current)

    def _ask_peers(self) -> None:
        ahead = [
            member
            for member in self._membership.view.members()
            if member.configuration_revision > self.revision
        ]
        if not ahead:
            return
        newest = max(ahead, key=lambda member: member.configuration_revision)
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
            self._enforce(revision)

    def handle_fetch(self) -> peer.ConfigurationReply:
        """Give the newest revision to a peer; empty when there is none."""
        newest = self._history.newest
        if newest is None:
            return peer.ConfigurationReply()
        return peer.ConfigurationReply(revision=newest.number, document=newest.document)
