"""Parts of prompts under which each engine crashes that begins to answer, in requests never alike.

Guards against nodes that know whole requests only: each new request with such a part ended up to
`maxAttempts` engines more, 45 within a minute, and those that ran beside it were held back instead.
"""

import base64
import itertools
import json
import unittest
from typing import ClassVar

import gevent

from postvalve.core.admission.quarantine import HOLD_TIME
from postvalve.events import Event
from tests.gateway_support import BATCH_PATH, STREAM_PATH, GatewayFleet
from tests.stand_in_engine import Behaviour
from tests.waiting import wait_until

FIRST, OTHER_FIRST = "a0", "b0"
"""First parts of prompts."""
FATAL, SOUND = "c3", "c4"
"""Second parts of prompts."""
MAX_CRASHES = 5 + 3
"""Engines that may crash: five until it is known, and three requests that are sent later."""
FINISH_TIME = 18.0
"""Seconds in which the items of a job must end after all trouble."""
RECOVERY_TIME = 6.0
"""Seconds after the crashes within which sound requests of the same first part are served."""


class FatalPartCase(unittest.TestCase):
    nodes = 3
    engines = 6
    configuration: ClassVar = {}

    def setUp(self):
        self.fleet = GatewayFleet(self.nodes, self.engines, **self.configuration)
        self.addCleanup(self.fleet.stop)
        self.numbers = itertools.count()
        nodes = self.fleet.nodes.values()
        wait_until(lambda: all(len(one.peers.all()) == len(nodes) - 1 for one in nodes))

    def ended(self):
        return sum(engine.ended for engine in self.fleet.engines)

    def send(self, *shared, node=None, headers=(), model="m"):
        """Send a request that no other is like; returns its answer."""
        number = next(self.numbers)
        names = [*shared, f"{number:x}"]
        prompt = ",".join(f"{name}:100" for name in names)
        return self.fleet.request(
            node or f"n{number % self.nodes}",
            STREAM_PATH + f"x/{number}",
            body=f"body {number}".encode(),
            request_id=f"r{number}",
            headers=[("Prompt-Prefix", prompt), ("Model", model), *headers],
        )

    def send_fatal(self, *shared, seconds=2.5, interval=0.12):
        """Send fatal requests for some seconds, among sound ones.

        Sound requests have their first part, and a second part of their own.
        """
        senders = []
        for number in range(int(seconds / interval)):
            senders.append(gevent.spawn(self.send, *shared))
            senders.append(gevent.spawn(self.send, FIRST, f"d{number % 7}"))
            gevent.sleep(interval)
        gevent.joinall(senders)


class OnlineTest(FatalPartCase):
    def test_requests_with_a_fatal_part_crash_few_engines(self):
        self.fleet.crash_on_part(FATAL)
        self.send_fatal(FIRST, FATAL, seconds=5.0)
        self.assertLessEqual(self.ended(), MAX_CRASHES)

    def test_requests_with_a_fatal_first_part_crash_few_engines(self):
        self.fleet.crash_on_part(OTHER_FIRST)
        self.send_fatal(OTHER_FIRST, SOUND, seconds=5.0)
        self.assertLessEqual(self.ended(), MAX_CRASHES)

    def test_sound_requests_of_the_same_first_part_are_served_meanwhile(self):
        self.fleet.crash_on_part(FATAL)
        self.send_fatal(FIRST, FATAL)
        wait_until(lambda: self.send(FIRST, SOUND).status == 200, RECOVERY_TIME)
        answers = []
        for _ in range(20):
            gevent.spawn(self.send, FIRST, FATAL)
            answers.append(self.send(FIRST, SOUND).status)
            gevent.sleep(0.05)
        self.assertGreaterEqual(answers.count(200), 10, answers)

    def test_a_held_request_hears_when_to_come_back(self):
        self.fleet.crash_on_part(FATAL)
        self.send_fatal(FIRST, FATAL)
        answer = self.send(FIRST, FATAL)
        self.assertEqual(answer.status, 503)
        self.assertGreater(float(answer.headers["retry-after"]), 0.0)


