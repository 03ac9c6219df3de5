"""Execution of a session's statements: transactions, write lock, slots and logging."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass, field

from pygwire import TransactionStatus

from hickorywind.ids import EMPTY_LOG, LogPosition, Term
from standins.backend.answers import Answer, Notice
from standins.backend.cancelling import Canceller
from standins.backend.control import ControlCall, run_control_call
from standins.backend.database import SERVER_VERSION, Connection, StatementRows, utc_now
from standins.backend.describer import Describer
from standins.backend.errors import (
    CANNOT_CONNECT_NOW,
    DIVISION_BY_ZERO,
    FAILED_TRANSACTION,
    FEATURE_NOT_SUPPORTED,
    READ_ONLY,
    SYNTAX_ERROR,
    SqlError,
)
from standins.backend.instance import Instance
from standins.backend.log import Entry, SqlValue, Statement
from standins.backend.sql import Kind, ParsedStatement
from standins.backend.types import TEXT, Column

_RAISE = re.compile(r"raise\s+(notice|warning)\s+'([^']*)'", re.I)
_SETTINGS = {"server_version": SERVER_VERSION, "client_encoding": "UTF8", "timezone": "UTC"}
_SETTINGS |= {"standard_conforming_strings": "on", "transaction_isolation": "read committed"}


@dataclass
class _Transaction:
    term: Term
    timestamp: str
    statements: list[Statement] = field(default_factory=list)


class Executor:
    """Executor of one session's statements, which run one at a time."""

    def __init__(self, instance: Instance, backend_pid: int) -> None:
        self._instance = instance
        self._connection = Connection(instance.database, backend_pid)
        self._describer = Describer(instance, self._connection)
        self._canceller = Canceller()
        self._write_transaction: _Transaction | None = None
        self._savepoints = 0
        self._read_only = False
        self.status = TransactionStatus.IDLE
        self.position = EMPTY_LOG

    @property
    def holds_write_lock(self) -> bool:
        """Return whether a write transaction is open."""
        return self._write_transaction is not None

    def cancel(self) -> None:
        """Cancel the statement that runs or waits for a lock or slot."""
        self._canceller.cancel()
        self._connection.cancel()

    async def refresh_position(self) -> LogPosition:
        """Read and return the log position of the newest snapshot."""
        self.position = await self._instance.run_blocking(self._connection.position)
        return self.position

    async def describe(
        self, statement: ParsedStatement, parameters: Sequence[SqlValue] = ()
    ) -> list[Column]:
        """Return the result columns of a statement; raise ``SqlError`` if it is invalid."""
        call = ControlCall.from_statement(statement)
        if call is not None:
            return [Column(call.name, TEXT)]
        self._check(statement)
        return await self._describer.columns(statement, parameters, self._has_uncommitted_schema)

    async def describe_parameters(
        self, statement: ParsedStatement, declared: Sequence[int]
    ) -> list[int]:
        """Return the type OID of each parameter."""
        return await self._describer.parameters(statement, declared, self._has_uncommitted_schema)

    @property
    def _has_uncommitted_schema(self) -> bool:
        """Return whether the open transaction has changed the schema."""
        return self._write_transaction is not None and any(
            statement.changes_schema for statement in self._write_transaction.statements
        )

    def start_statement(self) -> None:
        """Discard a cancel request that arrived between statements."""
        self._canceller.clear()
        self._connection.clear_cancel()

    async def execute(self, statement: ParsedStatement, parameters: Sequence[SqlValue]) -> Answer:
        """Run one statement; after an ``SqlError`` the caller must call ``fail_transaction``."""
        self._check(statement)
        match statement.kind:
            case Kind.BEGIN:
                return self._begin(statement)
            case Kind.COMMIT:
                return await self._commit(statement)
            case Kind.ROLLBACK:
                return await self._rollback()
            case Kind.SAVEPOINT:
                return await self._savepoint(statement)
            case Kind.READ:
                return await self._read(statement, parameters)
            case Kind.WRITE:
                return await self._write(statement, parameters)
            case Kind.SHOW:
                return Answer("SHOW", [(self._setting(statement.words[-1]),)])
            case Kind.DO:
                raised_notices = _RAISE.findall(statement.original)
                return Answer(
                    "DO", notices=tuple(Notice(s.upper(), "00000", t) for s, t in raised_notices)
                )
        return Answer(statement.command.upper())

    def _check(self, statement: ParsedStatement) -> None:
        ends_transaction = statement.kind in (Kind.COMMIT, Kind.ROLLBACK) or (
            statement.kind is Kind.SAVEPOINT and statement.command == "rollback"
        )
        if self.status is TransactionStatus.ERROR_TRANSACTION and not ends_transaction:
            raise SqlError(
                FAILED_TRANSACTION,
                "current transaction is aborted, commands ignored until end of transaction block",
            )
        match statement.kind:
            case Kind.UNKNOWN:
                first = statement.original.split()[0]
                raise SqlError(SYNTAX_ERROR, f'syntax error at or near "{first}"')
            case Kind.UNSUPPORTED:
                raise SqlError(FEATURE_NOT_SUPPORTED, f"{statement.command.upper()} is not there")
            case Kind.READ | Kind.WRITE if statement.divides_by_zero:
                raise SqlError(DIVISION_BY_ZERO, "division by zero")
            case Kind.READ | Kind.WRITE if self._instance.needs_rebuild:
                if ControlCall.from_statement(statement) is None:
                    raise SqlError(CANNOT_CONNECT_NOW, "the database is being rebuilt")

    def _setting(self, name: str) -> str:
        if name == "transaction_read_only":
            return "off" if self._instance.accepts_writes else "on"
        return _SETTINGS.get(name, "")

    def _begin(self, statement: ParsedStatement) -> Answer:
        if self.status is TransactionStatus.IN_TRANSACTION:
            message = "there is already a transaction in progress"
            return Answer(statement.tag(0), notices=(Notice("WARNING", "25001", message),))
        self.status = TransactionStatus.IN_TRANSACTION
        self._read_only = ("read", "only") in zip(
            statement.words, statement.words[1:], strict=False
        )
        return Answer(statement.tag(0))

    async def _commit(self, statement: ParsedStatement) -> Answer:
        if self.status is TransactionStatus.ERROR_TRANSACTION:
            return await self._rollback()
        notices: tuple[Notice, ...] = ()
        if self.status is TransactionStatus.IDLE:
            notices = (Notice("WARNING", "25P01", "there is no transaction in progress"),)
        await self._end_transaction()
        return Answer(statement.tag(0), notices=notices)

    async def _rollback(self) -> Answer:
        notices: tuple[Notice, ...] = ()
        if self.status is TransactionStatus.IDLE:
            notices = (Notice("WARNING", "25P01", "there is no transaction in progress"),)
        await self.reset_transaction()
        return Answer("ROLLBACK", notices=notices)

    async def commit_implicit_transaction(self) -> None:
        """Commit the implicit transaction outside a transaction block; raise ``SqlError``."""
        if self.status is TransactionStatus.IDLE:
            await self._end_transaction()

    async def fail_transaction(self) -> None:
        """Handle a failed statement: end an implicit transaction or mark the block as failed."""
        if self.status is TransactionStatus.IDLE:
            await self.reset_transaction()
            return
        self.status = TransactionStatus.ERROR_TRANSACTION
        if self._savepoints == 0:
            await self._roll_back()

    async def reset_transaction(self) -> None:
        """Roll back the transaction and return to the idle state."""
        await self._roll_back()
        self.status = TransactionStatus.IDLE
        self._savepoints = 0
        self._read_only = False

    async def close(self) -> None:
        """Roll back the transaction and close the database connection."""
        await self.reset_transaction()
        await self._instance.run_blocking(self._connection.close)

    async def _roll_back(self) -> None:
        if self._connection.in_transaction:
            await self._instance.run_blocking(self._connection.rollback)
        self._release_write_lock()

    def _release_write_lock(self) -> None:
        if self._write_transaction is not None:
            self._write_transaction = None
            self._instance.write_lock.release()

    async def _end_transaction(self) -> None:
        try:
            if self._write_transaction is not None:
                await self._commit_write_transaction(self._write_transaction)
            elif self._connection.in_transaction:
                await self._instance.run_blocking(self._connection.rollback)
        finally:
            await self.reset_transaction()

    async def _commit_write_transaction(self, transaction: _Transaction) -> None:
        member = self._instance.member
        if not self._instance.accepts_writes or member.term != transaction.term:
            raise SqlError(READ_ONLY, "this instance is no longer the primary")
        if not transaction.statements:
            return
        entry = Entry(transaction.term, tuple(transaction.statements), transaction.timestamp)
        position = member.append(entry)
        await self._instance.run_blocking(self._connection.commit, position)
        self._instance.applied = position
        if entry.changes_schema:
            self._instance.clear_descriptions()
        self.position = position

    async def _savepoint(self, statement: ParsedStatement) -> Answer:
        if self.status is TransactionStatus.IDLE:
            raise SqlError("25P01", "SAVEPOINT can only be used in transaction blocks")
        if self._instance.accepts_writes:
            await self._ensure_write_transaction()
        elif not self._connection.in_transaction:
            await self._instance.run_blocking(self._connection.begin, False, utc_now())
        await self._instance.run_blocking(self._connection.run, statement.original, ())
        self._savepoints += statement.command == "savepoint"
        if self._write_transaction is not None:
            self._write_transaction.statements.append(Statement(statement.original))
        self.status = TransactionStatus.IN_TRANSACTION
        return Answer(statement.command.upper())

    async def _read(self, statement: ParsedStatement, parameters: Sequence[SqlValue]) -> Answer:
        call = ControlCall.from_statement(statement)
        if call is not None:
            coroutine = run_control_call(self._instance, call, parameters)
            value = await (
                self._canceller.wait_for(coroutine) if call.can_be_abandoned else coroutine
            )
            return Answer("SELECT 1", [(value,)])
        rows = await self._run(statement, parameters)
        return Answer(statement.tag(len(rows.rows)), rows.rows)

    async def _write(self, statement: ParsedStatement, parameters: Sequence[SqlValue]) -> Answer:
        if not self._instance.accepts_writes or self._read_only:
            command = statement.command.upper()
            raise SqlError(READ_ONLY, f"cannot execute {command} in a read-only transaction")
        await self._ensure_write_transaction()
        rows = await self._run(statement, parameters)
        if statement.command != "select":
            self._write_transaction.statements.append(Statement(statement.sql, tuple(parameters)))
        count = len(rows.rows) if statement.returns_rows else rows.affected_row_count
        return Answer(statement.tag(count), rows.rows if statement.returns_rows else None)

    async def _ensure_write_transaction(self) -> None:
        if self._write_transaction is not None:
            return
        await self._canceller.acquire(self._instance.write_lock)
        timestamp = utc_now()
        self._write_transaction = _Transaction(self._instance.member.term, timestamp)
        if not self._instance.accepts_writes:
            raise SqlError(READ_ONLY, "this instance is not the primary")
        self.position = await self._instance.run_blocking(self._connection.begin, True, timestamp)

    async def _run(
        self, statement: ParsedStatement, parameters: Sequence[SqlValue]
    ) -> StatementRows:
        await self._canceller.acquire(self._instance.slots)
        try:
            await self._canceller.sleep(self._instance.settings.statement_time_ms / 1000)
            rows = await self._instance.run_blocking(
                self._connection.run, statement.sql, parameters
            )
        finally:
            self._instance.slots.release()
        self.position = rows.position
        return rows
