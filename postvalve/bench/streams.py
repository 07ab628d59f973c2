"""Load generator: concurrent streamed requests, with the latency of each token."""

from __future__ import annotations

import json
import time
from dataclasses import dataclass, field

import gevent
from gevent.pool import Pool
from geventhttpclient import HTTPClient
from geventhttpclient.url import URL
from hdrh.histogram import HdrHistogram

from postvalve.exceptions import AttemptError, Verdict
from postvalve.services.engine import ATTEMPT_HEADER

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 3
READ_TIMEOUT = 120.0
"""Seconds without data after which a stream counts as failed."""


def new_histogram() -> HdrHistogram:
    """Return an empty histogram for latencies from 1 us to 600 s, in microseconds."""
    return HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class StreamLoad:
    """Load to generate: concurrent streams, requests of each, and tokens per response."""

    url: str
    api_key: str
    model: str
    streams: int
    requests_per_stream: int
    tokens: int
    name: str = "load"


@dataclass(slots=True)
class StreamTimes:
    """Results of a load: chunks, failures, duration, and latency histograms in microseconds."""

    chunks: int = 0
    failures: int = 0
    seconds: float = 0.0
    first_token: HdrHistogram = field(default_factory=new_histogram)
    between_tokens: HdrHistogram = field(default_factory=new_histogram)


def run_streams(load: StreamLoad) -> StreamTimes:
    """Run all streams concurrently; each sends its requests one after the other."""
    times = StreamTimes()
    url = URL(load.url)
    client = HTTPClient(
        url.host, port=url.port, concurrency=load.streams, network_timeout=READ_TIMEOUT
    )
    started = time.monotonic()
    pool = Pool(load.streams)
    for number in range(load.streams):
        pool.spawn(_run_stream, client, load, number, times)
    pool.join()
    times.seconds = time.monotonic() - started
    client.close()
    return times


def _run_stream(client: HTTPClient, load: StreamLoad, number: int, times: StreamTimes) -> None:
    # Staggered, so that the streams do not all start in the same step of the engine.
    gevent.sleep(number * 0.003)
    for round_number in range(load.requests_per_stream):
        try:
            _run_request(client, load, f"{load.name}-{number}-{round_number}", times)
        except Exception:  # counted; results of a run with failures are not used
            times.failures += 1


def _run_request(client: HTTPClient, load: StreamLoad, name: str, times: StreamTimes) -> None:
    document = {
        "model": load.model,
        "messages": [{"role": "user", "content": name}],
        "max_tokens": load.tokens,
        "stream": True,
    }
    headers = {
        "Authorization": f"Bearer {load.api_key}",
        "Content-Type": "application/json",
        ATTEMPT_HEADER: name,
    }
    sent_at = time.monotonic()
    body = json.dumps(document).encode("utf-8")
    response = client.request("POST", "/v1/chat/completions", body=body, headers=headers)
    if response.status_code != 200:
        response.read()
        raise AttemptError(f"status {response.status_code} instead of 200", Verdict.NOT_RUN)
    previous = sent_at
    first = True
    while event := response.readline(b"\n\n"):
        now = time.monotonic()
        histogram = times.first_token if first else times.between_tokens
        histogram.record_value(max(1, int((now - previous) * 1e6)))
        first = False
        previous = now
        times.chunks += 1
        if event.startswith(b"data: [DONE]"):
            response.read()
            return
    raise AttemptError("stream ended before data: [DONE]", Verdict.MAY_HAVE_RUN)
