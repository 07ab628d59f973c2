"""Streams that begin at engines which start again under their id with another version.

The node that begins a stream may not have read the entry of the engine's next life. What it
believes then must not decide where the stream goes on, here or at nodes that it tells or that ask.
"""

import random
import unittest
from collections import Counter
from dataclasses import replace
from time import monotonic

import gevent

from postvalve.core.membership.engine_life import EngineLife
from postvalve.core.membership.known_facts import EngineVersions, VersionEvidence
from postvalve.core.routing.stream_origins import version_hash
from postvalve.events import Event
from postvalve.platform.fleet import DIRECTORY_TOPIC
from tests.gateway_support import STREAM_PATH
from tests.stand_in_engine import Behaviour, StandInEngine
from tests.test_engine_versions import TakenUpStreamCase
from tests.test_stream_versions import LIFETIME, NAMES, RECENT, SERVICE, Model, Node
from tests.waiting import WAIT_TIMEOUT, wait_until

STEPS = {
    "begin": 30, "take_up": 35, "resume": 10, "kill": 6, "start": 8, "cut": 3, "away": 5, "heal": 6,
    "versions": 3, "restart": 12, "advance": 4,
}  # fmt: skip
"""Steps of the model, and how often each is taken."""


class ProvingNode(Node):
    """A node that knows up to when its copy of the directory holds."""

    def __init__(self, model, name, zone):
        super().__init__(model, name, zone)
        self.versions = EngineVersions()
        self.fresh_at = float("-inf")
        self.versions.read_up_to = lambda: self.fresh_at

    def sync(self):
        is_snapshot = self.offset is None
        changes = [self.model.listed] if is_snapshot else self.model.directory[self.offset :]
        for entries in changes:
            for one in entries:
                self.versions.observe(
                    one.life, one.service, one.version, self.model.now, is_snapshot=is_snapshot
                )
        super().sync()
        self.fresh_at = self.model.now

    def step(self):
        super().step()
        if self.streams._untold:
            self.streams.prove_untold()
            self.streams._send()


class RestartingModel(Model):
    """Engines keep their ids and addresses when they start again with another version."""

    def start(self, name):
        number = int(name[1:])
        node = self.nodes[name] = ProvingNode(self, name, f"z{number % self.zones}")
        if name in self.cut or name in self.away:
            node.age = 60.0
        else:
            node.sync()

    def restart(self, choice, version, behind):
        if not self.listed:
            return
        former = self.listed[choice % len(self.listed)]
        life = EngineLife.of(former.engine_id, former.life.born + 1)
        newer = replace(former, life=life, version=version)
        self.listed = [newer if one is former else one for one in self.listed]
        self.directory.append(self.listed)
        self.recorded.add(version)
        self.sync(behind)

    def begin(self, name, choice):
        """Begin a stream at the engine that now has the id and address of an entry of a node."""
        node = self.nodes.get(name)
        if node is None or not node.entries:
            return
        entry = node.entries[choice % len(node.entries)]
        serving = {one.engine_id: one.version for one in self.listed}.get(entry.engine_id)
        if serving is None:
            return
        request_id = f"r{next(self.numbers)}"
        evidence = VersionEvidence(node.versions.of(entry.engine_id, entry.version), self.now)
        node.streams.record("", SERVICE, request_id, entry.version, LIFETIME, evidence)
        node.step()
        self.streams.append((request_id, serving, self.now + LIFETIME))
        self.open.append((name, node, evidence, entry.version, serving))

    def resume(self, generator):
        """Let an answer that broke off go on, as its node believes; return both versions."""
        name, node, evidence, version, serving = generator.choice(self.open[-RECENT:])
        if self.nodes.get(name) is not node:
            return None
        if not evidence.is_proven:
            node.read_directory()
        return (version, serving) if evidence.is_proven else None


class NeverTwoVersionsTest(unittest.TestCase):
    def test_a_stream_goes_on_at_the_version_that_began_it_or_is_refused(self):
        outcomes = Counter()
        for seed in range(800):
            with self.subTest(seed=seed):
                self.walk(random.Random(seed), outcomes)
        self.assertGreater(outcomes["continued"], 1000)
        self.assertGreater(outcomes["resumed"], 300)
        self.assertGreater(outcomes["miscounted"], 300)

    def walk(self, generator, outcomes):
        model = RestartingModel()
        model.open = []
        for _ in range(60):
            (kind,) = generator.choices(list(STEPS), STEPS.values())
            name = generator.choice(NAMES)
            model.now += 0.001
            if kind == "begin":
                model.begin(name, generator.randrange(4))
            elif kind == "kill":
                model.nodes.pop(name, None)
            elif kind == "start" and name not in model.nodes:
                model.start(name)
            elif kind in ("cut", "away"):
                getattr(model, kind).add(name)
            elif kind == "heal":
                model.cut.discard(name)
                model.away.discard(name)
                model.sync()
            elif kind in ("versions", "restart"):
                behind = generator.sample(NAMES, generator.randrange(5))
                if kind == "versions":
                    model.list_versions(generator.choice((["v1", "v1"], ["v1", "v2"])), behind)
                else:
                    model.restart(generator.randrange(4), generator.choice(("v1", "v2")), behind)
            elif kind == "advance":
                model.advance(generator.choice((0.5, 2.0)))
            elif kind == "resume" and model.open:
                found = model.resume(generator)
                if found is not None:
                    outcomes["resumed"] += 1
                    self.assertEqual(*found)
            elif kind == "take_up" and name in model.nodes and model.streams:
                request_id, version, deadline = generator.choice(model.streams[-RECENT:])
                if deadline > model.now:
                    found = model.take_up(name, request_id, deadline)
                    outcomes["refused" if found is None else "continued"] += 1
                    self.assertIn(found, (version, None))
        outcomes["miscounted"] += sum(believed != truth for *_, believed, truth in model.open)


