"""Decisions of the gateway: routes, choice of engines, counts, report schedule, and peers."""

import random
import unittest
from collections import Counter
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from postvalve.core.admission.engine_use import EngineUse
from postvalve.core.membership.engine_life import EngineLife
from postvalve.core.membership.load_report import LoadReport, RunningItem
from postvalve.core.membership.peers import SILENT_AFTER, PeerView
from postvalve.core.membership.report_schedule import (
    IDLE_INTERVAL,
    ZONE_REPORT_RATE,
    ReportSchedule,
)
from postvalve.core.routing.engine_choice import EngineChooser, EngineOption
from postvalve.core.routing.route_table import RouteTable, choose_target, target_fraction
from postvalve.gateway.fleet.engine_fleet import EngineFleet
from postvalve.gateway.interfaces import EngineEntry, EngineState
from postvalve.settings.routes import (
    RoutedConfiguration,
    RouteSpec,
    ServiceSpec,
    WeightedService,
)
from tests.gateway_support import RecordingEventLog


def route(name, host, prefix):
    return RouteSpec(
        name=name,
        host=host,
        path_prefix=prefix,
        targets=(WeightedService(service="s"),),
        timeout=5,
    )


class RouteTableTest(unittest.TestCase):
    table = RouteTable(
        RoutedConfiguration(
            revision=3,
            routes=(route("a", "h.example", "/a/"), route("ab", "h.example", "/a/b/")),
        )
    )

    def test_longest_prefix_wins(self):
        self.assertEqual(self.table.match("h.example", "/a/b/c").name, "ab")
        self.assertEqual(self.table.match("H.example:80", "/a/c").name, "a")

    def test_no_route(self):
        self.assertIsNone(self.table.match("h.example", "/b"))
        self.assertIsNone(self.table.match("other", "/a/"))
        self.assertIsNone(self.table.match("h.example", "/a"))

    def test_shares_follow_weights(self):
        targets = (WeightedService(service="x", weight=9), WeightedService(service="y", weight=1))
        generator = random.Random(1)
        by_chance = [choose_target(targets, generator.uniform(0, 1)) for _ in range(2000)]
        by_id = [choose_target(targets, target_fraction("t", f"{one:x}")) for one in range(2000)]
        for drawn in (by_chance, by_id):
            self.assertAlmostEqual(drawn.count("y") / 2000, 0.1, delta=0.02)
        self.assertEqual(target_fraction("t", "r"), target_fraction("t", "r"))
        self.assertNotEqual(target_fraction("t", "r"), target_fraction("u", "r"))


