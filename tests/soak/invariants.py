"""Invariants of the soak, checked against what clients and engines observed.

The checks are pure: they open no sockets and read no clock.
"""

from collections import Counter, defaultdict
from dataclasses import dataclass, field

NOT_RUN = frozenset((408, 421, 429, 503))
"""Statuses which guarantee that the request has not run and never will."""
FAULT_AFTERMATH = 6.0
"""Seconds after the end of a fault in which its effects may still be observed."""
JOB_VISIBLE_AFTER = 1.5
"""Seconds after its acceptance within which every node must know a job."""
CANCEL_TIMEOUT = 4.0
"""Seconds after a cancellation is acknowledged, after which no item of the job may start."""
CONFIGURATION_TIMEOUT = 4.0
"""Seconds after its publication within which a revision must be in force."""
MAX_WAIT = 1.0
"""Seconds that an online request may wait at an engine that also runs batch items."""
RECOVERY_TIME = 3.0
"""Seconds after a fault from which a node must meet its time limits again."""
LEAVING_TIME = 2.0
"""Seconds after the store acknowledged a leaving engine; no later request may reach it."""
LEAVING_MARGIN = 0.25
"""Additional seconds for requests that were in transit on a busy machine."""
NODE_REPLACE = "node_replace"
"""Kind of the span in which a node is replaced by one that runs another build."""
PLANNED_KINDS = frozenset(("node_term", "roll", "hup_series", "config_storm", NODE_REPLACE))
"""Kinds of planned maintenance: these must not interrupt requests that an engine runs."""
MAX_FATAL_ENDS = 3
"""Engines that a fatal request may end before it is quarantined, and as many again afterwards."""
FATAL_KINDS = frozenset(("fatal_request", "fatal_reborn"))
SERVED_AFTER, MIN_SERVED_SHARE = 7.0, 0.8
"""Share of the other requests that must be served, and the seconds after the first arrival of a
fatal request from which this holds: by then the engines that it ended have been restarted."""
CALM_WINDOW = 5.0
"""Seconds over which it is observed whether batch items end."""
BUSY_SHARE, MIN_ENDED_SHARE = 0.5, 0.1
"""Share of the engines' slots from which they count as busy; otherwise, the share of the waiting
items that must end within a window."""
MAX_WAITING_SHARE = 0.02
"""Share of the online requests in fault-free periods that may wait longer than `MAX_WAIT`."""
TIME_BOUND_CHECKS = frozenset(
    (
        "configuration comes into force",
        "online never waits behind batch",
        "a cancelled job stops",
        "a planned stop cuts nothing",
        "no request reaches an engine that has left",
        "requests are served beside one under which engines end",
        "a client that stalls gets its whole answer",
    )
)
"""Checks with time limits of seconds, which an overloaded test machine can break by itself."""


@dataclass
class OnlineRequest:
    """An online request and the answer that its client received."""

    request_id: str
    at_most_once: bool
    node: str
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    body: bytes = b""
    whole: bool = False
    expected: bytes = b""
    connection_reused: bool = False
    """Whether its connection had already carried an earlier answer."""
    deadline: float = float("inf")
    """When the request's deadline passes. A cut after it is no violation: if the engine is silent
    until then, the node has no other way to end the answer."""


@dataclass
class Job:
    """A batch job and what clients read about it."""

    job_id: str
    texts: dict[str, str]
    """The complete expected text of each item, by item id."""
    sent_at: float
    accepted_at: float = 0.0
    cancelled_at: float = 0.0
    refused: bool = False
    """Whether every answer to its submission guaranteed that nothing ran."""
    positions: dict[int, tuple[str, str, str]] = field(default_factory=dict)
    """Id, state and text that were first read at each position."""
    total: int = 0
    read_at: dict[str, float] = field(default_factory=dict)
    """When the end of each item was first read, by item id."""

    def record_read(self, now):
        """Record the time at which the ends known so far were read."""
        for item, _, _ in self.positions.values():
            self.read_at.setdefault(item, now)

    @property
    def finished(self):
        return bool(self.cancelled_at) or len(self.positions) == len(self.texts)


@dataclass
class Run:
    """One start of a request at an engine."""

    request_id: str
    at: float
    waited: float = 0.0
    items: int = 0
    """Batch items that occupied slots when the request arrived."""
    engine: str = ""

    @property
    def arrived_at(self):
        return self.at - self.waited


