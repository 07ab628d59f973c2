"""`postvalve node`: run a node."""

from __future__ import annotations

import argparse
import signal
from pathlib import Path
from typing import Any

import gevent

from postvalve.cli.output import ExitCode
from postvalve.events import configure_logging
from postvalve.node.context import system_context
from postvalve.node.http.server import HttpServer
from postvalve.node.node import Node
from postvalve.settings.process import load_node_settings

OVERRIDES = (
    "node_id",
    "zone",
    "region",
    "listen",
    "peer_listen",
    "log_url",
    "machine_list_url",
    "shards",
)

STOP_TIMEOUT = 1.0
"""Seconds that open connections have to close after the drain."""

EXAMPLES = """examples:
  postvalve node --config node.toml
  postvalve node --config node.toml --check
  postvalve node --platform settings.json --check
  postvalve node --node-id n1 --zone a --listen 127.0.0.1:8080 \\
      --peer-listen 127.0.0.1:8081 --log-url http://127.0.0.1:7000 \\
      --machine-list-url http://127.0.0.1:7001

SIGTERM and SIGINT drain the node: it hands over its engines and jobs, finishes the requests
in progress, and exits.
"""


def add_parser(commands: Any) -> None:
    """Add the `node` command."""
    parser = commands.add_parser(
        "node",
        help="run a node",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--config", type=Path, help="settings file (TOML)")
    parser.add_argument(
        "--platform",
        type=Path,
        help="run on the users' platform, with its settings file (see docs/PLATFORM.md)",
    )
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    parser.add_argument("--log-level", default="info", choices=("debug", "info", "warning"))
    for name in OVERRIDES:
        kind = int if name == "shards" else str
        parser.add_argument(f"--{name.replace('_', '-')}", type=kind, help="overrides the file")
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Run the node until it is drained."""
    if arguments.platform is not None:
        # Imported here because no other command needs the modules that it imports.
        from postvalve import node_process

        return node_process.run(arguments.platform, check=arguments.check)
    overrides = {name: getattr(arguments, name) for name in OVERRIDES}
    settings = load_node_settings(arguments.config, overrides)
    if arguments.check:
        print("the settings are valid")
        return ExitCode.OK
    configure_logging(arguments.log_level)
    node = Node(system_context(settings))
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, node.drain)
    server = HttpServer(settings.listen, node.application, settings.http)
    node.start()
    server.start()
    node.wait()
    server.stop(STOP_TIMEOUT)
    return ExitCode.OK
