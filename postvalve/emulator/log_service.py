"""HTTP server of an emulated log, around `LogModel`, with injected faults."""

from __future__ import annotations

import base64

import gevent
from gevent.event import Event
from werkzeug.wrappers import Request, Response

from postvalve.emulator.log_model import LogFault, LogModel
from postvalve.emulator.service import EmulatorApplication, json_response
from postvalve.exceptions import LogUnavailableError, Verdict
from postvalve.services.log import DEFAULT_READ_BYTES, MAX_RECORD_BYTES, ZONE_HEADER


class LogServer:
    """Serves the model over HTTP, and wakes long polls when records are appended."""

    def __init__(self) -> None:
        self._model = LogModel()
        self._appended: dict[str, Event] = {}

    def application(self) -> EmulatorApplication:
        """Return the WSGI application."""
        return EmulatorApplication(
            {
                "POST /streams/<stream>/records": self._append,
                "GET /streams/<stream>/records": self._read,
                "PUT /faults": self._set_faults,
            }
        )

    def _append(self, request: Request, stream: str) -> Response:
        self._delay()
        request.max_content_length = MAX_RECORD_BYTES
        zone = request.headers.get(ZONE_HEADER, "")
        try:
            offset = self._model.append(stream, request.get_data(), zone)
        except LogUnavailableError as error:
            self._wake(stream)
            return self._unavailable(error)
        self._wake(stream)
        return json_response({"offset": offset})

    def _wake(self, stream: str) -> None:
        event = self._appended.pop(stream, None)
        if event is not None:
            event.set()

    def _read(self, request: Request, stream: str) -> Response:
        self._delay()
        offset = request.args.get("offset", 0, int)
        limit = request.args.get("limit", DEFAULT_READ_BYTES, int)
        wait = request.args.get("wait", 0.0, float)
        zone = request.headers.get(ZONE_HEADER, "")
        try:
            if wait > 0 and self._model.length(stream) <= offset:
                self._appended.setdefault(stream, Event()).wait(wait)
            part = self._model.read(stream, offset, limit=limit, zone=zone)
        except LogUnavailableError as error:
            return self._unavailable(error)
        records = [base64.b64encode(entry.payload).decode("ascii") for entry in part.entries]
        return json_response({"records": records, "end": part.end_offset})

    def _unavailable(self, error: LogUnavailableError) -> Response:
        status = 503 if error.verdict is Verdict.NOT_RUN else 504
        return json_response({"error": error.message}, status)

    def _delay(self) -> None:
        if self._model.faults.fault is LogFault.SLOW:
            gevent.sleep(self._model.faults.delay)

    def _set_faults(self, request: Request) -> Response:
        document = request.get_json()
        faults = self._model.faults
        faults.fault = LogFault(document.get("fault", LogFault.NONE))
        faults.delay = float(document.get("delay", 0.0))
        faults.cut_zones = set(document.get("cut_zones", ()))
        return json_response({"fault": faults.fault})
