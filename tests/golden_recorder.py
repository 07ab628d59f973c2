"""Records a whole session as text: callers, log, engines and node events, in time order."""

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
    """Notes what happens to a virtual fleet from now on."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._lines = []
        self._started = fleet.loop.now()
        self._first_event = len(fleet.events)
        self._append = fleet.log.model.append
        fleet.log.model.append = self._record_append

    def note(self, actor, text):
        """Note one line at the present time."""
        self._lines.append((self._fleet.loop.now(), f"{actor:<10} {text}"))

    def request(self, node_id, method, path, **options):
        """Send a request as a caller, and note it and its answer."""
        self.note("caller", f"-> {node_id} {method} {path}")
        answer = self._fleet.request(node_id, method, path, **options)
        self.note("caller", f"<- {node_id} {answer.status} {_answer_text(answer)}")
        return answer

    def _record_append(self, stream, payload, zone=""):
        body = parse_record(payload).body
        if not isinstance(body, LEASES):
            self.note("log", f"{stream}: {_body_text(body)}")
        return self._append(stream, payload, zone)

    def text(self):
        """The session so far."""
        lines = list(self._lines)
        for logged in self._fleet.events[self._first_event :]:
            if logged.event in SHOWN_EVENTS:
                fields = " ".join(f"{name}={value}" for name, value in logged.fields.items())
                lines.append((logged.at, f"{logged.node_id:<10} {logged.event.name} {fields}"))
        for engine_id, engine in self._fleet.engines.items():
            for attempt in engine.attempts:
                lines += _attempt_lines(engine_id, attempt, self._started)
        lines.sort(key=lambda line: line[0])
        return "".join(f"{at - self._started:9.4f} {text}\n" for at, text in lines)


def _attempt_lines(engine_id, attempt, since):
    if attempt.submitted_at < since:
        return []
    content = json.loads(attempt.body)["messages"][-1]["content"]
    begun = f"{engine_id:<10} begins {attempt.attempt_id} {content!r} at {attempt.resume_offset}"
    ended = "ends" if attempt.finished else "stops"
    last = f"{engine_id:<10} {ended} {attempt.attempt_id} after {attempt.tokens} tokens"
    return [(attempt.submitted_at, begun), (attempt.last_event_at or attempt.submitted_at, last)]


def _answer_text(answer):
    if answer.body.startswith(b"data: "):
        events = answer.body.split(b"\n\n")
        last = events[-2].decode()
        return f"{len(events) - 1} events, the last {last}"
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
            f"{one.item_index}:{'may have run' if one.may_have_run else one.status_code}"
            for one in body.results
        ]
        return f"ItemsFinished {' '.join(items)}"
    fields = {
        name: value
        for name, value in fields.items()
        if name not in ("content", "document", "metadata_json", "request_digest", "sha256")
    }
    return f"{type(body).__name__} {json.dumps(fields)}"


def check_golden(case, name, text):
    """Compare a session with its golden file; write it when asked to."""
    path = DIRECTORY / f"{name}.txt"
    if os.environ.get(UPDATE_VARIABLE):
        DIRECTORY.mkdir(exist_ok=True)
        path.write_text(text, encoding="utf-8")
    expected = path.read_text(encoding="utf-8").splitlines()
    diff = list(difflib.unified_diff(expected, text.splitlines(), str(path.name), "now", n=2))
    case.assertEqual(diff, [], "\n".join(diff[:60]) + "\n`make golden` writes the files anew")
