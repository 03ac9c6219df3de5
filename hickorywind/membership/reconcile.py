"""Anti-entropy between two record tables, with messages in proportion to the differences.

Controllers use the same three steps among themselves and with their subscribers: exchange the
digests of buckets, then the versions in the buckets that differ, then the records that either side
lacks.
"""

from __future__ import annotations

from collections.abc import Sequence

from hickorywind.membership.table import RecordTable
from hickorywind.protocol.messages import BucketDigests, BucketStamps, Message, RecordBatch
from hickorywind.protocol.records import Record

BATCH_LIMIT_BYTES = 256 * 1024
_RECORD_OVERHEAD_BYTES = 96


def start_comparison(table: RecordTable) -> BucketDigests:
    """Return the first message of a comparison, with the digest of every bucket."""
    return BucketDigests(table.bucket_digests)


def answer_digests(table: RecordTable, message: BucketDigests) -> BucketStamps | None:
    """Return the versions held in the buckets that differ, or None if the tables are equal."""
    if len(message.digests) != len(table.bucket_digests):
        return None
    buckets = table.differing_buckets(message.digests)
    if not buckets:
        return None
    return BucketStamps(buckets, table.stamps(buckets))


def answer_stamps(table: RecordTable, message: BucketStamps) -> tuple[Message, ...]:
    """Return the records that the other side lacks, and a request for those missing here.

    The exchange terminates: the records precede the stamps on the same channel, so the other side
    no longer lacks any when it reads the stamps.
    """
    buckets = table.valid_buckets(message.buckets)
    answers: list[Message] = list(batch_records(table.newer_than(buckets, message.stamps)))
    if table.lacks_any(message.stamps):
        answers.append(BucketStamps(buckets, table.stamps(buckets)))
    return tuple(answers)


def record_size_bytes(record: Record) -> int:
    """Return an estimate of the encoded size of a record, for limits only."""
    document = getattr(record, "document", "")
    return _RECORD_OVERHEAD_BYTES + len(document)


def batch_records(records: Sequence[Record]) -> tuple[RecordBatch, ...]:
    """Split records into batches of bounded size; a larger record gets a batch of its own."""
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
