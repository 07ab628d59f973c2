"""State of all routed batch jobs, replayed from one topic. Every reader reaches the same state.

- The first acceptance of a job id is the job; later ones are resends.
- The first end of an item counts, whichever node wrote it; its rank in offset order is its position
  in the results.
- Records after the end of a job do not count.
- A claim moves a job to another node only if it names the claim that it replaces, so of two
  concurrent claims the first one counts. Claims only avoid duplicate work; correctness does not
  depend on them.

Records are small, since all nodes read all of them. The items' requests and results are stored in
other topics.

Each write has a unique key, so that a topic that keeps only the newest record of each key keeps all
of them, and replaying those in offset order gives the same board.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field

import betterproto

from postvalve.core.batch.item_end import ItemEnd, ItemState, unpack_end
from postvalve.core.batch.item_shares import ItemShares
from postvalve.core.batch.job_items import ItemSpec, JobItemsError, unpack_items
from postvalve.messages.framing import parse_message
from postvalve.messages.generated import gateway

PURGE_MARGIN_MS = 15_000
"""Milliseconds that a job is kept beyond the time for which it must stay readable."""


MAX_ID_BYTES = 0xFF
"""Maximum size of the id of a job, a claim or a node, in bytes: its length has 8 bits in reports
and in the records of ends."""
MAX_INDEX = 0xFFFF
"""Greatest index of an item: it has 16 bits there."""
MAX_TIME_MS = 2**53
"""Greatest time, in milliseconds of the epoch; sums of times must fit into 64 bits."""
MAX_NUMBER = 2**64 - 1
JOB_FORM = 3
"""Format version of job records. Version 1 held whole requests and answers, and version 2 had
another layout of item ends. Neither is read, and an acceptance in one of them is reported as
unreadable."""


class RecordKind(enum.StrEnum):
    """First part of a record's key."""

    ACCEPT = "accept"
    CLAIM = "claim"
    ITEM = "item"
    END = "end"


_READERS: dict[str, Callable[[bytes], betterproto.Message | ItemEnd]] = {
    RecordKind.ACCEPT: lambda value: parse_message(gateway.JobAccepted, value),
    RecordKind.CLAIM: lambda value: parse_message(gateway.JobClaimed, value),
    RecordKind.ITEM: unpack_end,
    RecordKind.END: lambda value: parse_message(gateway.JobEnded, value),
}


def record_key(kind: RecordKind, *parts: str) -> str:
    """Build the key of a record; its last part makes the key unique."""
    return "/".join((kind.value, *parts))


@dataclass(slots=True)
class BoardJob:
    """Replayed state of one job."""

    accepted: gateway.JobAccepted
    items: tuple[ItemSpec, ...]
    claim_id: str
    node_id: str
    incarnation: int
    results: list[ItemEnd] = field(default_factory=list)
    finished: set[int] = field(default_factory=set)
    ended: bool = False
    keys: list[str] = field(default_factory=list)
    claims: list[tuple[str, str]] = field(default_factory=list)
    """Claim id and node id of all nodes that have worked on the job, the present one last."""

    @property
    def holders(self) -> list[str]:
        """Ids of the nodes that have worked on the job, the present one last."""
        return [node_id for _, node_id in self.claims]

    @property
    def taken_over(self) -> bool:
        """Whether another node, or another incarnation of this one, worked on the job before."""
        return self.claim_id != self.accepted.claim_id

    @property
    def job_id(self) -> str:
        """Id of the job."""
        return self.accepted.job_id

    @property
    def open(self) -> bool:
        """Whether the job still has items to run."""
        return not self.ended and len(self.results) < len(self.items)

    @property
    def waiting_tokens(self) -> int:
        """Tokens of the unfinished items; 0 once the job has ended."""
        if self.ended:
            return 0
        items = enumerate(self.items)
        return sum(item.tokens for index, item in items if index not in self.finished)

    def unfinished(self) -> Iterator[int]:
        """Yield the indexes of the items without a result."""
        return (index for index in range(len(self.items)) if index not in self.finished)

    def index_of(self, item_id: str) -> int | None:
        """Return the index of an item by its id."""
        items = enumerate(self.items)
        return next((index for index, item in items if item.item_id == item_id), None)


