"""Entry point of the `postvalve` command line."""

from __future__ import annotations

import argparse
import sys
from collections.abc import Sequence
from types import ModuleType

from postvalve import __version__
from postvalve.cli import (
    bench,
    config,
    drain,
    emulate,
    experiment,
    explain,
    jobs,
    node,
    request,
    status,
)
from postvalve.cli.output import ExitCode, print_error
from postvalve.exceptions import (
    AuthenticationError,
    ConflictError,
    InvalidRequestError,
    NotFoundError,
    PlatformError,
    PostvalveError,
    SettingsError,
)

COMMANDS: tuple[ModuleType, ...] = (
    node,
    config,
    status,
    jobs,
    drain,
    request,
    emulate,
    bench,
    experiment,
    explain,
)

EPILOG = """exit codes:
  0  done
  1  failed
  2  the command line, a settings file or a configuration is wrong
  3  conflict: another change came first
  4  a service did not answer
  5  not found

examples:
  postvalve node --config node.toml
  postvalve config apply fleet.toml --log-url http://127.0.0.1:7000
  postvalve jobs list --log-url http://127.0.0.1:7000 --output json
"""


def build_parser() -> argparse.ArgumentParser:
    """Return the argument parser with all commands."""
    parser = argparse.ArgumentParser(
        prog="postvalve",
        description="Online and batch inference on one fleet of model engines.",
        epilog=EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=__version__)
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    for command in COMMANDS:
        command.add_parser(commands)
    return parser


def main(arguments: Sequence[str] | None = None) -> int:
    """Run one command and return its exit code, printing `PostvalveError`s to standard error."""
    parsed = build_parser().parse_args(arguments)
    try:
        return int(parsed.run(parsed))
    except ExceptionGroup as group:
        return _report_group(group)
    except PostvalveError as error:
        print_error(error)
        return int(_exit_code(error))
    except BrokenPipeError:
        return int(ExitCode.OK)


def _report_group(group: ExceptionGroup) -> int:
    known, unknown = group.split(PostvalveError)
    if unknown is not None or known is None:
        raise group
    for error in known.exceptions:
        assert isinstance(error, PostvalveError)
        print_error(error)
    return int(ExitCode.USAGE)


def _exit_code(error: PostvalveError) -> ExitCode:
    if isinstance(error, ConflictError):
        return ExitCode.CONFLICT
    if isinstance(error, NotFoundError):
        return ExitCode.NOT_FOUND
    if isinstance(error, PlatformError):
        return ExitCode.UNAVAILABLE
    if isinstance(error, (SettingsError, InvalidRequestError, AuthenticationError)):
        return ExitCode.USAGE
    return ExitCode.FAILED


if __name__ == "__main__":
    sys.exit(main())
