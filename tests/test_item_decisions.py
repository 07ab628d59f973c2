"""Decisions about batch items: order, start and preemption."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from postvalve.core.admission.engine_use import EngineUse
from postvalve.core.batch.item_order import (
    MISSED_DUE_PENALTY_MS,
    DurationEstimate,
    count_startable,
    decode_groups,
    encode_groups,
    group_by_due,
    is_pressing,
    urgency,
)
from postvalve.core.batch.preemption import (
    PREEMPT_NOTICE_TIMEOUT,
    PeerRunningItems,
    VictimSelector,
    count_preempted,
    encode_running,
)


class ItemOrderTest(unittest.TestCase):
    def test_the_most_urgent_of_all_nodes_start(self):
        self.assertEqual(count_startable([10, 20, 30], [(15, 1)], 3), 2)
        self.assertEqual(count_startable([10, 20, 30], [(5, 3)], 3), 0)
        self.assertEqual(count_startable([10, 20, 30], [], 2), 2)
        self.assertEqual(count_startable([10], [], 0), 0)

    @given(
        st.lists(st.lists(st.integers(0, 50), max_size=10), min_size=1, max_size=5),
        st.integers(0, 20),
    )
    def test_nodes_with_the_same_view_start_no_more_than_the_free_slots(self, nodes, free_slots):
        """Compares with a reference model that orders all items in one list."""
        # Due times are distinct between nodes: equal ones form one group, and a tie counts for all
        # nodes.
        distinct = [
            sorted(due * 10 + number for due in due_times) for number, due_times in enumerate(nodes)
        ]
        started = 0
        for number, own in enumerate(distinct):
            others = [
                group
                for other, due in enumerate(distinct)
                if other != number
                for group in group_by_due(due)
            ]
            started += count_startable(own, others, free_slots)
        naive = min(free_slots, sum(len(own) for own in distinct))
        self.assertEqual(started, naive)


class PressingTest(unittest.TestCase):
    def test_items_are_pressing_when_little_time_is_left_but_enough(self):
        self.assertFalse(is_pressing(20_000, 0, 5.0, 0.0))
        self.assertTrue(is_pressing(12_000, 0, 5.0, 0.0))
        self.assertFalse(is_pressing(4_000, 0, 5.0, 0.0))

    def test_items_are_pressing_earlier_where_many_wait(self):
        self.assertTrue(is_pressing(20_000, 0, 5.0, 2.0))
        self.assertFalse(is_pressing(4_000, 0, 5.0, 2.0))

    def test_all_items_are_pressing_while_their_duration_is_unknown(self):
        self.assertTrue(is_pressing(1_000, 0, 0.0, 0.0))

    def test_items_that_are_not_pressing_leave_more_headroom(self):
        use = EngineUse()
        self.assertEqual(use.batch_capacity("e", 8, pressing=True), 7)
        self.assertEqual(use.batch_capacity("e", 8, pressing=False), 5)


class VictimSelectorTest(unittest.TestCase):
    def setUp(self):
        self.victims = VictimSelector()

    def test_the_least_urgent_are_notified_once(self):
        running = [(10, "a"), (50, "b"), (40, "a")]
        self.assertEqual(self.victims.select(1, running, 2, 0.0), [(50, "b"), (40, "a")])
        self.assertEqual(self.victims.select(1, running, 2, 0.1), [])
        # One item has left the reports, and one more should stop.
        self.assertEqual(self.victims.select(1, [(10, "a"), (40, "a")], 2, 0.2), [(10, "a")])

    def test_equal_items_of_one_node_are_notified_separately(self):
        running = [(50, "b")] * 3
        self.assertEqual(len(self.victims.select(1, running, 1, 0.0)), 1)
        self.assertEqual(len(self.victims.select(1, running, 3, 0.1)), 2)

    def test_an_item_that_keeps_running_is_notified_again(self):
        running = [(50, "b")]
        self.victims.select(1, running, 1, 0.0)
        self.assertEqual(self.victims.select(1, running, 1, PREEMPT_NOTICE_TIMEOUT + 0.01), running)

    def test_engines_are_independent_and_no_excess_preempts_nothing(self):
        self.assertEqual(self.victims.select(1, [(5, "a")], 0, 0.0), [])
        self.victims.select(1, [(5, "a")], 1, 0.0)
        self.assertEqual(self.victims.select(2, [(5, "a")], 1, 0.0), [(5, "a")])


class PreemptionCountTest(unittest.TestCase):
    def test_the_least_urgent_of_all_nodes_are_preempted(self):
        others = [(50, "b"), (10, "c")]
        self.assertEqual(count_preempted("a", [40, 60, 20], others, 0), 0)
        self.assertEqual(count_preempted("a", [40, 60, 20], others, 1), 1)
        self.assertEqual(count_preempted("a", [40, 60, 20], others, 2), 1)
        self.assertEqual(count_preempted("a", [40, 60, 20], others, 3), 2)
        self.assertEqual(count_preempted("a", [40, 60, 20], others, 9), 3)

    @given(
        st.lists(st.lists(st.integers(0, 5), max_size=6), min_size=1, max_size=6),
        st.integers(-2, 20),
        st.lists(st.integers(0, 5), max_size=6),
    )
    def test_nodes_together_stop_the_excess_in_any_order(self, nodes, excess, order):
        """Compares with one list of all items; nodes learn of each other's stops afterwards."""
        views = {}
        for number in range(len(nodes)):
            views[number] = view = PeerRunningItems()
            for other, due in enumerate(nodes):
                if other != number:
                    view.observe(f"n{other}", encode_running((7, urgency_ms) for urgency_ms in due))
        stopped = []
        for number in sorted(views, key=lambda number: (order + [9] * 6)[number]):
            count = count_preempted(f"n{number}", nodes[number], views[number].at(7), excess)
            stopped += sorted(nodes[number], reverse=True)[:count]
        everything = sorted((due for due_times in nodes for due in due_times), reverse=True)
        self.assertEqual(sorted(stopped, reverse=True), everything[: max(0, excess)])

    def test_reports_replace_each_other(self):
        view = PeerRunningItems()
        view.observe("p", encode_running([(7, 3), (8, 4), (7, 1)]))
        self.assertEqual(sorted(view.at(7)), [(1, "p"), (3, "p")])
        view.observe("p", b"\x00" * 13)
        self.assertEqual((view.at(7), view.at(0)), ([], [(0, "p")]))
        view.forget("p")
        self.assertEqual(view.at(0), [])


