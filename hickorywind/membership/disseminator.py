"""Pass news on to the neighbours, at once but within a budget of bytes.

Each host sends each record to its neighbours once; what gets lost is repaired by comparing tables.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from datetime import timedelta

from hickorywind.membership.actions import Send, ToAddress
from hickorywind.membership.reconcile import record_size_bytes
from hickorywind.protocol.messages import RecordBatch
from hickorywind.protocol.records import (
    ConfigHeadRecord,
    ConfigRecord,
    GroupRecord,
    LeavingRecord,
    MemberRecord,
    Record,
)
from hickorywind.util.clock import Instant

RATE_BYTES_PER_SECOND = 4_000
BURST_BYTES = 256_000
QUEUE_LIMIT = 5_000


def _send_priority(record: Record) -> int:
    match record:
        case GroupRecord() | LeavingRecord():
            return 0
        case MemberRecord():
            return 1
        case ConfigHeadRecord() | ConfigRecord():
            return 2


class Disseminator:
    """Hold the records still to be sent, the newest of each key."""

    def __init__(self) -> None:
        self._queue: dict[str, Record] = {}
        self._budget_bytes = float(BURST_BYTES)
        self._last_refill: Instant | None = None

    def add(self, records: Sequence[Record]) -> None:
        """Queue news; what exceeds the limit is left to the comparison of tables."""
        for record in records:
            if record.key in self._queue or len(self._queue) < QUEUE_LIMIT:
                self._queue[record.key] = record

    def flush(self, now: Instant, neighbours: Sequence[MemberRecord]) -> Iterator[Send]:
        """Send as much as the budget allows, failover news first."""
        self._refill_budget(now)
        if not self._queue or not neighbours:
            return
        batch: list[Record] = []
        for record in sorted(self._queue.values(), key=_send_priority):
            cost_bytes = record_size_bytes(record) * len(neighbours)
            if self._budget_bytes <= 0 and _send_priority(record) > 0:
                break
            self._budget_bytes -= cost_bytes
            del self._queue[record.key]
            batch.append(record)
        if batch:
            message = RecordBatch(tuple(batch))
            for neighbour in neighbours:
                yield Send(ToAddress(neighbour.controller), message)

    def _refill_budget(self, now: Instant) -> None:
        elapsed = now - self._last_refill if self._last_refill is not None else timedelta()
        self._last_refill = now
        refill_bytes = elapsed.total_seconds() * RATE_BYTES_PER_SECOND
        self._budget_bytes = min(float(BURST_BYTES), self._budget_bytes + refill_bytes)