class EngineUseTest(unittest.TestCase):
    def test_totals_are_own_and_last_reports_of_peers(self):
        one, two = EngineUse(), EngineUse()
        one.enter("e", batch=False)
        two.enter("e", batch=True)
        two.enter("e", batch=False)
        one.observe("two", two.report())
        self.assertEqual((one.total("e").online, one.total("e").batch), (2, 1))
        two.leave("e", batch=True)
        one.observe("two", two.report())
        self.assertEqual((one.total("e").online, one.total("e").batch), (2, 0))
        one.forget("two")
        self.assertEqual(one.total("e").total, 1)

    def test_an_empty_report_replaces_the_former_one(self):
        one, two = EngineUse(), EngineUse()
        two.enter("e", batch=False)
        for _ in range(3):
            one.observe("two", two.report())
        two.leave("e", batch=False)
        for _ in range(3):
            one.observe("two", two.report())
        self.assertEqual(one.total("e").online, 0)

    def test_batch_fills_slots_that_online_work_leaves_free(self):
        use = EngineUse()
        self.assertEqual(use.batch_capacity("e", 12), 10)
        for _ in range(4):
            use.enter("e", batch=False)
        self.assertEqual(use.batch_capacity("e", 12), 6)
        for _ in range(6):
            use.enter("e", batch=True)
        self.assertEqual(use.batch_capacity("e", 12), 0)

    def test_batch_is_preempted_for_requests_queued_behind_it(self):
        use = EngineUse()
        for _ in range(8):
            use.enter("e", batch=True)
        for online, excess in ((4, 0), (5, 1), (6, 2), (7, 3), (30, 8)):
            while use.total("e").online < online:
                use.enter("e", batch=False)
            self.assertEqual(use.excess("e", 12), excess)

    def test_where_online_work_has_most_slots_one_may_wait(self):
        use = EngineUse()
        for _ in range(3):
            use.enter("e", batch=True)
        for online, excess in ((8, 0), (9, 0), (10, 0), (11, 1), (12, 2), (30, 3)):
            while use.total("e").online < online:
                use.enter("e", batch=False)
            self.assertEqual(use.excess("e", 12), excess)

    def test_prompt_tokens_count_until_they_are_processed(self):
        one, two = EngineUse(), EngineUse()
        two.enter("e", batch=False, unread=6_000)
        two.enter("e", batch=True, unread=1)
        one.enter("e", batch=False, unread=500)
        one.observe("two", two.report())
        self.assertEqual(one.total("e").unread, 500 + 6_016)
        two.record_prompt_read("e", 6_000)
        one.observe("two", two.report())
        self.assertEqual(one.total("e").unread, 500 + 64)
        one.leave("e", batch=False, unread=500)
        one.forget("two")
        self.assertEqual(one.total("e").unread, 0)

    def test_memory_counts_until_a_request_ends(self):
        one, two = EngineUse(), EngineUse()
        two.enter("e", batch=True, unread=300, memory=2_000)
        one.enter("e", batch=False, memory=100)
        one.observe("two", two.report())
        self.assertEqual(one.total("e").memory, 100 + 2_048)
        two.record_prompt_read("e", 300)
        one.observe("two", two.report())
        self.assertEqual(one.total("e").memory, 100 + 2_048)
        two.leave("e", batch=True, memory=2_000)
        one.observe("two", two.report())
        self.assertEqual(one.total("e").memory, 100)

    def test_more_unread_tokens_than_a_report_can_hold(self):
        one, two = EngineUse(), EngineUse()
        two.enter("e", batch=False, unread=1 << 40)
        one.observe("two", two.report())
        self.assertEqual(one.total("e").unread, 0xFFFF * 64)

    def test_malformed_reports_are_cut(self):
        use = EngineUse()
        use.observe("p", b"\x00" * 11)
        self.assertEqual(use.total("e").total, 0)

    @given(st.lists(st.tuples(st.sampled_from("abc"), st.booleans()), max_size=30))
    def test_counts_return_to_zero(self, changes):
        use = EngineUse()
        for engine, batch in changes:
            use.enter(engine, batch=batch)
        for engine, batch in changes:
            use.leave(engine, batch=batch)
        self.assertEqual([use.total(engine).total for engine in "abc"], [0, 0, 0])
        self.assertEqual(use.report(), b"")


def option(life, zone, in_flight, unread=0, batch=0):
    return EngineOption(life, zone, 10, in_flight, batch, unread)


