"""Limits of tenants: a flood of one is refused, and the others don't notice."""

import unittest
from collections import Counter

import gevent

from postvalve.core.admission.tenant_limits import TenantLimiter
from postvalve.emulator.virtual_fleet import FleetShape, VirtualFleet
from postvalve.emulator.virtual_time import run_virtual
from postvalve.exceptions import RateLimitedError
from postvalve.settings.fleet import FleetConfiguration, LimitSpec
from tests.checks import count_engine_starts
from tests.test_configuration import operator

CHAT = "/v1/chat/completions"


def limit(**fields):
    return LimitSpec(
        **{"name": "l", "requests_per_second": 10, "burst": 5, "concurrency": 3, **fields}
    )


class LimiterTest(unittest.TestCase):
    def test_rate_and_burst(self):
        limiter = TenantLimiter()
        rule = limit(concurrency=1000)
        admitted = 0
        for step in range(1000):
            try:
                limiter.leave(limiter.enter("t", rule, 1, step / 100))
                admitted += 1
            except RateLimitedError as error:
                self.assertGreater(error.retry_after, 0)
        self.assertAlmostEqual(admitted, 5 + 10 * 10, delta=2)

    def test_concurrency(self):
        limiter = TenantLimiter()
        keys = [limiter.enter("t", limit(), 1, 0.0) for _ in range(3)]
        with self.assertRaises(RateLimitedError):
            limiter.enter("t", limit(), 1, 0.0)
        limiter.enter("other", limit(), 1, 0.0)
        limiter.leave(keys[0])
        limiter.enter("t", limit(), 1, 0.0)

    def test_nodes_share_the_rate(self):
        limiter = TenantLimiter()
        rule = limit(concurrency=1000, requests_per_second=100, burst=10)
        admitted = 0
        for step in range(1000):
            try:
                limiter.leave(limiter.enter("t", rule, 10, step / 100))
                admitted += 1
            except RateLimitedError:
                continue
        # A bucket of one request loses up to one gap between arrivals each time.
        self.assertLessEqual(admitted, 1 + 10 * 10)
        self.assertGreaterEqual(admitted, 90)


class FloodTest(unittest.TestCase):
    def test_a_flood_is_refused_and_others_are_served(self):
        def run(loop):
            fleet = VirtualFleet(loop, FleetShape(engines=2))
            fleet.start()
            store = operator(fleet, "a")
            document = store.newest_configuration().model_dump()
            document["limits"] = [
                {"name": "all", "requests_per_second": 40, "burst": 20, "concurrency": 20}
            ]
            store.publish(FleetConfiguration.model_validate(document), None, "a")
            gevent.sleep(1)
            answers = {"alpha": [], "beta": []}

            def ask(tenant, number):
                chat = {
                    "model": "m",
                    "messages": [{"role": "user", "content": f"{tenant}-{number}"}],
                    "max_tokens": 4,
                }
                answers[tenant].append(
                    fleet.request(
                        f"node-0-{number % 2}", "POST", CHAT, tenant=tenant, document=chat
                    )
                )

            greenlets = []
            for number in range(1500):
                greenlets.append(gevent.spawn(ask, "alpha", number))
                if number % 50 == 0:
                    greenlets.append(gevent.spawn(ask, "beta", number))
                gevent.sleep(0.002)
            gevent.joinall(greenlets)
            return answers, count_engine_starts(fleet)

        answers, runs = run_virtual(run)
        self.assertEqual({one.status for one in answers["beta"]}, {200})
        flood = Counter(one.status for one in answers["alpha"])
        self.assertEqual(set(flood), {200, 429})
        self.assertLessEqual(flood[200], 20 + 40 * 3 + 5)
        refused = [one for one in answers["alpha"] if one.status == 429]
        for answer in refused:
            self.assertEqual(answer.document["error"]["verdict"], "not_run")
            self.assertIn("Retry-After", answer.headers)
        self.assertEqual(sum(runs.values()), flood[200] + len(answers["beta"]))


if __name__ == "__main__":
    unittest.main()
