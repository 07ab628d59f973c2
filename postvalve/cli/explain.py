"""`postvalve explain`: trace one request, job or item through the logs of nodes."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from postvalve.cli.output import ExitCode, add_output_flag
from postvalve.exceptions import NotFoundError
from postvalve.json_input import parse_json

CONTEXT_EVENTS = frozenset((102, 103, 104, 230, 300, 412, 413, 414, 610, 611, 613, 614))
"""Numbers of the node events that may explain what happened to a request."""
CONTEXT_SECONDS = 5.0
"""Seconds before the first and after the last matching line for which context is shown."""

EXAMPLES = """examples:
  postvalve explain 9c41d07be2a35f68 node-1.log node-2.log
  cat *.log | postvalve explain 9c41d07be2a35f68 -
"""


@dataclass(frozen=True, slots=True)
class LogLine:
    """One parsed log line: an event of a node."""

    at: str
    node: str
    number: int
    fields: dict[str, Any]

    def mentions(self, target_id: str) -> bool:
        """Return whether any field of the line is this id, or a list that contains it.

        Lists matter for the requests that waited behind another one.
        """
        return any(
            value == target_id or (isinstance(value, list) and target_id in value)
            for value in self.fields.values()
        )


def add_parser(commands: Any) -> None:
    """Add the `explain` command."""
    parser = commands.add_parser(
        "explain",
        help="trace one request or job through logs",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("id", help="id of a request, a job, an engine or a node")
    parser.add_argument("logs", nargs="+", help="log files, or - for standard input")
    parser.add_argument("--alone", action="store_true", help="print only lines that name the id")
    add_output_flag(parser)
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Print the matching lines and their context, sorted by time.

    Raises:
        NotFoundError: No line names the id.
    """
    lines = sorted(_read_lines(arguments.logs), key=lambda line: line.at)
    selected = explain(lines, arguments.id, context=not arguments.alone)
    if not selected:
        raise NotFoundError(f"no line names {arguments.id!r}")
    if arguments.output == "json":
        print(json.dumps([line.fields for line in selected], indent=2))
        return ExitCode.OK
    for line in selected:
        print(_format_line(line, arguments.id))
    return ExitCode.OK


def explain(lines: list[LogLine], target_id: str, *, context: bool = True) -> list[LogLine]:
    """Return the lines that name `target_id` and, with `context`, related lines.

    Related are the `CONTEXT_EVENTS` of the same nodes at about the same time, unless they are
    about another engine, and all lines of requests that were ahead of it in a queue.
    """
    matching = [line for line in lines if line.mentions(target_id)]
    if not matching or not context:
        return matching
    nodes = {line.node for line in matching}
    ahead = _requests_ahead(target_id, matching)
    engines = {line.fields["engine"] for line in matching if "engine" in line.fields}
    first, last = _seconds_of_day(matching[0].at), _seconds_of_day(matching[-1].at)

    def is_context(line: LogLine) -> bool:
        in_window = first - CONTEXT_SECONDS <= _seconds_of_day(line.at) <= last + CONTEXT_SECONDS
        other_engine = line.fields.get("engine", target_id) not in engines | {target_id}
        same_node = line.node in nodes and not other_engine
        return in_window and same_node and line.number in CONTEXT_EVENTS

    return [
        line
        for line in lines
        if line.mentions(target_id) or line.fields.get("request") in ahead or is_context(line)
    ]


def _requests_ahead(target_id: str, matching: Iterable[LogLine]) -> set[str]:
    """Return the requests ahead of this one in its queue, whose outcomes explain its wait."""
    return {
        request
        for line in matching
        if line.fields.get("request") == target_id
        for request in line.fields.get("ahead", ())
    }


def _read_lines(names: Iterable[str]) -> Iterator[LogLine]:
    for name in names:
        text = sys.stdin.read() if name == "-" else Path(name).read_text(encoding="utf-8")
        for raw in text.splitlines():
            line = parse_line(raw)
            if line is not None:
                yield line


def parse_line(raw: str) -> LogLine | None:
    """Parse a log line, ignoring any text before its JSON; None if it is not an event."""
    start = raw.find("{")
    if start < 0:
        return None
    try:
        fields = parse_json(raw[start:].encode())
        return LogLine(fields["timestamp"], fields["node"], int(fields["number"]), fields)
    except (ValueError, KeyError, TypeError):
        return None


def _format_line(line: LogLine, target_id: str) -> str:
    hidden = {"timestamp", "node", "zone", "number", "level", "event"}
    details = " ".join(
        f"{name}={value}" for name, value in line.fields.items() if name not in hidden
    )
    mark = "*" if line.mentions(target_id) else " "
    time = line.at.partition("T")[2].rstrip("Z")
    return f"{mark} {time} {line.node} {line.number} {line.fields.get('event', '')}: {details}"


def _seconds_of_day(at: str) -> float:
    hours, minutes, seconds = at.partition("T")[2].rstrip("Z").split(":")
    return int(hours) * 3600 + int(minutes) * 60 + float(seconds)
