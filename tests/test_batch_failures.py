"""Failures during batch jobs: items complete exactly once, and results stay readable."""

import unittest

import gevent

from postvalve.emulator.log_model import LogFault
from postvalve.emulator.virtual_fleet import (
    ConnectionResetByNodeError,
    FleetShape,
    VirtualFleet,
)
from postvalve.emulator.virtual_time import run_virtual
from postvalve.events import Event
from postvalve.messages.generated import peer
from tests.checks import check_job, check_views_agree, count_engine_starts, running_nodes
from tests.support import (
    batch_lines,
    create_batch,
    result_lines,
    submit_batch,
    upload,
    wait_for_batch,
)

AT_MOST_ONCE = {"X-Postvalve-At-Most-Once": "true"}


class BatchSimulationCase(unittest.TestCase):
    """Base of tests that simulate batch jobs on a fleet in virtual time; two zones by default."""

    def simulate(self, function, **shape):
        def run(loop):
            fleet = VirtualFleet(loop, FleetShape(**{"zones": 2, "engines": 4, **shape}))
            fleet.start()
            return function(fleet)

        return run_virtual(run)

    def holder_of(self, fleet, job_id):
        loaded = [
            entry.node_id
            for entry in fleet.events
            if entry.event is Event.JOB_LOADED and entry.fields["job"] == job_id
        ]
        return loaded[-1]

    def lose_item_replies(self, fleet, count):
        """Drop the first `count` pull replies with items; the returned list grows with each."""
        lost = []

        def drops_reply(reply):
            if len(lost) < count and isinstance(reply, peer.ItemPullReply) and reply.items:
                lost.append(reply)
                return True
            return False

        fleet.network.drops_reply = drops_reply
        return lost

    def owner_with_items(self, fleet, excluded=()):
        for _ in range(100):
            running = [
                node_id
                for node_id in running_nodes(fleet)
                if fleet.nodes[node_id].node.batch_in_progress
            ]
            if running:
                return min(running, key=lambda node_id: node_id in excluded)
            gevent.sleep(0.01)
        raise AssertionError("no node ran items within 100 polls")


