"""Online requests under failure: whole answers, true verdicts, no wait behind batch."""

import json
import random
import unittest
from collections import Counter
from unittest import mock

import gevent

from postvalve.core.routing.retry import RetryBudget
from postvalve.core.routing.router import EngineCandidate
from postvalve.emulator.engine_model import EngineParameters
from postvalve.emulator.log_model import LogFault
from postvalve.emulator.virtual_fleet import FleetShape, VirtualFleet
from postvalve.emulator.virtual_time import VirtualClock, run_virtual
from postvalve.exceptions import RefusedError
from postvalve.messages.generated import peer
from postvalve.node.online.admission import (
    ADMISSION_TIMEOUT,
    SECOND_ADMISSION_TIMEOUT,
    AdmissionClient,
)
from tests.checks import check_job, engine_runs
from tests.support import answer_tokens, expected_start, submit_batch

CHAT = "/v1/chat/completions"
AT_MOST_ONCE = {"X-Postvalve-At-Most-Once": "true"}


def chat(text="hi", **options):
    document = {"model": "m", "messages": [{"role": "user", "content": text}], "max_tokens": 6}
    return {**document, **options}


class OnlineSessionCase(unittest.TestCase):
    def session(self, function, **shape):
        def run(loop):
            fleet = VirtualFleet(loop, FleetShape(**{"zones": 1, "engines": 2, **shape}))
            fleet.start()
            return function(fleet)

        return run_virtual(run)

    def ask(self, fleet, text="hi", node_id="node-0-0", headers=None, **options):
        return fleet.request(node_id, "POST", CHAT, document=chat(text, **options), headers=headers)

    def error(self, answer):
        return answer.document["error"]


class SilentOwnerTest(OnlineSessionCase):
    """An owner that stands still for a moment has refused nothing."""

    def ask_beside_a_frozen_node(self, seconds):
        """Status and seconds to it, in fleets where one node and the other stands still."""

        def run(frozen, asked):
            def ask(fleet):
                fleet.freeze_node(frozen)
                gevent.spawn_later(seconds, fleet.thaw_node, frozen)
                asked_at = fleet.loop.now()
                return self.ask(fleet, node_id=asked).status, fleet.loop.now() - asked_at

            return self.session(ask, engines=1, nodes_per_zone=2)

        return [run("node-0-0", "node-0-1"), run("node-0-1", "node-0-0")]

    def test_it_is_asked_again(self):
        answers = self.ask_beside_a_frozen_node(0.8)
        self.assertEqual([status for status, _ in answers], [200, 200])

    def test_a_request_is_refused_soon_where_it_stays_silent(self):
        (served, _), (refused, seconds) = sorted(self.ask_beside_a_frozen_node(60.0))
        self.assertEqual((served, refused), (200, 503))
        self.assertLess(seconds, ADMISSION_TIMEOUT + SECOND_ADMISSION_TIMEOUT + 0.1)


