"""Cost slopes: processor time and bytes per unit of work.

State machines and the codec are timed in this process. The slopes of an online request and of
a token chunk are derived from the processor time of a running node.
"""

from __future__ import annotations

import hashlib
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import asdict, dataclass, replace

from postvalve.bench.relay import cpu_seconds
from postvalve.bench.streams import StreamLoad, run_streams
from postvalve.core.admission.engine_slots import EngineSlots, SlotPolicy
from postvalve.core.batch.job_ledger import JobLedger
from postvalve.core.batch.scheduler import BatchScheduler, Dispatch, ScheduledJob
from postvalve.core.membership.ownership import preferred_owner
from postvalve.core.membership.view import MembershipTiming, MembershipView
from postvalve.messages.framing import decode_datagram, encode_frame
from postvalve.messages.generated import peer, records
from postvalve.messages.records_codec import Record, encode_record, parse_record
from postvalve.settings.fleet import FleetConfiguration, parse_fleet_configuration

REPEATS = 200
JOB_ITEMS = 2_000
TENANTS = 300
ENGINES_PER_NODE = 6
NODES_PER_ZONE = 48
RESULT_BODY_BYTES = 400
"""Size of the response body of each result."""


@dataclass(frozen=True, slots=True)
class Slope:
    """Cost of one unit of work."""

    name: str
    microseconds: float
    """Processor time."""
    bytes: float
    """Bytes on the wire, in the log or in memory, depending on the slope."""

    def row(self) -> dict[str, str | float]:
        """Return the slope as a table row, rounded to two decimals."""
        return {name: _rounded(value) for name, value in asdict(self).items()}


def _rounded(value: str | float) -> str | float:
    return value if isinstance(value, str) else round(value, 2)


def measure_slopes() -> list[Slope]:
    """Measure all slopes that do not need a running node."""
    return [
        _measure_heartbeat_receipt(full=False),
        _measure_heartbeat_receipt(full=True),
        _measure_heartbeat_encoding(),
        _measure_admission_messages(),
        _measure_admission_decision(),
        _measure_ownership(),
        *_measure_configuration(),
        *_measure_batch_items(),
        *_measure_result_records(),
    ]


