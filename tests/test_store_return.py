"""A node learns of acknowledged changes in time after the store was silent, whenever it returns."""

import unittest

import gevent

from postvalve.core.membership.load_report import LoadReport
from postvalve.core.membership.peers import PeerView
from postvalve.core.membership.read_pacing import (
    MAX_PENDING,
    MIN_INTERVAL,
    OVERDUE_AFTER,
    RETRY_INTERVAL,
)
from postvalve.emulator.keyed_topics import MemoryTopics
from postvalve.emulator.virtual_time import VirtualClock, run_virtual
from postvalve.events import Event
from postvalve.exceptions import Verdict
from postvalve.gateway.fleet.directory_reader import READ_PAUSE, READ_WAIT
from postvalve.gateway.gateway import CONFIGURATION_PAUSE, CONFIGURATION_WAIT
from postvalve.gateway.interfaces import KeyedRecord, StoreUnavailableError
from postvalve.gateway.jobs.job_log import FOLLOW_INTERVAL, FOLLOW_POLL_TIMEOUT
from postvalve.gateway.knowledge.relayed_topics import RelayedTopics, RelayServer
from postvalve.gateway.knowledge.topic_follower import TopicFollower
from postvalve.gateway.metrics import GatewayMetrics
from postvalve.platform.store import ANSWER_TIMEOUT
from tests.gateway_support import RecordingEventLog

CHANGE_BOUND = 2.0
"""Shortest time, in seconds, within which a deployment requires acknowledged changes in force."""
DRAIN_BOUND = 2.0
"""Shortest time, in seconds, in which an engine that is leaving may still get requests."""
CANCEL_BOUND = 3.0
"""Shortest time, in seconds, in which items of a cancelled job may still be started."""
FOLLOWERS = {
    "configuration": (CONFIGURATION_PAUSE, CONFIGURATION_WAIT, CHANGE_BOUND),
    "engines": (READ_PAUSE, READ_WAIT, DRAIN_BOUND),
    "jobs": (FOLLOW_INTERVAL, FOLLOW_POLL_TIMEOUT, CANCEL_BOUND),
}
"""Pause, wait and bound of each follower of a topic, in seconds."""
ANSWER_TIME = 0.05
"""Seconds that a store without trouble takes at most to answer over a new connection."""
OUTAGE_START = 5.0
REPORT_INTERVAL = 0.4
"""Seconds between a peer's reports in these tests."""


class SilentTopics:
    """One node's way to the store.

    No call is answered that is pending or begins while it is silent.
    """

    def __init__(self, shared):
        self._shared = shared
        self.silent = False
        self.calls = 0
        self._outages = 0

    def fall_silent(self):
        self.silent = True
        self._outages += 1

    def fall_silent_for(self, seconds):
        self.fall_silent()
        gevent.sleep(seconds)
        self.silent = False

    def _answer(self, wait, call, *arguments):
        deadline, outages = gevent.get_hub().loop.now() + wait + ANSWER_TIMEOUT, self._outages
        self.calls += 1
        if not self.silent:
            answer = call(*arguments)
            if self._outages == outages:
                return answer
        gevent.sleep(max(0.0, deadline - gevent.get_hub().loop.now()))
        raise StoreUnavailableError("timed out", Verdict.MAY_HAVE_RUN)

    def read(self, topic, part, offset, wait, limit):
        return self._answer(wait, self._shared.read, topic, part, offset, wait, limit)

    def newest(self, topic, part, after=""):
        return self._answer(0.0, self._shared.newest, topic, part, after)

    def change_path(self):
        pass


class ServedPeer:
    """Transport to a peer that reaches the store."""

    def __init__(self, shared):
        self._server = RelayServer(shared)

    def call(self, address, channel, message, timeout):
        return self._server.serve(type(message)().parse(bytes(message)))


