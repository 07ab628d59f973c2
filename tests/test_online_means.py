"""Room for batch items by what online work had a moment ago, and where a heap of it begins."""

import random
import unittest

from postvalve.core.admission.engine_use import EngineUse
from postvalve.core.admission.online_means import KEPT_WINDOWS, WINDOW, OnlineMeans, is_rising


class OnlineMeansTest(unittest.TestCase):
    def test_the_mean_is_that_of_the_window_before(self):
        means = OnlineMeans()
        for online in (2, 4, 6):
            means.note(1, online)
        self.assertEqual(means.at(1), 0.0)
        means.roll(WINDOW)
        means.note(1, 8)
        self.assertEqual(means.at(1), 4.0)
        means.roll(2 * WINDOW)
        self.assertEqual(means.at(1), 8.0)

    def test_what_did_not_change_has_stayed(self):
        means = OnlineMeans()
        for online in (9, 3):
            means.note(1, online)
        means.roll(5 * WINDOW)
        self.assertEqual(means.at(1), 3.0)

    def test_engines_without_online_work_are_forgotten(self):
        means = OnlineMeans()
        for engine in range(100):
            means.note(engine, 1)
            means.note(engine, 0)
        means.note(7, 1)
        means.roll(WINDOW * (KEPT_WINDOWS + 1))
        self.assertEqual(list(means._engines), [7])


class RoomInAHeapTest(unittest.TestCase):
    def use(self, before, now):
        use = EngineUse()
        for _ in range(before):
            use.enter("e", batch=False)
        use.means.roll(WINDOW)
        use.means.roll(2 * WINDOW)
        for _ in range(before - now):
            use.leave("e", batch=False)
        return use

    def test_a_slot_that_is_free_for_a_moment_is_no_room(self):
        self.assertEqual(self.use(7, 5).batch_room("e", 8), 0)
        self.assertEqual(self.use(3, 0).batch_room("e", 8), 4)

    def test_there_is_room_again_when_the_heap_is_over(self):
        use = self.use(7, 0)
        use.means.roll(4 * WINDOW)
        self.assertEqual(use.batch_room("e", 8), 7)

    def test_steady_work_changes_nothing(self):
        for pressing in (True, False):
            steady, fresh = self.use(3, 3), EngineUse()
            for _ in range(3):
                fresh.enter("e", batch=False)
            rooms = [one.batch_room("e", 8, pressing=pressing) for one in (steady, fresh)]
            self.assertEqual(rooms[0], rooms[1])


class RiseTest(unittest.TestCase):
    """Fifteen engines with 8 slots: requests of 0.75 s, 0.383 and 1.87 times 60 a second."""

    def rises(self, rates, seed):
        """Share of the looks, 20 ms apart, at which the work seems to rise, for each rate."""
        chance, use, ends, found = random.Random(seed), EngineUse(), [], []
        lives = [f"e{number}" for number in range(15)]
        now = 0.0
        for rate, seconds in rates:
            looks = []
            for _ in range(round(seconds / 0.02)):
                now += 0.02
                use.means.roll(now)
                while ends and ends[0][0] <= now:
                    use.leave(ends.pop(0)[1], batch=False)
                for _ in range(sum(chance.random() < rate * 0.002 for _ in range(10))):
                    life = chance.choice(lives)
                    use.enter(life, batch=False)
                    ends.append((now + 0.75, life))
                looks.append(use.is_rising(lives))
            found.append(looks)
        return found

    def test_a_heap_is_noticed_while_it_begins_and_a_lull_is_hardly_ever_taken_for_one(self):
        for seed in range(5):
            _, lull, heap = self.rises([(23, 2.0), (23, 3.4), (112, 2.4)], seed)
            self.assertIn(True, heap[:15])
            self.assertLess(sum(lull), 0.1 * len(lull))

    def test_nothing_rises_where_there_is_nothing(self):
        self.assertFalse(is_rising(0, 0.0))
        self.assertFalse(EngineUse().is_rising(["e"]))


if __name__ == "__main__":
    unittest.main()