@dataclass
class LeavingEngine:
    """An engine whose entry the store has acknowledged as draining or removed."""

    engine: str
    acknowledged_at: float


@dataclass
class FaultSpan:
    """The period in which a fault was in force."""

    kind: str
    target: str
    start: float
    end: float

    def affects(self, node, engine):
        """Whether the fault may affect a node, the store, or the link to an engine."""
        if self.kind.startswith(("engine", "link")):
            return self.target == engine and self.kind not in ("engine_leaves", "engine_goes")
        return self.target in ("", node)


@dataclass(frozen=True)
class EngineSight:
    """What an engine had in its slots at one moment, as it logged itself."""

    engine: str
    at: float
    slots: int
    running: int
    items: tuple[str, ...] = ()
    """Batch items in its slots."""


@dataclass(frozen=True)
class CalmWindow:
    """What became of the batch items that waited in a period without faults."""

    start: float
    waiting: int
    """Items that were open at its start."""
    ended: int
    """Of these, items whose end was read until its end."""
    idle: int
    """Of these, items that did not end, and that no engine ran."""
    running: int
    slots: int
    """Sums over all readings of engines."""

    @property
    def used_share(self):
        """Mean share of the engines' slots that were in use."""
        return self.running / max(1, self.slots)

    @property
    def holds(self):
        """Whether items ended, or engines were busy, as far as items waited for them."""
        return (
            not self.idle
            or not self.slots
            or self.used_share >= BUSY_SHARE
            or self.ended >= self.waiting * MIN_ENDED_SHARE
        )


def calm_windows(start, end, jobs, sights):
    """Return the consecutive windows of a period without faults."""
    windows = []
    while start + CALM_WINDOW <= end:
        windows.append(_calm_window(start, start + CALM_WINDOW, jobs, sights))
        start += CALM_WINDOW
    return windows


def _calm_window(start, end, jobs, sights):
    open_items = {
        item: job.read_at.get(item, float("inf"))
        for job in jobs
        if job.accepted_at and job.accepted_at <= start and not job.cancelled_at
        for item in job.texts
        if job.read_at.get(item, float("inf")) > start
    }
    within = [sight for sight in sights if start <= sight.at < end]
    ran = {item for sight in within for item in sight.items}
    left = {item for item, read_at in open_items.items() if read_at > end}
    return CalmWindow(
        start,
        len(open_items),
        len(open_items) - len(left),
        len(left - ran),
        sum(sight.running for sight in within),
        sum(sight.slots for sight in within),
    )


