"""Ends of the items that this node works on: writes, logs and counts each of them."""

from __future__ import annotations

from collections import deque

import gevent

from postvalve.clock import Clock, milliseconds
from postvalve.core.batch.item_end import ItemState
from postvalve.core.membership import load_report
from postvalve.core.scheduling.accounts import Accounts, ItemOutcome
from postvalve.events import Event, EventLog
from postvalve.gateway.jobs.end_writer import EndedItem, EndWriter
from postvalve.gateway.jobs.item_progress import ProgressLog
from postvalve.gateway.jobs.job_log import JobLog
from postvalve.gateway.jobs.own_items import OwnItems
from postvalve.gateway.jobs.result_texts import pack_text
from postvalve.gateway.jobs.running_item import RunningItem
from postvalve.gateway.metrics import GatewayMetrics

END_PROPAGATION_TIME = 1.5
"""Seconds after an item's end during which other nodes may not have read it."""
GIVE_UP_MARGIN_MS = 5_000
"""Milliseconds by which clocks may differ or have been set forward."""


class ItemEnds:
    """Ends items, each of them once."""

    def __init__(
        self,
        clock: Clock,
        events: EventLog,
        log: JobLog,
        own: OwnItems,
        writer: EndWriter,
        progress: ProgressLog,
        metrics: GatewayMetrics,
    ) -> None:
        self._clock = clock
        self._events = events
        self._log = log
        self._own = own
        self._writer = writer
        self._progress = progress
        self._metrics = metrics
        self._recently_ended: deque[tuple[float, load_report.RunningItem]] = deque()
        self.accounts = Accounts()
        """What tenants received; replaced by the node's accounts when the node is wired."""

    @property
    def pending(self) -> int:
        """Number of ends that are not durable yet."""
        return self._writer.pending

    def recent(self) -> list[load_report.RunningItem]:
        """Return the items whose ends other nodes may not have read yet."""
        now = self._clock.monotonic()
        while self._recently_ended and self._recently_ended[0][0] < now - END_PROPAGATION_TIME:
            self._recently_ended.popleft()
        return [item for _, item in self._recently_ended]

    def end(self, item: RunningItem, state: ItemState, text: bytes = b"") -> None:
        """End an item, with its text if it was completed."""
        completed = state == ItemState.COMPLETED
        packed = pack_text(text) if completed else b""
        # It leaves this node's items only once the writer keeps its end.
        self._writer.add(EndedItem(item.job_id, item.index, item.claim_id, state, packed))
        self._own.remove(item)
        self._progress.forget(item)
        ended = load_report.RunningItem(job_id=item.job_id, item_index=item.index)
        self._recently_ended.append((self._clock.monotonic(), ended))
        outcome = "completed" if completed else "dead"
        self._metrics.items.labels(outcome).inc()
        late = self._clock.wall() - item.due_at_ms / 1000
        kind = ItemOutcome.LATE if late > 0 else ItemOutcome.IN_TIME
        self.accounts.record_item_end(
            self._tenant_of(item),
            kind if completed else ItemOutcome.GIVEN_UP,
            self._clock.monotonic(),
        )
        self._events.emit(
            Event.ROUTED_ITEM_ENDED,
            job=item.job_id,
            item=item.index,
            outcome=outcome,
            events=len(item.events),
            output_tokens=item.output_tokens,
            seconds=round(item.seconds_run(self._clock.monotonic()), 3),
            late=round(late, 2),
        )

    def record_run(self, item: RunningItem, seconds: float) -> None:
        """Account the seconds that an item ran at an engine, whether or not it ended there."""
        self.accounts.record_item_run(self._tenant_of(item), seconds, self._clock.monotonic())

    def _tenant_of(self, item: RunningItem) -> str:
        job = self._log.board.jobs.get(item.job_id)
        return job.accepted.tenant if job is not None else ""

    def expire_items(self) -> None:
        """End items that are past their keep time and can't be run, checking forever."""
        while True:
            gevent.sleep(1.0)
            now_ms = milliseconds(self._clock.wall())
            for job_id, items in list(self._own.by_job.items()):
                job = self._log.board.jobs.get(job_id)
                if job is None or now_ms < job.accepted.give_up_at_ms + GIVE_UP_MARGIN_MS:
                    continue
                for item in list(items.values()):
                    if not item.running:
                        self.end(item, ItemState.DEAD)
