"""End-to-end tests with real processes and the official OpenAI client."""

import concurrent.futures
import json
import unittest

import openai

from scripts.fleet import SHAPES, Fleet, wait_until
from tests.support import batch_lines, expected_first_token


class WholePathTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet(SHAPES["small"])
        cls.fleet.start()
        cls.addClassCleanup(cls.fleet.stop)

    def client(self, tenant=0, gateway=0):
        name = self.fleet.shape.tenants[tenant]
        return openai.OpenAI(
            base_url=self.fleet.gateways[gateway] + "/v1",
            api_key=self.fleet.api_keys[name],
            max_retries=0,
        )

    def ask(self, client, text, **options):
        return client.chat.completions.create(
            model=self.fleet.shape.model,
            messages=[{"role": "user", "content": text}],
            max_tokens=6,
            **options,
        )

    def test_streamed_and_unstreamed_answers_agree(self):
        client = self.client()
        unstreamed = self.ask(client, "hello").choices[0].message.content
        chunks = list(self.ask(client, "hello", stream=True))
        streamed = "".join(chunk.choices[0].delta.content for chunk in chunks)
        self.assertEqual(unstreamed, streamed)
        self.assertTrue(unstreamed.startswith(expected_first_token("hello")))
        self.assertEqual(len(chunks), 6)

    def test_hundreds_of_concurrent_streams_of_two_tenants(self):
        clients = [self.client(tenant, gateway) for tenant in (0, 1) for gateway in (0, 1)]

        def ask_streamed(number):
            stream = self.ask(clients[number % 4], f"question {number}", stream=True)
            return "".join(chunk.choices[0].delta.content or "" for chunk in stream)

        with concurrent.futures.ThreadPoolExecutor(24) as pool:
            answers = list(pool.map(ask_streamed, range(240)))
        for number, answer in enumerate(answers):
            self.assertTrue(answer.startswith(expected_first_token(f"question {number}")))
            self.assertEqual(len(answer.split()), 6)

    def test_batch_runs_and_is_read_back_at_any_node(self):
        client = self.client()
        content = batch_lines(self.fleet.shape.model, 40)
        file = client.files.create(file=("items.jsonl", content), purpose="batch")
        batch = client.batches.create(
            input_file_id=file.id, endpoint="/v1/chat/completions", completion_window="24h"
        )
        other_client = self.client(gateway=1)
        wait_until(lambda: other_client.batches.retrieve(batch.id).status == "completed", "batch")
        ended = other_client.batches.retrieve(batch.id)
        self.assertEqual(ended.request_counts.completed, 40)
        lines = [
            json.loads(line)
            for line in other_client.files.content(ended.output_file_id).iter_lines()
        ]
        self.assertEqual(
            sorted(line["custom_id"] for line in lines),
            sorted(f"item-{number}" for number in range(40)),
        )
        for line in lines:
            text = "text of " + line["custom_id"]
            answer = line["response"]["body"]["choices"][0]["message"]["content"]
            self.assertTrue(answer.startswith(expected_first_token(text)))
        with self.assertRaises(openai.NotFoundError):
            self.client(tenant=1).batches.retrieve(batch.id)
        with self.assertRaises(openai.NotFoundError):
            self.client(tenant=1).files.content(ended.output_file_id)

    def test_wrong_key_is_refused_as_not_run(self):
        client = openai.OpenAI(
            base_url=self.fleet.gateways[0] + "/v1", api_key="nobody", max_retries=0
        )
        with self.assertRaises(openai.AuthenticationError) as caught:
            self.ask(client, "hello")
        self.assertEqual(caught.exception.response.headers["X-Postvalve-Verdict"], "not_run")


if __name__ == "__main__":
    unittest.main()
