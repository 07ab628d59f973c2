"""Invariants that tests check at the end of a session, whatever faults occurred in it."""

import json
from collections import Counter

from tests.support import (
    answer_text,
    batch_document,
    expected_first_token,
    result_lines,
    wait_for_batch,
)


def count_engine_starts(fleet):
    """Return how often each message was started at an engine, not counting resumed streams."""
    runs = Counter()
    for engine in fleet.engines.values():
        for attempt in engine.attempts:
            if attempt.resume_offset == 0:
                runs[json.loads(attempt.body)["messages"][-1]["content"]] += 1
    return runs


def check_job(case, fleet, job_id, count, *, name="item", tenant=None, at_most_once=False):
    """Check that every item of a job ended exactly once, with its own complete answer.

    The job is followed at the first running node and its results are read at the last one.
    """
    document = wait_for_batch(fleet, job_id, tenant=tenant, node_id=running_nodes(fleet)[0])
    case.assertEqual(document["status"], "completed")
    node_id = running_nodes(fleet)[-1]
    answered = result_lines(fleet, document, tenant=tenant, node_id=node_id)
    failed = result_lines(fleet, document, tenant=tenant, node_id=node_id, kind="error_file_id")
    ids = sorted(line["custom_id"] for line in answered + failed)
    case.assertEqual(ids, sorted(f"{name}-{number}" for number in range(count)))
    for line in answered:
        text = answer_text(line)
        case.assertTrue(text.startswith(expected_first_token(f"text of {line['custom_id']}")))
        case.assertEqual(len(text.split()), 6)
    for line in failed:
        case.assertEqual(line["error"]["code"], "may_have_run")
    if at_most_once:
        runs = count_engine_starts(fleet)
        prefix = f"text of {name}-"
        repeated = {text: times for text, times in runs.items() if times > 1 and prefix in text}
        case.assertEqual(repeated, {})
        for line in answered:
            case.assertEqual(runs[f"text of {line['custom_id']}"], 1)
    else:
        case.assertEqual(failed, [])
    return answered, failed


def running_nodes(fleet):
    """Return the ids of the nodes that are neither killed nor draining."""
    return [
        node_id
        for node_id, node in fleet.nodes.items()
        if not fleet.loop.is_killed(node.location.owner) and not node.node.draining
    ]


def check_views_agree(case, fleet, job_id):
    """Check that all running nodes return the same document of a job, and return it."""
    documents = [batch_document(fleet, node_id, job_id) for node_id in running_nodes(fleet)]
    case.assertEqual(len({json.dumps(document, sort_keys=True) for document in documents}), 1)
    return documents[0]
