"""The record of one run of a case: what was sent, answered and run."""

import os
import time
from pathlib import Path


class Record:
    """Writes lines with the seconds since the start to a file and to standard output."""

    def __init__(self, path: Path):
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        line = f"{time.monotonic() - self._start:8.3f} s  {text}"
        self._file.write(line + "\n")
        self._file.flush()
        print(line, flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def has_trouble() -> bool:
    """Whether the disruption is to be made; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"
