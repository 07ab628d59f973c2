"""Golden files of whole sessions. `make golden` writes them anew."""

import unittest

import gevent

from postvalve.emulator.engine_model import EngineParameters
from postvalve.emulator.log_model import LogFault
from postvalve.emulator.virtual_fleet import FleetShape, VirtualFleet
from postvalve.emulator.virtual_time import run_virtual
from postvalve.exceptions import RevisionConflictError
from tests.golden_recorder import Recorder, check_golden
from tests.support import batch_lines, upload
from tests.test_configuration import changed, operator

CHAT = "/v1/chat/completions"


def chat(text="hi", **options):
    document = {"model": "m", "messages": [{"role": "user", "content": text}], "max_tokens": 4}
    return {**document, **options}


class GoldenTest(unittest.TestCase):
    maxDiff = None

    def record(self, name, session, **shape):
        def run(loop):
            fleet = VirtualFleet(loop, FleetShape(**{"shards": 2, **shape}))
            fleet.start()
            recorder = Recorder(fleet)
            session(fleet, recorder)
            return recorder.text()

        check_golden(self, name, run_virtual(run))

    def submit(self, fleet, recorder, count, max_tokens=4, headers=None):
        file_id = upload(fleet, "node-0-0", batch_lines("m", count, max_tokens))
        body = {
            "input_file_id": file_id,
            "endpoint": CHAT,
            "completion_window": "24h",
        }
        answer = recorder.request("node-0-0", "POST", "/v1/batches", document=body, headers=headers)
        return answer.document["id"]

    def show(self, recorder, job_id, node_id="node-0-0"):
        recorder.request(node_id, "GET", f"/v1/batches/{job_id}")

    def test_batch_through_the_death_of_an_owner(self):
        def session(fleet, recorder):
            job_id = self.submit(fleet, recorder, 6)
            gevent.sleep(0.02)
            owner = next(
                node_id for node_id, node in fleet.nodes.items() if node.node.batch_in_progress
            )
            recorder.note("operator", f"kills {owner}")
            fleet.kill_node(owner)
            gevent.sleep(20)
            survivor = next(one for one in fleet.nodes if one != owner)
            self.show(recorder, job_id, survivor)

        self.record("owner_death", session)

    def test_log_outage_with_lost_answers(self):
        def session(fleet, recorder):
            job_id = self.submit(fleet, recorder, 4, headers={"X-Postvalve-At-Most-Once": "true"})
            recorder.note("platform", "the log loses its answers")
            fleet.log.model.faults.fault = LogFault.LOSE_ANSWERS
            gevent.sleep(8)
            recorder.note("platform", "the log is down")
            fleet.log.model.faults.fault = LogFault.DOWN
            recorder.request("node-0-0", "GET", f"/v1/batches/{job_id}")
            recorder.request("node-0-0", "POST", CHAT, document=chat())
            gevent.sleep(8)
            recorder.note("platform", "the log is back")
            fleet.log.model.faults.fault = LogFault.NONE
            gevent.sleep(20)
            self.show(recorder, job_id)

        self.record("log_outage", session)

    def test_lease_lapses_in_a_pause(self):
        def session(fleet, recorder):
            job_id = self.submit(fleet, recorder, 40, max_tokens=20)
            gevent.sleep(0.3)
            holder = next(
                one.node_id for one in reversed(fleet.events) if one.event.name == "JOB_LOADED"
            )
            recorder.note("operator", f"freezes {holder}")
            fleet.freeze_node(holder)
            gevent.sleep(20)
            recorder.note("operator", f"thaws {holder}")
            fleet.thaw_node(holder)
            gevent.sleep(5)
            self.show(recorder, job_id)

        self.record("lease_lapse", session)

    def test_operators_race(self):
        def session(fleet, recorder):
            stores = [operator(fleet, name) for name in "ab"]
            base = stores[0].newest().number

            def publish(store, name):
                try:
                    revision = store.publish(changed(store, name), base, name)
                    recorder.note(f"operator {name}", f"published {revision}")
                except RevisionConflictError as error:
                    recorder.note(f"operator {name}", error.message)

            both = [
                gevent.spawn(publish, store, name) for store, name in zip(stores, "ab", strict=True)
            ]
            gevent.joinall(both)
            gevent.sleep(2)

        self.record("operator_race", session)

    def test_drain(self):
        def session(fleet, recorder):
            stream = gevent.spawn(
                recorder.request,
                "node-0-0",
                "POST",
                CHAT,
                document=chat(stream=True, max_tokens=20),
            )
            gevent.sleep(0.05)
            recorder.note("operator", "drains node-0-0")
            fleet.drain_node("node-0-0")
            gevent.sleep(0.05)
            recorder.request("node-0-0", "POST", CHAT, document=chat("late"))
            stream.join()
            gevent.sleep(2)
            recorder.request("node-0-1", "POST", CHAT, document=chat("after"))

        self.record("drain", session)

    def test_burst_preempts_batch(self):
        def session(fleet, recorder):
            job_id = self.submit(fleet, recorder, 4, max_tokens=30)
            gevent.sleep(0.1)
            burst = [
                gevent.spawn(
                    recorder.request, "node-0-0", "POST", CHAT, document=chat(f"q{number}")
                )
                for number in range(4)
            ]
            gevent.joinall(burst)
            gevent.sleep(3)
            self.show(recorder, job_id)

        parameters = EngineParameters(slots=4)
        self.record("burst", session, engines=1, parameters=parameters, headroom=0)

    def test_crossed_and_late_answers(self):
        def session(fleet, recorder):
            for engine in fleet.engines.values():
                engine.faults.crossed_answers = 1
            recorder.note("platform", "each engine answers once for another attempt")
            recorder.request("node-0-0", "POST", CHAT, document=chat("crossed"))
            for engine in fleet.engines.values():
                engine.faults.unanswered_attempts = 1
            recorder.note("platform", "each engine is silent once")
            recorder.request(
                "node-0-0",
                "POST",
                CHAT,
                document=chat("late"),
                headers={"X-Postvalve-Deadline": "2"},
            )
            recorder.request("node-0-0", "POST", CHAT, document=chat("after"))

        self.record("crossed_and_late", session)


if __name__ == "__main__":
    unittest.main()
