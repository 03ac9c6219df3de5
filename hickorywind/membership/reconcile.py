"""Bring two record tables together with messages whose size follows what differs.

The same three steps serve controllers among themselves and their subscribers: digests of buckets,
then the versions in the buckets that differ, then the records that either side lacks.
"""

from __future__ import annotations

from collections.abc import Sequence

from hickorywind.membership.table import RecordTable
from hickorywind.protocol.messages import BucketDigests, BucketStamps, Message, RecordBatch
from hickorywind.protocol.records import Record

BATCH_LIMIT_BYTES = 256 * 1024
_RECORD_OVERHEAD_BYTES = 96


def start_comparison(table: RecordTable) -> BucketDigests:
    """Build the first message of a comparison."""
    return BucketDigests(table.bucket_digests)


def answer_digests(table: RecordTable, message: BucketDigests) -> BucketStamps | None:
    """Name the versions held in the buckets that differ; None where the tables are equal."""
    if len(message.digests) != len(table.bucket_digests):
        return None
    buckets = table.differing_buckets(message.digests)
    if not buckets:
        return None
    return BucketStamps(buckets, table.stamps(buckets))


def answer_stamps(table: RecordTable, message: BucketStamps) -> tuple[Message, ...]:
    """Send the records that the other side lacks and ask for those that are lacking here.

    The exchange ends by itself: the records travel ahead of the stamps on the same channel, so the
    other side no longer lacks any when it reads the stamps.
    """
    buckets = table.valid_buckets(message.buckets)
    answers: list[Message] = list(batch_records(table.newer_than(buckets, message.stamps)))
    if table.lacks_any(message.stamps):
        answers.append(BucketStamps(buckets, table.stamps(buckets)))
    return tuple(answers)


def record_size_bytes(record: Record) -> int:
    """Estimate the encoded size of a record, for limits only."""
    document = getattr(record, "document", "")
    return _RECORD_OVERHEAD_BYTES + len(document)


def batch_records(records: Sequence[Record]) -> tuple[RecordBatch, ...]:
    """Cut records into batches of bounded size; a greater record travels alone."""
    batches: list[RecordBatch] = []
    current: list[Record] = []
    size_bytes = 0
    for record in records:
        record_bytes = record_size_bytes(record)
        if current and size_bytes + record_bytes > BATCH_LIMIT_BYTES:
            batches.append(RecordBatch(tuple(current)))
            current, size_bytes = [], 0
        current.append(record)
        size_bytes += record_bytes
    if current:
        batches.append(RecordBatch(tuple(current)))
    return tuple(batches)
