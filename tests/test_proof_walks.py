"""Proofs of a node out of step, against a model that knows the truth, under virtual time.

A node's real reader of the directory, its barrier and its facts, with a store and peers that fail
in any order: up to eight faults and changes, some at once, and ten acts of callers between them.
What is proven must be true: which version answered, and that no acknowledged entry is missing.

`python -m tests.test_proof_walks 2000` makes as many walks by hand.
"""

import json
import random
import sys
import unittest
from collections import Counter

import gevent

from postvalve.emulator.virtual_time import run_virtual
from postvalve.exceptions import Verdict
from postvalve.gateway.interfaces import KeyedRecord
from postvalve.gateway.knowledge.read_barrier import ReadBarrier
from postvalve.platform.fleet import DIRECTORY_TOPIC
from tests.stand_in_engine import SERVICE
from tests.test_directory_staleness import Node

WALKS = 100
FAULTS, ACTS = 8, 10
ENGINES = ("e0", "e1")
VERSIONS = ("v1", "v2")
PROOF_TIMEOUT = 0.25
KINDS = (
    *("restart",) * 6,
    *("cut", "silent", "held", "late", "peers_frozen", "down", "compacted", "one_silent"),
)
CUT = Verdict.NOT_RUN


class Walk:
    """One node, and what is true of the engines that it reads of."""

    def __init__(self, loop, seed, outcomes):
        self.rng = random.Random(seed)
        self.outcomes = outcomes
        self.node = Node(loop)
        self.clock = self.node.clock
        self.serving, self.born = {}, {}
        self.acknowledged = 0
        """Records of the directory that the store has acknowledged."""
        self.lateness = 0.0
        self.wrong = []
        read = self.node.own.read

        def late_read(*arguments):
            if self.lateness:
                gevent.sleep(self.rng.uniform(0, self.lateness))
            found = read(*arguments)
            if self.lateness:
                gevent.sleep(self.rng.uniform(0, self.lateness))
            return found

        self.node.own.read = late_read
        follower = self.node.reader.follower
        self.barrier = ReadBarrier(follower.read_current, self.clock, lambda: 3)
        self.node.fleet.read_directory = self.barrier.wait

    def run(self):
        for engine_id in ENGINES:
            self.list_next_life(engine_id, VERSIONS[0])
        gevent.sleep(2.0)
        steps = ["fault"] * self.rng.randint(1, FAULTS) + ["act"] * ACTS
        self.rng.shuffle(steps)
        waiting = []
        for step in steps:
            if step == "act":
                waiting.append(gevent.spawn(self.act))
            else:
                gevent.spawn(self.inject)
            # Half of the steps coincide with others.
            gevent.sleep(self.rng.uniform(0.2, 1.5) if self.rng.random() < 0.5 else 0.0)
        gevent.joinall(waiting, raise_error=True)
        return self.wrong

    def list_next_life(self, engine_id, version):
        """List an engine's next life; it serves from then on."""
        self.serving[engine_id] = None
        self.born[engine_id] = self.born.get(engine_id, 0) + 1
        entry = {"service": SERVICE, "address": f"127.0.0.{1 + ENGINES.index(engine_id)}:1"}
        entry |= {"slots": 4, "state": "ready", "zone": "z", "version": version, "sequence": 1}
        entry |= {"coldRemainingMs": 0, "born": self.born[engine_id]}
        self.node.store.append(
            DIRECTORY_TOPIC, 0, [KeyedRecord(engine_id, json.dumps(entry).encode())]
        )
        self.acknowledged += 1
        self.serving[engine_id] = version

    def inject(self):
        """Inject a fault for a while, or change what the directory lists."""
        node, kind = self.node, self.rng.choice(KINDS)
        seconds = self.rng.uniform(0.3, 4.0)
        self.outcomes[kind] += 1
        if kind == "restart" and not node.store.down:
            self.list_next_life(self.rng.choice(ENGINES), self.rng.choice(VERSIONS))
        elif kind == "compacted":
            partition = node.store.partition(DIRECTORY_TOPIC, 0)
            partition.first_offset = len(partition.log)
        elif kind == "one_silent":
            node.silence_connections()
        elif kind == "late":
            self.lateness = self.rng.choice((0.05, 0.3, 1.0))
            gevent.sleep(seconds)
            self.lateness = 0.0
        elif kind == "cut":
            node.own.outage_verdict = CUT
            gevent.sleep(seconds)
            node.own.outage_verdict = None
        elif kind == "held":
            node.own.holds_waiting_reads = True
            gevent.sleep(seconds)
            node.own.holds_waiting_reads = False
        elif kind in ("silent", "down"):
            target = node.own if kind == "silent" else node.store
            setattr(target, kind, True)
            gevent.sleep(seconds)
            setattr(target, kind, False)
        elif kind == "peers_frozen":
            node.network.frozen = set(node.network.names)
            gevent.sleep(seconds)
            node.network.frozen = set()

    def act(self):
        """Let a caller do what needs a proof."""
        if self.rng.random() < 0.3:
            known_before = self.acknowledged
            is_proven = self.barrier.wait(PROOF_TIMEOUT)
            self.outcomes["read proven" if is_proven else "read refused"] += 1
            if is_proven and self.node.reader.follower.next_offset < known_before:
                self.wrong.append(("denied", known_before))
            return
        entries = self.node.fleet.listed_engines()
        if not entries:
            return
        entry = self.rng.choice(sorted(entries, key=lambda one: one.life))
        served_by = self.serving[entry.engine_id]
        if served_by is None:
            return
        evidence = self.node.fleet.evidence(entry, self.clock.monotonic())
        gevent.sleep(self.rng.choice((0.0, 0.05, 0.5, 1.5)))
        is_proven = self.node.fleet.await_proof(evidence, PROOF_TIMEOUT)
        self.outcomes["version proven" if is_proven else "version refused"] += 1
        self.outcomes["counted to another"] += entry.version != served_by
        if is_proven and entry.version != served_by:
            self.wrong.append((entry.life, entry.version, served_by))


