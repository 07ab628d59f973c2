"""Soak with engines that start again in place: under their ids, with another version.

In each round two engines of a service are replaced so, one after the other, while streams begin
there. They crash soon after, and half of the broken streams come to a node that is out of step.
Nodes may not have read the entries of the engines' next lives when these answer.
"""

import random
import time
from collections import Counter

import gevent

from tests.soak.faults import KINDS as FAULT_KINDS
from tests.soak.faults import Fault
from tests.soak.fleet import ENGINES, NODES, stream_path
from tests.soak.joining import JoiningEngineProcess, accepts
from tests.soak.processes import Process
from tests.soak.proxy import Proxy
from tests.soak.versions import DEADLINE, VERSIONS, VersionSoak

KINDS = ("", "", "store_cut", "node_cut", "node_late", "peers_cut", "node_halt")
"""Kinds of faults of a node in a round; none in some."""
SERVICE = "restarting"
FIRST_ENGINE = 100
IN_PLACE_ENGINES = 6
REPLACED = 2
"""Engines that are replaced in a round."""
ROUND = 6.0
"""Seconds of a round."""
START_TIMEOUT = 20.0
"""Seconds within which the next lives of engines must be able to serve."""
LISTED_BEFORE = (0.0, 0.05)
"""Bounds of the seconds between the listing of an engine's next life and its first answer."""
BETWEEN = (0.05, 0.25)
"""Bounds of the seconds between the replacements of a round. Nodes pause between two reads."""
BURST, BURST_RATE = 0.5, 120.0
"""Seconds in which many streams begin, from the last replacement on, and how many in a second."""
RATE = 10.0
"""Streams per second at other times."""
CRASH_AFTER = (0.4, 0.9)
"""Bounds of the seconds between the last replacement and the crash of the replaced engines."""
BACK_AFTER = (0.5, 1.5)
"""Bounds of the seconds until they are back, with the first version."""
BROKEN_SHARE = 0.3
"""Share of the streams that run then which break off as well."""


class InPlaceEngine(JoiningEngineProcess):
    """An engine process whose next lives have its id and the address of its proxy."""

    def start(self, *, keeps_id=True):
        """Start the next life, which gets no connections before `serve`."""
        self.life_number += 1
        self.engine_id = f"p{self.number}"
        self.port = self.next_port()
        if self.life_number == 1:
            self.link = Proxy(self.port)
        name = f"e{self.number}-{self.life_number}"
        arguments = [self.module, self.engine_id, str(self.port), self.version]
        self.process = Process(name, self.folder, arguments)
        self.process.start()
        self.born = int(time.time() * 1000)

    def serve(self):
        """Let connections reach the present life."""
        self.link.target_port = self.port


class RestartingSoak(VersionSoak):
    """One run in rounds, in each of which engines start again in place."""

    def __init__(
        self, seed, seconds, kinds, folder, print_line=print, *, nodes=NODES, engines=ENGINES
    ):
        # Faults are injected by the rounds.
        sizes = {"nodes": nodes, "engines": engines}
        super().__init__(seed, seconds, [], folder, print_line, **sizes, has_links=True)
        self._kinds = list(kinds)
        self._plans = random.Random(f"{seed} restarting")
        self.fleet.versions = ["v1"] * engines
        self.fleet.services = [SERVICE]
        self._in_place = []
        self._rate = RATE
        self.rounds = []
        """Name of the fault's kind in each round."""

    def run_alongside(self):
        """Run rounds while there is time for another one."""
        deadline = time.monotonic() + self.seconds
        for number in range(IN_PLACE_ENGINES):
            engine = InPlaceEngine(FIRST_ENGINE + number, self.folder, VERSIONS[0], SERVICE)
            self._in_place.append(engine)
            self.fleet.other_engines.append(engine)
        self._wait_until_accepting(self._in_place)
        for engine in self._in_place:
            self.fleet.list_engine(engine)
        sending = gevent.spawn(self._send_round_streams)
        try:
            while time.monotonic() + ROUND <= deadline:
                self._run_round()
        finally:
            sending.kill()
            gevent.sleep(DEADLINE)
            for engine in self._in_place:
                self.fleet.unlist_engine(engine.engine_id)
                engine.process.kill()
                engine.link.stop()
                self.fleet.other_engines.remove(engine)

    def _run_round(self):
        rng = self._plans
        replaced = rng.sample(self._in_place, REPLACED)
        kind = rng.choice(self._kinds)
        self.rounds.append(kind or "none")
        # The next lives are ready to serve, so that they may do so once they are listed.
        former = [(engine.process, engine.port) for engine in replaced]
        for engine in replaced:
            engine.version = VERSIONS[1]
            engine.start()
        self._wait_until_accepting(replaced)
        fault = None
        if kind:
            fault = Fault(0.0, kind, rng.uniform(*FAULT_KINDS[kind]), rng.random())
            gevent.spawn_later(rng.uniform(0.0, 0.6), self.fleet.inject, fault)
        gevent.sleep(0.5)
        for engine, (process, _) in zip(replaced, former, strict=True):
            self._replace(engine, process, rng.uniform(*LISTED_BEFORE))
            if engine is not replaced[-1]:
                gevent.sleep(rng.uniform(*BETWEEN))
        self._rate = BURST_RATE
        gevent.spawn_later(BURST, self._end_burst)
        gevent.sleep(rng.uniform(*CRASH_AFTER))
        for engine in replaced:
            engine.process.kill()
            engine.link.reset()
        node = self.fleet.node_of(fault) if fault is not None else rng.choice(self.fleet.nodes)
        running = [one for one in self.streams if one.connection is not None]
        self._break_streams(node, rng.sample(running, round(len(running) * BROKEN_SHARE)))
        gevent.sleep(rng.uniform(*BACK_AFTER))
        for engine in replaced:
            engine.version = VERSIONS[0]
            engine.start()
            self.fleet.list_engine(engine)
            engine.serve()
        self._wait_until_accepting(replaced)
        gevent.sleep(1.5)

    def _replace(self, engine, former, pause):
        """End an engine's former life, list the next one, and let it serve after a pause."""
        former.kill()
        engine.link.reset()
        engine.born = int(time.time() * 1000)
        self.fleet.list_engine(engine)
        gevent.sleep(pause)
        engine.serve()

    def _wait_until_accepting(self, engines):
        deadline = time.monotonic() + START_TIMEOUT
        while not all(accepts(engine.port) for engine in engines):
            if time.monotonic() > deadline:
                raise TimeoutError(f"engines did not start within {START_TIMEOUT:.0f} s")
            gevent.sleep(0.05)

    def _end_burst(self):
        self._rate = RATE

    def _send_streams(self):
        """Send none to the usual service."""

    def _send_round_streams(self):
        while True:
            gevent.spawn(self._run_stream, stream_path(SERVICE) + "v")
            gevent.sleep(self._random.expovariate(self._rate))

    def _two_served(self, version, at):
        """Crashes of engines break the streams here, so shares are reported and not judged."""
        return False

    def report(self):
        """Build the report of the run, with what became of the streams first."""
        counts = Counter()
        for stream in self.streams:
            broke = sum(bool(one.events) or one.status == 200 for one in stream.attempts) > 1
            counts["streams"] += 1
            counts["whole at once"] += stream.attempts[0].whole
            counts["went on at another attempt"] += broke
            counts["mixed"] += len(stream.versions) > 1
        rounds = dict(Counter(self.rounds))
        return f"rounds {rounds}; {dict(counts)}\n{super().report()}"
