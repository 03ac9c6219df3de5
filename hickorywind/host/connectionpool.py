"""Pool of this host's connections to one backend server."""

from __future__ import annotations

import logging
from collections.abc import Callable, Mapping
from datetime import timedelta

from hickorywind.admission.retention import IdleRetention
from hickorywind.host.backendconnection import (
    CLIENT_NAME,
    BackendConnection,
    ConnectionLostError,
    ConnectionRejectedError,
)
from hickorywind.ports.catalog import AccountId, BackendServer
from hickorywind.ports.codecs import BackendCodec
from hickorywind.ports.replies import (
    Answer,
    BackendErrorKind,
    ServerStatus,
    TransactionState,
)
from hickorywind.util.clock import Clock, Instant
from hickorywind.util.sockets import CONNECT_PROBE_TIMEOUT, accepts_connections

logger = logging.getLogger(__name__)

# Covers two round trips between regions and the wait for a slot.
CONNECT_TIMEOUT = timedelta(milliseconds=600)
# Pause before a new connection after the server refused one at its connection limit; doubled up to
# the maximum for each refusal in a row.
MIN_BACKOFF = timedelta(milliseconds=100)
MAX_BACKOFF = timedelta(milliseconds=300)
# After a refusal the pool may grow by one connection in each interval.
LIMIT_REGROWTH_INTERVAL = timedelta(milliseconds=500)