class EngineChoiceTest(unittest.TestCase):
    def choose(self, options, key="", tokens=0):
        chooser = EngineChooser("near", random.Random(1))
        return chooser.choose(options, key, tokens).life

    def test_the_own_zone_is_preferred_until_it_is_full(self):
        self.assertEqual(self.choose([option("n", "near", 7), option("f", "far", 0)]), "n")
        self.assertEqual(self.choose([option("n", "near", 9), option("f", "far", 0)]), "f")

    def test_a_free_engine_that_processes_a_long_prompt_is_avoided(self):
        reading = option("a", "near", 1, unread=20_000)
        self.assertEqual(self.choose([reading, option("b", "near", 6)]), "b")
        self.assertEqual(self.choose([reading, option("f", "far", 6)]), "f")
        small = option("a", "near", 1, unread=2_000)
        self.assertEqual(self.choose([small, option("f", "far", 0)]), "a")

    def test_an_engine_without_memory_is_chosen_last(self):
        short = EngineOption("a", "near", 10, 1, memory_short=50)
        self.assertEqual(self.choose([short, option("b", "near", 8)]), "b")

    def test_a_cold_engine_is_avoided_while_others_have_capacity(self):
        cold = EngineOption("a", "near", 10, 0, cold=True)
        self.assertEqual(self.choose([cold, option("b", "near", 8)]), "b")
        self.assertEqual(self.choose([cold, option("b", "near", 10)]), "a")

    def test_a_cached_prefix_is_given_up_when_processing_it_again_costs_less(self):
        chooser = EngineChooser("near", random.Random(1))
        options = [option("a", "near", 0), option("b", "near", 0)]
        best = chooser.choose(options, "key", 5_000)
        self.assertEqual(best.shared_unread, 0)
        busy = [
            option(one.life, "near", 0, unread=6_000 if one == best.option else 0)
            for one in options
        ]
        other = chooser.choose(busy, "key", 5_000)
        self.assertNotEqual(other.life, best.life)
        self.assertEqual(other.shared_unread, 5_000)

    def test_a_watched_engine_is_preferred_while_it_has_capacity(self):
        def choose(in_flight, zone="near", key="", tokens=0):
            others = [option(f"e{number}", "near", 1) for number in range(20)]
            chooser = EngineChooser("near", random.Random(1))
            own = option("own", zone, in_flight)
            return chooser.choose([*others, own], key, tokens, ["own"]).life

        self.assertEqual({choose(load) for load in range(6)}, {"own"})
        self.assertNotIn("own", {choose(load) for load in (7, 9, 12)})
        # Processing the shared prompt prefix again would cost more than the benefit of more
        # accurate counts.
        holders = {choose(0, key=f"k{number}", tokens=5_000) for number in range(40)}
        self.assertGreater(len(holders), 10)

    def test_nodes_with_one_view_spread_over_engines(self):
        options = [option(f"e{number}", "near", 0) for number in range(6)]
        options.append(option("best", "near", 0))
        busy = [option(one.life, "near", 3) for one in options[:-1]] + options[-1:]
        chosen = [
            EngineChooser("near", random.Random(seed)).choose(busy, "", 0).life
            for seed in range(100)
        ]
        # Two of the engines are drawn at random: the best of seven is among them two times in
        # seven.
        self.assertLess(chosen.count("best"), 45)
        self.assertGreater(chosen.count("best"), 15)

    def test_batch_items_divert_no_request_to_another_zone(self):
        filled = option("n", "near", 10, batch=8)
        self.assertEqual(self.choose([filled, option("f", "far", 0)]), "n")
        self.assertEqual(self.choose([option("m", "near", 9, batch=8), filled]), "m")
        online = option("n", "near", 10, batch=0)
        self.assertEqual(self.choose([online, option("f", "far", 9, batch=8)]), "f")

    def test_long_shared_prefixes_go_to_the_same_engine(self):
        options = [option(f"e{n}", "near", n) for n in range(5)]
        chosen = {self.choose(options, f"key{n}", 5000) for n in range(30)}
        self.assertGreater(len(chosen), 3)
        self.assertEqual(len({self.choose(options, "one", 5000) for _ in range(9)}), 1)

    def test_a_full_engine_is_not_chosen_for_its_memory(self):
        options = [option("a", "near", 9), option("c", "near", 1)]
        for number in range(20):
            self.assertEqual(self.choose(options, f"key{number}", 5000), "c")


