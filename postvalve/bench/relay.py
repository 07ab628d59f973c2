"""Cost of relaying: processor time per token chunk, and latency added to the first token.

`scripts/bench.py` starts the processes: an engine, a plain socket relay in front of it, and a
node in front of it. Each round measures the engine, the relay and the node one after the other.
"""

from __future__ import annotations

from dataclasses import asdict, dataclass, replace
from statistics import median

import psutil

from postvalve.bench.streams import StreamLoad, StreamTimes, run_streams

PERCENTILE = 95.0


@dataclass(frozen=True, slots=True)
class RelayTargets:
    """URLs and process ids for the three paths: direct, through the relay, through the node."""

    engine_url: str
    relay_url: str
    relay_pid: int
    node_url: str
    node_pid: int


@dataclass(frozen=True, slots=True)
class RelayReport:
    """Results of one run: processor time in microseconds, time to first token in milliseconds."""

    chunks: int
    failures: int
    relay_cpu_us_per_chunk: float
    node_cpu_us_per_chunk: float
    cpu_ratio: float
    direct_first_token_p95_ms: float
    node_first_token_p95_ms: float
    added_first_token_p95_ms: float
    added_first_token_p50_ms: float

    def document(self) -> dict[str, float | int]:
        """Return the report as a dictionary, rounded to three decimals."""
        return {name: round(value, 3) for name, value in asdict(self).items()}


def cpu_seconds(pid: int) -> float:
    """Return the user and system time that a process has used, in seconds."""
    times = psutil.Process(pid).cpu_times()
    return times.user + times.system


def measure_relay(targets: RelayTargets, load: StreamLoad, rounds: int) -> RelayReport:
    """Measure the three paths in each round, and return the medians over all rounds.

    Chunks and failures are summed.
    """
    reports = [_measure_round(targets, load, number) for number in range(rounds)]
    fields = {name: [getattr(report, name) for report in reports] for name in asdict(reports[0])}
    medians = {name: median(values) for name, values in fields.items()}
    medians["chunks"] = sum(fields["chunks"])
    medians["failures"] = sum(fields["failures"])
    return RelayReport(**medians)


def _measure_round(targets: RelayTargets, load: StreamLoad, number: int) -> RelayReport:
    direct = run_streams(replace(load, url=targets.engine_url, name=f"direct-{number}"))
    relay, relay_cpu = _measure_process(
        replace(load, url=targets.relay_url, name=f"relay-{number}"), targets.relay_pid
    )
    node, node_cpu = _measure_process(
        replace(load, url=targets.node_url, name=f"node-{number}"), targets.node_pid
    )
    return RelayReport(
        chunks=node.chunks,
        failures=direct.failures + relay.failures + node.failures,
        relay_cpu_us_per_chunk=relay_cpu * 1e6 / max(1, relay.chunks),
        node_cpu_us_per_chunk=node_cpu * 1e6 / max(1, node.chunks),
        cpu_ratio=(node_cpu / max(1, node.chunks)) / (relay_cpu / max(1, relay.chunks)),
        direct_first_token_p95_ms=_first_token_ms(direct, PERCENTILE),
        node_first_token_p95_ms=_first_token_ms(node, PERCENTILE),
        added_first_token_p95_ms=_first_token_ms(node, PERCENTILE)
        - _first_token_ms(direct, PERCENTILE),
        added_first_token_p50_ms=_first_token_ms(node, 50.0) - _first_token_ms(direct, 50.0),
    )


def _measure_process(load: StreamLoad, pid: int) -> tuple[StreamTimes, float]:
    before = cpu_seconds(pid)
    times = run_streams(load)
    return times, cpu_seconds(pid) - before


def _first_token_ms(times: StreamTimes, percentile: float) -> float:
    return times.first_token.get_value_at_percentile(percentile) / 1000
