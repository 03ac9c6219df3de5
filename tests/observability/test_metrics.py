import re
import unittest
import urllib.request
from datetime import timedelta
from pathlib import Path

from prometheus_client import generate_latest

from hickorywind.ids import Address, Rank, Role, ServiceName
from hickorywind.observability.hostmetrics import HostMetrics
from hickorywind.observability.latencybuckets import OBJECTIVE_BOUNDS_MS
from hickorywind.observability.metrics import Metrics, start_metrics_server
from hickorywind.report.samples import parse_exposition
from hickorywind.results import Result, ResultCode

DOCUMENT = Path(__file__).parents[2] / "docs" / "metrics.md"
SERVICE = ServiceName("sign-offs")


class MetricsTest(unittest.TestCase):
    def test_all_requests_are_counted_but_only_successful_ones_timed(self):
        metrics = Metrics.with_own_registry()
        refused = Result.not_run(ResultCode.QUEUE_FULL, "full", 100)
        took = timedelta(milliseconds=40)
        metrics.record_request(SERVICE, Rank.URGENT, Result.ok(), took)
        metrics.record_request(SERVICE, Rank.URGENT, refused, took)
        labels = {"service": "sign-offs", "rank": "urgent"}
        count = metrics.registry.get_sample_value
        refusal = {**labels, "outcome": "not_run", "code": "2001"}
        self.assertEqual(count("hickorywind_requests_total", refusal), 1)
        self.assertEqual(count("hickorywind_request_seconds_count", labels), 1)
        in_time = {**labels, "le": "0.05"}
        self.assertEqual(count("hickorywind_request_seconds_bucket", in_time), 1)
        fine = {"rank": "urgent", "le": "0.03"}
        self.assertEqual(count("hickorywind_rank_seconds_bucket", fine), 0)
        self.assertEqual(count("hickorywind_rank_seconds_count", {"rank": "urgent"}), 1)

    def test_latency_equal_to_an_objective_bound_is_in_time(self):
        metrics = Metrics.with_own_registry()
        for bound_ms in OBJECTIVE_BOUNDS_MS:
            for extra_us in (0, 1):
                took = timedelta(milliseconds=bound_ms, microseconds=extra_us)
                metrics.record_request(SERVICE, Rank.URGENT, Result.ok(), took)
        text = generate_latest(metrics.registry).decode()
        (ranks,) = parse_exposition(text, "a", 0.0).ranks
        within = [(entry.bound_ms, entry.count) for entry in ranks.in_time]
        expected = [(bound, 2 * index + 1) for index, bound in enumerate(OBJECTIVE_BOUNDS_MS)]
        self.assertEqual(within, expected)

    def test_metrics_server_serves_until_closed(self):
        metrics = Metrics.with_own_registry()
        metrics.describe_process(Role.ENTRY, "adum-1", "adum")
        server = start_metrics_server(Address("127.0.0.1", 0), metrics)
        with urllib.request.urlopen(f"http://{server.address}/metrics", timeout=5) as answer:
            text = answer.read().decode()
        server.close()
        self.assertIn('host="adum-1"', text)
        with self.assertRaises(OSError):
            urllib.request.urlopen(f"http://{server.address}/metrics", timeout=5)

    def test_documented_metrics_and_labels_match_the_source(self):
        rows = re.findall(
            r"^\| `(hickorywind_\w+)` \| (\w+) \|([^|]*)\|", DOCUMENT.read_text(), re.M
        )
        documented = {
            name: (kind, set(re.findall(r"`(\w+)`", labels))) for name, kind, labels in rows
        }
        self.assertEqual(documented, dict(self.defined()))

    def defined(self):
        for metrics in (Metrics.with_own_registry(), HostMetrics.with_own_registry()):
            for metric in vars(metrics).values():
                if hasattr(metric, "_labelnames"):
                    described = metric.describe()[0]
                    yield described.name, (described.type, set(metric._labelnames))

    def test_exposition_is_well_formed(self):
        self.assertIn(
            b"hickorywind_queue_length", generate_latest(Metrics.with_own_registry().registry)
        )
