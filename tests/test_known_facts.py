"""Facts with the moment up to which they are known, against a model that knows the truth."""

import random
import unittest
from dataclasses import dataclass, field

from hypothesis import example, given, settings
from hypothesis import strategies as st

from postvalve.core.membership.engine_life import MAX_IDS, EngineLife
from postvalve.core.membership.known_facts import EngineVersions, Fact, VersionEvidence


class FactTest(unittest.TestCase):
    def setUp(self):
        self.read_up_to = 1.0
        self.fact = Fact("v1", "directory", 1.2, lambda: self.read_up_to)

    def test_it_is_known_from_its_reading_to_the_start_of_the_last_read(self):
        self.assertFalse(self.fact.held_at(1.3))
        self.read_up_to = 2.0
        self.assertTrue(self.fact.held_at(1.3))
        self.assertTrue(self.fact.held_at(1.9))
        self.assertFalse(self.fact.held_at(2.0))

    def test_it_says_nothing_of_the_time_before_it_was_read(self):
        self.read_up_to = 2.0
        self.assertFalse(self.fact.held_at(1.1))

    def test_its_end_is_the_last_moment_before_something_else_was_read(self):
        self.read_up_to = 2.0
        self.fact.end()
        self.read_up_to = 3.0
        self.fact.end()
        self.assertEqual(self.fact.known_until, 2.0)
        self.assertTrue(self.fact.is_over)


class EngineVersionsTest(unittest.TestCase):
    def setUp(self):
        self.read_up_to = 0.0
        self.versions = EngineVersions()
        self.versions.read_up_to = lambda: self.read_up_to

    def observe(self, born, version, now, **options):
        self.versions.observe(EngineLife.of("e", born), "s", version, now, **options)

    def test_a_restart_with_the_same_version_ends_nothing(self):
        self.observe(1, "v1", 0.0)
        fact = self.versions.of("e", "v1")
        self.observe(2, "v1", 1.0)
        self.assertIs(self.versions.of("e", "v1"), fact)

    def test_a_restart_seen_in_a_snapshot_ends_the_fact(self):
        self.observe(1, "v1", 0.0)
        fact = self.versions.of("e", "v1")
        self.observe(2, "v1", 1.0, is_snapshot=True)
        self.assertTrue(fact.is_over)
        self.assertIsNot(self.versions.of("e", "v1"), fact)

    def test_another_version_ends_the_fact(self):
        self.observe(1, "v1", 0.0)
        evidence = VersionEvidence(self.versions.of("e", "v1"), 0.5)
        self.assertEqual(evidence.missing, "a read of the directory")
        self.observe(2, "v2", 1.0)
        self.read_up_to = 1.0
        self.assertTrue(evidence.is_refuted)
        self.assertEqual(evidence.missing, "one version since")
        self.assertIsNone(self.versions.of("e", "v1"))

    def test_what_was_proven_stays_proven(self):
        self.observe(1, "v1", 0.0)
        evidence = VersionEvidence(self.versions.of("e", "v1"), 0.5)
        self.read_up_to = 0.6
        self.observe(2, "v2", 1.0)
        self.assertTrue(evidence.is_proven)
        self.assertFalse(evidence.is_refuted)

    def test_an_engine_that_is_not_known_proves_nothing(self):
        self.assertTrue(VersionEvidence(self.versions.of("e", "v1"), 0.5).is_refuted)

    def test_what_is_remembered_is_bounded_and_proves_nothing_more(self):
        self.observe(1, "v1", 0.0)
        fact = self.versions.of("e", "v1")
        for number in range(MAX_IDS):
            self.versions.observe(EngineLife.of(f"x{number}", 1), "s", "v1", 1.0)
        self.assertIsNone(self.versions.of("e", "v1"))
        self.assertTrue(fact.is_over)


@dataclass
class Read:
    """A read of the directory that was sent and not answered yet."""

    started: float
    records: list
    end: int


