"""Randomized sessions in which faults of all kinds overlap.

Two fault injectors run concurrently, so that any two faults may coincide. To replay the session of
one seed, run `python -m tests.test_mixed_faults SEED`.
"""

import random
import sys
import unittest

import gevent

from postvalve.emulator.log_model import LogFault
from postvalve.emulator.virtual_fleet import (
    ConnectionResetByNodeError,
    FleetShape,
    VirtualFleet,
)
from postvalve.emulator.virtual_time import run_virtual
from tests.checks import check_job, check_views_agree, count_engine_starts, running_nodes
from tests.support import (
    answer_tokens,
    batch_lines,
    create_batch,
    expected_first_token,
    upload_form,
)

SEEDS = (1, 2, 3, 4, 5, 6)
FAULT_SECONDS = 60.0
CHAT = "/v1/chat/completions"
AT_MOST_ONCE = {"X-Postvalve-At-Most-Once": "true"}


class MixedSession:
    """One randomized session: requests, batches and faults, then the checks."""

    def __init__(self, case, fleet, seed):
        self.case = case
        self.fleet = fleet
        self.random = random.Random(seed)
        self.jobs = []
        self.not_run_texts = []
        self.at_most_once_texts = []
        self.answer_count = 0
        self.frozen_nodes = set()

    def run(self):
        greenlets = [
            gevent.spawn(self.run_repeatedly, self.inject_fault, 3.0),
            gevent.spawn(self.run_repeatedly, self.inject_fault, 5.0),
            gevent.spawn(self.run_repeatedly, self.submit_job, 6.0),
            gevent.spawn(self.run_repeatedly, self.send_request, 0.4),
            gevent.spawn(self.run_repeatedly, self.send_request, 0.4),
        ]
        gevent.joinall(greenlets)
        for greenlet in greenlets:
            greenlet.get()
        self.recover()
        self.check()

    def run_repeatedly(self, action, mean):
        end = self.fleet.loop.now() + FAULT_SECONDS
        while self.fleet.loop.now() < end:
            gevent.sleep(self.random.expovariate(1 / mean))
            gevent.spawn(action)

    # Load

    def random_node(self):
        alive = [
            node_id for node_id in running_nodes(self.fleet) if node_id not in self.frozen_nodes
        ]
        return self.random.choice(alive) if alive else None

    def send_request(self):
        node_id = self.random_node()
        if node_id is None:
            return
        text = f"q{self.random.getrandbits(40)}"
        at_most_once = self.random.random() < 0.5
        if at_most_once:
            self.at_most_once_texts.append(text)
        document = {
            "model": "m",
            "messages": [{"role": "user", "content": text}],
            "max_tokens": 6,
            "stream": self.random.random() < 0.5,
        }
        headers = AT_MOST_ONCE if at_most_once else {}
        try:
            answer = self.fleet.request(
                node_id,
                "POST",
                CHAT,
                document=document,
                headers={**headers, "X-Postvalve-Deadline": "20"},
            )
        except ConnectionResetByNodeError:
            return
        self.check_answer(answer, text, document["stream"])

    def check_answer(self, answer, text, streamed):
        if answer.status != 200:
            if answer.document["error"]["verdict"] == "not_run":
                self.not_run_texts.append(text)
            return
        self.answer_count += 1
        if not streamed:
            content = answer.document["choices"][0]["message"]["content"]
            self.case.assertEqual(len(content.split()), 6)
            self.case.assertTrue(content.startswith(expected_first_token(text)))
            return
        tokens = answer_tokens(answer)
        if tokens is None:
            self.case.assertIn(b'"error"', answer.chunks[-1])
        else:
            self.case.assertEqual(len(tokens), 6)
            self.case.assertEqual(tokens[0], expected_first_token(text))

    def submit_job(self):
        node_id = self.random_node()
        if node_id is None:
            return
        name = f"job{self.random.getrandbits(30)}"
        count = self.random.randint(1, 60)
        at_most_once = self.random.random() < 0.5
        headers = {"Idempotency-Key": name, **(AT_MOST_ONCE if at_most_once else {})}
        body, content_type = upload_form(batch_lines("m", count, name=name))
        for _ in range(60):
            node_id = self.random_node()
            job_id = node_id and self.try_submit_job(node_id, body, content_type, headers)
            if job_id:
                self.jobs.append((job_id, name, count, at_most_once))
                return
            gevent.sleep(2)

    def try_submit_job(self, node_id, body, content_type, headers):
        try:
            file = self.fleet.request(
                node_id, "POST", "/v1/files", body=body, content_type=content_type
            )
            if file.status != 200:
                return None
            answer = create_batch(self.fleet, node_id, file.document["id"], None, headers)
            return answer.document["id"] if answer.status == 200 else None
        except ConnectionResetByNodeError:
            return None

    # Faults

    def inject_fault(self):
        fault = self.random.choice(
            [
                self.kill_node,
                self.freeze_node,
                self.partition_zones,
                self.cut_log_from_zone,
                self.disturb_log,
                self.kill_engine,
                self.disturb_engine,
                self.drain_node,
            ]
        )
        fault()

    def kill_node(self):
        node_id = self.random_node()
        if node_id is not None:
            self.fleet.kill_node(node_id)
            gevent.sleep(self.random.uniform(0.1, 20))
            self.fleet.restart_node(node_id)

    def drain_node(self):
        node_id = self.random_node()
        if node_id is None:
            return
        place = self.fleet.nodes[node_id].location
        self.fleet.drain_node(node_id)
        gevent.sleep(20)
        if self.fleet.nodes[node_id].location == place:
            self.fleet.kill_node(node_id)
            self.fleet.restart_node(node_id)

    def freeze_node(self):
        node_id = self.random_node()
        if node_id is not None:
            owner = self.fleet.nodes[node_id].location.owner
            self.frozen_nodes.add(node_id)
            self.fleet.loop.freeze(owner)
            gevent.sleep(self.random.uniform(0.1, 25))
            self.fleet.loop.thaw(owner)
            self.frozen_nodes.discard(node_id)

    def partition_zones(self):
        self.fleet.network.cut("zone-0", "zone-1")
        gevent.sleep(self.random.uniform(1, 15))
        self.fleet.network.heal("zone-0", "zone-1")

    def cut_log_from_zone(self):
        zone = self.random.choice(["zone-0", "zone-1"])
        self.fleet.log.model.faults.cut_zones.add(zone)
        gevent.sleep(self.random.uniform(1, 15))
        self.fleet.log.model.faults.cut_zones.discard(zone)

    def disturb_log(self):
        faults = self.fleet.log.model.faults
        faults.fault = self.random.choice(list(LogFault))
        faults.delay = self.random.choice([0.3, 2.0, 7.0])
        gevent.sleep(self.random.uniform(1, 10))
        faults.fault = LogFault.NONE

    def kill_engine(self):
        engine_id = self.random.choice(list(self.fleet.engines))
        if self.fleet.engines[engine_id].alive:
            self.fleet.kill_engine(engine_id)
            gevent.sleep(self.random.uniform(0.1, 10))
            self.fleet.restart_engine(engine_id)

    def disturb_engine(self):
        faults = self.random.choice(list(self.fleet.engines.values())).faults
        faults.crossed_answers += self.random.randint(0, 2)
        faults.refusals += self.random.randint(0, 2)
        faults.unanswered_attempts += self.random.randint(0, 1)
        faults.cut_after_tokens.append(self.random.randint(1, 5))

    def recover(self):
        gevent.sleep(30)
        for engine in self.fleet.engines.values():
            engine.faults.unanswered_attempts = 0
        gevent.sleep(60)

    # Checks

    def check(self):
        for job_id, name, count, at_most_once in self.jobs:
            check_job(self.case, self.fleet, job_id, count, name=name, at_most_once=at_most_once)
            check_views_agree(self.case, self.fleet, job_id)
        runs = count_engine_starts(self.fleet)
        self.case.assertEqual([text for text in self.not_run_texts if runs[text]], [])
        self.case.assertEqual([text for text in self.at_most_once_texts if runs[text] > 1], [])
        self.case.assertGreater(self.answer_count, 0)


class MixedFaultsTest(unittest.TestCase):
    def run_seed(self, seed):
        def run(loop):
            fleet = VirtualFleet(loop, FleetShape(zones=2, engines=4, shards=8), seed=seed)
            fleet.start()
            session = MixedSession(self, fleet, seed)
            session.run()
            return session

        return run_virtual(run)

    def test_seeds(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.run_seed(seed)


if __name__ == "__main__":
    if len(sys.argv) > 1:
        session = MixedFaultsTest().run_seed(int(sys.argv.pop()))
        print(
            f"{len(session.jobs)} jobs, {session.answer_count} answers, "
            f"{len(session.not_run_texts)} not run"
        )
    else:
        unittest.main()
