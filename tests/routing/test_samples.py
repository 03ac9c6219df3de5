import unittest
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from hickorywind.ids import LogPosition
from hickorywind.routing.samples import MIN_SAMPLE_INTERVAL, PositionSamples


def at(milliseconds):
    return timedelta(milliseconds=milliseconds)


class PositionSamplesTest(unittest.TestCase):
    def test_oldest_sufficient_sample_is_chosen(self):
        samples = PositionSamples()
        for number in range(5):
            samples.add(at(1000 + 100 * number), LogPosition(1, number))
        self.assertEqual(samples.position_since(at(1150)), LogPosition(1, 2))
        self.assertIsNone(samples.position_since(at(1401)))

    def test_sample_exactly_as_old_as_allowed_suffices(self):
        samples = PositionSamples()
        samples.add(at(1000), LogPosition(1, 4))
        self.assertEqual(samples.position_since(at(1000)), LogPosition(1, 4))

    def test_cleared_samples_are_not_used(self):
        samples = PositionSamples()
        samples.add(at(1000), LogPosition(1, 4))
        samples.clear()
        self.assertIsNone(samples.position_since(at(0)))
        self.assertIsNone(samples.newest())

    @given(st.lists(st.tuples(st.integers(0, 5000), st.integers(0, 50)), max_size=60))
    def test_returned_position_is_never_older_than_the_bound(self, offered):
        samples = PositionSamples()
        known = {}
        for taken, number in offered:
            samples.add(at(taken), LogPosition(1, number))
            known.setdefault(number, []).append(at(taken))
        for oldest in (at(0), at(1000), at(2500), at(4999)):
            position = samples.position_since(oldest)
            if position is not None:
                self.assertTrue(any(taken >= oldest for taken in known[position.offset]))

    def test_samples_closer_than_the_interval_are_ignored(self):
        samples = PositionSamples()
        samples.add(at(1000), LogPosition(1, 1))
        samples.add(at(1000) + MIN_SAMPLE_INTERVAL / 2, LogPosition(1, 2))
        self.assertEqual(samples.newest(), (at(1000), LogPosition(1, 1)))
