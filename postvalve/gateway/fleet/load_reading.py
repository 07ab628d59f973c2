"""Hands on what an engine tells of its load with each answer."""

from __future__ import annotations

from postvalve.clock import Clock
from postvalve.core.routing.engine_load import EngineLoadError
from postvalve.gateway.fleet.engine_paces import EnginePaces
from postvalve.gateway.fleet.placement import Placement
from postvalve.gateway.interfaces import Dialect, Headers, Judgement

OF_OTHERS = frozenset((Judgement.REPLACED, Judgement.FOREIGN))
"""Answers that may come from another engine than the one that was asked."""


def read_load(
    dialect: Dialect,
    clock: Clock,
    paces: EnginePaces,
    placement: Placement,
    judgement: Judgement,
    headers: Headers,
) -> None:
    """Read an answer's head; what can't be read is left out, and its engine named once."""
    if judgement in OF_OTHERS:
        return
    try:
        load = dialect.engine_load(headers, clock.monotonic())
    except EngineLoadError as exc:
        paces.record_bad_load(placement.engine.life, str(exc))
        return
    if load is not None:
        paces.record_load(placement, load)
