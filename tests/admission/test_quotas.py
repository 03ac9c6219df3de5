import random
import unittest
from datetime import timedelta

from hickorywind.admission.quotas import (
    QUOTA_SETTLING_TIME,
    SHARED_FRACTION,
    TOKEN_LIFETIME,
    UNREACHABLE_TIME,
    Admitted,
    Ask,
    Exhausted,
    Granted,
    NotKept,
    QuotaAllowance,
    QuotaHomes,
    QuotaLedger,
    ReachableHomes,
    Refused,
    TokenBucket,
)
from hickorywind.ports.catalog import AccountQuota
from tests.admission.quotafleet import SLACK, ZONE_COUNT, QuotaFleet

SIZES = (8, 86, 300)
LARGE, MIDDLE = "a0", "a15"  # 28% and 1% of the load
HOT = 7.0
START = timedelta(seconds=100)
SECOND = timedelta(seconds=1)


class LoadTest(unittest.TestCase):
    """Load from 4 s to 25 s; the hot account's is from 10 s to 18 s, faults are at 12 s."""

    def play(self, check, hot=LARGE, factor=HOT, sizes=SIZES, prepare=lambda fleet: None):
        for size in sizes:
            with self.subTest(hosts=size, hot=hot):
                fleet = QuotaFleet(size)
                fleet.load(4, 10)
                fleet.load(10, 18, {hot: factor})
                fleet.load(18, 25)
                fleet.home = fleet.hosts["h0"].homes.order(hot)[0]
                fleet.others = [account for account in fleet.usual if account != hot]
                prepare(fleet)
                fleet.run()
                check(fleet)
                for account in fleet.usual:
                    if account not in fleet.lowered:
                        self.assertLessEqual(fleet.worst_excess(account), 0, account)

    def assert_served(self, fleet, begin_s, end_s, fraction=0.9, hot=LARGE):
        served = fleet.count(fleet.ran, hot, begin_s, end_s)
        limit = fleet.quotas[hot].rate_per_s * (end_s - begin_s)
        self.assertGreaterEqual(served, fraction * limit)

    def assert_refused_below(self, share, fleet, begin_s, end_s):
        self.assertLess(fleet.refused_share(begin_s, end_s, fleet.others), share)

    def test_usual_load_is_hardly_refused(self):
        def check(fleet):
            self.assertLess(fleet.refused_share(4, 25, fleet.usual), 0.01)

        self.play(check, factor=1.0)

    def test_hot_account_gets_its_limit_and_urgent_work_first(self):
        def check(fleet):
            self.assert_served(fleet, 12, 18)
            self.assert_refused_below(0.01, fleet, 10, 25)
            share = {
                rank: fleet.count(fleet.ran, LARGE, 12, 18, (rank,))
                / (fleet.count(fleet.refused, LARGE, 12, 18, (rank,)) + 1)
                for rank in (0, 1, 2)
            }
            self.assertGreater(share[0], 9)
            self.assertGreater(share[1], share[2])

        self.play(check)

    def test_hot_middle_account(self):
        self.play(lambda fleet: self.assert_served(fleet, 12, 18, hot=MIDDLE), hot=MIDDLE)

    def test_lowered_limit(self):
        def prepare(fleet):
            old = fleet.quotas[LARGE]
            lowered = AccountQuota(old.rate_per_s / 4, old.burst / 4)
            fleet.at(12, fleet.limit, LARGE, lowered)

        def check(fleet):
            self.assertLessEqual(fleet.worst_excess(LARGE, begin_s=13), 0)
            self.assert_served(fleet, 13, 25)
            self.assert_refused_below(0.01, fleet, 13, 25)

        self.play(check, factor=1.0, prepare=prepare)

    def check_cut(self, hot, is_home_cut, sizes):
        def prepare(fleet):
            count = len(fleet.hosts) // ZONE_COUNT
            others = [name for name in fleet.hosts if name != fleet.home]
            cut = [fleet.home, *others[: count - 1]] if is_home_cut else others[:count]
            fleet.at(12, fleet.separate, cut, 8)

        def check(fleet):
            self.assert_served(fleet, 12, 18, 0.7, hot)
            self.assert_refused_below(0.2, fleet, 12, 20)
            self.assert_refused_below(0.02, fleet, 24, 25)

        self.play(check, hot, sizes=sizes, prepare=prepare)

    def test_zone_cut_off(self):
        self.check_cut(LARGE, False, SIZES)

    def test_zone_cut_off_with_the_home(self):
        self.check_cut(LARGE, True, SIZES)

    def test_zone_cut_off_while_a_middle_account_is_hot(self):
        self.check_cut(MIDDLE, False, (86,))
        self.check_cut(MIDDLE, True, (8,))

    def test_half_of_the_hosts_cut_off(self):
        self.play(
            lambda fleet: self.assert_served(fleet, 12, 18, 0.5),
            sizes=(86, 300),
            prepare=lambda fleet: fleet.at(12, fleet.separate, list(fleet.hosts)[::2], 8),
        )

    def check_killed_home(self, hot):
        def check(fleet):
            self.assert_served(fleet, 12, 18, 0.9, hot)
            self.assert_refused_below(0.05, fleet, 12, 18)

        self.play(check, hot, prepare=lambda fleet: fleet.at(12, fleet.kill, [fleet.home], 2.0))

    def test_home_killed(self):
        self.check_killed_home(LARGE)

    def test_home_killed_while_a_middle_account_is_hot(self):
        self.check_killed_home(MIDDLE)

    def test_home_killed_for_good(self):
        def prepare(fleet):
            alive = [name for name in fleet.hosts if name != fleet.home]
            fleet.at(12, fleet.kill, [fleet.home], 30.0)
            fleet.at(12, fleet.see_later, alive, alive)

        def check(fleet):
            self.assert_served(fleet, 12, 18)
            self.assert_refused_below(0.02, fleet, 12, 25)

        self.play(check, prepare=prepare)

    def test_home_that_joins_takes_over_from_the_former_one(self):
        def prepare(fleet):
            others = [name for name in fleet.hosts if name != fleet.home]
            fleet.kill([fleet.home], 12.0)
            fleet.see(others, others)
            fleet.at(13, fleet.heal)

        def check(fleet):
            self.assert_served(fleet, 12, 18)
            self.assert_refused_below(0.02, fleet, 12, 25)

        self.play(check, prepare=prepare)

    def test_half_of_the_hosts_killed(self):
        def check(fleet):
            self.assert_refused_below(0.1, fleet, 12, 18)
            self.assert_refused_below(0.02, fleet, 17, 25)
            self.assert_served(fleet, 12, 18)

        self.play(
            check,
            prepare=lambda fleet: fleet.at(12, fleet.kill, list(fleet.hosts)[::2], 2.0),
        )

    def check_restart(self, hot):
        def check(fleet):
            self.assert_refused_below(0.05, fleet, 12, 18)
            self.assert_refused_below(0.02, fleet, 15, 25)
            self.assert_served(fleet, 12, 18, 0.9, hot)

        self.play(check, hot, prepare=lambda fleet: fleet.at(12, fleet.restart, list(fleet.hosts)))

    def test_all_hosts_restarted(self):
        self.check_restart(LARGE)

    def test_all_hosts_restarted_while_a_middle_account_is_hot(self):
        self.check_restart(MIDDLE)


