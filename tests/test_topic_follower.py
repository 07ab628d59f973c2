"""A follower misses no record, in whatever order its concurrent reads finish."""

import contextlib
import unittest

import gevent
from gevent.event import Event as Gate

from postvalve.clock import SystemClock
from postvalve.emulator.keyed_topics import MemoryTopics
from postvalve.emulator.virtual_time import VirtualClock, run_virtual
from postvalve.events import Event
from postvalve.exceptions import Verdict
from postvalve.gateway.interfaces import KeyedRecord, StoreUnavailableError, TopicSlice
from postvalve.gateway.knowledge.topic_follower import TopicFollower
from tests.gateway_support import RecordingEventLog
from tests.waiting import wait_until


class SlowPages(MemoryTopics):
    """A store whose first answer to `newest` is delayed until `gate` is set."""

    def __init__(self):
        super().__init__()
        self.gate = Gate()
        self.held = False

    def newest(self, topic, part, after=""):
        answer = super().newest(topic, part, after)
        if not self.held:
            self.held = True
            self.gate.wait()
        return answer


class FollowerCase(unittest.TestCase):
    topics_class = MemoryTopics

    def setUp(self):
        self.topics = self.topics_class()
        self.seen = {}
        self.log = RecordingEventLog()
        self.follower = TopicFollower(
            self.topics, SystemClock(), self.log, "t", self.observe, wait=0.2, pause=0.01
        )

    def observe(self, records, whole):
        if whole:
            self.seen = {}
        for record in records:
            self.seen[record.key] = record.value

    def add(self, *keys):
        self.topics.append("t", 0, [KeyedRecord(key, b"v") for key in keys])

    def start(self):
        running = gevent.spawn(self.follower.run)
        self.addCleanup(running.kill)


class OvertakingTest(FollowerCase):
    topics_class = SlowPages

    def test_a_delayed_page_does_not_restore_an_older_state(self):
        self.add("a")
        late = gevent.spawn(self.follower.catch_up)
        gevent.sleep(0)
        self.add("b")
        early = gevent.spawn(self.follower.catch_up)
        gevent.sleep(0.05)
        self.topics.gate.set()
        gevent.joinall([late, early], raise_error=True)
        self.add("c")
        self.follower.catch_up()
        self.assertEqual(sorted(self.seen), ["a", "b", "c"])


class GrowingPages(MemoryTopics):
    """A store in which records are appended between the first and the second page."""

    between = ()

    def newest(self, topic, part, after=""):
        answer = super().newest(topic, part, after)
        if not after:
            for key in self.between:
                self.append(topic, part, [KeyedRecord(key, b"v")])
        return answer


class GrowingTest(FollowerCase):
    topics_class = GrowingPages

    def observe(self, records, whole):
        offsets = [record.offset for record in records]
        self.assertEqual(offsets, sorted(offsets))
        if not whole:
            self.assertGreater(min(offsets), self.last)
        self.last = max(offsets)
        super().observe(records, whole)

    def test_records_appended_between_pages_are_passed_on_in_order(self):
        self.add(*(f"k{number:04d}" for number in range(700)))
        # "early" belongs to a page that was already read, "late" to one that was not.
        self.topics.between = ("early", "late")
        self.follower.catch_up()
        self.follower.catch_up()
        self.assertEqual(len(self.seen), 702)


class FailingPages(MemoryTopics):
    """A store that does not answer every second call for a page."""

    pages = 0

    def newest(self, topic, part, after=""):
        self.pages += 1
        if self.pages % 2 == 0:
            raise StoreUnavailableError("no answer", Verdict.MAY_HAVE_RUN)
        return super().newest(topic, part, after)


class FailingPagesTest(FollowerCase):
    """An unanswered page must not restart the first read.

    When all nodes start at once the store is overloaded, and a directory of 3,000 engines has six
    pages. With every second page lost, a read that restarts never completes.
    """

    topics_class = FailingPages

    def test_a_read_resumes_after_the_last_answered_page(self):
        self.add(*(f"k{number:04d}" for number in range(1_800)))
        for _ in range(6):
            with contextlib.suppress(StoreUnavailableError):
                self.follower.catch_up()
                # Records appended between the pages are read after them.
                self.add("last")
        self.assertTrue(self.follower.loaded)
        self.assertEqual(self.topics.pages, 7)
        self.follower.catch_up()
        self.assertEqual(len(self.seen), 1_801)

    def test_records_deleted_between_pages_are_not_kept(self):
        self.add(*(f"k{number:04d}" for number in range(900)))
        with self.assertRaises(StoreUnavailableError):
            self.follower.catch_up()
        gone = [KeyedRecord(key, b"") for key in ("k0001", "k0899")]
        self.topics.append("t", 0, gone)
        for _ in range(6):
            with contextlib.suppress(StoreUnavailableError):
                self.follower.catch_up()
        self.assertTrue(self.follower.loaded)
        self.assertEqual(sum(bool(value) for value in self.seen.values()), 898)
        self.assertEqual([self.seen[key] for key in ("k0001", "k0899")], [b"", b""])


