"""Tells engine owners that a job was cancelled, so that its running items stop."""

from __future__ import annotations

import gevent

from postvalve.exceptions import PeerUnavailableError
from postvalve.messages.generated import peer
from postvalve.node.context import NodeContext
from postvalve.node.membership_service import MembershipService
from postvalve.node.peer_link import Channel

NOTICE_TIMEOUT = 1.0
"""Seconds until a notice to an owner is given up and repeated."""
NOTICE_ATTEMPTS = 5


class CancelNotices:
    """Notices to all nodes, since any of them may run items of a job."""

    def __init__(self, context: NodeContext, membership: MembershipService) -> None:
        self._transport = context.transport
        self._membership = membership

    def send(self, job_id: str) -> None:
        """Start to notify; does not wait."""
        for member in self._membership.view.members():
            gevent.spawn(self._notify, member.peer_address, job_id)

    def _notify(self, address: str, job_id: str) -> None:
        notice = peer.JobCancelNotice(job_id=job_id)
        for attempt in range(NOTICE_ATTEMPTS):
            try:
                self._transport.call(address, Channel.BATCH, notice, NOTICE_TIMEOUT)
                return
            except PeerUnavailableError:
                gevent.sleep(NOTICE_TIMEOUT * 2**attempt)
