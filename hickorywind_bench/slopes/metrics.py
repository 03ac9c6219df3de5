"""Measurement of an entry's metrics: scrape size, scrape time and memory by number of services."""

from __future__ import annotations

import time
from collections.abc import Iterator
from datetime import timedelta

from prometheus_client import generate_latest

from hickorywind.ids import Rank, ServiceName
from hickorywind.observability.metrics import Metrics
from hickorywind.results import Outcome, Result, ResultCode
from hickorywind_bench.slopes.processes import measure_allocation
from hickorywind_bench.slopes.sites import DESIGN_SERVICES
from hickorywind_bench.slopes.table import Row

SIZES = (100, 400, DESIGN_SERVICES)
_LATENCY = timedelta(milliseconds=3)
_RESULTS = (
    Result(ResultCode.OK, Outcome.RAN, ""),
    Result.not_run(ResultCode.TOO_STALE, "", 100),
)


def measure(sizes: tuple[int, ...] = SIZES) -> Iterator[Row]:
    """Yield one row per number of services, with answered and refused requests of all ranks."""
    for services in sizes:
        metrics, size = measure_allocation(lambda services=services: _fill_metrics(services))
        begin = time.process_time()
        page = generate_latest(metrics.registry)
        used = time.process_time() - begin
        yield Row(
            {
                "services": services,
                "scrape_kb": len(page) / 1_000,
                "lines": page.count(b"\n"),
                "scrape_cpu_ms": used * 1_000,
                "memory_mb": size / 1e6,
            }
        )


def _fill_metrics(services: int) -> Metrics:
    metrics = Metrics.with_own_registry()
    for number in range(services):
        service = ServiceName(f"service-{number:03}")
        for rank in Rank:
            for result in _RESULTS:
                metrics.record_request(service, rank, result, _LATENCY)
        for source in ("primary", "replica"):
            metrics.reads.labels(service, source).inc()
    return metrics
