"""Tenant limits across all nodes are never exceeded, and hardly any request below them is
refused."""

import random
import unittest

from postvalve.core.admission.fleet_limits import (
    STALL_THRESHOLD,
    CreditOutcome,
    FleetLimits,
    LimitBounds,
    LimitTerms,
)
from postvalve.core.membership.ownership import rank_owners
from tests.limit_model import STEP, LimitModel, ShareModel, allowed

LARGE, SMALL = LimitTerms(65.0, 65.0), LimitTerms(0.8, 0.8)
TERMS = (LARGE, SMALL, LimitTerms(10.0, 0.0), LimitTerms(300.0, 100.0))
FAULTS = (
    lambda model: model.cut(1 / 3, model.random.uniform(1, 12)),
    lambda model: model.isolate(1 / 3, model.random.uniform(1, 12)),
    lambda model: model.freeze(0.15, model.random.uniform(0.5, 5)),
    lambda model: model.freeze_lender(model.random.uniform(0.3, 5)),
    lambda model: model.kill(0.5, model.random.uniform(0.5, 2)),
    lambda model: model.kill(1.0, model.random.uniform(0.5, 2)),
)


def settle(model):
    for _ in range(int(4 / STEP)):
        model.step(0)


def flood(model, seconds, rate, *, faults=True, at=None):
    """Send `rate` requests per second to all nodes or those of `at`, with random faults."""
    due = 0.0
    for _ in range(int(seconds / STEP)):
        due += rate * STEP
        model.step(int(due), at)
        due -= int(due)
        if faults and model.random.random() < STEP / 3:
            model.random.choice(FAULTS)(model)


class BoundTest(unittest.TestCase):
    def test_no_window_exceeds_the_limit_under_random_faults(self):
        for seed in range(24):
            terms = TERMS[seed % len(TERMS)]
            model = LimitModel(seed, 13, terms)
            settle(model)
            flood(model, 30, 7 * terms.rate + 5)
            self.assertLessEqual(model.max_in_window, allowed(terms), (seed, terms))
            self.assertGreater(model.total, 0)

    def test_a_fault_during_a_flood(self):
        for number, fault in enumerate(FAULTS):
            for seed in range(3):
                model = LimitModel(100 + seed, 13, LARGE)
                settle(model)
                flood(model, 2, 700, faults=False)
                fault(model)
                flood(model, 14, 700, faults=False)
                self.assertLessEqual(model.max_in_window, allowed(LARGE), (number, seed))


class StrictBoundTest(unittest.TestCase):
    """The tolerance of a limit is a setting of the deployment, not a constant."""

    def test_a_flood_stays_within_stricter_bounds(self):
        for bounds in (LimitBounds(5.0, 0.05, 6.0), LimitBounds(2.0, 0.0, 3.0)):
            for seed in range(6):
                model = LimitModel(seed, 13, LARGE, bounds=bounds)
                settle(model)
                flood(model, 20, 7 * LARGE.rate, faults=False)
                self.assertLessEqual(model.max_in_window, allowed(LARGE, bounds), (seed, bounds))
                self.assertGreater(model.total, 0.9 * 20 * LARGE.rate)


class ServedTest(unittest.TestCase):
    """Share of requests refused at 0.6 of the limit, with 61 nodes.

    A lender refuses none. With a fixed part of the limit at each node, 36 of 100 requests are
    refused for a tenant of 65 requests a second, and all of them for one of 0.8, whose part is
    below one request.
    """

    def refused(self, model, rate):
        settle(model)
        model.random = random.Random(5)
        due = 0.0
        for _ in range(int(20 / STEP)):
            # Requests arrive unevenly, since most clients use only a few nodes.
            due += model.random.expovariate(1.0) * rate * STEP
            model.step(int(due))
            due -= int(due)
        return 1 - model.total / model.asked

    def test_usual_traffic_of_large_and_small_tenants_is_served(self):
        for terms in (LARGE, SMALL):
            self.assertEqual(self.refused(LimitModel(1, 61, terms), 0.6 * terms.rate), 0)

    def test_a_part_of_the_limit_at_each_node_refuses_small_tenants(self):
        self.assertGreater(self.refused(ShareModel(1, 61, LARGE), 0.6 * LARGE.rate), 0.2)
        self.assertGreater(self.refused(ShareModel(1, 61, SMALL), 0.6 * SMALL.rate), 0.9)

    def test_a_flood_is_served_up_to_the_limit(self):
        model = LimitModel(3, 61, LARGE)
        settle(model)
        flood(model, 20, 450, faults=False)
        self.assertGreater(model.total, LARGE.rate * 20)

    def test_it_is_served_soon_after_the_lender_is_gone(self):
        model = LimitModel(4, 13, LARGE)
        settle(model)
        flood(model, 3, 40, faults=False)
        model.freeze_lender(30.0)
        flood(model, 4, 40, faults=False)
        before, asked = model.total, model.asked
        flood(model, 5, 40, faults=False)
        self.assertGreater(model.total - before, 0.9 * (model.asked - asked))


