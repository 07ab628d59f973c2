"""`postvalve bench`: benchmarks of running processes and of the code itself."""

from __future__ import annotations

import argparse
from typing import Any

from postvalve.bench.relay import RelayTargets, measure_relay
from postvalve.bench.slopes import measure_node, measure_slopes
from postvalve.bench.streams import StreamLoad
from postvalve.cli.output import ExitCode, add_output_flag, print_document, print_rows

EXAMPLES = """`make bench` starts the processes that the benchmarks need, and runs them all.

examples:
  postvalve bench relay --engine http://127.0.0.1:7100 --relay http://127.0.0.1:7200 \\
      --relay-pid 101 --node http://127.0.0.1:8080 --node-pid 102 --key KEY --model m
  postvalve bench slopes
"""


def add_parser(commands: Any) -> None:
    """Add the `bench` command."""
    parser = commands.add_parser(
        "bench",
        help="measure the cost of relaying and of each unit of work",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    kinds = parser.add_subparsers(dest="kind", required=True, metavar="KIND")
    relay = kinds.add_parser("relay", help="compare a node with a plain socket relay")
    relay.add_argument("--engine", required=True, help="URL of the engine")
    relay.add_argument("--relay", required=True, help="URL of the plain relay in front of it")
    relay.add_argument("--relay-pid", type=int, required=True)
    _add_node_flags(relay, required=True)
    relay.add_argument("--tokens", type=int, default=100, help="tokens per response")
    relay.add_argument("--rounds", type=int, default=3)
    relay.set_defaults(run=run_relay)
    slopes = kinds.add_parser("slopes", help="cost per unit of work; includes a node if given")
    _add_node_flags(slopes, required=False)
    slopes.set_defaults(run=run_slopes)
    for kind in (relay, slopes):
        add_output_flag(kind)


def _add_node_flags(parser: argparse.ArgumentParser, *, required: bool) -> None:
    parser.add_argument("--node", required=required, help="URL of a node")
    parser.add_argument("--node-pid", type=int, required=required)
    parser.add_argument("--key", required=required)
    parser.add_argument("--model", required=required)
    parser.add_argument("--streams", type=int, default=64)
    parser.add_argument("--requests", type=int, default=3, help="requests per stream")


def _load(arguments: argparse.Namespace, tokens: int) -> StreamLoad:
    return StreamLoad(
        url=arguments.node,
        api_key=arguments.key,
        model=arguments.model,
        streams=arguments.streams,
        requests_per_stream=arguments.requests,
        tokens=tokens,
    )


def run_relay(arguments: argparse.Namespace) -> int:
    """Run the relay benchmark and print its report.

    Returns `ExitCode.FAILED` if any request failed.
    """
    targets = RelayTargets(
        engine_url=arguments.engine,
        relay_url=arguments.relay,
        relay_pid=arguments.relay_pid,
        node_url=arguments.node,
        node_pid=arguments.node_pid,
    )
    report = measure_relay(targets, _load(arguments, arguments.tokens), arguments.rounds)
    print_document(report.document(), arguments.output)
    return ExitCode.OK if not report.failures else ExitCode.FAILED


def run_slopes(arguments: argparse.Namespace) -> int:
    """Measure the cost slopes and print them, with those of a node if one is given."""
    slopes = measure_slopes()
    if arguments.node:
        slopes += measure_node(_load(arguments, 0), arguments.node_pid)
    rows = [slope.row() for slope in slopes]
    print_rows(rows, ("name", "microseconds", "bytes"), arguments.output)
    return ExitCode.OK
