import unittest
from datetime import timedelta

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from hickorywind.failover.policy import FailoverPolicy, FixedTimeout
from hickorywind.ids import BackendId, Term
from hickorywind.util.clock import milliseconds
from tests.failover.fakegroup import FakeGroup, term_of


def seconds(value):
    return timedelta(seconds=value)


def start_group(seed=1, **options):
    group = FakeGroup(seed=seed, **options)
    group.run(seconds(3))
    return group


class FailoverTest(unittest.TestCase):
    def assert_no_violations(self, group):
        self.assertEqual(group.violations, [])

    def time_to_new_primary(self, group, limit_s=10):
        """Return the time until the primary of a later term acknowledges an entry, or None."""
        begin, term = group.now, term_of(group)
        while group.now - begin < seconds(limit_s):
            before = len(group.acknowledged)
            group.run(milliseconds(10))
            if term_of(group) > term and len(group.acknowledged) > before:
                return group.now - begin
        return None

    def test_initial_primary_becomes_known_and_nobody_is_promoted(self):
        group = start_group()
        group.run(seconds(30))
        self.assertEqual((group.record.primary, group.record.term), (BackendId("b0"), Term(1)))
        self.assertEqual(group.accept_requests, 0)

    def test_killed_primary_is_replaced_within_a_second(self):
        for seed in range(20):
            group = start_group(seed)
            group.kill("b0")
            self.assertLess(self.time_to_new_primary(group), seconds(1))
            group.restart("b0")
            group.run(seconds(10))
            self.assertEqual(len(group.promotions), 1)
            self.assert_no_violations(group)

    def test_frozen_primary_stays_replaced_after_it_resumes(self):
        group = start_group()
        group.frozen["b0"] = group.now + seconds(4)
        self.assertLess(self.time_to_new_primary(group), seconds(1.5))
        group.run(seconds(20))
        self.assertEqual(len(group.promotions), 1)
        self.assert_no_violations(group)

    def test_primary_cut_from_replicas_but_reached_by_observers_is_replaced(self):
        for seed in range(20):
            group = start_group(seed)
            group.cut("b0", "b1")
            group.cut("b0", "b2")
            self.assertLess(self.time_to_new_primary(group), seconds(1))
            self.assert_no_violations(group)

    def test_cut_observers_promote_nobody(self):
        for cut in (("o0",), ("o0", "o1"), ("o0", "o1", "o2")):
            group = start_group()
            for observer in cut:
                group.cut(observer, "b0")
            group.run(seconds(20))
            self.assertEqual(group.accept_requests, 0)
            self.assertEqual(len(group.active_primaries()), 1)

    def test_observer_alone_with_a_silent_minority_does_nothing(self):
        group = start_group()
        group.isolate("b2")
        group.cuts.discard(frozenset(("b2", "o0")))
        group.run(seconds(20))
        self.assertEqual(group.accept_requests, 0)

    def test_observer_that_was_paused_acts_on_nothing_it_saw_before(self):
        group = start_group(observers=1)
        group.kill("b0")
        group.run(milliseconds(280))
        self.assertEqual(group.accept_requests, 0)
        # The observer was about to act; while it is paused, the primary returns and leads again.
        group.frozen["o0"] = group.now + seconds(10)
        group.restart("b0")
        group.members["b0"].become_primary()
        group.run(seconds(20))
        self.assertEqual(group.accept_requests, 0)

    def test_observer_paused_during_a_promotion_is_overtaken_without_harm(self):
        for wait_ms in (0, 10, 20, 40):
            group = start_group()
            group.kill("b0")
            while group.accept_requests == 0:
                group.run(milliseconds(5))
            group.run(milliseconds(wait_ms))
            group.frozen["o0"] = group.now + seconds(5)
            group.run(seconds(3))
            self.assertTrue(group.progress_within(seconds(0.5)))
            term = term_of(group)
            self.assertGreater(term, 1)
            group.run(seconds(20))
            self.assertEqual(term_of(group), term)
            self.assert_no_violations(group)

    def test_primary_is_replaced_when_its_zone_is_cut_off(self):
        group = start_group()
        for inside in ("b0", "o0"):
            for outside in ("b1", "b2", "o1", "o2"):
                group.cut(inside, outside)
        self.assertLess(self.time_to_new_primary(group), seconds(2))
        group.run(seconds(10))
        self.assertEqual(len(group.promotions), 1)
        group.heal()
        group.run(seconds(10))
        self.assertEqual(len(group.promotions), 1)
        self.assertEqual(len(group.active_primaries()), 1)
        self.assert_no_violations(group)

    def test_lagging_replica_is_not_chosen(self):
        for lagging in ("b1", "b2"):
            group = start_group()
            group.isolate(lagging)
            group.run(seconds(2))
            group.cuts.clear()
            group.cut("b0", lagging)
            group.kill("b0")
            self.assertIsNotNone(self.time_to_new_primary(group))
            self.assertNotEqual(group.record.primary, lagging)
            self.assert_no_violations(group)

    def test_second_observer_acts_when_the_first_is_gone(self):
        group = start_group()
        group.isolate("o0")
        group.kill("b0")
        self.assertLess(self.time_to_new_primary(group), seconds(2))
        self.assert_no_violations(group)

    def test_all_observers_acting_at_once_violate_nothing(self):
        for seed in range(20):
            group = start_group(seed)
            for monitor in group.monitors.values():
                monitor.rank = 0
            group.kill("b0")
            self.assertLess(self.time_to_new_primary(group), seconds(5))
            self.assert_no_violations(group)

    def test_promoted_primary_that_dies_at_once_is_replaced_too(self):
        group = FakeGroup(instances=5, seed=3)
        group.run(seconds(3))
        group.kill("b0")
        self.assertIsNotNone(self.time_to_new_primary(group))
        group.kill(group.record.primary)
        self.assertLess(self.time_to_new_primary(group), seconds(3))
        self.assert_no_violations(group)

    def test_leaving_primary_is_replaced_once(self):
        group = start_group()
        group.leaving.add("b0")
        gap = self.time_to_new_primary(group)
        self.assertLess(gap, seconds(1))
        self.assertNotEqual(group.record.primary, "b0")
        self.assertTrue(group.leaving_records["b0"].leaving)
        group.run(seconds(20))
        self.assertEqual(len(group.promotions), 1)
        self.assert_no_violations(group)
        group.leaving.clear()
        group.run(seconds(5))
        self.assertFalse(group.leaving_records["b0"].leaving)
        self.assertEqual(group.leaving_records["b0"].generation, 2)

    def test_leaving_primary_may_finish_its_open_transactions(self):
        group = start_group()
        group.leaving.add("b0")
        group.open_transactions["b0"] = 1
        group.run(milliseconds(1_500))
        self.assertEqual(group.record.primary, "b0")
        group.open_transactions["b0"] = 0
        group.run(milliseconds(500))
        self.assertNotEqual(group.record.primary, "b0")
        self.assert_no_violations(group)

    def test_transactions_that_do_not_end_delay_a_switchover_by_two_seconds_at_most(self):
        group = start_group()
        group.leaving.add("b0")
        group.open_transactions["b0"] = 1
        group.run(milliseconds(2_700))
        self.assertNotEqual(group.record.primary, "b0")
        self.assert_no_violations(group)

    def test_nothing_is_promoted_without_a_majority(self):
        group = start_group()
        group.kill("b0")
        group.kill("b1")
        group.run(seconds(10))
        self.assertEqual(group.promotions, [])
        group.restart("b1")
        self.assertTrue(group.progress_within(seconds(5)))
        self.assert_no_violations(group)

    def test_whole_group_restarted_gets_a_primary_again(self):
        group = start_group()
        for backend in group.backends:
            group.kill(backend)
        group.run(seconds(3))
        group.heal()
        self.assertTrue(group.progress_within(seconds(5)))
        self.assert_no_violations(group)

    def test_fixed_timeout_trigger_waits_for_its_timeout(self):
        group = start_group(policy=FailoverPolicy(trigger=FixedTimeout(seconds(5))))
        group.kill("b0")
        gap = self.time_to_new_primary(group)
        self.assertGreater(gap, seconds(4.5))
        self.assertLess(gap, seconds(7))
        self.assert_no_violations(group)


