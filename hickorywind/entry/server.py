"""TCP server for caller connections, with one task per connection."""

from __future__ import annotations

import asyncio
import logging
import os
import random
import socket
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from datetime import timedelta

from hickorywind.entry.acceptrate import AcceptRateLimiter
from hickorywind.entry.attempt import CallerDisconnectedError
from hickorywind.entry.callerstream import CallerReader, CallerStream
from hickorywind.entry.cancelregistry import CancelRegistry
from hickorywind.entry.context import SessionContext
from hickorywind.entry.handshake import CancelKey, authenticate, read_startup, startup_response
from hickorywind.entry.refusals import shutting_down_refusal, unknown_service_refusal
from hickorywind.entry.session import CallerSession
from hickorywind.entry.sessionstate import SessionState
from hickorywind.ids import Address, ServiceName, SessionId, UserName
from hickorywind.observability.metrics import Metrics
from hickorywind.postgres.errors import Severity, encode_error
from hickorywind.postgres.hints import PARAMETER_PREFIX, SESSION_ID, collect_startup_settings
from hickorywind.postgres.startup import CancellationRequest, StartupParameters
from hickorywind.results import HickorywindError, Result, ResultCode
from hickorywind.routing.backoff import jittered_ms
from hickorywind.util.sockets import accept_waiting

logger = logging.getLogger(__name__)

_STARTUP_TIMEOUT = timedelta(seconds=10)
_STARTUP_TIMEOUT_IN_DRAIN = timedelta(seconds=1)
_BACKLOG = 1_024
_READ_LIMIT_BYTES = 65_536
_RETRY_AFTER_MS = 1_000
_DRAIN_POLL_INTERVAL = timedelta(milliseconds=50)
_CLOSE_TIMEOUT = timedelta(seconds=1)
_END_TIMEOUT = timedelta(seconds=2)
# Of the event loop, from accepting a connection until the task that serves it exists.
_ACCEPT_ITERATIONS = 5


