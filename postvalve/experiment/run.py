"""Runs a scenario on whole nodes under virtual time, with and without batch load."""

from __future__ import annotations

import hashlib
import json
import random
from collections import Counter
from dataclasses import dataclass, field

import gevent
from hdrh.histogram import HdrHistogram

from postvalve.bench.streams import new_histogram
from postvalve.emulator.engine_model import EngineParameters
from postvalve.emulator.tokens import first_token
from postvalve.emulator.virtual_fleet import FleetShape, VirtualAnswer, VirtualFleet
from postvalve.emulator.virtual_time import VirtualLoop, run_virtual
from postvalve.events import Event
from postvalve.experiment.result import ExperimentResult, LatencyFigures, RunFigures
from postvalve.experiment.scenario import BatchLoad, OnlineLoad, Scenario

BURST_SECONDS = 0.2
"""Duration of a burst of online requests."""
OUTAGE_SECONDS = 15.0
"""Duration for which an engine stays killed, or a zone partitioned."""
DRAIN_SECONDS = 5.0
"""Time after the end of the load for outstanding responses; unfinished batch jobs are not
waited for."""
MODEL = "m"
DONE = b"data: [DONE]\n\n"


@dataclass(slots=True)
class _Job:
    job_id: str
    name: str
    items: int
    deadline: float


@dataclass(slots=True)
class _Counters:
    requests: int = 0
    refused: int = 0
    not_whole: int = 0
    tokens: int = 0
    first_token: HdrHistogram = field(default_factory=new_histogram)
    between_tokens: HdrHistogram = field(default_factory=new_histogram)
    jobs: list[_Job] = field(default_factory=list)


def run_experiment(scenario: Scenario, seed: int) -> ExperimentResult:
    """Run a scenario with and without batch load, with the same online requests in both runs."""
    with_batch = run_virtual(lambda loop: _Run(loop, scenario, seed, batch=True).run())
    without = run_virtual(lambda loop: _Run(loop, scenario, seed, batch=False).run())
    parameters = EngineParameters(slots=scenario.slots)
    step = parameters.step_base + parameters.step_per_sequence * parameters.slots
    capacity = scenario.engines * scenario.duration * parameters.slots / step
    idle = max(1.0, capacity - without.online_tokens)
    return ExperimentResult(
        scenario=scenario.name,
        seed=seed,
        duration=scenario.duration,
        with_batch=with_batch,
        without_batch=without,
        harm_first_token_p99=with_batch.first_token_ms.p99 / without.first_token_ms.p99,
        harm_first_token_p50=with_batch.first_token_ms.p50 / without.first_token_ms.p50,
        token_capacity=capacity,
        idle_capacity_used=with_batch.batch_tokens / idle,
    )


