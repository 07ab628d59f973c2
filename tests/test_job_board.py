"""Board of routed batch jobs: all readers, also of the newest records alone, agree on its state."""

import contextlib
import unittest

from hypothesis import given
from hypothesis import strategies as st

from postvalve.core.batch.item_end import ItemEnd, ItemEndError, ItemState, unpack_end
from postvalve.core.batch.job_board import JOB_FORM, JobBoard, RecordKind, board_of, record_key
from postvalve.core.batch.job_items import ItemSpec, JobItemsError, pack_items, unpack_items
from postvalve.messages.generated import gateway

ITEMS = 3


def accepted(job_id="j", claim="c0", tokens=100, route="r"):
    return gateway.JobAccepted(
        job_id=job_id,
        route=route,
        items=pack_items(ItemSpec(f"i{n}", tokens) for n in range(ITEMS)),
        form=JOB_FORM,
        accepted_at_ms=1_000,
        give_up_at_ms=61_000,
        node_id="n0",
        incarnation=1,
        claim_id=claim,
    )


def ended(index, text_offset=1, job_id="j"):
    return ItemEnd(job_id, index, ItemState.COMPLETED, "c", text_offset=text_offset)


def claimed(claim, replaces, node="n1"):
    return gateway.JobClaimed(
        job_id="j", claim_id=claim, replaces=replaces, node_id=node, incarnation=7
    )


def _value(message):
    return message.pack() if isinstance(message, ItemEnd) else bytes(message)


class Topic:
    """A keyed topic with its full history and the newest record of each key."""

    def __init__(self):
        self.log = []

    def add(self, kind, message, *parts):
        self.log.append((len(self.log), record_key(kind, *parts), _value(message)))

    def newest(self):
        return list({key: (offset, key, value) for offset, key, value in self.log}.values())


class JobBoardTest(unittest.TestCase):
    def setUp(self):
        self.topic = Topic()
        self.topic.add(RecordKind.ACCEPT, accepted(), "j", "c0")

    def board(self):
        board = JobBoard()
        for offset, key, value in self.topic.log:
            board.observe(offset, key, value)
        return board

    def test_first_end_of_an_item_counts(self):
        self.topic.add(RecordKind.ITEM, ended(1, 71), "j", "1", "a")
        self.topic.add(RecordKind.ITEM, ended(1, 72), "j", "1", "b")
        self.topic.add(RecordKind.ITEM, ended(0), "j", "0", "c")
        results = self.board().jobs["j"].results
        self.assertEqual([(end.item_index, end.text_offset) for end in results], [(1, 71), (0, 1)])

    def test_nothing_counts_after_the_end_of_the_job(self):
        self.topic.add(RecordKind.END, gateway.JobEnded(job_id="j"), "j", "a")
        self.topic.add(RecordKind.ITEM, ended(1), "j", "1", "a")
        job = self.board().jobs["j"]
        self.assertEqual(job.results, [])
        self.assertFalse(job.open)
        self.assertEqual(job.waiting_tokens, 0)

    def test_the_first_of_two_competing_claims_counts(self):
        self.topic.add(RecordKind.CLAIM, claimed("c1", "c0", "n1"), "j", "c1")
        self.topic.add(RecordKind.CLAIM, claimed("c2", "c0", "n2"), "j", "c2")
        self.assertEqual(self.board().jobs["j"].node_id, "n1")
        self.topic.add(RecordKind.CLAIM, claimed("c3", "c1", "n3"), "j", "c3")
        self.assertEqual(self.board().jobs["j"].node_id, "n3")

    def test_a_resent_job_is_the_same_job(self):
        self.topic.add(RecordKind.ITEM, ended(1), "j", "1", "a")
        self.topic.add(RecordKind.ACCEPT, accepted(claim="x"), "j", "x")
        job = self.board().jobs["j"]
        self.assertEqual((job.claim_id, len(job.results)), ("c0", 1))

    def test_waiting_tokens_are_those_of_open_items(self):
        self.topic.add(RecordKind.ITEM, ended(1), "j", "1", "a")
        self.topic.add(RecordKind.ACCEPT, accepted("k", "k0"), "k", "k0")
        self.topic.add(RecordKind.ACCEPT, accepted("o", "o0", route="other"), "o", "o0")
        self.assertEqual(self.board().waiting_tokens("r", ""), 200 + 300)

    def test_dropped_jobs_are_gone(self):
        self.topic.log.append((1, record_key(RecordKind.ACCEPT, "j", "c0"), b""))
        self.assertEqual(self.board().jobs, {})

    def test_old_jobs_expire(self):
        board = self.board()
        self.assertEqual(board.expired(100_000, 30_000), [board.jobs["j"]])
        self.assertEqual(board.expired(80_000, 30_000), [])

    def test_unreadable_records_are_skipped_and_reported(self):
        board = self.board()
        board.observe(5, "item/j/1/a", b"\xff\xff\xff")
        board.observe(6, "unknown/j", b"x")
        self.assertTrue(board.jobs["j"].open)
        self.assertEqual(board.unreadable, ["item/j/1/a"])

    def test_acceptances_in_another_form_are_reported(self):
        board = JobBoard()
        older = accepted()
        for offset, form in enumerate(range(JOB_FORM)):
            older.form = form
            board.observe(offset, "accept/j/c0", bytes(older))
        self.assertEqual((board.jobs, board.unreadable), ({}, ["accept/j/c0"] * JOB_FORM))

    def test_every_effective_claim_is_recorded(self):
        self.topic.add(RecordKind.CLAIM, claimed("c1", "c0", "n1"), "j", "c1")
        self.topic.add(RecordKind.CLAIM, claimed("c9", "c0", "n2"), "j", "c9")
        job = self.board().jobs["j"]
        self.assertEqual(job.claims, [("c0", "n0"), ("c1", "n1")])
        self.assertEqual(job.holders, ["n0", "n1"])


