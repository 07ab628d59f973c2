"""Which engine changes what it holds, now.

A pure function of the configuration and of what the engines hold, so every owner comes to
the same plan and each carries out its own engines' part. Engines that do not hold what
they should change in the order of their ids, at most `max_unavailable` of a rule at once,
and never the last one that serves a model.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from postvalve.core.configuration.resolution import compiled_selector
from postvalve.settings.fleet import FleetConfiguration, PlacementSpec


class OrderAction(enum.StrEnum):
    """What an engine is told to do."""

    LOAD = "load"
    UNLOAD = "unload"


@dataclass(frozen=True, slots=True)
class EngineView:
    """One live engine, as its owner reports it."""

    engine_id: str
    labels: Mapping[str, str]
    models: Mapping[str, str]
    """Model to version."""
    serving: bool = True
    """Whether it takes work; one that is changing does not."""


@dataclass(frozen=True, slots=True)
class EngineOrder:
    """One step of the plan."""

    engine_id: str
    action: OrderAction
    model: str
    version: str


def placement_of(
    configuration: FleetConfiguration, labels: Mapping[str, str]
) -> PlacementSpec | None:
    """The rule that covers an engine; the highest precedence, then the first, wins."""
    covering = [
        rule for rule in configuration.placements if compiled_selector(rule.engines).matches(labels)
    ]
    return max(covering, key=lambda rule: rule.precedence, default=None)


def desired_models(configuration: FleetConfiguration, rule: PlacementSpec) -> dict[str, str]:
    """Models and adapters that an engine under the rule holds, with versions."""
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
    """The orders that may be carried out now."""
    orders: list[EngineOrder] = []
    serving = [engine for engine in engines if engine.serving]
    for rule in configuration.placements:
        desired = desired_models(configuration, rule)
        changing = [
            engine
            for engine in engines
            if placement_of(configuration, engine.labels) is rule and dict(engine.models) != desired
        ]
        for engine in _choose(changing, desired, serving, rule.max_unavailable):
            orders += _orders_for(engine, desired)
    return orders


def _choose(
    changing: Sequence[EngineView],
    desired: Mapping[str, str],
    serving: list[EngineView],
    max_unavailable: int,
) -> list[EngineView]:
    """Engines that change now; takes them out of `serving`."""
    chosen: list[EngineView] = []
    # Those that change already, or serve nothing, come first: they cost no capacity.
    for engine in sorted(changing, key=lambda one: (one.serving, bool(one.models), one.engine_id)):
        if len(chosen) == max_unavailable:
            break
        others = [one for one in serving if one.engine_id != engine.engine_id]
        if engine.serving and _is_last(engine, desired, others):
            continue
        chosen.append(engine)
        serving[:] = others
    return chosen


def _is_last(engine: EngineView, desired: Mapping[str, str], others: Sequence[EngineView]) -> bool:
    changed = {model for model, version in engine.models.items() if desired.get(model) != version}
    return any(not any(model in one.models for one in others) for model in changed)


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
