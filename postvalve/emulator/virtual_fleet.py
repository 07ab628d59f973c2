"""A fleet in one process under virtual time: real nodes, emulated engines and platform."""

from __future__ import annotations

import hashlib
import itertools
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import gevent
from gevent.event import AsyncResult
from werkzeug.test import EnvironBuilder, run_wsgi_app

from postvalve.core.batch.identity import CONFIGURATION_STREAM
from postvalve.core.configuration.history import NO_REVISION
from postvalve.emulator.engine_model import EngineParameters
from postvalve.emulator.virtual_engine import VirtualEngine, VirtualEngineClient
from postvalve.emulator.virtual_network import (
    LOCAL_DELAY,
    Location,
    VirtualNetwork,
    VirtualTransport,
)
from postvalve.emulator.virtual_platform import (
    VirtualLog,
    VirtualLogService,
    VirtualMachineList,
)
from postvalve.emulator.virtual_time import EPOCH, VirtualClock, VirtualLoop
from postvalve.events import Event, EventLog
from postvalve.messages.generated import records
from postvalve.messages.records_codec import Record, encode_record
from postvalve.node.context import NodeContext
from postvalve.node.node import Node
from postvalve.services.machines import Machine
from postvalve.settings.fleet import FleetConfiguration
from postvalve.settings.process import NodeSettings, TimingSettings
from postvalve.states import MachineKind, MachineState

KEY_PREFIX = "sk-virtual-"
CLIENT_OWNER = ""
"""Owner of the clients' callbacks in the event loop; it is never frozen or killed."""


@dataclass(frozen=True, slots=True)
class LoggedEvent:
    """An event logged by a node, with its virtual time."""

    at: float
    node_id: str
    event: Event
    fields: dict[str, Any]


class RecordingEventLog(EventLog):
    """Event log that records events for tests to check."""

    def __init__(self, node_id: str, loop: VirtualLoop, recorded: list[LoggedEvent]) -> None:
        self._node_id = node_id
        self._loop = loop
        self._recorded = recorded

    def emit(self, event: Event, **fields: Any) -> None:
        """See `EventLog`."""
        self._recorded.append(LoggedEvent(self._loop.now(), self._node_id, event, fields))


@dataclass(frozen=True, slots=True)
class FleetShape:
    """Size, speed and configuration of a virtual fleet."""

    zones: int = 1
    nodes_per_zone: int = 2
    engines: int = 2
    model: str = "m"
    tenants: tuple[str, ...] = ("alpha", "beta")
    parameters: EngineParameters = EngineParameters()
    timing: TimingSettings = TimingSettings()
    shards: int = 16
    machine_lag: float = 1.0
    headroom: int = 2
    batch_beside_online: int | None = None


@dataclass(slots=True)
class VirtualAnswer:
    """HTTP response that a client received, with the arrival time of each chunk."""

    status: int
    headers: dict[str, str]
    chunks: list[bytes]
    times: list[float]
    """Virtual time at which each chunk arrived, in seconds."""

    @property
    def body(self) -> bytes:
        """Body as bytes, all chunks joined."""
        return b"".join(self.chunks)

    @property
    def document(self) -> Any:
        """Body parsed as JSON."""
        return json.loads(self.body)


class ConnectionResetByNodeError(ConnectionError):
    """The node was killed before it answered."""


@dataclass(slots=True)
class VirtualNode:
    """One run of a node: a restart creates another one with the same node id."""

    settings: NodeSettings
    location: Location
    node: Node
    pending: list[AsyncResult] = field(default_factory=list)


