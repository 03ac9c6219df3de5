import unittest
from datetime import timedelta

from hickorywind.admission.concurrency import (
    MAX_LIMIT,
    MIN_LIMIT,
    STALL_TIMEOUT,
    ConcurrencyLimit,
)

START = timedelta(seconds=10)


def run(limit, duration_ms, count, now=START):
    for _ in range(count):
        now += timedelta(milliseconds=50)
        limit.start(now)
        limit.finish(timedelta(milliseconds=duration_ms), now)
    return now


class ConcurrencyLimitTest(unittest.TestCase):
    def test_fast_answers_raise_the_limit_to_its_maximum(self):
        limit = ConcurrencyLimit()
        run(limit, 20, 500)
        self.assertEqual(limit.max_in_flight, MAX_LIMIT)

    def test_queueing_at_the_server_lowers_the_limit_and_recovery_raises_it(self):
        limit = ConcurrencyLimit()
        now = run(limit, 20, 100)
        now = run(limit, 600, 40, now)
        lowered = limit.max_in_flight
        self.assertLess(lowered, 3)
        run(limit, 20, 200, now)
        self.assertGreater(limit.max_in_flight, lowered)

    def test_one_statement_is_always_allowed(self):
        limit = ConcurrencyLimit()
        for number in range(50):
            limit.record_refusal(START + timedelta(seconds=number))
        self.assertEqual(limit.max_in_flight, MIN_LIMIT)
        self.assertTrue(limit.has_capacity)

    def test_stall_needs_work_in_flight_and_no_answer(self):
        limit = ConcurrencyLimit()
        late = START + STALL_TIMEOUT + timedelta(milliseconds=1)
        self.assertFalse(limit.is_stalled(late))
        limit.start(START)
        self.assertTrue(limit.is_stalled(late))
        limit.start(late)
        limit.finish(timedelta(milliseconds=5), late)
        self.assertFalse(limit.is_stalled(late))

    def test_unanswered_statement_that_ends_frees_capacity(self):
        limit = ConcurrencyLimit()
        for _ in range(3):
            limit.start(START)
        self.assertFalse(limit.has_capacity)
        limit.finish_without_answer()
        self.assertTrue(limit.has_capacity)
