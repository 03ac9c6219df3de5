import random
import unittest
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st

from hickorywind.ids import Rank
from hickorywind.results import Outcome, Result, ResultCode
from hickorywind.routing.backoff import FullJitter, jittered_ms
from hickorywind.routing.linkbudget import LinkBudget
from hickorywind.routing.retry import GiveUp, RetryBudget, RetryLater, RetryPolicy, TryNextTarget
from hickorywind.util.clock import ManualClock, milliseconds

BEHIND = Result.not_run(ResultCode.REPLICA_BEHIND, "")
FULL = Result.not_run(ResultCode.QUEUE_FULL, "", 100)
LOST = Result.unknown(ResultCode.POOL_LOST, "")


class PolicyTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.budget = RetryBudget(10)

    def policy(self, repeatable, deadline_ms=1000):
        deadline = self.clock.now() + milliseconds(deadline_ms)
        return RetryPolicy(self.clock, random.Random(1), self.budget, deadline, repeatable)

    def test_request_proven_not_run_is_rerouted_even_if_not_repeatable(self):
        policy = self.policy(repeatable=False)
        self.assertEqual(policy.decide(BEHIND, True), TryNextTarget())
        self.assertIsInstance(policy.decide(BEHIND, False), RetryLater)

    def test_unknown_outcome_is_retried_only_if_repeatable(self):
        self.assertEqual(self.policy(False).decide(LOST, True), GiveUp())
        self.assertEqual(self.policy(True).decide(LOST, True), TryNextTarget())

    def test_overload_refusal_is_final(self):
        for repeatable in (False, True):
            self.assertEqual(self.policy(repeatable).decide(FULL, True), GiveUp())

    def test_nothing_is_retried_after_the_deadline(self):
        policy = self.policy(True)
        self.clock.advance(milliseconds(1000))
        self.assertEqual(policy.decide(BEHIND, True), GiveUp())

    def test_wait_does_not_exceed_the_deadline(self):
        decision = self.policy(True, deadline_ms=0.001).decide(BEHIND, False)
        self.assertEqual(decision, GiveUp())

    def test_budget_is_a_share_of_traffic(self):
        budget = self.budget
        self.assertLess(sum(budget.spend() for _ in range(1000)), 30)
        for _ in range(100):
            budget.count_request()
        granted = sum(budget.spend() for _ in range(100))
        self.assertIn(granted, (9, 10))

    @settings(max_examples=200)
    @given(st.sampled_from(ResultCode), st.sampled_from(Outcome), st.booleans())
    def test_request_that_may_have_run_is_retried_only_if_repeatable(
        self, code, outcome, targets_left
    ):
        decision = self.policy(repeatable=False).decide(Result(code, outcome, ""), targets_left)
        if outcome is not Outcome.NOT_RUN:
            self.assertEqual(decision, GiveUp())


class BackoffTest(unittest.TestCase):
    def test_waits_are_spread_and_bounded(self):
        jitter = FullJitter(milliseconds(20), milliseconds(400), random.Random(1))
        waits = [jitter.next_wait() for _ in range(50)]
        self.assertLessEqual(max(waits), milliseconds(400))
        self.assertGreater(len(set(waits)), 40)
        spread = {jittered_ms(1000, random.Random(seed)) for seed in range(200)}
        self.assertTrue(500 <= min(spread) < 600 and 1400 < max(spread) <= 1500)


class LinkBudgetTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.budget = LinkBudget(self.clock, 1000)

    def test_part_of_the_budget_is_reserved_for_urgent_work(self):
        self.budget.charge(1100)
        allowed = {rank: self.budget.allows(rank, 100) for rank in Rank}
        expected = {Rank.URGENT: True, Rank.STANDARD: True, Rank.BACKGROUND: False}
        self.assertEqual(allowed, expected)
        self.budget.charge(500)
        self.assertFalse(self.budget.allows(Rank.STANDARD, 100))
        self.assertTrue(self.budget.allows(Rank.URGENT, 100))

    def test_message_is_allowed_after_the_wait(self):
        self.budget.charge(2000)
        for rank in Rank:
            self.assertFalse(self.budget.allows(rank, 300))
        wait_ms = self.budget.wait_ms(Rank.STANDARD, 300)
        self.clock.advance(timedelta(milliseconds=wait_ms))
        self.assertTrue(self.budget.allows(Rank.STANDARD, 300))

    def test_message_larger_than_the_burst_is_allowed_when_full(self):
        self.assertTrue(self.budget.allows(Rank.BACKGROUND, 10**9))

    def test_long_run_rate_is_kept(self):
        sent = 0
        for _ in range(1000):
            self.clock.advance(milliseconds(100))
            while self.budget.allows(Rank.URGENT, 200):
                self.budget.charge(200)
                sent += 200
        self.assertLessEqual(sent, 100 * 1000 + 2000)
