"""Check burn rates against a flood that is worked out by hand.

One entry is sampled each minute; 100 urgent requests end in every minute. The objective is 99% in
200 ms. For the first 50 minutes 100 of 100 are good. In each of the 10 minutes of the flood 70 are
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


class Recorder:
    """Count requests as an entry does and sample the counters."""

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


def record_flood():
    recorder = Recorder()
    samples = []
    for minute in range(60):
        if minute < 50:
            recorder.add(good=100)
        else:
            recorder.add(good=70, late=10, refused=15, unknown=5, malformed=20)
        samples.append(recorder.sample(minute * MINUTE_SECONDS))
    return samples


class FloodTest(unittest.TestCase):
    def setUp(self):
        (self.burn,) = compute_burn(record_flood(), (SERVICE_OBJECTIVE,))

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

    def test_a_longer_flood_pages(self):
        recorder = Recorder()
        samples = []
        for minute in range(61):
            recorder.add(good=80, refused=20)
            samples.append(recorder.sample(minute * MINUTE_SECONDS))
        (burn,) = compute_burn(samples, (SERVICE_OBJECTIVE,))
        self.assertAlmostEqual(burn.windows[1].burn_rate, 20.0)
        self.assertEqual(burn.alert, Alert.PAGE)

    def test_no_requests_burn_nothing(self):
        quiet = [Recorder().sample(0.0), Recorder().sample(60.0)]
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

    def test_burn_over_time_rises_with_the_flood(self):
        points = compute_burn_over_time(record_flood(), SERVICE_OBJECTIVE, timedelta(minutes=5))
        by_minute = {point.at_seconds / MINUTE_SECONDS: point.burn_rate for point in points}
        self.assertEqual(by_minute[49], 0)
        self.assertAlmostEqual(by_minute[50], 6.0)
        self.assertAlmostEqual(by_minute[54], 30.0)

    def test_plot(self):
        with tempfile.TemporaryDirectory() as directory:
            for suffix in ("png", "svg"):
                path = Path(directory) / f"burn.{suffix}"
                draw_burn(record_flood(), (SERVICE_OBJECTIVE,), timedelta(minutes=5), path)
                self.assertGreater(path.stat().st_size, 1_000)
            with self.assertRaises(UserError):
                draw_burn(
                    [], (SERVICE_OBJECTIVE,), timedelta(minutes=5), Path(directory) / "burn.pdf"
                )


class CountingTest(unittest.TestCase):
    def test_restart_of_a_process_loses_nothing_after_it(self):
        first, second = Recorder(), Recorder()
        first.add(good=100)
        before = first.sample(0.0)
        second.add(good=7, refused=3)
        (increase,) = list_increases([before, second.sample(60.0)], SERVICE_OBJECTIVE)
        self.assertEqual(increase.counts, Counts(10, 7))

    def test_processes_add_up_and_their_past_does_not_count(self):
        one, other = Recorder("a"), Recorder("b")
        other.add(refused=1_000)
        samples = [one.sample(0.0), other.sample(1.0)]
        one.add(good=10)
        other.add(good=20, refused=1)
        samples += [one.sample(60.0), other.sample(61.0)]
        (burn,) = compute_burn(samples, (SERVICE_OBJECTIVE,))
        self.assertEqual(burn.windows[0].counts, Counts(31, 30))

    def test_what_the_caller_did_is_neither_good_nor_bad(self):
        recorder = Recorder()
        before = recorder.sample(0.0)
        recorder.add(malformed=5, cancelled=5)
        (increase,) = list_increases([before, recorder.sample(1.0)], SERVICE_OBJECTIVE)
        self.assertEqual(increase.counts, Counts())
