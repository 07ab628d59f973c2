"""Helpers shared by several test modules."""

import hashlib
import json

import gevent


def expected_first_token(text):
    """Return the first token that emulated engines generate for a message."""
    return hashlib.sha256(text.encode()).hexdigest()[:16]


def batch_lines(model, count, max_tokens=6, name="item"):
    """Return a batch input file."""
    lines = (
        {
            "custom_id": f"{name}-{number}",
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": {
                "model": model,
                "messages": [{"role": "user", "content": f"text of {name}-{number}"}],
                "max_tokens": max_tokens,
            },
        }
        for number in range(count)
    )
    return "".join(json.dumps(line) + "\n" for line in lines).encode()


def upload_form(content):
    """Return a multipart form with a batch input file, and its content type."""
    head = (
        b'--x\r\nContent-Disposition: form-data; name="purpose"\r\n\r\nbatch\r\n'
        b'--x\r\nContent-Disposition: form-data; name="file"; filename="in.jsonl"\r\n\r\n'
    )
    return head + content + b"\r\n--x--\r\n", "multipart/form-data; boundary=x"


def upload(fleet, node_id, content, tenant=None):
    """Upload a batch input file to a virtual fleet; returns the file id."""
    body, content_type = upload_form(content)
    answer = fleet.request(
        node_id, "POST", "/v1/files", tenant=tenant, body=body, content_type=content_type
    )
    assert answer.status == 200, answer.body
    return answer.document["id"]


def create_batch(fleet, node_id, file_id, tenant=None, headers=None, window="24h"):
    """Send a request to create a batch; returns the response."""
    document = {
        "input_file_id": file_id,
        "endpoint": "/v1/chat/completions",
        "completion_window": window,
    }
    return fleet.request(
        node_id, "POST", "/v1/batches", tenant=tenant, document=document, headers=headers
    )


def submit_batch(fleet, node_id, count, *, tenant=None, headers=None, max_tokens=6, name="item"):
    """Upload a file and create a batch, which must be accepted; returns the batch id."""
    content = batch_lines(fleet.shape.model, count, max_tokens, name)
    file_id = upload(fleet, node_id, content, tenant)
    answer = create_batch(fleet, node_id, file_id, tenant, headers)
    assert answer.status == 200, answer.body
    return answer.document["id"]


def batch_document(fleet, node_id, job_id, tenant=None):
    """Return the batch object that a node reports."""
    answer = fleet.request(node_id, "GET", f"/v1/batches/{job_id}", tenant=tenant)
    assert answer.status == 200, answer.body
    return answer.document


def wait_for_batch(fleet, job_id, *, node_id=None, tenant=None, timeout=200.0):
    """Wait until a batch has ended; returns the batch object."""
    node_id = node_id or next(iter(fleet.nodes))
    deadline = fleet.loop.now() + timeout
    while fleet.loop.now() < deadline:
        document = batch_document(fleet, node_id, job_id, tenant)
        if document["status"] != "in_progress":
            return document
        gevent.sleep(0.5)
    raise AssertionError(f"batch has not ended within {timeout} virtual seconds: {document}")


def result_lines(fleet, document, *, node_id=None, tenant=None, kind="output_file_id"):
    """Return the parsed lines of the output or error file of a batch that has ended."""
    if document[kind] is None:
        return []
    node_id = node_id or next(iter(fleet.nodes))
    path = f"/v1/files/{document[kind]}/content"
    answer = fleet.request(node_id, "GET", path, tenant=tenant)
    assert answer.status == 200, answer.body
    return [json.loads(line) for line in answer.body.splitlines()]


def run_batch(fleet, job_id, *, node_id=None, tenant=None):
    """Wait until a batch is completed; returns the answers by custom id, one for each item."""
    document = wait_for_batch(fleet, job_id, node_id=node_id, tenant=tenant)
    assert document["status"] == "completed", document
    lines = result_lines(fleet, document, node_id=node_id, tenant=tenant)
    answers = {line["custom_id"]: answer_text(line) for line in lines}
    assert len(answers) == len(lines), "an item has two results"
    return answers


def answer_text(line):
    """Return the text of one line of an output file."""
    return line["response"]["body"]["choices"][0]["message"]["content"]


def answer_tokens(answer):
    """Return the tokens of a streamed answer, or None if it is incomplete."""
    events = [event for event in answer.body.split(b"\n\n") if event]
    if not events or events[-1] != b"data: [DONE]":
        return None
    chunks = [json.loads(event.removeprefix(b"data: ")) for event in events[:-1]]
    return [chunk["choices"][0]["delta"]["content"] for chunk in chunks]