class InvariantChecker:
    """Checks invariants, and records violations and the number of checks of each."""

    def __init__(self):
        self.violations = []
        self.check_counts = Counter()
        self.spans = []
        self.leaving_engines = []
        self._revisions = {}

    def check(self, invariant, passed, detail):
        """Record the result of one check."""
        self.check_counts[invariant] += 1
        if not passed:
            self.violations.append(f"{invariant}: {detail}")

    def fault_free(self, start, end, but=None):
        """Whether no fault except `but` was in force from shortly before `start` until `end`.

        Replacing a node does not count as a fault: others must not be affected by it.
        """
        return not any(
            span.start <= end and span.end + FAULT_AFTERMATH >= start
            for span in self.spans
            if span is not but and span.kind != NODE_REPLACE
        )

    def undisturbed(self, node, engine, at, but=()):
        """Whether no recent fault affected a node or its connections to the store and an engine.

        Faults of the kinds `but` are ignored.
        """
        return not any(
            span.start <= at and span.end + RECOVERY_TIME >= at and span.affects(node, engine)
            for span in self.spans
            if span.kind not in but
        )

    # Checks while the soak runs

    def check_online_request(self, req):
        """Check the body of a complete answer to an online request."""
        if req.status == 200 and req.whole:
            passed = req.body == req.expected
            self.check(
                "whole answers, to one's own request", passed, f"{req.request_id} {req.body!r}"
            )

    def check_stalled_request(self, req):
        """Check that a client which stalled got a complete answer or a refusal."""
        if self.fault_free(req.sent_at, req.ended_at):
            passed = (req.status, req.whole) == (200, True) or req.status in NOT_RUN
            detail = f"{req.request_id} at {req.node}: {req.status}, whole {req.whole}"
            self.check("a client that stalls gets its whole answer", passed, detail)

    def check_page(self, job, node, position, page):
        """Check a page of a job's results that starts at a position."""
        for number, result in enumerate(page["results"], position):
            entry = (result["id"], result["state"], result["text"])
            first = job.positions.setdefault(number, entry)
            detail = f"{job.job_id} at {node}, position {number}: {entry[:2]} after {first[:2]}"
            self.check("a position keeps its result", first == entry, detail)
        total = page["total"]
        self.check("the number of items", total == len(job.texts), f"{job.job_id}: {total}")

    def check_unknown_job(self, job, node, asked_at):
        """Check that a node which did not know a job was asked shortly after its acceptance."""
        late = job.accepted_at and asked_at > job.accepted_at + JOB_VISIBLE_AFTER
        self.check("accepted jobs are known", not late, f"{job.job_id} at {node}")

    def record_known_job(self):
        self.check_counts["accepted jobs are known"] += 1

    def check_revision_order(self, life, revision):
        """Check that the revision in force never goes backwards within one life of a node."""
        former = self._revisions.get(life, -1)
        self._revisions[life] = max(former, revision)
        self.check(
            "configuration never steps back", revision >= former, f"{life}: {former}, {revision}"
        )

    def check_revision_in_force(self, node, revision, published, since):
        """Check that a node has a revision in force that was `published` at the time `since`."""
        self.check(
            "configuration comes into force",
            revision >= published,
            f"{node}: {revision} of {published} since {since:.1f}",
        )

    # Checks at the end of the soak

    def check_runs(self, runs, requests, jobs):
        """Check what engines ran against what clients were told."""
        counts = Counter(run.request_id for run in runs)
        for req in requests:
            if req.at_most_once:
                number = counts[req.request_id]
                self.check("at most once", number <= 1, f"{req.request_id} ran {number} times")
                if req.status in NOT_RUN:
                    self.check('"not run" is true', number == 0, f"{req.request_id} {req.status}")
        self._check_departed_engines(runs, requests)
        self._check_persistent_connections(counts, requests)
        self._check_cancelled_jobs(runs, jobs)
        self._check_refused_jobs(counts, jobs)
        self._check_waits(runs)

    def check_fatal_runs(self, runs, nodes):
        """Check the runs of fatal requests; `nodes` is the node that each was sent to."""
        by_number = defaultdict(list)
        for run in runs:
            if run.request_id in nodes:
                by_number[run.request_id.split("-")[1]].append(run)
        for number, fatal_runs in by_number.items():
            fatal_runs.sort(key=lambda run: run.at)
            known_at = (
                fatal_runs[MAX_FATAL_ENDS - 1].at + RECOVERY_TIME
                if len(fatal_runs) >= MAX_FATAL_ENDS
                else float("inf")
            )
            late = [
                run.request_id
                for run in fatal_runs
                if run.arrived_at > known_at
                and self.undisturbed(nodes[run.request_id], run.engine, run.arrived_at, FATAL_KINDS)
            ]
            detail = f"request {number}: {len(fatal_runs)} engines ended, late {late}"
            passed = len(late) <= MAX_FATAL_ENDS
            self.check("a request under which engines end is held back", passed, detail)

    def check_served_beside_fatal(self, requests):
        """Check that other requests were served while a fatal request was sent repeatedly."""
        for span in self.spans:
            start = span.start + SERVED_AFTER
            if span.kind not in FATAL_KINDS or not self.fault_free(start, span.end, but=span):
                continue
            others = [req for req in requests if start < req.sent_at < span.end and req.ended_at]
            served = [req for req in others if req.status == 200 and req.whole]
            detail = f"{len(served)} of {len(others)} from {start:.1f} on"
            passed = len(served) >= MIN_SERVED_SHARE * len(others)
            self.check("requests are served beside one under which engines end", passed, detail)

    def _check_departed_engines(self, runs, requests):
        nodes = {req.request_id: req.node for req in requests}
        for leaving in self.leaving_engines:
            bound = leaving.acknowledged_at + LEAVING_TIME + LEAVING_MARGIN
            late = [
                f"{run.request_id} from {nodes[run.request_id]}, {run.arrived_at - bound:.2f} s"
                for run in runs
                if run.engine == leaving.engine
                and run.request_id in nodes
                and run.arrived_at > bound
                and self.undisturbed(nodes[run.request_id], run.engine, run.arrived_at)
            ]
            detail = f"{leaving.engine}: {late[:3]} too late"
            self.check("no request reaches an engine that has left", not late, detail)

    def _check_persistent_connections(self, counts, requests):
        for req in requests:
            if not req.connection_reused or not self._only_planned_faults(
                req.sent_at, req.ended_at
            ):
                continue
            cut = not req.whole and counts[req.request_id] and req.ended_at < req.deadline
            detail = f"{req.request_id} at {req.node}, from {req.sent_at:.1f} to {req.ended_at:.1f}"
            self.check("a kept connection answers what it took", not cut, detail)

    def _only_planned_faults(self, start, end):
        return not any(
            span.start <= end
            and span.end + FAULT_AFTERMATH >= start
            and span.kind not in PLANNED_KINDS
            for span in self.spans
        )

    def _check_cancelled_jobs(self, runs, jobs):
        by_item = {item: job for job in jobs if job.cancelled_at for item in job.texts}
        starts = defaultdict(list)
        for run in runs:
            if run.request_id in by_item:
                starts[run.request_id].append(run.at)
        for item, times in starts.items():
            acknowledged_at = by_item[item].cancelled_at
            if self.fault_free(acknowledged_at, acknowledged_at + CANCEL_TIMEOUT + 1.0):
                late = [
                    at
                    for at in times
                    if at > acknowledged_at + CANCEL_TIMEOUT
                    and self.fault_free(acknowledged_at, at)
                ]
                detail = f"{item} ran at {late}, ended at {acknowledged_at:.1f}"
                self.check("a cancelled job stops", not late, detail)

    def _check_refused_jobs(self, counts, jobs):
        for job in jobs:
            if job.refused:
                ran = [item for item in job.texts if counts[item]]
                self.check('"not run" is true', not ran, f"items {ran} of refused {job.job_id}")

    def _check_waits(self, runs):
        online = [
            run
            for run in runs
            if run.request_id.startswith("o-") and self.fault_free(run.at - run.waited, run.at)
        ]
        late = [run for run in online if run.waited > MAX_WAIT and run.items]
        share = len(late) / max(1, len(online))
        first = [run.request_id for run in late[:3]]
        detail = f"{len(late)} of {len(online)} in fault-free periods, first {first}"
        self.check("online never waits behind batch", share <= MAX_WAITING_SHARE, detail)

    def check_jobs(self, jobs):
        """Check that all accepted jobs are complete, well after the last fault."""
        for job in jobs:
            if not job.accepted_at or job.cancelled_at:
                continue
            listed = Counter(entry[0] for entry in job.positions.values())
            self.check(
                "items complete exactly once",
                listed == Counter(job.texts.keys()),
                f"{job.job_id}: {sorted(job.texts.keys() - listed.keys())} missing, {listed}",
            )
            wrong = [
                f"{item} {state}, {len(text or '')} characters of {len(job.texts.get(item) or '')}"
                for item, state, text in job.positions.values()
                if (state, text) != ("completed", job.texts.get(item))
            ]
            self.check("results are whole", not wrong, f"{job.job_id}: {wrong}")

    def check_calm(self, windows):
        """Check that items that wait in a calm end, or that the engines are busy."""
        for number, window in enumerate(windows):
            detail = f"window {number}: {window}, {window.used_share:.2f} of the slots in use"
            self.check("in a calm, items end or engines are busy", window.holds, detail)

    def check_planned_stops(self, requests):
        """Check that requests in progress at a node were answered when it was told to stop."""
        for span in self.spans:
            if span.kind not in ("node_term", NODE_REPLACE) or not self.fault_free(
                span.start - 2.0, span.end, but=span
            ):
                continue
            for req in requests:
                in_progress = req.node == span.target and req.sent_at < span.start < req.ended_at
                if in_progress:
                    passed = req.whole and req.status in (200, 429, 503)
                    detail = f"{req.request_id} at {req.node}: {req.status}, whole {req.whole}"
                    self.check("a planned stop cuts nothing", passed, detail)
