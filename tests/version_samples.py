"""Samples of messages between nodes and of stored records, written and read by the running build.

As a program, it can also be run in the tree of another build, and prints what that build writes and
reads. It therefore imports nothing from the tests, and from postvalve only names that exist in all
builds since the oldest supported one. The fields of each message are filled with values derived
from their numbers, so that a field that only a later build has changes no other field.
"""

import dataclasses
import enum
import json
import sys
import tempfile
from pathlib import Path

import betterproto

from postvalve.core.batch.item_end import ItemEnd, ItemState
from postvalve.core.batch.job_board import JOB_FORM, JobBoard, RecordKind, record_key
from postvalve.core.batch.job_items import ItemSpec, pack_items
from postvalve.core.batch.progress import assemble, failures_key, segment_key
from postvalve.core.membership import zone_digest as zone_digests
from postvalve.core.membership.load_report import (
    DirectoryState,
    LoadReport,
    RunningItem,
    unpack_report,
)
from postvalve.core.membership.ownership import rank_owners
from postvalve.messages import framing
from postvalve.messages.generated import gateway
from postvalve.platform.fleet import parse_configuration
from postvalve.platform.settings import load_settings

SAMPLE_EXTENSIONS = {1: (0xFFFF_FFFF).to_bytes(4, "big"), 2: b"clock", 200: b"of a later build"}
"""Extensions after the fixed layout: known ones, and one that no build knows."""


def plain(value):
    """Convert a value to types that JSON can represent."""
    if dataclasses.is_dataclass(value):
        fields = dataclasses.fields(value)
        return {one.name: plain(getattr(value, one.name)) for one in fields}
    if hasattr(value, "model_dump"):
        # Settings are converted field by field, so that a field that only a later build has
        # changes no other field.
        return plain(value.model_dump())
    if isinstance(value, enum.Enum):
        return value.value
    if isinstance(value, bytes):
        return value.hex()
    if isinstance(value, dict):
        return {str(key): plain(one) for key, one in value.items()}
    if isinstance(value, (list, tuple)):
        return [plain(one) for one in value]
    if isinstance(value, (set, frozenset)):
        return sorted(plain(one) for one in value)
    return value if isinstance(value, (str, int, float, bool)) or value is None else str(value)


def filled(message_type):
    """Return a message with a value in each field."""
    message = message_type()
    for one in dataclasses.fields(message_type):
        meta = betterproto.FieldMetadata.get(one)
        value = _field_value(message_type, one.name, meta)
        repeated = isinstance(getattr(message, one.name), list)
        setattr(message, one.name, [value, value] if repeated else value)
    return message


def _field_value(message_type, name, meta):
    if meta.proto_type == betterproto.TYPE_MESSAGE:
        return filled(message_type()._betterproto.cls_by_field[name])
    if meta.proto_type == betterproto.TYPE_STRING:
        return f"text {meta.number}"
    if meta.proto_type == betterproto.TYPE_BYTES:
        return f"bytes {meta.number}".encode()
    if meta.proto_type == betterproto.TYPE_BOOL:
        return True
    if meta.proto_type in (betterproto.TYPE_DOUBLE, betterproto.TYPE_FLOAT):
        return meta.number + 0.5
    return 1 if meta.proto_type == betterproto.TYPE_ENUM else 1_000 + meta.number


# Frames


def kinds():
    """Return the message types that frames can contain, by name."""
    return {one.__name__: one for one in framing._MESSAGE_KINDS}


def make_frame(kind):
    if kind is framing.PackedReport:
        return framing.encode_frame(framing.PackedReport(make_report()), 7)
    if kind is gateway.ZoneDigest:
        return framing.encode_frame(gateway.ZoneDigest(packed=make_digest(), relayed=True), 7)
    return framing.encode_frame(filled(kind), 7)


def read_frame(data):
    header = framing.decode_header(data[: framing.HEADER.size])
    message = framing.decode_datagram(data)
    content = {"kind": header.kind, "type": type(message).__name__}
    if isinstance(message, framing.PackedReport):
        return content | {"report": plain(unpack_report(message.data))}
    if isinstance(message, gateway.ZoneDigest):
        digest = zone_digests.unpack_digest(message.packed)
        return content | {"relayed": message.relayed, "digest": plain(digest)}
    return content | {"message": plain(message)}


