"""The emulated weight store: fetches share one rate, first come first served."""

from __future__ import annotations

import time

import gevent
from werkzeug.wrappers import Request, Response

from postvalve.emulator.service import EmulatorApplication, json_response

DEFAULT_WEIGHT_BYTES = 2_000_000_000
"""Size of a model's weights."""


class WeightStoreModel:
    """When fetches end, at a rate in bytes a second."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._busy_until = 0.0

    def schedule(self, size: int, now: float) -> float:
        """Queue a fetch; returns the time at which it ends."""
        self._busy_until = max(now, self._busy_until) + size / self._rate
        return self._busy_until


class WeightStoreServer:
    """Carries fetches to the model."""

    def __init__(self, rate: float, weight_bytes: int) -> None:
        self._model = WeightStoreModel(rate)
        self._weight_bytes = weight_bytes

    def application(self) -> EmulatorApplication:
        """The WSGI application."""
        return EmulatorApplication({"GET /weights/<model>/<version>": self._fetch})

    def _fetch(self, request: Request, model: str, version: str) -> Response:
        now = time.monotonic()
        gevent.sleep(self._model.schedule(self._weight_bytes, now) - now)
        return json_response({"model": model, "version": version, "bytes": self._weight_bytes})