class ItemEndTest(unittest.TestCase):
    short = st.integers(0, 2**16 - 1)
    ends = st.builds(
        ItemEnd,
        st.text(max_size=40),
        short,
        st.sampled_from(ItemState),
        st.text(max_size=40),
        short,
        st.integers(0, 2**64 - 1),
        short,
        st.integers(0, 2**32 - 1),
    )

    @given(ends)
    def test_an_end_round_trips(self, end):
        self.assertEqual(unpack_end(end.pack()), end)

    @given(ends, st.data())
    def test_a_truncated_end_is_rejected(self, end, data):
        whole = end.pack()
        size = data.draw(st.integers(0, len(whole) - 1))
        with self.assertRaises(ItemEndError):
            unpack_end(whole[:size])

    @given(st.binary(max_size=120))
    def test_arbitrary_bytes_are_rejected_or_round_trip(self, data):
        with contextlib.suppress(ItemEndError):
            self.assertEqual(unpack_end(data).pack(), data)

    def test_an_unknown_state_is_rejected(self):
        whole = bytearray(ended(1).pack())
        whole[2] = 7
        with self.assertRaises(ItemEndError):
            unpack_end(bytes(whole))


class ItemTableTest(unittest.TestCase):
    numbers = st.integers(0, 2**32 - 1)
    items = st.lists(
        st.builds(
            ItemSpec, st.text(max_size=40), numbers, numbers, numbers, st.integers(0, 9), numbers
        ),
        max_size=6,
    ).map(tuple)

    @given(items)
    def test_a_table_round_trips(self, items):
        self.assertEqual(unpack_items(pack_items(items)), items)

    @given(items, st.integers(1, 50))
    def test_a_truncated_table_is_rejected_or_shorter(self, items, missing):
        data = pack_items(items)
        with contextlib.suppress(JobItemsError):
            read = unpack_items(data[: max(0, len(data) - missing)])
            self.assertEqual(read, items[: len(read)])
            self.assertLess(len(read), max(1, len(items)))

    @given(st.binary(max_size=100))
    def test_arbitrary_bytes_raise_no_other_error(self, data):
        with contextlib.suppress(JobItemsError):
            unpack_items(data)


class NewestRecordsTest(unittest.TestCase):
    """A reader of the newest records gets the same positions as one that read the whole topic."""

    @given(st.lists(st.tuples(st.integers(0, ITEMS - 1), st.booleans()), max_size=12))
    def test_positions_are_the_same(self, ends):
        topic = Topic()
        topic.add(RecordKind.ACCEPT, accepted(), "j", "c0")
        for number, (index, repeated) in enumerate(ends):
            topic.add(RecordKind.ITEM, ended(index, number), "j", str(index), str(number))
            if repeated:
                # Simulates a retry after a lost answer, which uses its own key.
                key = f"{number}/1"
                topic.add(RecordKind.ITEM, ended(index, number), "j", str(index), key)
        followed = JobBoard()
        for offset, key, value in topic.log:
            followed.observe(offset, key, value)
        replayed = board_of(topic.newest())
        self.assertEqual(followed.jobs["j"].results, replayed.jobs["j"].results)


if __name__ == "__main__":
    unittest.main()
