"""`postvalve config`: validate, compare, publish and explain the fleet's configuration."""

from __future__ import annotations

import argparse
import difflib
import getpass
import hashlib
import json
import sys
import tomllib
from pathlib import Path
from typing import Any

from postvalve.cli.connection import add_log_flags, connect_log
from postvalve.cli.output import ExitCode, add_output_flag, print_document, print_rows
from postvalve.core.configuration.resolution import explain
from postvalve.exceptions import NotFoundError, SettingsError
from postvalve.settings.fleet import FleetConfiguration, parse_fleet_configuration
from postvalve.settings.validation import InvalidSettingsGroup

EXAMPLES = """examples:
  postvalve config validate fleet.toml
  postvalve config diff fleet.toml --log-url http://127.0.0.1:7000
  postvalve config apply fleet.toml --base 12
  postvalve config history --output json
  postvalve config explain --tenant desk --workload query --engine zone=a,tier=gold
  echo -n "$KEY" | postvalve config hash-key
"""


def add_parser(commands: Any) -> None:
    """Add the `config` command."""
    parser = commands.add_parser(
        "config",
        help="validate, compare, publish and explain the configuration",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")
    _add_validate(actions)
    _add_diff(actions)
    _add_apply(actions)
    _add_history(actions)
    _add_explain(actions)
    hash_key = actions.add_parser("hash-key", help="digest of an API key on standard input")
    hash_key.set_defaults(run=run_hash_key)


def _add_validate(actions: Any) -> None:
    parser = actions.add_parser("validate", help="validate a file and report every error")
    parser.add_argument("file", type=Path)
    parser.set_defaults(run=run_validate)


def _add_diff(actions: Any) -> None:
    parser = actions.add_parser("diff", help="compare a file with the current revision")
    parser.add_argument("file", type=Path)
    add_log_flags(parser)
    parser.set_defaults(run=run_diff)


def _add_apply(actions: Any) -> None:
    parser = actions.add_parser("apply", help="publish a file")
    parser.add_argument("file", type=Path)
    parser.add_argument("--base", type=int, help="revision that the file is based on")
    parser.add_argument(
        "--author", default=getpass.getuser(), help="author recorded in the history"
    )
    add_log_flags(parser)
    add_output_flag(parser)
    parser.set_defaults(run=run_apply)


def _add_history(actions: Any) -> None:
    parser = actions.add_parser("history", help="list every change with its outcome")
    add_log_flags(parser)
    add_output_flag(parser)
    parser.set_defaults(run=run_history)


def _add_explain(actions: Any) -> None:
    parser = actions.add_parser("explain", help="show which rules match, and which applies")
    parser.add_argument("--tenant", required=True)
    parser.add_argument("--workload", required=True)
    parser.add_argument("--engine", default="", help="labels of an engine: key=value,...")
    add_log_flags(parser)
    add_output_flag(parser)
    parser.set_defaults(run=run_explain)


def load_configuration_file(path: Path) -> FleetConfiguration:
    """Read a configuration from TOML or JSON.

    Raises:
        InvalidSettingsGroup: The file is unreadable or invalid; has one error per mistake,
            with its location.
    """
    try:
        content = path.read_bytes()
        if path.suffix == ".toml":
            content = json.dumps(tomllib.loads(content.decode("utf-8"))).encode("utf-8")
    except (OSError, ValueError, TypeError) as error:
        mistake = SettingsError(str(path), str(error))
        raise InvalidSettingsGroup(f"{path} cannot be read", [mistake]) from None
    return parse_fleet_configuration(content, str(path))


def run_validate(arguments: argparse.Namespace) -> int:
    """Validate a configuration file."""
    load_configuration_file(arguments.file)
    print(f"{arguments.file} is valid")
    return ExitCode.OK


def run_diff(arguments: argparse.Namespace) -> int:
    """Print a unified diff to the current revision; the exit code is 1 if they differ."""
    wanted = load_configuration_file(arguments.file)
    current = connect_log(arguments).configuration.newest_configuration()
    lines = list(
        difflib.unified_diff(
            current.model_dump_json(indent=2).splitlines(),
            wanted.model_dump_json(indent=2).splitlines(),
            "in force",
            str(arguments.file),
            lineterm="",
        )
    )
    for line in lines:
        print(line)
    return ExitCode.FAILED if lines else ExitCode.OK


def run_apply(arguments: argparse.Namespace) -> int:
    """Publish a configuration file as a new revision, and print its number."""
    configuration = load_configuration_file(arguments.file)
    store = connect_log(arguments).configuration
    revision = store.publish(configuration, arguments.base, arguments.author)
    print_document({"revision": revision}, arguments.output)
    return ExitCode.OK


def run_history(arguments: argparse.Namespace) -> int:
    """Print every configuration change in the log, with its outcome."""
    entries = connect_log(arguments).configuration.history()
    rows = [
        {
            "offset": entry.offset,
            "base": entry.base_revision,
            "author": entry.author,
            "written_at_ms": entry.written_at_ms,
            "outcome": entry.outcome.value,
        }
        for entry in entries
    ]
    print_rows(rows, ("offset", "base", "author", "written_at_ms", "outcome"), arguments.output)
    return ExitCode.OK


def run_explain(arguments: argparse.Namespace) -> int:
    """Print, per kind of rule, those that match a tenant, a workload and an engine.

    Raises:
        NotFoundError: The tenant or the workload is not configured.
        SettingsError: The engine's labels cannot be parsed.
    """
    configuration = connect_log(arguments).configuration.newest_configuration()
    tenants = {tenant.name: tenant for tenant in configuration.tenants}
    if arguments.tenant not in tenants:
        raise NotFoundError(f"there is no tenant {arguments.tenant!r}")
    if arguments.workload not in configuration.workload_by_name:
        raise NotFoundError(f"there is no workload {arguments.workload!r}")
    explanations = explain(
        configuration,
        tenants[arguments.tenant],
        configuration.workload_by_name[arguments.workload],
        _parse_labels(arguments.engine),
    )
    rows = [
        {
            "kind": explanation.kind,
            "in_force": explanation.winner or "-",
            "also_covering": ", ".join(explanation.matching[1:]) or "-",
        }
        for explanation in explanations
    ]
    print_rows(rows, ("kind", "in_force", "also_covering"), arguments.output)
    return ExitCode.OK


def _parse_labels(text: str) -> dict[str, str]:
    labels: dict[str, str] = {}
    for part in filter(None, text.split(",")):
        key, separator, value = part.partition("=")
        if not separator:
            raise SettingsError("--engine", f"{part!r} is not key=value")
        labels[key.strip()] = value.strip()
    return labels


def run_hash_key(arguments: argparse.Namespace) -> int:
    """Print the SHA-256 digest of an API key, as the configuration stores it."""
    key = sys.stdin.read().strip()
    if not key:
        raise SettingsError("standard input", "no key was given")
    print(hashlib.sha256(key.encode("utf-8")).hexdigest())
    return ExitCode.OK
