"""Fair shares: how far tenants get apart, and what tags do under load against other orders."""

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
    HELD,
    DeficitRoundRobin,
    Model,
    oldest_by_draw,
    tag_by_draw,
    tag_in_line,
)

SLOTS = 40
CAPACITY = SLOTS / HELD
"""Requests a second."""
SEEDS = range(4)
QUEUE = 4
"""Requests that each tenant has waiting in the property test."""
WEIGHTS = {"a": 1.0, "b": 0.5, "c": 3.0, "urgent": 1.0}
COST = 1.0
NODES = ("n0", "n1", "n2")


def skewed(count, total):
    parts = [1 / (number + 1) ** 1.2 for number in range(count)]
    return [total * part / sum(parts) for part in parts]


def heaps(now):
    """2.4 s at 1.87 times the mean, then a pause."""
    return 1.87 if now % 5 < 2.4 else 0.2


def served(make_order, rates, burst=None):
    """Share in time by tenant, of those that asked at least ten times, and of all."""
    done, asked = [0] * len(rates), [0] * len(rates)
    for seed in SEEDS:
        model = Model(make_order(), rates, SLOTS, seed=seed, burst=burst)
        model.run()
        done = [one + more for one, more in zip(done, model.in_time, strict=True)]
        asked = [one + more for one, more in zip(asked, model.asked, strict=True)]
    by_tenant = [one / all_ if all_ >= 10 else None for one, all_ in zip(done, asked, strict=True)]
    return by_tenant, sum(done) / sum(asked)


