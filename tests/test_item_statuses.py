"""Items that engines answer with a failure other than 500 or 422 are not given up for it.

Such an answer was counted as one of the item's failed attempts, so that three engines in trouble
ended it, though neither its request nor its attempts were at fault.
"""

from tests.stand_in_engine import Behaviour
from tests.test_gateway_jobs import JobCase, whole_text
from tests.waiting import wait_until

ATTEMPTS = 3
"""Failed attempts after which an item ends."""


class ItemStatusTest(JobCase):
    nodes = 1

    def run_item(self, *statuses):
        plan = [Behaviour(status=status) for status in statuses]
        for engine in self.fleet.engines:
            engine.next_behaviours = plan
        self.submit("n0", "j", items=1)
        wait_until(lambda: self.page("n0", "j").document["results"], timeout=20.0)
        return self.page("n0", "j").document["results"][0]

    def test_failures_that_say_nothing_of_the_item_do_not_end_it(self):
        for status in (400, 404, 429, 502, 503, 504):
            with self.subTest(status=status):
                self.setUp()
                result = self.run_item(*[status] * ATTEMPTS)
                self.assertEqual(
                    (result["state"], result["text"]), ("completed", whole_text("j-0"))
                )

    def test_failed_attempts_end_it(self):
        self.assertEqual(self.run_item(*[500] * ATTEMPTS)["state"], "dead_letter")
        self.assertEqual(len(self.runs()), ATTEMPTS)

    def test_other_failures_beside_failed_attempts_do_not_count(self):
        result = self.run_item(500, 502, 502, 500)
        self.assertEqual(result["state"], "completed")

    def test_its_runs_become_rare(self):
        for engine in self.fleet.engines:
            engine.default_behaviour = Behaviour(status=404)
        self.submit("n0", "j", items=1)
        wait_until(lambda: len(self.runs()) >= 4, timeout=10.0)
        item = self.fleet.nodes["n0"]._runner._own.all()[0]
        self.assertGreater(item.retry_delay, 1.0)
