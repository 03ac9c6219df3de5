"""Buffered output of a session's messages."""

from __future__ import annotations

import asyncio

from pygwire import TransactionStatus, messages

from hickorywind.groups.status import POSITION_PARAMETER
from hickorywind.ids import LogPosition
from standins.backend.answers import Notice
from standins.backend.errors import FEATURE_NOT_SUPPORTED, SqlError
from standins.backend.log import SqlValue
from standins.backend.types import Column, encode_rows

_FLUSH_ABOVE_BYTES = 65_536
_ROWS_PER_CHUNK = 1_000


class ResponseWriter:
    """Writer of PostgreSQL messages to one connection, with a buffer."""

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self._output = bytearray()
        self._sent_position: LogPosition | None = None

    def abort(self) -> None:
        """Close the connection at once."""
        self._writer.transport.abort()

    def send(self, message: messages.PGMessage) -> None:
        """Add a message to the buffer."""
        self._output += message.to_wire()

    async def flush(self) -> None:
        """Write the buffer to the connection."""
        if self._output:
            data = bytes(self._output)
            self._output.clear()
            self._writer.write(data)
            await self._writer.drain()

    def send_row_description(self, columns: list[Column], formats: list[int]) -> None:
        """Add a RowDescription message, or NoData without columns, to the buffer."""
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

    async def send_rows(
        self, rows: list[tuple[SqlValue, ...]], columns: list[Column], formats: list[int]
    ) -> None:
        """Send DataRow messages in chunks; raise ``SqlError`` for a wrong number of columns."""
        if rows and len(rows[0]) != len(columns):
            raise SqlError(FEATURE_NOT_SUPPORTED, "cached plan must not change result type")
        for start in range(0, len(rows), _ROWS_PER_CHUNK):
            chunk = rows[start : start + _ROWS_PER_CHUNK]
            self._output += encode_rows(chunk, columns, formats)
            if len(self._output) > _FLUSH_ABOVE_BYTES:
                await self.flush()

    def send_notices(self, notices: tuple[Notice, ...]) -> None:
        """Add the notices of an answer to the buffer."""
        for notice in notices:
            fields = {"S": notice.severity, "V": notice.severity}
            fields |= {"C": notice.sqlstate, "M": notice.message}
            self.send(messages.NoticeResponse(fields=fields))

    async def send_ready(self, position: LogPosition, status: TransactionStatus) -> None:
        """Send ReadyForQuery, after a ParameterStatus with the log position if that changed."""
        if position != self._sent_position:
            self._sent_position = position
            self.send(messages.ParameterStatus(name=POSITION_PARAMETER, value=str(position)))
        self.send(messages.ReadyForQuery(status=status))
        await self.flush()


def error_response(severity: str, sqlstate: str, message: str) -> messages.ErrorResponse:
    """Build an ErrorResponse with the fields that clients evaluate."""
    return messages.ErrorResponse(
        fields={"S": severity, "V": severity, "C": sqlstate, "M": message}
    )
