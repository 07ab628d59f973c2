"""HTTP server of an emulated machine list, whose changes become visible after a delay."""

from __future__ import annotations

import time
from dataclasses import dataclass

from werkzeug.wrappers import Request, Response

from postvalve.emulator.service import EmulatorApplication, json_response
from postvalve.services.machines import MACHINE_LIST, Machine


@dataclass(frozen=True, slots=True)
class _Change:
    visible_at: float
    machine_id: str
    machine: Machine | None


class MachineListModel:
    """A machine list whose changes become visible after `lag` seconds."""

    def __init__(self, lag: float) -> None:
        self._lag = lag
        self._visible: dict[str, Machine] = {}
        self._pending: list[_Change] = []

    def put(self, machine: Machine, now: float) -> None:
        """Add or change a machine."""
        self._pending.append(_Change(now + self._lag, machine.machine_id, machine))

    def remove(self, machine_id: str, now: float) -> None:
        """Remove a machine."""
        self._pending.append(_Change(now + self._lag, machine_id, None))

    def visible(self, now: float) -> list[Machine]:
        """Return the machines visible at `now`, in seconds of a monotonic clock."""
        while self._pending and self._pending[0].visible_at <= now:
            self._apply(self._pending.pop(0))
        return list(self._visible.values())

    def _apply(self, change: _Change) -> None:
        if change.machine is None:
            self._visible.pop(change.machine_id, None)
        else:
            self._visible[change.machine_id] = change.machine


class MachineListServer:
    """Serves the model over HTTP."""

    def __init__(self, lag: float) -> None:
        self._model = MachineListModel(lag)

    def application(self) -> EmulatorApplication:
        """Return the WSGI application."""
        return EmulatorApplication(
            {
                "GET /machines": self._list,
                "PUT /machines": self._put,
                "DELETE /machines/<machine_id>": self._remove,
            }
        )

    def _list(self, request: Request) -> Response:
        machines = self._model.visible(time.monotonic())
        return Response(MACHINE_LIST.dump_json(machines), content_type="application/json")

    def _put(self, request: Request) -> Response:
        for machine in MACHINE_LIST.validate_json(request.get_data()):
            self._model.put(machine, time.monotonic())
        return json_response({})

    def _remove(self, request: Request, machine_id: str) -> Response:
        self._model.remove(machine_id, time.monotonic())
        return json_response({})
