"""`postvalve emulate`: run emulators of the platform's services and engines."""

from __future__ import annotations

import argparse
from typing import Any

from postvalve.cli.output import ExitCode
from postvalve.emulator.engine_model import EngineParameters
from postvalve.emulator.engine_service import EngineEmulation, EngineServer
from postvalve.emulator.log_service import LogServer
from postvalve.emulator.machine_service import MachineListServer
from postvalve.emulator.relay import serve_relay
from postvalve.emulator.service import serve
from postvalve.emulator.weights_service import DEFAULT_WEIGHT_BYTES, WeightStoreServer
from postvalve.exceptions import SettingsError

EXAMPLES = """examples:
  postvalve emulate log --listen 127.0.0.1:7000
  postvalve emulate machines --listen 127.0.0.1:7001 --lag 2
  postvalve emulate engine --listen 127.0.0.1:7100 --model price-analysis=1 --slots 16
"""


def add_parser(commands: Any) -> None:
    """Add the `emulate` command."""
    parser = commands.add_parser(
        "emulate",
        help="run an emulated log, machine list, weight store or engine",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    kinds = parser.add_subparsers(dest="kind", required=True, metavar="KIND")
    log = kinds.add_parser("log", help="append-only log service")
    log.set_defaults(run=run_log)
    machines = kinds.add_parser("machines", help="machine list with delayed changes")
    machines.add_argument(
        "--lag", type=float, default=2.0, help="seconds until a change is visible"
    )
    machines.set_defaults(run=run_machines)
    engine = kinds.add_parser("engine", help="model engine")
    _add_engine_flags(engine)
    engine.set_defaults(run=run_engine)
    weights = kinds.add_parser("weights", help="weight store with a rate limit")
    weights.add_argument("--rate", type=float, default=1e9, help="bytes per second")
    weights.add_argument("--weight-bytes", type=int, default=DEFAULT_WEIGHT_BYTES)
    weights.set_defaults(run=run_weights)
    relay = kinds.add_parser("relay", help="plain socket relay, the baseline of bench relay")
    relay.add_argument("--target", required=True, help="IP:PORT")
    relay.set_defaults(run=run_relay)
    for kind in (log, machines, engine, relay, weights):
        kind.add_argument("--listen", required=True, help="IP:PORT")


def _add_engine_flags(parser: argparse.ArgumentParser) -> None:
    defaults = EngineParameters()
    parser.add_argument(
        "--model", action="append", required=True, help="NAME=VERSION, loaded from the start"
    )
    parser.add_argument("--slots", type=int, default=defaults.slots)
    parser.add_argument("--step-base", type=float, default=defaults.step_base, help="seconds")
    parser.add_argument(
        "--step-per-sequence", type=float, default=defaults.step_per_sequence, help="seconds"
    )
    parser.add_argument(
        "--prefill-per-token", type=float, default=defaults.prefill_per_token, help="seconds"
    )
    parser.add_argument("--cache-blocks", type=int, default=defaults.cache_blocks)
    parser.add_argument("--weights-url", default="", help="weight store to load models from")
    parser.add_argument("--load-lag", type=float, default=0.5, help="seconds")


def run_log(arguments: argparse.Namespace) -> int:
    """Run an emulated log."""
    serve(arguments.listen, LogServer().application())
    return ExitCode.OK


def run_weights(arguments: argparse.Namespace) -> int:
    """Run an emulated weight store."""
    server = WeightStoreServer(arguments.rate, arguments.weight_bytes)
    serve(arguments.listen, server.application())
    return ExitCode.OK


def run_relay(arguments: argparse.Namespace) -> int:
    """Run a plain socket relay."""
    serve_relay(arguments.listen, arguments.target)
    return ExitCode.OK


def run_machines(arguments: argparse.Namespace) -> int:
    """Run an emulated machine list."""
    serve(arguments.listen, MachineListServer(arguments.lag).application())
    return ExitCode.OK


def run_engine(arguments: argparse.Namespace) -> int:
    """Run an emulated engine."""
    parameters = EngineParameters(
        slots=arguments.slots,
        step_base=arguments.step_base,
        step_per_sequence=arguments.step_per_sequence,
        prefill_per_token=arguments.prefill_per_token,
        cache_blocks=arguments.cache_blocks,
    )
    models = dict(_parse_model(text) for text in arguments.model)
    emulation = EngineEmulation(parameters=parameters, load_lag=arguments.load_lag)
    server = EngineServer(models, emulation, arguments.weights_url)
    server.start()
    serve(arguments.listen, server.application())
    return ExitCode.OK


def _parse_model(text: str) -> tuple[str, str]:
    name, separator, version = text.partition("=")
    if not name or not separator or not version:
        raise SettingsError("--model", f"{text!r} is not NAME=VERSION")
    return name, version
