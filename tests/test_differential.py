"""Compares the service and its job ledger with simple reference models, without faults."""

import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from postvalve.core.batch.job_ledger import JobLedger
from postvalve.emulator.tokens import ChatMessage, ChatRequest, TokenSequence
from postvalve.emulator.virtual_fleet import FleetShape, VirtualFleet
from postvalve.emulator.virtual_time import run_virtual
from postvalve.messages.generated import records
from postvalve.messages.records_codec import Record
from postvalve.states import JobState
from tests.support import (
    answer_text,
    batch_lines,
    create_batch,
    result_lines,
    upload,
    wait_for_batch,
)

ITEMS = 4


class NaiveService:
    """Reference model of the service: computes each answer directly, in order of arrival."""

    def __init__(self):
        self._jobs = {}

    def submit(self, tenant, key, name, count):
        """Return the answers of the job by custom id, or None for a conflict."""
        known = self._jobs.get((tenant, key))
        if known is not None and known != (name, count):
            return None
        self._jobs[tenant, key] = (name, count)
        return {
            f"{name}-{number}": self.answer(f"text of {name}-{number}") for number in range(count)
        }

    def answer(self, text, max_tokens=6):
        message = ChatMessage(role="user", content=text)
        request = ChatRequest(model="m", messages=[message], max_tokens=max_tokens)
        return TokenSequence(request, "1").text()


class NaiveLedger:
    """Reference model of the job ledger, which keeps every result that counts."""

    def __init__(self):
        self.items = None
        self.results = {}
        self.cancelled = False

    def observe(self, body):
        if isinstance(body, records.JobSubmitted):
            self.items = body.items if self.items is None else self.items
        elif self.items is None or self.state() is not JobState.IN_PROGRESS:
            return
        elif isinstance(body, records.JobCancelled):
            self.cancelled = True
        elif isinstance(body, records.ItemsFinished):
            for result in body.results:
                if result.item_index < self.items:
                    self.results.setdefault(result.item_index, result.attempt_id)

    def state(self):
        if self.cancelled:
            return JobState.CANCELLED
        done = self.items is not None and len(self.results) == self.items
        return JobState.COMPLETED if done else JobState.IN_PROGRESS


def bodies():
    results = st.lists(
        st.builds(
            records.ItemResult,
            item_index=st.integers(0, ITEMS),
            attempt_id=st.sampled_from("abc"),
            status_code=st.sampled_from([200, 400]),
        ),
        min_size=1,
        max_size=3,
    )
    return st.one_of(
        st.just(records.JobSubmitted(job_id="j", items=ITEMS)),
        st.just(records.JobCancelled(cancelled_at_ms=1)),
        st.builds(records.ItemsFinished, results=results),
    )


def replay(sequence):
    """Return the ledger after all records, and the attempt that counts for each item."""
    ledger = JobLedger("j")
    counted = {}
    for offset, body in enumerate(sequence):
        for result in ledger.observe(offset, Record("", body)):
            counted[result.item_index] = result.attempt_id
    return ledger, counted


class LedgerTest(unittest.TestCase):
    @settings(derandomize=True, max_examples=400)
    @given(st.lists(bodies(), max_size=12))
    def test_ledger_and_naive_ledger_agree(self, sequence):
        naive = NaiveLedger()
        for body in sequence:
            naive.observe(body)
        ledger, counted = replay(sequence)
        self.assertEqual(ledger.state, naive.state())
        self.assertEqual(counted, naive.results)
        self.assertEqual(ledger.completed + ledger.failed, len(naive.results))

    @settings(derandomize=True, max_examples=100)
    @given(st.lists(bodies(), max_size=12), st.integers(0, 11))
    def test_a_repeated_append_changes_nothing(self, sequence, position):
        if position >= len(sequence):
            return
        repeated = [*sequence[: position + 1], sequence[position], *sequence[position + 1 :]]
        _, counted = replay(sequence)
        _, again = replay(repeated)
        self.assertEqual(counted, again)

    def test_with_the_mechanism_off_the_comparison_fails(self):
        # Checks the comparison itself: it must detect a ledger that lets a second result of an
        # item replace the first.
        results = [
            records.ItemsFinished(results=[records.ItemResult(0, attempt, status_code=200)])
            for attempt in "ab"
        ]
        sequence = [records.JobSubmitted(job_id="j", items=ITEMS), *results]
        self.assertEqual(replay(sequence)[1], {0: "a"})
        with mock.patch.object(JobLedger, "_count", lambda ledger, result: True):
            self.assertEqual(replay(sequence)[1], {0: "b"})


class FleetTest(unittest.TestCase):
    submissions = st.lists(
        st.tuples(
            st.sampled_from(["alpha", "beta"]),
            st.sampled_from(["k1", "k2", "k3"]),
            st.sampled_from(["a", "b"]),
            st.integers(1, 8),
            st.integers(0, 3),
        ),
        min_size=1,
        max_size=6,
    )

    @settings(derandomize=True, max_examples=8, deadline=None)
    @given(submissions, st.integers(1, 2), st.integers(1, 3))
    def test_batches_agree_with_the_naive_service(self, submissions, zones, engines):
        naive = NaiveService()
        expected = [naive.submit(*submission[:4]) for submission in submissions]

        def run(loop):
            fleet = VirtualFleet(loop, FleetShape(zones=zones, engines=engines))
            fleet.start()
            nodes = list(fleet.nodes)
            return [
                self.outcome(fleet, nodes[node % len(nodes)], tenant, key, name, count)
                for tenant, key, name, count, node in submissions
            ]

        self.assertEqual(run_virtual(run), expected)

    def outcome(self, fleet, node_id, tenant, key, name, count):
        file_id = upload(fleet, node_id, batch_lines("m", count, name=name), tenant)
        headers = {"Idempotency-Key": key}
        answer = create_batch(fleet, node_id, file_id, tenant, headers)
        if answer.status == 409:
            return None
        document = wait_for_batch(fleet, answer.document["id"], node_id=node_id, tenant=tenant)
        lines = result_lines(fleet, document, node_id=node_id, tenant=tenant)
        self.assertEqual(len(lines), count)
        return {line["custom_id"]: answer_text(line) for line in lines}

    def test_forty_nodes_and_a_hundred_jobs_agree_with_the_naive_service(self):
        naive = NaiveService()

        def run(loop):
            shape = FleetShape(zones=4, nodes_per_zone=10, engines=40, shards=32)
            fleet = VirtualFleet(loop, shape)
            fleet.start()
            nodes = list(fleet.nodes)
            jobs = []
            for number in range(100):
                node_id = nodes[number % len(nodes)]
                file_id = upload(fleet, node_id, batch_lines("m", 5, name=f"j{number}"))
                jobs.append(create_batch(fleet, node_id, file_id).document["id"])
            for number, job_id in enumerate(jobs):
                node_id = nodes[-number % len(nodes)]
                document = wait_for_batch(fleet, job_id, node_id=node_id)
                lines = result_lines(fleet, document, node_id=node_id)
                answers = {line["custom_id"]: answer_text(line) for line in lines}
                expected = naive.submit("alpha", str(number), f"j{number}", 5)
                self.assertEqual(answers, expected)

        run_virtual(run)


if __name__ == "__main__":
    unittest.main()
