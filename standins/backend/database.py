"""SQL execution on sqlite, with one connection per session.

A database file is replaced by a file of the next generation when it is rebuilt from the log. A
table in the file contains its log position, so that every snapshot knows which log prefix it shows.
"""

from __future__ import annotations

import contextlib
import sqlite3
import threading
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field
from datetime import UTC, datetime
from pathlib import Path

from hickorywind.ids import EMPTY_LOG, LogPosition, Term
from standins.backend.errors import SqlError
from standins.backend.log import Entry, SqlValue

VERSION = "PostgreSQL 16.0 (hickorywind stand-in on sqlite)"
SERVER_VERSION = "16.0"

_POSITION_TABLE = "standin_position"
_BUSY_TIMEOUT_S = 5.0


@dataclass(frozen=True)
class StatementRows:
    """Result of one statement and the log position of the snapshot that it read."""

    names: tuple[str, ...]
    rows: list[tuple[SqlValue, ...]]
    affected_row_count: int
    position: LogPosition


@dataclass
class Database:
    """Database files by generation; a rebuild from the log starts a new generation."""

    folder: Path
    database_name: str
    generation: int = 0
    paths: dict[int, Path] = field(default_factory=dict)

    @property
    def path(self) -> Path:
        """Return the path of the current database file."""
        return self.paths[self.generation]

    def create(self, generation: int) -> None:
        """Create an empty database file for a generation without making it current."""
        path = self.folder / f"{generation}.sqlite"
        self.paths[generation] = path
        with contextlib.closing(sqlite3.connect(path, isolation_level=None)) as connection:
            connection.execute("PRAGMA journal_mode=WAL")
            connection.execute(f"CREATE TABLE {_POSITION_TABLE} (term INTEGER, offset INTEGER)")
            connection.execute(f"INSERT INTO {_POSITION_TABLE} VALUES (0, 0)")


