"""`postvalve bench`: measurements."""

from __future__ import annotations

import argparse
from typing import Any


def add_parser(commands: Any) -> None:
    """Add the command."""
    parser = commands.add_parser("bench", help="measurements")
    parser.set_defaults(run=run)


def run(arguments: argparse.Namespace) -> int:
    """Nothing yet."""
    return 0