def with_extensions(message_type):
    """Return extensions as keyword arguments, or none if the build does not support them."""
    names = {one.name for one in dataclasses.fields(message_type)}
    return {"extensions": SAMPLE_EXTENSIONS} if "extensions" in names else {}


def make_report():
    return LoadReport(
        "node-1", 1_700, 41, "127.0.0.1:9", "zone-a", True, b"use" * 4, 1_230, 9,
        [RunningItem("job-1", 3), RunningItem("job-2", 0)], b"running", True, b"waiting",
        DirectoryState(77, 120), **with_extensions(LoadReport),
    ).pack()  # fmt: skip


def make_digest():
    members = (
        zone_digests.ZoneMember("node-1", 1_700, "127.0.0.1:9", True, False, True),
        zone_digests.ZoneMember("node-2", 1_800, "127.0.0.1:10"),
    )
    return zone_digests.ZoneDigest(
        "zone-a", "node-1", "127.0.0.1:9", 1_700, 5, 9, b"use" * 4, b"running", b"waiting", 2,
        zone_digests.members_version(members), members, [RunningItem("job-1", 3)],
        **with_extensions(zone_digests.ZoneDigest),
    ).pack()  # fmt: skip


# Records


def make_jobs():
    """Return a topic of jobs, as key and value of each record."""
    accepted = filled(gateway.JobAccepted)
    accepted.job_id, accepted.claim_id, accepted.form = "job-1", "c1", JOB_FORM
    accepted.items = pack_items([ItemSpec("a", 10, 4, 6, 1, 200), ItemSpec("b", 11, 5, 6, 1, 210)])
    claimed = gateway.JobClaimed("job-1", "c2", "c1", "node-2", 1_800)
    end = ItemEnd("job-1", 1, ItemState.COMPLETED, "c2", 1, 99, 2, 300)
    return [
        (record_key(RecordKind.ACCEPT, "job-1", "k0"), bytes(accepted)),
        (record_key(RecordKind.CLAIM, "job-1", "k1"), bytes(claimed)),
        (record_key(RecordKind.ITEM, "job-1", "k2"), end.pack()),
        ("later-kind/job-1/k3", b"of a later build"),
        (record_key(RecordKind.END, "job-1", "k4"), bytes(gateway.JobEnded("job-1", 1_900))),
    ]


def read_jobs(records):
    board = JobBoard()
    for offset, (key, value) in enumerate(records):
        board.observe(offset, key, value)
    return {"jobs": plain(board.jobs), "unreadable": board.unreadable}


def make_progress():
    first, second = (filled(gateway.ItemProgress) for _ in range(2))
    first.after_event_id, first.last_event_id = 0, 12
    second.after_event_id, second.last_event_id = 12, 30
    segments = [first, second]
    rows = [(segment_key("job-1", 1, "chain", idx), bytes(one)) for idx, one in enumerate(segments)]
    return [*rows, (failures_key("job-1", 1), bytes(gateway.ItemProgress(failures=3)))]


def read_progress(records):
    return plain(assemble(records))


def make_single(message_type):
    return lambda: [("key", bytes(filled(message_type)))]


def read_single(message_type):
    return lambda records: plain(message_type().parse(records[0][1]))


def make_configuration():
    """Return an operator's configuration with fields that this build does not know."""
    common = {"host": "h", "service": "m", "timeoutMs": 5_000, "maxAttempts": 3, "later": {"x": 1}}
    routes = [
        {"name": "s", "pathPrefix": "/s/", "kind": "stream", "resumable": True, **common},
        {"name": "b", "pathPrefix": "/b/", "kind": "batch", "runAimMs": 20_000, "keepS": 60,
         "maxQueuedTokens": 0, **common},
    ]  # fmt: skip
    tenants = [{"name": "t", "apiKeys": ["k"], "ratePerS": 2.0, "burst": 3.0, "later": 1}]
    document = {"version": 4, "routes": routes, "services": [{"name": "m"}], "tenants": tenants}
    return [("routes", json.dumps(document | {"laterTable": [1]}).encode())]


