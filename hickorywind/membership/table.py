"""Table of versioned records that two hosts can compare by digest."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
import xxhash

from hickorywind.protocol.messages import VersionStamp
from hickorywind.protocol.records import MemberRecord, MemberState, Record

BUCKET_COUNT = 64


def _stamp_digest(record: Record) -> int:
    return xxhash.xxh3_64_intdigest(msgspec.msgpack.encode((record.key, record.version)))


def _is_tombstone(record: Record) -> bool:
    return isinstance(record, MemberRecord) and record.state is MemberState.DEAD


def bucket_of(key: str) -> int:
    """Return the number of the bucket that a key belongs to."""
    return xxhash.xxh3_64_intdigest(key.encode()) % BUCKET_COUNT


class RecordTable:
    """Newest record of each key, with a digest that is equal for equal contents.

    The digest is the exclusive or of the records' digests, so an update takes constant time. It
    leaves out records of dead hosts, because tables remove those at different times.
    """

    def __init__(self) -> None:
        self._records: dict[str, Record] = {}
        self._buckets = [0] * BUCKET_COUNT
        self._keys_by_bucket: list[set[str]] = [set() for _ in range(BUCKET_COUNT)]

    def merge(self, records: Iterable[Record]) -> tuple[Record, ...]:
        """Store the records that are newer than those held and return them."""
        return tuple(record for record in records if self._put(record))

    def _put(self, record: Record) -> bool:
        held = self._records.get(record.key)
        if held is not None and held.version >= record.version:
            return False
        if held is not None:
            self._toggle_digest(held)
        self._toggle_digest(record)
        self._keys_by_bucket[bucket_of(record.key)].add(record.key)
        self._records[record.key] = record
        return True

    def _toggle_digest(self, record: Record) -> None:
        if not _is_tombstone(record):
            self._buckets[bucket_of(record.key)] ^= _stamp_digest(record)

    def forget(self, key: str) -> None:
        """Remove a record; an equal or older one can be stored again afterwards."""
        held = self._records.pop(key, None)
        if held is None:
            return
        self._toggle_digest(held)
        self._keys_by_bucket[bucket_of(key)].discard(key)

    def get(self, key: str) -> Record | None:
        """Return the record of a key, or None if there is none."""
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
        """Return the numbers of the buckets whose digests differ from those of another table."""
        pairs = enumerate(zip(self._buckets, digests, strict=True))
        return tuple(index for index, (ours, theirs) in pairs if ours != theirs)

    def valid_buckets(self, buckets: Iterable[int]) -> tuple[int, ...]:
        """Return the given bucket numbers without those that do not exist."""
        return tuple(bucket for bucket in buckets if 0 <= bucket < BUCKET_COUNT)

    def _keys_of(self, buckets: Iterable[int]) -> list[str]:
        return [key for bucket in buckets for key in sorted(self._keys_by_bucket[bucket])]

    def stamps(self, buckets: Iterable[int]) -> tuple[VersionStamp, ...]:
        """Return key and version of the records in the buckets, except those of dead hosts."""
        held = (self._records[key] for key in self._keys_of(buckets))
        return tuple(
            VersionStamp(record.key, record.version) for record in held if not _is_tombstone(record)
        )

    def newer_than(
        self, buckets: Iterable[int], stamps: Iterable[VersionStamp]
    ) -> tuple[Record, ...]:
        """Return the records in the buckets that the sender of the stamps lacks.

        The record of a dead host is included only if the sender holds an older one of that host.
        """
        theirs = {stamp.key: stamp.version for stamp in stamps}
        ours = (self._records[key] for key in self._keys_of(buckets))
        return tuple(record for record in ours if _is_needed(record, theirs.get(record.key)))

    def lacks_any(self, stamps: Iterable[VersionStamp]) -> bool:
        """Return whether the sender of the stamps holds a record that is missing or older here."""
        return any(self._lacks(stamp) for stamp in stamps)

    def _lacks(self, stamp: VersionStamp) -> bool:
        held = self._records.get(stamp.key)
        return held is None or held.version < stamp.version


def _is_needed(record: Record, their_version: tuple[int, ...] | None) -> bool:
    if their_version is None:
        return not _is_tombstone(record)
    return record.version > their_version