class WaitingGroupsTest(unittest.TestCase):
    @given(st.lists(st.tuples(st.integers(0, 2**64 - 1), st.integers(0, 0xFFFF))))
    def test_groups_round_trip(self, groups):
        self.assertEqual(decode_groups(encode_groups(groups)), groups)

    def test_counts_are_clamped_and_truncated_reports_are_decoded(self):
        data = encode_groups([(5, 1 << 30), (6, 1)])
        self.assertEqual(decode_groups(data[:-1]), [(5, 0xFFFF)])


class UrgencyTest(unittest.TestCase):
    def test_items_that_would_be_late_anyway_rank_behind(self):
        self.assertEqual(urgency(20_000, 10_000, 9.0), 20_000)
        self.assertEqual(urgency(20_000, 10_000, 11.0), 20_000 + MISSED_DUE_PENALTY_MS)

    def test_estimates_follow_the_finished_items(self):
        estimate = DurationEstimate()
        self.assertEqual(estimate.seconds_left(1000, 0.0), 0.0)
        estimate.observe(5.0, 1000)
        self.assertAlmostEqual(estimate.seconds_left(2000, 0.0), 11.5)
        self.assertAlmostEqual(estimate.seconds_left(2000, 4.0), 7.5)
        self.assertAlmostEqual(estimate.seconds_left(2000, 60.0), 11.5 * 0.15)


if __name__ == "__main__":
    unittest.main()