class OwnerChangeTest(OnlineSessionCase):
    """Engines get another owner: for a while, nodes see it differently."""

    def refused_after(self, deadline):
        """Seconds until a request is refused where nobody ever owns its engine."""

        def run(loop):
            registry = mock.Mock()
            registry.candidates.return_value = [EngineCandidate("e", "n", "z", 0, 4)]
            registry.admit_online.return_value = peer.AdmissionReply(
                outcome=peer.AdmissionOutcome.ADMISSION_OUTCOME_NOT_OWNER
            )
            context = mock.Mock(clock=VirtualClock(loop), generator=random.Random(1))
            context.settings.node_id, context.settings.zone = "n", "z"
            context.new_id = lambda: "id"
            request = mock.Mock(deadline=deadline, prefix_key="p", model="m")
            request.tenant.name = "t"
            client = AdmissionClient(context, mock.Mock(), registry)
            with self.assertRaises(RefusedError):
                client.admit(request, set())
            return round(loop.now(), 3)

        return run_virtual(run)

    def test_a_request_is_refused_at_once_after_the_last_round(self):
        self.assertEqual(self.refused_after(deadline=30.0), 1.05)

    def test_no_round_begins_after_the_deadline(self):
        self.assertEqual(self.refused_after(deadline=0.2), 0.15)

    def test_no_request_is_refused_while_two_nodes_begin_to_hear_each_other(self):
        def run(loop):
            answers = []
            fleet = VirtualFleet(loop, FleetShape(zones=1, engines=2))

            def ask(node_id, number):
                answers.append(self.ask(fleet, f"{node_id} {number}", node_id=node_id).status)

            fleet.add_node("node-0-0", "zone-0")
            gevent.sleep(0.35)
            fleet.add_node("node-0-1", "zone-0")
            for node_id in ("node-0-0", "node-0-1"):
                while self.ask(fleet, node_id=node_id).status != 200:
                    gevent.sleep(0.05)
            for number in range(100):
                for node_id in ("node-0-0", "node-0-1"):
                    gevent.spawn(ask, node_id, number)
                gevent.sleep(0.05)
            gevent.sleep(10.0)
            return Counter(answers)

        self.assertEqual(run_virtual(run), {200: 200})


class VerdictTest(OnlineSessionCase):
    """Step, fault and verdict: a row each, for requests that may repeat and that may not."""

    def spoil(self, fleet, **faults):
        for engine in fleet.engines.values():
            for name, value in faults.items():
                setattr(engine.faults, name, value)

    def verdict(self, fault, headers=None, **options):
        def run(fleet):
            fault(fleet)
            answer = self.ask(fleet, headers=headers, **options)
            return answer, engine_runs(fleet)["hi"]

        return self.session(run)

    def test_engines_refuse(self):
        answer, runs = self.verdict(lambda fleet: self.spoil(fleet, refusals=100))
        self.assertEqual(self.error(answer)["verdict"], "not_run")
        self.assertEqual(runs, 0)

    def test_engines_refuse_once_and_the_request_is_retried(self):
        answer, runs = self.verdict(lambda fleet: self.spoil(fleet, refusals=1), AT_MOST_ONCE)
        self.assertIn(answer.status, (200, 503))
        self.assertLessEqual(runs, 1)

    def test_engines_are_dead(self):
        def kill(fleet):
            for engine_id in fleet.engines:
                fleet.kill_engine(engine_id)

        answer, runs = self.verdict(kill)
        self.assertEqual(self.error(answer)["verdict"], "not_run")
        self.assertEqual(runs, 0)

    def test_answer_is_crossed(self):
        answer, runs = self.verdict(
            lambda fleet: self.spoil(fleet, crossed_answers=100), AT_MOST_ONCE
        )
        self.assertEqual(self.error(answer)["verdict"], "may_have_run")
        self.assertEqual(runs, 1)

    def test_answer_is_crossed_once_and_the_request_may_repeat(self):
        answer, _ = self.verdict(lambda fleet: self.spoil(fleet, crossed_answers=1))
        text = answer.document["choices"][0]["message"]["content"]
        self.assertTrue(text.startswith(expected_start("hi")))

    def test_every_repetition_is_crossed(self):
        answer, runs = self.verdict(lambda fleet: self.spoil(fleet, crossed_answers=100))
        self.assertEqual(self.error(answer)["verdict"], "may_have_run")
        self.assertGreater(runs, 0)

    def test_engine_is_silent(self):
        answer, runs = self.verdict(
            lambda fleet: self.spoil(fleet, unanswered_attempts=100),
            {**AT_MOST_ONCE, "X-Postvalve-Deadline": "3"},
        )
        self.assertEqual(self.error(answer)["verdict"], "may_have_run")
        self.assertEqual(runs, 1)

    def test_whole_answer_is_cut(self):
        def cut(fleet):
            for engine in fleet.engines.values():
                engine.faults.cut_after_tokens.extend([3] * 100)

        answer, runs = self.verdict(cut, AT_MOST_ONCE)
        self.assertEqual(self.error(answer)["verdict"], "may_have_run")
        self.assertEqual(runs, 1)

    def test_stream_is_cut_and_may_not_repeat(self):
        def cut(fleet):
            for engine in fleet.engines.values():
                engine.faults.cut_after_tokens.append(3)

        answer, runs = self.verdict(cut, AT_MOST_ONCE, stream=True)
        last = json.loads(answer.chunks[-1].removeprefix(b"data: "))
        self.assertEqual(last["error"]["verdict"], "may_have_run")
        self.assertNotIn(b"[DONE]", answer.body)
        self.assertEqual(runs, 1)

    def test_no_verdict_is_not_run_after_an_attempt_that_may_have_run(self):
        def run(fleet):
            first, second = fleet.engines.values()
            first.faults.crossed_answers = 100
            second.faults.crossed_answers = 100
            self.ask(fleet)
            # The retry finds every engine excluded, which alone would be not run.
            return self.ask(fleet)

        self.assertEqual(self.error(self.session(run))["verdict"], "may_have_run")


