import unittest
from datetime import timedelta

from hickorywind.membership.copylag import CopyLag

START = timedelta(seconds=100)
SECOND = timedelta(seconds=1)
PREFIX = "op/config"


class CopyLagTest(unittest.TestCase):
    def setUp(self):
        self.lag = CopyLag()

    def test_copy_is_behind_until_it_includes_what_was_heard(self):
        self.assertTrue(self.lag.record_heard(PREFIX, 7, START))
        self.assertFalse(self.lag.record_heard(PREFIX, 7, START + SECOND))
        self.assertEqual(self.lag.age(PREFIX, START + 2 * SECOND), 2 * SECOND)
        self.assertIsNone(self.lag.record_copied(PREFIX, 6, START + 2 * SECOND))
        self.assertEqual(self.lag.record_copied(PREFIX, 8, START + 3 * SECOND), 3 * SECOND)
        self.assertIsNone(self.lag.age(PREFIX, START + 3 * SECOND))

    def test_age_counts_from_the_oldest_revision_that_is_missing(self):
        self.lag.record_heard(PREFIX, 7, START)
        self.lag.record_heard(PREFIX, 9, START + 2 * SECOND)
        self.assertEqual(self.lag.record_copied(PREFIX, 7, START + 3 * SECOND), 3 * SECOND)
        self.assertEqual(self.lag.newest_missing(PREFIX), 9)
        self.assertEqual(self.lag.age(PREFIX, START + 3 * SECOND), SECOND)

    def test_prefixes_are_apart(self):
        self.lag.record_heard(PREFIX, 7, START)
        self.assertIsNone(self.lag.record_copied("servers/", 8, START))
        self.assertIsNone(self.lag.newest_missing("servers/"))


if __name__ == "__main__":
    unittest.main()