class _Run:
    """One run of a scenario, with or without batch load."""

    def __init__(self, loop: VirtualLoop, scenario: Scenario, seed: int, *, batch: bool) -> None:
        self._loop = loop
        self._scenario = scenario
        self._batch = batch
        # Online requests have their own random generator, so that they are the same in both runs.
        self._online_random = random.Random(seed)
        self._batch_random = random.Random(seed + 1)
        self._counters = _Counters()
        shape = FleetShape(
            zones=scenario.zones,
            nodes_per_zone=scenario.nodes_per_zone,
            engines=scenario.engines,
            model=MODEL,
            parameters=EngineParameters(slots=scenario.slots),
            headroom=scenario.headroom,
            batch_beside_online=scenario.batch_beside_online,
        )
        self._fleet = VirtualFleet(loop, shape, seed)
        self._end = 0.0

    def run(self) -> RunFigures:
        """Run the load and the faults of the scenario, and return the figures."""
        self._fleet.start()
        started = self._loop.now()
        bytes_before = self._datagram_bytes()
        self._end = started + self._scenario.duration
        tokens_at_end = gevent.spawn_later(self._scenario.duration, self._batch_tokens, started)
        loads = [
            gevent.spawn(self._send_steady_load, self._scenario.online),
            gevent.spawn(self._send_bursts, self._scenario.online),
            gevent.spawn(self._inject_faults),
        ]
        if self._batch:
            loads += [gevent.spawn(self._submit_job_groups, load) for load in self._scenario.batch]
        gevent.joinall(loads, raise_error=True)
        gevent.sleep(max(0.0, self._end - self._loop.now()))
        control = (self._datagram_bytes() - bytes_before) / self._scenario.duration
        batch_tokens = tokens_at_end.get()
        gevent.sleep(DRAIN_SECONDS)
        return self._figures(control / len(self._fleet.nodes), batch_tokens)

    def _datagram_bytes(self) -> int:
        return sum(traffic.datagram_bytes for traffic in self._fleet.network.traffic.values())

    # Online

    def _send_steady_load(self, load: OnlineLoad) -> None:
        number = 0
        while self._loop.now() < self._end:
            gevent.sleep(self._online_random.expovariate(load.rate))
            number += 1
            gevent.spawn(self._send_request, load, f"steady-{number}", number)

    def _send_bursts(self, load: OnlineLoad) -> None:
        # Has its own generator because the steady load draws from the shared one concurrently.
        generator = random.Random(self._online_random.getrandbits(32))
        burst = 0
        while load.burst_size and self._loop.now() < self._end:
            gevent.sleep(generator.expovariate(1 / load.burst_interval))
            burst += 1
            for number in range(load.burst_size):
                gevent.spawn(self._send_request, load, f"burst-{burst}-{number}", number)
                gevent.sleep(BURST_SECONDS / load.burst_size)

    def _send_request(self, load: OnlineLoad, name: str, number: int) -> None:
        nodes = list(self._fleet.nodes)
        text = name.ljust(load.prompt_characters, ".")
        document = {
            "model": MODEL,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": load.tokens,
            "stream": True,
        }
        sent = self._loop.now()
        answer = self._fleet.request(
            nodes[number % len(nodes)], "POST", "/v1/chat/completions", document=document
        )
        self._record_answer(answer, text, sent)

    def _record_answer(self, answer: VirtualAnswer, text: str, sent: float) -> None:
        counters = self._counters
        counters.requests += 1
        if answer.status != 200:
            counters.refused += 1
            return
        if answer.chunks[-1] != DONE or first_token(text).encode() not in answer.chunks[0]:
            counters.not_whole += 1
            return
        counters.first_token.record_value(_microseconds(answer.times[0] - sent))
        for before, after in zip(answer.times, answer.times[1:-1], strict=False):
            counters.between_tokens.record_value(_microseconds(after - before))
        counters.tokens += len(answer.times) - 1

    # Batch

    def _submit_job_groups(self, load: BatchLoad) -> None:
        generator = random.Random(self._batch_random.getrandbits(32))
        group = 0
        while self._loop.now() < self._end:
            group += 1
            for number in range(load.jobs):
                gevent.spawn(
                    self._submit_job, load, f"{load.workload}-{group}-{number}", group + number
                )
            gevent.sleep(generator.expovariate(1 / load.heap_interval))

    def _submit_job(self, load: BatchLoad, name: str, number: int) -> None:
        nodes = list(self._fleet.nodes)
        node_id = nodes[number % len(nodes)]
        form = _encode_form(name, load)
        file = self._fleet.request(
            node_id, "POST", "/v1/files", body=form, content_type="multipart/form-data; boundary=x"
        )
        document = {
            "input_file_id": file.document["id"],
            "endpoint": "/v1/chat/completions",
            "completion_window": f"{load.deadline}s",
        }
        batch = self._fleet.request(
            node_id,
            "POST",
            "/v1/batches",
            document=document,
            headers={"X-Postvalve-Workload": load.workload},
        )
        if batch.status == 200:
            deadline = self._loop.now() + load.deadline
            self._counters.jobs.append(_Job(batch.document["id"], name, load.items, deadline))

    # Faults

    def _inject_faults(self) -> None:
        disturbance = self._scenario.disturbance
        fleet = self._fleet
        if disturbance.kill_engine_at is not None:
            gevent.sleep(disturbance.kill_engine_at)
            fleet.kill_engine("engine-0")
            gevent.sleep(OUTAGE_SECONDS)
            fleet.restart_engine("engine-0")
        elif disturbance.cut_zone_at is not None:
            gevent.sleep(disturbance.cut_zone_at)
            others = [f"zone-{zone}" for zone in range(1, self._scenario.zones)]
            for other in others:
                fleet.network.cut("zone-0", other)
            gevent.sleep(OUTAGE_SECONDS)
            for other in others:
                fleet.network.heal("zone-0", other)

    # Figures

    def _batch_tokens(self, since: float) -> int:
        names = tuple(load.workload + "-" for load in self._scenario.batch)
        return sum(
            attempt.tokens
            for engine in self._fleet.engines.values()
            for attempt in engine.attempts
            if attempt.submitted_at >= since and _last_message(attempt.body).startswith(names)
        )

    def _figures(self, control_bytes: float, batch_tokens: int) -> RunFigures:
        counters = self._counters
        results: Counter[str] = Counter()
        wrong = 0
        late = 0
        for job in counters.jobs:
            node_id = next(iter(self._fleet.nodes))
            lines = self._result_lines(node_id, job)
            results.update(line["custom_id"] for line in lines)
            wrong += sum(not _answers_own_prompt(line) for line in lines)
            late += len(lines) < job.items and self._loop.now() > job.deadline
        return RunFigures(
            online_requests=counters.requests,
            online_refused=counters.refused,
            online_not_whole=counters.not_whole,
            first_token_ms=_latency(counters.first_token),
            between_tokens_ms=_latency(counters.between_tokens),
            batch_items_offered=sum(job.items for job in counters.jobs),
            batch_items_done=len(results),
            batch_items_doubled=sum(count > 1 for count in results.values()),
            batch_items_wrong=wrong,
            batch_tokens=batch_tokens,
            online_tokens=counters.tokens,
            jobs_late=late,
            preemptions=sum(logged.event is Event.ITEM_PREEMPTED for logged in self._fleet.events),
            control_bytes_per_node_second=control_bytes,
        )

    def _result_lines(self, node_id: str, job: _Job) -> list[dict]:
        lines = self._fleet.nodes[node_id].node.result_lines(job.job_id)
        return [json.loads(line) for line in lines]