class JobBoard:
    """Routed batch jobs by id."""

    def __init__(self, weights: Mapping[str, float] | None = None) -> None:
        """Start with no jobs; `weights` is by tenant, and all tenants weigh the same without it."""
        self.jobs: dict[str, BoardJob] = {}
        self.shares = ItemShares(weights or {})
        self._seen_offset = -1
        self.unreadable: list[str] = []
        """Keys of records that could not be decoded and have not been logged yet."""

    def observe(self, offset: int, key: str, value: bytes) -> str | None:
        """Apply the record at `offset`; offsets that were already seen are ignored.

        Returns:
            The id of the job that changed, if one did.
        """
        if offset <= self._seen_offset:
            return None
        self._seen_offset = offset
        kind, _, rest = key.partition("/")
        read = _READERS.get(kind)
        if read is None:
            return None
        if not value:
            return self._drop(kind, rest)
        try:
            return self._apply(key, read(value))
        except Exception:  # betterproto raises whatever its inner calls raise
            self.unreadable.append(key)
        return None

    def _drop(self, kind: str, rest: str) -> str | None:
        job_id = rest.partition("/")[0]
        if kind == RecordKind.ACCEPT and self.jobs.pop(job_id, None) is not None:
            self.shares.close_job(job_id)
            return job_id
        return None

    def _apply(self, key: str, message: betterproto.Message | ItemEnd) -> str | None:
        if isinstance(message, gateway.JobAccepted):
            return self._accept(key, message)
        assert isinstance(message, (gateway.JobClaimed, ItemEnd, gateway.JobEnded))
        job = self.jobs.get(message.job_id)
        if job is None:
            return None
        job.keys.append(key)
        if isinstance(message, gateway.JobClaimed):
            return _claim(job, message)
        if isinstance(message, ItemEnd):
            return self._end_item(job, message)
        job.ended = True
        self.shares.close_job(job.job_id)
        return job.job_id

    def _accept(self, key: str, message: gateway.JobAccepted) -> str | None:
        known = self.jobs.get(message.job_id)
        if known is not None:
            known.keys.append(key)
            return None
        if message.form != JOB_FORM:
            raise JobItemsError(f"job record has form {message.form}, expected {JOB_FORM}")
        items = unpack_items(message.items)
        _check_bounds(message, items)
        self.jobs[message.job_id] = BoardJob(
            message,
            items,
            message.claim_id,
            message.node_id,
            message.incarnation,
            keys=[key],
            claims=[(message.claim_id, message.node_id)],
        )
        self.shares.add_job(
            message.job_id,
            message.tenant,
            message.share_clock,
            message.due_at_ms,
            [item.tokens for item in items],
        )
        return message.job_id

    def _end_item(self, job: BoardJob, message: ItemEnd) -> str | None:
        index = message.item_index
        if job.ended or index in job.finished or index >= len(job.items):
            return None
        job.finished.add(index)
        job.results.append(message)
        self.shares.end_item(job.job_id, index, ran=message.state is ItemState.COMPLETED)
        return job.job_id

    def open_jobs(self) -> list[BoardJob]:
        """Return the jobs that still have items to run."""
        return [job for job in self.jobs.values() if job.open]

    def waiting_tokens(self, route: str, tenant: str) -> int:
        """Return the tokens of a tenant's unfinished items on a route, over all nodes."""
        return sum(
            job.waiting_tokens
            for job in self.open_jobs()
            if (job.accepted.route, job.accepted.tenant) == (route, tenant)
        )

    def expired(self, now_ms: int, status_ms: int) -> list[BoardJob]:
        """Return the jobs that no longer have to be readable; times are in milliseconds."""
        return [
            job
            for job in self.jobs.values()
            if now_ms > job.accepted.accepted_at_ms + status_ms + PURGE_MARGIN_MS
            and (not job.open or now_ms > job.accepted.give_up_at_ms + status_ms)
        ]


def _check_bounds(message: gateway.JobAccepted, items: tuple[ItemSpec, ...]) -> None:
    """Check what becomes a field of fixed width in other records and in messages.

    The codec reads a number of up to 70 bits into a field of 32 or 64.

    Raises:
        JobItemsError: Such a field could not hold it.
    """
    _check_ids(message.job_id, message.claim_id, message.node_id)
    times = (message.accepted_at_ms, message.due_at_ms, message.give_up_at_ms)
    numbers = (message.incarnation, message.request_offset, message.share_clock)
    if max(times) > MAX_TIME_MS or max(numbers) > MAX_NUMBER:
        raise JobItemsError("a time or number of the job is too large")
    if not items or len(items) > MAX_INDEX + 1:
        raise JobItemsError(f"the job has {len(items)} items")


def _check_ids(*ids: str) -> None:
    for one in ids:
        if len(one.encode()) > MAX_ID_BYTES:
            raise JobItemsError(f"an id of more than {MAX_ID_BYTES} bytes")


def _claim(job: BoardJob, message: gateway.JobClaimed) -> str | None:
    _check_ids(message.claim_id, message.node_id)
    if message.incarnation > MAX_NUMBER:
        raise JobItemsError("the incarnation of the claim is too large")
    if message.replaces != job.claim_id:
        return None
    job.claim_id = message.claim_id
    job.node_id = message.node_id
    job.incarnation = message.incarnation
    job.claims.append((message.claim_id, message.node_id))
    return job.job_id


def board_of(
    records: Iterable[tuple[int, str, bytes]], weights: Mapping[str, float] | None = None
) -> JobBoard:
    """Build a board from records in any order."""
    board = JobBoard(weights)
    for offset, key, value in sorted(records):
        board.observe(offset, key, value)
    return board