class StaleAnswers(MemoryTopics):
    """A store whose later pages, or all reads, are some records behind."""

    records_behind = 0
    stale_reads = False

    def newest(self, topic, part, after=""):
        if not after:
            return super().newest(topic, part, after)
        return self._behind(super().newest, topic, part, after)

    def read(self, topic, part, offset, wait, limit):
        if not self.stale_reads:
            return super().read(topic, part, offset, wait, limit)
        return self._behind(super().read, topic, part, offset, wait, limit)

    def _behind(self, call, topic, part, *arguments):
        partition = self.partition(topic, part)
        log = partition.log
        partition.log = log[: len(log) - self.records_behind]
        try:
            return call(topic, part, *arguments)
        finally:
            partition.log = log


class StaleAnswersTest(FollowerCase):
    topics_class = StaleAnswers

    def test_a_change_that_a_stale_page_lacks_is_read_from_the_history(self):
        self.add(*(f"k{number:04d}" for number in range(600)))
        self.topics.append("t", 0, [KeyedRecord("k0599", b"new")])
        self.topics.records_behind = 1
        self.follower.catch_up()
        self.follower.catch_up()
        self.assertEqual(self.seen["k0599"], b"new")

    def test_an_answer_that_ends_before_known_records_does_not_make_the_copy_fresh(self):
        self.add("a", "b")
        self.follower.catch_up()
        fresh_at = self.follower.fresh_at
        self.topics.records_behind, self.topics.stale_reads = 1, True
        self.follower.catch_up()
        self.assertEqual(self.follower.fresh_at, fresh_at)
        self.assertEqual(self.follower.next_offset, 2)


class AgeTest(unittest.TestCase):
    """The age of a follower's copy counts from when the store surely looked for records."""

    def age_after_a_read(self, held):
        """Return the age 0.5 s after an empty read with a wait of 0.8 s that took 1.0 s."""

        class LateTopics(MemoryTopics):
            def read(self, topic, part, offset, wait, limit):
                gevent.sleep(1.0)
                return TopicSlice((), 0, 0, held)

        def session(loop):
            clock = VirtualClock(loop)
            follower = TopicFollower(
                LateTopics(), clock, RecordingEventLog(), "t", lambda *_: None, wait=0.8, pause=9.0
            )
            follower.catch_up()
            gevent.spawn(follower.run)
            gevent.sleep(1.5)
            return round(follower.age, 3)

        return run_virtual(session)

    def test_a_read_held_by_the_store_covers_its_whole_wait(self):
        self.assertEqual(self.age_after_a_read(0.8), 0.7)

    def test_a_read_delayed_on_its_way_covers_only_its_start(self):
        self.assertEqual(self.age_after_a_read(0.0), 1.5)


class FollowTest(FollowerCase):
    def test_all_records_are_passed_on(self):
        self.add("a")
        self.start()
        for number in range(20):
            self.add(f"k{number}")
            gevent.sleep(0.005)
        wait_until(lambda: len(self.seen) == 21)
        self.assertTrue(self.follower.loaded)

    def test_own_records_are_not_read_unless_others_were_appended_before(self):
        self.add("a")
        self.follower.catch_up()
        record = KeyedRecord("own", b"v")
        offset = self.topics.append("t", 0, [record])
        self.assertTrue(self.follower.record_own_write([record], offset))
        self.assertEqual(sorted(self.seen), ["a", "own"])
        self.add("b")
        offset = self.topics.append("t", 0, [record])
        self.assertFalse(self.follower.record_own_write([record], offset))
        self.follower.catch_up()
        self.assertEqual(sorted(self.seen), ["a", "b", "own"])

    def test_a_snapshot_of_many_pages_is_read(self):
        self.add(*(f"k{number:04d}" for number in range(1300)))
        self.follower.catch_up()
        self.assertEqual(len(self.seen), 1300)

    def test_dropped_history_is_replaced_by_the_newest_records(self):
        self.add("a", "b")
        self.follower.catch_up()
        self.topics.append("t", 0, [KeyedRecord("a", b"")])
        self.add("c")
        self.topics.drop_history()
        self.start()
        wait_until(lambda: sorted(self.seen) == ["b", "c"])
        self.assertEqual(len([one for one, _ in self.log.written]), 1)

    def test_an_outage_and_its_end_are_logged_once(self):
        self.topics.down = True
        self.start()
        gevent.sleep(0.6)
        self.topics.down = False
        self.add("a")
        wait_until(lambda: "a" in self.seen)
        logged = [event for event, _ in self.log.written]
        failures = logged.count(Event.STORE_READ_FAILED)
        others = [event for event in logged if event is not Event.STORE_READ_FAILED]
        self.assertEqual(others, [Event.STORE_LOST, Event.STORE_REGAINED])
        self.assertGreater(failures, 1)

    def test_catching_up_without_the_store_fails_and_keeps_the_state(self):
        self.add("a")
        self.follower.catch_up()
        self.topics.down = True
        with self.assertRaises(StoreUnavailableError):
            self.follower.catch_up()
        self.assertEqual(sorted(self.seen), ["a"])


if __name__ == "__main__":
    unittest.main()
