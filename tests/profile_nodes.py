"""Profiles the processor time of nodes by component: `python -m tests.profile_nodes`.

Nodes, engines and a store run in one process over loopback. `ITIMER_PROF` takes a sample per
millisecond of processor time; samples in engines and clients are excluded. A sample counts for the
first of `PARTS` with a frame on its stack, so the work of a request is not attributed to reports.
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
"""Seconds until all nodes have received each other's reports."""
BODY = b"b" * 400
EVENT_PAUSE = 0.02
FEW_EVENTS, MANY_EVENTS = 5, 65
"""Events per response in the two loads whose costs are compared."""
START_RUNS = 5
PARTS = (
    ("load reports received", "load_reports.py", "receive"),
    ("zone digests received", "zone_digests.py", "receive"),
    ("load reports made", "load_reports.py", "run"),
    ("engine watch", "engine_watch.py", "_report_to_watchers"),
    ("log lines", "events.py", "emit"),
    ("long polls", "topic_follower.py", "run"),
    ("item runner", "item_runner.py", "run"),
    ("requests", "pywsgi.py", "handle"),
)
"""Components: name, and the file and function that identify it on a stack."""
OTHER_PART = "event loop and other"


class Samples:
    """Counts samples of nodes by component while it is used as a context manager."""

    def __init__(self):
        self.parts = collections.Counter()
        self.excluded = 0
        self._started = 0.0
        self.seconds = 0.0
        """Processor time that nodes used while sampled."""

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
    """Poisson requests at a given rate, each to a random node."""

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
    """Start nodes and engines, distributed over zones, and wait until the nodes are ready."""
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
    """Print the processor time of idle nodes, of a request, and of an event of its response."""
    fleet = start_fleet(nodes, engines, zones)
    try:
        gevent.sleep(SETTLE_SECONDS)
        with Samples() as idle:
            gevent.sleep(seconds)
        print(f"idle: {100 * idle.seconds / seconds / nodes:.2f}% of a core per node")
        print(f"  {idle.shares()}")
        costs = {}
        for events in (FEW_EVENTS, MANY_EVENTS):
            for engine in fleet.engines:
                engine.default_behaviour.events, engine.default_behaviour.pause = (
                    events,
                    EVENT_PAUSE,
                )
            traffic = Traffic(fleet)
            with Samples() as busy:
                traffic.send(seconds, rate)
            idle_seconds = idle.seconds
            costs[events] = (busy.seconds - idle_seconds) / traffic.sent
            each = f"{1e6 * costs[events]:.0f} us per request of {events} events"
            print(f"{traffic.sent} requests, {each}, without the idle cost")
            print(f"  {busy.shares()}")
        event = (costs[MANY_EVENTS] - costs[FEW_EVENTS]) / (MANY_EVENTS - FEW_EVENTS)
        print(f"per event of a response: {1e6 * event:.0f} us")
        print(
            f"per request without its events: "
            f"{1e6 * (costs[FEW_EVENTS] - FEW_EVENTS * event):.0f} us"
        )
    finally:
        fleet.stop()


def profile_start():
    """Print the processor time of a start, up to the end of all imports."""
    used = []
    for _ in range(START_RUNS):
        before = resource.getrusage(resource.RUSAGE_CHILDREN)
        subprocess.run([sys.executable, "-c", "import postvalve.node_process"], check=True)
        after = resource.getrusage(resource.RUSAGE_CHILDREN)
        used.append(after.ru_utime + after.ru_stime - before.ru_utime - before.ru_stime)
    print(f"start: {1e3 * min(used):.0f} ms, minimum of {START_RUNS}")


def main():
    parser = argparse.ArgumentParser(prog="python -m tests.profile_nodes", description=__doc__)
    parser.add_argument("--nodes", type=int, default=20, help="nodes in all zones together")
    parser.add_argument("--engines", type=int, default=24, help="engines in all zones together")
    parser.add_argument("--zones", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=10.0, help="duration of each measurement")
    parser.add_argument(
        "--rate", type=float, default=76.0, help="requests per second to all nodes together"
    )
    args = parser.parse_args()
    if min(args.nodes, args.engines, args.zones) < 1 or min(args.seconds, args.rate) <= 0:
        parser.error("all numbers must be positive")
    profile(args.nodes, args.engines, args.zones, args.seconds, args.rate)
    profile_start()


if __name__ == "__main__":
    main()
