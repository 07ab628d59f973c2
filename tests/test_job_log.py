"""Job topic on a store that loses answers, delays appends and drops its history."""

import itertools
import random
import unittest
from unittest import mock

import gevent

from postvalve.clock import SystemClock
from postvalve.core.batch.item_end import ItemEnd, ItemState
from postvalve.core.batch.job_board import JOB_FORM, RecordKind, record_key
from postvalve.core.batch.job_items import ItemSpec, pack_items
from postvalve.emulator.keyed_topics import MemoryTopics
from postvalve.exceptions import Verdict
from postvalve.gateway.interfaces import GatewaySettings, KeyedRecord, StoreUnavailableError
from postvalve.gateway.jobs import result_texts
from postvalve.gateway.jobs.end_writer import EndedItem, EndWriter
from postvalve.gateway.jobs.job_log import JobLog
from postvalve.gateway.jobs.result_texts import pack_text
from postvalve.messages.generated import gateway
from tests.gateway_support import RecordingEventLog
from tests.test_job_board import accepted

SETTINGS = GatewaySettings(
    node_id="n",
    zone="z",
    listen="",
    ready_listen="",
    peer_listen="",
    metrics_listen="",
    grace=8.0,
    drain_notice=2.0,
    read_patience=1.0,
    body_partitions=2,
    record_bytes=8_192,
    call_bytes=16_384,
)


def job_log(topics):
    return JobLog(SETTINGS, topics, SystemClock(), RecordingEventLog())


def accept(log, items=3):
    accepted = gateway.JobAccepted(
        job_id="j",
        items=pack_items(ItemSpec(str(number)) for number in range(items)),
        claim_id="c",
        node_id="n",
        form=JOB_FORM,
    )
    key = record_key(RecordKind.ACCEPT, "j", "c")
    log.follower.catch_up()
    assert log.append_at_end([KeyedRecord(key, bytes(accepted))])


def end_record(index):
    end = ItemEnd("j", index, ItemState.COMPLETED, "c")
    return KeyedRecord(record_key(RecordKind.ITEM, "j", str(index), "nonce"), end.pack())


def positions(log):
    log.follower.catch_up()
    return [end.item_index for end in log.board.jobs["j"].results]


class PositionTest(unittest.TestCase):
    def setUp(self):
        self.topics = MemoryTopics()
        self.log = job_log(self.topics)
        accept(self.log)

    def test_a_delayed_append_that_is_retried_moves_no_position(self):
        self.topics.late_appends = 1
        self.topics.late_append_delay = 0.3
        self.log.append([end_record(0)], 2.0)
        self.log.append([end_record(1)], 2.0)
        before = positions(self.log)
        gevent.sleep(0.4)
        self.topics.drop_history()
        self.assertEqual(before, [0, 1])
        self.assertEqual(positions(job_log(self.topics)), before)
        self.assertEqual(positions(self.log), before)

    def test_an_append_without_an_answer_may_have_run(self):
        self.topics.lost_answers = 100
        with self.assertRaises(StoreUnavailableError) as caught:
            self.log.append([end_record(0)], 0.2)
        self.assertIs(caught.exception.verdict, Verdict.MAY_HAVE_RUN)

    def test_a_store_that_is_down_did_nothing(self):
        self.topics.down = True
        with self.assertRaises(StoreUnavailableError) as caught:
            self.log.append([end_record(0)], 0.2)
        self.assertIs(caught.exception.verdict, Verdict.NOT_RUN)


class ConditionalAppendTest(unittest.TestCase):
    def test_an_acceptance_fails_after_a_concurrent_append(self):
        topics = MemoryTopics()
        first, second = job_log(topics), job_log(topics)
        first.follower.catch_up()
        accept(second)
        self.assertFalse(first.append_at_end([end_record(0)]))


class RequestTest(unittest.TestCase):
    def setUp(self):
        self.topics = MemoryTopics()
        self.log = job_log(self.topics)
        self.requests = [b"", b"x" * 3, bytes(range(256)) * 100, b"last"]

    def job(self):
        refs = self.log.store_requests("j", "c", 1, self.requests)
        accepted = gateway.JobAccepted(
            job_id="j",
            items=pack_items(
                ItemSpec(str(number), request_records=ref.records, request_bytes=ref.size)
                for number, ref in enumerate(refs)
            ),
            claim_id="c",
            request_partition=1,
            request_offset=refs[0].offset,
            form=JOB_FORM,
        )
        key = record_key(RecordKind.ACCEPT, "j", "c")
        self.log.append([KeyedRecord(key, bytes(accepted))], 0.0)
        self.log.follower.catch_up()
        return self.log.board.jobs["j"]

    def test_requests_of_any_size_can_be_read_back(self):
        job = self.job()
        read = [self.log.request(job, index) for index in range(len(self.requests))]
        self.assertEqual(read, self.requests)

    def test_requests_can_be_read_after_the_history_is_dropped(self):
        job = self.job()
        self.topics.drop_history()
        read = [self.log.request(job, index) for index in range(len(self.requests))]
        self.assertEqual(read, self.requests)

    def test_requests_can_be_read_after_lost_answers(self):
        self.topics.lost_answers = 2
        job = self.job()
        read = [self.log.request(job, index) for index in range(len(self.requests))]
        self.assertEqual(read, self.requests)

    def test_all_requests_of_a_job_are_read_with_one_call(self):
        job = self.job()
        calls = self.topics.calls
        self.assertEqual(self.log.requests(job), self.requests)
        self.assertEqual(self.topics.calls - calls, 1)

    def test_reading_a_request_fetches_no_later_records(self):
        job = self.job()
        read = []
        whole = self.topics.read

        def counted(*arguments):
            part = whole(*arguments)
            read.append(sum(len(record.value) for record in part.records))
            return part

        with mock.patch.object(self.topics, "read", counted):
            self.log.request(job, 1)
        self.assertEqual(read, [1 + len(self.requests[1])])

    def test_dropped_jobs_leave_nothing(self):
        job = self.job()
        self.log.drop_jobs([job])
        self.assertEqual(self.topics.partition("requests", 1).newest(), [])
        self.assertEqual(self.topics.partition("jobs", 0).newest(), [])
        self.log.follower.catch_up()
        self.assertEqual(self.log.board.jobs, {})


