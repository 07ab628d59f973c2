"""Plans which engines load and unload models now.

The plan is a pure function of the configuration and of the models on each engine, so every engine
owner computes the same plan and carries out the part for its own engines. Engines whose models
differ from the desired ones are changed in the order of their ids, at most `max_unavailable` per
rule at once, and never the last engine that serves a model.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from postvalve.core.configuration.resolution import compiled_selector
from postvalve.settings.fleet import FleetConfiguration, PlacementSpec


class OrderAction(enum.StrEnum):
    """Order given to an engine."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True)
class EngineView:
    """State of one live engine, as reported by its owner."""

    engine_id: str
    labels: Mapping[str, str]
    models: Mapping[str, str]
    """Version by model name."""
    serving: bool = True
    """Whether the engine accepts work; it does not while it loads or unloads models."""


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """One load or unload order for an engine."""

    engine_id: str
    action: OrderAction
    model: str
    version: str


def placement_of(
    configuration: FleetConfiguration, labels: Mapping[str, str]
) -> PlacementSpec | None:
    """Return the placement rule of an engine: the highest precedence wins, then the first in the
    document."""
    matching = [
        rule for rule in configuration.placements if compiled_selector(rule.engines).matches(labels)
    ]
    return max(matching, key=lambda rule: rule.precedence, default=None)


def desired_models(configuration: FleetConfiguration, rule: PlacementSpec) -> dict[str, str]:
    """Return the models and adapters that an engine under the rule should hold, with their
    versions."""
    desired: dict[str, str] = {}
    for name in rule.models:
        model = configuration.model_by_name[name]
        desired[name] = model.version
        for adapter in model.adapters:
            desired[f"{name}:{adapter}"] = model.version
    return desired


def plan_orders(
    configuration: FleetConfiguration, engines: Sequence[EngineView]
) -> list[EngineOrder]:
    """Return the orders that may be carried out now."""
    orders: list[EngineOrder] = []
    serving = [engine for engine in engines if engine.serving]
    for rule in configuration.placements:
        desired = desired_models(configuration, rule)
        changing = [
            engine
            for engine in engines
            if placement_of(configuration, engine.labels) is rule and dict(engine.models) != desired
        ]
        for engine in _select_engines(changing, desired, serving, rule.max_unavailable):
            orders += _orders_for(engine, desired)
    return orders


def _select_engines(
    changing: Sequence[EngineView],
    desired: Mapping[str, str],
    serving: list[EngineView],
    max_unavailable: int,
) -> list[EngineView]:
    """Return the engines to change now, and remove them from `serving`."""
    chosen: list[EngineView] = []
    # Engines that are already changing, or that hold no models, come first: they cost no capacity.
    for engine in sorted(
        changing, key=lambda other: (other.serving, bool(other.models), other.engine_id)
    ):
        if len(chosen) == max_unavailable:
            break
        others = [other for other in serving if other.engine_id != engine.engine_id]
        if engine.serving and _is_last_holder(engine, desired, others):
            continue
        chosen.append(engine)
        serving[:] = others
    return chosen


def _is_last_holder(
    engine: EngineView, desired: Mapping[str, str], others: Sequence[EngineView]
) -> bool:
    changed = {model for model, version in engine.models.items() if desired.get(model) != version}
    return any(not any(model in other.models for other in others) for model in changed)


def _orders_for(engine: EngineView, desired: Mapping[str, str]) -> list[EngineOrder]:
    orders = [
        EngineOrder(engine.engine_id, OrderAction.UNLOAD, model, version)
        for model, version in engine.models.items()
        if model not in desired
    ]
    orders += [
        EngineOrder(engine.engine_id, OrderAction.LOAD, model, version)
        for model, version in desired.items()
        if engine.models.get(model) != version
    ]
    return orders