class FollowedStore:
    """A store and a node's follower of one of its topics, under virtual time."""

    def __init__(self, loop, wait=CONFIGURATION_WAIT, pause=CONFIGURATION_PAUSE):
        self.clock = VirtualClock(loop)
        self.shared = MemoryTopics()
        self.store = SilentTopics(self.shared)
        self.log = RecordingEventLog()
        self._peers = PeerView("me")
        self.topics = RelayedTopics(
            self.store,
            "z",
            self.clock,
            self.log,
            ServedPeer(self.shared),
            self._peers,
            GatewayMetrics(),
        )
        self.seen_at = {}
        self.follower = TopicFollower(
            self.topics, self.clock, self.log, "t", self._observe, wait=wait, pause=pause
        )
        self.running = gevent.spawn(self.follower.run)

    def _observe(self, records, is_snapshot):
        for record in records:
            self.seen_at.setdefault(record.key, self.clock.monotonic())

    def append(self, key):
        self.shared.append("t", 0, [KeyedRecord(key, b"v")])

    def report_peer(self):
        """Receive reports of a peer that reaches the store, from now on."""
        for sequence in range(1, 1000):
            report = LoadReport("n1", 1, sequence, peer_address="n1", zone="z")
            self._peers.observe(report, self.clock.monotonic())
            gevent.sleep(REPORT_INTERVAL)

    def try_other_call(self):
        """Make a call that has nothing to do with the follower; return whether it is answered."""
        try:
            self.topics.newest("u", 0)
        except StoreUnavailableError:
            return False
        return True

    def delay_of(self, key, since):
        """Wait until the follower has a record; return the seconds from `since` until then."""
        while key not in self.seen_at:
            gevent.sleep(0.01)
        return self.seen_at[key] - since


class StoreReturnTest(unittest.TestCase):
    """The change is appended as the store returns, so its bound begins there."""

    def delay_after_an_outage(self, seconds, wait=CONFIGURATION_WAIT, pause=CONFIGURATION_PAUSE):
        """Return the seconds from the store's return until a follower has a record of then."""

        def session(loop):
            followed = FollowedStore(loop, wait, pause)
            gevent.sleep(OUTAGE_START)
            followed.store.fall_silent_for(seconds)
            returned_at = followed.clock.monotonic()
            followed.append("k")
            return followed.delay_of("k", returned_at)

        return run_virtual(session)

    def test_a_change_is_known_in_time_however_long_the_store_was_silent(self):
        delays = {
            tenths / 10: round(self.delay_after_an_outage(tenths / 10), 2)
            for tenths in range(5, 90)
        }
        late = {silent: delay for silent, delay in delays.items() if delay >= CHANGE_BOUND}
        self.assertEqual(late, {})

    def test_engines_that_leave_and_jobs_that_end_are_known_in_time_as_well(self):
        for name in ("engines", "jobs"):
            pause, wait, bound = FOLLOWERS[name]
            delays = [
                self.delay_after_an_outage(tenths / 10, wait, pause) for tenths in range(5, 90)
            ]
            with self.subTest(name):
                self.assertLess(max(delays), bound)


class PendingReadsTest(unittest.TestCase):
    def test_a_store_that_answers_is_read_once_for_each_wait(self):
        def session(loop):
            followed = FollowedStore(loop)
            gevent.sleep(0.1)
            before = followed.store.calls
            for _ in range(20):
                followed.follower.catch_up()
                gevent.sleep(0.5)
            return followed.store.calls - before - 20

        self.assertLessEqual(run_virtual(session), 10)

    def test_few_reads_are_pending_in_a_long_outage(self):
        def session(loop):
            followed = FollowedStore(loop)
            gevent.sleep(OUTAGE_START)
            followed.store.fall_silent()
            pending = []
            for _ in range(200):
                gevent.sleep(0.1)
                pending.append(followed.follower._reads.pending)
            return max(pending), followed.log.count(Event.STORE_READ_FAILED)

        most, failed = run_virtual(session)
        self.assertLessEqual(most, MAX_PENDING)
        self.assertLessEqual(failed, 20.0 / RETRY_INTERVAL)

    def test_a_read_that_fails_late_does_not_begin_another_outage(self):
        def session(loop):
            followed = FollowedStore(loop)
            gevent.sleep(OUTAGE_START)
            followed.store.fall_silent_for(4.0)
            gevent.sleep(5.0)
            return followed.log.count(Event.STORE_LOST), followed.log.count(Event.STORE_REGAINED)

        self.assertEqual(run_virtual(session), (1, 1))

    def test_an_unexpected_error_of_a_read_ends_the_follower(self):
        def session(loop):
            followed = FollowedStore(loop)
            followed.running.kill()
            followed.follower._listener = lambda *_: 1 / 0
            gevent.spawn_later(0.1, followed.append, "k")
            with self.assertRaises(ZeroDivisionError):
                followed.follower.run()
            return followed.follower._reads.pending

        self.assertEqual(run_virtual(session), 0)

    def test_a_follower_that_is_stopped_leaves_no_read_behind(self):
        def session(loop):
            followed = FollowedStore(loop)
            gevent.sleep(OUTAGE_START)
            followed.store.fall_silent()
            gevent.sleep(3.0)
            followed.running.kill(block=False)
            followed.follower._reads._start(0.0)
            gevent.sleep(5.0)
            return followed.follower._reads.pending, followed.follower._reads._waiting

        self.assertEqual(run_virtual(session), (0, 0))


