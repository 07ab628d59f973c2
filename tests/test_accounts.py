"""Usage accounts of tenants: exact totals after merging, and a bounded number of accounts."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from postvalve.core.scheduling import accounts
from postvalve.core.scheduling.accounts import (
    MAX_ACCOUNTS,
    OTHERS,
    SLICE_SECONDS,
    TOP_TENANTS,
    WINDOW,
    Accounts,
    Counts,
    End,
    ItemOutcome,
    top_tenants,
    total_of,
)

TENANTS = [f"t{number}" for number in range(MAX_ACCOUNTS * 3)]
REQUESTS = st.lists(
    st.tuples(
        st.sampled_from(TENANTS),
        st.sampled_from(list(End)),
        st.sampled_from((0.0, 0.01, 0.4, SLICE_SECONDS, WINDOW)),
        st.integers(0, 500),
    ),
    max_size=60,
)


def add_tenants(node_accounts, count, now, prefix="c"):
    """Record one request of each of `count` tenants."""
    for number in range(count):
        node_accounts.record_request(f"{prefix}{number:04}", End.IN_TIME, now)


class SumTest(unittest.TestCase):
    @given(REQUESTS, st.integers(0, 3))
    def test_totals_are_exact_after_merging_and_number_of_accounts_is_bounded(
        self, requests, bulk_rounds
    ):
        node_accounts, now, sent = Accounts(), 0.0, []
        for number, (tenant, end, pause, wait_ms) in enumerate(requests):
            now += pause
            if number < bulk_rounds:
                add_tenants(node_accounts, MAX_ACCOUNTS, now, f"c{number}-")
                sent += [(now, End.IN_TIME, 0.0)] * MAX_ACCOUNTS
            node_accounts.record_request(tenant, end, now, waited=wait_ms / 1000, sent=True)
            sent.append((now, end, wait_ms / 1000))
            self.assertLessEqual(len(node_accounts), MAX_ACCOUNTS)
        total = total_of(row.total for row in node_accounts.rows(now))
        self.assertEqual(total.asked, len(sent))
        self.assertEqual(total.asked, sum(total.ends.values()))
        for end in End:
            self.assertEqual(
                total.ends.get(end, 0), sum(sent_end == end for _, sent_end, _ in sent)
            )
        self.assertAlmostEqual(total.waited, sum(waited for *_, waited in sent))
        self.assertEqual(total.worst_wait, max((waited for *_, waited in sent), default=0.0))
        lately = total_of(row.recent for row in node_accounts.rows(now))
        since = (now // SLICE_SECONDS - accounts.SLICES + 1) * SLICE_SECONDS
        self.assertEqual(lately.asked, sum(at >= since for at, *_ in sent))

    @given(REQUESTS)
    def test_top_tenants_of_each_order_keep_their_accounts(self, requests):
        node_accounts, now = Accounts(), 0.0
        add_tenants(node_accounts, MAX_ACCOUNTS, now)
        for tenant, end, pause, wait_ms in requests:
            now += pause
            before = {
                row.tenant: row.recent for row in node_accounts.rows(now) if row.tenant != OTHERS
            }
            node_accounts.record_request(tenant, end, now, engine_seconds=wait_ms / 1000)
            after = {row.tenant for row in node_accounts.rows(now)}
            for order in (
                lambda counts: -counts.asked,
                lambda counts: -counts.online_seconds,
                lambda counts: (counts.ends.get(End.IN_TIME, 0) + 2) / (counts.eligible + 2),
            ):
                self.assertLessEqual(set(top_tenants(before, order, TOP_TENANTS)), after)

    def test_rank_in_one_order_is_enough_to_keep_an_account(self):
        """Each of three tenants is first in one order only, and last in the others."""
        node_accounts = Accounts()
        for number in range(TOP_TENANTS):
            node_accounts.record_request(f"a{number}", End.IN_TIME, 0.0, engine_seconds=0.2)
            node_accounts.record_request(f"a{number}", End.LATE, 0.0)
        for _ in range(3):
            node_accounts.record_request("asks", End.IN_TIME, 0.0)
        node_accounts.record_request("holds", End.IN_TIME, 0.0, engine_seconds=5.0)
        node_accounts.record_request("starves", End.NO_ROOM, 0.0)
        add_tenants(node_accounts, MAX_ACCOUNTS, 0.0)
        rows = {row.tenant: row.total.asked for row in node_accounts.rows(0.0)}
        self.assertEqual([rows.get(tenant) for tenant in ("asks", "holds", "starves")], [3, 1, 1])

    def test_large_and_badly_served_tenants_keep_accounts_among_thousands(self):
        node_accounts = Accounts()
        for second in range(60):
            add_tenants(node_accounts, 60, float(second), f"s{second}-")
            node_accounts.record_request("large", End.IN_TIME, second, engine_seconds=1.0)
            node_accounts.record_request("starved", End.NO_ROOM, second)
        rows = {row.tenant: row for row in node_accounts.rows(60.0)}
        self.assertEqual(rows["large"].total.engine_seconds, 60.0)
        self.assertEqual(rows["starved"].total.ends, {End.NO_ROOM: 60})
        self.assertEqual(node_accounts.rows(60.0)[0].tenant, "starved")
        self.assertEqual(sum(row.total.asked for row in rows.values()), 60 * 62)


class CountTest(unittest.TestCase):
    def test_window_expires_and_total_does_not(self):
        node_accounts = Accounts()
        node_accounts.record_request("a", End.LATE, 1.0)
        self.assertEqual(node_accounts.rows(WINDOW - 0.1)[0].recent.asked, 1)
        row = node_accounts.rows(WINDOW + SLICE_SECONDS)[0]
        self.assertEqual((row.recent.asked, row.total.asked), (0, 1))

    def test_running_requests_by_tenant(self):
        node_accounts = Accounts()
        for tenant in ("a", "b", "b", "c", "c", "c"):
            node_accounts.record_start(tenant)
        self.assertEqual(node_accounts.holders(2), {"c": 3, "b": 2})
        node_accounts.record_stop("a")
        self.assertEqual(node_accounts.holders(9), {"c": 3, "b": 2})
        node_accounts.record_request("c", End.IN_TIME, 0.0)
        self.assertEqual(
            [(row.tenant, row.running) for row in node_accounts.rows(0.0)], [("c", 3), (OTHERS, 2)]
        )

    def test_one_refusal_ranks_behind_many_refusals(self):
        node_accounts = Accounts()
        node_accounts.record_request("once", End.NO_ROOM, 0.0)
        for _ in range(50):
            node_accounts.record_request("often", End.NO_ROOM, 0.0)
        self.assertEqual([row.tenant for row in node_accounts.rows(0.0)], ["often", "once"])

    def test_ends_caused_by_the_caller_are_not_eligible(self):
        ends = {End.OVER_LIMIT: 2, End.LEFT: 1, End.INVALID: 3, End.IN_TIME: 1}
        counts = Counts(asked=7, ends=ends)
        self.assertEqual((counts.eligible, counts.in_time_share, counts.refused), (1, 1.0, 5))

    def test_slices_are_bounded_without_reads(self):
        """Slices of the common account must be dropped after the window, too."""
        node_accounts = Accounts()
        for number in range(200):
            add_tenants(node_accounts, MAX_ACCOUNTS, number * SLICE_SECONDS, f"n{number}-")
        self.assertLessEqual(len(node_accounts._others._slices), accounts.SLICES + 1)

    def test_batch_items_are_counted(self):
        node_accounts = Accounts()
        node_accounts.record_item_run("a", 2.5, 0.0)
        node_accounts.record_item_run("a", 1.0, 0.0)
        node_accounts.record_item_end("a", ItemOutcome.LATE, 0.0)
        total = node_accounts.rows(0.0)[0].total
        self.assertEqual((total.item_seconds, total.items), (3.5, {ItemOutcome.LATE: 1}))

    def test_fields_round_trip_and_accept_other_builds(self):
        counts = Counts(3, 2, {End.LATE: 3}, {ItemOutcome.LATE: 1}, 0.5, 0.25, 1.5, 2.5)
        self.assertEqual(Counts.from_fields(counts.fields()).fields(), counts.fields())
        self.assertEqual(Counts.from_fields({"asked": 2, "newer": 7}).asked, 2)


if __name__ == "__main__":
    unittest.main()