def _cpu_us_per_call(function: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the mean processor time of one call, in microseconds."""
    started = time.process_time()
    for _ in range(repeats):
        function()
    return (time.process_time() - started) / repeats * 1e6


def _heartbeat(sequence: int, *, full: bool) -> peer.Heartbeat:
    summary = peer.NodeSummary(
        engines=[
            peer.EngineSummary(
                engine_id=f"engine-{number:04}",
                in_flight_online=7,
                in_flight_batch=5,
                slots=16,
                models=["price-analysis=1"],
            )
            for number in range(ENGINES_PER_NODE)
        ],
        shards=[1, 2],
        pending=[peer.PendingBatch(model="price-analysis", items=1000)],
    )
    return peer.Heartbeat(
        node_id="node-000",
        incarnation=1_800_000_000_000,
        sequence=sequence,
        zone="zone-0",
        peer_address="127.0.0.1:8081",
        configuration_revision=5000,
        summary_version=sequence,
        summary=bytes(summary) if full else b"",
    )


def _measure_heartbeat_receipt(*, full: bool) -> Slope:
    view = MembershipView(MembershipTiming(4.0, 5.0))
    frames = [encode_frame(_heartbeat(sequence + 1, full=full), 0) for sequence in range(REPEATS)]
    pending = iter(frames)

    def receive() -> None:
        message = decode_datagram(next(pending))
        assert isinstance(message, peer.Heartbeat)
        view.observe(message, 1.0)

    name = "heartbeat received, with summary" if full else "heartbeat received, unchanged"
    return Slope(name, _cpu_us_per_call(receive), len(frames[0]))


def _measure_heartbeat_encoding() -> Slope:
    heartbeat = _heartbeat(1, full=True)
    frame = encode_frame(heartbeat, 0)
    return Slope(
        "heartbeat made, once for all peers",
        _cpu_us_per_call(lambda: encode_frame(heartbeat, 0)),
        len(frame),
    )


def _measure_admission_messages() -> Slope:
    request = peer.AdmissionRequest(
        attempt_id="0" * 32,
        engine_id="engine-0001",
        tenant="tenant-0001",
        model="price-analysis",
        gateway_id="node-000",
    )
    reply = peer.AdmissionReply(outcome=peer.AdmissionOutcome.ADMISSION_OUTCOME_GRANTED)

    def exchange() -> None:
        for message in (request, reply):
            decode_datagram(encode_frame(message, 1))

    size = len(encode_frame(request, 1)) + len(encode_frame(reply, 1))
    return Slope("admission asked of another node, both ends", _cpu_us_per_call(exchange), size)


def _measure_admission_decision() -> Slope:
    slots = EngineSlots(16, SlotPolicy(2))
    numbers = iter(range(REPEATS))

    def decide() -> None:
        attempt_id = str(next(numbers))
        slots.admit_online(attempt_id, "node-000", 1.0)
        slots.release(attempt_id, 1.0)

    return Slope("admission decided and released", _cpu_us_per_call(decide), 0)


def _measure_ownership() -> Slope:
    nodes = [f"node-{number:03}" for number in range(NODES_PER_ZONE)]
    return Slope(
        "owner of an engine among 48 nodes",
        _cpu_us_per_call(lambda: preferred_owner("engine", nodes)),
        0,
    )


def _configuration(tenants: int) -> bytes:
    document = FleetConfiguration.model_validate(
        {
            "tenants": [
                {
                    "name": f"tenant-{number}",
                    "labels": {"kind": "desk"},
                    "api_key_sha256": [hashlib.sha256(str(number).encode()).hexdigest()],
                }
                for number in range(tenants)
            ]
        }
    )
    return document.model_dump_json().encode("utf-8")


def _measure_configuration() -> list[Slope]:
    document = _configuration(TENANTS)
    duration = _cpu_us_per_call(lambda: parse_fleet_configuration(document, "bench"), 20)
    tracemalloc.start()
    parsed = parse_fleet_configuration(document, "bench")
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    assert parsed.tenant_by_key_digest
    return [
        Slope(
            "configuration revision, for each tenant", duration / TENANTS, len(document) / TENANTS
        ),
        Slope("configuration in memory, for each tenant", 0, memory / TENANTS),
    ]


def _job(items: int) -> ScheduledJob:
    ledger = JobLedger("batch_x")
    submission = records.JobSubmitted(job_id="batch_x", tenant="t", items=items, model="m")
    ledger.observe(0, Record("", submission))
    return ScheduledJob(ledger, deadline=1e9)


def _measure_batch_items() -> list[Slope]:
    scheduler = BatchScheduler()
    tracemalloc.start()
    scheduler.add(_job(JOB_ITEMS))
    job_memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()

    def dispatch() -> None:
        for key in scheduler.take(["m"], 10, 0.0):
            scheduler.dispatched(Dispatch(key, "a" * 32, "node-000", 1, "engine-0001", 0.0))
            scheduler.finished(key, 1.0)

    duration = _cpu_us_per_call(dispatch, JOB_ITEMS // 10) / 10
    return [
        Slope("batch item scheduled and finished", duration, 0),
        Slope("held job in memory, for each item", 0, job_memory / JOB_ITEMS),
    ]


def _measure_result_records() -> list[Slope]:
    body = records.ItemsFinished(
        results=[
            records.ItemResult(
                item_index=number,
                attempt_id="a" * 32,
                custom_id=f"item-{number}",
                status_code=200,
                response_body=b"x" * RESULT_BODY_BYTES,
            )
            for number in range(50)
        ]
    )
    payload = encode_record(Record("0" * 32, body))
    written = _cpu_us_per_call(lambda: encode_record(Record("0" * 32, body)), 20) / 50
    read = _cpu_us_per_call(lambda: parse_record(payload), 20) / 50
    return [
        Slope("item result written to the log", written, len(payload) / 50),
        Slope("item result read from the log", read, len(payload) / 50),
    ]


def measure_node(load: StreamLoad, pid: int) -> list[Slope]:
    """Measure the slopes of a running node: an online request, and each token chunk of it.

    Two loads that differ only in the number of tokens per response give the cost of a chunk and,
    by extrapolation to no chunks, the cost of a request.
    """
    short = _cpu_per_request(replace(load, tokens=2, name="short"), pid)
    long = _cpu_per_request(replace(load, tokens=102, name="long"), pid)
    chunk = (long - short) / 100
    return [
        Slope("online request at a node, without its chunks", short - 2 * chunk, 0),
        Slope("token chunk through a node", chunk, 0),
    ]


def _cpu_per_request(load: StreamLoad, pid: int) -> float:
    before = cpu_seconds(pid)
    times = run_streams(load)
    requests = load.streams * load.requests_per_stream - times.failures
    return (cpu_seconds(pid) - before) * 1e6 / max(1, requests)