class VirtualFleet:
    """Nodes, engines and platform of one simulation."""

    def __init__(self, loop: VirtualLoop, shape: FleetShape, seed: int = 0) -> None:
        self.loop = loop
        self.shape = shape
        self.random = random.Random(seed)
        self.network = VirtualNetwork(loop)
        self.log = VirtualLogService(loop)
        self.machines = VirtualMachineList(loop, shape.machine_lag)
        self.engines: dict[str, VirtualEngine] = {}
        self.nodes: dict[str, VirtualNode] = {}
        self.events: list[LoggedEvent] = []
        self._life_numbers = itertools.count(1)
        self._publish(self.default_configuration())
        self._add_engines()

    def default_configuration(self) -> FleetConfiguration:
        """Return a configuration with one model, one online and two batch workloads, no limits."""
        return FleetConfiguration.model_validate(
            {
                "tenants": [
                    {
                        "name": tenant,
                        "api_key_sha256": [
                            hashlib.sha256((KEY_PREFIX + tenant).encode()).hexdigest()
                        ],
                    }
                    for tenant in self.shape.tenants
                ],
                "models": [{"name": self.shape.model}],
                "workloads": [
                    {"name": "query", "traffic_class": "online", "default": True},
                    {"name": "check", "traffic_class": "batch", "rank": 0, "default": True},
                    {"name": "review", "traffic_class": "batch", "rank": 1},
                ],
                "pools": [
                    {
                        "name": "all",
                        "models": [self.shape.model],
                        "online_headroom_slots": self.shape.headroom,
                        "batch_slots_beside_online": self.shape.batch_beside_online,
                    }
                ],
            }
        )

    def _publish(self, configuration: FleetConfiguration) -> None:
        change = records.ConfigurationChange(
            base_revision=NO_REVISION,
            author="start",
            document=configuration.model_dump_json().encode("utf-8"),
        )
        self.log.model.append(CONFIGURATION_STREAM, encode_record(Record("start", change)))

    def _add_engines(self) -> None:
        for number in range(self.shape.engines):
            zone = f"zone-{number % self.shape.zones}"
            self.add_engine(f"engine-{number}", zone)

    def add_engine(self, engine_id: str, zone: str) -> None:
        """Add an engine, and put it on the machine list."""
        self.engines[engine_id] = VirtualEngine(
            self.network,
            Location(engine_id, zone),
            {self.shape.model: "1"},
            self.shape.parameters,
        )
        machine = Machine(
            machine_id=engine_id, kind=MachineKind.ENGINE, address=engine_id, zone=zone
        )
        self.machines.model.put(machine, self.loop.now())

    def start(self) -> None:
        """Start all nodes and wait until leases and owners are settled."""
        for zone in range(self.shape.zones):
            for number in range(self.shape.nodes_per_zone):
                self.add_node(f"node-{zone}-{number}", f"zone-{zone}")
        gevent.sleep(self.settling_time)

    @property
    def settling_time(self) -> float:
        """Seconds after which a newly started fleet has leases and owners."""
        timing = self.shape.timing
        listing_delay = self.shape.machine_lag + timing.machine_list_interval
        return listing_delay + timing.digest_interval + 4 * timing.heartbeat_interval + 2

    def add_node(self, node_id: str, zone: str) -> None:
        """Start a new node, and put it on the machine list."""
        self.start_node(node_id, zone)
        machine = Machine(
            machine_id=node_id,
            kind=MachineKind.NODE,
            address=self.nodes[node_id].settings.peer_listen,
            zone=zone,
        )
        self.machines.model.put(machine, self.loop.now())

    def start_node(self, node_id: str, zone: str) -> None:
        """Start a new run of a node."""
        life = next(self._life_numbers)
        location = Location(f"{node_id}#{life}", zone)
        settings = self._settings(node_id, zone)
        node = Node(self._context(settings, location, life))
        self.nodes[node_id] = VirtualNode(settings, location, node)
        self.loop.call_for(location.owner, 0.0, gevent.spawn, node.start)

    def _settings(self, node_id: str, zone: str) -> NodeSettings:
        number = int(hashlib.sha256(node_id.encode()).hexdigest()[:4], 16)
        return NodeSettings(
            node_id=node_id,
            zone=zone,
            listen=f"127.0.{number // 256}.{number % 256}:80",
            peer_listen=f"127.0.{number // 256}.{number % 256}:81",
            log_url="http://127.0.0.1:1",
            machine_list_url="http://127.0.0.1:2",
            shards=self.shape.shards,
            timing=self.shape.timing,
        )

    def _context(self, settings: NodeSettings, location: Location, life: int) -> NodeContext:
        numbers = itertools.count(1)

        def connect_engine(address: str) -> VirtualEngineClient:
            return VirtualEngineClient(self.engines[address], location, address)

        return NodeContext(
            settings=settings,
            clock=VirtualClock(self.loop),
            events=RecordingEventLog(settings.node_id, self.loop, self.events),
            log=VirtualLog(self.log, location),
            machine_list=self.machines,
            transport=VirtualTransport(self.network, location, settings.peer_listen),
            connect_engine=connect_engine,
            generator=random.Random(self.random.getrandbits(64)),
            new_id=lambda: f"{settings.node_id}-{life}-{next(numbers)}",
        )

    # Faults

    def kill_node(self, node_id: str) -> None:
        """Stop a node immediately, as SIGKILL does; its connections are reset."""
        node = self.nodes[node_id]
        self.loop.kill(node.location.owner)
        self.network.close(node.settings.peer_listen)
        for engine in self.engines.values():
            engine.cancel_client(node.location.owner)
        for result in node.pending:
            self.loop.call_for(
                CLIENT_OWNER,
                LOCAL_DELAY,
                result.set_exception,
                ConnectionResetByNodeError(node_id),
            )

    def restart_node(self, node_id: str) -> None:
        """Restart a killed or drained node, which keeps no state."""
        self.start_node(node_id, self.nodes[node_id].location.zone)

    def freeze_node(self, node_id: str) -> None:
        """Suspend a node, as SIGSTOP does."""
        self.loop.freeze(self.nodes[node_id].location.owner)

    def thaw_node(self, node_id: str) -> None:
        """Resume a suspended node, as SIGCONT does."""
        self.loop.thaw(self.nodes[node_id].location.owner)

    def drain_node(self, node_id: str) -> None:
        """Ask a node to drain and stop, as SIGTERM does."""
        node = self.nodes[node_id]
        self.loop.call_for(node.location.owner, 0.0, node.node.drain)

    def kill_engine(self, engine_id: str) -> None:
        """Stop an engine immediately and cut its streams."""
        engine = self.engines[engine_id]
        self.loop.kill(engine.location.owner)
        engine.crash()

    def restart_engine(self, engine_id: str) -> None:
        """Restart a killed engine at the same address."""
        self.engines[engine_id].restart(f"{engine_id}#{next(self._life_numbers)}")

    def mark_leaving(self, machine_id: str) -> None:
        """Mark a machine as leaving on the platform's machine list."""
        machines = {
            listed.machine_id: listed for listed in self.machines.model.visible(self.loop.now())
        }
        machine = machines[machine_id].model_copy(update={"state": MachineState.LEAVING})
        self.machines.model.put(machine, self.loop.now())

    # Clients

    def request(
        self,
        node_id: str,
        method: str,
        path: str,
        *,
        tenant: str | None = None,
        document: Any = None,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        content_type: str = "application/json",
    ) -> VirtualAnswer:
        """Send an HTTP request to a node and wait for the complete response.

        Raises:
            ConnectionResetByNodeError: The node was killed before it answered.
        """
        node = self.nodes[node_id]
        if document is not None:
            body = json.dumps(document).encode("utf-8")
        key = KEY_PREFIX + (tenant or self.shape.tenants[0])
        sent_headers: dict[str, str] = {"Authorization": f"Bearer {key}", **(headers or {})}
        builder = EnvironBuilder(
            path=path.partition("?")[0],
            query_string=path.partition("?")[2],
            method=method,
            data=body,
            headers=list(sent_headers.items()),
            content_type=content_type,
        )
        result = AsyncResult()
        node.pending.append(result)
        if self.loop.is_killed(node.location.owner):
            raise ConnectionResetByNodeError(node_id)
        serve: Callable[..., Any] = self._serve
        self.loop.call_for(
            node.location.owner,
            LOCAL_DELAY,
            gevent.spawn,
            serve,
            node,
            builder.get_environ(),
            result,
        )
        try:
            answer = result.get()
        finally:
            node.pending.remove(result)
        assert isinstance(answer, VirtualAnswer)
        return answer

    def _serve(self, node: VirtualNode, environ: Any, result: AsyncResult) -> None:
        chunks, status, headers = run_wsgi_app(node.node.application, environ)
        answer = VirtualAnswer(int(status.split(" ")[0]), dict(headers), [], [])
        for chunk in chunks:
            if chunk:
                answer.chunks.append(chunk)
                answer.times.append(self.loop.now() + LOCAL_DELAY)
        self.loop.call_for(CLIENT_OWNER, LOCAL_DELAY, result.set, answer)

    def wall(self) -> float:
        """Return the virtual wall-clock time, in seconds since the Unix epoch."""
        return EPOCH + self.loop.now()
