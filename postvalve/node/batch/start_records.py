"""Start records of at-most-once items, appended and read back before an item is dispatched."""

from __future__ import annotations

from postvalve.core.batch.identity import job_stream
from postvalve.core.batch.job_ledger import JobLedger
from postvalve.core.batch.scheduler import ItemKey
from postvalve.exceptions import LogUnavailableError
from postvalve.messages.generated import records
from postvalve.node.batch.job_store import JobStore
from postvalve.node.context import NodeContext


class StartRecords:
    """Appends start records, and decides which attempts of at-most-once items may run.

    An append that was not acknowledged may have taken effect. Its attempt was not dispatched, so
    the next pull of the item uses the same attempt id. With a new id, the first start in the stream
    could name an attempt that never runs, and no other attempt of the item would be allowed.
    """

    def __init__(self, context: NodeContext, store: JobStore) -> None:
        self._writer = context.writer
        self._new_id = context.new_id
        self._store = store
        self._unconfirmed: dict[ItemKey, str] = {}

    def attempt_for(self, key: ItemKey) -> str:
        """Return the id for the next attempt of an item, an unconfirmed one if there is any."""
        return self._unconfirmed.pop(key, None) or self._new_id()

    def record(self, ledger: JobLedger, attempts: dict[ItemKey, str]) -> dict[ItemKey, str]:
        """Append start records, and return the attempts that may run their items.

        An attempt may run if its start is the first of its item, the item has no result and the
        job has not ended.

        Raises:
            LogUnavailableError: if the starts could not be confirmed; no item may be dispatched.
        """
        starts = [
            records.ItemStarted(item_index=key.item_index, attempt_id=attempt_id)
            for key, attempt_id in attempts.items()
        ]
        try:
            self._writer.append(job_stream(ledger.job_id), records.ItemsStarted(starts=starts))
            self._store.catch_up(ledger)
        except LogUnavailableError:
            self._unconfirmed.update(attempts)
            raise
        return {
            key: attempt_id
            for key, attempt_id in attempts.items()
            if _may_run(ledger, key, attempt_id)
        }


def _may_run(ledger: JobLedger, key: ItemKey, attempt_id: str) -> bool:
    first = ledger.start_of(key.item_index) == attempt_id
    return first and not ledger.state.is_terminal and not ledger.is_finished(key.item_index)
