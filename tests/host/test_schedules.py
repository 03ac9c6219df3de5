"""Tests of random fault schedules.

HICKORYWIND_SCHEDULES sets the number of random schedules; without it, a fixed few are run.
"""

import os
import unittest

from hypothesis import HealthCheck, given, settings

from tests.host.faults import HOST_COUNT, MAX_DURATION_MS, Fault, FaultKind, schedules
from tests.host.simulation import run_schedule

SINGLE_FAULT_SECONDS = 5.0
RECOVERY_SECONDS = 15.0  # a permit expires, then a primary change and its takeover
EXAMPLES = int(os.environ.get("HICKORYWIND_SCHEDULES", "0"))


class ScheduleTest(unittest.TestCase):
    def check(self, schedule, recovery_seconds=RECOVERY_SECONDS):
        self.assertEqual(run_schedule(schedule, recovery_seconds), [], schedule)

    def test_cluster_without_faults_serves(self):
        self.check([], SINGLE_FAULT_SECONDS)

    @settings(
        max_examples=EXAMPLES or 10,
        derandomize=not EXAMPLES,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
        print_blob=True,
    )
    @given(schedules())
    def test_drawn_schedule_keeps_the_promises(self, schedule):
        self.check(schedule)


class FoundScheduleTest(unittest.TestCase):
    """Schedules that once failed, each with its cause."""

    def check(self, *faults):
        schedule = [Fault(FaultKind[name], *numbers) for name, *numbers in faults]
        self.assertEqual(run_schedule(schedule, RECOVERY_SECONDS), [])

    def test_unheard_promoter_orders_no_promotion_after_a_takeover(self):
        """It waited for permits to expire and didn't check whether another host had taken over."""
        self.check(("PRIMARY_LEAVING", 4_790, 4_676, 0), ("HOST_OUTBOUND_LOST", 1_035, 9_469, 0))


class SingleFaultTest(unittest.TestCase):
    def test_writes_resume_soon_after_any_fault(self):
        for kind in FaultKind:
            for duration_ms in (3_000, 12_000):
                with self.subTest(kind=kind, duration_ms=duration_ms):
                    fault = Fault(kind, 500, duration_ms, 1)
                    self.assertEqual(run_schedule([fault], SINGLE_FAULT_SECONDS), [])


class FaultDuringChangeTest(unittest.TestCase):
    """Each kind of fault during the replacement of a primary that is not demoted."""

    def check(self, change, duration_ms):
        not_demoted = Fault(FaultKind.PRIMARY_NOT_DEMOTED, 0, MAX_DURATION_MS, 0)
        replaced = Fault(change, 2_000, duration_ms, 0)
        for number, kind in enumerate(FaultKind):
            with self.subTest(kind=kind):
                fault = Fault(kind, 1_500, MAX_DURATION_MS, number % HOST_COUNT)
                self.assertEqual(run_schedule([not_demoted, replaced, fault], RECOVERY_SECONDS), [])

    def test_crashed_primary_that_restarts_soon(self):
        self.check(FaultKind.PRIMARY_CRASHES, 300)

    def test_leaving_primary(self):
        self.check(FaultKind.PRIMARY_LEAVING, 8_000)
