"""`postvalve request`: send requests to a node as a client, for trials and demonstrations."""

from __future__ import annotations

import argparse
import json
import os
import sys
import time
import uuid
from pathlib import Path
from typing import Any

from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPSocketPoolResponse
from geventhttpclient.url import URL

from postvalve.cli.output import ExitCode
from postvalve.exceptions import PlatformError, PostvalveError, Verdict
from postvalve.json_input import parse_json
from postvalve.services.engine import DONE_EVENT

API_KEY_VARIABLE = "POSTVALVE_API_KEY"
POLL_INTERVAL = 0.2
"""Seconds between status requests for a batch."""
RESPONSE_TIMEOUT = 60.0
"""Seconds without data after which a request fails."""
EVENT_PREFIX = b"data: "

EXAMPLES = """examples:
  postvalve request chat 'Is 101.27 plausible?' --node http://127.0.0.1:8080 --model m
  postvalve request batch items.jsonl --node http://127.0.0.1:8080 --idempotency-key close-31
"""


class CallError(PostvalveError):
    """The node answered with an error, or a file to upload cannot be read."""


def add_parser(commands: Any) -> None:
    """Add the `request` command."""
    parser = commands.add_parser(
        "request",
        help="send a request as a client",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    kinds = parser.add_subparsers(dest="kind", required=True, metavar="KIND")
    chat = kinds.add_parser("chat", help="stream one chat completion to standard output")
    chat.add_argument("text")
    chat.add_argument("--model", required=True)
    chat.add_argument("--max-tokens", type=int, default=16)
    chat.set_defaults(run=run_chat)
    batch = kinds.add_parser("batch", help="upload a batch, wait for it and print its output")
    batch.add_argument("file", type=Path)
    batch.add_argument("--window", default="24h", help="completion window")
    batch.add_argument("--idempotency-key")
    batch.set_defaults(run=run_batch)
    for kind in (chat, batch):
        kind.add_argument("--node", required=True, help="any node, http://IP:PORT")
        kind.add_argument("--key", default=os.environ.get(API_KEY_VARIABLE, ""))
        kind.add_argument("--workload")


class NodeClient:
    """HTTP client of one node, with an API key and an optional workload."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        url = URL(arguments.node)
        self._client = HTTPClient(url.host, port=url.port, network_timeout=RESPONSE_TIMEOUT)
        self._headers = {"Authorization": f"Bearer {arguments.key}"}
        if arguments.workload:
            self._headers["X-Postvalve-Workload"] = arguments.workload

    def call(
        self, method: str, path: str, body: bytes = b"", headers: dict[str, str] | None = None
    ) -> Any:
        """Send a request and return the response, whose status is 200.

        Raises:
            CallError: The node answered with another status.
            PlatformError: The node did not answer, or cut its answer.
        """
        merged = {**self._headers, **(headers or {})}
        try:
            response = self._client.request(method, path, body=body, headers=merged)
        except Exception as error:  # sockets, parser and connection pool have no common base
            raise PlatformError(f"node: {error!r}") from error
        if response.status_code != 200:
            raise _call_error(read_whole(response))
        return response

    def call_json(self, method: str, path: str, document: Any, **headers: str) -> Any:
        """Send a JSON document, or no body if it is None, and return the JSON response."""
        merged = {"Content-Type": "application/json", **headers}
        body = json.dumps(document).encode("utf-8") if document is not None else b""
        return self.read_json(method, path, body, merged)

    def read_json(self, method: str, path: str, body: bytes, headers: dict[str, str]) -> Any:
        """Send a request and return the JSON response.

        Raises:
            PlatformError: The response was cut or is no JSON.
        """
        content = read_whole(self.call(method, path, body, headers))
        try:
            return parse_json(content)
        except ValueError as error:
            raise PlatformError(f"node: {error}") from error


def read_whole(response: HTTPSocketPoolResponse) -> bytes:
    """Read the body of a response.

    Raises:
        PlatformError: It was cut, or has no frame, which all answers of nodes have.
    """
    try:
        content = response.read()
    except Exception as error:  # sockets and parser have no common base
        raise PlatformError(f"node: {error!r}") from error
    if "content-length" not in response and "transfer-encoding" not in response:
        raise PlatformError("node: the answer does not tell where it ends")
    return content


def _read_event(response: HTTPSocketPoolResponse) -> bytes:
    """Read the next event of a stream, which has not ended.

    Raises:
        PlatformError: The stream was cut.
    """
    try:
        event = response.readline(b"\n\n")
    except Exception as error:  # sockets and parser have no common base
        raise PlatformError(f"node: {error!r}") from error
    if not event:
        raise PlatformError("the node's answer was cut")
    return event


def _call_error(content: bytes) -> CallError:
    try:
        document = parse_json(content)["error"]
        error = CallError(document["message"], code=document["code"])
        error.verdict = Verdict(document["verdict"])
    except (ValueError, KeyError, TypeError):
        error = CallError(content.decode("utf-8", "replace"))
    return error


def run_chat(arguments: argparse.Namespace) -> int:
    """Request a streamed chat completion and print its tokens as they arrive."""
    document = {
        "model": arguments.model,
        "messages": [{"role": "user", "content": arguments.text}],
        "max_tokens": arguments.max_tokens,
        "stream": True,
    }
    body = json.dumps(document).encode("utf-8")
    headers = {"Content-Type": "application/json"}
    response = NodeClient(arguments).call("POST", "/v1/chat/completions", body, headers)
    while (event := _read_event(response)) != DONE_EVENT:
        data = event.removeprefix(EVENT_PREFIX).strip()
        chunk = parse_json(data)
        if "error" in chunk:
            raise _call_error(data)
        sys.stdout.write(chunk["choices"][0]["delta"].get("content") or "")
        sys.stdout.flush()
    print()
    return ExitCode.OK


def run_batch(arguments: argparse.Namespace) -> int:
    """Submit a batch, wait until it ends, and print its output and error files.

    Returns `ExitCode.FAILED` unless the batch completed.
    """
    client = NodeClient(arguments)
    file = _upload(client, arguments.file)
    headers = {}
    if arguments.idempotency_key:
        headers["Idempotency-Key"] = arguments.idempotency_key
    request = {
        "input_file_id": file["id"],
        "endpoint": "/v1/chat/completions",
        "completion_window": arguments.window,
    }
    batch = client.call_json("POST", "/v1/batches", request, **headers)
    print(f"accepted: {batch['id']}", file=sys.stderr)
    while batch["status"] == "in_progress":
        time.sleep(POLL_INTERVAL)
        batch = client.call_json("GET", f"/v1/batches/{batch['id']}", None)
    for file_id in filter(None, (batch["output_file_id"], batch["error_file_id"])):
        content = read_whole(client.call("GET", f"/v1/files/{file_id}/content"))
        sys.stdout.write(content.decode("utf-8"))
    return ExitCode.OK if batch["status"] == "completed" else ExitCode.FAILED


def _upload(client: NodeClient, path: Path) -> Any:
    boundary = uuid.uuid4().hex
    try:
        content = path.read_bytes()
    except OSError as error:
        raise CallError(f"{path}: {error.strerror}") from error
    body = (
        (
            f'--{boundary}\r\nContent-Disposition: form-data; name="purpose"\r\n\r\nbatch\r\n'
            f'--{boundary}\r\nContent-Disposition: form-data; name="file"; '
            f'filename="{path.name}"\r\n\r\n'
        ).encode()
        + content
        + f"\r\n--{boundary}--\r\n".encode()
    )
    headers = {"Content-Type": f"multipart/form-data; boundary={boundary}"}
    return client.read_json("POST", "/v1/files", body, headers)
