"""By what a node orders its items: due time, or shares where tenants compete."""

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
"""Seconds that an item of so many tokens runs."""


DUE_LATELY = 20
"""Items that were due a moment ago."""


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

    def let_items_be_late(self, late=DUE_LATELY, due=DUE_LATELY):
        """So many of the items that were due in the last second have no result."""
        shares = self.log.board.shares
        self.urgency.of(self.item("any"))
        shares.add_job("due", "ann", 0, int(self.now * 1000) + 500, [1] * due)
        for idx in range(due - late):
            shares.end_item("due", idx, ran=True)
        self.now += 1.0

    def item(self, job_id="j", due=200.0, tenant="ann", **how):
        accepted = mock.Mock(tenant=tenant, route="r")
        self.log.board.jobs[job_id] = mock.Mock(accepted=accepted)
        return RunningItem(job_id, 0, "c", int(due * 1000), TOKENS, **how)

    def goes_before(self, first, second):
        return self.urgency.of(first) < self.urgency.of(second)

    def test_due_time_counts_without_tenants_that_compete(self):
        """With none, with one, or beside a node that can't order by shares: as it was."""
        for tenants, features in (
            ((), Feature.BATCH_SHARES),
            ((RoutedTenant(name="ann"),), Feature.BATCH_SHARES),
            ((RoutedTenant(name="ann"), RoutedTenant(name="bob")), Feature.NONE),
        ):
            self.features = features
            self.configure(*tenants)
            self.assertFalse(self.urgency.by_shares)
            self.assertEqual(self.urgency.of(self.item(due=150.0)), 150_000)

    def test_shares_count_where_all_nodes_can_and_a_change_is_told(self):
        self.configure(RoutedTenant(name="ann"), RoutedTenant(name="bob"))
        self.let_items_be_late()
        self.log.board.shares.add_job("a", "ann", 0, 0, [1])
        self.log.board.shares.add_job("b", "bob", 10**6, 0, [1])
        late, soon = self.item("a", 200.0), self.item("b", 150.0, "bob")
        self.assertTrue(self.goes_before(late, soon))
        self.features = Feature.NONE
        self.now += PEER_REFRESH_INTERVAL
        self.assertTrue(self.goes_before(soon, late))
        orders = [one.kwargs["order"] for one in self.events.emit.call_args_list]
        self.assertEqual(orders, ["shares", "due time"])
        self.events.emit.assert_called_with(
            Event.ITEM_ORDER, order="due time", tenants=2, able=False, due=20, late=20
        )

    def test_due_time_counts_while_most_items_end_in_time(self):
        """Guards against late items of large tenants where by due time all wait alike."""
        self.configure(RoutedTenant(name="ann"), RoutedTenant(name="bob"))
        self.log.board.shares.add_job("a", "ann", 0, 0, [1])
        self.log.board.shares.add_job("b", "bob", 10**6, 0, [1])
        late, soon = self.item("a", 200.0), self.item("b", 150.0, "bob")
        self.assertTrue(self.goes_before(soon, late))
        self.let_items_be_late(late=DUE_LATELY // 2)
        self.assertTrue(self.goes_before(soon, late))

    def test_a_tenants_priority_makes_nothing_late_that_is_in_time(self):
        """Guards against items of the less urgent tenants that all end late."""
        self.configure(RoutedTenant(name="ann", priority=1), RoutedTenant(name="bob", priority=0))
        soon, late = self.item("a", 150.0), self.item("b", 200.0, tenant="bob")
        self.assertTrue(self.goes_before(soon, late))

    def test_a_node_that_does_not_hear_the_log_takes_nothing_for_late(self):
        """It misses the results, and would order by shares where all others go by due time."""
        self.configure(RoutedTenant(name="ann"), RoutedTenant(name="bob"))
        self.log.follower.age = 3.0
        self.let_items_be_late()
        self.urgency.of(self.item())
        self.events.emit.assert_not_called()

    def test_what_has_begun_goes_before_what_another_tenants_share_would_start(self):
        """Guards against runs that are lost: what was cut for such an item ends too late."""
        self.configure(RoutedTenant(name="ann"), RoutedTenant(name="bob"))
        self.let_items_be_late()
        self.log.board.shares.add_job("a", "ann", 0, 0, [1])
        self.log.board.shares.add_job("b", "bob", 10**6, 0, [1])
        new, begun = self.item("a", 150.0), self.item("b", 150.0, "bob", events=[b"one"])
        self.assertTrue(self.goes_before(begun, new))

    def test_a_tenants_priority_goes_before_its_share(self):
        self.configure(RoutedTenant(name="ann", priority=1), RoutedTenant(name="bob", priority=0))
        self.let_items_be_late()
        self.log.board.shares.add_job("b", "bob", 10**6, 0, [1])
        ann, bob = self.item("a"), self.item("b", tenant="bob")
        self.assertTrue(self.goes_before(bob, ann))

    def test_an_item_that_runs_is_not_hopeless_for_what_it_has_done(self):
        """Else it gives way shortly before its end, and one that has to run whole starts."""
        item = self.item(due=106.0, running=True, started_at=92.0)
        self.assertEqual(self.urgency.of(item), 106_000)

    def test_an_item_that_nearly_ends_gives_way_last(self):
        for tenants in ((), (RoutedTenant(name="ann"), RoutedTenant(name="bob"))):
            self.configure(*tenants)
            self.log.board.shares.add_job("b", "bob", 0, 0, [1])
            self.log.board.shares.add_job("a", "ann", 10**6, 0, [1])
            begun = self.item("b", 150.0, "bob", running=True, started_at=self.now)
            ending = self.item("a", 200.0, running=True, started_at=self.now - RUN)
            self.assertTrue(self.goes_before(ending, begun))

    def test_it_gives_way_like_others_where_it_waits_or_ends_too_late(self):
        waiting = self.item(run_seconds=RUN)
        self.assertEqual(self.urgency.of(waiting), 200_000)
        late = self.item(due=100.5, running=True, started_at=self.now - RUN)
        self.assertGreater(self.urgency.of(late), NEARLY_ENDED_BONUS_MS)


if __name__ == "__main__":
    unittest.main()
