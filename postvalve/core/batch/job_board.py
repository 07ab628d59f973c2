"""All batch jobs of routed traffic, replayed from one topic. Every reader decides alike.

- The first acceptance of a job id is the job; later ones are resends.
- The first end of an item counts, whoever wrote it; its rank in offset order is its position.
- What comes after the end of a job does not count.
- A claim moves a job to another node only if it names the claim that it replaces, so of two
  that race the first one counts. Claims save work; no promise hangs on them.

Records are small: all nodes read all of them. What items are sent as, and what they have given,
lies in other topics.

Each write has a key of its own, so that a topic which keeps the newest record of each key
keeps all of them, and replaying those in offset order gives the same board.
"""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass, field

import betterproto

from postvalve.core.batch.item_end import ItemEnd, ItemState, unpack_end
from postvalve.core.batch.item_shares import ItemShares
from postvalve.core.batch.job_items import ItemSpec, JobItemsError, unpack_items
from postvalve.messages.generated import gateway

PURGE_MARGIN_MS = 15_000
"""Milliseconds that a job is kept beyond the time for which it must stay readable."""


JOB_FORM = 3
"""Form of the records of jobs. Those of the first one held whole requests and answers, and ends of
the second one had another layout; they are not read, and an acceptance in one of them is told as
unreadable."""


class RecordKind(enum.StrEnum):
    """First part of a record's key."""

    ACCEPT = "accept"
    CLAIM = "claim"
    ITEM = "item"
    END = "end"


_READERS: dict[str, Callable[[bytes], betterproto.Message | ItemEnd]] = {
    RecordKind.ACCEPT: lambda value: gateway.JobAccepted().parse(value),
    RecordKind.CLAIM: lambda value: gateway.JobClaimed().parse(value),
    RecordKind.ITEM: unpack_end,
    RecordKind.END: lambda value: gateway.JobEnded().parse(value),
}


def record_key(kind: RecordKind, *parts: str) -> str:
    """The key of a record; its last part makes it the only one of its kind."""
    return "/".join((kind.value, *parts))


@dataclass(slots=True)
class BoardJob:
    """One job."""

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
    """Claim and node of all that have worked on it, the present one last."""

    @property
    def holders(self) -> list[str]:
        """Nodes that have worked on it, the present one last."""
        return [node_id for _, node_id in self.claims]

    @property
    def taken_over(self) -> bool:
        """Whether another node, or another life of this one, has worked on it before."""
        return self.claim_id != self.accepted.claim_id

    @property
    def job_id(self) -> str:
        """Its id."""
        return self.accepted.job_id

    @property
    def open(self) -> bool:
        """Whether items are still to be run."""
        return not self.ended and len(self.results) < len(self.items)

    @property
    def waiting_tokens(self) -> int:
        """Tokens of the items without a result; 0 once the job has ended."""
        if self.ended:
            return 0
        items = enumerate(self.items)
        return sum(item.tokens for index, item in items if index not in self.finished)

    def unfinished(self) -> Iterator[int]:
        """Indexes of the items without a result."""
        return (index for index in range(len(self.items)) if index not in self.finished)

    def index_of(self, item_id: str) -> int | None:
        """The index of an item by its id."""
        items = enumerate(self.items)
        return next((index for index, item in items if item.item_id == item_id), None)


class JobBoard:
    """Jobs by id."""

    def __init__(self, weights: Mapping[str, float] | None = None) -> None:
        """Start with no jobs; weights by tenant, all the same where none are given."""
        self.jobs: dict[str, BoardJob] = {}
        self.shares = ItemShares(weights or {})
        self._seen_offset = -1
        self.unreadable: list[str] = []
        """Keys of records that could not be read, until somebody tells of them."""

    def observe(self, offset: int, key: str, value: bytes) -> str | None:
        """Take the record at `offset` in; offsets that were seen are passed over.

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
        except Exception:  # the codec raises whatever its inner calls raise
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
            raise JobItemsError(f"job record of form {message.form}")
        items = unpack_items(message.items)
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
        """Jobs with items to run."""
        return [job for job in self.jobs.values() if job.open]

    def waiting_tokens(self, route: str, tenant: str) -> int:
        """Tokens of a tenant that wait on a route, over all nodes."""
        return sum(
            job.waiting_tokens
            for job in self.open_jobs()
            if (job.accepted.route, job.accepted.tenant) == (route, tenant)
        )

    def expired(self, now_ms: int, status_ms: int) -> list[BoardJob]:
        """Jobs that nobody may ask for any more, in milliseconds of the epoch."""
        return [
            job
            for job in self.jobs.values()
            if now_ms > job.accepted.accepted_at_ms + status_ms + PURGE_MARGIN_MS
            and (not job.open or now_ms > job.accepted.give_up_at_ms + status_ms)
        ]


def _claim(job: BoardJob, message: gateway.JobClaimed) -> str | None:
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
    """A board from records of any order."""
    board = JobBoard(weights)
    for offset, key, value in sorted(records):
        board.observe(offset, key, value)
    return board
