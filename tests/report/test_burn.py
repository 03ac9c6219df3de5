"""Burn rates of an overload, compared with values calculated by hand.

One entry is sampled each minute; 100 urgent requests end in every minute. The objective is 99% in
200 ms. For the first 50 minutes 100 of 100 are good. In each of the 10 minutes of overload 70 are
good, 10 late, 15 refused and 5 of unknown outcome, so 30 are bad, and 20 more are malformed.

- 5 min: 500 requests, 150 bad: 30% bad, 1% allowed: burn rate 30.
- 1 h (59 minutes between samples are covered): 5,900 requests, 300 bad: 300/5900/0.01 = 5.0847.
- 6 h and 3 d cover the same samples: 5.0847; budget left 100 - 508.47 = -408.47 percent.
"""

import tempfile
import unittest
from datetime import timedelta
from pathlib import Path

from hickorywind.configuration.model import Objective
from hickorywind.ids import Rank, ServiceName
from hickorywind.report.burn import Alert, compute_burn, compute_burn_over_time
from hickorywind.report.counting import Counts, ServiceObjective, list_increases
from hickorywind.report.plot import draw_burn
from hickorywind.report.samples import CodeCount, LatencyCount, RankCounts, Sample
from hickorywind.report.table import format_rows, make_rows
from hickorywind.results import ResultCode, UserError

SERVICE = ServiceName("sign-offs")
SERVICE_OBJECTIVE = ServiceObjective(SERVICE, Objective(Rank.URGENT, 99.0, 200))
MINUTE_SECONDS = 60.0


class RequestCounters:
    """Request counters like those of an entry, with samples of them."""

    def __init__(self, source="a"):
        self.source = source
        self.codes = {}
        self.fast = 0
        self.ran = 0

    def add(self, good=0, late=0, refused=0, unknown=0, malformed=0, cancelled=0):
        self.fast += good
        self.ran += good + late
        counts = {
            ResultCode.OK: good + late,
            ResultCode.QUEUE_FULL: refused,
            ResultCode.POOL_LOST: unknown,
            ResultCode.MALFORMED_MESSAGE: malformed,
            ResultCode.CANCELLED: cancelled,
        }
        for code, number in counts.items():
            self.codes[code] = self.codes.get(code, 0) + number

    def sample(self, at_seconds):
        ended = tuple(CodeCount(int(code), float(n)) for code, n in sorted(self.codes.items()))
        latencies = (LatencyCount(200, float(self.fast)), LatencyCount(10_000, float(self.ran)))
        ranks = RankCounts(SERVICE, Rank.URGENT, ended, latencies)
        return Sample(at_seconds, self.source, (ranks,))


def record_overload():
    request_counters = RequestCounters()
    samples = []
    for minute in range(60):
        if minute < 50:
            request_counters.add(good=100)
        else:
            request_counters.add(good=70, late=10, refused=15, unknown=5, malformed=20)
        samples.append(request_counters.sample(minute * MINUTE_SECONDS))
    return samples


class OverloadTest(unittest.TestCase):
    def setUp(self):
        (self.burn,) = compute_burn(record_overload(), (SERVICE_OBJECTIVE,))

    def test_windows(self):
        five_minutes, hour, six_hours, three_days = self.burn.windows
        self.assertEqual((five_minutes.counts.good, five_minutes.counts.bad), (350, 150))
        self.assertAlmostEqual(five_minutes.burn_rate, 30.0)
        self.assertEqual((hour.counts.good, hour.counts.bad), (5600, 300))
        self.assertAlmostEqual(hour.burn_rate, 5.0847, 4)
        self.assertEqual(three_days.counts, hour.counts)
        self.assertEqual(six_hours.covered, timedelta(minutes=59))

    def test_budget_and_alert(self):
        self.assertAlmostEqual(self.burn.budget_left_percent, -408.47, 2)
        self.assertEqual(self.burn.alert, Alert.TICKET)

    def test_longer_overload_raises_a_page(self):
        request_counters = RequestCounters()
        samples = []
        for minute in range(61):
            request_counters.add(good=80, refused=20)
            samples.append(request_counters.sample(minute * MINUTE_SECONDS))
        (burn,) = compute_burn(samples, (SERVICE_OBJECTIVE,))
        self.assertAlmostEqual(burn.windows[1].burn_rate, 20.0)
        self.assertEqual(burn.alert, Alert.PAGE)

    def test_burn_rate_is_zero_without_requests(self):
        quiet = [RequestCounters().sample(0.0), RequestCounters().sample(60.0)]
        (burn,) = compute_burn(quiet, (SERVICE_OBJECTIVE,))
        self.assertEqual(burn.budget_left_percent, 100.0)
        self.assertEqual(burn.alert, Alert.NONE)
        self.assertEqual(compute_burn([], (SERVICE_OBJECTIVE,)), ())

    def test_table(self):
        rows = make_rows((self.burn,))
        text = format_rows(rows)
        self.assertEqual(len(text.splitlines()), 5)
        self.assertRegex(
            text, r"sign-offs urgent 99% in 200 ms +5 min +5 min +350 +150 +30.00 +-408.5% +ticket"
        )

    def test_burn_rate_over_time_rises_with_the_overload(self):
        points = compute_burn_over_time(record_overload(), SERVICE_OBJECTIVE, timedelta(minutes=5))
        by_minute = {point.at_seconds / MINUTE_SECONDS: point.burn_rate for point in points}
        self.assertEqual(by_minute[49], 0)
        self.assertAlmostEqual(by_minute[50], 6.0)
        self.assertAlmostEqual(by_minute[54], 30.0)

    def test_plot(self):
        with tempfile.TemporaryDirectory() as directory:
            for suffix in ("png", "svg"):
                path = Path(directory) / f"burn.{suffix}"
                draw_burn(record_overload(), (SERVICE_OBJECTIVE,), timedelta(minutes=5), path)
                self.assertGreater(path.stat().st_size, 1_000)
            with self.assertRaises(UserError):
                draw_burn(
                    [], (SERVICE_OBJECTIVE,), timedelta(minutes=5), Path(directory) / "burn.pdf"
                )


class CountingTest(unittest.TestCase):
    def test_requests_after_a_restart_of_a_process_are_counted(self):
        first, second = RequestCounters(), RequestCounters()
        first.add(good=100)
        before = first.sample(0.0)
        second.add(good=7, refused=3)
        (increase,) = list_increases([before, second.sample(60.0)], SERVICE_OBJECTIVE)
        self.assertEqual(increase.counts, Counts(10, 7))

    def test_processes_are_summed_from_their_first_sample_on(self):
        one, other = RequestCounters("a"), RequestCounters("b")
        other.add(refused=1_000)
        samples = [one.sample(0.0), other.sample(1.0)]
        one.add(good=10)
        other.add(good=20, refused=1)
        samples += [one.sample(60.0), other.sample(61.0)]
        (burn,) = compute_burn(samples, (SERVICE_OBJECTIVE,))
        self.assertEqual(burn.windows[0].counts, Counts(31, 30))

    def test_errors_of_the_caller_are_neither_good_nor_bad(self):
        request_counters = RequestCounters()
        before = request_counters.sample(0.0)
        request_counters.add(malformed=5, cancelled=5)
        (increase,) = list_increases([before, request_counters.sample(1.0)], SERVICE_OBJECTIVE)
        self.assertEqual(increase.counts, Counts())
