import random
import unittest
from datetime import timedelta

from hickorywind.ids import BackendId, Rank
from hickorywind.results import Result, ResultCode
from hickorywind.routing.throttle import Throttle
from hickorywind.util.clock import ManualClock

BACKEND = BackendId("b0")
REFUSED = Result.not_run(ResultCode.WOULD_MISS_DEADLINE, "", 700)


class ThrottleTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.throttle = Throttle(self.clock, random.Random(5))

    def offer(self, rank, count, admit_every, step_ms=1):
        """Offer requests of which the pool admits one in ``admit_every``; count those sent."""
        sent = 0
        for _ in range(count):
            self.clock.advance(timedelta(milliseconds=step_ms))
            if self.throttle.check(BACKEND, rank) is None:
                sent += 1
                admitted = self.clock.now() // timedelta(milliseconds=step_ms) % admit_every == 0
                self.throttle.record_result(BACKEND, rank, Result.ok() if admitted else REFUSED)
        return sent

    def test_no_request_is_refused_while_the_pool_admits_all(self):
        self.assertEqual(self.offer(Rank.URGENT, 2_000, admit_every=1), 2_000)

    def test_most_requests_are_refused_under_overload(self):
        self.offer(Rank.BACKGROUND, 2_000, admit_every=20)
        self.assertLess(self.offer(Rank.BACKGROUND, 2_000, admit_every=20), 600)

    def test_refusal_contains_a_retry_delay(self):
        self.offer(Rank.BACKGROUND, 2_000, admit_every=1_000_000)
        results = [self.throttle.check(BACKEND, Rank.BACKGROUND) for _ in range(50)]
        refusals = [result for result in results if result is not None]
        self.assertTrue(refusals)
        for refusal in refusals:
            self.assertTrue(350 <= refusal.retry_after_ms <= 1_050)

    def test_overload_of_one_rank_does_not_affect_others(self):
        self.offer(Rank.BACKGROUND, 2_000, admit_every=50)
        self.assertEqual(self.offer(Rank.URGENT, 100, admit_every=1), 100)

    def test_some_requests_always_reach_the_pool(self):
        self.offer(Rank.BACKGROUND, 5_000, admit_every=1_000_000)
        self.assertGreater(self.offer(Rank.BACKGROUND, 5_000, admit_every=1_000_000), 0)

    def test_throttling_ends_soon_after_the_overload(self):
        self.offer(Rank.BACKGROUND, 2_000, admit_every=1_000_000)
        self.clock.advance(timedelta(seconds=15))
        self.assertIsNone(self.throttle.check(BACKEND, Rank.BACKGROUND))