class StreamTest(OnlineSessionCase):
    def test_a_cut_stream_goes_on_exactly_at_another_engine(self):
        def run(fleet):
            whole = answer_tokens(self.ask(fleet, stream=True))
            for engine in fleet.engines.values():
                engine.faults.cut_after_tokens.append(3)
            resumed = answer_tokens(self.ask(fleet, stream=True))
            return whole, resumed

        whole, resumed = self.session(run)
        self.assertEqual(len(whole), 6)
        self.assertEqual(whole, resumed)

    def test_a_stream_is_not_resumed_by_another_version(self):
        def run(fleet):
            # Only the versions differ, so a resume would mix two answers.
            for number, engine in enumerate(fleet.engines.values()):
                engine.models["m"] = str(number + 1)
                engine.faults.cut_after_tokens.extend([3] * 100)
            gevent.sleep(5)
            return self.ask(fleet, stream=True, max_tokens=60)

        answer = self.session(run)
        last = json.loads(answer.chunks[-1].removeprefix(b"data: "))
        self.assertEqual(last["error"]["verdict"], "may_have_run")

    def test_an_engine_dies_under_hundreds_of_streams(self):
        def run(fleet):
            asked = [
                gevent.spawn(self.ask, fleet, f"q{number}", f"node-0-{number % 2}", stream=True)
                for number in range(40)
            ]
            gevent.sleep(0.03)
            fleet.kill_engine("engine-0")
            return [one.get() for one in asked]

        answers = self.session(run, engines=4)
        for number, answer in enumerate(answers):
            tokens = answer_tokens(answer)
            if tokens is None:
                self.assertIn(b"error", answer.chunks[-1])
                continue
            self.assertEqual(len(tokens), 6)
            self.assertEqual(tokens[0], expected_start(f"q{number}"))
        whole = sum(answer_tokens(answer) is not None for answer in answers)
        self.assertGreaterEqual(whole, 35)


