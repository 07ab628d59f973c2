"""Runs a case: 1 if its rule was broken, 0 if it held, 2 if it couldn't run."""

import asyncio
import sys
from collections.abc import Awaitable, Callable
from pathlib import Path

from support.deployment import CannotRunError, Deployment
from support.record import Record

LONGEST = 110.0
"""Seconds that a case may take."""

Play = Callable[[Deployment], Awaitable[bool]]
"""Plays the case; returns whether the rule was broken."""


def run_case(folder: Path, play: Play) -> int:
    """Play a case and return its exit code; `record.txt` in its folder tells what happened."""
    record = Record(folder / "record.txt")
    try:
        return asyncio.run(_run(record, play))
    finally:
        record.close()


async def _run(record: Record, play: Play) -> int:
    deployment = Deployment(record)
    try:
        async with asyncio.timeout(LONGEST):
            broken = await play(deployment)
    except (CannotRunError, OSError, TimeoutError) as exc:
        record.write(f"the case couldn't run: {exc!r}")
        return 2
    finally:
        deployment.stop()
    record.write("the rule was BROKEN" if broken else "the rule held")
    return int(broken)


def main(folder: Path, play: Play) -> None:
    """Play a case and exit with its code."""
    sys.exit(run_case(folder, play))