class KnowledgeTest(FatalPartCase):
    def hold(self):
        """Send fatal requests until all nodes hold the part back."""
        self.fleet.crash_on_part(FATAL)
        self.send_fatal(FIRST, FATAL)
        wait_until(lambda: all(map(self.is_held_at, self.fleet.nodes)))

    def rows(self, node):
        return self.fleet.nodes[node].status_document()["prompt_parts"]

    def is_held_at(self, node):
        return any(row["held_for"] > 0 for row in self.rows(node))

    def test_a_starting_node_learns_before_it_serves(self):
        self.hold()
        ended = self.ended()
        self.fleet.start_node("n9")
        wait_until(lambda: self.fleet.nodes["n9"].ready)
        self.assertEqual(self.send(FIRST, FATAL, node="n9").status, 503)
        self.assertEqual(self.ended(), ended)

    def test_a_restarted_fleet_learns_from_the_store(self):
        self.hold()
        wait_until(lambda: self.stored_parts())
        for name in list(self.fleet.nodes):
            self.fleet.kill(name)
        ended = self.ended()
        self.fleet.start_node("m0")
        wait_until(lambda: self.fleet.nodes["m0"].ready)
        self.assertEqual(self.send(FIRST, FATAL, node="m0").status, 503)
        self.assertEqual(self.ended(), ended)

    def stored_parts(self):
        records = self.fleet.topics.newest("quarantine", 0)[0].records
        return [record.key for record in records if record.key.startswith("part-")]

    def test_a_silent_store_holds_up_nothing(self):
        for topics in self.fleet.node_topics.values():
            topics.silent = True
        self.hold()
        self.assertLessEqual(self.ended(), MAX_CRASHES)

    def test_a_part_that_is_sound_again_is_found_out(self):
        self.hold()
        for engine in self.fleet.engines:
            engine.fatal_parts.clear()
        for node in self.fleet.nodes.values():
            for digest in node._part_quarantine.digests():
                for crash in node._part_quarantine.entry(digest).crashes.values():
                    crash.ended_at -= HOLD_TIME
        wait_until(lambda: self.send(FIRST, FATAL, node="n0").status == 200)
        for node in self.fleet.nodes:
            wait_until(lambda node=node: self.send(FIRST, FATAL, node=node).status == 200, 3.0)
        self.assertTrue(self.fleet.events("n0", Event.PROMPT_PART_CLEARED))

    def test_another_caller_with_the_same_name_of_a_part_is_served(self):
        self.hold()
        for engine in self.fleet.engines:
            engine.fatal_parts.clear()
        other = [("Authorization", "Bearer somebody")]
        self.assertEqual(self.send(FIRST, FATAL, headers=other).status, 200)
        self.assertEqual(self.send(FIRST, FATAL, model="other").status, 200)
        self.assertEqual(self.send(FIRST, FATAL).status, 503)


class ItemTest(FatalPartCase):
    items = 10

    def submit(self, *shared):
        """Submit a job of items that no other is like."""
        prefix = "".join(f"{name}:100," for name in shared)
        items = [
            {
                "id": f"i{number}",
                "path": f"{BATCH_PATH}{number}/x",
                "headers": {"Model": "m", "Prompt-Prefix": f"{prefix}e{number}:9"},
                "body": base64.b64encode(f"body {number}".encode()).decode(),
                "tokens": 100,
            }
            for number in range(self.items)
        ]
        body = json.dumps({"items": items}).encode()
        answer = self.fleet.request("n0", BATCH_PATH + "x", body=body, request_id="job")
        self.assertEqual(answer.status, 202)

    def listed(self):
        """Return how many items of the job are listed."""
        path = "/api/lots/job?watchAfter=0"
        return len(self.fleet.request("n0", path, method="GET").document["results"])

    def test_items_with_a_fatal_part_crash_few_engines(self):
        self.fleet.crash_on_part(FATAL)
        self.submit(FIRST, FATAL)
        gevent.sleep(6.0)
        self.assertGreaterEqual(self.ended(), 1)
        self.assertLessEqual(self.ended(), MAX_CRASHES)

    def test_engines_that_crash_for_another_cause_leave_no_item_lying(self):
        """Their shared part was held back for 60 s and more, beside idle engines."""
        self.fleet.crash_on_part()
        for engine in self.fleet.engines:
            engine.default_behaviour = Behaviour(events=15, pause=0.1)
        self.submit(FIRST)
        gevent.sleep(0.3)
        for _ in range(8):
            serving = [engine for engine in self.fleet.engines if not engine.ended]
            for engine in serving[:3]:
                engine.end()
            gevent.sleep(0.4)
        wait_until(lambda: self.listed() == self.items, FINISH_TIME)


class InnocentTest(FatalPartCase):
    def test_clients_that_leave_hold_no_part(self):
        for engine in self.fleet.engines:
            engine.default_behaviour = Behaviour(events=10, pause=0.05)
        for number in range(8):
            conn = self.fleet.open(
                "n0", STREAM_PATH + "x", body=b"gone", request_id=f"g{number}",
                headers=[("Prompt-Prefix", f"{FIRST}:1,{SOUND}:1,x:1")],
            )  # fmt: skip
            gevent.sleep(0.12)
            conn.close()
        gevent.sleep(0.2)
        self.assertEqual(self.fleet.nodes["n0"].status_document()["prompt_parts"], [])

    def test_broken_connections_of_living_engines_hold_no_part(self):
        for _ in range(4):
            for engine in self.fleet.engines:
                engine.next_behaviours = [Behaviour(cut_after=-1)]
            self.send(FIRST, SOUND)
        for engine in self.fleet.engines:
            engine.next_behaviours = []
        self.assertEqual(self.send(FIRST, SOUND).status, 200)

    def test_ends_of_many_engines_at_once_hold_no_part(self):
        """As a machine that fails does."""
        for engine in self.fleet.engines:
            engine.default_behaviour = Behaviour(events=10, pause=0.05)
        senders = [gevent.spawn(self.send, FIRST, SOUND) for _ in range(12)]
        gevent.sleep(0.15)
        for engine in self.fleet.engines[:4]:
            engine.end()
        gevent.joinall(senders)
        self.assertEqual(self.send(FIRST, SOUND).status, 200)


if __name__ == "__main__":
    unittest.main()
