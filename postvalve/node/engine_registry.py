"""Engines known to this node: ownership, slots, and candidates for requests."""

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
"""Seconds between two updates of the ownership of engines."""
LOST_RELEASE_MARGIN = 60.0
"""Seconds beyond the request time-out after which a slot is freed, as its release must be lost."""
UNREACHABLE_THRESHOLD = 3
"""Consecutive failed load reads after which an engine gets no new work."""

PreemptionListener = Callable[[str, tuple[str, ...]], None]


@dataclass(slots=True)
class OwnedEngine:
    """An engine owned by this node, which decides on the admission of work to it."""

    machine: Machine
    connection: Engine
    slots: EngineSlots
    load: EngineLoad
    failed_reads: int = 0
    disowned: bool = False
    """Whether another node is the owner now; the entry stays while work is in progress."""
    changing: bool = False
    """Whether models are being loaded or unloaded; the engine gets no new work meanwhile."""

    @property
    def usable(self) -> bool:
        """Whether the engine can get new work."""
        live = self.machine.state is MachineState.LIVE
        steady = not self.disowned and not self.changing
        return live and steady and self.failed_reads < UNREACHABLE_THRESHOLD


class EngineRegistry:
    """Tracks the engines of the fleet, and admits work to those that this node owns."""

    def __init__(
        self,
        context: NodeContext,
        membership: MembershipService,
        configuration: ConfigurationService,
    ) -> None:
        self._settings = context.settings
        self._clock = context.clock
        self._events = context.events
        self._connect_engine = context.connect_engine
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
        """Start the periodic updates of ownership and load."""
        tasks.every(OWNERSHIP_INTERVAL, self.refresh)
        tasks.every(self._settings.timing.load_report_interval, self._read_loads)

    def add_preemption_listener(self, listener: PreemptionListener) -> None:
        """Register a callback that gets an engine id and the batch attempts preempted there."""
        self._preemption_listeners.append(listener)

    def refresh(self) -> None:
        """Update engines and ownership from the machine list and the live nodes."""
        self._machines = {machine.machine_id: machine for machine in self._membership.engines()}
        if not self._configuration.ready:
            return
        self._mark_draining()
        self._update_candidates()
        for engine_id, machine in self._machines.items():
            owned = self._owner_of(machine) == self._settings.node_id
            self._set_owned(machine, owned)
            if engine_id in self._owned:
                self._owned[engine_id].machine = machine
        for engine_id in [key for key in self._owned if key not in self._machines]:
            self._disown(engine_id)

    def _mark_draining(self) -> None:
        for drain in self._configuration.current.drains:
            selector = compiled_selector(drain.machines)
            for engine_id, machine in self._machines.items():
                if selector.matches(engine_labels(machine)):
                    leaving = machine.model_copy(update={"state": MachineState.LEAVING})
                    self._machines[engine_id] = leaving

    def _update_candidates(self) -> None:
        """Update the candidate owners of each zone.

        Cached owners are discarded only for engines in zones whose candidates changed.
        """
        alive: dict[str, list[str]] = defaultdict(list)
        for member in self._membership.view.alive():
            alive[member.zone].append(member.node_id)
        all_nodes = [node_id for nodes in alive.values() for node_id in nodes]
        # Engines of a zone without live nodes are owned by nodes of the other zones.
        candidates = {
            machine.zone: alive.get(machine.zone, all_nodes) for machine in self._machines.values()
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
        existing = self._owned.get(machine.machine_id)
        if owned and existing is not None and existing.disowned:
            existing.disowned = False
        elif owned and existing is None and machine.machine_id not in self._connecting:
            # The first read of the load blocks, which `refresh` must not.
            self._connecting.add(machine.machine_id)
            gevent.spawn(self._own, machine)
        elif not owned and existing is not None and not existing.disowned:
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
        # The entry stays until the work in progress has ended, since its slots are counted here.
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
        max_age = self._settings.http.request_timeout + LOST_RELEASE_MARGIN
        for engine in list(self._owned.values()):
            engine.slots.release_older(now - max_age, now)
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
        """Return the client of an engine, a new one if the address has changed."""
        existing = self._connections.get(machine.machine_id)
        if existing is None or existing.address != machine.address:
            existing = self._connections[machine.machine_id] = self._connect_engine(machine.address)
        return existing

    def machine(self, engine_id: str) -> Machine | None:
        """Return the entry of an engine in the machine list, if there is one."""
        return self._machines.get(engine_id)

    def usable_engines(self) -> list[OwnedEngine]:
        """Return the engines that this node owns and that can get new work."""
        return [engine for engine in self._owned.values() if engine.usable]

    def owned_engine(self, engine_id: str) -> OwnedEngine | None:
        """Return an engine if this node owns it, whether usable or not."""
        engine = self._owned.get(engine_id)
        return engine if engine is not None and not engine.disowned else None

    def engine_views(self) -> list[EngineView]:
        """Return the live engines of the fleet and their loaded models.

        The models come from the summaries that the owners send in heartbeats.
        """
        views: dict[str, EngineView] = {}
        for member in self._membership.view.members():
            for summary in self._engine_summaries(member.node_id, member.summary):
                machine = self._machines.get(summary.engine_id)
                if machine is not None and machine.state is MachineState.LIVE:
                    loaded = dict(parse_loaded_model(text) for text in summary.models)
                    views[summary.engine_id] = EngineView(
                        summary.engine_id, engine_labels(machine), loaded, summary.slots > 0
                    )
        return list(views.values())

    def summaries(self) -> list[peer.EngineSummary]:
        """Return the summaries of owned engines that heartbeats carry."""
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
        """Return the pools that match an engine, by precedence; the first one applies."""
        return matching_pools(self._configuration.current, engine_labels(machine))

    def candidates(
        self, tenant: TenantSpec, model: str, excluded: Iterable[str]
    ) -> list[EngineCandidate]:
        """Return the engines that can run a request, according to their owners' summaries.

        For a while after a change of owner, both the former and the new owner report an engine.
        This node's own entries replace those of other nodes, as it knows what it owns.
        """
        excluded_ids = set(excluded)
        candidates: dict[str, EngineCandidate] = {}
        own_id = self._settings.node_id
        for member in sorted(
            self._membership.view.alive(), key=lambda member: member.node_id == own_id
        ):
            for summary in self._engine_summaries(member.node_id, member.summary):
                machine = self._machines.get(summary.engine_id)
                if machine is None or summary.engine_id in excluded_ids:
                    continue
                loaded = {parse_loaded_model(text)[0] for text in summary.models}
                if not summary.slots or model not in loaded:
                    continue
                if self._can_serve(machine, tenant, model):
                    candidates[summary.engine_id] = EngineCandidate(
                        summary.engine_id,
                        member.node_id,
                        machine.zone,
                        summary.in_flight_online,
                        summary.slots,
                    )
        return list(candidates.values())

    def _engine_summaries(
        self, node_id: str, summary: peer.NodeSummary
    ) -> list[peer.EngineSummary]:
        # Own summaries are computed now, others are as old as the last heartbeat.
        return self.summaries() if node_id == self._settings.node_id else summary.engines

    def _can_serve(self, machine: Machine, tenant: TenantSpec, model: str) -> bool:
        if machine.state is not MachineState.LIVE:
            return False
        pools = self.pools_of(machine)
        return bool(pools) and pool_serves(pools[0], tenant, model)

    def admit_online(self, request: peer.AdmissionRequest) -> peer.AdmissionReply:
        """Decide, as the owner of the engine, whether an online attempt may start.

        Batch attempts that are preempted for it are passed to the preemption listeners.
        """
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
        """Free the slot of an attempt at an engine that this node owns."""
        engine = self._owned.get(engine_id)
        if engine is None:
            return
        engine.slots.release(attempt_id, self._clock.monotonic())
        if engine.disowned and engine.slots.online_count + engine.slots.batch_count == 0:
            del self._owned[engine_id]


def _loaded_models(load: EngineLoad) -> list[str]:
    return [f"{name}={version}" for name, version in sorted(load.models.items())]


def parse_loaded_model(text: str) -> tuple[str, str]:
    """Split NAME=VERSION, the form of a loaded model in summaries, into model and version."""
    name, _, version = text.rpartition("=")
    return name, version


def engine_labels(machine: Machine) -> dict[str, str]:
    """Return the labels of an engine, with its zone as `zone` and its kind as `kind`."""
    return {**machine.labels, "zone": machine.zone, "kind": machine.kind.value}
