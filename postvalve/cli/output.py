"""Output of commands: tables or JSON on standard output, errors on standard error."""

from __future__ import annotations

import argparse
import enum
import json
import sys
from collections.abc import Sequence
from typing import Any

from postvalve.exceptions import PostvalveError, SettingsError


class ExitCode(enum.IntEnum):
    """Exit codes, the same for every command."""

    OK = 0
    FAILED = 1
    USAGE = 2
    """The command line, a settings file or a configuration is invalid."""
    CONFLICT = 3
    """Another change came first; read it and try again."""
    UNAVAILABLE = 4
    """A service did not answer; the verdict in the message says whether the call took effect."""
    NOT_FOUND = 5


def add_output_flag(parser: argparse.ArgumentParser) -> None:
    """Add `--output` to a command."""
    parser.add_argument(
        "--output", choices=("table", "json"), default="table", help="output format"
    )


def print_rows(rows: Sequence[dict[str, Any]], columns: Sequence[str], output: str) -> None:
    """Print rows as a table or as a JSON array."""
    if output == "json":
        print(json.dumps(list(rows), indent=2))
        return
    cells = [[str(row.get(column, "")) for column in columns] for row in rows]
    widths = [
        max(len(column), *(len(line[index]) for line in cells)) if cells else len(column)
        for index, column in enumerate(columns)
    ]
    for line in [[column.upper() for column in columns], *cells]:
        padded = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        print("  ".join(padded).rstrip())


def print_document(document: dict[str, Any], output: str) -> None:
    """Print a dictionary as lines of `name: value` or as JSON."""
    if output == "json":
        print(json.dumps(document, indent=2))
        return
    for name, value in document.items():
        print(f"{name}: {value}")


def print_error(error: PostvalveError) -> None:
    """Print an error to standard error, with its code and verdict unless it is about settings."""
    if isinstance(error, SettingsError):
        print(f"error: {error.message}", file=sys.stderr)
        return
    print(f"error: {error.message} ({error.code}, {error.verdict.value})", file=sys.stderr)
