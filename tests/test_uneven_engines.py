"""Engines of different speed under bursts of requests, placed by several nodes in virtual time.

Bounds are relative to engines of equal speed with the same total. `Load.learns` turns off what the
choice learns of engines, for comparison with one that treats all engines of a service alike.
"""

import itertools
import random
import unittest
from dataclasses import dataclass

import gevent

from postvalve.core.membership.engine_life import EngineLife
from postvalve.core.routing.attempt_times import AttemptTimes
from postvalve.core.routing.engine_load import EngineLoad
from postvalve.emulator.engine_model import EngineNoise, EngineParameters
from postvalve.emulator.virtual_engine import VirtualEngine
from postvalve.emulator.virtual_network import Location, VirtualNetwork
from postvalve.emulator.virtual_time import VirtualClock, run_virtual
from postvalve.gateway.fleet.engine_fleet import EngineFleet
from postvalve.gateway.interfaces import EngineEntry, EngineState, RequestTerms
from postvalve.services.engine import EngineAttempt
from tests.gateway_support import RecordingEventLog

SERVICE = "s"
SLOTS = 8
EVENTS = 18
STEP = 0.04
"""Seconds between events at an engine of speed 1."""
NODES = 5
REPORT_INTERVAL = 0.1
"""Seconds between two reports of a node."""
SPEEDS = (0.55, 1.2, 1.2, 1.2) * 2
UNIFORM_SPEEDS = (sum(SPEEDS) / len(SPEEDS),) * len(SPEEDS)
CAPACITY = SLOTS * sum(SPEEDS) / (EVENTS * STEP)
"""Requests per second that all engines together can serve."""
LOW, HIGH = (3.4, 0.3), (2.4, 0.95)
"""Seconds of the low and the high phase, and the load as a fraction of the capacity."""
WARM_UP = 12.0
"""Seconds until there are enough samples of each engine."""
SECONDS = 50.0
SEEDS = (1, 2, 3)
NOISE = EngineNoise(0.15, 2.5, 0.6)
TARGET_LATENCY = 0.3
BOUND = 1.15
"""Upper bound of the first event's p99, relative to uniform engines of the same total speed."""


@dataclass
class Load:
    """Parameters of one run."""

    speeds: tuple
    noise: EngineNoise = EngineNoise()
    report_pace: bool = True
    """Whether engines report their pace."""
    learns: bool = True
    seed: int = 1


