"""Metrics of one backend server's queue, connections and transactions."""

from __future__ import annotations

from dataclasses import dataclass

from hickorywind.ids import BackendId, Rank
from hickorywind.observability.metrics import Metrics
from hickorywind.results import Outcome, Result


@dataclass(frozen=True, slots=True)
class LoadSnapshot:
    """Numbers of queued requests, connections, busy slots and open transactions."""

    queue_lengths: dict[Rank, int]
    queue_bytes: dict[Rank, int]
    open_connections: int
    busy_slots: int
    open_transactions: int


class BackendMetrics:
    """Metrics of one backend server; does nothing if ``metrics`` is None."""

    def __init__(self, metrics: Metrics | None, backend: BackendId) -> None:
        self._metrics = metrics
        self._backend = backend
        if metrics is None:
            return
        self._queue_lengths = {
            rank: metrics.queue_length.labels(backend, rank.value) for rank in Rank
        }
        self._queue_bytes = {rank: metrics.queue_bytes.labels(backend, rank.value) for rank in Rank}
        self._waits = {rank: metrics.queue_wait.labels(rank.value) for rank in Rank}
        self._open_connections = metrics.connections_in_use.labels(backend)
        self._busy_slots = metrics.busy_slots.labels(backend)
        self._open_transactions = metrics.open_transactions.labels(backend)

    def publish(self, snapshot: LoadSnapshot) -> None:
        """Set the gauges to the values of a snapshot."""
        if self._metrics is None:
            return
        for rank in Rank:
            self._queue_lengths[rank].set(snapshot.queue_lengths[rank])
            self._queue_bytes[rank].set(snapshot.queue_bytes[rank])
        self._open_connections.set(snapshot.open_connections)
        self._busy_slots.set(snapshot.busy_slots)
        self._open_transactions.set(snapshot.open_transactions)

    def observe_wait(self, rank: Rank, wait_seconds: float) -> None:
        """Record how long a request waited for its slot."""
        if self._metrics is not None:
            self._waits[rank].observe(wait_seconds)

    def count_refusal(self, rank: Rank, result: Result) -> None:
        """Count a request that was refused without being run; ignore any other outcome."""
        if self._metrics is None or result.outcome is not Outcome.NOT_RUN:
            return
        code = str(int(result.code))
        self._metrics.refusals.labels(self._backend, rank.value, code).inc()
