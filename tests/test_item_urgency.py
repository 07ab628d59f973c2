"""Order of a node's items: by due time, or by shares while tenants compete."""

import unittest
from unittest import mock

from postvalve.core.batch.item_order import NEARLY_ENDED_BONUS_MS, DurationEstimate
from postvalve.core.batch.job_board import JobBoard
from postvalve.core.membership.extensions import Feature
from postvalve.events import Event
from postvalve.gateway.jobs.item_urgency import PEER_REFRESH_INTERVAL, ItemUrgency
from postvalve.gateway.jobs.running_item import RunningItem
from postvalve.settings.routes import RoutedTenant

TOKENS = 1_000
RUN = 10.0
"""Seconds that an item of `TOKENS` runs."""


RECENTLY_DUE = 20
"""Number of items that were due in the last second."""


class UrgencyTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.features = Feature.BATCH_SHARES
        self.events = mock.Mock()
        self.log = mock.Mock(board=JobBoard())
        self.log.follower.age = 0.1
        clock = mock.Mock(monotonic=lambda: self.now, wall=lambda: self.now)
        peers = mock.Mock(features=lambda: self.features, extension_parts=lambda number: [])
        estimate = DurationEstimate()
        estimate.observe(RUN, TOKENS)
        self.urgency = ItemUrgency(clock, self.events, self.log, peers, estimate)

    def configure(self, *tenants, routes=()):
        configuration = mock.Mock(tenants=tenants or None, routes=routes)
        self.urgency.configure(mock.Mock(configuration=configuration))

    def make_items_late(self, late=RECENTLY_DUE, due=RECENTLY_DUE):
        """Let `late` of the `due` items of the last second have no result."""
        shares = self.log.board.shares
        self.urgency.of(self.item("any"))
        shares.add_job("due", "ann", 0, int(self.now * 1000) + 500, [1] * due)
        for idx in range(due - late):
            shares.end_item("due", idx, ran=True)
        self.now += 1.0

    def item(self, job_id="j", due=200.0, tenant="ann", **fields):
        accepted = mock.Mock(tenant=tenant, route="r")
        self.log.board.jobs[job_id] = mock.Mock(accepted=accepted)
        return RunningItem(job_id, 0, "c", int(due * 1000), TOKENS, **fields)

    def precedes(self, first, second):
        return self.urgency.of(first) < self.urgency.of(second)

    def test_due_time_decides_without_competing_tenants(self):
        """Covers no tenants, one tenant, and a peer that does not support ordering by shares."""
        for tenants, features in (
            ((), Feature.BATCH_SHARES),
            ((RoutedTenant(name="ann"),), Feature.BATCH_SHARES),
            ((RoutedTenant(name="ann"), RoutedTenant(name="bob")), Feature.NONE),
        ):
            self.features = features
            self.configure(*tenants)
            self.assertFalse(self.urgency.by_shares)
            self.assertEqual(self.urgency.of(self.item(due=150.0)), 150_000)

    def test_shares_decide_when_all_nodes_support_them_and_changes_are_logged(self):
        self.configure(RoutedTenant(name="ann"), RoutedTenant(name="bob"))
        self.make_items_late()
        self.log.board.shares.add_job("a", "ann", 0, 0, [1])
        self.log.board.shares.add_job("b", "bob", 10**6, 0, [1])
        late, early = self.item("a", 200.0), self.item("b", 150.0, "bob")
        self.assertTrue(self.precedes(late, early))
        self.features = Feature.NONE
        self.now += PEER_REFRESH_INTERVAL
        self.assertTrue(self.precedes(early, late))
        orders = [call.kwargs["order"] for call in self.events.emit.call_args_list]
        self.assertEqual(orders, ["shares", "due time"])
        self.events.emit.assert_called_with(
            Event.ITEM_ORDER, order="due time", tenants=2, able=False, due=20, late=20
        )

    def test_due_time_decides_while_most_items_end_in_time(self):
        """Guards against late items of large tenants while by due time all items wait alike."""
        self.configure(RoutedTenant(name="ann"), RoutedTenant(name="bob"))
        self.log.board.shares.add_job("a", "ann", 0, 0, [1])
        self.log.board.shares.add_job("b", "bob", 10**6, 0, [1])
        late, early = self.item("a", 200.0), self.item("b", 150.0, "bob")
        self.assertTrue(self.precedes(early, late))
        self.make_items_late(late=RECENTLY_DUE // 2)
        self.assertTrue(self.precedes(early, late))

    def test_priority_delays_no_item_that_is_in_time(self):
        """Guards against all items of less urgent tenants finishing late."""
        self.configure(RoutedTenant(name="ann", priority=1), RoutedTenant(name="bob", priority=0))
        early, late = self.item("a", 150.0), self.item("b", 200.0, tenant="bob")
        self.assertTrue(self.precedes(early, late))

    def test_a_node_with_a_stale_log_counts_no_item_as_late(self):
        """Guards against one node ordering by shares because it lacks results that others have."""
        self.configure(RoutedTenant(name="ann"), RoutedTenant(name="bob"))
        self.log.follower.age = 3.0
        self.make_items_late()
        self.urgency.of(self.item())
        self.events.emit.assert_not_called()

    def test_begun_items_precede_new_items_of_another_tenants_share(self):
        """Guards against lost work: items preempted for another tenant's share end too late."""
        self.configure(RoutedTenant(name="ann"), RoutedTenant(name="bob"))
        self.make_items_late()
        self.log.board.shares.add_job("a", "ann", 0, 0, [1])
        self.log.board.shares.add_job("b", "bob", 10**6, 0, [1])
        new, begun = self.item("a", 150.0), self.item("b", 150.0, "bob", events=[b"one"])
        self.assertTrue(self.precedes(begun, new))

    def test_priority_precedes_share(self):
        self.configure(RoutedTenant(name="ann", priority=1), RoutedTenant(name="bob", priority=0))
        self.make_items_late()
        self.log.board.shares.add_job("b", "bob", 10**6, 0, [1])
        ann, bob = self.item("a"), self.item("b", tenant="bob")
        self.assertTrue(self.precedes(bob, ann))

    def test_time_already_run_counts_towards_the_estimate(self):
        """Guards against preempting an item shortly before its end for one that must run in
        full."""
        item = self.item(due=106.0, running=True, started_at=92.0)
        self.assertEqual(self.urgency.of(item), 106_000)

    def test_an_item_about_to_finish_is_preempted_last(self):
        for tenants in ((), (RoutedTenant(name="ann"), RoutedTenant(name="bob"))):
            self.configure(*tenants)
            self.log.board.shares.add_job("b", "bob", 0, 0, [1])
            self.log.board.shares.add_job("a", "ann", 10**6, 0, [1])
            begun = self.item("b", 150.0, "bob", running=True, started_at=self.now)
            ending = self.item("a", 200.0, running=True, started_at=self.now - RUN)
            self.assertTrue(self.precedes(ending, begun))

    def test_it_gets_no_bonus_while_waiting_or_when_too_late(self):
        waiting = self.item(run_seconds=RUN)
        self.assertEqual(self.urgency.of(waiting), 200_000)
        late = self.item(due=100.5, running=True, started_at=self.now - RUN)
        self.assertGreater(self.urgency.of(late), NEARLY_ENDED_BONUS_MS)


if __name__ == "__main__":
    unittest.main()
