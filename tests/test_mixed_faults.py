"""All faults together and twice, in a randomized session.

`python -m tests.test_mixed_faults SEED` replays the session of one seed.
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
from tests.checks import check_job, engine_runs, running_nodes, views_agree
from tests.support import (
    answer_tokens,
    batch_lines,
    create_batch,
    expected_start,
    upload_form,
)

SEEDS = (1, 2, 3, 4, 5, 6)
FAULT_SECONDS = 60.0
CHAT = "/v1/chat/completions"
AT_MOST_ONCE = {"X-Postvalve-At-Most-Once": "true"}


class MixedSession:
    """One randomized session."""

    def __init__(self, case, fleet, seed):
        self.case = case
        self.fleet = fleet
        self.random = random.Random(seed)
        self.jobs = []
        self.not_run = []
        self.once = []
        self.answered = 0
        self.frozen = set()

    def run(self):
        greenlets = [
            gevent.spawn(self.repeat, self.fault, 3.0),
            gevent.spawn(self.repeat, self.fault, 5.0),
            gevent.spawn(self.repeat, self.submit, 6.0),
            gevent.spawn(self.repeat, self.ask, 0.4),
            gevent.spawn(self.repeat, self.ask, 0.4),
        ]
        gevent.joinall(greenlets)
        for greenlet in greenlets:
            greenlet.get()
        self.heal()
        self.check()

    def repeat(self, action, mean):
        end = self.fleet.loop.now() + FAULT_SECONDS
        while self.fleet.loop.now() < end:
            gevent.sleep(self.random.expovariate(1 / mean))
            gevent.spawn(action)

    # Load

    def any_node(self):
        alive = [one for one in running_nodes(self.fleet) if one not in self.frozen]
        return self.random.choice(alive) if alive else None

    def ask(self):
        node_id = self.any_node()
        if node_id is None:
            return
        text = f"q{self.random.getrandbits(40)}"
        once = self.random.random() < 0.5
        if once:
            self.once.append(text)
        document = {
            "model": "m",
            "messages": [{"role": "user", "content": text}],
            "max_tokens": 6,
            "stream": self.random.random() < 0.5,
        }
        headers = AT_MOST_ONCE if once else {}
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
                self.not_run.append(text)
            return
        self.answered += 1
        if not streamed:
            content = answer.document["choices"][0]["message"]["content"]
            self.case.assertEqual(len(content.split()), 6)
            self.case.assertTrue(content.startswith(expected_start(text)))
            return
        tokens = answer_tokens(answer)
        if tokens is None:
            self.case.assertIn(b'"error"', answer.chunks[-1])
        else:
            self.case.assertEqual(len(tokens), 6)
            self.case.assertEqual(tokens[0], expected_start(text))

    def submit(self):
        node_id = self.any_node()
        if node_id is None:
            return
        name = f"job{self.random.getrandbits(30)}"
        count = self.random.randint(1, 60)
        once = self.random.random() < 0.5
        headers = {"Idempotency-Key": name, **(AT_MOST_ONCE if once else {})}
        body, content_type = upload_form(batch_lines("m", count, name=name))
        for _ in range(60):
            node_id = self.any_node()
            job_id = node_id and self.try_submit(node_id, body, content_type, headers)
            if job_id:
                self.jobs.append((job_id, name, count, once))
                return
            gevent.sleep(2)

    def try_submit(self, node_id, body, content_type, headers):
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

    def fault(self):
        fault = self.random.choice(
            [
                self.kill_node,
                self.freeze_node,
                self.cut_zones,
                self.cut_log,
                self.spoil_log,
                self.kill_engine,
                self.spoil_engine,
                self.drain_node,
            ]
        )
        fault()

    def kill_node(self):
        node_id = self.any_node()
        if node_id is not None:
            self.fleet.kill_node(node_id)
            gevent.sleep(self.random.uniform(0.1, 20))
            self.fleet.restart_node(node_id)

    def drain_node(self):
        node_id = self.any_node()
        if node_id is None:
            return
        place = self.fleet.nodes[node_id].place
        self.fleet.drain_node(node_id)
        gevent.sleep(20)
        if self.fleet.nodes[node_id].place == place:
            self.fleet.kill_node(node_id)
            self.fleet.restart_node(node_id)

    def freeze_node(self):
        node_id = self.any_node()
        if node_id is not None:
            owner = self.fleet.nodes[node_id].place.owner
            self.frozen.add(node_id)
            self.fleet.loop.freeze(owner)
            gevent.sleep(self.random.uniform(0.1, 25))
            self.fleet.loop.thaw(owner)
            self.frozen.discard(node_id)

    def cut_zones(self):
        self.fleet.network.cut("zone-0", "zone-1")
        gevent.sleep(self.random.uniform(1, 15))
        self.fleet.network.heal("zone-0", "zone-1")

    def cut_log(self):
        zone = self.random.choice(["zone-0", "zone-1"])
        self.fleet.log.model.faults.cut_zones.add(zone)
        gevent.sleep(self.random.uniform(1, 15))
        self.fleet.log.model.faults.cut_zones.discard(zone)

    def spoil_log(self):
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

    def spoil_engine(self):
        faults = self.random.choice(list(self.fleet.engines.values())).faults
        faults.crossed_answers += self.random.randint(0, 2)
        faults.refusals += self.random.randint(0, 2)
        faults.unanswered_attempts += self.random.randint(0, 1)
        faults.cut_after_tokens.append(self.random.randint(1, 5))

    def heal(self):
        gevent.sleep(30)
        for engine in self.fleet.engines.values():
            engine.faults.unanswered_attempts = 0
        gevent.sleep(60)

    # Checks

    def check(self):
        for job_id, name, count, once in self.jobs:
            check_job(self.case, self.fleet, job_id, count, name=name, at_most_once=once)
            views_agree(self.case, self.fleet, job_id)
        runs = engine_runs(self.fleet)
        self.case.assertEqual([text for text in self.not_run if runs[text]], [])
        self.case.assertEqual([text for text in self.once if runs[text] > 1], [])
        self.case.assertGreater(self.answered, 0)


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
        done = MixedFaultsTest().run_seed(int(sys.argv.pop()))
        print(f"{len(done.jobs)} jobs, {done.answered} answers, {len(done.not_run)} not run")
    else:
        unittest.main()
