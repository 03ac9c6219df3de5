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

    def test_failure_deprioritizes_for_all_work(self):
        self.health.record_failure(SERVER)
        for requirement in (FreshnessRequirement(), FLOOR, bounded(0), bounded(10_000)):
            self.assertTrue(self.health.is_deprioritized(SERVER, requirement))

    def test_too_stale_data_deprioritizes_only_for_reads_that_require_as_fresh_data(self):
        self.health.record_too_stale(SERVER, 500)
        self.assertTrue(self.health.is_deprioritized(SERVER, bounded(0)))
        self.assertTrue(self.health.is_deprioritized(SERVER, bounded(500)))
        self.assertFalse(self.health.is_deprioritized(SERVER, bounded(501)))
        self.assertFalse(self.health.is_deprioritized(SERVER, FLOOR))
        self.assertFalse(self.health.is_deprioritized(SERVER))

    def test_greatest_missed_bound_applies_during_the_backoff(self):
        self.health.record_too_stale(SERVER, 500)
        self.health.record_too_stale(SERVER, 0)
        self.assertTrue(self.health.is_deprioritized(SERVER, bounded(500)))
        self.clock.advance(timedelta(seconds=10))
        self.health.record_too_stale(SERVER, 0)
        self.assertFalse(self.health.is_deprioritized(SERVER, bounded(500)))

    def test_missing_floor_deprioritizes_only_for_reads_with_a_floor(self):
        self.health.record_behind(SERVER)
        self.assertTrue(self.health.is_deprioritized(SERVER, FLOOR))
        self.assertFalse(self.health.is_deprioritized(SERVER, bounded(0)))
        self.assertFalse(self.health.is_deprioritized(SERVER))

    def test_backoff_ends_only_by_an_answer_with_the_same_requirement(self):
        self.health.record_behind(SERVER)
        self.health.record_too_stale(SERVER, 500)
        self.health.record_success(SERVER, 1.0, bounded(501))
        self.assertTrue(self.health.is_deprioritized(SERVER, bounded(500)))
        self.health.record_success(SERVER, 1.0, bounded(500))
        self.assertFalse(self.health.is_deprioritized(SERVER, bounded(500)))
        self.assertTrue(self.health.is_deprioritized(SERVER, FLOOR))
        self.health.record_success(SERVER, 1.0, FLOOR)
        self.assertFalse(self.health.is_deprioritized(SERVER, FLOOR))

    def test_backoff_doubles_up_to_a_maximum_and_expires(self):
        self.health.record_failure(SERVER)
        self.clock.advance(timedelta(milliseconds=249))
        self.assertTrue(self.health.is_deprioritized(SERVER))
        self.clock.advance(timedelta(milliseconds=2))
        self.assertFalse(self.health.is_deprioritized(SERVER))
        for backoff in (500, 1_000, 2_000, 4_000, 5_000):
            self.health.record_failure(SERVER)
            self.clock.advance(timedelta(milliseconds=backoff - 1))
            self.assertTrue(self.health.is_deprioritized(SERVER))
            self.clock.advance(timedelta(milliseconds=1))
            self.assertFalse(self.health.is_deprioritized(SERVER))
        self.health.record_failure(SERVER)
        self.clock.advance(timedelta(seconds=4.9))
        self.assertTrue(self.health.is_deprioritized(SERVER))
        self.clock.advance(timedelta(seconds=0.2))
        self.assertFalse(self.health.is_deprioritized(SERVER))

    def test_refusals_of_concurrent_requests_count_as_one(self):
        for record in (
            self.health.record_failure,
            self.health.record_behind,
            lambda server: self.health.record_too_stale(server, 500),
        ):
            for _ in range(22):
                record(SERVER)
                self.clock.advance(timedelta(milliseconds=10))
            self.assertTrue(self.health.is_deprioritized(SERVER, FreshnessRequirement(True, 500)))
            self.clock.advance(timedelta(milliseconds=31))
            self.assertFalse(self.health.is_deprioritized(SERVER, FreshnessRequirement(True, 500)))
