"""Counts of a host's transfers."""

import unittest
from datetime import timedelta

from prometheus_client import generate_latest

from hickorywind.observability.hostmetrics import HostMetrics
from hickorywind.observability.trafficmeter import Distance, TrafficMeter

PERIOD = timedelta(seconds=2)


class TrafficMeterTest(unittest.TestCase):
    def test_summary_counts_control_traffic_by_kind_and_distance_once(self):
        meter = TrafficMeter()
        meter.record("Greeting", Distance.ZONE, 100)
        meter.record("Greeting", Distance.OTHER_REGION, 150)
        meter.record("Greeting", Distance.OTHER_REGION, 150)
        meter.record("read hosts/", Distance.STORE, 70)
        meter.record("SharedRead", Distance.OTHER_REGION, 9_000)
        summary = meter.take_summary()
        expected = (
            ("Greeting.other_region", 2, 300),
            ("Greeting.zone", 1, 100),
            ("read hosts/.store", 1, 70),
        )
        self.assertEqual(summary.by_kind, expected)
        self.assertEqual((summary.total_bytes, summary.other_region_bytes), (470, 300))
        self.assertEqual(meter.take_summary().total_bytes, 0)

    def test_limit_is_that_of_a_second(self):
        meter = TrafficMeter()
        meter.record("Greeting", Distance.ZONE, 10_000)
        self.assertFalse(meter.take_summary().exceeds_limit(PERIOD))
        meter.record("Greeting", Distance.ZONE, 10_001)
        self.assertTrue(meter.take_summary().exceeds_limit(PERIOD))

    def test_bytes_are_exported_as_a_metric(self):
        metrics = HostMetrics.with_own_registry()
        metrics.traffic.record("Greeting", Distance.REGION, 40)
        line = 'hickorywind_host_traffic_bytes_total{distance="region",kind="Greeting"} 40.0'
        self.assertIn(line, generate_latest(metrics.registry).decode())
