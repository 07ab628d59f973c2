"""A node learns of acknowledged changes in time after the store was silent, whenever it returns."""

import contextlib
import unittest

import gevent

from postvalve.core.membership.peers import PeerView
from postvalve.core.membership.read_pacing import MAX_PENDING, MIN_INTERVAL, RETRY_INTERVAL
from postvalve.emulator.keyed_topics import MemoryTopics
from postvalve.emulator.virtual_time import VirtualClock, run_virtual
from postvalve.events import Event
from postvalve.exceptions import Verdict
from postvalve.gateway.gateway import CONFIGURATION_PAUSE, CONFIGURATION_WAIT
from postvalve.gateway.interfaces import KeyedRecord, StoreUnavailableError
from postvalve.gateway.knowledge.relayed_topics import RelayedTopics
from postvalve.gateway.knowledge.topic_follower import TopicFollower
from postvalve.gateway.metrics import GatewayMetrics
from postvalve.platform.store import ANSWER_TIMEOUT
from tests.gateway_support import RecordingEventLog

CHANGE_BOUND = 2.0
"""Shortest time, in seconds, within which a deployment requires acknowledged changes in force."""
OUTAGE_START = 5.0


class SilentTopics(MemoryTopics):
    """A store that answers no call which is pending or begins while it is silent."""

    def __init__(self):
        super().__init__()
        self.silent = False
        self.outages = 0

    def fall_silent(self, seconds):
        self.silent = True
        self.outages += 1
        gevent.sleep(seconds)
        self.silent = False

    def _answer(self, wait, call, *arguments):
        deadline, outages = gevent.get_hub().loop.now() + wait + ANSWER_TIMEOUT, self.outages
        if not self.silent:
            answer = call(*arguments)
            if self.outages == outages:
                return answer
        gevent.sleep(max(0.0, deadline - gevent.get_hub().loop.now()))
        raise StoreUnavailableError("timed out", Verdict.MAY_HAVE_RUN)

    def read(self, topic, part, offset, wait, limit):
        return self._answer(wait, super().read, topic, part, offset, wait, limit)

    def newest(self, topic, part, after=""):
        return self._answer(0.0, super().newest, topic, part, after)


class FollowedStore:
    """A store and a node's follower of one of its topics, under virtual time."""

    def __init__(self, loop, wait=CONFIGURATION_WAIT, pause=CONFIGURATION_PAUSE):
        self.clock = VirtualClock(loop)
        self.store = SilentTopics()
        self.log = RecordingEventLog()
        self.topics = RelayedTopics(
            self.store, "z", self.clock, self.log, None, PeerView("me"), GatewayMetrics()
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
        self.store.append("t", 0, [KeyedRecord(key, b"v")])

    def try_other_call(self):
        """Make a call that has nothing to do with the follower; it may fail."""
        with contextlib.suppress(StoreUnavailableError):
            self.topics.newest("u", 0)

    def delay_of(self, key, since):
        """Wait until the follower has a record; return the seconds from `since` until then."""
        while key not in self.seen_at:
            gevent.sleep(0.01)
        return self.seen_at[key] - since


class StoreReturnTest(unittest.TestCase):
    """The change is appended as the store returns, so its bound begins there."""

    def delay_after_an_outage(self, seconds):
        """Return the seconds from the store's return until a follower has a record of then."""

        def session(loop):
            followed = FollowedStore(loop)
            gevent.sleep(OUTAGE_START)
            followed.store.fall_silent(seconds)
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
            followed.store.silent = True
            pending = []
            for _ in range(200):
                gevent.sleep(0.1)
                pending.append(len(followed.follower._reads))
            return max(pending), followed.log.count(Event.STORE_READ_FAILED)

        most, failed = run_virtual(session)
        self.assertLessEqual(most, MAX_PENDING)
        self.assertLessEqual(failed, 20.0 / RETRY_INTERVAL)

    def test_a_read_that_fails_late_does_not_begin_another_outage(self):
        def session(loop):
            followed = FollowedStore(loop)
            gevent.sleep(OUTAGE_START)
            followed.store.fall_silent(4.0)
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

        run_virtual(session)


class LateFailureTest(unittest.TestCase):
    def test_calls_that_fail_after_a_later_one_was_answered_begin_no_outage(self):
        def session(loop):
            followed = FollowedStore(loop)
            followed.running.kill()
            gevent.spawn(followed.store.fall_silent, 0.5)
            gevent.sleep(0.1)
            late = [gevent.spawn(followed.topics.newest, "t", 0) for _ in range(3)]
            gevent.sleep(0.5)
            followed.topics.newest("t", 0)
            gevent.joinall(late)
            failed = [type(one.exception) for one in late]
            return failed, followed.topics.failing

        failed, failing = run_virtual(session)
        self.assertEqual(failed, [StoreUnavailableError] * 3)
        self.assertFalse(failing)


class AnswerElsewhereTest(unittest.TestCase):
    def delay_beside_answered_calls(self, seconds):
        """Return the delay of a change of the store's return, if other calls are made all the time.

        Another call begins every 0.1 s, and its answer shows that the store is back.
        """

        def session(loop):
            followed = FollowedStore(loop)
            followed.topics.on_answered = followed.follower.record_answer_elsewhere
            gevent.sleep(OUTAGE_START)
            gevent.spawn(followed.store.fall_silent, seconds)
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


if __name__ == "__main__":
    unittest.main()
