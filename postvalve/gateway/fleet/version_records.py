"""Records of listed engine versions in the store, for nodes of a fleet that was lost as a whole.

A version is recorded before new requests go to its engines, and its record is removed once no
stream of it can be taken up. So a node that reads the records after it began to follow the
directory knows every version at which a stream may have begun. One node of the fleet writes them;
another one does if that takes long. Where no engine of a recorded version serves, or the store
takes or tells no records for some seconds, engines are used without one.
"""

from __future__ import annotations

from collections.abc import Callable

import gevent
import xxhash
from gevent.event import Event as GeventEvent

from postvalve.core.routing.stream_origins import version_hash
from postvalve.core.routing.version_history import VersionHistory
from postvalve.events import Event
from postvalve.gateway.fleet.peer_services import PeerServices
from postvalve.gateway.interfaces import (
    EngineEntry,
    KeyedRecord,
    KeyedTopics,
    StoreUnavailableError,
)
from postvalve.messages.framing import FrameError, parse_message
from postvalve.messages.generated import gateway

VERSION_TOPIC = "versions"
CHECK_INTERVAL = 0.5
"""Seconds between two looks at what is to be written."""
LEARN_INTERVAL = 0.1
"""Least seconds between reads of the records while another node is to write one."""
LEARN_INTERVAL_PER_NODE = 0.001
"""The same for each node of the fleet, as all of them read then."""
WRITER_PATIENCE = 0.6
"""Seconds after which any node writes a record that is missing."""
RECORD_PATIENCE = 3.0
"""Seconds for which engines wait for the record of their version if others serve. A store that
takes no records must not leave them idle."""
RETRY_DELAY = 0.3
"""Seconds before a failed call is retried, doubled after each further failure."""
MAX_RETRY_DELAY = 2.0

_Version = tuple[str, int]
"""Service, and hash of the version."""


class VersionRecords:
    """Keeps the records of versions in the store, and reads them after each gap in the history."""

    def __init__(
        self, services: PeerServices, topics: KeyedTopics, history: VersionHistory
    ) -> None:
        self._services = services
        self._clock = services.clock
        self._events = services.events
        self._topics = topics
        self._history = history
        self._recorded: set[_Version] = set()
        """Versions of which this node knows that the store has a record."""
        self._listed_at: dict[_Version, float] = {}
        """When listed versions without a known record were first listed."""
        self._awaited: set[_Version] = set()
        """Those of them whose engines wait."""
        self._loaded_gap = 0
        """Number of the gap in the history after which the records were last read."""
        self._changed = GeventEvent()
        self.on_change: Callable[[], None] = lambda: None
        """Called after engines have begun to wait for a record, or to be used."""

    def awaits_record(self, entry: EngineEntry) -> bool:
        """Whether an engine gets no new requests yet while engines of recorded versions serve."""
        return (entry.service, version_hash(entry.version)) in self._awaited

    def observe_directory(self) -> None:
        """Take notice of the versions listed, after a change of the directory."""
        self._update_awaited()
        if self._listed_at:
            self._changed.set()

    def _update_awaited(self) -> None:
        now, since = self._clock.monotonic(), self._listed_at
        missing = self._history.listed - self._recorded
        self._listed_at = {one: since.get(one, now) for one in missing}
        awaited = {one for one, at in self._listed_at.items() if now - at < RECORD_PATIENCE}
        if awaited == self._awaited:
            return
        for one in self._awaited - awaited:
            self._events.emit(
                Event.VERSION_AWAITED,
                service=one[0],
                version=f"{one[1]:08x}",
                seconds=round(now - since[one], 3),
                recorded=one in self._recorded,
            )
        self._awaited = awaited
        self._services.fleet.forget_usable()
        self.on_change()

    def run(self) -> None:
        """Read, write and remove records; never returns."""
        delay = RETRY_DELAY
        while True:
            self._changed.wait(self._interval())
            self._changed.clear()
            try:
                self._update()
                delay = RETRY_DELAY
            except StoreUnavailableError as exc:
                self._events.emit(Event.LOG_UNAVAILABLE, error=exc.message, topic=VERSION_TOPIC)
                gevent.sleep(delay)
                delay = min(MAX_RETRY_DELAY, delay * 2)
            self._update_awaited()

    def _interval(self) -> float:
        if not self._listed_at:
            return CHECK_INTERVAL
        nodes = self._services.peers.count() + 1
        return max(LEARN_INTERVAL, LEARN_INTERVAL_PER_NODE * nodes)

    def _update(self) -> None:
        if self._loaded_gap < self._history.gaps:
            self.load()
        if self._loaded_gap < self._history.gaps:
            return
        self._write_due()
        if self._listed_at.keys() - self._recorded:
            self._read()

    def _write_due(self) -> None:
        now = self._clock.monotonic()
        missing = {one for one in self._listed_at.keys() - self._recorded if self._writes(one, now)}
        obsolete = self._recorded - self._history.all(now)
        removed = {one for one in obsolete if self._is_writer(one)}
        if missing or removed:
            self._write(missing, removed)
        self._recorded -= obsolete

    def _writes(self, version: _Version, now: float) -> bool:
        """Whether this node writes the missing record of a version now."""
        if self._is_writer(version):
            return True
        is_late = now - self._listed_at[version] > WRITER_PATIENCE
        # On average one of the others tries at a time.
        draw = self._services.generator.uniform(0, self._services.peers.count() + 1)
        return is_late and draw < 1.0

    def _is_writer(self, version: _Version) -> bool:
        node_id, key = self._services.identity.node_id, _key(version)
        return self._services.peers.successor(key, include_self=True) == node_id

    def load(self) -> None:
        """Read the records.

        Raises:
            StoreUnavailableError: They could not be read.
        """
        gap = self._history.gaps
        self._read()
        self._loaded_gap = gap
        if gap == self._history.gaps:
            self._history.record_complete(self._clock.monotonic())

    def _read(self) -> None:
        after, more = "", True
        while more:
            page, more = self._topics.newest(VERSION_TOPIC, 0, after)
            for record in page.records:
                after = record.key
                self._load_record(record)
            more = more and bool(page.records)

    def _load_record(self, record: KeyedRecord) -> None:
        if not record.value:
            return
        try:
            found = parse_message(gateway.EngineVersion, record.value)
        except FrameError as exc:
            self._events.emit(
                Event.LOG_RECORD_INVALID, topic=VERSION_TOPIC, key=record.key, error=str(exc)
            )
            return
        assert isinstance(found, gateway.EngineVersion)
        version = (found.service, found.version)
        self._recorded.add(version)
        self._history.record_earlier(*version, self._clock.monotonic())

    def _write(self, added: set[_Version], removed: set[_Version]) -> None:
        records = [
            KeyedRecord(_key(one), bytes(gateway.EngineVersion(service=one[0], version=one[1])))
            for one in added
        ]
        records += [KeyedRecord(_key(one), b"") for one in removed]
        self._topics.append(VERSION_TOPIC, 0, records)
        self._recorded |= added


def _key(version: _Version) -> str:
    """Return the key of a version's record; a service's name may be longer than a key."""
    return f"{xxhash.xxh3_64_hexdigest(version[0].encode())}/{version[1]:08x}"
