"""Speak the server side of PostgreSQL v3 on one connection, after the startup phase."""

from __future__ import annotations

import asyncio
import logging
from dataclasses import dataclass, field

from pygwire import (
    ConnectionPhase,
    FrontendMessageDecoder,
    PygwireError,
    TransactionStatus,
    messages,
)

from hickorywind.groups.status import POSITION_PARAMETER
from hickorywind.ids import LogPosition
from standins.backend.errors import (
    FEATURE_NOT_SUPPORTED,
    PROTOCOL_VIOLATION,
    UNKNOWN_CURSOR,
    UNKNOWN_STATEMENT,
    SqlError,
)
from standins.backend.executor import Answer, Executor, Notice
from standins.backend.instance import Instance
from standins.backend.log import SqlValue
from standins.backend.sql import Kind, ParsedStatement, parse_script, parse_statement
from standins.backend.types import Column, decode_parameter, encode_rows, sample_value, wire_formats

logger = logging.getLogger(__name__)

_READ_BYTES = 262_144
_FLUSH_ABOVE_BYTES = 65_536
_ROWS_PER_CHUNK = 1_000


@dataclass
class _Prepared:
    statement: ParsedStatement
    declared: list[int]
    types: list[int] | None = None
    columns: list[Column] | None = None


@dataclass
class _Portal:
    prepared: _Prepared
    parameters: list[SqlValue]
    result_formats: list[int]
    answer: Answer | None = None
    sent_rows: int = 0