class LenderTest(unittest.TestCase):
    def setUp(self):
        self.limits = FleetLimits("n0", 0.0)

    def update_view(self, now, live=("n0",), announced=1):
        self.limits.update_view(live, announced, now)

    def acquire(self, now, terms=LARGE, tenant="t"):
        return self.limits.try_acquire(tenant, terms, now)

    def count(self, now, terms=LARGE):
        number = 0
        while self.acquire(now, terms).outcome is CreditOutcome.GRANTED:
            number += 1
        return number

    def test_a_suspended_lender_starts_with_an_empty_bucket(self):
        for step in range(40):
            self.update_view(step * 0.5)
        self.assertGreater(self.count(20.0), 80)
        self.update_view(30.0 + STALL_THRESHOLD)
        self.assertLessEqual(self.count(30.0 + STALL_THRESHOLD), 1)

    def test_a_new_lender_grants_by_the_share_of_the_fleet_it_hears(self):
        self.update_view(0.1, announced=60)
        self.assertAlmostEqual(self.limits.share, 1 / 60)
        self.update_view(0.2, live=[f"n{number}" for number in range(30)], announced=60)
        self.assertAlmostEqual(self.limits.share, 0.5)

    def test_credit_granted_by_another_lender_is_not_granted_again(self):
        live = ["n0", "n1", "n2", "n3"]
        self.update_view(0.1)
        tenant = next(one for one in map(str, range(99)) if self.limits_choice(one, live) != "n0")
        self.assertIs(self.acquire(9.0, tenant=tenant).outcome, CreditOutcome.GRANTED)
        for step in range(40):
            self.update_view(9.0 + step * 0.5, live=live)
        self.update_view(29.0)
        granted = 0
        while self.acquire(29.0, tenant=tenant).outcome is CreditOutcome.GRANTED:
            granted += 1
        self.assertLessEqual(granted, 1)

    def limits_choice(self, tenant, live):
        return rank_owners(tenant, live)[0]

    def test_a_node_that_is_not_a_lender_grants_nothing(self):
        self.update_view(0.1, live=("n0", "n1", "n2"))
        outcomes = {self.acquire(5.0, tenant=f"t{number}").outcome for number in range(60)}
        self.assertIn(CreditOutcome.NOT_OWNER, outcomes)

    def test_a_lower_limit_applies_at_once_and_an_older_revision_does_not(self):
        for step in range(40):
            self.update_view(step * 0.5)
        low = LimitTerms(2.0, 2.0, 9)
        self.assertLessEqual(self.count(20.0, low), LimitBounds().capacity(low))
        self.update_view(20.5)
        self.assertLessEqual(self.count(21.0, LimitTerms(65.0, 65.0, 8)), 3)
        self.update_view(21.5)
        self.assertGreater(self.count(22.0, LimitTerms(65.0, 65.0, 10)), 20)

    def test_retries_of_refused_clients_are_spaced_out(self):
        self.update_view(0.1)
        self.count(0.2)
        waits = [self.acquire(0.2).wait for _ in range(20)]
        self.assertEqual(waits, sorted(waits))
        self.assertAlmostEqual(waits[-1] - waits[0], 19 / LARGE.rate, places=3)
