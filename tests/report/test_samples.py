import tempfile
import unittest
from datetime import timedelta
from pathlib import Path

from prometheus_client import generate_latest

from hickorywind.ids import Address, Rank, ServiceName
from hickorywind.observability.metrics import Metrics, start_metrics_server
from hickorywind.report.samples import (
    CodeCount,
    LatencyCount,
    Sample,
    UnreachableSource,
    append_samples,
    fetch_samples,
    parse_exposition,
    read_samples,
)
from hickorywind.results import Result, ResultCode, UserError

SERVICE = ServiceName("sign-offs")
TIMEOUT = timedelta(seconds=5)


def make_metrics():
    metrics = Metrics.with_own_registry()
    full = Result.not_run(ResultCode.QUEUE_FULL, "full", 50)
    for took_ms in (40, 40, 400):
        took = timedelta(milliseconds=took_ms)
        metrics.record_request(SERVICE, Rank.URGENT, Result.ok(), took)
    metrics.record_request(SERVICE, Rank.URGENT, full, timedelta(0))
    return metrics


class SamplesTest(unittest.TestCase):
    def test_exposition_of_metrics_is_parsed(self):
        text = generate_latest(make_metrics().registry).decode()
        sample = parse_exposition(text, "127.0.0.1:1", 10.0)
        (ranks,) = sample.ranks
        self.assertEqual((ranks.service, ranks.rank), (SERVICE, Rank.URGENT))
        self.assertEqual(ranks.ended, (CodeCount(0, 3.0), CodeCount(2001, 1.0)))
        self.assertIn(LatencyCount(50, 2.0), ranks.in_time)
        self.assertIn(LatencyCount(500, 3.0), ranks.in_time)

    def test_fetch_reports_processes_that_fail(self):
        server = start_metrics_server(Address("127.0.0.1", 0), make_metrics())
        self.addCleanup(server.close)
        closed = start_metrics_server(Address("127.0.0.1", 0), make_metrics())
        closed.close()
        good, bad = fetch_samples((server.address, closed.address), 1.0, TIMEOUT)
        self.assertIsInstance(good, Sample)
        self.assertIsInstance(bad, UnreachableSource)
        self.assertEqual(bad.source, str(closed.address))

    def test_series_file_is_appended_and_read(self):
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "series.jsonl"
            text = generate_latest(make_metrics().registry).decode()
            samples = tuple(parse_exposition(text, "a", float(at)) for at in range(3))
            append_samples(path, samples[:2])
            append_samples(path, samples[2:])
            self.assertEqual(read_samples(path), samples)
            with path.open("a") as file:
                file.write("{}\n")
            with self.assertRaisesRegex(UserError, "line 4"):
                read_samples(path)
