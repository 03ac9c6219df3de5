"""PostgreSQL connection that runs single-value queries with the simple query protocol."""

from __future__ import annotations

import asyncio
import hashlib
from typing import Self

from pygwire import BackendMessageDecoder, ConnectionPhase, messages

from hickorywind.ids import Address

_READ_BYTES = 65_536
_DATABASE = "postgres"
_AUTHENTICATION_MESSAGE = b"R"


class ServerError(Exception):
    """ErrorResponse of the server; ``connection_usable`` says whether more queries may follow."""

    def __init__(self, sqlstate: str, message: str, connection_usable: bool) -> None:
        super().__init__(message)
        self.sqlstate = sqlstate
        self.connection_usable = connection_usable

    @classmethod
    def from_response(cls, response: messages.ErrorResponse, connection_usable: bool) -> Self:
        """Build the exception from an ErrorResponse."""
        return cls(response.code, response.message, connection_usable)


class ControlConnection:
    """PostgreSQL connection; its user sets time limits and runs one query at a time."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer
        self._decoder = BackendMessageDecoder()
        self._decoder.phase = ConnectionPhase.AUTHENTICATING

    @classmethod
    async def open(cls, address: Address, user: str, password: str | None) -> Self:
        """Connect and log in; raise ``ServerError`` or ``OSError``."""
        reader, writer = await asyncio.open_connection(address.host, address.port)
        connection = cls(reader, writer)
        try:
            await connection._log_in(user, password)
        except BaseException:
            connection.abort()
            raise
        return connection

    @property
    def is_open(self) -> bool:
        """Return whether the connection is open at both ends."""
        return not self._writer.is_closing() and not self._reader.at_eof()

    def abort(self) -> None:
        """Close the connection at once, without flushing."""
        self._writer.transport.abort()

    async def query_value(self, sql: str) -> bytes:
        """Return the first column of the first row; raise ``ServerError`` or ``OSError``."""
        await self._send(messages.Query(query_string=sql))
        value: bytes | None = None
        error: messages.ErrorResponse | None = None
        while True:
            match await self._receive():
                case messages.DataRow(columns=[first, *_]) if value is None:
                    value = first
                case messages.ErrorResponse() as response:
                    error = response
                case messages.ReadyForQuery():
                    break
        if error is not None:
            raise ServerError.from_response(error, connection_usable=True)
        if value is None:
            raise ServerError("02000", "the query returned no value", connection_usable=True)
        return value

    async def _log_in(self, user: str, password: str | None) -> None:
        await self._send(messages.StartupMessage(params={"user": user, "database": _DATABASE}))
        while True:
            match await self._receive():
                case messages.AuthenticationOk():
                    self._decoder.phase = ConnectionPhase.INITIALIZATION
                case messages.AuthenticationCleartextPassword():
                    await self._send_password(password or "")
                case messages.AuthenticationMD5Password(salt=salt):
                    await self._send_password(_md5_password(user, password or "", salt))
                case messages.ErrorResponse() as response:
                    raise ServerError.from_response(response, connection_usable=False)
                case other if other.identifier == _AUTHENTICATION_MESSAGE:
                    raise ServerError("28000", "authentication method not supported", False)
                case messages.ReadyForQuery():
                    self._decoder.phase = ConnectionPhase.SIMPLE_QUERY
                    return

    async def _send_password(self, password: str) -> None:
        await self._send(messages.PasswordMessage(password=password))

    async def _send(self, message: messages.PGMessage) -> None:
        self._writer.write(message.to_wire())
        await self._writer.drain()

    async def _receive(self) -> messages.PGMessage:
        while True:
            for message in self._decoder:
                return message
            data = await self._reader.read(_READ_BYTES)
            if not data:
                raise ConnectionResetError("the backend server closed the connection")
            self._decoder.feed(data)


def _md5_password(user: str, password: str, salt: bytes) -> str:
    inner = hashlib.md5((password + user).encode()).hexdigest()
    return "md5" + hashlib.md5(inner.encode() + salt).hexdigest()
