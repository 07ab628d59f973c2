"""Engines of several speeds in heaps of requests, under virtual time, placed by several nodes.

Beside each bound stands what the choice gives that takes all engines of a service for alike.
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
REPORTS = 0.1
"""Seconds between two reports of a node."""
SPEEDS = (0.55, 1.2, 1.2, 1.2) * 2
EVEN_SPEEDS = (sum(SPEEDS) / len(SPEEDS),) * len(SPEEDS)
CAPACITY = SLOTS * sum(SPEEDS) / (EVENTS * STEP)
"""Requests a second that all engines bear."""
LOW, HIGH = (3.4, 0.3), (2.4, 0.95)
"""Seconds of each part of the rhythm, and its share of the capacity."""
WARM_UP = 12.0
"""Seconds until engines have shown what they are."""
SECONDS = 50.0
SEEDS = (1, 2, 3)
NOISE = EngineNoise(0.15, 2.5, 0.6)
AIM = 0.3
BOUND = 1.15
"""By how much the first event's p99 may be worse than at even engines of the same sum."""


@dataclass
class Load:
    """One run."""

    speeds: tuple
    noise: EngineNoise = EngineNoise()
    tells: bool = True
    """Whether engines tell their pace."""
    learns: bool = True
    seed: int = 1


class Session:
    """Nodes and engines."""

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
            gevent.sleep(REPORTS)
            use, pace = fleet.use.report(), fleet.paces.pack_report(NODES - 1)
            for other in self.nodes:
                if other is not fleet:
                    other.use.observe(name, use)
                    other.paces.receive(name, pace)
            fleet.paces.update()

    def request(self, fleet):
        started = self.loop.now()
        terms = RequestTerms("r", None, None, "", 0, 100, EVENTS)
        placement = fleet.place_online(SERVICE, terms, (), AIM)
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
        if self.load.tells:
            load = engine.model.load()
            told = EngineLoad(now, load.running, load.waiting, SLOTS, engine.pace())
            fleet.paces.record_load(placement, told)
        fleet.paces.record_first_event(placement, seconds)
        if placement.found_slot:
            fleet.pace(SERVICE).observe_first_event(placement.to_read, seconds)


def play(speeds, noise, seed=1, **changes):
    return run_virtual(lambda loop: Session(loop, Load(speeds, noise, seed=seed, **changes)).run())


def p99(speeds, noise, **changes):
    """Of the first events of all seeds together."""
    firsts = sorted(one for seed in SEEDS for one in play(speeds, noise, seed, **changes).firsts)
    return firsts[int(len(firsts) * 0.99)]


class UnevenEnginesTest(unittest.TestCase):
    def check(self, noise):
        even, uneven = p99(EVEN_SPEEDS, noise), p99(SPEEDS, noise)
        self.assertLessEqual(uneven, BOUND * even)

    def test_first_events_come_as_at_even_engines_of_the_same_sum(self):
        self.check(EngineNoise())

    def test_likewise_where_engines_turn_slow_for_moments(self):
        self.check(NOISE)

    def test_each_engine_gets_what_it_can_bear(self):
        """No herd at the fast ones, and the slow ones are not left without work."""
        placed = play(SPEEDS, EngineNoise()).placed
        share = [count / sum(placed.values()) for count in placed.values()]
        for speed, one in zip(SPEEDS, share, strict=True):
            fair = speed / sum(SPEEDS)
            self.assertTrue(fair * 0.6 <= one <= fair * 1.3, (speed, one, fair))

    def test_engines_that_tell_no_pace_are_taken_for_alike(self):
        """What attempts show in heaps makes equal engines look as if they differed."""
        session = play(EVEN_SPEEDS, NOISE, tells=False)
        for fleet in session.nodes:
            self.assertFalse(fleet.paces.reports_pace(SERVICE))
            self.assertEqual(fleet.paces.pack_report(NODES - 1), b"")
            self.assertFalse([one for one in fleet._events.written if "DIFFERS" in one[0].name])


if __name__ == "__main__":
    unittest.main()
