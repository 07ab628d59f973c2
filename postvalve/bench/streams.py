"""A load of many streams at once, and the times at which their tokens come."""

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
"""Seconds of silence until a stream counts as failed."""


def new_histogram() -> HdrHistogram:
    """A histogram of microseconds."""
    return HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class StreamLoad:
    """What to send."""

    url: str
    api_key: str
    model: str
    streams: int
    requests_per_stream: int
    tokens: int
    name: str = "load"


@dataclass(slots=True)
class StreamTimes:
    """What came of it."""

    chunks: int = 0
    failures: int = 0
    seconds: float = 0.0
    first_token: HdrHistogram = field(default_factory=new_histogram)
    between_tokens: HdrHistogram = field(default_factory=new_histogram)


def run_streams(load: StreamLoad) -> StreamTimes:
    """Run all streams at once, each its requests one after the other."""
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
    # A stagger, so that the streams don't all start in one step of the engine.
    gevent.sleep(number * 0.003)
    for round_number in range(load.requests_per_stream):
        try:
            _run_request(client, load, f"{load.name}-{number}-{round_number}", times)
        except Exception:  # counted; the figures of a run with failures are not used
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
        raise AttemptError(f"answered {response.status_code}", Verdict.NOT_RUN)
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
    raise AttemptError("the stream was cut", Verdict.MAY_HAVE_RUN)
