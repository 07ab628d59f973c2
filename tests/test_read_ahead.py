"""Buffers of slow clients: every byte once and in order, within the budget, fairly shared."""

import tracemalloc
import unittest

from hypothesis import given
from hypothesis import strategies as st

from postvalve.core.serving.client_buffer import (
    EVENT_OVERHEAD,
    MAX_BACKPRESSURE,
    BufferAccount,
    CutCause,
    EventBuffer,
    MemoryBudget,
    slow_client_bytes,
)
from postvalve.core.serving.transfer_rate import MinTransferRate
from postvalve.exceptions import PostvalveError

LIMIT = 400
STREAMS = 4
ROOM = LIMIT + 4 * STREAMS * EVENT_OVERHEAD
"""A budget for several events of each stream."""


def counted(event):
    """Bytes that an event counts in the budget."""
    return len(event) + EVENT_OVERHEAD


STEPS = st.lists(
    st.tuples(
        st.sampled_from(("come", "come", "come", "take", "take", "cut", "end", "fail")),
        st.integers(0, STREAMS - 1),
        st.one_of(st.integers(1, LIMIT // STREAMS), st.integers(1, ROOM + 50)),
        st.sampled_from((0.0, 0.1, 1.0)),
    ),
    max_size=80,
)


class Stream:
    """One stream, with the events that should come out of it."""

    def __init__(self, budget, number):
        self.account = BufferAccount(f"t{number % 2}")
        self.store = EventBuffer(budget, self.account)
        self.given = []
        self.taken = []

    def come(self, size, now):
        """Buffer an event as the gateway does; returns the clients that were given up."""
        event = bytes([len(self.given) % 251]) * size
        if self.store.ended or self.store.max_wait(size, now) > 0:
            return []
        given_up = self.store.put(event, now)
        if self.account.cause is None:
            self.given.append(event)
        return given_up

    def take(self, now):
        event = self.store.first()
        if event:
            self.taken.append(event)
            self.store.pop_first(now)


class StoreTest(unittest.TestCase):
    @given(STEPS)
    def test_bytes_are_delivered_once_in_order_within_the_budget(self, steps):
        budget = MemoryBudget(ROOM)
        streams = [Stream(budget, number) for number in range(STREAMS)]
        now = 0.0
        for action, number, size, pause in steps:
            now += pause
            stream = streams[number]
            if action == "come":
                before = [one.account.size for one in streams]
                given_up = stream.come(size, now)
                for one, held in zip(streams, before, strict=True):
                    if one.account in given_up and one is not stream:
                        self.assertGreater(held, 0, "it kept up")
            elif action == "take":
                stream.take(now)
            elif action == "cut":
                stream.store.close()
                streams[number] = Stream(budget, number)
            else:
                stream.store.end(PostvalveError("cut") if action == "fail" else None)
            self._check(budget, streams)
        for stream in streams:
            while stream.store.first():
                stream.take(now)
            if stream.account.cause is None:
                self.assertEqual(stream.taken, stream.given)
        self.assertEqual(budget.held, 0)
        self.assertEqual(budget.accounts(), [])

    def _check(self, budget, streams):
        self.assertLessEqual(budget.held, ROOM)
        self.assertEqual(budget.held, sum(one.account.size for one in streams))
        for one in streams:
            self.assertEqual(one.taken, one.given[: len(one.taken)])
            if one.account.cause is None:
                kept = one.given[len(one.taken) :]
                self.assertEqual(one.account.size, sum(map(counted, kept)))
            else:
                self.assertEqual(one.account.size, 0)
                self.assertEqual(one.store.first(), b"")

    def test_buffer_that_stays_full_is_given_up(self):
        budget = MemoryBudget(LIMIT)
        account = BufferAccount("t")
        store = EventBuffer(budget, account)
        store.put(b"x" * (budget.stream_limit - EVENT_OVERHEAD), 0.0)
        self.assertEqual(store.max_wait(10, 0.0), MAX_BACKPRESSURE)
        self.assertAlmostEqual(store.max_wait(10, 0.5), MAX_BACKPRESSURE - 0.5)
        self.assertEqual(store.max_wait(10, MAX_BACKPRESSURE), 0.0)
        self.assertIs(account.cause, CutCause.STORE_FULL)
        self.assertEqual(budget.held, 0)

    def test_waits_for_space_add_up(self):
        budget = MemoryBudget(LIMIT)
        store = EventBuffer(budget, BufferAccount("t"))
        full = b"x" * (budget.stream_limit - EVENT_OVERHEAD)
        store.put(full, 0.0)
        store.max_wait(10, 0.0)
        store.pop_first(1.5)
        self.assertEqual(store.max_wait(10, 1.5), 0.0)
        store.put(full, 10.0)
        self.assertAlmostEqual(store.max_wait(10, 10.0), MAX_BACKPRESSURE - 1.5)

    def test_event_larger_than_a_buffer_is_accepted_alone(self):
        budget = MemoryBudget(LIMIT)
        store = EventBuffer(budget, BufferAccount("t"))
        size = budget.stream_limit - EVENT_OVERHEAD + 1
        self.assertEqual(store.max_wait(size, 0.0), 0.0)
        self.assertEqual(store.put(b"x" * size, 0.0), [])


class ShortEventTest(unittest.TestCase):
    def test_short_events_take_no_more_memory_than_is_counted(self):
        for size in (2, 20, 40, 200, 2_000):
            with self.subTest(size):
                budget = MemoryBudget(10_000_000)
                store = EventBuffer(budget, BufferAccount("t"))
                tracemalloc.start()
                self.addCleanup(tracemalloc.stop)
                before, _ = tracemalloc.get_traced_memory()
                for number in range(1_000):
                    store.put(bytes([number % 251]) * size, 0.0)
                taken = tracemalloc.get_traced_memory()[0] - before
                self.assertGreaterEqual(budget.held * 1.1, taken)


class BudgetTest(unittest.TestCase):
    def setUp(self):
        self.budget = MemoryBudget(LIMIT)

    def hold(self, tenant, size, now):
        account = BufferAccount(tenant)
        self.assertEqual(self.budget.take(account, size, now), [])
        return account

    def test_largest_and_oldest_is_given_up_first(self):
        old_and_small, old = self.hold("a", 50, 0.0), self.hold("a", 150, 0.0)
        new = self.hold("a", 160, 9.0)
        self.assertEqual(self.budget.take(new, 50, 10.0), [old])
        self.assertIs(old.cause, CutCause.MEMORY_SHORT)
        self.assertEqual((old_and_small.cause, new.cause), (None, None))

    def test_tenant_holding_most_is_given_up_first(self):
        one = self.hold("a", 100, 0.0)
        several = [self.hold("b", 70, 5.0) for _ in range(4)]
        self.assertEqual(self.budget.take(one, 50, 6.0), several[:1])

    def test_client_over_its_share_does_not_evict_others(self):
        other = self.hold("a", 150, 0.0)
        asking = self.hold("b", 200, 5.0)
        self.assertEqual(self.budget.take(asking, 100, 6.0), [asking])
        self.assertIsNone(other.cause)

    def test_client_that_caught_up_counts_as_new(self):
        first, second = self.hold("a", 150, 0.0), self.hold("a", 100, 90.0)
        self.budget.give(first, 150, 100.0)
        self.budget.take(first, 200, 100.0)
        self.assertEqual(self.budget.take(first, 150, 100.5), [second])

    def test_request_beyond_the_budget_evicts_no_other_request(self):
        other, asking = self.hold("a", 100, 0.0), BufferAccount("b")
        self.assertEqual(self.budget.take(asking, LIMIT + 1, 1.0), [asking])
        self.assertIsNone(other.cause)

    def test_budget_is_a_share_of_the_machine(self):
        self.assertEqual(slow_client_bytes(160), 10_000_000)
        self.assertEqual(slow_client_bytes(None), 16_000_000)


RATE = 4_096


class MinTransferRateTest(unittest.TestCase):
    def test_a_body_may_fall_behind_for_a_while(self):
        pace = MinTransferRate(RATE, 3.0, 10.0)
        self.assertEqual(pace.seconds_left(10.0), 3.0)
        self.assertEqual(pace.seconds_left(13.0), 0.0)

    def test_early_bytes_are_no_credit(self):
        pace = MinTransferRate(RATE, 3.0, 0.0)
        pace.record(4_000_000, 0.0)
        self.assertEqual(pace.seconds_left(0.0), 3.0)

    def test_transfer_at_the_minimum_rate_never_fails(self):
        pace = MinTransferRate(RATE, 3.0, 0.0)
        for second in range(1, 100):
            pace.record(RATE, float(second))
            self.assertGreater(pace.seconds_left(float(second)), 0.0)

    def test_bytes_one_by_one_are_too_slow(self):
        pace = MinTransferRate(RATE, 3.0, 0.0)
        pace.record(1, 2.9)
        self.assertLess(pace.seconds_left(5.8), 0.0)


if __name__ == "__main__":
    unittest.main()
