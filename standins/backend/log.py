"""Replicated log of one instance, in memory and optionally in a journal file."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from pathlib import Path
from typing import Any, BinaryIO

import msgspec

from hickorywind.ids import EMPTY_LOG, LogPosition, Term

SqlValue = int | float | str | bytes | None

_LENGTH = struct.Struct("!I")
_BATCH_ENTRIES = 500
_BATCH_BYTES = 1_000_000
_SCHEMA_COMMANDS = ("create", "drop", "alter")


class Statement(msgspec.Struct, frozen=True, array_like=True):
    """SQL statement in sqlite's dialect with its bound parameters."""

    sql: str
    parameters: tuple[Any, ...] = ()

    @property
    def changes_schema(self) -> bool:
        """Return whether the statement creates, drops or alters a schema object."""
        return self.sql[:6].lower().startswith(_SCHEMA_COMMANDS)

    @property
    def size_bytes(self) -> int:
        """Return the estimated encoded size in bytes."""
        sized = (value for value in self.parameters if isinstance(value, str | bytes))
        return len(self.sql) + sum(len(value) for value in sized)


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """Log entry with one transaction's writes; an entry without statements is a no-op.

    ``timestamp`` is the value of ``now()`` within the transaction, the same on every instance.
    """

    term: Term
    statements: tuple[Statement, ...] = ()
    timestamp: str = ""

    @property
    def changes_schema(self) -> bool:
        """Return whether a statement creates, drops or alters a schema object."""
        return any(s.changes_schema for s in self.statements)


class Appended(msgspec.Struct, frozen=True, tag="a", array_like=True):
    """Journal record of an appended log entry."""

    entry: Entry


class Truncated(msgspec.Struct, frozen=True, tag="t", array_like=True):
    """Journal record of the truncation of the log after ``offset``."""

    offset: int


class TermAccepted(msgspec.Struct, frozen=True, tag="p", array_like=True):
    """Journal record of the highest accepted term and its proposer."""

    term: Term
    proposer: str


JournalRecord = Appended | Truncated | TermAccepted


class Journal:
    """File of records from which a restarted instance restores its log and accepted term."""

    def __init__(self, file: BinaryIO | None) -> None:
        self._file = file

    @classmethod
    def open(cls, path: Path) -> Journal:
        """Open a journal file for appending."""
        return cls(path.open("ab"))

    @staticmethod
    def read(path: Path) -> Iterator[JournalRecord]:
        """Yield the records of a journal file, ignoring an incomplete last record."""
        data = path.read_bytes() if path.exists() else b""
        start = 0
        while start + _LENGTH.size <= len(data):
            (length,) = _LENGTH.unpack_from(data, start)
            start += _LENGTH.size
            if start + length > len(data):
                return
            yield msgspec.msgpack.decode(data[start : start + length], type=JournalRecord)
            start += length

    def write(self, record: JournalRecord) -> None:
        """Append a record and flush it to the operating system, without fsync."""
        if self._file is None:
            return
        data = msgspec.msgpack.encode(record)
        self._file.write(_LENGTH.pack(len(data)) + data)
        self._file.flush()


class Log:
    """Log entries at offsets from 1, each with its local arrival time."""

    def __init__(self) -> None:
        self._entries: list[Entry] = []
        self._arrival_times_s: list[float] = []

    @property
    def last(self) -> LogPosition:
        """Return the position of the last entry."""
        return self.position_at(len(self._entries))

    def position_at(self, offset: int) -> LogPosition:
        """Return the log position of the entry at an existing offset (0: the empty log)."""
        if offset == 0:
            return EMPTY_LOG
        return LogPosition(self._entries[offset - 1].term, offset)

    def contains(self, position: LogPosition) -> bool:
        """Return whether the log has an entry with this offset and term."""
        return position.offset <= len(self._entries) and (
            self.position_at(position.offset) == position
        )

    def append(self, entry: Entry, now_s: float) -> LogPosition:
        """Append an entry and return its position."""
        self._entries.append(entry)
        self._arrival_times_s.append(now_s)
        return self.last

    def truncate(self, offset: int) -> None:
        """Discard all entries after an offset."""
        del self._entries[offset:]
        del self._arrival_times_s[offset:]

    def entry_at(self, offset: int) -> Entry:
        """Return the entry at an existing offset."""
        return self._entries[offset - 1]

    def arrival_time(self, offset: int) -> float:
        """Return the local monotonic time, in seconds, at which an entry arrived."""
        return self._arrival_times_s[offset - 1]

    def batch_after(self, offset: int, end: int) -> tuple[Entry, ...]:
        """Return the entries after ``offset`` up to ``end``, limited in count and size.

        The first entry is returned whatever its size.
        """
        size_bytes = 0
        stop = offset
        for index in range(offset, min(end, offset + _BATCH_ENTRIES)):
            size_bytes += sum(s.size_bytes for s in self._entries[index].statements)
            if size_bytes > _BATCH_BYTES and stop > offset:
                break
            stop = index + 1
        return tuple(self._entries[offset:stop])