class BatchPlaceTest(unittest.TestCase):
    def setUp(self):
        self.clock = mock.Mock(**{"monotonic.return_value": 0.0})
        self.fleet = EngineFleet(
            "near", self.clock, RecordingEventLog(), mock.Mock(), random.Random(1)
        )
        self.fleet.update(
            EngineEntry(EngineLife(name), "s", f"{name}:1", zone, 10, EngineState.READY)
            for name, zone in (("n", "near"), ("f", "far"))
        )
        service = ServiceSpec(name="s", memory_tokens=10_000)
        self.fleet.find_service = {"s": service}.get

    def place(self, prompt=1_000, output=2_000):
        placement = self.fleet.place_batch("s", prompt, output, (), pressing=True)
        if placement is not None:
            self.fleet.record_prompt_read(placement)
        return placement and placement.engine.life

    def test_items_start_only_where_memory_is_left(self):
        self.assertEqual([self.place() for _ in range(7)], ["n", "n", "n", "f", "f", "f", None])

    def test_items_that_have_time_stay_in_their_zone_while_it_has_engines(self):
        def place(pressing):
            placement = self.fleet.place_batch("s", 100, 100, (), pressing=pressing)
            return placement and placement.engine.life

        self.assertEqual(self.fleet.batch_capacity("s", pressing=False), 6)
        self.assertEqual([place(False) for _ in range(7)], ["n"] * 6 + [None])
        self.assertEqual([place(True) for _ in range(4)], ["n", "n", "n", "f"])
        self.fleet.record_failure("n", "dark")
        self.assertEqual(place(False), "f")

    def test_nodes_with_the_same_view_do_not_all_fill_one_engine(self):
        """Sixteen nodes start an item each before they know of each other's. No engine may get
        more requests than it has slots: eight engines of 8 slots, seven of which run one online
        request."""
        counts = Counter()
        for seed in range(16):
            fleet = EngineFleet(
                "near", self.clock, RecordingEventLog(), mock.Mock(), random.Random(seed)
            )
            lives = [EngineLife(f"e{number}") for number in range(8)]
            fleet.update(
                EngineEntry(life, "s", f"{life}:1", "near", 8, EngineState.READY) for life in lives
            )
            for life in lives[1:]:
                fleet.use.enter(life, batch=False)
            counts[fleet.place_batch("s", 100, 100, (), pressing=False).engine.life] += 1
        self.assertLessEqual(max(counts.values()), 8)

    def test_items_that_are_not_pressing_avoid_cold_engines(self):
        entries = [
            EngineEntry(
                EngineLife(name), "s", f"{name}:1", "near", 10, EngineState.READY, warm_in=warm_in
            )
            for name, warm_in in (("n", 0.0), ("c", 5.0))
        ]
        self.fleet.update(entries)

        def capacities():
            # Listing the same entries again must not change anything.
            self.fleet.update(entries)
            return [self.fleet.batch_capacity("s", pressing=one) for one in (False, True)]

        self.assertEqual(capacities(), [6, 18])
        self.clock.monotonic.return_value = 4.9
        self.assertEqual(capacities(), [6, 18])
        self.clock.monotonic.return_value = 5.1
        self.assertEqual(capacities(), [12, 18])

    def test_an_item_larger_than_the_memory_is_left_to_an_empty_engine(self):
        self.assertEqual(self.place(50_000), "n")
        self.assertEqual([self.place(50_000), self.place(50_000)], ["f", None])

    def test_items_start_only_where_few_prompt_tokens_are_pending(self):
        placed = [self.fleet.place_batch("s", 2_000, 0, (), pressing=True) for _ in range(5)]
        self.assertEqual([one and one.engine.life for one in placed], ["n", "n", "f", "f", None])


