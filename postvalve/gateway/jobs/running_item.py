"""State of one batch item at the node that works on it: events, present attempt, saved progress."""

from __future__ import annotations

from dataclasses import dataclass, field

from postvalve.core.membership.engine_life import EngineLife
from postvalve.core.membership.known_facts import VersionEvidence
from postvalve.core.routing.attempt_times import AttemptTimes
from postvalve.gateway.engines.engine_answer import EngineAnswer
from postvalve.gateway.engines.quarantine_guard import QuarantineGuard
from postvalve.gateway.fleet.placement import Placement
from postvalve.gateway.jobs.item_progress import Chain


@dataclass(slots=True)
class RunningItem:
    """A batch item that this node works on."""

    job_id: str
    index: int
    claim_id: str
    """Id of the claim under which this node works on it."""
    due_at_ms: int
    output_tokens: int = 0
    prompt_tokens: int = 0
    events: list[bytes] = field(default_factory=list)
    last_event_id: int | None = None
    version: str | None = None
    """Version of the engines that made its events; None while it has none."""
    evidence: VersionEvidence | None = None
    """What shows that engines of this version made them; None if the store says so."""
    unconfirmed_since: float | None = None
    """Monotonic time in seconds since which its attempts failed for want of a read that shows the
    version of its engines."""
    max_attempts: int = 1
    """Failed runs after which it is dead."""
    failures: int = 0
    """Number of runs that ended in a failure of the engine."""
    is_count_read: bool = True
    """Whether `failures` includes the runs at nodes that worked on its job before."""
    is_count_pending: bool = False
    """Whether it may not run until `failures` is complete and in the store."""
    crashes: int = 0
    """Number of runs in a row whose engine disconnected as they began."""
    unheard_runs: int = 0
    """Number of runs that ended before their engine's answer began; each may have failed."""
    is_answered: bool = False
    """Whether the answer of the present attempt has begun."""
    retry_delay: float = 0.0
    """Seconds by which it was put off when its last attempt failed for a reason other than an
    engine; 0 after any other attempt."""
    not_before: float = 0.0
    """Monotonic time in seconds before which it is not tried again."""
    quarantined: bool = False
    """Whether the quarantine is why it is not tried before that time."""
    pressing: bool = False
    """Whether it must start soon to finish in time, as of the last scheduling pass."""
    running: bool = False
    cancelled: bool = False
    preempted: bool = False
    preempt_requested: bool = False
    """Whether a peer has asked this node to stop the present attempt."""
    preempted_by: str = ""
    """Cause of the preemption: "look" for this node's own check, "told" for a peer's request."""
    answer: EngineAnswer | None = None
    placement: Placement | None = None
    times: AttemptTimes = field(default_factory=lambda: AttemptTimes(0.0))
    """Times of the present attempt's events."""
    started_at: float = 0.0
    run_seconds: float = 0.0
    """Seconds that its previous attempts ran."""
    failed_engine: EngineLife | None = None
    guard: QuarantineGuard | None = None
    """State for the quarantine of its request; None until the request was read."""
    version_missed_at: float | None = None
    """Monotonic time in seconds since which no engine of its version has had room for it, beside
    engines of other versions that have; None if one has generated for it since."""
    chain: Chain = field(default_factory=Chain)
    """Saved segments of its progress."""

    @property
    def tokens(self) -> int:
        """Most tokens that it may need in an engine's memory."""
        return self.prompt_tokens + self.output_tokens

    @property
    def must_be_heard(self) -> bool:
        """Whether the present attempt may not be preempted, as too many runs may have failed.

        Engines that don't notice a closed connection go on, and fail unheard.
        """
        return not self.is_answered and self.failures + self.unheard_runs >= self.max_attempts

    @property
    def is_version_proven(self) -> bool:
        """Whether the version of the engines that made its events is known for sure."""
        return self.evidence is None or self.evidence.is_proven

    def restart(self) -> None:
        """Drop the events received, so that engines of any version may run the item."""
        self.events = []
        self.last_event_id = self.version = self.version_missed_at = None
        self.evidence = self.unconfirmed_since = None
        self.run_seconds = 0.0
        self.chain = Chain()

    def seconds_run(self, now: float) -> float:
        """Return the seconds that its attempts have run, at monotonic time `now`."""
        return self.run_seconds + (now - self.started_at if self.running else 0.0)
