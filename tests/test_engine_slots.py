"""Slots of one engine: online requests before batch items, headroom, and batch beside online
work."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from postvalve.core.admission.engine_slots import (
    BURST_WINDOW,
    ONLINE_MEMORY,
    EngineSlots,
    SlotPolicy,
)
from postvalve.core.routing.router import EngineCandidate, Router


class EngineSlotsTest(unittest.TestCase):
    def test_online_takes_the_place_of_batch_and_never_waits_for_it(self):
        slots = EngineSlots(4, SlotPolicy())
        for number in range(4):
            self.assertTrue(slots.admit_batch(f"b{number}", 0, float(number)))
        decision = slots.admit_online("o", "n", 10.0)
        self.assertTrue(decision.granted)
        self.assertEqual(decision.preempted, ("b3",))

    def test_the_least_important_and_shortest_goes_first(self):
        slots = EngineSlots(3, SlotPolicy())
        slots.admit_batch("important", 0, 5.0)
        slots.admit_batch("long", 1, 1.0)
        slots.admit_batch("short", 1, 4.0)
        self.assertEqual(slots.admit_online("o", "n", 10.0).preempted, ("short",))

    def test_headroom_follows_bursts_and_forgets_them(self):
        slots = EngineSlots(16, SlotPolicy(minimum_headroom=1))
        self.assertEqual(slots.headroom(0.0), 1)
        for number in range(6):
            slots.admit_online(f"o{number}", "n", 1.0)
        for number in range(6):
            slots.release(f"o{number}", 2.0)
        self.assertEqual(slots.headroom(3.0), 6)
        self.assertEqual(slots.headroom(3.0 + BURST_WINDOW), 1)

    def test_batch_beside_online_is_bounded_and_comes_back(self):
        slots = EngineSlots(16, SlotPolicy(batch_beside_online=2))
        for number in range(10):
            slots.admit_batch(f"b{number}", 0, 0.0)
        self.assertEqual(len(slots.admit_online("o", "n", 1.0).preempted), 8)
        self.assertEqual(slots.batch_capacity(1.0), 0)
        slots.release("o", 2.0)
        self.assertEqual(slots.batch_capacity(2.0), 0)
        self.assertGreater(slots.batch_capacity(2.0 + ONLINE_MEMORY), 0)

    def test_the_queue_is_bounded(self):
        slots = EngineSlots(2, SlotPolicy(online_queue=3))
        granted = [slots.admit_online(str(number), "n", 0.0).granted for number in range(6)]
        self.assertEqual(granted, [True] * 5 + [False])

    def test_slots_of_a_dead_gateway_are_freed(self):
        slots = EngineSlots(2, SlotPolicy())
        slots.admit_online("a", "dead", 0.0)
        slots.admit_online("b", "alive", 0.0)
        slots.release_gateway("dead", 1.0)
        self.assertEqual(slots.online_count, 1)

    def test_a_slot_whose_release_was_lost_is_freed_in_the_end(self):
        slots = EngineSlots(2, SlotPolicy())
        slots.admit_online("old", "n", 0.0)
        slots.admit_online("new", "n", 50.0)
        slots.release_older(10.0, 60.0)
        self.assertEqual(slots.online_count, 1)

    @settings(derandomize=True, max_examples=300)
    @given(
        st.lists(st.tuples(st.sampled_from(["online", "batch", "release"]), st.integers(0, 9))),
        st.integers(1, 5),
        st.integers(0, 3),
    )
    def test_never_more_than_the_slots(self, steps, count, headroom):
        slots = EngineSlots(count, SlotPolicy(headroom, 1))
        inside = set()
        for now, (step, number) in enumerate(steps):
            name = f"{step}{number}"
            if step == "release":
                for released in (f"online{number}", f"batch{number}"):
                    slots.release(released, float(now))
                    inside.discard(released)
            elif name in inside:
                continue
            elif step == "online":
                decision = slots.admit_online(name, "n", float(now))
                inside -= set(decision.preempted)
                inside |= {name} if decision.granted else set()
                # Only online work can make the engine refuse an online request.
                self.assertEqual(decision.granted, name in inside)
                if not decision.granted:
                    self.assertEqual(slots.online_count, count)
            elif slots.admit_batch(name, 0, float(now)):
                inside.add(name)
            self.assertEqual(slots.online_count + slots.batch_count, len(inside))
            self.assertLessEqual(len(inside), count)


class RouterTest(unittest.TestCase):
    def candidates(self, loads, zones=None):
        zones = zones or ["a"] * len(loads)
        return [
            EngineCandidate(f"e{number}", "n", zone, load, 16)
            for number, (load, zone) in enumerate(zip(loads, zones, strict=True))
        ]

    class First:
        """A random source that always picks the first elements."""

        def sample(self, population, k):
            return list(population)[:k]

        def uniform(self, low, high):
            return low

    def order(self, candidates, key="k"):
        return [one.engine_id for one in Router("a", self.First()).order(candidates, key)]

    def test_every_candidate_is_tried_once(self):
        order = self.order(self.candidates([3, 0, 16, 7]))
        self.assertEqual(sorted(order), ["e0", "e1", "e2", "e3"])
        self.assertEqual(order[-1], "e2")

    def test_light_load_keeps_to_one_engine(self):
        for key in "abcdefgh":
            self.assertEqual(self.order(self.candidates([1, 0, 0, 0]), key)[0], "e0")

    def test_heavy_load_spreads(self):
        firsts = {self.order(self.candidates([8, 8, 8, 8]), str(key))[0] for key in range(50)}
        self.assertEqual(firsts, {"e0", "e1", "e2", "e3"})

    def test_the_own_zone_comes_first_until_it_is_full(self):
        near = self.order(self.candidates([2, 0], ["a", "b"]))
        self.assertEqual(near[0], "e0")
        far = self.order(self.candidates([15, 0], ["a", "b"]))
        self.assertEqual(far[0], "e1")


if __name__ == "__main__":
    unittest.main()
