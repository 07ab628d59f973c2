"""Engines as this node sees them: which it owns, their slots, and candidates for requests."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import gevent

from postvalve.clock import milliseconds
from postvalve.core.admission.engine_slots import EngineSlots, SlotPolicy
from postvalve.core.configuration.resolution import (
    compiled_selector,
    matching_pools,
    pool_serves,
)
from postvalve.core.membership.ownership import preferred_owner
from postvalve.core.membership.view import StateChanged
from postvalve.core.placement.plan import EngineView
from postvalve.core.routing.router import EngineCandidate
from postvalve.events import Event
from postvalve.exceptions import PlatformError
from postvalve.messages.generated import peer
from postvalve.node.background import BackgroundTasks
from postvalve.node.configuration_service import ConfigurationService
from postvalve.node.context import NodeContext
from postvalve.node.membership_service import MembershipService
from postvalve.services.engine import Engine, EngineLoad
from postvalve.services.machines import Machine
from postvalve.settings.fleet import PoolSpec, TenantSpec
from postvalve.states import MachineState, NodeState

OWNERSHIP_INTERVAL = 0.5
"""Seconds between looks at who owns which engine."""
LOST_RELEASE_MARGIN = 60.0
"""Seconds beyond the longest request after which a slot's release counts as lost."""
UNREACHABLE_THRESHOLD = 3
"""Load reads that fail in a row until an engine gets no new work."""

PreemptionListener = Callable[[str, tuple[str, ...]], None]


@dataclass(slots=True)
class OwnedEngine:
    """An engine that this node admits work to."""

    machine: Machine
    connection: Engine
    slots: EngineSlots
    load: EngineLoad
    failed_reads: int = 0
    disowned: bool = False
    changing: bool = False
    """Whether it is about to load or unload models."""

    @property
    def usable(self) -> bool:
        """Whether it takes new work."""
        live = self.machine.state is MachineState.LIVE
        steady = not self.disowned and not self.changing
        return live and steady and self.failed_reads < UNREACHABLE_THRESHOLD


