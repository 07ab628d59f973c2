"""`postvalve status`: state of the fleet as nodes see it, and service received by tenants."""

from __future__ import annotations

import argparse
import json
import os
import sys
from typing import Any

from gevent.pool import Pool
from geventhttpclient import HTTPClient
from geventhttpclient.url import URL

from postvalve.cli.connection import OPERATOR_KEY_VARIABLE
from postvalve.cli.output import ExitCode, add_output_flag, print_rows
from postvalve.cli.tenants import (
    TENANT_COLUMNS,
    WAITING_COLUMNS,
    sum_tenant_rows,
    tenant_table,
    waiting_rows,
)
from postvalve.core.scheduling.accounts import WINDOW
from postvalve.exceptions import AuthenticationError, PlatformError, PostvalveError
from postvalve.json_input import parse_json

NODE_COLUMNS = ("node", "zone", "state", "revision", "engine", "online", "batch", "slots")
NODE_SUMMARY_COLUMNS = ("node", "zone", "state", "revision", "peers", "engines")
TIMEOUT = 5.0
"""Seconds without data after which a status request fails."""
MAX_PARALLEL_REQUESTS = 32
"""Concurrent status requests: if nodes were queried one by one, the time-outs of unreachable
nodes would add up to minutes."""
EXAMPLES = """examples:
  postvalve status --node http://127.0.0.1:8080 --output json
  postvalve status --node http://10.0.0.1:9001 --node http://10.0.0.2:9001
"""


def add_parser(commands: Any) -> None:
    """Add the `status` command."""
    parser = commands.add_parser(
        "status",
        help="show the fleet as nodes see it, and the service that tenants received",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--node",
        action="append",
        required=True,
        help="any node, http://IP:PORT; on the users' platform its metrics address. "
        "If repeated, the tenants' figures are summed over these nodes",
    )
    parser.add_argument(
        "--since-start",
        action="store_true",
        help=f"figures since the start of the nodes instead of the last {WINDOW:.0f} s",
    )
    parser.add_argument(
        "--key",
        default=os.environ.get(OPERATOR_KEY_VARIABLE, ""),
        help=f"operator key (default: ${OPERATOR_KEY_VARIABLE})",
    )
    add_output_flag(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Print the status of one node, or the combined status of several."""
    if len(arguments.node) > 1:
        return _show_combined(arguments)
    document = fetch_status(arguments.node[0], arguments.key)
    if arguments.output == "json":
        print(json.dumps(document, indent=2))
        return ExitCode.OK
    for name, value in document.items():
        if not _is_table(value):
            print(f"{name}: {value}")
    print_rows(_node_rows(document), NODE_COLUMNS, "table")
    for name in ("engines", "jobs"):
        rows = document.get(name, [])
        if rows:
            print(f"\n{name}:")
            print_rows(rows, tuple(rows[0]), "table")
    _print_tenants([document], since_start=arguments.since_start)
    return ExitCode.OK


def _show_combined(arguments: argparse.Namespace) -> int:
    """Print the combined status of several nodes, and name those that could not be queried.

    Returns `ExitCode.UNAVAILABLE` if no node answered.
    """
    outcomes = Pool(MAX_PARALLEL_REQUESTS).map(
        lambda node: _try_fetch_status(node, arguments.key), arguments.node
    )
    # The same node may be given twice, or by several of its addresses.
    by_node = {document["node_id"]: document for document in outcomes if isinstance(document, dict)}
    documents = list(by_node.values())
    unanswered = [
        {"node": node, "error": outcome.message}
        for node, outcome in zip(arguments.node, outcomes, strict=True)
        if isinstance(outcome, PostvalveError)
    ]
    for error in unanswered:
        print(f"not included: {error['error']}", file=sys.stderr)
    if arguments.output == "json":
        summed = {
            "tenants": [row.fields() for row in sum_tenant_rows(documents)],
            "waiting": waiting_rows(documents),
            "silent": unanswered,
            "documents": documents,
        }
        print(json.dumps(summed, indent=2))
    else:
        print_rows(
            [_node_summary_row(document) for document in documents], NODE_SUMMARY_COLUMNS, "table"
        )
        _print_tenants(documents, since_start=arguments.since_start)
    return ExitCode.OK if documents else ExitCode.UNAVAILABLE


def _try_fetch_status(node: str, key: str) -> dict[str, Any] | PostvalveError:
    try:
        return fetch_status(node, key)
    except (AuthenticationError, PlatformError) as error:
        return error


def _node_summary_row(document: dict[str, Any]) -> dict[str, Any]:
    return {
        "node": document["node_id"],
        "zone": document.get("zone", "-"),
        "state": "leaving" if document.get("draining") else "running",
        "revision": document.get("configuration_revision", "-"),
        "peers": len(document.get("nodes", [])),
        "engines": len(document.get("engines", [])),
    }


def _print_tenants(documents: list[dict[str, Any]], *, since_start: bool) -> None:
    """Print a table of tenants, worst served first, and a table of waiting requests."""
    tenants = tenant_table(sum_tenant_rows(documents), since_start=since_start)
    if tenants:
        span = "since the start" if since_start else f"in the last {WINDOW:.0f} s"
        print(f"\ntenants, {span}, at {len(documents)} nodes:")
        print_rows(tenants, TENANT_COLUMNS, "table")
    waiting = waiting_rows(documents)
    if waiting:
        print("\nwaiting:")
        print_rows(waiting, WAITING_COLUMNS, "table")


def _is_table(value: Any) -> bool:
    return isinstance(value, list) and any(isinstance(row, dict) for row in value)


def _node_rows(document: dict[str, Any]) -> list[dict[str, Any]]:
    return [
        {
            "node": node["node_id"],
            "zone": node["zone"],
            "state": node["state"],
            "revision": node["configuration_revision"],
            "engine": engine.get("engine_id", "-"),
            "online": engine.get("online", "-"),
            "batch": engine.get("batch", "-"),
            "slots": engine.get("slots", "-"),
        }
        for node in document["nodes"]
        for engine in node.get("engines") or [{}]
    ]


def fetch_status(node_url: str, key: str) -> dict[str, Any]:
    """Fetch the status document of a node.

    Raises:
        AuthenticationError: The key is not an operator key.
        PlatformError: The node did not answer, or its answer is not a status document.
    """
    url = URL(node_url)
    client = HTTPClient(
        url.host, port=url.port, connection_timeout=TIMEOUT, network_timeout=TIMEOUT
    )
    try:
        with client.get("/status", headers={"Authorization": f"Bearer {key}"}) as response:
            content = response.read()
            status = response.status_code
    except Exception as error:  # sockets, parser and connection pool have no common base
        raise PlatformError(f"node {node_url}: {error!r}") from error
    finally:
        client.close()
    if status == AuthenticationError.http_status:
        raise AuthenticationError(f"node {node_url}: the operator key is not valid")
    if status != 200:
        raise PlatformError(f"node {node_url} answered with status {status}")
    try:
        document = parse_json(content)
    except ValueError as error:
        raise PlatformError(f"node {node_url}: the answer is not JSON") from error
    if not isinstance(document, dict) or "node_id" not in document:
        raise PlatformError(f"node {node_url}: the answer is not a status document")
    return document