class Connection:
    """Sqlite connection of one session; its methods block and must run in a worker thread."""

    def __init__(self, database: Database, backend_pid: int = 0) -> None:
        self._database = database
        self._backend_pid = backend_pid
        self._generation = -1
        self._sqlite: sqlite3.Connection | None = None
        self._timestamp = ""
        self._cancelled = threading.Event()
        self._committing = False
        self.probing = False

    def open(self, generation: int) -> None:
        """Open the database file of a generation, closing the file open before."""
        self.close()
        path = self._database.paths[generation]
        self._sqlite = sqlite3.connect(
            path, isolation_level=None, check_same_thread=False, timeout=_BUSY_TIMEOUT_S
        )
        self._sqlite.execute("PRAGMA synchronous=OFF")
        self._generation = generation
        self._register_functions(self._sqlite)

    def close(self) -> None:
        """Roll back the open transaction and close the database file."""
        connection, self._sqlite = self._sqlite, None
        if connection is not None:
            connection.close()

    @property
    def in_transaction(self) -> bool:
        """Return whether a sqlite transaction is open."""
        return self._sqlite is not None and self._sqlite.in_transaction

    def cancel(self) -> None:
        """Interrupt the running statement; may be called from any thread."""
        self._cancelled.set()
        connection = self._sqlite
        if connection is not None and not self._committing:
            with contextlib.suppress(sqlite3.ProgrammingError):
                connection.interrupt()

    def clear_cancel(self) -> None:
        """Discard a cancel request before the next statement."""
        self._cancelled.clear()

    def _current(self) -> sqlite3.Connection:
        if self._cancelled.is_set():
            raise SqlError("57014", "canceling statement due to user request")
        if self._sqlite is None or (
            self._generation != self._database.generation and not self._sqlite.in_transaction
        ):
            self.open(self._database.generation)
        return self._sqlite

    def run(self, sql: str, parameters: Sequence[SqlValue]) -> StatementRows:
        """Run a statement in the open transaction or, without one, on a new snapshot."""
        connection = self._current()
        with _translate_errors(), self._snapshot(connection):
            position = self._position(connection)
            cursor = connection.execute(sql, tuple(parameters))
            rows = cursor.fetchall()
            names = tuple(column[0] for column in cursor.description or ())
            return StatementRows(names, rows, max(cursor.rowcount, 0), position)

    def first_row(self, sql: str, parameters: Sequence[SqlValue]) -> tuple[SqlValue, ...] | None:
        """Return the first row of a read, for inferring column types from its values."""
        connection = self._current()
        self.probing = True
        try:
            with _translate_errors(), self._snapshot(connection):
                return connection.execute(sql, tuple(parameters)).fetchone()
        finally:
            self.probing = False

    def run_internal(self, sql: str) -> list[tuple[SqlValue, ...]]:
        """Run an internal statement, such as a PRAGMA, and return its rows."""
        with _translate_errors():
            return self._current().execute(sql).fetchall()

    def begin(self, immediate: bool, timestamp: str) -> LogPosition:
        """Begin a transaction, in which ``now()`` is ``timestamp``, and return its log position."""
        connection = self._current()
        with _translate_errors():
            connection.execute("BEGIN IMMEDIATE" if immediate else "BEGIN")
            position = self._position(connection)
        self._timestamp = timestamp
        return position

    def commit(self, position: LogPosition | None) -> None:
        """Commit the transaction and, if given, its log position with it."""
        self._committing = True
        try:
            if position is not None:
                self._record_position(position)
            self._sqlite.execute("COMMIT")
        finally:
            self._committing = False
        self._timestamp = ""

    def _record_position(self, position: LogPosition) -> None:
        self._sqlite.execute(
            f"UPDATE {_POSITION_TABLE} SET term = ?, offset = ?", (position.term, position.offset)
        )

    def rollback(self) -> None:
        """Roll back the open transaction, if any."""
        if self.in_transaction:
            self._sqlite.execute("ROLLBACK")
        self._timestamp = ""

    def position(self) -> LogPosition:
        """Return the log position of the last committed transaction."""
        return self._position(self._current())

    def apply(self, entries: Sequence[Entry], last: LogPosition) -> None:
        """Apply log entries in one transaction and record the position of the last entry."""
        connection = self._current()
        connection.execute("BEGIN IMMEDIATE")
        for entry in entries:
            self._timestamp = entry.timestamp
            for statement in entry.statements:
                connection.execute(statement.sql, statement.parameters).fetchall()
        self.commit(last)

    def _position(self, connection: sqlite3.Connection) -> LogPosition:
        row = connection.execute(f"SELECT term, offset FROM {_POSITION_TABLE}").fetchone()
        return LogPosition(Term(row[0]), row[1]) if row else EMPTY_LOG

    @contextlib.contextmanager
    def _snapshot(self, connection: sqlite3.Connection) -> Iterator[None]:
        if connection.in_transaction:
            yield
            return
        connection.execute("BEGIN")
        try:
            yield
        finally:
            connection.execute("ROLLBACK")

    def _now(self) -> str:
        return self._timestamp or utc_now()

    def _sleep(self, seconds: float) -> str:
        if not self.probing and self._cancelled.wait(float(seconds)):
            raise InterruptedError("canceling statement")
        return ""

    def _register_functions(self, connection: sqlite3.Connection) -> None:
        def register(name: str, count: int, function: object) -> None:
            connection.create_function(name, count, function)

        register("now", 0, self._now)
        register("transaction_timestamp", 0, self._now)
        register("clock_timestamp", 0, utc_now)
        register("version", 0, lambda: VERSION)
        register("current_database", 0, lambda: self._database.database_name)
        register("current_schema", 0, lambda: "public")
        register("pg_backend_pid", 0, lambda: self._backend_pid)
        register("pg_sleep", 1, self._sleep)
        register("pg_is_in_recovery", 0, lambda: 0)
        register("repeat", 2, lambda text, count: str(text) * count)
        register("concat", -1, lambda *parts: "".join(str(p) for p in parts if p is not None))
        register("greatest", -1, lambda *values: max(v for v in values if v is not None))
        register("least", -1, lambda *values: min(v for v in values if v is not None))


@contextlib.contextmanager
def _translate_errors() -> Iterator[None]:
    try:
        yield
    except sqlite3.OperationalError as error:
        if "user-defined function raised" in str(error):
            raise SqlError("57014", "canceling statement due to user request") from error
        raise SqlError.from_sqlite(error) from error
    except sqlite3.Error as error:
        raise SqlError.from_sqlite(error) from error
    except (OverflowError, UnicodeError) as error:
        raise SqlError("22003", "value out of range") from error


def utc_now() -> str:
    """Return the current time in PostgreSQL's text format of timestamptz."""
    return datetime.now(UTC).strftime("%Y-%m-%d %H:%M:%S.%f") + "+00"