class BatchFailureTest(BatchSimulationCase):
    """Failures while repeatable items run: each item ends once, with a correct result."""

    def test_engine_dies_with_items(self):
        def run(fleet):
            job_id = submit_batch(fleet, "node-0-0", 200)
            gevent.sleep(0.2)
            busiest_engine = max(
                fleet.engines.values(), key=lambda engine: engine.model.load().running
            )
            self.assertGreater(busiest_engine.model.load().running, 0)
            fleet.kill_engine(busiest_engine.location.owner)
            check_job(self, fleet, job_id, 200)

        self.simulate(run)

    def test_owner_dies_with_items(self):
        def run(fleet):
            job_id = submit_batch(fleet, "node-0-0", 300)
            gevent.sleep(0.2)
            holder = self.holder_of(fleet, job_id)
            fleet.kill_node(self.owner_with_items(fleet, {holder}))
            check_job(self, fleet, job_id, 300)

        self.simulate(run)

    def test_holder_dies(self):
        def run(fleet):
            job_id = submit_batch(fleet, "node-0-0", 300)
            gevent.sleep(0.3)
            fleet.kill_node(self.holder_of(fleet, job_id))
            check_job(self, fleet, job_id, 300)

        self.simulate(run)

    def test_node_is_lost_right_after_it_acknowledged(self):
        def run(fleet):
            job_id = submit_batch(fleet, "node-0-0", 20)
            fleet.kill_node("node-0-0")
            check_job(self, fleet, job_id, 20)

        self.simulate(run)

    def test_an_item_that_breaks_every_engine_ends_as_failed(self):
        def run(fleet):
            for engine in fleet.engines.values():
                engine.cut_prompt = "text of item-3"
            job_id = submit_batch(fleet, "node-0-0", 20)
            document = wait_for_batch(fleet, job_id, timeout=600.0)
            self.assertEqual(document["request_counts"]["completed"], 19)
            [line] = result_lines(fleet, document, kind="error_file_id")
            self.assertEqual(line["custom_id"], "item-3")
            self.assertEqual(line["response"]["status_code"], 502)

        self.simulate(run, zones=1, engines=2)

    def test_replies_to_pulls_are_lost(self):
        def run(fleet):
            lost = self.lose_item_replies(fleet, 2)
            job_id = submit_batch(fleet, "node-0-0", 200)
            check_job(self, fleet, job_id, 200)
            self.assertEqual(len(lost), 2)

        self.simulate(run, nodes_per_zone=3)

    def test_append_answers_are_lost(self):
        def run(fleet):
            file_id = upload(fleet, "node-0-0", batch_lines("m", 30))
            fleet.log.model.faults.fault = LogFault.LOSE_ANSWERS
            key = {"Idempotency-Key": "k"}
            answer = create_batch(fleet, "node-0-0", file_id, headers=key)
            self.assertEqual(answer.status, 503)
            self.assertEqual(answer.document["error"]["verdict"], "may_have_run")
            fleet.log.model.faults.fault = LogFault.NONE
            resent = create_batch(fleet, "node-1-0", file_id, headers=key)
            self.assertEqual(resent.status, 200)
            check_job(self, fleet, resent.document["id"], 30)

        self.simulate(run)

    def test_answers_are_lost_while_results_are_written(self):
        def run(fleet):
            job_id = submit_batch(fleet, "node-0-0", 100)
            gevent.sleep(0.1)
            fleet.log.model.faults.fault = LogFault.LOSE_ANSWERS
            gevent.sleep(20)
            fleet.log.model.faults.fault = LogFault.NONE
            check_job(self, fleet, job_id, 100)

        self.simulate(run)

    def test_job_is_sent_to_two_zones_at_once(self):
        def run(fleet):
            key = {"Idempotency-Key": "k"}
            file_id = upload(fleet, "node-0-0", batch_lines("m", 30))
            submissions = [
                gevent.spawn(create_batch, fleet, node_id, file_id, None, key)
                for node_id in ("node-0-0", "node-1-0")
            ]
            answers = [submission.get() for submission in submissions]
            self.assertEqual({answer.status for answer in answers}, {200})
            self.assertEqual(len({answer.document["id"] for answer in answers}), 1)
            check_job(self, fleet, answers[0].document["id"], 30)
            self.assertEqual(set(count_engine_starts(fleet).values()), {1})

        self.simulate(run)

    def test_two_bodies_under_one_key_at_once_have_one_winner(self):
        def run(fleet):
            key = {"Idempotency-Key": "k"}
            files = [upload(fleet, "node-0-0", batch_lines("m", count)) for count in (10, 11)]
            submissions = [
                gevent.spawn(create_batch, fleet, node_id, file_id, None, key)
                for node_id, file_id in zip(("node-0-0", "node-1-0"), files, strict=True)
            ]
            answers = [submission.get() for submission in submissions]
            self.assertEqual(sorted(answer.status for answer in answers), [200, 409])
            winner = next(answer for answer in answers if answer.status == 200)
            count = winner.document["request_counts"]["total"]
            check_job(self, fleet, winner.document["id"], count)

        self.simulate(run)

    def test_log_is_down_for_minutes(self):
        def run(fleet):
            job_id = submit_batch(fleet, "node-0-0", 300)
            gevent.sleep(0.3)
            fleet.log.model.faults.fault = LogFault.DOWN
            gevent.sleep(1)
            refused = fleet.request("node-0-0", "GET", f"/v1/batches/{job_id}")
            self.assertEqual(refused.status, 503)
            self.assertIn("Retry-After", refused.headers)
            gevent.sleep(120)
            fleet.log.model.faults.fault = LogFault.NONE
            check_job(self, fleet, job_id, 300)

        self.simulate(run)

    def test_log_is_slow(self):
        def run(fleet):
            fleet.log.model.faults.fault = LogFault.SLOW
            fleet.log.model.faults.delay = 1.0
            job_id = submit_batch(fleet, "node-0-0", 100)
            check_job(self, fleet, job_id, 100)

        self.simulate(run)

    def test_log_is_so_slow_that_appends_take_effect_unanswered(self):
        def run(fleet):
            job_id = submit_batch(fleet, "node-0-0", 100)
            gevent.sleep(0.1)
            fleet.log.model.faults.fault = LogFault.SLOW
            fleet.log.model.faults.delay = 8.0
            gevent.sleep(60)
            fleet.log.model.faults.fault = LogFault.NONE
            check_job(self, fleet, job_id, 100)

        self.simulate(run)

    def test_every_node_is_replaced_one_after_the_other(self):
        def run(fleet):
            job_id = submit_batch(fleet, "node-0-0", 2000)
            for node_id in list(fleet.nodes):
                gevent.sleep(0.5)
                fleet.kill_node(node_id)
                gevent.sleep(8)
                fleet.restart_node(node_id)
                gevent.sleep(4)
            check_job(self, fleet, job_id, 2000)

        self.simulate(run)

    def test_every_node_is_replaced_at_once(self):
        def run(fleet):
            done_id = submit_batch(fleet, "node-0-0", 20, name="done")
            check_job(self, fleet, done_id, 20, name="done")
            job_id = submit_batch(fleet, "node-0-0", 500)
            gevent.sleep(0.5)
            for node_id in list(fleet.nodes):
                fleet.kill_node(node_id)
            gevent.sleep(1)
            for node_id in list(fleet.nodes):
                fleet.restart_node(node_id)
            gevent.sleep(fleet.settling_time)
            check_job(self, fleet, done_id, 20, name="done")
            check_job(self, fleet, job_id, 500)

        self.simulate(run)

    def test_holder_resumes_after_its_lease_expired(self):
        def run(fleet):
            job_id = submit_batch(fleet, "node-0-0", 600)
            gevent.sleep(0.3)
            holder = self.holder_of(fleet, job_id)
            fleet.freeze_node(holder)
            gevent.sleep(40)
            self.assertNotEqual(self.holder_of(fleet, job_id), holder)
            fleet.thaw_node(holder)
            check_job(self, fleet, job_id, 600)
            check_views_agree(self, fleet, job_id)

        self.simulate(run)

    def test_submitter_dies_between_its_records(self):
        def run(fleet):
            key = {"Idempotency-Key": "k"}
            file_id = upload(fleet, "node-0-0", batch_lines("m", 10))
            first = gevent.spawn(create_batch, fleet, "node-0-0", file_id, None, key)
            gevent.sleep(0.012)
            fleet.kill_node("node-0-0")
            with self.assertRaises(ConnectionResetByNodeError):
                first.get()
            resent = create_batch(fleet, "node-1-0", file_id, headers=key)
            check_job(self, fleet, resent.document["id"], 10)

        self.simulate(run)

    def test_cancel_races_with_completion(self):
        for delay in (0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4):
            with self.subTest(delay=delay):
                self.simulate(lambda fleet, delay=delay: self.cancel_after(fleet, delay))

    def cancel_after(self, fleet, delay):
        job_id = submit_batch(fleet, "node-0-0", 60)
        gevent.sleep(delay)
        answer = fleet.request("node-1-0", "POST", f"/v1/batches/{job_id}/cancel")
        self.assertEqual(answer.status, 200)
        self.assertIn(answer.document["status"], ("cancelled", "completed"))
        gevent.sleep(5)
        document = check_views_agree(self, fleet, job_id)
        self.assertEqual(document["status"], answer.document["status"])
        running = [engine.model.load().running for engine in fleet.engines.values()]
        self.assertEqual(running, [0] * len(running))