class TextTest(unittest.TestCase):
    """Texts of finished items are stored apart from the records that all nodes read."""

    def setUp(self):
        self.topics = MemoryTopics()
        self.log = job_log(self.topics)
        accept(self.log)
        self.texts = {0: b"short", 1: bytes(range(256)) * 200, 2: b"last"}
        self.new_id = map(str, itertools.count()).__next__

    def end(self, *indexes, claim="c"):
        state = ItemState.COMPLETED
        writer = EndWriter(self.log, RecordingEventLog(), SETTINGS.call_bytes, self.new_id)
        writer._write(
            [EndedItem("j", index, claim, state, pack_text(self.texts[index])) for index in indexes]
        )

    def read(self, log):
        log.follower.catch_up()
        results = log.board.jobs["j"].results
        texts = log.texts.get(results)
        return {end.item_index: text for end, text in zip(results, texts, strict=True)}

    def test_texts_of_any_size_can_be_read_at_every_node(self):
        self.end(0, 1)
        self.end(2)
        self.assertEqual(self.read(self.log), self.texts)
        self.assertEqual(self.read(job_log(self.topics)), self.texts)
        self.topics.drop_history()
        self.assertEqual(self.read(job_log(self.topics)), self.texts)

    def test_texts_survive_lost_answers(self):
        self.topics.lost_answers = 2
        self.end(0, 1, 2)
        self.assertEqual(self.read(job_log(self.topics)), self.texts)

    def test_records_of_ends_do_not_grow_with_the_texts(self):
        self.end(0, 1, 2)
        sizes = {len(record.value) for record in self.topics.partition("jobs", 0).newest()[1:]}
        self.assertLess(max(sizes), 100)

    def test_cached_texts_need_no_call(self):
        self.end(0, 1)
        other = job_log(self.topics)
        for log in (self.log, other):
            self.read(log)
            before = self.topics.calls
            results = log.board.jobs["j"].results
            log.texts.get(results)
            self.assertEqual(self.topics.calls, before)

    def test_the_text_cache_is_bounded(self):
        self.end(0, 1, 2)
        with mock.patch.object(result_texts, "CACHE_BYTES", 60):
            reader = job_log(self.topics)
            self.assertEqual(self.read(reader), self.texts)
            self.assertEqual(len(reader.texts._cache), 1)
            self.assertEqual(self.read(reader), self.texts)

    def test_a_second_end_changes_no_text(self):
        self.end(0)
        self.texts[0] = b"another run"
        self.end(0, claim="c2")
        self.assertEqual(self.read(job_log(self.topics)), {0: b"short"})

    def test_dropping_a_job_deletes_the_text_of_a_second_end(self):
        self.drop_after_second_end(b"another run")

    def test_dropping_a_job_deletes_all_records_of_a_second_end(self):
        self.texts[0] = random.Random(5).randbytes(3 * SETTINGS.record_bytes)
        self.drop_after_second_end(self.texts[0])

    def drop_after_second_end(self, text):
        self.end(0, 1)
        self.texts[0] = text
        claim = gateway.JobClaimed(job_id="j", claim_id="c2", replaces="c", node_id="n")
        key = record_key(RecordKind.CLAIM, "j", "c2")
        self.log.append([KeyedRecord(key, bytes(claim))], 0.0)
        self.end(0, claim="c2")
        self.log.follower.catch_up()
        self.log.drop_jobs([self.log.board.jobs["j"]])
        left = [
            record.key
            for part in range(2)
            for record in self.topics.partition("texts", part).newest()
        ]
        self.assertEqual(left, [])


class RestartTest(unittest.TestCase):
    def test_a_job_accepted_while_the_board_is_read_is_found(self):
        """Guards against missing a job that is accepted while a starting node reads the board in
        pages.

        The fault was found by a randomized test in which nodes start and accept jobs at the same
        time.
        """
        topics = MemoryTopics()
        for number in range(600):
            topics.append("jobs", 0, [KeyedRecord(f"item/x/{number}", b"\x00")])
        log = job_log(topics)
        accepted_during_read = []

        def newest(topic, part, after="", read=MemoryTopics.newest):
            answer = read(topics, topic, part, after)
            if not accepted_during_read:
                accepted_during_read.append(True)
                topics.append("jobs", 0, [KeyedRecord("accept/j/c0", bytes(accepted()))])
                topics.append(
                    "jobs", 0, [KeyedRecord("node/n9", bytes(gateway.NodeStarted(node_id="n9")))]
                )
            return answer

        topics.newest = newest
        log.follower.catch_up()
        log.follower.catch_up()
        self.assertIn("j", log.board.jobs)


if __name__ == "__main__":
    unittest.main()
