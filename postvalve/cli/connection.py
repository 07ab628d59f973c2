"""Access to the platform's log, shared by commands."""

from __future__ import annotations

import argparse
import os
from dataclasses import dataclass

from postvalve.clock import SystemClock
from postvalve.node.batch.job_store import JobStore
from postvalve.node.configuration_store import ConfigurationStore
from postvalve.node.context import random_id
from postvalve.node.log_writer import LogWriter
from postvalve.services.log import HttpLog

LOG_URL_VARIABLE = "POSTVALVE_LOG_URL"
OPERATOR_KEY_VARIABLE = "POSTVALVE_OPERATOR_KEY"
DEFAULT_SHARDS = 16


@dataclass(frozen=True, slots=True)
class LogStores:
    """Configuration store and job store, both backed by the log."""

    configuration: ConfigurationStore
    jobs: JobStore


def add_log_flags(parser: argparse.ArgumentParser) -> None:
    """Add `--log-url` and `--zone`."""
    parser.add_argument(
        "--log-url",
        default=os.environ.get(LOG_URL_VARIABLE),
        help=f"the platform's log, http://IP:PORT (default: ${LOG_URL_VARIABLE})",
    )
    parser.add_argument("--zone", default="operator", help="zone sent to the log with each call")


def connect_log(arguments: argparse.Namespace, shards: int = DEFAULT_SHARDS) -> LogStores:
    """Connect to the log of `--log-url` and return its stores.

    Raises:
        SystemExit: No log URL is given.
    """
    if not arguments.log_url:
        raise SystemExit(f"error: give --log-url or set {LOG_URL_VARIABLE}")
    clock = SystemClock()
    log = HttpLog(arguments.log_url, arguments.zone)
    writer = LogWriter(log, clock, random_id)
    return LogStores(
        ConfigurationStore(log, writer, clock, random_id), JobStore(log, writer, clock, shards)
    )