@dataclass
class Directory:
    """One engine id in a directory, and a node that reads it; the model knows what served when."""

    versions: EngineVersions = field(default_factory=EngineVersions)
    now: float = 0.0
    fresh_at: float = float("-inf")
    next_offset: int = 0
    serving: str | None = "v1"
    born: int = 1
    log: list = field(default_factory=list)
    reads: list = field(default_factory=list)
    evidence: list = field(default_factory=list)

    def __post_init__(self):
        self.versions.read_up_to = lambda: self.fresh_at
        self.list_engine("v1")
        self.send_read()
        self.answer_read(0)

    def list_engine(self, version, *, serves=True):
        """List the next life after the former one has ended; it may begin to serve later."""
        self.born += 1
        self.log.append((EngineLife.of("e", self.born), version))
        self.serving = version if serves else None

    def send_read(self):
        self.reads.append(Read(self.now, [], 0))

    def answer_read(self, number):
        """Answer one of the reads by what the directory has now, the moment of its answer."""
        if self.reads:
            read = self.reads.pop(number % len(self.reads))
            self.process(read.started, is_snapshot=False)

    def take_snapshot(self):
        self.process(self.now, is_snapshot=True)

    def process(self, started, *, is_snapshot):
        entries = self.log[-1:] if is_snapshot else self.log[self.next_offset :]
        for life, version in entries:
            self.versions.observe(life, "s", version, self.now, is_snapshot=is_snapshot)
        self.next_offset = len(self.log)
        self.fresh_at = max(self.fresh_at, started)

    def answer_request(self):
        """Let the engine answer a request of the node, which counts it to its copy's version."""
        if self.serving is None:
            return
        known = self.versions._facts["e"][1].value.version
        evidence = VersionEvidence(self.versions.of("e", known), self.now)
        self.evidence.append((evidence, known, self.serving))

    def check(self):
        for evidence, counted_to, served_by in self.evidence:
            if evidence.is_proven:
                assert counted_to == served_by, (counted_to, served_by, evidence)

    def step(self, kind, number):
        self.now += 0.1
        version = ("v1", "v2")[number % 2]
        if kind == "restart":
            self.list_engine(version)
        elif kind == "list":
            self.list_engine(version, serves=False)
        elif kind == "serve":
            self.serving = self.log[-1][1]
        elif kind == "send":
            self.send_read()
        elif kind == "answer":
            self.answer_read(number)
        elif kind == "snapshot":
            self.take_snapshot()
        else:
            self.answer_request()
        self.check()


KINDS = ("restart", "list", "serve", "send", "answer", "snapshot", "request", "request")


class NeverTheWrongVersionTest(unittest.TestCase):
    """What is proven is true, whatever the engine, the store and the node do."""

    @settings(max_examples=300, deadline=None)
    @given(st.lists(st.tuples(st.sampled_from(KINDS), st.integers(0, 3)), max_size=30))
    @example([("request", 0), ("restart", 1), ("request", 0), ("send", 0), ("answer", 0)])
    @example([("restart", 1), ("request", 0), ("restart", 0), ("snapshot", 0), ("request", 0)])
    def test_proven_versions_are_those_that_served(self, steps):
        directory = Directory()
        for kind, number in steps:
            directory.step(kind, number)

    def test_walks(self):
        proven = wrong = 0
        for seed in range(2000):
            generator, directory = random.Random(seed), Directory()
            for _ in range(30):
                directory.step(generator.choice(KINDS), generator.randrange(4))
            proven += sum(one.is_proven for one, _, _ in directory.evidence)
            wrong += sum(known != served for _, known, served in directory.evidence)
        # The model would show nothing if nodes counted no request to a wrong version.
        self.assertGreater(proven, 1000)
        self.assertGreater(wrong, 1000)

    def test_a_read_that_begins_after_the_answer_proves_it(self):
        directory = Directory()
        for kind in ("request", "send", "answer"):
            directory.step(kind, 0)
        ((evidence, _, _),) = directory.evidence
        self.assertTrue(evidence.is_proven)


if __name__ == "__main__":
    unittest.main()