class TokenBucketTest(unittest.TestCase):
    def test_lower_limits_cut_the_tokens_held(self):
        bucket = TokenBucket(10.0, 20.0, 20.0, START)
        bucket.set_limits(1.0, 5.0, START)
        self.assertFalse(bucket.take(6, START))
        self.assertTrue(bucket.take(5, START))
        self.assertEqual(bucket.wait_for(1, START), SECOND)
        self.assertEqual(bucket.level(START + 2 * SECOND), 2.0)


class LedgerTest(unittest.TestCase):
    quota = AccountQuota(10.0, 10.0)

    def make_ledger(self, alive, known):
        """Return the ledger of a host that is the home of account ``a``, and an account's home."""
        alive = [f"h{number}" for number in range(alive)]
        self.home = QuotaHomes.choose("h0", alive, known).order("a")[0]
        self.homes = QuotaHomes.choose(self.home, alive, known)
        ledger = QuotaLedger(SLACK)
        ledger.apply({"a": self.quota}, self.homes, START)
        return ledger

    def test_unsettled_home_grants_only_a_part_of_the_slack(self):
        ledger = self.make_ledger(10, 10)
        granted = [ledger.grant("h1", "a", 0, 1, START) for _ in range(8)]
        self.assertEqual(granted.count(Granted(1)), 5)
        self.assertIsInstance(granted[-1], Exhausted)

    def test_settled_home_keeps_tokens_for_urgent_work(self):
        ledger = self.make_ledger(10, 10)
        now = START + 60 * SECOND
        ledger.apply({"a": self.quota}, self.homes, START + QUOTA_SETTLING_TIME)
        granted = 0
        while ledger.grant("h1", "a", 2, 1, now) == Granted(1):
            granted += 1
        self.assertEqual(granted, 18)
        self.assertEqual(ledger.grant("h1", "a", 0, 9, now), Granted(2))
        self.assertEqual(ledger.grant("h1", "a", 1, 9, now), Exhausted(SECOND / 5))

    def test_home_of_a_minority_grants_its_share(self):
        ledger = self.make_ledger(4, 10)
        now = START + QUOTA_SETTLING_TIME
        ledger.apply({"a": self.quota}, self.homes, now)
        while isinstance(ledger.grant("h1", "a", 0, 1, now), Granted):
            pass
        self.assertAlmostEqual(ledger.levels(now + SECOND)["a"], 0.6 * 0.4 * 10.0, delta=1.0)

    def test_stand_in_for_an_ended_home_grants_the_whole_rate(self):
        ledger = self.make_ledger(10, 10)
        hosts = [f"h{number}" for number in range(10)]
        stand_in = QuotaHomes.choose(self.homes.order("a")[1], hosts, 10)
        for lost, share in ((False, SHARED_FRACTION / 10 + 0.05), (True, 1.0)):
            with self.subTest(lost=lost):
                ledger.apply({"a": self.quota}, stand_in, START)
                while isinstance(answer := ledger.grant("h1", "a", 0, 1, START, lost), Granted):
                    pass
                expected = min(2.0, 1 / (share * self.quota.rate_per_s))
                self.assertAlmostEqual(answer.wait.total_seconds(), expected, delta=0.01)

    def test_unknown_account_and_odd_numbers(self):
        ledger = self.make_ledger(1, 1)
        self.assertEqual(QuotaLedger(SLACK).grant("h1", "a", 0, 1, START), NotKept())
        self.assertEqual(ledger.grant("h1", "nobody", 0, 1, START), NotKept())
        self.assertEqual(ledger.grant("h1", "a", -3, -10, START), Granted(1))
        self.assertEqual(ledger.grant("h1", "a", 10**9, 10**9, START), Granted(1))


