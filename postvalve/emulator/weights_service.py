"""HTTP server of an emulated weight store, whose fetches share one rate in order of arrival."""

from __future__ import annotations

import time

import gevent
from werkzeug.wrappers import Request, Response

from postvalve.emulator.service import EmulatorApplication, json_response

DEFAULT_WEIGHT_BYTES = 2_000_000_000
"""Default size of a model's weights, in bytes."""


class WeightStoreModel:
    """Computes when fetches end, at a shared rate in bytes per second."""

    def __init__(self, rate: float) -> None:
        self._rate = rate
        self._busy_until = 0.0

    def schedule(self, size: int, now: float) -> float:
        """Queue a fetch and return the time at which it ends."""
        self._busy_until = max(now, self._busy_until) + size / self._rate
        return self._busy_until


class WeightStoreServer:
    """Serves fetches over HTTP, each delayed by the model."""

    def __init__(self, rate: float, weight_bytes: int) -> None:
        self._model = WeightStoreModel(rate)
        self._weight_bytes = weight_bytes

    def application(self) -> EmulatorApplication:
        """Return the WSGI application."""
        return EmulatorApplication({"GET /weights/<model>/<version>": self._fetch})

    def _fetch(self, request: Request, model: str, version: str) -> Response:
        now = time.monotonic()
        gevent.sleep(self._model.schedule(self._weight_bytes, now) - now)
        return json_response({"model": model, "version": version, "bytes": self._weight_bytes})
