"""Metrics of all roles.

Each process creates one ``Metrics`` and passes it to its components. The table in
``docs/metrics.md`` is checked against this module by a test.
"""

from __future__ import annotations

import threading
from collections.abc import Collection
from datetime import timedelta
from wsgiref.simple_server import WSGIServer

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    Info,
    start_http_server,
)

from hickorywind import __version__
from hickorywind.ids import Address, Rank, Role, ServiceName
from hickorywind.observability.latencybuckets import (
    LATENCY_BOUNDS_SECONDS,
    OBJECTIVE_BOUNDS_SECONDS,
)
from hickorywind.results import Outcome, Result, ResultCode

_FAILOVER_BOUNDS_SECONDS = (0.1, 0.2, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0, 60.0)
_PREFIX = "hickorywind"


class Metrics:
    """All metrics; each role sets those that concern it."""

    def __init__(self, registry: CollectorRegistry) -> None:
        """Register the metrics, which is possible only once per registry."""
        self.registry = registry
        self._request_series: dict[tuple[ServiceName, Rank, Outcome, ResultCode], Counter] = {}
        self._latency_series: dict[tuple[ServiceName, Rank], Histogram] = {}
        self._account_series: dict[tuple[str, Outcome, ResultCode], Counter] = {}
        self._define_requests()
        self._define_pool()
        self._define_control()

    @classmethod
    def with_own_registry(cls) -> Metrics:
        """Return metrics in a registry of their own, separate from others in the same process."""
        return cls(CollectorRegistry())

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(f"{_PREFIX}_{name}", text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str, *labels: str) -> Gauge:
        return Gauge(f"{_PREFIX}_{name}", text, labels, registry=self.registry)

    def _histogram(self, name: str, text: str, bounds: tuple, *labels: str) -> Histogram:
        return Histogram(f"{_PREFIX}_{name}", text, labels, buckets=bounds, registry=self.registry)

    def _define_requests(self) -> None:
        self.build = Info(f"{_PREFIX}_build", "Version of the program", registry=self.registry)
        self.requests = self._counter(
            "requests", "Requests ended at this entry", "service", "rank", "outcome", "code"
        )
        self.latency = self._histogram(
            "request_seconds",
            "Time from a request's arrival to its whole answer, for requests that ran",
            OBJECTIVE_BOUNDS_SECONDS,
            "service",
            "rank",
        )
        self.rank_latency = self._histogram(
            "rank_seconds", "The same, of all services", LATENCY_BOUNDS_SECONDS, "rank"
        )
        self._latency_by_rank = {rank: self.rank_latency.labels(rank.value) for rank in Rank}
        self.account_requests = self._counter(
            "account_requests",
            "Requests of a client account ended at this entry",
            "account",
            "outcome",
            "code",
        )
        self.reads = self._counter(
            "reads", "Reads answered, by role of the backend server", "service", "source"
        )
        self.retries = self._counter("retries", "Requests sent again by this entry", "service")
        self.retry_budget = self._gauge("retry_budget", "Retries this entry may still make")
        self.caller_connections = self._gauge("caller_connections", "Caller connections open")
        self.sessions_refused = self._counter(
            "sessions_refused", "Caller connections refused", "code"
        )
        self.link_bytes = self._counter(
            "link_bytes", "Bytes exchanged with pools of another region", "region"
        )

    def _define_pool(self) -> None:
        self.queue_length = self._gauge(
            "queue_length", "Requests waiting for a backend server", "backend", "rank"
        )
        self.queue_bytes = self._gauge(
            "queue_bytes", "Size of the requests waiting", "backend", "rank"
        )
        self.queue_wait = self._histogram(
            "queue_wait_seconds", "Time a request waited", LATENCY_BOUNDS_SECONDS, "rank"
        )
        self.refusals = self._counter(
            "refusals", "Requests refused by this pool", "backend", "rank", "code"
        )
        self.connections_in_use = self._gauge(
            "connections_in_use", "Connections to a backend server", "backend"
        )
        self.busy_slots = self._gauge(
            "busy_slots", "Statements running at a backend server", "backend"
        )
        self.open_transactions = self._gauge(
            "open_transactions", "Transactions open at a backend server", "backend"
        )

    def _define_control(self) -> None:
        self.revision_in_force = self._gauge(
            "config_revision_in_force", "Store revision of the configuration in force"
        )
        self.members = self._gauge("members", "Hosts known, by state", "state")
        self.failovers = self._counter("failovers", "Promotions ordered here", "service")
        self.failover_gap = self._histogram(
            "failover_gap_seconds",
            "Time from the last sign of the old primary to the promotion of the new",
            _FAILOVER_BOUNDS_SECONDS,
            "service",
        )
        self.gossip_bytes = self._counter(
            "gossip_bytes", "Bytes exchanged with other controllers", "direction"
        )
        self.store_calls = self._counter("store_calls", "Calls to the store", "call", "outcome")

    def describe_process(self, role: Role, host: str, zone: str) -> None:
        """Set the version, role, host and availability zone of this process."""
        self.build.info(
            {
                "version": __version__,
                "role": role.value,
                "host": host,
                "availability_zone": zone,
            }
        )

    def record_request(
        self, service: ServiceName, rank: Rank, result: Result, duration: timedelta
    ) -> None:
        """Count a request that ended at an entry, and record its latency if it succeeded."""
        self._request_counter(service, rank, result.outcome, result.code).inc()
        if result.is_ok:
            seconds = duration.total_seconds()
            self._latency_histogram(service, rank).observe(seconds)
            self._latency_by_rank[rank].observe(seconds)

    def record_account_request(self, account: str, result: Result) -> None:
        """Count a request of a client account that ended at an entry."""
        key = (account, result.outcome, result.code)
        series = self._account_series.get(key)
        if series is None:
            series = self.account_requests.labels(*_account_labels(key))
            self._account_series[key] = series
        series.inc()

    def retain_accounts(self, accounts: Collection[str]) -> None:
        """Remove the series of all accounts but the given ones."""
        for key in [key for key in self._account_series if key[0] not in accounts]:
            del self._account_series[key]
            self.account_requests.remove(*_account_labels(key))

    # Cached, because looking up a series by its labels costs more than counting, on every request.

    def _request_counter(
        self, service: ServiceName, rank: Rank, outcome: Outcome, code: ResultCode
    ) -> Counter:
        key = (service, rank, outcome, code)
        series = self._request_series.get(key)
        if series is None:
            series = self.requests.labels(service, rank.value, outcome.value, str(int(code)))
            self._request_series[key] = series
        return series

    def _latency_histogram(self, service: ServiceName, rank: Rank) -> Histogram:
        key = (service, rank)
        series = self._latency_series.get(key)
        if series is None:
            series = self.latency.labels(service, rank.value)
            self._latency_series[key] = series
        return series


def _account_labels(key: tuple[str, Outcome, ResultCode]) -> tuple[str, str, str]:
    account, outcome, code = key
    return account, outcome.value, str(int(code))


class MetricsServer:
    """HTTP server for metrics that runs in its own thread until closed."""

    def __init__(self, server: WSGIServer, thread: threading.Thread) -> None:
        self._server = server
        self._thread = thread

    @property
    def address(self) -> Address:
        """Return the bound address, with the actual port where port 0 was requested."""
        host, port = self._server.server_address[:2]
        return Address(str(host), port)

    def close(self) -> None:
        """Stop serving and wait for the thread."""
        self._server.shutdown()
        self._server.server_close()
        self._thread.join()


def start_metrics_server(address: Address, metrics: Metrics) -> MetricsServer:
    """Serve ``/metrics`` at a loopback address; raise OSError where it is in use."""
    server, thread = start_http_server(address.port, address.host, registry=metrics.registry)
    return MetricsServer(server, thread)
