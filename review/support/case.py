"""Runs a case: 10 if its rule was broken, 0 if it held, 2 if it couldn't run.

`run.sh` turns 10 into 1, so that an error of the script itself is never taken for a broken rule.
"""

import asyncio
import signal
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path

from support.deployment import Deployment
from support.record import Record

LONGEST = 110.0
"""Seconds that a case may take."""
BROKEN, HELD, NOT_RUN = 10, 0, 2

Play = Callable[[Deployment], Awaitable[bool]]
"""Plays the case; returns whether the rule was broken."""


def run_case(folder: Path, play: Play) -> int:
    """Play a case and return its exit code; `record.txt` in its folder tells what happened."""
    record = Record(folder / "record.txt")
    try:
        return asyncio.run(_run(record, play))
    except asyncio.CancelledError:
        record.write("the case was ended by a signal")
        return NOT_RUN
    except Exception:  # whatever it is, it says nothing about the rule
        record.write(f"the case couldn't run: {traceback.format_exc()}")
        return NOT_RUN
    finally:
        record.close()


async def _run(record: Record, play: Play) -> int:
    task, loop = asyncio.current_task(), asyncio.get_running_loop()
    assert task is not None
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    deployment = Deployment(record)
    try:
        async with asyncio.timeout(LONGEST):
            broken = await play(deployment)
    finally:
        deployment.stop()
        record.write("all node processes have ended")
    record.write("the rule was BROKEN" if broken else "the rule held")
    return BROKEN if broken else HELD


def main(folder: Path, play: Play) -> None:
    """Play a case and exit with its code."""
    sys.exit(run_case(folder, play))
