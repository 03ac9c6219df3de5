"""PostgreSQL client connection to a backend server."""

from __future__ import annotations

import asyncio
import logging
import struct
from collections.abc import AsyncIterator, Coroutine, Sequence
from dataclasses import dataclass

from hickorywind.groups.status import POSITION_PARAMETER
from hickorywind.ids import Address, LogPosition
from hickorywind.pool import frontend
from hickorywind.pool.replies import (
    ASYNCHRONOUS_KINDS,
    OutgoingMessage,
    ReplyTracker,
    UnexpectedReplyError,
    error_field,
)
from hickorywind.pool.statementcache import PreparedStatementCache
from hickorywind.postgres.frames import Frame, FrameSplitter, FrameTooLargeError
from hickorywind.protocol.messages import PreparedStatement, TransactionState

logger = logging.getLogger(__name__)

_READ_SIZE_BYTES = 65_536
_FRAME_LIMIT_BYTES = 64 * 1024 * 1024
_APPLICATION_NAME = "hickorywind"
_AUTH_OK = 0
_AUTH_CLEARTEXT = 3
_CANCEL_TIMEOUT_SECONDS = 1.0
_SETUP_STATEMENTS = {b"P": "prepare", b"C": "deallocate"}


@dataclass(frozen=True)
class Login:
    """Address and credentials for connecting to a backend server."""

    address: Address
    user: str
    database: str
    password: str | None = None


class ConnectionFailedError(Exception):
    """Failure to open a connection, or loss of an open one."""


class BackendRefusedError(ConnectionFailedError):
    """Refusal of the login by the backend server; ``sqlstate`` is the code of its error."""

    def __init__(self, sqlstate: str, text: str) -> None:
        super().__init__(f"{sqlstate} {text}")
        self.sqlstate = sqlstate


class _Reader(asyncio.StreamReader):
    """Stream reader whose received bytes can be taken without waiting."""

    def take_received(self) -> bytes:
        """Remove and return the bytes that were received and not read yet."""
        data = bytes(self._buffer)
        self._buffer.clear()
        self._maybe_resume_transport()
        return data


async def _connect(address: Address) -> tuple[_Reader, asyncio.StreamWriter]:
    loop = asyncio.get_running_loop()
    reader = _Reader(limit=_READ_SIZE_BYTES, loop=loop)
    transport, protocol = await loop.create_connection(
        lambda: asyncio.StreamReaderProtocol(reader, loop=loop), address.host, address.port
    )
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