class ReportScheduleTest(unittest.TestCase):
    def turns(self, peers, seconds, change_every, rate=ZONE_REPORT_RATE):
        pace = ReportSchedule(rate)
        taken = []
        for step in range(int(seconds * 100)):
            if step % int(change_every * 100) == 0:
                pace.record_change()
            if pace.take_turn(peers, step / 100):
                taken.append(step / 100)
        return taken

    def test_few_peers_receive_every_change_soon(self):
        gaps = self.turns(3, 4, 0.1)
        self.assertEqual(len(gaps), 40)

    def test_reports_without_changes_are_sent_periodically(self):
        taken = self.turns(3, 4, 100)
        self.assertEqual(len(taken), 4 / IDLE_INTERVAL)

    @given(st.integers(1, 60), st.sampled_from([0.01, 0.05, 0.3]))
    def test_received_reports_are_bounded(self, peers, change_every):
        taken = self.turns(peers, 5, change_every)
        heard = len(taken) * peers / 5
        self.assertLessEqual(heard, max(ZONE_REPORT_RATE, peers / IDLE_INTERVAL) + peers / 5)

    @given(st.lists(st.integers(0, 300), max_size=20), st.integers(1, 60))
    def test_every_change_is_reported(self, changes, peers):
        pace = ReportSchedule(ZONE_REPORT_RATE)
        sent_at = -1
        for step in range(400):
            if step in changes:
                pace.record_change()
            if pace.take_turn(peers, step / 100):
                sent_at = step
        self.assertGreaterEqual(sent_at, max(changes, default=0))


def report(node_id, incarnation=1, sequence=1, **fields):
    return LoadReport(node_id=node_id, incarnation=incarnation, sequence=sequence, **fields)


class PeerViewTest(unittest.TestCase):
    def test_silent_peers_are_dropped(self):
        view = PeerView("me")
        view.observe(report("a"), 0.0)
        self.assertTrue(view.can_run_jobs("a", 1))
        self.assertEqual(view.expire(SILENT_AFTER - 0.5).nodes, [])
        self.assertEqual(view.expire(SILENT_AFTER + 0.1).nodes, ["a"])
        self.assertFalse(view.can_run_jobs("a", 1))

    def test_a_suspended_node_drops_no_peer(self):
        view = PeerView("me")
        view.observe(report("a"), 0.0)
        view.expire(0.5)
        self.assertEqual(view.expire(6.5).nodes, [])
        self.assertTrue(view.can_run_jobs("a", 1))
        for second in range(7, 9):
            view.expire(second)
        self.assertEqual(view.expire(9.0).nodes, ["a"])

    def test_old_reports_are_ignored(self):
        view = PeerView("me")
        self.assertTrue(view.observe(report("a", sequence=5), 0.0))
        self.assertFalse(view.observe(report("a", sequence=4), 0.1))

    def test_a_new_incarnation_counts_although_its_clock_went_back(self):
        view = PeerView("me")
        view.observe(report("a", incarnation=9, sequence=5), 0.0)
        self.assertTrue(view.observe(report("a", incarnation=3, sequence=1), 0.1))
        self.assertFalse(view.can_run_jobs("a", 9))

    def test_leaving_nodes_and_those_without_the_store_run_no_jobs(self):
        view = PeerView("me")
        view.observe(report("a", leaving=True), 0.0)
        view.observe(report("b", log_silence_ms=9_000), 0.0)
        self.assertFalse(view.can_run_jobs("a", 1) or view.can_run_jobs("b", 1))
        self.assertEqual(view.successor("job", include_self=True), "me")

    def test_items_that_run_at_a_leaving_node_are_left_to_it(self):
        view = PeerView("me")
        running = [RunningItem(job_id="j", item_index=2)]
        view.observe(report("a", leaving=True, running=running), 0.0)
        view.observe(report("b", running=running[:0]), 0.0)
        self.assertEqual(view.running_on_leaving_peers(), {("j", 2)})
        view.expire(SILENT_AFTER + 1)
        self.assertEqual(view.running_on_leaving_peers(), set())

    def test_all_nodes_name_one_successor(self):
        names = ["a", "b", "c"]
        chosen = set()
        for own in names:
            view = PeerView(own)
            for name in names:
                view.observe(report(name), 0.0)
            chosen.add(view.successor("job", include_self=True))
        self.assertEqual(len(chosen), 1)


if __name__ == "__main__":
    unittest.main()
