"""Hold versioned records and compare tables by digest."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
import xxhash

from hickorywind.protocol.messages import VersionStamp
from hickorywind.protocol.records import Record

BUCKET_COUNT = 64


def _stamp_digest(record: Record) -> int:
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode((record.key, record.version)))


def bucket_of(key: str) -> int:
    """Return the bucket that a key belongs to."""
    return xxhash.xxh3_64_intdigest(key) % BUCKET_COUNT


class RecordTable:
    """Keep the newest record of each key and a digest that is equal where contents are.

    The digest is the exclusive or of the records' digests, so that a change costs constant time.
    """

    def __init__(self) -> None:
        self._records: dict[str, Record] = {}
        self._buckets = [0] * BUCKET_COUNT
        self._keys_by_bucket: list[set[str]] = [set() for _ in range(BUCKET_COUNT)]

    def merge(self, records: Iterable[Record]) -> tuple[Record, ...]:
        """Take in the records that are newer than those held and return them."""
        return tuple(record for record in records if self._put(record))

    def _put(self, record: Record) -> bool:
        held = self._records.get(record.key)
        if held is not None and held.version >= record.version:
            return False
        bucket = bucket_of(record.key)
        if held is not None:
            self._buckets[bucket] ^= _stamp_digest(held)
        self._buckets[bucket] ^= _stamp_digest(record)
        self._keys_by_bucket[bucket].add(record.key)
        self._records[record.key] = record
        return True

    def get(self, key: str) -> Record | None:
        """Return the record of a key."""
        return self._records.get(key)

    def records(self) -> tuple[Record, ...]:
        """Return all records."""
        return tuple(self._records.values())

    @property
    def digest(self) -> int:
        """Return the digest of the whole table."""
        result = 0
        for bucket in self._buckets:
            result ^= bucket
        return result

    @property
    def bucket_digests(self) -> tuple[int, ...]:
        """Return the digest of each bucket."""
        return tuple(self._buckets)

    def differing_buckets(self, digests: tuple[int, ...]) -> tuple[int, ...]:
        """Return the buckets whose digest differs from another table's."""
        pairs = enumerate(zip(self._buckets, digests, strict=True))
        return tuple(index for index, (ours, theirs) in pairs if ours != theirs)

    def stamps(self, buckets: Iterable[int]) -> tuple[VersionStamp, ...]:
        """List key and version of every record in the given buckets."""
        keys = [key for bucket in buckets for key in sorted(self._keys_by_bucket[bucket])]
        return tuple(VersionStamp(key, self._records[key].version) for key in keys)

    def newer_than(
        self, buckets: Iterable[int], stamps: Iterable[VersionStamp]
    ) -> tuple[Record, ...]:
        """Return the records in the buckets that the sender of the stamps lacks."""
        held = {stamp.key: stamp.version for stamp in stamps}
        keys = [key for bucket in buckets for key in sorted(self._keys_by_bucket[bucket])]
        return tuple(
            self._records[key]
            for key in keys
            if key not in held or self._records[key].version > held[key]
        )
