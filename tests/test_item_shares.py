"""The order of batch items where tenants compete: by tags that every node reads from the log."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from postvalve.core.batch.item_end import ItemEnd, ItemState
from postvalve.core.batch.item_order import (
    MISSED_DUE_PENALTY_MS,
    TAG_STEP,
    DurationEstimate,
    ShareRank,
    merge_token_times,
    share_urgency,
    urgency,
)
from postvalve.core.batch.item_shares import ItemShares
from postvalve.core.batch.job_board import JOB_FORM, JobBoard, RecordKind, record_key
from postvalve.core.batch.job_items import ItemSpec, pack_items
from postvalve.messages.generated import gateway

TENANTS = ("ann", "bob", "cy")


class Log:
    """Records of jobs, as nodes append them: each names the clock of its board."""

    def __init__(self, weights=None):
        self.weights = weights or {}
        self.board = JobBoard(self.weights)
        self.records = []
        self.due = {}

    def _append(self, key, value):
        self.records.append((len(self.records), key, value))
        self.board.observe(*self.records[-1])

    def accept(self, job_id, tenant, tokens, due=0):
        self.due[job_id] = due
        specs = [ItemSpec(f"{job_id}-{number}", one, 0, one, 1, 1) for number, one in tokens]
        record = gateway.JobAccepted(
            job_id=job_id, tenant=tenant, items=pack_items(specs), due_at_ms=due, form=JOB_FORM,
            claim_id="c", share_clock=self.board.shares.clock,
        )  # fmt: skip
        self._append(record_key(RecordKind.ACCEPT, job_id, "n"), bytes(record))

    def end(self, job_id, index, state=ItemState.COMPLETED):
        end = ItemEnd(job_id, index, state, "c")
        key = record_key(RecordKind.ITEM, job_id, str(index), str(len(self.records)))
        self._append(key, end.pack())

    def cancel(self, job_id):
        key = record_key(RecordKind.END, job_id, str(len(self.records)))
        self._append(key, bytes(gateway.JobEnded(job_id=job_id)))

    def replay(self, dropped=()):
        """What a node sees that starts now, after some jobs were dropped from the log."""
        board = JobBoard(self.weights)
        for offset, key, value in self.records:
            if key.split("/")[1] not in dropped:
                board.observe(offset, key, value)
        return board


def waiting(board):
    """Items without a result, in the order of their tags."""
    found = [
        (board.shares.tag(job.job_id, index), job.job_id, index)
        for job in board.open_jobs()
        for index in job.unfinished()
    ]
    return sorted(found)


def key(log, job_id, index):
    """What nodes tell each other of an item."""
    rank = ShareRank(0, log.board.shares.tag(job_id, index))
    return share_urgency(rank, log.due[job_id], 0, 0.0)


steps = st.lists(
    st.tuples(st.sampled_from(["accept", "accept", "end", "cancel"]), st.integers(0, 10**6)),
    max_size=60,
)


def played(moves):
    log = Log({"ann": 1.0, "bob": 2.0})
    for number, (move, draw) in enumerate(moves):
        chance = random.Random(draw)
        if move == "accept":
            tokens = list(enumerate(chance.choices((200, 1_500, 9_000), k=chance.randint(1, 4))))
            due = chance.randint(0, 30_000)
            log.accept(f"j{number}", chance.choice(TENANTS), tokens, due)
        elif found := waiting(log.board):
            _, job_id, index = chance.choice(found[:3])
            log.cancel(job_id) if move == "cancel" else log.end(job_id, index)
    return log


class SameOrderTest(unittest.TestCase):
    @settings(deadline=None)
    @given(steps, st.integers(0, 60))
    def test_nodes_that_have_read_the_same_log_have_one_order(self, moves, cut):
        """One that reads it at once, and one that reads it in two parts."""
        log = played(moves)
        late = JobBoard(log.weights)
        for record in [*log.records[:cut], *log.records]:
            late.observe(*record)
        self.assertEqual(waiting(log.replay()), waiting(log.board))
        self.assertEqual(waiting(late), waiting(log.board))

    @settings(deadline=None)
    @given(steps)
    def test_a_node_that_starts_after_old_jobs_were_dropped_places_new_ones_alike(self, moves):
        log = played(moves)
        log.accept("new", "dora", [(0, 100)])
        closed = {one for one, job in log.board.jobs.items() if not job.open}
        started = log.replay(closed)
        self.assertEqual(started.shares.tag("new", 0), log.board.shares.tag("new", 0))
        self.assertEqual(started.shares.clock, log.board.shares.clock)

    def test_items_of_one_tenant_stand_by_due_time(self):
        log = Log()
        log.accept("late", "ann", [(0, 100), (1, 100)], due=20)
        log.accept("soon", "ann", [(0, 100)], due=10)
        self.assertEqual([one[1] for one in waiting(log.board)], ["soon", "late", "late"])

    def test_a_node_of_an_earlier_build_tells_no_clock(self):
        shares = ItemShares({})
        shares.add_job("a", "ann", 5_000, 0, [100])
        shares.add_job("b", "bob", 0, 0, [100])
        self.assertEqual((shares.tag("a", 0), shares.tag("b", 0)), (5_000, 0))


class FairTest(unittest.TestCase):
    @settings(deadline=None, max_examples=60)
    @given(
        st.lists(st.sampled_from((2_000, 15_000, 90_000)), min_size=30, max_size=30),
        st.lists(st.sampled_from((2_000, 15_000, 90_000)), min_size=30, max_size=30),
        st.sampled_from((0.5, 1.0, 3.0)),
        st.integers(1, 8),
        st.integers(0, 1_000),
    )
    def test_two_that_wait_get_no_further_apart_than_a_step_and_one_item_of_each(
        self, ann, bob, weight, slots, seed
    ):
        """Whatever the order in which items end: tokens started for the weight, of ann and bob."""
        log = Log({"ann": 1.0, "bob": weight})
        mean = (1 + weight) / 2
        log.accept("a", "ann", list(enumerate(ann)), due=1_000)
        log.accept("b", "bob", list(enumerate(bob)), due=2_000)
        costs = {"a": [mean * one for one in ann], "b": [mean * one / weight for one in bob]}
        started, running = {"a": 0.0, "b": 0.0}, []
        chance = random.Random(seed)
        bound = max(costs["a"]) + max(costs["b"]) + TAG_STEP
        while True:
            order = sorted((key(log, *one[1:]), *one[1:]) for one in waiting(log.board))
            free = [one[1:] for one in order if one[1:] not in running]
            if len({one[0] for one in free}) < 2:
                break
            if len(running) == slots:
                log.end(*running.pop(chance.randrange(slots)))
                continue
            job_id, index = free[0]
            running.append((job_id, index))
            started[job_id] += costs[job_id][index]
            # One more for the tags of a report, which are whole tokens.
            self.assertLessEqual(abs(started["a"] - started["b"]), bound + 1)

    def test_nothing_starves_while_others_keep_coming(self):
        """Also beside tenants that nobody has heard of: these are equals, and go by due time."""
        log = Log()
        log.accept("one", "ann", [(0, 15_000)], due=20_000)
        for now in range(0, 400, 10):
            log.accept(f"b{now}", "bob", [(0, 15_000)], due=now * 100 + 5_000)
            log.accept(f"c{now}", f"new{now}", [(0, 15_000)], due=now * 100 + 5_000)
            _, job_id, index = min((key(log, *one[1:]), *one[1:]) for one in waiting(log.board))
            log.end(job_id, index)
        self.assertNotIn("one", {one[1] for one in waiting(log.board)})

    def test_one_tenant_with_thirty_jobs_beside_ten_with_one(self):
        """With five slots, the ten are done while the one gets what a tenant of eleven gets.

        By due time all thirty would go first: they were sent first.
        """
        log = Log()
        for number in range(30):
            log.accept(f"big{number}", "big", [(one, 1_500) for one in range(10)], due=1)
        for number in range(10):
            log.accept(f"small{number}", f"t{number}", [(one, 1_500) for one in range(10)], due=2)
        first = [one[1] for one in waiting(log.board)[:110]]
        self.assertEqual(sum(one.startswith("big") for one in first), 10)

    def test_what_one_leaves_is_the_others_at_once(self):
        log = Log()
        log.accept("a", "ann", [(0, 1_500)])
        log.accept("b", "bob", [(one, 1_500) for one in range(5)])
        log.end("a", 0)
        self.assertEqual([one[1] for one in waiting(log.board)], ["b"] * 5)

    def test_who_sent_nothing_for_a_while_saves_nothing_up(self):
        log = Log()
        log.accept("b", "bob", [(one, 1_000) for one in range(50)])
        for index in range(40):
            log.end("b", index)
        log.accept("a", "ann", [(one, 1_000) for one in range(50)])
        ann = [log.board.shares.tag("a", index) for index in range(2)]
        self.assertEqual(ann, [39_000, 40_000])

    def test_what_was_cancelled_is_not_counted(self):
        log = Log()
        log.accept("a", "ann", [(one, 1_000) for one in range(50)])
        log.accept("later", "ann", [(0, 1_000)])
        log.end("a", 0)
        log.cancel("a")
        self.assertEqual(log.board.shares.tag("later", 0), 1_000)

    def test_items_that_were_given_up_move_nobody_back(self):
        log = Log()
        log.accept("a", "ann", [(one, 1_000) for one in range(50)])
        log.end("a", 49, ItemState.DEAD)
        self.assertEqual(log.board.shares.clock, 0)

    def test_other_weights_let_tenants_go_on_side_by_side(self):
        shares = ItemShares({})
        shares.add_job("a", "ann", 0, 0, [1_000] * 5)
        shares.add_job("b", "bob", 0, 0, [1_000] * 5)
        shares.set_weights({"ann": 3.0, "bob": 1.0})
        self.assertEqual([shares.tag("a", 3), shares.tag("b", 1)], [2_000, 2_000])


class ShareUrgencyTest(unittest.TestCase):
    def rank(self, tag, due=20_000, priority=0, left=1.0):
        return share_urgency(ShareRank(priority, tag), due, 10_000, left)

    def test_what_goes_before_what(self):
        """Hopeless ones last; then priority, share, due time."""
        ordered = [
            self.rank(0),
            self.rank(TAG_STEP - 1, due=21_000),
            self.rank(TAG_STEP, due=15_000),
            self.rank(0, priority=1),
            self.rank(0, left=11.0),
        ]
        self.assertEqual(ordered, sorted(ordered))
        self.assertEqual(len(set(ordered)), len(ordered))

    def test_one_that_is_late_for_long_waits_no_longer_behind_all_others(self):
        """Else a tenant's late items never start while another sends more than there is room for;
        by due time they do after the same time."""
        due = 20_000
        for late, goes_first in ((MISSED_DUE_PENALTY_MS - 1, False), (MISSED_DUE_PENALTY_MS, True)):
            now = due + late
            old = share_urgency(ShareRank(0, 0), due, now, 1.0)
            new = share_urgency(ShareRank(0, TAG_STEP), now + 10_000, now, 1.0)
            self.assertEqual(old < new, goes_first)

    @given(st.integers(0, 2**70), st.integers(0, 2**50), st.integers(0, 99), st.floats(0, 10**6))
    def test_it_fits_a_report(self, tag, due, priority, left):
        self.assertLess(self.rank(tag, due, priority, left), 1 << 64)

    @given(st.lists(st.integers(1, 10**6), max_size=20))
    def test_equal_tags_go_by_due_time(self, due):
        """Against the order of today, to the step in which due times are told."""
        now = 0
        by_share = sorted(due, key=lambda one: share_urgency(ShareRank(0, 7), one, now, 0.0))
        by_due = sorted(due, key=lambda one: urgency(one, now, 0.0))
        self.assertEqual([one // 64 for one in by_share], [one // 64 for one in by_due])


class ToldEstimateTest(unittest.TestCase):
    def test_a_node_where_no_item_ended_goes_by_what_peers_tell(self):
        """Else all its items press, and start beside a heap that cuts them at once."""
        learnt = []
        for seconds in (4.0, 5.0, 60.0):
            learnt.append(DurationEstimate())
            learnt[-1].observe(seconds, 1_000)
        new = DurationEstimate()
        new.record([b"", b"\x00"])
        self.assertEqual(new.seconds_left(1_000, 0.0), 0.0)
        new.record([one.pack() for one in learnt])
        self.assertAlmostEqual(new.seconds_left(1_000, 0.0), 5.75)
        self.assertEqual(new.pack(), b"")
        zone = DurationEstimate()
        zone.learn_from_peers([merge_token_times([one.pack() for one in learnt] + [b""])])
        self.assertAlmostEqual(zone.seconds_left(1_000, 0.0), 5.75)
        self.assertEqual(merge_token_times([b""]), b"")

    def test_what_ended_here_goes_before_what_peers_tell(self):
        estimate, other = DurationEstimate(), DurationEstimate()
        estimate.observe(2.0, 1_000)
        other.observe(9.0, 1_000)
        estimate.learn_from_peers([other.pack()])
        self.assertAlmostEqual(estimate.seconds_left(1_000, 0.0), 2.3)


if __name__ == "__main__":
    unittest.main()
