"""Order of batch items of competing tenants, by tags that every node derives from the job log."""

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
    """Job records as nodes append them, each with the clock of its writer's board."""

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
        specs = [ItemSpec(f"{job_id}-{number}", count, 0, count, 1, 1) for number, count in tokens]
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
        """Return the board of a node that starts now, after some jobs were dropped from the log."""
        board = JobBoard(self.weights)
        for offset, key, value in self.records:
            if key.split("/")[1] not in dropped:
                board.observe(offset, key, value)
        return board


def waiting(board):
    """Return the items without a result, in the order of their tags."""
    found = [
        (board.shares.tag(job.job_id, index), job.job_id, index)
        for job in board.open_jobs()
        for index in job.unfinished()
    ]
    return sorted(found)


def key(log, job_id, index):
    """Return an item's sort key as nodes report it."""
    rank = ShareRank(0, log.board.shares.tag(job_id, index))
    return share_urgency(rank, log.due[job_id], 0, 0.0)


steps = st.lists(
    st.tuples(st.sampled_from(["accept", "accept", "end", "cancel"]), st.integers(0, 10**6)),
    max_size=60,
)


def simulate_log(moves):
    log = Log({"ann": 1.0, "bob": 2.0})
    for number, (move, seed) in enumerate(moves):
        rng = random.Random(seed)
        if move == "accept":
            tokens = list(enumerate(rng.choices((200, 1_500, 9_000), k=rng.randint(1, 4))))
            due = rng.randint(0, 30_000)
            log.accept(f"j{number}", rng.choice(TENANTS), tokens, due)
        elif found := waiting(log.board):
            _, job_id, index = rng.choice(found[:3])
            log.cancel(job_id) if move == "cancel" else log.end(job_id, index)
    return log


class SameOrderTest(unittest.TestCase):
    @settings(deadline=None)
    @given(steps, st.integers(0, 60))
    def test_nodes_that_have_read_the_same_log_have_the_same_order(self, moves, cut):
        """Compares a node that reads the log in one part with one that reads it in two."""
        log = simulate_log(moves)
        late = JobBoard(log.weights)
        for record in [*log.records[:cut], *log.records]:
            late.observe(*record)
        self.assertEqual(waiting(log.replay()), waiting(log.board))
        self.assertEqual(waiting(late), waiting(log.board))

    @settings(deadline=None)
    @given(steps)
    def test_a_node_started_after_old_jobs_were_dropped_tags_new_ones_alike(self, moves):
        log = simulate_log(moves)
        log.accept("new", "dora", [(0, 100)])
        closed = {job_id for job_id, job in log.board.jobs.items() if not job.open}
        started = log.replay(closed)
        self.assertEqual(started.shares.tag("new", 0), log.board.shares.tag("new", 0))
        self.assertEqual(started.shares.clock, log.board.shares.clock)

    def test_items_of_one_tenant_are_ordered_by_due_time(self):
        log = Log()
        log.accept("late", "ann", [(0, 100), (1, 100)], due=20)
        log.accept("soon", "ann", [(0, 100)], due=10)
        self.assertEqual([entry[1] for entry in waiting(log.board)], ["soon", "late", "late"])

    def test_a_record_of_an_earlier_build_has_no_clock(self):
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
    def test_two_backlogged_tenants_differ_by_at_most_a_step_and_one_item_each(
        self, ann, bob, weight, slots, seed
    ):
        """Bounds the difference of started tokens divided by weight, for any order of ends."""
        log = Log({"ann": 1.0, "bob": weight})
        mean = (1 + weight) / 2
        log.accept("a", "ann", list(enumerate(ann)), due=1_000)
        log.accept("b", "bob", list(enumerate(bob)), due=2_000)
        costs = {
            "a": [mean * tokens for tokens in ann],
            "b": [mean * tokens / weight for tokens in bob],
        }
        started, running = {"a": 0.0, "b": 0.0}, []
        rng = random.Random(seed)
        bound = max(costs["a"]) + max(costs["b"]) + TAG_STEP
        while True:
            order = sorted((key(log, *entry[1:]), *entry[1:]) for entry in waiting(log.board))
            free = [entry[1:] for entry in order if entry[1:] not in running]
            if len({entry[0] for entry in free}) < 2:
                break
            if len(running) == slots:
                log.end(*running.pop(rng.randrange(slots)))
                continue
            job_id, index = free[0]
            running.append((job_id, index))
            started[job_id] += costs[job_id][index]
            # Plus one, since reported tags are whole tokens.
            self.assertLessEqual(abs(started["a"] - started["b"]), bound + 1)

    def test_no_item_starves_while_others_keep_arriving(self):
        """Also beside tenants that are new: all of them rank equally, and due time decides."""
        log = Log()
        log.accept("one", "ann", [(0, 15_000)], due=20_000)
        for now in range(0, 400, 10):
            log.accept(f"b{now}", "bob", [(0, 15_000)], due=now * 100 + 5_000)
            log.accept(f"c{now}", f"new{now}", [(0, 15_000)], due=now * 100 + 5_000)
            _, job_id, index = min(
                (key(log, *entry[1:]), *entry[1:]) for entry in waiting(log.board)
            )
            log.end(job_id, index)
        self.assertNotIn("one", {entry[1] for entry in waiting(log.board)})

    def test_one_tenant_with_thirty_jobs_beside_ten_with_one(self):
        """The first 110 items are ten of each of the eleven tenants.

        With five slots, the ten small tenants finish while the large one gets an equal share. By
        due time all thirty jobs would come first, since they were sent first.
        """
        log = Log()
        for number in range(30):
            log.accept(f"big{number}", "big", [(index, 1_500) for index in range(10)], due=1)
        for number in range(10):
            log.accept(
                f"small{number}", f"t{number}", [(index, 1_500) for index in range(10)], due=2
            )
        first = [entry[1] for entry in waiting(log.board)[:110]]
        self.assertEqual(sum(job_id.startswith("big") for job_id in first), 10)

    def test_unused_capacity_goes_to_other_tenants_at_once(self):
        log = Log()
        log.accept("a", "ann", [(0, 1_500)])
        log.accept("b", "bob", [(index, 1_500) for index in range(5)])
        log.end("a", 0)
        self.assertEqual([entry[1] for entry in waiting(log.board)], ["b"] * 5)

    def test_an_idle_tenant_accumulates_no_credit(self):
        log = Log()
        log.accept("b", "bob", [(index, 1_000) for index in range(50)])
        for index in range(40):
            log.end("b", index)
        log.accept("a", "ann", [(index, 1_000) for index in range(50)])
        ann = [log.board.shares.tag("a", index) for index in range(2)]
        self.assertEqual(ann, [39_000, 40_000])

    def test_cancelled_items_are_not_charged(self):
        log = Log()
        log.accept("a", "ann", [(index, 1_000) for index in range(50)])
        log.accept("later", "ann", [(0, 1_000)])
        log.end("a", 0)
        log.cancel("a")
        self.assertEqual(log.board.shares.tag("later", 0), 1_000)

    def test_items_given_up_do_not_advance_the_clock(self):
        log = Log()
        log.accept("a", "ann", [(index, 1_000) for index in range(50)])
        log.end("a", 49, ItemState.DEAD)
        self.assertEqual(log.board.shares.clock, 0)

    def test_changed_weights_apply_from_the_present_clock(self):
        shares = ItemShares({})
        shares.add_job("a", "ann", 0, 0, [1_000] * 5)
        shares.add_job("b", "bob", 0, 0, [1_000] * 5)
        shares.set_weights({"ann": 3.0, "bob": 1.0})
        self.assertEqual([shares.tag("a", 3), shares.tag("b", 1)], [2_000, 2_000])


