"""`postvalve jobs`: list, show and cancel batch jobs of all tenants, read from the log."""

from __future__ import annotations

import argparse
from typing import Any

from postvalve.cli.connection import DEFAULT_SHARDS, LogStores, add_log_flags, connect_log
from postvalve.cli.output import ExitCode, add_output_flag, print_document, print_rows
from postvalve.core.batch.job_ledger import JobLedger
from postvalve.exceptions import NotFoundError

COLUMNS = ("job", "tenant", "workload", "state", "items", "completed", "failed", "deadline_at_ms")

EXAMPLES = """examples:
  postvalve jobs list --log-url http://127.0.0.1:7000
  postvalve jobs show batch_0f3a... --output json
  postvalve jobs cancel batch_0f3a...
"""


def add_parser(commands: Any) -> None:
    """Add the `jobs` command."""
    parser = commands.add_parser(
        "jobs",
        help="list, show and cancel batch jobs",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    actions = parser.add_subparsers(dest="action", required=True, metavar="ACTION")
    listing = actions.add_parser("list", help="list the jobs of all tenants")
    listing.add_argument("--tenant", help="list only the jobs of this tenant")
    listing.set_defaults(run=run_list)
    show = actions.add_parser("show", help="show one job")
    show.set_defaults(run=run_show)
    cancel = actions.add_parser("cancel", help="cancel one job")
    cancel.set_defaults(run=run_cancel)
    for action in (show, cancel):
        action.add_argument("job_id")
    for action in (listing, show, cancel):
        action.add_argument(
            "--shards", type=int, default=DEFAULT_SHARDS, help="number of shards that nodes use"
        )
        add_log_flags(action)
        add_output_flag(action)


def run_list(arguments: argparse.Namespace) -> int:
    """Print the jobs of one tenant or of all."""
    stores = connect_log(arguments, arguments.shards)
    if arguments.tenant:
        job_ids = stores.jobs.tenant_jobs(arguments.tenant)
    else:
        job_ids = stores.jobs.announced_jobs()
    ledgers = [stores.jobs.refresh(job_id) for job_id in job_ids]
    rows = [_job_row(ledger) for ledger in ledgers if ledger.exists]
    print_rows(rows, COLUMNS, arguments.output)
    return ExitCode.OK


def run_show(arguments: argparse.Namespace) -> int:
    """Print one job.

    Raises:
        NotFoundError: There is no such job.
    """
    stores = connect_log(arguments, arguments.shards)
    print_document(_job_row(_load_job(stores, arguments.job_id)), arguments.output)
    return ExitCode.OK


def run_cancel(arguments: argparse.Namespace) -> int:
    """Cancel one job and print its new state.

    Raises:
        NotFoundError: There is no such job.
    """
    stores = connect_log(arguments, arguments.shards)
    ledger = _load_job(stores, arguments.job_id)
    stores.jobs.cancel(ledger.accepted.tenant, arguments.job_id)
    print_document(_job_row(_load_job(stores, arguments.job_id)), arguments.output)
    return ExitCode.OK


def _load_job(stores: LogStores, job_id: str) -> JobLedger:
    ledger = stores.jobs.refresh(job_id)
    if not ledger.exists:
        raise NotFoundError(f"there is no job {job_id!r}")
    return ledger


def _job_row(ledger: JobLedger) -> dict[str, Any]:
    submission = ledger.accepted
    return {
        "job": submission.job_id,
        "tenant": submission.tenant,
        "workload": submission.workload,
        "state": ledger.state.value,
        "items": submission.items,
        "completed": ledger.completed,
        "failed": ledger.failed,
        "deadline_at_ms": submission.deadline_at_ms,
    }
