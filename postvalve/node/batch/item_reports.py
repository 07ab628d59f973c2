"""Sends item reports to the present holder of the item's shard until one accepts them."""

from __future__ import annotations

from collections.abc import Callable

import gevent

from postvalve.core.batch.identity import shard_of
from postvalve.exceptions import LogUnavailableError, PeerUnavailableError
from postvalve.messages.generated import peer
from postvalve.node.batch.holder import BatchHolder
from postvalve.node.context import NodeContext
from postvalve.node.membership_service import MembershipService
from postvalve.node.peer_link import Channel

REPORT_TIMEOUT = 60.0
"""Seconds to wait for a holder's reply, which is sent once the result is durable."""
REPORT_RETRY_DELAY = 0.5
"""Seconds before a report that no holder accepted is repeated."""


class ItemReports:
    """Repeats each report until a holder accepts it, or it is no longer needed."""

    def __init__(
        self, context: NodeContext, membership: MembershipService, holder: BatchHolder
    ) -> None:
        self._settings = context.settings
        self._transport = context.transport
        self._membership = membership
        self._holder = holder
        self.pending = 0

    def send(
        self,
        report: peer.ItemReport,
        *,
        still_needed: Callable[[], bool],
        on_end: Callable[[], None],
    ) -> None:
        """Send a report in the background.

        Args:
            report: Outcome of the item.
            still_needed: Returns whether the report is still needed; its job may be cancelled.
            on_end: Called when the report was accepted or is no longer needed.
        """
        self.pending += 1
        gevent.spawn(self._send_until_accepted, report, still_needed, on_end)

    def _send_until_accepted(
        self, report: peer.ItemReport, still_needed: Callable[[], bool], on_end: Callable[[], None]
    ) -> None:
        try:
            while still_needed() and not self._report_once(report):
                gevent.sleep(REPORT_RETRY_DELAY)
        finally:
            self.pending -= 1
            on_end()

    def _report_once(self, report: peer.ItemReport) -> bool:
        shard = shard_of(report.job_id, self._settings.shards)
        if self._holder.leases.holds(shard):
            return self._report_locally(report)
        holders = [
            member.peer_address
            for member in self._membership.view.members()
            if shard in member.summary.shards and member.node_id != self._settings.node_id
        ]
        return any(self._report_to(address, report) for address in holders)

    def _report_locally(self, report: peer.ItemReport) -> bool:
        try:
            return self._holder.report(report).accepted
        except LogUnavailableError:
            return False

    def _report_to(self, address: str, report: peer.ItemReport) -> bool:
        try:
            reply = self._transport.call(address, Channel.BATCH, report, REPORT_TIMEOUT)
        except PeerUnavailableError:
            return False
        return isinstance(reply, peer.ItemReportReply) and reply.accepted
