"""Loads and unloads models at the engines that this node owns, as the placement plan requires.

An engine gets no new work before a change, and its work in progress ends before the order is
sent, so that no request is interrupted. Orders carry a fencing token.
"""

from __future__ import annotations

import gevent

from postvalve.core.placement.plan import EngineOrder, OrderAction, plan_orders
from postvalve.events import Event
from postvalve.exceptions import PlatformError
from postvalve.node.background import BackgroundTasks
from postvalve.node.configuration_service import ConfigurationService
from postvalve.node.context import NodeContext
from postvalve.node.engine_registry import EngineRegistry, OwnedEngine

PLAN_INTERVAL = 1.0
"""Seconds between two runs of the planner."""
IDLE_CHECK_INTERVAL = 0.1
"""Seconds between checks whether an engine is idle."""
CHANGE_TIMEOUT = 900.0
"""Seconds after which an engine that has not reported a change is planned for again."""


class PlacementService:
    """Applies the placement plan to the engines that this node owns."""

    def __init__(
        self, context: NodeContext, configuration: ConfigurationService, registry: EngineRegistry
    ) -> None:
        self._clock = context.clock
        self._events = context.events
        self._configuration = configuration
        self._registry = registry
        self._changing: set[str] = set()

    def start(self, tasks: BackgroundTasks) -> None:
        """Start the periodic planning."""
        tasks.every(PLAN_INTERVAL, self.plan)

    def plan(self) -> None:
        """Compute the plan, and start the changes of engines that this node owns."""
        if not self._configuration.ready or not self._configuration.current.placements:
            return
        orders: dict[str, list[EngineOrder]] = {}
        for order in plan_orders(self._configuration.current, self._registry.engine_views()):
            orders.setdefault(order.engine_id, []).append(order)
        for engine_id, engine_orders in orders.items():
            engine = self._registry.owned_engine(engine_id)
            if engine is not None and engine_id not in self._changing:
                self._changing.add(engine_id)
                gevent.spawn(self._change, engine, engine_orders)

    def _change(self, engine: OwnedEngine, orders: list[EngineOrder]) -> None:
        engine_id = engine.machine.machine_id
        # Revision numbers are log offsets and grow with every accepted revision, so engines reject
        # the orders of an owner with an older plan.
        fencing_token = self._configuration.revision + 1
        engine.changing = True
        try:
            self._wait_until_idle(engine)
            for order in orders:
                self._events.emit(
                    Event.ENGINE_ORDERED,
                    engine=engine_id,
                    action=order.action.value,
                    model=order.model,
                    version=order.version,
                )
                engine.connection.order(order.action, order.model, order.version, fencing_token)
            self._wait_until_applied(engine, orders)
        except PlatformError as error:
            self._events.emit(Event.ENGINE_ORDER_FAILED, engine=engine_id, error=error.message)
        finally:
            engine.changing = False
            self._changing.discard(engine_id)

    def _wait_until_idle(self, engine: OwnedEngine) -> None:
        while engine.slots.online_count + engine.slots.batch_count:
            gevent.sleep(IDLE_CHECK_INTERVAL)

    def _wait_until_applied(self, engine: OwnedEngine, orders: list[EngineOrder]) -> None:
        deadline = self._clock.monotonic() + CHANGE_TIMEOUT
        while self._clock.monotonic() < deadline:
            engine.load = engine.connection.load()
            if all(_is_applied(engine, order) for order in orders):
                return
            gevent.sleep(PLAN_INTERVAL)


def _is_applied(engine: OwnedEngine, order: EngineOrder) -> bool:
    loaded_version = engine.load.models.get(order.model)
    return (
        loaded_version == order.version
        if order.action is OrderAction.LOAD
        else loaded_version is None
    )
