"""A node learns of acknowledged changes in time after the store was silent, whenever it returns."""

import unittest

import gevent

from postvalve.core.membership.peers import PeerView
from postvalve.emulator.keyed_topics import MemoryTopics
from postvalve.emulator.virtual_time import VirtualClock, run_virtual
from postvalve.exceptions import Verdict
from postvalve.gateway.gateway import CONFIGURATION_PAUSE, CONFIGURATION_WAIT
from postvalve.gateway.interfaces import KeyedRecord, StoreUnavailableError
from postvalve.gateway.knowledge.relayed_topics import RelayedTopics
from postvalve.gateway.knowledge.topic_follower import TopicFollower
from postvalve.gateway.metrics import GatewayMetrics
from postvalve.platform.store import ANSWER_TIMEOUT
from tests.gateway_support import RecordingEventLog

CHANGE_BOUND = 2.0
"""Shortest time, in seconds, within which a deployment requires acknowledged changes in force."""
OUTAGE_START = 5.0


class SilentTopics(MemoryTopics):
    """A store that answers no call which is pending or begins while it is silent."""

    def __init__(self):
        super().__init__()
        self.silent = False
        self.outages = 0

    def fall_silent(self, seconds):
        self.silent = True
        self.outages += 1
        gevent.sleep(seconds)
        self.silent = False

    def _answer(self, wait, call, *arguments):
        deadline, outages = gevent.get_hub().loop.now() + wait + ANSWER_TIMEOUT, self.outages
        if not self.silent:
            answer = call(*arguments)
            if self.outages == outages:
                return answer
        gevent.sleep(max(0.0, deadline - gevent.get_hub().loop.now()))
        raise StoreUnavailableError("timed out", Verdict.MAY_HAVE_RUN)

    def read(self, topic, part, offset, wait, limit):
        return self._answer(wait, super().read, topic, part, offset, wait, limit)

    def newest(self, topic, part, after=""):
        return self._answer(0.0, super().newest, topic, part, after)


class StoreReturnTest(unittest.TestCase):
    """The change is appended as the store returns, so its bound begins there."""

    def delay_after_an_outage(self, seconds):
        """Return the seconds from the store's return until a follower has a record of then."""

        def session(loop):
            clock, store, log = VirtualClock(loop), SilentTopics(), RecordingEventLog()
            topics = RelayedTopics(store, "z", clock, log, None, PeerView("me"), GatewayMetrics())
            seen_at = []
            follower = TopicFollower(
                topics,
                clock,
                log,
                "t",
                lambda records, _: records and seen_at.append(clock.monotonic()),
                wait=CONFIGURATION_WAIT,
                pause=CONFIGURATION_PAUSE,
            )
            running = gevent.spawn(follower.run)
            gevent.sleep(OUTAGE_START)
            store.fall_silent(seconds)
            returned_at = clock.monotonic()
            store.append("t", 0, [KeyedRecord("k", b"v")])
            while not seen_at:
                gevent.sleep(0.01)
            running.kill()
            return seen_at[0] - returned_at

        return run_virtual(session)

    def test_a_change_is_known_in_time_however_long_the_store_was_silent(self):
        delays = {
            tenths / 10: round(self.delay_after_an_outage(tenths / 10), 2)
            for tenths in range(5, 90)
        }
        late = {silent: delay for silent, delay in delays.items() if delay >= CHANGE_BOUND}
        self.assertEqual(late, {})


if __name__ == "__main__":
    unittest.main()