class Session:
    """Nodes and engines of one run."""

    def __init__(self, loop, load):
        self.loop, self.load = loop, load
        self.draw = random.Random(load.seed)
        network = VirtualNetwork(loop)
        self.place = Location("client", "z")
        self.engines = {
            EngineLife.of(f"e{number}", 1): VirtualEngine(
                network,
                Location(f"e{number}", "z"),
                {"m": "1"},
                EngineParameters(SLOTS, STEP, 0.0, 0.0, base_pace=1 / speed, noise=load.noise),
            )
            for number, speed in enumerate(load.speeds)
        }
        self.nodes = [self.node(number) for number in range(NODES)]
        self.numbers = itertools.count()
        self.firsts = []
        self.placed = dict.fromkeys(self.engines, 0)

    def node(self, number):
        clock = VirtualClock(self.loop)
        fleet = EngineFleet("z", clock, RecordingEventLog(), None, random.Random(number))
        fleet.update(
            EngineEntry(life, SERVICE, f"{life}:1", "z", SLOTS, EngineState.READY)
            for life in self.engines
        )
        if not self.load.learns:
            fleet.paces.reports_pace = lambda service: False
        return fleet

    def run(self):
        for number, fleet in enumerate(self.nodes):
            gevent.spawn(self.report, f"n{number}", fleet)
        while (now := self.loop.now()) < SECONDS:
            high = now % (LOW[0] + HIGH[0]) >= LOW[0]
            rate = CAPACITY * (HIGH[1] if high else LOW[1])
            gevent.sleep(self.draw.expovariate(rate))
            gevent.spawn(self.request, self.draw.choice(self.nodes))
        gevent.sleep(3.0)
        return self

    def report(self, name, fleet):
        while True:
            gevent.sleep(REPORT_INTERVAL)
            use, pace = fleet.use.report(), fleet.paces.pack_report(NODES - 1)
            for other in self.nodes:
                if other is not fleet:
                    other.use.observe(name, use)
                    other.paces.receive(name, pace)
            fleet.paces.update()

    def request(self, fleet):
        started = self.loop.now()
        terms = RequestTerms("r", None, None, "", 0, 100, EVENTS)
        placement = fleet.place_online(SERVICE, terms, (), TARGET_LATENCY)
        engine = self.engines[placement.engine.life]
        times = AttemptTimes(started)
        body = b'{"model":"m","messages":[{"role":"user","content":"x"}],"max_tokens":%d}' % EVENTS
        number = str(next(self.numbers))
        stream = engine.submit(EngineAttempt(number, number, body, 0, ""), self.place)
        for _ in itertools.islice(stream.events(), EVENTS):
            now = self.loop.now()
            times.requested_at = now - 1.0
            times.record_event(now)
            if times.events == 1:
                self.record_first(fleet, placement, engine, now - started)
        pace = fleet.pace(SERVICE)
        pace.observe_slot_time(self.loop.now() - started)
        fleet.paces.record_end(placement, times)
        fleet.release(placement)

    def record_first(self, fleet, placement, engine, seconds):
        now = self.loop.now()
        if now > WARM_UP:
            self.firsts.append(seconds)
            self.placed[placement.engine.life] += 1
        fleet.record_prompt_read(placement)
        if self.load.report_pace:
            load = engine.model.load()
            reported = EngineLoad(now, load.running, load.waiting, SLOTS, engine.pace())
            fleet.paces.record_load(placement, reported)
        fleet.paces.record_first_event(placement, seconds)
        if placement.found_slot:
            fleet.pace(SERVICE).observe_first_event(placement.to_read, seconds)


def run_session(speeds, noise, seed=1, **changes):
    return run_virtual(lambda loop: Session(loop, Load(speeds, noise, seed=seed, **changes)).run())


def p99(speeds, noise, **changes):
    """Return the p99 of the first events of all seeds together."""
    firsts = sorted(
        first for seed in SEEDS for first in run_session(speeds, noise, seed, **changes).firsts
    )
    return firsts[int(len(firsts) * 0.99)]


class UnevenEnginesTest(unittest.TestCase):
    def check(self, noise):
        even, uneven = p99(UNIFORM_SPEEDS, noise), p99(SPEEDS, noise)
        self.assertLessEqual(uneven, BOUND * even)

    def test_first_events_as_fast_as_at_uniform_engines(self):
        self.check(EngineNoise())

    def test_first_events_with_transient_slowness(self):
        self.check(NOISE)

    def test_load_follows_engine_speed(self):
        """Requests must not crowd at the fast engines, and the slow ones must get some too."""
        placed = run_session(SPEEDS, EngineNoise()).placed
        share = [count / sum(placed.values()) for count in placed.values()]
        for speed, fraction in zip(SPEEDS, share, strict=True):
            fair = speed / sum(SPEEDS)
            self.assertTrue(fair * 0.6 <= fraction <= fair * 1.3, (speed, fraction, fair))

    def test_engines_without_reported_pace_count_as_uniform(self):
        """In bursts, the samples of attempts make uniform engines look as if they differed."""
        session = run_session(UNIFORM_SPEEDS, NOISE, report_pace=False)
        for fleet in session.nodes:
            self.assertFalse(fleet.paces.reports_pace(SERVICE))
            self.assertEqual(fleet.paces.pack_report(NODES - 1), b"")
            self.assertFalse(
                [entry for entry in fleet._events.written if "DIFFERS" in entry[0].name]
            )


if __name__ == "__main__":
    unittest.main()
