"""A newer revision that peers report is fetched from one that has it."""

import unittest

import gevent

from postvalve.emulator.virtual_time import run_virtual
from postvalve.events import Event
from postvalve.exceptions import PeerUnavailableError, Verdict
from postvalve.gateway.knowledge.revision_fetch import RevisionFetcher
from postvalve.messages.generated import gateway
from tests.gateway_support import RecordingEventLog


class Holder:
    """Stands in for the holder of the configuration; a document is its revision as text."""

    def __init__(self):
        self.revision = 2
        self.document = b"2"

    def adopt(self, document, source):
        self.revision = max(self.revision, int(document))


class Peers:
    """Transport to peers that have different revisions, of which some do not answer."""

    def __init__(self, **revisions):
        self.revisions = revisions
        self.silent = set()
        self.asked = []

    def call(self, address, channel, message, timeout):
        self.asked.append(address)
        if address in self.silent:
            gevent.sleep(timeout)
            raise PeerUnavailableError("no answer", Verdict.MAY_HAVE_RUN)
        gevent.sleep(0.01)
        revision = self.revisions[address]
        return gateway.RevisionReply(revision=revision, document=str(revision).encode())


class RevisionFetchTest(unittest.TestCase):
    def fetch(self, peers, reported, seconds, later=()):
        """Report revision 4 from the peers `reported`; return the revision known after a while.

        Args:
            peers: The peers.
            reported: Names of those that report it, in this order.
            seconds: Time from the reports on.
            later: Revisions that peers have from 0.4 s on.
        """

        def session(loop):
            holder = Holder()
            self.log = RecordingEventLog()
            fetcher = RevisionFetcher(holder, peers, self.log)
            for name in reported:
                fetcher.consider(4, name, name)
            gevent.spawn_later(0.4, peers.revisions.update, later)
            gevent.sleep(seconds)
            return holder.revision

        return run_virtual(session)

    def test_a_reporter_that_has_not_got_the_revision_itself_is_asked_again(self):
        self.assertEqual(self.fetch(Peers(a=2), "a", 1.0, later={"a": 4}), 4)

    def test_a_reporter_that_is_behind_for_longer_is_asked_a_few_times(self):
        peers = Peers(b=2)
        self.assertEqual(self.fetch(peers, "b", 9.0), 2)
        self.assertLessEqual(len(peers.asked), 4)
        self.assertEqual(self.log.count(Event.REVISION_NOT_FETCHED), len(peers.asked))

    def test_a_silent_peer_delays_the_others_little(self):
        peers = Peers(a=4, b=4, c=4)
        peers.silent = {"b", "c"}
        self.assertEqual(self.fetch(peers, "cba", 1.2), 4)

    def test_one_of_many_peers_is_asked(self):
        peers = Peers(**dict.fromkeys("abcdefgh", 4))
        self.assertEqual(self.fetch(peers, "abcdefgh", 1.0), 4)
        self.assertEqual(len(peers.asked), 1)


if __name__ == "__main__":
    unittest.main()
