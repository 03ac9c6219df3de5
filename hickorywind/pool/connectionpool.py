"""Bounded pool of connections to one backend server."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from datetime import timedelta

from hickorywind.pool.backendconnection import BackendConnection, ConnectionFailedError, Login
from hickorywind.util.clock import Clock, Instant

logger = logging.getLogger(__name__)

_MAX_CONCURRENT_OPENS = 4
_OPEN_TIMEOUT_SECONDS = 2.0
_IDLE_TIMEOUT = timedelta(seconds=60)
_SPARE_CONNECTIONS = 1  # that each of two homes leaves unused of its half


def connection_share(connections: int) -> int:
    """Return how many of a backend server's connections one home may hold.

    The share is one less than half, but at least 1, so that the old and the new home of a backend
    server can both be connected during a handover.
    """
    return max(1, connections // 2 - _SPARE_CONNECTIONS)


class ConnectionPool:
    """Pool of connections; each acquired one is given back by ``release`` or ``discard``."""

    def __init__(self, login: Login, limit: int, clock: Clock) -> None:
        self._login = login
        self._limit = limit
        self._clock = clock
        self._idle: list[tuple[BackendConnection, Instant]] = []
        self._checked_out: set[BackendConnection] = set()
        self._opening_count = 0
        self._waiters: deque[asyncio.Future] = deque()
        self._open_semaphore = asyncio.Semaphore(_MAX_CONCURRENT_OPENS)

    def set_limit(self, limit: int) -> None:
        """Set the maximum number of connections; excess ones are closed when they are released."""
        self._limit = limit

    @property
    def open_count(self) -> int:
        """Return the number of connections that are open or being opened."""
        return len(self._idle) + len(self._checked_out) + self._opening_count

    async def acquire(self) -> BackendConnection:
        """Return an idle or new connection, or wait for one; raise ``ConnectionFailedError``."""
        while True:
            connection = self._take_idle()
            if connection is not None:
                return connection
            if self.open_count < self._limit:
                return await self._open()
            await self._wait_for_capacity()

    def _take_idle(self) -> BackendConnection | None:
        while self._idle:
            connection, _ = self._idle.pop()
            if connection.is_disconnected:
                connection.abort()
                continue
            self._checked_out.add(connection)
            return connection
        return None

    async def _open(self) -> BackendConnection:
        self._opening_count += 1
        try:
            async with self._open_semaphore, asyncio.timeout(_OPEN_TIMEOUT_SECONDS):
                connection = await BackendConnection.open(self._login)
        except TimeoutError as error:
            raise ConnectionFailedError("opening the connection timed out") from error
        finally:
            self._opening_count -= 1
            self._wake_one_waiter()
        self._checked_out.add(connection)
        return connection

    async def _wait_for_capacity(self) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            await waiter
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def release(self, connection: BackendConnection) -> None:
        """Give back a connection; it is closed unless another session can use it."""
        self._checked_out.discard(connection)
        is_within_limit = self.open_count < self._limit
        if is_within_limit and connection.is_reusable and not connection.is_disconnected:
            self._idle.append((connection, self._clock.now()))
        else:
            connection.abort()
        self._wake_one_waiter()

    def discard(self, connection: BackendConnection) -> None:
        """Give back and close an acquired connection."""
        self._checked_out.discard(connection)
        connection.abort()
        self._wake_one_waiter()

    def _wake_one_waiter(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return

    def close_idle(self, older_than: timedelta = _IDLE_TIMEOUT) -> None:
        """Close connections that were idle for ``older_than`` or lost."""
        now = self._clock.now()
        kept = []
        for connection, idle_since in self._idle:
            if now - idle_since < older_than and not connection.is_disconnected:
                kept.append((connection, idle_since))
            else:
                connection.terminate()
        self._idle = kept

    def close_all(self) -> None:
        """Close idle connections gracefully and abort the acquired ones."""
        self.close_idle(timedelta(0))
        for connection in tuple(self._checked_out):
            self.discard(connection)
