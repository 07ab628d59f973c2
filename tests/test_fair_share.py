"""Fair shares: difference between tenants, and service by start tags compared with other orders."""

import math
import random
import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from postvalve.core.scheduling.fair_share import (
    INITIAL_TIME,
    MAX_COST,
    ShareClock,
    TagAssigner,
    Work,
    normalized_weights,
)
from postvalve.gateway.serving.fair_shares import FairShares
from tests.share_model import (
    SLOT_TIME,
    DeficitRoundRobin,
    Model,
    oldest_by_draw,
    tag_by_draw,
    tag_in_shared_queue,
)

SLOTS = 40
CAPACITY = SLOTS / SLOT_TIME
"""Requests per second."""
SEEDS = range(4)
QUEUE = 4
"""Requests that each tenant has waiting in the property test."""
WEIGHTS = {"a": 1.0, "b": 0.5, "c": 3.0, "urgent": 1.0}
COST = 1.0
NODES = ("n0", "n1", "n2")


def skewed(count, total):
    parts = [1 / (number + 1) ** 1.2 for number in range(count)]
    return [total * part / sum(parts) for part in parts]


def bursts(now):
    """Return the load factor at `now`: 2.4 s at 1.87 times the mean, then a pause."""
    return 1.87 if now % 5 < 2.4 else 0.2


def served(make_order, rates, burst=None):
    """Return the share of requests in time, by tenant (None below ten requests) and in total."""
    done, requested = [0] * len(rates), [0] * len(rates)
    for seed in SEEDS:
        model = Model(make_order(), rates, SLOTS, seed=seed, burst=burst)
        model.run()
        done = [total + more for total, more in zip(done, model.in_time, strict=True)]
        requested = [total + more for total, more in zip(requested, model.requested, strict=True)]
    by_tenant = [
        count / requested_count if requested_count >= 10 else None
        for count, requested_count in zip(done, requested, strict=True)
    ]
    return by_tenant, sum(done) / sum(requested)


