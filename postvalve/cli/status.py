"""`postvalve status`: what one node knows of the fleet."""

from __future__ import annotations

import argparse
import json
import os
from typing import Any

from geventhttpclient import HTTPClient
from geventhttpclient.url import URL

from postvalve.cli.connection import OPERATOR_KEY_VARIABLE
from postvalve.cli.output import ExitCode, add_output_flag, print_rows
from postvalve.exceptions import AuthenticationError, PlatformError

NODE_COLUMNS = ("node", "zone", "state", "revision", "engine", "online", "batch", "slots")
TIMEOUT = 5.0
"""Seconds until a node's answer is given up."""


def add_parser(commands: Any) -> None:
    """Add the command."""
    parser = commands.add_parser(
        "status",
        help="what a node knows of the fleet",
        epilog="example:\n  postvalve status --node http://127.0.0.1:8080 --output json",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "--node",
        required=True,
        help="any node, http://IP:PORT; on the users' platform its metrics address",
    )
    parser.add_argument(
        "--key",
        default=os.environ.get(OPERATOR_KEY_VARIABLE, ""),
        help=f"operator key (default: ${OPERATOR_KEY_VARIABLE})",
    )
    add_output_flag(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Print the node's view."""
    document = fetch_status(arguments.node, arguments.key)
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
    return ExitCode.OK


def _is_table(value: Any) -> bool:
    return isinstance(value, list) and any(isinstance(one, dict) for one in value)


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
    """Read a node's view.

    Raises:
        AuthenticationError: the key is no operator's.
        PlatformError: the node did not answer.
    """
    url = URL(node_url)
    client = HTTPClient(
        url.host, port=url.port, connection_timeout=TIMEOUT, network_timeout=TIMEOUT
    )
    try:
        with client.get("/status", headers={"Authorization": f"Bearer {key}"}) as response:
            content = response.read()
            status = response.status_code
    except Exception as error:  # sockets, parser and pool raise unrelated types
        raise PlatformError(f"node {node_url}: {error!r}") from error
    finally:
        client.close()
    if status == AuthenticationError.http_status:
        raise AuthenticationError("the operator key is not valid")
    if status != 200:
        raise PlatformError(f"node {node_url} answered {status}")
    return json.loads(content)