class AtMostOnceTest(BatchSimulationCase):
    """Failures while at-most-once items run: no item reaches an engine twice."""

    def test_nothing_fails(self):
        def run(fleet):
            job_id = submit_batch(fleet, "node-0-0", 100, headers=AT_MOST_ONCE)
            _, failed = check_job(self, fleet, job_id, 100, at_most_once=True)
            self.assertEqual(failed, [])

        self.simulate(run)

    def test_replies_to_pulls_are_lost(self):
        def run(fleet):
            lost = self.lose_item_replies(fleet, 2)
            job_id = submit_batch(fleet, "node-0-0", 200, headers=AT_MOST_ONCE)
            _, failed = check_job(self, fleet, job_id, 200, at_most_once=True)
            # Lost items did not run, but only their starts are on record, so they end as failed.
            self.assertEqual(len(failed), sum(len(reply.items) for reply in lost))

        self.simulate(run, nodes_per_zone=3)

    def test_engine_dies_with_items(self):
        def run(fleet):
            job_id = submit_batch(fleet, "node-0-0", 200, headers=AT_MOST_ONCE)
            gevent.sleep(0.3)
            busiest_engine = max(
                fleet.engines.values(), key=lambda engine: engine.model.load().running
            )
            fleet.kill_engine(busiest_engine.location.owner)
            _, failed = check_job(self, fleet, job_id, 200, at_most_once=True)
            self.assertGreater(len(failed), 0)

        self.simulate(run)

    def test_owner_dies_with_items(self):
        def run(fleet):
            job_id = submit_batch(fleet, "node-0-0", 300, headers=AT_MOST_ONCE)
            gevent.sleep(0.3)
            holder = self.holder_of(fleet, job_id)
            fleet.kill_node(self.owner_with_items(fleet, {holder}))
            check_job(self, fleet, job_id, 300, at_most_once=True)

        self.simulate(run)

    def test_holder_dies(self):
        for delay in (0.12, 0.15, 0.2, 0.5):
            with self.subTest(delay=delay):
                self.simulate(lambda fleet, delay=delay: self.kill_holder(fleet, delay))

    def kill_holder(self, fleet, delay):
        job_id = submit_batch(fleet, "node-0-0", 300, headers=AT_MOST_ONCE)
        gevent.sleep(delay)
        fleet.kill_node(self.holder_of(fleet, job_id))
        check_job(self, fleet, job_id, 300, at_most_once=True)

    def test_holder_resumes_after_its_lease_expired(self):
        def run(fleet):
            job_id = submit_batch(fleet, "node-0-0", 600, headers=AT_MOST_ONCE)
            gevent.sleep(0.3)
            holder = self.holder_of(fleet, job_id)
            fleet.freeze_node(holder)
            gevent.sleep(40)
            fleet.thaw_node(holder)
            check_job(self, fleet, job_id, 600, at_most_once=True)

        self.simulate(run)

    def test_answers_are_lost_while_results_are_written(self):
        def run(fleet):
            job_id = submit_batch(fleet, "node-0-0", 100, headers=AT_MOST_ONCE)
            gevent.sleep(0.1)
            fleet.log.model.faults.fault = LogFault.LOSE_ANSWERS
            gevent.sleep(20)
            fleet.log.model.faults.fault = LogFault.NONE
            check_job(self, fleet, job_id, 100, at_most_once=True)

        self.simulate(run)

    def test_log_is_down_for_minutes(self):
        def run(fleet):
            job_id = submit_batch(fleet, "node-0-0", 300, headers=AT_MOST_ONCE)
            gevent.sleep(0.3)
            fleet.log.model.faults.fault = LogFault.DOWN
            gevent.sleep(60)
            before = sum(count_engine_starts(fleet).values())
            gevent.sleep(60)
            self.assertEqual(sum(count_engine_starts(fleet).values()), before)
            fleet.log.model.faults.fault = LogFault.NONE
            check_job(self, fleet, job_id, 300, at_most_once=True)

        self.simulate(run)


if __name__ == "__main__":
    unittest.main()
