import heapq
import itertools
import random
import unittest
from datetime import timedelta

from hickorywind.admission.accountlimits import AccountLimits
from hickorywind.ports.catalog import AccountId, AccountQuota
from hickorywind.results import Outcome, ResultCode
from hickorywind.util.clock import ManualClock, milliseconds

CREW, OFFICE = AccountId("crew"), AccountId("office")


class AccountLimitsTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.limits = AccountLimits(self.clock, random.Random(1))

    def set_quota(self, rate_per_s, burst, entry_count=1):
        self.limits.update({CREW: AccountQuota(rate_per_s, burst)}, entry_count)

    def admitted(self, account, count):
        return sum(self.limits.admit(account) is None for _ in range(count))

    def test_burst_then_rate(self):
        self.set_quota(10, 20)
        self.assertEqual(self.admitted(CREW, 50), 20)
        self.clock.advance(timedelta(seconds=1))
        self.assertEqual(self.admitted(CREW, 50), 10)
        self.clock.advance(timedelta(hours=1))
        self.assertEqual(self.admitted(CREW, 50), 20)

    def test_refusal_says_that_nothing_ran_and_when_to_return(self):
        self.set_quota(0.5, 1)
        self.limits.admit(CREW)
        delays = []
        for _ in range(100):
            refusal = self.limits.admit(CREW)
            self.assertEqual(refusal.code, ResultCode.QUOTA_EXCEEDED)
            self.assertEqual(refusal.outcome, Outcome.NOT_RUN)
            self.assertTrue(refusal.retry_allowed)
            delays.append(refusal.retry_after_ms)
        self.assertGreaterEqual(min(delays), 2_000)
        self.assertLessEqual(max(delays), 20_000)
        self.assertGreater(len(set(delays)), 50)

    def test_accounts_are_independent_and_none_is_limited_without_a_quota(self):
        self.set_quota(1, 1)
        self.assertEqual(self.admitted(CREW, 10), 1)
        self.assertEqual(self.admitted(OFFICE, 1_000), 1_000)
        self.limits.update({}, 1)
        self.assertEqual(self.admitted(CREW, 10), 10)

    def test_share_of_each_entry_and_its_change(self):
        self.set_quota(40, 40, entry_count=4)
        self.assertEqual(self.admitted(CREW, 50), 10)
        self.set_quota(40, 40, entry_count=1)
        self.assertEqual(self.admitted(CREW, 50), 0)
        self.clock.advance(timedelta(seconds=0.5))
        self.set_quota(40, 40, entry_count=100)
        self.assertEqual(self.admitted(CREW, 50), 1)
        self.clock.advance(timedelta(seconds=10))
        self.assertEqual(self.admitted(CREW, 50), 1)
        self.set_quota(40, 40, entry_count=0)
        self.clock.advance(timedelta(seconds=1))
        self.assertEqual(self.admitted(CREW, 50), 40)

    def test_overload_admits_the_quota_and_callers_that_return_as_told_end_soon(self):
        self.set_quota(50, 50)
        arrivals = [(milliseconds(number), number) for number in range(500)]
        start = self.clock.now()
        waiting, sequence, admitted_at, refusals = list(arrivals), itertools.count(500), [], 0
        while waiting:
            due, _ = heapq.heappop(waiting)
            self.clock.advance(start + due - self.clock.now())
            refusal = self.limits.admit(CREW)
            if refusal is None:
                admitted_at.append(due)
            else:
                refusals += 1
                again = due + milliseconds(refusal.retry_after_ms)
                heapq.heappush(waiting, (again, next(sequence)))
        for number, instant in enumerate(admitted_at, start=1):
            self.assertLessEqual(number, 50 + 50 * instant.total_seconds() + 1e-6)
        # 450 operations beyond the burst take 9 s at least.
        self.assertLess(admitted_at[-1], timedelta(seconds=27))
        self.assertLess(refusals, 2 * 500)
