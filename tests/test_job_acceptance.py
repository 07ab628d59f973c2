"""Whether a job was accepted, where appends of its acceptance get no answer or a late one.

A node answered 503, "not run", to jobs whose acceptance it had itself read meanwhile: it took the
growth of the topic as proof that its append had failed.

`python -m tests.test_job_acceptance 2000` makes as many walks by hand.
"""

import random
import sys
import unittest
from collections import Counter

import gevent

from postvalve.clock import SystemClock
from postvalve.core.batch.job_board import RecordKind, record_key
from postvalve.emulator.keyed_topics import MemoryTopics
from postvalve.emulator.virtual_time import VirtualClock, run_virtual
from postvalve.exceptions import (
    PostvalveError,
    StoreUnreachableError,
    Verdict,
)
from postvalve.gateway.interfaces import KeyedRecord, StoreUnavailableError
from postvalve.gateway.jobs.job_acceptance import UndecidedError
from postvalve.gateway.jobs.job_log import JOB_TOPIC, JobLog
from postvalve.gateway.jobs.job_service import JobService
from postvalve.gateway.jobs.submission import Submission, SubmittedItem
from postvalve.messages.generated import gateway
from postvalve.settings.routes import BatchTerms, RepeatPolicy, RouteSpec, WeightedService
from tests.gateway_support import RecordingEventLog
from tests.test_job_board import accepted
from tests.test_job_log import SETTINGS

WALKS = 60
JOBS = 12
TOKENS = 100
LIMIT = 8 * TOKENS
"""Tokens that may wait: a part of the jobs of a walk."""
ANSWER_TIMEOUT = 1.5
DEADLINE = 5.8
"""Seconds that a client has for a job, with one retry at another node."""
LOST_SHARES = (0.1, 0.35, 0.6)


class LateClock(SystemClock):
    """A clock that tests move on."""

    def __init__(self):
        self.ahead = 0.0

    def monotonic(self):
        return super().monotonic() + self.ahead


class LosingTopics(MemoryTopics):
    """A store that makes the append of an acceptance and loses its answer.

    `meanwhile` is called between the two.
    """

    def __init__(self):
        super().__init__()
        self.meanwhile = lambda: None
        self.loses = True

    def append(self, topic, part, records, at=None):
        offset = super().append(topic, part, records, at)
        if topic == JOB_TOPIC and records[0].key.startswith(RecordKind.ACCEPT):
            self.meanwhile()
            if self.loses:
                raise StoreUnavailableError("no answer", Verdict.MAY_HAVE_RUN)
        return offset


def route(limit=0):
    return RouteSpec(
        name="batch",
        host="h",
        path_prefix="/batch/",
        targets=(WeightedService(service="lm", weight=1.0),),
        repeat=RepeatPolicy.RESUMABLE,
        timeout=30.0,
        target_latency=1.0,
        batch=BatchTerms(run_target=20.0, keep=60.0, max_queued_tokens=limit),
    )


def submission(job_id, limit=0):
    item = SubmittedItem(f"{job_id}-0", "/batch/0", [], b"body", TOKENS)
    return Submission(job_id, "h", route(limit), "lm", (item,))


def job_service(name, topics, clock):
    """Return a node's service of jobs; its reader isn't started."""
    events = RecordingEventLog()
    log = JobLog(SETTINGS, topics, clock, events)
    numbers = iter(range(100_000))
    identity = gateway.NodeStarted(node_id=name, incarnation=1)
    return JobService(
        SETTINGS, identity, clock, events, log, lambda: f"{name}-{next(numbers)}"
    ), log


