"""External dependencies of a node: settings, clock, ids, services, log and metrics.

Tests and experiments inject virtual time, seeded random generators and in-process services; all
other code of a node is the same.
"""

from __future__ import annotations

import random
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field

from postvalve.clock import Clock, SystemClock
from postvalve.events import EventLog
from postvalve.node.log_writer import LogWriter
from postvalve.node.metrics import NodeMetrics
from postvalve.node.transport import NetworkTransport, Transport
from postvalve.services.engine import Engine, HttpEngine
from postvalve.services.log import HttpLog, LogService
from postvalve.services.machines import HttpMachineList, MachineList
from postvalve.settings.process import NodeSettings


def random_id() -> str:
    """Return a new id that is unique in the fleet."""
    return uuid.uuid4().hex


@dataclass(frozen=True)
class NodeContext:
    """External dependencies of one node."""

    settings: NodeSettings
    clock: Clock
    events: EventLog
    log: LogService
    machine_list: MachineList
    transport: Transport
    connect_engine: Callable[[str], Engine]
    """Returns a client of the engine at an address."""
    generator: random.Random
    new_id: Callable[[], str]
    metrics: NodeMetrics = field(default_factory=NodeMetrics)

    @property
    def writer(self) -> LogWriter:
        """A writer that appends to the log and retries."""
        return LogWriter(self.log, self.clock, self.new_id)


def system_context(settings: NodeSettings) -> NodeContext:
    """Return the context of a node process: system clock, real network and HTTP services."""
    events = EventLog(settings.node_id, settings.zone)
    return NodeContext(
        settings=settings,
        clock=SystemClock(),
        events=events,
        log=HttpLog(settings.log_url, settings.zone),
        machine_list=HttpMachineList(settings.machine_list_url),
        transport=NetworkTransport(settings.peer_listen, events),
        connect_engine=HttpEngine,
        generator=random.Random(),
        new_id=random_id,
    )