BACKENDS = st.sampled_from(["b0", "b1", "b2"])
OBSERVERS = st.sampled_from(["o0", "o1", "o2"])
DELAYS = st.floats(0.0, 2.0)
FAULTS = st.one_of(
    st.tuples(st.just("kill"), BACKENDS),
    st.tuples(st.just("restart"), BACKENDS),
    st.tuples(st.just("freeze"), st.one_of(BACKENDS, OBSERVERS), DELAYS),
    st.tuples(st.just("cut"), st.one_of(BACKENDS, OBSERVERS), BACKENDS),
    st.tuples(st.just("isolate"), st.one_of(BACKENDS, OBSERVERS)),
    st.tuples(st.just("leaving"), BACKENDS),
    st.tuples(st.just("heal")),
)


def apply_fault(group, fault):
    match fault:
        case ("kill", name):
            group.kill(name)
        case ("restart", name) if name in group.down:
            group.restart(name)
        case ("freeze", name, duration):
            group.frozen[name] = group.now + seconds(duration)
        case ("cut", a, b) if a != b:
            group.cut(a, b)
        case ("isolate", name):
            group.isolate(name)
        case ("leaving", name):
            group.leaving ^= {name}
        case ("heal",):
            group.heal()


class ScheduleTest(unittest.TestCase):
    @settings(
        max_examples=60,
        suppress_health_check=list(HealthCheck),
    )
    @given(st.integers(0, 2**16), st.lists(st.tuples(DELAYS, FAULTS), max_size=12))
    def test_any_schedule_of_faults_is_sound_and_ends_with_writes(self, seed, schedule):
        group = FakeGroup(seed=seed)
        last_term = Term(0)
        for delay, fault in schedule:
            group.run(seconds(delay))
            self.assertGreaterEqual(term_of(group), last_term)
            last_term = term_of(group)
            apply_fault(group, fault)
        group.heal()
        group.run(seconds(8))
        self.assertTrue(group.progress_within(seconds(2)), f"seed {seed}")
        self.assertEqual(group.violations, [], f"seed {seed}")


if __name__ == "__main__":
    unittest.main()