def _encode_form(name: str, load: BatchLoad) -> bytes:
    lines = (
        {
            "custom_id": f"{name}-{number}",
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": {
                "model": MODEL,
                "messages": [{"role": "user", "content": f"{name}-{number}"}],
                "max_tokens": load.tokens,
            },
        }
        for number in range(load.items)
    )
    content = "".join(json.dumps(line) + "\n" for line in lines)
    return (
        '--x\r\nContent-Disposition: form-data; name="purpose"\r\n\r\nbatch\r\n'
        '--x\r\nContent-Disposition: form-data; name="file"; filename="in"\r\n\r\n'
        f"{content}\r\n--x--\r\n"
    ).encode()


def _last_message(body: bytes) -> str:
    return str(json.loads(body)["messages"][-1]["content"])


def _answers_own_prompt(line: dict) -> bool:
    expected = hashlib.sha256(line["custom_id"].encode()).hexdigest()[:16]
    return str(line["response"]["body"]["choices"][0]["message"]["content"]).startswith(expected)


def _microseconds(seconds: float) -> int:
    return max(1, round(seconds * 1e6))


def _latency(histogram: HdrHistogram) -> LatencyFigures:
    values = [
        histogram.get_value_at_percentile(percentile) / 1000
        for percentile in (50.0, 95.0, 99.0, 99.9)
    ]
    return LatencyFigures(p50=values[0], p95=values[1], p99=values[2], p99_9=values[3])
