"""What a proof costs: processor time, calls to the store and waiting, by the number of callers.

`python -m tests.bench_proofs` prints a table. Callers wait for one barrier; the store answers after
2 ms. The second part is a fleet of 380 barriers of which each has its share of 5,000 streams that
break off within a tenth of a second.
"""

from __future__ import annotations

import statistics
import time
from time import monotonic

import gevent

from postvalve.clock import SystemClock
from postvalve.gateway.knowledge.read_barrier import INTERVAL_PER_NODE, ReadBarrier

STORE_LATENCY = 0.002
"""Seconds that a read of the store takes."""
CALLERS = (1, 100, 2_000)
FLEET, BROKEN_STREAMS, BROKEN_WITHIN = 380, 5_000, 0.1
TIMEOUT = 5.0


class CountedStore:
    """Counts the reads of one topic."""

    def __init__(self) -> None:
        self.started: list[float] = []

    def read(self) -> None:
        """Answer one read."""
        self.started.append(monotonic())
        gevent.sleep(STORE_LATENCY)

    def greatest_rate(self) -> int:
        """Return the most reads that began within one second."""
        first, most = 0, 0
        for number, at in enumerate(self.started):
            while at - self.started[first] > 1.0:
                first += 1
            most = max(most, number - first + 1)
        return most


def wait_all(barriers: list[ReadBarrier], callers: int, within: float) -> list[float]:
    """Let callers ask within some seconds, spread over barriers; return how long each waited."""

    def ask(number: int) -> float:
        gevent.sleep(within * number / callers)
        asked_at = monotonic()
        if not barriers[number % len(barriers)].wait(TIMEOUT):
            raise AssertionError("no proof")
        return monotonic() - asked_at

    asked = [gevent.spawn(ask, number) for number in range(callers)]
    gevent.joinall(asked, raise_error=True)
    return [one.value for one in asked]


def measure(nodes: int, barriers: int, callers: int, within: float) -> None:
    """Print one row."""
    store = CountedStore()
    waiting = [ReadBarrier(store.read, SystemClock(), lambda: nodes) for _ in range(barriers)]
    before = time.process_time()
    waits = sorted(wait_all(waiting, callers, within))
    micros = (time.process_time() - before) / callers * 1e6
    print(
        f"{nodes:5} nodes {barriers:4} asked {callers:5} callers: {micros:6.1f} us each, "
        f"{len(store.started):5} reads, {store.greatest_rate():5} in a second "
        f"(bound {1 / INTERVAL_PER_NODE:.0f}), waited {statistics.median(waits) * 1e3:.1f} ms, "
        f"at most {waits[-1] * 1e3:.1f} ms"
    )


def main() -> None:
    """Measure one barrier with many callers, and the fleet."""
    for nodes in (13, FLEET):
        for callers in CALLERS:
            measure(nodes, 1, callers, 0.0)
        measure(nodes, 1, 2_000, 1.0)
    measure(FLEET, FLEET, BROKEN_STREAMS, BROKEN_WITHIN)


if __name__ == "__main__":
    main()
