"""Reads the load that engines report in response headers."""

from __future__ import annotations

from postvalve.clock import Clock
from postvalve.core.routing.engine_load import EngineLoadError
from postvalve.gateway.fleet.engine_paces import EnginePaces
from postvalve.gateway.fleet.placement import Placement
from postvalve.gateway.interfaces import Dialect, Headers, Judgement

POSSIBLY_OTHER_ENGINE = frozenset((Judgement.REPLACED, Judgement.FOREIGN))
"""Responses that may come from another engine than the one that was addressed."""


def read_load(
    dialect: Dialect,
    clock: Clock,
    paces: EnginePaces,
    placement: Placement,
    judgement: Judgement,
    headers: Headers,
) -> None:
    """Record the load in a response's headers; unreadable figures are logged once per engine."""
    if judgement in POSSIBLY_OTHER_ENGINE:
        return
    try:
        load = dialect.engine_load(headers, clock.monotonic())
    except EngineLoadError as exc:
        paces.record_bad_load(placement.engine.life, str(exc))
        return
    if load is not None:
        paces.record_load(placement, load)