class LateFailureTest(unittest.TestCase):
    def test_calls_that_fail_after_a_later_one_was_answered_begin_no_outage(self):
        def session(loop):
            followed = FollowedStore(loop)
            followed.running.kill()
            gevent.spawn(followed.store.fall_silent_for, 0.5)
            gevent.sleep(0.1)
            late = [gevent.spawn(followed.try_other_call) for _ in range(3)]
            gevent.sleep(0.5)
            answered = followed.try_other_call()
            return answered, [one.get() for one in late], followed.topics.failing

        self.assertEqual(run_virtual(session), (True, [False] * 3, False))


class WaitsTest(unittest.TestCase):
    """Two reads in a row are lost, the first one begun just before a change is acknowledged."""

    def test_the_waits_of_each_follower_stay_within_its_bound(self):
        for name, (pause, wait, bound) in FOLLOWERS.items():
            with self.subTest(name):
                known_after = pause + wait + OVERDUE_AFTER + RETRY_INTERVAL + ANSWER_TIME
                self.assertLess(known_after, bound)


class AnswerElsewhereTest(unittest.TestCase):
    def delay_beside_answered_calls(self, seconds):
        """Return the delay of a change of the store's return, if other calls are made all the time.

        Another call begins every 0.1 s, and its answer shows that the store is back.
        """

        def session(loop):
            followed = FollowedStore(loop)
            followed.topics.on_answered = followed.follower.record_answer_elsewhere
            gevent.sleep(OUTAGE_START)
            gevent.spawn(followed.store.fall_silent_for, seconds)
            gevent.sleep(0)
            while followed.store.silent:
                gevent.spawn(followed.try_other_call)
                gevent.sleep(0.1)
            returned_at = followed.clock.monotonic()
            followed.append("k")
            followed.try_other_call()
            return followed.delay_of("k", returned_at)

        return run_virtual(session)

    def test_a_follower_reads_once_another_call_is_answered(self):
        delays = {
            tenths / 10: round(self.delay_beside_answered_calls(tenths / 10), 2)
            for tenths in range(20, 90)
        }
        late = {silent: delay for silent, delay in delays.items() if delay > 2 * MIN_INTERVAL}
        self.assertEqual(late, {})


class SilentForOneNodeTest(unittest.TestCase):
    """The store answers the operator and other nodes, but not this one."""

    def delay_of_a_change(self, since_silence):
        """Return the delay of a change that is acknowledged some time after calls begin to hang."""

        def session(loop):
            followed = FollowedStore(loop)
            gevent.spawn(followed.report_peer)
            gevent.sleep(OUTAGE_START)
            followed.store.fall_silent()
            gevent.sleep(since_silence)
            followed.append("k")
            return followed.delay_of("k", followed.clock.monotonic())

        return run_virtual(session)

    def test_a_change_is_known_in_time_through_a_peer(self):
        delays = {
            tenths / 10: round(self.delay_of_a_change(tenths / 10), 2) for tenths in range(40)
        }
        late = {after: delay for after, delay in delays.items() if delay >= CHANGE_BOUND}
        self.assertEqual(late, {})


if __name__ == "__main__":
    unittest.main()
