"""Server of one instance: startup phase, connection limits and cancel requests."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import secrets
import struct
from collections.abc import Iterator
from pathlib import Path

from pygwire import ConnectionPhase, FrontendMessageDecoder, PygwireError, messages

from hickorywind.ids import Address
from standins.backend.database import SERVER_VERSION
from standins.backend.errors import INVALID_PASSWORD, PROTOCOL_VIOLATION, TOO_MANY_CONNECTIONS
from standins.backend.executor import Executor
from standins.backend.instance import Instance
from standins.backend.replication import PeerReplicator, serve_appends
from standins.backend.responsewriter import ResponseWriter, error_response
from standins.backend.session import Session
from standins.backend.settings import BackendSettings

logger = logging.getLogger(__name__)

CONTROL_USER = "hickorywind_control"

_READ_BYTES = 65_536
_CLOSE_TIMEOUT_S = 2.0
_PROTOCOL_ERRORS = (PygwireError, UnicodeDecodeError, struct.error, IndexError)
_PARAMETERS = {
    "server_version": SERVER_VERSION,
    "server_encoding": "UTF8",
    "client_encoding": "UTF8",
    "DateStyle": "ISO, MDY",
    "IntervalStyle": "postgres",
    "TimeZone": "UTC",
    "integer_datetimes": "on",
    "standard_conforming_strings": "on",
    "is_superuser": "off",
}


class BackendServer:
    """Backend server that runs one instance."""

    def __init__(self, settings: BackendSettings, folder: Path) -> None:
        self.settings = settings
        self.instance = Instance(settings, folder)
        self._tasks: list[asyncio.Task] = []
        self._servers: list[asyncio.Server] = []
        self._connections: dict[asyncio.Task, asyncio.StreamWriter] = {}
        self._next_pid = 1_000

    async def start(self) -> None:
        """Listen on the client and replication ports and start replication."""
        member = self.instance.member
        for listen, handler in (
            (self.settings.listen, self._serve_caller),
            (self.settings.replication_listen, self._serve_peer),
        ):
            address = Address.from_text(listen)
            self._servers.append(await asyncio.start_server(handler, address.host, address.port))
        for peer in self.settings.other_peers:
            heartbeat_ms = self.settings.heartbeat_ms
            replicator = PeerReplicator(member, peer, self.instance.change_signal, heartbeat_ms)
            self._tasks.append(asyncio.create_task(replicator.run()))
        self._tasks.append(asyncio.create_task(self.instance.run_applier()))
        for task in self._tasks:
            task.add_done_callback(_log_task_failure)

    async def close(self) -> None:
        """Stop listening and close every connection."""
        for server in self._servers:
            server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for session in list(self.instance.sessions.values()):
            session.abort()
        for writer in self._connections.values():
            writer.transport.abort()
        if self._connections:
            await asyncio.wait(set(self._connections), timeout=_CLOSE_TIMEOUT_S)

    async def _serve_peer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with self._tracked(writer):
            await serve_appends(self.instance.member, reader, writer)

    @contextlib.contextmanager
    def _tracked(self, writer: asyncio.StreamWriter) -> Iterator[None]:
        task = asyncio.current_task()
        self._connections[task] = writer
        try:
            yield
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            del self._connections[task]
            writer.close()

    async def _serve_caller(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with self._tracked(writer):
            try:
                await self._run_connection(reader, writer)
            except _PROTOCOL_ERRORS as error:
                writer.write(error_response("FATAL", PROTOCOL_VIOLATION, str(error)).to_wire())
                await writer.drain()

    async def _run_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        decoder = FrontendMessageDecoder()
        decoder.phase = ConnectionPhase.STARTUP
        startup = await self._negotiate(decoder, reader, writer)
        if startup is None or not await self._check_password(decoder, reader, writer):
            return
        is_control = startup.params.get("user") == CONTROL_USER
        if not self.instance.has_free_connection(is_control):
            message = "sorry, too many clients already"
            writer.write(error_response("FATAL", TOO_MANY_CONNECTIONS, message).to_wire())
            await writer.drain()
            return
        self._next_pid += 1
        pid = self._next_pid
        executor = Executor(self.instance, pid)
        key = secrets.token_bytes(4)
        session = Session(executor, reader, ResponseWriter(writer), decoder, key, is_control)
        self.instance.sessions[pid] = session
        try:
            await asyncio.sleep(self.settings.connect_time_ms / 1000)
            self._send_startup_messages(session, pid, startup)
            await session.run()
        finally:
            await executor.close()
            del self.instance.sessions[pid]

    async def _negotiate(
        self,
        decoder: FrontendMessageDecoder,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> messages.StartupMessage | None:
        while True:
            match await _next_message(decoder, reader):
                case messages.SSLRequest() | messages.GSSEncRequest():
                    writer.write(b"N")
                case messages.CancelRequest() as request:
                    self._cancel(request)
                    return None
                case messages.StartupMessage() as startup:
                    return startup
                case _:
                    return None

    def _cancel(self, request: messages.CancelRequest) -> None:
        session = self.instance.sessions.get(request.process_id)
        if session is not None and session.secret_key == request.secret_key:
            session.cancel()

    async def _check_password(
        self,
        decoder: FrontendMessageDecoder,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if self.settings.password is None:
            return True
        writer.write(messages.AuthenticationCleartextPassword().to_wire())
        decoder.phase = ConnectionPhase.AUTHENTICATING
        message = await _next_message(decoder, reader)
        given = message.password if isinstance(message, messages.PasswordMessage) else None
        if given == self.settings.password:
            return True
        text = "password authentication failed"
        writer.write(error_response("FATAL", INVALID_PASSWORD, text).to_wire())
        await writer.drain()
        return False

    def _send_startup_messages(
        self, session: Session, pid: int, startup: messages.StartupMessage
    ) -> None:
        session.responses.send(messages.AuthenticationOk())
        parameters = dict(_PARAMETERS)
        parameters["application_name"] = startup.params.get("application_name", "")
        parameters["session_authorization"] = startup.params.get("user", "")
        parameters["in_hot_standby"] = "off" if self.instance.accepts_writes else "on"
        for name, value in parameters.items():
            session.responses.send(messages.ParameterStatus(name=name, value=value))
        session.responses.send(
            messages.BackendKeyData(process_id=pid, secret_key=session.secret_key)
        )


async def _next_message(
    decoder: FrontendMessageDecoder, reader: asyncio.StreamReader
) -> messages.PGMessage | None:
    while True:
        for message in decoder:
            return message
        data = await reader.read(_READ_BYTES)
        if not data:
            return None
        decoder.feed(data)


def _log_task_failure(task: asyncio.Task) -> None:
    if not task.cancelled() and task.exception() is not None:
        logger.error("task_failed", exc_info=task.exception())
