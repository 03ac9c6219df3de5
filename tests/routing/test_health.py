import unittest
from datetime import timedelta

from hickorywind.ids import BackendId
from hickorywind.routing.health import BackendHealth, FreshnessRequirement
from hickorywind.util.clock import ManualClock

SERVER = BackendId("signoffs-tema")
FLOOR = FreshnessRequirement(has_floor=True)


def bounded(max_staleness_ms):
    return FreshnessRequirement(max_staleness_ms=max_staleness_ms)


class HealthTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.health = BackendHealth(self.clock)

    def test_failure_sets_back_for_all_work(self):
        self.health.record_failure(SERVER)
        for demand in (FreshnessRequirement(), FLOOR, bounded(0), bounded(10_000)):
            self.assertTrue(self.health.is_deprioritized(SERVER, demand))

    def test_data_too_old_for_one_read_sets_back_only_reads_as_demanding(self):
        self.health.record_too_stale(SERVER, 500)
        self.assertTrue(self.health.is_deprioritized(SERVER, bounded(0)))
        self.assertTrue(self.health.is_deprioritized(SERVER, bounded(500)))
        self.assertFalse(self.health.is_deprioritized(SERVER, bounded(501)))
        self.assertFalse(self.health.is_deprioritized(SERVER, FLOOR))
        self.assertFalse(self.health.is_deprioritized(SERVER))

    def test_the_widest_bound_missed_holds_while_the_set_back_lasts(self):
        self.health.record_too_stale(SERVER, 500)
        self.health.record_too_stale(SERVER, 0)
        self.assertTrue(self.health.is_deprioritized(SERVER, bounded(500)))
        self.clock.advance(timedelta(seconds=10))
        self.health.record_too_stale(SERVER, 0)
        self.assertFalse(self.health.is_deprioritized(SERVER, bounded(500)))

    def test_missing_floor_sets_back_only_reads_with_a_floor(self):
        self.health.record_behind(SERVER)
        self.assertTrue(self.health.is_deprioritized(SERVER, FLOOR))
        self.assertFalse(self.health.is_deprioritized(SERVER, bounded(0)))
        self.assertFalse(self.health.is_deprioritized(SERVER))

    def test_only_an_answer_as_demanding_ends_a_set_back(self):
        self.health.record_behind(SERVER)
        self.health.record_too_stale(SERVER, 500)
        self.health.record_success(SERVER, 1.0, bounded(501))
        self.assertTrue(self.health.is_deprioritized(SERVER, bounded(500)))
        self.health.record_success(SERVER, 1.0, bounded(500))
        self.assertFalse(self.health.is_deprioritized(SERVER, bounded(500)))
        self.assertTrue(self.health.is_deprioritized(SERVER, FLOOR))
        self.health.record_success(SERVER, 1.0, FLOOR)
        self.assertFalse(self.health.is_deprioritized(SERVER, FLOOR))

    def test_set_backs_double_up_to_a_limit_and_end_by_themselves(self):
        self.health.record_failure(SERVER)
        self.clock.advance(timedelta(milliseconds=249))
        self.assertTrue(self.health.is_deprioritized(SERVER))
        self.clock.advance(timedelta(milliseconds=2))
        self.assertFalse(self.health.is_deprioritized(SERVER))
        for _ in range(20):
            self.health.record_failure(SERVER)
        self.clock.advance(timedelta(seconds=4.9))
        self.assertTrue(self.health.is_deprioritized(SERVER))
        self.clock.advance(timedelta(seconds=0.2))
        self.assertFalse(self.health.is_deprioritized(SERVER))
