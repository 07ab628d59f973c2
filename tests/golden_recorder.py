"""Records a session as text, in time order: requests, log records, engine attempts, node events."""

import difflib
import json
import os
from pathlib import Path

import betterproto

from postvalve.events import Event
from postvalve.messages.generated import records
from postvalve.messages.records_codec import parse_record

DIRECTORY = Path(__file__).resolve().parent.parent / "golden"
UPDATE_VARIABLE = "UPDATE_GOLDEN"
LEASES = (records.LeaseClaimed, records.LeaseRenewed, records.LeaseReleased)
SHOWN_EVENTS = {
    Event.DRAIN_STARTED,
    Event.DRAIN_FINISHED,
    Event.ATTEMPT_FAILED,
    Event.STREAM_RESUMED,
    Event.CONFIGURATION_IN_FORCE,
    Event.CONFIGURATION_CONFLICT,
    Event.NODE_STATE_CHANGED,
    Event.SHARD_LOST,
    Event.JOB_LOADED,
    Event.JOB_ENDED,
    Event.ITEM_PREEMPTED,
    Event.ITEM_RECOVERED,
    Event.ITEM_MAY_HAVE_RUN,
    Event.LOG_UNAVAILABLE,
}


class Recorder:
    """Records what happens in a virtual fleet from now on."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._lines = []
        self._started_at = fleet.loop.now()
        self._first_event = len(fleet.events)
        self._append = fleet.log.model.append
        fleet.log.model.append = self._record_append

    def add_line(self, actor, text):
        """Record one line at the current time."""
        self._lines.append((self._fleet.loop.now(), f"{actor:<10} {text}"))

    def request(self, node_id, method, path, **options):
        """Send a request as a caller, and record it and its response."""
        self.add_line("caller", f"-> {node_id} {method} {path}")
        answer = self._fleet.request(node_id, method, path, **options)
        self.add_line("caller", f"<- {node_id} {answer.status} {_answer_text(answer)}")
        return answer

    def _record_append(self, stream, payload, zone=""):
        body = parse_record(payload).body
        if not isinstance(body, LEASES):
            self.add_line("log", f"{stream}: {_body_text(body)}")
        return self._append(stream, payload, zone)

    def text(self):
        """Return the recorded session so far."""
        lines = list(self._lines)
        for logged in self._fleet.events[self._first_event :]:
            if logged.event in SHOWN_EVENTS:
                fields = " ".join(f"{name}={value}" for name, value in logged.fields.items())
                lines.append((logged.at, f"{logged.node_id:<10} {logged.event.name} {fields}"))
        for engine_id, engine in self._fleet.engines.items():
            for attempt in engine.attempts:
                lines += _attempt_lines(engine_id, attempt, self._started_at)
        lines.sort(key=lambda line: line[0])
        return "".join(f"{at - self._started_at:9.4f} {text}\n" for at, text in lines)


def _attempt_lines(engine_id, attempt, since):
    if attempt.submitted_at < since:
        return []
    content = json.loads(attempt.body)["messages"][-1]["content"]
    begin_line = (
        f"{engine_id:<10} begins {attempt.attempt_id} {content!r} at {attempt.resume_offset}"
    )
    end_verb = "ends" if attempt.finished else "stops"
    end_line = f"{engine_id:<10} {end_verb} {attempt.attempt_id} after {attempt.tokens} tokens"
    return [
        (attempt.submitted_at, begin_line),
        (attempt.last_event_at or attempt.submitted_at, end_line),
    ]


def _answer_text(answer):
    if answer.body.startswith(b"data: "):
        events = answer.body.split(b"\n\n")
        last_event = events[-2].decode()
        return f"{len(events) - 1} events, the last {last_event}"
    document = answer.document
    for name in ("error", "request_counts"):
        if name in document:
            shown = {"status": document.get("status"), name: document[name]}
            return json.dumps(shown if name == "request_counts" else document[name])
    return document.get("object", "")


def _body_text(body):
    fields = body.to_dict(betterproto.Casing.SNAKE)
    if isinstance(body, records.ItemsFinished):
        items = [
            f"{result.item_index}:{'may have run' if result.may_have_run else result.status_code}"
            for result in body.results
        ]
        return f"ItemsFinished {' '.join(items)}"
    fields = {
        name: value
        for name, value in fields.items()
        if name not in ("content", "document", "metadata_json", "request_digest", "sha256")
    }
    return f"{type(body).__name__} {json.dumps(fields)}"


def check_golden(case, name, text):
    """Compare a session with its golden file; with UPDATE_GOLDEN set, write the file first."""
    path = DIRECTORY / f"{name}.txt"
    if os.environ.get(UPDATE_VARIABLE):
        DIRECTORY.mkdir(exist_ok=True)
        path.write_text(text, encoding="utf-8")
    expected = path.read_text(encoding="utf-8").splitlines()
    diff = list(difflib.unified_diff(expected, text.splitlines(), str(path.name), "now", n=2))
    case.assertEqual(diff, [], "\n".join(diff[:60]) + "\n`make golden` regenerates the files")
