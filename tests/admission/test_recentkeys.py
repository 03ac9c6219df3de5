import unittest

from hickorywind.admission.recentkeys import RecentKeys
from hickorywind.util.clock import ManualClock, milliseconds


class RecentKeysTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.keys = RecentKeys(milliseconds(100), max_count=3)

    def add(self, key: int) -> bool:
        return self.keys.add(key, self.clock.now())

    def test_key_is_added_once_within_its_maximum_age(self) -> None:
        self.assertTrue(self.add(1))
        self.clock.advance(milliseconds(100))
        self.assertFalse(self.add(1))
        self.clock.advance(milliseconds(1))
        self.assertFalse(self.keys.contains(1, self.clock.now()))
        self.assertTrue(self.add(1))

    def test_oldest_key_is_dropped_beyond_the_maximum_count(self) -> None:
        for key in range(10):
            self.add(key)
        self.assertEqual(len(self.keys), 3)
        held = [key for key in range(10) if self.keys.contains(key, self.clock.now())]
        self.assertEqual(held, [7, 8, 9])
