"""What callers see: errors with verdicts, limits, keys, deadlines, isolation of tenants."""

import json
import unittest

import gevent

from postvalve.emulator.log_model import LogFault
from postvalve.emulator.virtual_fleet import FleetShape, VirtualFleet
from postvalve.emulator.virtual_time import run_virtual
from postvalve.exceptions import RequestTooLargeError
from postvalve.node.batch.input_lines import MAX_LINE_BYTES, InputChecker, check_line
from tests.support import (
    batch_document,
    batch_lines,
    create_batch,
    expected_start,
    result_lines,
    run_batch,
    submit_batch,
    upload,
    upload_form,
    wait_for_batch,
)

CHAT = "/v1/chat/completions"


def chat(text="hi", **options):
    document = {"model": "m", "messages": [{"role": "user", "content": text}], "max_tokens": 4}
    return {**document, **options}


class CallersTest(unittest.TestCase):
    def session(self, function, shape=None):
        def run(loop):
            fleet = VirtualFleet(loop, shape or FleetShape())
            fleet.start()
            return function(fleet)

        return run_virtual(run)

    def assert_error(self, answer, status, verdict, text):
        self.assertEqual(answer.status, status, answer.body)
        error = answer.document["error"]
        self.assertEqual(error["verdict"], verdict)
        self.assertEqual(answer.headers["X-Postvalve-Verdict"], verdict)
        self.assertIn(text, error["message"])

    def test_malformed_chat_bodies_name_the_field(self):
        cases = {
            b"{": "EOF",
            b"\xff{}": "",
            b"[]": "",
            b"{}": "model",
            json.dumps(chat(messages=[])).encode(): "messages",
            json.dumps(chat(messages=[{"role": "user"}])).encode(): "messages.0.content",
            json.dumps(chat(max_tokens=0)).encode(): "max_tokens",
            json.dumps(chat(max_tokens=True)).encode(): "max_tokens",
            json.dumps(chat(max_tokens=1.5)).encode(): "max_tokens",
            json.dumps(chat(stream="yes")).encode(): "stream",
            b'{"model": "m", "messages": [{"role": "user", "content": "\\ud800"}]}': "",
            b"[" * 100_000: "",
        }

        def run(fleet):
            return [fleet.request("node-0-0", "POST", CHAT, body=body) for body in cases]

        for answer, text in zip(self.session(run), cases.values(), strict=True):
            with self.subTest(text):
                self.assert_error(answer, 400, "not_run", text)

    def test_malformed_lines_name_line_and_field(self):
        good = batch_lines("m", 2)
        cases = {
            b"{}\n": "line 3: custom_id",
            b"nonsense\n": "line 3",
            b'{"custom_id": 5}\n': "line 3: custom_id",
            good.replace(b'"m"', b'"other"')[:220].split(b"\n")[0].replace(b"item-0", b"item-9")
            + b"\n": "line 3: body.model",
            good.split(b"\n")[0] + b"\n": "line 3: custom_id: 'item-0' stands on an earlier line",
            b"\xff\xfe\n": "line 3",
        }

        def run(fleet):
            answers = []
            for line in cases:
                body, content_type = upload_form(good + line)
                answers.append(
                    fleet.request(
                        "node-0-0", "POST", "/v1/files", body=body, content_type=content_type
                    )
                )
            return answers

        for answer, text in zip(self.session(run), cases.values(), strict=True):
            with self.subTest(text):
                self.assert_error(answer, 400, "not_run", text)

    def test_malformed_headers_and_paths(self):
        def run(fleet):
            def ask(path=CHAT, method="POST", **headers):
                return fleet.request("node-0-0", method, path, document=chat(), headers=headers)

            return [
                (ask(**{"X-Postvalve-Deadline": "soon"}), 400, "X-Postvalve-Deadline"),
                (ask(**{"X-Postvalve-Deadline": "nan"}), 400, "X-Postvalve-Deadline"),
                (ask(**{"X-Postvalve-Deadline": "-1"}), 400, "X-Postvalve-Deadline"),
                (ask(**{"X-Postvalve-At-Most-Once": "maybe"}), 400, "At-Most-Once"),
                (ask(**{"X-Postvalve-Workload": "nothing"}), 400, "no workload"),
                (ask(**{"X-Postvalve-Workload": "check"}), 403, "not open to online"),
                (ask(**{"Idempotency-Key": "k" * 300}), 400, "Idempotency-Key"),
                (ask("/v1/nothing"), 404, "/v1/nothing"),
                (ask(method="PUT"), 405, "PUT"),
                (ask("/v1/batches?limit=0", "GET"), 400, "limit"),
                (ask("/v1/batches?after=x", "GET"), 400, "after"),
            ]

        for answer, status, text in self.session(run):
            with self.subTest(text):
                self.assert_error(answer, status, "not_run", text)

    def test_unknown_model_and_too_large_a_body(self):
        def run(fleet):
            large = chat("x" * (17 * 1024 * 1024))
            return (
                fleet.request("node-0-0", "POST", CHAT, document=chat(model="none")),
                fleet.request("node-0-0", "POST", CHAT, document=large),
                fleet.request("node-0-0", "POST", CHAT, document=chat()),
            )

        unknown, large, after = self.session(run)
        self.assert_error(unknown, 404, "not_run", "none")
        self.assert_error(large, 413, "not_run", "bytes")
        self.assertEqual(after.status, 200)

    def test_idempotency_key_of_a_request(self):
        def run(fleet):
            key = {"Idempotency-Key": "k1"}
            first = fleet.request("node-0-0", "POST", CHAT, document=chat(), headers=key)
            again = fleet.request("node-0-1", "POST", CHAT, document=chat(), headers=key)
            other = fleet.request("node-0-1", "POST", CHAT, document=chat("o"), headers=key)
            tenant = fleet.request(
                "node-0-1", "POST", CHAT, document=chat("o"), headers=key, tenant="beta"
            )
            attempts = sum(len(engine.attempts) for engine in fleet.engines.values())
            return first, again, other, tenant, attempts

        first, again, other, tenant, attempts = self.session(run)
        self.assertEqual(first.body, again.body)
        self.assertEqual(again.headers["X-Postvalve-Replayed"], "true")
        self.assert_error(other, 409, "not_run", "another request")
        self.assertEqual(tenant.status, 200)
        self.assertEqual(attempts, 2)

    def test_stream_with_a_key_is_replayed_whole(self):
        def run(fleet):
            key = {"Idempotency-Key": "k2"}
            document = chat(stream=True)
            first = fleet.request("node-0-0", "POST", CHAT, document=document, headers=key)
            again = fleet.request("node-0-1", "POST", CHAT, document=document, headers=key)
            return first, again

        first, again = self.session(run)
        self.assertTrue(first.body.endswith(b"data: [DONE]\n\n"))
        self.assertEqual(first.body, again.body)

    def test_key_is_free_again_after_a_refusal(self):
        def run(fleet):
            key = {"Idempotency-Key": "k3"}
            for engine in fleet.engines.values():
                engine.faults.refusals = 10
            refused = fleet.request("node-0-0", "POST", CHAT, document=chat(), headers=key)
            for engine in fleet.engines.values():
                engine.faults.refusals = 0
            again = fleet.request("node-0-0", "POST", CHAT, document=chat(), headers=key)
            return refused, again

        refused, again = self.session(run)
        self.assertEqual(refused.document["error"]["verdict"], "not_run")
        self.assertEqual(again.status, 200)

    def test_log_outage_spares_requests_without_a_key(self):
        def run(fleet):
            fleet.log.model.faults.fault = LogFault.DOWN
            keyed = fleet.request(
                "node-0-0", "POST", CHAT, document=chat(), headers={"Idempotency-Key": "k"}
            )
            free = fleet.request("node-0-0", "POST", CHAT, document=chat())
            return keyed, free

        keyed, free = self.session(run)
        self.assert_error(keyed, 503, "not_run", "log")
        self.assertIn("Retry-After", keyed.headers)
        self.assertEqual(free.status, 200)

    def test_deadline_ends_a_request_that_an_engine_does_not_answer(self):
        def run(fleet):
            for engine in fleet.engines.values():
                engine.faults.unanswered_attempts = 10
            before = fleet.loop.now()
            answer = fleet.request(
                "node-0-0", "POST", CHAT, document=chat(), headers={"X-Postvalve-Deadline": "2"}
            )
            return answer, fleet.loop.now() - before

        answer, waited = self.session(run)
        self.assert_error(answer, 504, "may_have_run", "deadline")
        self.assertAlmostEqual(waited, 2.0, delta=0.1)

    def test_deadline_ends_a_stream_with_an_error(self):
        def run(fleet):
            before = fleet.loop.now()
            answer = fleet.request(
                "node-0-0",
                "POST",
                CHAT,
                document=chat(stream=True, max_tokens=1000),
                headers={"X-Postvalve-Deadline": "1"},
            )
            return answer, fleet.loop.now() - before

        answer, waited = self.session(run)
        self.assertEqual(answer.status, 200)
        last = json.loads(answer.chunks[-1].removeprefix(b"data: "))
        self.assertEqual(last["error"]["code"], "deadline_exceeded")
        self.assertAlmostEqual(waited, 1.0, delta=0.1)

    def test_batch_key_conflict_and_resend(self):
        def run(fleet):
            key = {"Idempotency-Key": "close-31"}
            content = batch_lines("m", 5)
            first = create_batch(fleet, "node-0-0", upload(fleet, "node-0-0", content), None, key)
            # A resend uploads its file again, as a client that lost every answer does.
            again = create_batch(fleet, "node-0-1", upload(fleet, "node-0-1", content), None, key)
            other_file = upload(fleet, "node-0-1", batch_lines("m", 6))
            other = create_batch(fleet, "node-0-1", other_file, None, key)
            answers = run_batch(fleet, first.document["id"])
            late = create_batch(fleet, "node-0-1", upload(fleet, "node-0-1", content), None, key)
            attempts = sum(len(engine.attempts) for engine in fleet.engines.values())
            return first, again, other, late, answers, attempts

        first, again, other, late, answers, attempts = self.session(run)
        self.assertEqual(first.document["id"], again.document["id"])
        self.assertEqual(late.document["id"], first.document["id"])
        self.assertEqual(late.document["status"], "completed")
        self.assert_error(other, 409, "not_run", "another batch")
        self.assertEqual(len(answers), 5)
        self.assertEqual(attempts, 5)

    def test_tenants_see_nothing_of_each_other(self):
        def run(fleet):
            job_id = submit_batch(fleet, "node-0-0", 3)
            ended = wait_for_batch(fleet, job_id)
            paths = [
                f"/v1/batches/{job_id}",
                f"/v1/files/{ended['input_file_id']}",
                f"/v1/files/{ended['input_file_id']}/content",
                f"/v1/files/{ended['output_file_id']}",
                f"/v1/files/{ended['output_file_id']}/content",
            ]
            answers = [fleet.request("node-0-0", "GET", path, tenant="beta") for path in paths]
            answers.append(
                fleet.request("node-0-0", "POST", f"/v1/batches/{job_id}/cancel", tenant="beta")
            )
            answers.append(
                fleet.request(
                    "node-0-0", "DELETE", f"/v1/files/{ended['input_file_id']}", tenant="beta"
                )
            )
            answers.append(create_batch(fleet, "node-0-0", ended["input_file_id"], "beta"))
            lists = [
                fleet.request("node-0-0", "GET", path, tenant="beta").document["data"]
                for path in ("/v1/batches", "/v1/files")
            ]
            return answers, lists

        answers, lists = self.session(run)
        for answer in answers:
            self.assert_error(answer, 404, "not_run", "there is no")
        self.assertEqual(lists, [[], []])

    def test_prefix_caches_of_tenants_are_apart(self):
        def run(fleet):
            long = "word " * 2000
            for tenant in ("alpha", "beta"):
                fleet.request("node-0-0", "POST", CHAT, document=chat(long), tenant=tenant)
            return [len(engine.model.cache) for engine in fleet.engines.values()]

        cached = self.session(run, FleetShape(engines=1))
        blocks = (len("user:" + "word " * 2000) + 255) // 256
        self.assertEqual(cached, [2 * blocks])

    def test_lists_are_paged_newest_first(self):
        def run(fleet):
            jobs = [submit_batch(fleet, "node-0-0", 1, name=f"j{n}") for n in range(5)]
            first = fleet.request("node-0-1", "GET", "/v1/batches?limit=3").document
            rest = fleet.request(
                "node-0-1", "GET", f"/v1/batches?limit=3&after={first['last_id']}"
            ).document
            return jobs, first, rest

        jobs, first, rest = self.session(run)
        self.assertEqual([one["id"] for one in first["data"]], jobs[:1:-1])
        self.assertTrue(first["has_more"])
        self.assertEqual([one["id"] for one in rest["data"]], jobs[1::-1])
        self.assertFalse(rest["has_more"])

    def test_a_deleted_file_is_hidden_and_its_batch_goes_on(self):
        def run(fleet):
            file_id = upload(fleet, "node-0-0", batch_lines("m", 20))
            job = create_batch(fleet, "node-0-0", file_id).document["id"]
            fleet.request("node-0-1", "GET", f"/v1/files/{file_id}")
            deleted = fleet.request("node-0-0", "DELETE", f"/v1/files/{file_id}")
            hidden = [
                fleet.request(node, "GET", f"/v1/files/{file_id}")
                for node in ("node-0-0", "node-0-1")
            ]
            return deleted, hidden, run_batch(fleet, job)

        deleted, hidden, answers = self.session(run)
        self.assertTrue(deleted.document["deleted"])
        for answer in hidden:
            self.assertEqual(answer.status, 404)
        self.assertEqual(len(answers), 20)

    def test_cancel_stops_a_batch(self):
        def run(fleet):
            job_id = submit_batch(fleet, "node-0-0", 400, max_tokens=200)

            gevent.sleep(3)
            cancelled = fleet.request("node-0-1", "POST", f"/v1/batches/{job_id}/cancel")
            gevent.sleep(1)
            running = [engine.model.load().running for engine in fleet.engines.values()]
            document = batch_document(fleet, "node-0-0", job_id)
            return cancelled, running, document, result_lines(fleet, document)

        cancelled, running, document, lines = self.session(run)
        self.assertEqual(cancelled.document["status"], "cancelled")
        self.assertEqual(running, [0, 0])
        self.assertEqual(len(lines), document["request_counts"]["completed"])
        for line in lines:
            text = line["response"]["body"]["choices"][0]["message"]["content"]
            self.assertTrue(text.startswith(expected_start(f"text of {line['custom_id']}")))


class InputLimitsTest(unittest.TestCase):
    def test_items_and_line_length(self):
        checker = InputChecker(max_items=2)
        lines = batch_lines("m", 3).splitlines()
        checker.check(lines[0])
        checker.check(lines[1])
        with self.assertRaisesRegex(RequestTooLargeError, "over 2 lines"):
            checker.check(lines[2])
        with self.assertRaisesRegex(RequestTooLargeError, "line 7"):
            check_line(b"x" * (MAX_LINE_BYTES + 1), 7)


if __name__ == "__main__":
    unittest.main()
