"""Notifies engine owners of a cancelled job, so that they stop its running items."""

from __future__ import annotations

import gevent

from postvalve.exceptions import PeerUnavailableError
from postvalve.messages.generated import peer
from postvalve.node.context import NodeContext
from postvalve.node.membership_service import MembershipService
from postvalve.node.peer_link import Channel

NOTICE_TIMEOUT = 1.0
"""Seconds to wait for an owner's acknowledgement before the notice is repeated."""
NOTICE_ATTEMPTS = 5
"""Attempts to notify one owner, with exponential backoff between them."""


class CancelNotices:
    """Sends cancel notices to all nodes, since any of them may run items of the job."""

    def __init__(self, context: NodeContext, membership: MembershipService) -> None:
        self._transport = context.transport
        self._membership = membership

    def send(self, job_id: str) -> None:
        """Notify all nodes in the background that the job was cancelled."""
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
