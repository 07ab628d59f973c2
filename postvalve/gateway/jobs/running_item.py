"""One batch item that a node works on: what it has given, its attempt, and what is saved."""

from __future__ import annotations

from dataclasses import dataclass, field

from postvalve.core.membership.engine_life import EngineLife
from postvalve.core.routing.attempt_times import AttemptTimes
from postvalve.gateway.engines.engine_connections import EngineAnswer
from postvalve.gateway.engines.quarantine_guard import QuarantineGuard
from postvalve.gateway.fleet.placement import Placement
from postvalve.gateway.jobs.item_progress import Chain


@dataclass(slots=True)
class RunningItem:
    """An item that this node works on."""

    job_id: str
    index: int
    claim_id: str
    """The claim by which this node works on it."""
    due_at_ms: int
    output_tokens: int = 0
    prompt_tokens: int = 0
    events: list[bytes] = field(default_factory=list)
    last_event_id: int | None = None
    failures: int = 0
    """Runs that ended in an engine's failure."""
    not_before: float = 0.0
    """Monotonic seconds before which it is not tried again."""
    running: bool = False
    cancelled: bool = False
    preempted: bool = False
    preempt_requested: bool = False
    """Whether a peer has told this node to stop its present attempt."""
    preempted_by: str = ""
    """Who found that its attempt must give way: "look" of this node, or "told" by a peer."""
    answer: EngineAnswer | None = None
    placement: Placement | None = None
    times: AttemptTimes = field(default_factory=lambda: AttemptTimes(0.0))
    """Of its present attempt's events."""
    started_at: float = 0.0
    run_seconds: float = 0.0
    """Seconds that its former attempts ran."""
    failed_engine: EngineLife | None = None
    guard: QuarantineGuard | None = None
    """Its part in the quarantine; None until its request was read."""
    chain: Chain = field(default_factory=Chain)
    """What of it is saved."""

    def seconds_run(self, now: float) -> float:
        """Seconds that its attempts ran, at monotonic time `now`."""
        return self.run_seconds + (now - self.started_at if self.running else 0.0)