class NoWaitBehindBatchTest(OnlineSessionCase):
    parameters = EngineParameters(slots=8)

    def first_token_times(self, fleet, count):
        def one(number):
            sent = fleet.loop.now()
            answer = self.ask(fleet, f"q{number}", f"node-0-{number % 2}", stream=True)
            self.assertEqual(answer.status, 200, answer.body)
            return answer.times[0] - sent

        asked = []
        for number in range(count):
            asked.append(gevent.spawn(one, number))
            gevent.sleep(0.005)
        return [one.get() for one in asked]

    def burst(self, with_batch):
        def run(fleet):
            if with_batch:
                job_id = submit_batch(fleet, "node-0-0", 200, max_tokens=300)
                gevent.sleep(2)
                loads = [engine.model.load().running for engine in fleet.engines.values()]
                self.assertGreaterEqual(min(loads), 4)
            times = self.first_token_times(fleet, 16)
            if with_batch:
                fleet.request("node-0-0", "POST", f"/v1/batches/{job_id}/cancel")
            return max(times)

        return self.session(run, parameters=self.parameters, headroom=0)

    def test_a_burst_on_engines_full_of_batch(self):
        # A step of a full batch is 14 ms; a wait behind a batch item would be 300 steps.
        self.assertLess(self.burst(with_batch=True), self.burst(with_batch=False) + 0.030)

    def test_an_item_preempted_before_its_first_token_goes_on_soon(self):
        def run(fleet):
            job_id = submit_batch(fleet, "node-0-0", 16, max_tokens=6)
            # The items are at the engines, whose first step has not ended.
            while not any(engine.attempts for engine in fleet.engines.values()):
                gevent.sleep(0.001)
            self.first_token_times(fleet, 16)
            started = fleet.loop.now()
            check_job(self, fleet, job_id, 16)
            return fleet.loop.now() - started

        parameters = EngineParameters(slots=8, step_base=0.2)
        self.assertLess(self.session(run, parameters=parameters, headroom=0), 20)

    def test_preempted_items_lose_nothing(self):
        def run(fleet):
            job_id = submit_batch(fleet, "node-0-0", 60, max_tokens=6)
            gevent.sleep(0.05)
            self.first_token_times(fleet, 16)
            check_job(self, fleet, job_id, 60)
            resumed = [
                attempt
                for engine in fleet.engines.values()
                for attempt in engine.attempts
                if attempt.resume_offset
            ]
            return len(resumed)

        self.assertGreater(self.session(run, parameters=self.parameters, headroom=0), 0)

    def test_online_goes_on_while_the_log_is_down(self):
        def run(fleet):
            submit_batch(fleet, "node-0-0", 200, max_tokens=100)
            gevent.sleep(1)
            fleet.log.model.faults.fault = LogFault.DOWN
            gevent.sleep(5)
            return max(self.first_token_times(fleet, 8))

        self.assertLess(self.session(run, parameters=self.parameters), 0.1)


class OverloadTest(OnlineSessionCase):
    def test_excess_is_refused_at_once_and_goodput_holds(self):
        def run(fleet):
            asked = []
            started = fleet.loop.now()
            for number in range(400):
                asked.append(gevent.spawn(self.timed, fleet, number, f"node-0-{number % 2}"))
                gevent.sleep(0.002)
            answers = [one.get() for one in asked]
            return answers, fleet.loop.now() - started, sum(engine_runs(fleet).values())

        parameters = EngineParameters(slots=4)
        answers, _, runs = self.session(run, parameters=parameters)
        outcomes = Counter(answer.status for answer, _ in answers)
        self.assertEqual(set(outcomes), {200, 503})
        # Two engines of 4 slots with answers of about 75 ms, for 0.8 s of arrivals.
        self.assertGreaterEqual(outcomes[200], 60)
        self.assertEqual(runs, outcomes[200])
        for answer, waited in answers:
            if answer.status == 503:
                self.assertEqual(self.error(answer)["verdict"], "not_run")
                self.assertIn("Retry-After", answer.headers)
                self.assertLess(waited, 0.05)

    def timed(self, fleet, number, node_id):
        sent = fleet.loop.now()
        answer = self.ask(fleet, f"q{number}", node_id)
        return answer, fleet.loop.now() - sent

    def test_retries_have_a_budget(self):
        budget = RetryBudget(ratio=0.2, reserve=5)
        for _ in range(100):
            budget.deposit()
        spent = 0
        while budget.withdraw():
            spent += 1
        self.assertEqual(spent, 5)
        granted = 0
        for _ in range(100):
            budget.deposit()
            granted += budget.withdraw()
        self.assertLessEqual(granted, 20)

    def test_a_slot_does_not_leak(self):
        def run(fleet):
            for number in range(60):
                self.ask(fleet, f"q{number}", f"node-0-{number % 2}")
            gevent.sleep(3)
            status = [node.node.status_document() for node in fleet.nodes.values()]
            return [
                engine["online"] + engine["batch"]
                for document in status
                for node in document["nodes"]
                for engine in node["engines"]
            ]

        self.assertEqual(set(self.session(run)), {0})


if __name__ == "__main__":
    unittest.main()
