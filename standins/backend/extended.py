"""Extended query protocol: prepared statements and portals of one session."""

from __future__ import annotations

from dataclasses import dataclass

from pygwire import messages

from standins.backend.answers import Answer
from standins.backend.errors import (
    DUPLICATE_STATEMENT,
    PROTOCOL_VIOLATION,
    SYNTAX_ERROR,
    UNKNOWN_CURSOR,
    UNKNOWN_STATEMENT,
    SqlError,
)
from standins.backend.executor import Executor
from standins.backend.log import SqlValue
from standins.backend.responsewriter import ResponseWriter
from standins.backend.sql import Kind, ParsedStatement, parse_statement
from standins.backend.types import Column, decode_parameter, example_value, expand_formats


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


class ExtendedProtocol:
    """Prepared statements and portals of one session."""

    def __init__(self, executor: Executor, responses: ResponseWriter) -> None:
        self._executor = executor
        self._responses = responses
        self._prepared: dict[str, _Prepared] = {}
        self._portals: dict[str, _Portal] = {}

    def forget_unnamed(self) -> None:
        """Discard the unnamed prepared statement, as each simple query does."""
        self._prepared.pop("", None)

    def close_portals(self) -> None:
        """Discard all portals at the end of a transaction."""
        self._portals.clear()

    async def handle(self, message: messages.PGMessage) -> None:
        """Process one message; after an ``SqlError`` the caller skips messages up to Sync."""
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
                self._responses.send(messages.CloseComplete())
            case messages.Flush():
                await self._responses.flush()
            case _:
                name = type(message).__name__
                raise SqlError(PROTOCOL_VIOLATION, f"unexpected message {name}")

    def deallocate(self, statement: ParsedStatement) -> None:
        """Run DEALLOCATE; raise ``SqlError`` for an unknown prepared statement."""
        name = statement.original.split()[-1].strip('"')
        if name.lower() == "all":
            self._prepared.clear()
        elif self._prepared.pop(name, None) is None:
            raise SqlError(UNKNOWN_STATEMENT, f'prepared statement "{name}" does not exist')

    def _parse(self, message: messages.Parse) -> None:
        if message.statement and message.statement in self._prepared:
            name = message.statement
            raise SqlError(DUPLICATE_STATEMENT, f'prepared statement "{name}" already exists')
        try:
            statement = parse_statement(message.query)
        except ValueError as error:
            raise SqlError(SYNTAX_ERROR, str(error)) from error
        self._prepared[message.statement] = _Prepared(statement, message.param_types)
        self._responses.send(messages.ParseComplete())

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
            prepared.types = await self._executor.describe_parameters(
                prepared.statement, prepared.declared
            )
        return prepared.types

    async def _bind(self, message: messages.Bind) -> None:
        prepared = self._find_prepared(message.statement)
        self._executor.start_statement()
        types = await self._parameter_types(prepared)
        if len(types) != len(message.param_values):
            count = len(message.param_values)
            raise SqlError(PROTOCOL_VIOLATION, f"{count} parameters given, {len(types)} needed")
        formats = expand_formats(message.param_formats, len(types))
        values = [
            decode_parameter(data, type_oid, code)
            for data, type_oid, code in zip(message.param_values, types, formats, strict=True)
        ]
        self._portals[message.portal] = _Portal(prepared, values, message.result_formats)
        self._responses.send(messages.BindComplete())

    async def _columns(self, prepared: _Prepared, parameters: list[SqlValue]) -> list[Column]:
        if prepared.columns is None and prepared.statement.returns_rows:
            prepared.columns = await self._executor.describe(prepared.statement, parameters)
        return prepared.columns or []

    async def _describe_statement(self, name: str) -> None:
        prepared = self._find_prepared(name)
        self._executor.start_statement()
        types = await self._parameter_types(prepared)
        columns = await self._columns(prepared, [example_value(type_oid) for type_oid in types])
        self._responses.send(messages.ParameterDescription(type_oids=types))
        self._responses.send_row_description(columns, [0] * len(columns))

    async def _describe_portal(self, name: str) -> None:
        portal = self._find_portal(name)
        self._executor.start_statement()
        columns = await self._columns(portal.prepared, portal.parameters)
        self._responses.send_row_description(
            columns, expand_formats(portal.result_formats, len(columns))
        )

    async def _execute(self, message: messages.Execute) -> None:
        portal = self._find_portal(message.portal)
        statement = portal.prepared.statement
        if statement.kind is Kind.EMPTY:
            self._responses.send(messages.EmptyQueryResponse())
            return
        self._executor.start_statement()
        columns = await self._columns(portal.prepared, portal.parameters)
        if portal.answer is None:
            if statement.kind is Kind.DEALLOCATE:
                self.deallocate(statement)
            portal.answer = await self._executor.execute(statement, portal.parameters)
            self._responses.send_notices(portal.answer.notices)
        await self._send_portal(portal, columns, message.max_rows)

    async def _send_portal(self, portal: _Portal, columns: list[Column], max_rows: int) -> None:
        rows = portal.answer.rows
        if rows is None:
            self._responses.send(messages.CommandComplete(tag=portal.answer.tag))
            return
        end = len(rows) if max_rows == 0 else min(len(rows), portal.sent_rows + max_rows)
        part = rows[portal.sent_rows : end]
        portal.sent_rows = end
        await self._responses.send_rows(
            part, columns, expand_formats(portal.result_formats, len(columns))
        )
        if max_rows and len(part) == max_rows:
            self._responses.send(messages.PortalSuspended())
            return
        tag = f"SELECT {len(part)}" if max_rows else portal.answer.tag
        self._responses.send(messages.CommandComplete(tag=tag))
