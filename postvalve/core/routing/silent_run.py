"""What became of a run from which nothing comes.

Silence alone tells nothing: the engine may be lost, or the connection, or the run may wait at a
sound engine for memory or a slot. The first two must go on elsewhere. The third must not: it would
be cut where other engines are full, and would run twice where its engine doesn't notice that the
connection was closed.
"""

from __future__ import annotations

import enum
from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RunReport:
    """What an engine tells of the requests that it holds, as of some tenths of a second ago."""

    waiting: int
    """Requests that wait for a slot or for memory."""
    runs: Mapping[str, int]
    """Events made by each run, by request id."""


@dataclass(frozen=True, slots=True)
class ProbeResult:
    """What came of asking an engine for its report."""

    answered: bool
    """Whether it answered at all."""
    report: RunReport | None = None
    """What it told; None if it tells nothing of its runs."""


class RunState(enum.StrEnum):
    """What became of a silent run."""

    HELD = "held"
    """The engine runs it, or something waits there that may be this run."""
    UNKNOWN = "unknown"
    """The engine answers, and tells nothing of its runs."""
    LOST = "lost"
    """The engine does not have it any more."""
    UNDELIVERED = "undelivered"
    """The engine makes events that do not arrive: the connection is dead."""
    ENGINE_SILENT = "engine_silent"
    """The engine does not answer."""

    @property
    def may_still_answer(self) -> bool:
        """Whether more may come of the run."""
        return self in (RunState.HELD, RunState.UNKNOWN)


class SilentRun:
    """Judges one silence of a run, from the last byte on."""

    def __init__(self, request_id: str) -> None:
        self._request_id = request_id
        self._made: int | None = None
        """Events made according to the first report."""

    def judge(self, probe: ProbeResult) -> RunState:
        """Return what became of the run, by the newest answer of its engine."""
        if not probe.answered:
            return RunState.ENGINE_SILENT
        if probe.report is None:
            return RunState.UNKNOWN
        made = probe.report.runs.get(self._request_id)
        if made is None:
            return RunState.HELD if probe.report.waiting else RunState.LOST
        if self._made is None:
            self._made = made
        # Both reports were made during the silence.
        return RunState.UNDELIVERED if made > self._made else RunState.HELD
