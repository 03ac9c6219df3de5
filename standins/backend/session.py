"""Server side of PostgreSQL protocol v3 on one connection, after the startup phase."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from pygwire import ConnectionPhase, FrontendMessageDecoder, TransactionStatus, messages

from standins.backend.errors import SqlError
from standins.backend.executor import Executor
from standins.backend.extended import ExtendedProtocol
from standins.backend.responsewriter import ResponseWriter, error_response
from standins.backend.sql import Kind, ParsedStatement, parse_script

_READ_BYTES = 262_144


@dataclass
class Session:
    """Session of one client connection; the executor has its transaction state."""

    executor: Executor
    reader: asyncio.StreamReader
    responses: ResponseWriter
    decoder: FrontendMessageDecoder
    secret_key: bytes
    is_control: bool
    _skip_to_sync: bool = False

    def __post_init__(self) -> None:
        self._extended = ExtendedProtocol(self.executor, self.responses)

    @property
    def holds_write_lock(self) -> bool:
        """Return whether a write transaction is open."""
        return self.executor.holds_write_lock

    @property
    def in_transaction(self) -> bool:
        """Return whether a transaction block or a write transaction is open."""
        return self.holds_write_lock or self.executor.status is not TransactionStatus.IDLE

    def cancel(self) -> None:
        """Cancel the running statement."""
        self.executor.cancel()

    def abort(self) -> None:
        """Close the connection at once."""
        self.executor.cancel()
        self.responses.abort()

    async def run(self) -> None:
        """Process messages until the client ends the connection."""
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
            await self._extended.handle(message)
        except SqlError as error:
            self._skip_to_sync = True
            await self._fail(error)

    async def _sync(self) -> None:
        self._skip_to_sync = False
        try:
            await self.executor.commit_implicit_transaction()
        except SqlError as error:
            await self._fail(error)
        if self.executor.status is TransactionStatus.IDLE:
            self._extended.close_portals()
        await self._send_ready()

    async def _simple_query(self, text: str) -> None:
        self._extended.forget_unnamed()
        statements = parse_script(text)
        try:
            if not statements:
                self.responses.send(messages.EmptyQueryResponse())
            for statement in statements:
                await self._run_simple(statement)
            await self.executor.commit_implicit_transaction()
        except SqlError as error:
            await self._fail(error)
        await self._send_ready()

    async def _run_simple(self, statement: ParsedStatement) -> None:
        self.executor.start_statement()
        if statement.kind is Kind.DEALLOCATE:
            self._extended.deallocate(statement)
        columns = await self.executor.describe(statement) if statement.returns_rows else []
        answer = await self.executor.execute(statement, ())
        if answer.rows is not None:
            self.responses.send_row_description(columns, [0] * len(columns))
            await self.responses.send_rows(answer.rows, columns, [0] * len(columns))
        self.responses.send_notices(answer.notices)
        self.responses.send(messages.CommandComplete(tag=answer.tag))

    async def _fail(self, error: SqlError) -> None:
        await self.executor.fail_transaction()
        self.responses.send(error_response("ERROR", error.sqlstate, str(error)))

    async def _send_ready(self) -> None:
        await self.responses.send_ready(self.executor.position, self.executor.status)