class EngineRegistry:
    """Engines by id."""

    def __init__(
        self,
        context: NodeContext,
        membership: MembershipService,
        configuration: ConfigurationService,
    ) -> None:
        self._settings = context.settings
        self._clock = context.clock
        self._events = context.events
        self._connect = context.connect_engine
        self._membership = membership
        self._configuration = configuration
        self._connections: dict[str, Engine] = {}
        self._owned: dict[str, OwnedEngine] = {}
        self._machines: dict[str, Machine] = {}
        self._connecting: set[str] = set()
        self._candidates: dict[str, list[str]] = {}
        self._owners: dict[str, str | None] = {}
        self._preemption_listeners: list[PreemptionListener] = []
        membership.add_listener(self._node_changed)

    def start(self, tasks: BackgroundTasks) -> None:
        """Start to follow ownership and load."""
        tasks.every(OWNERSHIP_INTERVAL, self.refresh)
        tasks.every(self._settings.timing.load_report_interval, self._read_loads)

    def add_preemption_listener(self, listener: PreemptionListener) -> None:
        """Be told of batch attempts that lost their slot at an engine."""
        self._preemption_listeners.append(listener)

    def refresh(self) -> None:
        """Follow the machine list and the live nodes."""
        self._machines = {one.machine_id: one for one in self._membership.engines()}
        if not self._configuration.ready:
            return
        self._mark_drained()
        self._rank_owners()
        for engine_id, machine in self._machines.items():
            owned = self._owner_of(machine) == self._settings.node_id
            self._set_owned(machine, owned)
            if engine_id in self._owned:
                self._owned[engine_id].machine = machine
        for engine_id in [one for one in self._owned if one not in self._machines]:
            self._disown(engine_id)

    def _mark_drained(self) -> None:
        for drain in self._configuration.current.drains:
            selector = compiled_selector(drain.machines)
            for engine_id, machine in self._machines.items():
                if selector.matches(engine_labels(machine)):
                    leaving = machine.model_copy(update={"state": MachineState.LEAVING})
                    self._machines[engine_id] = leaving

    def _rank_owners(self) -> None:
        """Forget owners when the live nodes of a zone change; others stay as they are."""
        alive: dict[str, list[str]] = defaultdict(list)
        for member in self._membership.view.alive():
            alive[member.zone].append(member.node_id)
        everywhere = [node_id for nodes in alive.values() for node_id in nodes]
        # A zone without nodes is served by those of the others.
        candidates = {
            machine.zone: alive.get(machine.zone, everywhere) for machine in self._machines.values()
        }
        for engine_id, machine in self._machines.items():
            if self._candidates.get(machine.zone) != candidates[machine.zone]:
                self._owners.pop(engine_id, None)
        self._candidates = candidates

    def _owner_of(self, machine: Machine) -> str | None:
        nodes = self._candidates.get(machine.zone, [])
        if self._settings.node_id not in nodes:
            return None
        if machine.machine_id not in self._owners:
            self._owners[machine.machine_id] = preferred_owner(machine.machine_id, nodes)
        return self._owners[machine.machine_id]

    def _set_owned(self, machine: Machine, owned: bool) -> None:
        known = self._owned.get(machine.machine_id)
        if owned and known is not None and known.disowned:
            known.disowned = False
        elif owned and known is None and machine.machine_id not in self._connecting:
            # Listeners must not block, and the first load read does.
            self._connecting.add(machine.machine_id)
            gevent.spawn(self._own, machine)
        elif not owned and known is not None and not known.disowned:
            self._disown(machine.machine_id)

    def _own(self, machine: Machine) -> None:
        connection = self.connection(machine)
        try:
            load = connection.load()
        except PlatformError as error:
            self._events.emit(
                Event.ENGINE_UNREACHABLE, engine=machine.machine_id, error=error.message
            )
            return
        finally:
            self._connecting.discard(machine.machine_id)
        if self._owner_of(machine) != self._settings.node_id:
            return
        slots = EngineSlots(load.slots, self._slot_policy(machine))
        self._owned[machine.machine_id] = OwnedEngine(machine, connection, slots, load)
        self._events.emit(Event.ENGINE_OWNED, engine=machine.machine_id)

    def _disown(self, engine_id: str) -> None:
        engine = self._owned[engine_id]
        engine.disowned = True
        # Work in progress still counts here until it ends.
        if engine.slots.online_count + engine.slots.batch_count == 0:
            del self._owned[engine_id]
        self._events.emit(Event.ENGINE_DISOWNED, engine=engine_id)

    def _slot_policy(self, machine: Machine) -> SlotPolicy:
        pools = self.pools_of(machine)
        if not pools:
            return SlotPolicy()
        pool = pools[0]
        return SlotPolicy(
            pool.online_headroom_slots, pool.batch_slots_beside_online, pool.online_queue_slots
        )

    def _read_loads(self) -> None:
        now = self._clock.monotonic()
        longest = self._settings.http.request_timeout + LOST_RELEASE_MARGIN
        for engine in list(self._owned.values()):
            engine.slots.release_older(now - longest, now)
            try:
                engine.load = engine.connection.load()
                engine.failed_reads = 0
                engine.slots.slots = engine.load.slots
                engine.slots.policy = self._slot_policy(engine.machine)
            except PlatformError as error:
                engine.failed_reads += 1
                self._events.emit(
                    Event.ENGINE_UNREACHABLE,
                    engine=engine.machine.machine_id,
                    error=error.message,
                )

    def _node_changed(self, change: StateChanged) -> None:
        if change.state is NodeState.DEAD:
            now = self._clock.monotonic()
            for engine in self._owned.values():
                engine.slots.release_gateway(change.node_id, now)

    def connection(self, machine: Machine) -> Engine:
        """Connections to an engine."""
        known = self._connections.get(machine.machine_id)
        if known is None or known.address != machine.address:
            known = self._connections[machine.machine_id] = self._connect(machine.address)
        return known

    def machine(self, engine_id: str) -> Machine | None:
        """An engine of the machine list."""
        return self._machines.get(engine_id)

    def usable_engines(self) -> list[OwnedEngine]:
        """Engines that this node owns and that take new work."""
        return [engine for engine in self._owned.values() if engine.usable]

    def owned_engine(self, engine_id: str) -> OwnedEngine | None:
        """An engine that this node owns, usable or not."""
        engine = self._owned.get(engine_id)
        return engine if engine is not None and not engine.disowned else None

    def engine_views(self) -> list[EngineView]:
        """Live engines of the fleet and what they hold, by their owners' summaries."""
        views: dict[str, EngineView] = {}
        for member in self._membership.view.members():
            for summary in self._engine_summaries(member.node_id, member.summary):
                machine = self._machines.get(summary.engine_id)
                if machine is not None and machine.state is MachineState.LIVE:
                    held = dict(parse_loaded_model(text) for text in summary.models)
                    views[summary.engine_id] = EngineView(
                        summary.engine_id, engine_labels(machine), held, summary.slots > 0
                    )
        return list(views.values())

    def summaries(self) -> list[peer.EngineSummary]:
        """What heartbeats tell of the owned engines."""
        return [
            peer.EngineSummary(
                engine_id=engine.machine.machine_id,
                in_flight_online=engine.slots.online_count,
                in_flight_batch=engine.slots.batch_count,
                slots=engine.slots.slots if engine.usable else 0,
                models=[
                    f"{name}={version}" for name, version in sorted(engine.load.models.items())
                ],
            )
            for engine in self._owned.values()
            if not engine.disowned
        ]

    def pools_of(self, machine: Machine) -> list[PoolSpec]:
        """Pools that cover an engine, the winner first."""
        return matching_pools(self._configuration.current, engine_labels(machine))

    def candidates(
        self, tenant: TenantSpec, model: str, excluded: Iterable[str]
    ) -> list[EngineCandidate]:
        """Engines that may run a request, by the summaries of their owners.

        For a while after an owner has changed, both the former and the new one tell of an engine;
        this node knows for sure what it owns itself.
        """
        skipped = set(excluded)
        found: dict[str, EngineCandidate] = {}
        own_id = self._settings.node_id
        for member in sorted(self._membership.view.alive(), key=lambda one: one.node_id == own_id):
            for summary in self._engine_summaries(member.node_id, member.summary):
                machine = self._machines.get(summary.engine_id)
                if machine is None or summary.engine_id in skipped:
                    continue
                held = {parse_loaded_model(text)[0] for text in summary.models}
                if not summary.slots or model not in held:
                    continue
                if self._may_serve(machine, tenant, model):
                    found[summary.engine_id] = EngineCandidate(
                        summary.engine_id,
                        member.node_id,
                        machine.zone,
                        summary.in_flight_online,
                        summary.slots,
                    )
        return list(found.values())

    def _engine_summaries(
        self, node_id: str, summary: peer.NodeSummary
    ) -> list[peer.EngineSummary]:
        # This node's own counts are exact; those of others are as old as a heartbeat.
        return self.summaries() if node_id == self._settings.node_id else summary.engines

    def _may_serve(self, machine: Machine, tenant: TenantSpec, model: str) -> bool:
        if machine.state is not MachineState.LIVE:
            return False
        pools = self.pools_of(machine)
        return bool(pools) and pool_serves(pools[0], tenant, model)

    def admit_online(self, request: peer.AdmissionRequest) -> peer.AdmissionReply:
        """Decide, as the owner, whether an online attempt may start."""
        engine = self._owned.get(request.engine_id)
        if engine is None or not engine.usable:
            return peer.AdmissionReply(outcome=peer.AdmissionOutcome.ADMISSION_OUTCOME_NOT_OWNER)
        now = self._clock.monotonic()
        decision = engine.slots.admit_online(request.attempt_id, request.gateway_id, now)
        if not decision.granted:
            return peer.AdmissionReply(
                outcome=peer.AdmissionOutcome.ADMISSION_OUTCOME_OVERLOADED,
                retry_after_ms=milliseconds(decision.retry_after),
            )
        if decision.preempted:
            for listener in self._preemption_listeners:
                listener(request.engine_id, decision.preempted)
        return peer.AdmissionReply(outcome=peer.AdmissionOutcome.ADMISSION_OUTCOME_GRANTED)

    def release(self, engine_id: str, attempt_id: str) -> None:
        """Free the slot of an attempt."""
        engine = self._owned.get(engine_id)
        if engine is None:
            return
        engine.slots.release(attempt_id, self._clock.monotonic())
        if engine.disowned and engine.slots.online_count + engine.slots.batch_count == 0:
            del self._owned[engine_id]


def _loaded_models(load: EngineLoad) -> list[str]:
    return [f"{name}={version}" for name, version in sorted(load.models.items())]


def parse_loaded_model(text: str) -> tuple[str, str]:
    """Model and version of NAME=VERSION, as summaries carry them."""
    name, _, version = text.rpartition("=")
    return name, version


def engine_labels(machine: Machine) -> dict[str, str]:
    """Labels of an engine, with its zone as `zone` and its kind as `kind`."""
    return {**machine.labels, "zone": machine.zone, "kind": machine.kind.value}