def read_configuration(records):
    return plain(parse_configuration(records[0][1]))


RECORDS = {
    "jobs": (make_jobs, read_jobs),
    "progress": (make_progress, read_progress),
    "item-request": (make_single(gateway.ItemRequest), read_single(gateway.ItemRequest)),
    "node": (make_single(gateway.NodeStarted), read_single(gateway.NodeStarted)),
    "quarantine": (
        make_single(gateway.QuarantineRecord),
        read_single(gateway.QuarantineRecord),
    ),
    "configuration": (make_configuration, read_configuration),
}


# Settings, and values that nodes must agree on


def make_settings():
    """Return a settings file with fields that this build does not know."""
    document = {
        "node": "n", "zone": "z", "ip": "127.0.0.1", "portRange": [9, 10], "later": {"x": 1},
        "listen": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2", "later": "127.0.0.1:3"},
        "bounds": {"graceS": 8, "settleMs": 1000, "statusS": 600, "laterMs": 5},
        "platform": {"address": "127.0.0.1:4", "parts": 2, "later": 1},
    }  # fmt: skip
    return [("settings", json.dumps(document).encode())]


def read_settings(records):
    with tempfile.NamedTemporaryFile(suffix=".json") as file:
        file.write(records[0][1])
        file.flush()
        return plain(load_settings(Path(file.name)).gateway_settings())


def agreements():
    """Return results that nodes of both builds must compute alike, from inputs both support."""
    nodes = [f"node-{number}" for number in range(7)]
    members = (zone_digests.ZoneMember("node-1", 1_700, "127.0.0.1:9", True, False, True),)
    return {
        "owners": [rank_owners(f"key-{number}", nodes) for number in range(20)],
        "members": zone_digests.members_version(members),
        "keys": [key for key, _ in [*make_jobs(), *make_progress()]],
        **_agreed_by_name(),
    }


def _agreed_by_name():
    """Return the agreements that came after the oldest supported build; empty in builds without."""
    try:
        from postvalve.core.admission.engine_use import engine_hash
        from postvalve.core.admission.request_identity import identify
        from postvalve.core.membership.engine_life import EngineLife
    except ImportError:
        return {}
    lives = [EngineLife.of("e1"), EngineLife.of("e1", 1_700), EngineLife.of("e2", 5)]
    headers = [("B", "2"), ("A", "1")]
    return {
        "engines": [[one, engine_hash(one)] for one in lives],
        "request": plain(identify("caller", "h", "POST", "/x?y", b"body", headers)),
    }


# All samples


def pack_records(records):
    return json.dumps([[key, value.hex()] for key, value in records], indent=1).encode()


def unpack_records(data):
    return [(key, bytes.fromhex(value)) for key, value in json.loads(data)]


def write_all(folder):
    """Write a file for each sample that the running build can create."""
    folder = Path(folder)
    folder.mkdir(parents=True, exist_ok=True)
    for name, kind in kinds().items():
        (folder / f"{kind.__module__.rpartition('.')[2]}-{name}.frame").write_bytes(
            make_frame(kind)
        )
    for name, (make, _) in {**RECORDS, "settings": (make_settings, read_settings)}.items():
        (folder / f"{name}.records").write_bytes(pack_records(make()))


def read_all(folder):
    """Return what the running build reads from each file, or the name of the exception raised."""
    readers = {name: read for name, (_, read) in RECORDS.items()} | {"settings": read_settings}
    contents = {}
    for path in sorted(Path(folder).iterdir()):
        try:
            if path.suffix == ".frame":
                contents[path.name] = read_frame(path.read_bytes())
            elif path.suffix == ".records":
                contents[path.name] = readers[path.stem](unpack_records(path.read_bytes()))
        except Exception as exc:  # any exception of the other build is part of the result
            contents[path.name] = {"error": type(exc).__name__}
    return contents


def main():
    verb, folder = sys.argv[1:]
    if verb == "write":
        write_all(folder)
        print(json.dumps(agreements(), indent=1, sort_keys=True))
    else:
        print(json.dumps(read_all(folder), indent=1, sort_keys=True))


if __name__ == "__main__":
    main()