@dataclass
class Session:
    """Serve one connection until it ends; the executor keeps the transaction."""

    instance: Instance
    executor: Executor
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    decoder: FrontendMessageDecoder
    secret_key: bytes
    is_control: bool
    _output: bytearray = field(default_factory=bytearray)
    _prepared: dict[str, _Prepared] = field(default_factory=dict)
    _portals: dict[str, _Portal] = field(default_factory=dict)
    _skip_to_sync: bool = False
    _sent_position: LogPosition | None = None

    @property
    def holds_writer(self) -> bool:
        """Tell whether a writing transaction is open."""
        return self.executor.holds_writer

    def cancel(self) -> None:
        """Cancel the statement that runs."""
        self.executor.cancel()

    def abort(self) -> None:
        """Close the connection at once."""
        self.executor.cancel()
        self.writer.transport.abort()

    def send(self, message: messages.PGMessage) -> None:
        """Queue a message for the next flush."""
        self._output += message.to_wire()

    async def flush(self) -> None:
        """Write what is queued."""
        if self._output:
            data = bytes(self._output)
            self._output.clear()
            self.writer.write(data)
            await self.writer.drain()

    async def run(self) -> None:
        """Answer messages until the peer ends the connection."""
        self.decoder.phase = ConnectionPhase.READY
        await self.executor.refresh_position()
        await self._send_ready()
        while True:
            for message in self.decoder:
                if isinstance(message, messages.Terminate):
                    return
                await self._handle(message)
            data = await self.reader.read(_READ_BYTES)
            if not data:
                return
            self.decoder.feed(data)

    async def _handle(self, message: messages.PGMessage) -> None:
        match message:
            case messages.Sync():
                await self._sync()
                return
            case messages.Query():
                await self._simple_query(message.query_string)
                return
        if self._skip_to_sync:
            return
        try:
            await self._handle_extended(message)
        except SqlError as error:
            self._skip_to_sync = True
            await self._fail(error)

    async def _handle_extended(self, message: messages.PGMessage) -> None:
        match message:
            case messages.Parse():
                self._parse(message)
            case messages.Bind():
                await self._bind(message)
            case messages.Describe(kind="S"):
                await self._describe_statement(message.name)
            case messages.Describe():
                await self._describe_portal(message.name)
            case messages.Execute():
                await self._execute(message)
            case messages.Close():
                owner = self._prepared if message.kind == "S" else self._portals
                owner.pop(message.name, None)
                self.send(messages.CloseComplete())
            case messages.Flush():
                await self.flush()
            case _:
                name = type(message).__name__
                raise SqlError(PROTOCOL_VIOLATION, f"unexpected message {name}")

    async def _sync(self) -> None:
        self._skip_to_sync = False
        try:
            await self.executor.finish_implicit()
        except SqlError as error:
            await self._fail(error)
        if self.executor.status is TransactionStatus.IDLE:
            self._portals.clear()
        await self._send_ready()

    async def _simple_query(self, text: str) -> None:
        self._prepared.pop("", None)
        statements = parse_script(text)
        try:
            if not statements:
                self.send(messages.EmptyQueryResponse())
            for statement in statements:
                await self._run_simple(statement)
            await self.executor.finish_implicit()
        except SqlError as error:
            await self._fail(error)
        await self._send_ready()

    async def _run_simple(self, statement: ParsedStatement) -> None:
        self.executor.start_statement()
        if statement.kind is Kind.DEALLOCATE:
            self._deallocate(statement)
        columns = await self.executor.describe(statement) if statement.returns_rows else []
        answer = await self.executor.execute(statement, ())
        if answer.rows is not None:
            self._send_row_description(columns, [0] * len(columns))
            await self._send_rows(answer.rows, columns, [0] * len(columns))
        self._send_notices(answer.notices)
        self.send(messages.CommandComplete(tag=answer.tag))

    def _deallocate(self, statement: ParsedStatement) -> None:
        name = statement.original.split()[-1].strip('"')
        if name.lower() == "all":
            self._prepared.clear()
        elif self._prepared.pop(name, None) is None:
            raise SqlError(UNKNOWN_STATEMENT, f'prepared statement "{name}" does not exist')

    def _parse(self, message: messages.Parse) -> None:
        if message.statement and message.statement in self._prepared:
            name = message.statement
            raise SqlError("42P05", f'prepared statement "{name}" already exists')
        try:
            statement = parse_statement(message.query)
        except ValueError as error:
            raise SqlError("42601", str(error)) from error
        self._prepared[message.statement] = _Prepared(statement, message.param_types)
        self.send(messages.ParseComplete())

    def _find_prepared(self, name: str) -> _Prepared:
        if name not in self._prepared:
            raise SqlError(UNKNOWN_STATEMENT, f'prepared statement "{name}" does not exist')
        return self._prepared[name]

    def _find_portal(self, name: str) -> _Portal:
        if name not in self._portals:
            raise SqlError(UNKNOWN_CURSOR, f'portal "{name}" does not exist')
        return self._portals[name]

    async def _parameter_types(self, prepared: _Prepared) -> list[int]:
        if prepared.types is None:
            prepared.types = await self.executor.describe_parameters(
                prepared.statement, prepared.declared
            )
        return prepared.types

    async def _bind(self, message: messages.Bind) -> None:
        prepared = self._find_prepared(message.statement)
        self.executor.start_statement()
        types = await self._parameter_types(prepared)
        if len(types) != len(message.param_values):
            count = len(message.param_values)
            raise SqlError(PROTOCOL_VIOLATION, f"{count} parameters given, {len(types)} needed")
        formats = wire_formats(message.param_formats, len(types))
        values = [
            decode_parameter(data, type_oid, code)
            for data, type_oid, code in zip(message.param_values, types, formats, strict=True)
        ]
        self._portals[message.portal] = _Portal(prepared, values, message.result_formats)
        self.send(messages.BindComplete())

    async def _columns(self, prepared: _Prepared, parameters: list[SqlValue]) -> list[Column]:
        if prepared.columns is None and prepared.statement.returns_rows:
            prepared.columns = await self.executor.describe(prepared.statement, parameters)
        return prepared.columns or []

    async def _describe_statement(self, name: str) -> None:
        prepared = self._find_prepared(name)
        self.executor.start_statement()
        types = await self._parameter_types(prepared)
        columns = await self._columns(prepared, [sample_value(type_oid) for type_oid in types])
        self.send(messages.ParameterDescription(type_oids=types))
        self._send_row_description(columns, [0] * len(columns))

    async def _describe_portal(self, name: str) -> None:
        portal = self._find_portal(name)
        self.executor.start_statement()
        columns = await self._columns(portal.prepared, portal.parameters)
        self._send_row_description(columns, wire_formats(portal.result_formats, len(columns)))

    async def _execute(self, message: messages.Execute) -> None:
        portal = self._find_portal(message.portal)
        statement = portal.prepared.statement
        if statement.kind is Kind.EMPTY:
            self.send(messages.EmptyQueryResponse())
            return
        self.executor.start_statement()
        columns = await self._columns(portal.prepared, portal.parameters)
        if portal.answer is None:
            if statement.kind is Kind.DEALLOCATE:
                self._deallocate(statement)
            portal.answer = await self.executor.execute(statement, portal.parameters)
            self._send_notices(portal.answer.notices)
        await self._send_portal(portal, columns, message.max_rows)

    async def _send_portal(self, portal: _Portal, columns: list[Column], max_rows: int) -> None:
        rows = portal.answer.rows
        if rows is None:
            self.send(messages.CommandComplete(tag=portal.answer.tag))
            return
        end = len(rows) if max_rows == 0 else min(len(rows), portal.sent_rows + max_rows)
        part = rows[portal.sent_rows : end]
        portal.sent_rows = end
        await self._send_rows(part, columns, wire_formats(portal.result_formats, len(columns)))
        if max_rows and len(part) == max_rows:
            self.send(messages.PortalSuspended())
            return
        tag = f"SELECT {len(part)}" if max_rows else portal.answer.tag
        self.send(messages.CommandComplete(tag=tag))

    def _send_row_description(self, columns: list[Column], formats: list[int]) -> None:
        if not columns:
            self.send(messages.NoData())
            return
        fields = [
            messages.FieldDescription(
                name=column.name,
                table_oid=0,
                column_attr=0,
                type_oid=column.type_oid,
                type_size=column.type_size,
                type_modifier=-1,
                format_code=code,
            )
            for column, code in zip(columns, formats, strict=True)
        ]
        self.send(messages.RowDescription(fields=fields))

    async def _send_rows(
        self, rows: list[tuple[SqlValue, ...]], columns: list[Column], formats: list[int]
    ) -> None:
        if rows and len(rows[0]) != len(columns):
            raise SqlError(FEATURE_NOT_SUPPORTED, "cached plan must not change result type")
        for start in range(0, len(rows), _ROWS_PER_CHUNK):
            chunk = rows[start : start + _ROWS_PER_CHUNK]
            self._output += encode_rows(chunk, columns, formats)
            if len(self._output) > _FLUSH_ABOVE_BYTES:
                await self.flush()

    def _send_notices(self, notices: tuple[Notice, ...]) -> None:
        for notice in notices:
            fields = {"S": notice.severity, "V": notice.severity}
            fields |= {"C": notice.sqlstate, "M": notice.message}
            self.send(messages.NoticeResponse(fields=fields))

    async def _fail(self, error: SqlError) -> None:
        await self.executor.fail()
        self.send(error_response("ERROR", error.sqlstate, str(error)))

    async def _send_ready(self) -> None:
        position = self.executor.position
        if position != self._sent_position:
            self._sent_position = position
            self.send(messages.ParameterStatus(name=POSITION_PARAMETER, value=str(position)))
        self.send(messages.ReadyForQuery(status=self.executor.status))
        await self.flush()


def error_response(severity: str, sqlstate: str, message: str) -> messages.ErrorResponse:
    """Build an ErrorResponse with the fields that clients read."""
    return messages.ErrorResponse(
        fields={"S": severity, "V": severity, "C": sqlstate, "M": message}
    )


DECODE_ERRORS = (PygwireError, UnicodeDecodeError, ValueError, IndexError)
