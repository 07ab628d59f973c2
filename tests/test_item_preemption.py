"""Which of a node's running items stop: by its own look, and as a peer tells it."""

import unittest
from unittest import mock

from postvalve.core.admission.engine_use import engine_hash
from postvalve.core.batch.preemption import PREEMPT_NOTICE_TIMEOUT, PeerRunningItems, encode_running
from postvalve.gateway.jobs.item_preemption import ItemPreemption
from postvalve.gateway.jobs.running_item import RunningItem


def running(index, due, events=0, engine="e0"):
    item = RunningItem("j", index, "c", due, running=True, answer=mock.Mock())
    item.placement = mock.Mock(**{"engine.life": engine})
    item.events = [b""] * events
    return item


class PreemptionTest(unittest.TestCase):
    def setUp(self):
        self.items = []
        self.excess = 0
        self.peers = PeerRunningItems()
        fleet = mock.Mock(excess=lambda engine_id: self.excess)
        self.now = 0.0
        self.preemption = ItemPreemption(
            "n0",
            fleet,
            self.peers,
            lambda: self.items,
            lambda item: item.due_at_ms,
            lambda: self.now,
        )

    def stopped(self):
        for item in self.items:
            self.assertEqual(item.answer.abort.called, item.preempted)
        return [item.index for item in self.items if item.preempted]

    def tell(self, urgency, engine="e0"):
        self.preemption.preempt_one(engine_hash(engine), urgency)

    def test_each_word_of_a_peer_stops_one_item(self):
        self.items = [running(0, 50), running(1, 50, events=3), running(2, 40)]
        self.tell(50)
        self.assertEqual(self.stopped(), [0])
        self.tell(50)
        self.assertEqual(self.stopped(), [0, 1])

    def test_nothing_stops_where_all_are_more_urgent(self):
        self.items = [running(0, 40)]
        self.tell(50)
        self.tell(40, engine="e1")
        self.assertEqual(self.stopped(), [])

    def test_an_item_that_gives_way_already_is_the_one_that_was_meant(self):
        self.items = [running(0, 50), running(1, 50)]
        self.excess = 1
        self.preemption.preempt_excess()
        self.assertEqual(len(self.stopped()), 1)
        self.tell(50)
        self.assertEqual(len(self.stopped()), 1)
        self.tell(50)
        self.assertEqual(len(self.stopped()), 2)

    def test_an_item_that_the_own_look_stopped_is_told_late(self):
        """The peer that watches over the engine has seen the same excess: one goes for it."""
        self.items = [running(0, 50, events=1), running(1, 50)]
        self.excess = 1
        self.preemption.preempt_excess()
        self.items[1].running = False
        self.tell(50)
        self.assertEqual(self.stopped(), [1])
        self.tell(50)
        self.assertEqual(self.stopped(), [0, 1])

    def test_a_word_of_the_next_excess_stops_an_item(self):
        """A word about the excess that the own look saw comes as fast as datagrams do; one that
        comes later is about another online request, which would wait until it is said again."""
        self.items = [running(0, 50), running(1, 50)]
        self.excess = 1
        self.preemption.preempt_excess()
        stopped = next(one for one in self.items if one.preempted)
        stopped.running = False
        self.now += 0.2
        self.tell(50)
        self.assertEqual(self.stopped(), [0, 1])

    def test_a_word_about_another_engine_or_much_later_stops_an_item(self):
        for engine, later in (("e1", 0.0), ("e0", PREEMPT_NOTICE_TIMEOUT)):
            self.items = [running(0, 50)]
            self.excess = 1
            self.preemption.preempt_excess()
            self.items[0].running = False
            self.items.append(running(1, 50, engine=engine))
            self.now += later
            self.tell(50, engine=engine)
            self.assertEqual(sum(one.preempted for one in self.items if one.running), 1)

    def test_the_own_look_counts_what_gives_way_already(self):
        self.items = [running(0, 50), running(1, 40), running(2, 30)]
        self.excess = 2
        self.tell(50)
        self.preemption.preempt_excess()
        self.assertEqual(self.stopped(), [0, 1])

    def test_less_urgent_items_of_peers_go_first(self):
        self.items = [running(0, 50)]
        self.peers.observe("n1", encode_running([(engine_hash("e0"), 90)]))
        self.excess = 1
        self.preemption.preempt_excess()
        self.assertEqual(self.stopped(), [])

    def test_the_report_names_engines_and_urgencies(self):
        self.items = [running(0, 50), running(1, 40, engine="e1")]
        other = PeerRunningItems()
        other.observe("n0", self.preemption.report())
        self.assertEqual(other.at(engine_hash("e0")), [(50, "n0")])
        self.assertEqual(self.preemption.urgencies_at("e1"), [40])


if __name__ == "__main__":
    unittest.main()
