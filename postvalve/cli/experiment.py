"""`postvalve experiment`: run scenarios under virtual time, with and without batch load."""

from __future__ import annotations

import argparse
from pathlib import Path
from typing import Any

from pydantic import ValidationError

from postvalve.cli.output import ExitCode, add_output_flag, print_rows
from postvalve.exceptions import NotFoundError, SettingsError
from postvalve.experiment.result import ExperimentResult
from postvalve.experiment.run import run_experiment
from postvalve.experiment.scenario import load_scenario, scenario_names

EXAMPLES = """examples:
  postvalve experiment list
  postvalve experiment run apcf --seed 3 --save before.json
  postvalve experiment run my-scenario.toml --output json
  postvalve experiment compare before.json after.json
"""


def add_parser(commands: Any) -> None:
    """Add the `experiment` command."""
    parser = commands.add_parser(
        "experiment",
        help="run scenarios under virtual time",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")
    listing = actions.add_parser("list", help="list the scenarios that come with postvalve")
    listing.set_defaults(run=run_list)
    run = actions.add_parser("run", help="run a scenario with and without batch load")
    run.add_argument("scenario", help="name of a scenario, or a TOML file")
    run.add_argument("--seed", type=int, default=1)
    run.add_argument("--save", type=Path, help="file to write the result to (JSON)")
    add_output_flag(run)
    run.set_defaults(run=run_scenario)
    compare = actions.add_parser("compare", help="print two saved results side by side")
    compare.add_argument("first", type=Path)
    compare.add_argument("second", type=Path)
    add_output_flag(compare)
    compare.set_defaults(run=run_compare)


def run_list(arguments: argparse.Namespace) -> int:
    """Print the names of the scenarios that come with postvalve."""
    for name in scenario_names():
        print(name)
    return ExitCode.OK


def run_scenario(arguments: argparse.Namespace) -> int:
    """Run a scenario, print its figures and save them if requested."""
    result = run_experiment(load_scenario(arguments.scenario), arguments.seed)
    if arguments.save:
        arguments.save.write_text(result.model_dump_json(indent=2), encoding="utf-8")
    print_rows(result.rows(), ("figure", "with_batch", "without_batch"), arguments.output)
    return ExitCode.OK


def run_compare(arguments: argparse.Namespace) -> int:
    """Print the figures with batch load of two saved results side by side."""
    first, second = _load(arguments.first), _load(arguments.second)
    rows = [
        {"figure": before["figure"], "first": before["with_batch"], "second": after["with_batch"]}
        for before, after in zip(first.rows(), second.rows(), strict=True)
    ]
    print_rows(rows, ("figure", "first", "second"), arguments.output)
    return ExitCode.OK


def _load(path: Path) -> ExperimentResult:
    try:
        return ExperimentResult.model_validate_json(path.read_bytes())
    except OSError as error:
        raise NotFoundError(f"{path}: {error.strerror}") from None
    except ValidationError as error:
        raise SettingsError(
            str(path), f"not a saved result: {error.error_count()} validation errors"
        ) from None