class ProvenStreamTest(TakenUpStreamCase):
    """Streams at nodes that the store does not answer."""

    def silence_directory(self, name):
        """Let no read of the directory by a node be answered."""
        topics = self.fleet.node_topics[name]
        read = topics.read

        def read_others(topic, *arguments):
            if topic == DIRECTORY_TOPIC:
                gevent.sleep(WAIT_TIMEOUT)
            return read(topic, *arguments)

        topics.read = read_others

    def await_read(self, name, moment):
        follower = self.fleet.nodes[name]._directory.follower
        wait_until(lambda: follower.fresh_at > moment)

    def test_a_stream_over_connections_that_were_used_goes_on_without_the_store(self):
        """The connection shows which life of the engine answers."""
        self.start("v1", "v1", nodes=1)
        for engine in self.fleet.engines:
            engine.default_behaviour = Behaviour(events=6, pause=0.05)
        asked = [
            gevent.spawn(self.fleet.request, "n0", STREAM_PATH + "x", request_id=f"r{number}")
            for number in range(12)
        ]
        gevent.joinall(asked)
        self.assertTrue(all(engine.runs for engine in self.fleet.engines))
        node = self.fleet.nodes["n0"]
        self.await_read("n0", node._clock.monotonic())
        self.silence_directory("n0")
        for engine in self.fleet.engines:
            engine.next_behaviours = [Behaviour(events=6, cut_after=2)]
        answer = self.fleet.request("n0", STREAM_PATH + "x", request_id="again")
        self.assertEqual((answer.status, answer.whole), (200, True))

    def test_nothing_is_sent_to_the_next_life_without_the_store(self):
        """The version that began the stream is proven, but not that of the engine now there."""
        self.start("v1", nodes=1)
        first = self.fleet.engines[0]
        first.default_behaviour = Behaviour(events=400, pause=0.01)
        connection, _ = self.begin("n0", "r")
        self.addCleanup(connection.close)
        node = self.fleet.nodes["n0"]
        self.await_read("n0", node._clock.monotonic())
        self.silence_directory("n0")
        gevent.sleep(1.2)
        first.end()
        newer = StandInEngine(first.engine_id, first.port, 2, "v2")
        self.addCleanup(newer.stop)
        gevent.sleep(1.5)
        self.assertEqual([run for run in newer.runs if run[1]], [])
        self.assertEqual(self.fleet.events("n0", Event.STREAM_ORIGIN_UNPROVEN), [])

    def test_a_stream_whose_version_is_not_proven_is_cut_soon(self):
        self.start("v1", "v1", nodes=1)
        self.silence_directory("n0")
        gevent.sleep(1.5)
        for engine in self.fleet.engines:
            engine.default_behaviour = Behaviour(events=6, cut_after=2)
        started = monotonic()
        answer = self.fleet.request("n0", STREAM_PATH + "x", request_id="r2")
        self.assertLess(monotonic() - started, 1.0)
        self.assertFalse(answer.whole)
        (logged,) = self.fleet.events("n0", Event.STREAM_ORIGIN_UNPROVEN)
        self.assertEqual(logged["missing"], "a read of the directory")

    def test_a_take_up_without_proof_is_refused_soon_and_names_what_is_missing(self):
        self.start("v1", "v1", nodes=1)
        self.silence_directory("n0")
        gevent.sleep(1.5)
        self.begin("n0", "r")[0].close()
        started = monotonic()
        answer, _ = self.take_up("n0", "again", "r")
        self.assertLess(monotonic() - started, 0.6)
        self.assertEqual(answer.status, 503)
        self.assertIn(b"missing: a read of the directory", answer.body)
        self.assertIn("retry-after", answer.headers)

    def test_owners_are_told_of_streams_once_their_version_is_proven(self):
        self.start("v1", "v2", nodes=3)
        node = self.fleet.nodes["n0"]
        self.silence_directory("n0")
        gevent.sleep(1.5)
        self.begin("n0", "r")[0].close()
        gevent.sleep(0.5)
        told = [len(one._stream_versions._told) for one in self.fleet.nodes.values()]
        self.assertEqual(told, [0, 0, 0])
        self.assertEqual(node._stream_versions.fields()["streams_unproven"], 1)

    def test_a_node_that_was_told_wrongly_by_nobody_refuses(self):
        """The node that began the stream at the next life is killed before its next read."""
        self.start("v1", "v2", "v1", nodes=3)
        first = self.fleet.engines[0]
        self.silence_directory("n0")
        gevent.sleep(1.5)
        for engine in self.fleet.engines[1:]:
            engine.next_behaviours = [Behaviour(refuse=True) for _ in range(4)]
        first.version = "v2"
        self.fleet.list_engine(first)
        self.begin("n0", "r")[0].close()
        self.fleet.kill("n0")
        for engine in self.fleet.engines[1:]:
            engine.next_behaviours = []
        answer, ran = self.take_up("n1", "again", "r")
        self.assertLessEqual(ran, {"v2"}, answer.status)
        self.assertNotEqual(version_hash("v1"), version_hash("v2"))


if __name__ == "__main__":
    unittest.main()
