"""Publish the state of one backend server's queue, connections and transactions."""

from __future__ import annotations

from dataclasses import dataclass

from hickorywind.ids import BackendId, Rank
from hickorywind.observability.metrics import Metrics
from hickorywind.results import Outcome, Result


@dataclass(frozen=True, slots=True)
class Occupancy:
    """Describe what a backend server's task has in hand."""

    waiting: dict[Rank, int]
    waiting_bytes: dict[Rank, int]
    connections: int
    busy_slots: int
    transactions: int


class BackendGauges:
    """Set the metrics of one backend server; without metrics nothing is published."""

    def __init__(self, metrics: Metrics | None, backend: BackendId) -> None:
        self._metrics = metrics
        self._backend = backend
        if metrics is None:
            return
        self._lengths = {rank: metrics.queue_length.labels(backend, rank.value) for rank in Rank}
        self._bytes = {rank: metrics.queue_bytes.labels(backend, rank.value) for rank in Rank}
        self._waits = {rank: metrics.queue_wait.labels(rank.value) for rank in Rank}
        self._connections = metrics.connections_in_use.labels(backend)
        self._slots = metrics.busy_slots.labels(backend)
        self._transactions = metrics.open_transactions.labels(backend)

    def show(self, occupancy: Occupancy) -> None:
        """Publish the present state."""
        if self._metrics is None:
            return
        for rank in Rank:
            self._lengths[rank].set(occupancy.waiting[rank])
            self._bytes[rank].set(occupancy.waiting_bytes[rank])
        self._connections.set(occupancy.connections)
        self._slots.set(occupancy.busy_slots)
        self._transactions.set(occupancy.transactions)

    def count_wait(self, rank: Rank, wait_seconds: float) -> None:
        """Count how long a request waited for its slot."""
        if self._metrics is not None:
            self._waits[rank].observe(wait_seconds)

    def count_refusal(self, rank: Rank, result: Result) -> None:
        """Count a request that was refused without being run."""
        if self._metrics is None or result.outcome is not Outcome.NOT_RUN:
            return
        code = str(int(result.code))
        self._metrics.refusals.labels(self._backend, rank.value, code).inc()