class ShareUrgencyTest(unittest.TestCase):
    def rank(self, tag, due=20_000, priority=0, left=1.0):
        return share_urgency(ShareRank(priority, tag), due, 10_000, left)

    def test_order_of_the_sort_key(self):
        """Items that would be late come last; then priority, share and due time decide."""
        ordered = [
            self.rank(0),
            self.rank(TAG_STEP - 1, due=21_000),
            self.rank(TAG_STEP, due=15_000),
            self.rank(0, priority=1),
            self.rank(0, left=11.0),
        ]
        self.assertEqual(ordered, sorted(ordered))
        self.assertEqual(len(set(ordered)), len(ordered))

    def test_an_item_overdue_for_long_no_longer_ranks_last(self):
        """Guards against a tenant's late items never starting while another tenant overloads the
        fleet.

        Under due-time order they start after the same delay.
        """
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
        """Compares with the order by due time, at the resolution of the sort key."""
        now = 0
        by_share = sorted(due, key=lambda due_ms: share_urgency(ShareRank(0, 7), due_ms, now, 0.0))
        by_due = sorted(due, key=lambda due_ms: urgency(due_ms, now, 0.0))
        self.assertEqual([due_ms // 64 for due_ms in by_share], [due_ms // 64 for due_ms in by_due])


class ReportedEstimateTest(unittest.TestCase):
    def test_a_node_without_finished_items_uses_the_peers_estimates(self):
        """Guards against treating all items as pressing, which a burst then preempts at once."""
        estimates = []
        for seconds in (4.0, 5.0, 60.0):
            estimates.append(DurationEstimate())
            estimates[-1].observe(seconds, 1_000)
        estimate = DurationEstimate()
        estimate.learn_from_peers([b"", b"\x00"])
        self.assertEqual(estimate.seconds_left(1_000, 0.0), 0.0)
        estimate.learn_from_peers([peer.pack() for peer in estimates])
        self.assertAlmostEqual(estimate.seconds_left(1_000, 0.0), 5.75)
        self.assertEqual(estimate.pack(), b"")
        zone = DurationEstimate()
        zone.learn_from_peers([merge_token_times([peer.pack() for peer in estimates] + [b""])])
        self.assertAlmostEqual(zone.seconds_left(1_000, 0.0), 5.75)
        self.assertEqual(merge_token_times([b""]), b"")

    def test_own_measurements_take_precedence_over_reported_ones(self):
        estimate, other = DurationEstimate(), DurationEstimate()
        estimate.observe(2.0, 1_000)
        other.observe(9.0, 1_000)
        estimate.learn_from_peers([other.pack()])
        self.assertAlmostEqual(estimate.seconds_left(1_000, 0.0), 2.3)


if __name__ == "__main__":
    unittest.main()