class BackendConnection:
    """Connection that runs one batch after the other until it is broken or closed.

    ``transaction_state`` is the state after the last batch; it is ACTIVE also if the batch ended
    without a Sync. ``position`` is the last log position that the backend server reported.
    """

    def __init__(self, login: Login, streams: tuple) -> None:
        self._login = login
        self._reader: _Reader = streams[0]
        self._writer: asyncio.StreamWriter = streams[1]
        self._splitter = FrameSplitter(_FRAME_LIMIT_BYTES)
        self._statements = PreparedStatementCache()
        self._skips_until_sync = False
        self._cancel_key: tuple[int, bytes] | None = None
        self.transaction_state = TransactionState.IDLE
        self.position: LogPosition | None = None
        self.is_broken = False
        self._has_surplus_messages = False
        self._cancel_sent = False

    @classmethod
    async def open(cls, login: Login) -> BackendConnection:
        """Connect and log in; raise ``ConnectionFailedError`` if either fails."""
        try:
            streams = await _connect(login.address)
        except OSError as error:
            raise ConnectionFailedError(str(error)) from error
        connection = cls(login, streams)
        try:
            await connection._log_in()
        except BaseException:
            connection.abort()
            raise
        return connection

    async def _log_in(self) -> None:
        self._writer.write(
            frontend.startup(self._login.user, self._login.database, _APPLICATION_NAME)
        )
        while True:
            for frame in await self._receive():
                if self._handle_login_frame(frame):
                    return

    def _handle_login_frame(self, frame: Frame) -> bool:
        match frame.kind:
            case b"R":
                self._authenticate(struct.unpack_from("!I", frame.payload)[0])
            case b"S":
                self._read_parameter_status(frame)
            case b"K":
                process_id = struct.unpack_from("!I", frame.payload)[0]
                self._cancel_key = (process_id, bytes(frame.payload[4:]))
            case b"E":
                raise BackendRefusedError(error_field(frame, b"C"), error_field(frame, b"M"))
            case b"Z":
                return True
        return False

    def _authenticate(self, method: int) -> None:
        if method == _AUTH_OK:
            return
        if method != _AUTH_CLEARTEXT:
            raise ConnectionFailedError(f"authentication method {method} is not supported")
        if self._login.password is None:
            raise ConnectionFailedError(
                "the backend server requires a password, but none is configured"
            )
        self._writer.write(frontend.password(self._login.password))

    def _read_parameter_status(self, frame: Frame) -> bool:
        """Read a ParameterStatus message; return whether it reported the log position."""
        name, value, *_ = bytes(frame.payload).split(b"\0")
        if name.decode(errors="replace") != POSITION_PARAMETER:
            return False
        try:
            self.position = LogPosition.from_text(value.decode())
        except ValueError as error:
            self.is_broken = True
            raise ConnectionFailedError(str(error)) from error
        return True

    async def _receive(self) -> list[Frame]:
        """Wait for the next bytes and return the messages that they complete."""
        try:
            data = await self._reader.read(_READ_SIZE_BYTES)
        except OSError as error:
            self.is_broken = True
            raise ConnectionFailedError(str(error)) from error
        if not data:
            self.is_broken = True
            raise ConnectionFailedError("the backend server closed the connection")
        try:
            return list(self._splitter.feed(data))
        except (FrameTooLargeError, ValueError) as error:
            self.is_broken = True
            raise ConnectionFailedError(str(error)) from error

    async def exchange(
        self, frames: Sequence[Frame], prepared: Sequence[PreparedStatement] = ()
    ) -> AsyncIterator[list[Frame]]:
        """Send one batch and yield the replies to relay as they arrive.

        Replies to messages that the pool added itself are left out. Raise
        ``ConnectionFailedError`` if the connection is lost. Until the iterator is exhausted, the
        connection counts as broken because unread replies remain.
        """
        batch = self._statements.add_missing(frames, prepared)
        tracker = ReplyTracker(batch, self._skips_until_sync)
        self.is_broken = True
        self._send(batch)
        while not tracker.is_complete:
            relayed = self._select_relayed(await self._receive(), tracker)
            if relayed:
                yield relayed
        self._statements.record_confirmed(tracker.prepared_names, tracker.closed_names)
        if tracker.has_error:
            self._statements.record_error(
                item.name for item in prepared if item.name not in tracker.prepared_names
            )
        self._skips_until_sync = tracker.skips_until_sync
        self.is_broken = False
        self._log_refused_setup(tracker)

    def _log_refused_setup(self, tracker: ReplyTracker) -> None:
        if tracker.refused_setup is None:
            return
        extra = {
            "address": str(self._login.address),
            "statement": _SETUP_STATEMENTS[tracker.refused_setup.frame.kind],
            "sqlstate": tracker.refused_code,
        }
        logger.info("session_setup_refused", extra=extra)

    def _send(self, batch: Sequence[OutgoingMessage]) -> None:
        try:
            self._writer.write(b"".join(outgoing.frame.data for outgoing in batch))
        except (OSError, RuntimeError) as error:
            raise ConnectionFailedError(str(error)) from error
        if batch[-1].frame.kind in (b"H",):
            self.transaction_state = TransactionState.ACTIVE

    def _select_relayed(self, frames: Sequence[Frame], tracker: ReplyTracker) -> list[Frame]:
        relayed = []
        for frame in frames:
            if tracker.is_complete:
                self._handle_unsolicited(frame)
            elif self._handle_reply(frame, tracker):
                relayed.append(frame)
        return relayed

    def _handle_unsolicited(self, frame: Frame) -> None:
        """Handle a message received between two batches."""
        if frame.kind == b"S":
            self._read_parameter_status(frame)
        if frame.kind in ASYNCHRONOUS_KINDS:
            return
        self._has_surplus_messages = True
        extra = {
            "address": str(self._login.address),
            "kind": frame.kind.decode(errors="replace"),
            "sqlstate": error_field(frame, b"C") if frame.kind == b"E" else "",
        }
        logger.info("backend_message_unexpected", extra=extra)

    def _receive_unsolicited(self) -> None:
        try:
            for frame in self._splitter.feed(self._reader.take_received()):
                self._handle_unsolicited(frame)
        except (FrameTooLargeError, ValueError, ConnectionFailedError):
            self._has_surplus_messages = True
        kind = self._splitter.incomplete_kind
        if kind and kind not in ASYNCHRONOUS_KINDS:
            self._has_surplus_messages = True

    def _handle_reply(self, frame: Frame, tracker: ReplyTracker) -> bool:
        match frame.kind:
            case b"S" if self._read_parameter_status(frame):
                return False
            case b"Z":
                self.transaction_state = TransactionState(chr(frame.payload[0]))
            case b"G" | b"W":
                self._writer.write(frontend.copy_fail("COPY is not supported"))
                return False
        try:
            return tracker.accept(frame)
        except UnexpectedReplyError as error:
            raise ConnectionFailedError(str(error)) from error

    async def run_simple(self, sql: str) -> list[Frame]:
        """Run a query of the pool itself and return all its replies."""
        return await self.run((Frame(b"Q", frontend.query(sql)),))

    async def run(
        self, frames: Sequence[Frame], prepared: Sequence[PreparedStatement] = ()
    ) -> list[Frame]:
        """Run one batch and return all replies to relay."""
        return [frame async for part in self.exchange(frames, prepared) for frame in part]

    @property
    def is_reusable(self) -> bool:
        """Return whether the connection can serve another session."""
        idle = self.transaction_state is TransactionState.IDLE and not self._skips_until_sync
        in_doubt = self.is_broken or self._cancel_sent
        return idle and not in_doubt and not self._writer.is_closing()

    @property
    def is_disconnected(self) -> bool:
        """Return whether the connection, on which no batch runs, can take no further batch.

        Either side has closed it, or the backend server sent messages that belong to no batch, so
        that the next answer could not be told from them.
        """
        self._receive_unsolicited()
        is_closed = self._reader.at_eof() or self._writer.is_closing()
        return is_closed or self._has_surplus_messages

    def cancel_running(self) -> Coroutine[None, None, None]:
        """Return a coroutine that asks the backend server to cancel the running statement.

        The cancellation may take effect late and hit a later statement, so from this call on the
        connection won't serve another session. Errors are ignored.
        """
        self._cancel_sent = True
        return self._send_cancel()

    async def _send_cancel(self) -> None:
        if self._cancel_key is None:
            return
        address = self._login.address
        try:
            async with asyncio.timeout(_CANCEL_TIMEOUT_SECONDS):
                _, writer = await asyncio.open_connection(address.host, address.port)
                writer.write(frontend.cancel_request(*self._cancel_key))
                await writer.drain()
                writer.close()
        except (OSError, TimeoutError) as error:
            logger.debug("cancel_failed", extra={"error": str(error)})

    def terminate(self) -> None:
        """Send Terminate and close the connection."""
        self.is_broken = True
        if not self._writer.is_closing():
            self._writer.write(frontend.terminate())
            self._writer.close()

    def abort(self) -> None:
        """Close the connection at once; the backend server rolls back an open transaction."""
        self.is_broken = True
        self._writer.transport.abort()