class ConnectionPool:
    """Pool of connections to one backend server, each of which serves one client account.

    ``max_connections`` is this host's own limit; ``retention`` decides how long idle connections
    are kept.
    """

    def __init__(
        self, server: BackendServer, make_codec: Callable[[], BackendCodec], clock: Clock
    ) -> None:
        self.server = server
        self.max_connections = 4
        self.retention = IdleRetention()
        self.on_idle_connection_lost: Callable[[], None] = lambda: None
        self._make_codec = make_codec
        self._clock = clock
        self._idle: list[BackendConnection] = []
        self._open: set[BackendConnection] = set()
        self._connecting = 0
        self._reserved = 0
        self._backoff_until: Instant = timedelta(0)
        self._backoff = MIN_BACKOFF
        self._limit_reached_at: Instant | None = None
        self._limit_when_reached = 1
        self._owed = 0  # connections to be closed for other hosts once they are released
        self._is_closed = False

    @property
    def open_count(self) -> int:
        """Number of connections that are open or being opened."""
        return len(self._open) + self._connecting

    def has_connection(self) -> bool:
        """Return whether a connection is available without waiting for one to be released.

        An idle connection of another client account counts, as it can be replaced.
        """
        now = self._clock.now()
        available = len(self._idle)
        if now >= self._backoff_until:
            available += max(0, self._current_limit(now) - self.open_count)
        return available > self._reserved

    def has_idle_connection(self, account: AccountId | None = None) -> bool:
        """Return whether a connection for an account is available without opening one."""
        client = account or CLIENT_NAME
        return sum(each.client == client for each in self._idle) > self._reserved

    def reserve(self) -> None:
        """Reserve a connection for an operation that acquires it next."""
        self._reserved += 1

    def _current_limit(self, now: Instant) -> int:
        """Return the connection limit, which is lowered for a while after a refusal."""
        if self._limit_reached_at is None:
            return self.max_connections
        regrown = (now - self._limit_reached_at) // LIMIT_REGROWTH_INTERVAL
        return min(self.max_connections, self._limit_when_reached + regrown)

    def cancel_reservation(self) -> None:
        """Cancel the reservation of a connection that is not needed."""
        self._reserved -= 1

    async def acquire_reserved(
        self, values: Mapping[str, str], account: AccountId | None
    ) -> BackendConnection:
        """Return a reserved connection; raise the errors of ``acquire``."""
        self._reserved -= 1
        return await self.acquire(values, account)

    async def acquire(
        self, values: Mapping[str, str], account: AccountId | None = None
    ) -> BackendConnection:
        """Return the idle connection with the least setup for a session's values, or a new one.

        Raise ``ConnectionRejectedError`` or ``ConnectionLostError`` if none can be opened.
        """
        self.retention.record_use(self._clock.now())
        client = account or CLIENT_NAME
        own = [each for each in self._idle if each.client == client]
        if own:
            # Prefer the most recently used one, so that surplus connections stay idle and time out.
            connection = min(reversed(own), key=lambda each: each.session.cost(values))
            self._idle.remove(connection)
            return connection
        if self._idle and self.open_count >= self._current_limit(self._clock.now()):
            self._idle[0].close()  # the longest idle, of another account
        return await self._connect(client)

    async def acquire_any(self) -> BackendConnection:
        """Return any idle connection, or a new one, for a query of the host itself.

        Raise the errors of ``acquire``.
        """
        self.retention.record_use(self._clock.now())
        return self._idle.pop() if self._idle else await self._connect(CLIENT_NAME)

    async def _connect(self, client: str) -> BackendConnection:
        self._connecting += 1
        try:
            connection = await BackendConnection.open(
                self.server, self._make_codec(), CONNECT_TIMEOUT, client
            )
        except ConnectionRejectedError as error:
            if error.kind is BackendErrorKind.CONNECTION_LIMIT:
                self._limit_reached_at = self._clock.now()
                self.retention.record_refusal(self._limit_reached_at)
                self._limit_when_reached = max(1, len(self._open))
                self._backoff_until = self._limit_reached_at + self._backoff
                self._backoff = min(self._backoff * 2, MAX_BACKOFF)
            logger.info(
                "backend_connection_refused",
                extra={"backend": self.server.backend, "reason": str(error)},
            )
            raise
        finally:
            self._connecting -= 1
        self._backoff = MIN_BACKOFF
        self._open.add(connection)
        connection.on_lost = self._remove
        if self._is_closed:
            connection.close()
            raise ConnectionLostError("the backend server is no longer in use")
        return connection

    def _remove(self, connection: BackendConnection) -> None:
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
            if not connection.closed_locally:
                self.on_idle_connection_lost()

    @property
    def _even_share(self) -> int:
        return max(1, int(self.retention.even_share))

    @property
    def has_even_share(self) -> bool:
        """Whether the pool holds as many connections as each host may have at least.

        Where hosts outnumber the connections, that is none.
        """
        return self.retention.even_share < 1 or len(self._open) >= self._even_share

    def yield_connection(self) -> bool:
        """Give a connection up to another host, now or at its release.

        Return False if this host holds no more than its share, or is the server's home.
        """
        left = len(self._open) - self._owed - 1
        if self.retention.is_home or left < self._even_share:
            return False
        self._limit_reached_at, self._limit_when_reached = self._clock.now(), left
        if self._idle:
            self._idle[0].close()
        else:
            self._owed += 1
        return True

    def end_backoff(self) -> None:
        """Allow a new connection at once."""
        self._backoff_until = self._clock.now()

    def release(self, connection: BackendConnection) -> None:
        """Return a connection to the pool; close it if a transaction is open on it."""
        if connection.is_lost:
            return
        if self._owed:
            self._owed -= 1
            connection.close()
            return
        if self._is_closed or connection.state is not TransactionState.IDLE:
            connection.close()
            return
        connection.idle_since = self._clock.now()
        self._idle.append(connection)

    def discard(self, connection: BackendConnection) -> None:
        """Close a connection unless it is back in the pool."""
        if connection not in self._idle:
            connection.close()

    async def accepts_new_connection(self) -> bool:
        """Return whether the server accepts a connection at its address."""
        return await accepts_connections(self.server.address, CONNECT_PROBE_TIMEOUT)

    async def responds_to_new_connection(self, timeout: timedelta) -> bool:
        """Return whether the server answers on a new connection; a refusal is an answer."""
        try:
            connection = await BackendConnection.open(self.server, self._make_codec(), timeout)
        except ConnectionRejectedError:
            return True
        except ConnectionLostError as error:
            logger.info(
                "backend_not_responding",
                extra={"backend": self.server.backend, "reason": str(error)},
            )
            return False
        connection.close()
        return True

    def decode_status(self, answer: Answer) -> ServerStatus | None:
        """Return the status that an answer holds, or None if it holds none."""
        return self._make_codec().decode_status(answer)

    def close_idle(self) -> None:
        """Close connections whose idle timeout is over."""
        now = self._clock.now()
        for connection in list(self._idle):
            if self.retention.should_close(connection.idle_since, self.open_count, now):
                connection.close()

    def close(self) -> None:
        """Close the pool: idle connections now, the others when they are released."""
        self._is_closed = True
        for connection in list(self._idle):
            connection.close()

    def abort(self) -> None:
        """Close the pool and all of its connections at once."""
        self._is_closed = True
        self.close_all()

    def close_all(self) -> None:
        """Close all connections at once; the pool may open new ones."""
        for connection in list(self._open):
            connection.close()
