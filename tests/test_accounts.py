"""What tenants got: sums that hold whatever is folded, and accounts of bounded number."""

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


def crowd(book, count, now, prefix="c"):
    """Requests of so many tenants, one each."""
    for number in range(count):
        book.record_request(f"{prefix}{number:04}", End.IN_TIME, now)


class SumTest(unittest.TestCase):
    @given(REQUESTS, st.integers(0, 3))
    def test_totals_add_up_whatever_is_folded_and_the_bound_is_kept(self, requests, crowds):
        book, now, sent = Accounts(), 0.0, []
        for number, (tenant, end, pause, wait_ms) in enumerate(requests):
            now += pause
            if number < crowds:
                crowd(book, MAX_ACCOUNTS, now, f"c{number}-")
                sent += [(now, End.IN_TIME, 0.0)] * MAX_ACCOUNTS
            book.record_request(tenant, end, now, waited=wait_ms / 1000, sent=True)
            sent.append((now, end, wait_ms / 1000))
            self.assertLessEqual(len(book), MAX_ACCOUNTS)
        total = total_of(row.total for row in book.rows(now))
        self.assertEqual(total.asked, len(sent))
        self.assertEqual(total.asked, sum(total.ends.values()))
        for end in End:
            self.assertEqual(total.ends.get(end, 0), sum(one == end for _, one, _ in sent))
        self.assertAlmostEqual(total.waited, sum(waited for *_, waited in sent))
        self.assertEqual(total.worst_wait, max((waited for *_, waited in sent), default=0.0))
        lately = total_of(row.recent for row in book.rows(now))
        since = (now // SLICE_SECONDS - accounts.SLICES + 1) * SLICE_SECONDS
        self.assertEqual(lately.asked, sum(at >= since for at, *_ in sent))

    @given(REQUESTS)
    def test_the_first_of_each_order_are_kept(self, requests):
        book, now = Accounts(), 0.0
        crowd(book, MAX_ACCOUNTS, now)
        for tenant, end, pause, wait_ms in requests:
            now += pause
            before = {row.tenant: row.recent for row in book.rows(now) if row.tenant != OTHERS}
            book.record_request(tenant, end, now, engine_seconds=wait_ms / 1000)
            after = {row.tenant for row in book.rows(now)}
            for order in (
                lambda counts: -counts.asked,
                lambda counts: -counts.online_seconds,
                lambda counts: (counts.ends.get(End.IN_TIME, 0) + 2) / (counts.eligible + 2),
            ):
                self.assertLessEqual(set(top_tenants(before, order, TOP_TENANTS)), after)

    def test_each_order_keeps_an_account_by_itself(self):
        """A tenant that is first in one order only, and among the last in the others."""
        book = Accounts()
        for number in range(TOP_TENANTS):
            book.record_request(f"a{number}", End.IN_TIME, 0.0, engine_seconds=0.2)
            book.record_request(f"a{number}", End.LATE, 0.0)
        for _ in range(3):
            book.record_request("asks", End.IN_TIME, 0.0)
        book.record_request("holds", End.IN_TIME, 0.0, engine_seconds=5.0)
        book.record_request("starves", End.NO_ROOM, 0.0)
        crowd(book, MAX_ACCOUNTS, 0.0)
        rows = {row.tenant: row.total.asked for row in book.rows(0.0)}
        self.assertEqual([rows.get(one) for one in ("asks", "holds", "starves")], [3, 1, 1])

    def test_a_large_and_a_badly_served_tenant_among_thousands_keep_their_accounts(self):
        book = Accounts()
        for second in range(60):
            crowd(book, 60, float(second), f"s{second}-")
            book.record_request("large", End.IN_TIME, second, engine_seconds=1.0)
            book.record_request("starved", End.NO_ROOM, second)
        rows = {row.tenant: row for row in book.rows(60.0)}
        self.assertEqual(rows["large"].total.engine_seconds, 60.0)
        self.assertEqual(rows["starved"].total.ends, {End.NO_ROOM: 60})
        self.assertEqual(book.rows(60.0)[0].tenant, "starved")
        self.assertEqual(sum(row.total.asked for row in rows.values()), 60 * 62)


class CountTest(unittest.TestCase):
    def test_lately_forgets_and_the_total_does_not(self):
        book = Accounts()
        book.record_request("a", End.LATE, 1.0)
        self.assertEqual(book.rows(WINDOW - 0.1)[0].recent.asked, 1)
        row = book.rows(WINDOW + SLICE_SECONDS)[0]
        self.assertEqual((row.recent.asked, row.total.asked), (0, 1))

    def test_who_runs_now(self):
        book = Accounts()
        for tenant in ("a", "b", "b", "c", "c", "c"):
            book.record_start(tenant)
        self.assertEqual(book.holders(2), {"c": 3, "b": 2})
        book.record_stop("a")
        self.assertEqual(book.holders(9), {"c": 3, "b": 2})
        book.record_request("c", End.IN_TIME, 0.0)
        self.assertEqual(
            [(one.tenant, one.running) for one in book.rows(0.0)], [("c", 3), (OTHERS, 2)]
        )

    def test_one_refusal_ranks_behind_many(self):
        book = Accounts()
        book.record_request("once", End.NO_ROOM, 0.0)
        for _ in range(50):
            book.record_request("often", End.NO_ROOM, 0.0)
        self.assertEqual([row.tenant for row in book.rows(0.0)], ["often", "once"])

    def test_what_is_the_callers_own_doing_is_not_owed(self):
        ends = {End.OVER_LIMIT: 2, End.LEFT: 1, End.INVALID: 3, End.IN_TIME: 1}
        counts = Counts(asked=7, ends=ends)
        self.assertEqual((counts.eligible, counts.in_time_share, counts.refused), (1, 1.0, 5))

    def test_what_is_held_is_bounded_though_nobody_looks(self):
        """Slices of the sum of the others, too, are kept no longer than the window."""
        book = Accounts()
        for number in range(200):
            crowd(book, MAX_ACCOUNTS, number * SLICE_SECONDS, f"n{number}-")
        self.assertLessEqual(len(book._others._slices), accounts.SLICES + 1)

    def test_items(self):
        book = Accounts()
        book.record_item_run("a", 2.5, 0.0)
        book.record_item_run("a", 1.0, 0.0)
        book.record_item_end("a", ItemOutcome.LATE, 0.0)
        total = book.rows(0.0)[0].total
        self.assertEqual((total.item_seconds, total.items), (3.5, {ItemOutcome.LATE: 1}))

    def test_fields_are_read_back_also_those_of_another_build(self):
        counts = Counts(3, 2, {End.LATE: 3}, {ItemOutcome.LATE: 1}, 0.5, 0.25, 1.5, 2.5)
        self.assertEqual(Counts.from_fields(counts.fields()).fields(), counts.fields())
        self.assertEqual(Counts.from_fields({"asked": 2, "newer": 7}).asked, 2)


if __name__ == "__main__":
    unittest.main()