class LostAnswerTest(unittest.TestCase):
    def setUp(self):
        self.topics, self.clock = LosingTopics(), LateClock()
        self.service, self.log = job_service("n0", self.topics, self.clock)
        self.log.follower.catch_up()

    def pass_deadline(self):
        self.clock.ahead += 10.0

    def test_an_acceptance_that_was_read_while_its_answer_was_awaited_is_no_refusal(self):
        def meanwhile():
            self.log.follower.catch_up()
            self.pass_deadline()

        self.topics.meanwhile = meanwhile
        self.service.submit(submission("j"))
        self.assertIn("j", self.log.board.jobs)

    def test_an_acceptance_that_no_read_has_shown_yet_is_no_refusal(self):
        self.topics.meanwhile = self.pass_deadline
        self.service.submit(submission("j"))
        self.assertIn("j", self.log.board.jobs)

    def test_an_answered_append_is_no_refusal_where_the_read_after_it_fails(self):
        def meanwhile():
            self.log.follower.catch_up()
            self.topics.down = True
            self.pass_deadline()

        self.topics.meanwhile = meanwhile
        self.topics.loses = False
        self.service.submit(submission("j"))
        self.assertIn("j", self.log.board.jobs)

    def test_nothing_is_refused_by_a_read_whose_records_did_not_reach_the_board(self):
        def meanwhile():
            self.log.follower._listener = broken
            with self.assertRaises(ZeroDivisionError):
                self.log.follower.catch_up()
            self.topics.down = True
            self.pass_deadline()

        def broken(records, is_snapshot):
            raise ZeroDivisionError

        self.topics.meanwhile = meanwhile
        with self.assertRaises(UndecidedError):
            self.service.submit(submission("j"))

    def test_a_store_that_answers_nothing_leaves_it_undecided(self):
        def meanwhile():
            self.topics.down = True
            self.pass_deadline()

        self.topics.meanwhile = meanwhile
        with self.assertRaises(UndecidedError):
            self.service.submit(submission("j"))

    def test_another_record_at_the_expected_offset_is_proof_that_nothing_runs(self):
        def append(topic, part, records, at=None):
            if topic == JOB_TOPIC:
                other = record_key(RecordKind.ACCEPT, "other", "c")
                MemoryTopics.append(
                    self.topics, topic, part, [KeyedRecord(other, bytes(accepted("other")))]
                )
                self.log.follower.catch_up()
                self.pass_deadline()
                raise StoreUnavailableError("no answer", Verdict.MAY_HAVE_RUN)
            return original(topic, part, records, at)

        original, self.topics.append = self.topics.append, append
        with self.assertRaises(StoreUnreachableError):
            self.service.submit(submission("j"))
        self.topics.append = original
        self.log.follower.catch_up()
        self.assertNotIn("j", self.log.board.jobs)


class WalkTopics(MemoryTopics):
    """A store that answers after some milliseconds, and loses answers of appends."""

    def __init__(self, rng, clock, share, how):
        super().__init__()
        self._rng, self._clock, self._share, self._how = rng, clock, share, how

    def append(self, topic, part, records, at=None):
        gevent.sleep(self._rng.uniform(0.004, 0.02))
        if self._rng.random() >= self._share:
            return super().append(topic, part, records, at)
        if self._how == "late":
            delay = self._rng.uniform(1.0, 5.0)
            gevent.spawn_later(delay, self._append_late, topic, part, records, at)
        else:
            super().append(topic, part, records, at)
        gevent.sleep(0.0 if self._how == "reset" else ANSWER_TIMEOUT)
        raise StoreUnavailableError("no answer", Verdict.MAY_HAVE_RUN)

    def read(self, *arguments):
        gevent.sleep(self._rng.uniform(0.004, 0.02))
        return super().read(*arguments)


class Walk:
    """Jobs that come to three nodes, one retry each, while answers are lost."""

    def __init__(self, loop, seed, outcomes):
        self.rng = random.Random(seed)
        self.clock = VirtualClock(loop)
        self.outcomes = outcomes
        how = self.rng.choice(("silent", "reset", "late"))
        self.topics = WalkTopics(self.rng, self.clock, self.rng.choice(LOST_SHARES), how)
        self.nodes = [job_service(f"n{number}", self.topics, self.clock) for number in range(3)]
        for _, log in self.nodes:
            gevent.spawn(log.follower.run)

    def run(self):
        gevent.sleep(1.0)
        clients = []
        for number in range(JOBS):
            clients.append(gevent.spawn(self.hand_in, f"j{number}"))
            gevent.sleep(self.rng.uniform(0.0, 0.4))
        gevent.joinall(clients, raise_error=True)
        gevent.sleep(12.0)
        _, log = self.nodes[0]
        log.follower.catch_up()
        answers = {f"j{number}": one.value for number, one in enumerate(clients)}
        return [
            (job_id, found)
            for job_id, found in answers.items()
            if (job_id in log.board.jobs and all(one in (429, 503) for one in found))
            or (job_id not in log.board.jobs and 202 in found)
        ]

    def hand_in(self, job_id):
        """Hand a job in, once more at another node; return the statuses."""
        began, found = self.clock.monotonic(), []
        for service, _ in self.rng.sample(self.nodes, 2):
            try:
                service.submit(submission(job_id, LIMIT))
                found.append(202)
            except PostvalveError as error:
                found.append(error.http_status)
            self.outcomes[found[-1]] += 1
            if found[-1] == 202 or self.clock.monotonic() - began > DEADLINE:
                break
            gevent.sleep(0.5)
        return found


def walk(seed, outcomes):
    """Make one walk; return the jobs that ran though refused, or did not though accepted."""
    return run_virtual(lambda loop: Walk(loop, seed, outcomes).run())


class AcceptanceWalkTest(unittest.TestCase):
    def test_no_job_runs_that_was_refused_at_each_attempt(self):
        outcomes = Counter()
        for seed in range(WALKS):
            with self.subTest(seed=seed):
                self.assertEqual(walk(seed, outcomes), [])
        for status in (202, 429, 503, 504):
            self.assertGreater(outcomes[status], 0, outcomes)


if __name__ == "__main__":
    counts = Counter()
    failed = [seed for seed in range(int(sys.argv[1])) if walk(seed, counts)]
    print(len(failed), "walks failed:", failed[:20], dict(counts))
