"""Store process of the soak: topics in memory behind the HTTP interface of the platform's store."""

import argparse
import base64
import json
import struct
from urllib.parse import parse_qsl

import gevent
from gevent.pywsgi import WSGIServer

from postvalve.emulator.keyed_topics import MemoryTopics
from postvalve.exceptions import Verdict
from postvalve.gateway.interfaces import (
    HistoryGoneError,
    KeyedRecord,
    PositionTakenError,
    StoreUnavailableError,
)

LENGTH = struct.Struct("!I")
OFFSETS = struct.Struct("!QQ")
SILENCE = 4.0
"""Seconds before a lost answer is sent as an error: longer than a node waits for it."""


class StoreApplication:
    """WSGI application with the calls that nodes make, and one that injects faults."""

    def __init__(self):
        self.topics = MemoryTopics()
        self.delay = 0.0
        """Seconds by which each answer is delayed."""

    def __call__(self, environ, start_response):
        query = dict(parse_qsl(environ["QUERY_STRING"]))
        body = environ["wsgi.input"].read()
        gevent.sleep(self.delay)
        try:
            status, content = getattr(self, CALLS[environ["PATH_INFO"]])(query, body)
        except PositionTakenError as error:
            status, content = "412 -", json.dumps({"end": error.end_offset}).encode()
        except HistoryGoneError:
            status, content = "410 -", json.dumps({"first": 0}).encode()
        except StoreUnavailableError as exc:
            if exc.verdict is not Verdict.NOT_RUN:
                gevent.sleep(SILENCE)
            status, content = "503 -", b"{}"
        start_response(status, [("Content-Length", str(len(content)))])
        return [content]

    def append(self, query, body):
        at = int(query["at"]) if "at" in query else None
        records = list(split_records(body))
        offset = self.topics.append(query["topic"], int(query["part"]), records, at)
        return "200 OK", json.dumps({"offset": offset, "end": offset + len(records)}).encode()

    def read(self, query, body):
        wait = int(query.get("waitMs", 0)) / 1000
        limit = int(query.get("max_kb", 1024)) * 1024
        part = self.topics.read(query["topic"], int(query["part"]), int(query["from"]), wait, limit)
        records = b"".join(map(pack_record, part.records))
        return "200 OK", OFFSETS.pack(part.end_offset, 0) + records

    def newest(self, query, body):
        after = query.get("watchAfter", "")
        part, more = self.topics.newest(query["topic"], int(query["part"]), after)
        items = [
            {
                "key": record.key,
                "value": base64.b64encode(record.value).decode(),
                "offset": record.offset,
            }
            for record in part.records
        ]
        document = {"items": items, "more": more, "end": part.end_offset}
        return "200 OK", json.dumps(document).encode()

    def fault(self, query, body):
        """Set the injected faults; lost and late answers end unless the change names them."""
        change = json.loads(body)
        self.topics.down = change.get("down", self.topics.down)
        self.topics.lost_answers = change.get("lost", 0)
        self.topics.late_appends = change.get("late", 0)
        self.delay = change.get("delay", self.delay)
        if change.get("compact"):
            self.topics.drop_history()
        return "200 OK", b"{}"


CALLS = {
    "/api/log-append": "append",
    "/api/log-read": "read",
    "/api/log-newest": "newest",
    "/fault": "fault",
}


def pack_record(record):
    """Encode a record as in bodies of the HTTP interface."""
    key = record.key.encode()
    payload = bytes((len(key),)) + key + record.value
    return LENGTH.pack(len(payload)) + payload


def split_records(data):
    """Decode consecutive records that `pack_record` encoded."""
    start = 0
    while start < len(data):
        (size,) = LENGTH.unpack_from(data, start)
        payload = data[start + LENGTH.size : start + LENGTH.size + size]
        start += LENGTH.size + size
        key_end = 1 + payload[0]
        yield KeyedRecord(payload[1:key_end].decode(), payload[key_end:])


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("port", type=int)
    server = WSGIServer(("127.0.0.1", parser.parse_args().port), StoreApplication(), log=None)
    server.serve_forever()


if __name__ == "__main__":
    main()