class CallerServer:
    """Listening socket and caller connections of an entry."""

    def __init__(
        self,
        context: SessionContext,
        users: Mapping[str, str] | None,
        rng: random.Random,
        metrics: Metrics | None,
        accept_limiter: AcceptRateLimiter,
    ) -> None:
        self._context = context
        self._users = users
        self._rng = rng
        self._metrics = metrics
        self._accept_limiter = accept_limiter
        self._cancel_registry = CancelRegistry(rng)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._sessions: set[CallerSession] = set()
        self._startup_timeouts: set[asyncio.Timeout] = set()
        self._draining = False

    async def start(self, address: Address) -> Address:
        """Start listening and return the bound address; raise ``OSError`` if it is in use."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._make_protocol, address.host, address.port, backlog=_BACKLOG
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return Address(host, port)

    @property
    def session_count(self) -> int:
        """Return the number of open sessions."""
        return len(self._sessions)

    async def drain(self, timeout: timedelta) -> None:
        """Stop accepting connections, let transactions and requests finish, then close sessions.

        Sessions that are still open after ``timeout`` end with their requests cancelled.
        """
        self._draining = True
        self._shorten_startups()
        self._stop_idle_sessions()
        if self._server is not None:
            await self._accept_pending()
            self._server.close()
        deadline = self._context.clock.now() + timeout
        while self._tasks and self._context.clock.now() < deadline:
            self._stop_idle_sessions()
            await asyncio.wait(set(self._tasks), timeout=_DRAIN_POLL_INTERVAL.total_seconds())
        await self._end_sessions()
        await self.close()

    async def _end_sessions(self) -> None:
        for session in tuple(self._sessions):
            session.end()
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=_END_TIMEOUT.total_seconds())

    def _stop_idle_sessions(self) -> None:
        for session in tuple(self._sessions):
            session.stop_when_idle()

    async def _accept_pending(self) -> None:
        """Accept the connections that wait in the listen queue, so that they get a refusal.

        Closing the listening socket would reset them.
        """
        loop = asyncio.get_running_loop()
        for listener in self._server.sockets:
            loop.remove_reader(listener.fileno())
        for _ in range(_ACCEPT_ITERATIONS):
            await asyncio.sleep(0)
        for listener in self._server.sockets:
            with socket.socket(fileno=os.dup(listener.fileno())) as pending:
                await accept_waiting(pending, self._make_protocol)

    async def close(self) -> None:
        """Close all connections without waiting for running requests."""
        if self._server is not None:
            self._server.close()
        tasks = set(self._tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=_CLOSE_TIMEOUT.total_seconds())

    def _make_protocol(self) -> asyncio.Protocol:
        reader = CallerReader(limit=_READ_LIMIT_BYTES)
        return asyncio.StreamReaderProtocol(reader, self._accept_connection)

    def _accept_connection(self, reader: CallerReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.create_task(self._serve_connection(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._remove_connection)
        self._update_connection_gauge()

    def _remove_connection(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._update_connection_gauge()

    def _update_connection_gauge(self) -> None:
        if self._metrics is not None:
            self._metrics.caller_connections.set(len(self._tasks))

    async def _serve_connection(self, reader: CallerReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self._open_session(reader, writer)
        except HickorywindError as error:
            await self._refuse(writer, error.result)
        except (OSError, EOFError, TimeoutError, CallerDisconnectedError):
            logger.debug("connection_dropped")
        except Exception:
            # An unexpected error must not affect other connections.
            logger.exception("session_failed")
            reason = "internal error; see the log of this entry"
            await self._refuse(writer, Result.unknown(ResultCode.INTERNAL, reason))
        finally:
            await _close_after_last_message(reader, writer)

    async def _open_session(self, reader: CallerReader, writer: asyncio.StreamWriter) -> None:
        await self._limit_accept_rate()
        async with self._startup_timeout():
            packet = await read_startup(reader, writer)
            if isinstance(packet, CancellationRequest):
                self._cancel_registry.cancel(CancelKey(packet.process_id, packet.secret_key))
                return
            self._check_admission()
            user = UserName(packet.values.get("user", ""))
            await authenticate(reader, writer, user, self._users)
            self._check_draining()
            self._context.accounts.require_access(user)
            state = self._make_session_state(packet, user)
            key = self._cancel_registry.create_key()
            extra_parameters = {PARAMETER_PREFIX + SESSION_ID: state.session_id}
            writer.write(startup_response(packet, key, extra_parameters))
        stream = CallerStream(reader, writer, self._context.message_limit_bytes)
        session = CallerSession(self._context, state, stream)
        self._cancel_registry.register(key, session)
        self._sessions.add(session)
        try:
            await session.run()
        finally:
            self._sessions.discard(session)
            self._cancel_registry.remove(key)

    @asynccontextmanager
    async def _startup_timeout(self) -> AsyncIterator[None]:
        """Limit the time of a startup; a drain shortens it and tells the caller."""
        limit = _STARTUP_TIMEOUT_IN_DRAIN if self._draining else _STARTUP_TIMEOUT
        try:
            async with asyncio.timeout(limit.total_seconds()) as timeout:
                self._startup_timeouts.add(timeout)
                try:
                    yield
                finally:
                    self._startup_timeouts.discard(timeout)
        except TimeoutError:
            self._check_draining()
            raise

    def _shorten_startups(self) -> None:
        limit = asyncio.get_running_loop().time() + _STARTUP_TIMEOUT_IN_DRAIN.total_seconds()
        for timeout in self._startup_timeouts:
            if not timeout.expired():
                timeout.reschedule(min(limit, timeout.when()))

    async def _limit_accept_rate(self) -> None:
        wait = self._accept_limiter.reserve()
        if wait is None:
            raise self._too_many_connections("too many new connections per second")
        if wait:
            await asyncio.sleep(wait.total_seconds())

    def _check_draining(self) -> None:
        if self._draining:
            raise HickorywindError(shutting_down_refusal())

    def _check_admission(self) -> None:
        self._check_draining()
        in_force = self._context.directory.in_force
        if in_force is None:
            reason = "no configuration is in force yet"
            wait_ms = jittered_ms(_RETRY_AFTER_MS, self._rng)
            raise HickorywindError(Result.not_run(ResultCode.NOT_READY, reason, wait_ms))
        limit = in_force.configuration.limits.caller_connections_per_entry
        if len(self._sessions) >= limit:
            raise self._too_many_connections(f"this entry accepts at most {limit} connections")

    def _too_many_connections(self, reason: str) -> HickorywindError:
        wait_ms = jittered_ms(_RETRY_AFTER_MS, self._rng)
        return HickorywindError(Result.not_run(ResultCode.TOO_MANY_CONNECTIONS, reason, wait_ms))

    def _make_session_state(self, packet: StartupParameters, user: UserName) -> SessionState:
        values = packet.values
        name = values.get("database") or user
        if self._context.directory.service(ServiceName(name)) is None:
            raise HickorywindError(unknown_service_refusal(name))
        new_id = SessionId(f"{self._rng.getrandbits(96):024x}")
        return SessionState.from_startup(
            ServiceName(name), user, collect_startup_settings(values), new_id
        )

    async def _refuse(self, writer: asyncio.StreamWriter, result: Result) -> None:
        if self._metrics is not None:
            self._metrics.sessions_refused.labels(str(int(result.code))).inc()
        logger.info("connection_refused", extra={"code": int(result.code), "reason": result.reason})
        try:
            writer.write(encode_error(result, Severity.FATAL))
            async with asyncio.timeout(_CLOSE_TIMEOUT.total_seconds()):
                await writer.drain()
        except (OSError, TimeoutError):
            writer.transport.abort()


async def _close_after_last_message(reader: CallerReader, writer: asyncio.StreamWriter) -> None:
    """Close a connection so that the caller can still read the last message.

    Closing a socket with unread data resets the connection, and the caller might not receive the
    error. So the write side is closed first, and incoming data is read and dropped for a while.
    """
    try:
        if writer.can_write_eof() and not writer.is_closing() and not reader.at_eof():
            writer.write_eof()
            async with asyncio.timeout(_CLOSE_TIMEOUT.total_seconds()):
                while await reader.read(_READ_LIMIT_BYTES):
                    pass
    except (OSError, TimeoutError):
        pass
    finally:
        writer.close()