class AllowanceTest(unittest.TestCase):
    def setUp(self):
        self.allowance = QuotaAllowance(random.Random(1))

    def test_tokens_lapse(self):
        self.allowance.record_granted(2, START)
        self.assertEqual(self.allowance.decide(0, 1, START), Admitted())
        self.assertEqual(self.allowance.decide(0, 1, START + TOKEN_LIFETIME), Ask(1))

    def test_refusal_holds_for_its_rank_and_less_urgent_ones(self):
        self.allowance.record_exhausted(1, SECOND, 8, START)
        self.assertEqual(self.allowance.decide(0, 3, START), Ask(3))
        self.assertEqual(self.allowance.decide(0, 1, START), Ask(1))
        for rank in (1, 2):
            decision = self.allowance.decide(rank, 1, START)
            self.assertIsInstance(decision, Refused)
            self.assertGreaterEqual(decision.wait, SECOND)

    def test_frequent_use_asks_for_several_tokens(self):
        for number in range(40):
            self.allowance.record_demand(START + number * SECOND / 20)
        self.assertGreater(self.allowance.decide(0, 1, START + 2 * SECOND).wanted, 2)

    def test_own_shares_of_many_hosts_add_up_to_little(self):
        quota, admitted = AccountQuota(5.0, 5.0), 0
        for seed in range(300):
            allowance = QuotaAllowance(random.Random(seed))
            for tenths in range(20):
                now = START + tenths * SECOND / 10
                decision = allowance.take_own_share(quota, SLACK, 300, now)
                admitted += decision == Admitted()
        self.assertLessEqual(admitted, 2 * 0.6 * quota.rate_per_s + SLACK / 2)


class ReachableHomesTest(unittest.TestCase):
    def setUp(self):
        self.homes = QuotaHomes.choose("h0", [f"h{number}" for number in range(9)], 9)
        self.first, self.second, *_ = self.homes.order("a")
        self.reachable = ReachableHomes()

    def choose(self, now, tried=()):
        return self.reachable.choose(self.homes, "a", tried, now)

    def test_failed_home_is_passed_over_and_then_tried_by_one_operation(self):
        self.assertTrue(self.reachable.record_failure(self.first, START))
        self.assertEqual(self.choose(START), self.second)
        later = START + UNREACHABLE_TIME
        self.assertEqual([self.choose(later), self.choose(later)], [self.first, self.second])
        self.assertFalse(self.reachable.record_failure(self.first, later))
        self.assertTrue(self.reachable.record_reply(self.first))
        self.assertEqual(self.choose(later), self.first)
        self.assertIsNone(self.choose(later, (self.first, self.second)))

    def test_home_is_lost_only_while_all_before_it_refuse_connections(self):
        self.reachable.record_failure(self.first, START)
        self.assertFalse(self.reachable.is_home_lost(self.homes, "a", self.second))
        self.reachable.record_probe(self.first, True)
        self.assertTrue(self.reachable.is_home_lost(self.homes, "a", self.second))
        self.assertFalse(self.reachable.is_home_lost(self.homes, "a", self.first))
        self.reachable.record_reply(self.first)
        self.assertFalse(self.reachable.is_home_lost(self.homes, "a", self.second))