class LoadTest(unittest.TestCase):
    """Orders of service with the same arrivals; the bounds are those promised to callers."""

    USUAL_RATE = CAPACITY * 0.06
    """Requests per second of a tenant that uses 60% of its share."""
    MIN_SHARE = 0.85
    """Lower bound of the in-time share of any tenant within its share."""

    def shares_of_others(self, make_order, rates, burst=None):
        by_tenant, total = served(make_order, rates, burst)
        hot = rates.index(max(rates))
        others = [share for n, share in enumerate(by_tenant) if n != hot and share is not None]
        return min(others), sum(others) / len(others), total

    def test_overloading_tenant_does_not_affect_others(self):
        rates = [self.USUAL_RATE] * 9 + [10 * self.USUAL_RATE]
        worst, mean, total = self.shares_of_others(lambda: tag_in_shared_queue, rates)
        _, by_age, _ = self.shares_of_others(lambda: oldest_by_draw, rates)
        self.assertGreaterEqual(worst, self.MIN_SHARE)
        self.assertGreater(mean, by_age)
        self.assertGreater(total, 0.5)

    def test_bursts_of_75_tenants_cost_the_largest_ones(self):
        rates = skewed(75, CAPACITY * 0.9)
        results = {
            name: self.shares_of_others(make, rates, bursts)
            for name, make in (
                ("age", lambda: oldest_by_draw),
                ("draw", lambda: tag_by_draw),
                ("line", lambda: tag_in_shared_queue),
            )
        }
        means = {name: mean for name, (_, mean, _) in results.items()}
        self.assertGreater(means["line"], means["draw"])
        self.assertGreater(means["draw"], means["age"])
        # The order changes which requests are served, hardly how many.
        self.assertGreater(results["line"][2], results["age"][2] - 0.03)

    def test_tags_in_a_shared_queue_are_fairer_than_round_robin_per_node(self):
        for rates in ([self.USUAL_RATE] * 9 + [10 * self.USUAL_RATE], skewed(75, CAPACITY * 1.3)):
            _, in_line, _ = self.shares_of_others(lambda: tag_in_shared_queue, rates)
            _, in_rounds, _ = self.shares_of_others(DeficitRoundRobin, rates)
            self.assertGreater(in_line, in_rounds)

    def test_shares_hold_on_one_side_of_a_partition(self):
        """Each side of a partition has its own queue over half of the slots, and its own
        lenders."""
        rates = [self.USUAL_RATE / 2] * 9 + [5 * self.USUAL_RATE]
        done, requested = [0] * 10, [0] * 10
        for seed in SEEDS:
            model = Model(tag_in_shared_queue, rates, SLOTS // 2, nodes=6, seed=seed)
            model.run()
            done = [total + more for total, more in zip(done, model.in_time, strict=True)]
            requested = [
                total + more for total, more in zip(requested, model.requested, strict=True)
            ]
        shares = [
            count / requested_count for count, requested_count in zip(done, requested, strict=True)
        ]
        self.assertGreaterEqual(min(shares[:9]), self.MIN_SHARE)


class Competition:
    """Tenants that always have requests waiting in one queue, nodes that assign tags, and
    faults."""

    def __init__(self):
        self.clocks = {name: ShareClock() for name in NODES}
        self.assigners = {name: TagAssigner(clock) for name, clock in self.clocks.items()}
        self.lender = dict.fromkeys(WEIGHTS, "n0")
        self.waiting = []
        self.received = dict.fromkeys(WEIGHTS, 0.0)
        self.fault_work = dict.fromkeys(WEIGHTS, 0.0)
        """Work divided by weight by which faults may have shifted a tenant."""
        self.previous = {}
        self.fill_queues()

    def fill_queues(self):
        for tenant in WEIGHTS:
            while sum(waiting_tenant == tenant for _, waiting_tenant in self.waiting) < QUEUE:
                self.add_request(tenant)

    def add_request(self, tenant, tag=None):
        if tag is None:
            tag = self.assigners[self.lender[tenant]].assign_tag(
                tenant, WEIGHTS[tenant], Work(COST)
            )
            self.previous[tenant] = tag
        self.waiting.append((tag, tenant))

    def serve(self, node, urgent):
        """Serve the first request in the queue, or the first of the urgent tenant before its
        turn."""
        chosen = min(entry for entry in self.waiting if not urgent or entry[1] == "urgent")
        self.waiting.remove(chosen)
        tag, tenant = chosen
        self.received[tenant] += COST / WEIGHTS[tenant]
        lowest = min((tag for tag, _ in self.waiting), default=None)
        self.clocks[node].record_served(tag, lowest)
        self.fill_queues()

    def send_clock(self, sender, receiver):
        self.clocks[receiver].merge(self.clocks[sender].now)

    def lose_tag(self, tenant, node):
        """The lender's tag did not arrive, so the node assigns one itself."""
        if node != self.lender[tenant]:
            tag = self.assigners[node].assign_tag(tenant, WEIGHTS[tenant], Work(COST))
            self.fault_work[tenant] += COST / WEIGHTS[tenant]
            self.add_request(tenant, tag)

    def repeat_tag(self, tenant):
        """A tag assigned to an earlier request is delivered again."""
        self.fault_work[tenant] += COST / WEIGHTS[tenant]
        self.add_request(tenant, self.previous[tenant])

    def move_lender(self, tenant, node):
        """Another node becomes the lender, without knowledge of waiting requests."""
        if node != self.lender[tenant]:
            self.assigners[node].reset()
            for other, lender in self.lender.items():
                if other == tenant or lender == node:
                    self.restart_tenant(other)
            self.lender[tenant] = node

    def restart(self, node):
        self.assigners[node].reset()
        for tenant, lender in self.lender.items():
            if lender == node:
                self.restart_tenant(tenant)

    def restart_tenant(self, tenant):
        waits = sum(waiting_tenant == tenant for _, waiting_tenant in self.waiting)
        self.fault_work[tenant] += waits * COST / WEIGHTS[tenant]

    def excess_difference(self, first, other):
        """Return the difference in weighted work between two tenants of equal priority, less the
        allowed one."""
        return abs(self.received[first] - self.received[other]) - self.allowed_difference(
            first, other
        )

    def allowed_difference(self, first, other):
        return sum(COST / WEIGHTS[name] + self.fault_work[name] for name in (first, other)) + 1e-6


NODE = st.sampled_from(NODES)
TENANT = st.sampled_from(sorted(WEIGHTS))
STEPS = st.one_of(
    st.tuples(st.just("serve"), NODE, st.booleans()),
    st.tuples(st.just("serve"), NODE, st.just(False)),
    st.tuples(st.just("send_clock"), NODE, NODE),
    st.tuples(st.just("lose_tag"), TENANT, NODE),
    st.tuples(st.just("repeat_tag"), TENANT),
    st.tuples(st.just("move_lender"), TENANT, NODE),
    st.tuples(st.just("restart"), NODE),
)
SERVES = st.lists(st.tuples(st.just("serve"), NODE, st.booleans()), min_size=10, max_size=60)


class FairnessBoundTest(unittest.TestCase):
    @settings(max_examples=300, deadline=None)
    @given(st.lists(STEPS, max_size=80))
    def test_waiting_tenants_differ_by_at_most_one_request_each_plus_faults(self, steps):
        model = Competition()
        for name, *arguments in steps:
            getattr(model, name)(*arguments)
            for first, other in (("a", "b"), ("a", "c"), ("b", "c")):
                self.assertLessEqual(model.excess_difference(first, other), 0.0, (first, other))

    @settings(max_examples=100, deadline=None)
    @given(SERVES)
    def test_waiting_tenants_differ_by_at_most_one_request_each_without_faults(self, steps):
        model = Competition()
        for name, *arguments in steps:
            getattr(model, name)(*arguments)
        self.assertEqual(sum(model.fault_work.values()), 0.0)
        self.assertLessEqual(model.excess_difference("a", "c"), 0.0)

    def test_high_priority_requests_do_not_advance_the_clock_past_waiting_tags(self):
        model = Competition()
        for _ in range(200):
            model.serve("n0", True)
        lowest = min(tag for tag, _ in model.waiting)
        self.assertLessEqual(model.clocks["n0"].now, lowest)


class CorrectionsTest(unittest.TestCase):
    """Corrections that a node reports for a tenant's former requests, however many end at once."""

    def setUp(self):
        tenants = [mock.Mock(rate=0.0), mock.Mock(rate=0.0)]
        tenants[0].name, tenants[1].name = "a", "b"
        table = mock.Mock()
        table.configuration.tenants = tenants
        self.shares = FairShares(lambda: table)

    def enter(self, cost):
        work = self.shares.work("a", cost)
        return self.shares.open("a", work, 0.0)

    def test_cost_of_refused_requests_is_returned_in_full(self):
        for share in [self.enter(2.0) for _ in range(100)]:
            share.settle()
        tags = [self.enter(2.0).tag for _ in range(10)]
        self.assertLess(tags[-1], INITIAL_TIME + 10 * 2.0)

    def test_refund_of_long_requests_is_limited_to_their_cost(self):
        self.enter(1000.0)
        for _ in range(5):
            self.enter(1000.0).settle()
        self.assertGreaterEqual(self.enter(1.0).tag, INITIAL_TIME + MAX_COST)

    def take(self, cost, seconds):
        share = self.enter(cost)
        share.attempt_started(0.0)
        return share, seconds

    def test_excess_over_the_estimate_is_counted_in_full(self):
        for share, seconds in [self.take(1.0, 3.0) for _ in range(100)]:
            share.attempt_ended(seconds)
            share.settle()
        tags = [self.enter(1.0).tag for _ in range(10)]
        self.assertAlmostEqual(tags[-1], INITIAL_TIME + 100 * 3.0 + 9 * 1.0)

    def test_cost_of_one_request_is_bounded(self):
        share, seconds = self.take(1.0, 1e6)
        share.attempt_ended(seconds)
        share.settle()
        tags = [self.enter(1.0).tag for _ in range(10)]
        self.assertAlmostEqual(tags[-1], INITIAL_TIME + MAX_COST + 9 * 1.0)


class TagAssignerTest(unittest.TestCase):
    def setUp(self):
        self.clock = ShareClock()
        self.assigner = TagAssigner(self.clock)

    def test_idle_tenant_starts_at_the_clock(self):
        self.assigner.assign_tag("t", 1.0, Work(1.0))
        self.clock.merge(50.0)
        self.assertEqual(self.assigner.assign_tag("t", 1.0, Work(1.0)), 50.0)
        self.assertEqual(self.assigner.assign_tag("t", 1.0, Work(1.0)), 51.0)

    def test_correction_moves_the_next_tag(self):
        self.assigner.assign_tag("t", 2.0, Work(1.0))
        self.assertEqual(self.assigner.assign_tag("t", 2.0, Work(1.0, 3.0)), INITIAL_TIME + 2.0)
        # The refused request's cost is returned, so the next one takes its position.
        self.assertEqual(self.assigner.assign_tag("t", 2.0, Work(1.0, -1.0)), INITIAL_TIME + 2.0)

    def test_corrections_give_no_tag_before_the_clock(self):
        self.clock.merge(5.0)
        self.assertEqual(self.assigner.assign_tag("t", 1.0, Work(1.0, -1e9)), 5.0)

    def test_invalid_values_from_peers_are_bounded(self):
        self.assigner.assign_tag("t", 1.0, Work(math.inf, math.inf))
        self.assertLessEqual(
            self.assigner.assign_tag("t", 1.0, Work(1.0)), INITIAL_TIME + 2 * MAX_COST
        )
        for told in (math.nan, math.inf, -1.0):
            self.clock.merge(told)
        self.assertEqual(self.clock.now, INITIAL_TIME)

    def test_removed_tenants_are_dropped(self):
        for name in ("a", "b"):
            self.assigner.assign_tag(name, 1.0, Work(1.0))
        self.assigner.retain({"b": 1.0})
        self.assertEqual(set(self.assigner.finish_tags()), {"b"})

    def test_weights_have_a_mean_of_one_and_a_lower_bound(self):
        weights = normalized_weights({"a": 1.0, "b": 3.0, "c": 1e-9})
        self.assertAlmostEqual(weights["b"] / weights["a"], 3.0)
        self.assertGreater(weights["c"], 1e-4)
        self.assertEqual(normalized_weights({}), {})

    def test_clock_is_monotonic(self):
        generator = random.Random(1)
        previous = 0.0
        for _ in range(100):
            self.clock.merge(generator.uniform(-5, 100))
            self.assertGreaterEqual(self.clock.now, previous)
            previous = self.clock.now


if __name__ == "__main__":
    unittest.main()
