"""Where the processor time of nodes goes: `python -m tests.profile_nodes`.

Nodes, engines and a store run in one process over loopback. A sample is taken each millisecond of
processor time, by `ITIMER_PROF`; those that lie in engines and clients don't count. What a sample
belongs to is told by the first of `PARTS` on its stack, so what a request does is not counted as
a report's.
"""

import argparse
import collections
import json
import random
import resource
import signal
import subprocess
import sys
import time

import gevent

from postvalve.gateway.interfaces import KeyedRecord
from postvalve.platform.fleet import DIRECTORY_TOPIC
from tests.gateway_support import STREAM_PATH, GatewayFleet
from tests.stand_in_engine import StandInEngine
from tests.waiting import wait_until

SAMPLE_INTERVAL = 0.001
"""Seconds of processor time between samples."""
SETTLE_SECONDS = 4.0
"""Seconds until nodes know each other."""
BODY = b"b" * 400
EVENT_PAUSE = 0.02
FEW_EVENTS, MANY_EVENTS = 5, 65
"""Events of the answers whose costs are compared."""
START_RUNS = 5
PARTS = (
    ("reports taken in", "load_reports.py", "receive"),
    ("digests taken in", "zone_digests.py", "receive"),
    ("reports made", "load_reports.py", "run"),
    ("words to watchers", "engine_watch.py", "_tell"),
    ("log lines", "events.py", "emit"),
    ("waiting reads", "topic_follower.py", "run"),
    ("looks of items", "item_runner.py", "run"),
    ("requests", "pywsgi.py", "handle"),
)
"""Name, file and function that stands for each part."""
OTHER_PART = "loop and the rest"


class Samples:
    """What nodes spend processor time on."""

    def __init__(self):
        self.parts = collections.Counter()
        self.excluded = 0
        self._started = 0.0
        self.seconds = 0.0
        """Processor time of nodes while it was watched."""

    def __enter__(self):
        signal.signal(signal.SIGPROF, self._record_sample)
        signal.setitimer(signal.ITIMER_PROF, SAMPLE_INTERVAL, SAMPLE_INTERVAL)
        self._started = time.process_time()
        return self

    def __exit__(self, *_):
        signal.setitimer(signal.ITIMER_PROF, 0.0)
        own = sum(self.parts.values())
        used = time.process_time() - self._started
        self.seconds = used * own / max(1, own + self.excluded)

    def _record_sample(self, _number, frame):
        stack = []
        while frame is not None:
            stack.append((frame.f_code.co_filename, frame.f_code.co_name))
            frame = frame.f_back
        if any("/tests/" in name and not name.endswith("/profile_nodes.py") for name, _ in stack):
            self.excluded += 1
            return
        for part, file, function in PARTS:
            if any(name.endswith(file) and called == function for name, called in stack):
                self.parts[part] += 1
                return
        self.parts[OTHER_PART] += 1

    def shares(self):
        total = max(1, sum(self.parts.values()))
        return ", ".join(f"{part} {100 * n / total:.0f}%" for part, n in self.parts.most_common())


class Traffic:
    """Requests at a rate, each at any node."""

    def __init__(self, fleet, seed=1):
        self._fleet = fleet
        self._random = random.Random(seed)
        self.sent = 0

    def send(self, seconds, rate):
        deadline = time.monotonic() + seconds
        pending = []
        while time.monotonic() < deadline:
            pending.append(gevent.spawn(self._send_one))
            gevent.sleep(self._random.expovariate(rate))
        gevent.joinall(pending)

    def _send_one(self):
        self.sent += 1
        node = self._random.choice(sorted(self._fleet.nodes))
        self._fleet.request(node, STREAM_PATH + "p", body=BODY, request_id=f"p{self.sent}")


def start_fleet(nodes, engines, zones):
    """Nodes and engines, spread over zones."""
    fleet = GatewayFleet(nodes=0, engines=0)
    names = [f"z{number}" for number in range(zones)]
    for number in range(engines):
        engine = StandInEngine(f"e{number}")
        fleet.engines.append(engine)
        entry = engine.entry(zone=names[number % zones])
        record = KeyedRecord(engine.engine_id, json.dumps(entry).encode())
        fleet.topics.append(DIRECTORY_TOPIC, 0, [record])
    for number in range(nodes):
        fleet.start_node(f"n{number}", names[number % zones])
    wait_until(lambda: all(node.ready for node in fleet.nodes.values()))
    return fleet


def profile(nodes, engines, zones, seconds, rate):
    """Print what nodes spend at rest, on a request and on an event of it."""
    fleet = start_fleet(nodes, engines, zones)
    try:
        gevent.sleep(SETTLE_SECONDS)
        with Samples() as rest:
            gevent.sleep(seconds)
        print(f"at rest: {100 * rest.seconds / seconds / nodes:.2f}% of a core a node")
        print(f"  {rest.shares()}")
        costs = {}
        for events in (FEW_EVENTS, MANY_EVENTS):
            for engine in fleet.engines:
                engine.usual.events, engine.usual.pause = events, EVENT_PAUSE
            traffic = Traffic(fleet)
            with Samples() as busy:
                traffic.send(seconds, rate)
            idle = rest.seconds
            costs[events] = (busy.seconds - idle) / traffic.sent
            each = f"{1e6 * costs[events]:.0f} us a request of {events} events"
            print(f"{traffic.sent} requests: {each}, without what rest costs")
            print(f"  {busy.shares()}")
        event = (costs[MANY_EVENTS] - costs[FEW_EVENTS]) / (MANY_EVENTS - FEW_EVENTS)
        print(f"an event of an answer: {1e6 * event:.0f} us")
        print(
            f"a request without its events: {1e6 * (costs[FEW_EVENTS] - FEW_EVENTS * event):.0f} us"
        )
    finally:
        fleet.stop()


def profile_start():
    """Print what a start takes until everything is imported."""
    used = []
    for _ in range(START_RUNS):
        before = resource.getrusage(resource.RUSAGE_CHILDREN)
        subprocess.run([sys.executable, "-c", "import postvalve.node_process"], check=True)
        after = resource.getrusage(resource.RUSAGE_CHILDREN)
        used.append(after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime)
    print(f"a start: {1e3 * min(used):.0f} ms, the least of {START_RUNS}")


def main():
    parser = argparse.ArgumentParser(prog="python -m tests.profile_nodes", description=__doc__)
    parser.add_argument("--nodes", type=int, default=20, help="in all zones")
    parser.add_argument("--engines", type=int, default=24, help="likewise")
    parser.add_argument("--zones", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10.0, help="of each measurement")
    parser.add_argument("--rate", type=float, default=76.0, help="requests a second, all nodes")
    args = parser.parse_args()
    if min(args.nodes, args.engines, args.zones) < 1 or min(args.seconds, args.rate) <= 0:
        parser.error("all numbers must be positive")
    profile(args.nodes, args.engines, args.zones, args.seconds, args.rate)
    profile_start()


if __name__ == "__main__":
    main()
