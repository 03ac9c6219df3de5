"""Metrics of a host that runs all roles in one process."""

from __future__ import annotations

from datetime import timedelta

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from hickorywind.observability.latencybuckets import LATENCY_BOUNDS_SECONDS
from hickorywind.observability.trafficmeter import Distance, TrafficMeter

_PREFIX = "hickorywind_host"


class HostMetrics:
    """Metrics of requests, store calls, sessions, permits, failovers and quotas of one host.

    ``traffic`` counts the bytes exchanged with other hosts and with the store.
    """

    def __init__(self, registry: CollectorRegistry) -> None:
        self.registry = registry
        self.requests = Counter(
            f"{_PREFIX}_requests", "Requests ended", ("outcome", "code"), registry=registry
        )
        self.latency = Histogram(
            f"{_PREFIX}_request_seconds",
            "Time from a statement's arrival to its answer, for those that ran",
            buckets=LATENCY_BOUNDS_SECONDS,
            registry=registry,
        )
        self.store_calls = Counter(
            f"{_PREFIX}_store_calls", "Calls to the store", ("call", "outcome"), registry=registry
        )
        self.store_copy_bytes = Counter(
            f"{_PREFIX}_store_copy_bytes",
            "Bytes of whole copies read from the store",
            registry=registry,
        )
        self.store_copy_seconds = Counter(
            f"{_PREFIX}_store_copy_seconds",
            "Time spent reading whole copies from the store",
            registry=registry,
        )
        self.configured_after_seconds = Gauge(
            f"{_PREFIX}_configured_after_seconds",
            "Time from the start of the process to its first configuration in force",
            registry=registry,
        )
        self.sessions = Gauge(f"{_PREFIX}_sessions", "Caller sessions open", registry=registry)
        self.sessions_closed = Counter(
            f"{_PREFIX}_sessions_closed",
            "Caller connections closed by this host at the end of its grace time",
            ("clean",),
            registry=registry,
        )
        self.configuration_version = Gauge(
            f"{_PREFIX}_configuration_version", "Configuration in force", registry=registry
        )
        self.waiting = Gauge(
            f"{_PREFIX}_waiting", "Operations waiting", ("service",), registry=registry
        )
        self.permit_seconds = Gauge(
            f"{_PREFIX}_permit_seconds", "Time left of the permit", registry=registry
        )
        self.store_contact_seconds = Gauge(
            f"{_PREFIX}_store_contact_seconds",
            "Time since an answer of the store showed that all copies are current",
            registry=registry,
        )
        self.failovers = Counter(
            f"{_PREFIX}_failovers", "Primary changes completed here", registry=registry
        )
        self.commits_given_up = Counter(
            f"{_PREFIX}_commits_given_up",
            "Commits of a former primary that the promoted server lacks",
            ("service",),
            registry=registry,
        )
        self.log_lines_dropped = Counter(
            f"{_PREFIX}_log_lines_dropped", "Log lines dropped", registry=registry
        )
        self.quota_refusals = Counter(
            f"{_PREFIX}_quota_refusals",
            "Operations refused by an account's quota",
            ("cause",),
            registry=registry,
        )
        self.quota_own_share = Counter(
            f"{_PREFIX}_quota_own_share",
            "Operations admitted by this host's own share of a quota",
            registry=registry,
        )
        self.shared_reads = Counter(
            f"{_PREFIX}_shared_reads",
            "Reads run by the home of a backend server for another host",
            ("side",),
            registry=registry,
        )
        self._traffic_bytes = Counter(
            f"{_PREFIX}_traffic_bytes",
            "Bytes exchanged with other hosts and with the store",
            ("kind", "distance"),
            registry=registry,
        )
        self._traffic_series: dict[tuple[str, Distance], Counter] = {}
        self.traffic = TrafficMeter(self._count_transfer)
        self._request_series: dict[tuple[str, int], Counter] = {}

    @classmethod
    def with_own_registry(cls) -> HostMetrics:
        """Return metrics in a registry of their own, for several hosts in one process."""
        return cls(CollectorRegistry())

    def count_request(self, outcome: str, code: int) -> None:
        """Count an ended request by outcome and result code."""
        key = (outcome, code)
        series = self._request_series.get(key)
        if series is None:
            series = self._request_series[key] = self.requests.labels(outcome, str(code))
        series.inc()

    def _count_transfer(self, kind: str, distance: Distance, size_bytes: int) -> None:
        key = (kind, distance)
        series = self._traffic_series.get(key)
        if series is None:
            series = self._traffic_bytes.labels(kind, distance.value)
            self._traffic_series[key] = series
        series.inc(size_bytes)

    def observe_latency(self, duration: timedelta) -> None:
        """Record the duration of a request that ran."""
        self.latency.observe(duration.total_seconds())
