"""Dissemination of changed records to the neighbours, at once but within a byte rate.

Each host sends each changed record to its neighbours once. Losses are repaired by the comparison of
record tables.
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
    """Queue of changed records to send, with the newest record of each key.

    A token bucket of ``BURST_BYTES`` limits what is sent to ``RATE_BYTES_PER_SECOND``.
    """

    def __init__(self) -> None:
        self._queue: dict[str, Record] = {}
        self._budget_bytes = float(BURST_BYTES)
        self._last_refill: Instant | None = None

    def add(self, records: Sequence[Record]) -> None:
        """Queue changed records; those beyond ``QUEUE_LIMIT`` are left to table comparison."""
        for record in records:
            if record.key in self._queue or len(self._queue) < QUEUE_LIMIT:
                self._queue[record.key] = record

    def flush(self, now: Instant, neighbours: Sequence[MemberRecord]) -> Iterator[Send]:
        """Send as many records as the byte budget allows.

        Records about primaries and leaving backend servers go first, even beyond the budget.
        """
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