class LoadTest(unittest.TestCase):
    """Orders of service on the same arrivals; bounds are what callers are promised."""

    USUAL = CAPACITY * 0.06
    """Requests a second of a tenant that uses six tenths of its share."""
    LEAST_SHARE = 0.85
    """Of what all get, that the worst tenant within its share gets."""

    def worst_of_others(self, make_order, rates, burst=None):
        by_tenant, total = served(make_order, rates, burst)
        hot = rates.index(max(rates))
        others = [one for n, one in enumerate(by_tenant) if n != hot and one is not None]
        return min(others), sum(others) / len(others), total

    def test_one_tenant_at_ten_times_its_usual_takes_nothing_from_the_others(self):
        rates = [self.USUAL] * 9 + [10 * self.USUAL]
        worst, mean, total = self.worst_of_others(lambda: tag_in_line, rates)
        _, by_age, _ = self.worst_of_others(lambda: oldest_by_draw, rates)
        self.assertGreaterEqual(worst, self.LEAST_SHARE)
        self.assertGreater(mean, by_age)
        self.assertGreater(total, 0.5)

    def test_heaps_of_75_tenants_cost_those_who_send_most(self):
        rates = skewed(75, CAPACITY * 0.9)
        results = {
            name: self.worst_of_others(make, rates, heaps)
            for name, make in (
                ("age", lambda: oldest_by_draw),
                ("draw", lambda: tag_by_draw),
                ("line", lambda: tag_in_line),
            )
        }
        means = {name: mean for name, (_, mean, _) in results.items()}
        self.assertGreater(means["line"], means["draw"])
        self.assertGreater(means["draw"], means["age"])
        # Order moves who is served, and costs hardly anybody's service.
        self.assertGreater(results["line"][2], results["age"][2] - 0.03)

    def test_tags_in_line_are_fairer_than_a_round_at_each_node(self):
        for rates in ([self.USUAL] * 9 + [10 * self.USUAL], skewed(75, CAPACITY * 1.3)):
            _, in_line, _ = self.worst_of_others(lambda: tag_in_line, rates)
            _, in_rounds, _ = self.worst_of_others(DeficitRoundRobin, rates)
            self.assertGreater(in_line, in_rounds)

    def test_half_of_the_nodes_cut_off_serve_by_shares_too(self):
        """Each side of a cut has its own line over half of the slots, and its own lenders."""
        rates = [self.USUAL / 2] * 9 + [5 * self.USUAL]
        done, asked = [0] * 10, [0] * 10
        for seed in SEEDS:
            model = Model(tag_in_line, rates, SLOTS // 2, nodes=6, seed=seed)
            model.run()
            done = [one + more for one, more in zip(done, model.in_time, strict=True)]
            asked = [one + more for one, more in zip(asked, model.asked, strict=True)]
        shares = [one / all_ for one, all_ in zip(done, asked, strict=True)]
        self.assertGreaterEqual(min(shares[:9]), self.LEAST_SHARE)


class Competition:
    """Tenants that always wait, one line, several nodes that stamp, and what befalls tags."""

    def __init__(self):
        self.clocks = {name: ShareClock() for name in NODES}
        self.books = {name: TagAssigner(clock) for name, clock in self.clocks.items()}
        self.lender = dict.fromkeys(WEIGHTS, "n0")
        self.waiting = []
        self.got = dict.fromkeys(WEIGHTS, 0.0)
        self.harm = dict.fromkeys(WEIGHTS, 0.0)
        """Work by weight by which faults may have moved a tenant."""
        self.former = {}
        self.fill()

    def fill(self):
        for tenant in WEIGHTS:
            while sum(one == tenant for _, one in self.waiting) < QUEUE:
                self.ask(tenant)

    def ask(self, tenant, tag=None):
        if tag is None:
            tag = self.books[self.lender[tenant]].assign_tag(tenant, WEIGHTS[tenant], Work(COST))
            self.former[tenant] = tag
        self.waiting.append((tag, tenant))

    def serve(self, node, urgent):
        """Serve the first in line, or one of the urgent tenant before its turn."""
        chosen = min(one for one in self.waiting if not urgent or one[1] == "urgent")
        self.waiting.remove(chosen)
        tag, tenant = chosen
        self.got[tenant] += COST / WEIGHTS[tenant]
        lowest = min((one for one, _ in self.waiting), default=None)
        self.clocks[node].record_served(tag, lowest)
        self.fill()

    def tell(self, teller, hearer):
        self.clocks[hearer].merge(self.clocks[teller].now)

    def lose(self, tenant, node):
        """Nobody told the tag: a node stamps itself."""
        if node != self.lender[tenant]:
            tag = self.books[node].assign_tag(tenant, WEIGHTS[tenant], Work(COST))
            self.harm[tenant] += COST / WEIGHTS[tenant]
            self.ask(tenant, tag)

    def late(self, tenant):
        """A tag that was told for another request comes again."""
        self.harm[tenant] += COST / WEIGHTS[tenant]
        self.ask(tenant, self.former[tenant])

    def move(self, tenant, node):
        """Another node lends, and knows nothing of what waits."""
        if node != self.lender[tenant]:
            self.books[node].reset()
            for other, lender in self.lender.items():
                if other == tenant or lender == node:
                    self.begin_anew(other)
            self.lender[tenant] = node

    def restart(self, node):
        self.books[node].reset()
        for tenant, lender in self.lender.items():
            if lender == node:
                self.begin_anew(tenant)

    def begin_anew(self, tenant):
        waits = sum(one == tenant for _, one in self.waiting)
        self.harm[tenant] += waits * COST / WEIGHTS[tenant]

    def apart(self, one, other):
        """Work by weight that two tenants of one priority are apart beyond what is allowed."""
        return abs(self.got[one] - self.got[other]) - self.allowed(one, other)

    def allowed(self, one, other):
        return sum(COST / WEIGHTS[name] + self.harm[name] for name in (one, other)) + 1e-6


NODE = st.sampled_from(NODES)
TENANT = st.sampled_from(sorted(WEIGHTS))
STEPS = st.one_of(
    st.tuples(st.just("serve"), NODE, st.booleans()),
    st.tuples(st.just("serve"), NODE, st.just(False)),
    st.tuples(st.just("tell"), NODE, NODE),
    st.tuples(st.just("lose"), TENANT, NODE),
    st.tuples(st.just("late"), TENANT),
    st.tuples(st.just("move"), TENANT, NODE),
    st.tuples(st.just("restart"), NODE),
)
SERVES = st.lists(st.tuples(st.just("serve"), NODE, st.booleans()), min_size=10, max_size=60)


class ApartTest(unittest.TestCase):
    @settings(max_examples=300, deadline=None)
    @given(st.lists(STEPS, max_size=80))
    def test_tenants_that_wait_are_never_further_apart_than_a_request_each_and_their_faults(
        self, steps
    ):
        model = Competition()
        for name, *arguments in steps:
            getattr(model, name)(*arguments)
            for one, other in (("a", "b"), ("a", "c"), ("b", "c")):
                self.assertLessEqual(model.apart(one, other), 0.0, (one, other))

    @settings(max_examples=100, deadline=None)
    @given(SERVES)
    def test_without_a_fault_they_stay_within_a_request_each(self, steps):
        model = Competition()
        for name, *arguments in steps:
            getattr(model, name)(*arguments)
        self.assertEqual(sum(model.harm.values()), 0.0)
        self.assertLessEqual(model.apart("a", "c"), 0.0)

    def test_an_urgent_tenant_moves_no_clock_past_those_that_wait(self):
        model = Competition()
        for _ in range(200):
            model.serve("n0", True)
        lowest = min(tag for tag, _ in model.waiting)
        self.assertLessEqual(model.clocks["n0"].now, lowest)


class CorrectionsTest(unittest.TestCase):
    """What a node tells of a tenant's former requests, however many ended at once."""

    def setUp(self):
        tenants = [mock.Mock(rate=0.0), mock.Mock(rate=0.0)]
        tenants[0].name, tenants[1].name = "a", "b"
        table = mock.Mock()
        table.configuration.tenants = tenants
        self.shares = FairShares(lambda: table)

    def enter(self, cost):
        work = self.shares.work("a", cost)
        return self.shares.open("a", work, 0.0)

    def test_a_heap_that_was_refused_gets_all_back(self):
        for share in [self.enter(2.0) for _ in range(100)]:
            share.settle()
        tags = [self.enter(2.0).tag for _ in range(10)]
        self.assertLess(tags[-1], INITIAL_TIME + 10 * 2.0)

    def test_refused_requests_of_long_work_get_back_no_more_than_they_cost(self):
        self.enter(1000.0)
        for _ in range(5):
            self.enter(1000.0).end()
        self.assertGreaterEqual(self.enter(1.0).tag, INITIAL_TIME + MAX_COST)

    def take(self, cost, seconds):
        share = self.enter(cost)
        share.attempt_started(0.0)
        return share, seconds

    def test_a_heap_that_took_longer_than_told_is_counted_in_full(self):
        for share, seconds in [self.take(1.0, 3.0) for _ in range(100)]:
            share.attempt_ended(seconds)
            share.settle()
        tags = [self.enter(1.0).tag for _ in range(10)]
        self.assertAlmostEqual(tags[-1], INITIAL_TIME + 100 * 3.0 + 9 * 1.0)

    def test_one_request_counts_for_so_much_at_the_most(self):
        share, seconds = self.take(1.0, 1e6)
        share.attempt_ended(seconds)
        share.settle()
        tags = [self.enter(1.0).tag for _ in range(10)]
        self.assertAlmostEqual(tags[-1], INITIAL_TIME + MAX_COST + 9 * 1.0)


class BookTest(unittest.TestCase):
    def setUp(self):
        self.clock = ShareClock()
        self.book = TagAssigner(self.clock)

    def test_who_was_idle_begins_at_the_clock(self):
        self.book.assign_tag("t", 1.0, Work(1.0))
        self.clock.merge(50.0)
        self.assertEqual(self.book.assign_tag("t", 1.0, Work(1.0)), 50.0)
        self.assertEqual(self.book.assign_tag("t", 1.0, Work(1.0)), 51.0)

    def test_what_a_request_took_corrects_the_next_tag(self):
        self.book.assign_tag("t", 2.0, Work(1.0))
        self.assertEqual(self.book.assign_tag("t", 2.0, Work(1.0, 3.0)), INITIAL_TIME + 2.0)
        # What a refused request had cost comes back: the next one has its place.
        self.assertEqual(self.book.assign_tag("t", 2.0, Work(1.0, -1.0)), INITIAL_TIME + 2.0)

    def test_nobody_gets_before_the_clock_by_corrections(self):
        self.clock.merge(5.0)
        self.assertEqual(self.book.assign_tag("t", 1.0, Work(1.0, -1e9)), 5.0)

    def test_what_is_told_in_error_is_bounded(self):
        self.book.assign_tag("t", 1.0, Work(math.inf, math.inf))
        self.assertLessEqual(self.book.assign_tag("t", 1.0, Work(1.0)), INITIAL_TIME + 2 * MAX_COST)
        for told in (math.nan, math.inf, -1.0):
            self.clock.merge(told)
        self.assertEqual(self.clock.now, INITIAL_TIME)

    def test_tenants_that_left_the_configuration_are_dropped(self):
        for name in ("a", "b"):
            self.book.assign_tag(name, 1.0, Work(1.0))
        self.book.retain({"b": 1.0})
        self.assertEqual(set(self.book.finish_tags()), {"b"})

    def test_weights_have_a_mean_of_one_and_none_is_nothing(self):
        weights = normalized_weights({"a": 1.0, "b": 3.0, "c": 1e-9})
        self.assertAlmostEqual(weights["b"] / weights["a"], 3.0)
        self.assertGreater(weights["c"], 1e-4)
        self.assertEqual(normalized_weights({}), {})

    def test_the_clock_never_goes_back(self):
        draw = random.Random(1)
        former = 0.0
        for _ in range(100):
            self.clock.merge(draw.uniform(-5, 100))
            self.assertGreaterEqual(self.clock.now, former)
            former = self.clock.now


if __name__ == "__main__":
    unittest.main()
