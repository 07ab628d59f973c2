"""Emulated log and machine list under virtual time."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass

import gevent
from gevent.event import AsyncResult

from postvalve.emulator.log_model import LogFault, LogModel
from postvalve.emulator.machine_service import MachineListModel
from postvalve.emulator.virtual_network import ZONE_DELAY, Location
from postvalve.emulator.virtual_time import VirtualLoop
from postvalve.exceptions import LogUnavailableError, PlatformError, Verdict
from postvalve.services.log import ANSWER_TIMEOUT, DEFAULT_READ_BYTES, LogSlice
from postvalve.services.machines import Machine

LOG_OWNER = "log"
APPEND_DELAY = 0.002
"""Seconds until an append is durable."""


@dataclass(frozen=True, slots=True)
class _Reader:
    owner: str
    appended: AsyncResult


class VirtualLogService:
    """The log shared by all nodes of a simulation."""

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop
        self.model = LogModel()
        self._readers: dict[str, list[_Reader]] = defaultdict(list)

    def append(self, location: Location, stream: str, payload: bytes) -> int:
        """Append a record, with the network delay of the call and of its answer.

        Raises:
            LogUnavailableError: The log is faulty; see `LogModel.append`. A delay of
                `ANSWER_TIMEOUT` or more gives MAY_HAVE_RUN, and the record is appended later.
        """
        delay = ZONE_DELAY + APPEND_DELAY + self._fault_delay()
        if delay >= ANSWER_TIMEOUT:
            self.loop.call_for(LOG_OWNER, delay, self._apply_late, location, stream, payload)
            gevent.sleep(ANSWER_TIMEOUT)
            raise LogUnavailableError("no answer in time", Verdict.MAY_HAVE_RUN)
        gevent.sleep(delay)
        try:
            offset = self.model.append(stream, payload, location.zone)
        except LogUnavailableError as error:
            if error.verdict is not Verdict.NOT_RUN:
                self._wake(stream)
                gevent.sleep(ANSWER_TIMEOUT)
            raise
        self._wake(stream)
        gevent.sleep(ZONE_DELAY)
        return offset

    def _apply_late(self, location: Location, stream: str, payload: bytes) -> None:
        try:
            self.model.append(stream, payload, location.zone)
        except LogUnavailableError:
            return
        self._wake(stream)

    def _fault_delay(self) -> float:
        faults = self.model.faults
        return faults.delay if faults.fault is LogFault.SLOW else 0.0

    def _wake(self, stream: str) -> None:
        for reader in self._readers.pop(stream, ()):
            self.loop.call_for(reader.owner, ZONE_DELAY, reader.appended.set, None)

    def read(
        self, location: Location, stream: str, offset: int, wait: float, limit: int
    ) -> LogSlice:
        """Read records, with the network delay; waits up to `wait` seconds if there are none.

        Raises:
            LogUnavailableError: The log is down or cannot be reached.
        """
        gevent.sleep(min(ZONE_DELAY + self._fault_delay(), ANSWER_TIMEOUT))
        part = self.model.read(stream, offset, limit=limit, zone=location.zone)
        if not part.entries and wait > 0:
            reader = _Reader(location.owner, AsyncResult())
            self._readers[stream].append(reader)
            try:
                reader.appended.get(timeout=wait)
            except gevent.Timeout:
                waiting = self._readers.get(stream, [])
                if reader in waiting:
                    waiting.remove(reader)
            part = self.model.read(stream, offset, limit=limit, zone=location.zone)
        gevent.sleep(ZONE_DELAY)
        return part


class VirtualLog:
    """Implementation of `LogService` for one node."""

    def __init__(self, service: VirtualLogService, location: Location) -> None:
        self._service = service
        self._location = location

    def append(self, stream: str, payload: bytes) -> int:
        """See `LogService`."""
        return self._service.append(self._location, stream, payload)

    def read(
        self, stream: str, offset: int, *, wait: float = 0.0, limit: int = DEFAULT_READ_BYTES
    ) -> LogSlice:
        """See `LogService`."""
        return self._service.read(self._location, stream, offset, wait, limit)


class VirtualMachineList:
    """Implementation of `MachineList` with delayed changes, shared by all nodes."""

    def __init__(self, loop: VirtualLoop, lag: float) -> None:
        self._loop = loop
        self.model = MachineListModel(lag)
        self.down = False

    def fetch(self) -> list[Machine]:
        """See `MachineList`."""
        gevent.sleep(ZONE_DELAY)
        if self.down:
            raise PlatformError("machine list is down")
        return self.model.visible(self._loop.now())
