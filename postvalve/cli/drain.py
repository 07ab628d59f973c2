"""`postvalve drain`: drain machines selected by label."""

from __future__ import annotations

import argparse
import getpass
from typing import Any

from postvalve.cli.connection import add_log_flags, connect_log
from postvalve.cli.output import ExitCode, add_output_flag, print_document
from postvalve.core.configuration.history import NO_REVISION
from postvalve.exceptions import ConflictError, NotFoundError
from postvalve.settings.fleet import DrainSpec, FleetConfiguration, parse_fleet_configuration
from postvalve.settings.validation import check_document

EXAMPLES = """examples:
  postvalve drain start rack-7 --selector rack=r7
  postvalve drain start zone-b-engines --selector 'zone=b,kind=engine'
  postvalve drain end rack-7

A drain is part of the configuration: nodes that it selects finish their work and exit, and
engines that it selects get no new work. A drained node returns only as a new process.
"""


def add_parser(commands: Any) -> None:
    """Add the `drain` command."""
    parser = commands.add_parser(
        "drain",
        help="drain machines selected by label",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")
    start = actions.add_parser("start", help="drain the machines that a selector matches")
    start.add_argument("name", help="name of the drain")
    start.add_argument("--selector", required=True)
    start.set_defaults(run=run_start)
    end = actions.add_parser("end", help="end a drain, so that its machines may work again")
    end.add_argument("name", help="name of the drain")
    end.set_defaults(run=run_end)
    for action in (start, end):
        action.add_argument(
            "--author", default=getpass.getuser(), help="author recorded in the history"
        )
        add_log_flags(action)
        add_output_flag(action)


def run_start(arguments: argparse.Namespace) -> int:
    """Publish a configuration with the drain added.

    Raises:
        ConflictError: A drain of this name exists.
    """
    drain = check_document(
        DrainSpec, {"name": arguments.name, "machines": arguments.selector}, "drain"
    )

    def add(configuration: FleetConfiguration) -> list[DrainSpec]:
        if any(existing.name == drain.name for existing in configuration.drains):
            raise ConflictError(f"there is a drain {drain.name!r} already")
        return [*configuration.drains, drain]

    return _publish_drains(arguments, add)


def run_end(arguments: argparse.Namespace) -> int:
    """Publish a configuration with the drain removed.

    Raises:
        NotFoundError: There is no drain of this name.
    """

    def remove(configuration: FleetConfiguration) -> list[DrainSpec]:
        remaining = [
            existing for existing in configuration.drains if existing.name != arguments.name
        ]
        if len(remaining) == len(configuration.drains):
            raise NotFoundError(f"there is no drain {arguments.name!r}")
        return remaining

    return _publish_drains(arguments, remove)


def _publish_drains(arguments: argparse.Namespace, change: Any) -> int:
    store = connect_log(arguments).configuration
    newest = store.newest()
    configuration = FleetConfiguration()
    if newest is not None:
        configuration = parse_fleet_configuration(newest.document, f"revision {newest.number}")
    changed = configuration.model_copy(update={"drains": change(configuration)})
    base = newest.number if newest else NO_REVISION
    revision = store.publish(changed, base, arguments.author)
    print_document({"revision": revision}, arguments.output)
    return ExitCode.OK