def walk(seed, outcomes):
    """Make one walk; return what was proven and wrong."""
    return run_virtual(lambda loop: Walk(loop, seed, outcomes).run())


class ProofWalkTest(unittest.TestCase):
    def test_what_is_proven_is_true(self):
        outcomes = Counter()
        for seed in range(WALKS):
            with self.subTest(seed=seed):
                self.assertEqual(walk(seed, outcomes), [])
        for expected in ("read proven", "read refused", "version proven", "version refused"):
            self.assertGreater(outcomes[expected], WALKS // 10, outcomes)
        self.assertGreater(outcomes["counted to another"], 3, outcomes)

    def test_a_change_that_is_first_seen_in_a_snapshot_proves_nothing_before_it(self):
        def run(loop):
            walk = Walk(loop, 1, Counter())
            walk.list_next_life("e0", "v1")
            gevent.sleep(2.0)
            walk.node.own.outage_verdict = CUT
            walk.node.network.frozen = set(walk.node.network.names)
            gevent.sleep(2.0)
            walk.list_next_life("e0", "v2")
            (entry,) = walk.node.fleet.listed_engines()
            evidence = walk.node.fleet.evidence(entry, walk.clock.monotonic())
            partition = walk.node.store.partition(DIRECTORY_TOPIC, 0)
            partition.first_offset = len(partition.log)
            gevent.sleep(1.0)
            walk.node.own.outage_verdict = None
            gevent.sleep(2.0)
            return (
                entry.version,
                [one.version for one in walk.node.fleet.listed_engines()],
                evidence,
            )

        before, after, evidence = run_virtual(run)
        self.assertEqual((before, after), ("v1", ["v2"]))
        self.assertFalse(evidence.is_proven)
        self.assertTrue(evidence.is_refuted)


if __name__ == "__main__":
    counts = Counter()
    failed = [seed for seed in range(int(sys.argv[1])) if walk(seed, counts)]
    print(dict(counts), "wrong:", failed)
    sys.exit(1 if failed else 0)
