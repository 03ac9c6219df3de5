"""Keep the bounded set of connections to one backend server."""

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
_SPARE_CONNECTIONS = 1


def connection_share(connections: int) -> int:
    """Return how many of a backend server's connections one home may hold.

    Under half, so that an old and a new home fit side by side.
    """
    return max(1, connections // 2 - _SPARE_CONNECTIONS)


class ConnectionPool:
    """Lend connections; each lent one comes back through ``release`` or ``discard``."""

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
        """Put another bound in force; connections over it are closed when idle."""
        self._limit = limit

    @property
    def open_count(self) -> int:
        """Return how many connections are open or being opened."""
        return len(self._idle) + len(self._checked_out) + self._opening_count

    async def acquire(self) -> BackendConnection:
        """Lend an idle connection or open one; raise ``ConnectionFailedError``."""
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
            raise ConnectionFailedError("the connection was not opened in time") from error
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
        """Take back a connection; one whose state is in doubt is closed."""
        self._checked_out.discard(connection)
        is_within_limit = self.open_count < self._limit
        if is_within_limit and connection.is_reusable and not connection.is_disconnected:
            self._idle.append((connection, self._clock.now()))
        else:
            connection.abort()
        self._wake_one_waiter()

    def discard(self, connection: BackendConnection) -> None:
        """Close a lent connection."""
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
        """Close connections that were not used for a while."""
        now = self._clock.now()
        kept = []
        for connection, idle_since in self._idle:
            if now - idle_since < older_than and not connection.is_disconnected:
                kept.append((connection, idle_since))
            else:
                connection.terminate()
        self._idle = kept

    def close_all(self) -> None:
        """Close idle connections in good order and the lent ones at once."""
        self.close_idle(timedelta(0))
        for connection in tuple(self._checked_out):
            self.discard(connection)
